//! What the store does to nodes: pages, a lost history, and answers for some only.

use std::time::Duration;

use crate::support::TestNode;
use rstest::rstest;
use serde_json::Value;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::deployment::config;
use workshold_platform_standin::instance::Identity;
use workshold_platform_standin::instance::StandInInstance;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::store::StoreBehaviour;
use workshold_platform_standin::wait_for;

async fn state(node: &TestNode) -> Value {
    let (_, body) = caller::get(node.control, "/state").await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

/// Ids of the instances that the node has as listed.
async fn listed(node: &TestNode) -> Vec<String> {
    let state = state(node).await;
    let listed = state["instances"].as_array().unwrap().iter().filter(|i| i["is_listed"] == true);
    listed.map(|instance| instance["id"].as_str().unwrap().to_owned()).collect()
}

async fn status(node: &TestNode, id: &str, key: &str) -> u16 {
    let sent = caller::send(node.callers, caller::request(id, "/print/x", key)).await;
    sent.unwrap().0.status().as_u16()
}

#[tokio::test]
async fn a_list_of_many_pages_is_read_whole() {
    let deployment = Deployment::start(4, 3).await;
    deployment.store.set_page_len(2);
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    assert_eq!(listed(&node).await.len(), 7);
}

#[tokio::test]
async fn when_the_history_is_gone_the_list_is_read_anew_and_who_left_meanwhile_is_missed() {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    // All of it is forgotten before the node can read on.
    deployment.store.set_behaviour(StoreBehaviour::Down);
    tokio::time::sleep(Duration::from_millis(100)).await;
    deployment.gates[0].crash();
    deployment.gates[0].drop_entry();
    let newcomer = Identity::simple("i-new", "gate");
    let newcomer = StandInInstance::start(newcomer, &deployment.store).await;
    deployment.store.configure(&config(9, "k2"));
    deployment.store.compact();
    deployment.store.set_behaviour(StoreBehaviour::Normal);
    wait_for("the list as it is now", || async {
        let listed = listed(&node).await;
        listed.contains(&newcomer.name().to_owned()) && !listed.contains(&"i-gate0".to_owned())
    })
    .await;
    wait_for("the configuration as it is now", || async {
        state(&node).await["config"]["version"] == 9
    })
    .await;
    assert_eq!(status(&node, "r-1", "k2").await, 200);
    assert_eq!(status(&node, "r-2", "k1").await, 401);
}

#[rstest]
#[case::silent(LinkState::Silent)]
#[case::no_answers(LinkState::OneWay)]
#[tokio::test]
async fn a_node_that_the_store_turns_away_goes_by_what_the_others_read(#[case] way: LinkState) {
    let deployment = Deployment::start(2, 2).await;
    let to_store = Proxy::start();
    to_store.set_target(Some(deployment.store.address));
    let bounds = "keys_believed_ms = 3000";
    let turned_away = TestNode::start_at("n-1", to_store.address, bounds);
    let other = TestNode::start("n-2", &deployment.store, bounds);
    turned_away.serving().await;
    other.serving().await;
    wait_for("one to hear the other", || async {
        state(&turned_away).await["peers"].as_array().unwrap().len() == 1
    })
    .await;
    to_store.set_state(way).await;
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(status(&turned_away, "r-1", "k1").await, 200, "the other's reading is as good");
    deployment.store.configure(&config(9, "k2"));
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(status(&turned_away, "r-2", "k1").await, 401, "a key that was taken away");
    assert_eq!(status(&turned_away, "r-3", "k2").await, 200);
}

#[tokio::test]
async fn answers_that_are_lost_leave_one_steward_and_whole_groups() {
    let deployment = Deployment::start(4, 1).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    deployment.store.set_behaviour(StoreBehaviour::LosesAnswers);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    deployment.store.set_behaviour(StoreBehaviour::Normal);
    wait_for("a node that serves again", || async { caller::is_ready(node.readiness).await }).await;
    assert_eq!(status(&node, "r-1", "k1").await, 200);
    assert_eq!(deployment.store.monitor.breaches(), Vec::<String>::new());
}
