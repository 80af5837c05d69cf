//! The last report of each instance, with the time for which it is known to be valid.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::Report;

/// A report received from an instance, directly or through another node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Observation {
    /// Lower bound, by this node's clock, of the time at which the report was true: the
    /// time at which the probe was sent, less the lag that the instance itself states.
    pub true_since: Millis,
    /// When this node received it.
    pub seen: Millis,
    /// The report itself.
    pub report: Report,
}

impl Observation {
    /// Whether it is certainly younger than `ttl`.
    pub fn is_fresh(&self, now: Millis, ttl: Millis) -> bool {
        now.since(self.true_since) < ttl
    }
}

/// A group of another data centre that a node there found ready.
///
/// That node has checked the reports of all members. `true_since` is that of the
/// oldest report, adjusted as for any report that is passed on, so the result counts
/// no longer than the reports themselves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupObservation {
    /// The fencing token of the group that was checked.
    pub fence: FencingToken,
    /// Lower bound of the time at which the oldest member's report was true.
    pub true_since: Millis,
    /// The same for the head's report, which states the load.
    pub load_since: Millis,
    /// Requests in the group, running and queued.
    pub reported: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// The last report of each instance, and of each remote group the last check that
/// found it ready.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Observations {
    by_instance: BTreeMap<InstanceId, Observation>,
    by_group: BTreeMap<GroupId, GroupObservation>,
}

impl Observations {
    /// Stores a report whose probe was sent at `sent`, by this node's clock.
    ///
    /// For a report passed on by a peer, `sent` is the time at which the peer was
    /// *asked*, less the age that it stated. Of two reports with the same time, the one
    /// received later is kept. Returns whether the report was stored.
    pub fn take(
        &mut self,
        instance: &InstanceId,
        sent: Millis,
        seen: Millis,
        report: Report,
    ) -> bool {
        let true_since = sent - report.lag;
        let is_newer = self.get(instance).is_none_or(|known| known.true_since <= true_since);
        if is_newer {
            self.by_instance.insert(instance.clone(), Observation { true_since, seen, report });
        }
        is_newer
    }

    /// The last report of `instance`, however old.
    pub fn get(&self, instance: &InstanceId) -> Option<&Observation> {
        self.by_instance.get(instance)
    }

    /// The last report of `instance` if it is younger than `ttl`.
    pub fn fresh(&self, instance: &InstanceId, now: Millis, ttl: Millis) -> Option<&Observation> {
        self.get(instance).filter(|observation| observation.is_fresh(now, ttl))
    }

    /// Stores the check of a remote group unless a newer one is known.
    pub fn record_group(&mut self, group: &GroupId, group_observation: GroupObservation) {
        let known = self.by_group.get(group);
        if known.is_none_or(|known| known.true_since <= group_observation.true_since) {
            self.by_group.insert(group.clone(), group_observation);
        }
    }

    /// The check of a remote group with this fencing token, if it is younger than `ttl`.
    pub fn group_observation(
        &self,
        group: &GroupId,
        fence: FencingToken,
        now: Millis,
        ttl: Millis,
    ) -> Option<&GroupObservation> {
        let group_observation = self.by_group.get(group)?;
        let is_valid =
            group_observation.fence == fence && now.since(group_observation.true_since) < ttl;
        is_valid.then_some(group_observation)
    }

    /// All reports, however old.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Observation)> {
        self.by_instance.iter()
    }

    /// Drops reports and group checks that are not younger than `age`.
    pub fn remove_older_than(&mut self, now: Millis, age: Millis) {
        self.by_instance.retain(|_, observation| observation.is_fresh(now, age));
        self.by_group.retain(|_, group_observation| now.since(group_observation.true_since) < age);
    }
}
