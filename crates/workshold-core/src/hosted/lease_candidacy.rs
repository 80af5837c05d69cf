//! Which nodes stand for the stewards' lease.
//!
//! Every member of the lease's group renews its membership all the time, and there are far more
//! nodes than partitions. So only the first few nodes of each data centre stand for it, by an order
//! that all nodes see alike. The store gives the partitions of a candidate that it does not serve to
//! the others. Only if nobody holds a lease although the store answers somebody do more nodes stand,
//! one after the other in the same order, until somebody holds one.

use workshold_protocol::Millis;

/// What a node knows when it decides whether to stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseView {
    /// Number of nodes of its data centre that come before it, not counting the candidates; `None`
    /// if it is a candidate itself.
    pub nodes_before: Option<usize>,
    /// Number of other nodes that hold a lease which has not expired.
    pub holders: usize,
    /// Whether the store has answered any node a moment ago.
    pub is_store_answering: bool,
}

/// How long nobody may hold a lease before the first node beyond the candidates stands: longer than
/// a change of holders takes to be known everywhere.
const STEP_IN_AFTER: Millis = Millis(700);
/// Time between two nodes of a data centre that step in: the second one knows by then that the first
/// one holds the lease.
const STEP_IN_INTERVAL: Millis = Millis(400);
/// Most intervals that a node waits: with so many nodes before it that all fail, order matters less
/// than time.
const MAX_STEP_IN_INTERVALS: u64 = 12;
/// How long candidates must have held the lease again before a node that stepped in leaves: each
/// change of the members moves partitions.
const STEP_OUT_AFTER: Millis = Millis(6_000);
/// Number of other holders with which a node that stepped in is not needed.
const MIN_HOLDERS: usize = 2;

/// Whether a node stands for the lease.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseCandidacy {
    stands: bool,
    /// Since when nobody has held a lease, or enough others have.
    changes_since: Option<Millis>,
}

impl LeaseCandidacy {
    /// Decides whether the node stands for the lease from now on.
    pub fn stands(&mut self, view: LeaseView, now: Millis) -> bool {
        let Some(nodes_before) = view.nodes_before else {
            *self = Self { stands: true, changes_since: None };
            return true;
        };
        let is_change_due = match self.stands {
            false => view.holders == 0 && view.is_store_answering,
            true => view.holders >= MIN_HOLDERS,
        };
        if !is_change_due {
            self.changes_since = None;
            return self.stands;
        }
        let intervals = (nodes_before as u64).min(MAX_STEP_IN_INTERVALS);
        let after = match self.stands {
            false => STEP_IN_AFTER + Millis(STEP_IN_INTERVAL.0 * intervals),
            true => STEP_OUT_AFTER,
        };
        if now.since(*self.changes_since.get_or_insert(now)) >= after {
            *self = Self { stands: !self.stands, changes_since: None };
        }
        self.stands
    }
}
