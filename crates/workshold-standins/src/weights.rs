//! A stand-in for the weight store, whose bandwidth is shared by all engines.

use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

/// Computes when each load finishes; no data is transferred.
#[derive(Debug)]
pub struct WeightStore {
    mib_per_s: u32,
    free_at: Mutex<Instant>,
}

impl WeightStore {
    /// Creates a store with a total bandwidth of `mib_per_s` MiB per second.
    pub fn new(mib_per_s: u32) -> Self {
        Self { mib_per_s: mib_per_s.max(1), free_at: Mutex::new(Instant::now()) }
    }

    /// Returns when a load of `mib` MiB that starts now is complete. The reader takes at most
    /// `reader_mib_per_s` MiB per second, and loads queue at the store.
    pub fn load(&self, mib: u32, reader_mib_per_s: u32) -> Instant {
        let secs = |rate: u32| Duration::from_secs_f64(f64::from(mib) / f64::from(rate.max(1)));
        let now = Instant::now();
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(now) + secs(self.mib_per_s);
        (*free_at).max(now + secs(reader_mib_per_s))
    }
}
