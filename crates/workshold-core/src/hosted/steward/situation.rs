//! What a steward looks at, and the times that it keeps to.

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;

use crate::hosted::groups::Group;
use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::roster::Entry;
use crate::hosted::roster::ListTrust;
use crate::hosted::serving_config::Engine;
use crate::hosted::suspicion::Loss;

/// The times that a steward keeps to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StewardRules {
    /// An order that shows no effect is sent again after this.
    pub order_again: Millis,
    /// An order to load, after this.
    pub load_again: Millis,
    /// All domains are planned for anew after this, if nothing of the steward's own
    /// changes before.
    pub plan_again: Millis,
    /// Before traffic, the list must have been quiet for this long.
    pub list_settles: Millis,
    /// A formation that is not whole after its load and this is given up.
    pub patience: Millis,
    /// The window in which loads are counted.
    pub load_window: Millis,
}

impl Default for StewardRules {
    fn default() -> Self {
        Self {
            order_again: Millis(180),
            load_again: Millis(600),
            plan_again: Millis(500),
            list_settles: Millis(700),
            patience: Millis(4_000),
            load_window: Millis(5_000),
        }
    }
}

/// All that a steward looks at in one domain.
#[derive(Clone, Copy)]
pub struct DomainContext<'a> {
    /// The domain.
    pub domain: &'a FabricDomain,
    /// What the operator says of the engines.
    pub engine: &'a Engine,
    /// The domain's engines.
    pub entries: &'a [&'a Entry],
    /// Whether entries can be taken at their word.
    pub trust: &'a ListTrust,
    /// Who cannot be reached.
    pub loss: &'a dyn Fn(&Identity) -> Loss,
    /// Who was seen as the head of a formation.
    pub head_of: &'a dyn Fn(&Group) -> Option<Identity>,
    /// Whether all nodes were asked whether they reach an instance, and had the time to say
    /// so; asking is begun where it was not.
    pub all_peers_asked: &'a dyn Fn(&Identity) -> bool,
    /// Whether a member of a formation has begun anew.
    pub has_restarted_member: &'a dyn Fn(&Group) -> bool,
    /// Since when somebody could not reach them.
    pub suspected_since: &'a dyn Fn(&Identity) -> Option<Millis>,
    /// All other domains, by name; worked out only for a plan over all of them.
    pub others: &'a dyn Fn() -> Vec<planner::Domain>,
    /// The models with what groups of them are worth, in the operator's order; likewise.
    pub models: &'a dyn Fn() -> Vec<planner::Model>,
    /// Whether what is asked has been seen for long enough to close groups by it.
    pub may_close: bool,
    /// Whether no request has come yet: loads are quick and free.
    pub before_traffic: bool,
    /// This steward's part of all loads, 0 to 1.
    pub load_share: f64,
    /// When an instance last appeared.
    pub last_arrival_at: Millis,
    /// The clock.
    pub now: Millis,
}

/// Until all other nodes have been asked whether they reach an instance, and have
/// answered: one that any of them reaches is not gone.
const ALL_ARE_ASKED: Millis = Millis(300);
/// An instance that leaves may finish requests for this long after it has stopped
/// taking connections: longer than any request may take.
pub(super) const LEAVING_LINGERS: Millis = Millis(10_500);

impl<'a> DomainContext<'a> {
    pub(super) fn entry(&self, id: &Identity) -> Option<&'a Entry> {
        self.entries.iter().copied().find(|entry| &entry.instance.identity == id)
    }

    /// Whether an instance is known to be gone, or out of reach of several nodes.
    pub(super) fn is_lost(&self, id: &Identity) -> bool {
        (self.loss)(id) >= Loss::Confirmed
    }

    /// The same once all others have had the time to say that they reach it.
    fn is_lost_to_all(&self, id: &Identity) -> bool {
        self.is_lost(id) && self.doubted_for(id) >= ALL_ARE_ASKED
    }

    /// Whether an instance is gone for sure: another life has begun at its id, or neither
    /// the platform nor any of several nodes hears of it. A head that is only out of our
    /// reach, silent or refused, may still serve, and its members are not free: its entry
    /// lapses only once it has missed its check-ins.
    pub(super) fn is_gone(&self, id: &Identity) -> bool {
        let loss = (self.loss)(id);
        if loss > Loss::None && self.doubted_for(id) < ALL_ARE_ASKED {
            return false;
        }
        let is_gone = if self.was_leaving(id) {
            loss >= Loss::Confirmed && !self.may_finish(id)
        } else {
            let entry = self.entry(id);
            let is_unlisted = entry.is_none_or(|entry| entry.unlisted_since.is_some());
            loss == Loss::Ended || (loss == Loss::Confirmed && is_unlisted)
        };
        // A few nodes try an instance for all; one that none of them reaches may serve others.
        is_gone && (self.all_peers_asked)(id)
    }

    /// Whether an instance that takes no connections may only finish what it has: it was
    /// leaving before, and has not had the time for it yet.
    fn may_finish(&self, id: &Identity) -> bool {
        self.was_leaving(id) && self.doubted_for(id) < LEAVING_LINGERS
    }

    /// Whether an instance was leaving when it was last reached, by its own word or by
    /// the list, or may have been without the list's saying so.
    fn was_leaving(&self, id: &Identity) -> bool {
        let entry = self.entry(id);
        let since = self.suspected_since(id);
        let unlisted = entry.and_then(|entry| entry.unlisted_since);
        // What is missing after an outage may have gone at any time in it.
        let is_unsure = (self.loss)(id) > Loss::None && self.trust.may_be_incomplete(since);
        entry.is_some_and(Entry::is_leaving)
            || unlisted.is_some_and(|unlisted| unlisted < since)
            || is_unsure
    }

    fn suspected_since(&self, id: &Identity) -> Millis {
        (self.suspected_since)(id).unwrap_or(self.now)
    }

    fn doubted_for(&self, id: &Identity) -> Millis {
        self.now.since(self.suspected_since(id))
    }

    /// Whether an instance may be put into a group.
    pub(super) fn can_serve(&self, entry: &Entry) -> bool {
        entry.is_in_service(self.trust, self.now)
            && (self.loss)(&entry.instance.identity) == Loss::None
    }

    /// Whether a group stands still for good, or soon will: then what runs there can be
    /// cut off. A member that finishes holds nobody up, although nobody can connect to it;
    /// and two nodes whose own links are full agree sooner than the others can answer.
    pub(super) fn has_lost_member(&self, group: &Group) -> bool {
        if (self.has_restarted_member)(group) {
            return true;
        }
        let is_lost = |id| self.is_lost_to_all(id) && !self.may_finish(id);
        group.members.values().any(|member| is_lost(&member.identity))
    }

    /// Whether a member will end, or may be about to: the list says nothing of it. One
    /// that the list lacks, but that answers, may only be cut off from the store; as long
    /// as it is not the head, nothing goes to it.
    pub(super) fn has_leaving_member(&self, group: &Group) -> bool {
        let size = self.engine.model(group.model()).map_or(1, |model| model.size);
        (0..size).any(|rank| {
            let member = group.members.get(&rank);
            let entry = member.and_then(|member| self.entry(&member.identity));
            entry.is_none_or(|entry| {
                let is_present = rank > 0 || entry.is_present(self.trust, self.now);
                let is_unreachable = self.is_lost_to_all(&entry.instance.identity);
                let is_unreadable = entry.is_unreadable_for_long(self.now);
                entry.is_leaving() || !is_present || is_unreachable || is_unreadable
            })
        })
    }
}
