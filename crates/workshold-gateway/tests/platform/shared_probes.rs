//! Requests that wait for a first event at busy groups: the probes that they cause, and how soon
//! all nodes find a lost member.
//!
//! Guards against the cost of probes by every node that waits, 128,000 connections for 24,700
//! requests on 71 nodes, and against a loss that the evidence in place of probes hides.

use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::deployment::config_with;
use workshold_platform_standin::instance::InstanceBehaviour;

use crate::support::TestNode;

const NODES: usize = 6;
const ENGINES: usize = 16;
/// Members of a group.
const GROUP_SIZE: usize = 8;
/// Time between two requests, which go to the nodes in turn.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const DURATION: Duration = Duration::from_secs(8);
/// Connections for probes per request, of the 1.5 connections that a request may cost.
const PROBES_PER_REQUEST_MAX: f64 = 0.5;
/// Time until the loss, so that requests wait at all heads and streams are under way.
const TIME_TO_LOSS: Duration = Duration::from_millis(2_500);
/// Time in which all nodes know of a loss: the interval between probes, and as much again for the
/// probe, the message and a busy machine.
const FOUND_WITHIN: Duration = Duration::from_millis(500);

/// Nodes and two groups whose heads answer after 700 ms; requests are probed for after 320 ms.
async fn start() -> (Deployment, Vec<TestNode>) {
    let deployment = Deployment::start(ENGINES, 0).await;
    deployment.store.configure(&config_with(2, &["k1"], GROUP_SIZE));
    let nodes: Vec<TestNode> = (0..NODES)
        .map(|i| TestNode::start(&format!("n-{i}"), &deployment.store, "repeat_slack = 500.0"))
        .collect();
    for node in &nodes {
        node.serving().await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let behaviour = InstanceBehaviour::Slow;
    deployment.engines.iter().for_each(|engine| engine.set_behaviour(behaviour));
    (deployment, nodes)
}

/// The number of probes that all nodes have sent.
async fn probes(nodes: &[TestNode]) -> u64 {
    let mut sum = 0;
    for node in nodes {
        sum += node.metric("looks").await;
    }
    sum
}

/// Requests under way. The result of each is whether it was answered.
type Requests = JoinSet<bool>;

/// Sends the next request.
fn send_request(nodes: &[TestNode], requests: &mut Requests, number: usize) {
    let callers = nodes[number % NODES].callers;
    let req = caller::request(&format!("r-{number}"), "/chat/x", "k1");
    requests.spawn(async move {
        caller::send(callers, req).await.is_ok_and(|(res, _)| res.status() == 200)
    });
}

#[tokio::test]
async fn requests_that_wait_for_busy_groups_cost_few_probes() {
    let (_deployment, nodes) = start().await;
    let probes_before = probes(&nodes).await;
    let began = Instant::now();
    let mut requests = Requests::new();
    let mut sent = 0;
    while began.elapsed() < DURATION {
        send_request(&nodes, &mut requests, sent);
        sent += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let answered = requests.join_all().await.into_iter().filter(|is_answered| *is_answered).count();
    let probes_after = probes(&nodes).await;
    let per_request = (probes_after - probes_before) as f64 / sent as f64;
    assert!(answered > 0);
    assert!(probes_after > 0, "the groups are not waited for, or the metric has another name");
    assert!(
        per_request <= PROBES_PER_REQUEST_MAX,
        "{sent} requests, {answered} answered, {per_request:.3} probes for each"
    );
}

/// The member that ends is no head, so that no connection for a request breaks with it.
#[tokio::test]
async fn every_node_soon_finds_a_lost_member_of_a_busy_group() {
    let (deployment, nodes) = start().await;
    let began = Instant::now();
    let mut requests = Requests::new();
    let mut sent = 0;
    while began.elapsed() < TIME_TO_LOSS {
        send_request(&nodes, &mut requests, sent);
        sent += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let member = deployment.engines.iter().find(|engine| engine.ran().is_empty());
    member.expect("only heads run requests").crash();
    let lost_at = Instant::now();
    for node in &nodes {
        while node.metric("in_doubt").await == 0 {
            let elapsed = lost_at.elapsed();
            assert!(elapsed <= FOUND_WITHIN, "{elapsed:?} after the loss a node does not know it");
            send_request(&nodes, &mut requests, sent);
            sent += 1;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}
