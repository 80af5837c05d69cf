//! A hash map divided into shards, each under its own lock.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::Hash;

use parking_lot::Mutex;
use xxhash_rust::xxh3::Xxh3Builder;

/// Shards of a map: more than an entry node has cores, to keep contention low.
const SHARDS: usize = 16;

/// A hash map whose entries are locked by shard. The closures run under the lock of one
/// shard and must not use the map again, or they may deadlock.
#[derive(Debug)]
pub struct Shards<K, V> {
    shards: Vec<Mutex<HashMap<K, V>>>,
}

impl<K, V> Default for Shards<K, V> {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl<K: Hash + Eq + Clone, V> Shards<K, V> {
    /// Runs `f` on the entry of `key`, inserted with `make` if there is none.
    pub fn with_entry<R>(
        &self,
        key: &K,
        make: impl FnOnce() -> V,
        f: impl FnOnce(&mut V) -> R,
    ) -> R {
        let mut shard = self.shard(key).lock();
        f(shard.entry(key.clone()).or_insert_with(make))
    }

    /// Runs `f` on the entry of `key`; `None` if there is none.
    pub fn get<R>(&self, key: &K, f: impl FnOnce(&mut V) -> R) -> Option<R> {
        self.shard(key).lock().get_mut(key).map(f)
    }

    /// Runs `f` on the whole shard of `key`, for checks and inserts under one lock.
    pub fn with_shard<R>(&self, key: &K, f: impl FnOnce(&mut HashMap<K, V>) -> R) -> R {
        f(&mut self.shard(key).lock())
    }

    /// Runs `f` on every entry, locking one shard at a time.
    pub fn for_each(&self, mut f: impl FnMut(&K, &mut V)) {
        for shard in &self.shards {
            shard.lock().iter_mut().for_each(|(key, value)| f(key, value));
        }
    }

    /// Removes the entries for which `predicate` is false.
    pub fn retain(&self, mut predicate: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            shard.lock().retain(|key, value| predicate(key, value));
        }
    }

    /// Number of entries; other threads may change it while it is counted.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, key: &K) -> &Mutex<HashMap<K, V>> {
        let hash = Xxh3Builder::new().hash_one(key);
        &self.shards[hash as usize % SHARDS]
    }
}
