//! The course of one request: numbered attempts, and exactly three ends.
//!
//! A request ends as answered, as not run, or as unknown. It is not run only
//! where that is proved: no byte reached an upstream, or the upstream said that
//! it refused before it started. Only such a request, or one that may run more
//! than once, is tried again. What a superseded attempt says late is dropped.

use workshold_protocol::Millis;
use workshold_protocol::problem::Code;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It may.
    Repeatable,
    /// It must not.
    AtMostOnce,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum End {
    /// The whole answer went to the caller, once.
    Answered,
    /// Proved: it did not run and never will.
    NotRun(Code),
    /// It may have run.
    Unknown(Code),
}

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// No connection came about, so no byte left.
    ConnectFailed,
    /// The first byte is about to leave.
    Sending,
    /// The upstream refused, and says that it had not started.
    RefusedBeforeStart,
    /// The connection broke, or the upstream failed, after bytes had left.
    Broken,
    /// The answer is whole.
    Done,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// Nothing could be found that would take it, for this reason.
    NotPlaced(Code),
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// Go on with the attempt.
    GoOn,
    /// Make another attempt of this number.
    TryAgain(u32),
    /// The request is over.
    Finish(End),
}

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestLifecycle {
    repeatability: Repeatability,
    deadline: Millis,
    max_attempts: u32,
    attempt: u32,
    /// This attempt's bytes left, and nothing proved since that it did not run.
    sent: bool,
    /// The same of an earlier attempt.
    sent_earlier: bool,
    tokens: u32,
    end: Option<End>,
}

impl RequestLifecycle {
    /// A request that stands before its first attempt.
    pub fn new(repeatability: Repeatability, deadline: Millis, max_attempts: u32) -> Self {
        Self {
            repeatability,
            deadline,
            max_attempts: max_attempts.max(1),
            attempt: 1,
            sent: false,
            sent_earlier: false,
            tokens: 0,
            end: None,
        }
    }

    /// The number of the attempt under way, from 1.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Tokens that went to the caller.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The end, once there is one. It never changes.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// When the caller gives up.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Whether the token `index` of `attempt` is the next one for the caller.
    ///
    /// Tokens of a superseded attempt, and those the caller has, are dropped.
    pub fn accept_token(&mut self, attempt: u32, index: u32) -> bool {
        let is_next = self.end.is_none() && attempt == self.attempt && index == self.tokens;
        if is_next {
            self.tokens += 1;
        }
        is_next
    }

    /// Takes what happened to `attempt` and says what to do.
    ///
    /// `may_retry` is what the retry budget says; it is asked only where the
    /// rules allow another attempt.
    pub fn on(
        &mut self,
        attempt: u32,
        event: Event,
        now: Millis,
        may_retry: impl FnOnce() -> bool,
    ) -> Next {
        if let Some(end) = self.end {
            return Next::Finish(end);
        }
        if attempt != self.attempt {
            return Next::GoOn;
        }
        match event {
            Event::Sending => self.on_sending(now),
            Event::Done => self.finish(End::Answered),
            Event::DeadlinePassed => self.give_up(Code::DeadlineExceeded),
            Event::NotPlaced(code) => self.give_up(code),
            Event::ConnectFailed => self.try_again(Code::NoUpstream, now, may_retry),
            Event::RefusedBeforeStart => self.on_refused(now, may_retry),
            Event::Broken => self.on_broken(now, may_retry),
        }
    }

    fn on_sending(&mut self, now: Millis) -> Next {
        if now >= self.deadline {
            return self.give_up(Code::DeadlineExceeded);
        }
        self.sent = true;
        Next::GoOn
    }

    fn on_refused(&mut self, now: Millis, may_retry: impl FnOnce() -> bool) -> Next {
        self.sent = false;
        self.try_again(Code::Overloaded, now, may_retry)
    }

    fn on_broken(&mut self, now: Millis, may_retry: impl FnOnce() -> bool) -> Next {
        if self.repeatability == Repeatability::AtMostOnce {
            return self.give_up(Code::UpstreamFailed);
        }
        self.try_again(Code::UpstreamFailed, now, may_retry)
    }

    /// Whether the rules allow another attempt, if the retry budget does.
    pub fn may_try_again(&self, now: Millis) -> bool {
        let is_safe = !self.may_have_run() || self.repeatability == Repeatability::Repeatable;
        let in_time = now < self.deadline && self.attempt < self.max_attempts;
        self.end.is_none() && is_safe && in_time
    }

    fn try_again(&mut self, code: Code, now: Millis, may_retry: impl FnOnce() -> bool) -> Next {
        if self.may_try_again(now) && may_retry() {
            self.attempt += 1;
            self.sent_earlier |= self.sent;
            self.sent = false;
            return Next::TryAgain(self.attempt);
        }
        self.give_up(code)
    }

    fn give_up(&mut self, code: Code) -> Next {
        let end = if self.may_have_run() { End::Unknown(code) } else { End::NotRun(code) };
        self.finish(end)
    }

    fn may_have_run(&self) -> bool {
        self.sent || self.sent_earlier
    }

    fn finish(&mut self, end: End) -> Next {
        self.end = Some(end);
        Next::Finish(end)
    }
}
