//! Among how many nodes a fleet-wide allowance is divided.
//!
//! Each node takes its part without asking. Reckoned from who is in sight, a part grows
//! just when nodes lose sight of each other, and all of them take more than there is. So
//! a node counts whoever may be there: everybody it ever heard of, until the store, too,
//! says otherwise.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

/// A node is gone if it gave no sign for this long and the store does not name it: only
/// part of a large fleet is named there, so that its word alone is not enough.
const GONE_AFTER: Millis = Millis::from_secs(300);

/// The nodes that may take their part, besides the one that counts them.
#[derive(Debug, Clone)]
pub struct NodeCensus<K> {
    last_signs: BTreeMap<K, Millis>,
}

impl<K> Default for NodeCensus<K> {
    fn default() -> Self {
        Self { last_signs: BTreeMap::new() }
    }
}

impl<K: Ord> NodeCensus<K> {
    /// A node was heard, or another one named it.
    pub fn on_seen(&mut self, node: K, now: Millis) {
        self.last_signs.insert(node, now);
    }

    /// The store, asked at `at`, named these.
    pub fn on_listed(&mut self, named: impl IntoIterator<Item = K>, at: Millis) {
        named.into_iter().for_each(|node| self.on_seen(node, at));
        self.last_signs.retain(|_, last| at.since(*last) < GONE_AFTER);
    }

    /// How many there may be.
    pub fn count(&self) -> usize {
        self.last_signs.len()
    }
}
