//! Whether a node may take what it has read for what is in force.
//!
//! A node that reads the log may. It goes on so while the log is away, as long as
//! it hears other nodes that may. A node that was cut off from everybody loses
//! this, and does not get it back from another one that lost it, too: between
//! them a bundle may have been signed off that neither has read.

use workshold_protocol::ids::Offset;

/// Whether this node may take what it has read for what is in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Authority {
    is_held: bool,
}

impl Authority {
    /// Whether it may.
    pub fn is_held(self) -> bool {
        self.is_held
    }

    /// It read the log to its end.
    pub fn on_log(&mut self) {
        self.is_held = true;
    }

    /// It heard a node that has read up to `peer_next`, and itself has read up to
    /// `own_next`; `is_held` is what the other node says of itself.
    pub fn on_peer(&mut self, is_held: bool, peer_next: Offset, own_next: Offset) {
        self.is_held |= is_held && own_next >= peer_next;
    }

    /// It was cut off from the log and from all nodes for too long.
    pub fn on_isolated(&mut self) {
        self.is_held = false;
    }
}
