//! Tracks the era of the store and rejects answers from before its last restore. Every answer
//! of the store passes through here first.
//!
//! The store may be restored from a backup, which begins a new era
//! (`core::hosted::store_era`). An answer of an earlier era is rejected as a whole, because it may
//! have been on its way for a long time. The first answer of a later era, or a peer's report of
//! one, means that what this node has read is out of date and has to be read again.

use parking_lot::Mutex;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::EraOrder;
use workshold_core::hosted::store_era::EraTracker;
use workshold_platform::store::Answer;
use workshold_platform::store::StoreError;
use workshold_protocol::Millis;

/// The store's eras as this process has seen them, and when the store last answered.
#[derive(Debug, Default)]
pub struct StoreMonitor {
    era_tracker: Mutex<EraTracker>,
    /// The whole system starts for the first time: no store data predates this process and its
    /// peers.
    is_first_start: bool,
    /// When the latest request that the store answered was sent.
    answered: Mutex<Millis>,
}

impl StoreMonitor {
    /// A monitor that has seen no era yet.
    pub fn new(is_first_start: bool) -> Self {
        Self { is_first_start, ..Self::default() }
    }

    /// Checks an answer of the store to a request that was sent at `sent`. Returns its content,
    /// and whether the store was restored from a backup since the last answer.
    ///
    /// # Errors
    ///
    /// [`StoreError::OlderEra`] if the answer is of an earlier era and must be ignored.
    pub fn take<T>(
        &self,
        answer: Answer<T>,
        sent: Millis,
        now: Millis,
    ) -> Result<(T, bool), StoreError> {
        let order = self.observe(answer.era, now);
        if order == EraOrder::Older {
            return Err(StoreError::OlderEra(self.era().0 - answer.era.0));
        }
        let mut answered = self.answered.lock();
        *answered = (*answered).max(sent);
        Ok((answer.value, order == EraOrder::Newer))
    }

    /// Records that `era` has been known since `since`, to this node or a peer. Returns how it
    /// compares with the newest era known before.
    pub fn observe(&self, era: Era, since: Millis) -> EraOrder {
        let mut era_tracker = self.era_tracker.lock();
        let is_first = !era_tracker.is_known();
        let order = era_tracker.observe(era, since);
        if is_first && self.is_first_start {
            era_tracker.mark_settled(era);
        }
        order
    }

    /// Records that `era` has lasted long, as data kept in the store shows.
    pub fn mark_settled(&self, era: Era) {
        self.era_tracker.lock().mark_settled(era);
    }

    /// The newest era known.
    pub fn era(&self) -> Era {
        self.era_tracker.lock().era()
    }

    /// The newest era and for how many milliseconds it has been known, for gossip; `None` before
    /// any is known.
    pub fn told(&self, now: Millis) -> Option<(Era, u64)> {
        let era_tracker = *self.era_tracker.lock();
        era_tracker.is_known().then(|| (era_tracker.era(), era_tracker.age(now).0))
    }

    /// From when on the store's list matches the instances that exist: after a restore they need
    /// time to register again.
    pub fn trusted_from(&self) -> Millis {
        self.era_tracker.lock().trusted_from()
    }

    /// When the latest request that the store answered was sent.
    pub fn answered(&self) -> Millis {
        *self.answered.lock()
    }
}
