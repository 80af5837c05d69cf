//! Who is heard, what they say together, and who reads the store for all.

use std::net::SocketAddr;

use smol_str::SmolStr;
use workshold_gateway::peers::Peers;
use workshold_gateway::peers::Pulse;
use workshold_gateway::peers::SILENT_AFTER;
use workshold_protocol::Millis;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

fn pulse(loads: Vec<(u32, u8, u8)>) -> Pulse {
    Pulse {
        callers: address(0),
        data_centre: SmolStr::new("a"),
        is_ready: true,
        has_traffic: false,
        config: Some((7, 100)),
        list: Some((12, 100)),
        acts_by: None,
        store_age_ms: 100,
        room_age_ms: 100,
        prepare_age_ms: 100,
        unserved: vec![(SmolStr::new("m0"), 2.0)],
        loads,
    }
}

const NOW: Millis = Millis(100_000);

fn name(i: usize) -> SmolStr {
    SmolStr::new(format!("n-{i}"))
}

/// What node `own` of `nodes` has heard.
fn heard_by(own: usize, nodes: usize) -> Peers {
    let mut peers = Peers::default();
    for i in (0..nodes).filter(|i| *i != own) {
        peers.on_pulse(address(i), name(i), pulse(Vec::new()), NOW);
    }
    peers
}

#[test]
fn loads_and_refusals_of_all_who_are_heard_are_summed() {
    let mut peers = Peers::default();
    peers.on_pulse(address(1), name(1), pulse(vec![(5, 3, 0), (6, 1, 0)]), NOW);
    peers.on_pulse(address(2), name(2), pulse(vec![(5, 4, 0)]), NOW);
    assert_eq!(peers.loads(NOW)[&5], 7);
    assert_eq!(peers.unserved(NOW)["m0"], 4.0);
    let later = NOW + SILENT_AFTER;
    assert!(peers.loads(later).is_empty(), "who is silent counts no more");
    assert_eq!(peers.addresses().len(), 2, "but is told things all the same");
    peers.forget(NOW + Millis::from_secs(30));
    assert!(peers.addresses().is_empty());
}

#[test]
fn exactly_so_many_of_many_nodes_read_for_all_and_all_of_a_few_do() {
    let readers = |nodes: usize| {
        let reads = |i: &usize| heard_by(*i, nodes).is_among(&name(*i), 12, NOW);
        (0..nodes).filter(reads).count()
    };
    assert_eq!(readers(9), 9);
    assert_eq!(readers(61), 12);
    assert_eq!(readers(350), 12);
}

#[test]
fn a_node_that_hears_nobody_reads_for_itself() {
    let mut peers = heard_by(0, 61);
    peers.forget(NOW + Millis::from_secs(30));
    assert!(peers.is_among("n-0", 12, NOW + Millis::from_secs(30)));
}
