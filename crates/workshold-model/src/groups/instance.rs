//! Simulated instance of the group world, with its true membership for the check of promises.

use workshold_protocol::Millis;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::report::GroupMembership;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;
use workshold_protocol::report::Report;

use crate::groups::REPORT_TTL;
use crate::groups::group_of;

/// The group that an instance was last in, and until when. Only the check of promises reads it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FormerMembership {
    group: GroupId,
    fence: FencingToken,
    until: Millis,
}

/// An instance that runs an inference engine and can join groups.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Instance {
    pub(super) is_up: bool,
    /// Whether the steward is cut off from it.
    pub(super) is_hidden: bool,
    pub(super) incarnation: Incarnation,
    membership: Option<GroupMembership>,
    /// The incarnation in which it joined its group. Differs from `incarnation` after a restart,
    /// when the membership is reported though it has ended.
    joined_incarnation: Incarnation,
    highest_fence: FencingToken,
    pub(super) running: u8,
    former_membership: Option<FormerMembership>,
}

impl Instance {
    pub(super) fn new(membership: Option<GroupMembership>) -> Self {
        let highest_fence =
            membership.as_ref().map_or(FencingToken(0), |membership| membership.fence);
        Self {
            is_up: true,
            is_hidden: false,
            incarnation: Incarnation(1),
            membership,
            joined_incarnation: Incarnation(1),
            highest_fence,
            running: 0,
            former_membership: None,
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            membership: self.membership.clone(),
            loaded: None,
            lag: Millis::ZERO,
            running: u32::from(self.running),
            queued: 0,
            slots: 4,
        }
    }

    /// Whether it is in the group, or was within the last [`REPORT_TTL`], for which nodes may still
    /// rely on an earlier report.
    pub(super) fn was_in(&self, group: &GroupId, fence: u64, now: Millis) -> bool {
        let is_in = self.is_up
            && self.joined_incarnation == self.incarnation
            && self.membership.as_ref().is_some_and(|s| &s.group == group && s.fence.0 == fence);
        let was_in = self.former_membership.as_ref().is_some_and(|former| {
            &former.group == group
                && former.fence.0 == fence
                && now.since(former.until) < REPORT_TTL
        });
        is_in || was_in
    }

    fn record_former_membership(&mut self, now: Millis) {
        if self.joined_incarnation != self.incarnation {
            return;
        }
        if let Some(membership) = &self.membership {
            self.former_membership = Some(FormerMembership {
                group: membership.group.clone(),
                fence: membership.fence,
                until: now,
            });
        }
    }

    pub(super) fn lose(&mut self, now: Millis) {
        self.record_former_membership(now);
        self.is_up = false;
    }

    /// Comes back. A new incarnation still reports the former membership but is no longer a member.
    pub(super) fn come_back(&mut self, is_new_incarnation: bool, _now: Millis) {
        self.is_up = true;
        if is_new_incarnation {
            self.incarnation.0 += 1;
            self.running = 0;
        }
    }

    /// Executes an order unless its fencing token is outdated; true if that cut off a request.
    pub(super) fn obey(&mut self, order: &Order, ignores_fencing: bool, now: Millis) -> bool {
        if !self.is_up || (order.fence < self.highest_fence && !ignores_fencing) {
            return false;
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        let Some(group) = group_of(&order.action).cloned() else { return false };
        let is_in = self.membership.as_ref().is_some_and(|membership| membership.group == group);
        match &order.action {
            OrderAction::Join(_) => {
                let fence = order.fence;
                if !self.membership.as_ref().is_some_and(|s| s.group == group && s.fence == fence) {
                    self.record_former_membership(now);
                    let readiness = Readiness::Ready;
                    self.membership = Some(GroupMembership { group, fence, readiness });
                    self.joined_incarnation = self.incarnation;
                }
                false
            }
            OrderAction::Drain { .. } if is_in => {
                if let Some(membership) = &mut self.membership {
                    membership.readiness = Readiness::Draining;
                }
                false
            }
            OrderAction::Leave { .. } if is_in => {
                self.record_former_membership(now);
                self.membership = None;
                std::mem::take(&mut self.running) > 0
            }
            OrderAction::Drain { .. } | OrderAction::Leave { .. } | OrderAction::Load { .. } => {
                false
            }
        }
    }

    /// Accepts a request, unless it is not in the group or is draining. Then it refuses the request
    /// without running it.
    pub(super) fn accept_request(&mut self, group: &GroupId, fence: u64) {
        let takes = self.is_up
            && self.membership.as_ref().is_some_and(|membership| {
                &membership.group == group
                    && membership.fence.0 == fence
                    && membership.readiness == Readiness::Ready
            });
        if takes {
            self.running += 1;
        }
    }
}
