//! Times and durations in milliseconds, and the clocks that they are read from.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A point in time or a duration, in milliseconds.
///
/// Times from [`Clock::now`] can only be compared with times of the same clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The earliest time, and the empty duration.
    pub const ZERO: Self = Self(0);

    /// Converts whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the duration from `earlier` to `self`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to the standard library's type.
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns seconds as a floating-point number, for rates.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Source of the current time; tests and the model checker use their own.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time since a point that is fixed for this clock.
    fn now(&self) -> Millis;

    /// Returns the wall-clock time since the Unix epoch; it may jump when the machine's clock is
    /// set.
    fn wall(&self) -> Millis;
}

/// The operating system's clocks. Its monotonic time includes the time that the machine was
/// suspended, so that a lease or a key expires on time even then.
#[derive(Debug)]
pub struct SystemClock {
    /// Time since boot at which the clock was created.
    start: Duration,
}

/// Added to the process clock, so that `now - ttl` is not cut off at zero just after the start.
const CLOCK_START: Millis = Millis::from_secs(1_000);

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: since_boot() }
    }
}

/// Returns the monotonic time since the machine booted, including time suspended.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        CLOCK_START + Millis(since_boot().saturating_sub(self.start).as_millis() as u64)
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(since_epoch.as_millis() as u64)
    }
}
