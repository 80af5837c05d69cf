//! Which past of the store an answer belongs to.
//!
//! The store may be away for a moment and come back from a copy some seconds old. It counts
//! how often it has: its era. Places in its logs, and the numbers of its lease, go back then
//! and are given out again, so they mean something only together with the era, and are
//! compared as wholes. What a copy says is true about a past, not about now: the first whole
//! reading of an era ends nothing by itself, until whoever is there has had the time to write
//! again ([`RESTORE_SETTLE_TIME`]).

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;

/// How often the store has come back from a copy; 0 if it has not, or does not say.
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

/// A place in one of the store's logs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The past that it belongs to; it decides first.
    pub era: Era,
    /// The record there.
    pub offset: u64,
}

/// A place in the log of a store that has never come back from a copy.
impl From<u64> for LogPosition {
    fn from(offset: u64) -> Self {
        Self { era: Era::default(), offset }
    }
}

/// The right to give orders, as instances compare it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// The past of the store in which it was given; it decides first.
    pub era: Era,
    /// The lease's number in it, which rises with every change of the holders.
    pub generation: u64,
}

/// A fence of a store that has never come back from a copy.
impl From<u64> for Fence {
    fn from(generation: u64) -> Self {
        Self { era: Era::default(), generation }
    }
}

/// Bits of an order's number that hold the generation: four million changes of the holders,
/// a thousand a day for eleven years, within one era.
const GENERATION_BITS: u32 = 22;
/// Bits of the whole number: what an epoch has left beside part and count.
const NUMBER_BITS: u32 = 39;

impl Fence {
    /// The number that goes with orders, and above epochs; `None` if it does not fit: then
    /// nothing may be ordered under it, or a later era's number might be the same.
    pub fn number(self) -> Option<u64> {
        let fits = self.generation < 1 << GENERATION_BITS
            && self.era.0 < 1 << (NUMBER_BITS - GENERATION_BITS);
        fits.then_some((self.era.0 << GENERATION_BITS) | self.generation)
    }
}

/// Once an era is this old, what stands in its list is true: an instance checks in every
/// 1.2 s, and has replaced what was not by the second time; one that is not there any more,
/// or cannot reach the store, has missed three in 3.6 s, counted from a check-in after the
/// return, and was dropped by the store before its old word is believed.
pub const RESTORE_SETTLE_TIME: Millis = Millis(5_500);

/// How an answer's era stands to what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// It is of a past that is over: nothing in it counts.
    Older,
    /// It is of the past that is known.
    Same,
    /// The store has come back from a copy.
    Newer,
}

/// What a process has heard of the store's pasts.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    known: Option<(Era, Millis)>,
    /// Whether the era was known from its beginning, or is known to be old.
    is_old: bool,
}

impl EraTracker {
    /// The newest era heard of.
    pub fn era(&self) -> Era {
        self.known.map(|(era, _)| era).unwrap_or_default()
    }

    /// Whether anything was heard of the store.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Somebody heard of `era`, for the first time at `since`. The first one that a process
    /// hears of is no rise: it remembers nothing from before it.
    pub fn observe(&mut self, era: Era, since: Millis) -> EraOrder {
        match &mut self.known {
            None => {
                self.known = Some((era, since));
                EraOrder::Same
            }
            Some((known, _)) if era < *known => EraOrder::Older,
            Some((known, at)) if era == *known => {
                *at = (*at).min(since);
                EraOrder::Same
            }
            Some(known) => {
                *known = (era, since);
                self.is_old = false;
                EraOrder::Newer
            }
        }
    }

    /// What is kept shows that the era has lasted for longer than a copy takes to become
    /// true.
    pub fn mark_settled(&mut self, era: Era) {
        self.is_old |= era == self.era();
    }

    /// From when on the list can be taken for what is there now. A store that has never come
    /// back from a copy is always right.
    pub fn trusted_from(&self) -> Millis {
        match self.known {
            Some((era, since)) if era > Era::default() && !self.is_old => {
                since + RESTORE_SETTLE_TIME
            }
            _ => Millis::ZERO,
        }
    }

    /// How long the newest era has been known.
    pub fn age(&self, now: Millis) -> Millis {
        self.known.map_or(Millis::ZERO, |(_, since)| now.since(since))
    }
}
