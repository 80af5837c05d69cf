//! Requests at each instance, of this node and, by their word, of others.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use workshold_core::hosted::identity::Identity;
use workshold_protocol::Millis;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A short name for a life of an instance in datagrams; two alike are a matter of one in
/// millions, and cost no more than a worse choice.
pub fn instance_hash(id: &Identity) -> u32 {
    xxh3_64_with_seed(id.as_str().as_bytes(), id.incarnation.0) as u32
}

/// The same for any name.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// What an instance has to do, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests there.
    pub requests: u32,
    /// Tokens of prompts whose first event has not come: they are read before it, those
    /// of others too.
    pub unread: u32,
}

impl Load {
    fn and(self, other: Self) -> Self {
        Self { requests: self.requests + other.requests, unread: self.unread + other.unread }
    }

    /// What is left without a part of it.
    pub fn less(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            unread: self.unread.saturating_sub(part.unread),
        }
    }

    /// Adds what another node has there.
    pub fn add(&mut self, other: Self) {
        *self = self.and(other);
    }
}

/// What this node has at an instance.
#[derive(Debug, Default)]
struct Own {
    requests: AtomicU32,
    unread: AtomicU32,
}

impl Own {
    fn load(&self) -> Load {
        Load {
            requests: self.requests.load(Ordering::Relaxed),
            unread: self.unread.load(Ordering::Relaxed),
        }
    }
}

/// Counters by instance.
#[derive(Debug, Default)]
pub struct Loads {
    own: Mutex<HashMap<Identity, Arc<Own>>>,
    others: Mutex<(HashMap<u32, Load>, Millis)>,
}

/// One request at an instance; ends with its drop.
#[derive(Debug)]
pub struct InFlight {
    own: Arc<Own>,
    unread: u32,
}

impl InFlight {
    /// Its prompt has been read: the first event has come.
    pub fn on_read(&mut self) {
        self.own.unread.fetch_sub(std::mem::take(&mut self.unread), Ordering::Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.on_read();
        self.own.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Loads {
    /// A request with a prompt of `tokens` goes to `id`.
    pub fn begin(&self, id: &Identity, tokens: u32) -> InFlight {
        let own = Arc::clone(self.own.lock().entry(id.clone()).or_default());
        own.requests.fetch_add(1, Ordering::Relaxed);
        own.unread.fetch_add(tokens, Ordering::Relaxed);
        InFlight { own, unread: tokens }
    }

    /// What this node has at `id`.
    pub fn own(&self, id: &Identity) -> Load {
        self.own.lock().get(id).map_or(Load::default(), |own| own.load())
    }

    /// What all nodes have at `id`, as far as known.
    pub fn of(&self, id: &Identity) -> Load {
        let others = self.others.lock().0.get(&instance_hash(id)).copied().unwrap_or_default();
        self.own(id).and(others)
    }

    /// All that this node has requests at.
    pub fn own_loads(&self) -> Vec<(Identity, Load)> {
        let own = self.own.lock();
        let all = own.iter().map(|(id, own)| (id.clone(), own.load()));
        all.filter(|(_, load)| load.requests > 0).collect()
    }

    /// Takes what the others said, summed up at `now`.
    pub fn set_peer_loads(&self, others: HashMap<u32, Load>, now: Millis) {
        *self.others.lock() = (others, now);
    }

    /// Whether what the others said was last summed up longer than `age` ago.
    pub fn are_peer_loads_stale(&self, now: Millis, age: Millis) -> bool {
        now.since(self.others.lock().1) >= age
    }

    /// Drops counters that nobody uses.
    pub fn tidy(&self) {
        self.own.lock().retain(|_, counter| Arc::strong_count(counter) > 1);
    }
}
