//! Retry budgets: retries are limited to a fraction of the ordinary requests, so that
//! they can't multiply the load during an outage.

use workshold_protocol::Millis;

/// Limits and backoff of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRules {
    /// Retries that each ordinary request adds to the budget.
    pub share: f64,
    /// Upper bound of the budget, in retries; the budget starts with it.
    pub burst: f64,
    /// Attempts per request, the first one included.
    pub max_attempts: u32,
    /// Backoff before the first retry; doubles with each further one.
    pub backoff: Millis,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self { share: 0.1, burst: 10.0, max_attempts: 3, backoff: Millis(10) }
    }
}

/// The retry budget of one team for one model or service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    rules: RetryRules,
    retries_left: f64,
}

impl RetryBudget {
    /// A full budget, of `burst` retries.
    pub fn new(rules: RetryRules) -> Self {
        Self { rules, retries_left: rules.burst }
    }

    /// Adds the fraction of a retry that an ordinary request earns.
    pub fn on_request(&mut self) {
        self.retries_left = (self.retries_left + self.rules.share).min(self.rules.burst);
    }

    /// Takes one retry out of the budget; returns false if there is none.
    pub fn take(&mut self) -> bool {
        let is_available = self.retries_left >= 1.0;
        if is_available {
            self.retries_left -= 1.0;
        }
        is_available
    }

    /// The backoff before attempt number `attempt`: exponential with jitter between half
    /// and the whole of the step. `draw` is a random number, uniform in 0 to 1.
    pub fn backoff(&self, attempt: u32, draw: f64) -> Millis {
        let doublings = attempt.saturating_sub(2).min(10);
        let step = self.rules.backoff.0 << doublings;
        Millis((step as f64 * (0.5 + 0.5 * draw)).round() as u64)
    }
}
