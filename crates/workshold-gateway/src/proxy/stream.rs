//! Forwards a stream's events to the caller, and continues the stream at another instance if they
//! stop.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::http::response::Parts;
use workshold_core::hosted::probe_plan::PROBE_INTERVAL;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_core::hosted::retry_policy::NextStep;
use workshold_protocol::Millis;

use crate::callers::responses;
use crate::callers::responses::BodyCut;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::node::RequestGuard;
use crate::proxy;
use crate::proxy::MIN_TIME_LEFT;
use crate::proxy::RequestProgress;
use crate::proxy::attempt::AttemptResponse;
use crate::proxy::attempt::DEADLINE_PASSED;
use crate::proxy::attempt::EventStream;
use crate::proxy::attempt::Failure;
use crate::proxy::attempts::Attempt;
use crate::proxy::attempts::AttemptEvent;
use crate::proxy::attempts::Attempts;
use crate::proxy::response_end::ResponseEnd;
use crate::proxy::target_choice;
use crate::proxy::wait::WaitLimits;
use crate::routing_table::Target;

/// A stream that is being forwarded to its caller.
pub struct ProxiedStream {
    node: Arc<Node>,
    progress: RequestProgress,
    attempts: Attempts,
    /// The instance that sent the latest events.
    source: Arc<Target>,
    /// Whole events that are not forwarded yet.
    ready: Bytes,
    /// The id of the last event in `ready` or already forwarded.
    last: Option<u64>,
    /// When the latest events came.
    last_event_at: Millis,
    /// When the first events came.
    first_event_at: Millis,
    /// The longest time between two events, over all instances.
    longest_gap: Millis,
    /// Events of the current instance.
    events: u64,
    /// Events of the instances before it.
    events_before: u64,
    /// Bytes of whole events for the caller, of all instances.
    bytes: u64,
    /// How the body of the current instance ends.
    end: ResponseEnd,
    /// Whether an instance has run the request well past its start.
    is_past_start: bool,
    /// Whether the upstream's stream has ended.
    is_complete: bool,
    /// Whether the end was reported to the caller, as complete or cut.
    is_closed: bool,
    /// When the latest events were handed over to the caller's connection, if it has not asked for
    /// more since.
    handed_over_at: Option<Millis>,
    /// Whether no events were taken since the caller's connection last took none for a while.
    is_after_pause: bool,
    /// How long the instance was not read because the caller's connection took nothing.
    unread_for: Millis,
    guard: RequestGuard,
}

/// A shorter time in which the caller's connection asks for no events is no pause: it is the time
/// that the node itself takes.
const READ_PAUSE_MIN: Millis = Millis(10);

impl ProxiedStream {
    /// Builds the caller's response from a head and its first events; the body forwards the rest.
    pub fn response(
        node: Arc<Node>,
        progress: RequestProgress,
        guard: RequestGuard,
        mut head: Parts,
        event_stream: EventStream,
    ) -> Response<ResponseBody> {
        responses::remove_connection_properties(&mut head);
        let now = node.now();
        let source = Arc::clone(&event_stream.target);
        node.outliers.lock().on_answer(&source.id, now.since(event_stream.sent_at), now);
        node.metrics.time(Metric::FirstEvent, now.since(progress.request.received_at));
        let last = progress.request.last_event_id;
        let end = event_stream.end();
        let mut proxied = Self {
            node,
            progress,
            attempts: Attempts::default(),
            source,
            ready: Bytes::new(),
            last,
            last_event_at: now,
            first_event_at: now,
            longest_gap: Millis::ZERO,
            events: 0,
            events_before: 0,
            bytes: 0,
            end,
            is_past_start: false,
            is_complete: false,
            is_closed: false,
            handed_over_at: None,
            is_after_pause: false,
            unread_for: Millis::ZERO,
            guard,
        };
        proxied.attempts.push(Attempt::streaming(event_stream, now));
        proxied.take_ready_events(true);
        let events = stream::unfold(proxied, |mut proxied| async move {
            let next = proxied.next().await?;
            Some((next.map(Frame::data), proxied))
        });
        Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(events)))
    }

    /// The next events for the caller; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BodyCut>> {
        self.until_caller_reads().await;
        loop {
            if self.is_closed {
                return None;
            }
            if !self.ready.is_empty() {
                self.handed_over_at = Some(self.node.now());
                return Some(Ok(std::mem::take(&mut self.ready)));
            }
            if self.is_complete {
                self.finish();
                return None;
            }
            if let Err(cut) = self.handle_next_event().await {
                self.is_closed = true;
                return Some(Err(cut));
            }
        }
    }

    /// Waits until the caller's connection takes more events. The instance is not read meanwhile,
    /// so this time is neither its silence nor a pause between its events.
    async fn until_caller_reads(&mut self) {
        let Some(handed_over_at) = self.handed_over_at.take() else { return };
        if let Some(reader) = self.guard.reader() {
            while self.node.is_reader_full(reader) {
                reader.progress().next_write().await;
            }
        }
        let now = self.node.now();
        let pause = now.since(handed_over_at);
        if pause < READ_PAUSE_MIN {
            return;
        }
        self.unread_for = self.unread_for + pause;
        self.is_after_pause = true;
        self.last_event_at = now;
        if let Some(newest) = self.attempts.newest() {
            newest.last_data_at = now;
        }
    }

    /// Waits for the next event of the attempts, and handles it.
    async fn handle_next_event(&mut self) -> Result<(), BodyCut> {
        let limits = self.wait_limits();
        let waited_since = self.node.now();
        match self.attempts.next(&self.node, &self.progress.request.id, limits).await {
            AttemptEvent::Events(dropped) => {
                self.progress.used.sent += dropped;
                self.note_group_event(waited_since);
                self.take_ready_events(false);
                self.note_past_start();
            }
            AttemptEvent::Responded(_, AttemptResponse::Stream(started)) => {
                self.fail_over_to(started.1)
            }
            AttemptEvent::Responded(target, AttemptResponse::Complete(..)) => {
                let failure = (AttemptEnd::Failed, "the response is not a stream");
                return self.on_failure(&target, failure).await;
            }
            AttemptEvent::Failed(target, failure) => {
                return self.on_failure(&target, failure).await;
            }
            AttemptEvent::Suspected(reason) => {
                self.progress.start_hedge(&self.node, &mut self.attempts, self.last, reason);
            }
        }
        Ok(())
    }

    /// Notes that the only attempt has events, which were waited for since `waited_since`.
    fn note_group_event(&mut self, waited_since: Millis) {
        let Some(source) = self.attempts.newest() else { return };
        let target = Arc::clone(&source.target);
        let has_events = source.event_stream().is_some_and(|events| !events.ready.is_empty());
        if has_events {
            self.node.note_group_event(&target, waited_since);
        }
    }

    /// Notes once that the request has run well past its start.
    fn note_past_start(&mut self) {
        let now = self.node.now();
        let is_past_start = self.attempts.newest().is_some_and(|source| source.is_past_start(now));
        if is_past_start && !self.is_past_start {
            self.is_past_start = true;
            self.node.note_past_start(&self.progress.request);
        }
    }

    /// How long to wait for the newest attempt.
    fn wait_limits(&mut self) -> WaitLimits {
        let under_way = self.attempts.len();
        let newest = self.attempts.newest().expect("an attempt is under way");
        let (id, last_data_at) = (&newest.target.id, newest.last_data_at);
        let mean_ms = self.node.gaps.lock().mean_ms(id).unwrap_or(newest.target.idle_event_gap_ms);
        let goal = self.progress.request.route.pause_goal;
        let rules = self.node.stall;
        let after = if newest.is_pending() {
            proxy::first_response_limits(&self.progress, mean_ms)
        } else {
            (rules.probe_after(mean_ms, goal), rules.failover_after(mean_ms, goal))
        };
        let is_pending = newest.is_pending();
        let queued_keys = is_pending.then(|| Arc::clone(&self.progress.request.request_keys));
        let limits = self.progress.wait_limits(last_data_at, after, under_way);
        let evidence_max_age = if is_pending { PROBE_INTERVAL } else { limits.evidence_max_age };
        WaitLimits { evidence_max_age, queued_keys, ..limits }
    }

    /// Takes the events that the only attempt has received. The time to its first events is not
    /// recorded as a gap between events.
    fn take_ready_events(&mut self, is_first: bool) {
        let now = self.node.now();
        let Some(source) = self.attempts.newest() else { return };
        let silent_for = now.since(source.last_data_at);
        source.last_data_at = now;
        let Some(event_stream) = source.event_stream() else { return };
        self.ready = std::mem::take(&mut event_stream.ready);
        self.last = event_stream.framer.last();
        self.events = event_stream.framer.event_count();
        self.bytes += self.ready.len() as u64;
        self.end = event_stream.end();
        self.is_complete = event_stream.is_complete;
        if let Some(reader) = self.guard.reader() {
            let partial = event_stream.framer.partial_len();
            reader.set_partial(partial);
            if partial > 0 {
                self.node.note_reader(reader);
            }
        }
        if !self.ready.is_empty() {
            // Events that had arrived during a pause of the caller show no gap.
            let is_after_pause = std::mem::take(&mut self.is_after_pause);
            if !is_first && !is_after_pause {
                self.node.gaps.lock().on_gap(&self.source.id, silent_for);
            }
            self.longest_gap = self.longest_gap.max(now.since(self.last_event_at));
            self.last_event_at = now;
        }
    }

    /// Continues with the stream of another instance, which has responded; the other attempts are
    /// dropped together with what they may still send.
    fn fail_over_to(&mut self, event_stream: EventStream) {
        let now = self.node.now();
        self.progress.used.sent += self.attempts.drop_all(&self.node, &self.progress.request.id);
        self.source = Arc::clone(&event_stream.target);
        self.events_before += self.events;
        let behind = self.last.map_or_else(|| "none".to_owned(), |last| last.to_string());
        let gap_ms = now.since(self.last_event_at).0.to_string();
        self.attempts.push(Attempt::streaming(event_stream, now));
        self.take_ready_events(true);
        self.node.metrics.count(Metric::StreamsMoved);
        emit(
            Event::StreamMoved,
            &[
                ("request", &self.progress.request.id),
                ("instance", self.source.id.as_str()),
                ("behind", &behind),
                ("gap_ms", &gap_ms),
            ],
        );
    }

    /// Handles the failure of an attempt: other attempts continue. If there are none, the stream is
    /// retried at another instance, or cut if that is not possible.
    async fn on_failure(
        &mut self,
        target: &Target,
        (ending, reason): Failure,
    ) -> Result<(), BodyCut> {
        // The deadline of a caller that reads slowly passes without any fault of the instance.
        let is_slow_caller = reason == DEADLINE_PASSED && self.unread_for > Millis::ZERO;
        if !is_slow_caller {
            proxy::record_failure(&self.node, target, ending);
        }
        self.progress.probe_after_break(&self.node, target, ending).await;
        if !self.attempts.is_empty() {
            let others = self.attempts.len();
            self.progress.record_concurrent_failure(&self.node, target, (ending, reason), others);
            return Ok(());
        }
        if self.progress.next_step(&self.node, target, ending, reason) != NextStep::Again {
            return Err(self.cut());
        }
        let Ok(next) = target_choice::choose_target(&self.node, &self.progress) else {
            self.progress.return_unused_retry(&self.node);
            return Err(self.cut());
        };
        self.progress.start_attempt(&self.node, &mut self.attempts, next, self.last);
        Ok(())
    }

    /// Logs that the stream ends incomplete, and says why.
    fn cut(&self) -> BodyCut {
        let left = self.progress.request.left(self.node.now());
        self.node.metrics.count(Metric::StreamsCut);
        let cut = if left <= MIN_TIME_LEFT { BodyCut::DeadlinePassed } else { BodyCut::Broken };
        emit(
            Event::StreamCut,
            &[
                ("request", &self.progress.request.id),
                ("fingerprint", &self.progress.request.fingerprint.to_string()),
                ("instance", self.source.id.as_str()),
                ("why", self.progress.reason),
                ("sent", &self.progress.used.sent.to_string()),
                ("framing", self.end.framing.text()),
                ("path", self.end.path.text()),
                ("events", &(self.events_before + self.events).to_string()),
                ("bytes", &self.bytes.to_string()),
                ("left_ms", &left.0.to_string()),
            ],
        );
        cut
    }

    /// Records the length of the answer, from which the demand on groups is estimated. Resumed
    /// streams are left out: only a part of the answer was counted.
    fn record_length(&self, now: Millis) {
        let request = &self.progress.request;
        let is_from_start = request.last_event_id.is_none();
        if let Some(model) = request.model.as_ref().filter(|_| is_from_start) {
            let events = (self.events_before + self.events) as f64;
            let expected_events = self.node.expected_answer_events();
            self.node.demand.lock().on_answer(model, events, expected_events, now);
        }
    }

    /// Records that the whole stream was forwarded.
    fn finish(&mut self) {
        self.is_closed = true;
        self.node.metrics.count(Metric::Answered);
        self.node.metrics.time(Metric::LongestGap, self.longest_gap);
        let request = &self.progress.request;
        let now = self.node.now();
        self.record_length(now);
        if self.events > 0 {
            self.node.note_finished(request);
        }
        emit(
            Event::RequestEnded,
            &[
                ("request", &request.id),
                ("instance", self.source.id.as_str()),
                ("status", "stream"),
                ("framing", self.end.framing.text()),
                ("path", self.end.path.text()),
                ("events", &(self.events_before + self.events).to_string()),
                ("bytes", &self.bytes.to_string()),
                ("first_ms", &self.first_event_at.since(request.received_at).0.to_string()),
                ("first_goal_ms", &request.route.latency_goal.0.to_string()),
                ("gap_ms", &self.longest_gap.0.to_string()),
                ("gap_goal_ms", &request.route.pause_goal.0.to_string()),
                ("load", &self.progress.first_target_load.to_string()),
                ("ms", &now.since(request.received_at).0.to_string()),
            ],
        );
    }
}

impl Drop for ProxiedStream {
    fn drop(&mut self) {
        let is_ended = self.guard.reader().is_some_and(|reader| reader.end_reason().is_some());
        if !self.is_closed && !is_ended {
            self.node.metrics.count(Metric::CallersGone);
            emit(
                Event::CallerGone,
                &[
                    ("request", &self.progress.request.id),
                    ("instance", self.source.id.as_str()),
                    ("events", &(self.events_before + self.events).to_string()),
                    ("bytes", &self.bytes.to_string()),
                ],
            );
        }
    }
}
