//! What if the store's answer is older than what this node holds? All of its answers come
//! through here first.
//!
//! The store may come back from a copy (`core::hosted::store_era`). An answer of an earlier past
//! is dropped whole, whatever it says: it may have been on its way for long. The first answer
//! of a later one, or a peer's word of it, is a rise: what this node keeps of the store is
//! then of the past, and is read anew.

use parking_lot::Mutex;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::EraOrder;
use workshold_core::hosted::store_era::EraTracker;
use workshold_platform::store::Answer;
use workshold_platform::store::StoreError;
use workshold_protocol::Millis;

/// The store's pasts as this process has heard of them, and when it last answered.
#[derive(Debug, Default)]
pub struct StoreMonitor {
    store_era: Mutex<EraTracker>,
    /// Nothing was there before this process and those that started with it.
    is_first_start: bool,
    /// When a question was sent that was answered, the last one.
    answered: Mutex<Millis>,
}

impl StoreMonitor {
    /// Those of a process that has heard of nothing yet.
    pub fn new(is_first_start: bool) -> Self {
        Self { is_first_start, ..Self::default() }
    }

    /// The store answered a question that was sent at `sent`. Returns what it says, and
    /// whether it has come back from a copy since the last answer.
    ///
    /// # Errors
    ///
    /// [`StoreError::Earlier`]: the answer is of a past that is over, and says nothing.
    pub fn take<T>(
        &self,
        answer: Answer<T>,
        sent: Millis,
        now: Millis,
    ) -> Result<(T, bool), StoreError> {
        let heard = self.observe(answer.era, now);
        if heard == EraOrder::Older {
            return Err(StoreError::Earlier(self.era().0 - answer.era.0));
        }
        let mut answered = self.answered.lock();
        *answered = (*answered).max(sent);
        Ok((answer.said, heard == EraOrder::Newer))
    }

    /// Somebody heard of `era` first at `since`.
    pub fn observe(&self, era: Era, since: Millis) -> EraOrder {
        let mut store_era = self.store_era.lock();
        let is_first = !store_era.is_known();
        let heard = store_era.observe(era, since);
        if is_first && self.is_first_start {
            store_era.mark_settled(era);
        }
        heard
    }

    /// What the store keeps shows that `era` has lasted for long.
    pub fn mark_settled(&self, era: Era) {
        self.store_era.lock().mark_settled(era);
    }

    /// The newest past heard of.
    pub fn era(&self) -> Era {
        self.store_era.lock().era()
    }

    /// The newest past and how long it has been known, to be told to others.
    pub fn told(&self, now: Millis) -> Option<(Era, u64)> {
        let store_era = *self.store_era.lock();
        store_era.is_known().then(|| (store_era.era(), store_era.age(now).0))
    }

    /// From when on what the store lists is what there is.
    pub fn trusted_from(&self) -> Millis {
        self.store_era.lock().trusted_from()
    }

    /// When a question was sent that the store answered, the last one.
    pub fn answered(&self) -> Millis {
        *self.answered.lock()
    }
}
