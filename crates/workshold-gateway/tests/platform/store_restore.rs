//! A store that is restored from a backup some seconds old.
//!
//! Guards against nodes that assume that offsets and generations of the store only rise. After a
//! restore, records at lower offsets were dropped, so that an instance that announced it leaves was
//! not noticed; reading on from an offset that had been given out again skipped the records before
//! it; orders under a generation of the lease that had been given out before were refused by every
//! instance, so that no group was repaired; and revoked keys came back into force at a node that
//! started then.

use std::time::Duration;

use crate::support::TestNode;
use serde_json::Value;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::deployment::config;
use workshold_platform_standin::instance::CRASH_BODY;
use workshold_platform_standin::instance::Identity;
use workshold_platform_standin::instance::StandInInstance;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::wait_for;

/// How much of the latest writes the store loses, and after what time their writers have written
/// them again.
const LOST_WRITES: Duration = Duration::from_millis(700);
const REWRITTEN_AFTER: Duration = Duration::from_millis(600);
/// Longer than [`LOST_WRITES`], so that what was written before this wait is kept.
const KEPT_AFTER: Duration = Duration::from_millis(900);
/// Longer than any test: nothing that was lost is written again.
const NEVER: Duration = Duration::from_secs(60);
const BOUNDS: &str = "keys_believed_ms = 3000\nrefuse_stale_keys = true";

async fn state(node: &TestNode) -> Value {
    let (_, body) = caller::get(node.control, "/state").await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

async fn is_leaving(node: &TestNode, id: &str) -> bool {
    let state = state(node).await;
    let instances = state["instances"].as_array().unwrap();
    instances.iter().any(|instance| instance["id"] == id && instance["is_leaving"] == true)
}

async fn status(node: &TestNode, id: &str, key: &str) -> u16 {
    let sent = caller::send(node.callers, caller::request(id, "/print/x", key)).await;
    sent.map_or(0, |(res, _)| res.status().as_u16())
}

/// Makes an instance write several records, which the restore is to lose.
fn write_records(instance: &StandInInstance) {
    (0..10).for_each(|_| instance.write_entry());
}

#[tokio::test]
async fn a_record_at_a_lower_offset_of_a_newer_era_is_applied() {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    tokio::time::sleep(KEPT_AFTER).await;
    write_records(&deployment.gates[0]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.store.restore_backup(LOST_WRITES, REWRITTEN_AFTER);
    deployment.gates[0].drain();
    let is_seen_leaving = || is_leaving(&node, "i-gate0");
    wait_for("the instance to be seen as leaving", is_seen_leaving).await;
    let newcomer = Identity::simple("i-new", "gate");
    let newcomer = StandInInstance::start(newcomer, &deployment.store).await;
    wait_for("the new instance", || async {
        let state = state(&node).await;
        let mut instances = state["instances"].as_array().unwrap().iter();
        instances.any(|instance| instance["id"] == newcomer.name())
    })
    .await;
}

/// While the node cannot reach the store, the restored log grows past the offset from which the
/// node would read on. The answer for that offset then does not show that the offset is of another
/// era.
#[tokio::test]
async fn records_below_a_reused_offset_are_read() {
    let deployment = Deployment::start(2, 2).await;
    let store_proxy = Proxy::start();
    store_proxy.set_target(Some(deployment.store.address));
    let node = TestNode::start_at("n-1", store_proxy.address, "");
    node.serving().await;
    tokio::time::sleep(KEPT_AFTER).await;
    write_records(&deployment.gates[0]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    store_proxy.set_state(LinkState::Silent).await;
    deployment.store.restore_backup(LOST_WRITES, REWRITTEN_AFTER);
    deployment.gates[1].drain();
    (0..4).for_each(|_| write_records(&deployment.gates[0]));
    store_proxy.set_state(LinkState::Open).await;
    wait_for("a record below that offset", || is_leaving(&node, "i-gate1")).await;
}

/// A backup lacks the instances that registered in the seconds that it lost, and has old records of
/// the others. Neither may take an instance or a group out of service.
#[tokio::test]
async fn a_restore_removes_no_instance_and_closes_no_group() {
    let deployment = Deployment::start(2, 1).await;
    tokio::time::sleep(KEPT_AFTER).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    // The backup is from before the engines were in a group.
    deployment.store.restore_backup(Duration::from_millis(1_200), Duration::from_millis(1_500));
    for round in 0..20 {
        let req = caller::request(&format!("r-{round}"), "/chat/x", "k1");
        let (res, body) = caller::send(node.callers, req).await.unwrap();
        assert_eq!(res.status(), 200, "stream {round}: {body:?}");
        let got = status(&node, &format!("p-{round}"), "k1").await;
        assert_eq!(got, 200, "print {round}: {}", state(&node).await);
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    assert_eq!(deployment.store.monitor.breaches(), Vec::<String>::new());
}

/// The store gives out generations of the lease again, and every instance has seen higher ones.
#[tokio::test]
async fn groups_are_repaired_after_a_restore() {
    let deployment = Deployment::start(4, 0).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    // Nodes that come and go raise the generation.
    for i in 0..4 {
        let other = TestNode::start(&format!("m-{i}"), &deployment.store, "");
        other.ready().await;
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = state(&node).await["lease"]["generation"].as_u64().unwrap();
    deployment.store.restore_backup(Duration::from_secs(30), REWRITTEN_AFTER);
    wait_for("a lease of the new era", || async { state(&node).await["lease"]["era"] == 1 }).await;
    let after = state(&node).await["lease"]["generation"].as_u64().unwrap();
    assert!(after < before, "generation {after} must be lower than {before}, the last before it");
    for crashed in &deployment.engines[..2] {
        crashed.crash();
        crashed.drop_entry();
    }
    wait_for("a group of the remaining engines", || async {
        let state = state(&node).await;
        let instances = state["instances"].as_array().unwrap().clone();
        let open = |i: &Value| i["state"] == "Open" && i["is_listed"] == true;
        let left = ["i-engine2", "i-engine3"];
        instances.iter().any(|i| open(i) && left.contains(&i["id"].as_str().unwrap()))
    })
    .await;
    assert_eq!(deployment.store.monitor.breaches(), Vec::<String>::new());
}

/// The store has lost the configuration that revoked a key.
#[tokio::test]
async fn a_restored_older_configuration_is_not_used() {
    let deployment = Deployment::start(0, 2).await;
    tokio::time::sleep(KEPT_AFTER).await;
    let node = TestNode::start("n-1", &deployment.store, BOUNDS);
    node.ready().await;
    deployment.store.configure(&config(9, "k2"));
    wait_for("the newer configuration", || async { status(&node, "r-0", "k2").await == 200 }).await;
    deployment.store.restore_backup(LOST_WRITES, NEVER);
    let other = TestNode::start_again("n-2", &deployment.store, BOUNDS);
    for round in 0..50 {
        for node in [&node, &other] {
            let got = status(node, &format!("r-{round}"), "k1").await;
            assert!(got == 401 || got == 503 || got == 0, "the revoked key is answered {got}");
        }
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    let got = status(&node, "s-1", "k2").await;
    assert_eq!(got, 503, "no node has confirmed for long that this configuration is the newest");
    deployment.store.configure(&config(9, "k2"));
    for node in [&node, &other] {
        let is_served = || async { status(node, "s-2", "k2").await == 200 };
        wait_for("the configuration that the operator wrote again", is_served).await;
        assert_eq!(status(node, "s-3", "k1").await, 401);
    }
}

/// Nodes write quarantine records again that the store has lost.
#[tokio::test]
async fn quarantine_records_survive_a_restore() {
    let deployment = Deployment::start(0, 8).await;
    tokio::time::sleep(KEPT_AFTER).await;
    let ended_count = || deployment.gates.iter().filter(|gate| gate.has_ended()).count();
    let send_request = async |node: &TestNode, id: &str| {
        let req = caller::request_with(id, "/print/x", "k1", CRASH_BODY);
        let sent = caller::send(node.callers, req).await;
        sent.map_or(0, |(res, _)| res.status().as_u16())
    };
    {
        let node = TestNode::start("n-1", &deployment.store, "repeat_slack = 100.0");
        node.ready().await;
        for round in 0..40 {
            if ended_count() >= 3 {
                break;
            }
            send_request(&node, &format!("r-{round}")).await;
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        assert_eq!(ended_count(), 3);
        deployment.store.restore_backup(Duration::from_secs(20), REWRITTEN_AFTER);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
    }
    // No node that knew of the request is left.
    let node = TestNode::start_again("n-2", &deployment.store, "repeat_slack = 100.0");
    node.ready().await;
    assert_eq!(send_request(&node, "s-1").await, 503);
    assert_eq!(ended_count(), 3);
}

/// A store without an era header is one that is never restored.
#[tokio::test]
async fn a_store_without_era_header_counts_as_never_restored() {
    let deployment = Deployment::start(2, 1).await;
    deployment.store.omit_era();
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    deployment.gates[0].drain();
    wait_for("the instance to be seen as leaving", || is_leaving(&node, "i-gate0")).await;
}
