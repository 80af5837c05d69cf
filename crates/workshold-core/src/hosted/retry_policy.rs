//! Which requests may be retried, and the retry budget that all nodes share.

use std::collections::VecDeque;

use workshold_protocol::Millis;

use super::serving_config::Route;

/// How one attempt to run a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request left this node.
    NotSent,
    /// No byte left this node, since the instance announced that it takes no request from it now.
    Withheld,
    /// The upstream reported that it hasn't run the request and won't.
    Refused,
    /// The request may have run: the connection broke, or no answer came.
    Unknown,
    /// As [`AttemptEnd::Unknown`], and the connection broke while the request had just started or
    /// was queued: the request may have crashed its instance.
    Broken,
    /// As [`AttemptEnd::Unknown`]: a response came, and nothing shows that it is complete.
    Unproven,
    /// The request ran and failed, as the upstream reported.
    Failed,
}

/// The attempts of a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptsUsed {
    /// Attempts that were sent to an upstream instance.
    pub sent: u32,
    /// Attempts that ended before anything was sent.
    pub not_sent: u32,
    /// Whether the request may have run in one of those that were sent.
    pub may_have_run: bool,
}

/// What follows after an attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt at another instance.
    Again,
    /// The caller is told that the request hasn't run.
    NotRun,
    /// The caller is told that the request may have run.
    Unknown,
    /// The caller gets the upstream's own error answer.
    PassOn,
}

/// Number of attempts without anything sent after which a request is given up: more instances than
/// are usually lost at once.
const NOT_SENT_MAX: u32 = 4;

/// Decides what follows after an attempt ended with `ending`. No other code decides whether a
/// request is retried.
pub fn next_step(
    route: &Route,
    ending: AttemptEnd,
    used: AttemptsUsed,
    has_budget: bool,
    has_time: bool,
) -> NextStep {
    let may_send = used.sent < route.attempts.max(1) && has_time;
    let again = match ending {
        AttemptEnd::NotSent | AttemptEnd::Withheld => {
            let is_first = used.sent == 0;
            used.not_sent < NOT_SENT_MAX && may_send && (is_first || route.is_repeatable())
        }
        AttemptEnd::Refused => may_send && has_budget,
        AttemptEnd::Unknown | AttemptEnd::Broken | AttemptEnd::Unproven | AttemptEnd::Failed => {
            may_send && has_budget && route.is_repeatable()
        }
    };
    if again {
        return NextStep::Again;
    }
    if ending == AttemptEnd::Failed {
        return NextStep::PassOn;
    }
    if used.may_have_run { NextStep::Unknown } else { NextStep::NotRun }
}

/// Whether another attempt may start in parallel to `under_way` ones that haven't ended. All of
/// them may run, and any of them may be the one that answers.
pub fn may_hedge(route: &Route, used: AttemptsUsed, under_way: u32) -> bool {
    let has_attempts = used.sent + under_way < route.attempts.max(1);
    route.is_repeatable() && has_attempts && used.not_sent < NOT_SENT_MAX
}

/// The retry budget of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetRules {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Millis,
    /// Retries in each window that all nodes together may make beyond that.
    pub slack: f64,
}

/// Fraction of the budget that nodes use. The rest is for nodes that learn late how many share it,
/// and for processes in their first window.
const USED_FRACTION: f64 = 0.8;
/// Fraction that a process uses in its first window, and only of the retries that its own requests
/// allow. A process that it replaces may have used its whole share just before, on the strength of
/// requests that have left the window since, so these retries must come out of the unused rest.
const FIRST_WINDOW_FRACTION: f64 = 1.0 - USED_FRACTION;
/// Number of buckets that a window is counted in.
const BUCKETS: u64 = 20;

/// One node's share of the retry budget for one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rules: RetryBudgetRules,
    /// When the process gets its whole share.
    full_share_from: Millis,
    /// Bucket number, requests and retries, oldest bucket first.
    buckets: VecDeque<(u64, u32, u32)>,
}

/// How much of a node's share of the retry budget is used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries taken in the window.
    pub repeats: u32,
    /// Retries that this node may take in the window.
    pub allowed: f64,
}

impl RetryBudget {
    /// A budget of which neither this process nor an earlier one has used anything.
    pub fn new(rules: RetryBudgetRules) -> Self {
        Self { rules, full_share_from: Millis::ZERO, buckets: VecDeque::new() }
    }

    /// The budget of a process that `began` when the fleet was already running. It has its whole
    /// share once the window no longer holds retries that the process it replaces may have taken,
    /// or that other nodes took before they knew of a new node.
    pub fn for_restart(rules: RetryBudgetRules, began: Millis) -> Self {
        let full_share_from = began + rules.window + bucket_len(rules);
        Self { full_share_from, ..Self::new(rules) }
    }

    /// Counts a request that arrived.
    pub fn on_request(&mut self, now: Millis) {
        self.bucket(now).1 += 1;
    }

    /// Takes one retry if this node's share allows it, and returns whether it did. The slack is
    /// divided among `nodes`.
    pub fn take(&mut self, now: Millis, nodes: usize) -> bool {
        let usage = self.usage(now, nodes);
        if f64::from(usage.repeats) + 1.0 > usage.allowed {
            return false;
        }
        self.bucket(now).2 += 1;
        true
    }

    /// How much of the share is used in the window up to `now`.
    pub fn usage(&mut self, now: Millis, nodes: usize) -> RetryBudgetUsage {
        let number = self.bucket(now).0;
        let recent = self.buckets.iter().filter(|bucket| bucket.0 + BUCKETS > number);
        let requests = recent.map(|bucket| bucket.1).sum();
        let repeats = self.buckets.iter().map(|bucket| bucket.2).sum();
        let earned = self.rules.ratio * f64::from(requests);
        let slack_share = self.rules.slack / nodes.max(1) as f64;
        let has_full_share = now >= self.full_share_from;
        let allowed = if has_full_share {
            (earned + slack_share) * USED_FRACTION
        } else {
            earned * FIRST_WINDOW_FRACTION
        };
        RetryBudgetUsage { requests, repeats, allowed }
    }

    /// Gives the last retry back, since it was never sent.
    pub fn refund(&mut self) {
        if let Some(bucket) = self.buckets.iter_mut().rev().find(|bucket| bucket.2 > 0) {
            bucket.2 -= 1;
        }
    }

    /// The current bucket. Drops those that are older than a window: a retry counts until its whole
    /// bucket is.
    fn bucket(&mut self, now: Millis) -> &mut (u64, u32, u32) {
        let number = now.0 / bucket_len(self.rules).0;
        while self.buckets.front().is_some_and(|bucket| bucket.0 + BUCKETS < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.0 != number) {
            self.buckets.push_back((number, 0, 0));
        }
        self.buckets.back_mut().expect("one was just pushed")
    }
}

/// Length of a bucket.
fn bucket_len(rules: RetryBudgetRules) -> Millis {
    Millis(rules.window.0.div_ceil(BUCKETS).max(1))
}
