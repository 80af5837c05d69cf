//! Giving groups up for a model that is short of them.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::hosted::catalog::ModelShape;
use crate::hosted::groups::Group;
use crate::hosted::roster::Instance;
use crate::hosted::roster::MemberState;
use crate::rendezvous::weight;

use super::Command;
use super::Meant;
use super::Situation;
use super::Steward;
use super::choosing::Free;
use super::choosing::Warmth;
use super::choosing::by_need;
use super::choosing::members_for;
use super::choosing::warmth;

impl Steward {
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
        let is_short = |model: &&&ModelShape| s.is_short(model, &self.rules);
        let short = models.first().filter(is_short).filter(|_| !s.before_traffic);
        let rules = self.rules;
        let room = self.rooms.entry(s.domain.clone()).or_default();
        let Some(short) = short else {
            room.short_since = None;
            room.prepares = false;
            return;
        };
        let since = *room.short_since.get_or_insert(s.now);
        let turn = Millis(weight(s.domain.as_str().as_bytes(), b"room") % rules.short_for.0.max(1));
        let was_recent = room.made_at.is_some_and(|at| s.now.since(at) < rules.make_room_every);
        let is_turn = s.now.since(since) >= rules.short_for + turn;
        if was_recent || !is_turn || !self.forming.is_empty() {
            return;
        }
        let Some(donors) = donors(s, short, groups, pool, rules.spare_below) else {
            self.prepare(s, short, groups, pool, commands);
            return;
        };
        let lacking = s.lacking(short, &rules);
        if s.since_room < Millis((rules.room_every.0 as f64 / lacking) as u64) {
            return;
        }
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
        room.prepares = false;
        room.meant = Some(meant);
        for group in donors {
            if let Some(head) = group.head() {
                self.close(group, head, false, "another model is short of groups", s, commands);
            }
        }
    }

    /// Forms what room was made for, once its members are free.
    pub(super) fn form_meant(&mut self, s: &Situation<'_>, pool: &mut Vec<Free>) {
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

    /// Fetches the short model's weights to hosts of groups that could be given up,
    /// which serve on meanwhile. One domain of all does so at a time.
    fn prepare(
        &mut self,
        s: &Situation<'_>,
        short: &ModelShape,
        groups: &[Group],
        pool: &[Free],
        commands: &mut Vec<Command>,
    ) {
        let is_own_turn = self.rooms.get(s.domain).is_some_and(|room| room.prepares);
        if !is_own_turn && !s.may_prepare {
            return;
        }
        let chosen = candidates(s, short, groups, pool, self.rules.spare_below);
        let is_enough = chosen.len() >= short.size;
        let room = self.rooms.entry(s.domain.clone()).or_default();
        room.prepares = is_enough;
        if !is_enough {
            return;
        }
        room.prepared_at = Some(s.now);
        let cold = |instance: &&Instance| warmth(instance, &short.name) == Warmth::Cold;
        for instance in chosen.into_iter().take(short.size).filter(cold) {
            if self.staging_model(instance, s).is_none() {
                self.stage_one(instance, short, s, commands);
            }
        }
    }
}

/// Instances that could make up a group of `short`, those who need no load first:
/// free ones, and members of groups that their models can spare.
fn candidates<'a>(
    s: &Situation<'_>,
    short: &ModelShape,
    groups: &'a [Group],
    pool: &'a [Free],
    spare_below: f64,
) -> Vec<&'a Instance> {
    let mut chosen: Vec<&Instance> = pool.iter().map(|free| free.instance.as_ref()).collect();
    let mut given: BTreeMap<&ModelName, f64> = BTreeMap::new();
    for group in groups.iter().filter(|group| group.state() == Some(MemberState::Open)) {
        let shape = s.engine.model(group.model()).filter(|shape| shape.name != short.name);
        let Some(shape) = shape else { continue };
        let less = given.get(&shape.name).copied().unwrap_or_default() + 1.0;
        if s.use_of(shape, less) < spare_below {
            given.insert(&shape.name, less);
            chosen.extend(group.members.values().map(AsRef::as_ref));
        }
    }
    chosen.sort_by_key(|instance| warmth(instance, &short.name));
    chosen
}

/// Open groups of other models, enough to complete one of `short` with the pool's
/// help, and such that their models stay below `spare_below`.
pub(super) fn donors<'a>(
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
