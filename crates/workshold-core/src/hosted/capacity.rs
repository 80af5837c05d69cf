//! What a number of groups of a model can be expected to make of its work.
//!
//! Worked out from the engine's own figures. A group plays passes: `stride` steps for
//! everybody who writes, and between them the reading of new prompts. With a part `r`
//! of its time spent on reading and on what each writer adds, a pass takes
//! `quiet / (1 - r)`; by Little's law the requests under way are the events that are
//! wanted a second times the time of a pass. Both are exact for means; how much is in
//! time is an estimate: pauses have an exponential tail, and the requests at a group
//! vary as those of a Poisson process do.

use workshold_protocol::Millis;

use super::serving_config::Engine;
use super::serving_config::ModelSpec;

/// What is asked of one model, a second, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Workload {
    /// Requests, those that were refused included.
    pub requests: f64,
    /// Tokens of their prompts.
    pub prompt_tokens: f64,
    /// Events of their answers.
    pub events: f64,
    /// The longest pause that is still in time, a mean over the requests.
    pub pause_goal: Millis,
}

/// How much of a deployment is needed when all is well: the rest is for losses and for
/// times with more work.
const EXPECTED_USE: f64 = 0.6;
/// Where nobody has said how long a pause may be.
const USUAL_PAUSE_GOAL: Millis = Millis(250);

impl Workload {
    /// The same work, but `factor` times as much of it.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prompt_tokens: self.prompt_tokens * factor,
            events: self.events * factor,
            pause_goal: self.pause_goal,
        }
    }

    /// What the operator expects of a model before any request has come: its part of
    /// the work, so much of it that [`EXPECTED_USE`] of the instances would be needed.
    pub fn expected(engine: &Engine, spec: &ModelSpec, instances: usize) -> Self {
        let stride = f64::from(engine.stride.max(1));
        let one = Self {
            requests: 1.0,
            prompt_tokens: engine.typical_prompt_tokens,
            events: (engine.typical_answer_tokens / stride).max(1.0),
            pause_goal: USUAL_PAUSE_GOAL,
        };
        let shares: f64 = engine.models.iter().map(|model| model.share).sum();
        let share = if shares > 0.0 { spec.share / shares } else { 1.0 };
        let groups = share * instances as f64 / spec.size as f64;
        let least = CapacityEstimate::new(engine, spec, one).least_groups();
        one.scaled(groups * EXPECTED_USE / least.max(f64::MIN_POSITIVE))
    }

    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        let all = self.requests + other.requests;
        let goals =
            self.pause_goal.0 as f64 * self.requests + other.pause_goal.0 as f64 * other.requests;
        let pause_goal = if all > 0.0 { Millis((goals / all) as u64) } else { Millis::ZERO };
        Self {
            requests: all,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            events: self.events + other.events,
            pause_goal,
        }
    }
}

/// What the work of a model asks of its groups, in groups.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityEstimate {
    /// Time that grows with the work: reading, and what each writer adds.
    busy: f64,
    /// Requests under way if groups were otherwise idle.
    writers: f64,
    /// A pass of a group without work, in milliseconds.
    quiet_pass_ms: f64,
    slots: f64,
    pause_goal_ms: f64,
}

/// With every place taken, part of what is served is in time.
const FULL_IN_TIME: f64 = 0.8;

impl CapacityEstimate {
    /// What `work` asks of groups of `spec`.
    pub fn new(engine: &Engine, spec: &ModelSpec, work: Workload) -> Self {
        let stride = f64::from(engine.stride.max(1));
        let prompt = if work.requests > 0.0 { work.prompt_tokens / work.requests } else { 0.0 };
        let reading_ms = work.prompt_tokens / engine.prefill_tokens_per_ms
            + work.requests * prompt * prompt / 2.0 / 1e6 * engine.attention_ms_per_m_pairs;
        let per_event_ms =
            stride * (engine.per_request_ms + prompt / 1000.0 * engine.context_ms_per_k);
        let quiet_pass_ms = engine.event_gap_ms(spec);
        let goal = work.pause_goal;
        let goal = if goal == Millis::ZERO { USUAL_PAUSE_GOAL } else { goal };
        Self {
            busy: spec.pace * (reading_ms + work.events * per_event_ms) / 1000.0,
            writers: work.events * quiet_pass_ms / 1000.0,
            quiet_pass_ms,
            slots: f64::from(engine.slots.max(1)),
            pause_goal_ms: goal.0 as f64,
        }
    }

    /// The groups at which all of their places are just taken.
    pub fn least_groups(&self) -> f64 {
        self.busy + self.writers / self.slots
    }

    /// The mean time of a pass with `groups`, if they keep up.
    pub fn pass_ms(&self, groups: f64) -> Option<f64> {
        (groups > self.least_groups()).then(|| self.quiet_pass_ms * groups / (groups - self.busy))
    }

    /// The part of the requests that `groups` serve in time.
    pub fn in_time(&self, groups: f64) -> f64 {
        let least = self.least_groups();
        if groups <= 0.0 {
            return 0.0;
        }
        if least <= 0.0 {
            return 1.0;
        }
        let no_late = |pass_ms: f64| 1.0 - (-self.pause_goal_ms / pass_ms).exp();
        let full_pass_ms = self.quiet_pass_ms * least / (least - self.busy).max(least * 0.01);
        let full = FULL_IN_TIME * no_late(full_pass_ms) * (groups / least).min(1.0);
        let Some(pass_ms) = self.pass_ms(groups) else { return full };
        let at_each = self.writers / (groups - self.busy);
        let has_place = normal((self.slots - at_each) / at_each.sqrt().max(0.1));
        (no_late(pass_ms) * has_place).max(full)
    }
}

/// The part of a normal distribution below `z` deviations, to three places.
fn normal(z: f64) -> f64 {
    1.0 / (1.0 + (-1.702 * z).exp())
}

/// More work than at the moment that is reckoned with.
const MORE_WORK: [f64; 2] = [1.0, 1.25];
/// Groups that may be lost before anything is done about it.
const FEWER_GROUPS: [f64; 2] = [0.0, 1.0];
/// How much more the first request in time of a model is worth than its last: callers
/// of one model are not to pay for what another model gains.
const FAIRNESS: f64 = 0.5;

/// The work that is done in time, in instances that would just do it, by the number of
/// groups: a mean over what may come next, more work and the loss of a group.
///
/// Half of what is asked counts by the work that it takes, half by requests: long ones
/// are worth more to callers, but not as much more as they cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Utility {
    by_groups: Vec<f64>,
}

impl Utility {
    /// The worth of up to `most` groups of each model of `engine`, for the work that is
    /// asked of it.
    pub fn of_all(
        engine: &Engine,
        works: &[Workload],
        most: impl Fn(&ModelSpec) -> usize,
    ) -> Vec<Self> {
        let pairs = || engine.models.iter().zip(works);
        let instances = |(spec, work): (&ModelSpec, &Workload)| {
            CapacityEstimate::new(engine, spec, *work).least_groups() * spec.size as f64
        };
        let all: f64 = pairs().map(instances).sum();
        let requests: f64 = works.iter().map(|work| work.requests).sum();
        let utility = |(spec, work): (&ModelSpec, &Workload)| {
            let by_requests = all * work.requests / requests.max(f64::MIN_POSITIVE);
            let counts = (instances((spec, work)) + by_requests) / 2.0;
            Self::new(engine, spec, *work, counts, most(spec))
        };
        pairs().map(utility).collect()
    }

    /// The worth of up to `most` groups of `spec` for `work` that counts as `instances`.
    fn new(engine: &Engine, spec: &ModelSpec, work: Workload, instances: f64, most: usize) -> Self {
        let loads =
            MORE_WORK.map(|factor| CapacityEstimate::new(engine, spec, work.scaled(factor)));
        let utility = |groups: usize| {
            let cases = loads.iter().zip(MORE_WORK).flat_map(|(load, factor)| {
                FEWER_GROUPS.map(|fewer| fair(load.in_time(groups as f64 - fewer)) * factor)
            });
            let cases: Vec<f64> = cases.collect();
            instances * cases.iter().sum::<f64>() / cases.len() as f64
        };
        Self { by_groups: (0..=most).map(utility).collect() }
    }

    /// What `groups` are worth; beyond what was worked out, no more.
    pub fn of(&self, groups: f64) -> f64 {
        let last = self.by_groups.len() - 1;
        self.by_groups[(groups.max(0.0).round() as usize).min(last)]
    }

    /// What `more` groups would add to `groups`; less than nothing if there are fewer.
    pub fn gain(&self, groups: f64, more: f64) -> f64 {
        self.of(groups + more) - self.of(groups)
    }
}

/// The worth of a part that is in time.
fn fair(part: f64) -> f64 {
    part * (1.0 + FAIRNESS * (1.0 - part))
}
