//! Passing a stream's events on, and going on elsewhere when they stop.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::http::response::Parts;
use workshold_core::hosted::tries::Next;
use workshold_protocol::Millis;

use crate::callers::answers;
use crate::callers::answers::AnswerBody;
use crate::callers::answers::Cut;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::node::RequestGuard;
use crate::relay;
use crate::relay::Course;
use crate::relay::LEAST_TIME;
use crate::relay::attempt;
use crate::relay::attempt::Current;
use crate::relay::attempt::Failure;
use crate::relay::attempt::Opened;

/// A stream under way to its caller.
pub struct StreamRelay {
    node: Arc<Node>,
    course: Course,
    current: Current,
    first_at: Millis,
    longest_gap: Millis,
    /// Events of the attempts before this one.
    events_before: u64,
    has_ended: bool,
    _guard: RequestGuard,
}

impl StreamRelay {
    /// The answer whose head and first events have come.
    pub fn answer(
        node: Arc<Node>,
        course: Course,
        guard: RequestGuard,
        mut head: Parts,
        mut current: Current,
    ) -> Response<AnswerBody> {
        answers::strip(&mut head.headers);
        let now = node.now();
        node.outliers.lock().on_answer(&current.target.id, now.since(current.since), now);
        current.since = now;
        node.metrics.time(Metric::FirstEvent, now.since(course.job.began));
        let relay = Self {
            node,
            course,
            current,
            first_at: now,
            longest_gap: Millis::ZERO,
            events_before: 0,
            has_ended: false,
            _guard: guard,
        };
        let events = stream::unfold(relay, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        });
        Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(events)))
    }

    /// The next events; `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            if self.has_ended {
                return None;
            }
            if !self.current.ready.is_empty() {
                return Some(Ok(std::mem::take(&mut self.current.ready)));
            }
            if self.current.is_over {
                self.end();
                return None;
            }
            if let Err(failure) = self.read().await
                && let Err(cut) = self.move_on(failure).await
            {
                self.has_ended = true;
                return Some(Err(cut));
            }
        }
    }

    async fn read(&mut self) -> Result<(), Failure> {
        let usual = self.usual_gap();
        let goal = self.course.job.route.pause_goal;
        let rules = self.node.silence;
        let since = self.current.since;
        let after = (rules.look_after(usual, goal), rules.move_after(usual, goal));
        let patience = self.course.patience(since, after);
        self.current.read(&self.node, patience).await?;
        if !self.current.ready.is_empty() {
            let now = self.node.now();
            let gap = now.since(since);
            self.node.gaps.lock().on_gap(&self.current.target.id, gap);
            self.longest_gap = self.longest_gap.max(gap);
            self.current.since = now;
        }
        Ok(())
    }

    fn usual_gap(&self) -> f64 {
        let target = &self.current.target;
        self.node.gaps.lock().usual(&target.id).unwrap_or(target.quiet_gap_ms)
    }

    /// Goes on behind the last event elsewhere; late bytes of the old attempt are
    /// dropped with it.
    async fn move_on(&mut self, failure: Failure) -> Result<(), Cut> {
        let (mut ending, mut why) = failure;
        let last = self.current.framer.last();
        let mut target = Arc::clone(&self.current.target);
        let since = self.current.since;
        loop {
            self.node.outliers.lock().on_failure(&target.id, self.node.now());
            if self.course.after(&self.node, &target, ending, why) != Next::Again {
                return Err(self.cut());
            }
            let Some(next) = relay::pick(&self.node, &self.course) else {
                return Err(self.cut());
            };
            target = next;
            match attempt::open_after(&self.node, &self.course, &target, last).await {
                Ok(Opened::Stream(_, current)) => {
                    self.events_before += self.current.framer.taken();
                    self.current = current;
                    break;
                }
                Ok(Opened::Whole(_)) => return Err(self.cut()),
                Err(failure) => (ending, why) = failure,
            }
        }
        let now = self.node.now();
        self.longest_gap = self.longest_gap.max(now.since(since));
        self.current.since = now;
        self.node.metrics.count(Metric::StreamsMoved);
        emit(
            Event::StreamMoved,
            &[
                ("request", &self.course.job.id),
                ("instance", target.id.as_str()),
                ("behind", &last.map_or_else(|| "none".to_owned(), |last| last.to_string())),
                ("gap_ms", &now.since(since).0.to_string()),
            ],
        );
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
                ("instance", self.current.target.id.as_str()),
                ("why", self.course.why),
                ("sent", &self.course.used.sent.to_string()),
                ("left_ms", &left.0.to_string()),
            ],
        );
        cut
    }

    /// How long answers are says what is asked of the groups.
    fn note_length(&self, now: Millis) {
        let job = &self.course.job;
        let is_whole = job.last_event.is_none();
        if let Some(model) = job.model.as_ref().filter(|_| is_whole) {
            let events = (self.events_before + self.current.framer.taken()) as f64;
            let usual = self.node.usual_events();
            self.node.demand.lock().on_answer(model, events, usual, now);
        }
    }

    fn end(&mut self) {
        self.has_ended = true;
        self.node.metrics.count(Metric::Answered);
        self.node.metrics.time(Metric::LongestGap, self.longest_gap);
        let job = &self.course.job;
        let now = self.node.now();
        self.note_length(now);
        emit(
            Event::RequestEnded,
            &[
                ("request", &job.id),
                ("instance", self.current.target.id.as_str()),
                ("status", "stream"),
                ("first_ms", &self.first_at.since(job.began).0.to_string()),
                ("first_goal_ms", &job.route.goal.0.to_string()),
                ("gap_ms", &self.longest_gap.0.to_string()),
                ("gap_goal_ms", &job.route.pause_goal.0.to_string()),
                ("load", &self.course.load.to_string()),
                ("ms", &now.since(job.began).0.to_string()),
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
