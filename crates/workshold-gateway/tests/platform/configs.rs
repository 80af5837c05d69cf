//! Configurations with unusual values, as an operator may write them.

use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment::Deployment;
use workshold_platform_standin::deployment::config;
use workshold_platform_standin::path::Path;
use workshold_platform_standin::wait_for;

use crate::support::TestNode;

/// The usual configuration with a second model, and `value` at `pointer`.
fn config_with_value(version: u64, pointer: &str, value: Value) -> String {
    let mut config: Value = serde_json::from_str(&config(version, "k1")).unwrap();
    let models = config["services"][0]["engine"]["models"].as_array_mut().unwrap();
    models.push(json!({ "name": "m2", "size": 1, "load_s": 0.2, "warm_s": 0.1 }));
    *config.pointer_mut(pointer).unwrap() = value;
    config.to_string()
}

async fn version_in_force(node: &TestNode) -> u64 {
    let Some((_, body)) = caller::get(node.control, "/state").await else { return 0 };
    let state: Value = serde_json::from_slice(&body).unwrap();
    state["config"]["version"].as_u64().unwrap_or_default()
}

const MODEL: &str = "/services/0/engine/models/1";

/// Guards against a value that a configuration may have and that keeps a node busy: it answered
/// nobody any more.
#[rstest]
#[case::size_largest("size", json!(u64::MAX))]
#[case::size_beyond_the_fleet("size", json!(4_000_000_000_u64))]
#[case::size_zero("size", json!(0))]
#[case::name_longest("name", json!("m".repeat(64)))]
#[case::name_of_dots("name", json!(".".repeat(64)))]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_answers_whatever_a_model_is_like(#[case] field: &str, #[case] value: Value) {
    let deployment = Deployment::start(6, 1).await;
    deployment.store.configure(&config_with_value(1, &format!("{MODEL}/size"), json!(1)));
    let node = TestNode::start_apart("n-1", &deployment.store, "", &Path::default());
    node.serving().await;
    deployment.store.configure(&config_with_value(2, &format!("{MODEL}/{field}"), value));
    wait_for("the configuration", || async { version_in_force(&node).await == 2 }).await;
    let mut statuses = Vec::new();
    for i in 0..20 {
        let req = caller::request(&format!("r-{i}"), "/chat/x", "k1");
        let sending = caller::send(node.callers, req);
        let sent = tokio::time::timeout(Duration::from_secs(5), sending).await;
        statuses.push(sent.expect("an answer").unwrap().0.status().as_u16());
    }
    // Groups may have no place while some of them are formed anew for the changed model.
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(statuses.contains(&200), "{statuses:?}");
}
