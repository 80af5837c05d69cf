//! The concurrent attempts of one request.
//!
//! Only an instance's response, the end of its connection and the request's deadline end an
//! attempt, never what is inferred about the instance. If it is suspected, a hedge starts, which is
//! a concurrent attempt, and the one that responds first wins. So a wrong suspicion, or a hedge
//! that fails, never costs the caller a response that was under way.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
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
use crate::proxy::attempt::AttemptParams;
use crate::proxy::attempt::AttemptResponse;
use crate::proxy::attempt::DEADLINE_PASSED;
use crate::proxy::attempt::EventStream;
use crate::proxy::attempt::Failure;
use crate::proxy::attempt::QUARANTINED;
use crate::proxy::wait;
use crate::proxy::wait::WaitLimits;
use crate::proxy::wait::WaitOver;
use crate::routing_table::Target;

/// A response whose head or first event has not come.
type PendingResponse = Pin<Box<dyn Future<Output = Result<AttemptResponse, Failure>> + Send>>;

/// How far an attempt has come.
enum Stage {
    Pending(PendingResponse),
    Streaming(Box<EventStream>),
}

/// An attempt under way.
pub struct Attempt {
    /// The instance that it was sent to.
    pub target: Arc<Target>,
    /// When data last came from it, or when it started.
    pub last_data_at: Millis,
    /// When its first event came.
    first_event_at: Option<Millis>,
    /// Whether a byte of the request may have been sent.
    is_sent: Arc<AtomicBool>,
    /// Whether a peer forwards the connection.
    is_tunneled: Arc<AtomicBool>,
    stage: Stage,
}

impl Attempt {
    /// Starts an attempt; a stream continues after event `last`. The attempts of a request share the
    /// count of resumed streams that ended without an event.
    pub fn start(
        node: &Arc<Node>,
        request: &Arc<AdmittedRequest>,
        target: Arc<Target>,
        last: Option<u64>,
        empty_resumptions: &Arc<AtomicU32>,
    ) -> Self {
        let is_sent = Arc::new(AtomicBool::new(false));
        let is_tunneled = Arc::new(AtomicBool::new(false));
        let params = AttemptParams {
            request: Arc::clone(request),
            target: Arc::clone(&target),
            last,
            is_sent: Arc::clone(&is_sent),
            is_tunneled: Arc::clone(&is_tunneled),
            empty_resumptions: Arc::clone(empty_resumptions),
        };
        let pending = Box::pin(attempt::send_request(Arc::clone(node), params));
        Self {
            target,
            last_data_at: node.now(),
            first_event_at: None,
            is_sent,
            is_tunneled,
            stage: Stage::Pending(pending),
        }
    }

    /// An attempt whose first events have come.
    pub fn streaming(event_stream: EventStream, now: Millis) -> Self {
        let target = Arc::clone(&event_stream.target);
        let is_sent = Arc::new(AtomicBool::new(true));
        let is_tunneled = Arc::new(AtomicBool::new(event_stream.path.is_tunneled()));
        Self {
            target,
            last_data_at: now,
            first_event_at: Some(now),
            is_sent,
            is_tunneled,
            stage: Stage::Streaming(Box::new(event_stream)),
        }
    }

    /// The stream, if its first events have come.
    pub fn event_stream(&mut self) -> Option<&mut EventStream> {
        match &mut self.stage {
            Stage::Pending(_) => None,
            Stage::Streaming(event_stream) => Some(event_stream),
        }
    }

    /// Whether its first event came so long ago that the request has not crashed the instance.
    pub fn is_past_start(&self, now: Millis) -> bool {
        let first_event_at = self.first_event_at;
        first_event_at.is_some_and(|first_event_at| now.since(first_event_at) > START_WINDOW)
    }

    /// Whether no response has come yet.
    pub fn is_pending(&self) -> bool {
        matches!(self.stage, Stage::Pending(_))
    }

    /// Waits for the response, or for more events (`None`). Cancel safe.
    async fn next_data(&mut self) -> Result<Option<AttemptResponse>, Failure> {
        let event_stream = match &mut self.stage {
            Stage::Pending(pending) => return pending.await.map(Some),
            Stage::Streaming(event_stream) => event_stream,
        };
        while event_stream.ready.is_empty() && !event_stream.is_complete {
            event_stream.read().await?;
        }
        Ok(None)
    }

    /// How the attempt has failed. If it had been streaming for longer than [`START_WINDOW`], a
    /// broken connection is no sign that the request crashed the instance when it began to run.
    fn classify_failure(&self, (ending, reason): Failure, now: Millis) -> Failure {
        if ending == AttemptEnd::Broken && self.is_past_start(now) {
            (AttemptEnd::Unknown, reason)
        } else {
            (ending, reason)
        }
    }

    /// How the attempt ends if it is dropped now.
    fn end_if_dropped(&self) -> AttemptEnd {
        if self.is_sent.load(Ordering::Relaxed) { AttemptEnd::Unknown } else { AttemptEnd::NotSent }
    }
}

/// What [`Attempts::next`] waits for.
pub enum AttemptEvent {
    /// An attempt has a complete response, or the first events of a stream.
    Responded(Arc<Target>, AttemptResponse),
    /// A stream has more events. Its attempt is the only one now; the number is how many others
    /// had been sent and were dropped.
    Events(u32),
    /// An attempt has failed.
    Failed(Arc<Target>, Failure),
    /// The newest attempt is suspected, for this reason, to get no response.
    Suspected(&'static str),
}

/// The attempts of a request that have not ended, the newest last.
#[derive(Default)]
pub struct Attempts {
    running: Vec<Attempt>,
    /// How many of them started before the one that responded last.
    started_before_winner: usize,
}

impl Attempts {
    /// Adds an attempt as the newest one.
    pub fn push(&mut self, attempt: Attempt) {
        self.running.push(attempt);
    }

    /// How many attempts are under way.
    pub fn len(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether no attempt is under way.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// The attempt that started last.
    pub fn newest(&mut self) -> Option<&mut Attempt> {
        self.running.last_mut()
    }

    /// Waits until an attempt responds or fails, or the newest is suspected.
    ///
    /// # Panics
    ///
    /// If no attempt is under way.
    pub async fn next(
        &mut self,
        node: &Arc<Node>,
        request_id: &str,
        limits: WaitLimits,
    ) -> AttemptEvent {
        let newest = self.running.last().expect("an attempt is under way");
        let (target, is_tunneled) = (Arc::clone(&newest.target), Arc::clone(&newest.is_tunneled));
        let outcomes = self.running.iter_mut().map(|attempt| Box::pin(attempt.next_data()));
        let first = tokio::select! {
            biased;
            (outcome, index, _) = select_all(outcomes) => Ok((outcome, index)),
            wait_over = wait::until_over(node, &target, limits, &is_tunneled) => Err(wait_over),
        };
        let (outcome, index) = match first {
            Ok(first) => first,
            Err(wait_over) => return self.on_wait_over(wait_over, node.now()),
        };
        match outcome {
            Ok(None) => {
                self.started_before_winner = index;
                let winner = self.running.remove(index);
                let dropped = self.drop_all(node, request_id);
                self.running.push(winner);
                AttemptEvent::Events(dropped)
            }
            Ok(Some(response)) => {
                self.started_before_winner = index;
                AttemptEvent::Responded(self.running.remove(index).target, response)
            }
            Err(failure) => {
                let failed = self.running.remove(index);
                let failure = failed.classify_failure(failure, node.now());
                AttemptEvent::Failed(failed.target, failure)
            }
        }
    }

    /// Ends the newest attempt because the wait for it is over; only reports it if it is suspected.
    fn on_wait_over(&mut self, wait_over: WaitOver, now: Millis) -> AttemptEvent {
        let (reason, is_broken) = match wait_over {
            WaitOver::Suspected(reason) => return AttemptEvent::Suspected(reason),
            WaitOver::DeadlinePassed => (DEADLINE_PASSED, false),
            WaitOver::NodeStops => ("this node stops before its deadline", false),
            WaitOver::Quarantined => (QUARANTINED, false),
            WaitOver::Restarted => ("its instance has restarted", true),
        };
        let newest = self.running.pop().expect("an attempt is under way");
        let ending = match newest.end_if_dropped() {
            AttemptEnd::Unknown if is_broken => {
                newest.classify_failure((AttemptEnd::Broken, reason), now).0
            }
            ending => ending,
        };
        AttemptEvent::Failed(newest.target, (ending, reason))
    }

    /// Drops all attempts, because another one has responded. Returns how many of them had been
    /// sent. Only those that started before that one count as failed: the others had less time.
    pub fn drop_all(&mut self, node: &Node, request_id: &str) -> u32 {
        let sent =
            self.running.iter().filter(|attempt| attempt.end_if_dropped() == AttemptEnd::Unknown);
        let sent = sent.count() as u32;
        for (index, attempt) in self.running.drain(..).enumerate() {
            if index < self.started_before_winner {
                node.outliers.lock().on_failure(&attempt.target.id, node.now());
            }
            node.metrics.count(Metric::AttemptsNotNeeded);
            let instance = attempt.target.id.as_str();
            let silent_ms = node.now().since(attempt.last_data_at).0.to_string();
            let fields =
                [("request", request_id), ("instance", instance), ("silent_ms", &*silent_ms)];
            emit(Event::AttemptNotNeeded, &fields);
        }
        sent
    }
}
