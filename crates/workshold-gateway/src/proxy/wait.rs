//! An eye on whether an upstream is still there, while its answer is waited for.

use futures_util::future::join_all;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_protocol::Millis;

use crate::node::Node;
use crate::routing_table::Target;
use crate::tasks::probing;

/// Why waiting for one instance alone may be in vain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOver {
    /// The request's time is up.
    TimeUp,
    /// It must not run: it is kept from instances from now on.
    Held,
    /// It will not: another life of the instance has begun.
    Ended,
    /// It may not come: the instance, or one that it depends on, is out of reach, or has
    /// been silent for too long.
    Suspect(&'static str),
}

/// How long to wait, and since when.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// When the instance last said something.
    pub since: Millis,
    /// Silence after which it is looked into; `None` if the request must not run
    /// twice, whatever is seen.
    pub probe_after: Option<Millis>,
    /// Silence after which there is doubt although all answer; `None` if the request may
    /// not be sent to another one: then no doubt is told at all.
    pub failover_after: Option<Millis>,
    /// No doubt is told before this: nothing followed from the last one.
    pub held_until: Millis,
    /// When the request's time is up.
    pub deadline: Millis,
    /// What it asks, as long as it may not have begun to run.
    pub waiting: Option<Fingerprint>,
}

/// How often an instance that answers but says nothing is looked into again, and how
/// soon doubt is told again from which nothing followed.
pub const LOOK_AGAIN: Millis = Millis(250);
/// The clock is asked again this soon: timers do not count what the machine sleeps.
const LOOKS_UP: Millis = Millis(1_000);
/// A final answer leaves this early, so that it arrives in time.
const ANSWER_LEAD: Millis = Millis(15);
/// What an instance said before it began anew has come by now.
const LAST_WORDS: Millis = Millis(500);

/// Waits until there is doubt that `target` will say something.
pub async fn doubt(node: &Node, target: &Target, patience: Patience) -> WaitOver {
    let mut changed = node.suspicion_changed.subscribe();
    let deadline = patience.deadline - ANSWER_LEAD;
    let mut look_at = patience.probe_after.map(|after| patience.since + after);
    let mut move_at =
        patience.failover_after.map(|after| (patience.since + after).max(patience.held_until));
    // With others' word that a member is lost, less silence is enough.
    let half = patience.probe_after.filter(|_| patience.failover_after.is_some());
    let doubt_at =
        half.map(|after| (patience.since + Millis(after.0 / 2)).max(patience.held_until));
    loop {
        let is_doubted = doubt_at.is_some() && node.is_suspected(target);
        let now = node.now();
        if is_doubted && doubt_at.is_some_and(|at| now >= at) {
            return WaitOver::Suspect("a member is out of reach");
        }
        if now >= deadline {
            return WaitOver::TimeUp;
        }
        // Unread in an instance's queue it can still be called back.
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
                return WaitOver::Suspect("it has been silent for too long");
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

/// Tries to reach all members of a target's group at once; what it shows is noted at
/// the node, for all who wait for them.
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
