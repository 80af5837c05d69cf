//! Who tries an instance that fell silent, and who asks whom to: with many nodes, each
//! that asked all others again would bury it in connections.
//!
//! And what a try that nobody answers shows. Seen: a dozen instances that were well were
//! doubted at a dozen nodes within a tenth of a second, and streams at them were moved or
//! cut. How: a long configuration came to all nodes at once and filled their links, so
//! that no connection came up in time. Cause: the node's own trouble was taken for the
//! instance's. Proof: nearly all doubts about instances that were well fell within 0.2 s
//! of a new configuration at the same node; without its 1,400 routes there were none, and
//! none with links ten times as wide, and nearly as many with more of a processor.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_core::hosted::suspicion::Suspicions;
use workshold_gateway::node::Node;
use workshold_gateway::node::Probe;
use workshold_gateway::node::ProbeTask;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::ProbeAudience;
use workshold_gateway::peers::exchange::LocalNode;
use workshold_gateway::tasks::probing;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;

use crate::common::heartbeat;
use crate::common::node;

fn id() -> Identity {
    InstanceId::new("i-1").unwrap().into()
}

fn told(rx: &mut UnboundedReceiver<Probe>) -> Vec<ProbeTask> {
    std::iter::from_fn(|| rx.try_recv().ok()).map(|doubt| doubt.task).collect()
}

#[test]
fn who_finds_an_instance_silent_first_asks_all_others_once() {
    let (node, _, mut rx) = node();
    let address = SmolStr::new("10.0.0.1:80");
    node.on_probe_result(&id(), &address, ProbeResult::Silent);
    node.on_probe_result(&id(), &address, ProbeResult::Silent);
    assert_eq!(
        told(&mut rx),
        [ProbeTask::Announce { reach: ProbeResult::Silent, asks: ProbeAudience::Witnesses }]
    );
    node.on_probe_result(&id(), &address, ProbeResult::Answers);
    assert_eq!(
        told(&mut rx),
        [ProbeTask::Announce { reach: ProbeResult::Answers, asks: ProbeAudience::Nobody }]
    );
}

#[test]
fn who_has_heard_of_it_tells_what_it_saw_and_asks_nobody() {
    let (node, _, mut rx) = node();
    node.suspicions.lock().on_peer(&id(), "n-2", ProbeResult::Silent, node.now());
    node.on_probe_result(&id(), &SmolStr::new("10.0.0.1:80"), ProbeResult::Silent);
    assert_eq!(
        told(&mut rx),
        [ProbeTask::Announce { reach: ProbeResult::Silent, asks: ProbeAudience::Nobody }]
    );
}

#[test]
fn one_try_answers_all_who_ask_at_the_same_time() {
    let (node, clock, _rx) = node();
    let asked: Vec<bool> = (0..90).map(|_| node.is_probe_due(&id())).collect();
    assert_eq!(asked.iter().filter(|is_tried| **is_tried).count(), 1);
    clock.go_on(Millis(200));
    assert!(node.is_probe_due(&id()), "what was seen then may have changed");
}

async fn way(way: LinkState) -> Proxy {
    let proxy = Proxy::start();
    proxy.set_state(way).await;
    proxy
}

#[rstest]
#[case::it_reaches_its_peers(Some(LinkState::Open), Some(ProbeResult::Silent))]
#[case::it_reaches_nobody_at_the_moment(Some(LinkState::Silent), None)]
#[case::it_knows_of_nobody_else(None, Some(ProbeResult::Silent))]
#[tokio::test]
async fn silence_shows_something_only_to_a_node_that_others_answer(
    #[case] peers: Option<LinkState>,
    #[case] conclusive: Option<ProbeResult>,
) {
    let (node, _, mut rx) = node();
    let instance = way(LinkState::Silent).await;
    let mut proxies = Vec::new();
    for i in 0..if peers.is_some() { 3 } else { 0 } {
        proxies.push(way(peers.unwrap()).await);
        let from = SocketAddr::from(([127, 0, 0, 1], 7_100 + i));
        let said = heartbeat(proxies.last().unwrap().address);
        let own = node.settings().control();
        node.peers.lock().on_heartbeat(own, from, SmolStr::new("n"), said, node.now());
    }
    let address = SmolStr::new(instance.address.to_string());
    assert_eq!(probing::probe_instance(&node, &id(), &address).await, conclusive);
    assert_eq!(node.suspicions.lock().is_unreachable_from_here(&id()), conclusive.is_some());
    assert_eq!(told(&mut rx).is_empty(), conclusive.is_none());
}

#[tokio::test]
async fn a_refusal_shows_that_a_life_has_ended_whoever_else_answers() {
    let (node, _, _rx) = node();
    let gone = way(LinkState::Open).await.address;
    let peer = way(LinkState::Silent).await;
    let own = node.settings().control();
    let said = heartbeat(peer.address);
    node.peers.lock().on_heartbeat(own, peer.address, SmolStr::new("n"), said, node.now());
    let seen = probing::probe_instance(&node, &id(), &SmolStr::new(gone.to_string())).await;
    assert_eq!(seen, Some(ProbeResult::Refused));
}

/// The way to another node loses the first ask.
#[tokio::test]
async fn an_ask_that_is_lost_is_said_again() {
    let (node, _, rx) = node();
    let node = Arc::new(node);
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    node.peers.lock().add(other.local_addr().unwrap(), node.now());
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let tells = tokio::spawn(probing::run(Arc::clone(&node), socket, rx));
    node.on_probe_result(&id(), &SmolStr::new("10.0.0.1:80"), ProbeResult::Silent);
    let lost = next_ask(&other).await;
    let began = Instant::now();
    assert_eq!(next_ask(&other).await, lost, "the same once more");
    let after = began.elapsed();
    assert!(after < Duration::from_millis(180), "one try answers both: {after:?}");
    tells.abort();
}

/// The next instance that others are asked to try.
async fn next_ask(socket: &UdpSocket) -> Option<u32> {
    let mut buf = [0; 2_048];
    let heard = tokio::time::timeout(Duration::from_secs(2), socket.recv_from(&mut buf)).await;
    let (len, _) = heard.ok()?.unwrap();
    let datagram: Datagram = postcard::from_bytes(&buf[..len]).unwrap();
    match datagram.message {
        Message::Verdict { instance, ask: ProbeAudience::Witnesses, .. } => Some(instance),
        _ => None,
    }
}

/// A peer that was lost together with an instance is still counted as heard for a second.
#[tokio::test]
async fn silence_shows_something_to_a_node_that_other_instances_answer() {
    let (node, _, _rx) = node();
    let instance = way(LinkState::Silent).await;
    let peer = way(LinkState::Silent).await;
    let own = node.settings().control();
    let said = heartbeat(peer.address);
    node.peers.lock().on_heartbeat(own, peer.address, SmolStr::new("n"), said, node.now());
    let other = way(LinkState::Open).await;
    let entry = Instance {
        identity: InstanceId::new("i-2").unwrap().into(),
        service: ServiceName::new("llm").unwrap(),
        address: SmolStr::new(other.address.to_string()),
        data_centre: DataCentre::new("a").unwrap(),
        domain: None,
        slots: 17,
        is_leaving: false,
        staged: Vec::new(),
        loaded: Vec::new(),
        membership: None,
    };
    let other_id = entry.identity.id.clone();
    node.list.lock().roster.apply(1, &other_id, Some(entry), node.now());
    let address = SmolStr::new(instance.address.to_string());
    assert_eq!(probing::probe_instance(&node, &id(), &address).await, Some(ProbeResult::Silent));
}

/// Who hears nobody may be cut off from the others, which are still there and repeat as
/// well.
#[test]
fn a_node_that_hears_nobody_any_more_does_not_take_the_others_part_of_the_budget() {
    let (node, clock, _rx) = node();
    let own = node.settings().control();
    for i in 0..9 {
        let from = SocketAddr::from(([127, 0, 0, 1], 7_100 + i));
        let name = SmolStr::new(format!("n-{i}"));
        node.peers.lock().on_heartbeat(own, from, name, heartbeat(from), node.now());
    }
    let service = ServiceName::new("llm").unwrap();
    let mut taken = 0;
    while node.take_retry(&service) {
        taken += 1;
    }
    clock.go_on(Millis(1_500));
    assert!(!node.take_retry(&service), "beyond {taken} that are its part");
}

fn hear_of_many(node: &Node, nodes: usize) {
    let own = node.settings().control();
    for i in 0..nodes {
        let from = SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_340));
        let data_centre = SmolStr::new(["a", "b", "c"][i % 3]);
        let said = Heartbeat { data_centre, ..heartbeat(from) };
        let name = SmolStr::new(format!("n-of-many-{i}"));
        node.peers.lock().on_heartbeat(own, from, name, said, node.now());
    }
}

fn named(i: usize) -> Identity {
    InstanceId::new(&format!("i-{i}")).unwrap().into()
}

/// With hundreds of nodes, each of which tried when one asked and told all others, a dark
/// domain of nineteen cost a million datagrams.
#[rstest]
#[case::few(20, 100, 100)]
#[case::hundreds(300, 1, 10)]
fn with_many_nodes_a_few_try_an_instance_for_all(
    #[case] nodes: usize,
    #[case] least: usize,
    #[case] most: usize,
) {
    let (node, _, _rx) = common::node();
    hear_of_many(&node, nodes);
    let witnessed = (0..100).filter(|i| node.is_witness(&named(*i))).count();
    assert!((least..=most).contains(&witnessed), "{witnessed} of 100 instances");
}

#[test]
fn of_each_data_centre_as_many_try_an_instance() {
    let (node, _, _rx) = common::node();
    hear_of_many(&node, 300);
    let now = node.now();
    let peers = node.peers.lock();
    let tries = |i: &usize| {
        let (name, place) = (format!("n-of-many-{i}"), ["a", "b", "c"][i % 3]);
        let address = SocketAddr::from(([10, 0, 0, 1], 7_340));
        let own = LocalNode { address, name: &name, data_centre: place };
        // It counts itself among those that it hears here, behind which it does not stand.
        peers.is_witness(&own, 77, 4, now)
    };
    let witnesses: Vec<usize> = (0..300).filter(tries).collect();
    let of = |place: usize| witnesses.iter().filter(|i| **i % 3 == place).count();
    assert_eq!([of(0), of(1), of(2)], [4, 4, 4]);
}

/// Nobody's group is given up before all were asked for its head, each by this node itself.
#[test]
fn all_are_asked_once_before_a_group_is_given_up() {
    let (node, clock, mut rx) = common::node();
    hear_of_many(&node, 300);
    let address = SmolStr::new("10.0.0.1:80");
    assert!(!node.have_all_peers_probed(&id(), &address));
    assert!(!node.have_all_peers_probed(&id(), &address));
    assert_eq!(
        told(&mut rx),
        [ProbeTask::Announce { reach: ProbeResult::Silent, asks: ProbeAudience::All }]
    );
    clock.go_on(Millis(300));
    assert!(node.have_all_peers_probed(&id(), &address), "they have had the time to answer");
}

/// Who does not try an instance goes by those who do, as long as none of them reaches it.
#[test]
fn a_node_that_does_not_try_goes_by_those_who_do() {
    let mut suspicions = Suspicions::default();
    let mut say = |peer: &str, reach| {
        suspicions.on_peer(&id(), peer, reach, Millis(1_000));
        suspicions.rely_on_peers(&id());
        suspicions.is_unreachable(&id())
    };
    assert!(!say("n-2", ProbeResult::Silent), "one of them may be cut off itself");
    assert!(say("n-3", ProbeResult::Refused));
    assert!(!say("n-4", ProbeResult::Answers), "only some paths to it are cut");
}
