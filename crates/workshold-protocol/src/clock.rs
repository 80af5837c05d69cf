//! The one clock type of the project, in milliseconds.

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

/// A point in time or a span, in milliseconds.
///
/// Points read from [`Clock::now`] only compare with points of the same clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of time, and the empty span.
    pub const ZERO: Self = Self(0);

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// The span from `earlier` to here; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The same span for the standard library.
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Seconds as a floating-point number, for rates.
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

/// Where a process reads the time.
pub trait Clock: Send + Sync {
    /// Time since some fixed point of this process; never goes back.
    fn now(&self) -> Millis;

    /// Time since the Unix epoch as the machine believes it; may jump.
    fn wall(&self) -> Millis;
}

/// The machine's own clocks. Time while the machine sleeps counts: a lease or a key that
/// is good for seconds is not good for longer because nobody was awake.
#[derive(Debug)]
pub struct SystemClock {
    start: Duration,
}

/// Added to the process clock, so that `now - ttl` never meets zero.
const CLOCK_BASE: Millis = Millis::from_secs(1_000);

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: since_boot() }
    }
}

/// Time since the machine began, its sleep included; it never goes back.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(u64::try_from(time.tv_sec).unwrap_or_default(), nanos)
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        CLOCK_BASE + Millis(since_boot().saturating_sub(self.start).as_millis() as u64)
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(since_epoch.as_millis() as u64)
    }
}
