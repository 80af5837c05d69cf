//! Decides, while a response is awaited, when its instance is probed and when it is suspected.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use workshold_core::hosted::probe_plan::PROBE_INTERVAL;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_protocol::Millis;

use crate::node::Node;
use crate::routing_table::Target;
use crate::tasks::probing;

/// Why the wait for one instance is over, or should not go on for it alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOver {
    /// The request's deadline passed.
    DeadlinePassed,
    /// This node stops, and the request has no response that could be passed on until then.
    NodeStops,
    /// The request was quarantined meanwhile and must not run.
    Quarantined,
    /// No response will come: the instance has restarted.
    Restarted,
    /// A response may not come, for this reason: a member of the instance's group is unreachable,
    /// or the instance has been silent for too long.
    Suspected(&'static str),
}

/// How long to wait for an instance.
#[derive(Debug, Clone)]
pub struct WaitLimits {
    /// When the instance last sent something.
    pub last_data_at: Millis,
    /// Silence after which the instance is probed; `None` if the request must not run twice, so
    /// that no probe result could have a consequence.
    pub probe_after: Option<Millis>,
    /// Age up to which evidence that the group works replaces the first probe. While events are
    /// due it is the silence that is unusual; a first event or an answer has no usual time.
    pub evidence_max_age: Millis,
    /// Silence after which the instance is suspected even if all members answer probes; `None` if
    /// the request may not be sent to another instance: then no suspicion is reported at all.
    pub failover_after: Option<Millis>,
    /// No suspicion is reported before this, because the last one had no consequence.
    pub no_suspicion_before: Millis,
    /// The request's deadline.
    pub deadline: Millis,
    /// Whether a planned stop of this node ends the wait in time for a final response.
    pub ends_with_node: bool,
    /// The request's keys in the quarantine while it may not have begun to run, so that a quarantine
    /// ends the wait.
    pub queued_keys: Option<Arc<[RequestKey]>>,
}

/// Longest sleep before the clock is read again: timers do not advance while the machine is
/// suspended.
const SLEEP_MAX: Millis = Millis(1_000);
/// The wait ends this long before the deadline, so that the response reaches the caller in time.
const RESPONSE_LEAD_TIME: Millis = Millis(15);
/// Data that an instance sent before it restarted has arrived after this.
const LATE_DATA_TIMEOUT: Millis = Millis(500);

/// Waits until the wait for a response of `target` is over or the target is suspected. Probes the
/// target's group meanwhile, as far as there is no other evidence that it works.
///
/// `is_tunneled` tells whether a peer forwards the connection, which is not known before it is open.
pub async fn until_over(
    node: &Arc<Node>,
    target: &Arc<Target>,
    limits: WaitLimits,
    is_tunneled: &AtomicBool,
) -> WaitOver {
    let mut changed = node.suspicion_changed.subscribe();
    let deadline = limits.deadline - RESPONSE_LEAD_TIME;
    let first_probe_at = limits.probe_after.map(|after| limits.last_data_at + after);
    let mut evidence_max_age = limits.evidence_max_age;
    let mut failover_at = limits
        .failover_after
        .map(|after| (limits.last_data_at + after).max(limits.no_suspicion_before));
    // Half of the silence is enough if a member of the group is already suspected.
    let full_silence = limits.probe_after.filter(|_| limits.failover_after.is_some());
    let suspect_at = full_silence
        .map(|after| (limits.last_data_at + Millis(after.0 / 2)).max(limits.no_suspicion_before));
    loop {
        let is_path_suspected = !is_tunneled.load(Ordering::Relaxed)
            && node.is_silent_since_path_loss(&target.id, limits.last_data_at);
        let is_group_suspected =
            suspect_at.is_some() && (is_path_suspected || node.is_suspected(target));
        let now = node.now();
        if is_group_suspected && suspect_at.is_some_and(|at| now >= at) {
            let reason = if is_path_suspected {
                "this node has lost its path to the instance"
            } else {
                "a member of its group is unreachable"
            };
            return WaitOver::Suspected(reason);
        }
        if now >= deadline {
            return WaitOver::DeadlinePassed;
        }
        let stop_at = node.stop_deadline().filter(|_| limits.ends_with_node);
        let stop_at = stop_at.map(|at| at - RESPONSE_LEAD_TIME);
        if stop_at.is_some_and(|at| now >= at) {
            return WaitOver::NodeStops;
        }
        // While the request may be queued at the instance, it can still be cancelled.
        if limits
            .queued_keys
            .as_ref()
            .is_some_and(|request_keys| node.quarantined_key(request_keys).is_some())
        {
            return WaitOver::Quarantined;
        }
        let give_up_at =
            node.is_superseded(target).then_some(limits.last_data_at + LATE_DATA_TIMEOUT);
        if give_up_at.is_some_and(|at| now >= at) {
            return WaitOver::Restarted;
        }
        if failover_at.is_some_and(|at| now >= at) {
            if node.has_alternative_to(target) {
                return WaitOver::Suspected("the instance has been silent for too long");
            }
            failover_at = Some(now + PROBE_INTERVAL);
        }
        let next_probe =
            first_probe_at.map(|at| node.next_group_probe(target, at, evidence_max_age, now));
        if let Some(probe) = next_probe.filter(|probe| now >= probe.at) {
            // A task of its own, so that the results are recorded for all requests that wait for
            // the group, even if this one gets its response meanwhile.
            let (node, target) = (Arc::clone(node), Arc::clone(target));
            tokio::spawn(probing::probe_group(node, target, probe.scope, now));
            evidence_max_age = PROBE_INTERVAL;
            continue;
        }
        let times = [
            Some(deadline),
            stop_at,
            give_up_at,
            failover_at,
            next_probe.map(|probe| probe.at),
            suspect_at.filter(|_| is_group_suspected),
        ];
        let wake_at = times.into_iter().flatten().min().unwrap_or(deadline);
        tokio::select! {
            biased;
            _ = changed.changed() => {}
            () = tokio::time::sleep(wake_at.since(now).min(SLEEP_MAX).to_duration()) => {}
        }
    }
}
