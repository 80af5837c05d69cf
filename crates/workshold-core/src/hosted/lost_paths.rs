//! Instances that this node cannot reach although its peers do.
//!
//! At one node, a lost network path and a lost instance look alike; a peer that reaches the instance
//! tells them apart. The path is tried again at intervals, a few instances at a time, since all of
//! them usually come back together.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

/// Interval at which lost paths are tried again.
pub const RETRY_INTERVAL: Millis = Millis(300);
/// Paths that are tried at each interval while all of them fail.
const RETRIES: usize = 3;
/// Paths that are tried at each interval once one of them is back.
const RETRIES_ONCE_BACK: usize = 32;

#[derive(Debug, Clone, Copy)]
struct LostPath {
    since: Millis,
    /// When the path was last tried, or lost.
    tried_at: Millis,
}

/// The paths from this node that are lost.
#[derive(Debug, Clone)]
pub struct LostPaths<K> {
    by_instance: BTreeMap<K, LostPath>,
    /// When this node last reached any instance by itself.
    reached_at: Option<Millis>,
    /// When a path was last lost.
    lost_at: Option<Millis>,
}

impl<K> Default for LostPaths<K> {
    fn default() -> Self {
        Self { by_instance: BTreeMap::new(), reached_at: None, lost_at: None }
    }
}

impl<K: Clone + Ord> LostPaths<K> {
    /// Records that this node has reached an instance by itself. Returns whether its path was lost.
    pub fn on_reached(&mut self, id: &K, now: Millis) -> bool {
        self.reached_at = Some(now);
        self.by_instance.remove(id).is_some()
    }

    /// Records that a peer has reached an instance that this node has tried in vain. Returns whether
    /// its path was not known to be lost.
    pub fn on_reached_by_peer(&mut self, id: &K, now: Millis) -> bool {
        if self.is_lost(id) {
            return false;
        }
        self.lost_at = Some(now);
        self.by_instance.insert(id.clone(), LostPath { since: now, tried_at: now });
        true
    }

    /// Records that no peer reaches an instance either: the instance is at fault, as far as known.
    pub fn on_unreachable(&mut self, id: &K) {
        self.by_instance.remove(id);
    }

    /// Since when the path to an instance is lost; `None` if it is not.
    pub fn lost_since(&self, id: &K) -> Option<Millis> {
        self.by_instance.get(id).map(|path| path.since)
    }

    /// Whether the path to an instance is lost.
    pub fn is_lost(&self, id: &K) -> bool {
        self.by_instance.contains_key(id)
    }

    /// Whether this node has reached no instance by itself since it last lost a path.
    pub fn is_cut_off(&self) -> bool {
        !self.by_instance.is_empty() && self.reached_at < self.lost_at
    }

    /// Number of lost paths.
    pub fn len(&self) -> usize {
        self.by_instance.len()
    }

    /// Whether no path is lost.
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// The paths to try again at `now`, those first that were tried the longest ago. They count as
    /// tried.
    pub fn take_due(&mut self, now: Millis) -> Vec<K> {
        let most = if self.is_cut_off() { RETRIES } else { RETRIES_ONCE_BACK };
        let is_due = |path: &LostPath| now.since(path.tried_at) >= RETRY_INTERVAL;
        let due = self.by_instance.iter().filter(|(_, path)| is_due(path));
        let mut due: Vec<(Millis, K)> = due.map(|(id, path)| (path.tried_at, id.clone())).collect();
        due.sort();
        due.truncate(most);
        for (_, id) in &due {
            if let Some(path) = self.by_instance.get_mut(id) {
                path.tried_at = now;
            }
        }
        due.into_iter().map(|(_, id)| id).collect()
    }

    /// Drops the paths to instances that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.by_instance.retain(|id, _| is_known(id));
    }
}
