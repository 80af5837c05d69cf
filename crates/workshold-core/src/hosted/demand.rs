//! What callers ask of each model, from the requests that come.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use workshold_protocol::Millis;

use super::capacity::Workload;

/// A request as far as demand is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCost {
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// The longest pause that is in time.
    pub pause_goal: Millis,
}

/// How long a request counts: long enough to see what is usual, short enough to
/// follow a shift within seconds.
const FADES: Millis = Millis(3_000);
/// Weight of the newest answer's length.
const SMOOTHING: f64 = 0.02;

/// One node's part of what is asked of a model.
#[derive(Debug, Clone, Default)]
struct Arrivals {
    /// Sums that fade: requests, prompt tokens, and goals times requests.
    requests: f64,
    prompt_tokens: f64,
    goals: f64,
    events_each: Option<f64>,
    at: Millis,
}

impl Arrivals {
    fn add(&mut self, asked: RequestCost, weight: f64) {
        self.requests = (self.requests + weight).max(0.0);
        self.prompt_tokens = (self.prompt_tokens + asked.prompt_tokens * weight).max(0.0);
        self.goals = (self.goals + asked.pause_goal.0 as f64 * weight).max(0.0);
    }

    fn fade(&mut self, now: Millis) {
        let factor = (-(now.since(self.at).0 as f64) / FADES.0 as f64).exp();
        self.requests *= factor;
        self.prompt_tokens *= factor;
        self.goals *= factor;
        self.at = self.at.max(now);
    }
}

/// How much less a request counts that was refused: about half of them come back.
const COMES_BACK: f64 = 0.5;

/// Requests at this node by model.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    by_model: BTreeMap<SmolStr, Arrivals>,
    since: Option<Millis>,
}

impl Demand {
    /// A request came, whether it can be served or not.
    pub fn on_request(&mut self, model: &SmolStr, asked: RequestCost, now: Millis) {
        self.since.get_or_insert(now);
        let arrivals = self.arrivals(model, now);
        arrivals.fade(now);
        arrivals.add(asked, 1.0);
    }

    /// A request was refused: it comes back, and is counted again.
    pub fn on_refusal(&mut self, model: &SmolStr, asked: RequestCost, now: Millis) {
        let arrivals = self.arrivals(model, now);
        arrivals.fade(now);
        arrivals.add(asked, -COMES_BACK);
    }

    /// An answer of so many events came to its end; `usual_events` is what was expected
    /// of it before any was seen.
    pub fn on_answer(&mut self, model: &SmolStr, events: f64, usual_events: f64, now: Millis) {
        let arrivals = self.arrivals(model, now);
        let mean = arrivals.events_each.get_or_insert(usual_events);
        *mean += SMOOTHING * (events - *mean);
    }

    /// What is asked of each model, a second; answers are as long as those before, or
    /// `usual_events`.
    pub fn all(&self, usual_events: f64, now: Millis) -> Vec<(SmolStr, Workload)> {
        let fades_s = FADES.as_secs_f64();
        let work = |arrivals: &Arrivals| {
            let mut arrivals = arrivals.clone();
            arrivals.fade(now);
            let requests = arrivals.requests / fades_s;
            let goal = arrivals.goals / arrivals.requests.max(f64::MIN_POSITIVE);
            Workload {
                requests,
                prompt_tokens: arrivals.prompt_tokens / fades_s,
                events: requests * arrivals.events_each.unwrap_or(usual_events),
                pause_goal: Millis(goal as u64),
            }
        };
        self.by_model.iter().map(|(model, arrivals)| (model.clone(), work(arrivals))).collect()
    }

    /// The part of what is asked that this shows so long after the first request; the
    /// rest is not seen yet.
    pub fn observed_fraction(&self, now: Millis) -> f64 {
        self.since.map_or(0.0, |since| 1.0 - (-(now.since(since).0 as f64) / FADES.0 as f64).exp())
    }

    fn arrivals(&mut self, model: &SmolStr, now: Millis) -> &mut Arrivals {
        self.by_model
            .entry(model.clone())
            .or_insert_with(|| Arrivals { at: now, ..Arrivals::default() })
    }
}
