//! Probes instances: fetches their reports.

use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::task::JoinSet;
use workshold_http::client;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;
use workshold_protocol::report::Report;

use crate::node::Node;

/// Approximate bytes of a probe's request, for the metric of control traffic.
const PROBE_REQUEST_LEN: u64 = 60;
/// Approximate bytes of an answer with a report, for the metric of control traffic.
const PROBE_RESPONSE_LEN: u64 = 330;

/// Probes this node's share of the instances for as long as it runs.
pub async fn run(node: Arc<Node>) {
    let mut tick = tokio::time::interval(node.settings.times.probe_every.to_duration());
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        probe_all(&node).await;
        node.update_replay_lag();
    }
}

async fn probe_all(node: &Arc<Node>) {
    let instances_to_probe = instances_to_probe(node);
    *node.probed.write() =
        instances_to_probe.iter().map(|listed| listed.instance.clone()).collect::<BTreeSet<_>>();
    let mut probes = JoinSet::new();
    for listed in instances_to_probe {
        probes.spawn(probe(Arc::clone(node), listed.instance, listed.address));
    }
    while probes.join_next().await.is_some() {}
    node.mark_serving_stale();
}

/// The engines of this data centre that this node has to probe.
fn instances_to_probe(node: &Node) -> Vec<ListedInstance> {
    let (now, rules) = (node.now(), node.settings.membership_rules());
    let list = Arc::clone(&node.list.read());
    let membership = node.membership.read();
    let local = list.iter().filter(|listed| {
        matches!(listed.kind, InstanceKind::Engine { .. })
            && listed.data_centre == node.settings.node.data_centre
    });
    local.filter(|listed| membership.is_prober_of(&listed.instance, now, &rules)).cloned().collect()
}

/// Fetches one instance's report. One that doesn't answer just gets no newer report.
async fn probe(node: Arc<Node>, instance: InstanceId, address: String) {
    // Taken before the request is sent: the report is at least as recent.
    let sent = node.now();
    let within = node.settings.times.probe_every.to_duration();
    node.counters.probes.add(1);
    node.counters.control_sent.add(PROBE_REQUEST_LEN);
    let Ok(report) = client::get::<Report>(&address, "/engine/report", within).await else {
        return;
    };
    node.counters.control_received.add(PROBE_RESPONSE_LEN);
    let seen = node.now();
    node.observations.write().take(&instance, sent, seen, report);
}
