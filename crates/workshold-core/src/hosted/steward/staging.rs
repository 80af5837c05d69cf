//! Whose weights are fetched ahead, and how many loads at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::hosted::catalog::ModelShape;
use crate::hosted::roster::Instance;
use crate::hosted::roster::MemberState;

use super::Command;
use super::Order;
use super::Situation;
use super::Steward;
use super::choosing::Free;
use super::choosing::Warmth;
use super::choosing::by_need;
use super::choosing::warmth;

/// Part of the weight store's rate that is used: orders that are carried out late
/// fall into another window.
const LOADS_USED: f64 = 0.8;
/// An instance that refuses to load is busy with another load; it is asked again
/// after this.
const BUSY_FOR: Millis = Millis(3_000);

impl Steward {
    /// Fetches weights to hosts that could complete a group, or stand by.
    pub(super) fn stage(&mut self, s: &Situation<'_>, pool: &[Free], commands: &mut Vec<Command>) {
        if s.before_traffic {
            return;
        }
        let is_forming = |id: &InstanceId| self.forming.values().any(|f| f.members.contains(id));
        let free: Vec<Arc<Instance>> = pool
            .iter()
            .filter(|free| !is_forming(&free.instance.id))
            .map(|free| Arc::clone(&free.instance))
            .collect();
        let mut coming: BTreeMap<ModelName, usize> = BTreeMap::new();
        let mut idle = Vec::new();
        for instance in free {
            if let Some(model) = self.staging_model(&instance, s) {
                *coming.entry(model).or_default() += 1;
            } else {
                idle.push(instance);
            }
        }
        for model in by_need(s, s.groups) {
            let quick = |i: &Arc<Instance>| warmth(i, &model.name) < Warmth::Cold;
            let have = idle.iter().filter(|i| quick(i)).count();
            let on_the_way = coming.get(&model.name).copied().unwrap_or_default();
            let lacking = model.size.saturating_sub(have + on_the_way);
            let cold: Vec<Arc<Instance>> = idle.iter().filter(|i| !quick(i)).cloned().collect();
            if lacking == 0 || have + on_the_way + cold.len() < model.size {
                continue;
            }
            let left = self.loads_left(s);
            for instance in cold.iter().take(lacking.min(left)) {
                self.stage_one(instance, model, s, commands);
            }
            idle.retain(|i| !quick(i) && !cold.iter().take(lacking).any(|c| c.id == i.id));
        }
        for instance in &idle {
            let is_cold = instance.loaded.is_empty() && instance.staged.is_empty();
            let may_load = is_cold && self.loads_left(s) > 0;
            if let Some(model) = by_need(s, s.groups).first().filter(|_| may_load) {
                self.stage_one(instance, model, s, commands);
            }
        }
    }

    /// Fetches another model's weights to hosts whose memory has the first one's: so
    /// whoever survives a loss can soon be part of a group of either.
    ///
    /// Only before traffic: later, loads share the weight store's rate, and whoever has
    /// no weights at all needs it more.
    pub(super) fn stage_others(&mut self, s: &Situation<'_>, commands: &mut Vec<Command>) {
        if !s.before_traffic {
            return;
        }
        let models = by_need(s, s.groups);
        for entry in s.entries.iter().filter(|entry| s.can_serve(entry)) {
            let instance = &entry.instance;
            let is_settled =
                instance.membership.as_ref().is_some_and(|own| own.state != MemberState::Joining);
            if !is_settled || instance.loaded.is_empty() || self.is_staging(instance, s) {
                continue;
            }
            let has_other = instance.staged.iter().any(|model| !instance.loaded.contains(model));
            let other = models.iter().find(|model| !instance.loaded.contains(&model.name));
            if let Some(other) = other.filter(|_| !has_other) {
                self.stage_one(instance, other, s, commands);
            }
        }
    }

    /// How many more loads a domain may have under way: beyond what the weight store
    /// serves at once, each takes longer and none comes sooner.
    fn loads_left(&self, s: &Situation<'_>) -> usize {
        let most = (f64::from(s.engine.loads_at_once) * s.load_part).ceil() as usize;
        let is_loading = |instance: &Arc<Instance>| self.staging_model(instance, s).is_some();
        let under_way = s.entries.iter().filter(|entry| is_loading(&entry.instance)).count();
        most.max(1).saturating_sub(under_way)
    }

    pub(super) fn stage_one(
        &mut self,
        instance: &Instance,
        model: &ModelShape,
        s: &Situation<'_>,
        commands: &mut Vec<Command>,
    ) {
        let window = self.rules.load_window.as_secs_f64();
        let most = (s.engine.loads_per_s * window * s.load_part * LOADS_USED).max(1.0);
        if self.is_busy_loading(&instance.id, s) {
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
            self.staging.insert(instance.id.clone(), (model.name.clone(), s.now));
        }
    }

    pub(super) fn staging_model(
        &self,
        instance: &Instance,
        s: &Situation<'_>,
    ) -> Option<ModelName> {
        let (model, since) = self.staging.get(&instance.id)?;
        let load = s.engine.model(model.as_str()).map_or(Millis::ZERO, |model| model.load);
        let is_done = instance.staged.contains(model);
        let is_late = s.now.since(*since) > load + load + self.rules.patience;
        (!is_done && !is_late).then(|| model.clone())
    }

    pub(super) fn is_staging(&self, instance: &Instance, s: &Situation<'_>) -> bool {
        self.staging_model(instance, s).is_some()
    }

    /// An instance refused to load: another load is under way there.
    pub(super) fn on_busy(&mut self, id: &InstanceId) {
        if let Some((_, since)) = self.staging.remove(id) {
            self.busy.insert(id.clone(), since + BUSY_FOR);
        }
    }

    fn is_busy_loading(&self, id: &InstanceId, s: &Situation<'_>) -> bool {
        self.busy.get(id).is_some_and(|until| s.now < *until)
    }
}
