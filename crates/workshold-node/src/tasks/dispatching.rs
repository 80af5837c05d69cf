//! Dispatches queued requests periodically: free slots also show up in reports of
//! instances, not only when a request of this node ends.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::callers::generation::with_dispatcher;
use crate::node::Node;

const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks between two removals of the state of groups that are gone: one second.
const CLEANUP_TICKS: u64 = 20;

/// Drops the routing state of groups that are no longer in the replayed state.
fn drop_gone_groups(node: &Node) {
    let groups: Option<BTreeSet<_>> =
        node.with_state(|state| state.fleet.groups().map(|group| group.id.clone()).collect());
    let Some(groups) = groups else { return };
    node.dispatchers.for_each(|_, dispatcher| dispatcher.retain(|group| groups.contains(group)));
}

/// Dispatches from all queues for as long as the node runs.
pub async fn run(node: Arc<Node>) {
    let mut tick = tokio::time::interval(DISPATCH_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for tick_count in 0_u64.. {
        tick.tick().await;
        node.refresh_serving();
        if tick_count % CLEANUP_TICKS == 0 {
            drop_gone_groups(&node);
        }
        let mut waiting = Vec::new();
        node.dispatchers.for_each(|model, dispatcher| {
            if dispatcher.queue_len() > 0 {
                waiting.push(model.clone());
            }
        });
        for model in waiting {
            with_dispatcher(&node, &model, |dispatcher, cx| dispatcher.dispatch(cx));
        }
    }
}
