//! Polls other nodes for their status and reports, and answers their requests.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use tokio::task::JoinSet;
use workshold_core::observation::GroupObservation;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::NodeId;
use workshold_protocol::peer::AgedGroup;
use workshold_protocol::peer::AgedNode;
use workshold_protocol::peer::AgedReport;
use workshold_protocol::peer::NodeSummary;
use workshold_protocol::peer::PeerQuery;
use workshold_protocol::peer::PeerRequest;
use workshold_protocol::peer::PeerResponse;
use workshold_protocol::peer::PeerResponseBody;
use workshold_protocol::peer::decode_sealed;
use workshold_protocol::peer::encode_sealed;
use zeromq::RepSocket;
use zeromq::Socket;
use zeromq::SocketRecv;
use zeromq::SocketSend;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;

/// cannot listen for other nodes: {0}
#[derive(Debug, Display)]
pub struct ListenError(String);

impl std::error::Error for ListenError {}

/// Opens the socket for requests of other nodes.
///
/// # Errors
///
/// [`ListenError`] if the address can't be bound, such as one in use.
pub async fn listen(node: &Node) -> Result<RepSocket, ListenError> {
    let mut socket = RepSocket::new();
    let endpoint = format!("tcp://{}", node.settings.node.peers);
    socket.bind(&endpoint).await.map_err(|err| ListenError(err.to_string()))?;
    Ok(socket)
}

/// Answers other nodes for as long as this one runs.
///
/// The library's socket has been seen to panic when a peer died at the wrong moment. So
/// that this doesn't end the node, the socket runs in a task of its own and is reopened.
pub async fn answer_requests(node: Arc<Node>, mut socket: RepSocket) {
    loop {
        let answering = tokio::spawn(answer_until_panic(Arc::clone(&node), socket));
        if let Err(err) = answering.await {
            emit(Event::PeerSocketLost, &[("why", &err.to_string())]);
        }
        socket = loop {
            match listen(&node).await {
                Ok(socket) => break socket,
                Err(_) => tokio::time::sleep(REOPEN_PAUSE).await,
            }
        };
    }
}

/// Pause after a failed attempt to reopen the socket.
const REOPEN_PAUSE: Duration = Duration::from_millis(50);

async fn answer_until_panic(node: Arc<Node>, mut socket: RepSocket) {
    loop {
        let Ok(message) = socket.recv().await else {
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        let bytes = message.get(0).map(|frame| frame.to_vec()).unwrap_or_default();
        node.counters.control_received.add(bytes.len() as u64);
        let reply = match decode_sealed::<PeerRequest>(&bytes, &node.checked.cluster_key) {
            Ok(req) => answer(&node, req),
            Err(err) => {
                node.counters.bad_messages.add(1);
                emit(Event::BadSeal, &[("why", &err.to_string())]);
                // The socket receives the next request only after an answer was sent.
                Vec::new()
            }
        };
        node.counters.control_sent.add(reply.len() as u64);
        // Fails if the peer has disconnected, which doesn't concern the others.
        let _ = socket.send(reply.into()).await;
    }
}

fn answer(node: &Node, req: PeerRequest) -> Vec<u8> {
    let body = match req.ask {
        PeerQuery::Digest { data_centre } => {
            PeerResponseBody::Digest(Box::new(node_summary(node, &data_centre)))
        }
        PeerQuery::Records { from } => {
            let custody = node.is_authoritative();
            let log_state = node.log_state.read();
            let next = log_state.tail.next();
            PeerResponseBody::Records { records: log_state.tail.chunk(from), next, custody }
        }
        PeerQuery::KeyResult { key } => PeerResponseBody::KeyResult(node.keys.answer(&key)),
    };
    let answer = PeerResponse { nonce: req.nonce, from: node.name().clone(), body };
    encode_sealed(&answer, &node.checked.cluster_key)
}

/// The answer to a poll. A node of the same data centre gets this node's own reports; one
/// elsewhere gets a summary of this data centre's nodes and groups.
fn node_summary(node: &Node, poller_data_centre: &DataCentre) -> NodeSummary {
    let now = node.now();
    let is_local = poller_data_centre == &node.settings.node.data_centre;
    let own = node.status();
    if is_local {
        return NodeSummary {
            own,
            near: Vec::new(),
            reports: reports(node, now),
            groups: Vec::new(),
        };
    }
    let (near, groups) = (local_nodes(node, now), groups(node, now));
    NodeSummary { own, near, reports: Vec::new(), groups }
}

/// The groups of this data centre that can take requests, by the reports that this node has.
fn groups(node: &Node, now: Millis) -> Vec<AgedGroup> {
    let table = Arc::clone(&node.serving.read());
    let near = table.serving.values().flatten().filter(|row| !row.is_remote);
    near.filter(|row| now < row.valid_until)
        .map(|row| AgedGroup {
            group: row.group.clone(),
            fence: row.fence,
            age: now.since(row.proved_since),
            load_age: now.since(row.true_since),
            reported: row.reported,
            slots: row.slots,
        })
        .collect()
}

/// Status of the live nodes of this data centre.
fn local_nodes(node: &Node, now: Millis) -> Vec<AgedNode> {
    let rules = node.settings.membership_rules();
    let membership = node.membership.read();
    let live = membership.live(now, &rules);
    let near = live.filter(|(_, peer)| peer.status.data_centre == node.settings.node.data_centre);
    near.map(|(name, peer)| AgedNode {
        node: name.clone(),
        age: now.since(peer.asked),
        status: peer.status.clone(),
    })
    .collect()
}

/// Valid reports from this node's own probes.
fn reports(node: &Node, now: Millis) -> Vec<AgedReport> {
    let ttl = node.settings.times.report_ttl;
    let probed = node.probed.read();
    let observations = node.observations.read();
    probed
        .iter()
        .filter_map(|instance| {
            let observation = observations.fresh(instance, now, ttl)?;
            // The receiver subtracts the report's lag again, so the age is that of the probe.
            let sent = observation.true_since + observation.report.lag;
            Some(AgedReport {
                instance: instance.clone(),
                age: now.since(sent),
                report: observation.report.clone(),
            })
        })
        .collect()
}

/// Polls other nodes for as long as this one runs.
pub async fn poll_peers(node: Arc<Node>) {
    let mut tick = tokio::time::interval(node.settings.times.probe_every.to_duration());
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let known: Vec<_> = node.known_peers().into_keys().collect();
    node.membership.write().expect(known);
    loop {
        tick.tick().await;
        let mut polls = JoinSet::new();
        for (peer, address) in peers_to_poll(&node) {
            polls.spawn(poll_peer(Arc::clone(&node), peer, address));
        }
        while polls.join_next().await.is_some() {}
        node.check_isolation();
        node.drop_expired();
    }
}

/// The nodes to poll: all of this data centre, and a few of each other one.
fn peers_to_poll(node: &Node) -> Vec<(NodeId, String)> {
    let known = node.known_peers();
    let data_centres = data_centres(node, &known);
    let rules = node.settings.membership_rules();
    let membership = node.membership.read();
    let peers_to_poll = membership
        .poll_targets(data_centres.iter().map(|(peer, data_centre)| (peer, data_centre)), &rules);
    peers_to_poll.into_iter().map(|peer| (peer.clone(), known[peer].clone())).collect()
}

/// The data centre of each known node. One that is not in the instance list counts as being
/// in this data centre.
fn data_centres(
    node: &Node,
    known: &std::collections::BTreeMap<NodeId, String>,
) -> Vec<(NodeId, DataCentre)> {
    let list = Arc::clone(&node.list.read());
    let data_centre = |peer: &NodeId| {
        let listed = list.iter().find(|listed| listed.instance.as_str() == peer.as_str());
        listed.map_or(&node.settings.node.data_centre, |listed| &listed.data_centre).clone()
    };
    known.keys().map(|peer| (peer.clone(), data_centre(peer))).collect()
}

/// Polls one node, and applies its answer.
async fn poll_peer(node: Arc<Node>, peer: NodeId, address: String) {
    let polled_at = node.now();
    let within = node.settings.times.probe_every.to_duration();
    let query = PeerQuery::Digest { data_centre: node.settings.node.data_centre.clone() };
    let link = node.link(&peer, &address);
    let key = &node.checked.cluster_key;
    let answer = link.query(node.name(), query, key, &node.counters, within).await;
    if let Ok(PeerResponseBody::Digest(node_summary)) = answer {
        apply_summary(&node, &peer, polled_at, *node_summary);
    }
}

/// Applies a peer's answer to a poll. Ages are subtracted from the time when the poll was
/// sent, which is before the answer was written: so nothing is taken for more recent than
/// it is.
fn apply_summary(node: &Node, peer: &NodeId, polled_at: Millis, node_summary: NodeSummary) {
    let seen = node.now();
    node.on_peer_authority(node_summary.own.custody, node_summary.own.next);
    {
        let mut membership = node.membership.write();
        apply_demand(node, peer, &node_summary.own.demand, polled_at);
        membership.on_answer(peer, node_summary.own, polled_at);
        for near in node_summary.near {
            let polled_at = polled_at - near.age;
            apply_demand(node, &near.node, &near.status.demand, polled_at);
            membership.on_answer(&near.node, near.status, polled_at);
        }
    }
    let mut observations = node.observations.write();
    for aged in node_summary.reports {
        observations.take(&aged.instance, polled_at - aged.age, seen, aged.report);
    }
    for aged in node_summary.groups {
        let group_observation = GroupObservation {
            fence: aged.fence,
            true_since: polled_at - aged.age,
            load_since: polled_at - aged.load_age,
            reported: aged.reported,
            slots: aged.slots,
        };
        observations.record_group(&aged.group, group_observation);
    }
    drop(observations);
    node.mark_serving_stale();
}

/// Applies a node's demand to the teams' rate limits, which are split by the demand at each node.
fn apply_demand(
    node: &Node,
    peer: &NodeId,
    demand: &[workshold_protocol::peer::TeamDemand],
    polled_at: Millis,
) {
    for entry in demand {
        let requests_per_s = f64::from(entry.requests_per_s);
        node.teams.get(&entry.team, |team_limits| {
            team_limits.requests.on_peer(peer, requests_per_s, polled_at);
            team_limits.tokens.on_peer(peer, requests_per_s, polled_at);
        });
    }
}
