//! Giving turns to waiting requests when reports, not ends of requests, make room.

use std::sync::Arc;
use std::time::Duration;

use crate::callers::generation::with_desk;
use crate::node::Node;

const EVERY: Duration = Duration::from_millis(50);

/// Looks at every queue for as long as the node runs.
pub async fn run(node: Arc<Node>) {
    let mut tick = tokio::time::interval(EVERY);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        node.refresh_serving();
        let mut waiting = Vec::new();
        node.desks.for_each(|model, desk| {
            if desk.waiting() > 0 {
                waiting.push(model.clone());
            }
        });
        for model in waiting {
            with_desk(&node, &model, |desk, view| desk.dispatch(view));
        }
    }
}
