//! Timing of long polls of the store, which holds a poll open until there are changes.
//!
//! A poll that is held open looks the same as one that was lost. So a node doesn't wait for the
//! timeout of a lost poll: once the answer is late, it sends another poll in parallel that the
//! store doesn't hold, then one more every [`LongPollRules::retry_interval`] until any of them is
//! answered. What is written after an outage of the store is then read within
//! [`LongPollRules::max_delay`], whenever the outage ends and however long each poll waits.

use workshold_protocol::Millis;

/// Times that a node keeps to when it polls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongPollRules {
    /// How long the store holds the first poll open if nothing changes. Later polls of the
    /// round aren't held, since the store may be unavailable.
    pub wait: Millis,
    /// How long after the hold time an answer counts as late.
    pub late_after: Millis,
    /// Longest time between two polls while none is answered. The actual time is drawn between
    /// two thirds of this and all of it, so that nodes that lost the store at the same moment
    /// poll at different moments, and the first one that gets an answer tells the others.
    pub retry_interval: Millis,
}

impl LongPollRules {
    /// Longest time from the moment at which the store answers again until a poll is sent that
    /// it answers.
    pub fn max_delay(&self) -> Millis {
        (self.wait + self.late_after).max(self.retry_interval)
    }
}

/// Backoff after the first of several errors in a row; it doubles up to half of
/// [`LongPollRules::retry_interval`].
const BACKOFF_MIN: Millis = Millis(150);

/// The polls that are sent for one answer.
#[derive(Debug, Clone)]
pub struct PollRound {
    rules: LongPollRules,
    asked: u32,
    failed: u32,
    next_at: Millis,
    backoff: Millis,
}

impl PollRound {
    /// A round whose first poll is due at `now`.
    pub fn new(rules: LongPollRules, now: Millis) -> Self {
        Self { rules, asked: 0, failed: 0, next_at: now, backoff: BACKOFF_MIN }
    }

    /// When the next poll is due, unless one is answered before.
    pub fn next_poll_at(&self) -> Millis {
        self.next_at
    }

    /// Whether one poll was sent and no failure was recorded: then the next poll is due because
    /// the first one's answer is late.
    pub fn is_first_poll_late(&self) -> bool {
        self.asked == 1 && self.failed == 0
    }

    /// Records that a poll is sent, and returns how long the store is to hold it. `draw` is a
    /// random number that sets when the next poll is due.
    pub fn on_poll_sent(&mut self, now: Millis, draw: u32) -> Millis {
        self.asked += 1;
        if self.asked == 1 && self.rules.wait > Millis::ZERO {
            self.next_at = now + self.rules.wait + self.rules.late_after;
            return self.rules.wait;
        }
        let jitter_range = self.rules.retry_interval.0 / 3;
        let jitter = (jitter_range * u64::from(draw)) >> u32::BITS;
        self.next_at = now + Millis(self.rules.retry_interval.0 - jitter_range + jitter);
        Millis::ZERO
    }

    /// Records that part of an answer came. The rest is on its way, so the next poll is put off:
    /// the link may be too slow to carry the answer twice.
    pub fn on_partial_answer(&mut self, now: Millis) {
        self.next_at = self.next_at.max(now + self.rules.late_after);
    }

    /// Records that a poll timed out. When the next one is due doesn't depend on it.
    pub fn on_timeout(&mut self) {
        self.failed += 1;
    }

    /// Records that a poll was refused, or that its answer is unusable: the next one follows
    /// after a backoff.
    pub fn on_refusal(&mut self, now: Millis) {
        self.failed += 1;
        self.next_at = now + self.backoff;
        let backoff_max = Millis(self.rules.retry_interval.0 / 2).max(BACKOFF_MIN);
        self.backoff = (self.backoff + self.backoff).min(backoff_max);
    }

    /// Whether the store may have been unavailable until the poll was sent that is answered now:
    /// the `number`th of the round, from 1 on.
    pub fn may_follow_outage(&self, number: u32) -> bool {
        self.failed > 0 || number > 1
    }

    /// Number of polls sent so far.
    pub fn asked(&self) -> u32 {
        self.asked
    }
}
