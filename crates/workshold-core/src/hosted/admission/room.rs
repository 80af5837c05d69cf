//! How much the groups of a model accept now, and which of them a request goes to.
//!
//! Nodes do not coordinate each request. Each knows the load of every head from its own requests
//! and from the counts of the other nodes, which are up to a second old. If every node sent its
//! requests to the head that looks emptiest, all of them would arrive there before the counts show
//! it. So each head is given a rate that all nodes together send to it: what it completes, plus its
//! free slots spread over a time that is longer than the counts are old. Heads are drawn in
//! proportion to their rates. The sum of the rates is what the model accepts; of the requests that
//! arrive, every node admits the same fraction.
//!
//! The fraction does not divide the rate among the nodes. With 71 nodes, the share of one is a few
//! requests per second, and a token bucket of that size refuses the bursts of single nodes while
//! groups have free slots.

use workshold_protocol::Millis;

/// Parameters of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomRules {
    /// Time over which free slots are filled.
    pub horizon: Millis,
    /// Fraction of a head's slots that are filled. The rest is for the variation between heads and
    /// for requests that other nodes have sent and that the counts do not show yet.
    pub target_fill: f64,
}

impl RoomRules {
    /// The rules for counts that are up to half a second old.
    pub const DEFAULT: Self = Self { horizon: Millis(400), target_fill: 0.9 };
}

/// A head of a group as a node sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeadLoad {
    /// Requests in flight from all nodes, as far as known.
    pub load: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Time to prefill the prompts that wait there, in milliseconds.
    pub unread_ms: f64,
    /// Usual time from the arrival of a request to the end of its answer, in milliseconds.
    pub service_ms: f64,
    /// Whether it failed recently or is suspected.
    pub is_deprioritized: bool,
}

/// Shortest service time that rates are computed with, so that they stay finite.
const SERVICE_MS_MIN: f64 = 10.0;
/// Rate of a head that is overfull: some requests must find out that it has free slots again.
const RATE_MIN: f64 = 0.05;
/// Fraction of its rate that a head gets while it is deprioritized: enough to notice that it has
/// recovered.
const DEPRIORITIZED_FRACTION: f64 = 0.02;
/// Fraction of the latency goal that the prompts of others may take before a request's own prompt
/// is processed.
const PREFILL_GOAL_FRACTION: f64 = 0.5;

impl HeadLoad {
    /// Requests per second that all nodes together may send to the head, if their first event is
    /// due within `latency_goal`.
    ///
    /// Prompts that wait for longer than [`PREFILL_GOAL_FRACTION`] of the goal count as the slots
    /// that would be taken for that long: a request behind them misses its goal although slots are
    /// free.
    pub fn accepted_rate(&self, latency_goal: Millis, rules: &RoomRules) -> f64 {
        let service_ms = self.service_ms.max(SERVICE_MS_MIN);
        let slots = self.usable_slots(rules);
        let load = f64::from(self.load);
        let prefill_limit_ms = latency_goal.0 as f64 * PREFILL_GOAL_FRACTION;
        let excess_ms = (self.unread_ms - prefill_limit_ms).max(0.0);
        let blocked = slots * (excess_ms / service_ms).min(1.0);
        let completed = load.min(slots) / (service_ms / 1000.0);
        let filled = (slots - load - blocked) / rules.horizon.as_secs_f64();
        let rate = (completed + filled).max(RATE_MIN);
        if self.is_deprioritized { rate * DEPRIORITIZED_FRACTION } else { rate }
    }

    /// Requests beyond the slots that are to be filled; negative if some of these are free.
    pub fn excess(&self, rules: &RoomRules) -> f64 {
        f64::from(self.load) - self.usable_slots(rules)
    }

    /// The load to assume while peers have not reported their counts yet, as after a start: half of
    /// the slots are taken.
    pub fn without_counts(self) -> Self {
        Self { load: self.load.max(self.slots / 2), ..self }
    }

    fn usable_slots(&self, rules: &RoomRules) -> f64 {
        f64::from(self.slots.max(1)) * rules.target_fill
    }
}

/// The fraction of the arriving requests that can be admitted, without an upper bound; 1 while
/// nothing is known to arrive.
pub fn admissible_fraction(accepted_per_s: f64, arriving_per_s: f64) -> f64 {
    if arriving_per_s > 0.0 { accepted_per_s / arriving_per_s } else { 1.0 }
}

/// Draws a head with a probability in proportion to its rate; `random` is uniform over all `u64`.
/// `None` without heads.
pub fn draw_head(rates: &[f64], random: u64) -> Option<usize> {
    let mut left = random as f64 / u64::MAX as f64 * rates.iter().sum::<f64>();
    let drawn = rates.iter().position(|rate| {
        left -= rate;
        left < 0.0
    });
    drawn.or_else(|| rates.len().checked_sub(1))
}
