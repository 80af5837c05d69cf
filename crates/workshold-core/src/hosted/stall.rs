//! Decides when the instances of a silent stream are probed, and when the stream is moved.

use std::collections::HashMap;
use std::hash::Hash;

use workshold_protocol::Millis;

/// Thresholds for a silent stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StallRules {
    /// Multiple of the usual gap between events after which an instance is probed.
    pub probe_gap_factor: f64,
    /// Shortest silence after which an instance is probed.
    pub silence_min: Millis,
    /// Fraction of the route's pause goal after which an instance is probed at the latest.
    pub probe_goal_fraction: f64,
    /// Multiple of the pause goal after which a stream is moved even if its instances answer
    /// probes: longer than any step of a busy engine takes.
    pub failover_goal_factor: f64,
    /// Multiple of the usual gap that has to have passed too before a stream is moved.
    pub failover_gap_factor: f64,
}

impl Default for StallRules {
    fn default() -> Self {
        Self {
            probe_gap_factor: 4.0,
            silence_min: Millis(100),
            probe_goal_fraction: 0.65,
            failover_goal_factor: 3.0,
            failover_gap_factor: 8.0,
        }
    }
}

impl StallRules {
    /// How long a stream is silent before the instances of its group are probed.
    pub fn probe_after(&self, mean_gap_ms: f64, pause_goal: Millis) -> Millis {
        let by_gap = (mean_gap_ms * self.probe_gap_factor) as u64;
        let by_goal = (pause_goal.0 as f64 * self.probe_goal_fraction) as u64;
        Millis(by_gap.min(by_goal.max(mean_gap_ms as u64)).max(self.silence_min.0))
    }

    /// How long a stream is silent before it is moved to another group, even if its instances
    /// answer probes.
    pub fn failover_after(&self, mean_gap_ms: f64, pause_goal: Millis) -> Millis {
        let by_goal = pause_goal.0 as f64 * self.failover_goal_factor;
        let by_gap = mean_gap_ms * self.failover_gap_factor;
        Millis(by_goal.max(by_gap) as u64)
    }
}

/// Weight of the newest gap in the moving average.
const GAP_SMOOTHING: f64 = 0.1;
/// A longer gap counts as this long: it comes from a failure and doesn't show how fast the engine
/// is.
const GAP_MAX_MS: f64 = 2_000.0;

/// Moving average of the gap between two events of a stream, for each head.
#[derive(Debug, Clone)]
pub struct EventGaps<K> {
    by_head: HashMap<K, f64>,
}

impl<K> Default for EventGaps<K> {
    fn default() -> Self {
        Self { by_head: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> EventGaps<K> {
    /// Records that two events of a stream came `gap` apart.
    pub fn on_gap(&mut self, head: &K, gap: Millis) {
        let sample = (gap.0 as f64).min(GAP_MAX_MS);
        match self.by_head.get_mut(head) {
            Some(mean) => *mean += GAP_SMOOTHING * (sample - *mean),
            None => {
                self.by_head.insert(head.clone(), sample);
            }
        }
    }

    /// The usual gap at `head` in milliseconds; `None` if no gap is known.
    pub fn mean_ms(&self, head: &K) -> Option<f64> {
        self.by_head.get(head).copied()
    }

    /// Adopts a peer's average for a head for which this node has none.
    pub fn on_peer(&mut self, head: &K, peer_mean_ms: f64) {
        self.by_head.entry(head.clone()).or_insert(peer_mean_ms);
    }

    /// Drops the heads for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.by_head.retain(|head, _| is_known(head));
    }
}
