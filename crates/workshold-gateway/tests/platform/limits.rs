//! An instance that names how many requests a second it takes.
//!
//! Seen: two instances that had named limits of 1.7 and 2.1 requests a second got 16 and 20 in
//! four seconds, as many as before and as all others. How: nine nodes sent each its part of all
//! requests. Cause: nobody read what an answer says of its instance, so that no node sent less.
//! Here: the same with three nodes, some twenty requests a second each, and limits between nothing
//! and a tenth of that; the stand-in counts what comes over any four seconds.

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

/// Between two requests at one node.
const PAUSE: Duration = Duration::from_millis(50);
/// Long enough for the span over which a limit holds, from when all nodes keep to it.
const LASTS: Duration = Duration::from_millis(8_500);
/// Nobody who is refused waits for longer than a part of the goal.
const AT_ONCE: Duration = Duration::from_millis(100);

async fn three_nodes(deployment: &Deployment) -> [TestNode; 3] {
    let nodes = ["n-1", "n-2", "n-3"]
        .map(|name| TestNode::start(name, &deployment.store, "repeat_slack = 500.0"));
    for node in &nodes {
        node.serving().await;
    }
    nodes
}

/// Callers that ask each node in turn until they are told to stop.
struct Callers {
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    tasks: JoinSet<()>,
}

impl Callers {
    fn start(nodes: &[TestNode], path: &'static str) -> Self {
        let (is_over, served) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let mut tasks = JoinSet::new();
        for node in nodes {
            tasks.spawn(ask_on(node.callers, path, Arc::clone(&is_over), Arc::clone(&served)));
        }
        Self { is_over, served, tasks }
    }

    async fn stop(self) -> usize {
        self.is_over.store(true, Ordering::Relaxed);
        self.tasks.join_all().await;
        self.served.load(Ordering::Relaxed)
    }
}

async fn ask_on(
    node: SocketAddr,
    path: &'static str,
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
) {
    let mut long_poll = JoinSet::new();
    for turn in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let served = Arc::clone(&served);
        long_poll.spawn(async move {
            let req = caller::request(&format!("{node}-{turn}"), path, "k1");
            let answer = caller::send(node, req).await;
            if answer.is_ok_and(|(res, _)| res.status() == 200) {
                served.fetch_add(1, Ordering::Relaxed);
            }
        });
        tokio::time::sleep(PAUSE).await;
    }
    long_poll.join_all().await;
}

fn head(deployment: &Deployment) -> &StandInInstance {
    deployment.engines.iter().find(|engine| engine.request_count() > 0).expect("a head was asked")
}

/// Fails where nodes send an instance more than the limit that it names in its answers.
#[rstest]
#[case::plain("/plate/x")]
#[case::streams("/chat/x")]
#[tokio::test]
async fn an_instance_gets_no_more_than_the_limit_it_names_from_all_nodes(
    #[case] path: &'static str,
) {
    let deployment = Deployment::start(6, 3).await;
    let nodes = three_nodes(&deployment).await;
    let callers = Callers::start(&nodes, path);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let limited = if path.starts_with("/plate") { &deployment.gates[0] } else { head(&deployment) };
    limited.announce_rate_limit(Some("2.1"));
    let before = limited.request_count();
    tokio::time::sleep(LASTS).await;
    let got = limited.request_count() - before;
    let served = callers.stop().await;
    assert_eq!(deployment.store.monitor.overloads(), Vec::<String>::new());
    assert!(got >= 6, "it takes 17 in that time, and got {got}");
    assert!(served > 400, "the others have room for all, and {served} were served");
}

/// Fails where a limit near nothing is met by never asking again: it must be found lifted.
#[tokio::test]
async fn a_limit_of_nothing_is_kept_and_its_end_is_found() {
    let deployment = Deployment::start(2, 2).await;
    let nodes = three_nodes(&deployment).await;
    let limited = &deployment.gates[0];
    limited.announce_rate_limit(Some("0"));
    let callers = Callers::start(&nodes, "/plate/x");
    tokio::time::sleep(LASTS).await;
    limited.announce_rate_limit(None);
    let before = limited.request_count();
    wait_for("the other half of all requests", || async { limited.request_count() > before + 100 })
        .await;
    callers.stop().await;
    assert_eq!(deployment.store.monitor.overloads(), Vec::<String>::new());
}

/// Fails where a value that is no number lifts, sets or breaks anything.
#[rstest]
#[case("much")]
#[case("-1")]
#[case("NaN")]
#[case("inf")]
#[case("1e999")]
#[case("")]
#[tokio::test]
async fn a_limit_that_cannot_be_read_keeps_nothing_from_its_instance(#[case] value: &str) {
    let deployment = Deployment::start(2, 1).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    deployment.gates[0].announce_rate_limit(Some(value));
    for turn in 0..10 {
        let req = caller::request(&format!("r-{turn}"), "/plate/x", "k1");
        let (res, _) = caller::send(node.callers, req).await.unwrap();
        assert_eq!(res.status(), 200, "at turn {turn}");
    }
}
/// Fails where a request that no instance takes for now is held, or refused without a time.
#[tokio::test]
async fn what_all_instances_keep_out_by_their_limits_is_refused_at_once() {
    let deployment = Deployment::start(2, 1).await;
    let node = TestNode::start("n-1", &deployment.store, "");
    node.serving().await;
    deployment.gates[0].announce_rate_limit(Some("0.5"));
    let mut refused = 0;
    for turn in 0..10 {
        let req = caller::request(&format!("r-{turn}"), "/print/x", "k1");
        let began = Instant::now();
        let (res, _) = caller::send(node.callers, req).await.unwrap();
        if res.status() == 503 {
            assert!(began.elapsed() < AT_ONCE, "refused after {:?}", began.elapsed());
            let after = res.headers()["retry-after"].to_str().unwrap().parse::<f64>().unwrap();
            assert!((0.1..=8.0).contains(&after), "back in {after} s");
            refused += 1;
        }
    }
    assert!(refused >= 8, "half a request a second was allowed, {refused} were refused");
}
