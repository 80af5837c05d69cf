//! The table of groups that serve, made anew whenever something changed.
//!
//! Each row says until when it may be used: the freshness of the oldest report
//! that it stands on. So a row is never believed longer than a report is.

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

/// A group that serves.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServingGroup {
    /// Its name.
    pub group: GroupId,
    /// Its fencing number.
    pub fence: FencingToken,
    /// The member that serves callers.
    pub head: InstanceId,
    /// Where that listens.
    pub address: String,
    /// The version it runs.
    pub version: Version,
    /// Share of a full group's worth.
    pub worth: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests in it when it last reported.
    pub reported: u32,
    /// Since when that is true.
    pub true_since: Millis,
    /// Since when all of the members' reports are true.
    pub proved_since: Millis,
    /// Until when it may be sent work on these reports.
    pub valid_until: Millis,
    /// Whether it is in another data centre.
    pub is_remote: bool,
}

/// All groups, those that serve and those that do not.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServingTable {
    /// Those that serve, by model.
    pub serving: BTreeMap<ModelName, Vec<ServingGroup>>,
    /// Those that do not, and why.
    pub closed: BTreeMap<GroupId, GroupNotReady>,
}

/// What a table is made of.
#[derive(Debug, Clone, Copy)]
pub struct Sources<'a> {
    /// What lasts.
    pub state: &'a State,
    /// What instances said.
    pub observations: &'a Observations,
    /// The platform's list.
    pub list: &'a InstanceList,
    /// This node's data centre.
    pub data_centre: &'a DataCentre,
    /// Its clock.
    pub now: Millis,
    /// How groups are judged.
    pub rules: GroupReadinessRules,
}

impl ServingTable {
    /// Judges every group.
    pub fn make(sources: &Sources<'_>) -> Self {
        let leaving: BTreeSet<_> = sources
            .list
            .iter()
            .filter(|listed| listed.leaving)
            .map(|listed| listed.instance.clone())
            .collect();
        let mut table = Self::default();
        for group in sources.state.fleet.groups() {
            match sources.row(group, &leaving) {
                Ok(row) => table.serving.entry(group.model.clone()).or_default().push(row),
                Err(why) => {
                    table.closed.insert(group.id.clone(), why);
                }
            }
        }
        table
    }

    /// The groups that serve `model` at `now`.
    pub fn groups_for(
        &self,
        model: &ModelName,
        now: Millis,
    ) -> impl Iterator<Item = &ServingGroup> {
        let rows = self.serving.get(model).map(Vec::as_slice).unwrap_or_default();
        rows.iter().filter(move |row| now < row.valid_until)
    }

    /// The names of all groups that serve.
    pub fn serving_ids(&self) -> BTreeSet<GroupId> {
        self.serving.values().flatten().map(|row| row.group.clone()).collect()
    }
}

/// What a row stands on.
struct Basis {
    proved_since: Millis,
    load_since: Millis,
    reported: u32,
    slots: u32,
}

impl Sources<'_> {
    fn row(
        &self,
        group: &Group,
        leaving: &BTreeSet<InstanceId>,
    ) -> Result<ServingGroup, GroupNotReady> {
        let head = &group.head().instance;
        let unseen = || GroupNotReady::Unseen(head.clone());
        let listed = self.list.find(head).ok_or_else(unseen)?;
        let is_remote = &listed.data_centre != self.data_centre;
        let basis = if is_remote {
            self.vouched(group, leaving)?
        } else {
            group_readiness::check_group(group, self.observations, leaving, self.now, self.rules)?;
            self.reported(group).ok_or_else(unseen)?
        };
        Ok(ServingGroup {
            group: group.id.clone(),
            fence: group.fence,
            head: head.clone(),
            address: listed.address.clone(),
            version: group.version.clone(),
            worth: self.worth(group),
            slots: basis.slots,
            reported: basis.reported,
            true_since: basis.load_since,
            proved_since: basis.proved_since,
            valid_until: basis.proved_since + self.rules.report_ttl,
            is_remote,
        })
    }

    /// By the members' own reports.
    fn reported(&self, group: &Group) -> Option<Basis> {
        let members = group.members.iter();
        let reports = members.map(|member| self.observations.get(&member.instance));
        let oldest = reports.map(|observation| observation.map(|w| w.true_since)).min()??;
        let head = self.observations.get(&group.head().instance)?;
        Some(Basis {
            proved_since: oldest,
            load_since: head.true_since,
            reported: head.report.running + head.report.queued,
            slots: head.report.slots,
        })
    }

    /// By what a node of its own data centre vouches for.
    fn vouched(
        &self,
        group: &Group,
        leaving: &BTreeSet<InstanceId>,
    ) -> Result<Basis, GroupNotReady> {
        let group_observation = group_readiness::check_remote_group(
            group,
            self.observations,
            leaving,
            self.now,
            self.rules,
        )?;
        Ok(Basis {
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
