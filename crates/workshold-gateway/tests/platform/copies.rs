//! A store that comes back from a copy some seconds old.
//!
//! How it shows: what the store hands out was taken as only rising. Entries with lower places
//! were dropped, so that an instance's word that it leaves was not heard; reading on from a
//! place that had been given out again skipped what lies before it; an order under a number
//! of the lease that had been given out before was refused by every instance, so nothing was
//! mended; keys that had been taken away came back into force at a node that started then.

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

/// What the store loses, and when others have written it again.
const LOST: Duration = Duration::from_millis(700);
const AGAIN: Duration = Duration::from_millis(600);
/// Longer than what is lost: what stands by then stays.
const STANDS: Duration = Duration::from_millis(900);
/// Nobody writes again within a test.
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

/// An instance writes more than once, and all of it is lost.
fn write_much(instance: &StandInInstance) {
    (0..10).for_each(|_| instance.write_entry());
}

#[tokio::test]
async fn a_word_at_a_lower_place_of_a_later_past_counts() {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    tokio::time::sleep(STANDS).await;
    write_much(&deployment.gates[0]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.store.restore_backup(LOST, AGAIN);
    deployment.gates[0].drain();
    let is_heard = || is_leaving(&node, "i-gate0");
    wait_for("the word of one that leaves", is_heard).await;
    let newcomer = Identity::simple("i-new", "gate");
    let newcomer = StandInInstance::start(newcomer, &deployment.store).await;
    wait_for("a newcomer", || async {
        let state = state(&node).await;
        let mut instances = state["instances"].as_array().unwrap().iter();
        instances.any(|instance| instance["id"] == newcomer.name())
    })
    .await;
}

/// The log has grown again past the place where the node would read on: no answer says that
/// what it asks for is another past.
#[tokio::test]
async fn what_was_written_below_a_place_that_is_given_out_again_is_read() {
    let deployment = Deployment::start(2, 2).await;
    let to_store = Proxy::start();
    to_store.set_target(Some(deployment.store.address));
    let node = TestNode::start_at("n-1", to_store.address, "");
    node.serving().await;
    tokio::time::sleep(STANDS).await;
    write_much(&deployment.gates[0]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    to_store.set_state(LinkState::Silent).await;
    deployment.store.restore_backup(LOST, AGAIN);
    deployment.gates[1].drain();
    (0..4).for_each(|_| write_much(&deployment.gates[0]));
    to_store.set_state(LinkState::Open).await;
    wait_for("a word in between", || is_leaving(&node, "i-gate1")).await;
}

/// A copy lacks those who came in the seconds that it lost, and has what others said before.
#[tokio::test]
async fn a_copy_takes_nobody_away_and_closes_no_group() {
    let deployment = Deployment::start(2, 1).await;
    tokio::time::sleep(STANDS).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    // Before the engines were in a group.
    deployment.store.restore_backup(Duration::from_millis(1_200), Duration::from_millis(1_500));
    for turn in 0..20 {
        let req = caller::request(&format!("r-{turn}"), "/chat/x", "k1");
        let (res, body) = caller::send(node.callers, req).await.unwrap();
        assert_eq!(res.status(), 200, "stream {turn}: {body:?}");
        let got = status(&node, &format!("p-{turn}"), "k1").await;
        assert_eq!(got, 200, "print {turn}: {}", state(&node).await);
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    assert_eq!(deployment.store.monitor.breaches(), Vec::<String>::new());
}

/// The lease's numbers are given out again, and every instance has seen higher ones.
#[tokio::test]
async fn groups_are_mended_after_a_return() {
    let deployment = Deployment::start(4, 0).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    // Others come and go: the number rises.
    for i in 0..4 {
        let other = TestNode::start(&format!("m-{i}"), &deployment.store, "");
        other.ready().await;
    }
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let before = state(&node).await["lease"]["generation"].as_u64().unwrap();
    deployment.store.restore_backup(Duration::from_secs(30), AGAIN);
    wait_for("a lease by the new past", || async { state(&node).await["lease"]["era"] == 1 }).await;
    let after = state(&node).await["lease"]["generation"].as_u64().unwrap();
    assert!(after < before, "{after} is given out again, {before} was the last");
    for lost in &deployment.engines[..2] {
        lost.crash();
        lost.drop_entry();
    }
    wait_for("a group of those that are left", || async {
        let state = state(&node).await;
        let instances = state["instances"].as_array().unwrap().clone();
        let open = |i: &Value| i["state"] == "Open" && i["is_listed"] == true;
        let left = ["i-engine2", "i-engine3"];
        instances.iter().any(|i| open(i) && left.contains(&i["id"].as_str().unwrap()))
    })
    .await;
    assert_eq!(deployment.store.monitor.breaches(), Vec::<String>::new());
}

/// A key was taken away, and the store has lost that.
#[tokio::test]
async fn a_configuration_of_the_past_does_not_come_back() {
    let deployment = Deployment::start(0, 2).await;
    tokio::time::sleep(STANDS).await;
    let node = TestNode::start("n-1", &deployment.store, BOUNDS);
    node.ready().await;
    deployment.store.configure(&config(9, "k2"));
    wait_for("the newer configuration", || async { status(&node, "r-0", "k2").await == 200 }).await;
    deployment.store.restore_backup(LOST, NEVER);
    let other = TestNode::start_again("n-2", &deployment.store, BOUNDS);
    for turn in 0..50 {
        for node in [&node, &other] {
            let got = status(node, &format!("r-{turn}"), "k1").await;
            assert!(got == 401 || got == 503 || got == 0, "the old key is answered {got}");
        }
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    let got = status(&node, "s-1", "k2").await;
    assert_eq!(got, 503, "nobody has seen for long that it is the newest");
    deployment.store.configure(&config(9, "k2"));
    for node in [&node, &other] {
        let is_served = || async { status(node, "s-2", "k2").await == 200 };
        wait_for("the operator's word", is_served).await;
        assert_eq!(status(node, "s-3", "k1").await, 401);
    }
}

/// What the system itself had written is written again, though nobody asks for it.
#[tokio::test]
async fn requests_that_are_kept_from_instances_stay_so() {
    let deployment = Deployment::start(0, 8).await;
    tokio::time::sleep(STANDS).await;
    let ended = || deployment.gates.iter().filter(|gate| gate.has_ended()).count();
    let ask = async |node: &TestNode, id: &str| {
        let req = caller::request_with(id, "/print/x", "k1", CRASH_BODY);
        let sent = caller::send(node.callers, req).await;
        sent.map_or(0, |(res, _)| res.status().as_u16())
    };
    {
        let node = TestNode::start("n-1", &deployment.store, "repeat_slack = 100.0");
        node.ready().await;
        for turn in 0..40 {
            if ended() >= 3 {
                break;
            }
            ask(&node, &format!("r-{turn}")).await;
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        assert_eq!(ended(), 3);
        deployment.store.restore_backup(Duration::from_secs(20), AGAIN);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
    }
    // Everybody who knew it is gone.
    let node = TestNode::start_again("n-2", &deployment.store, "repeat_slack = 100.0");
    node.ready().await;
    assert_eq!(ask(&node, "s-1").await, 503);
    assert_eq!(ended(), 3);
}

/// A store that keeps no copies says nothing of them.
#[tokio::test]
async fn a_store_that_does_not_say_is_one_that_has_never_come_back() {
    let deployment = Deployment::start(2, 1).await;
    deployment.store.omit_era();
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    deployment.gates[0].drain();
    wait_for("the word of one that leaves", || is_leaving(&node, "i-gate0")).await;
}
