//! Decides, while a response is awaited, when its instance is probed and when it is suspected.

use futures_util::future::join_all;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_protocol::Millis;

use crate::node::Node;
use crate::routing_table::Target;
use crate::tasks::probing;

/// Why the wait for one instance is over, or should not go on for it alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOver {
    /// The request's deadline passed.
    DeadlinePassed,
    /// The request was quarantined meanwhile and must not run.
    Quarantined,
    /// No response will come: the instance has restarted.
    Restarted,
    /// A response may not come, for this reason: a member of the instance's group is unreachable,
    /// or the instance has been silent for too long.
    Suspected(&'static str),
}

/// How long to wait for an instance.
#[derive(Debug, Clone, Copy)]
pub struct WaitLimits {
    /// When the instance last sent something.
    pub last_data_at: Millis,
    /// Silence after which the instance is probed; `None` if the request must not run twice, so
    /// that no probe result could have a consequence.
    pub probe_after: Option<Millis>,
    /// Silence after which the instance is suspected even if all members answer probes; `None` if
    /// the request may not be sent to another instance: then no suspicion is reported at all.
    pub failover_after: Option<Millis>,
    /// No suspicion is reported before this, because the last one had no consequence.
    pub no_suspicion_before: Millis,
    /// The request's deadline.
    pub deadline: Millis,
    /// The request's fingerprint while it may not have begun to run, so that a quarantine ends the
    /// wait.
    pub queued_fingerprint: Option<Fingerprint>,
}

/// How often an instance that answers probes but sends nothing is probed again, and how soon a
/// suspicion that had no consequence is reported again.
pub const REPROBE_INTERVAL: Millis = Millis(250);
/// Longest sleep before the clock is read again: timers do not advance while the machine is
/// suspended.
const SLEEP_MAX: Millis = Millis(1_000);
/// The wait ends this long before the deadline, so that the response reaches the caller in time.
const RESPONSE_LEAD_TIME: Millis = Millis(15);
/// Data that an instance sent before it restarted has arrived after this.
const LATE_DATA_TIMEOUT: Millis = Millis(500);

/// Waits until the wait for a response of `target` is over or the target is suspected. Probes the
/// target's group meanwhile.
pub async fn until_over(node: &Node, target: &Target, limits: WaitLimits) -> WaitOver {
    let mut changed = node.suspicion_changed.subscribe();
    let deadline = limits.deadline - RESPONSE_LEAD_TIME;
    let mut probe_at = limits.probe_after.map(|after| limits.last_data_at + after);
    let mut failover_at = limits
        .failover_after
        .map(|after| (limits.last_data_at + after).max(limits.no_suspicion_before));
    // Half of the silence is enough if a member of the group is already suspected.
    let full_silence = limits.probe_after.filter(|_| limits.failover_after.is_some());
    let suspect_at = full_silence
        .map(|after| (limits.last_data_at + Millis(after.0 / 2)).max(limits.no_suspicion_before));
    loop {
        let is_group_suspected = suspect_at.is_some() && node.is_suspected(target);
        let now = node.now();
        if is_group_suspected && suspect_at.is_some_and(|at| now >= at) {
            return WaitOver::Suspected("a member of its group is unreachable");
        }
        if now >= deadline {
            return WaitOver::DeadlinePassed;
        }
        // While the request may be queued at the instance, it can still be cancelled.
        if limits
            .queued_fingerprint
            .is_some_and(|fingerprint| node.quarantined_until(fingerprint).is_some())
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
            failover_at = Some(now + REPROBE_INTERVAL);
        }
        if probe_at.is_some_and(|at| now >= at) {
            probe_members(node, target).await;
            probe_at = Some(node.now() + REPROBE_INTERVAL);
            continue;
        }
        let times = [
            Some(deadline),
            give_up_at,
            failover_at,
            probe_at,
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

/// Probes all members of a target's group concurrently, unless that was done just now. The node
/// records the results for all requests that wait for them.
async fn probe_members(node: &Node, target: &Target) {
    if node.was_probed_recently(&target.id) {
        return;
    }
    let probes = target
        .members
        .iter()
        .map(|member| probing::probe_instance(node, &member.identity, &member.address));
    join_all(probes).await;
    node.note_group_probe(&target.id);
}
