//! Proxies a request to an upstream instance and its response back to the caller.
//!
//! - [`attempt`]: one attempt at one instance, up to the head of its response.
//! - [`attempts`]: the concurrent attempts of one request; the first to respond wins.
//! - [`framing`]: splits a stream into whole events.
//! - [`response_end`]: how the bodies of responses end, and what is logged of it.
//! - [`stream`]: forwards a stream's events, and continues it at another instance if they stop.
//! - [`target_choice`]: the target of an attempt, and admission by what its model accepts.
//! - [`upstream_body`]: reads the body of a response, of which a bounded part is held.
//! - [`wait`]: how long to wait for an instance before it is probed or suspected.

pub mod attempt;
pub mod attempts;
pub mod framing;
pub mod response_end;
pub mod stream;
pub mod target_choice;
pub mod upstream_body;
pub mod wait;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use hyper::Response;
use hyper::StatusCode;
use rand::Rng;
use smol_str::SmolStr;
use workshold_core::hosted::demand::RequestCost;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::probe_plan::PROBE_INTERVAL;
use workshold_core::hosted::quarantine::KeyKind;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::retry_policy;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_core::hosted::retry_policy::AttemptsUsed;
use workshold_core::hosted::retry_policy::NextStep;
use workshold_core::hosted::serving_config::RequestKind;
use workshold_platform::prompt;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::node::Refusal;
use crate::node::RequestGuard;
use crate::proxy::attempt::AttemptResponse;
use crate::proxy::attempt::Failure;
use crate::proxy::attempt::QUARANTINED;
use crate::proxy::attempts::Attempt;
use crate::proxy::attempts::AttemptEvent;
use crate::proxy::attempts::Attempts;
use crate::proxy::response_end::ResponseEnd;
use crate::proxy::stream::ProxiedStream;
use crate::proxy::target_choice::NoTarget;
use crate::proxy::wait::WaitLimits;
use crate::routing_table::Target;
use crate::tasks::probing;

/// No attempt starts with less time than this left before the deadline.
pub const MIN_TIME_LEFT: Millis = Millis(25);
/// `Retry-After` if nothing serves the model.
const RETRY_AFTER_NO_TARGET: Millis = Millis(500);
/// Longest `Retry-After` of quarantined requests: callers do not wait longer.
const RETRY_AFTER_QUARANTINED_MAX: Millis = Millis::from_secs(60);
/// Logged reason of a refusal when every instance has asked for no requests now.
const ALL_WITHHELD: &str = "all instances that serve it have asked for no requests for now";
/// Logged reason of a refusal when every instance is in an evacuated data centre.
const ALL_EVACUATED: &str = "all instances that serve it are in evacuated data centres";
/// Logged reason of a refusal under overload.
const NO_CAPACITY: &str = "requests that go before it take what its model accepts";
/// Longest `Retry-After` while instances ask for no requests: callers do not wait longer.
const RETRY_AFTER_WITHHELD_MAX: Millis = Millis::from_secs(60);
/// `Retry-After` if instances were attempted but none took the request, such as full ones.
const RETRY_AFTER_FULL: Millis = Millis(150);

/// The state of a request on its way through its attempts.
pub struct RequestProgress {
    /// The request.
    pub request: Arc<AdmittedRequest>,
    /// What its ended attempts have used up.
    pub used: AttemptsUsed,
    /// Instances that it was attempted at.
    pub tried: Vec<Identity>,
    /// Why the latest attempt ended, for logs.
    pub reason: &'static str,
    /// Requests that were in flight at its first target when it was chosen.
    pub first_target_load: u32,
    /// Suspicion of an instance is not reported before this: the last report had no consequence.
    no_suspicion_before: Millis,
    /// When an instance that has asked for no requests takes one again.
    available_at: Option<Millis>,
    /// Resumed streams that ended without framing and without an event.
    empty_resumptions: Arc<AtomicU32>,
}

impl RequestProgress {
    fn new(request: AdmittedRequest) -> Self {
        let used = AttemptsUsed { sent: 0, not_sent: 0, may_have_run: false };
        Self {
            request: Arc::new(request),
            used,
            tried: Vec::new(),
            reason: "no instance that serves it has a free slot",
            first_target_load: 0,
            no_suspicion_before: Millis::ZERO,
            available_at: None,
            empty_resumptions: Arc::default(),
        }
    }

    /// Whether nothing was attempted yet. A request that has already run in part may continue
    /// even at an instance that is full.
    fn is_new(&self) -> bool {
        self.tried.is_empty() && self.request.last_event_id.is_none()
    }

    /// How long to wait for the newest of `under_way` attempts, whose instance last sent something
    /// at `last_data_at`. `after` holds the silence after which the instance is probed, and the
    /// silence that makes it suspect even if it answers probes.
    pub fn wait_limits(
        &self,
        last_data_at: Millis,
        after: (Millis, Millis),
        under_way: u32,
    ) -> WaitLimits {
        let may_begin = retry_policy::may_hedge(&self.request.route, self.used, under_way);
        WaitLimits {
            last_data_at,
            probe_after: self.request.route.is_repeatable().then_some(after.0),
            evidence_max_age: after.0.min(PROBE_INTERVAL),
            failover_after: may_begin.then_some(after.1),
            no_suspicion_before: self.no_suspicion_before,
            deadline: self.request.deadline,
            ends_with_node: false,
            queued_keys: None,
        }
    }

    /// Time left before the deadline, or before a planned stop of this node cuts the request.
    pub fn left(&self, node: &Node) -> Millis {
        let deadline = self.request.deadline;
        node.stop_deadline().map_or(deadline, |stop| stop.min(deadline)).since(node.now())
    }

    /// Starts an attempt at `target`; a stream continues after event `last`.
    pub fn start_attempt(
        &mut self,
        node: &Arc<Node>,
        attempts: &mut Attempts,
        target: Arc<Target>,
        last: Option<u64>,
    ) {
        self.tried.push(target.id.clone());
        let empty_resumptions = &self.empty_resumptions;
        attempts.push(Attempt::start(node, &self.request, target, last, empty_resumptions));
    }

    /// Starts a hedge, which is an attempt concurrent with those under way, if there is a target
    /// with a free slot and retry budget for it. Otherwise nothing changes, and the suspicion is
    /// reported again after [`PROBE_INTERVAL`].
    pub fn start_hedge(
        &mut self,
        node: &Arc<Node>,
        attempts: &mut Attempts,
        last: Option<u64>,
        reason: &'static str,
    ) {
        let now = node.now();
        let suspect = attempts.newest().map(|newest| Arc::clone(&newest.target));
        let hedge_target = target_choice::choose_target(node, self);
        let lacks = match &hedge_target {
            _ if node.is_suspect(&self.request.request_keys) => {
                "evidence that it crashes no instance"
            }
            Err(_) => "place",
            Ok(_) if !node.take_retry(&self.request.service) => "budget",
            Ok(_) => "nothing",
        };
        let suspected_member = suspect.as_ref().and_then(|target| node.suspected_member(target));
        emit(
            Event::AttemptInDoubt,
            &[
                ("request", &self.request.id),
                ("instance", suspect.as_ref().map_or("", |target| target.id.as_str())),
                ("why", reason),
                ("in_doubt", &suspected_member.unwrap_or_default()),
                ("lacks", lacks),
            ],
        );
        match hedge_target.ok().filter(|_| lacks == "nothing") {
            Some(target) => self.start_attempt(node, attempts, target, last),
            None => self.no_suspicion_before = now + PROBE_INTERVAL,
        }
    }

    /// Records how an attempt ended while `others` are under way. An attempt that was never sent
    /// is no retry, so its retry token is returned.
    fn record_end(&mut self, node: &Node, ending: AttemptEnd, reason: &'static str, others: u32) {
        self.reason = reason;
        match ending {
            AttemptEnd::NotSent | AttemptEnd::Withheld => {
                self.used.not_sent += 1;
                if self.used.sent + others > 0 {
                    node.return_retry(&self.request.service);
                }
            }
            AttemptEnd::Refused => self.used.sent += 1,
            AttemptEnd::Unknown
            | AttemptEnd::Broken
            | AttemptEnd::Unproven
            | AttemptEnd::Failed => {
                self.used.sent += 1;
                self.used.may_have_run = true;
            }
        }
    }

    /// Records how an attempt ended while `others` continue.
    pub fn record_concurrent_failure(
        &mut self,
        node: &Node,
        target: &Target,
        (ending, reason): Failure,
        others: u32,
    ) {
        self.record_end(node, ending, reason, others);
        self.log_failure(node, target, ending, "Beside", "nothing");
    }

    /// Probes whether the instance of a broken attempt has ended. If its end would quarantine the
    /// request, the probe completes before anything else happens; otherwise it runs in the
    /// background.
    pub async fn probe_after_break(&self, node: &Node, target: &Target, ending: AttemptEnd) {
        if ending != AttemptEnd::Broken {
            return;
        }
        if node.note_connection_lost(&self.request, target) {
            probing::probe_instance(node, &target.id, &target.address).await;
        } else if !node.has_probed_head(&target.id) {
            node.note_head_probe(&target.id);
            node.probe(&target.id, &target.address, ProbeTask::ForSelf);
        }
    }

    /// Returns the retry token that [`Self::next_step`] took, because no target is free.
    pub fn return_unused_retry(&self, node: &Node) {
        if self.used.sent > 0 {
            node.return_retry(&self.request.service);
        }
    }

    /// Logs a failed attempt: `next` is what follows, `lacks` what another attempt would need.
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
                ("request", &self.request.id),
                ("fingerprint", &self.request.fingerprint.to_string()),
                ("parts", &prompt::shared_parts(&self.request.headers).join(",")),
                ("instance", target.id.as_str()),
                ("ending", &format!("{ending:?}")),
                ("why", self.reason),
                ("next", next),
                ("sent", &self.used.sent.to_string()),
                ("lacks", lacks),
                ("in_doubt", &node.suspected_member(target).unwrap_or_default()),
            ],
        );
    }

    /// Records how the only attempt ended, and decides what follows. A retry takes a token from the
    /// retry budget.
    pub fn next_step(
        &mut self,
        node: &Node,
        target: &Target,
        ending: AttemptEnd,
        reason: &'static str,
    ) -> NextStep {
        self.record_end(node, ending, reason, 0);
        let has_time = self.left(node) > MIN_TIME_LEFT;
        let is_quarantined = node.quarantined_key(&self.request.request_keys).is_some();
        let has_attempts = self.used.sent < self.request.route.attempts.max(1);
        let may_continue = has_time && !is_quarantined;
        let next = |has_budget| {
            retry_policy::next_step(
                &self.request.route,
                ending,
                self.used,
                has_budget,
                may_continue,
            )
        };
        let is_retry = self.used.sent > 0 && next(true) == NextStep::Again;
        let has_budget = !is_retry || node.take_retry(&self.request.service);
        let lacks = match (has_time, has_attempts, has_budget) {
            _ if is_quarantined => QUARANTINED,
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
    request: AdmittedRequest,
    guard: RequestGuard,
) -> Response<ResponseBody> {
    // Requests that crash instances come under new ids, at any node, so the quarantine is looked up
    // by their content and the parts of their prompts, before they are counted or sent.
    if let Some(held) = node.quarantined_key(&request.request_keys) {
        return refuse_quarantined(node, &request, held);
    }
    node.count_request(&request.service);
    node.metrics.count(Metric::Requests);
    record_demand(node, &request);
    let last = request.last_event_id;
    let mut progress = RequestProgress::new(request);
    if node.is_isolated() {
        progress.reason = attempt::CUT_OFF;
        return give_up(node, &progress, NextStep::NotRun);
    }
    if let Err(refusal) = target_choice::admit(node, &progress) {
        return shed(node, &progress, refusal);
    }
    let mut attempts = Attempts::default();
    loop {
        if attempts.is_empty() {
            let target = match target_choice::wait_for_target(node, &progress).await {
                Ok(target) => target,
                Err(NoTarget { available_at, is_evacuated }) => {
                    progress.available_at = available_at;
                    progress.reason = match available_at {
                        Some(_) => ALL_WITHHELD,
                        None if is_evacuated => ALL_EVACUATED,
                        None => progress.reason,
                    };
                    progress.return_unused_retry(node);
                    let next = if progress.used.may_have_run {
                        NextStep::Unknown
                    } else {
                        NextStep::NotRun
                    };
                    return give_up(node, &progress, next);
                }
            };
            if let Some(held) = node.quarantined_key(&progress.request.request_keys) {
                progress.return_unused_retry(node);
                if progress.used.may_have_run {
                    return give_up(node, &progress, NextStep::Unknown);
                }
                return refuse_quarantined(node, &progress.request, held);
            }
            if progress.is_new() {
                progress.first_target_load = node.loads.of(&target.id).requests;
            }
            progress.start_attempt(node, &mut attempts, target, last);
        }
        let limits = opening_wait_limits(node, &progress, &mut attempts);
        let (target, (ending, reason), res) =
            match attempts.next(node, &progress.request.id, limits).await {
                AttemptEvent::Responded(target, AttemptResponse::Complete(res, end))
                    if is_retryable_failure(&progress, &res) =>
                {
                    (
                        target,
                        (AttemptEnd::Failed, "the upstream answered with a server error"),
                        Some((res, end)),
                    )
                }
                AttemptEvent::Responded(target, AttemptResponse::Complete(res, end)) => {
                    attempts.drop_all(node, &progress.request.id);
                    finish_response(node, &progress, &target, res.status(), end);
                    return res;
                }
                AttemptEvent::Responded(_, AttemptResponse::Stream(started)) => {
                    progress.used.sent += attempts.drop_all(node, &progress.request.id);
                    let (head, event_stream) = *started;
                    return ProxiedStream::response(
                        Arc::clone(node),
                        progress,
                        guard,
                        head,
                        event_stream,
                    );
                }
                AttemptEvent::Failed(target, failure) => (target, failure, None),
                AttemptEvent::Suspected(reason) => {
                    progress.start_hedge(node, &mut attempts, last, reason);
                    continue;
                }
                // No attempt has a stream yet.
                AttemptEvent::Events(_) => continue,
            };
        record_failure(node, &target, ending);
        progress.probe_after_break(node, &target, ending).await;
        if !attempts.is_empty() {
            progress.record_concurrent_failure(node, &target, (ending, reason), attempts.len());
            continue;
        }
        match (progress.next_step(node, &target, ending, reason), res) {
            (NextStep::Again, _) => {}
            (NextStep::PassOn, Some((res, end))) => {
                finish_response(node, &progress, &target, res.status(), end);
                return res;
            }
            (next, _) => return give_up(node, &progress, next),
        }
    }
}

/// Counts a failure against an instance for outlier detection, unless the instance only stated
/// how many requests it takes, or its response may be complete.
pub fn record_failure(node: &Node, target: &Target, ending: AttemptEnd) {
    let now = node.now();
    let is_restricted = ending == AttemptEnd::Refused
        && node.instance_limits.lock().restricts_sending(&target.id, now);
    let is_no_failure = matches!(ending, AttemptEnd::Withheld | AttemptEnd::Unproven);
    if !is_no_failure && !is_restricted {
        node.outliers.lock().on_failure(&target.id, now);
    }
}

/// How long to wait for the newest attempt while none has responded yet.
fn opening_wait_limits(
    node: &Node,
    progress: &RequestProgress,
    attempts: &mut Attempts,
) -> WaitLimits {
    let under_way = attempts.len();
    let newest = attempts.newest().expect("an attempt is under way");
    let mean_ms =
        node.gaps.lock().mean_ms(&newest.target.id).unwrap_or(newest.target.idle_event_gap_ms);
    let limits = progress.wait_limits(
        newest.last_data_at,
        first_response_limits(progress, mean_ms),
        under_way,
    );
    WaitLimits {
        evidence_max_age: PROBE_INTERVAL,
        ends_with_node: true,
        queued_keys: Some(Arc::clone(&progress.request.request_keys)),
        ..limits
    }
}

/// Counts the request towards its model's demand, whether it can be served or not.
fn record_demand(node: &Node, request: &AdmittedRequest) {
    if let Some(model) = &request.model {
        node.demand.lock().on_request(model, request_cost(request), node.now());
    }
}

/// What the request adds to its model's demand.
fn request_cost(request: &AdmittedRequest) -> RequestCost {
    RequestCost { prompt_tokens: request.prompt_tokens, pause_goal: request.route.pause_goal }
}

/// Whether the upstream failed (5xx) and the route allows the request to run again.
fn is_retryable_failure(progress: &RequestProgress, res: &Response<ResponseBody>) -> bool {
    res.status().is_server_error() && progress.request.route.is_repeatable()
}

/// Records a complete response in metrics and logs, and its success in the quarantine.
fn finish_response(
    node: &Node,
    progress: &RequestProgress,
    target: &Target,
    status: StatusCode,
    end: ResponseEnd,
) {
    let took = node.now().since(progress.request.received_at);
    if status.is_success() {
        node.note_finished(&progress.request);
    }
    node.metrics.count(Metric::Answered);
    node.metrics.time(Metric::FirstEvent, took);
    emit(
        Event::RequestEnded,
        &[
            ("request", &progress.request.id),
            ("instance", target.id.as_str()),
            ("status", status.as_str()),
            ("framing", end.framing.text()),
            ("path", end.path.text()),
            ("events", &end.events.to_string()),
            ("bytes", &end.bytes.to_string()),
            ("ms", &took.0.to_string()),
        ],
    );
}

/// Refuses a quarantined request. `Retry-After` is long, because a retry is refused as well until
/// the quarantine ends or an operator releases the request.
fn refuse_quarantined(
    node: &Node,
    request: &AdmittedRequest,
    (key, until): (RequestKey, Millis),
) -> Response<ResponseBody> {
    node.note_quarantine_refusal(key.fingerprint);
    let after = until.since(node.now()).min(RETRY_AFTER_QUARANTINED_MAX);
    let parts = prompt::shared_parts(&request.headers);
    let part = parts.iter().find(|id| Fingerprint::of_prompt_part(id) == key.fingerprint);
    emit(
        Event::RequestNotRun,
        &[
            ("request", &request.id),
            ("fingerprint", &request.fingerprint.to_string()),
            ("why", QUARANTINED),
            ("kind", &key.kind.to_string()),
            ("held", &key.fingerprint.to_string()),
            ("part", part.map_or("", SmolStr::as_str)),
        ],
    );
    node.metrics.count(Metric::NotRun);
    node.metrics.count(Metric::RequestsHeld);
    let text = match key.kind {
        KeyKind::Content => "it has not run; it ends whoever begins to run it",
        KeyKind::PromptPart => "it has not run; a part of its prompt ends whoever begins to run it",
    };
    responses::not_run(text, with_jitter(after))
}

/// Refuses a request because those that go before it take what its model accepts.
fn shed(node: &Node, progress: &RequestProgress, refusal: Refusal) -> Response<ResponseBody> {
    let request = &progress.request;
    let percent = |fraction: f64| format!("{:.0}", fraction * 100.0);
    emit(
        Event::RequestNotRun,
        &[
            ("request", &request.id),
            ("fingerprint", &request.fingerprint.to_string()),
            ("why", NO_CAPACITY),
            ("rank", &request.rank.to_string()),
            ("kind", &format!("{:?}", refusal.kind)),
            ("admissible_percent", &percent(refusal.admissible)),
            ("admitted_percent", &percent(refusal.admitted)),
            ("retry_after_ms", &refusal.retry_after.0.to_string()),
        ],
    );
    node.metrics.count(Metric::NotRun);
    node.metrics.count(Metric::Shed);
    responses::not_run("it has not run; its model has no capacity for it now", refusal.retry_after)
}

/// The final response to a request that is given up.
fn give_up(node: &Node, progress: &RequestProgress, next: NextStep) -> Response<ResponseBody> {
    let is_deadline_passed = progress.left(node) <= MIN_TIME_LEFT;
    let took = node.now().since(progress.request.received_at).0.to_string();
    let sent = progress.used.sent.to_string();
    let fingerprint = progress.request.fingerprint.to_string();
    let fields = [
        ("request", &*progress.request.id),
        ("fingerprint", &*fingerprint),
        ("why", progress.reason),
        ("ms", &*took),
        ("sent", &*sent),
    ];
    if next == NextStep::NotRun {
        emit(Event::RequestNotRun, &fields);
        node.metrics.count(Metric::NotRun);
        if let Some(model) = &progress.request.model {
            node.demand.lock().on_refusal(model, request_cost(&progress.request), node.now());
        }
        let retry_after =
            if progress.tried.is_empty() { RETRY_AFTER_NO_TARGET } else { RETRY_AFTER_FULL };
        let wait_for = |at: Millis| at.since(node.now()).min(RETRY_AFTER_WITHHELD_MAX);
        let after = progress.available_at.map_or(Millis::ZERO, wait_for);
        return responses::not_run(
            "it has not run; come back later",
            after + with_jitter(retry_after),
        );
    }
    emit(Event::RequestUnknown, &fields);
    node.metrics.count(Metric::Unknown);
    let status =
        if is_deadline_passed { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    responses::plain_text(status, "nobody knows whether it has run")
}

/// Adds jitter: one to two times `after`, so that callers do not all retry at the same time.
fn with_jitter(after: Millis) -> Millis {
    Millis(after.0 + rand::rng().random_range(0..=after.0))
}

/// How long the first event or the answer may take before the instance is probed, and before
/// another attempt starts elsewhere.
pub fn first_response_limits(progress: &RequestProgress, usual_gap_ms: f64) -> (Millis, Millis) {
    let latency_goal = progress.request.route.latency_goal;
    match progress.request.route.kind {
        RequestKind::Stream => {
            let probe_after = Millis((latency_goal.0 * 4 / 5).max((usual_gap_ms * 3.0) as u64));
            (probe_after, Millis(latency_goal.0 * 4).max(FIRST_EVENT_FAILOVER_MIN))
        }
        RequestKind::Idempotent | RequestKind::AtMostOnce => {
            let half = Millis(progress.request.deadline.since(progress.request.received_at).0 / 2);
            (Millis(latency_goal.0 * 2 / 3), Millis(latency_goal.0 * 3).min(half))
        }
    }
}

/// Shortest wait for a stream's first event before another attempt starts: longer than a request
/// queues at a busy engine.
const FIRST_EVENT_FAILOVER_MIN: Millis = Millis(1_200);
