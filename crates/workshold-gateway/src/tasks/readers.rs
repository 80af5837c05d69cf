//! Checks periodically which callers and instances do not read what is held for them.

use std::sync::Arc;
use std::time::Duration;

use crate::node::Node;

/// Interval of the checks: a small part of the time for which bytes may go unread.
const INTERVAL: Duration = Duration::from_millis(250);

/// Runs the checks until the node ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        node.check_readers();
    }
}
