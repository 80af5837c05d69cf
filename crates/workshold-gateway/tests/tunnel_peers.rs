//! Which peers are asked for a tunnel.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use smol_str::SmolStr;
use workshold_gateway::node::tunnel_peers;
use workshold_gateway::node::tunnel_peers::TunnelPeer;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// The node of this number: three data centres, in turn.
fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn data_centre(address: SocketAddr) -> &'static str {
    DATA_CENTRES[usize::from(address.port() - 7_000) % 3]
}

fn candidates(unavailable: &[u16]) -> Vec<TunnelPeer> {
    let candidate = |number| TunnelPeer {
        address: address(number),
        data_centre: SmolStr::new(data_centre(address(number))),
        is_unavailable: unavailable.contains(&number),
    };
    (0..9).map(candidate).collect()
}

fn order(unavailable: &[u16], nearest: &str, seed: u64) -> Vec<SocketAddr> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    tunnel_peers::order(candidates(unavailable), nearest, "a", 3, &mut rng)
}

#[test]
fn the_first_peer_is_in_the_data_centre_of_the_instance() {
    let first: BTreeSet<SocketAddr> = (0..50).map(|seed| order(&[], "b", seed)[0]).collect();
    assert_eq!(first, BTreeSet::from([1, 4, 7].map(address)), "all of them get a part");
}

/// Guards against a node that asks only nodes of a data centre that is cut off as a whole.
#[test]
fn the_other_peers_are_in_other_data_centres() {
    for seed in 0..50 {
        let peers = order(&[], "b", seed);
        assert!(peers[1..].iter().all(|peer| data_centre(*peer) != "b"), "{peers:?}");
    }
}

#[test]
fn peers_that_were_unavailable_come_last() {
    let peers = order(&[1, 4, 7], "b", 1);
    assert_eq!(data_centre(peers[0]), "a", "without one near the instance, one near the node");
    let peers = order(&[0, 1, 3, 4, 6, 7, 8], "b", 1);
    assert_eq!(peers.len(), 3, "they are still asked if there are no others");
    assert_eq!(BTreeSet::from([peers[0], peers[1]]), BTreeSet::from([2, 5].map(address)));
}

#[test]
fn without_peers_there_is_no_tunnel() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert!(tunnel_peers::order(Vec::new(), "b", "a", 3, &mut rng).is_empty());
}
