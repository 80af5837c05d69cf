//! Concurrent tasks of a node must not deadlock on its locks.

mod common;

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use workshold_gateway::loads::Load;
use workshold_gateway::node::Node;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::VERSION;
use workshold_gateway::peers::WireLoad;
use workshold_gateway::settings;
use workshold_gateway::tasks::gossip;
use workshold_protocol::clock::SystemClock;
use workshold_protocol::ids::InstanceId;

fn datagram() -> Vec<u8> {
    let wire_load = |i: u32| {
        let id = InstanceId::new(&format!("i-{i}")).unwrap().into();
        WireLoad::new(&id, Load { requests: 1, unread: 0 }, 40.0)
    };
    let loads = (0..100).map(wire_load).collect();
    let heartbeat = Heartbeat { loads, ..common::heartbeat("127.0.0.1:7011".parse().unwrap()) };
    let from = SmolStr::new("n-2");
    let datagram =
        Datagram { version: VERSION, from, message: Message::Heartbeat(Box::new(heartbeat)) };
    postcard::to_stdvec(&datagram).unwrap()
}

#[test]
fn sending_and_receiving_heartbeats_do_not_deadlock() {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(4).enable_all().build().unwrap();
    let is_free = runtime.block_on(are_locks_free());
    // A plain shutdown would wait for ever for deadlocked tasks.
    runtime.shutdown_background();
    assert!(is_free, "tasks have deadlocked on the locks of a node");
}

async fn are_locks_free() -> bool {
    let (probes, _) = mpsc::unbounded_channel();
    let settings = settings::parse(common::SETTINGS).unwrap();
    let node = Arc::new(Node::new(settings, Box::new(SystemClock::default()), probes));
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let to = socket.local_addr().unwrap();
    tokio::spawn(gossip::receive(Arc::clone(&node), Arc::clone(&socket)));
    tokio::spawn(gossip::send_heartbeats(Arc::clone(&node), socket));
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let bytes = datagram();
    for _ in 0..20_000 {
        node.heartbeat_wanted.notify_one();
        other.send_to(&bytes, to).await.unwrap();
    }
    let is_free = tokio::task::spawn_blocking(move || {
        let within = Duration::from_secs(2);
        let is_list_free = node.list.try_lock_for(within).is_some();
        let is_free = is_list_free && node.peers.try_lock_for(within).is_some();
        is_free && node.gaps.try_lock_for(within).is_some()
    });
    is_free.await.unwrap()
}
