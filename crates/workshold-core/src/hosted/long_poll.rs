//! When a store that holds questions back until there is news is asked again.
//!
//! A question that waits for news looks like one that was lost. So nobody waits for a lost
//! one's time limit: once its answer is late another is asked beside it, that does not wait,
//! and one more each [`LongPollRules::retry_interval`] until any of them is answered. What is written after
//! the store's return is then read within [`LongPollRules::max_delay`], whatever the moment of the
//! return and however long each question is waited for.

use workshold_protocol::Millis;

/// The times that whoever asks keeps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongPollRules {
    /// For how long the store holds the first question if there is no news; none is held while
    /// the store is in doubt.
    pub wait: Millis,
    /// An answer that is later than its wait by this is late.
    pub late_after: Millis,
    /// The most between two questions while none is answered; drawn from two thirds of it on,
    /// so that nodes that lost the store at the same moment ask at different ones, and the
    /// first to hear tells the others.
    pub retry_interval: Millis,
}

impl LongPollRules {
    /// The longest from the moment at which the store answers again until a question is asked
    /// that it answers.
    pub fn max_delay(&self) -> Millis {
        (self.wait + self.late_after).max(self.retry_interval)
    }
}

/// The pause after the first refusal in a row; it doubles up to half of [`LongPollRules::retry_interval`].
const PAUSE_LEAST: Millis = Millis(150);

/// Questions for one thing, until one of them is answered.
#[derive(Debug, Clone)]
pub struct PollRound {
    rules: LongPollRules,
    asked: u32,
    failed: u32,
    next: Millis,
    pause: Millis,
}

impl PollRound {
    /// One whose first question is asked at `now`.
    pub fn new(rules: LongPollRules, now: Millis) -> Self {
        Self { rules, asked: 0, failed: 0, next: now, pause: PAUSE_LEAST }
    }

    /// When the next question is asked, unless one is answered before.
    pub fn next_poll_at(&self) -> Millis {
        self.next
    }

    /// Whether the one question asked so far is late, no refusal being the reason for the next.
    pub fn is_first_poll_late(&self) -> bool {
        self.asked == 1 && self.failed == 0
    }

    /// A question is asked; returns for how long the store is to hold it. `draw` is any number.
    pub fn on_poll_sent(&mut self, now: Millis, draw: u32) -> Millis {
        self.asked += 1;
        if self.asked == 1 && self.rules.wait > Millis::ZERO {
            self.next = now + self.rules.wait + self.rules.late_after;
            return self.rules.wait;
        }
        let third = self.rules.retry_interval.0 / 3;
        let drawn = (third * u64::from(draw)) >> u32::BITS;
        self.next = now + Millis(self.rules.retry_interval.0 - third + drawn);
        Millis::ZERO
    }

    /// Part of an answer came: it is on its way, and is not asked for a second time over a
    /// link that may be small.
    pub fn on_partial_answer(&mut self, now: Millis) {
        self.next = self.next.max(now + self.rules.late_after);
    }

    /// A question was not answered within its time. The next one does not depend on it.
    pub fn on_timeout(&mut self) {
        self.failed += 1;
    }

    /// A question was refused, or its answer says nothing.
    pub fn on_refusal(&mut self, now: Millis) {
        self.failed += 1;
        self.next = now + self.pause;
        let most = Millis(self.rules.retry_interval.0 / 2).max(PAUSE_LEAST);
        self.pause = (self.pause + self.pause).min(most);
    }

    /// Whether the store may have been away until the question was asked, the `number`th from
    /// 1 on, that is answered now.
    pub fn may_follow_outage(&self, number: u32) -> bool {
        self.failed > 0 || number > 1
    }

    /// Questions that were asked so far.
    pub fn asked(&self) -> u32 {
        self.asked
    }
}
