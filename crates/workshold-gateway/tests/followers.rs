//! Nodes that go by what others read of the store know when it was in trouble.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use workshold_gateway::node::Node;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::LIST_TROUBLE_MOST;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::Pulse;
use workshold_gateway::peers::VERSION;
use workshold_gateway::tasks::gossip;
use workshold_protocol::Millis;

/// Beyond this many other nodes, most go by what a few read.
const OTHERS: usize = 24;

fn node() -> Node {
    let text = common::SETTINGS.replace("n-1", "follower");
    let (node, clock, _) = common::node_with(&text);
    clock.go_on(Millis(90_000));
    node
}

fn pulse(callers: SocketAddr, data_centre: &str, list_trouble_ms: Option<u32>) -> Pulse {
    Pulse { data_centre: SmolStr::new(data_centre), list_trouble_ms, ..common::pulse(callers) }
}

/// A node that has heard of many others: the first of them tell what trouble they had
/// with the list, all others read nothing.
async fn follower(troubles: &[(&str, Option<u32>)]) -> Arc<Node> {
    let node = Arc::new(node());
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let to = socket.local_addr().unwrap();
    tokio::spawn(gossip::receive(Arc::clone(&node), socket));
    // They are kept, or an address would be taken twice.
    let mut others = Vec::new();
    for i in 0..OTHERS {
        let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let (data_centre, trouble) = troubles.get(i).copied().unwrap_or(("a", None));
        let said = pulse(other.local_addr().unwrap(), data_centre, trouble);
        let from = SmolStr::new(format!("n-{i}"));
        let datagram = Datagram { version: VERSION, from, message: Message::Pulse(said) };
        other.send_to(&postcard::to_stdvec(&datagram).unwrap(), to).await.unwrap();
        others.push(other);
    }
    let all_are_heard = async {
        while node.peers.lock().heard(node.now()).count() < OTHERS {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), all_are_heard).await.unwrap();
    assert!(!node.is_reader(), "it goes by what others read");
    node.remake_table();
    node
}

const NEVER: Option<u32> = Some(LIST_TROUBLE_MOST);

#[rstest]
#[case::all_readers(&[("a", Some(400)), ("a", Some(300)), ("a", Some(500))], true)]
#[case::one_of_them_reads_well(&[("a", Some(400)), ("a", NEVER), ("a", Some(500))], false)]
#[case::long_ago(&[("a", Some(9_000)), ("a", Some(9_500))], false)]
#[case::never(&[("a", NEVER), ("a", NEVER)], false)]
#[case::elsewhere(&[("b", Some(400)), ("a", NEVER)], false)]
#[case::nobody_reads_here(&[("b", Some(400))], true)]
#[tokio::test]
async fn a_follower_trusts_the_list_no_more_than_those_who_read_it(
    #[case] troubles: &[(&str, Option<u32>)],
    #[case] may_lack: bool,
) {
    let node = follower(troubles).await;
    let now = node.now();
    let trust = node.list.lock().trust;
    assert_eq!(trust.may_lack(now), may_lack);
    assert_eq!(trust.excuses(now - Millis(200), now), may_lack);
}

/// It notices the trouble of its own readings, as long as it reads.
#[tokio::test]
async fn a_reader_goes_by_its_own_readings() {
    let node = node();
    assert!(node.is_reader());
    assert_eq!(node.list_trouble(), NEVER);
    let now = node.now();
    node.list.lock().trust.on_trouble(now);
    assert!(node.list_trouble() < Some(1_000));
}
