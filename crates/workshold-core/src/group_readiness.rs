//! Whether a group serves: the log says it may, and every member says it does.

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

/// How long a report is believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GroupReadinessRules {
    /// A report older than this proves nothing.
    pub report_ttl: Millis,
}

/// Why a group gets no new work.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupNotReady {
    /// the group is draining or over
    NotActive,
    /// nothing recent is known of {0}
    Unseen(InstanceId),
    /// {0} died and came back since the group was formed
    Reborn(InstanceId),
    /// {0} is not in the group by its own account
    Elsewhere(InstanceId),
    /// {0} is not ready yet
    Loading(InstanceId),
    /// {0} takes no new work
    Draining(InstanceId),
    /// {0} is leaving
    Leaving(InstanceId),
}

/// Judges whether `group` may be sent new work at `now`.
///
/// # Errors
///
/// The first reason why not, in the order of the members.
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
        judge_member(group, member, observations, now, rules)
    })
}

/// Judges a group of another data centre by what a node there vouches for.
///
/// # Errors
///
/// The reason why not; [`GroupNotReady::Unseen`] names the head if nobody vouches.
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
    let gone = group.members.iter().find(|member| leaving.contains(&member.instance));
    if let Some(member) = gone {
        return Err(GroupNotReady::Leaving(member.instance.clone()));
    }
    let group_observation =
        observations.group_observation(&group.id, group.fence, now, rules.report_ttl);
    group_observation.ok_or_else(|| GroupNotReady::Unseen(group.head().instance.clone()))
}

/// Judges one member by its own last report.
///
/// # Errors
///
/// Why the member does not vouch for the group.
pub fn judge_member(
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
        return Err(GroupNotReady::Reborn(name()));
    }
    let membership = observation.report.membership.as_ref();
    let membership = membership.ok_or_else(|| GroupNotReady::Elsewhere(name()))?;
    if membership.group != group.id || membership.fence != group.fence {
        return Err(GroupNotReady::Elsewhere(name()));
    }
    match membership.readiness {
        Readiness::Ready => Ok(()),
        Readiness::Loading => Err(GroupNotReady::Loading(name())),
        Readiness::Draining => Err(GroupNotReady::Draining(name())),
    }
}
