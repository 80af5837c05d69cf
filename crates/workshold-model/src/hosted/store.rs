//! The platform's store, with the instance list and the steward's lease, and its backups. It may be
//! restored from a backup that is some seconds old.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;

/// Backups older than this are deleted.
const BACKUP_MAX_AGE: Millis = Millis(6_000);
/// Interval at which backups are made.
const BACKUP_INTERVAL: Millis = Millis(100);

/// The contents that a backup includes: the newest record of each instance, and the lease.
#[derive(Debug, Clone, Default)]
pub struct StoreData {
    /// The newest record, with its offset, of each instance in the list.
    pub records: BTreeMap<InstanceId, (u64, Instance)>,
    /// Offset of the newest record, as given out by [`Store::next_position`].
    pub end: u64,
    /// Generation of the lease.
    pub generation: u64,
    /// Index of the node that holds the lease.
    pub holder: usize,
}

/// The store and its backups.
#[derive(Debug, Default)]
pub struct Store {
    /// Number of restores.
    pub era: Era,
    /// The current contents.
    pub data: StoreData,
    backups: VecDeque<(Millis, StoreData)>,
}

impl Store {
    /// Allocates the position of a new record.
    pub fn next_position(&mut self) -> LogPosition {
        self.data.end += 1;
        LogPosition { era: self.era, offset: self.data.end }
    }

    /// Writes a record unless a newer one of that instance exists; `None` removes the entry.
    pub fn write(&mut self, offset: u64, id: &InstanceId, listed_state: Option<&Instance>) {
        let newest = self.data.records.get(id).map(|(newest, _)| *newest);
        match listed_state {
            _ if newest > Some(offset) => {}
            Some(listed_state) => {
                self.data.records.insert(id.clone(), (offset, listed_state.clone()));
            }
            None => {
                self.data.records.remove(id);
            }
        }
    }

    /// Gives the lease to `holder`; returns its new fencing token.
    pub fn hand_over(&mut self, holder: usize) -> Fence {
        self.data.generation += 1;
        self.data.holder = holder;
        self.fence()
    }

    /// The fencing token of the current holder.
    pub fn fence(&self) -> Fence {
        Fence { era: self.era, generation: self.data.generation }
    }

    /// Makes a backup if one is due and deletes old ones.
    pub fn back_up(&mut self, now: Millis) {
        let is_due = self.backups.back().is_none_or(|(at, _)| now.since(*at) >= BACKUP_INTERVAL);
        if is_due {
            self.backups.push_back((now, self.data.clone()));
        }
        while self.backups.front().is_some_and(|(at, _)| now.since(*at) > BACKUP_MAX_AGE) {
            self.backups.pop_front();
        }
    }

    /// Restores the newest backup that is at least `age` old, or else the oldest there is. Later
    /// backups are deleted.
    pub fn restore_from_backup(&mut self, age: Millis, now: Millis) {
        let then = now - age;
        let at = self.backups.iter().rposition(|(at, _)| *at <= then).unwrap_or_default();
        self.backups.truncate(at + 1);
        if let Some((_, data)) = self.backups.back() {
            self.data = data.clone();
        }
        self.era = Era(self.era.0 + 1);
    }
}
