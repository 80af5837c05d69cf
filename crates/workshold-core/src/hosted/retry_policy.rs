//! What may be tried again, and how often over all nodes together.

use std::collections::VecDeque;

use workshold_protocol::Millis;

use super::serving_config::Route;

/// How one try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of it left this node.
    NotSent,
    /// The same: its instance takes nothing from this node for now, by its own word.
    Withheld,
    /// The upstream says that it has not run it and will not.
    Refused,
    /// It may have run: the connection broke, or nothing came.
    Unknown,
    /// The same, and its connection broke while it had just begun to run, or waited: its
    /// instance may have ended by it.
    Broken,
    /// It ran and failed, by the upstream's word.
    Failed,
}

/// What a request has used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptsUsed {
    /// Upstream instances that it was sent to.
    pub sent: u32,
    /// Tries that never left.
    pub not_sent: u32,
    /// Whether one of those sends may have run.
    pub may_have_run: bool,
}

/// What follows a try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another try elsewhere.
    Again,
    /// The caller is told that it has not run.
    NotRun,
    /// The caller is told that nobody knows.
    Unknown,
    /// The caller is given the upstream's own failure.
    PassOn,
}

/// Tries that never left, before a request is given up: more instances than are
/// usually lost at once.
const MOST_NOT_SENT: u32 = 4;

/// The one place that says whether a request may be tried again.
pub fn next(
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
            used.not_sent < MOST_NOT_SENT && may_send && (is_first || route.is_repeatable())
        }
        AttemptEnd::Refused => may_send && has_budget,
        AttemptEnd::Unknown | AttemptEnd::Broken | AttemptEnd::Failed => {
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

/// Whether another try may begin beside `under_way` ones that have not ended: they may
/// all run, and each may be the one that answers.
pub fn may_hedge(route: &Route, used: AttemptsUsed, under_way: u32) -> bool {
    let has_attempts = used.sent + under_way < route.attempts.max(1);
    route.is_repeatable() && has_attempts && used.not_sent < MOST_NOT_SENT
}

/// How repeats are bounded over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetRules {
    /// Repeats for each request.
    pub ratio: f64,
    /// The time over which they count.
    pub window: Millis,
    /// Repeats that all nodes together may make beyond that.
    pub slack: f64,
}

/// Part of the allowance that is used; the rest is for nodes whose view is late and for
/// processes in their first window.
const USED_PART: f64 = 0.8;
/// The part that a process uses in its first window, of the ratio only. One that it
/// replaces may have used its whole part just before, by requests that have left the
/// window since: what is taken then must come out of what nobody uses.
const PART_AT_FIRST: f64 = 1.0 - USED_PART;
/// Steps that a window is counted in.
const STEPS: u64 = 20;

/// One node's part of the budget for one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    rules: RetryBudgetRules,
    whole_from: Millis,
    steps: VecDeque<(u64, u32, u32)>,
}

/// How far a budget is used.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Repeats that were taken in it.
    pub repeats: u32,
    /// Repeats that this node may take in it.
    pub allowed: f64,
}

impl RetryBudget {
    /// Nothing used yet, by nobody.
    pub fn new(rules: RetryBudgetRules) -> Self {
        Self { rules, whole_from: Millis::ZERO, steps: VecDeque::new() }
    }

    /// Of a process that `began` when the system ran already: it has its whole part once
    /// all has left the window that another one may have taken in its place, or that
    /// others took before they heard of a new node.
    pub fn for_restart(rules: RetryBudgetRules, began: Millis) -> Self {
        let whole_from = began + rules.window + step_len(rules);
        Self { whole_from, ..Self::new(rules) }
    }

    /// A request came.
    pub fn on_request(&mut self, now: Millis) {
        self.step(now).1 += 1;
    }

    /// Takes one repeat, if this node's part allows it; `nodes` share the slack.
    pub fn take(&mut self, now: Millis, nodes: usize) -> bool {
        let usage = self.usage(now, nodes);
        if f64::from(usage.repeats) + 1.0 > usage.allowed {
            return false;
        }
        self.step(now).2 += 1;
        true
    }

    /// How far it is used.
    pub fn usage(&mut self, now: Millis, nodes: usize) -> RetryBudgetUsage {
        let number = self.step(now).0;
        let recent = self.steps.iter().filter(|step| step.0 + STEPS > number);
        let requests = recent.map(|step| step.1).sum();
        let repeats = self.steps.iter().map(|step| step.2).sum();
        let earned = self.rules.ratio * f64::from(requests);
        let own_slack = self.rules.slack / nodes.max(1) as f64;
        let is_whole = now >= self.whole_from;
        let allowed =
            if is_whole { (earned + own_slack) * USED_PART } else { earned * PART_AT_FIRST };
        RetryBudgetUsage { requests, repeats, allowed }
    }

    /// The step under way. A repeat counts until its whole step is older than a window.
    /// Gives the last repeat back: it never left.
    pub fn refund(&mut self) {
        if let Some(step) = self.steps.iter_mut().rev().find(|step| step.2 > 0) {
            step.2 -= 1;
        }
    }

    fn step(&mut self, now: Millis) -> &mut (u64, u32, u32) {
        let number = now.0 / step_len(self.rules).0;
        while self.steps.front().is_some_and(|step| step.0 + STEPS < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.0 != number) {
            self.steps.push_back((number, 0, 0));
        }
        self.steps.back_mut().expect("one was just pushed")
    }
}

fn step_len(rules: RetryBudgetRules) -> Millis {
    Millis(rules.window.0.div_ceil(STEPS).max(1))
}
