//! How new records of the instance list reach nodes that did not read them from the store.
//!
//! Guards against this failure: an instance got a request 3,035 ms after it announced that it
//! leaves, with 100 nodes of which a few read the store, and 2,049 ms after that with six nodes
//! that all read it; the bounds are three and two seconds. News went as a single, unacknowledged
//! datagram to each node of a data centre; news of more than 6 KB was not sent at all, and all
//! nodes without it asked the same peer; and a node that reads the store asked a peer only after
//! four seconds.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::distr::Alphanumeric;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::json;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use workshold_gateway::node::Node;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::ListNews;
use workshold_gateway::peers::ListRecord;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::rank;
use workshold_gateway::settings;
use workshold_gateway::tasks::gossip;
use workshold_gateway::tasks::store_sync;
use workshold_protocol::clock::SystemClock;

/// Time in which a node asks a peer for missing records: a fraction of the two seconds in which all
/// nodes have to act on them.
const ASKED_WITHIN: Duration = Duration::from_millis(800);

fn node() -> Arc<Node> {
    let (probes, _rx) = mpsc::unbounded_channel();
    let settings = settings::parse(common::SETTINGS).unwrap();
    Arc::new(Node::new(settings, Box::new(SystemClock::default()), probes))
}

/// Two hundred random characters, which do not compress.
fn incompressible_text(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..200).map(|_| rng.sample(Alphanumeric) as char).collect()
}

fn record(offset: u64, name: &str) -> ListRecord {
    let entry = json!({
        "service": "gate", "address": "127.0.0.1:9000", "zone": "a", "slots": 6,
        "state": "ready", "version": incompressible_text(offset),
    });
    ListRecord { place: offset.into(), key: SmolStr::new(name), value: entry.to_string().into() }
}

/// Applies records of the instances `from..next` to the node's list.
fn apply_records(node: &Node, from: u64, next: u64) {
    let records = (from..next).map(|i| record(i, &format!("i-{i}"))).collect();
    let news =
        ListNews { from: from.into(), next: next.into(), copy_end: 0.into(), age_ms: 0, records };
    assert!(store_sync::apply_list_news(node, &news, node.now()));
}

fn hear_peer(node: &Node, address: SocketAddr, name: &str, list: Option<(u64, u64)>) {
    let list = list.map(|(end, age)| (end.into(), age));
    let heartbeat = Heartbeat { next_ms: 20_000, list, ..common::heartbeat(address) };
    let own = node.settings().control();
    node.peers.lock().on_heartbeat(own, address, SmolStr::new(name), heartbeat, node.now());
}

/// A node that reads the store asks a peer as well, because its own read may be late.
#[rstest]
#[case::peer_list_is_longer(Some((9, 0)), true)]
#[case::peer_list_is_equal(Some((5, 0)), false)]
#[case::peer_list_is_shorter(Some((4, 0)), false)]
#[tokio::test]
async fn a_store_reader_asks_a_peer(#[case] list: Option<(u64, u64)>, #[case] expected: bool) {
    let node = node();
    apply_records(&node, 0, 5);
    let (address, count) = common::listen_as_peer().await;
    hear_peer(&node, address, "n-2", list);
    assert!(node.is_store_reader());
    let catching_up = tokio::spawn(gossip::catch_up(Arc::clone(&node)));
    tokio::time::sleep(ASKED_WITHIN).await;
    catching_up.abort();
    assert_eq!(count.load(Ordering::Relaxed) > 0, expected);
}

/// Applies `records` new records at a node with `others` peers in its data centre. Returns the news
/// that each peer got.
async fn send_news_to_peers(others: usize, records: u64) -> Vec<Vec<ListNews>> {
    let node = node();
    let mut sockets = Vec::new();
    // Only names that rank behind this node's are used, so that it reads the store for the others.
    let names = (0..).map(|i| format!("m-{i}")).filter(|name| rank(name, 0) > rank("n-1", 0));
    for name in names.take(others) {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        hear_peer(&node, socket.local_addr().unwrap(), &name, None);
        sockets.push(socket);
    }
    apply_records(&node, 0, 1);
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    tokio::spawn(gossip::send_news(Arc::clone(&node), socket));
    node.news_wanted.notify_one();
    tokio::time::sleep(Duration::from_millis(150)).await;
    apply_records(&node, 1, 1 + records);
    node.news_wanted.notify_one();
    tokio::time::sleep(Duration::from_millis(300)).await;
    sockets.iter().map(received_news).collect()
}

fn received_news(socket: &UdpSocket) -> Vec<ListNews> {
    let mut buf = vec![0; 64 * 1024];
    let mut received_news = Vec::new();
    while let Ok((len, _)) = socket.try_recv_from(&mut buf) {
        let datagram: Datagram = postcard::from_bytes(&buf[..len]).unwrap();
        assert!(len <= 8 * 1024, "a datagram of {len} bytes is longer than a node accepts");
        if let Message::News(news) = datagram.message {
            received_news.push(news);
        }
    }
    received_news
}

/// When sixty instances change at once, as when a domain fails, their entries do not fit into one
/// datagram.
#[rstest]
#[case::short(3)]
#[case::long(60)]
#[tokio::test]
async fn news_of_any_length_is_sent(#[case] records: u64) {
    let news_by_peer = send_news_to_peers(24, records).await;
    let one = news_by_peer.iter().find(|news| !news.is_empty()).expect("no peer got news");
    let keys: BTreeSet<SmolStr> =
        one.iter().flat_map(|news| news.records.iter().map(|record| record.key.clone())).collect();
    let expected: BTreeSet<SmolStr> =
        (1..=records).map(|i| SmolStr::new(format!("i-{i}"))).collect();
    assert_eq!(keys, expected);
    assert!(
        one.windows(2).all(|pair| pair[0].next == pair[1].from),
        "each datagram continues the one before"
    );
}

/// What one node sends must not grow with the number of nodes: news to a hundred others filled a
/// link of 20 Mbit/s.
#[rstest]
#[case(24)]
#[case(100)]
#[tokio::test]
async fn a_node_sends_news_to_a_few_peers_only(#[case] others: usize) {
    let news_by_peer = send_news_to_peers(others, 3).await;
    let count = news_by_peer.iter().filter(|news| !news.is_empty()).count();
    assert!((1..=12).contains(&count), "one node sent news to {count} of {others} others");
}
