//! Counts the nodes among which a fleet-wide budget is divided.
//!
//! Each node uses its share without coordination. If a node counted only the peers that it can
//! reach, its share would grow just when nodes lose contact with each other, and together they
//! would use more than the budget. So a node counts every peer that may be running: each one that
//! it ever heard of, until the store doesn't name it any more either.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

/// A node counts as gone if it wasn't heard of for this long and the store doesn't name it. That
/// the store doesn't name it isn't enough, since it names only some nodes of a large fleet.
const GONE_AFTER: Millis = Millis::from_secs(300);

/// The nodes that may use a share of the budget, without the node that counts them.
#[derive(Debug, Clone)]
pub struct NodeCensus<K> {
    last_seen: BTreeMap<K, Millis>,
}

impl<K> Default for NodeCensus<K> {
    fn default() -> Self {
        Self { last_seen: BTreeMap::new() }
    }
}

impl<K: Ord> NodeCensus<K> {
    /// Records that a node was heard, or that another node named it.
    pub fn on_seen(&mut self, node: K, now: Millis) {
        self.last_seen.insert(node, now);
    }

    /// Records the nodes that the store named in answer to a request sent at `at`, and drops those
    /// that are gone.
    pub fn on_listed(&mut self, named: impl IntoIterator<Item = K>, at: Millis) {
        named.into_iter().for_each(|node| self.on_seen(node, at));
        self.forget(at);
    }

    /// Drops nodes that are gone.
    pub fn forget(&mut self, now: Millis) {
        self.last_seen.retain(|_, last| now.since(*last) < GONE_AFTER);
    }

    /// The number of nodes that may be running.
    pub fn count(&self) -> usize {
        self.last_seen.len()
    }
}
