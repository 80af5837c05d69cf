//! World for one streamed answer: attempts that fail, overlap, or deliver events after they were
//! superseded.

use workshold_core::lifecycle::Event;
use workshold_core::lifecycle::Next;
use workshold_core::lifecycle::Repeatability;
use workshold_core::lifecycle::RequestLifecycle;
use workshold_core::lifecycle::RequestResult;
use workshold_protocol::Millis;

use crate::checker::Promise;
use crate::checker::World;
use crate::mutation::Mutation;

/// Tokens of a complete answer.
const ANSWER_TOKENS: u32 = 2;
const MAX_ATTEMPTS: u32 = 3;

/// One attempt of the request and the events received from its engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Attempt {
    number: u32,
    /// Index of the first token that it generates; later attempts continue the answer.
    first_token: u32,
    /// Number of its events that were received.
    received: u32,
    /// Whether its connection broke. Events that were in flight are still received.
    is_cut: bool,
    was_sent: bool,
}

/// A state of one request, its attempts, and what its caller has received.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StreamWorld {
    mutation: Option<Mutation>,
    repeatability: Repeatability,
    lifecycle: RequestLifecycle,
    attempts: Vec<Attempt>,
    /// Tokens delivered to the caller, each as its attempt's number and its index in the answer.
    delivered: Vec<(u32, u32)>,
    /// The result reported to the caller.
    result: Option<RequestResult>,
    /// Times that an engine ran the request.
    runs: u32,
}

/// A move of [`StreamWorld`].
#[derive(Debug, Clone)]
pub enum Move {
    /// Connecting to an upstream fails.
    ConnectFails,
    /// The request is sent, and an engine runs it.
    Send,
    /// The engine refuses the request before running it.
    Refuse,
    /// The next event of the attempt with this number is received.
    Hear(u32),
    /// The connection of the current attempt breaks.
    Break,
    /// The engine ends the stream early, as if the answer were complete.
    EndEarly,
    /// The request's deadline passes.
    Deadline,
}

impl StreamWorld {
    /// The state before the first attempt is sent.
    pub fn new(repeatability: Repeatability, mutation: Option<Mutation>) -> Self {
        let lifecycle = RequestLifecycle::new(repeatability, Millis(10), MAX_ATTEMPTS);
        let first =
            Attempt { number: 1, first_token: 0, received: 0, is_cut: false, was_sent: false };
        Self {
            mutation,
            repeatability,
            lifecycle,
            attempts: vec![first],
            delivered: Vec::new(),
            result: None,
            runs: 0,
        }
    }

    fn current(&self) -> &Attempt {
        &self.attempts[self.attempts.len() - 1]
    }

    fn on_event(&mut self, attempt: u32, event: Event) {
        let event = match (self.mutation, event) {
            (Some(Mutation::CallBrokenNotRun), Event::Broken) => Event::RefusedBeforeStart,
            (_, event) => event,
        };
        let mut next = self.lifecycle.on(attempt, event, Millis(1), || true);
        let is_final = matches!(next, Next::Finish(RequestResult::Unknown(_)));
        if self.mutation == Some(Mutation::RetryBroken) && event == Event::Broken && is_final {
            // The mutation: a request that must not be repeated is retried.
            next = Next::TryAgain(attempt + 1);
            self.lifecycle = RequestLifecycle::new(self.repeatability, Millis(10), MAX_ATTEMPTS);
        }
        match next {
            Next::Finish(request_result) => self.result = Some(request_result),
            Next::TryAgain(number) => self.attempts.push(Attempt {
                number,
                first_token: self.lifecycle.tokens(),
                received: 0,
                is_cut: false,
                was_sent: false,
            }),
            Next::GoOn => {}
        }
    }

    fn send(&mut self) {
        let number = self.current().number;
        self.on_event(number, Event::Sending);
        if self.result.is_none() {
            self.runs += 1;
            if let Some(last) = self.attempts.last_mut() {
                last.was_sent = true;
            }
        }
    }

    fn receive(&mut self, i: usize) {
        let attempt = self.attempts[i].clone();
        self.attempts[i].received += 1;
        let index = attempt.first_token + attempt.received;
        let reported_as = match self.mutation {
            Some(Mutation::MergeAttempts) => self.current().number,
            _ => attempt.number,
        };
        if index < ANSWER_TOKENS {
            let is_merged = self.mutation == Some(Mutation::MergeAttempts) && self.result.is_none();
            if self.lifecycle.accept_token(reported_as, index) || is_merged {
                self.delivered.push((attempt.number, index));
            }
        } else {
            self.on_end(reported_as, ANSWER_TOKENS);
        }
    }

    /// Handles the end of a stream whose engine reports `total_tokens` for the whole answer.
    fn on_end(&mut self, number: u32, total_tokens: u32) {
        let is_whole = total_tokens == self.lifecycle.tokens();
        let accepts_any_end = self.mutation == Some(Mutation::TakeAnyEndForWhole);
        let event = if is_whole || accepts_any_end { Event::Done } else { Event::Broken };
        self.on_event(number, event);
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }
}

impl World for StreamWorld {
    type Move = Move;

    fn moves(&self) -> Vec<(Move, Self)> {
        let mut moves = Vec::new();
        for (i, attempt) in self.attempts.iter().enumerate() {
            // Events may be in flight when a connection breaks, so broken attempts count too.
            let has_more = attempt.first_token + attempt.received <= ANSWER_TOKENS;
            if attempt.was_sent && has_more {
                moves.push((Move::Hear(attempt.number), self.with(|w| w.receive(i))));
            }
        }
        if self.result.is_some() {
            return moves;
        }
        let number = self.current().number;
        if self.current().was_sent {
            moves.push((
                Move::Break,
                self.with(|w| {
                    if let Some(last) = w.attempts.last_mut() {
                        last.is_cut = true;
                    }
                    w.on_event(number, Event::Broken);
                }),
            ));
            if self.lifecycle.tokens() < ANSWER_TOKENS {
                moves.push((Move::EndEarly, self.with(|w| w.on_end(number, ANSWER_TOKENS))));
            }
        } else {
            moves.push((
                Move::ConnectFails,
                self.with(|w| w.on_event(number, Event::ConnectFailed)),
            ));
            moves.push((Move::Send, self.with(Self::send)));
            moves.push((
                Move::Refuse,
                self.with(|w| {
                    w.on_event(number, Event::Sending);
                    w.on_event(number, Event::RefusedBeforeStart);
                }),
            ));
        }
        moves.push((Move::Deadline, self.with(|w| w.on_event(number, Event::DeadlinePassed))));
        moves
    }

    fn breach(&self) -> Option<Promise> {
        let in_order =
            self.delivered.iter().map(|(_, index)| *index).eq(0..self.delivered.len() as u32);
        let is_whole = self.delivered.len() as u32 == ANSWER_TOKENS;
        if !in_order || (self.result == Some(RequestResult::Answered) && !is_whole) {
            return Some(Promise::OwnWholeAnswer);
        }
        if matches!(self.result, Some(RequestResult::NotRun(_))) && self.runs > 0 {
            return Some(Promise::NotRunMeansNotRun);
        }
        let must_not_repeat = self.repeatability == Repeatability::AtMostOnce;
        (must_not_repeat && self.runs > 1).then_some(Promise::AtMostOnce)
    }
}
