//! Upstreams that answer, but worse than their like, get less for a while.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

/// When an upstream is set aside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierRules {
    /// Set aside above this multiple of the median first-token time.
    pub slow_factor: f64,
    /// Set aside after this many failures in a row.
    pub failures: u32,
    /// For how long the first time; doubles with each time in a row.
    pub base_ejection_time: Millis,
    /// Never set aside more than this share of all.
    pub max_share: f64,
    /// Weight of the newest sample in the average.
    pub smoothing: f64,
}

impl Default for OutlierRules {
    fn default() -> Self {
        Self {
            slow_factor: 3.0,
            failures: 3,
            base_ejection_time: Millis::from_secs(5),
            max_share: 0.34,
            smoothing: 0.2,
        }
    }
}

/// The longest that an upstream is set aside, as a multiple of the first time.
const MAX_BACKOFF: u32 = 16;
/// Samples before an average is believed.
const MIN_SAMPLES: u32 = 5;

#[derive(Debug, Clone, Default)]
struct Health {
    first_token_ms: f64,
    samples: u32,
    failures_in_a_row: u32,
    times_in_a_row: u32,
    until: Millis,
}

/// How each upstream of one kind has done of late.
#[derive(Debug, Clone)]
pub struct OutlierDetector<K> {
    rules: OutlierRules,
    health: BTreeMap<K, Health>,
}

impl<K: Ord + Clone> OutlierDetector<K> {
    /// Nothing known yet.
    pub fn new(rules: OutlierRules) -> Self {
        Self { rules, health: BTreeMap::new() }
    }

    /// An upstream answered; `first_token` is what its first token took.
    pub fn on_answer(&mut self, upstream: &K, first_token: Millis, now: Millis) {
        let smoothing = self.rules.smoothing;
        let health = self.health.entry(upstream.clone()).or_default();
        let sample = first_token.0 as f64;
        health.first_token_ms = if health.samples == 0 {
            sample
        } else {
            health.first_token_ms + smoothing * (sample - health.first_token_ms)
        };
        health.samples += 1;
        health.failures_in_a_row = 0;
        if self.is_slow(upstream) {
            self.set_aside(upstream, now);
        } else if let Some(health) = self.health.get_mut(upstream).filter(|h| h.until <= now) {
            health.times_in_a_row = 0;
        }
    }

    /// An upstream failed.
    pub fn on_failure(&mut self, upstream: &K, now: Millis) {
        let health = self.health.entry(upstream.clone()).or_default();
        health.failures_in_a_row += 1;
        if health.failures_in_a_row >= self.rules.failures {
            self.set_aside(upstream, now);
        }
    }

    /// Whether an upstream is set aside.
    pub fn is_ejected(&self, upstream: &K, now: Millis) -> bool {
        self.health.get(upstream).is_some_and(|health| health.until > now)
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&K) -> bool) {
        self.health.retain(|upstream, _| is_there(upstream));
    }

    fn is_slow(&self, upstream: &K) -> bool {
        let mut known: Vec<_> = self.health.values().filter(|h| h.samples >= MIN_SAMPLES).collect();
        let Some(own) = self.health.get(upstream).filter(|h| h.samples >= MIN_SAMPLES) else {
            return false;
        };
        if known.len() < 3 {
            return false;
        }
        known.sort_by(|a, b| a.first_token_ms.total_cmp(&b.first_token_ms));
        let median = known[known.len() / 2].first_token_ms;
        own.first_token_ms > self.rules.slow_factor * median.max(1.0)
    }

    fn set_aside(&mut self, upstream: &K, now: Millis) {
        let aside = self.health.values().filter(|health| health.until > now).count();
        let limit = (self.health.len() as f64 * self.rules.max_share).floor() as usize;
        let rules = self.rules;
        let Some(health) = self.health.get_mut(upstream) else { return };
        if health.until > now || aside >= limit {
            return;
        }
        let factor = 1_u32 << health.times_in_a_row.min(MAX_BACKOFF.ilog2());
        health.until = now + Millis(rules.base_ejection_time.0 * u64::from(factor));
        health.times_in_a_row += 1;
        health.failures_in_a_row = 0;
        // It starts afresh when it is back, or it would never be tried again.
        health.samples = 0;
    }
}
