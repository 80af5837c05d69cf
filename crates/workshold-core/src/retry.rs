//! Retry budgets: a share of the ordinary requests, so that trouble stays small.

use workshold_protocol::Millis;

/// How many retries there may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRules {
    /// Retries for each ordinary request.
    pub share: f64,
    /// Retries that can be saved up.
    pub burst: f64,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Wait before the first retry; doubles with each.
    pub backoff: Millis,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self { share: 0.1, burst: 10.0, max_attempts: 3, backoff: Millis(10) }
    }
}

/// The retries that one team has left for one model or service.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    rules: RetryRules,
    left: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(rules: RetryRules) -> Self {
        Self { rules, left: rules.burst }
    }

    /// An ordinary request earns a share of a retry.
    pub fn on_request(&mut self) {
        self.left = (self.left + self.rules.share).min(self.rules.burst);
    }

    /// Takes one retry if there is one.
    pub fn take(&mut self) -> bool {
        let has_one = self.left >= 1.0;
        if has_one {
            self.left -= 1.0;
        }
        has_one
    }

    /// How long to wait before attempt `attempt`, between half and the whole of
    /// the step; `draw` is uniform in 0 to 1.
    pub fn backoff(&self, attempt: u32, draw: f64) -> Millis {
        let doublings = attempt.saturating_sub(2).min(10);
        let step = self.rules.backoff.0 << doublings;
        Millis((step as f64 * (0.5 + 0.5 * draw)).round() as u64)
    }
}
