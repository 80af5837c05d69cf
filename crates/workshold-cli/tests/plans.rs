//! The plan of `stop` and the progress of `rollout`, computed from a node's status.

use rstest::rstest;
use workshold_cli::commands::rollout;
use workshold_cli::commands::stop;
use workshold_cli::error::CliError;
use workshold_node::dump::Status;

/// A status with one group of two instances in a domain, and `free` further instances.
fn status(free: usize, serving: bool) -> Status {
    let group = serde_json::json!({
        "group": "g1", "model": "m", "version": "v1", "role": "full", "domain": "fabric",
        "fence": 3, "members": ["a", "b"], "phase": "active", "serving": serving,
        "why_not": if serving { None } else { Some("a is not ready yet") },
    });
    let instance = |name: &str, claimed: Option<&str>| {
        serde_json::json!({
            "instance": name, "domain": "fabric", "claimed_by": claimed, "says": claimed,
            "report_age_ms": 10, "leaving": false, "stopping": false,
        })
    };
    let mut instances = vec![instance("a", Some("g1")), instance("b", Some("g1"))];
    instances.extend((0..free).map(|n| instance(&format!("free-{n}"), None)));
    let node = |name: &str, bundle: &str| {
        serde_json::json!({
            "node": name, "data_centre": "dc", "asked_ms_ago": 5, "ready": true,
            "leaving": false, "bundle": bundle, "next": 9, "in_flight": 0,
        })
    };
    let status = serde_json::json!({
        "node": "n1", "ready": true, "why_not": null,
        "bundle": {
            "name": "b", "hash": "new", "generation": 2, "since": 8, "wanted": { "m": 1 },
        },
        "published": {}, "next": 9, "log_answers": true,
        "nodes": [node("n1", "new"), node("n2", if serving { "new" } else { "old" })],
        "groups": [group], "instances": instances,
    });
    serde_json::from_value(status).unwrap()
}

#[rstest]
#[case::enough_free_instances(2, false)]
#[case::too_few_free_instances(1, true)]
fn a_stop_plan_predicts_downtime(#[case] free: usize, #[case] expected_downtime: bool) {
    let plan = stop::plan(&status(free, true), "a").unwrap();
    assert_eq!(plan.downtime, expected_downtime);
    insta::assert_snapshot!(format!("stop_with_{free}_free"), plan.steps.join("\n"));
}

#[test]
fn stopping_a_free_instance_has_no_downtime() {
    let plan = stop::plan(&status(1, true), "free-0").unwrap();
    assert!(!plan.downtime);
}

#[test]
fn an_unlisted_instance_is_an_error() {
    let err = stop::plan(&status(1, true), "c").unwrap_err();
    assert!(matches!(err, CliError::Unknown { .. }));
    assert_eq!(err.exit_code(), 2);
}

#[test]
fn a_rollout_is_done_when_every_node_runs_it_and_every_group_serves() {
    assert!(rollout::progress(&status(0, true)).done);
    let progress = rollout::progress(&status(0, false));
    assert!(!progress.done);
    assert_eq!(progress.lagging_nodes, ["n2"]);
    assert_eq!(progress.models[0].others, ["g1 (active): a is not ready yet"]);
}
