//! Quarantine records in the store: how a node that hears few peers, or could not read the store at
//! its start, learns which requests are quarantined.

mod common;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_gateway::tasks::quarantine_store;
use workshold_platform_standin::store::StandInStore;
use workshold_protocol::Millis;

/// A node that starts in a deployment that has run before serves after a while even if the store is
/// unreachable. It must read the quarantine records later, whichever peers it hears.
#[tokio::test]
async fn quarantine_records_unread_at_the_start_are_read_later() {
    let store = StandInStore::start().await;
    let text = common::SETTINGS.replace("127.0.0.1:7005", &store.address.to_string());
    let (node, clock, _) = common::node_with(&text);
    // Longer than a starting node waits for the store.
    clock.advance(Millis(3_000));
    let node = Arc::new(node);
    tokio::spawn(quarantine_store::run(Arc::clone(&node)));
    let fingerprint = store_quarantine_record(&store, node.wall());
    tokio::time::sleep(READ_TIME).await;
    assert!(node.quarantined_key(&[RequestKey::content(fingerprint, 0)]).is_some());
}

/// Writes to the store that three instances have just ended while they ran a request.
fn store_quarantine_record(store: &StandInStore, now: Millis) -> Fingerprint {
    let fingerprint = Fingerprint::of(Some("night-desk"), "/x", b"body");
    let ends = [(1, 1, now.0), (2, 2, now.0), (3, 3, now.0)];
    let record = json!({ "caller": 7, "cleared_at": null, "ends": ends });
    store.put("keyed.quarantine", &fingerprint.to_string(), &record.to_string());
    fingerprint
}

/// Longer than the time between two reads of the quarantine records.
const READ_TIME: Duration = Duration::from_millis(1_600);

/// The nodes that see the ends write the quarantine record to the store. A node that hears no peers
/// has to read it there; one that hears most of them gets it by gossip and does not read.
#[rstest]
#[case::no_peer_heard(3, 0, true)]
#[case::most_peers_heard(3, 2, false)]
#[case::no_peers_known(0, 0, false)]
#[tokio::test]
async fn a_node_that_hears_few_peers_reads_quarantine_records(
    #[case] others: u16,
    #[case] heard: u16,
    #[case] is_quarantined: bool,
) {
    let store = StandInStore::start().await;
    let first_start = common::SETTINGS.replace("[listen]", "is_first_start = true\n[listen]");
    let text = first_start.replace("127.0.0.1:7005", &store.address.to_string());
    let (node, _, _) = common::node_with(&text);
    let address = |i: u16| ([127, 0, 0, 1], 9_000 + i).into();
    for i in 0..others {
        node.peers.lock().add(address(i), node.now());
    }
    for i in 0..heard {
        let name = format!("n-{}", i + 2).into();
        let own = node.settings().control();
        let (heartbeat, now) = (common::heartbeat(address(i)), node.now());
        node.peers.lock().on_heartbeat(own, address(i), name, heartbeat, now);
    }
    let node = Arc::new(node);
    tokio::spawn(quarantine_store::run(Arc::clone(&node)));
    tokio::task::yield_now().await;
    let fingerprint = store_quarantine_record(&store, node.wall());
    store.put("keyed.quarantine", "no fingerprint", "{}");
    store.put("keyed.quarantine", &Fingerprint(5).to_string(), "no record");
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(
        node.quarantined_key(&[RequestKey::content(fingerprint, 0)]).is_some(),
        is_quarantined
    );
    assert_eq!(node.quarantined_key(&[RequestKey::content(Fingerprint(5), 0)]), None);
}
