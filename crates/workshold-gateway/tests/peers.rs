//! Who is heard, what they say together, and who reads the store for all.

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
        list: Some((12.into(), 100)),
        acts_by: None,
        past: None,
        store_age_ms: 100,
        list_trouble_ms: None,
        work: vec![WireWorkload::new("m0", WORK)],
        seen_percent: 100,
        loads,
        requests: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
    }
}

const WORK: Workload =
    Workload { requests: 12.5, prompt_tokens: 8_420.0, events: 335.0, pause_goal: Millis(200) };
fn id(name: &str) -> Identity {
    InstanceId::new(name).unwrap().into()
}

fn told(name: &str, requests: u32, unread: u32) -> WireLoad {
    WireLoad::new(&id(name), Load { requests, unread }, 0.0)
}

const OWN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 6_999);
const NOW: Millis = Millis(100_000);

fn name(i: usize) -> SmolStr {
    SmolStr::new(format!("n-{i}"))
}

#[test]
fn loads_of_all_who_are_heard_are_summed() {
    let mut peers = Peers::default();
    peers.on_heartbeat(
        OWN,
        address(1),
        name(1),
        heartbeat(vec![told("i-5", 3, 100), told("i-6", 1, 0)]),
        NOW,
    );
    peers.on_heartbeat(OWN, address(2), name(2), heartbeat(vec![told("i-5", 4, 1_000)]), NOW);
    let load = peers.loads(NOW)[&instance_hash(&id("i-5"))];
    assert_eq!((load.requests, load.unread), (7, 128 + 1_024), "in units of 64 tokens, rounded up");
    let told: Vec<Workload> =
        peers.heard(NOW).map(|(_, peer)| peer.heartbeat.work[0].work()).collect();
    assert_eq!(told, [WORK, WORK], "what is asked comes over as it was told");
    let later = NOW + Millis(1_100);
    assert!(peers.loads(later).is_empty(), "who is silent counts no more");
    assert_eq!(peers.addresses().len(), 2, "but is told things all the same");
    peers.forget(NOW + Millis::from_secs(30));
    assert!(peers.addresses().is_empty());
}

/// What node `own` has heard of nodes spread over `data_centres`.
fn spread(own: usize, nodes: usize, data_centres: usize) -> Peers {
    let mut peers = Peers::default();
    for i in (0..nodes).filter(|i| *i != own) {
        let said = Heartbeat { data_centre: place(i, data_centres), ..heartbeat(Vec::new()) };
        peers.on_heartbeat(OWN, address(i), name(i), said, NOW);
    }
    peers
}

fn place(i: usize, data_centres: usize) -> SmolStr {
    SmolStr::new(format!("dc-{}", i % data_centres))
}

#[rstest]
#[case::one_small(9, 1, 4)]
#[case::one_large(61, 1, 4)]
#[case::three(61, 3, 12)]
#[case::twelve(350, 12, 48)]
#[case::as_few_as_there_are(6, 3, 6)]
fn exactly_so_many_of_each_data_centre_read_for_all_of_it(
    #[case] nodes: usize,
    #[case] data_centres: usize,
    #[case] readers: usize,
) {
    let reads = |i: &usize| {
        let own = place(*i, data_centres);
        spread(*i, nodes, data_centres).ranks_among_first(&name(*i), own.as_str(), 4, NOW)
    };
    assert_eq!((0..nodes).filter(reads).count(), readers);
}

#[test]
fn a_node_that_hears_nobody_reads_for_itself() {
    let mut peers = spread(0, 61, 3);
    peers.forget(NOW + Millis::from_secs(30));
    assert!(peers.ranks_among_first("n-0", "dc-0", 4, NOW + Millis::from_secs(30)));
}

#[test]
fn who_is_told_less_often_is_believed_for_longer() {
    let mut peers = Peers::default();
    peers.on_heartbeat(OWN, address(1), name(1), heartbeat(Vec::new()), NOW);
    let rare = Heartbeat { next_ms: 900, ..heartbeat(Vec::new()) };
    peers.on_heartbeat(OWN, address(2), name(2), rare, NOW);
    let heard = |after: u64| peers.heard(NOW + Millis(after)).count();
    assert_eq!((heard(1_099), heard(1_100), heard(2_899), heard(2_900)), (2, 1, 1, 0));
}

#[test]
fn news_goes_to_near_nodes_that_are_heard_and_of_what_was_read_to_one_of_each_other_place() {
    let mut peers = spread(0, 7, 3);
    peers.add(address(99), NOW);
    let own_name = name(0);
    let own = LocalNode { address: address(0), name: &own_name, data_centre: "dc-0" };
    let told = |is_first| {
        let told: BTreeSet<SocketAddr> =
            peers.news_recipients(&own, is_first, NOW).into_iter().collect();
        told
    };
    assert_eq!(told(false), BTreeSet::from([address(3), address(6)]));
    let first = |of: [usize; 2]| of.into_iter().min_by_key(|i| rank(&name(*i), 0)).map(address);
    let far: BTreeSet<SocketAddr> = [first([1, 4]), first([2, 5])].into_iter().flatten().collect();
    assert_eq!(&told(true) - &told(false), far);
}

/// At a start the store names whoever was first; it names no node without a part at all.
#[test]
fn all_come_to_hear_of_each_other_although_the_store_names_one_only() {
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
                let said = Heartbeat { hears: hears.clone(), ..heartbeat(Vec::new()) };
                all[to].on_heartbeat(address(to), address(i), name(i), said, now);
            }
        }
    }
    let fewest = all.iter().map(|peers| peers.heard(now).count()).min();
    assert_eq!(fewest, Some(NODES - 1), "six seconds after the start");
}
