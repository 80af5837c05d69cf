//! When a stream that says nothing is looked into, and when it is given up.

use std::collections::HashMap;
use std::hash::Hash;

use workshold_protocol::Millis;

/// How silence is judged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StallRules {
    /// Multiple of the usual gap after which an instance is looked into.
    pub look_factor: f64,
    /// The least silence that is looked into.
    pub least: Millis,
    /// Part of the route's pause goal at which it is looked into at the latest.
    pub goal_part: f64,
    /// Multiple of the pause goal after which a stream is moved although its
    /// instances answer: longer than any pass of a busy engine.
    pub give_up_factor: f64,
    /// Multiple of the usual gap that has to have passed as well.
    pub give_up_gaps: f64,
}

impl Default for StallRules {
    fn default() -> Self {
        Self {
            look_factor: 4.0,
            least: Millis(100),
            goal_part: 0.65,
            give_up_factor: 3.0,
            give_up_gaps: 8.0,
        }
    }
}

impl StallRules {
    /// Silence after which a stream's group is looked into.
    pub fn probe_after(&self, usual_gap_ms: f64, pause_goal: Millis) -> Millis {
        let by_gap = (usual_gap_ms * self.look_factor) as u64;
        let by_goal = (pause_goal.0 as f64 * self.goal_part) as u64;
        Millis(by_gap.min(by_goal.max(usual_gap_ms as u64)).max(self.least.0))
    }

    /// Silence after which a stream goes on elsewhere, whoever answers.
    pub fn failover_after(&self, usual_gap_ms: f64, pause_goal: Millis) -> Millis {
        let by_goal = pause_goal.0 as f64 * self.give_up_factor;
        let by_gap = usual_gap_ms * self.give_up_gaps;
        Millis(by_goal.max(by_gap) as u64)
    }
}

/// Weight of the newest gap.
const SMOOTHING: f64 = 0.1;
/// Gaps above this say that something was lost, not how fast an engine is.
const LONGEST_GAP_MS: f64 = 2_000.0;

/// The usual gap between two events at each head.
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
    /// Two events came `gap` apart.
    pub fn on_gap(&mut self, head: &K, gap: Millis) {
        let sample = (gap.0 as f64).min(LONGEST_GAP_MS);
        match self.by_head.get_mut(head) {
            Some(mean) => *mean += SMOOTHING * (sample - *mean),
            None => {
                self.by_head.insert(head.clone(), sample);
            }
        }
    }

    /// The usual gap at `head`, if anything was seen.
    pub fn mean_ms(&self, head: &K) -> Option<f64> {
        self.by_head.get(head).copied()
    }

    /// Takes a peer's figure where this node has none of its own.
    pub fn on_peer(&mut self, head: &K, usual_ms: f64) {
        self.by_head.entry(head.clone()).or_insert(usual_ms);
    }

    /// Forgets heads that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.by_head.retain(|head, _| is_known(head));
    }
}
