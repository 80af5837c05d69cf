//! The world of one streamed answer: attempts that break, overlap and speak late.

use workshold_core::lifecycle::Event;
use workshold_core::lifecycle::Next;
use workshold_core::lifecycle::Repeatability;
use workshold_core::lifecycle::RequestLifecycle;
use workshold_core::lifecycle::RequestResult;
use workshold_protocol::Millis;

use crate::checker::Promise;
use crate::checker::World;
use crate::mutation::Mutation;

/// Tokens of a whole answer.
const TOKENS: u32 = 2;
const MAX_ATTEMPTS: u32 = 3;

/// What an engine has said in one attempt, as far as it was heard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Attempt {
    number: u32,
    /// The first token that it generates.
    from: u32,
    /// How many of its events were heard.
    heard: u32,
    /// Whether it was cut before its end; what was under way is still heard.
    is_cut: bool,
    was_sent: bool,
}

/// One request, its attempts, and what its caller has.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StreamWorld {
    mutation: Option<Mutation>,
    repeatability: Repeatability,
    lifecycle: RequestLifecycle,
    attempts: Vec<Attempt>,
    /// Tokens that the caller has, by the attempt and place that they came from.
    caller: Vec<(u32, u32)>,
    told: Option<RequestResult>,
    runs: u32,
}

/// A move of the stream's world.
#[derive(Debug, Clone)]
pub enum Move {
    /// No connection came about.
    ConnectFails,
    /// The request leaves, and is run.
    Send,
    /// The engine refuses before it starts.
    Refuse,
    /// The next event of this attempt is heard.
    Hear(u32),
    /// The connection of the current attempt breaks.
    Break,
    /// The engine ends the stream early, as if it were whole.
    EndEarly,
    /// The deadline passes.
    Deadline,
}

impl StreamWorld {
    /// A request before its first attempt.
    pub fn new(repeatability: Repeatability, mutation: Option<Mutation>) -> Self {
        let lifecycle = RequestLifecycle::new(repeatability, Millis(10), MAX_ATTEMPTS);
        let first = Attempt { number: 1, from: 0, heard: 0, is_cut: false, was_sent: false };
        Self {
            mutation,
            repeatability,
            lifecycle,
            attempts: vec![first],
            caller: Vec::new(),
            told: None,
            runs: 0,
        }
    }

    fn current(&self) -> &Attempt {
        &self.attempts[self.attempts.len() - 1]
    }

    fn on(&mut self, attempt: u32, event: Event) {
        let event = match (self.mutation, event) {
            (Some(Mutation::CallBrokenNotRun), Event::Broken) => Event::RefusedBeforeStart,
            (_, event) => event,
        };
        let mut next = self.lifecycle.on(attempt, event, Millis(1), || true);
        let is_over = matches!(next, Next::Finish(RequestResult::Unknown(_)));
        if self.mutation == Some(Mutation::RetryBroken) && event == Event::Broken && is_over {
            // The rule that is broken: it is sent again all the same.
            next = Next::TryAgain(attempt + 1);
            self.lifecycle = RequestLifecycle::new(self.repeatability, Millis(10), MAX_ATTEMPTS);
        }
        match next {
            Next::Finish(end) => self.told = Some(end),
            Next::TryAgain(number) => self.attempts.push(Attempt {
                number,
                from: self.lifecycle.tokens(),
                heard: 0,
                is_cut: false,
                was_sent: false,
            }),
            Next::GoOn => {}
        }
    }

    fn send(&mut self) {
        let number = self.current().number;
        self.on(number, Event::Sending);
        if self.told.is_none() {
            self.runs += 1;
            if let Some(last) = self.attempts.last_mut() {
                last.was_sent = true;
            }
        }
    }

    fn hear(&mut self, i: usize) {
        let attempt = self.attempts[i].clone();
        self.attempts[i].heard += 1;
        let index = attempt.from + attempt.heard;
        let as_number = match self.mutation {
            Some(Mutation::MergeAttempts) => self.current().number,
            _ => attempt.number,
        };
        if index < TOKENS {
            let merged = self.mutation == Some(Mutation::MergeAttempts) && self.told.is_none();
            if self.lifecycle.accept_token(as_number, index) || merged {
                self.caller.push((attempt.number, index));
            }
        } else {
            self.end_of(as_number, TOKENS);
        }
    }

    /// The engine says that it is done, with so many tokens in all.
    fn end_of(&mut self, number: u32, said: u32) {
        let is_whole = said == self.lifecycle.tokens();
        let takes_any = self.mutation == Some(Mutation::TakeAnyEndForWhole);
        let event = if is_whole || takes_any { Event::Done } else { Event::Broken };
        self.on(number, event);
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
            // One event may be under way when a connection is cut.
            let has_more = attempt.from + attempt.heard <= TOKENS;
            if attempt.was_sent && has_more {
                moves.push((Move::Hear(attempt.number), self.with(|w| w.hear(i))));
            }
        }
        if self.told.is_some() {
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
                    w.on(number, Event::Broken);
                }),
            ));
            if self.lifecycle.tokens() < TOKENS {
                moves.push((Move::EndEarly, self.with(|w| w.end_of(number, TOKENS))));
            }
        } else {
            moves.push((Move::ConnectFails, self.with(|w| w.on(number, Event::ConnectFailed))));
            moves.push((Move::Send, self.with(Self::send)));
            moves.push((
                Move::Refuse,
                self.with(|w| {
                    w.on(number, Event::Sending);
                    w.on(number, Event::RefusedBeforeStart);
                }),
            ));
        }
        moves.push((Move::Deadline, self.with(|w| w.on(number, Event::DeadlinePassed))));
        moves
    }

    fn breach(&self) -> Option<Promise> {
        let in_order = self.caller.iter().map(|(_, index)| *index).eq(0..self.caller.len() as u32);
        let is_whole = self.caller.len() as u32 == TOKENS;
        if !in_order || (self.told == Some(RequestResult::Answered) && !is_whole) {
            return Some(Promise::OwnWholeAnswer);
        }
        if matches!(self.told, Some(RequestResult::NotRun(_))) && self.runs > 0 {
            return Some(Promise::NotRunMeansNotRun);
        }
        let is_once = self.repeatability == Repeatability::AtMostOnce;
        (is_once && self.runs > 1).then_some(Promise::AtMostOnce)
    }
}
