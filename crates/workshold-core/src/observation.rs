//! What instances said of themselves, and how long that can be believed.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::Fence;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::Report;

/// A report and since when it is known to have been true.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Observation {
    /// By this node's clock: the probe was sent no earlier, less the lag that
    /// the instance admits. What the report says was true at some time since.
    pub true_since: Millis,
    /// When this node first had it.
    pub seen: Millis,
    /// The report.
    pub report: Report,
}

impl Observation {
    /// Whether it is younger than `ttl`.
    pub fn is_fresh(&self, now: Millis, ttl: Millis) -> bool {
        now.since(self.true_since) < ttl
    }
}

/// What a node of another data centre judged of a group there.
///
/// It was judged by the reports of every member; `true_since` is that of the
/// oldest, counted as for any report that is passed on. So it is believed no
/// longer than the reports themselves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupObservation {
    /// The fencing number of the group that was judged.
    pub fence: Fence,
    /// Since when all members' reports are known to have been true.
    pub true_since: Millis,
    /// Since when the load is known to have been so.
    pub load_since: Millis,
    /// Requests in the group.
    pub reported: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// The last report of each instance, and the vouchers for groups elsewhere.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Observations {
    by_instance: BTreeMap<InstanceId, Observation>,
    group_observations: BTreeMap<GroupId, GroupObservation>,
}

impl Observations {
    /// Takes a report whose probe was sent at `sent`, by this node's clock.
    ///
    /// For a report passed on by a peer, `sent` is when the peer was *asked*
    /// less the age that it gave. Of two with the same time, the later to come
    /// counts. Returns whether the report was news.
    pub fn take(
        &mut self,
        instance: &InstanceId,
        sent: Millis,
        seen: Millis,
        report: Report,
    ) -> bool {
        let true_since = sent - report.lag;
        let newer = self.get(instance).is_none_or(|known| known.true_since <= true_since);
        if newer {
            self.by_instance.insert(instance.clone(), Observation { true_since, seen, report });
        }
        newer
    }

    /// The last report of `instance`, however old.
    pub fn get(&self, instance: &InstanceId) -> Option<&Observation> {
        self.by_instance.get(instance)
    }

    /// The last report of `instance` if it is younger than `ttl`.
    pub fn fresh(&self, instance: &InstanceId, now: Millis, ttl: Millis) -> Option<&Observation> {
        self.get(instance).filter(|observation| observation.is_fresh(now, ttl))
    }

    /// Takes a voucher for a group; the newest counts.
    pub fn record_group(&mut self, group: &GroupId, group_observation: GroupObservation) {
        let known = self.group_observations.get(group);
        if known.is_none_or(|known| known.true_since <= group_observation.true_since) {
            self.group_observations.insert(group.clone(), group_observation);
        }
    }

    /// The voucher for a group under `fence`, if it is younger than `ttl`.
    pub fn group_observation(
        &self,
        group: &GroupId,
        fence: Fence,
        now: Millis,
        ttl: Millis,
    ) -> Option<&GroupObservation> {
        let group_observation = self.group_observations.get(group)?;
        let is_good =
            group_observation.fence == fence && now.since(group_observation.true_since) < ttl;
        is_good.then_some(group_observation)
    }

    /// All reports.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Observation)> {
        self.by_instance.iter()
    }

    /// Drops those that are older than `age`.
    pub fn drop_older(&mut self, now: Millis, age: Millis) {
        self.by_instance.retain(|_, observation| observation.is_fresh(now, age));
        self.group_observations
            .retain(|_, group_observation| now.since(group_observation.true_since) < age);
    }
}
