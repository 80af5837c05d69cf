//! World for configuration bundles: two operators who sign off bundles, two nodes and the log, with
//! crashes, outages of the log and network partitions.

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
/// Ticks without contact after which a node regards itself as isolated and stops serving.
const ISOLATION_AFTER: u64 = 1;
/// Ticks within which a signed-off bundle must be in force at all serving nodes.
const IN_FORCE_WITHIN: u64 = 2;

/// A log record, reduced to what this world needs; bundles are given by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum LogRecord {
    Publish(u8),
    SignOff {
        bundle: u8,
        parent: Option<u8>,
    },
    /// A checkpoint of the state before this offset.
    Checkpoint(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    /// Offset of the first record that it has not read; `None` until it could start.
    next: Option<usize>,
    /// Tick of its last contact with the log.
    last_log_contact: u64,
    /// Tick of its last contact with its peer.
    last_peer_contact: u64,
    is_cut_off: bool,
    /// Whether its state is recent enough to serve by.
    authority: Authority,
}

/// Limits on what may happen in one run; a move that uses one up counts it down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// The tick at which time ends; not counted down.
    pub ticks: u64,
    /// Times that a node crashes.
    pub crashes: u8,
    /// Times that the log becomes unavailable.
    pub outages: u8,
    /// Times that a node is cut off from the log and its peer.
    pub cuts: u8,
    /// Checkpoints that nodes write.
    pub checkpoints: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { ticks: 4, crashes: 1, outages: 1, cuts: 1, checkpoints: 0 }
    }
}

/// A state of the log, the nodes and the sign-offs that are still to come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BundleWorld {
    mutation: Option<Mutation>,
    remaining: Bounds,
    now: u64,
    log: Vec<LogRecord>,
    /// Records before this offset have expired.
    first_offset: usize,
    is_log_up: bool,
    nodes: Vec<Node>,
    /// Bundles that an operator has yet to sign off.
    to_sign_off: Vec<u8>,
    /// The highest generation that all running nodes had reached at the same time. From then on, no
    /// node may serve an older one.
    settled_generation: u64,
    /// Ticks in which at least one node could read the log.
    readable_ticks: u64,
    /// The value of `readable_ticks` when each generation was accepted; generation 1 comes first.
    accepted_at: Vec<u64>,
}

/// A move of [`BundleWorld`].
#[derive(Debug, Clone)]
pub enum Move {
    /// An operator signs off a bundle whose parent is the first one.
    SignOff(u8),
    /// A node reads the next record of the log.
    Read(usize),
    /// A node that can't reach the log reads up to its peer's position, from the peer.
    ReadPeer(usize),
    /// A node starts and replays the log, or its peer's records if it can't reach the log.
    Start(usize),
    /// A node crashes and loses its state.
    Crash(usize),
    /// A node writes a checkpoint of the records that it has read.
    Checkpoint(usize),
    /// The log drops the records that the last checkpoint covers.
    Expire,
    /// The log becomes available (`true`) or unavailable.
    LogUp(bool),
    /// A node is cut off from the log and its peer (`true`), or reconnected.
    Cut(usize, bool),
    /// Time advances by one tick; every node that can read has caught up before.
    Tick,
}

/// The mutation changes what records contain, so it is part of the key.
type CacheKey = (Option<Mutation>, Vec<LogRecord>);

thread_local! {
    static STATE_CACHE: RefCell<HashMap<CacheKey, Rc<State>>> = RefCell::default();
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
    // The daemon verifies signatures before it applies records, so an empty one does here.
    let signature = OperatorSignature { key: PublicKey(String::new()), signature: String::new() };
    Box::new(SignedBundle { bundle: bundle(n), signature })
}

impl BundleWorld {
    /// The first bundle is in force at both nodes; two others are published.
    pub fn new(bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let log = vec![
            LogRecord::Publish(0),
            LogRecord::SignOff { bundle: 0, parent: None },
            LogRecord::Publish(1),
            LogRecord::Publish(2),
        ];
        let mut authority = Authority::default();
        authority.on_log_read();
        let next = Some(log.len());
        let node =
            Node { next, last_log_contact: 0, last_peer_contact: 0, is_cut_off: false, authority };
        Self {
            mutation,
            remaining: bounds,
            now: 0,
            log,
            first_offset: 0,
            is_log_up: true,
            nodes: vec![node; NODES],
            to_sign_off: vec![1, 2],
            settled_generation: 1,
            readable_ticks: 0,
            accepted_at: vec![0],
        }
    }

    fn envelope(&self, at: usize) -> Envelope {
        let fact = match self.log[at] {
            LogRecord::Publish(n) => Fact::BundlePublished(signed(n)),
            LogRecord::SignOff { bundle, parent } => {
                let parent = match self.mutation {
                    Some(Mutation::AcceptAnyParent) => {
                        self.state(at).bundles.in_force().map(|in_force| in_force.hash)
                    }
                    _ => parent.map(hash),
                };
                Fact::BundleSignedOff(SignOff { bundle: hash(bundle), parent })
            }
            LogRecord::Checkpoint(next) => Fact::Checkpoint(self.state(next).to_checkpoint()),
        };
        Envelope { id: RecordId([at as u8; 16]), at: Millis::ZERO, facts: vec![fact] }
    }

    /// The state after the first `next` records, cached.
    fn state(&self, next: usize) -> Rc<State> {
        let key = (self.mutation, self.log[..next].to_vec());
        if let Some(state) = STATE_CACHE.with_borrow(|cache| cache.get(&key).cloned()) {
            return state;
        }
        let mut state = State::default();
        for at in 0..next {
            // `apply` fails on gaps between offsets only, and these are consecutive.
            let _ = state.apply(Offset(at as u64), &self.envelope(at));
        }
        let state = Rc::new(state);
        STATE_CACHE.with_borrow_mut(|cache| cache.insert(key, Rc::clone(&state)));
        state
    }

    fn generation(&self, next: usize) -> u64 {
        self.state(next).bundles.in_force().map_or(0, |in_force| in_force.generation)
    }

    /// The position that a starting node reaches by replaying the records from `first_offset` to
    /// `end`; `None` if the replay fails, so that it can't start.
    fn replay_from(&self, first_offset: usize, end: usize) -> Option<usize> {
        let envelopes: Vec<_> = (first_offset..end).map(|at| self.envelope(at)).collect();
        let checkpoints: Vec<Checkpoint> =
            envelopes.iter().flat_map(|envelope| checkpoints_of(envelope).cloned()).collect();
        let ReplayStart::From(mut replay) =
            Replay::start(Offset(first_offset as u64), &checkpoints)
        else {
            return None;
        };
        for (at, envelope) in (first_offset..).zip(&envelopes) {
            replay.take(Offset(at as u64), Some(envelope)).ok()?;
        }
        Some(replay.state().next().0 as usize)
    }

    fn can_reach_log(&self, i: usize) -> bool {
        self.is_log_up && !self.nodes[i].is_cut_off
    }

    fn can_reach_peer(&self, i: usize) -> bool {
        !self.nodes[0].is_cut_off && !self.nodes[1].is_cut_off && self.nodes[1 - i].next.is_some()
    }

    fn is_isolated(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        if self.mutation == Some(Mutation::ServeWhileIsolated) {
            return false;
        }
        let place = DataCentre::new("dc").expect("the name is valid");
        let name = |i: usize| NodeId::new(&format!("n{i}")).expect("the name is valid");
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
        membership.on_answer(&name(1 - i), status, Millis(node.last_peer_contact + 1));
        let rules = MembershipRules {
            peer_ttl: Millis(1),
            probers: 1,
            remote_polls: 1,
            isolation_after: Millis(ISOLATION_AFTER),
        };
        membership.is_isolated(Millis(node.last_log_contact + 1), Millis(self.now + 1), &rules)
    }

    /// The bundle generation that node `i` serves; `None` if it doesn't serve.
    fn served_generation(&self, i: usize) -> Option<u64> {
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
        self.update_settled_generation();
    }

    fn update_settled_generation(&mut self) {
        let running = self.nodes.iter().filter_map(|node| node.next);
        if let Some(lowest) = running.min() {
            self.settled_generation = self.settled_generation.max(self.generation(lowest));
        }
    }

    fn sign_off(&mut self, bundle: u8) {
        let before = self.generation(self.log.len());
        self.to_sign_off.retain(|other| *other != bundle);
        self.log.push(LogRecord::SignOff { bundle, parent: Some(0) });
        if self.generation(self.log.len()) > before {
            self.accepted_at.push(self.readable_ticks);
        }
    }

    fn start(&mut self, i: usize) {
        if self.can_reach_log(i) {
            if let Some(next) = self.replay_from(self.first_offset, self.log.len()) {
                self.nodes[i].last_log_contact = self.now;
                self.nodes[i].authority.on_log_read();
                self.read_to(i, next);
            }
        } else if self.can_reach_peer(i) {
            let end = self.nodes[1 - i].next.unwrap_or(0);
            if let Some(next) = self.replay_from(self.first_offset.min(end), end) {
                self.nodes[i].last_peer_contact = self.now;
                self.read_to(i, next);
                self.update_from_peer(i);
            }
        } else if self.mutation == Some(Mutation::TakeSilenceForEmpty) {
            self.nodes[i].next = Some(0);
        }
    }

    fn update_from_peer(&mut self, i: usize) {
        let peer = self.nodes[1 - i].clone();
        let (Some(own), Some(next)) = (self.nodes[i].next, peer.next) else { return };
        let is_peer_authoritative = peer.authority.is_held() && !self.is_isolated(1 - i);
        self.nodes[i].authority.on_peer(
            is_peer_authoritative,
            Offset(next as u64),
            Offset(own as u64),
        );
    }

    fn tick(&mut self) {
        self.now += 1;
        // While no node can read the log, none can know what was accepted there.
        let can_read = |i: usize| self.can_reach_log(i) && self.nodes[i].next.is_some();
        self.readable_ticks += u64::from((0..NODES).any(can_read));
        for i in 0..NODES {
            if self.nodes[i].next.is_some() && self.can_reach_log(i) {
                self.nodes[i].last_log_contact = self.now;
                self.nodes[i].authority.on_log_read();
            }
            if self.can_reach_peer(i) {
                self.nodes[i].last_peer_contact = self.now;
                self.update_from_peer(i);
            }
        }
        for i in 0..NODES {
            if self.is_isolated(i) {
                self.nodes[i].authority.on_isolated();
            }
        }
    }

    /// Whether every node that can read has caught up; reading takes much less than a tick.
    fn all_caught_up(&self) -> bool {
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
                    // One record at a time, because a node also serves the states in between.
                    moves.push((Move::Read(i), self.with(|w| w.read_to(i, next + 1))));
                }
                let peer = self.nodes[1 - i].next.unwrap_or(0);
                if !self.can_reach_log(i) && self.can_reach_peer(i) && peer > next {
                    moves.push((Move::ReadPeer(i), self.with(|w| w.read_to(i, peer))));
                }
                if self.can_reach_log(i) && self.remaining.checkpoints > 0 {
                    moves.push((
                        Move::Checkpoint(i),
                        self.with(|w| {
                            w.remaining.checkpoints -= 1;
                            w.log.push(LogRecord::Checkpoint(next));
                        }),
                    ));
                }
                if self.remaining.crashes > 0 {
                    moves.push((
                        Move::Crash(i),
                        self.with(|w| {
                            w.remaining.crashes -= 1;
                            w.nodes[i].next = None;
                            w.nodes[i].authority = Authority::default();
                        }),
                    ));
                }
            }
        }
        if node.is_cut_off {
            moves.push((Move::Cut(i, false), self.with(|w| w.nodes[i].is_cut_off = false)));
        } else if self.remaining.cuts > 0 {
            moves.push((
                Move::Cut(i, true),
                self.with(|w| {
                    w.remaining.cuts -= 1;
                    w.nodes[i].is_cut_off = true;
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
            if self.remaining.outages > 0 {
                moves.push((
                    Move::LogUp(false),
                    self.with(|w| {
                        w.remaining.outages -= 1;
                        w.is_log_up = false;
                    }),
                ));
            }
            let checkpointed = self.log.iter().rev().find_map(|record| match record {
                LogRecord::Checkpoint(next) => Some(*next),
                _ => None,
            });
            if let Some(next) = checkpointed.filter(|next| *next > self.first_offset) {
                moves.push((Move::Expire, self.with(|w| w.first_offset = next)));
            }
        } else {
            moves.push((Move::LogUp(true), self.with(|w| w.is_log_up = true)));
        }
        if self.now < self.remaining.ticks && self.all_caught_up() {
            moves.push((Move::Tick, self.with(Self::tick)));
        }
        moves.retain(|(_, next)| next != self);
        moves
    }

    fn breach(&self) -> Option<Promise> {
        let violated = Some(Promise::BundlesOnlyForward);
        // Of two sign-offs on top of one bundle, the first in log order wins.
        if self.accepted_at.len() > 2 {
            return violated;
        }
        for i in 0..NODES {
            let Some(generation) = self.served_generation(i) else { continue };
            if generation < self.settled_generation {
                return violated;
            }
            let superseded_at = self.accepted_at.get(generation as usize);
            if superseded_at.is_some_and(|at| self.readable_ticks > at + IN_FORCE_WITHIN) {
                return violated;
            }
        }
        None
    }
}
