//! Chooses the target of an attempt, and decides which new requests are admitted by what the groups
//! of their model accept.

use std::sync::Arc;

use rand::Rng;
use smol_str::SmolStr;
use workshold_core::hosted::admission::room;
use workshold_core::hosted::admission::room::HeadLoad;
use workshold_core::hosted::instance_limits::Withheld;
use workshold_core::hosted::instance_limits::WithheldReason;
use workshold_core::hosted::placement;
use workshold_core::hosted::placement::Candidate;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::node::ModelRoom;
use crate::node::Node;
use crate::node::Refusal;
use crate::proxy::MIN_TIME_LEFT;
use crate::proxy::RequestProgress;
use crate::routing_table::RoutingTable;
use crate::routing_table::Target;
use crate::settings::AdmissionSettings;

/// Requests that may queue at a full group: one slot becomes free within a fraction of the
/// latency goal, several do not.
const QUEUED_MAX: u32 = 2;
/// A request waits for a target to become available for its latency goal divided by this.
const TARGET_WAIT_DIVISOR: u64 = 6;
/// Poll interval while a request waits for a target.
const TARGET_POLL_INTERVAL: Millis = Millis(15);
/// Time until the first event that engines and networks need at a head without load, beyond the
/// prefill.
const FIRST_EVENT_MS: f64 = 150.0;
/// A node that hears no peer for this long after its start is alone.
const COUNTS_TIMEOUT: Millis = Millis(1_000);

/// No target takes the request now.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoTarget {
    /// When the first instance takes requests again, if all that serve the request have asked for
    /// none now.
    pub available_at: Option<Millis>,
    /// Whether all that serve the request are in evacuated data centres.
    pub is_evacuated: bool,
}

/// Waits a little for a target: a moment without any is often shorter than the caller's round
/// trip for a retry.
pub async fn wait_for_target(
    node: &Node,
    progress: &RequestProgress,
) -> Result<Arc<Target>, NoTarget> {
    let max_wait = Millis(progress.request.route.latency_goal.0 / TARGET_WAIT_DIVISOR);
    let until = node.now() + max_wait;
    loop {
        let no_target = match choose_target(node, progress) {
            Ok(target) => return Ok(target),
            Err(no_target) => no_target,
        };
        let is_late = no_target.available_at.is_some_and(|at| at > until);
        let is_timed_out =
            node.now() + TARGET_POLL_INTERVAL > until || progress.left(node) <= MIN_TIME_LEFT;
        if is_late || is_timed_out || no_target.is_evacuated {
            return Err(no_target);
        }
        tokio::time::sleep(TARGET_POLL_INTERVAL.to_duration()).await;
    }
}

/// Chooses the best target that was not attempted yet.
///
/// # Errors
///
/// [`NoTarget`] if there is none, or none with a free slot.
pub fn choose_target(node: &Node, progress: &RequestProgress) -> Result<Arc<Target>, NoTarget> {
    let routing_table = node.routing_table();
    let request = &progress.request;
    let (targets, no_target) = accepting(node, untried_targets(&routing_table, progress));
    let candidates = candidates(node, &targets);
    if progress.is_new() && placement::are_full(&candidates, QUEUED_MAX) {
        return Err(NoTarget::default());
    }
    let random = rand::rng().random();
    let chosen = match (&node.settings().admission, &request.model) {
        (Some(admission), Some(model)) => {
            choose_by_rate(node, request, model, &candidates, admission)
        }
        _ => placement::choose(&candidates, random),
    };
    chosen.map(|chosen| Arc::clone(targets[chosen])).ok_or(no_target)
}

/// Decides whether a new request is admitted, by what the groups of its model accept. Requests
/// without a model, and all requests without admission settings, are.
///
/// # Errors
///
/// [`Refusal`] if it is not admitted.
pub fn admit(node: &Node, progress: &RequestProgress) -> Result<(), Refusal> {
    let settings = node.settings();
    let request = &progress.request;
    let (Some(admission), Some(model)) = (&settings.admission, &request.model) else {
        return Ok(());
    };
    let routing_table = node.routing_table();
    let (targets, _) = accepting(node, untried_targets(&routing_table, progress));
    let candidates = candidates(node, &targets);
    if !progress.is_new() || candidates.is_empty() {
        return Ok(());
    }
    let rules = admission.room_rules();
    let heads: Vec<HeadLoad> = head_loads(node, model, &candidates).collect();
    let rate = |head: &HeadLoad| head.accepted_rate(request.route.latency_goal, &rules);
    let model_room = ModelRoom {
        accepted_per_s: heads.iter().map(rate).sum(),
        excess: heads.iter().map(|head| head.excess(&rules)).sum(),
    };
    node.admit(request, model, model_room, admission)
}

/// Draws a head in proportion to the rates that heads accept. Of two that are both far from full,
/// the cheaper one is taken: the counts' age matters little there.
fn choose_by_rate(
    node: &Node,
    request: &AdmittedRequest,
    model: &SmolStr,
    candidates: &[Candidate],
    admission: &AdmissionSettings,
) -> Option<usize> {
    let rules = admission.room_rules();
    let rates: Vec<f64> = head_loads(node, model, candidates)
        .map(|head| head.accepted_rate(request.route.latency_goal, &rules))
        .collect();
    let first = room::draw_head(&rates, rand::rng().random())?;
    let second = room::draw_head(&rates, rand::rng().random())?;
    let are_calm = [first, second].iter().all(|i| candidates[*i].load * 2 < candidates[*i].slots);
    let is_second_cheaper = candidates[second].cost() < candidates[first].cost();
    Some(if are_calm && is_second_cheaper { second } else { first })
}

/// The loads of candidates that are heads of groups of `model`.
fn head_loads<'a>(
    node: &Node,
    model: &str,
    candidates: &'a [Candidate],
) -> impl Iterator<Item = HeadLoad> + 'a {
    let events = node.demand.lock().mean_events(model);
    let events = events.unwrap_or_else(|| node.expected_answer_events());
    let has_counts = node.loads.has_peer_loads() || node.age() >= COUNTS_TIMEOUT;
    candidates.iter().map(move |candidate| {
        let head = HeadLoad {
            load: candidate.load,
            slots: candidate.slots,
            unread_ms: candidate.queued_prefill_ms,
            service_ms: events * candidate.event_ms + FIRST_EVENT_MS,
            is_deprioritized: candidate.is_deprioritized,
        };
        if has_counts { head } else { head.without_counts() }
    })
}

/// The targets of a request that it was not attempted at.
fn untried_targets<'a>(
    routing_table: &'a RoutingTable,
    progress: &'a RequestProgress,
) -> impl Iterator<Item = &'a Arc<Target>> {
    let request = &progress.request;
    routing_table
        .of(&request.service)
        .iter()
        .filter(|target| target.model.is_none() || target.model == request.model)
        .filter(|target| !progress.tried.contains(&target.id))
}

/// What is known of the targets.
fn candidates(node: &Node, targets: &[&Arc<Target>]) -> Vec<Candidate> {
    let settings = node.settings();
    let now = node.now();
    let gaps = node.gaps.lock();
    let outliers = node.outliers.lock();
    let candidate = |target: &&Arc<Target>| {
        let load = node.loads.of(&target.id);
        Candidate {
            load: load.requests,
            queued_prefill_ms: f64::from(load.unread) * target.prefill_ms_per_token,
            slots: target.slots,
            event_ms: gaps.mean_ms(&target.id).unwrap_or(target.idle_event_gap_ms),
            is_near: target.data_centre == settings.node.data_centre,
            is_deprioritized: outliers.is_ejected(&target.id, now) || node.is_suspected(target),
        }
    };
    targets.iter().map(candidate).collect()
}

/// The targets that take a request from this node now, and what is known of the others.
fn accepting<'a>(
    node: &Node,
    targets: impl Iterator<Item = &'a Arc<Target>>,
) -> (Vec<&'a Arc<Target>>, NoTarget) {
    let mut others = NoTarget::default();
    if node.accepts_any_target() {
        return (targets.collect(), others);
    }
    let mut accepting = Vec::new();
    let mut evacuated = 0;
    let mut total = 0;
    for target in targets {
        total += 1;
        match node.check_target(target) {
            Ok(()) => accepting.push(target),
            Err(Withheld { why: WithheldReason::Evacuated, .. }) => evacuated += 1,
            Err(Withheld { until, .. }) => {
                others.available_at = others.available_at.into_iter().chain(until).min();
            }
        }
    }
    others.is_evacuated = total > 0 && evacuated == total;
    (accepting, others)
}
