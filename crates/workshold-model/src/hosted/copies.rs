//! What the platform's store has of the list and of the lease, and copies of it: it may come
//! back from one that is some seconds old.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;

/// The oldest copy, and how often one is made.
const OLDEST: Millis = Millis(6_000);
const MADE_EVERY: Millis = Millis(100);

/// The newest record of each instance, and the lease.
#[derive(Debug, Clone, Default)]
pub struct Kept {
    /// The newest record of each instance that is listed.
    pub records: BTreeMap<InstanceId, (u64, Instance)>,
    /// Where the list ends.
    pub end: u64,
    /// The lease's number.
    pub generation: u64,
    /// Who holds it.
    pub holder: usize,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    /// How often it has come back from a copy.
    pub era: Era,
    /// What it has.
    pub kept: Kept,
    copies: VecDeque<(Millis, Kept)>,
}

impl Store {
    /// A place for a new record.
    pub fn next_place(&mut self) -> LogPosition {
        self.kept.end += 1;
        LogPosition { era: self.era, offset: self.kept.end }
    }

    /// What stands in a record, once it does; empty if it drops its key.
    pub fn write(&mut self, offset: u64, id: &InstanceId, word: Option<&Instance>) {
        let newest = self.kept.records.get(id).map(|(newest, _)| *newest);
        match word {
            _ if newest > Some(offset) => {}
            Some(word) => {
                self.kept.records.insert(id.clone(), (offset, word.clone()));
            }
            None => {
                self.kept.records.remove(id);
            }
        }
    }

    /// The lease passes on.
    pub fn hand_over(&mut self, holder: usize) -> Fence {
        self.kept.generation += 1;
        self.kept.holder = holder;
        self.fence()
    }

    /// The right of whoever holds the lease.
    pub fn fence(&self) -> Fence {
        Fence { era: self.era, generation: self.kept.generation }
    }

    /// Makes a copy, if it is time.
    pub fn copy(&mut self, now: Millis) {
        let is_due = self.copies.back().is_none_or(|(at, _)| now.since(*at) >= MADE_EVERY);
        if is_due {
            self.copies.push_back((now, self.kept.clone()));
        }
        while self.copies.front().is_some_and(|(at, _)| now.since(*at) > OLDEST) {
            self.copies.pop_front();
        }
    }

    /// It comes back from a copy that is `age` old, or the oldest there is.
    pub fn return_from_copy(&mut self, age: Millis, now: Millis) {
        let then = now - age;
        let at = self.copies.iter().rposition(|(at, _)| *at <= then).unwrap_or_default();
        self.copies.truncate(at + 1);
        if let Some((_, kept)) = self.copies.back() {
            self.kept = kept.clone();
        }
        self.era = Era(self.era.0 + 1);
    }
}
