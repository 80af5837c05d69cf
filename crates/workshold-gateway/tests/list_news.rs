//! How what comes to the list of instances gets to nodes that did not read it.
//!
//! Seen: a request went to an instance 3,035 ms after its word that it leaves, of 100 nodes
//! of which most go by what a few read; and 2,049 ms after it, of six that all read for
//! themselves. How: news went out as one datagram to each node of a data centre, which
//! nobody acknowledges; news of more than 6 KB was not sent at all, and all who lacked it
//! asked the same peer; a node that reads for itself asked a peer only after four seconds.
//! The bounds of callers are two and three seconds.

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

/// Known within a fraction of the two seconds in which all have to go by it.
const ASKED_WITHIN: Duration = Duration::from_millis(800);

fn node() -> Arc<Node> {
    let (probes, _rx) = mpsc::unbounded_channel();
    let settings = settings::parse(common::SETTINGS).unwrap();
    Arc::new(Node::new(settings, Box::new(SystemClock::default()), probes))
}

/// Two hundred signs that cannot be packed.
fn noise(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..200).map(|_| rng.sample(Alphanumeric) as char).collect()
}

fn record(offset: u64, name: &str) -> ListRecord {
    let entry = json!({
        "service": "gate", "address": "127.0.0.1:9000", "zone": "a", "slots": 6,
        "state": "ready", "version": noise(offset),
    });
    ListRecord { place: offset.into(), key: SmolStr::new(name), value: entry.to_string().into() }
}

/// Instances from `from` to `next` come to the node's list.
fn bring(node: &Node, from: u64, next: u64) {
    let records = (from..next).map(|i| record(i, &format!("i-{i}"))).collect();
    let news =
        ListNews { from: from.into(), next: next.into(), copy_end: 0.into(), age_ms: 0, records };
    assert!(store_sync::apply_list_news(node, &news, node.now()));
}

fn hear(node: &Node, address: SocketAddr, name: &str, list: Option<(u64, u64)>) {
    let list = list.map(|(end, age)| (end.into(), age));
    let said = Heartbeat { next_ms: 20_000, list, ..common::heartbeat(address) };
    let own = node.settings().control();
    node.peers.lock().on_heartbeat(own, address, SmolStr::new(name), said, node.now());
}

/// Its own reading may come late, as any call may.
#[rstest]
#[case::whose_list_goes_on(Some((9, 0)), true)]
#[case::whose_list_ends_there(Some((5, 0)), false)]
#[case::whose_list_ended_before(Some((4, 0)), false)]
#[tokio::test]
async fn a_node_that_reads_for_itself_asks_a_peer(
    #[case] list: Option<(u64, u64)>,
    #[case] expected: bool,
) {
    let node = node();
    bring(&node, 0, 5);
    let (address, count) = common::peer().await;
    hear(&node, address, "n-2", list);
    assert!(node.is_store_reader());
    let catching_up = tokio::spawn(gossip::catch_up(Arc::clone(&node)));
    tokio::time::sleep(ASKED_WITHIN).await;
    catching_up.abort();
    assert_eq!(count.load(Ordering::Relaxed) > 0, expected);
}

/// Others of its data centre, as many as this, and what each of them is told.
async fn tell(others: usize, records: u64) -> Vec<Vec<ListNews>> {
    let node = node();
    let mut sockets = Vec::new();
    // This node is the first in the order that all see alike: it reads for the others.
    let names = (0..).map(|i| format!("m-{i}")).filter(|name| rank(name, 0) > rank("n-1", 0));
    for name in names.take(others) {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        hear(&node, socket.local_addr().unwrap(), &name, None);
        sockets.push(socket);
    }
    bring(&node, 0, 1);
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    tokio::spawn(gossip::send_news(Arc::clone(&node), socket));
    node.news_wanted.notify_one();
    tokio::time::sleep(Duration::from_millis(150)).await;
    bring(&node, 1, 1 + records);
    node.news_wanted.notify_one();
    tokio::time::sleep(Duration::from_millis(300)).await;
    sockets.iter().map(taken).collect()
}

fn taken(socket: &UdpSocket) -> Vec<ListNews> {
    let mut buf = vec![0; 64 * 1024];
    let mut taken = Vec::new();
    while let Ok((len, _)) = socket.try_recv_from(&mut buf) {
        let datagram: Datagram = postcard::from_bytes(&buf[..len]).unwrap();
        assert!(len <= 8 * 1024, "{len} bytes are more than a node takes");
        if let Message::News(news) = datagram.message {
            taken.push(news);
        }
    }
    taken
}

/// Sixty instances change at once, as when a domain goes dark: their entries do not fit into
/// one datagram.
#[rstest]
#[case::short(3)]
#[case::long(60)]
#[tokio::test]
async fn news_of_any_length_is_told(#[case] records: u64) {
    let told = tell(24, records).await;
    let one = told.iter().find(|news| !news.is_empty()).expect("somebody is told");
    let keys: BTreeSet<SmolStr> =
        one.iter().flat_map(|news| news.records.iter().map(|record| record.key.clone())).collect();
    let expected: BTreeSet<SmolStr> =
        (1..=records).map(|i| SmolStr::new(format!("i-{i}"))).collect();
    assert_eq!(keys, expected);
    assert!(one.windows(2).all(|pair| pair[0].next == pair[1].from), "each goes on from the last");
}

/// What one node sends does not grow with the number of nodes: a link of 20 Mbit/s was full
/// when it told a hundred others.
#[rstest]
#[case(24)]
#[case(100)]
#[tokio::test]
async fn a_node_tells_a_few_others_who_tell_the_rest(#[case] others: usize) {
    let told = tell(others, 3).await;
    let count = told.iter().filter(|news| !news.is_empty()).count();
    assert!((1..=12).contains(&count), "{count} of {others} are told by one node");
}
