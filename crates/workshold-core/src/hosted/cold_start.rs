//! What an instance takes while it is cold.
//!
//! An instance that has just started, or whose data centre was evacuated, bears only a few requests
//! per second for some seconds and fails under more. The bound holds for all nodes together and for
//! every span of one second. It is kept as a rate limit is ([`super::instance_limits`]): the first
//! few nodes by an order that all see alike are the instance's senders, each with a token bucket
//! that starts empty. What all buckets may hold together, plus one second at the rate, stays below
//! the bound.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

use super::token_bucket::SenderShare;
use super::token_bucket::SharedRate;
use super::token_bucket::TokenBucket;

/// What a cold instance of a service takes, from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests per second that it bears.
    pub per_s: f64,
    /// The most requests that may arrive within any second.
    pub max_in_second: f64,
}

/// Fraction of the bound that is left unused: requests are delayed on their way, and nodes disagree
/// for a moment about who the senders are.
const RESERVE: f64 = 0.2;
/// Rate at which requests are sent however little an instance bears.
const MIN_PER_S: f64 = 0.25;

impl ColdLimit {
    /// What the senders together may send.
    pub fn shared_rate(self) -> SharedRate {
        let usable = (self.max_in_second * (1.0 - RESERVE)).max(0.0);
        // A sender holds one token at least, so half of a low bound goes to the burst of one.
        let burst = (usable - self.per_s).max(usable / 2.0).floor().max(1.0);
        SharedRate { per_s: self.per_s.min(usable - burst).max(MIN_PER_S), burst }
    }

    /// How many of `nodes` are senders to a cold instance.
    pub fn senders(self, nodes: usize) -> usize {
        (self.shared_rate().burst as usize).clamp(1, nodes.max(1))
    }
}

/// A cold instance.
#[derive(Debug, Clone, Copy)]
struct ColdInstance {
    until: Millis,
    bucket: TokenBucket,
}

/// The instances that are cold, and what this node may send to them.
#[derive(Debug, Clone)]
pub struct ColdInstances<K> {
    by_instance: BTreeMap<K, ColdInstance>,
}

impl<K> Default for ColdInstances<K> {
    fn default() -> Self {
        Self { by_instance: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> ColdInstances<K> {
    /// Records that an instance is cold until a time; of several times the last one counts.
    /// Returns whether it was not known to be cold at `now`.
    pub fn on_cold(&mut self, id: &K, until: Millis, now: Millis) -> bool {
        if until <= now {
            return false;
        }
        let was_cold = self.is_cold(id, now);
        let new = ColdInstance { until, bucket: TokenBucket::default() };
        let cold = self.by_instance.entry(id.clone()).or_insert(new);
        if !was_cold {
            *cold = new;
        }
        cold.until = cold.until.max(until);
        !was_cold
    }

    /// Whether no instance is known to have been cold.
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Whether an instance is cold.
    pub fn is_cold(&self, id: &K, now: Millis) -> bool {
        self.by_instance.get(id).is_some_and(|cold| cold.until > now)
    }

    /// The number of cold instances.
    pub fn count(&self, now: Millis) -> usize {
        self.by_instance.values().filter(|cold| cold.until > now).count()
    }

    /// Time until this node may send a request to an instance; zero if it may now.
    pub fn time_until_send(
        &mut self,
        id: &K,
        limit: ColdLimit,
        share: SenderShare,
        now: Millis,
    ) -> Millis {
        let Some(cold) = self.by_instance.get_mut(id).filter(|cold| cold.until > now) else {
            return Millis::ZERO;
        };
        let rate = limit.shared_rate();
        cold.bucket.refill(rate, 0.0, share, now);
        cold.bucket.time_until_token(rate, share).min(cold.until.since(now))
    }

    /// Counts a request that is sent to an instance.
    pub fn on_sent(&mut self, id: &K, now: Millis) {
        if let Some(cold) = self.by_instance.get_mut(id).filter(|cold| cold.until > now) {
            cold.bucket.take();
        }
    }

    /// Drops instances that are no longer cold.
    pub fn forget(&mut self, now: Millis) {
        self.by_instance.retain(|_, cold| cold.until > now);
    }
}
