//! Proxies a request to an upstream instance and its response back to the caller.
//!
//! - [`attempt`]: one attempt at one instance, up to the head of its response.
//! - [`attempts`]: the concurrent attempts of one request; the first to respond wins.
//! - [`framing`]: splits a stream into whole events.
//! - [`stream`]: forwards a stream's events, and continues it at another instance if they stop.
//! - [`wait`]: how long to wait for an instance before it is probed or suspected.

pub mod attempt;
pub mod attempts;
pub mod framing;
pub mod stream;
pub mod wait;

use std::sync::Arc;

use hyper::Response;
use hyper::StatusCode;
use rand::Rng;
use workshold_core::hosted::demand::RequestCost;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits::Withheld;
use workshold_core::hosted::placement;
use workshold_core::hosted::placement::Candidate;
use workshold_core::hosted::retry_policy;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_core::hosted::retry_policy::AttemptsUsed;
use workshold_core::hosted::retry_policy::NextStep;
use workshold_core::hosted::serving_config::RequestKind;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::node::RequestGuard;
use crate::proxy::attempt::Failure;
use crate::proxy::attempt::HELD;
use crate::proxy::attempt::Opened;
use crate::proxy::attempts::Attempt;
use crate::proxy::attempts::AttemptEvent;
use crate::proxy::attempts::Attempts;
use crate::proxy::stream::StreamRelay;
use crate::proxy::wait::LOOK_AGAIN;
use crate::proxy::wait::Patience;
use crate::routing_table::Target;
use crate::tasks::probing;

/// No attempt starts with less time than this left before the deadline.
pub const LEAST_TIME: Millis = Millis(25);
/// Requests that may queue at a full group: one slot becomes free within a fraction of the
/// latency goal, several do not.
const MAY_WAIT: u32 = 2;
/// A request waits for a target to become available for its latency goal divided by this.
const WAIT_PART: u64 = 6;
/// Poll interval while a request waits for a target.
const WAIT_STEP: Millis = Millis(15);
/// `Retry-After` if nothing serves the model.
const COME_BACK_NONE: Millis = Millis(500);
/// Longest `Retry-After` of quarantined requests: callers do not wait longer.
const COME_BACK_HELD: Millis = Millis::from_secs(60);
/// Logged reason of a refusal when every instance has asked for no requests now.
const ALL_WITHHELD: &str = "all instances that serve it have asked for no requests for now";
/// Longest `Retry-After` while instances ask for no requests: callers do not wait longer.
const COME_BACK_LONGEST: Millis = Millis::from_secs(60);
/// `Retry-After` if upstreams were tried and refused because they are full.
const COME_BACK_FULL: Millis = Millis(150);

/// The state of a request on its way through its attempts.
pub struct Course {
    /// The request.
    pub job: Arc<AdmittedRequest>,
    /// What its ended attempts have used up.
    pub used: AttemptsUsed,
    /// Instances that it was attempted at.
    pub tried: Vec<Identity>,
    /// Why the latest attempt ended, for logs.
    pub why: &'static str,
    /// Requests that were in flight at its first target when it was chosen.
    pub load: u32,
    /// Suspicion of an instance is not reported before this: the last report had no consequence.
    held_until: Millis,
    /// When an instance that has asked for no requests takes one again.
    free_at: Option<Millis>,
}

impl Course {
    fn new(job: AdmittedRequest) -> Self {
        let used = AttemptsUsed { sent: 0, not_sent: 0, may_have_run: false };
        Self {
            job: Arc::new(job),
            used,
            tried: Vec::new(),
            why: "no instance that serves it has a free slot",
            load: 0,
            held_until: Millis::ZERO,
            free_at: None,
        }
    }

    /// Whether nothing was attempted yet. A request that has already run in part may continue
    /// even at an instance that is full.
    fn is_new(&self) -> bool {
        self.tried.is_empty() && self.job.last_event_id.is_none()
    }

    /// How long to wait for the newest of `under_way` attempts, whose instance last sent something
    /// at `since`. `after` holds the silence after which the instance is probed, and the silence
    /// that makes it suspect even if it answers probes.
    pub fn patience(&self, since: Millis, after: (Millis, Millis), under_way: u32) -> Patience {
        let may_begin = retry_policy::may_hedge(&self.job.route, self.used, under_way);
        Patience {
            since,
            probe_after: self.job.route.is_repeatable().then_some(after.0),
            failover_after: may_begin.then_some(after.1),
            held_until: self.held_until,
            deadline: self.job.deadline,
            waiting: None,
        }
    }

    /// Time left before the deadline.
    pub fn left(&self, node: &Node) -> Millis {
        self.job.left(node.now())
    }

    /// Starts an attempt at `target`; a stream continues after event `last`.
    pub fn begin(
        &mut self,
        node: &Arc<Node>,
        attempts: &mut Attempts,
        target: Arc<Target>,
        last: Option<u64>,
    ) {
        self.tried.push(target.id.clone());
        attempts.push(Attempt::begin(node, &self.job, target, last));
    }

    /// Starts an attempt concurrent with those under way (a hedge), if there is a target with a
    /// free slot and retry budget for it. Otherwise nothing changes, and the suspicion is
    /// reported again after [`LOOK_AGAIN`].
    pub fn begin_beside(
        &mut self,
        node: &Arc<Node>,
        attempts: &mut Attempts,
        last: Option<u64>,
        why: &'static str,
    ) {
        let now = node.now();
        let doubted = attempts.newest().map(|newest| Arc::clone(&newest.target));
        let place = pick(node, self);
        let lacks = match &place {
            _ if node.is_suspect(self.job.fingerprint) => "proof that it ends no instance",
            Err(_) => "place",
            Ok(_) if !node.take_retry(&self.job.service) => "budget",
            Ok(_) => "nothing",
        };
        let suspected_member = doubted.as_ref().and_then(|target| node.suspected_member(target));
        emit(
            Event::AttemptInDoubt,
            &[
                ("request", &self.job.id),
                ("instance", doubted.as_ref().map_or("", |target| target.id.as_str())),
                ("why", why),
                ("in_doubt", &suspected_member.unwrap_or_default()),
                ("lacks", lacks),
            ],
        );
        match place.ok().filter(|_| lacks == "nothing") {
            Some(target) => self.begin(node, attempts, target, last),
            None => self.held_until = now + LOOK_AGAIN,
        }
    }

    /// Records how an attempt ended while `others` are under way. An attempt that was never sent
    /// is no retry, so its retry token is returned.
    fn note(&mut self, node: &Node, ending: AttemptEnd, why: &'static str, others: u32) {
        self.why = why;
        match ending {
            AttemptEnd::NotSent | AttemptEnd::Withheld => {
                self.used.not_sent += 1;
                if self.used.sent + others > 0 {
                    node.return_retry(&self.job.service);
                }
            }
            AttemptEnd::Refused => self.used.sent += 1,
            AttemptEnd::Unknown | AttemptEnd::Broken | AttemptEnd::Failed => {
                self.used.sent += 1;
                self.used.may_have_run = true;
            }
        }
    }

    /// Records how an attempt ended while `others` continue.
    pub fn ended_beside(
        &mut self,
        node: &Node,
        target: &Target,
        (ending, why): Failure,
        others: u32,
    ) {
        self.note(node, ending, why, others);
        self.log_failure(node, target, ending, "Beside", "nothing");
    }

    /// Probes whether the instance of a broken attempt has ended. If its end would quarantine the
    /// request, the probe completes before anything else happens; otherwise it runs in the
    /// background.
    pub async fn look_into(&self, node: &Node, target: &Target, ending: AttemptEnd) {
        if ending != AttemptEnd::Broken {
            return;
        }
        if node.note_connection_lost(&self.job, target) {
            probing::probe_instance(node, &target.id, &target.address).await;
        } else if !node.was_probed_recently(&target.id) {
            node.note_group_probe(&target.id);
            node.probe(&target.id, &target.address, ProbeTask::Look);
        }
    }

    /// Returns the retry token that [`Self::after`] took, because no target is free.
    pub fn give_up_repeat(&self, node: &Node) {
        if self.used.sent > 0 {
            node.return_retry(&self.job.service);
        }
    }

    fn log_failure(
        &self,
        node: &Node,
        target: &Target,
        ending: AttemptEnd,
        next: &str,
        lacks: &str,
    ) {
        node.metrics.count(Metric::AttemptsFailed);
        emit(
            Event::AttemptFailed,
            &[
                ("request", &self.job.id),
                ("fingerprint", &self.job.fingerprint.to_string()),
                ("instance", target.id.as_str()),
                ("ending", &format!("{ending:?}")),
                ("why", self.why),
                ("next", next),
                ("sent", &self.used.sent.to_string()),
                ("lacks", lacks),
                ("in_doubt", &node.suspected_member(target).unwrap_or_default()),
            ],
        );
    }

    /// Records how the only attempt ended, and decides what follows. A retry takes a token from the
    /// retry budget.
    pub fn after(
        &mut self,
        node: &Node,
        target: &Target,
        ending: AttemptEnd,
        why: &'static str,
    ) -> NextStep {
        self.note(node, ending, why, 0);
        let has_time = self.left(node) > LEAST_TIME;
        let is_held = node.quarantined_until(self.job.fingerprint).is_some();
        let has_attempts = self.used.sent < self.job.route.attempts.max(1);
        let may_go_on = has_time && !is_held;
        let next = |has_budget| {
            retry_policy::next(&self.job.route, ending, self.used, has_budget, may_go_on)
        };
        let is_repeat = self.used.sent > 0 && next(true) == NextStep::Again;
        let has_budget = !is_repeat || node.take_retry(&self.job.service);
        let lacks = match (has_time, has_attempts, has_budget) {
            _ if is_held => HELD,
            (false, ..) => "time",
            (_, false, _) => "attempts",
            (.., false) => "budget",
            _ => "nothing",
        };
        let next = next(has_budget);
        self.log_failure(node, target, ending, &format!("{next:?}"), lacks);
        next
    }
}

/// Proxies one request, with retries, and returns the final response.
pub async fn run(
    node: &Arc<Node>,
    job: AdmittedRequest,
    guard: RequestGuard,
) -> Response<ResponseBody> {
    // A request that crashes instances comes back under new ids, at any node, so the quarantine is
    // looked up by its content, before the request is counted or sent.
    if let Some(until) = node.quarantined_until(job.fingerprint) {
        return refuse_held(node, &job, until);
    }
    node.count_request(&job.service);
    node.metrics.count(Metric::Requests);
    note_demand(node, &job);
    let last = job.last_event_id;
    let mut course = Course::new(job);
    let mut attempts = Attempts::default();
    loop {
        if attempts.is_empty() {
            let target = match wait_for_target(node, &course).await {
                Ok(target) => target,
                Err(NoTarget { free_at }) => {
                    course.free_at = free_at;
                    course.why = free_at.map_or(course.why, |_| ALL_WITHHELD);
                    course.give_up_repeat(node);
                    let next =
                        if course.used.may_have_run { NextStep::Unknown } else { NextStep::NotRun };
                    return give_up(node, &course, next);
                }
            };
            if let Some(until) = node.quarantined_until(course.job.fingerprint) {
                course.give_up_repeat(node);
                if course.used.may_have_run {
                    return give_up(node, &course, NextStep::Unknown);
                }
                return refuse_held(node, &course.job, until);
            }
            if course.is_new() {
                course.load = node.loads.of(&target.id).requests;
            }
            course.begin(node, &mut attempts, target, last);
        }
        let patience = opening_patience(node, &course, &mut attempts);
        let (target, (ending, why), res) = match attempts.next(node, &course.job.id, patience).await
        {
            AttemptEvent::Opened(target, Opened::Whole(res))
                if is_worth_repeating(&course, &res) =>
            {
                (
                    target,
                    (AttemptEnd::Failed, "the upstream answered with a server error"),
                    Some(res),
                )
            }
            AttemptEvent::Opened(target, Opened::Whole(res)) => {
                attempts.drop_all(node, &course.job.id);
                log_end(node, &course, &target, res.status());
                return res;
            }
            AttemptEvent::Opened(_, Opened::Stream(begun)) => {
                course.used.sent += attempts.drop_all(node, &course.job.id);
                let (head, current) = *begun;
                return StreamRelay::answer(Arc::clone(node), course, guard, head, current);
            }
            AttemptEvent::Failed(target, failure) => (target, failure, None),
            AttemptEvent::Suspect(why) => {
                course.begin_beside(node, &mut attempts, last, why);
                continue;
            }
            // No attempt has a stream yet.
            AttemptEvent::Events(_) => continue,
        };
        note_failure(node, &target, ending);
        course.look_into(node, &target, ending).await;
        if !attempts.is_empty() {
            course.ended_beside(node, &target, (ending, why), attempts.len());
            continue;
        }
        match (course.after(node, &target, ending, why), res) {
            (NextStep::Again, _) => {}
            (NextStep::PassOn, Some(res)) => {
                log_end(node, &course, &target, res.status());
                return res;
            }
            (next, _) => return give_up(node, &course, next),
        }
    }
}

/// Counts a failure against an instance for outlier detection, unless the instance only stated
/// how many requests it takes.
pub fn note_failure(node: &Node, target: &Target, ending: AttemptEnd) {
    let now = node.now();
    let has_said = ending == AttemptEnd::Refused
        && node.instance_limits.lock().restricts_sending(&target.id, now);
    if ending != AttemptEnd::Withheld && !has_said {
        node.outliers.lock().on_failure(&target.id, now);
    }
}

/// How long to wait for the newest attempt while none has responded yet.
fn opening_patience(node: &Node, course: &Course, attempts: &mut Attempts) -> Patience {
    let under_way = attempts.len();
    let newest = attempts.newest().expect("one was begun");
    let mean_ms = node.gaps.lock().mean_ms(&newest.target.id).unwrap_or(newest.target.quiet_gap_ms);
    let patience = course.patience(newest.since, first_patience(course, mean_ms), under_way);
    Patience { waiting: Some(course.job.fingerprint), ..patience }
}

/// Counts the request towards its model's demand, whether it can be served or not.
fn note_demand(node: &Node, job: &AdmittedRequest) {
    if let Some(model) = &job.model {
        node.demand.lock().on_request(model, asked(job), node.now());
    }
}

fn asked(job: &AdmittedRequest) -> RequestCost {
    RequestCost { prompt_tokens: job.prompt_tokens, pause_goal: job.route.pause_goal }
}

fn is_worth_repeating(course: &Course, res: &Response<ResponseBody>) -> bool {
    res.status().is_server_error() && course.job.route.is_repeatable()
}

fn log_end(node: &Node, course: &Course, target: &Target, status: StatusCode) {
    let took = node.now().since(course.job.received_at);
    if status.is_success() {
        node.note_finished(&course.job);
    }
    node.metrics.count(Metric::Answered);
    node.metrics.time(Metric::FirstEvent, took);
    emit(
        Event::RequestEnded,
        &[
            ("request", &course.job.id),
            ("instance", target.id.as_str()),
            ("status", status.as_str()),
            ("ms", &took.0.to_string()),
        ],
    );
}

/// Refuses a quarantined request. `Retry-After` is long, because a retry is refused as well until
/// the quarantine ends or an operator releases the request.
fn refuse_held(node: &Node, job: &AdmittedRequest, until: Millis) -> Response<ResponseBody> {
    let after = until.since(node.now()).min(COME_BACK_HELD);
    let fingerprint = job.fingerprint.to_string();
    let fields = [("request", &*job.id), ("fingerprint", &*fingerprint), ("why", HELD)];
    emit(Event::RequestNotRun, &fields);
    node.metrics.count(Metric::NotRun);
    node.metrics.count(Metric::RequestsHeld);
    responses::not_run("it has not run; it ends whoever begins to run it", spread(after))
}

/// The final response to a request that is given up.
fn give_up(node: &Node, course: &Course, next: NextStep) -> Response<ResponseBody> {
    let is_time_up = course.left(node) <= LEAST_TIME;
    let took = node.now().since(course.job.received_at).0.to_string();
    let sent = course.used.sent.to_string();
    let fingerprint = course.job.fingerprint.to_string();
    let fields = [
        ("request", &*course.job.id),
        ("fingerprint", &*fingerprint),
        ("why", course.why),
        ("ms", &*took),
        ("sent", &*sent),
    ];
    if next == NextStep::NotRun {
        emit(Event::RequestNotRun, &fields);
        node.metrics.count(Metric::NotRun);
        if let Some(model) = &course.job.model {
            node.demand.lock().on_refusal(model, asked(&course.job), node.now());
        }
        let none = if course.tried.is_empty() { COME_BACK_NONE } else { COME_BACK_FULL };
        let free_in = |at: Millis| at.since(node.now()).min(COME_BACK_LONGEST);
        let after = course.free_at.map_or(Millis::ZERO, free_in);
        return responses::not_run("it has not run; come back later", after + spread(none));
    }
    emit(Event::RequestUnknown, &fields);
    node.metrics.count(Metric::Unknown);
    let status = if is_time_up { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    responses::own(status, "nobody knows whether it has run")
}

/// Adds jitter: one to two times `after`, so that callers do not all retry at the same time.
fn spread(after: Millis) -> Millis {
    Millis(after.0 + rand::rng().random_range(0..=after.0))
}

/// No target takes the request now.
#[derive(Debug)]
pub struct NoTarget {
    /// When the first instance takes requests again, if all that serve the request have asked for
    /// none now.
    pub free_at: Option<Millis>,
}

/// Waits a little for a target: a moment without any is often shorter than the caller's round
/// trip for a retry.
async fn wait_for_target(node: &Node, course: &Course) -> Result<Arc<Target>, NoTarget> {
    let patience = Millis(course.job.route.latency_goal.0 / WAIT_PART);
    let until = node.now() + patience;
    loop {
        let none = match pick(node, course) {
            Ok(target) => return Ok(target),
            Err(none) => none,
        };
        let is_late = none.free_at.is_some_and(|at| at > until);
        let is_over = node.now() + WAIT_STEP > until || course.left(node) <= LEAST_TIME;
        if is_late || is_over {
            return Err(none);
        }
        tokio::time::sleep(WAIT_STEP.to_duration()).await;
    }
}

/// Chooses the best target that was not attempted yet.
///
/// # Errors
///
/// [`NoTarget`] if there is none, or none with a free slot.
pub fn pick(node: &Node, course: &Course) -> Result<Arc<Target>, NoTarget> {
    let routing_table = node.routing_table();
    let job = &course.job;
    let fits = routing_table
        .of(&job.service)
        .iter()
        .filter(|target| target.model.is_none() || target.model == job.model)
        .filter(|target| !course.tried.contains(&target.id));
    let (fits, free_at) = taking(node, fits);
    let settings = node.settings();
    let now = node.now();
    let gaps = node.gaps.lock();
    let outliers = node.outliers.lock();
    let candidates: Vec<Candidate> = fits
        .iter()
        .map(|target| (target, node.loads.of(&target.id)))
        .map(|(target, load)| Candidate {
            load: load.requests,
            queued_prefill_ms: f64::from(load.unread) * target.read_ms,
            slots: target.slots,
            event_ms: gaps.mean_ms(&target.id).unwrap_or(target.quiet_gap_ms),
            is_near: target.data_centre == settings.node.data_centre,
            is_deprioritized: outliers.is_ejected(&target.id, now) || node.is_suspected(target),
        })
        .collect();
    if course.is_new() && placement::are_full(&candidates, MAY_WAIT) {
        return Err(NoTarget { free_at: None });
    }
    let chosen = placement::choose(&candidates, rand::rng().random());
    chosen.map(|chosen| Arc::clone(fits[chosen])).ok_or(NoTarget { free_at })
}

/// The targets that take a request from this node now, and when the first of the others does.
fn taking<'a>(
    node: &Node,
    fits: impl Iterator<Item = &'a Arc<Target>>,
) -> (Vec<&'a Arc<Target>>, Option<Millis>) {
    if node.instance_limits.lock().is_empty() {
        return (fits.collect(), None);
    }
    let mut free_at: Option<Millis> = None;
    let taking = fits.filter(|target| match node.check_instance_limits(&target.id) {
        Ok(()) => true,
        Err(Withheld { until, .. }) => {
            free_at = free_at.into_iter().chain(until).min();
            false
        }
    });
    (taking.collect(), free_at)
}

/// How long the first event or the answer may take before the instance is probed, and before
/// another attempt starts elsewhere.
pub fn first_patience(course: &Course, usual_gap_ms: f64) -> (Millis, Millis) {
    let latency_goal = course.job.route.latency_goal;
    match course.job.route.kind {
        RequestKind::Stream => {
            let look = Millis((latency_goal.0 * 4 / 5).max((usual_gap_ms * 3.0) as u64));
            (look, Millis(latency_goal.0 * 4).max(LEAST_FIRST_MOVE))
        }
        RequestKind::Idempotent | RequestKind::AtMostOnce => {
            let half = Millis(course.job.deadline.since(course.job.received_at).0 / 2);
            (Millis(latency_goal.0 * 2 / 3), Millis(latency_goal.0 * 3).min(half))
        }
    }
}

/// Shortest wait for a stream's first event before another attempt starts: longer than a request
/// queues at a busy engine.
const LEAST_FIRST_MOVE: Millis = Millis(1_200);
