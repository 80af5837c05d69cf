//! Nodes that go by what others read of the store know when it was in trouble, and read for
//! themselves when those others are cut off from it.
//!
//! By reading: what others had read counted as current for 3.7 s, the list for 4.2 s, whether
//! or not they could still read. With all of them cut off, a change that the store gave to
//! everybody else was in force later than the 3 s that are allowed.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use smol_str::SmolStr;
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
use workshold_protocol::Millis;

/// Beyond this many other nodes, most go by what a few read.
const OTHERS: usize = 24;

fn node(store: &str) -> Node {
    let text = common::SETTINGS.replace("n-1", "follower").replace("127.0.0.1:7005", store);
    let (node, clock, _) = common::node_with(&text);
    clock.go_on(Millis(90_000));
    node
}

/// A store that nobody asks.
const NO_STORE: &str = "127.0.0.1:7005";

/// What one of the others says of its readings of the store.
#[derive(Debug, Clone, Copy)]
struct Said {
    data_centre: &'static str,
    /// How long ago a reading of the list failed, if it reads.
    list_trouble_ms: Option<u32>,
    /// How long ago the store answered it.
    store_age_ms: u64,
}

fn heartbeat(callers: SocketAddr, said: Said) -> Heartbeat {
    Heartbeat {
        data_centre: SmolStr::new(said.data_centre),
        list_trouble_ms: said.list_trouble_ms,
        store_age_ms: said.store_age_ms,
        ..common::heartbeat(callers)
    }
}

/// A node that has heard of many others: the first of them tell what trouble they had
/// with the list, all others read nothing.
async fn follower(troubles: &[(&'static str, Option<u32>)]) -> Arc<Node> {
    let said = troubles.iter().map(|(data_centre, list_trouble_ms)| Said {
        data_centre,
        list_trouble_ms: *list_trouble_ms,
        store_age_ms: 100,
    });
    follower_of(NO_STORE, &said.collect::<Vec<_>>()).await
}

/// The same, of a store, and what the first of the others say.
async fn follower_of(store: &str, said: &[Said]) -> Arc<Node> {
    let node = Arc::new(node(store));
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let to = socket.local_addr().unwrap();
    tokio::spawn(gossip::receive(Arc::clone(&node), socket));
    // They are kept, or an address would be taken twice.
    let mut others = Vec::new();
    for i in 0..OTHERS {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let silent = Said { data_centre: "a", list_trouble_ms: None, store_age_ms: 0 };
        let said = said.get(i).copied().unwrap_or(silent);
        let said = heartbeat(other.local_addr().unwrap(), said);
        let from = SmolStr::new(format!("n-{i}"));
        let datagram =
            Datagram { version: VERSION, from, message: Message::Heartbeat(Box::new(said)) };
        other.send_to(&postcard::to_stdvec(&datagram).unwrap(), to).await.unwrap();
        others.push(other);
    }
    let all_are_heard = async {
        while node.peers.lock().heard(node.now()).count() < OTHERS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), all_are_heard).await.unwrap();
    assert!(!node.is_store_reader(), "it goes by what others read");
    node.rebuild_table();
    node
}

const NEVER: Option<u32> = Some(LIST_TROUBLE_MAX_AGE_MS);

#[rstest]
#[case::all_readers(&[("a", Some(400)), ("a", Some(300)), ("a", Some(500))], true)]
#[case::one_of_them_reads_well(&[("a", Some(400)), ("a", NEVER), ("a", Some(500))], false)]
#[case::long_ago(&[("a", Some(9_000)), ("a", Some(9_500))], false)]
#[case::never(&[("a", NEVER), ("a", NEVER)], false)]
#[case::elsewhere(&[("b", Some(400)), ("a", NEVER)], false)]
#[case::nobody_reads_here(&[("b", Some(400))], true)]
#[tokio::test]
async fn a_follower_trusts_the_list_no_more_than_those_who_read_it(
    #[case] troubles: &[(&'static str, Option<u32>)],
    #[case] may_be_incomplete: bool,
) {
    let node = follower(troubles).await;
    let now = node.now();
    let trust = node.list.lock().trust;
    assert_eq!(trust.may_be_incomplete(now), may_be_incomplete);
    assert_eq!(trust.may_still_run(now - Millis(200), now), may_be_incomplete);
}

/// It notices the trouble of its own readings, as long as it reads.
#[tokio::test]
async fn a_reader_goes_by_its_own_readings() {
    let node = node(NO_STORE);
    assert!(node.is_store_reader());
    assert_eq!(node.list_failure_age_ms(), NEVER);
    let now = node.now();
    node.list.lock().trust.on_store_failure(now);
    assert!(node.list_failure_age_ms() < Some(1_000));
}

const READS: Option<u32> = NEVER;

/// What a reader says that the store answered so long ago.
const fn reader(data_centre: &'static str, store_age_ms: u64) -> Said {
    Said { data_centre, list_trouble_ms: READS, store_age_ms }
}

/// Two looks at who reads.
const ASKED_WITHIN: Duration = Duration::from_millis(700);

#[rstest]
#[case::all_are_cut_off(&[reader("a", 2_000), reader("a", 3_000)], true)]
#[case::one_is_not(&[reader("a", 2_000), reader("a", 1_300)], false)]
#[case::those_of_another_data_centre(&[reader("a", 200), reader("b", 3_000)], false)]
#[case::nobody_who_reads_is_heard(&[], false)]
#[tokio::test]
async fn a_follower_reads_for_itself_while_its_readers_are_cut_off(
    #[case] said: &[Said],
    #[case] expected: bool,
) {
    for topic in [Topic::Config, Topic::List] {
        let (store, asked) = common::peer().await;
        let node = follower_of(&store.to_string(), said).await;
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
        tokio::time::sleep(ASKED_WITHIN).await;
        store_sync.abort();
        assert_eq!(asked.load(Ordering::Relaxed) > 0, expected, "{topic:?}");
    }
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
