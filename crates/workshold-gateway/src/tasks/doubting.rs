//! Looking after instances that somebody could not reach.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use workshold_core::hosted::suspicion::Reach;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;

use crate::loads::short_id;
use crate::node::Doubt;
use crate::node::Node;
use crate::peers::Message;
use crate::tasks::gossip;

/// How long an instance may take to accept a connection: several times the way
/// there and back between data centres, and what it takes to set one up.
pub const REACH_TIME: Millis = Millis(30);
/// If a try took this much longer than it may, this node itself stood still, and
/// the try shows nothing.
const OWN_DELAY: Millis = Millis(25);
/// How often an instance in doubt is tried again.
const AGAIN_EVERY: Duration = Duration::from_millis(1_500);

/// Tries to reach an instance; `None` if the try shows nothing.
pub async fn reach(node: &Node, address: &str) -> Option<Reach> {
    let began = node.now();
    let tried = tokio::time::timeout(REACH_TIME.to_duration(), TcpStream::connect(address)).await;
    let took = node.now().since(began);
    match tried {
        Ok(Ok(_)) => Some(Reach::Answers),
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => Some(Reach::Refused),
        Ok(Err(_)) => Some(Reach::Silent),
        Err(_) if took > REACH_TIME + OWN_DELAY => None,
        Err(_) => Some(Reach::Silent),
    }
}

/// Tries an instance twice before it says that nothing answers: one packet may be
/// lost.
pub async fn look(node: &Node, id: &InstanceId, address: &SmolStr) -> Option<Reach> {
    let first = reach(node, address).await;
    if first == Some(Reach::Answers) {
        node.on_reach(id, address, Reach::Answers);
        return first;
    }
    let seen = reach(node, address).await;
    if let Some(seen) = seen {
        node.on_reach(id, address, seen);
    }
    seen
}

/// Takes doubts until the node ends: tries where asked to, and tells the others.
pub async fn run(node: Arc<Node>, socket: Arc<UdpSocket>, mut doubts: UnboundedReceiver<Doubt>) {
    while let Some(doubt) = doubts.recv().await {
        let node = Arc::clone(&node);
        let socket = Arc::clone(&socket);
        tokio::spawn(async move {
            let instance = short_id(&doubt.id);
            let (reach, ask) = match doubt.seen {
                Some(reach) => (Some(reach), reach != Reach::Answers),
                None => (look(&node, &doubt.id, &doubt.address).await, false),
            };
            let Some(reach) = reach else { return };
            let message = Message::Verdict { instance, reach: reach.into(), ask };
            gossip::broadcast(&node, &socket, message).await;
        });
    }
}

/// Tries instances in doubt again, until the node ends.
pub async fn try_again(node: Arc<Node>) {
    loop {
        tokio::time::sleep(AGAIN_EVERY).await;
        let doubted: Vec<InstanceId> = node.suspicions.lock().iter().cloned().collect();
        for id in doubted {
            let entry = node.list.lock().roster.get(&id).cloned();
            let Some(entry) = entry.filter(|entry| entry.unlisted_since.is_none()) else {
                continue;
            };
            if let Some(reach) = reach(&node, &entry.instance.address).await {
                node.on_reach(&id, &entry.instance.address, reach);
            }
        }
    }
}
