//! World for one idempotency key: callers that repeat a request, two nodes, the log, and one
//! service that must run the request at most once.

use workshold_core::at_most_once;
use workshold_core::at_most_once::KeyAction;
use workshold_core::at_most_once::KeyProgress;
use workshold_core::keys::KeyStatus;
use workshold_core::keys::Keys;
use workshold_protocol::Millis;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::KeyDigest;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RequestDigest;
use workshold_protocol::record::Intent;
use workshold_protocol::record::KeyExpiry;

use crate::checker::Promise;
use crate::checker::World;
use crate::mutation::Mutation;

const NODES: usize = 2;
/// Creation time of the key.
const KEY_TIMESTAMP: Millis = Millis(5);
/// Keys created before this time are forgotten and refused once an expiry record is read. Later
/// than [`KEY_TIMESTAMP`], so that the key is among them.
const EXPIRED_BEFORE: Millis = Millis(6);

/// A log record, reduced to what this world needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LogRecord {
    Intent { node: usize, incarnation: u64 },
    Expiry,
}

/// An entry node: its position in the log and its progress with the key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    incarnation: u64,
    /// Offset of the first log record that it has not read.
    next: usize,
    progress: KeyProgress,
    /// Appends in flight, 0 or 1. An append may take effect once, twice (if its reply is lost) or
    /// not at all.
    pending_appends: u8,
    has_request: bool,
    /// It has decided to run the request but sent nothing yet; it may be paused here.
    about_to_send: bool,
    told_not_run: bool,
    runs_after_not_run: u32,
}

/// Limits on what may happen in one run; a move that uses one up counts it down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Times that a node crashes and restarts.
    pub crashes: u8,
    /// Appends that take effect but whose reply is lost, so that they are repeated.
    pub lost_replies: u8,
    /// Requests that callers send, to any node.
    pub requests: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { crashes: 1, lost_replies: 1, requests: 3 }
    }
}

/// A state of the log, the nodes and the service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyWorld {
    mutation: Option<Mutation>,
    remaining: Bounds,
    log: Vec<LogRecord>,
    nodes: Vec<Node>,
    runs: u32,
}

/// A move of [`IdempotencyWorld`].
#[derive(Debug, Clone)]
pub enum Move {
    /// A caller sends the request to this node.
    Ask(usize),
    /// The node's append takes effect; with `true` its reply is lost and it is repeated later.
    Append(usize, bool),
    /// The node reads the log up to its end.
    Read(usize),
    /// The node takes the next step that the rules require for what it has read.
    Act(usize),
    /// The node stops waiting and tells its caller "not run".
    GiveUp(usize),
    /// The node sends the request and the service runs it.
    Send(usize),
    /// The node crashes and restarts with a new incarnation.
    Crash(usize),
    /// A record that expires the key is appended.
    Forget,
}

fn node_id(node: usize) -> NodeId {
    NodeId::new(&format!("n{node}")).expect("the name is valid")
}

fn key() -> KeyDigest {
    KeyDigest::of(b"key")
}

fn request() -> RequestDigest {
    RequestDigest::of(b"request")
}

impl Node {
    /// A node that has just started in `incarnation` and has read nothing.
    fn in_incarnation(incarnation: u64) -> Self {
        Self {
            incarnation,
            next: 0,
            progress: KeyProgress::Untouched,
            pending_appends: 0,
            has_request: false,
            about_to_send: false,
            told_not_run: false,
            runs_after_not_run: 0,
        }
    }
}

impl IdempotencyWorld {
    /// The state before the first request.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let node = Node::in_incarnation(1);
        Self { mutation, remaining: bounds, log: Vec::new(), nodes: vec![node; NODES], runs: 0 }
    }

    /// The key table that the node has built from the records that it has read.
    fn keys(&self, node: usize) -> Keys {
        let mut keys = Keys::default();
        for (at, record) in self.log[..self.nodes[node].next].iter().enumerate() {
            match record {
                LogRecord::Intent { node, incarnation } => {
                    let intent = Intent {
                        key: key(),
                        key_time: KEY_TIMESTAMP,
                        request: request(),
                        node: node_id(*node),
                        incarnation: Incarnation(*incarnation),
                    };
                    let _ = keys.claim(&intent, Offset(at as u64));
                }
                LogRecord::Expiry if self.mutation == Some(Mutation::ForgetWithoutFloor) => {
                    keys = Keys::default();
                }
                LogRecord::Expiry => {
                    let _ = keys.forget(KeyExpiry { before: EXPIRED_BEFORE });
                }
            }
        }
        keys
    }

    /// Applies the daemon's rule for the next action of node `i`.
    fn act(&mut self, i: usize) {
        let keys = self.keys(i);
        let status = keys.status(&key(), KEY_TIMESTAMP, &request());
        let (node_id, incarnation) = (node_id(i), Incarnation(self.nodes[i].incarnation));
        let action = at_most_once::next(&status, (&node_id, incarnation), self.nodes[i].progress);
        let action = self.apply_mutation(i, &status, action);
        let node = &mut self.nodes[i];
        match action {
            KeyAction::Record => {
                node.progress = KeyProgress::Recording;
                node.pending_appends = 1;
            }
            KeyAction::Run => {
                node.progress = KeyProgress::Begun;
                node.about_to_send = true;
            }
            KeyAction::Wait => {}
            KeyAction::AnswerFromStore | KeyAction::AskOwner(_) | KeyAction::Refuse(_) => {
                node.has_request = false;
                if node.progress == KeyProgress::Recording {
                    node.progress = KeyProgress::Untouched;
                    node.pending_appends = 0;
                }
            }
        }
    }

    fn apply_mutation<'a>(
        &self,
        i: usize,
        status: &KeyStatus<'a>,
        action: KeyAction<'a>,
    ) -> KeyAction<'a> {
        let progress = self.nodes[i].progress;
        let is_own = |any_incarnation: bool| match status {
            KeyStatus::Owned(owner) => {
                owner.node == node_id(i)
                    && (any_incarnation || owner.incarnation.0 == self.nodes[i].incarnation)
            }
            _ => false,
        };
        match self.mutation {
            Some(Mutation::RunBeforeRecord) if action == KeyAction::Record => KeyAction::Run,
            Some(Mutation::RunForFormerLife)
                if progress == KeyProgress::Untouched && is_own(true) =>
            {
                KeyAction::Run
            }
            Some(Mutation::RunAfterGivingUp)
                if progress == KeyProgress::GivenUp && is_own(false) =>
            {
                KeyAction::Run
            }
            _ => action,
        }
    }

    fn append(&mut self, i: usize, reply_lost: bool) {
        let incarnation = self.nodes[i].incarnation;
        self.log.push(LogRecord::Intent { node: i, incarnation });
        if reply_lost {
            self.remaining.lost_replies -= 1;
        } else {
            self.nodes[i].pending_appends -= 1;
        }
    }

    fn give_up(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.progress = KeyProgress::GivenUp;
        node.has_request = false;
        node.told_not_run = true;
    }

    fn send(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.about_to_send = false;
        node.has_request = false;
        node.runs_after_not_run += u32::from(node.told_not_run);
        self.runs += 1;
    }

    fn crash(&mut self, i: usize) {
        self.remaining.crashes -= 1;
        let pending_appends = self.nodes[i].pending_appends;
        let incarnation = self.nodes[i].incarnation;
        if pending_appends > 0 {
            // The append was in flight and takes effect after the crash.
            self.log.push(LogRecord::Intent { node: i, incarnation });
        }
        let runs_after_not_run = self.nodes[i].runs_after_not_run;
        self.nodes[i] = Node { runs_after_not_run, ..Node::in_incarnation(incarnation + 1) };
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }
}

impl World for IdempotencyWorld {
    type Move = Move;

    fn moves(&self) -> Vec<(Move, Self)> {
        let mut moves = Vec::new();
        for (i, node) in self.nodes.iter().enumerate() {
            if !node.has_request && self.remaining.requests > 0 {
                moves.push((
                    Move::Ask(i),
                    self.with(|w| {
                        w.remaining.requests -= 1;
                        w.nodes[i].has_request = true;
                    }),
                ));
            }
            if node.pending_appends > 0 {
                moves.push((Move::Append(i, false), self.with(|w| w.append(i, false))));
                if self.remaining.lost_replies > 0 {
                    moves.push((Move::Append(i, true), self.with(|w| w.append(i, true))));
                }
            }
            if node.next < self.log.len() {
                moves.push((Move::Read(i), self.with(|w| w.nodes[i].next = w.log.len())));
            }
            if node.has_request && !node.about_to_send {
                moves.push((Move::Act(i), self.with(|w| w.act(i))));
            }
            if node.progress == KeyProgress::Recording {
                moves.push((Move::GiveUp(i), self.with(|w| w.give_up(i))));
            }
            if node.about_to_send {
                moves.push((Move::Send(i), self.with(|w| w.send(i))));
            }
            if self.remaining.crashes > 0 {
                moves.push((Move::Crash(i), self.with(|w| w.crash(i))));
            }
        }
        if !self.log.contains(&LogRecord::Expiry) && !self.log.is_empty() {
            moves.push((Move::Forget, self.with(|w| w.log.push(LogRecord::Expiry))));
        }
        moves.retain(|(_, next)| next != self);
        moves
    }

    fn breach(&self) -> Option<Promise> {
        if self.runs > 1 {
            return Some(Promise::AtMostOnce);
        }
        let was_misinformed = self.nodes.iter().any(|node| node.runs_after_not_run > 0);
        was_misinformed.then_some(Promise::NotRunMeansNotRun)
    }
}
