//! The attempts of one request that may still speak.
//!
//! Whatever is inferred about an instance, only its own word, the end of its connection
//! and the request's time end an attempt. Where there is doubt another one begins beside
//! it, and the one that speaks first goes on: an answer is never worse off for a doubt
//! that was wrong, or for a new place that does not work.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use futures_util::future::select_all;
use workshold_core::hosted::quarantine::START_WINDOW;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::proxy::attempt;
use crate::proxy::attempt::Current;
use crate::proxy::attempt::Dispatch;
use crate::proxy::attempt::Failure;
use crate::proxy::attempt::HELD;
use crate::proxy::attempt::Opened;
use crate::proxy::attempt::TIME_UP;
use crate::proxy::wait;
use crate::proxy::wait::Patience;
use crate::proxy::wait::WaitOver;
use crate::routing_table::Target;

type Opening = Pin<Box<dyn Future<Output = Result<Opened, Failure>> + Send>>;

enum Stage {
    Opening(Opening),
    Streaming(Current),
}

/// One attempt.
pub struct Attempt {
    /// Where.
    pub target: Arc<Target>,
    /// When it last said something, or began.
    pub since: Millis,
    /// When its stream began.
    spoke: Option<Millis>,
    is_sent: Arc<AtomicBool>,
    stage: Stage,
}

impl Attempt {
    /// Begins one; a stream goes on behind event `last`.
    pub fn begin(
        node: &Arc<Node>,
        job: &Arc<AdmittedRequest>,
        target: Arc<Target>,
        last: Option<u64>,
    ) -> Self {
        let is_sent = Arc::new(AtomicBool::new(false));
        let dispatch = Dispatch {
            job: Arc::clone(job),
            target: Arc::clone(&target),
            last,
            is_sent: Arc::clone(&is_sent),
        };
        let opening = Box::pin(attempt::open(Arc::clone(node), dispatch));
        Self { target, since: node.now(), spoke: None, is_sent, stage: Stage::Opening(opening) }
    }

    /// One whose answer streams.
    pub fn streaming(current: Current, now: Millis) -> Self {
        let target = Arc::clone(&current.target);
        let is_sent = Arc::new(AtomicBool::new(true));
        Self { target, since: now, spoke: Some(now), is_sent, stage: Stage::Streaming(current) }
    }

    /// The stream, if its answer streams.
    pub fn current(&mut self) -> Option<&mut Current> {
        match &mut self.stage {
            Stage::Opening(_) => None,
            Stage::Streaming(current) => Some(current),
        }
    }

    /// Whether its answer has not begun.
    pub fn is_opening(&self) -> bool {
        matches!(self.stage, Stage::Opening(_))
    }

    /// Waits for its word; nothing is lost if this is given up.
    async fn speak(&mut self) -> Result<Option<Opened>, Failure> {
        let current = match &mut self.stage {
            Stage::Opening(opening) => return opening.await.map(Some),
            Stage::Streaming(current) => current,
        };
        while current.ready.is_empty() && !current.is_over {
            current.read().await?;
        }
        Ok(None)
    }

    /// How it has failed: one that has long been running did not end its instance by
    /// beginning to run.
    fn failed(&self, (ending, why): Failure, now: Millis) -> Failure {
        let is_through = self.spoke.is_some_and(|spoke| now.since(spoke) > START_WINDOW);
        if ending == AttemptEnd::Broken && is_through {
            (AttemptEnd::Unknown, why)
        } else {
            (ending, why)
        }
    }

    /// How it ended if it is given up now.
    fn given_up(&self) -> AttemptEnd {
        if self.is_sent.load(Ordering::Relaxed) { AttemptEnd::Unknown } else { AttemptEnd::NotSent }
    }
}

/// What came first.
pub enum AttemptEvent {
    /// An answer; the attempt is over, or its stream begins.
    Opened(Arc<Target>, Opened),
    /// More of a stream; it is the only attempt now, and so many that were sent beside
    /// it have been ended.
    Events(u32),
    /// An attempt has failed.
    Failed(Arc<Target>, Failure),
    /// The newest attempt may not speak any more.
    Suspect(&'static str),
}

/// All attempts that have not ended, the newest last.
#[derive(Default)]
pub struct Attempts {
    live: Vec<Attempt>,
    /// How many of them began before the one that spoke last.
    older: usize,
}

impl Attempts {
    /// One more.
    pub fn push(&mut self, attempt: Attempt) {
        self.live.push(attempt);
    }

    /// How many there are.
    pub fn len(&self) -> u32 {
        self.live.len() as u32
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// The newest one.
    pub fn newest(&mut self) -> Option<&mut Attempt> {
        self.live.last_mut()
    }

    /// Waits until one speaks or ends, or there is doubt about the newest.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub async fn next(&mut self, node: &Node, request: &str, patience: Patience) -> AttemptEvent {
        let newest = Arc::clone(&self.live.last().expect("somebody is waited for").target);
        let words = self.live.iter_mut().map(|attempt| Box::pin(attempt.speak()));
        let first = tokio::select! {
            biased;
            (word, place, _) = select_all(words) => Ok((word, place)),
            doubt = wait::doubt(node, &newest, patience) => Err(doubt),
        };
        let (word, place) = match first {
            Ok(first) => first,
            Err(doubt) => return self.on_doubt(doubt, node.now()),
        };
        match word {
            Ok(None) => {
                self.older = place;
                let speaker = self.live.remove(place);
                let ended = self.drop_all(node, request);
                self.live.push(speaker);
                AttemptEvent::Events(ended)
            }
            Ok(Some(opened)) => {
                self.older = place;
                AttemptEvent::Opened(self.live.remove(place).target, opened)
            }
            Err(failure) => {
                let failed = self.live.remove(place);
                let failure = failed.failed(failure, node.now());
                AttemptEvent::Failed(failed.target, failure)
            }
        }
    }

    fn on_doubt(&mut self, doubt: WaitOver, now: Millis) -> AttemptEvent {
        let (why, is_broken) = match doubt {
            WaitOver::Suspect(why) => return AttemptEvent::Suspect(why),
            WaitOver::TimeUp => (TIME_UP, false),
            WaitOver::Held => (HELD, false),
            WaitOver::Ended => ("its instance has begun anew", true),
        };
        let newest = self.live.pop().expect("somebody was waited for");
        let ending = match newest.given_up() {
            AttemptEnd::Unknown if is_broken => newest.failed((AttemptEnd::Broken, why), now).0,
            ending => ending,
        };
        AttemptEvent::Failed(newest.target, (ending, why))
    }

    /// Ends all: another one has spoken. Says how many of them had been sent. Only those
    /// that began before that one had their time and failed.
    pub fn drop_all(&mut self, node: &Node, request: &str) -> u32 {
        let sent = self.live.iter().filter(|attempt| attempt.given_up() == AttemptEnd::Unknown);
        let sent = sent.count() as u32;
        for (place, attempt) in self.live.drain(..).enumerate() {
            if place < self.older {
                node.outliers.lock().on_failure(&attempt.target.id, node.now());
            }
            node.metrics.count(Metric::AttemptsNotNeeded);
            let instance = attempt.target.id.as_str();
            let silent_ms = node.now().since(attempt.since).0.to_string();
            let fields = [("request", request), ("instance", instance), ("silent_ms", &*silent_ms)];
            emit(Event::AttemptNotNeeded, &fields);
        }
        sent
    }
}
