//! The world of groups: one fabric domain, a steward, a node that lags, instances
//! that die, pause and come back.

mod instance;
mod node;
mod start;

use std::collections::BTreeSet;
use std::sync::Arc;

use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::instance_list::InstanceList;
use workshold_core::repair::Expectations;
use workshold_core::state::State;
use workshold_core::steward::StewardRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RecordId;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;

use crate::checker::Promise;
use crate::checker::World;
use crate::groups::instance::Instance;
use crate::groups::node::Node;
pub use crate::groups::start::Scenario;
use crate::mutation::Mutation;

/// Reports are believed for two ticks.
const REPORT_TTL: Millis = Millis(2);
/// Longer than that, by the drift of clocks.
const RELEASE_WAIT: Millis = Millis(3);

/// How much may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Ticks of time.
    pub ticks: u64,
    /// Times that an instance goes away.
    pub losses: u8,
    /// Answers to probes that are under way for some time.
    pub holds: u8,
    /// Appends whose reply is lost, and that are made again later.
    pub lost_replies: u8,
    /// Requests that are sent.
    pub sends: u8,
    /// How orders to join arrive.
    pub orders: Arrival,
}

/// How orders to join arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Arrival {
    /// At once.
    AtOnce,
    /// At once, and a copy at any later time.
    AtOnceAndLate,
    /// At any later time.
    Late,
}

/// What time it is for the fold, which has no time: how its entries are named.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LogEntry(Vec<u8>);

impl LogEntry {
    fn of(facts: &[Fact]) -> Self {
        Self(postcard::to_stdvec(facts).expect("facts have only sized parts"))
    }

    fn envelope(&self) -> Envelope {
        let facts = postcard::from_bytes(&self.0).expect("it was written by `of`");
        Envelope { id: RecordId([0; 16]), at: Millis::ZERO, facts }
    }
}

/// A domain and all who act on it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupWorld {
    mutation: Option<Mutation>,
    scenario: Scenario,
    left: Bounds,
    now: Millis,
    log: Vec<LogEntry>,
    nodes: Vec<Node>,
    instances: Vec<Instance>,
    /// Orders that are under way.
    orders: Vec<(usize, Order)>,
    /// Requests between a node's check and the group's head.
    under_way: Vec<Sent>,
    /// The instance that leaves, and since when.
    leaving: Option<(usize, Millis)>,
    was_cut: bool,
    sent_to_leaving: bool,
}

/// A request on its way to a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sent {
    group: GroupId,
    fence: u64,
    head: usize,
}

/// A move of the groups' world.
#[derive(Debug, Clone)]
pub enum Move {
    /// A node probes all instances, or asks for vouchers, and is answered at once.
    Probe(usize),
    /// A node's probes are answered, and the answers are under way.
    Hold(usize),
    /// Those answers come in.
    Deliver(usize),
    /// A node reads the log to its end.
    Read(usize),
    /// The steward reads, probes and plans; orders go out, facts are about to be
    /// appended. It may be paused before and after, for as long as it likes.
    Plan(usize),
    /// The steward's facts are appended; with `true` they are appended again later.
    Append(usize, bool),
    /// An order under way arrives.
    Order(usize),
    /// An instance dies or freezes.
    Lose(usize),
    /// The steward is cut off from an instance that others reach.
    Hide(usize),
    /// An instance comes back as if nothing had happened.
    Return(usize),
    /// An instance comes back as another life that believes what the former one did.
    Reborn(usize),
    /// A node that believes a group serves sends it a request.
    Send(usize),
    /// A request arrives.
    Arrive(usize),
    /// An instance finishes a request.
    Finish(usize),
    /// The platform lists an instance as leaving.
    Leave,
    /// Time passes.
    Tick,
}

impl GroupWorld {
    fn rules(&self) -> StewardRules {
        let release_wait = match self.mutation {
            Some(Mutation::SkipReleaseWait) => Millis::ZERO,
            _ => RELEASE_WAIT,
        };
        StewardRules {
            group_readiness: self.group_readiness(),
            release_wait,
            member_grace: Millis(1),
            gone_after: Millis(1_000),
            order_every: Millis(0),
            load_mib_per_s: 1_000_000,
            // Members that go missing are not expected back: the steward acts.
            expect: Expectations {
                restart_share: 0.0,
                restart_time: Millis(1),
                replacement_time: Millis(1_000_000),
            },
        }
    }

    fn group_readiness(&self) -> GroupReadinessRules {
        GroupReadinessRules { report_ttl: REPORT_TTL }
    }

    fn list(&self) -> InstanceList {
        let is_leaving = |i: usize| match self.leaving {
            Some((leaving, since)) => leaving == i && self.now > since,
            None => false,
        };
        let rows = (0..self.instances.len()).map(|i| start::listed(i, is_leaving(i)));
        InstanceList::new(rows.collect())
    }

    fn leaving_set(&self) -> BTreeSet<InstanceId> {
        if self.mutation == Some(Mutation::IgnoreLeaving) {
            return BTreeSet::new();
        }
        let list = self.list();
        let leaving = list.iter().filter(|listed| listed.leaving);
        leaving.map(|listed| listed.instance.clone()).collect()
    }

    fn state_at(&self, from: &Arc<State>, next: usize) -> Arc<State> {
        let mut state = State::clone(from);
        for at in from.next().0 as usize..next {
            // Offsets follow one another here.
            let _ = state.apply(Offset(at as u64), &self.log[at].envelope());
        }
        Arc::new(state)
    }

    fn read(&mut self, n: usize) {
        let state = self.state_at(self.nodes[n].state.get(), self.log.len());
        self.nodes[n].next = self.log.len();
        self.nodes[n].state.set(state);
    }

    fn plan(&mut self, n: usize) {
        let (rules, list) = (self.rules(), self.list());
        let mut plan = self.nodes[n].plan(&rules, &list, self.now);
        if self.mutation == Some(Mutation::DissolveWithoutDrain) {
            plan.facts = plan.facts.into_iter().map(without_drain).collect();
        }
        for (instance, order) in plan.orders {
            let i = start::index(&instance);
            if self.mutation == Some(Mutation::TrustReplies) {
                self.nodes[n].trust(i, &self.instances[i], &order, self.now);
            }
            self.dispatch(i, order);
        }
        self.orders.sort_by_key(|(i, order)| (*i, order.fence));
        self.nodes[n].pending = (!plan.facts.is_empty()).then(|| LogEntry::of(&plan.facts));
    }

    /// An order arrives at once; in another branch of the search, later.
    fn dispatch(&mut self, i: usize, order: Order) {
        let is_join = matches!(order.action, OrderAction::Join(_));
        let arrival = if is_join { self.left.orders } else { Arrival::AtOnce };
        let is_late = arrival != Arrival::AtOnce;
        if is_late && !self.orders.iter().any(|(j, late)| (*j, late) == (i, &order)) {
            self.orders.push((i, order.clone()));
        }
        if arrival != Arrival::Late && !self.instances[i].is_hidden {
            self.obey(i, &order);
        }
    }

    fn append(&mut self, n: usize, again: bool) {
        let Some(entry) = self.nodes[n].pending.clone() else { return };
        self.log.push(entry);
        if again {
            self.left.lost_replies -= 1;
        } else {
            self.nodes[n].pending = None;
        }
    }

    fn obey(&mut self, i: usize, order: &Order) {
        let ignores = self.mutation == Some(Mutation::IgnoreFencing);
        let cut = self.instances[i].obey(order, ignores, self.now);
        self.was_cut |= cut && self.scenario == Scenario::Stop;
    }

    /// The groups that a node would send work to.
    fn serving(&self, n: usize) -> Vec<(GroupId, u64, Vec<InstanceId>)> {
        let leaving = self.leaving_set();
        self.nodes[n].serving(&leaving, self.now, self.group_readiness(), self.mutation)
    }

    fn send(&mut self, n: usize) {
        let serving = self.serving(n);
        let Some((group, fence, members)) = serving.into_iter().next() else { return };
        self.left.sends -= 1;
        let head = start::index(&members[0]);
        self.under_way.push(Sent { group, fence, head });
        self.sent_to_leaving |= self.is_long_leaving(&members);
    }

    /// Whether a member has been leaving for longer than the list lags.
    fn is_long_leaving(&self, members: &[InstanceId]) -> bool {
        self.leaving.is_some_and(|(i, since)| {
            self.now > since + Millis(1) && members.contains(&start::instance_id(i))
        })
    }

    fn arrive(&mut self, k: usize) {
        let sent = self.under_way.remove(k);
        self.instances[sent.head].take(&sent.group, sent.fence);
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn node_moves(&self, n: usize, moves: &mut Vec<(Move, Self)>) {
        if self.nodes[n].is_steward {
            self.steward_moves(n, moves);
        } else {
            self.reader_moves(n, moves);
        }
        if self.left.sends > 0 && !self.serving(n).is_empty() {
            moves.push((Move::Send(n), self.with(|w| w.send(n))));
        }
    }

    fn steward_moves(&self, n: usize, moves: &mut Vec<(Move, Self)>) {
        if self.nodes[n].pending.is_none() {
            moves.push((
                Move::Plan(n),
                self.with(|w| {
                    w.read(n);
                    w.nodes[n].probe(&w.instances, w.now, w.mutation);
                    w.plan(n);
                }),
            ));
            return;
        }
        moves.push((Move::Append(n, false), self.with(|w| w.append(n, false))));
        if self.left.lost_replies > 0 {
            moves.push((Move::Append(n, true), self.with(|w| w.append(n, true))));
        }
    }

    fn reader_moves(&self, n: usize, moves: &mut Vec<(Move, Self)>) {
        let node = &self.nodes[n];
        moves.push((Move::Probe(n), self.with(|w| w.hear(n))));
        if self.left.holds > 0 && node.held.is_none() {
            let hold = |w: &mut Self| {
                w.left.holds -= 1;
                w.hold(n);
            };
            moves.push((Move::Hold(n), self.with(hold)));
        }
        if node.held.is_some() {
            moves.push((
                Move::Deliver(n),
                self.with(|w| {
                    w.nodes[n].deliver(self.now, self.mutation);
                }),
            ));
        }
        if node.next < self.log.len() {
            moves.push((Move::Read(n), self.with(|w| w.read(n))));
        }
    }

    /// A node probes, or, if it is far, asks the steward's which groups serve; the
    /// answers are under way.
    fn hold(&mut self, n: usize) {
        if self.nodes[n].is_far {
            let group_observations =
                self.nodes[0].group_observations(self.now, self.group_readiness());
            self.nodes[n].hold_vouchers(group_observations, self.now);
        } else {
            self.nodes[n].hold(&self.instances, self.now);
        }
    }

    /// The same, answered at once.
    fn hear(&mut self, n: usize) {
        if self.nodes[n].is_far {
            let group_observations =
                self.nodes[0].group_observations(self.now, self.group_readiness());
            self.nodes[n].take_vouchers(group_observations);
        } else {
            self.nodes[n].probe(&self.instances, self.now, self.mutation);
        }
    }

    fn instance_moves(&self, i: usize, moves: &mut Vec<(Move, Self)>) {
        let instance = &self.instances[i];
        let may_be_lost = matches!(self.scenario, Scenario::Loss | Scenario::Elsewhere) && i == 0;
        if instance.is_up && !instance.is_hidden && self.left.losses > 0 && may_be_lost {
            moves.push((
                Move::Lose(i),
                self.with(|w| {
                    w.left.losses -= 1;
                    w.instances[i].lose(w.now);
                }),
            ));
        }
        if instance.is_up && !instance.is_hidden && self.left.losses > 0 && may_be_lost {
            moves.push((
                Move::Hide(i),
                self.with(|w| {
                    w.left.losses -= 1;
                    w.instances[i].is_hidden = true;
                }),
            ));
        }
        if !instance.is_up {
            moves.push((Move::Return(i), self.with(|w| w.instances[i].come_back(false, w.now))));
            moves.push((Move::Reborn(i), self.with(|w| w.instances[i].come_back(true, w.now))));
        }
        if instance.is_up && instance.running > 0 {
            moves.push((Move::Finish(i), self.with(|w| w.instances[i].running -= 1)));
        }
    }
}

fn without_drain(fact: Fact) -> Fact {
    match fact {
        Fact::GroupDraining(end) => Fact::GroupDissolved(end),
        fact => fact,
    }
}

impl World for GroupWorld {
    type Move = Move;

    fn moves(&self) -> Vec<(Move, Self)> {
        let mut moves = Vec::new();
        (0..self.nodes.len()).for_each(|n| self.node_moves(n, &mut moves));
        (0..self.instances.len()).for_each(|i| self.instance_moves(i, &mut moves));
        for (k, (i, order)) in self.orders.iter().enumerate() {
            moves.push((
                Move::Order(k),
                self.with(|w| {
                    w.orders.remove(k);
                    w.obey(*i, order);
                }),
            ));
        }
        for k in 0..self.under_way.len() {
            moves.push((Move::Arrive(k), self.with(|w| w.arrive(k))));
        }
        if self.scenario == Scenario::Leave && self.leaving.is_none() {
            moves.push((Move::Leave, self.with(|w| w.leaving = Some((0, w.now)))));
        }
        if self.left.ticks > 0 {
            moves.push((
                Move::Tick,
                self.with(|w| {
                    w.left.ticks -= 1;
                    w.now = w.now + Millis(1);
                    w.forget_stale();
                }),
            ));
        }
        moves.retain(|(_, next)| next != self);
        moves
    }

    fn breach(&self) -> Option<Promise> {
        let serving: Vec<_> = (0..self.nodes.len()).map(|n| self.serving(n)).collect();
        let all: Vec<_> = serving.iter().flatten().collect();
        for (group, fence, members) in &all {
            let is_whole = members
                .iter()
                .all(|m| self.instances[start::index(m)].was_in(group, *fence, self.now));
            if !is_whole {
                return Some(Promise::WholeGroups);
            }
            let clash = all.iter().any(|(other, _, others)| {
                other != group && others.iter().any(|m| members.contains(m))
            });
            if clash {
                return Some(Promise::OneGroupEach);
            }
        }
        if self.sent_to_leaving {
            return Some(Promise::LeavingGetsNothing);
        }
        self.was_cut.then_some(Promise::StopCutsNothing)
    }
}

impl GroupWorld {
    /// Drops what no rule looks at any more, so that equal states are equal.
    fn forget_stale(&mut self) {
        if self.mutation == Some(Mutation::BelieveOldReports) {
            return;
        }
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.observations.remove_older_than(now, REPORT_TTL));
    }
}

/// The group that an order names.
pub fn names(action: &OrderAction) -> Option<&GroupId> {
    match action {
        OrderAction::Join(join) => Some(&join.group),
        OrderAction::Drain { group } | OrderAction::Leave { group } => Some(group),
        OrderAction::Load { .. } => None,
    }
}
