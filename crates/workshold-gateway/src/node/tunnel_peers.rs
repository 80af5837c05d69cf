//! Which peers are asked for a tunnel, and in which order.

use std::net::SocketAddr;

use rand::Rng;
use smol_str::SmolStr;

/// A peer that may open a tunnel.
#[derive(Debug, Clone)]
pub struct TunnelPeer {
    /// Its address for other nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Whether it opened no tunnel when it was asked a moment ago.
    pub is_unavailable: bool,
}

/// Orders the peers for a connection from a node of data centre `own` to an instance of `nearest`,
/// and returns the first `most`. The first one is of `nearest` or else of `own`, and the others are
/// of other data centres than the first as far as there are any. Those that are unavailable come
/// last.
pub fn order(
    mut candidates: Vec<TunnelPeer>,
    nearest: &str,
    own: &str,
    most: usize,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    let distance = |candidate: &TunnelPeer| match candidate.data_centre.as_str() {
        location if location == nearest => 0,
        location if location == own => 1,
        _ => 2,
    };
    candidates.sort_by_cached_key(|candidate| {
        (candidate.is_unavailable, distance(candidate), rng.random::<u32>())
    });
    let Some(first) = candidates.first().cloned() else { return Vec::new() };
    candidates[1..].sort_by_cached_key(|candidate| {
        let is_with_first = candidate.data_centre == first.data_centre;
        (candidate.is_unavailable, is_with_first, rng.random::<u32>())
    });
    candidates.into_iter().take(most).map(|candidate| candidate.address).collect()
}
