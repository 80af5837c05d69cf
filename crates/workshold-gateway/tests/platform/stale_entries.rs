//! An entry of an earlier incarnation that is written late, before an outage of the store.
//!
//! Guards against taking an outage for proof that an instance has restarted: the entry was accepted
//! once it had been the newest for four seconds, although the instance could not write while the
//! store was unavailable. Its group then counted as one with a lost member, and a member was
//! assigned to another group while the head still served streams.

use std::time::Duration;

use crate::support::TestNode;
use rstest::rstest;
use serde_json::Value;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::store::StoreBehaviour;
use workshold_platform_standin::wait_for;

/// Time for a record to reach a node that reads the store.
const READ_TIME: Duration = Duration::from_millis(1_500);
/// Longer than an entry of an earlier incarnation has to remain the newest one to be accepted.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// An instance writes its entry again by its second check-in after the store is back.
const SECOND_CHECK_IN: Duration = Duration::from_millis(2_400);
/// After this time an entry that the instance has not written again is accepted.
const ACCEPTED_AFTER: Duration = Duration::from_secs(9);

/// What keeps the instance's own entry from the node.
#[derive(Debug, Clone, Copy)]
enum Outage {
    StoreRefuses,
    StoreSilent,
    NodeCutOff,
}

/// The incarnation of an instance that the node takes for the current one.
async fn incarnation(node: &TestNode, id: &str) -> Option<u64> {
    let (_, body) = caller::get(node.control, "/state").await?;
    let state: Value = serde_json::from_slice(&body).unwrap();
    let mut instances = state["instances"].as_array()?.iter();
    instances.find(|instance| instance["id"] == id)?["incarnation"].as_u64()
}

/// Writes the entry of an instance as an earlier incarnation wrote it, a second before.
fn write_earlier_entry(deployment: &Deployment, id: &str) {
    let newest = deployment.store.newest("keyed.servers", id).unwrap();
    let mut entry: Value = serde_json::from_str(&newest).unwrap();
    entry["born"] = (entry["born"].as_u64().unwrap() - 1_000).into();
    entry["group"] = Value::Null;
    deployment.store.put("keyed.servers", id, &entry.to_string());
}

async fn begin(outage: Outage, deployment: &Deployment, store_proxy: &Proxy) {
    match outage {
        Outage::StoreRefuses => deployment.store.set_behaviour(StoreBehaviour::Down),
        Outage::StoreSilent => deployment.store.set_behaviour(StoreBehaviour::Silent),
        Outage::NodeCutOff => store_proxy.set_state(LinkState::Silent).await,
    }
}

async fn end(deployment: &Deployment, store_proxy: &Proxy) {
    deployment.store.set_behaviour(StoreBehaviour::Normal);
    store_proxy.set_state(LinkState::Open).await;
}

/// Checks for a while that the node takes no earlier incarnation for the current one.
async fn assert_kept(node: &TestNode, id: &str, current: Option<u64>, period: Duration) {
    let checks = period.as_millis() / 50;
    for _ in 0..checks {
        assert_eq!(incarnation(node, id).await, current);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[rstest]
#[case::the_store_refuses_calls(Outage::StoreRefuses)]
#[case::the_store_is_silent(Outage::StoreSilent)]
#[case::the_node_is_cut_off(Outage::NodeCutOff)]
#[tokio::test]
async fn an_outage_makes_no_late_entry_of_an_earlier_incarnation_current(#[case] outage: Outage) {
    let deployment = Deployment::start(2, 2).await;
    let store_proxy = Proxy::start();
    store_proxy.set_target(Some(deployment.store.address));
    let node = TestNode::start_at("n-1", store_proxy.address, "");
    node.serving().await;
    let current = incarnation(&node, "i-engine0").await;
    assert!(current.is_some());
    write_earlier_entry(&deployment, "i-engine0");
    tokio::time::sleep(READ_TIME).await;
    begin(outage, &deployment, &store_proxy).await;
    assert_kept(&node, "i-engine0", current, OUTAGE).await;
    end(&deployment, &store_proxy).await;
    assert_kept(&node, "i-engine0", current, SECOND_CHECK_IN).await;
    deployment.engines[0].write_entry();
    assert_kept(&node, "i-engine0", current, READ_TIME).await;
    assert_eq!(deployment.store.monitor.breaches(), Vec::<String>::new());
}

/// The clock of the instance's machine was set back, so that the running incarnation seems to be
/// the earlier one.
#[tokio::test]
async fn an_incarnation_whose_clock_went_back_is_current_some_time_after_an_outage() {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    let before = incarnation(&node, "i-gate0").await;
    write_earlier_entry(&deployment, "i-gate0");
    tokio::time::sleep(READ_TIME).await;
    deployment.store.set_behaviour(StoreBehaviour::Down);
    tokio::time::sleep(READ_TIME).await;
    deployment.store.set_behaviour(StoreBehaviour::Normal);
    let is_accepted = || async { incarnation(&node, "i-gate0").await < before };
    let accepted = wait_for("the earlier incarnation", is_accepted);
    tokio::time::timeout(ACCEPTED_AFTER, accepted).await.unwrap();
}
