//! Requests in flight at each instance: those of this node, and the counts that peers report.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use workshold_core::hosted::identity::Identity;
use workshold_protocol::Millis;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A 32-bit hash of an instance's identity, which stands for it in datagrams. Collisions have
/// odds of one in millions and cost no more than a worse choice of instance.
pub fn instance_hash(id: &Identity) -> u32 {
    xxh3_64_with_seed(id.as_str().as_bytes(), id.incarnation.0) as u32
}

/// A 32-bit hash of any other name, such as a model's, for datagrams.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// The work at one instance, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests without a first event yet. The engine processes (prefills) the
    /// prompts that are ahead before it sends a new request's first event.
    pub unread: u32,
}

impl Load {
    fn plus(self, other: Self) -> Self {
        Self { requests: self.requests + other.requests, unread: self.unread + other.unread }
    }

    /// Subtracts a part, down to zero.
    pub fn less(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            unread: self.unread.saturating_sub(part.unread),
        }
    }

    /// Adds the load that another node reports for the same instance.
    pub fn add(&mut self, other: Self) {
        *self = self.plus(other);
    }
}

/// This node's load at one instance.
#[derive(Debug, Default)]
struct OwnLoad {
    requests: AtomicU32,
    unread: AtomicU32,
}

impl OwnLoad {
    fn load(&self) -> Load {
        Load {
            requests: self.requests.load(Ordering::Relaxed),
            unread: self.unread.load(Ordering::Relaxed),
        }
    }
}

/// Loads by instance.
#[derive(Debug, Default)]
pub struct Loads {
    own: Mutex<HashMap<Identity, Arc<OwnLoad>>>,
    /// Sums of the peers' loads by [`instance_hash`], and when they were computed.
    peers: Mutex<(HashMap<u32, Load>, Millis)>,
}

/// Counts one request at an instance until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    own: Arc<OwnLoad>,
    unread: u32,
}

impl InFlight {
    /// The first event has come, so the prompt is processed: its tokens no longer count.
    pub fn on_first_event(&mut self) {
        self.own.unread.fetch_sub(std::mem::take(&mut self.unread), Ordering::Relaxed);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.on_first_event();
        self.own.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Loads {
    /// Counts a request with a prompt of `tokens` tokens that is sent to `id`.
    pub fn begin(&self, id: &Identity, tokens: u32) -> InFlight {
        let own = Arc::clone(self.own.lock().entry(id.clone()).or_default());
        own.requests.fetch_add(1, Ordering::Relaxed);
        own.unread.fetch_add(tokens, Ordering::Relaxed);
        InFlight { own, unread: tokens }
    }

    /// This node's load at `id`.
    pub fn own(&self, id: &Identity) -> Load {
        self.own.lock().get(id).map_or(Load::default(), |own| own.load())
    }

    /// The load of all nodes at `id`, as far as known.
    pub fn of(&self, id: &Identity) -> Load {
        let peers = self.peers.lock().0.get(&instance_hash(id)).copied().unwrap_or_default();
        self.own(id).plus(peers)
    }

    /// This node's load at every instance where it has requests in flight.
    pub fn own_loads(&self) -> Vec<(Identity, Load)> {
        let own = self.own.lock();
        let all = own.iter().map(|(id, own)| (id.clone(), own.load()));
        all.filter(|(_, load)| load.requests > 0).collect()
    }

    /// Replaces the sums of the peers' loads, computed at `now`; the keys are [`instance_hash`]s.
    pub fn set_peer_loads(&self, peers: HashMap<u32, Load>, now: Millis) {
        *self.peers.lock() = (peers, now);
    }

    /// Whether the peers' loads are known.
    pub fn has_peer_loads(&self) -> bool {
        self.peers.lock().1 > Millis::ZERO
    }

    /// Whether the sums of the peers' loads are at least `age` old.
    pub fn are_peer_loads_stale(&self, now: Millis, age: Millis) -> bool {
        now.since(self.peers.lock().1) >= age
    }

    /// Removes the counters of instances where this node has no request in flight.
    pub fn tidy(&self) {
        self.own.lock().retain(|_, counter| Arc::strong_count(counter) > 1);
    }
}
