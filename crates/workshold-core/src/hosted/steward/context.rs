//! Input of a steward's planning round, and its timings.

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;

use crate::hosted::groups::Group;
use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::roster::Entry;
use crate::hosted::roster::ListTrust;
use crate::hosted::serving_config::Engine;
use crate::hosted::suspicion::Loss;

/// Timings of a steward.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StewardTimings {
    /// Delay before an order that shows no effect is sent again.
    pub order_retry_delay: Millis,
    /// The same for an order to fetch weights.
    pub stage_retry_delay: Millis,
    /// Interval between plans over all domains while the steward's own domain does not change.
    pub replan_interval: Millis,
    /// How long no instance may have been added to the list before the first groups are formed,
    /// before traffic.
    pub list_quiet_time: Millis,
    /// How long after the model's load time a group that is still not complete is given up.
    pub formation_grace: Millis,
    /// How long after a member has left its group the head has stopped serving at the latest.
    pub group_break_time: Millis,
    /// Sliding window in which weight loads are counted for the rate limit.
    pub load_rate_window: Millis,
}

impl Default for StewardTimings {
    fn default() -> Self {
        Self {
            order_retry_delay: Millis(180),
            stage_retry_delay: Millis(600),
            replan_interval: Millis(500),
            list_quiet_time: Millis(700),
            formation_grace: Millis(4_000),
            group_break_time: Millis(6_500),
            load_rate_window: Millis(5_000),
        }
    }
}

/// Input of a planning round for one domain.
#[derive(Clone, Copy)]
pub struct DomainContext<'a> {
    /// Name of the domain.
    pub domain: &'a FabricDomain,
    /// Configured properties of the service's engines.
    pub engine: &'a Engine,
    /// The domain's instances, as listed.
    pub entries: &'a [&'a Entry],
    /// How far the instance list can be trusted after store outages.
    pub trust: &'a ListTrust,
    /// How certain it is that an instance cannot be reached.
    pub loss: &'a dyn Fn(&Identity) -> Loss,
    /// The instance last seen as the head of a group, if any was.
    pub head_of: &'a dyn Fn(&Group) -> Option<Identity>,
    /// Whether all nodes have been asked whether they reach an instance and have had time to
    /// reply. The call starts asking where this has not happened yet.
    pub all_peers_asked: &'a dyn Fn(&Identity) -> bool,
    /// Whether this node and all others have probed an instance since a given time and none of them
    /// reached it. The call starts asking where this has not happened yet.
    pub is_unreached_since: &'a dyn Fn(&Identity, Millis) -> bool,
    /// Whether a member of a group has restarted since the group was formed.
    pub has_restarted_member: &'a dyn Fn(&Group) -> bool,
    /// Since when some node has not reached an instance; `None` if all do.
    pub suspected_since: &'a dyn Fn(&Identity) -> Option<Millis>,
    /// All other domains, ordered by name; computed only for a plan over all of them.
    pub others: &'a dyn Fn() -> Vec<planner::Domain>,
    /// The models with the utility of their groups, in the order of the configuration; computed
    /// on demand, too.
    pub models: &'a dyn Fn() -> Vec<planner::Model>,
    /// Whether demand has been observed for long enough to close groups because of it.
    pub may_close: bool,
    /// Whether the domain's data centre is evacuated: its instances then get no new work, and
    /// groups there stay as they are.
    pub is_evacuated: bool,
    /// Whether no request has arrived yet: until then, loading weights is fast and costs nothing.
    pub before_traffic: bool,
    /// This steward's share of the fleet's weight loads, 0 to 1.
    pub load_share: f64,
    /// When an instance was last added to the list.
    pub last_arrival_at: Millis,
    /// Current time.
    pub now: Millis,
}

/// Time until all other nodes have been asked whether they reach an instance and have replied.
/// An instance that any of them reaches is not gone.
const PEER_PROBE_TIME: Millis = Millis(300);
/// What is known of the process of a group's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadProcess {
    /// It may serve: it is listed, or some node reaches it, or it may be draining.
    MayServe,
    /// Since this time it is neither listed nor reached by any node that was asked. It has ended, or
    /// its paths to the store and to the nodes have failed.
    Missing {
        /// When the second of both signs appeared.
        since: Millis,
    },
    /// It has ended.
    Ended,
}

/// How long a leaving instance may go on with its requests after it has stopped accepting
/// connections: longer than any request may take.
pub(super) const LEAVING_DRAIN_TIME: Millis = Millis(10_500);

impl<'a> DomainContext<'a> {
    /// The list's entry for an instance of this domain.
    pub(super) fn entry(&self, id: &Identity) -> Option<&'a Entry> {
        self.entries.iter().copied().find(|entry| &entry.instance.identity == id)
    }

    /// Whether an instance is known to be gone, or several nodes cannot reach it.
    pub(super) fn is_lost(&self, id: &Identity) -> bool {
        (self.loss)(id) >= Loss::Confirmed
    }

    /// Like [`Self::is_lost`], but only after all other nodes have had time to report that they
    /// reach it.
    fn is_lost_to_all_peers(&self, id: &Identity) -> bool {
        self.is_lost(id) && self.suspected_for(id) >= PEER_PROBE_TIME
    }

    /// What is known of the process of a head. Only a newer incarnation under its id proves that it
    /// has ended: to be unlisted and to be reached by no node are both signs of its paths, which can
    /// fail together.
    pub(super) fn head_process(&self, id: &Identity) -> HeadProcess {
        if self.has_restarted(id) {
            return HeadProcess::Ended;
        }
        let loss = (self.loss)(id);
        let is_probed = self.suspected_for(id) >= PEER_PROBE_TIME;
        if loss < Loss::Confirmed || !is_probed || self.may_be_draining(id) {
            return HeadProcess::MayServe;
        }
        if loss == Loss::Ended {
            // Only a few nodes probe an instance on behalf of all; it may still serve the others.
            let is_known = (self.all_peers_asked)(id);
            return if is_known { HeadProcess::Ended } else { HeadProcess::MayServe };
        }
        if self.may_have_been_leaving(id) {
            return HeadProcess::Missing { since: self.suspected_since(id) + LEAVING_DRAIN_TIME };
        }
        match self.entry(id).map(|entry| entry.unlisted_since) {
            Some(None) => HeadProcess::MayServe,
            Some(Some(since)) => HeadProcess::Missing { since },
            None => HeadProcess::Missing { since: self.suspected_since(id) },
        }
    }

    /// Whether the list has another incarnation of an instance.
    fn has_restarted(&self, id: &Identity) -> bool {
        let same_id = self.entries.iter().map(|entry| &entry.instance.identity);
        same_id.filter(|other| other.id == id.id).any(|other| other != id)
    }

    /// Whether an instance that accepts no connections may still be draining: it was leaving
    /// before, and [`LEAVING_DRAIN_TIME`] has not passed yet.
    fn may_be_draining(&self, id: &Identity) -> bool {
        self.may_have_been_leaving(id) && self.suspected_for(id) < LEAVING_DRAIN_TIME
    }

    /// Whether an instance was leaving when it was last reached: it reported so, or its list entry
    /// had been removed, or the list may be missing such a change.
    fn may_have_been_leaving(&self, id: &Identity) -> bool {
        let entry = self.entry(id);
        let since = self.suspected_since(id);
        let unlisted = entry.and_then(|entry| entry.unlisted_since);
        // An instance missing after a store outage may have left at any time during it.
        let is_unsure = (self.loss)(id) > Loss::None && self.trust.may_be_incomplete(since);
        entry.is_some_and(Entry::is_leaving)
            || unlisted.is_some_and(|unlisted| unlisted < since)
            || is_unsure
    }

    /// Since when some node has not reached an instance; now if all do.
    fn suspected_since(&self, id: &Identity) -> Millis {
        (self.suspected_since)(id).unwrap_or(self.now)
    }

    /// How long some node has not reached an instance.
    fn suspected_for(&self, id: &Identity) -> Millis {
        self.now.since(self.suspected_since(id))
    }

    /// Whether an instance can be put into a group.
    pub(super) fn can_serve(&self, entry: &Entry) -> bool {
        !self.is_evacuated
            && entry.is_in_service(self.trust, self.now)
            && (self.loss)(&entry.instance.identity) == Loss::None
    }

    /// Whether a group has lost a member, so that its requests make no progress, or soon will
    /// not, and can be aborted.
    ///
    /// A draining member does not count: it still works for its head, although nobody can connect
    /// to it. All nodes are asked first, because two nodes whose own links are congested agree on
    /// a loss sooner than the others can contradict them.
    pub(super) fn has_lost_member(&self, group: &Group) -> bool {
        if (self.has_restarted_member)(group) {
            return true;
        }
        let is_lost = |id| self.is_lost_to_all_peers(id) && !self.may_be_draining(id);
        group.members.values().any(|member| is_lost(&member.identity))
    }

    /// Whether a member is leaving, or may be because the list does not have it.
    ///
    /// A member that is not listed but can be reached may only have lost its connection to the
    /// store. Unless it is the head, it needs no listing, since no requests are routed to it.
    pub(super) fn has_leaving_member(&self, group: &Group) -> bool {
        let size = group.model(self.engine).map_or(1, |model| model.size);
        (0..size).any(|rank| {
            let member = group.members.get(&rank);
            let entry = member.and_then(|member| self.entry(&member.identity));
            entry.is_none_or(|entry| {
                let is_present = rank > 0 || entry.is_present(self.trust, self.now);
                let is_unreachable = self.is_lost_to_all_peers(&entry.instance.identity);
                let is_unreadable = entry.is_unreadable_for_long(self.trust, self.now);
                entry.is_leaving() || !is_present || is_unreachable || is_unreadable
            })
        })
    }
}
