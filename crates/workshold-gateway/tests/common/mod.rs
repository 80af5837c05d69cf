//! What several tests say in another node's name.

use std::net::SocketAddr;

use smol_str::SmolStr;
use workshold_gateway::peers::Pulse;

/// A pulse of a node that serves at `callers` and has nothing else to tell.
pub fn pulse(callers: SocketAddr) -> Pulse {
    Pulse {
        callers,
        data_centre: SmolStr::new("a"),
        next_ms: 300,
        hears: Vec::new(),
        is_ready: true,
        has_traffic: true,
        config: None,
        list: None,
        acts_by: None,
        store_age_ms: 100,
        list_trouble_ms: None,
        work: Vec::new(),
        seen_percent: 100,
        loads: Vec::new(),
    }
}
