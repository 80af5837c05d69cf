//! Network paths from this node to instances.

use crate::node::Node;

impl Node {
    /// Number of instances that peers reach and this node does not.
    pub fn lost_paths(&self) -> usize {
        self.suspicions.lock().reached_only_by_peers()
    }
}
