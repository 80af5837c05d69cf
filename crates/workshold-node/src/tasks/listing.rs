//! Polls the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use workshold_core::instance_list::InstanceList;
use workshold_http::client;
use workshold_protocol::report::ListedInstance;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;

const EVERY: Duration = Duration::from_secs(1);
const WITHIN: Duration = Duration::from_secs(1);

/// Polls the list for as long as the node runs. While the service doesn't answer, the last
/// list read stays in use.
pub async fn run(node: Arc<Node>) {
    let mut answers = true;
    let mut tick = tokio::time::interval(EVERY);
    loop {
        tick.tick().await;
        let address = &node.settings.platform.instances;
        let read = client::get::<Vec<ListedInstance>>(address, "/instances", WITHIN).await;
        let answered = read.is_ok();
        match read {
            Ok(list) => take(&node, list),
            Err(err) if answers => emit(Event::ListUnreachable, &[("why", &err.to_string())]),
            Err(_) => {}
        }
        answers = answered;
    }
}

fn take(node: &Node, list: Vec<ListedInstance>) {
    let list = InstanceList::new(list);
    if **node.list.read() == list {
        return;
    }
    *node.list.write() = Arc::new(list);
    let peers: Vec<_> = node.known_peers().into_keys().collect();
    node.membership.write().expect(peers);
    node.touch();
}
