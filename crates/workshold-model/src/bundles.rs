//! The world of bundles: two operators, two nodes, the log, and what cuts them off.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use workshold_core::authority::Authority;
use workshold_core::membership::ClusterMembership;
use workshold_core::membership::MembershipRules;
use workshold_core::replay::Replay;
use workshold_core::replay::ReplayStart;
use workshold_core::replay::checkpoints_of;
use workshold_core::state::State;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::SignedBundle;
use workshold_protocol::ids::BundleHash;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RecordId;
use workshold_protocol::peer::NodeStatus;
use workshold_protocol::record::Checkpoint;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::SignOff;
use workshold_protocol::signing::OperatorSignature;
use workshold_protocol::signing::PublicKey;

use crate::checker::Promise;
use crate::checker::World;
use crate::mutation::Mutation;

const NODES: usize = 2;
/// Ticks until a node that is cut off steps out.
const ISOLATION_AFTER: u64 = 1;
/// Ticks within which a bundle must be in force everywhere.
const IN_FORCE_WITHIN: u64 = 2;

/// A record of the log, as far as this world goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Item {
    Publish(u8),
    SignOff {
        bundle: u8,
        parent: Option<u8>,
    },
    /// A checkpoint of all before this offset.
    Checkpoint(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    /// How far it has read; none before it could start.
    next: Option<usize>,
    /// When it last heard the log, and its peer.
    log_heard: u64,
    peer_heard: u64,
    is_cut: bool,
    authority: Authority,
}

/// How much may go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Time goes this far.
    pub ticks: u64,
    /// Times that a node dies and comes back.
    pub crashes: u8,
    /// Times that the log goes away.
    pub outages: u8,
    /// Times that a node is cut off from everybody.
    pub cuts: u8,
    /// Checkpoints that are written.
    pub checkpoints: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { ticks: 4, crashes: 1, outages: 1, cuts: 1, checkpoints: 0 }
    }
}

/// Bundles, operators and nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BundleWorld {
    mutation: Option<Mutation>,
    left: Bounds,
    now: u64,
    log: Vec<Item>,
    /// Records before this one are gone.
    first: usize,
    is_log_up: bool,
    nodes: Vec<Node>,
    to_sign_off: Vec<u8>,
    /// The highest generation that all nodes that run have had.
    settled: u64,
    /// Ticks in which the log could be read.
    readable: u64,
    /// How many of those there had been when each sign-off was accepted.
    accepted: Vec<u64>,
}

/// A move of the bundles' world.
#[derive(Debug, Clone)]
pub enum Move {
    /// An operator signs a bundle off on top of the first one.
    SignOff(u8),
    /// A node reads the log to its end.
    Read(usize),
    /// A node reads what its peer has.
    ReadPeer(usize),
    /// A node starts.
    Start(usize),
    /// A node dies.
    Crash(usize),
    /// A node writes a checkpoint.
    Checkpoint(usize),
    /// The log drops what the last checkpoint covers.
    Expire,
    /// The log goes away, or comes back.
    LogUp(bool),
    /// A node is cut off from everybody, or no longer.
    Cut(usize, bool),
    /// Time passes; whoever can read has read by then.
    Tick,
}

type FoldKey = (Option<Mutation>, Vec<Item>);

thread_local! {
    static FOLDED: RefCell<HashMap<FoldKey, Rc<State>>> = RefCell::default();
}

fn bundle(n: u8) -> Bundle {
    Bundle {
        name: format!("bundle {n}"),
        weights: workshold_protocol::bundle::CostWeights::default(),
        models: std::collections::BTreeMap::new(),
        services: std::collections::BTreeMap::new(),
        teams: std::collections::BTreeMap::new(),
    }
}

fn hash(n: u8) -> BundleHash {
    bundle(n).hash()
}

fn signed(n: u8) -> Box<SignedBundle> {
    // Seals are checked before the fold; here all are good.
    let signature = OperatorSignature { key: PublicKey(String::new()), signature: String::new() };
    Box::new(SignedBundle { bundle: bundle(n), signature })
}

impl BundleWorld {
    /// The first bundle is in force at both nodes; two others are published.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let log = vec![
            Item::Publish(0),
            Item::SignOff { bundle: 0, parent: None },
            Item::Publish(1),
            Item::Publish(2),
        ];
        let mut authority = Authority::default();
        authority.on_log_read();
        let next = Some(log.len());
        let node = Node { next, log_heard: 0, peer_heard: 0, is_cut: false, authority };
        Self {
            mutation,
            left: bounds,
            now: 0,
            log,
            first: 0,
            is_log_up: true,
            nodes: vec![node; NODES],
            to_sign_off: vec![1, 2],
            settled: 1,
            readable: 0,
            accepted: vec![0],
        }
    }

    fn envelope(&self, at: usize) -> Envelope {
        let fact = match self.log[at] {
            Item::Publish(n) => Fact::BundlePublished(signed(n)),
            Item::SignOff { bundle, parent } => {
                let parent = match self.mutation {
                    Some(Mutation::AcceptAnyParent) => {
                        self.state(at).bundles.in_force().map(|in_force| in_force.hash)
                    }
                    _ => parent.map(hash),
                };
                Fact::BundleSignedOff(SignOff { bundle: hash(bundle), parent })
            }
            Item::Checkpoint(next) => Fact::Checkpoint(self.state(next).to_checkpoint()),
        };
        Envelope { id: RecordId([at as u8; 16]), at: Millis::ZERO, facts: vec![fact] }
    }

    /// The fold of the first `next` records; the same ones are folded only once.
    fn state(&self, next: usize) -> Rc<State> {
        let key = (self.mutation, self.log[..next].to_vec());
        if let Some(state) = FOLDED.with_borrow(|folded| folded.get(&key).cloned()) {
            return state;
        }
        let mut state = State::default();
        for at in 0..next {
            // Offsets follow one another here.
            let _ = state.apply(Offset(at as u64), &self.envelope(at));
        }
        let state = Rc::new(state);
        FOLDED.with_borrow_mut(|folded| folded.insert(key, Rc::clone(&state)));
        state
    }

    fn generation(&self, next: usize) -> u64 {
        self.state(next).bundles.in_force().map_or(0, |in_force| in_force.generation)
    }

    /// What a node that starts makes of the records from `first` to `end`.
    fn started(&self, first: usize, end: usize) -> Option<usize> {
        let envelopes: Vec<_> = (first..end).map(|at| self.envelope(at)).collect();
        let checkpoints: Vec<Checkpoint> =
            envelopes.iter().flat_map(|envelope| checkpoints_of(envelope).cloned()).collect();
        let ReplayStart::From(mut replay) = Replay::start(Offset(first as u64), &checkpoints)
        else {
            return None;
        };
        for (at, envelope) in (first..).zip(&envelopes) {
            replay.take(Offset(at as u64), Some(envelope)).ok()?;
        }
        Some(replay.state().next().0 as usize)
    }

    fn can_reach_log(&self, i: usize) -> bool {
        self.is_log_up && !self.nodes[i].is_cut
    }

    fn can_reach_peer(&self, i: usize) -> bool {
        !self.nodes[0].is_cut && !self.nodes[1].is_cut && self.nodes[1 - i].next.is_some()
    }

    fn is_isolated(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        if self.mutation == Some(Mutation::ServeWhileIsolated) {
            return false;
        }
        let place = DataCentre::new("dc").expect("it is a name");
        let name = |i: usize| NodeId::new(&format!("n{i}")).expect("it is a name");
        let mut membership = ClusterMembership::new(name(i), place.clone());
        membership.expect([name(1 - i)]);
        let status = NodeStatus {
            incarnation: Incarnation(1),
            ready: true,
            custody: true,
            leaving: false,
            data_centre: place,
            callers: String::new(),
            bundle: None,
            next: Offset(0),
            in_flight: 0,
            demand: Vec::new(),
        };
        membership.on_answer(&name(1 - i), status, Millis(node.peer_heard + 1));
        let rules = MembershipRules {
            peer_ttl: Millis(1),
            probers: 1,
            remote_polls: 1,
            isolation_after: Millis(ISOLATION_AFTER),
        };
        membership.is_isolated(Millis(node.log_heard + 1), Millis(self.now + 1), &rules)
    }

    /// The generation that a node serves by, if it serves.
    fn serves(&self, i: usize) -> Option<u64> {
        let generation = self.generation(self.nodes[i].next?);
        let may_serve = generation > 0 && self.is_authoritative(i) && !self.is_isolated(i);
        may_serve.then_some(generation)
    }

    fn is_authoritative(&self, i: usize) -> bool {
        let ignores = matches!(
            self.mutation,
            Some(Mutation::ServeWhileIsolated | Mutation::TakeSilenceForEmpty)
        );
        ignores || self.nodes[i].authority.is_held()
    }

    fn read_to(&mut self, i: usize, end: usize) {
        let node = &mut self.nodes[i];
        node.next = Some(end.max(node.next.unwrap_or(0)));
        self.settle();
    }

    fn settle(&mut self) {
        let running = self.nodes.iter().filter_map(|node| node.next);
        if let Some(lowest) = running.min() {
            self.settled = self.settled.max(self.generation(lowest));
        }
    }

    fn sign_off(&mut self, bundle: u8) {
        let before = self.generation(self.log.len());
        self.to_sign_off.retain(|other| *other != bundle);
        self.log.push(Item::SignOff { bundle, parent: Some(0) });
        if self.generation(self.log.len()) > before {
            self.accepted.push(self.readable);
        }
    }

    fn start(&mut self, i: usize) {
        if self.can_reach_log(i) {
            if let Some(next) = self.started(self.first, self.log.len()) {
                self.nodes[i].log_heard = self.now;
                self.nodes[i].authority.on_log_read();
                self.read_to(i, next);
            }
        } else if self.can_reach_peer(i) {
            let end = self.nodes[1 - i].next.unwrap_or(0);
            if let Some(next) = self.started(self.first.min(end), end) {
                self.nodes[i].peer_heard = self.now;
                self.read_to(i, next);
                self.hear_peer(i);
            }
        } else if self.mutation == Some(Mutation::TakeSilenceForEmpty) {
            self.nodes[i].next = Some(0);
        }
    }

    fn hear_peer(&mut self, i: usize) {
        let peer = self.nodes[1 - i].clone();
        let (Some(own), Some(next)) = (self.nodes[i].next, peer.next) else { return };
        let held = peer.authority.is_held() && !self.is_isolated(1 - i);
        self.nodes[i].authority.on_peer(held, Offset(next as u64), Offset(own as u64));
    }

    fn tick(&mut self) {
        self.now += 1;
        // While no node can read the log, none can know what was accepted there.
        let can_read = |i: usize| self.can_reach_log(i) && self.nodes[i].next.is_some();
        self.readable += u64::from((0..NODES).any(can_read));
        for i in 0..NODES {
            if self.nodes[i].next.is_some() && self.can_reach_log(i) {
                self.nodes[i].log_heard = self.now;
                self.nodes[i].authority.on_log_read();
            }
            if self.can_reach_peer(i) {
                self.nodes[i].peer_heard = self.now;
                self.hear_peer(i);
            }
        }
        for i in 0..NODES {
            if self.is_isolated(i) {
                self.nodes[i].authority.on_isolated();
            }
        }
    }

    /// Whoever can read has read: reading takes much less than a tick.
    fn all_have_read(&self) -> bool {
        (0..NODES).all(|i| {
            let Some(next) = self.nodes[i].next else { return true };
            if self.can_reach_log(i) {
                return next == self.log.len();
            }
            let peer = self.nodes[1 - i].next.unwrap_or(0);
            !self.can_reach_peer(i) || next >= peer
        })
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn node_moves(&self, i: usize, moves: &mut Vec<(Move, Self)>) {
        let node = &self.nodes[i];
        match node.next {
            None => moves.push((Move::Start(i), self.with(|w| w.start(i)))),
            Some(next) => {
                if self.can_reach_log(i) && next < self.log.len() {
                    // One record at a time: what stands between is served, too.
                    moves.push((Move::Read(i), self.with(|w| w.read_to(i, next + 1))));
                }
                let peer = self.nodes[1 - i].next.unwrap_or(0);
                if !self.can_reach_log(i) && self.can_reach_peer(i) && peer > next {
                    moves.push((Move::ReadPeer(i), self.with(|w| w.read_to(i, peer))));
                }
                if self.can_reach_log(i) && self.left.checkpoints > 0 {
                    moves.push((
                        Move::Checkpoint(i),
                        self.with(|w| {
                            w.left.checkpoints -= 1;
                            w.log.push(Item::Checkpoint(next));
                        }),
                    ));
                }
                if self.left.crashes > 0 {
                    moves.push((
                        Move::Crash(i),
                        self.with(|w| {
                            w.left.crashes -= 1;
                            w.nodes[i].next = None;
                            w.nodes[i].authority = Authority::default();
                        }),
                    ));
                }
            }
        }
        if node.is_cut {
            moves.push((Move::Cut(i, false), self.with(|w| w.nodes[i].is_cut = false)));
        } else if self.left.cuts > 0 {
            moves.push((
                Move::Cut(i, true),
                self.with(|w| {
                    w.left.cuts -= 1;
                    w.nodes[i].is_cut = true;
                }),
            ));
        }
    }
}

impl World for BundleWorld {
    type Move = Move;

    fn moves(&self) -> Vec<(Move, Self)> {
        let mut moves = Vec::new();
        for i in 0..NODES {
            self.node_moves(i, &mut moves);
        }
        if self.is_log_up {
            for bundle in self.to_sign_off.clone() {
                moves.push((Move::SignOff(bundle), self.with(|w| w.sign_off(bundle))));
            }
            if self.left.outages > 0 {
                moves.push((
                    Move::LogUp(false),
                    self.with(|w| {
                        w.left.outages -= 1;
                        w.is_log_up = false;
                    }),
                ));
            }
            let covered = self.log.iter().rev().find_map(|item| match item {
                Item::Checkpoint(next) => Some(*next),
                _ => None,
            });
            if let Some(next) = covered.filter(|next| *next > self.first) {
                moves.push((Move::Expire, self.with(|w| w.first = next)));
            }
        } else {
            moves.push((Move::LogUp(true), self.with(|w| w.is_log_up = true)));
        }
        if self.now < self.left.ticks && self.all_have_read() {
            moves.push((Move::Tick, self.with(Self::tick)));
        }
        moves.retain(|(_, next)| next != self);
        moves
    }

    fn breach(&self) -> Option<Promise> {
        let broken = Some(Promise::BundlesOnlyForward);
        // Of two sign-offs on top of one bundle, the first in log order wins.
        if self.accepted.len() > 2 {
            return broken;
        }
        for i in 0..NODES {
            let Some(generation) = self.serves(i) else { continue };
            if generation < self.settled {
                return broken;
            }
            let missed = self.accepted.get(generation as usize);
            if missed.is_some_and(|at| self.readable > at + IN_FORCE_WITHIN) {
                return broken;
            }
        }
        None
    }
}
