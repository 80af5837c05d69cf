//! What a steward looks at, and the times that it keeps to.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::hosted::catalog::Engine;
use crate::hosted::catalog::ModelShape;
use crate::hosted::groups::Group;
use crate::hosted::roster::Entry;
use crate::hosted::roster::ListTrust;
use crate::hosted::suspicion::Loss;

/// The times that a steward keeps to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StewardRules {
    /// An order that shows no effect is sent again after this.
    pub order_again: Millis,
    /// An order to load, after this.
    pub load_again: Millis,
    /// Before traffic, the list must have been quiet for this long.
    pub list_settles: Millis,
    /// A formation that is not whole after its load and this is given up.
    pub patience: Millis,
    /// The window in which loads are counted.
    pub load_window: Millis,
    /// A domain gives groups of one model up for another no more often than this.
    pub make_room_every: Millis,
    /// How long a model has to be short of groups before a domain gives some up; up
    /// to twice that, by domain, so that not all do at once.
    pub short_for: Millis,
    /// A model whose groups are used above this share is short of groups.
    pub short_above: f64,
    /// So is one whose groups are used above this share, if those of the model that
    /// would give some up are used far less.
    pub uneven_above: f64,
    /// How many times less.
    pub uneven_factor: f64,
    /// One domain of all gives groups up in this time for each group that is wanted: as
    /// long as it takes to form one and to see what it brings.
    pub room_every: Millis,
    /// A model whose groups would still be used below this share can spare one.
    pub spare_below: f64,
}

impl Default for StewardRules {
    fn default() -> Self {
        Self {
            order_again: Millis(180),
            load_again: Millis(600),
            list_settles: Millis(700),
            patience: Millis(4_000),
            load_window: Millis(5_000),
            make_room_every: Millis(4_000),
            short_for: Millis(500),
            short_above: 0.8,
            uneven_above: 0.5,
            uneven_factor: 1.5,
            room_every: Millis(2_500),
            spare_below: 0.6,
        }
    }
}

/// All that a steward looks at in one domain.
#[derive(Clone, Copy)]
pub struct Situation<'a> {
    /// The domain.
    pub domain: &'a FabricDomain,
    /// What the operator says of the engines.
    pub engine: &'a Engine,
    /// The domain's engines.
    pub entries: &'a [&'a Entry],
    /// Whether entries can be taken at their word.
    pub trust: &'a ListTrust,
    /// Who cannot be reached.
    pub loss: &'a dyn Fn(&InstanceId) -> Loss,
    /// Who was seen as the head of a formation.
    pub head_of: &'a dyn Fn(&Group) -> Option<InstanceId>,
    /// Since when somebody could not reach them.
    pub doubted_since: &'a dyn Fn(&InstanceId) -> Option<Millis>,
    /// Groups' worth of work that waits or runs, by model, over all domains.
    pub demand: &'a BTreeMap<ModelName, f64>,
    /// Groups that serve or will, by model, over all domains.
    pub groups: &'a BTreeMap<ModelName, f64>,
    /// Whether no request has come yet: loads are quick and free.
    pub before_traffic: bool,
    /// How long ago any domain gave groups up: what that brings is not seen at once, and
    /// all domains see the same want.
    pub since_room: Millis,
    /// Whether no other domain fetches weights so that groups can be given up.
    pub may_prepare: bool,
    /// This steward's part of all loads, 0 to 1.
    pub load_part: f64,
    /// When an instance last appeared.
    pub last_new: Millis,
    /// The clock.
    pub now: Millis,
}

/// Until all other nodes have been asked whether they reach an instance, and have
/// answered: one that any of them reaches is not gone.
const ALL_ARE_ASKED: Millis = Millis(300);
/// An instance that leaves may finish requests for this long after it has stopped
/// taking connections: longer than any request may take.
pub(super) const LEAVING_LINGERS: Millis = Millis(10_500);

impl<'a> Situation<'a> {
    /// How far the groups of a model are used if it had `less` of them.
    pub(super) fn use_of(&self, model: &ModelShape, less: f64) -> f64 {
        let demand = self.demand.get(&model.name).copied().unwrap_or_default();
        let count = self.groups.get(&model.name).copied().unwrap_or_default() - less;
        if count > 0.0 { demand / count } else { f64::INFINITY }
    }

    /// Whether a model is short of groups: hardly any is left over, or other models have
    /// far more left over.
    pub(super) fn is_short(&self, model: &ModelShape, rules: &StewardRules) -> bool {
        let own = self.use_of(model, 0.0);
        let others = self.engine.models.iter().filter(|other| other.name != model.name);
        let least = others.map(|other| self.use_of(other, 1.0)).fold(f64::INFINITY, f64::min);
        let is_uneven = own > rules.uneven_above && own > least * rules.uneven_factor;
        own > rules.short_above || is_uneven
    }

    /// Groups that a model lacks to be no longer short.
    pub(super) fn lacking(&self, model: &ModelShape, rules: &StewardRules) -> f64 {
        let demand = self.demand.get(&model.name).copied().unwrap_or_default();
        let groups = self.groups.get(&model.name).copied().unwrap_or_default();
        (demand / rules.short_above - groups).ceil().max(1.0)
    }

    pub(super) fn entry(&self, id: &InstanceId) -> Option<&'a Entry> {
        self.entries.iter().copied().find(|entry| &entry.instance.id == id)
    }

    /// Whether an instance is known to be gone, or out of reach of several nodes.
    pub(super) fn is_lost(&self, id: &InstanceId) -> bool {
        (self.loss)(id) >= Loss::Confirmed
    }

    /// Whether an instance is gone for sure: its process has ended, or neither the
    /// platform nor any of several nodes hears of it. A head that is only out of our
    /// reach may still serve, and its members are not free.
    ///
    /// One that was leaving refuses connections while it finishes what it has.
    pub(super) fn is_gone(&self, id: &InstanceId) -> bool {
        let loss = (self.loss)(id);
        let since = (self.doubted_since)(id).unwrap_or(self.now);
        if loss > Loss::None && self.now.since(since) < ALL_ARE_ASKED {
            return false;
        }
        let entry = self.entry(id);
        let unlisted = entry.and_then(|entry| entry.unlisted_since);
        let was_leaving = entry.is_some_and(|entry| entry.instance.is_leaving)
            || unlisted.is_some_and(|unlisted| unlisted < since);
        if was_leaving {
            return loss >= Loss::Confirmed && self.now.since(since) >= LEAVING_LINGERS;
        }
        loss == Loss::Ended || (loss == Loss::Confirmed && (unlisted.is_some() || entry.is_none()))
    }

    /// Whether an instance may be put into a group.
    pub(super) fn can_serve(&self, entry: &Entry) -> bool {
        entry.is_in_service(self.trust, self.now) && (self.loss)(&entry.instance.id) == Loss::None
    }

    pub(super) fn has_lost_member(&self, group: &Group) -> bool {
        let size = self.engine.model(group.model()).map_or(1, |model| model.size);
        (0..size).any(|rank| match group.members.get(&rank) {
            Some(member) => self.is_lost(&member.id),
            None => true,
        })
    }

    /// Whether a member will end. One that the list lacks, but that answers, may only
    /// be cut off from the store; as long as it is not the head, nothing goes to it.
    pub(super) fn has_leaving_member(&self, group: &Group) -> bool {
        group.members.iter().any(|(rank, member)| {
            let entry = self.entry(&member.id);
            entry.is_none_or(|entry| {
                let is_there = *rank > 0 || entry.is_there(self.trust, self.now);
                entry.instance.is_leaving || !is_there
            })
        })
    }
}
