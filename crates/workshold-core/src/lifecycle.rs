//! The life cycle of one request: numbered attempts, and one of three results.
//!
//! A request ends as answered, as not run, or as unknown. "Not run" is reported
//! only where it is proved: no byte reached an upstream, or the upstream stated
//! that it refused the request before it started. Only a request that provably
//! did not run, or that may run more than once, is retried. Late events of a
//! superseded attempt are dropped.

use workshold_protocol::Millis;
use workshold_protocol::problem::ProblemCode;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// It may run any number of times.
    Repeatable,
    /// It must not run twice.
    AtMostOnce,
}

/// The result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestResult {
    /// The caller got the whole answer, once.
    Answered,
    /// It provably did not run and never will.
    NotRun(ProblemCode),
    /// It may have run, in whole or in part.
    Unknown(ProblemCode),
}

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The connection could not be made, so no byte was sent.
    ConnectFailed,
    /// The first byte is about to be sent.
    Sending,
    /// The upstream refused the request and stated that it had not started it.
    RefusedBeforeStart,
    /// The connection broke, or the upstream failed, after bytes had been sent.
    Broken,
    /// The answer is complete.
    Done,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// No upstream would take the request, for this reason.
    NotPlaced(ProblemCode),
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// Continue the current attempt.
    GoOn,
    /// Start another attempt with this number.
    TryAgain(u32),
    /// The request is over with this result.
    Finish(RequestResult),
}

/// The state of one request over all its attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestLifecycle {
    repeatability: Repeatability,
    deadline: Millis,
    max_attempts: u32,
    attempt: u32,
    /// Bytes of this attempt were sent, and nothing has proved since that it did not run.
    sent: bool,
    /// The same for any earlier attempt.
    sent_earlier: bool,
    tokens: u32,
    end: Option<RequestResult>,
}

impl RequestLifecycle {
    /// A request before its first attempt; `max_attempts` of 0 counts as 1.
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

    /// The number of the current attempt, from 1.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Tokens passed on to the caller so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The result; `None` while the request runs. It never changes once set.
    pub fn end(&self) -> Option<RequestResult> {
        self.end
    }

    /// When the caller stops waiting.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Counts the token `index` of `attempt` if it is the next one for the caller.
    ///
    /// Returns false for one that must be dropped: a token of a superseded
    /// attempt, one that the caller has, or any after the end.
    pub fn accept_token(&mut self, attempt: u32, index: u32) -> bool {
        let is_next = self.end.is_none() && attempt == self.attempt && index == self.tokens;
        if is_next {
            self.tokens += 1;
        }
        is_next
    }

    /// Handles an event of `attempt` and returns what to do.
    ///
    /// `may_retry` takes a retry out of the retry budget; it is called only where
    /// the rules allow another attempt.
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
            Event::Done => self.finish(RequestResult::Answered),
            Event::DeadlinePassed => self.give_up(ProblemCode::DeadlineExceeded),
            Event::NotPlaced(code) => self.give_up(code),
            Event::ConnectFailed => self.try_again(ProblemCode::NoUpstream, now, may_retry),
            Event::RefusedBeforeStart => self.on_refused(now, may_retry),
            Event::Broken => self.on_broken(now, may_retry),
        }
    }

    fn on_sending(&mut self, now: Millis) -> Next {
        if now >= self.deadline {
            return self.give_up(ProblemCode::DeadlineExceeded);
        }
        self.sent = true;
        Next::GoOn
    }

    fn on_refused(&mut self, now: Millis, may_retry: impl FnOnce() -> bool) -> Next {
        self.sent = false;
        self.try_again(ProblemCode::Overloaded, now, may_retry)
    }

    fn on_broken(&mut self, now: Millis, may_retry: impl FnOnce() -> bool) -> Next {
        if self.repeatability == Repeatability::AtMostOnce {
            return self.give_up(ProblemCode::UpstreamFailed);
        }
        self.try_again(ProblemCode::UpstreamFailed, now, may_retry)
    }

    /// Whether another attempt is allowed, the retry budget aside.
    pub fn may_try_again(&self, now: Millis) -> bool {
        let is_safe = !self.may_have_run() || self.repeatability == Repeatability::Repeatable;
        let in_time = now < self.deadline && self.attempt < self.max_attempts;
        self.end.is_none() && is_safe && in_time
    }

    fn try_again(
        &mut self,
        code: ProblemCode,
        now: Millis,
        may_retry: impl FnOnce() -> bool,
    ) -> Next {
        if self.may_try_again(now) && may_retry() {
            self.attempt += 1;
            self.sent_earlier |= self.sent;
            self.sent = false;
            return Next::TryAgain(self.attempt);
        }
        self.give_up(code)
    }

    fn give_up(&mut self, code: ProblemCode) -> Next {
        let end = if self.may_have_run() {
            RequestResult::Unknown(code)
        } else {
            RequestResult::NotRun(code)
        };
        self.finish(end)
    }

    fn may_have_run(&self) -> bool {
        self.sent || self.sent_earlier
    }

    fn finish(&mut self, end: RequestResult) -> Next {
        self.end = Some(end);
        Next::Finish(end)
    }
}
