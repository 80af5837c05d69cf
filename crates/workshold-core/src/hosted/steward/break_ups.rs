//! Breaks up groups whose head is missing.
//!
//! A head that is neither listed nor reached by any node may have ended. It may also serve behind
//! paths that have failed, so that its members must not be reassigned. But a head stops serving
//! when it has missed a member for long enough, whatever its paths. So one member is ordered to
//! leave, and all are reassigned once that time has passed. The list shows each steward when a
//! member has left, so that the next holder of the lease waits as long.
//!
//! While there are too few groups nobody waits: all members are ordered to leave, and join others
//! when none is left. They are in one group at most, but the old head may still be open then.

use workshold_protocol::Millis;

use crate::hosted::groups::Group;
use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::roster::Entry;
use crate::hosted::roster::Instance;
use crate::hosted::roster::LeftGroup;
use crate::hosted::roster::MemberState;
use crate::hosted::suspicion::Loss;

use super::Command;
use super::DomainContext;
use super::GroupUse;
use super::HeadProcess;
use super::Order;
use super::Steward;

/// Utility that one more instance has for a model, relative to one that is fully used, from which on
/// there are too few groups.
const SHORTAGE_GAIN: f64 = 0.1;
/// How long after it was sent an order may still be carried out.
const LATE_ORDER_TIME: Millis = Millis(12_000);

impl Steward {
    /// Breaks up a group whose `head` is missing since the given time; `None` if the head is not
    /// known any more. Its members can be reassigned once the head must have stopped serving.
    pub(super) fn break_up(
        &mut self,
        group: &Group,
        head: Option<(&Identity, Millis)>,
        cx: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) -> GroupUse {
        let epoch = group.epoch;
        if self.released_epochs.contains(&epoch) || self.has_broken(group, cx) {
            return GroupUse::Idle;
        }
        let is_short = is_short_of_groups(cx);
        if !is_short && left_members(group, cx).next().is_some() {
            return GroupUse::InUse;
        }
        // What probes found before the entry was gone may be due to a path that is back.
        if head.is_none_or(|(id, since)| (cx.is_unreached_since)(id, since)) {
            let count = if is_short { usize::MAX } else { 1 };
            self.order_to_leave(group, count, cx, commands);
        }
        GroupUse::InUse
    }

    /// Orders up to `count` members that can be reached, but not the head, to leave.
    fn order_to_leave(
        &mut self,
        group: &Group,
        count: usize,
        cx: &DomainContext<'_>,
        commands: &mut Vec<Command>,
    ) {
        for member in members_in_reach(group, cx).take(count) {
            let (group, epoch) = (group.id.clone(), group.epoch);
            let order = Order::Leave { group, epoch, is_head: false };
            let why = "its head is missing and may still serve";
            self.send(member, epoch, "leave", order, why, cx.now, commands);
        }
    }

    /// Whether the head of a group must have stopped serving, because a member has left for long
    /// enough.
    pub(super) fn has_broken(&self, group: &Group, cx: &DomainContext<'_>) -> bool {
        left_members(group, cx).any(|left| self.is_long_ago(left, group.state(), cx))
    }

    /// Whether an instance has left a group whose head may still serve.
    pub(super) fn awaits_break(
        &self,
        entry: &Entry,
        groups: &[Group],
        cx: &DomainContext<'_>,
    ) -> bool {
        let Some(left) = entry.left().filter(|left| left.membership.rank > 0) else { return false };
        let (epoch, id) = (left.membership.epoch, &left.membership.group);
        if self.released_epochs.contains(&epoch) {
            return false;
        }
        let Some(group) = groups.iter().find(|group| group.epoch == epoch && group.id == *id)
        else {
            return !is_short_of_groups(cx) && !self.is_long_ago(left, None, cx);
        };
        if is_short_of_groups(cx) {
            // All become free at the same time, so that they can form a group as large as theirs.
            return members_in_reach(group, cx).next().is_some();
        }
        let Some(head) = group.head() else {
            let is_unknown = (cx.head_of)(group).is_none();
            return is_unknown && !self.is_long_ago(left, None, cx);
        };
        let is_listed =
            cx.entry(&head.identity).is_some_and(|entry| entry.unlisted_since.is_none());
        match (cx.head_process(&head.identity), group.state()) {
            (HeadProcess::Ended, _) => false,
            (HeadProcess::MayServe, Some(MemberState::Open | MemberState::Closing)) => {
                !self.closed_epochs.contains(&epoch)
            }
            // Its report is current, and says that it does not serve.
            (HeadProcess::MayServe, _) if is_listed => false,
            (_, state) => !self.is_long_ago(left, state, cx),
        }
    }

    /// Whether the head, last known in `state`, must have stopped serving since a member left. One
    /// that was not serving may have been opened since, by a late order.
    fn is_long_ago(
        &self,
        left: &LeftGroup,
        state: Option<MemberState>,
        cx: &DomainContext<'_>,
    ) -> bool {
        let has_served = matches!(state, Some(MemberState::Open | MemberState::Closing));
        let late_time = if has_served { Millis::ZERO } else { LATE_ORDER_TIME };
        cx.now.since(left.known_at) >= late_time + self.rules.group_break_time
    }
}

/// The members of a group that can be reached, except its head.
fn members_in_reach<'a>(
    group: &'a Group,
    cx: &'a DomainContext<'_>,
) -> impl Iterator<Item = &'a Instance> {
    let members = group.members.range(1..).map(|(_, member)| member.as_ref());
    members.filter(|member| (cx.loss)(&member.identity) == Loss::None)
}

/// Whether the demand needs more groups, so that no instance should stay idle.
fn is_short_of_groups(cx: &DomainContext<'_>) -> bool {
    let gain_per_instance = |model: &planner::Model| model.forming_gain() / model.size as f64;
    (cx.models)().iter().any(|model| gain_per_instance(model) >= SHORTAGE_GAIN)
}

/// The members, except the head, that are known to have left a group.
fn left_members<'a>(group: &Group, cx: &DomainContext<'a>) -> impl Iterator<Item = &'a LeftGroup> {
    let (epoch, id) = (group.epoch, group.id.clone());
    let left = cx.entries.iter().filter_map(|entry| entry.left());
    left.filter(move |left| {
        let membership = &left.membership;
        membership.rank > 0 && membership.epoch == epoch && membership.group == id
    })
}
