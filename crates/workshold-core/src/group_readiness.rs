//! Whether a group is ready for new requests: it is active in the log, and a recent
//! report of every member states that the member is ready in it.

use std::collections::BTreeSet;

use displaydoc::Display;
use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::Member;
use workshold_protocol::report::Readiness;

use crate::fleet::Group;
use crate::observation::GroupObservation;
use crate::observation::Observations;

/// How old a report may be to count in a readiness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GroupReadinessRules {
    /// A report of this age or older is ignored.
    pub report_ttl: Millis,
}

/// Why a group gets no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupNotReady {
    /// the group is draining or over
    NotActive,
    /// nothing recent is known of {0}
    Unseen(InstanceId),
    /// {0} died and came back since the group was formed
    #[serde(rename = "reborn")]
    Restarted(InstanceId),
    /// {0} is not in the group by its own account
    #[serde(rename = "elsewhere")]
    NotInGroup(InstanceId),
    /// {0} is not ready yet
    Loading(InstanceId),
    /// {0} takes no new work
    Draining(InstanceId),
    /// {0} is leaving
    Leaving(InstanceId),
}

/// Checks whether `group` may be sent new requests at `now`, by its members' reports.
///
/// `leaving` are the instances that the platform is about to take away.
///
/// # Errors
///
/// The first reason why it may not, in the order of the members.
pub fn check_group(
    group: &Group,
    observations: &Observations,
    leaving: &BTreeSet<InstanceId>,
    now: Millis,
    rules: GroupReadinessRules,
) -> Result<(), GroupNotReady> {
    if !group.is_active() {
        return Err(GroupNotReady::NotActive);
    }
    group.members.iter().try_for_each(|member| {
        if leaving.contains(&member.instance) {
            return Err(GroupNotReady::Leaving(member.instance.clone()));
        }
        check_member(group, member, observations, now, rules)
    })
}

/// Checks a group of another data centre by what a node there last reported of it.
///
/// # Errors
///
/// The reason why it may not be sent requests; [`GroupNotReady::Unseen`] names the head if
/// no node has lately reported the group as ready.
pub fn check_remote_group<'a>(
    group: &Group,
    observations: &'a Observations,
    leaving: &BTreeSet<InstanceId>,
    now: Millis,
    rules: GroupReadinessRules,
) -> Result<&'a GroupObservation, GroupNotReady> {
    if !group.is_active() {
        return Err(GroupNotReady::NotActive);
    }
    let leaving_member = group.members.iter().find(|member| leaving.contains(&member.instance));
    if let Some(member) = leaving_member {
        return Err(GroupNotReady::Leaving(member.instance.clone()));
    }
    let group_observation =
        observations.group_observation(&group.id, group.fence, now, rules.report_ttl);
    group_observation.ok_or_else(|| GroupNotReady::Unseen(group.head().instance.clone()))
}

/// Checks one member by its own last report.
///
/// # Errors
///
/// Why that report doesn't show the member ready in the group.
pub fn check_member(
    group: &Group,
    member: &Member,
    observations: &Observations,
    now: Millis,
    rules: GroupReadinessRules,
) -> Result<(), GroupNotReady> {
    let name = || member.instance.clone();
    let observation = observations
        .fresh(&member.instance, now, rules.report_ttl)
        .ok_or_else(|| GroupNotReady::Unseen(name()))?;
    if observation.report.incarnation != member.incarnation {
        return Err(GroupNotReady::Restarted(name()));
    }
    let membership = observation.report.membership.as_ref();
    let membership = membership.ok_or_else(|| GroupNotReady::NotInGroup(name()))?;
    if membership.group != group.id || membership.fence != group.fence {
        return Err(GroupNotReady::NotInGroup(name()));
    }
    match membership.readiness {
        Readiness::Ready => Ok(()),
        Readiness::Loading => Err(GroupNotReady::Loading(name())),
        Readiness::Draining => Err(GroupNotReady::Draining(name())),
    }
}
