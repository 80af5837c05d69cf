//! Fetching weights to hosts ahead of need, and the rate limit on weight loads.

use std::sync::Arc;

use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;

use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::roster::Instance;
use crate::hosted::roster::MemberState;
use crate::hosted::serving_config::ModelSpec;

use super::Command;
use super::DomainContext;
use super::Order;
use super::Steward;
use super::view::Free;

/// Fraction of the weight store's rate limit that is used, since orders that are executed late
/// count towards another window.
const LOADS_USED: f64 = 0.8;
/// How long an instance that refused to load gets no further order to: it is busy with another
/// load.
const BUSY_FOR: Millis = Millis(3_000);

impl Steward {
    /// Fetches weights that no planned change needs yet.
    ///
    /// Hosts without any weights get those of the model with the highest gain. Before traffic,
    /// when loading is fast, every host also gets a model other than the one it serves, so that
    /// the survivors of a lost group can soon join a group of either model.
    pub(super) fn stage_ahead(
        &mut self,
        s: &DomainContext<'_>,
        pool: &[Free],
        commands: &mut Vec<Command>,
    ) {
        if s.before_traffic {
            self.stage_before_traffic(s, commands);
            return;
        }
        let is_empty = |free: &&Free| {
            let instance = free.instance();
            instance.loaded.is_empty() && instance.staged.is_empty()
        };
        for free in pool.iter().filter(is_empty) {
            let is_taken =
                self.is_taken(&free.instance().identity) || self.is_staging(free.instance(), s);
            if let Some(model) = by_gain(s).first().filter(|_| !is_taken) {
                self.stage_one(free.instance(), model, s, commands);
            }
        }
    }

    fn stage_before_traffic(&mut self, s: &DomainContext<'_>, commands: &mut Vec<Command>) {
        let instances = self.with_one_model(s);
        let by_gain = if instances.is_empty() { Vec::new() } else { by_gain(s) };
        for instance in instances {
            let other = by_gain.iter().copied().find(|m| !instance.loaded.contains(&m.name));
            if let Some(other) = other {
                self.stage_one(&instance, other, s, commands);
            }
        }
    }

    /// Free instances, and group members that have joined, whose memory and host hold the weights
    /// of one model only.
    fn with_one_model(&self, s: &DomainContext<'_>) -> Vec<Arc<Instance>> {
        let is_settled = |instance: &Instance| {
            let own = instance.membership.as_ref();
            own.is_none_or(|own| own.state != MemberState::Joining) && !instance.loaded.is_empty()
        };
        let has_other =
            |instance: &Instance| instance.staged.iter().any(|m| !instance.loaded.contains(m));
        let entries = s.entries.iter().filter(|entry| s.can_serve(entry));
        let instances = entries.map(|entry| &entry.instance);
        let instances = instances.filter(|i| is_settled(i) && !has_other(i));
        instances.filter(|i| !self.is_staging(i, s)).cloned().collect()
    }

    pub(super) fn stage_one(
        &mut self,
        instance: &Instance,
        model: &ModelSpec,
        s: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) {
        let window = self.rules.load_window.as_secs_f64();
        let most = (s.engine.loads_per_s * window * s.load_share * LOADS_USED).max(1.0);
        if self.is_busy_loading(&instance.identity, s) {
            return;
        }
        if !s.before_traffic && self.loads.len() as f64 + 1.0 > most {
            return;
        }
        let before = commands.len();
        let order = Order::Stage { model: model.name.clone() };
        self.send(instance, 0, "stage", order, "weights will be needed here", s.now, commands);
        if commands.len() > before {
            self.loads.push_back(s.now);
            self.staging.insert(instance.identity.clone(), (model.name.clone(), s.now));
        }
    }

    /// The model whose weights an instance's host is fetching, and since when. `None` if they have
    /// arrived or are overdue.
    pub(super) fn staging_since(
        &self,
        instance: &Instance,
        s: &DomainContext<'_>,
    ) -> Option<(ModelName, Millis)> {
        let (model, since) = self.staging.get(&instance.identity)?;
        let load = s.engine.model(model.as_str()).map_or(Millis::ZERO, |model| model.load);
        let is_done = instance.staged.contains(model);
        let is_late = s.now.since(*since) > load + load + self.rules.patience;
        (!is_done && !is_late).then(|| (model.clone(), *since))
    }

    pub(super) fn is_staging(&self, instance: &Instance, s: &DomainContext<'_>) -> bool {
        self.staging_since(instance, s).is_some()
    }

    /// Handles a refusal to load: another load is under way on that instance.
    pub(super) fn on_busy(&mut self, id: &Identity) {
        if let Some((_, since)) = self.staging.remove(id) {
            self.busy.insert(id.clone(), since + BUSY_FOR);
        }
    }

    fn is_busy_loading(&self, id: &Identity, s: &DomainContext<'_>) -> bool {
        self.busy.get(id).is_some_and(|until| s.now < *until)
    }
}

/// The models in descending order of the gain per instance from one more group.
fn by_gain<'a>(s: &DomainContext<'a>) -> Vec<&'a ModelSpec> {
    let gain = |model: &planner::Model| model.utility.gain(model.groups, 1.0) / model.size as f64;
    let mut models: Vec<(&ModelSpec, f64)> = s
        .engine
        .models
        .iter()
        .zip((s.models)())
        .map(|(spec, model)| (spec, gain(&model)))
        .collect();
    models.sort_by(|a, b| b.1.total_cmp(&a.1));
    models.into_iter().map(|(spec, _)| spec).collect()
}
