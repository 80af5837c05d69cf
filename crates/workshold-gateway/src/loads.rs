//! Requests at each instance, of this node and, by their word, of others.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// A short name for an instance in datagrams; two alike are a matter of one in
/// millions, and cost no more than a worse choice.
pub fn short_id(id: &InstanceId) -> u32 {
    short_name(id.as_str())
}

/// The same for any name.
pub fn short_name(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Counters by instance.
#[derive(Debug, Default)]
pub struct Loads {
    own: Mutex<HashMap<InstanceId, Arc<AtomicU32>>>,
    others: Mutex<(HashMap<u32, u32>, Millis)>,
}

/// One request at an instance; ends with its drop.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicU32>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Loads {
    /// A request goes to `id`.
    pub fn begin(&self, id: &InstanceId) -> InFlight {
        let counter = Arc::clone(self.own.lock().entry(id.clone()).or_default());
        counter.fetch_add(1, Ordering::Relaxed);
        InFlight(counter)
    }

    /// Requests of this node at `id`.
    pub fn own(&self, id: &InstanceId) -> u32 {
        self.own.lock().get(id).map_or(0, |counter| counter.load(Ordering::Relaxed))
    }

    /// Requests of all nodes at `id`, as far as known.
    pub fn of(&self, id: &InstanceId) -> u32 {
        let others = self.others.lock().0.get(&short_id(id)).copied().unwrap_or_default();
        self.own(id) + others
    }

    /// All that this node has requests at.
    pub fn all_own(&self) -> Vec<(InstanceId, u32)> {
        let own = self.own.lock();
        let all = own.iter().map(|(id, counter)| (id.clone(), counter.load(Ordering::Relaxed)));
        all.filter(|(_, load)| *load > 0).collect()
    }

    /// Takes what the others said, summed up at `now`.
    pub fn set_others(&self, others: HashMap<u32, u32>, now: Millis) {
        *self.others.lock() = (others, now);
    }

    /// Whether what the others said was last summed up longer than `age` ago.
    pub fn are_old(&self, now: Millis, age: Millis) -> bool {
        now.since(self.others.lock().1) >= age
    }

    /// Drops counters that nobody uses.
    pub fn tidy(&self) {
        self.own.lock().retain(|_, counter| Arc::strong_count(counter) > 1);
    }
}
