//! World for replica groups: one fabric domain with a steward (the node that plans for the domain
//! and sends orders to its instances), a node that may lag behind the log, and instances that die,
//! pause and come back.

mod initial_state;
mod instance;
mod node;

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
pub use crate::groups::initial_state::Scenario;
use crate::groups::instance::Instance;
use crate::groups::node::Node;
use crate::mutation::Mutation;

/// Time, in ticks, for which a report counts.
const REPORT_TTL: Millis = Millis(2);
/// Time, in ticks, until a released instance may join another group. Longer than [`REPORT_TTL`] by
/// the drift of clocks, so that no node still counts the instance as a member.
const RELEASE_WAIT: Millis = Millis(3);

/// Limits on what may happen in one run; a move that uses one up counts it down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Number of ticks by which time advances.
    pub ticks: u64,
    /// Times that an instance is lost, or that the steward is cut off from it.
    pub losses: u8,
    /// Rounds of probes whose answers are delayed.
    pub delayed_answers: u8,
    /// Appends whose reply is lost, so that they are repeated later.
    pub lost_replies: u8,
    /// Requests that nodes send.
    pub requests: u8,
    /// When join orders arrive.
    pub order_arrival: OrderArrival,
}

/// When join orders arrive at instances. Orders of other kinds always arrive at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderArrival {
    /// At once.
    Immediate,
    /// At once, and a duplicate at any later time.
    ImmediateAndLate,
    /// At any later time.
    Late,
}

/// One log record: its facts, serialized so that they can be compared and hashed. Its timestamp
/// and id are constant, because the log's state doesn't depend on them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LogEntry(Vec<u8>);

impl LogEntry {
    fn of(facts: &[Fact]) -> Self {
        Self(postcard::to_stdvec(facts).expect("facts can be serialized"))
    }

    fn envelope(&self) -> Envelope {
        let facts = postcard::from_bytes(&self.0).expect("`of` serialized it");
        Envelope { id: RecordId([0; 16]), at: Millis::ZERO, facts }
    }
}

/// A state of the fabric domain, its log, nodes and instances.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GroupWorld {
    mutation: Option<Mutation>,
    scenario: Scenario,
    remaining: Bounds,
    now: Millis,
    log: Vec<LogEntry>,
    nodes: Vec<Node>,
    instances: Vec<Instance>,
    /// Orders that have not arrived yet, with the index of their instance.
    orders_in_flight: Vec<(usize, Order)>,
    /// Requests that a node has sent and the group's head has not received.
    requests_in_flight: Vec<RequestInFlight>,
    /// The instance that is leaving, and since when.
    leaving: Option<(usize, Millis)>,
    /// Whether a planned stop ended a group while one of its members ran a request.
    request_cut_off: bool,
    /// Whether a request went to a group with a member that had been leaving for longer than the
    /// list lags.
    sent_to_leaving: bool,
}

/// A request on its way to a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RequestInFlight {
    group: GroupId,
    fence: u64,
    head: usize,
}

/// A move of [`GroupWorld`].
#[derive(Debug, Clone)]
pub enum Move {
    /// A node probes all instances, or asks a node of their data centre for group observations, and
    /// gets the answers at once.
    Probe(usize),
    /// A node does the same, but the answers are delayed.
    Hold(usize),
    /// The delayed answers arrive.
    Deliver(usize),
    /// A node reads the log to its end.
    Read(usize),
    /// The steward reads the log, probes, plans and sends orders. The facts of the plan are
    /// appended by a move of its own, so the steward may be paused in between for any time.
    Plan(usize),
    /// The steward's facts are appended. With `true` the reply is lost and the append is repeated
    /// later.
    Append(usize, bool),
    /// An order in flight arrives.
    Order(usize),
    /// An instance dies or freezes.
    Lose(usize),
    /// The steward loses its connection to an instance that other nodes still reach.
    Hide(usize),
    /// An instance that was frozen goes on with the same incarnation.
    Return(usize),
    /// An instance restarts with a new incarnation that still reports its former membership.
    Reborn(usize),
    /// A node sends a request to a group that it regards as serving.
    Send(usize),
    /// A request arrives.
    Arrive(usize),
    /// An instance finishes a request.
    Finish(usize),
    /// The platform lists an instance as leaving.
    Leave,
    /// Time advances by one tick.
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
            order_interval: Millis(0),
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
        let rows =
            (0..self.instances.len()).map(|i| initial_state::listed_instance(i, is_leaving(i)));
        InstanceList::new(rows.collect())
    }

    fn leaving_set(&self) -> BTreeSet<InstanceId> {
        if self.mutation == Some(Mutation::IgnoreLeaving) {
            return BTreeSet::new();
        }
        let list = self.list();
        let leaving = list.iter().filter(|listed_instance| listed_instance.leaving);
        leaving.map(|listed_instance| listed_instance.instance.clone()).collect()
    }

    fn state_at(&self, from: &Arc<State>, next: usize) -> Arc<State> {
        let mut state = State::clone(from);
        for at in from.next().0 as usize..next {
            // `apply` fails on gaps between offsets only, and these are consecutive.
            let _ = state.apply(Offset(at as u64), &self.log[at].envelope());
        }
        Arc::new(state)
    }

    fn read(&mut self, n: usize) {
        let state = self.state_at(self.nodes[n].state.get(), self.log.len());
        self.nodes[n].next_offset = self.log.len();
        self.nodes[n].state.set(state);
    }

    fn plan(&mut self, n: usize) {
        let (rules, list) = (self.rules(), self.list());
        let mut plan = self.nodes[n].plan(&rules, &list, self.now);
        if self.mutation == Some(Mutation::DissolveWithoutDrain) {
            plan.facts = plan.facts.into_iter().map(without_drain).collect();
        }
        for (instance, order) in plan.orders {
            let i = initial_state::index(&instance);
            if self.mutation == Some(Mutation::TrustReplies) {
                self.nodes[n].trust_reply(i, &self.instances[i], &order, self.now);
            }
            self.dispatch(i, order);
        }
        self.orders_in_flight.sort_by_key(|(i, order)| (*i, order.fence));
        self.nodes[n].pending = (!plan.facts.is_empty()).then(|| LogEntry::of(&plan.facts));
    }

    /// Sends an order. Depending on the bounds it arrives at once, later by a move of its own, or
    /// both.
    fn dispatch(&mut self, i: usize, order: Order) {
        let is_join = matches!(order.action, OrderAction::Join(_));
        let arrival = if is_join { self.remaining.order_arrival } else { OrderArrival::Immediate };
        let is_late = arrival != OrderArrival::Immediate;
        if is_late && !self.orders_in_flight.iter().any(|(j, late)| (*j, late) == (i, &order)) {
            self.orders_in_flight.push((i, order.clone()));
        }
        if arrival != OrderArrival::Late && !self.instances[i].is_hidden {
            self.obey(i, &order);
        }
    }

    fn append(&mut self, n: usize, retries_later: bool) {
        let Some(entry) = self.nodes[n].pending.clone() else { return };
        self.log.push(entry);
        if retries_later {
            self.remaining.lost_replies -= 1;
        } else {
            self.nodes[n].pending = None;
        }
    }

    fn obey(&mut self, i: usize, order: &Order) {
        let ignores_fencing = self.mutation == Some(Mutation::IgnoreFencing);
        let cut_off = self.instances[i].obey(order, ignores_fencing, self.now);
        self.request_cut_off |= cut_off && self.scenario == Scenario::Stop;
    }

    /// The groups that node `n` would send requests to: id, fencing token and members.
    fn serving(&self, n: usize) -> Vec<(GroupId, u64, Vec<InstanceId>)> {
        let leaving = self.leaving_set();
        self.nodes[n].serving(&leaving, self.now, self.group_readiness(), self.mutation)
    }

    fn send(&mut self, n: usize) {
        let serving = self.serving(n);
        let Some((group, fence, members)) = serving.into_iter().next() else { return };
        self.remaining.requests -= 1;
        let head = initial_state::index(&members[0]);
        self.requests_in_flight.push(RequestInFlight { group, fence, head });
        self.sent_to_leaving |= self.is_long_leaving(&members);
    }

    /// Whether a member has been leaving for longer than the instance list lags (one tick).
    fn is_long_leaving(&self, members: &[InstanceId]) -> bool {
        self.leaving.is_some_and(|(i, since)| {
            self.now > since + Millis(1) && members.contains(&initial_state::instance_id(i))
        })
    }

    fn arrive(&mut self, k: usize) {
        let request = self.requests_in_flight.remove(k);
        self.instances[request.head].accept_request(&request.group, request.fence);
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
        if self.remaining.requests > 0 && !self.serving(n).is_empty() {
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
        if self.remaining.lost_replies > 0 {
            moves.push((Move::Append(n, true), self.with(|w| w.append(n, true))));
        }
    }

    fn reader_moves(&self, n: usize, moves: &mut Vec<(Move, Self)>) {
        let node = &self.nodes[n];
        moves.push((Move::Probe(n), self.with(|w| w.observe(n))));
        if self.remaining.delayed_answers > 0 && node.delayed.is_none() {
            let delay_answers = |w: &mut Self| {
                w.remaining.delayed_answers -= 1;
                w.delay_answers(n);
            };
            moves.push((Move::Hold(n), self.with(delay_answers)));
        }
        if node.delayed.is_some() {
            moves.push((
                Move::Deliver(n),
                self.with(|w| {
                    w.nodes[n].deliver(self.now, self.mutation);
                }),
            ));
        }
        if node.next_offset < self.log.len() {
            moves.push((Move::Read(n), self.with(|w| w.read(n))));
        }
    }

    /// Node `n` probes all instances, or, if it is in another data centre, asks the steward's node
    /// for its group observations. The answers are delayed.
    fn delay_answers(&mut self, n: usize) {
        if self.nodes[n].is_remote {
            let group_observations =
                self.nodes[0].group_observations(self.now, self.group_readiness());
            self.nodes[n].delay_group_observations(group_observations, self.now);
        } else {
            self.nodes[n].delay_reports(&self.instances, self.now);
        }
    }

    /// Like `delay_answers`, but the answers arrive at once.
    fn observe(&mut self, n: usize) {
        if self.nodes[n].is_remote {
            let group_observations =
                self.nodes[0].group_observations(self.now, self.group_readiness());
            self.nodes[n].record_group_observations(group_observations);
        } else {
            self.nodes[n].probe(&self.instances, self.now, self.mutation);
        }
    }

    fn instance_moves(&self, i: usize, moves: &mut Vec<(Move, Self)>) {
        let instance = &self.instances[i];
        let may_be_lost = matches!(self.scenario, Scenario::Loss | Scenario::RemoteNode) && i == 0;
        if instance.is_up && !instance.is_hidden && self.remaining.losses > 0 && may_be_lost {
            moves.push((
                Move::Lose(i),
                self.with(|w| {
                    w.remaining.losses -= 1;
                    w.instances[i].lose(w.now);
                }),
            ));
        }
        if instance.is_up && !instance.is_hidden && self.remaining.losses > 0 && may_be_lost {
            moves.push((
                Move::Hide(i),
                self.with(|w| {
                    w.remaining.losses -= 1;
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
        for (k, (i, order)) in self.orders_in_flight.iter().enumerate() {
            moves.push((
                Move::Order(k),
                self.with(|w| {
                    w.orders_in_flight.remove(k);
                    w.obey(*i, order);
                }),
            ));
        }
        for k in 0..self.requests_in_flight.len() {
            moves.push((Move::Arrive(k), self.with(|w| w.arrive(k))));
        }
        if self.scenario == Scenario::Leave && self.leaving.is_none() {
            moves.push((Move::Leave, self.with(|w| w.leaving = Some((0, w.now)))));
        }
        if self.remaining.ticks > 0 {
            moves.push((
                Move::Tick,
                self.with(|w| {
                    w.remaining.ticks -= 1;
                    w.now = w.now + Millis(1);
                    w.remove_stale_reports();
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
                .all(|m| self.instances[initial_state::index(m)].was_in(group, *fence, self.now));
            if !is_whole {
                return Some(Promise::WholeGroups);
            }
            let shares_member = all.iter().any(|(other, _, others)| {
                other != group && others.iter().any(|m| members.contains(m))
            });
            if shares_member {
                return Some(Promise::OneGroupEach);
            }
        }
        if self.sent_to_leaving {
            return Some(Promise::LeavingGetsNothing);
        }
        self.request_cut_off.then_some(Promise::StopCutsNothing)
    }
}

impl GroupWorld {
    /// Removes reports that are too old to count for any rule. States that differ in such reports
    /// only become equal, which keeps the search small.
    fn remove_stale_reports(&mut self) {
        if self.mutation == Some(Mutation::BelieveOldReports) {
            return;
        }
        let now = self.now;
        self.nodes.iter_mut().for_each(|node| node.observations.remove_older_than(now, REPORT_TTL));
    }
}

/// The group that an order concerns; `None` for an order that only loads weights.
pub fn group_of(action: &OrderAction) -> Option<&GroupId> {
    match action {
        OrderAction::Join(join) => Some(&join.group),
        OrderAction::Drain { group } | OrderAction::Leave { group } => Some(group),
        OrderAction::Load { .. } => None,
    }
}
