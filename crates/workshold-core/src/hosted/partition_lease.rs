//! When a node may order the instances of a part that has just come to it.
//!
//! The last holder may not have noticed, and what it ordered may not yet stand in the
//! list as this node has it. So two things are waited for: that nobody else orders any
//! more, and a reading of the list that began after that.

use workshold_protocol::Millis;

use super::store_era::Fence;

/// The times that a new holder keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverTimings {
    /// Orders of the last holder are on their way for this long at most.
    pub max_order_delay: Millis,
    /// The last holder stops by itself after this: the lease's time.
    pub lease_ttl: Millis,
}

/// A part of the lease as its holder has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionLease {
    /// The lease's number when the part came.
    fence: Fence,
    since: Millis,
    /// Nothing is ordered before, whoever has noticed.
    not_before: Millis,
    /// Since when nobody else orders.
    settled_at: Option<Millis>,
}

impl PartitionLease {
    /// The part came at `now`, under `fence`.
    pub fn new(fence: impl Into<Fence>, now: Millis) -> Self {
        Self { fence: fence.into(), since: now, not_before: Millis::ZERO, settled_at: None }
    }

    /// Nothing is ordered before `true_from`: the store came back from a copy a moment ago,
    /// and what it says of instances, and of who held the part, is of the past. The lease's
    /// time has run out by then for all who held a part before, heard or not.
    pub fn with_earliest_order_at(self, true_from: Millis) -> Self {
        Self { not_before: true_from, ..self }
    }

    /// Looks who else may order: `others` are the numbers by which all those act who
    /// are heard. One that acts by this number or a later one has noticed.
    pub fn observe_holders(
        &mut self,
        others: impl Iterator<Item = impl Into<Fence>>,
        rules: HandoverTimings,
        now: Millis,
    ) {
        if self.settled_at.is_some() || now < self.not_before {
            return;
        }
        let held = now.since(self.since);
        let mut others = others;
        let have_noticed = others.all(|other| other.into() >= self.fence);
        let is_settled = have_noticed && held >= rules.max_order_delay;
        if is_settled || held >= rules.lease_ttl + rules.max_order_delay {
            self.settled_at = Some(now);
        }
    }

    /// Whether the list has to be read anew before anything is ordered.
    pub fn needs_list_reread(&self, list_read_at: Millis) -> bool {
        self.settled_at.is_some_and(|at| list_read_at < at)
    }

    /// Whether orders may be given, by a list whose reading began at `list_read_at`.
    pub fn may_order(&self, list_read_at: Millis) -> bool {
        self.settled_at.is_some_and(|at| list_read_at >= at)
    }
}
