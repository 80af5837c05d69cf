//! Fetching weights to hosts ahead of need, and the rate limit on weight loads.

use std::sync::Arc;

use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;

use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::roster::Instance;
use crate::hosted::roster::MemberState;
use crate::hosted::serving_config::Engine;
use crate::hosted::serving_config::ModelSpec;

use super::Command;
use super::DomainContext;
use super::Order;
use super::Steward;
use super::planner_input::FreeInstance;

/// Fraction of the weight store's rate limit that is used, since orders that are executed late
/// count towards another window.
const RATE_LIMIT_FRACTION: f64 = 0.8;
/// Fraction of the usable rate at which weights are loaded for a remembered demand.
const RESERVE_FRACTION: f64 = 0.5;
/// How long an instance that refused to load is not ordered to again: it is busy with another load.
const BUSY_BACKOFF: Millis = Millis(3_000);

/// What weights are loaded for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadPurpose {
    /// Groups for the present demand.
    Present,
    /// Groups for a remembered demand.
    Reserve,
}

/// Most concurrent loads for a remembered demand: half of those that the weight store serves at
/// full speed, but enough for a group.
pub(super) fn max_reserve_loads(engine: &Engine) -> usize {
    let largest_size = engine.models.iter().map(|model| model.size).max().unwrap_or_default();
    (engine.loads_at_once as usize / 2).max(largest_size)
}

impl Steward {
    /// Fetches weights that no planned change needs yet.
    ///
    /// Hosts without any weights get those of the model with the highest gain. Before traffic,
    /// when loading is fast, every host also gets a model other than the one it serves, so that
    /// the survivors of a lost group can soon join a group of either model.
    pub(super) fn stage_ahead(
        &mut self,
        cx: &DomainContext<'_>,
        pool: &[FreeInstance],
        commands: &mut Vec<Command>,
    ) {
        if cx.before_traffic {
            self.stage_before_traffic(cx, commands);
            return;
        }
        let has_no_weights = |free: &&FreeInstance| {
            let instance = free.instance();
            instance.loaded.is_empty() && instance.staged.is_empty()
        };
        for free in pool.iter().filter(has_no_weights) {
            let is_assigned =
                self.is_assigned(&free.instance().identity) || self.is_staging(free.instance(), cx);
            if let Some(model) = models_by_gain(cx).first().filter(|_| !is_assigned) {
                self.stage_weights(free.instance(), model, LoadPurpose::Present, cx, commands);
            }
        }
    }

    /// Fetches the weights of a second model to every host that holds only one.
    fn stage_before_traffic(&mut self, cx: &DomainContext<'_>, commands: &mut Vec<Command>) {
        let instances = self.instances_with_one_model(cx);
        let models_by_gain = if instances.is_empty() { Vec::new() } else { models_by_gain(cx) };
        for instance in instances {
            let other = models_by_gain.iter().copied().find(|m| !instance.loaded.contains(&m.name));
            if let Some(other) = other {
                self.stage_weights(&instance, other, LoadPurpose::Present, cx, commands);
            }
        }
    }

    /// Free instances, and group members that have joined, whose memory and host hold the weights
    /// of one model only.
    fn instances_with_one_model(&self, cx: &DomainContext<'_>) -> Vec<Arc<Instance>> {
        let is_settled = |instance: &Instance| {
            let membership = instance.membership.as_ref();
            membership.is_none_or(|membership| membership.state != MemberState::Joining)
                && !instance.loaded.is_empty()
        };
        let has_other =
            |instance: &Instance| instance.staged.iter().any(|m| !instance.loaded.contains(m));
        let entries = cx.entries.iter().filter(|entry| cx.can_serve(entry));
        let instances = entries.map(|entry| &entry.instance);
        let instances = instances.filter(|i| is_settled(i) && !has_other(i));
        instances.filter(|i| !self.is_staging(i, cx)).cloned().collect()
    }

    /// Orders an instance to fetch a model's weights to its host, within the rate limit.
    pub(super) fn stage_weights(
        &mut self,
        instance: &Instance,
        model: &ModelSpec,
        purpose: LoadPurpose,
        cx: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) {
        let window = self.rules.load_rate_window.as_secs_f64();
        let max_loads =
            (cx.engine.loads_per_s * window * cx.load_share * RATE_LIMIT_FRACTION).max(1.0);
        if self.is_busy_loading(&instance.identity, cx) {
            return;
        }
        if !cx.before_traffic && self.recent_loads.len() as f64 + 1.0 > max_loads {
            return;
        }
        if purpose == LoadPurpose::Reserve && !self.may_load_for_reserve(cx) {
            return;
        }
        let before = commands.len();
        let order = Order::Stage { model: model.name.clone() };
        self.send(instance, 0, "stage", order, "host will need the weights", cx.now, commands);
        if commands.len() > before {
            self.recent_loads.push_back(cx.now);
            if purpose == LoadPurpose::Reserve {
                self.reserve_loads.push_back(cx.now);
            }
            self.staging.insert(instance.identity.clone(), (model.name.clone(), cx.now));
        }
    }

    /// Whether the rate of loads for a remembered demand allows one more. Where that rate is less
    /// than one load in the rate limit's window, the window is as long as one load needs.
    fn may_load_for_reserve(&mut self, cx: &DomainContext<'_>) -> bool {
        let rate = cx.engine.loads_per_s * cx.load_share * RATE_LIMIT_FRACTION * RESERVE_FRACTION;
        if rate <= 0.0 {
            return false;
        }
        let window_s = self.rules.load_rate_window.as_secs_f64().max(1.0 / rate);
        let is_recent = |at: &Millis| cx.now.since(*at).as_secs_f64() < window_s;
        self.reserve_loads.retain(is_recent);
        (self.reserve_loads.len() + 1) as f64 <= (rate * window_s).max(1.0)
    }

    /// The model whose weights an instance's host is fetching, and since when. `None` if they have
    /// arrived or are overdue.
    pub(super) fn staging_since(
        &self,
        instance: &Instance,
        cx: &DomainContext<'_>,
    ) -> Option<(ModelName, Millis)> {
        let (model, since) = self.staging.get(&instance.identity)?;
        let load = cx.engine.model(model.as_str()).map_or(Millis::ZERO, |model| model.load);
        let is_done = instance.staged.contains(model);
        let is_overdue = cx.now.since(*since) > load + load + self.rules.formation_grace;
        (!is_done && !is_overdue).then(|| (model.clone(), *since))
    }

    /// Whether an instance's host is fetching weights.
    pub(super) fn is_staging(&self, instance: &Instance, cx: &DomainContext<'_>) -> bool {
        self.staging_since(instance, cx).is_some()
    }

    /// Handles a refusal to load: another load is under way on that instance.
    pub(super) fn on_load_refused(&mut self, id: &Identity) {
        if let Some((_, since)) = self.staging.remove(id) {
            self.busy_until.insert(id.clone(), since + BUSY_BACKOFF);
        }
    }

    /// Whether an instance refused to load a short time ago.
    fn is_busy_loading(&self, id: &Identity, cx: &DomainContext<'_>) -> bool {
        self.busy_until.get(id).is_some_and(|until| cx.now < *until)
    }
}

/// The models in descending order of the gain per instance from one more group.
fn models_by_gain<'a>(cx: &DomainContext<'a>) -> Vec<&'a ModelSpec> {
    let gain = |model: &planner::Model| model.forming_gain() / model.size as f64;
    let mut models: Vec<(&ModelSpec, f64)> = cx
        .engine
        .models
        .iter()
        .zip((cx.models)())
        .map(|(spec, model)| (spec, gain(&model)))
        .collect();
    models.sort_by(|a, b| b.1.total_cmp(&a.1));
    models.into_iter().map(|(spec, _)| spec).collect()
}
