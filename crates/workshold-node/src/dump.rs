//! The state of a node on request. It has no prompt, answer or key in it.

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

/// What an operator needs to know of the whole system, as one node sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The node that says it.
    pub node: String,
    /// Whether it serves callers.
    pub ready: bool,
    /// Why not.
    pub why_not: Option<String>,
    /// The bundle in force.
    pub bundle: Option<BundleRow>,
    /// Bundles that were published, by hash.
    pub published: BTreeMap<String, String>,
    /// The first offset of the log that is not read.
    pub next: u64,
    /// Whether the log answers.
    pub log_answers: bool,
    /// This node and the others.
    pub nodes: Vec<NodeRow>,
    /// All groups.
    pub groups: Vec<GroupRow>,
    /// All engines that are listed.
    pub instances: Vec<InstanceRow>,
}

/// The bundle in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BundleRow {
    /// Its name.
    pub name: String,
    /// Its hash.
    pub hash: String,
    /// How many sign-offs there were.
    pub generation: u64,
    /// The offset of its sign-off.
    pub since: u64,
    /// Groups that it asks for, by model.
    pub wanted: BTreeMap<String, u16>,
}

/// A node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeRow {
    /// Its name.
    pub node: String,
    /// Its data centre.
    pub data_centre: String,
    /// How long ago it was asked; nothing for this node itself.
    pub asked_ms_ago: Option<Millis>,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The hash of the bundle it runs.
    pub bundle: Option<String>,
    /// How far it has read the log.
    pub next: u64,
    /// What it has under way.
    pub in_flight: u32,
}

/// A group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupRow {
    /// Its name.
    pub group: GroupId,
    /// Its model.
    pub model: String,
    /// The version it runs.
    pub version: String,
    /// Its role.
    pub role: String,
    /// Its fabric domain.
    pub domain: String,
    /// Its fencing number.
    pub fence: u64,
    /// Its members.
    pub members: Vec<InstanceId>,
    /// `active`, `draining` or `dissolved`.
    pub phase: String,
    /// Whether it serves here.
    pub serving: bool,
    /// Why not.
    pub why_not: Option<String>,
}

/// An engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Its name.
    pub instance: InstanceId,
    /// Its fabric domain.
    pub domain: String,
    /// The group that claims it.
    pub claimed_by: Option<GroupId>,
    /// The group it says it is in.
    pub says: Option<String>,
    /// How old its last report is.
    pub report_age_ms: Option<Millis>,
    /// Whether the platform takes it away.
    pub leaving: bool,
    /// Whether an operator wants it out of service.
    pub stopping: bool,
}

/// All of a node's state.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// What operators need.
    pub status: Status,
    /// What the node has counted.
    pub counts: Counts,
    /// Requests under way.
    pub in_flight: Vec<InFlight>,
    /// Requests that wait, by model.
    pub waiting: BTreeMap<String, usize>,
    /// Idempotency keys in the state, and answers kept here.
    pub keys: [usize; 2],
    /// Records kept for peers: the first offset, and the next.
    pub tail: [u64; 2],
    /// Memory of the process, in KiB.
    pub memory_kib: u64,
}

/// The status as this node sees it.
pub fn status(node: &Node) -> Status {
    let readiness = node.readiness();
    // Read here and not below: a lock taken within the value that is returned
    // would be held while its other parts are read.
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

/// All of the node's state.
pub fn dump(node: &Node) -> Dump {
    let mut waiting = BTreeMap::new();
    node.dispatchers.for_each(|model, desk| {
        waiting.insert(model.to_string(), desk.waiting());
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

/// What was decided about a group, newest last.
pub fn explain(node: &Node, group: &str) -> Option<Value> {
    let decisions = node.decisions.lock();
    let id = GroupId::new(group).ok()?;
    let past = decisions.get(&id)?;
    let rows = past
        .iter()
        .map(|past| serde_json::json!({ "at_ms": past.at.0, "decision": past.decision }));
    Some(rows.collect())
}

/// The memory that the machine says this process has in use.
fn memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
