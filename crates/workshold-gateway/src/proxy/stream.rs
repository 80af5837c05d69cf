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
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_core::hosted::retry_policy::NextStep;
use workshold_protocol::Millis;

use crate::callers::responses;
use crate::callers::responses::Cut;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::node::RequestGuard;
use crate::proxy;
use crate::proxy::Course;
use crate::proxy::LEAST_TIME;
use crate::proxy::attempt::Current;
use crate::proxy::attempt::Failure;
use crate::proxy::attempt::Opened;
use crate::proxy::attempts::Attempt;
use crate::proxy::attempts::AttemptEvent;
use crate::proxy::attempts::Attempts;
use crate::proxy::wait::Patience;
use crate::routing_table::Target;

/// A stream that is being forwarded to its caller.
pub struct StreamRelay {
    node: Arc<Node>,
    course: Course,
    attempts: Attempts,
    /// The instance that sent the latest events.
    speaker: Arc<Target>,
    /// Whole events that are not forwarded yet.
    ready: Bytes,
    /// The id of the last event in `ready` or already forwarded.
    last: Option<u64>,
    /// When it came.
    since: Millis,
    /// When the first events came.
    first_at: Millis,
    /// The longest time between two events, over all instances.
    longest_gap: Millis,
    /// Events of the current instance, and of those before it.
    events: u64,
    events_before: u64,
    /// Whether the upstream's stream has ended.
    is_over: bool,
    /// Whether the end was reported to the caller, as complete or cut.
    has_ended: bool,
    _guard: RequestGuard,
}

impl StreamRelay {
    /// Builds the caller's response from a head and its first events; the body forwards the rest.
    pub fn answer(
        node: Arc<Node>,
        course: Course,
        guard: RequestGuard,
        mut head: Parts,
        current: Current,
    ) -> Response<ResponseBody> {
        responses::strip(&mut head.headers);
        let now = node.now();
        let speaker = Arc::clone(&current.target);
        node.outliers.lock().on_answer(&speaker.id, now.since(current.since), now);
        node.metrics.time(Metric::FirstEvent, now.since(course.job.received_at));
        let last = course.job.last_event_id;
        let mut proxy = Self {
            node,
            course,
            attempts: Attempts::default(),
            speaker,
            ready: Bytes::new(),
            last,
            since: now,
            first_at: now,
            longest_gap: Millis::ZERO,
            events: 0,
            events_before: 0,
            is_over: false,
            has_ended: false,
            _guard: guard,
        };
        proxy.attempts.push(Attempt::streaming(current, now));
        proxy.take_events(true);
        let events = stream::unfold(proxy, |mut proxy| async move {
            let next = proxy.next().await?;
            Some((next.map(Frame::data), proxy))
        });
        Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(events)))
    }

    /// The next events for the caller; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            if self.has_ended {
                return None;
            }
            if !self.ready.is_empty() {
                return Some(Ok(std::mem::take(&mut self.ready)));
            }
            if self.is_over {
                self.end();
                return None;
            }
            if let Err(cut) = self.listen().await {
                self.has_ended = true;
                return Some(Err(cut));
            }
        }
    }

    /// Waits for the next event of the attempts, and handles it.
    async fn listen(&mut self) -> Result<(), Cut> {
        let patience = self.patience();
        match self.attempts.next(&self.node, &self.course.job.id, patience).await {
            AttemptEvent::Events(ended) => {
                self.course.used.sent += ended;
                self.take_events(false);
            }
            AttemptEvent::Opened(_, Opened::Stream(begun)) => self.move_to(begun.1),
            AttemptEvent::Opened(target, Opened::Whole(_)) => {
                let failure = (AttemptEnd::Failed, "the response is not a stream");
                return self.on_failure(&target, failure).await;
            }
            AttemptEvent::Failed(target, failure) => {
                return self.on_failure(&target, failure).await;
            }
            AttemptEvent::Suspect(why) => {
                self.course.begin_beside(&self.node, &mut self.attempts, self.last, why);
            }
        }
        Ok(())
    }

    fn patience(&mut self) -> Patience {
        let under_way = self.attempts.len();
        let newest = self.attempts.newest().expect("an attempt is under way");
        let (id, since) = (&newest.target.id, newest.since);
        let mean_ms = self.node.gaps.lock().mean_ms(id).unwrap_or(newest.target.quiet_gap_ms);
        let goal = self.course.job.route.pause_goal;
        let rules = self.node.stall;
        let after = if newest.is_opening() {
            proxy::first_patience(&self.course, mean_ms)
        } else {
            (rules.probe_after(mean_ms, goal), rules.failover_after(mean_ms, goal))
        };
        let waiting = newest.is_opening().then_some(self.course.job.fingerprint);
        Patience { waiting, ..self.course.patience(since, after, under_way) }
    }

    /// Takes the events that the only attempt has received. The time to its first events is not
    /// recorded as a gap between events.
    fn take_events(&mut self, is_first: bool) {
        let now = self.node.now();
        let Some(speaker) = self.attempts.newest() else { return };
        let silent_for = now.since(speaker.since);
        speaker.since = now;
        let Some(current) = speaker.current() else { return };
        self.ready = std::mem::take(&mut current.ready);
        self.last = current.framer.last();
        self.events = current.framer.taken();
        self.is_over = current.is_over;
        if !self.ready.is_empty() {
            if !is_first {
                self.node.gaps.lock().on_gap(&self.speaker.id, silent_for);
            }
            self.longest_gap = self.longest_gap.max(now.since(self.since));
            self.since = now;
        }
    }

    /// Continues with the stream of another instance, which has responded; the other attempts are
    /// dropped together with what they may still send.
    fn move_to(&mut self, current: Current) {
        let now = self.node.now();
        self.course.used.sent += self.attempts.drop_all(&self.node, &self.course.job.id);
        self.speaker = Arc::clone(&current.target);
        self.events_before += self.events;
        let behind = self.last.map_or_else(|| "none".to_owned(), |last| last.to_string());
        let gap_ms = now.since(self.since).0.to_string();
        self.attempts.push(Attempt::streaming(current, now));
        self.take_events(true);
        self.node.metrics.count(Metric::StreamsMoved);
        emit(
            Event::StreamMoved,
            &[
                ("request", &self.course.job.id),
                ("instance", self.speaker.id.as_str()),
                ("behind", &behind),
                ("gap_ms", &gap_ms),
            ],
        );
    }

    /// Handles the failure of an attempt: other attempts continue. If there are none, the stream is
    /// retried at another instance, or cut if that is not possible.
    async fn on_failure(&mut self, target: &Target, (ending, why): Failure) -> Result<(), Cut> {
        proxy::note_failure(&self.node, target, ending);
        self.course.look_into(&self.node, target, ending).await;
        if !self.attempts.is_empty() {
            let others = self.attempts.len();
            self.course.ended_beside(&self.node, target, (ending, why), others);
            return Ok(());
        }
        if self.course.after(&self.node, target, ending, why) != NextStep::Again {
            return Err(self.cut());
        }
        let Ok(next) = proxy::pick(&self.node, &self.course) else {
            self.course.give_up_repeat(&self.node);
            return Err(self.cut());
        };
        self.course.begin(&self.node, &mut self.attempts, next, self.last);
        Ok(())
    }

    fn cut(&self) -> Cut {
        let left = self.course.left(&self.node);
        self.node.metrics.count(Metric::StreamsCut);
        let cut = if left <= LEAST_TIME { Cut::TimeUp } else { Cut::Broken };
        emit(
            Event::StreamCut,
            &[
                ("request", &self.course.job.id),
                ("fingerprint", &self.course.job.fingerprint.to_string()),
                ("instance", self.speaker.id.as_str()),
                ("why", self.course.why),
                ("sent", &self.course.used.sent.to_string()),
                ("left_ms", &left.0.to_string()),
            ],
        );
        cut
    }

    /// Records the length of the answer, from which the demand on groups is estimated. Resumed
    /// streams are left out: only a part of the answer was counted.
    fn note_length(&self, now: Millis) {
        let job = &self.course.job;
        let is_whole = job.last_event_id.is_none();
        if let Some(model) = job.model.as_ref().filter(|_| is_whole) {
            let events = (self.events_before + self.events) as f64;
            let mean_ms = self.node.expected_answer_events();
            self.node.demand.lock().on_answer(model, events, mean_ms, now);
        }
    }

    fn end(&mut self) {
        self.has_ended = true;
        self.node.metrics.count(Metric::Answered);
        self.node.metrics.time(Metric::LongestGap, self.longest_gap);
        let job = &self.course.job;
        let now = self.node.now();
        self.note_length(now);
        if self.events > 0 {
            self.node.note_finished(job);
        }
        emit(
            Event::RequestEnded,
            &[
                ("request", &job.id),
                ("instance", self.speaker.id.as_str()),
                ("status", "stream"),
                ("first_ms", &self.first_at.since(job.received_at).0.to_string()),
                ("first_goal_ms", &job.route.latency_goal.0.to_string()),
                ("gap_ms", &self.longest_gap.0.to_string()),
                ("gap_goal_ms", &job.route.pause_goal.0.to_string()),
                ("load", &self.course.load.to_string()),
                ("ms", &now.since(job.received_at).0.to_string()),
            ],
        );
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.has_ended {
            let fields = [("request", self.course.job.id.as_str())];
            self.node.metrics.count(Metric::CallersGone);
            emit(Event::CallerGone, &fields);
        }
    }
}
