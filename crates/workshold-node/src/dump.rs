//! The state of a node for operators, as JSON. It contains no prompts, answers or keys.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use workshold_core::bundles::InForce;
use workshold_core::fleet::Group;
use workshold_core::fleet::Phase;
use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::peer::NodeStatus;
use workshold_protocol::report::InstanceKind;

use crate::counters::Counts;
use crate::node::Node;
use crate::requests::InFlight;

/// State of the whole deployment, as one node sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The node that reports this.
    pub node: String,
    /// Whether it serves callers and its address is given out.
    pub ready: bool,
    /// The reason if it doesn't.
    pub why_not: Option<String>,
    /// The bundle in force; `None` if none was signed off.
    pub bundle: Option<BundleRow>,
    /// Names of the bundles that were published, by hash.
    pub published: BTreeMap<String, String>,
    /// Offset in the log of the next record to replay.
    pub next: u64,
    /// Whether the log answered the last read.
    pub log_answers: bool,
    /// This node and the others.
    pub nodes: Vec<NodeRow>,
    /// All groups, also those that are draining or dissolved.
    pub groups: Vec<GroupRow>,
    /// All engines in the instance list.
    pub instances: Vec<InstanceRow>,
}

/// The bundle in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BundleRow {
    /// Name that its authors gave it.
    pub name: String,
    /// Hash of its content.
    pub hash: String,
    /// Number of sign-offs up to this one.
    pub generation: u64,
    /// Offset in the log of its sign-off.
    pub since: u64,
    /// Number of groups that it asks for, by model.
    pub wanted: BTreeMap<String, u16>,
}

/// Status of one node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeRow {
    /// Name of the node.
    pub node: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Time since the poll that it last answered; `None` for this node itself.
    pub asked_ms_ago: Option<Millis>,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether its planned stop has begun.
    pub leaving: bool,
    /// Hash of the bundle that it has in force.
    pub bundle: Option<String>,
    /// Offset of the next record that it will replay.
    pub next: u64,
    /// Number of its requests in flight.
    pub in_flight: u32,
}

/// State of one group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupRow {
    /// Name of the group.
    pub group: GroupId,
    /// Model that it serves.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Role of the bundle that it fills.
    pub role: String,
    /// Fabric domain of its members.
    pub domain: String,
    /// Its fencing token.
    pub fence: u64,
    /// Its member instances, the head first.
    pub members: Vec<InstanceId>,
    /// `active`, `draining` or `dissolved`.
    pub phase: String,
    /// Whether this node sends it requests.
    pub serving: bool,
    /// The reason if it doesn't.
    pub why_not: Option<String>,
}

/// State of one engine instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Name in the instance list.
    pub instance: InstanceId,
    /// Fabric domain that it is in.
    pub domain: String,
    /// The group that claims it in the log.
    pub claimed_by: Option<GroupId>,
    /// The group and readiness in its last report.
    pub says: Option<String>,
    /// Age of its last report.
    pub report_age_ms: Option<Millis>,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
    /// Whether an operator has asked to take it out of service.
    pub stopping: bool,
}

/// The whole state of a node, for fault finding.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// State of the deployment as this node sees it.
    pub status: Status,
    /// Values of the node's counters.
    pub counts: Counts,
    /// Requests in flight.
    pub in_flight: Vec<InFlight>,
    /// Number of queued requests, by model.
    pub waiting: BTreeMap<String, usize>,
    /// Number of idempotency keys in the replayed state, and of those claimed at this node.
    pub keys: [usize; 2],
    /// Records kept for peers: the offset of the first one, and the offset after the last.
    pub tail: [u64; 2],
    /// Resident memory of the process, in KiB.
    pub memory_kib: u64,
}

/// State of the deployment as this node sees it.
pub fn status(node: &Node) -> Status {
    let readiness = node.readiness();
    // Not read in the struct expression below: the lock guard would live until the end of
    // that expression, and thus be held while the other fields are computed.
    let log_answers = node.log_state.read().log_answers;
    let (bundle, published, groups, next) = node
        .with_state(|state| {
            let published = state.bundles.published();
            (
                state.bundles.in_force().map(bundle_row),
                published.map(|(hash, bundle)| (hash.to_string(), bundle.name.clone())).collect(),
                state.fleet.groups().cloned().collect(),
                state.next().0,
            )
        })
        .unwrap_or_default();
    Status {
        node: node.name().to_string(),
        ready: readiness.is_ok(),
        why_not: readiness.err().map(|why| why.to_string()),
        bundle,
        published,
        next,
        log_answers,
        nodes: nodes(node),
        groups: group_rows(node, groups),
        instances: instances(node),
    }
}

fn bundle_row(in_force: &InForce) -> BundleRow {
    let models = in_force.bundle.models.iter();
    BundleRow {
        name: in_force.bundle.name.clone(),
        hash: in_force.hash.to_string(),
        generation: in_force.generation,
        since: in_force.since.0,
        wanted: models.map(|(name, model)| (name.to_string(), model.replicas)).collect(),
    }
}

fn nodes(node: &Node) -> Vec<NodeRow> {
    let now = node.now();
    let row = |name: &str, status: &NodeStatus, ago| NodeRow {
        node: name.to_owned(),
        data_centre: status.data_centre.to_string(),
        asked_ms_ago: ago,
        ready: status.ready,
        leaving: status.leaving,
        bundle: status.bundle.map(|hash| hash.to_string()),
        next: status.next.0,
        in_flight: status.in_flight,
    };
    let own = row(node.name().as_str(), &node.status(), None);
    let membership = node.membership.read();
    let peers = membership
        .peers()
        .map(|(name, peer)| row(name.as_str(), &peer.status, Some(now.since(peer.asked))));
    let mut rows: Vec<_> = peers.chain([own]).collect();
    rows.sort_by(|a, b| a.node.cmp(&b.node));
    rows
}

fn group_rows(node: &Node, groups: Vec<Group>) -> Vec<GroupRow> {
    let table = Arc::clone(&node.serving.read());
    let serving = table.serving_ids();
    let row = |group: Group| GroupRow {
        serving: serving.contains(&group.id),
        why_not: table.closed.get(&group.id).map(ToString::to_string),
        model: group.model.to_string(),
        version: group.version.to_string(),
        role: group.role.to_string(),
        domain: group.domain.to_string(),
        fence: group.fence.0,
        members: group.members.iter().map(|member| member.instance.clone()).collect(),
        phase: phase_name(group.phase).to_owned(),
        group: group.id,
    };
    groups.into_iter().map(row).collect()
}

const fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Active => "active",
        Phase::Draining { .. } => "draining",
        Phase::Dissolved { .. } => "dissolved",
    }
}

fn instances(node: &Node) -> Vec<InstanceRow> {
    let now = node.now();
    let list = Arc::clone(&node.list.read());
    let engines = list.iter().filter_map(|listed| match &listed.kind {
        InstanceKind::Engine { domain, .. } => Some((listed, domain)),
        _ => None,
    });
    let rows = node.with_state(|state| {
        let observations = node.observations.read();
        engines
            .map(|(listed, domain)| {
                let observation = observations.get(&listed.instance);
                let says =
                    observation.and_then(|observation| observation.report.membership.as_ref());
                InstanceRow {
                    instance: listed.instance.clone(),
                    domain: domain.to_string(),
                    claimed_by: state.fleet.claim_of(&listed.instance).cloned(),
                    says: says.map(|own| format!("{} ({:?})", own.group, own.readiness)),
                    report_age_ms: observation.map(|observation| now.since(observation.true_since)),
                    leaving: listed.leaving,
                    stopping: state.fleet.is_stopping(&listed.instance),
                }
            })
            .collect()
    });
    rows.unwrap_or_default()
}

/// The whole state of the node, for fault finding.
pub fn dump(node: &Node) -> Dump {
    let mut waiting = BTreeMap::new();
    node.dispatchers.for_each(|model, dispatcher| {
        waiting.insert(model.to_string(), dispatcher.queue_len());
    });
    let keys = node.with_state(|state| state.keys.len()).unwrap_or(0);
    let tail = {
        let log_state = node.log_state.read();
        [log_state.tail.first().0, log_state.tail.next().0]
    };
    Dump {
        status: status(node),
        counts: node.counters.counts(),
        in_flight: node.in_flight.all(),
        waiting,
        keys: [keys, node.keys.len()],
        tail,
        memory_kib: memory_kib(),
    }
}

/// The decisions of this node's stewards about a group, newest last; `None` if there are
/// none.
pub fn explain(node: &Node, group: &str) -> Option<Value> {
    let decisions = node.decisions.lock();
    let id = GroupId::new(group).ok()?;
    let past = decisions.get(&id)?;
    let rows = past
        .iter()
        .map(|past| serde_json::json!({ "at_ms": past.at.0, "decision": past.decision }));
    Some(rows.collect())
}

/// Resident memory of this process in KiB, from `/proc`; 0 if it can't be read.
fn memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
