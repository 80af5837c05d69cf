//! The state of a node's peers: which of them are heard, the sum of their loads, and which nodes
//! read the store for all.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use rstest::rstest;
use smol_str::SmolStr;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::identity::Identity;
use workshold_gateway::loads::Load;
use workshold_gateway::loads::instance_hash;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::Peers;
use workshold_gateway::peers::WireLoad;
use workshold_gateway::peers::WireWorkload;
use workshold_gateway::peers::exchange::LocalNode;
use workshold_gateway::peers::rank;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

fn heartbeat(loads: Vec<WireLoad>) -> Heartbeat {
    Heartbeat {
        callers: address(0),
        data_centre: SmolStr::new("a"),
        class: 0,
        next_ms: 300,
        hears: Vec::new(),
        seeks: false,
        is_ready: true,
        has_traffic: false,
        config: Some((7, 100)),
        evacuations: None,
        list: Some((12.into(), 100)),
        acts_by: None,
        holds_lease: false,
        past: None,
        store_age_ms: 100,
        list_trouble_ms: None,
        work: vec![WireWorkload::new("m0", WORKLOAD)],
        seen_percent: 100,
        loads,
        requests: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
    }
}

const WORKLOAD: Workload =
    Workload { requests: 12.5, prompt_tokens: 8_420.0, events: 335.0, pause_goal: Millis(200) };
fn id(name: &str) -> Identity {
    InstanceId::new(name).unwrap().into()
}

fn wire_load(name: &str, requests: u32, unread: u32) -> WireLoad {
    WireLoad::new(&id(name), Load { requests, unread }, 0.0)
}

const OWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6_999);
const NOW: Millis = Millis(100_000);

fn name(i: usize) -> SmolStr {
    SmolStr::new(format!("n-{i}"))
}

#[test]
fn loads_of_all_heard_peers_are_summed() {
    let mut peers = Peers::default();
    peers.on_heartbeat(
        OWN,
        address(1),
        name(1),
        heartbeat(vec![wire_load("i-5", 3, 100), wire_load("i-6", 1, 0)]),
        NOW,
    );
    peers.on_heartbeat(OWN, address(2), name(2), heartbeat(vec![wire_load("i-5", 4, 1_000)]), NOW);
    let load = peers.loads(NOW)[&instance_hash(&id("i-5"))];
    assert_eq!((load.requests, load.unread), (7, 128 + 1_024), "in units of 64 tokens, rounded up");
    let workloads: Vec<Workload> =
        peers.heard(NOW).map(|(_, peer)| peer.heartbeat.work[0].work()).collect();
    assert_eq!(workloads, [WORKLOAD, WORKLOAD], "workloads arrive unchanged");
    let later = NOW + Millis(1_100);
    assert!(peers.loads(later).is_empty(), "loads of silent peers no longer count");
    assert_eq!(peers.addresses().len(), 2, "silent peers are still sent messages");
    peers.forget(NOW + Millis::from_secs(30));
    assert!(peers.addresses().is_empty());
}

/// The peers that node `own` hears, of `nodes` spread evenly over `data_centres`.
fn peers_spread_over(own: usize, nodes: usize, data_centres: usize) -> Peers {
    let mut peers = Peers::default();
    for i in (0..nodes).filter(|i| *i != own) {
        let peer_heartbeat =
            Heartbeat { data_centre: data_centre_name(i, data_centres), ..heartbeat(Vec::new()) };
        peers.on_heartbeat(OWN, address(i), name(i), peer_heartbeat, NOW);
    }
    peers
}

fn data_centre_name(i: usize, data_centres: usize) -> SmolStr {
    SmolStr::new(format!("dc-{}", i % data_centres))
}

#[rstest]
#[case::one_small(9, 1, 4)]
#[case::one_large(61, 1, 4)]
#[case::three(61, 3, 12)]
#[case::twelve(350, 12, 48)]
#[case::as_few_as_there_are(6, 3, 6)]
fn each_data_centre_has_a_fixed_number_of_store_readers(
    #[case] nodes: usize,
    #[case] data_centres: usize,
    #[case] readers: usize,
) {
    let reads = |i: &usize| {
        let own = data_centre_name(*i, data_centres);
        peers_spread_over(*i, nodes, data_centres).ranks_among_first(
            &name(*i),
            own.as_str(),
            4,
            NOW,
        )
    };
    assert_eq!((0..nodes).filter(reads).count(), readers);
}

#[test]
fn a_node_that_hears_no_peers_reads_the_store() {
    let mut peers = peers_spread_over(0, 61, 3);
    peers.forget(NOW + Millis::from_secs(30));
    assert!(peers.ranks_among_first("n-0", "dc-0", 4, NOW + Millis::from_secs(30)));
}

#[test]
fn peers_with_longer_heartbeat_intervals_count_as_heard_for_longer() {
    let mut peers = Peers::default();
    peers.on_heartbeat(OWN, address(1), name(1), heartbeat(Vec::new()), NOW);
    let infrequent = Heartbeat { next_ms: 900, ..heartbeat(Vec::new()) };
    peers.on_heartbeat(OWN, address(2), name(2), infrequent, NOW);
    let heard = |after: u64| peers.heard(NOW + Millis(after)).count();
    assert_eq!((heard(1_099), heard(1_100), heard(2_899), heard(2_900)), (2, 1, 1, 0));
}

#[test]
fn news_goes_to_heard_peers_of_the_data_centre_and_new_reads_to_one_of_each_other() {
    let mut peers = peers_spread_over(0, 7, 3);
    peers.add(address(99), NOW);
    let own_name = name(0);
    let own = LocalNode { address: address(0), name: &own_name, data_centre: "dc-0" };
    let recipients = |is_first| {
        let addresses: BTreeSet<SocketAddr> =
            peers.news_recipients(&own, is_first, NOW).into_iter().collect();
        addresses
    };
    assert_eq!(recipients(false), BTreeSet::from([address(3), address(6)]));
    let first = |of: [usize; 2]| of.into_iter().min_by_key(|i| rank(&name(*i), 0)).map(address);
    let far: BTreeSet<SocketAddr> = [first([1, 4]), first([2, 5])].into_iter().flatten().collect();
    assert_eq!(&recipients(true) - &recipients(false), far);
}

/// The store names only nodes that hold a partition. At a first start that is the first node alone.
#[test]
fn all_nodes_discover_each_other_from_one_known_node() {
    const NODES: usize = 90;
    let mut all: Vec<Peers> = (0..NODES).map(|_| Peers::default()).collect();
    all[1..].iter_mut().for_each(|peers| peers.add(address(0), NOW));
    let mut now = NOW;
    for round in 0..20_u64 {
        now = now + Millis(300);
        for i in 0..NODES {
            let hears = all[i].sample(round * 31 + i as u64 * 7, now);
            for to in all[i].addresses() {
                let to = usize::from(to.port() - 7_000);
                let peer_heartbeat = Heartbeat { hears: hears.clone(), ..heartbeat(Vec::new()) };
                all[to].on_heartbeat(address(to), address(i), name(i), peer_heartbeat, now);
            }
        }
    }
    let fewest = all.iter().map(|peers| peers.heard(now).count()).min();
    assert_eq!(fewest, Some(NODES - 1), "peers heard by a node six seconds after the start");
}
