//! Dispatches queued requests periodically: free slots also show up in reports of
//! instances, not only when a request of this node ends.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::callers::generation::with_dispatcher;
use crate::node::Node;

const EVERY: Duration = Duration::from_millis(50);
/// Ticks between two removals of the state of groups that are gone: one second.
const FORGET_EVERY: u64 = 20;

/// Drops the routing state of groups that are no longer in the replayed state.
fn forget_gone(node: &Node) {
    let groups: Option<BTreeSet<_>> =
        node.with_state(|state| state.fleet.groups().map(|group| group.id.clone()).collect());
    let Some(groups) = groups else { return };
    node.dispatchers.for_each(|_, desk| desk.retain(|group| groups.contains(group)));
}

/// Dispatches from all queues for as long as the node runs.
pub async fn run(node: Arc<Node>) {
    let mut tick = tokio::time::interval(EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for turn in 0_u64.. {
        tick.tick().await;
        node.refresh_serving();
        if turn % FORGET_EVERY == 0 {
            forget_gone(&node);
        }
        let mut waiting = Vec::new();
        node.dispatchers.for_each(|model, desk| {
            if desk.waiting() > 0 {
                waiting.push(model.clone());
            }
        });
        for model in waiting {
            with_dispatcher(&node, &model, |desk, view| desk.dispatch(view));
        }
    }
}
