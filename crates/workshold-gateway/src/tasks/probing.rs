//! Probes of instances that this node or a peer could not reach.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::Either;
use futures_util::future::join_all;
use futures_util::future::select;
use futures_util::future::select_ok;
use rand::Rng;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::lost_paths;
use workshold_core::hosted::probe_plan::Scope;
use workshold_core::hosted::roster::Entry;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::suspicion;
use workshold_core::hosted::suspicion::OtherProbes;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_protocol::Millis;

use crate::loads::instance_hash;
use crate::metrics::Metric;
use crate::node::ConnectError;
use crate::node::Node;
use crate::node::Probe;
use crate::node::ProbeTask;
use crate::peers::Message;
use crate::peers::ProbeAudience;
use crate::routing_table::Target;
use crate::tasks::gossip;

/// Time within which an instance has to accept a connection: several round trips between data
/// centres, and the time to set up the connection.
pub const PROBE_TIMEOUT: Millis = Millis(30);
/// If a probe took longer than its timeout by this much, this process itself was stalled and the
/// probe is void.
const STALL_TOLERANCE: Millis = Millis(25);
/// Number of peers that are probed along with an instance that seems silent: a single one may
/// itself be gone.
const CONTROL_PROBES: usize = 2;
/// Interval at which suspected instances are probed again.
const REPROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Delay after which peers are asked a second time, since a datagram may be lost. It is so short
/// that a peer that received the first one does not probe again, and that all answers arrive
/// before anything is done about the instance.
const SECOND_REQUEST_DELAY: Duration = Duration::from_millis(100);

/// Probes an instance once over this node's own path, by opening a connection; `None` if the probe
/// is void.
pub async fn probe_once(node: &Node, id: &Identity, address: &str) -> Option<ProbeResult> {
    let started_at = node.now();
    node.metrics.count(Metric::Looks);
    let connected = node.connect_direct(id, address, PROBE_TIMEOUT).await;
    let took = node.now().since(started_at);
    let result = match connected {
        Ok(_) => Some(ProbeResult::Answers),
        Err(ConnectError::Refused) => Some(ProbeResult::Refused),
        Err(_) if took > PROBE_TIMEOUT + STALL_TOLERANCE => None,
        Err(_) => Some(ProbeResult::Silent),
    };
    match result {
        None => node.metrics.count(Metric::LooksVoid),
        Some(ProbeResult::Silent) => node.metrics.count(Metric::LooksSilent),
        Some(_) => {}
    }
    result
}

/// Probes an instance: over this node's own path, or through a peer if that path is lost. Before it
/// reports a failure it probes a second time, since one packet may be lost, and asks peers.
async fn probe(node: &Node, id: &Identity, address: &str) -> Option<ProbeResult> {
    if node.is_path_lost(id) {
        return node.ask_peers(id, address).await;
    }
    let first = probe_once(node, id, address).await;
    if first == Some(ProbeResult::Answers) {
        return first;
    }
    let by_peers = Box::pin(node.ask_peers(id, address));
    let again = Box::pin(probe_again(node, id, address));
    let (own, peers) = match select(by_peers, again).await {
        Either::Left((Some(ProbeResult::Answers), _)) => return Some(ProbeResult::Answers),
        Either::Left((peers, again)) => (again.await, peers),
        Either::Right((own @ Some(ProbeResult::Answers), _)) => return own,
        Either::Right((own, by_peers)) => (own, by_peers.await),
    };
    conclude(node, own?, peers)
}

/// What this node's own failed probe shows once peers were asked; `None` if nothing, since this
/// node reaches no other instance either.
fn conclude(node: &Node, own: ProbeResult, peers: Option<ProbeResult>) -> Option<ProbeResult> {
    let is_void = peers.is_none() && node.is_cut_off();
    (!is_void).then(|| suspicion::confirmed(own, peers))
}

/// Probes an instance a second time. Other nodes and instances are probed along with it: if they
/// are silent too, this node's own link may be at fault. A configuration of some hundred kilobytes
/// saturates a slow link for a tenth of a second, at all nodes at once. By the logs of 61 nodes
/// during a day of planned maintenance, 790 of 1,156 suspicions were wrong without this check and
/// 19 of 202 with it.
async fn probe_again(node: &Node, id: &Identity, address: &str) -> Option<ProbeResult> {
    let (again, others) = tokio::join!(probe_once(node, id, address), probe_others(node, id));
    let conclusive = suspicion::conclusive(again, others);
    if conclusive.is_none() && again.is_some() {
        node.metrics.count(Metric::LooksVoid);
    }
    conclusive
}

/// Probes addresses other than that of `id`.
async fn probe_others(node: &Node, id: &Identity) -> OtherProbes {
    let addresses = control_addresses(node, id);
    if addresses.is_empty() {
        return OtherProbes::Nobody;
    }
    let probes = addresses.iter().map(|address| Box::pin(answers(address)));
    let answer = select_ok(probes).await;
    if answer.is_ok() { OtherProbes::Answer } else { OtherProbes::Silent }
}

/// Addresses to probe along with an instance: those of peers, and of one instance that is not
/// suspected, since peers may be lost together with the instance.
fn control_addresses(node: &Node, id: &Identity) -> Vec<SmolStr> {
    let draw: u64 = rand::rng().random();
    let heard = node.peers.lock().sample(draw, node.now());
    let peers = node.peers.lock().caller_addresses(&heard);
    let peers = peers.iter().take(CONTROL_PROBES).map(|peer| SmolStr::new(peer.to_string()));
    let list = node.list.lock();
    let suspicions = node.suspicions.lock();
    let is_unsuspected = |entry: &&Entry| {
        let other = &entry.instance.identity;
        other != id && entry.unlisted_since.is_none() && suspicions.since(other).is_none()
    };
    let unsuspected: Vec<&Entry> = list.roster.iter().filter(is_unsuspected).collect();
    let drawn = unsuspected.get(draw as usize % unsuspected.len().max(1));
    peers.chain(drawn.map(|entry| entry.instance.address.clone())).collect()
}

/// Succeeds if the address answers in time, be it by a refusal.
async fn answers(address: &str) -> Result<(), ()> {
    match tokio::time::timeout(PROBE_TIMEOUT.to_duration(), TcpStream::connect(address)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => Ok(()),
        _ => Err(()),
    }
}

/// Probes an instance, and tells peers if the result has changed; `None` if the probe is void.
pub async fn probe_instance(node: &Node, id: &Identity, address: &SmolStr) -> Option<ProbeResult> {
    let result = probe(node, id, address).await;
    if let Some(result) = result {
        node.on_probe_result(id, address, result);
    }
    result
}

/// Probes the head of a group or all members concurrently. The results wake the requests that wait
/// for the group.
pub async fn probe_group(node: Arc<Node>, target: Arc<Target>, scope: Scope, started_at: Millis) {
    let is_probed = |member: &&Arc<Instance>| scope == Scope::Group || member.identity == target.id;
    let probes = target.members.iter().filter(is_probed).map(|member| async {
        let result = probe_instance(&node, &member.identity, &member.address).await;
        (member.identity.clone(), result)
    });
    let results = join_all(probes).await;
    node.on_group_probed(&target, scope, &results, started_at);
}

/// Works through the queue of probe tasks until the node ends.
pub async fn run(node: Arc<Node>, socket: Arc<UdpSocket>, mut probes: UnboundedReceiver<Probe>) {
    while let Some(probe) = probes.recv().await {
        let node = Arc::clone(&node);
        let socket = Arc::clone(&socket);
        tokio::spawn(async move {
            let (reach, ask) = match probe.task {
                ProbeTask::ForSelf => {
                    // Announces the result itself if it has changed.
                    probe_instance(&node, &probe.id, &probe.address).await;
                    return;
                }
                ProbeTask::ForAll => {
                    let Some(reach) = self::probe(&node, &probe.id, &probe.address).await else {
                        return;
                    };
                    node.record_probe_result(&probe.id, reach);
                    (reach, ProbeAudience::Nobody)
                }
                ProbeTask::ReplyTo(asker) => {
                    let result = self::probe(&node, &probe.id, &probe.address).await;
                    if result == Some(ProbeResult::Answers) {
                        let message =
                            verdict(&probe.id, ProbeResult::Answers, ProbeAudience::Nobody);
                        gossip::send(&node, &socket, &[asker], message).await;
                    }
                    return;
                }
                ProbeTask::Announce { reach, asks } => (reach, asks),
                ProbeTask::ReportGroup => {
                    let message = Message::GroupWorks { head: instance_hash(&probe.id) };
                    gossip::broadcast(&node, &socket, message).await;
                    return;
                }
            };
            let message = verdict(&probe.id, reach, ask);
            gossip::broadcast(&node, &socket, message.clone()).await;
            if ask == ProbeAudience::Nobody {
                return;
            }
            tokio::time::sleep(SECOND_REQUEST_DELAY).await;
            if node.suspicions.lock().is_unreachable_from_here(&probe.id) {
                gossip::broadcast(&node, &socket, message).await;
            }
        });
    }
}

/// The message that tells peers the result of a probe, or asks them to probe.
fn verdict(id: &Identity, reach: ProbeResult, ask: ProbeAudience) -> Message {
    Message::Verdict { instance: instance_hash(id), reach: reach.into(), ask }
}

/// Probes suspected instances again at an interval, until the node ends.
pub async fn retry_probes(node: Arc<Node>) {
    loop {
        tokio::time::sleep(REPROBE_INTERVAL).await;
        let suspects: Vec<Identity> = node.suspicions.lock().iter().cloned().collect();
        let is_unreachable_from_here =
            |id: &Identity| node.suspicions.lock().is_unreachable_from_here(id);
        for id in
            suspects.into_iter().filter(|id| is_unreachable_from_here(id) || node.is_witness(id))
        {
            let entry = node.list.lock().roster.incarnation(&id).cloned();
            let Some(entry) = entry.filter(|entry| entry.unlisted_since.is_none()) else {
                continue;
            };
            let address = &entry.instance.address;
            let own = probe_once(&node, &id, address).await;
            let reach = match own {
                None | Some(ProbeResult::Answers) => own,
                Some(own) => conclude(&node, own, node.ask_peers(&id, address).await),
            };
            if let Some(reach) = reach {
                node.on_probe_result(&id, address, reach);
            }
        }
    }
}

/// Tries lost paths again at an interval, until the node ends. While no peer opens a tunnel either, peers
/// are asked as well: an isolated node gets no requests that would ask them.
pub async fn retry_paths(node: Arc<Node>) {
    loop {
        tokio::time::sleep(lost_paths::RETRY_INTERVAL.to_duration()).await;
        let due = node.take_due_paths();
        let tries = due.iter().map(|(id, address)| probe_once(&node, id, address));
        join_all(tries).await;
        if let Some((id, address)) = due.first().filter(|_| node.is_isolated()) {
            node.ask_peers(id, address).await;
        }
    }
}
