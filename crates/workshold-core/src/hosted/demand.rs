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
/// Time constant for the requests that arrive at present. While demand rises, an average over
/// several seconds is too low and too many requests are admitted; the sum over all nodes has little
/// noise over a fraction of a second.
const PRESENT_TIME: Millis = Millis(300);
/// Weight of the newest answer in the moving average of answer lengths.
const LENGTH_SMOOTHING: f64 = 0.02;

/// The requests for one model that arrived at this node.
#[derive(Debug, Clone, Default)]
struct Arrivals {
    /// Decaying sums over requests: their number, their prompt tokens and their pause goals.
    requests: f64,
    prompt_tokens: f64,
    pause_goals: f64,
    /// Decaying sum over all requests, refused ones included, with [`PRESENT_TIME`].
    present: f64,
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
        let factor = decay_factor(now.since(self.decayed_at), DECAY_TIME);
        self.requests *= factor;
        self.prompt_tokens *= factor;
        self.pause_goals *= factor;
        self.present *= decay_factor(now.since(self.decayed_at), PRESENT_TIME);
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Least part of [`PRESENT_TIME`] that counts as observed: the first request after a start says
/// little of a rate.
const OBSERVED_MIN: f64 = 0.2;

/// The part of a sum that is left after `time`, if it decays with `time_constant`.
fn decay_factor(time: Millis, time_constant: Millis) -> f64 {
    (-(time.0 as f64) / time_constant.0 as f64).exp()
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
        arrivals.present += 1.0;
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

    /// Requests for `model` that arrive per second at present, refused ones included.
    pub fn arriving(&self, model: &str, now: Millis) -> f64 {
        let Some(arrivals) = self.by_model.get(model) else { return 0.0 };
        let since_first = self.since.map_or(Millis::ZERO, |since| now.since(since));
        let observed = 1.0 - decay_factor(since_first, PRESENT_TIME);
        let decay = decay_factor(now.since(arrivals.decayed_at), PRESENT_TIME);
        arrivals.present * decay / (PRESENT_TIME.as_secs_f64() * observed.max(OBSERVED_MIN))
    }

    /// Mean number of events in an answer of `model`; `None` before the first one.
    pub fn mean_events(&self, model: &str) -> Option<f64> {
        self.by_model.get(model)?.mean_events
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
        self.since.map_or(0.0, |since| 1.0 - decay_factor(now.since(since), DECAY_TIME))
    }

    fn arrivals(&mut self, model: &SmolStr, now: Millis) -> &mut Arrivals {
        self.by_model
            .entry(model.clone())
            .or_insert_with(|| Arrivals { decayed_at: now, ..Arrivals::default() })
    }
}
