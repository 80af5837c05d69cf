//! Handover of a lease partition: when its new holder may order the partition's instances.
//!
//! The previous holder may not have noticed that it lost the partition, and the effects of its
//! orders may be missing from this node's copy of the instance list. So the new holder waits
//! until nobody else sends orders any more, and then for a read of the list that began after that.

use workshold_protocol::Millis;

use super::store_era::Fence;

/// Waiting times of a new holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HandoverTimings {
    /// Longest time that an order of the previous holder can be on its way.
    pub max_order_delay: Millis,
    /// Time to live of the lease; the previous holder stops by itself once it has passed.
    pub lease_ttl: Millis,
}

/// A lease partition held by this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionLease {
    /// Fencing token under which the partition was acquired.
    fence: Fence,
    acquired_at: Millis,
    /// No order is sent before, even if the previous holder has stopped.
    not_before: Millis,
    /// When it became certain that nobody else sends orders; `None` before that.
    settled_at: Option<Millis>,
}

impl PartitionLease {
    /// Records that the partition was acquired at `now` under `fence`.
    pub fn new(fence: impl Into<Fence>, now: Millis) -> Self {
        Self { fence: fence.into(), acquired_at: now, not_before: Millis::ZERO, settled_at: None }
    }

    /// Forbids orders before `trusted_from`.
    ///
    /// Used when the store has just been restored from a backup copy, so that what it says about
    /// instances and about the partition's previous holder is outdated. By `trusted_from` the
    /// leases of all previous holders have expired, including those that this node does not know
    /// of.
    pub fn with_earliest_order_at(self, trusted_from: Millis) -> Self {
        Self { not_before: trusted_from, ..self }
    }

    /// Checks whether another node may still send orders.
    ///
    /// `others` are the fencing tokens that the reachable nodes act under. A node that acts under
    /// this partition's token or a later one has noticed the handover.
    pub fn observe_holders(
        &mut self,
        others: impl Iterator<Item = impl Into<Fence>>,
        timings: HandoverTimings,
        now: Millis,
    ) {
        if self.settled_at.is_some() || now < self.not_before {
            return;
        }
        let held = now.since(self.acquired_at);
        let mut others = others;
        let have_noticed = others.all(|other| other.into() >= self.fence);
        let is_settled = have_noticed && held >= timings.max_order_delay;
        if is_settled || held >= timings.lease_ttl + timings.max_order_delay {
            self.settled_at = Some(now);
        }
    }

    /// Whether the instance list has to be read again before the first order; `list_read_at` is
    /// when its last read began.
    pub fn needs_list_reread(&self, list_read_at: Millis) -> bool {
        self.settled_at.is_some_and(|at| list_read_at < at)
    }

    /// Whether orders may be sent, based on an instance list whose read began at `list_read_at`.
    pub fn may_order(&self, list_read_at: Millis) -> bool {
        self.settled_at.is_some_and(|at| list_read_at >= at)
    }
}
