//! Which groups are formed, out of whom, and whose weights are fetched ahead.

use std::collections::BTreeMap;
use std::sync::Arc;

use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::hosted::catalog::ModelShape;
use crate::hosted::groups;
use crate::hosted::groups::Group;
use crate::hosted::roster::Instance;
use crate::hosted::roster::MemberState;
use crate::rendezvous::weight;

use super::Command;
use super::Forming;
use super::Meant;
use super::Order;
use super::Situation;
use super::Steward;

/// How soon an instance can serve a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Warmth {
    /// Its memory has the weights.
    Loaded,
    /// Its host has them.
    Staged,
    /// They have to be fetched.
    Cold,
}

fn warmth(instance: &Instance, model: &ModelName) -> Warmth {
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
    instance: Arc<Instance>,
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

    fn start_forming(&mut self, model: &ModelShape, members: Vec<InstanceId>, now: Millis) {
        let epoch = self.next_epoch();
        let group = groups::group_id(model.name.as_str(), epoch);
        let give_up_at = now + model.load + self.rules.patience;
        let forming = Forming { group, model: model.name.clone(), members, give_up_at };
        self.forming.insert(epoch, forming);
    }

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
            for instance in cold.iter().take(lacking) {
                self.stage_one(instance, model, s, commands);
            }
            idle.retain(|i| !quick(i) && !cold.iter().take(lacking).any(|c| c.id == i.id));
        }
        for instance in &idle {
            let is_cold = instance.loaded.is_empty() && instance.staged.is_empty();
            if let Some(model) = by_need(s, s.groups).first().filter(|_| is_cold) {
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

    /// Gives groups up that their models can spare, if another model is short of one
    /// and their members would complete it.
    pub(super) fn make_room(
        &mut self,
        s: &Situation<'_>,
        groups: &[Group],
        pool: &[Free],
        commands: &mut Vec<Command>,
    ) {
        let models = by_need(s, s.groups);
        let is_short = |model: &&&ModelShape| s.use_of(model, 0.0) > self.rules.short_above;
        let short = models.first().filter(is_short).filter(|_| !s.before_traffic);
        let rules = self.rules;
        let room = self.rooms.entry(s.domain.clone()).or_default();
        let Some(short) = short else {
            room.short_since = None;
            return;
        };
        let since = *room.short_since.get_or_insert(s.now);
        let turn = Millis(weight(s.domain.as_str().as_bytes(), b"room") % rules.short_for.0.max(1));
        let was_recent = room.made_at.is_some_and(|at| s.now.since(at) < rules.make_room_every);
        let is_turn = s.may_make_room && s.now.since(since) >= rules.short_for + turn;
        if was_recent || !is_turn || !self.forming.is_empty() {
            return;
        }
        let Some(donors) = donors(s, short, groups, pool, rules.spare_below) else { return };
        let quick = |instance: &Instance| warmth(instance, &short.name) < Warmth::Cold;
        let given = donors.iter().flat_map(|group| group.members.values());
        let own = pool.iter().map(|free| &free.instance).filter(|instance| quick(instance));
        let mut members: Vec<InstanceId> = own.map(|instance| instance.id.clone()).collect();
        members.extend(given.filter(|member| quick(member)).map(|member| member.id.clone()));
        let meant =
            Meant { model: short.name.clone(), members, until: s.now + rules.make_room_every };
        let room = self.rooms.entry(s.domain.clone()).or_default();
        room.made_at = Some(s.now);
        room.short_since = None;
        room.meant = Some(meant);
        for group in donors {
            if let Some(head) = group.head() {
                self.close(group, head, false, "another model is short of groups", s, commands);
            }
        }
    }

    /// Forms what room was made for, once its members are free.
    fn form_meant(&mut self, s: &Situation<'_>, pool: &mut Vec<Free>) {
        let Some(meant) = self.rooms.get(s.domain).and_then(|room| room.meant.clone()) else {
            return;
        };
        let is_meant = |free: &&Free| meant.members.contains(&free.instance.id);
        let own: Vec<Free> = pool.iter().filter(is_meant).cloned().collect();
        let model = s.engine.model(meant.model.as_str());
        let members = model.and_then(|model| Some((model, members_for(model, &own, false)?)));
        if let Some((model, members)) = members {
            pool.retain(|free| !members.contains(&free.instance.id));
            self.start_forming(model, members, s.now);
        } else if s.now < meant.until {
            pool.retain(|free| !meant.members.contains(&free.instance.id));
            return;
        }
        if let Some(room) = self.rooms.get_mut(s.domain) {
            room.meant = None;
        }
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
        let is_short = |model: &&&ModelShape| s.use_of(model, 0.0) > self.rules.short_above;
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

    fn stage_one(
        &mut self,
        instance: &Instance,
        model: &ModelShape,
        s: &Situation<'_>,
        commands: &mut Vec<Command>,
    ) {
        let window = self.rules.load_window.as_secs_f64();
        let most = (s.engine.loads_per_s * window * s.load_part * LOADS_USED).max(1.0);
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

    fn staging_model(&self, instance: &Instance, s: &Situation<'_>) -> Option<ModelName> {
        let (model, since) = self.staging.get(&instance.id)?;
        let load = s.engine.model(model.as_str()).map_or(Millis::ZERO, |model| model.load);
        let is_done = instance.staged.contains(model);
        let is_late = s.now.since(*since) > load + load + self.rules.patience;
        (!is_done && !is_late).then(|| model.clone())
    }

    pub(super) fn is_staging(&self, instance: &Instance, s: &Situation<'_>) -> bool {
        self.staging_model(instance, s).is_some()
    }
}

/// Part of the weight store's rate that is used: orders that are carried out late
/// fall into another window.
const LOADS_USED: f64 = 0.8;

/// The models, the one that lacks most first.
fn by_need<'a>(s: &Situation<'a>, counts: &BTreeMap<ModelName, f64>) -> Vec<&'a ModelShape> {
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
fn members_for(model: &ModelShape, pool: &[Free], may_be_cold: bool) -> Option<Vec<InstanceId>> {
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

/// Open groups of other models, enough to complete one of `short` with the pool's
/// help, and such that their models stay below `spare_below`.
fn donors<'a>(
    s: &Situation<'_>,
    short: &ModelShape,
    groups: &'a [Group],
    pool: &[Free],
    spare_below: f64,
) -> Option<Vec<&'a Group>> {
    let quick = |instance: &Instance| warmth(instance, &short.name) < Warmth::Cold;
    let mut have = pool.iter().filter(|free| quick(&free.instance)).count();
    let mut donors = Vec::new();
    let mut given: BTreeMap<&ModelName, f64> = BTreeMap::new();
    for group in groups.iter().filter(|group| group.state() == Some(MemberState::Open)) {
        let shape = s.engine.model(group.model()).filter(|shape| shape.name != short.name);
        let Some(shape) = shape else { continue };
        let less = given.get(&shape.name).copied().unwrap_or_default() + 1.0;
        let brings = group.members.values().filter(|member| quick(member)).count();
        let can_spare = s.use_of(shape, less) < spare_below;
        if have >= short.size || brings == 0 || !can_spare {
            continue;
        }
        given.insert(&shape.name, less);
        have += brings;
        donors.push(group);
    }
    (have >= short.size && !donors.is_empty()).then_some(donors)
}
