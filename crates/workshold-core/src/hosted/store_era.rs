//! Which era of the store an answer belongs to.
//!
//! The store may fail and be restored from a backup that is some seconds old. It counts its
//! restores: that number is its era. A restore sets the log offsets and the generations of its
//! leases back, and they are then given out again. So they mean something only together with
//! the era and are compared as pairs, era first. A restored list shows a past state. So what is
//! missing in the first full reading of an era isn't taken for gone until every instance that
//! runs has had the time to write its entry again ([`RESTORE_SETTLE_TIME`]).

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;

/// How often the store was restored from a backup; 0 if it never was, or doesn't say.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in one of the store's logs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The store's era when the record was written; compared first.
    pub era: Era,
    /// The offset of the record in the log.
    pub offset: u64,
}

/// A position in the log of a store that was never restored.
impl From<u64> for LogPosition {
    fn from(offset: u64) -> Self {
        Self { era: Era::default(), offset }
    }
}

/// The fencing token of a steward's lease. It goes with every order, and an instance that has seen
/// a higher one refuses the order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// The store's era when the lease was granted; compared first.
    pub era: Era,
    /// The lease's generation in that era, which rises with every change of its holders.
    pub generation: u64,
}

/// A fencing token of a store that was never restored.
impl From<u64> for Fence {
    fn from(generation: u64) -> Self {
        Self { era: Era::default(), generation }
    }
}

/// Bits of [`Fence::number`] that hold the generation: enough for four million changes of the
/// holders within one era, which is a thousand a day for eleven years.
const GENERATION_BITS: u32 = 22;
/// Bits of the whole number: what an epoch has left beside the lease's partition and the counter.
const NUMBER_BITS: u32 = 39;

impl Fence {
    /// Era and generation packed into one number, which goes with orders and forms the upper
    /// bits of epochs. `None` if they don't fit: then nothing may be ordered under this token,
    /// since its number could equal that of a later era.
    pub fn number(self) -> Option<u64> {
        let fits = self.generation < 1 << GENERATION_BITS
            && self.era.0 < 1 << (NUMBER_BITS - GENERATION_BITS);
        fits.then_some((self.era.0 << GENERATION_BITS) | self.generation)
    }
}

/// Age of an era from which on its list shows the present state. An instance checks in every
/// 1.2 s and has replaced an outdated entry by the second check-in. An instance that is gone, or
/// can't reach the store, has missed three in 3.6 s, counted from a check-in after the restore, so
/// the store has dropped its restored entry by then.
pub const RESTORE_SETTLE_TIME: Millis = Millis(5_500);

/// How the era of an answer compares to the newest one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// It is older, so the answer is out of date and is ignored.
    Older,
    /// It is the same, or the first one seen.
    Same,
    /// It is newer: the store was restored from a backup.
    Newer,
}

/// Tracks the newest era of the store that a process has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    /// The newest era, and when it was first seen.
    newest: Option<(Era, Millis)>,
    /// Whether a stored record shows that the era is older than [`RESTORE_SETTLE_TIME`].
    is_settled: bool,
}

impl EraTracker {
    /// The newest era seen; 0 if none was.
    pub fn era(&self) -> Era {
        self.newest.map(|(era, _)| era).unwrap_or_default()
    }

    /// Whether any era was seen.
    pub fn is_known(&self) -> bool {
        self.newest.is_some()
    }

    /// Records that this node or a peer saw `era`, for the first time at `since`. The first era
    /// that a process sees isn't reported as [`EraOrder::Newer`]: the process holds nothing from
    /// before it.
    pub fn observe(&mut self, era: Era, since: Millis) -> EraOrder {
        match &mut self.newest {
            None => {
                self.newest = Some((era, since));
                EraOrder::Same
            }
            Some((newest, _)) if era < *newest => EraOrder::Older,
            Some((newest, at)) if era == *newest => {
                *at = (*at).min(since);
                EraOrder::Same
            }
            Some(newest) => {
                *newest = (era, since);
                self.is_settled = false;
                EraOrder::Newer
            }
        }
    }

    /// Records that `era` has lasted for longer than [`RESTORE_SETTLE_TIME`], as a record in the
    /// store shows.
    pub fn mark_settled(&mut self, era: Era) {
        self.is_settled |= era == self.era();
    }

    /// From when on the list shows the present state: always for a store that was never
    /// restored.
    pub fn trusted_from(&self) -> Millis {
        match self.newest {
            Some((era, since)) if era > Era::default() && !self.is_settled => {
                since + RESTORE_SETTLE_TIME
            }
            _ => Millis::ZERO,
        }
    }

    /// How long ago the newest era was first seen; zero if none was.
    pub fn age(&self, now: Millis) -> Millis {
        self.newest.map_or(Millis::ZERO, |(_, since)| now.since(since))
    }
}
