//! The concurrent attempts of one request.
//!
//! Only an instance's response, the end of its connection and the request's deadline end an
//! attempt, never what is inferred about the instance. If it is suspected, another attempt starts
//! concurrently, and the one that responds first wins. So a wrong suspicion, or another
//! instance that fails, never costs the caller a response that was under way.

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

/// A response whose head or first event has not come.
type Opening = Pin<Box<dyn Future<Output = Result<Opened, Failure>> + Send>>;

/// How far an attempt has come.
enum Stage {
    Opening(Opening),
    Streaming(Current),
}

/// An attempt under way.
pub struct Attempt {
    /// The instance that it was sent to.
    pub target: Arc<Target>,
    /// When data last came from it, or when it started.
    pub since: Millis,
    /// When its first event came.
    spoke: Option<Millis>,
    /// Whether a byte of the request may have been sent.
    is_sent: Arc<AtomicBool>,
    stage: Stage,
}

impl Attempt {
    /// Starts an attempt; a stream continues after event `last`.
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

    /// An attempt whose first events have come.
    pub fn streaming(current: Current, now: Millis) -> Self {
        let target = Arc::clone(&current.target);
        let is_sent = Arc::new(AtomicBool::new(true));
        Self { target, since: now, spoke: Some(now), is_sent, stage: Stage::Streaming(current) }
    }

    /// The stream, if its first events have come.
    pub fn current(&mut self) -> Option<&mut Current> {
        match &mut self.stage {
            Stage::Opening(_) => None,
            Stage::Streaming(current) => Some(current),
        }
    }

    /// Whether no response has come yet.
    pub fn is_opening(&self) -> bool {
        matches!(self.stage, Stage::Opening(_))
    }

    /// Waits for the response, or for more events (`None`). Cancel safe.
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

    /// How the attempt has failed. If it had been streaming for longer than [`START_WINDOW`], a
    /// broken connection is no sign that the request crashed the instance when it began to run.
    fn failed(&self, (ending, why): Failure, now: Millis) -> Failure {
        let is_through = self.spoke.is_some_and(|spoke| now.since(spoke) > START_WINDOW);
        if ending == AttemptEnd::Broken && is_through {
            (AttemptEnd::Unknown, why)
        } else {
            (ending, why)
        }
    }

    /// How the attempt ends if it is dropped now.
    fn given_up(&self) -> AttemptEnd {
        if self.is_sent.load(Ordering::Relaxed) { AttemptEnd::Unknown } else { AttemptEnd::NotSent }
    }
}

/// What [`Attempts::next`] waits for.
pub enum AttemptEvent {
    /// An attempt has a complete response, or the first events of a stream.
    Opened(Arc<Target>, Opened),
    /// A stream has more events. Its attempt is the only one now; the number is how many others
    /// had been sent and were dropped.
    Events(u32),
    /// An attempt has failed.
    Failed(Arc<Target>, Failure),
    /// The newest attempt is suspected, for this reason, to get no response.
    Suspect(&'static str),
}

/// The attempts of a request that have not ended, the newest last.
#[derive(Default)]
pub struct Attempts {
    live: Vec<Attempt>,
    /// How many of them started before the one that responded last.
    older: usize,
}

impl Attempts {
    /// Adds an attempt as the newest one.
    pub fn push(&mut self, attempt: Attempt) {
        self.live.push(attempt);
    }

    /// How many attempts are under way.
    pub fn len(&self) -> u32 {
        self.live.len() as u32
    }

    /// Whether no attempt is under way.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// The attempt that started last.
    pub fn newest(&mut self) -> Option<&mut Attempt> {
        self.live.last_mut()
    }

    /// Waits until an attempt responds or fails, or the newest is suspected.
    ///
    /// # Panics
    ///
    /// If no attempt is under way.
    pub async fn next(&mut self, node: &Node, request: &str, patience: Patience) -> AttemptEvent {
        let newest = Arc::clone(&self.live.last().expect("an attempt is under way").target);
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
            WaitOver::Ended => ("its instance has restarted", true),
        };
        let newest = self.live.pop().expect("an attempt is under way");
        let ending = match newest.given_up() {
            AttemptEnd::Unknown if is_broken => newest.failed((AttemptEnd::Broken, why), now).0,
            ending => ending,
        };
        AttemptEvent::Failed(newest.target, (ending, why))
    }

    /// Drops all attempts, because another one has responded. Returns how many of them had been
    /// sent. Only those that started before that one count as failed: the others had less time.
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
