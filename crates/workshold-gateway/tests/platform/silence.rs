//! What is written right after a silence of the store is in force in time.
//!
//! Seen: a configuration that had been acknowledged one second after the store's return was in
//! force at no node two seconds later. How: the reading of it had
//! been asked just before the return and was never answered. Cause: it looked like one that
//! waits for a change, and nothing was asked again before its time limit of 2.7 s and a pause
//! of 0.6 s; all nodes had read in step, so none could tell the others. Proof: all readings
//! that failed had been asked before the return, and other questions asked after it were
//! answered at once. Lists are read the same way, with a limit of 3.7 s.

use std::time::Duration;
use std::time::Instant;

use crate::support::TestNode;
use rstest::rstest;
use serde_json::Value;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::deployment::config;
use workshold_platform_standin::store::StoreBehaviour;
use workshold_platform_standin::wait_for;

/// What is written after the store's return is in force by then at a node that nothing else
/// befalls.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

async fn state(node: &TestNode) -> Value {
    let (_, body) = caller::get(node.control, "/state").await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

/// The store is silent until the last of so many readings of a topic was asked: the worst
/// moment to come back.
async fn be_silent(deployment: &Deployment, topic: &str, readings: usize) {
    let store = &deployment.store;
    store.set_behaviour(StoreBehaviour::Silent);
    wait_for("readings into the silence", || async { store.unanswered_reads(topic) >= readings })
        .await;
    store.set_behaviour(StoreBehaviour::Normal);
}

#[rstest]
#[case::one_that_waited(1)]
#[case::some(2)]
#[case::more(3)]
#[tokio::test]
async fn a_change_after_a_silence_is_in_force(#[case] readings: usize) {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    be_silent(&deployment, "keyed.op", readings).await;
    deployment.store.configure(&config(9, "k2"));
    let written = Instant::now();
    wait_for("the change", || async { state(&node).await["config"]["version"] == 9 }).await;
    assert!(written.elapsed() < IN_FORCE_WITHIN, "after {:?}", written.elapsed());
}

#[rstest]
#[case::one_that_waited(1)]
#[case::some(2)]
#[case::more(3)]
#[tokio::test]
async fn who_leaves_after_a_silence_gets_no_more(#[case] readings: usize) {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    be_silent(&deployment, "keyed.servers", readings).await;
    deployment.gates[0].drain();
    let written = Instant::now();
    wait_for("the word", || async {
        let state = state(&node).await;
        let mut instances = state["instances"].as_array().unwrap().iter();
        instances.any(|instance| instance["id"] == "i-gate0" && instance["is_leaving"] == true)
    })
    .await;
    assert!(written.elapsed() < IN_FORCE_WITHIN, "after {:?}", written.elapsed());
}
