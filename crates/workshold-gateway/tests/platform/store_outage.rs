//! A change that is written right after an outage of the store takes effect in time.
//!
//! Guards against this failure: a configuration acknowledged one second after the store came back
//! was in force at no node two seconds later. Each node's long poll had been sent just before the
//! store came back and was never answered. To the node it looked like a poll that waits for a
//! change, so it did not poll again before the timeout of 2.7 s and a pause of 0.6 s. All nodes
//! polled in step, so no peer had the change either. Only polls sent before the return failed;
//! other calls after it were answered at once. Lists are polled in the same way, with a timeout
//! of 3.7 s.

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

/// Longest time until a change written after the store's return is in force at a node that has no
/// other fault.
const EFFECTIVE_WITHIN: Duration = Duration::from_secs(3);

async fn state(node: &TestNode) -> Value {
    let (_, body) = caller::get(node.control, "/state").await.unwrap();
    serde_json::from_slice(&body).unwrap()
}

/// Keeps the store from answering until `polls` polls of a topic have arrived, and ends the
/// outage right after the last one. That is the worst moment: the poll has just been lost.
async fn run_outage(deployment: &Deployment, topic: &str, polls: usize) {
    let store = &deployment.store;
    store.set_behaviour(StoreBehaviour::Silent);
    wait_for("polls during the outage", || async { store.unanswered_reads(topic) >= polls }).await;
    store.set_behaviour(StoreBehaviour::Normal);
}

#[rstest]
#[case::one_poll(1)]
#[case::two_polls(2)]
#[case::three_polls(3)]
#[tokio::test]
async fn a_configuration_written_after_an_outage_takes_effect_in_time(#[case] polls: usize) {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    run_outage(&deployment, "keyed.op", polls).await;
    deployment.store.configure(&config(9, "k2"));
    let written_at = Instant::now();
    wait_for("the change", || async { state(&node).await["config"]["version"] == 9 }).await;
    assert!(written_at.elapsed() < EFFECTIVE_WITHIN, "after {:?}", written_at.elapsed());
}

#[rstest]
#[case::one_poll(1)]
#[case::two_polls(2)]
#[case::three_polls(3)]
#[tokio::test]
async fn a_departure_written_after_an_outage_takes_effect_in_time(#[case] polls: usize) {
    let deployment = Deployment::start(2, 2).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    run_outage(&deployment, "keyed.servers", polls).await;
    deployment.gates[0].drain();
    let written_at = Instant::now();
    wait_for("the instance to be seen as leaving", || async {
        let state = state(&node).await;
        let mut instances = state["instances"].as_array().unwrap().iter();
        instances.any(|instance| instance["id"] == "i-gate0" && instance["is_leaving"] == true)
    })
    .await;
    assert!(written_at.elapsed() < EFFECTIVE_WITHIN, "after {:?}", written_at.elapsed());
}
