//! What the deployment guarantees under failures, with entry nodes as processes.

mod support;

use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::Fact;
use workshold_protocol::record::StopRequest;
use workshold_standins::Layout;
use workshold_standins::Platform;
use workshold_standins::faults::Fault;
use workshold_standins::load::Report;

use crate::support::Deployment;
use crate::support::TIME_SETTINGS;
use crate::support::bundle_in_force;
use crate::support::caller::CompletionStream;
use crate::support::caller::load;
use crate::support::caller::start_load;
use crate::support::serving_group_count;

/// Checks that each request had exactly one result: its own complete answer, or an error
/// that says whether it may have run.
fn assert_all_accounted_for(report: &Report) {
    eprintln!("{}", report.to_json());
    assert_eq!((report.wrong, report.lost), (0, 0), "{}", report.to_json());
    assert!(report.answered > 0);
}

/// Prints what the engines observed, for the figures in docs/PROOFS.md.
fn print_observed(platform: &Platform) {
    let observed = platform.observed();
    eprintln!(
        "sent to incomplete groups: {}, longest a member was missing then: {}, cut: {}, fenced off: {}",
        observed.sent_to_incomplete,
        observed.longest_missing,
        observed.cut_by_leave,
        observed.fenced_off,
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_steward_that_resumes_after_a_long_pause_breaks_no_group() {
    let layout = Layout { entries: 3, unfenced_every: 2, ..Layout::default() };
    let deployment = Deployment::start_serving(layout).await;
    // Any of the nodes may be the steward, so each in turn is paused while a member is lost.
    for (i, lost) in [(0, 0), (1, 5), (2, 1)] {
        let lost = deployment.layout.engine_id(lost);
        deployment.signal(i, "-STOP");
        deployment.platform.inject(Fault::Kill(lost.clone())).await;
        let others: Vec<_> = (0..3).filter(|other| *other != i).collect();
        wait_for_nodes(&deployment, &others, "both groups serve", 2).await;
        deployment.signal(i, "-CONT");
        deployment
            .wait("all nodes report that both groups serve", |all| {
                all.iter().all(|s| serving_group_count(s) == 2)
            })
            .await;
        deployment.platform.inject(Fault::Restart(lost)).await;
    }
    print_observed(&deployment.platform);
    // With all instances back, both groups have their full size again.
    deployment
        .wait("two groups of four, no instance in both", |all| {
            all.iter().all(|status| {
                let members: Vec<_> = status.groups.iter().flat_map(|g| &g.members).collect();
                let distinct: std::collections::BTreeSet<_> = members.iter().collect();
                serving_group_count(status) == 2 && (members.len(), distinct.len()) == (8, 8)
            })
        })
        .await;
}

/// Waits until each of `nodes` reports that `groups` groups serve.
async fn wait_for_nodes(deployment: &Deployment, nodes: &[u16], what: &str, groups: usize) {
    let deadline = tokio::time::Instant::now() + support::WAIT_TIMEOUT;
    loop {
        let mut good = 0;
        for i in nodes {
            let status = deployment.status(*i).await;
            good +=
                usize::from(status.is_some_and(|status| serving_group_count(&status) == groups));
        }
        if good == nodes.len() {
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "timed out: {what}");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn serving_continues_during_a_log_outage_and_a_lost_group_is_replaced_after_it() {
    let deployment = Deployment::start_serving(Layout::default()).await;
    let running = start_load(load(&deployment, 8));
    deployment.platform.inject(Fault::LogDown(true)).await;
    deployment
        .wait("all nodes report that the log does not answer", |all| {
            all.iter().all(|status| !status.log_answers)
        })
        .await;
    deployment.platform.inject(Fault::Kill(deployment.layout.engine_id(0))).await;
    deployment
        .wait("one group is left", |all| all.iter().all(|s| serving_group_count(s) == 1))
        .await;
    assert!(deployment.status(0).await.unwrap().ready, "the node is ready without the log");
    assert_all_accounted_for(&running.await.unwrap());
    deployment.platform.inject(Fault::LogDown(false)).await;
    deployment
        .wait("both groups serve", |all| all.iter().all(|s| serving_group_count(s) == 2))
        .await;
    print_observed(&deployment.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_sign_offs_the_first_in_the_log_wins_at_all_nodes() {
    let deployment = Deployment::start_serving(Layout { engines: 5, ..Layout::default() }).await;
    let first = deployment.bundle("first", "v1").hash();
    let one = deployment.publish(&deployment.bundle("one", "v1")).await;
    let two = deployment.publish(&deployment.bundle("two", "v1")).await;
    tokio::join!(
        deployment.sign_off("alice", one, Some(first)),
        deployment.sign_off("bob", two, Some(first)),
    );
    deployment
        .wait("one of the two is in force everywhere", |all| {
            let winner = bundle_in_force(&all[0]).map(str::to_owned);
            let is_new = winner != Some(first.to_string());
            is_new && all.iter().all(|status| bundle_in_force(status) == winner.as_deref())
        })
        .await;
    let bundle = deployment.status(0).await.unwrap().bundle.unwrap();
    assert_eq!(bundle.generation, 2, "the second sign-off has no effect");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_node_under_load_loses_no_request() {
    let mut deployment = Deployment::start_serving(Layout::default()).await;
    let running = start_load(load(&deployment, 5));
    deployment.signal(1, "-TERM");
    let code = deployment.wait_for_exit(1).await;
    let report = running.await.unwrap();
    assert_all_accounted_for(&report);
    assert_eq!(code, Some(0), "exit code 0: no request was aborted");
    assert_eq!((report.unknown, report.not_run), (0, 0), "{}", report.to_json());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_an_instance_under_load_cuts_no_stream() {
    let deployment = Deployment::start_serving(Layout::default()).await;
    let running = start_load(load(&deployment, 6));
    let instance = deployment.layout.engine_id(0);
    let request = StopRequest { instance: instance.clone(), stop: true };
    deployment.append(&deployment.operator("alice"), Fact::StopRequested(request)).await;
    deployment
        .wait("the instance is free and both groups serve", |all| {
            all.iter().all(|status| {
                let row = status.instances.iter().find(|row| row.instance == instance).unwrap();
                serving_group_count(status) == 2 && row.claimed_by.is_none() && row.says.is_none()
            })
        })
        .await;
    let report = running.await.unwrap();
    assert_all_accounted_for(&report);
    print_observed(&deployment.platform);
    assert_eq!(deployment.platform.observed().cut_by_leave, 0);
    assert_eq!(report.unknown, 0, "{}", report.to_json());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_the_platform_removes_gets_no_new_request_and_is_replaced() {
    let deployment = Deployment::start_serving(Layout::default()).await;
    let running = start_load(load(&deployment, 5));
    let leaving = deployment.layout.engine_id(2);
    deployment.platform.inject(Fault::Leaving(leaving.clone(), true)).await;
    deployment
        .wait("both groups serve without it", |all| {
            all.iter().all(|status| {
                let is_in = |group: &workshold_node::dump::GroupRow| {
                    group.serving && group.members.contains(&leaving)
                };
                serving_group_count(status) == 2 && !status.groups.iter().any(is_in)
            })
        })
        .await;
    assert_all_accounted_for(&running.await.unwrap());
    assert_eq!(deployment.platform.observed().cut_by_leave, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_failure_of_a_domain_stops_only_its_own_groups() {
    let deployment = Deployment::start_serving(Layout::default()).await;
    let running = start_load(load(&deployment, 6));
    let domain = deployment.layout.engine_domain(0);
    deployment.platform.inject(Fault::Dark(domain.clone())).await;
    deployment
        .wait("one group is left", |all| all.iter().all(|s| serving_group_count(s) == 1))
        .await;
    assert_all_accounted_for(&running.await.unwrap());
    deployment.platform.inject(Fault::Light(domain)).await;
    deployment
        .wait("both groups serve", |all| all.iter().all(|s| serving_group_count(s) == 2))
        .await;
    print_observed(&deployment.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn groups_serve_callers_of_all_data_centres_and_the_loss_of_one_stops_no_other() {
    let layout = Layout { engines: 15, entries: 6, data_centres: 3, ..Layout::default() };
    let deployment = Deployment::start_serving(layout).await;
    let running = start_load(load(&deployment, 6));
    // All instances of the first data centre fail; its nodes send requests to the others.
    let domain = deployment.layout.engine_domain(0);
    deployment.platform.inject(Fault::Dark(domain)).await;
    deployment
        .wait("two groups are left", |all| all.iter().all(|s| serving_group_count(s) == 2))
        .await;
    let mut stream = CompletionStream::open(&deployment.layout.callers(0), "from afar", 10).await;
    stream.finish().await;
    assert!(stream.is_complete, "a node without groups in its data centre uses those of others");
    assert_all_accounted_for(&running.await.unwrap());
    print_observed(&deployment.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_resumes_after_a_freeze_is_in_one_group_only() {
    let deployment = Deployment::start_serving(Layout { engines: 5, ..Layout::default() }).await;
    let frozen = deployment.layout.engine_id(0);
    deployment.platform.inject(Fault::Freeze(frozen.clone(), true)).await;
    let is_elsewhere = |status: &workshold_node::dump::Status| {
        let serves = |group: &workshold_node::dump::GroupRow| {
            group.serving && !group.members.contains(&frozen)
        };
        status.groups.iter().any(serves)
    };
    deployment.wait("a group without it serves", |all| all.iter().all(is_elsewhere)).await;
    deployment.platform.inject(Fault::Freeze(frozen.clone(), false)).await;
    let is_free = |status: &workshold_node::dump::Status| {
        let row = status.instances.iter().find(|row| row.instance == frozen).unwrap();
        row.says.is_none() && row.claimed_by.is_none()
    };
    deployment.wait("the instance has left its old group", |all| all.iter().all(is_free)).await;
    print_observed(&deployment.platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_restart_during_a_log_outage_serves_no_old_bundle_and_recovers_with_the_log() {
    let mut deployment =
        Deployment::start_serving(Layout { engines: 5, ..Layout::default() }).await;
    let second = deployment.publish(&deployment.bundle("second", "v1")).await;
    let first = deployment.bundle("first", "v1").hash();
    deployment.sign_off("alice", second, Some(first)).await;
    let wanted = second.to_string();
    deployment
        .wait("the second bundle is in force everywhere", |all| {
            all.iter().all(|s| bundle_in_force(s) == Some(&wanted))
        })
        .await;
    deployment.platform.inject(Fault::LogDown(true)).await;
    (0..3).for_each(|i| deployment.kill(i));
    (0..3).for_each(|i| deployment.start_entry(i));
    deployment.wait("all nodes answer", |all| all.len() == 3).await;
    for i in 0..3 {
        let status = deployment.status(i).await.unwrap();
        assert!(!status.ready && status.bundle.is_none(), "{status:?}");
    }
    deployment.platform.inject(Fault::LogDown(false)).await;
    deployment
        .wait("all nodes serve the second bundle", |all| {
            all.iter().all(|s| {
                s.ready && bundle_in_force(s) == Some(&wanted) && serving_group_count(s) == 1
            })
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_during_a_log_outage_catches_up_from_its_peers() {
    let mut deployment =
        Deployment::start_serving(Layout { engines: 5, ..Layout::default() }).await;
    deployment.platform.inject(Fault::LogDown(true)).await;
    deployment.kill(2);
    deployment.start_entry(2);
    deployment
        .wait("all nodes serve", |all| {
            all.len() == 3 && all.iter().all(|s| s.ready && serving_group_count(s) == 1)
        })
        .await;
    let mut stream = CompletionStream::open(&deployment.layout.callers(2), "a question", 10).await;
    stream.finish().await;
    assert!(stream.is_complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_node_starts_from_a_checkpoint_after_the_log_was_truncated() {
    let layout = Layout { engines: 5, ..Layout::default() };
    let with_small_checkpoint_interval =
        |_, text: String| text.replace("[bounds]\n", "[bounds]\ncheckpoint_records = 6\n");
    let mut deployment =
        Deployment::start_with(layout, TIME_SETTINGS, with_small_checkpoint_interval).await;
    deployment.roll_out_first_bundle().await;
    let key = deployment.operator("alice");
    let has_checkpoint = |platform: &Platform| {
        platform.log.records().iter().any(|record| record.data.contains("checkpoint"))
    };
    for stop in [true, false, true, false] {
        let instance = InstanceId::new("engine-4").unwrap();
        deployment.append(&key, Fact::StopRequested(StopRequest { instance, stop })).await;
    }
    deployment.wait_for_platform("the log has a checkpoint", has_checkpoint).await;
    let records = deployment.platform.log.records();
    let at = records.iter().rposition(|record| record.data.contains("checkpoint")).unwrap();
    deployment.platform.inject(Fault::Retain(records.len() - at + 2)).await;
    assert!(deployment.platform.log.records()[0].offset.0 > 0, "the first records were dropped");
    deployment.kill(1);
    deployment.start_entry(1);
    deployment
        .wait("all nodes serve the same bundle from the same offset", |all| {
            let is_same = all
                .iter()
                .all(|s| bundle_in_force(s) == bundle_in_force(&all[0]) && s.next == all[0].next);
            all.len() == 3 && is_same && all.iter().all(|s| s.ready && serving_group_count(s) == 1)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_isolated_from_log_and_peers_stops_serving_and_recovers() {
    let layout = Layout { engines: 5, entries: 2, ..Layout::default() };
    let log_address = std::sync::Mutex::new(None);
    // The first node reaches the log through a proxy that the test can cut.
    let port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let proxy_address = port.to_string();
    let use_proxy = |i: u16, text: String| {
        if i > 0 {
            return text;
        }
        let log = text.lines().find_map(|line| line.strip_prefix("log = ")).unwrap().to_owned();
        *log_address.lock().unwrap() = Some(log.trim_matches('"').to_owned());
        text.replace(&format!("log = {log}"), &format!("log = \"{proxy_address}\""))
    };
    let mut deployment = Deployment::start_with(layout, TIME_SETTINGS, use_proxy).await;
    let target = log_address.lock().unwrap().clone().unwrap();
    let link = support::tcp_proxy::TcpProxy::start(&proxy_address, target).await;
    deployment.roll_out_first_bundle().await;

    link.set_cut(true);
    deployment.wait("node 0 reports that the log does not answer", |all| !all[0].log_answers).await;
    // It still learns from its peer which bundle is signed off meanwhile.
    let first = deployment.bundle("first", "v1").hash();
    let second = deployment.publish(&deployment.bundle("second", "v1")).await;
    deployment.sign_off("alice", second, Some(first)).await;
    let wanted = second.to_string();
    deployment
        .wait("the second bundle is in force at both nodes", |all| {
            all.iter().all(|s| s.ready && bundle_in_force(s) == Some(&wanted))
        })
        .await;

    deployment.kill(1);
    deployment.wait("the isolated node is not ready", |all| !all[0].ready).await;
    link.set_cut(false);
    deployment.wait("node 0 is ready once the log answers", |all| all[0].ready).await;
}
