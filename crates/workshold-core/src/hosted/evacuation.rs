//! Which data centres are evacuated: the operator has asked that no requests go to the instances
//! there.
//!
//! An evacuation is a record in the operator's log, beside the configuration but no part of it,
//! and ends when the record is deleted. What a node knows is the set of evacuated data centres at
//! one position of that log. Of two sets the one at the later position is right, whoever reports
//! it and in whatever order they arrive, so that an old report neither begins an evacuation again
//! that has ended, nor ends one early.
//!
//! After a restore of the store from a backup the log may lack an evacuation that the operator
//! asked for in the seconds that were lost. It is kept for [`RESTORE_SETTLE_TIME`], in which the
//! operator can write it again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;

use super::store_era::LogPosition;
use super::store_era::RESTORE_SETTLE_TIME;

/// A record of the operator's log that begins or ends the evacuation of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Position of the record.
    pub place: LogPosition,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether it is evacuated from then on.
    pub is_evacuated: bool,
}

/// The evacuated data centres, as this node knows them.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Position up to which the log is known; `None` before anything is.
    known_to: Option<LogPosition>,
    evacuated: BTreeSet<DataCentre>,
    /// Evacuations that a restored log lacks, and until when they are kept.
    kept: BTreeMap<DataCentre, Millis>,
    /// When this node learned that an evacuation was over.
    ended: BTreeMap<DataCentre, Millis>,
}

impl Evacuations {
    /// Adopts the set of evacuated data centres at the position `end` of the log. Returns whether
    /// any data centre is evacuated by it, or no longer is.
    pub fn adopt(
        &mut self,
        end: LogPosition,
        evacuated: BTreeSet<DataCentre>,
        now: Millis,
    ) -> bool {
        if self.known_to >= Some(end) {
            return false;
        }
        let is_restored = self.known_to.is_some_and(|known_to| known_to.era < end.era);
        self.known_to = Some(end);
        if self.evacuated == evacuated {
            return false;
        }
        for data_centre in self.evacuated.difference(&evacuated) {
            if is_restored {
                self.kept.insert(data_centre.clone(), now + RESTORE_SETTLE_TIME);
            } else {
                self.ended.insert(data_centre.clone(), now);
            }
        }
        self.kept.retain(|data_centre, _| !evacuated.contains(data_centre));
        self.evacuated = evacuated;
        true
    }

    /// Applies the records of the log up to `end`, of which everything before the first of them
    /// is known. Returns whether any data centre is evacuated by them, or no longer is.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = EvacuationChange>,
        end: LogPosition,
        now: Millis,
    ) -> bool {
        let known_to = self.known_to.unwrap_or_default();
        let mut evacuated = self.evacuated.clone();
        for change in changes.into_iter().filter(|change| change.place >= known_to) {
            if change.is_evacuated {
                evacuated.insert(change.data_centre);
                continue;
            }
            evacuated.remove(&change.data_centre);
            if self.kept.remove(&change.data_centre).is_some() {
                self.ended.insert(change.data_centre, now);
            }
        }
        self.adopt(end, evacuated, now)
    }

    /// The position up to which the log is known, and the evacuated data centres there; `None`
    /// before anything is known.
    pub fn known(&self) -> Option<(LogPosition, &BTreeSet<DataCentre>)> {
        Some((self.known_to?, &self.evacuated))
    }

    /// Whether no data centre is evacuated.
    pub fn is_empty(&self, now: Millis) -> bool {
        self.evacuated.is_empty() && self.kept.values().all(|until| *until <= now)
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &DataCentre, now: Millis) -> bool {
        let is_kept = || self.kept.get(data_centre).is_some_and(|until| *until > now);
        self.evacuated.contains(data_centre) || is_kept()
    }

    /// All data centres that are evacuated.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = &DataCentre> {
        let kept = self.kept.iter().filter(move |(_, until)| **until > now);
        self.evacuated.iter().chain(kept.map(|(data_centre, _)| data_centre))
    }

    /// When this node learned that the latest evacuation of a data centre was over; `None` if it
    /// knows of none, or it is not over.
    pub fn ended_at(&self, data_centre: &DataCentre, now: Millis) -> Option<Millis> {
        if self.contains(data_centre, now) {
            return None;
        }
        self.kept.get(data_centre).max(self.ended.get(data_centre)).copied()
    }
}
