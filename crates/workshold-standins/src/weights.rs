//! The weight store: it gives so much a second to all who load.

use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

/// When each load that was asked for will be through.
#[derive(Debug)]
pub struct WeightStore {
    mib_per_s: u32,
    free_at: Mutex<Instant>,
}

impl WeightStore {
    /// A store that gives `mib_per_s` in all.
    pub fn new(mib_per_s: u32) -> Self {
        Self { mib_per_s: mib_per_s.max(1), free_at: Mutex::new(Instant::now()) }
    }

    /// When a load of `mib` that starts now is through: the reader takes
    /// `reader_mib_per_s` at most, and loads queue at the store.
    pub fn load(&self, mib: u32, reader_mib_per_s: u32) -> Instant {
        let secs = |rate: u32| Duration::from_secs_f64(f64::from(mib) / f64::from(rate.max(1)));
        let now = Instant::now();
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(now) + secs(self.mib_per_s);
        (*free_at).max(now + secs(reader_mib_per_s))
    }
}
