//! The table of groups that can take requests. It is rebuilt when its inputs change.
//!
//! Each row expires when the oldest report it is based on does, so a group is never
//! used on reports that have expired.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use workshold_core::fleet::Group;
use workshold_core::group_readiness;
use workshold_core::group_readiness::GroupNotReady;
use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::instance_list::InstanceList;
use workshold_core::observation::Observations;
use workshold_core::state::State;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::Version;

/// A group that can take requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServingGroup {
    /// Its name.
    pub group: GroupId,
    /// Its fencing token.
    pub fence: FencingToken,
    /// The member that requests are sent to.
    pub head: InstanceId,
    /// Address of the head, as `ip:port`.
    pub address: String,
    /// The version it runs.
    pub version: Version,
    /// Utility of its role as a fraction of the best role's, as the bundle sets it.
    pub worth: f64,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Running and queued requests in the head's last report.
    pub reported: u32,
    /// Time by this node's clock that `reported` and `slots` date from.
    pub true_since: Millis,
    /// Time by this node's clock of the oldest of the members' reports.
    pub proved_since: Millis,
    /// When the oldest report expires; from then on the group gets no requests.
    pub valid_until: Millis,
    /// Whether it is in another data centre.
    pub is_remote: bool,
}

/// All groups: those that can take requests, and those that can't.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServingTable {
    /// Groups that can take requests, by model.
    pub serving: BTreeMap<ModelName, Vec<ServingGroup>>,
    /// Groups that can't, with the reason.
    pub closed: BTreeMap<GroupId, GroupNotReady>,
}

/// Inputs of a serving table.
#[derive(Debug, Clone, Copy)]
pub struct TableInputs<'a> {
    /// State replayed from the log: groups and the bundle in force.
    pub state: &'a State,
    /// Reports of instances, and what other data centres report of their groups.
    pub observations: &'a Observations,
    /// The platform's instance list.
    pub list: &'a InstanceList,
    /// This node's data centre.
    pub data_centre: &'a DataCentre,
    /// Time of this node's clock.
    pub now: Millis,
    /// How long a report is valid.
    pub rules: GroupReadinessRules,
}

impl ServingTable {
    /// Checks every group, and puts it in the table with its address and load.
    pub fn build(inputs: &TableInputs<'_>) -> Self {
        let leaving: BTreeSet<_> = inputs
            .list
            .iter()
            .filter(|listed| listed.leaving)
            .map(|listed| listed.instance.clone())
            .collect();
        let mut table = Self::default();
        for group in inputs.state.fleet.groups() {
            match inputs.serving_group(group, &leaving) {
                Ok(row) => table.serving.entry(group.model.clone()).or_default().push(row),
                Err(why) => {
                    table.closed.insert(group.id.clone(), why);
                }
            }
        }
        table
    }

    /// The groups of `model` whose rows haven't expired at `now`.
    pub fn groups_for(
        &self,
        model: &ModelName,
        now: Millis,
    ) -> impl Iterator<Item = &ServingGroup> {
        let rows = self.serving.get(model).map(Vec::as_slice).unwrap_or_default();
        rows.iter().filter(move |row| now < row.valid_until)
    }

    /// Names of all groups that can take requests, also of rows that have expired.
    pub fn serving_ids(&self) -> BTreeSet<GroupId> {
        self.serving.values().flatten().map(|row| row.group.clone()).collect()
    }
}

/// Load of a group and the times its reports date from, by this node's clock.
struct GroupLoad {
    proved_since: Millis,
    load_since: Millis,
    reported: u32,
    slots: u32,
}

impl TableInputs<'_> {
    fn serving_group(
        &self,
        group: &Group,
        leaving: &BTreeSet<InstanceId>,
    ) -> Result<ServingGroup, GroupNotReady> {
        let head = &group.head().instance;
        let unseen = || GroupNotReady::Unseen(head.clone());
        let listed = self.list.find(head).ok_or_else(unseen)?;
        let is_remote = &listed.data_centre != self.data_centre;
        let load = if is_remote {
            self.remote_load(group, leaving)?
        } else {
            group_readiness::check_group(group, self.observations, leaving, self.now, self.rules)?;
            self.local_load(group).ok_or_else(unseen)?
        };
        Ok(ServingGroup {
            group: group.id.clone(),
            fence: group.fence,
            head: head.clone(),
            address: listed.address.clone(),
            version: group.version.clone(),
            worth: self.worth(group),
            slots: load.slots,
            reported: load.reported,
            true_since: load.load_since,
            proved_since: load.proved_since,
            valid_until: load.proved_since + self.rules.report_ttl,
            is_remote,
        })
    }

    /// For a group in this data centre: from its members' own reports. The load is the
    /// head's; the age of the evidence is that of the oldest report.
    fn local_load(&self, group: &Group) -> Option<GroupLoad> {
        let members = group.members.iter();
        let reports = members.map(|member| self.observations.get(&member.instance));
        let oldest = reports.map(|observation| observation.map(|w| w.true_since)).min()??;
        let head = self.observations.get(&group.head().instance)?;
        Some(GroupLoad {
            proved_since: oldest,
            load_since: head.true_since,
            reported: head.report.running + head.report.queued,
            slots: head.report.slots,
        })
    }

    /// For a group in another data centre: from what a node there has observed.
    fn remote_load(
        &self,
        group: &Group,
        leaving: &BTreeSet<InstanceId>,
    ) -> Result<GroupLoad, GroupNotReady> {
        let group_observation = group_readiness::check_remote_group(
            group,
            self.observations,
            leaving,
            self.now,
            self.rules,
        )?;
        Ok(GroupLoad {
            proved_since: group_observation.true_since,
            load_since: group_observation.load_since,
            reported: group_observation.reported,
            slots: group_observation.slots,
        })
    }

    fn worth(&self, group: &Group) -> f64 {
        let in_force = self.state.bundles.in_force();
        let model = in_force.and_then(|in_force| in_force.bundle.models.get(&group.model));
        model.and_then(|model| model.role(&group.role)).map_or(1.0, |role| role.worth)
    }
}
