//! Estimates the demand for each model from the requests that arrive at this node.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use workshold_protocol::Millis;

use super::capacity::Workload;

/// What one request adds to the demand for its model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCost {
    /// Number of tokens in its prompt.
    pub prompt_tokens: f64,
    /// The longest pause between two events of its answer that meets the route's goal.
    pub pause_goal: Millis,
}

/// Time constant of the exponential decay by which a request counts less and less: long enough
/// to even out single arrivals, short enough to follow a shift of demand within seconds.
const DECAY_TIME: Millis = Millis(3_000);
/// Weight of the newest answer in the moving average of answer lengths.
const LENGTH_SMOOTHING: f64 = 0.02;

/// The requests for one model that arrived at this node.
#[derive(Debug, Clone, Default)]
struct Arrivals {
    /// Decaying sums over requests: their number, their prompt tokens and their pause goals.
    requests: f64,
    prompt_tokens: f64,
    pause_goals: f64,
    /// Mean number of events in an answer; `None` before the first one.
    mean_events: Option<f64>,
    /// When the sums were last decayed.
    decayed_at: Millis,
}

impl Arrivals {
    /// Adds one request with `weight`, or takes one off if that is negative.
    fn add_request(&mut self, cost: RequestCost, weight: f64) {
        self.requests = (self.requests + weight).max(0.0);
        self.prompt_tokens = (self.prompt_tokens + cost.prompt_tokens * weight).max(0.0);
        self.pause_goals = (self.pause_goals + cost.pause_goal.0 as f64 * weight).max(0.0);
    }

    /// Decays the sums to `now`.
    fn decay(&mut self, now: Millis) {
        let factor = (-(now.since(self.decayed_at).0 as f64) / DECAY_TIME.0 as f64).exp();
        self.requests *= factor;
        self.prompt_tokens *= factor;
        self.pause_goals *= factor;
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Weight that is taken off for a refused request: about half of them are sent again and would
/// be counted twice.
const RETRIED_FRACTION: f64 = 0.5;

/// Requests that arrived at this node, by model.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    by_model: BTreeMap<SmolStr, Arrivals>,
    /// When the first request arrived.
    since: Option<Millis>,
}

impl Demand {
    /// Counts a request that arrived, whether or not it can be served.
    pub fn on_request(&mut self, model: &SmolStr, cost: RequestCost, now: Millis) {
        self.since.get_or_insert(now);
        let arrivals = self.arrivals(model, now);
        arrivals.decay(now);
        arrivals.add_request(cost, 1.0);
    }

    /// Takes part of a refused request off again: its caller is likely to send it once more, and
    /// then it is counted again.
    pub fn on_refusal(&mut self, model: &SmolStr, cost: RequestCost, now: Millis) {
        let arrivals = self.arrivals(model, now);
        arrivals.decay(now);
        arrivals.add_request(cost, -RETRIED_FRACTION);
    }

    /// Records that an answer of `events` events is complete. `usual_events` is the length that
    /// is assumed before the first answer.
    pub fn on_answer(&mut self, model: &SmolStr, events: f64, usual_events: f64, now: Millis) {
        let arrivals = self.arrivals(model, now);
        let mean = arrivals.mean_events.get_or_insert(usual_events);
        *mean += LENGTH_SMOOTHING * (events - *mean);
    }

    /// Demand for each model per second. Answers are taken to be as long as earlier ones of the
    /// model, or `usual_events` long if there were none.
    pub fn all(&self, usual_events: f64, now: Millis) -> Vec<(SmolStr, Workload)> {
        let decay_s = DECAY_TIME.as_secs_f64();
        let work = |arrivals: &Arrivals| {
            let mut arrivals = arrivals.clone();
            arrivals.decay(now);
            let requests = arrivals.requests / decay_s;
            let goal = arrivals.pause_goals / arrivals.requests.max(f64::MIN_POSITIVE);
            Workload {
                requests,
                prompt_tokens: arrivals.prompt_tokens / decay_s,
                events: requests * arrivals.mean_events.unwrap_or(usual_events),
                pause_goal: Millis(goal as u64),
            }
        };
        self.by_model.iter().map(|(model, arrivals)| (model.clone(), work(arrivals))).collect()
    }

    /// The fraction of the demand that the sums show so long after the first request: they need
    /// several times `DECAY_TIME` to reach the full rate.
    pub fn observed_fraction(&self, now: Millis) -> f64 {
        self.since
            .map_or(0.0, |since| 1.0 - (-(now.since(since).0 as f64) / DECAY_TIME.0 as f64).exp())
    }

    fn arrivals(&mut self, model: &SmolStr, now: Millis) -> &mut Arrivals {
        self.by_model
            .entry(model.clone())
            .or_insert_with(|| Arrivals { decayed_at: now, ..Arrivals::default() })
    }
}
