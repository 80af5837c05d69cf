//! Instances that announce in their answers how many requests per second they take.
//!
//! Guards against this failure: two instances that had announced limits of 1.7 and 2.1 requests per
//! second got 16 and 20 within four seconds, as many as before and as all other instances. Nine
//! nodes each sent them their part of the requests: no node read the limit in the answers. These
//! tests use three nodes with about twenty requests per second each, and limits from zero to a
//! tenth of that. The stand-in counts what arrives within any four seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use tokio::task::JoinSet;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::instance::StandInInstance;
use workshold_platform_standin::wait_for;

use crate::support::TestNode;

/// Time between two requests to one node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Long enough for all nodes to learn of a limit, and for the time over which it is checked after
/// that.
const TEST_DURATION: Duration = Duration::from_millis(8_500);
/// Longest time to a refusal, a fraction of the latency goal.
const REFUSED_WITHIN: Duration = Duration::from_millis(100);

async fn three_nodes(deployment: &Deployment) -> [TestNode; 3] {
    let nodes = ["n-1", "n-2", "n-3"]
        .map(|name| TestNode::start(name, &deployment.store, "repeat_slack = 500.0"));
    for node in &nodes {
        node.serving().await;
    }
    nodes
}

/// One task per node that sends it requests at a steady rate until it is stopped.
struct Callers {
    is_stopped: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    tasks: JoinSet<()>,
}

impl Callers {
    fn start(nodes: &[TestNode], path: &'static str) -> Self {
        let (is_stopped, served) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let mut tasks = JoinSet::new();
        for node in nodes {
            tasks.spawn(send_until_stopped(
                node.callers,
                path,
                Arc::clone(&is_stopped),
                Arc::clone(&served),
            ));
        }
        Self { is_stopped, served, tasks }
    }

    async fn stop(self) -> usize {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.tasks.join_all().await;
        self.served.load(Ordering::Relaxed)
    }
}

async fn send_until_stopped(
    node: SocketAddr,
    path: &'static str,
    is_stopped: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
) {
    let mut requests = JoinSet::new();
    for round in 0.. {
        if is_stopped.load(Ordering::Relaxed) {
            break;
        }
        let served = Arc::clone(&served);
        requests.spawn(async move {
            let req = caller::request(&format!("{node}-{round}"), path, "k1");
            let answer = caller::send(node, req).await;
            if answer.is_ok_and(|(res, _)| res.status() == 200) {
                served.fetch_add(1, Ordering::Relaxed);
            }
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    requests.join_all().await;
}

fn head(deployment: &Deployment) -> &StandInInstance {
    deployment.engines.iter().find(|engine| engine.request_count() > 0).expect("a head was asked")
}

/// Fails if all nodes together send an instance more than the limit that it announces.
#[rstest]
#[case::plain("/plate/x")]
#[case::streams("/chat/x")]
#[tokio::test]
async fn all_nodes_together_keep_to_an_announced_rate_limit(#[case] path: &'static str) {
    let deployment = Deployment::start(6, 3).await;
    let nodes = three_nodes(&deployment).await;
    let callers = Callers::start(&nodes, path);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let limited = if path.starts_with("/plate") { &deployment.gates[0] } else { head(&deployment) };
    limited.announce_rate_limit(Some("2.1"));
    let before = limited.request_count();
    tokio::time::sleep(TEST_DURATION).await;
    let got = limited.request_count() - before;
    let served = callers.stop().await;
    assert_eq!(deployment.store.monitor.overloads(), Vec::<String>::new());
    assert!(got >= 6, "the limit allows 17 requests in that time, and only {got} came");
    assert!(served > 400, "the others have room for all requests, and only {served} were served");
}

/// Fails if nodes stop sending to an instance with a limit of zero for ever: they must probe it and
/// notice when the limit is lifted.
#[tokio::test]
async fn a_limit_of_zero_is_kept_until_it_is_lifted() {
    let deployment = Deployment::start(2, 2).await;
    let nodes = three_nodes(&deployment).await;
    let limited = &deployment.gates[0];
    limited.announce_rate_limit(Some("0"));
    let callers = Callers::start(&nodes, "/plate/x");
    tokio::time::sleep(TEST_DURATION).await;
    limited.announce_rate_limit(None);
    let before = limited.request_count();
    wait_for("its half of all requests", || async { limited.request_count() > before + 100 }).await;
    callers.stop().await;
    assert_eq!(deployment.store.monitor.overloads(), Vec::<String>::new());
}

/// Fails if a limit that is not a number has any effect.
#[rstest]
#[case("much")]
#[case("-1")]
#[case("NaN")]
#[case("inf")]
#[case("1e999")]
#[case("")]
#[tokio::test]
async fn an_invalid_limit_is_ignored(#[case] value: &str) {
    let deployment = Deployment::start(2, 1).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    deployment.gates[0].announce_rate_limit(Some(value));
    for round in 0..10 {
        let req = caller::request(&format!("r-{round}"), "/plate/x", "k1");
        let (res, _) = caller::send(node.callers, req).await.unwrap();
        assert_eq!(res.status(), 200, "in round {round}");
    }
}

/// Fails if a request that no instance takes at the moment is delayed, or refused without a
/// `Retry-After`.
#[tokio::test]
async fn a_request_is_refused_at_once_if_all_instances_are_at_their_limit() {
    let deployment = Deployment::start(2, 1).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    deployment.gates[0].announce_rate_limit(Some("0.5"));
    let mut refused = 0;
    for round in 0..10 {
        let req = caller::request(&format!("r-{round}"), "/print/x", "k1");
        let began = Instant::now();
        let (res, _) = caller::send(node.callers, req).await.unwrap();
        if res.status() == 503 {
            assert!(began.elapsed() < REFUSED_WITHIN, "refused after {:?}", began.elapsed());
            let after = res.headers()["retry-after"].to_str().unwrap().parse::<f64>().unwrap();
            assert!((0.1..=8.0).contains(&after), "Retry-After is {after} s");
            refused += 1;
        }
    }
    assert!(
        refused >= 8,
        "the limit is half a request per second, and only {refused} were refused"
    );
}
