//! A node that hears few of the others, and what they have found meanwhile.

mod common;

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_gateway::tasks::quarantine_store;
use workshold_platform_standin::store::StandInStore;
use workshold_protocol::Millis;

/// A node that starts where the system ran before serves after a while although the store
/// is away, and reads what it keeps later, whomever it hears.
#[tokio::test]
async fn what_could_not_be_read_at_the_start_is_read_later() {
    let store = StandInStore::start().await;
    let text = common::SETTINGS.replace("127.0.0.1:7005", &store.address.to_string());
    let (node, clock, _) = common::node_with(&text);
    // Its time to wait for the store is over.
    clock.go_on(Millis(3_000));
    let node = Arc::new(node);
    tokio::spawn(quarantine_store::run(Arc::clone(&node)));
    let fingerprint = keep(&store, node.wall());
    tokio::time::sleep(READS).await;
    assert!(node.quarantined_until(fingerprint).is_some());
}

/// Keeps in the store that three instances have ended under a request just now.
fn keep(store: &StandInStore, today: Millis) -> Fingerprint {
    let fingerprint = Fingerprint::of(Some("night-desk"), "/x", b"body");
    let ends = [(1, 1, today.0), (2, 2, today.0), (3, 3, today.0)];
    let kept = json!({ "caller": 7, "cleared_at": null, "ends": ends });
    store.put("keyed.quarantine", &fingerprint.to_string(), &kept.to_string());
    fingerprint
}

/// Longer than between two readings.
const READS: Duration = Duration::from_millis(1_600);

/// A request under which three instances have ended is kept in the store by those who saw
/// it. A node that hears nobody learns of it there; one that hears the others need not ask.
#[rstest]
#[case::it_hears_nobody(3, 0, true)]
#[case::it_hears_most(3, 2, false)]
#[case::it_is_the_only_one(0, 0, false)]
#[tokio::test]
async fn a_node_that_hears_few_reads_what_the_others_keep(
    #[case] others: u16,
    #[case] heard: u16,
    #[case] is_held: bool,
) {
    let store = StandInStore::start().await;
    let first = common::SETTINGS.replace("[listen]", "is_first_start = true\n[listen]");
    let text = first.replace("127.0.0.1:7005", &store.address.to_string());
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
    let fingerprint = keep(&store, node.wall());
    store.put("keyed.quarantine", "no fingerprint", "{}");
    store.put("keyed.quarantine", &Fingerprint(5).to_string(), "no record");
    tokio::time::sleep(READS).await;
    assert_eq!(node.quarantined_until(fingerprint).is_some(), is_held);
    assert_eq!(node.quarantined_until(Fingerprint(5)), None::<Millis>);
}
