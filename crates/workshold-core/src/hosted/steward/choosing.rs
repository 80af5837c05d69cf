//! Which groups are formed, and out of whom.

use std::collections::BTreeMap;
use std::sync::Arc;

use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::hosted::catalog::ModelShape;
use crate::hosted::groups;
use crate::hosted::groups::Group;
use crate::hosted::roster::Instance;

use super::Forming;
use super::Situation;
use super::Steward;
use super::room::donors;

/// How soon an instance can serve a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Warmth {
    /// Its memory has the weights.
    Loaded,
    /// Its host has them.
    Staged,
    /// They have to be fetched.
    Cold,
}

pub(super) fn warmth(instance: &Instance, model: &ModelName) -> Warmth {
    if instance.loaded.contains(model) {
        Warmth::Loaded
    } else if instance.staged.contains(model) {
        Warmth::Staged
    } else {
        Warmth::Cold
    }
}

/// An instance that can be taken, and whether its old head has to go first.
#[derive(Debug, Clone)]
pub(super) struct Free {
    pub(super) instance: Arc<Instance>,
    is_bound: bool,
}

impl Free {
    /// The instance with what it could serve soon, for logs.
    pub(super) fn tell(&self) -> String {
        let names = |models: &[ModelName]| {
            models.iter().map(ModelName::as_str).collect::<Vec<_>>().join("+")
        };
        let bound = if self.is_bound { ",bound" } else { "" };
        let (loaded, staged) = (names(&self.instance.loaded), names(&self.instance.staged));
        format!("{}(loaded:{loaded},staged:{staged}{bound})", self.instance.id)
    }

    /// The instance.
    pub(super) fn instance(&self) -> &Instance {
        &self.instance
    }
}

impl Steward {
    /// Instances that can be put into a new group.
    pub(super) fn pool(&self, s: &Situation<'_>, groups: &[Group], idle: &[&Group]) -> Vec<Free> {
        let is_forming = |id: &InstanceId| self.forming.values().any(|f| f.members.contains(id));
        let mut pool: Vec<Free> = s
            .entries
            .iter()
            .filter(|entry| s.can_serve(entry) && !is_forming(&entry.instance.id))
            .filter(|entry| match &entry.instance.membership {
                None => true,
                Some(own) => idle.iter().any(|group| group.epoch == own.epoch),
            })
            .map(|entry| {
                let instance = Arc::clone(&entry.instance);
                let is_bound = self.bound_by(&instance, s, groups).is_some();
                Free { instance, is_bound }
            })
            .collect();
        pool.sort_by(|a, b| {
            a.is_bound.cmp(&b.is_bound).then_with(|| a.instance.id.cmp(&b.instance.id))
        });
        pool
    }

    /// Starts formations while there is somebody to form them of.
    pub(super) fn form(&mut self, s: &Situation<'_>, groups: &[Group], pool: &[Free]) {
        if s.before_traffic && s.now.since(s.last_new) < self.rules.list_settles {
            return;
        }
        let mut pool = pool.to_vec();
        pool.retain(|free| !self.is_staging(&free.instance, s));
        self.form_meant(s, &mut pool);
        let mut counts = s.groups.clone();
        let kept = self.kept_for_short(s, groups, &pool);
        loop {
            let by_need = by_need(s, &counts);
            let chosen = by_need.iter().enumerate().find_map(|(i, model)| {
                let is_open = |free: &&Free| i == 0 || !kept.contains(&free.instance.id);
                let open: Vec<Free> = pool.iter().filter(is_open).cloned().collect();
                let members = members_for(model, &open, s.before_traffic)?;
                Some((*model, members))
            });
            let Some((model, members)) = chosen else { return };
            pool.retain(|free| !members.contains(&free.instance.id));
            *counts.entry(model.name.clone()).or_default() += 1.0;
            self.start_forming(model, members, s.now);
        }
    }

    pub(super) fn start_forming(
        &mut self,
        model: &ModelShape,
        members: Vec<InstanceId>,
        now: Millis,
    ) {
        let epoch = self.next_epoch();
        let group = groups::group_id(model.name.as_str(), epoch);
        let give_up_at = now + model.load + self.rules.patience;
        let forming = Forming { group, model: model.name.clone(), members, give_up_at };
        self.forming.insert(epoch, forming);
    }

    /// How many of `pool` are kept for the model that is short of groups: those that
    /// could soon complete one.
    fn kept_for_short(
        &self,
        s: &Situation<'_>,
        groups: &[Group],
        pool: &[Free],
    ) -> Vec<InstanceId> {
        let models = by_need(s, s.groups);
        let is_short = |model: &&&ModelShape| s.is_short(model, &self.rules);
        let Some(short) = models.first().filter(is_short).filter(|_| !s.before_traffic) else {
            return Vec::new();
        };
        if donors(s, short, groups, pool, self.rules.spare_below).is_none() {
            return Vec::new();
        }
        let quick = pool.iter().filter(|free| warmth(&free.instance, &short.name) < Warmth::Cold);
        let mut kept: Vec<&Free> = quick.collect();
        kept.sort_by_key(|free| warmth(&free.instance, &short.name));
        kept.iter().take(short.size).map(|free| free.instance.id.clone()).collect()
    }
}

/// The models, the one that lacks most first.
pub(super) fn by_need<'a>(
    s: &Situation<'a>,
    counts: &BTreeMap<ModelName, f64>,
) -> Vec<&'a ModelShape> {
    let need = |model: &ModelShape| {
        let demand = s.demand.get(&model.name).copied().unwrap_or(model.share);
        let groups = counts.get(&model.name).copied().unwrap_or_default();
        (demand + LEAST_DEMAND) / (groups + LEAST_DEMAND)
    };
    let mut models: Vec<&ModelShape> = s.engine.models.iter().collect();
    models.sort_by(|a, b| need(b).total_cmp(&need(a)));
    models
}

/// Keeps models apart that nobody asks for and nobody serves.
const LEAST_DEMAND: f64 = 0.05;

/// Who would be the quickest group of `model`; the head is one that is not bound.
pub(super) fn members_for(
    model: &ModelShape,
    pool: &[Free],
    may_be_cold: bool,
) -> Option<Vec<InstanceId>> {
    let mut fit: Vec<&Free> = pool
        .iter()
        .filter(|free| may_be_cold || warmth(&free.instance, &model.name) < Warmth::Cold)
        .collect();
    fit.sort_by_key(|free| warmth(&free.instance, &model.name));
    fit.truncate(model.size);
    if fit.len() < model.size {
        return None;
    }
    fit.sort_by_key(|free| free.is_bound);
    Some(fit.iter().map(|free| free.instance.id.clone()).collect())
}
