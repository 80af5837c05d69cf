//! The world of one idempotency key: two callers, two nodes, the log, one service.

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
const KEY_TIME: Millis = Millis(5);
const FLOOR: Millis = Millis(6);

/// A record of the log, as far as this world goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Item {
    Intent { node: usize, life: u64 },
    Floor,
}

/// A node, what it has read, and what it did with the key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    life: u64,
    next: usize,
    local: KeyProgress,
    /// The append is under way: it may take effect once, twice or not at all.
    copies: u8,
    is_asked: bool,
    /// Between the decision to run and the first byte: it may be paused here.
    about_to_send: bool,
    told_not_run: bool,
    runs_after_not_run: u32,
}

/// How much may go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Times that a node dies and comes back.
    pub crashes: u8,
    /// Appends whose reply is lost after their effect, and that are made again.
    pub lost_replies: u8,
    /// Times that a caller asks, at any node.
    pub asks: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { crashes: 1, lost_replies: 1, asks: 3 }
    }
}

/// One key and all who touch it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OnceWorld {
    mutation: Option<Mutation>,
    left: Bounds,
    log: Vec<Item>,
    nodes: Vec<Node>,
    runs: u32,
}

/// A move of the key's world.
#[derive(Debug, Clone)]
pub enum Move {
    /// A caller asks at this node.
    Ask(usize),
    /// The node's append takes effect; with `true` its reply is lost.
    Append(usize, bool),
    /// The node reads the log up to its end.
    Read(usize),
    /// The node acts on what it has read.
    Act(usize),
    /// The node stops waiting and tells its caller "not run".
    GiveUp(usize),
    /// The first byte leaves: the service runs the request.
    Send(usize),
    /// The node dies and comes back as another life.
    Crash(usize),
    /// The key is forgotten by record.
    Forget,
}

fn name(node: usize) -> NodeId {
    NodeId::new(&format!("n{node}")).expect("a letter and digits make a name")
}

fn key() -> KeyDigest {
    KeyDigest::of(b"key")
}

fn request() -> RequestDigest {
    RequestDigest::of(b"request")
}

impl Node {
    /// A node at the beginning of a life: it has read and done nothing.
    fn in_life(life: u64) -> Self {
        Self {
            life,
            next: 0,
            local: KeyProgress::Untouched,
            copies: 0,
            is_asked: false,
            about_to_send: false,
            told_not_run: false,
            runs_after_not_run: 0,
        }
    }
}

impl OnceWorld {
    /// Nobody has asked yet.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let node = Node::in_life(1);
        Self { mutation, left: bounds, log: Vec::new(), nodes: vec![node; NODES], runs: 0 }
    }

    /// What the node has folded out of the part of the log that it has read.
    fn keys(&self, node: usize) -> Keys {
        let mut keys = Keys::default();
        for (at, item) in self.log[..self.nodes[node].next].iter().enumerate() {
            match item {
                Item::Intent { node, life } => {
                    let intent = Intent {
                        key: key(),
                        key_time: KEY_TIME,
                        request: request(),
                        node: name(*node),
                        incarnation: Incarnation(*life),
                    };
                    let _ = keys.claim(&intent, Offset(at as u64));
                }
                Item::Floor if self.mutation == Some(Mutation::ForgetWithoutFloor) => {
                    keys = Keys::default();
                }
                Item::Floor => {
                    let _ = keys.forget(KeyExpiry { before: FLOOR });
                }
            }
        }
        keys
    }

    /// Does what the shipped rule says for this node.
    fn act(&mut self, i: usize) {
        let keys = self.keys(i);
        let status = keys.status(&key(), KEY_TIME, &request());
        let (me, life) = (name(i), Incarnation(self.nodes[i].life));
        let step = at_most_once::next(&status, (&me, life), self.nodes[i].local);
        let step = self.mutated(i, &status, step);
        let node = &mut self.nodes[i];
        match step {
            KeyAction::Record => {
                node.local = KeyProgress::Recording;
                node.copies = 1;
            }
            KeyAction::Run => {
                node.local = KeyProgress::Begun;
                node.about_to_send = true;
            }
            KeyAction::Wait => {}
            KeyAction::AnswerFromStore | KeyAction::AskOwner(_) | KeyAction::Refuse(_) => {
                node.is_asked = false;
                if node.local == KeyProgress::Recording {
                    node.local = KeyProgress::Untouched;
                    node.copies = 0;
                }
            }
        }
    }

    fn mutated<'a>(&self, i: usize, status: &KeyStatus<'a>, step: KeyAction<'a>) -> KeyAction<'a> {
        let local = self.nodes[i].local;
        let is_mine = |any_life: bool| match status {
            KeyStatus::Owned(owner) => {
                owner.node == name(i) && (any_life || owner.incarnation.0 == self.nodes[i].life)
            }
            _ => false,
        };
        match self.mutation {
            Some(Mutation::RunBeforeRecord) if step == KeyAction::Record => KeyAction::Run,
            Some(Mutation::RunForFormerLife)
                if local == KeyProgress::Untouched && is_mine(true) =>
            {
                KeyAction::Run
            }
            Some(Mutation::RunAfterGivingUp) if local == KeyProgress::GivenUp && is_mine(false) => {
                KeyAction::Run
            }
            _ => step,
        }
    }

    fn append(&mut self, i: usize, reply_lost: bool) {
        let life = self.nodes[i].life;
        self.log.push(Item::Intent { node: i, life });
        if reply_lost {
            self.left.lost_replies -= 1;
        } else {
            self.nodes[i].copies -= 1;
        }
    }

    fn give_up(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.local = KeyProgress::GivenUp;
        node.is_asked = false;
        node.told_not_run = true;
    }

    fn send(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.about_to_send = false;
        node.is_asked = false;
        node.runs_after_not_run += u32::from(node.told_not_run);
        self.runs += 1;
    }

    fn crash(&mut self, i: usize) {
        self.left.crashes -= 1;
        let copies = self.nodes[i].copies;
        let life = self.nodes[i].life;
        if copies > 0 {
            // The append was under way: it takes effect after the crash.
            self.log.push(Item::Intent { node: i, life });
        }
        let runs_after_not_run = self.nodes[i].runs_after_not_run;
        self.nodes[i] = Node { runs_after_not_run, ..Node::in_life(life + 1) };
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }
}

impl World for OnceWorld {
    type Move = Move;

    fn moves(&self) -> Vec<(Move, Self)> {
        let mut moves = Vec::new();
        for (i, node) in self.nodes.iter().enumerate() {
            if !node.is_asked && self.left.asks > 0 {
                moves.push((
                    Move::Ask(i),
                    self.with(|w| {
                        w.left.asks -= 1;
                        w.nodes[i].is_asked = true;
                    }),
                ));
            }
            if node.copies > 0 {
                moves.push((Move::Append(i, false), self.with(|w| w.append(i, false))));
                if self.left.lost_replies > 0 {
                    moves.push((Move::Append(i, true), self.with(|w| w.append(i, true))));
                }
            }
            if node.next < self.log.len() {
                moves.push((Move::Read(i), self.with(|w| w.nodes[i].next = w.log.len())));
            }
            if node.is_asked && !node.about_to_send {
                moves.push((Move::Act(i), self.with(|w| w.act(i))));
            }
            if node.local == KeyProgress::Recording {
                moves.push((Move::GiveUp(i), self.with(|w| w.give_up(i))));
            }
            if node.about_to_send {
                moves.push((Move::Send(i), self.with(|w| w.send(i))));
            }
            if self.left.crashes > 0 {
                moves.push((Move::Crash(i), self.with(|w| w.crash(i))));
            }
        }
        if !self.log.contains(&Item::Floor) && !self.log.is_empty() {
            moves.push((Move::Forget, self.with(|w| w.log.push(Item::Floor))));
        }
        moves.retain(|(_, next)| next != self);
        moves
    }

    fn breach(&self) -> Option<Promise> {
        if self.runs > 1 {
            return Some(Promise::AtMostOnce);
        }
        let told_wrongly = self.nodes.iter().any(|node| node.runs_after_not_run > 0);
        told_wrongly.then_some(Promise::NotRunMeansNotRun)
    }
}
