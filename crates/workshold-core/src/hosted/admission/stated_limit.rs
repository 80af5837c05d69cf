//! The time limit that the callers of a route usually state at their first attempt.
//!
//! How long a refused caller has waited follows from the time that it has left and the limit that it
//! began with. The route's configured limit may be longer than what its callers state, and changes
//! while they go on as before, so the longest limit that was stated lately counts.

use workshold_protocol::Millis;

/// Length of the periods of which the present and the last one count: many first attempts arrive in
/// it, whatever share of the requests are returns.
const PERIOD: Millis = Millis::from_secs(10);

/// The longest time limit that callers of one route stated lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StatedLimit {
    period: u64,
    longest: Millis,
    longest_before: Millis,
}

impl StatedLimit {
    /// Whether a limit of the present or the last period is known.
    pub fn is_recent(&self, now: Millis) -> bool {
        now.0 / PERIOD.0 <= self.period + 1
    }

    /// Records the time left that a request states, and returns the limit that counts for it, which
    /// is never shorter than that and never longer than `configured` unless that is.
    pub fn on_request(&mut self, time_left: Millis, configured: Millis, now: Millis) -> Millis {
        let period = now.0 / PERIOD.0;
        if period != self.period {
            let is_next = period == self.period + 1;
            self.longest_before = if is_next { self.longest } else { Millis::ZERO };
            self.longest = Millis::ZERO;
            self.period = period;
        }
        self.longest = self.longest.max(time_left);
        self.longest.max(self.longest_before).min(configured).max(time_left)
    }
}
