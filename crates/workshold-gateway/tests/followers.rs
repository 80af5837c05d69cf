//! Followers, nodes that get the store's contents from peers that read it: they learn of failed
//! reads, and read for themselves when those peers are cut off from the store.
//!
//! Guards against this failure: a configuration that peers had read counted as current for 3.7 s,
//! and a list for 4.2 s, whether or not those peers could still read. With all of them cut off, a
//! change that the store gave to all other nodes was in force at the follower later than the 3 s
//! that are allowed.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use workshold_core::hosted::serving_config::Limits;
use workshold_core::hosted::serving_config::ServingConfig;
use workshold_core::hosted::store_era::LogPosition;
use workshold_gateway::node::Node;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::LIST_TROUBLE_MAX_AGE_MS;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::VERSION;
use workshold_gateway::tasks::gossip;
use workshold_gateway::tasks::long_poll::Topic;
use workshold_gateway::tasks::store_sync;
use workshold_platform_standin::deployment;
use workshold_protocol::Millis;

/// With this many other nodes, only a few read the store.
const OTHERS: usize = 24;

fn node(store: &str) -> Node {
    let text = common::SETTINGS.replace("n-1", "follower").replace("127.0.0.1:7005", store);
    let (node, clock, _) = common::node_with(&text);
    clock.advance(Millis(90_000));
    node
}

/// Address of a store in tests that do not read it.
const NO_STORE: &str = "127.0.0.1:7005";

/// What a peer reports on its reads of the store.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    data_centre: &'static str,
    /// How long ago a read of the list failed. `None` for a peer that does not read the store.
    list_trouble_ms: Option<u32>,
    /// How long ago the store last answered it.
    store_age_ms: u64,
}

fn heartbeat(callers: SocketAddr, report: PeerReport) -> Heartbeat {
    Heartbeat {
        data_centre: SmolStr::new(report.data_centre),
        list_trouble_ms: report.list_trouble_ms,
        store_age_ms: report.store_age_ms,
        ..common::heartbeat(callers)
    }
}

/// A follower with many peers: the first of them report the data centres and failed list reads of
/// `failures`, the others do not read the store.
async fn follower(failures: &[(&'static str, Option<u32>)]) -> Arc<Node> {
    let reports = failures.iter().map(|(data_centre, list_trouble_ms)| PeerReport {
        data_centre,
        list_trouble_ms: *list_trouble_ms,
        store_age_ms: 100,
    });
    follower_of(NO_STORE, &reports.collect::<Vec<_>>()).await
}

/// Like [`follower`], with the address of the store and the whole reports of the first peers.
async fn follower_of(store: &str, reports: &[PeerReport]) -> Arc<Node> {
    let node = Arc::new(node(store));
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let to = socket.local_addr().unwrap();
    tokio::spawn(gossip::receive(Arc::clone(&node), socket));
    // The sockets are kept open, or an address might be given out twice.
    let mut others = Vec::new();
    for i in 0..OTHERS {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let no_report = PeerReport { data_centre: "a", list_trouble_ms: None, store_age_ms: 0 };
        let report = reports.get(i).copied().unwrap_or(no_report);
        let peer_heartbeat = heartbeat(other.local_addr().unwrap(), report);
        let from = SmolStr::new(format!("n-{i}"));
        let datagram = Datagram {
            version: VERSION,
            from,
            message: Message::Heartbeat(Box::new(peer_heartbeat)),
        };
        other.send_to(&postcard::to_stdvec(&datagram).unwrap(), to).await.unwrap();
        others.push(other);
    }
    let all_are_heard = async {
        while node.peers.lock().heard(node.now()).count() < OTHERS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), all_are_heard).await.unwrap();
    assert!(!node.is_store_reader(), "the node must be a follower");
    node.rebuild_table();
    node
}

const NO_FAILURE: Option<u32> = Some(LIST_TROUBLE_MAX_AGE_MS);

#[rstest]
#[case::all_readers(&[("a", Some(400)), ("a", Some(300)), ("a", Some(500))], true)]
#[case::one_of_them_reads_well(&[("a", Some(400)), ("a", NO_FAILURE), ("a", Some(500))], false)]
#[case::long_ago(&[("a", Some(9_000)), ("a", Some(9_500))], false)]
#[case::never(&[("a", NO_FAILURE), ("a", NO_FAILURE)], false)]
#[case::elsewhere(&[("b", Some(400)), ("a", NO_FAILURE)], false)]
#[case::nobody_reads_here(&[("b", Some(400))], true)]
#[tokio::test]
async fn a_follower_trusts_the_list_as_far_as_its_readers_do(
    #[case] failures: &[(&'static str, Option<u32>)],
    #[case] may_be_incomplete: bool,
) {
    let node = follower(failures).await;
    let now = node.now();
    let trust = node.list.lock().trust;
    assert_eq!(trust.may_be_incomplete(now), may_be_incomplete);
    assert_eq!(trust.may_still_run(now - Millis(200), now), may_be_incomplete);
}

/// A node that reads the store itself reports the failures of its own reads.
#[tokio::test]
async fn a_reader_reports_its_own_read_failures() {
    let node = node(NO_STORE);
    assert!(node.is_store_reader());
    assert_eq!(node.list_failure_age_ms(), NO_FAILURE);
    let now = node.now();
    node.list.lock().trust.on_store_failure(now);
    assert!(node.list_failure_age_ms() < Some(1_000));
}

const NO_FAILED_READ: Option<u32> = NO_FAILURE;

/// The report of a peer that reads the store and got its last answer `store_age_ms` ago.
const fn reader(data_centre: &'static str, store_age_ms: u64) -> PeerReport {
    PeerReport { data_centre, list_trouble_ms: NO_FAILED_READ, store_age_ms }
}

/// Time in which a follower checks twice whether it has to read for itself.
const CHECK_TIME: Duration = Duration::from_millis(700);

#[rstest]
#[case::all_are_cut_off(&[reader("a", 2_000), reader("a", 3_000)], true)]
#[case::one_is_not(&[reader("a", 2_000), reader("a", 1_300)], false)]
#[case::those_of_another_data_centre(&[reader("a", 200), reader("b", 3_000)], false)]
#[case::nobody_who_reads_is_heard(&[], false)]
#[tokio::test]
async fn a_follower_polls_the_store_while_its_readers_are_cut_off(
    #[case] reports: &[PeerReport],
    #[case] expected: bool,
) {
    for topic in [Topic::Config, Topic::List] {
        let (store, asked) = common::listen_as_peer().await;
        let node = follower_of(&store.to_string(), reports).await;
        node.install_config(serving_config(), Bytes::from_static(b"{}"), node.now());
        {
            let now = node.now();
            let mut list = node.list.lock();
            list.next = Some(LogPosition::default());
            list.read_at = now;
        }
        let store_sync = match topic {
            Topic::Config => tokio::spawn(store_sync::config(Arc::clone(&node))),
            Topic::List => tokio::spawn(store_sync::list(Arc::clone(&node))),
        };
        tokio::time::sleep(CHECK_TIME).await;
        store_sync.abort();
        assert_eq!(asked.load(Ordering::Relaxed) > 0, expected, "{topic:?}");
    }
}

/// A peer that serves a configuration of version 7 over HTTP.
async fn peer_with_config() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let config = deployment::config(7, "k1");
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", config.len());
            let _ = stream.write_all((head + &config).as_bytes()).await;
        }
    });
    address
}

/// Guards against a store that every node reads after every change: 986 nodes made some 970 calls
/// for each.
#[tokio::test]
async fn a_follower_gets_a_newer_configuration_from_a_peer_and_leaves_the_store_alone() {
    let (store, asked) = common::listen_as_peer().await;
    let node = follower_of(&store.to_string(), &[reader("a", 100)]).await;
    node.install_config(serving_config(), Bytes::from_static(b"{}"), node.now());
    let peer = peer_with_config().await;
    let report = PeerReport { data_centre: "a", list_trouble_ms: None, store_age_ms: 100 };
    let newer = Heartbeat { config: Some((7, 0)), next_ms: 20_000, ..heartbeat(peer, report) };
    let own = node.settings().control();
    node.peers.lock().on_heartbeat(own, peer, SmolStr::new("n-99"), newer, node.now());
    assert!(node.confirm_config(7, node.now()));
    node.config_fetch_wanted.notify_one();
    let store_sync = tokio::spawn(store_sync::config(Arc::clone(&node)));
    let catching_up = tokio::spawn(gossip::catch_up(Arc::clone(&node)));
    tokio::time::sleep(CHECK_TIME).await;
    store_sync.abort();
    catching_up.abort();
    assert_eq!(node.config_age(), Some((7, Millis::ZERO)), "as fresh as the peer says");
    assert_eq!(asked.load(Ordering::Relaxed), 0);
}

fn serving_config() -> ServingConfig {
    let limits = Limits {
        head_len: 16_384,
        body_len: 2_000,
        head_time: Millis(3_000),
        idle_time: Millis(1_000),
    };
    ServingConfig::new(1, limits, Vec::new(), Vec::new(), None)
}
