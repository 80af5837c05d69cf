//! When a node may order the instances of a part that has just come to it.
//!
//! The last holder may not have noticed, and what it ordered may not yet stand in the
//! list as this node has it. So two things are waited for: that nobody else orders any
//! more, and a reading of the list that began after that.

use workshold_protocol::Millis;

/// The times that a new holder keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenureRules {
    /// Orders of the last holder are on their way for this long at most.
    pub orders_arrive: Millis,
    /// The last holder stops by itself after this: the lease's time.
    pub lease_ttl: Millis,
}

/// A part of the lease as its holder has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// The lease's number when the part came.
    generation: u64,
    since: Millis,
    /// Since when nobody else orders.
    settled_at: Option<Millis>,
}

impl Tenure {
    /// The part came at `now`, under `generation`.
    pub fn new(generation: u64, now: Millis) -> Self {
        Self { generation, since: now, settled_at: None }
    }

    /// Looks who else may order: `others` are the numbers by which all those act who
    /// are heard. One that acts by this number or a later one has noticed.
    pub fn look(&mut self, others: impl Iterator<Item = u64>, rules: TenureRules, now: Millis) {
        if self.settled_at.is_some() {
            return;
        }
        let held = now.since(self.since);
        let mut others = others;
        let have_noticed = others.all(|generation| generation >= self.generation);
        let is_settled = have_noticed && held >= rules.orders_arrive;
        if is_settled || held >= rules.lease_ttl + rules.orders_arrive {
            self.settled_at = Some(now);
        }
    }

    /// Whether the list has to be read anew before anything is ordered.
    pub fn wants_list(&self, list_read_at: Millis) -> bool {
        self.settled_at.is_some_and(|at| list_read_at < at)
    }

    /// Whether orders may be given, by a list whose reading began at `list_read_at`.
    pub fn may_order(&self, list_read_at: Millis) -> bool {
        self.settled_at.is_some_and(|at| list_read_at >= at)
    }
}
