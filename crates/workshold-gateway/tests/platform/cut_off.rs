//! Nodes that lose their network paths to instances while callers, the store and other nodes still
//! reach them.

use std::time::Duration;

use rstest::rstest;
use tokio::task::JoinSet;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::path::Path;
use workshold_platform_standin::path::PathState;

use crate::support::TestNode;

const BOUNDS: &str = "repeat_slack = 500.0";
/// Time after which a cut-off node has to serve again: `undisturbed_after_ms` on small deployments.
const SERVES_AGAIN_WITHIN: Duration = Duration::from_secs(3);
/// First tries sent to each node.
const TRIES: usize = 40;
const TRY_INTERVAL: Duration = Duration::from_millis(40);
const CALLER_PATHS: [&str; 3] = ["/chat/x", "/plate/x", "/print/x"];

/// Nodes, each with a network path of its own to the instances.
struct Fleet {
    deployment: Deployment,
    nodes: Vec<TestNode>,
    paths: Vec<Path>,
}

impl Fleet {
    async fn start(len: usize) -> Self {
        let deployment = Deployment::start(6, 3).await;
        let paths: Vec<Path> = (0..len).map(|_| Path::default()).collect();
        let start =
            |(i, path)| TestNode::start_behind(&format!("n-{i}"), &deployment.store, BOUNDS, path);
        let nodes: Vec<TestNode> = paths.iter().enumerate().map(start).collect();
        for node in &nodes {
            node.serving().await;
        }
        Self { deployment, nodes, paths }
    }
}

/// Sends first tries to a node, none of them repeated, and returns how many were served.
async fn served_first_tries(node: &TestNode, name: &str) -> usize {
    let mut tries = JoinSet::new();
    for i in 0..TRIES {
        let path = CALLER_PATHS[i % CALLER_PATHS.len()];
        let req = caller::request(&format!("{name}-{i}"), path, "k1");
        let callers = node.callers;
        tries.spawn(async move {
            caller::send(callers, req).await.is_ok_and(|(res, _)| res.status() == 200)
        });
        tokio::time::sleep(TRY_INTERVAL).await;
    }
    tries.join_all().await.into_iter().filter(|is_served| *is_served).count()
}

/// Guards against a node without a path to any instance that refuses its callers although its peers
/// reach all instances: its first tries were served less than two thirds as often as theirs.
#[rstest]
#[case::refused(PathState::Refusing)]
#[case::silent(PathState::Silent)]
#[tokio::test]
async fn a_node_that_is_cut_off_from_all_instances_still_serves_first_tries(
    #[case] state: PathState,
) {
    let fleet = Fleet::start(3).await;
    fleet.paths[0].set_state(state);
    tokio::time::sleep(SERVES_AGAIN_WITHIN).await;
    let (cut_off, other) = tokio::join!(
        served_first_tries(&fleet.nodes[0], "cut"),
        served_first_tries(&fleet.nodes[1], "other"),
    );
    assert!(other > 0, "the instances serve nobody");
    assert!(
        3 * cut_off >= 2 * other,
        "{cut_off} of {TRIES} at the cut-off node, {other} elsewhere"
    );
    drop(fleet.deployment);
}
