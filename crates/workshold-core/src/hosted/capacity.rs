//! Estimates how many requests a number of groups of a model can serve within the latency goals.
//!
//! The estimate comes from the configured timings of the engine. A group works in passes: `stride`
//! decoding steps for all sequences in its batch, then the prefill of new prompts. If prefill and
//! the time that each sequence adds take a fraction `r` of its time, a pass takes
//! `quiet / (1 - r)`, where `quiet` is a pass without load. By Little's law, the number of
//! requests in progress is the rate of events that are asked for times the time of a pass. Both
//! are exact for means. The fraction of requests served in time is an approximation: it takes
//! pauses as exponentially distributed in their tail, and the number of requests at a group as
//! Poisson distributed.

use workshold_protocol::Millis;

use super::serving_config::Engine;
use super::serving_config::ModelSpec;

/// Demand for one model over all nodes; all rates are per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Workload {
    /// Requests, including those that were refused.
    pub requests: f64,
    /// Prompt tokens of these requests.
    pub prompt_tokens: f64,
    /// Events of their streamed responses.
    pub events: f64,
    /// Goal for the longest pause between events, as a mean over the requests.
    pub pause_goal: Millis,
}

/// Fraction of a deployment's capacity that the expected demand uses; the rest is reserve for
/// lost instances and for peaks.
const EXPECTED_UTILISATION: f64 = 0.6;
/// Pause goal for requests that come without one.
const DEFAULT_PAUSE_GOAL: Millis = Millis(250);

impl Workload {
    /// Scales the rates by `factor`; the pause goal stays.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prompt_tokens: self.prompt_tokens * factor,
            events: self.events * factor,
            pause_goal: self.pause_goal,
        }
    }

    /// Demand for a model that the configuration predicts before any request has arrived: the
    /// model's share of the demand that would use [`EXPECTED_UTILISATION`] of all `instances`.
    pub fn expected(engine: &Engine, spec: &ModelSpec, instances: usize) -> Self {
        let stride = f64::from(engine.stride.max(1));
        let per_request = Self {
            requests: 1.0,
            prompt_tokens: engine.typical_prompt_tokens,
            events: (engine.typical_answer_tokens / stride).max(1.0),
            pause_goal: DEFAULT_PAUSE_GOAL,
        };
        let shares: f64 = engine.models.iter().map(|model| model.share).sum();
        let share = if shares > 0.0 { spec.share / shares } else { 1.0 };
        let groups = share * instances as f64 / spec.size as f64;
        let min_groups = CapacityEstimate::new(engine, spec, per_request).min_groups();
        per_request.scaled(groups * EXPECTED_UTILISATION / min_groups.max(f64::MIN_POSITIVE))
    }

    /// Adds two demands for the same model.
    pub fn plus(self, other: Self) -> Self {
        let total = self.requests + other.requests;
        let goals =
            self.pause_goal.0 as f64 * self.requests + other.pause_goal.0 as f64 * other.requests;
        let pause_goal = if total > 0.0 { Millis((goals / total) as u64) } else { Millis::ZERO };
        Self {
            requests: total,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            events: self.events + other.events,
            pause_goal,
        }
    }
}

/// Queueing estimate for one model: how many groups its demand needs, and how well a number of
/// groups serves it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityEstimate {
    /// Groups that would be fully occupied by prefill and by the time that each sequence adds.
    busy_groups: f64,
    /// Requests in progress if every pass took as long as one without load.
    unloaded_concurrency: f64,
    /// Time of a pass without load, in milliseconds.
    unloaded_pass_ms: f64,
    slots: f64,
    pause_goal_ms: f64,
}

/// Fraction of the requests that are in time when all slots are taken, before late pauses are
/// deducted.
const SATURATED_IN_TIME: f64 = 0.8;

impl CapacityEstimate {
    /// Creates the estimate for `workload` on groups of `spec`.
    pub fn new(engine: &Engine, spec: &ModelSpec, workload: Workload) -> Self {
        let stride = f64::from(engine.stride.max(1));
        let mean_prompt_tokens =
            if workload.requests > 0.0 { workload.prompt_tokens / workload.requests } else { 0.0 };
        let prefill_ms = workload.prompt_tokens / engine.prefill_tokens_per_ms
            + workload.requests * mean_prompt_tokens * mean_prompt_tokens / 2.0 / 1e6
                * engine.attention_ms_per_m_pairs;
        let per_event_ms = stride
            * (engine.per_request_ms + mean_prompt_tokens / 1000.0 * engine.context_ms_per_k);
        let unloaded_pass_ms = engine.event_gap_ms(spec);
        let goal = workload.pause_goal;
        let goal = if goal == Millis::ZERO { DEFAULT_PAUSE_GOAL } else { goal };
        Self {
            busy_groups: spec.pace * (prefill_ms + workload.events * per_event_ms) / 1000.0,
            unloaded_concurrency: workload.events * unloaded_pass_ms / 1000.0,
            unloaded_pass_ms,
            slots: f64::from(engine.slots.max(1)),
            pause_goal_ms: goal.0 as f64,
        }
    }

    /// Number of groups at which all slots are just taken: the least that can keep up.
    pub fn min_groups(&self) -> f64 {
        self.busy_groups + self.unloaded_concurrency / self.slots
    }

    /// Mean time of a pass with `groups`, in milliseconds; `None` if they cannot keep up.
    pub fn pass_ms(&self, groups: f64) -> Option<f64> {
        (groups > self.min_groups())
            .then(|| self.unloaded_pass_ms * groups / (groups - self.busy_groups))
    }

    /// Fraction of the requests that `groups` serve in time, 0 to 1.
    pub fn in_time(&self, groups: f64) -> f64 {
        let min_groups = self.min_groups();
        if groups <= 0.0 {
            return 0.0;
        }
        if min_groups <= 0.0 {
            return 1.0;
        }
        let no_late_pause = |pass_ms: f64| 1.0 - (-self.pause_goal_ms / pass_ms).exp();
        let saturated_pass_ms = self.unloaded_pass_ms * min_groups
            / (min_groups - self.busy_groups).max(min_groups * 0.01);
        let saturated_in_time =
            SATURATED_IN_TIME * no_late_pause(saturated_pass_ms) * (groups / min_groups).min(1.0);
        let Some(pass_ms) = self.pass_ms(groups) else { return saturated_in_time };
        let mean_concurrency = self.unloaded_concurrency / (groups - self.busy_groups);
        let has_free_slot =
            normal_cdf((self.slots - mean_concurrency) / mean_concurrency.sqrt().max(0.1));
        (no_late_pause(pass_ms) * has_free_slot).max(saturated_in_time)
    }
}

/// Normal distribution function at `z` standard deviations, by its logistic approximation, whose
/// error is below 0.01.
fn normal_cdf(z: f64) -> f64 {
    1.0 / (1.0 + (-1.702 * z).exp())
}

/// Factors on the current demand over which utility is averaged.
const DEMAND_FACTORS: [f64; 2] = [1.0, 1.25];
/// Numbers of lost groups over which utility is averaged: a loss lasts until the plan makes up
/// for it.
const LOST_GROUPS: [f64; 2] = [0.0, 1.0];
/// Decline of a request's value with the fraction of its model that is already in time: the first
/// counts 1 + this, the last 1 - this. So callers of one model do not pay for what another gains.
const FAIRNESS: f64 = 0.5;

/// Utility of a model by its number of groups: the work done in time, measured in the instances
/// that would just be able to do it, as a mean over possible next cases (more demand, or the loss
/// of a group).
///
/// Half of the demand counts by the work that it takes, half by the number of requests: long
/// requests are worth more to callers, but not in proportion to their cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Utility {
    by_groups: Vec<f64>,
}

impl Utility {
    /// Utility of up to `max_groups` groups of each model of `engine`, for the demands `workloads`
    /// in the same order.
    pub fn of_all(
        engine: &Engine,
        workloads: &[Workload],
        max_groups: impl Fn(&ModelSpec) -> usize,
    ) -> Vec<Self> {
        let pairs = || engine.models.iter().zip(workloads);
        let instances = |(spec, workload): (&ModelSpec, &Workload)| {
            CapacityEstimate::new(engine, spec, *workload).min_groups() * spec.size as f64
        };
        let total: f64 = pairs().map(instances).sum();
        let requests: f64 = workloads.iter().map(|workload| workload.requests).sum();
        let utility = |(spec, workload): (&ModelSpec, &Workload)| {
            let by_requests = total * workload.requests / requests.max(f64::MIN_POSITIVE);
            let weight = (instances((spec, workload)) + by_requests) / 2.0;
            Self::new(engine, spec, *workload, weight, max_groups(spec))
        };
        pairs().map(utility).collect()
    }

    /// Utility of up to `max_groups` groups of `spec`, where serving all of `workload` in time
    /// has the utility `instances`.
    fn new(
        engine: &Engine,
        spec: &ModelSpec,
        workload: Workload,
        instances: f64,
        max_groups: usize,
    ) -> Self {
        let estimates = DEMAND_FACTORS
            .map(|factor| CapacityEstimate::new(engine, spec, workload.scaled(factor)));
        let utility = |groups: usize| {
            let cases = estimates.iter().zip(DEMAND_FACTORS).flat_map(|(estimate, factor)| {
                LOST_GROUPS
                    .map(|lost| fairness_weighted(estimate.in_time(groups as f64 - lost)) * factor)
            });
            let cases: Vec<f64> = cases.collect();
            instances * cases.iter().sum::<f64>() / cases.len() as f64
        };
        Self { by_groups: (0..=max_groups).map(utility).collect() }
    }

    /// Utility of `groups`, rounded; constant beyond the largest number that was computed.
    pub fn of(&self, groups: f64) -> f64 {
        self.by_groups[(groups.max(0.0).round() as usize).min(self.max_groups())]
    }

    /// The largest number of groups that was computed.
    pub fn max_groups(&self) -> usize {
        self.by_groups.len() - 1
    }

    /// Change in utility from adding `more` groups to `groups`; negative if `more` is.
    pub fn gain(&self, groups: f64, more: f64) -> f64 {
        self.of(groups + more) - self.of(groups)
    }
}

/// Weight of the fraction `fraction_in_time` of a model's requests that is in time; concave, see
/// [`FAIRNESS`].
fn fairness_weighted(fraction_in_time: f64) -> f64 {
    fraction_in_time * (1.0 + FAIRNESS * (1.0 - fraction_in_time))
}
