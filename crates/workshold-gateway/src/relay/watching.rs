//! Waiting for an upstream, with an eye on whether it is still there.

use std::future::Future;
use std::pin::pin;

use futures_util::future::join_all;
use workshold_core::hosted::suspicion::Reach;
use workshold_protocol::Millis;

use crate::node::Node;
use crate::table::Target;
use crate::tasks::doubting;

/// What waiting brought.
#[derive(Debug)]
pub enum Watched<T> {
    /// What was waited for.
    Got(T),
    /// The request's time is up.
    TimeUp,
    /// It will not come: the instance, or one that it depends on, is out of reach, or
    /// has been silent for too long.
    Lost(&'static str),
}

/// How long to wait, and since when.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// When the instance last said something.
    pub since: Millis,
    /// Silence after which it is looked into; `None` if the request must not run
    /// twice, whatever is seen.
    pub look_after: Option<Millis>,
    /// Silence after which it is given up although all answer; `None` if the request
    /// may not be sent to another one: silence alone is then no reason to end it.
    pub move_after: Option<Millis>,
    /// When the request's time is up.
    pub ends: Millis,
}

/// How often an instance that answers but says nothing is looked into again.
const LOOK_AGAIN: Millis = Millis(250);
/// A final answer leaves this early, so that it arrives in time.
const ANSWER_LEAD: Millis = Millis(15);

/// Waits for `fut` no longer than `patience` allows.
pub async fn watch<T>(
    node: &Node,
    target: &Target,
    patience: Patience,
    fut: impl Future<Output = T>,
) -> Watched<T> {
    let mut fut = pin!(fut);
    let mut changed = node.suspicion_changed.subscribe();
    let ends = patience.ends - ANSWER_LEAD;
    let mut look_at = patience.look_after.map(|after| patience.since + after);
    let mut move_at = patience.move_after.map(|after| patience.since + after);
    // With others' word that a member is lost, less silence is enough.
    let doubt_at = patience.look_after.map(|after| patience.since + Millis(after.0 / 2));
    loop {
        let is_doubted = doubt_at.is_some() && node.is_in_doubt(target);
        let now = node.now();
        if is_doubted && doubt_at.is_some_and(|at| now >= at) {
            return Watched::Lost("a member is out of reach");
        }
        if now >= ends {
            return Watched::TimeUp;
        }
        if move_at.is_some_and(|at| now >= at) {
            if node.has_room_beside(target) {
                return Watched::Lost("it has been silent for too long");
            }
            move_at = Some(now + LOOK_AGAIN);
        }
        if look_at.is_some_and(|at| now >= at) {
            tokio::select! {
                biased;
                out = &mut fut => return Watched::Got(out),
                () = look(node, target) => {}
            }
            look_at = Some(node.now() + LOOK_AGAIN);
            continue;
        }
        let times = [Some(ends), move_at, look_at, doubt_at.filter(|_| is_doubted)];
        let wake_at = times.into_iter().flatten().min().unwrap_or(ends);
        tokio::select! {
            biased;
            out = &mut fut => return Watched::Got(out),
            _ = changed.changed(), if doubt_at.is_some() => {}
            () = tokio::time::sleep(wake_at.since(now).to_duration()) => {}
        }
    }
}

/// Tries to reach all members of a target's group at once; what it shows is noted at
/// the node.
async fn look(node: &Node, target: &Target) {
    if node.was_looked_at(&target.id) {
        return;
    }
    let tries =
        target.members.iter().map(|member| doubting::look(node, &member.id, &member.address));
    let all_answer = join_all(tries).await.iter().all(|reach| *reach == Some(Reach::Answers));
    if all_answer {
        node.note_look(&target.id);
    }
}
