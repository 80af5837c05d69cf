//! Whether the bundle that a node has read may be treated as the one in force.
//!
//! A node gets this authority by reading the log to its end. While the log is
//! unavailable it keeps it, as long as it hears from other nodes that have it. A
//! node cut off from the log and from all nodes loses it, and doesn't get it back
//! from another node that lost it too: meanwhile a bundle may have been signed off
//! that neither of them has read.

use workshold_protocol::ids::Offset;

/// Whether what this node has read is authoritative; at the start it is not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Authority {
    is_held: bool,
}

impl Authority {
    /// Whether the node may act on the bundle that it has read.
    pub fn is_held(self) -> bool {
        self.is_held
    }

    /// The node has read the log to its end.
    pub fn on_log_read(&mut self) {
        self.is_held = true;
    }

    /// A peer answered that has read up to `peer_next`; this node has read up to
    /// `own_next`. `is_held` is whether the peer itself is authoritative.
    pub fn on_peer(&mut self, is_held: bool, peer_next: Offset, own_next: Offset) {
        self.is_held |= is_held && own_next >= peer_next;
    }

    /// The node was cut off from the log and from all nodes for too long.
    pub fn on_isolated(&mut self) {
        self.is_held = false;
    }
}
