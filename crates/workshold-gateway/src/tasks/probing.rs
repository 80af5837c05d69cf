//! Looking after instances that somebody could not reach.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::select_ok;
use rand::Rng;
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::roster::Entry;
use workshold_core::hosted::suspicion;
use workshold_core::hosted::suspicion::OtherProbes;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_protocol::Millis;

use crate::loads::instance_hash;
use crate::metrics::Metric;
use crate::node::Node;
use crate::node::Probe;
use crate::node::ProbeTask;
use crate::peers::Ask;
use crate::peers::Message;
use crate::tasks::gossip;

/// How long an instance may take to accept a connection: several times the way
/// there and back between data centres, and what it takes to set one up.
pub const REACH_TIME: Millis = Millis(30);
/// If a try took this much longer than it may, this node itself stood still, and
/// the try shows nothing.
const OWN_DELAY: Millis = Millis(25);
/// Peers that are tried beside an instance that seems silent: one may itself be gone.
const OTHERS_TRIED: usize = 2;
/// How often an instance in doubt is tried again.
const AGAIN_EVERY: Duration = Duration::from_millis(1_500);

/// The others are asked once more after this, for a datagram may be lost: so soon that
/// whoever heard the first one need not try again, and has answered before anybody is
/// taken.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Tries to reach an instance; `None` if the try shows nothing.
pub async fn reach(node: &Node, address: &str) -> Option<ProbeResult> {
    let began = node.now();
    node.metrics.count(Metric::Looks);
    let tried = tokio::time::timeout(REACH_TIME.to_duration(), TcpStream::connect(address)).await;
    let took = node.now().since(began);
    let seen = match tried {
        Ok(Ok(_)) => Some(ProbeResult::Answers),
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            Some(ProbeResult::Refused)
        }
        Ok(Err(_)) => Some(ProbeResult::Silent),
        Err(_) if took > REACH_TIME + OWN_DELAY => None,
        Err(_) => Some(ProbeResult::Silent),
    };
    match seen {
        None => node.metrics.count(Metric::LooksVoid),
        Some(ProbeResult::Silent) => node.metrics.count(Metric::LooksSilent),
        Some(_) => {}
    }
    seen
}

/// Tries an instance twice before it says that nothing answers: one packet may be
/// lost. The second time others are tried beside it: a configuration of some hundred
/// kilobytes fills a small link for a tenth of a second, at all nodes at once. On a day of
/// planned work with 61 nodes 790 of 1,156 doubts were wrong without this, 19 of 202 with
/// it, by the nodes' logs.
async fn try_twice(node: &Node, id: &Identity, address: &str) -> Option<ProbeResult> {
    let first = reach(node, address).await;
    if first == Some(ProbeResult::Answers) {
        return first;
    }
    let (again, others) = tokio::join!(reach(node, address), try_others(node, id));
    let conclusive = suspicion::conclusive(again, others);
    if conclusive.is_none() && again.is_some() {
        node.metrics.count(Metric::LooksVoid);
    }
    conclusive
}

/// Tries others than `id`, at this moment.
async fn try_others(node: &Node, id: &Identity) -> OtherProbes {
    let addresses = others(node, id);
    if addresses.is_empty() {
        return OtherProbes::Nobody;
    }
    let retry_policy = addresses.iter().map(|address| Box::pin(is_there(address)));
    let answer = select_ok(retry_policy).await;
    if answer.is_ok() { OtherProbes::Answer } else { OtherProbes::Silent }
}

/// Whom to try beside an instance: peers, and an instance that is not in doubt, for
/// peers may be lost together with the first one.
fn others(node: &Node, id: &Identity) -> Vec<SmolStr> {
    let draw: u64 = rand::rng().random();
    let heard = node.peers.lock().sample(draw, node.now());
    let peers = node.peers.lock().callers_of(&heard);
    let peers = peers.iter().take(OTHERS_TRIED).map(|peer| SmolStr::new(peer.to_string()));
    let list = node.list.lock();
    let suspicions = node.suspicions.lock();
    let is_well = |entry: &&Entry| {
        let other = &entry.instance.identity;
        other != id && entry.unlisted_since.is_none() && suspicions.since(other).is_none()
    };
    let well: Vec<&Entry> = list.roster.iter().filter(is_well).collect();
    let drawn = well.get(draw as usize % well.len().max(1));
    peers.chain(drawn.map(|entry| entry.instance.address.clone())).collect()
}

/// Whether anything comes back in time, be it a refusal.
async fn is_there(address: &str) -> Result<(), ()> {
    match tokio::time::timeout(REACH_TIME.to_duration(), TcpStream::connect(address)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => Ok(()),
        _ => Err(()),
    }
}

/// Tries an instance, and tells the others if what it shows is news.
pub async fn probe_instance(node: &Node, id: &Identity, address: &SmolStr) -> Option<ProbeResult> {
    let seen = try_twice(node, id, address).await;
    if let Some(seen) = seen {
        node.on_probe_result(id, address, seen);
    }
    seen
}

/// Takes probes until the node ends: tries where asked to, and tells the others.
pub async fn run(node: Arc<Node>, socket: Arc<UdpSocket>, mut probes: UnboundedReceiver<Probe>) {
    while let Some(probe) = probes.recv().await {
        let node = Arc::clone(&node);
        let socket = Arc::clone(&socket);
        tokio::spawn(async move {
            let (reach, ask) = match probe.task {
                ProbeTask::Look => {
                    // What it shows is told by itself, if it is news.
                    probe_instance(&node, &probe.id, &probe.address).await;
                    return;
                }
                ProbeTask::AnswerOthers => {
                    let Some(reach) = try_twice(&node, &probe.id, &probe.address).await else {
                        return;
                    };
                    node.record_probe_result(&probe.id, reach);
                    (reach, Ask::Nobody)
                }
                ProbeTask::AnswerOne(asker) => {
                    let seen = try_twice(&node, &probe.id, &probe.address).await;
                    if seen == Some(ProbeResult::Answers) {
                        let message = verdict(&probe.id, ProbeResult::Answers, Ask::Nobody);
                        gossip::send(&node, &socket, &[asker], message).await;
                    }
                    return;
                }
                ProbeTask::Tell { reach, asks } => (reach, asks),
            };
            let message = verdict(&probe.id, reach, ask);
            gossip::broadcast(&node, &socket, message.clone()).await;
            if ask == Ask::Nobody {
                return;
            }
            tokio::time::sleep(ASK_AGAIN).await;
            if node.suspicions.lock().is_unreachable_from_here(&probe.id) {
                gossip::broadcast(&node, &socket, message).await;
            }
        });
    }
}

fn verdict(id: &Identity, reach: ProbeResult, ask: Ask) -> Message {
    Message::Verdict { instance: instance_hash(id), reach: reach.into(), ask }
}

/// Tries instances in doubt again, until the node ends.
pub async fn retry_probes(node: Arc<Node>) {
    loop {
        tokio::time::sleep(AGAIN_EVERY).await;
        let doubted: Vec<Identity> = node.suspicions.lock().iter().cloned().collect();
        let is_unreachable_from_here =
            |id: &Identity| node.suspicions.lock().is_unreachable_from_here(id);
        for id in
            doubted.into_iter().filter(|id| is_unreachable_from_here(id) || node.is_witness(id))
        {
            let entry = node.list.lock().roster.incarnation(&id).cloned();
            let Some(entry) = entry.filter(|entry| entry.unlisted_since.is_none()) else {
                continue;
            };
            if let Some(reach) = reach(&node, &entry.instance.address).await {
                node.on_probe_result(&id, &entry.instance.address, reach);
            }
        }
    }
}
