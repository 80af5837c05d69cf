//! Polls the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use workshold_core::instance_list::InstanceList;
use workshold_http::client;
use workshold_protocol::report::ListedInstance;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the list for as long as the node runs. While the service doesn't answer, the last
/// list read stays in use.
pub async fn run(node: Arc<Node>) {
    let mut answers = true;
    let mut tick = tokio::time::interval(POLL_INTERVAL);
    loop {
        tick.tick().await;
        let address = &node.settings.platform.instances;
        let read = client::get::<Vec<ListedInstance>>(address, "/instances", POLL_TIMEOUT).await;
        let answered = read.is_ok();
        match read {
            Ok(list) => apply_list(&node, list),
            Err(err) if answers => emit(Event::ListUnreachable, &[("why", &err.to_string())]),
            Err(_) => {}
        }
        answers = answered;
    }
}

fn apply_list(node: &Node, list: Vec<ListedInstance>) {
    let list = InstanceList::new(list);
    if **node.list.read() == list {
        return;
    }
    *node.list.write() = Arc::new(list);
    let peers: Vec<_> = node.known_peers().into_keys().collect();
    node.membership.write().expect(peers);
    node.mark_serving_stale();
}
