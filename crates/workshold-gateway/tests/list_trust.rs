//! An instance whose entry goes missing soon after an outage of the store counts as present for a
//! while, since entries expire in an outage.

mod common;

use smol_str::SmolStr;
use workshold_gateway::node::Node;
use workshold_gateway::peers::ListNews;
use workshold_gateway::peers::ListRecord;
use workshold_gateway::tasks::store_sync;
use workshold_platform::config;
use workshold_platform_standin::deployment;
use workshold_protocol::Millis;
use workshold_protocol::ids::ServiceName;

const ENTRY: &str = r#"{"service":"gate","address":"10.0.0.1:80","zone":"a","slots":6,
    "sequence":1,"state":"ready"}"#;
/// Interval at which a node refreshes its routing table.
const REFRESH_INTERVAL: Millis = Millis(250);
/// An instance that is gone gets no requests this long after its entry went missing, if the store
/// failed last at that moment.
const WITHDRAWN_WITHIN: Millis = Millis(2_600);

/// Applies a record of the instance `i-1`, at `offset`.
fn write(node: &Node, offset: u64, value: &str) {
    let record = ListRecord { place: offset.into(), key: SmolStr::new("i-1"), value: value.into() };
    let update = ListNews {
        from: offset.into(),
        next: (offset + 1).into(),
        copy_end: 0.into(),
        age_ms: 0,
        records: vec![record],
    };
    assert!(store_sync::apply_list_news(node, &update, node.now()));
}

fn targets(node: &Node) -> usize {
    node.routing_table().of(&ServiceName::new("gate").unwrap()).len()
}

/// Guards against a table that is refreshed while a missing entry may come back, but not when that
/// time is over: requests were sent to an instance up to two seconds after the node knew that it
/// was gone.
#[test]
fn an_instance_missing_after_an_outage_gets_no_requests_once_it_counts_as_gone() {
    let (node, clock, _) = common::node();
    let text = deployment::config(1, "k1");
    let serving_config = config::decode(text.as_bytes()).unwrap();
    node.install_config(serving_config, text.into(), node.now());
    write(&node, 0, ENTRY);
    node.rebuild_table();
    assert_eq!(targets(&node), 1);
    let now = node.now();
    node.list.lock().trust.on_store_failure(now);
    write(&node, 1, "");
    node.refresh_table();
    assert_eq!(targets(&node), 1, "its entry may have expired in the outage");
    let mut waited = Millis::ZERO;
    while waited < WITHDRAWN_WITHIN {
        clock.advance(REFRESH_INTERVAL);
        waited = waited + REFRESH_INTERVAL;
        node.refresh_table();
    }
    assert_eq!(targets(&node), 0, "after {waited}");
}
