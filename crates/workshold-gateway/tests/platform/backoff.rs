//! Instances that answer with `Retry-After`, or announce that they leave.
//!
//! Guards against this failure: six of 23 group heads refused all requests for nine seconds, each
//! with 503 and `Retry-After: 3`. They went on getting as many requests as before, three or more
//! from one node within one backoff: a quarter of all requests went to one of them first, and some
//! from one of them to the next. Nodes forgot a refusal with its request, and two refusals in a row
//! ejected the instance for only half of the time that it had asked for. In these tests one of two
//! instances refuses, and a node with twenty requests a second that ignored the backoff would
//! choose it several times within each.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use tokio::task::JoinSet;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::instance::StandInInstance;
use workshold_platform_standin::monitor::Arrival;
use workshold_platform_standin::wait_for;

use crate::support::TestNode;

const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time in which requests that were under way when an instance refused still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Requests that an instance may get within a backoff beyond those that were under way.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Longest time to a refusal, a fraction of the latency goal.
const REFUSED_WITHIN: Duration = Duration::from_millis(100);
/// Time for an announcement to reach the other node by gossip.
const GOSSIP_TIME: Duration = Duration::from_millis(1_000);
const LARGE_RETRY_BUDGET: &str = "repeat_slack = 500.0";

async fn start_node(deployment: &Deployment, name: &str) -> TestNode {
    let node = TestNode::start(name, &deployment.store, LARGE_RETRY_BUDGET);
    node.serving().await;
    node
}

/// Sends requests to a node for a time. Returns how many were answered with 200.
async fn send_requests_for(node: &TestNode, duration: Duration, path: &'static str) -> usize {
    let began = Instant::now();
    let mut requests = JoinSet::new();
    while began.elapsed() < duration {
        requests.spawn(send_request_to(node.callers, path));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    requests.join_all().await.into_iter().filter(|(status, _)| *status == 200).count()
}

/// Sends one request to a node. Returns the status (0 if there was no answer) and `Retry-After` in
/// seconds (0 if there was none).
async fn send_request(node: &TestNode, path: &str) -> (u16, f64) {
    send_request_to(node.callers, path).await
}

async fn send_request_to(node: SocketAddr, path: &str) -> (u16, f64) {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = format!("r-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let Ok((res, _)) = caller::send(node, caller::request(&id, path, "k1")).await else {
        return (0, 0.0);
    };
    let after =
        res.headers().get("retry-after").and_then(|after| after.to_str().ok()?.parse().ok());
    (res.status().as_u16(), after.unwrap_or_default())
}

/// The requests that an instance got, in the order of their arrival.
fn arrivals_at(deployment: &Deployment, instance: &StandInInstance) -> Vec<Arrival> {
    let all = deployment.store.monitor.arrivals();
    all.into_iter().filter(|arrival| arrival.instance == instance.name()).collect()
}

/// Fails if a node sends requests to an instance within the backoff that it asked for, be it a
/// plain instance or the head of a group.
#[rstest]
#[case::plain("/plate/x")]
#[case::streams("/chat/x")]
#[tokio::test]
async fn an_instance_gets_no_requests_within_its_backoff(#[case] path: &'static str) {
    let deployment = Deployment::start(6, 2).await;
    let node = start_node(&deployment, "n-1").await;
    send_requests_for(&node, Duration::from_secs(3), path).await;
    let all = if path.starts_with("/plate") { &deployment.gates } else { &deployment.engines };
    let used = all.iter().filter(|instance| instance.request_count() > 0);
    let backing_off: Vec<_> = used.skip(1).collect();
    assert!(!backing_off.is_empty(), "at least two instances must get requests");
    backing_off.iter().for_each(|instance| instance.announce_retry_after(Some("3")));
    let served = send_requests_for(&node, Duration::from_secs(7), path).await;
    backing_off.iter().for_each(|instance| instance.announce_retry_after(None));
    assert!(served > 0, "the remaining instance must serve");
    for instance in backing_off {
        let arrivals = arrivals_at(&deployment, instance);
        let refused: Vec<_> =
            arrivals.iter().filter_map(|a| Some((a.at, a.retry_after?))).collect();
        assert!(!refused.is_empty(), "no request came to it");
        for (at, backoff) in refused {
            let in_backoff = |a: &&Arrival| a.at > at + IN_FLIGHT_TIME && a.at < at + backoff;
            let got = arrivals.iter().filter(in_backoff).count();
            assert!(got <= MAX_REQUESTS_IN_BACKOFF, "{got} requests came within one backoff");
        }
        let before = instance.request_count();
        wait_for("requests after the backoff", || async {
            send_request(&node, path).await;
            instance.request_count() > before
        })
        .await;
    }
}

/// Fails if a node does not understand a valid form of `Retry-After`, or one beyond its range.
#[rstest]
#[case::fractions("2.75")]
#[case::a_date("Fri, 31 Dec 9999 23:59:59 GMT")]
#[case::a_century("3155760000")]
#[case::beyond_any_number("1e300")]
#[tokio::test]
async fn every_valid_form_of_retry_after_is_honoured(#[case] retry_after: &str) {
    let deployment = Deployment::start(2, 2).await;
    let node = start_node(&deployment, "n-1").await;
    deployment.gates[0].announce_retry_after(Some(retry_after));
    send_requests_for(&node, Duration::from_millis(2_500), "/plate/x").await;
    let got = deployment.gates[0].request_count();
    assert!((1..=MAX_REQUESTS_IN_BACKOFF + 1).contains(&got), "{got} requests came");
}

/// Fails if a `Retry-After` that is zero, past or not a time makes a node back off.
#[rstest]
#[case("0")]
#[case("-3")]
#[case("NaN")]
#[case("soon")]
#[case("Sun, 06 Nov 1994 08:49:37 GMT")]
#[tokio::test]
async fn an_invalid_retry_after_causes_no_backoff(#[case] retry_after: &str) {
    let deployment = Deployment::start(2, 1).await;
    let node = start_node(&deployment, "n-1").await;
    deployment.gates[0].announce_retry_after(Some(retry_after));
    send_request(&node, "/plate/x").await;
    deployment.gates[0].announce_retry_after(None);
    assert_eq!(send_request(&node, "/plate/x").await.0, 200);
}

/// Fails if a request for which all instances ask for backoff is delayed, sent anyway, or refused
/// with a `Retry-After` that is too short.
#[tokio::test]
async fn a_request_is_refused_at_once_if_all_instances_back_off() {
    let deployment = Deployment::start(2, 2).await;
    let node = start_node(&deployment, "n-1").await;
    deployment.gates.iter().for_each(|gate| gate.announce_retry_after(Some("2")));
    send_request(&node, "/plate/x").await;
    let before = arrivals_at(&deployment, &deployment.gates[0]).len();
    for _ in 0..10 {
        let began = Instant::now();
        let (status, after) = send_request(&node, "/print/x").await;
        assert_eq!(status, 503);
        assert!(began.elapsed() < REFUSED_WITHIN, "refused after {:?}", began.elapsed());
        assert!((1.0..=4.0).contains(&after), "Retry-After is {after} s");
    }
    assert_eq!(
        arrivals_at(&deployment, &deployment.gates[0]).len(),
        before,
        "requests were sent within the backoff"
    );
    let (_, state) = caller::get(node.control, "/state").await.unwrap();
    let state: serde_json::Value = serde_json::from_slice(&state).unwrap();
    let backing_off = |row: &serde_json::Value| row["rests_ms"].as_u64().is_some_and(|ms| ms > 0);
    let rows = state["instances"].as_array().unwrap();
    assert_eq!(rows.iter().filter(|row| backing_off(row)).count(), 2, "/state shows both backoffs");
}

/// Fails if an instance that has announced in an answer that it leaves gets further requests, from
/// the node that got the answer or from one that learned of it by gossip, while its entry in the
/// list is unchanged, after it has lapsed, and after it has come back.
#[tokio::test]
async fn an_instance_that_announces_leaving_gets_no_more_requests() {
    let deployment = Deployment::start(2, 3).await;
    let nodes = [start_node(&deployment, "n-1").await, start_node(&deployment, "n-2").await];
    let leaving = &deployment.gates[0];
    leaving.announce_leaving();
    wait_for("an answer that announces it", || async {
        send_request(&nodes[0], "/plate/x").await;
        arrivals_at(&deployment, leaving).iter().any(|arrival| arrival.leaves)
    })
    .await;
    tokio::time::sleep(GOSSIP_TIME).await;
    let before = leaving.request_count();
    for round in 0..3 {
        for node in &nodes {
            let served = send_requests_for(node, Duration::from_millis(700), "/plate/x").await;
            assert!(served > 5, "the others served only {served} in round {round}");
        }
        match round {
            0 => leaving.drop_entry(),
            _ => leaving.reconnect(),
        }
    }
    assert_eq!(leaving.request_count(), before);
}

/// Fails if what one incarnation announced keeps requests from the next incarnation.
#[tokio::test]
async fn a_new_incarnation_is_free_of_earlier_announcements() {
    let mut deployment = Deployment::start(2, 1).await;
    let node = start_node(&deployment, "n-1").await;
    deployment.gates[0].announce_retry_after(Some("600"));
    deployment.gates[0].announce_leaving();
    deployment.gates[0].announce_rate_limit(Some("0"));
    send_request(&node, "/plate/x").await;
    let last = deployment.gates[0].identity();
    deployment.gates[0].crash();
    let born = last.born.map(|born| born + 1);
    let identity = workshold_platform_standin::instance::Identity { born, ..last };
    deployment.gates[0] = StandInInstance::start(identity, &deployment.store).await;
    wait_for("an answer of the new incarnation", || async {
        send_request(&node, "/plate/x").await.0 == 200
    })
    .await;
}
