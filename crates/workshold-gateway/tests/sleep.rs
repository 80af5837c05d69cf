//! A node that stood still, or whose machine slept, and what waited for it meanwhile.
//!
//! Seen by reading, then here: datagrams that wait in the socket are read after the wake-up,
//! and the ages in them were reckoned from the moment of reading. So a configuration looked
//! as fresh as it had been before the sleep, and a key that was taken away meanwhile was
//! believed for longer than any node may.

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

use crate::common::HandClock;

const SLEPT: Millis = Millis(5_000);
/// Long enough that whoever receives has read all there was.
const READS: Duration = Duration::from_millis(60);

/// A node that receives, and where.
async fn receiving() -> (Arc<Node>, HandClock, SocketAddr) {
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
    tokio::time::sleep(READS).await;
    (node, clock, address)
}

fn says(message: Message) -> Vec<u8> {
    let datagram = Datagram { version: VERSION, from: SmolStr::new("n-2"), message };
    postcard::to_stdvec(&datagram).unwrap()
}

fn fresh() -> Message {
    let callers = "127.0.0.1:9000".parse().unwrap();
    let heartbeat = common::heartbeat(callers);
    let heartbeat = Heartbeat { config: Some((1, 100)), list: Some((4.into(), 100)), ..heartbeat };
    Message::Heartbeat(Box::new(heartbeat))
}

/// It is sent, then the machine sleeps, and only then anything is read.
#[rstest]
#[case::a_pulse(fresh())]
#[case::news_of_the_list(Message::News(ListNews { from: 4.into(), next: 5.into(), copy_end: 0.into(), age_ms: 100, records: Vec::new() }))]
#[tokio::test]
async fn what_waited_while_a_node_slept_is_as_old_as_the_sleep(#[case] message: Message) {
    let (node, clock, address) = receiving().await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&says(message), address).unwrap();
    clock.go_on(SLEPT);
    tokio::time::sleep(READS).await;
    let (_, age) = node.config_age().unwrap();
    assert!(age >= SLEPT, "the configuration looks {age} old");
    let list_age = node.now().since(node.list.lock().read_at);
    assert!(list_age >= SLEPT, "the list looks {list_age} old");
    assert!(!node.are_keys_trusted());
}

#[tokio::test]
async fn what_comes_to_a_node_that_is_awake_is_as_fresh_as_it_says() {
    let (node, clock, address) = receiving().await;
    clock.go_on(SLEPT);
    // It has seen since that nothing waits.
    tokio::time::sleep(3 * READS).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&says(fresh()), address).unwrap();
    tokio::time::sleep(READS).await;
    let (_, age) = node.config_age().unwrap();
    assert!(age < Millis(500), "the configuration looks {age} old");
}
