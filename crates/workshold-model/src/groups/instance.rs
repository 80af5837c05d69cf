//! An instance of the groups' world, and what it truly was.

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
use crate::groups::names;

/// The group that an instance was in, and until when: the truth, for the check.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Past {
    group: GroupId,
    fence: FencingToken,
    until: Millis,
}

/// An engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Instance {
    pub(super) is_up: bool,
    /// Whether the steward is cut off from it.
    pub(super) is_hidden: bool,
    pub(super) incarnation: Incarnation,
    seat: Option<GroupMembership>,
    /// The life in which it took its seat.
    seated_in: Incarnation,
    highest: FencingToken,
    pub(super) running: u8,
    past: Option<Past>,
}

impl Instance {
    pub(super) fn new(seat: Option<GroupMembership>) -> Self {
        let highest = seat.as_ref().map_or(FencingToken(0), |seat| seat.fence);
        Self {
            is_up: true,
            is_hidden: false,
            incarnation: Incarnation(1),
            seat,
            seated_in: Incarnation(1),
            highest,
            running: 0,
            past: None,
        }
    }

    pub(super) fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            membership: self.seat.clone(),
            loaded: None,
            lag: Millis::ZERO,
            running: u32::from(self.running),
            queued: 0,
            slots: 4,
        }
    }

    /// Whether it truly was in the group at some time that a report may show.
    pub(super) fn was_in(&self, group: &GroupId, fence: u64, now: Millis) -> bool {
        let is_in = self.is_up
            && self.seated_in == self.incarnation
            && self.seat.as_ref().is_some_and(|s| &s.group == group && s.fence.0 == fence);
        let was_in = self.past.as_ref().is_some_and(|past| {
            &past.group == group && past.fence.0 == fence && now.since(past.until) < REPORT_TTL
        });
        is_in || was_in
    }

    fn note_past(&mut self, now: Millis) {
        if self.seated_in != self.incarnation {
            return;
        }
        if let Some(seat) = &self.seat {
            self.past = Some(Past { group: seat.group.clone(), fence: seat.fence, until: now });
        }
    }

    pub(super) fn lose(&mut self, now: Millis) {
        self.note_past(now);
        self.is_up = false;
    }

    /// Comes back; another life keeps the seat, but is not what was in it.
    pub(super) fn come_back(&mut self, is_other_life: bool, _now: Millis) {
        self.is_up = true;
        if is_other_life {
            self.incarnation.0 += 1;
            self.running = 0;
        }
    }

    /// Obeys an order; true if that cut off a request.
    pub(super) fn obey(&mut self, order: &Order, ignores_fencing: bool, now: Millis) -> bool {
        if !self.is_up || (order.fence < self.highest && !ignores_fencing) {
            return false;
        }
        self.highest = self.highest.max(order.fence);
        let Some(named) = names(&order.action).cloned() else { return false };
        let is_in = self.seat.as_ref().is_some_and(|seat| seat.group == named);
        match &order.action {
            OrderAction::Join(_) => {
                let fence = order.fence;
                if !self.seat.as_ref().is_some_and(|s| s.group == named && s.fence == fence) {
                    self.note_past(now);
                    let readiness = Readiness::Ready;
                    self.seat = Some(GroupMembership { group: named, fence, readiness });
                    self.seated_in = self.incarnation;
                }
                false
            }
            OrderAction::Drain { .. } if is_in => {
                if let Some(seat) = &mut self.seat {
                    seat.readiness = Readiness::Draining;
                }
                false
            }
            OrderAction::Leave { .. } if is_in => {
                self.note_past(now);
                self.seat = None;
                std::mem::take(&mut self.running) > 0
            }
            OrderAction::Drain { .. } | OrderAction::Leave { .. } | OrderAction::Load { .. } => {
                false
            }
        }
    }

    /// Takes a request, unless it is not in that group or drains: then it says
    /// that nothing was run.
    pub(super) fn take(&mut self, group: &GroupId, fence: u64) {
        let takes = self.is_up
            && self.seat.as_ref().is_some_and(|seat| {
                &seat.group == group && seat.fence.0 == fence && seat.readiness == Readiness::Ready
            });
        if takes {
            self.running += 1;
        }
    }
}
