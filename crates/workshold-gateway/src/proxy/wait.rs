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
    TimeUp,
    /// The request was quarantined meanwhile and must not run.
    Held,
    /// No response will come: the instance has restarted.
    Ended,
    /// A response may not come, for this reason: a member of the instance's group is unreachable,
    /// or the instance has been silent for too long.
    Suspect(&'static str),
}

/// How long to wait for an instance.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// When the instance last sent something.
    pub since: Millis,
    /// Silence after which the instance is probed; `None` if the request must not run twice, so
    /// that no probe result could have a consequence.
    pub probe_after: Option<Millis>,
    /// Silence after which the instance is suspected even if all members answer probes; `None` if
    /// the request may not be sent to another instance: then no suspicion is reported at all.
    pub failover_after: Option<Millis>,
    /// No suspicion is reported before this, because the last one had no consequence.
    pub held_until: Millis,
    /// The request's deadline.
    pub deadline: Millis,
    /// The request's fingerprint while it may not have begun to run, so that a quarantine ends the
    /// wait.
    pub waiting: Option<Fingerprint>,
}

/// How often an instance that answers probes but sends nothing is probed again, and how soon a
/// suspicion that had no consequence is reported again.
pub const LOOK_AGAIN: Millis = Millis(250);
/// Longest sleep before the clock is read again: timers do not advance while the machine is
/// suspended.
const LOOKS_UP: Millis = Millis(1_000);
/// The wait ends this long before the deadline, so that the response reaches the caller in time.
const ANSWER_LEAD: Millis = Millis(15);
/// Data that an instance sent before it restarted has arrived after this.
const LAST_WORDS: Millis = Millis(500);

/// Waits until the wait for a response of `target` is over or the target is suspected. Probes the
/// target's group meanwhile.
pub async fn doubt(node: &Node, target: &Target, patience: Patience) -> WaitOver {
    let mut changed = node.suspicion_changed.subscribe();
    let deadline = patience.deadline - ANSWER_LEAD;
    let mut look_at = patience.probe_after.map(|after| patience.since + after);
    let mut move_at =
        patience.failover_after.map(|after| (patience.since + after).max(patience.held_until));
    // Half of the silence is enough if a member of the group is already suspected.
    let half = patience.probe_after.filter(|_| patience.failover_after.is_some());
    let doubt_at =
        half.map(|after| (patience.since + Millis(after.0 / 2)).max(patience.held_until));
    loop {
        let is_doubted = doubt_at.is_some() && node.is_suspected(target);
        let now = node.now();
        if is_doubted && doubt_at.is_some_and(|at| now >= at) {
            return WaitOver::Suspect("a member of its group is unreachable");
        }
        if now >= deadline {
            return WaitOver::TimeUp;
        }
        // While the request may be queued at the instance, it can still be cancelled.
        if patience.waiting.is_some_and(|fingerprint| node.quarantined_until(fingerprint).is_some())
        {
            return WaitOver::Held;
        }
        let ended_at = node.is_superseded(target).then_some(patience.since + LAST_WORDS);
        if ended_at.is_some_and(|at| now >= at) {
            return WaitOver::Ended;
        }
        if move_at.is_some_and(|at| now >= at) {
            if node.has_alternative_to(target) {
                return WaitOver::Suspect("the instance has been silent for too long");
            }
            move_at = Some(now + LOOK_AGAIN);
        }
        if look_at.is_some_and(|at| now >= at) {
            look(node, target).await;
            look_at = Some(node.now() + LOOK_AGAIN);
            continue;
        }
        let times = [Some(deadline), ended_at, move_at, look_at, doubt_at.filter(|_| is_doubted)];
        let wake_at = times.into_iter().flatten().min().unwrap_or(deadline);
        tokio::select! {
            biased;
            _ = changed.changed() => {}
            () = tokio::time::sleep(wake_at.since(now).min(LOOKS_UP).to_duration()) => {}
        }
    }
}

/// Probes all members of a target's group concurrently, unless that was done just now. The node
/// records the results for all requests that wait for them.
async fn look(node: &Node, target: &Target) {
    if node.was_probed_recently(&target.id) {
        return;
    }
    let retry_policy = target
        .members
        .iter()
        .map(|member| probing::probe_instance(node, &member.identity, &member.address));
    join_all(retry_policy).await;
    node.note_group_probe(&target.id);
}
