//! Outlier ejection: upstreams that fail, or answer more slowly than comparable ones,
//! get fewer requests for a while.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

/// When an upstream is ejected, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierRules {
    /// An upstream is ejected above this multiple of the median time to first token.
    pub slow_factor: f64,
    /// An upstream is ejected after this many consecutive failures.
    pub failures: u32,
    /// Duration of the first ejection; doubles with each consecutive one.
    pub base_ejection_time: Millis,
    /// The largest fraction of the upstreams that may be ejected at once.
    pub max_share: f64,
    /// Weight of the newest sample in the moving average.
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

/// Upper bound of an ejection's duration, as a multiple of the first one's.
const MAX_EJECTION_FACTOR: u32 = 16;
/// Samples that an average needs before it is compared.
const MIN_SAMPLES: u32 = 5;

#[derive(Debug, Clone, Default)]
struct Health {
    first_token_ms: f64,
    samples: u32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Millis,
}

/// Recent latency and failures of comparable upstreams.
#[derive(Debug, Clone)]
pub struct OutlierDetector<K> {
    rules: OutlierRules,
    health: BTreeMap<K, Health>,
}

impl<K: Ord + Clone> OutlierDetector<K> {
    /// A detector without samples.
    pub fn new(rules: OutlierRules) -> Self {
        Self { rules, health: BTreeMap::new() }
    }

    /// Records an answer; `first_token` is the time to its first token.
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
        health.consecutive_failures = 0;
        if self.is_slow(upstream) {
            self.eject(upstream, now);
        } else if let Some(health) =
            self.health.get_mut(upstream).filter(|h| h.ejected_until <= now)
        {
            health.consecutive_ejections = 0;
        }
    }

    /// Records a failed request.
    pub fn on_failure(&mut self, upstream: &K, now: Millis) {
        let health = self.health.entry(upstream.clone()).or_default();
        health.consecutive_failures += 1;
        if health.consecutive_failures >= self.rules.failures {
            self.eject(upstream, now);
        }
    }

    /// Records an answer that only a faulty upstream sends, and ejects the upstream at once. Its other
    /// answers show nothing: they may begin like ones that are whole.
    pub fn on_malformed(&mut self, upstream: &K, now: Millis) {
        self.health.entry(upstream.clone()).or_default();
        self.eject(upstream, now);
    }

    /// Whether an upstream is ejected at `now`.
    pub fn is_ejected(&self, upstream: &K, now: Millis) -> bool {
        self.health.get(upstream).is_some_and(|health| health.ejected_until > now)
    }

    /// Drops upstreams for which `is_there` is false.
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

    fn eject(&mut self, upstream: &K, now: Millis) {
        let ejected = self.health.values().filter(|health| health.ejected_until > now).count();
        let limit = (self.health.len() as f64 * self.rules.max_share).floor() as usize;
        let rules = self.rules;
        let Some(health) = self.health.get_mut(upstream) else { return };
        if health.ejected_until > now || ejected >= limit {
            return;
        }
        let factor = 1_u32 << health.consecutive_ejections.min(MAX_EJECTION_FACTOR.ilog2());
        health.ejected_until = now + Millis(rules.base_ejection_time.0 * u64::from(factor));
        health.consecutive_ejections += 1;
        health.consecutive_failures = 0;
        // Its average starts anew afterwards. The old one would eject it again after its
        // first answer, so that it would never be tried properly.
        health.samples = 0;
    }
}
