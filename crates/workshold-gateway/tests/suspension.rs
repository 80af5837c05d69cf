//! A node that was suspended, or whose machine was, and the datagrams that waited meanwhile.
//!
//! Guards against this failure: datagrams that waited in the socket were read after the wake-up,
//! and the ages in them were counted from the time of the read. A configuration then looked as
//! fresh as it had been before the suspension, and a key that was revoked meanwhile was accepted
//! for longer than any node may.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use workshold_gateway::node::Node;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::ListNews;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::VERSION;
use workshold_gateway::tasks::gossip;
use workshold_platform::config;
use workshold_platform_standin::deployment;
use workshold_protocol::Millis;

use crate::common::ManualClock;

const SUSPENDED_FOR: Millis = Millis(5_000);
/// Time in which the receiving task reads all datagrams that wait.
const READ_TIME: Duration = Duration::from_millis(60);

/// A node whose receiving task runs, its clock, and the address of its socket.
async fn receiving() -> (Arc<Node>, ManualClock, SocketAddr) {
    let (node, clock, _) = common::node();
    let node = Arc::new(node);
    let text = deployment::config(1, "k1");
    let serving_config = config::decode(text.as_bytes()).unwrap();
    node.install_config(serving_config, text.into(), node.now());
    let news = ListNews {
        from: 0.into(),
        next: 4.into(),
        copy_end: 0.into(),
        age_ms: 0,
        records: Vec::new(),
    };
    workshold_gateway::tasks::store_sync::apply_list_news(&node, &news, node.now());
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let address = socket.local_addr().unwrap();
    tokio::spawn(gossip::receive(Arc::clone(&node), socket));
    tokio::time::sleep(READ_TIME).await;
    (node, clock, address)
}

fn encode(message: Message) -> Vec<u8> {
    let datagram = Datagram { version: VERSION, from: SmolStr::new("n-2"), message };
    postcard::to_stdvec(&datagram).unwrap()
}

fn fresh_heartbeat() -> Message {
    let callers = "127.0.0.1:9000".parse().unwrap();
    let heartbeat = common::heartbeat(callers);
    let heartbeat = Heartbeat { config: Some((1, 100)), list: Some((4.into(), 100)), ..heartbeat };
    Message::Heartbeat(Box::new(heartbeat))
}

/// The datagram is sent, the clock passes the suspension, and only then the node reads.
#[rstest]
#[case::a_heartbeat(fresh_heartbeat())]
#[case::news_of_the_list(Message::News(ListNews {
    from: 4.into(),
    next: 5.into(),
    copy_end: 0.into(),
    age_ms: 100,
    records: Vec::new(),
}))]
#[tokio::test]
async fn datagrams_received_after_a_suspension_are_at_least_as_old_as_it(#[case] message: Message) {
    let (node, clock, address) = receiving().await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&encode(message), address).unwrap();
    clock.advance(SUSPENDED_FOR);
    tokio::time::sleep(READ_TIME).await;
    let (_, age) = node.config_age().unwrap();
    assert!(age >= SUSPENDED_FOR, "the configuration looks {age} old");
    let list_age = node.now().since(node.list.lock().read_at);
    assert!(list_age >= SUSPENDED_FOR, "the list looks {list_age} old");
    assert!(!node.are_keys_trusted());
}

#[tokio::test]
async fn datagrams_to_a_running_node_are_as_fresh_as_they_state() {
    let (node, clock, address) = receiving().await;
    clock.advance(SUSPENDED_FOR);
    // Meanwhile the receiving task finds its socket empty, which shows that nothing has waited.
    tokio::time::sleep(3 * READ_TIME).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&encode(fresh_heartbeat()), address).unwrap();
    tokio::time::sleep(READ_TIME).await;
    let (_, age) = node.config_age().unwrap();
    assert!(age < Millis(500), "the configuration looks {age} old");
}
