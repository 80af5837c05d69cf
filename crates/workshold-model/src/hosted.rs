//! Randomized simulation, in virtual time, of one fabric domain on the users' platform. Instances
//! execute orders late; two nodes compete to be the domain's steward (the node that plans for it
//! and sends orders to its instances), freeze and restart. The promises about groups are checked.
//!
//! The behaviour depends too much on time for a search of all states, so each run is generated from
//! a seed. The nodes use the daemon's steward.

mod engine;
mod steward_node;
mod store;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::hosted::capacity::Utility;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::planner;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::ModelSpec;
use workshold_core::hosted::steward::Command;
use workshold_core::hosted::steward::Order;
use workshold_core::hosted::steward::OrderReply;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::store_era::RESTORE_SETTLE_TIME;
use workshold_protocol::Millis;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::checker::Promise;

pub use self::engine::SimulatedInstance;
use self::steward_node::StewardNode;
use self::store::Store;

/// A rule that can be broken on purpose, to verify that the simulation detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// Instances refuse orders with an outdated fencing token or epoch. Broken: they execute them.
    Fencing,
    /// An instance counts as a member until the list shows that it left. Broken: only until it was
    /// ordered to leave.
    LeaveConfirmed,
    /// A silent head keeps its members while the list has it. Broken: its incarnation counts as
    /// ended.
    SilentHeadKeepsMembers,
    /// Epochs are not given out twice under one lease. Broken: a restarted steward counts from the
    /// start.
    EpochsNotReused,
    /// A new holder of the lease reads the list again before its first order. Broken: it uses the
    /// list that it has.
    ListRereadOnTakeover,
    /// A new holder waits until the previous one has noticed the handover. Broken: it does not.
    WaitForPreviousHolder,
    /// The end of an incarnation doesn't count against the next one under its id. Broken: it does.
    LossPerIncarnation,
    /// Late records of an earlier incarnation are dropped. Broken: they count for the current one.
    StaleRecordsDropped,
    /// A fencing token includes the store's era. Broken: a generation that is given out again after
    /// a restore makes an equal token.
    EraInFence,
    /// Restored records don't count as the present state. Broken: they do.
    RestoredRecordsProvisional,
    /// Whoever gets the lease after a restore waits until the store's contents are current. Broken:
    /// it waits as after any other handover.
    WaitAfterRestore,
    /// A head that is unlisted and unreachable keeps its members until it must have stopped. Broken:
    /// they are reassigned as soon as one has left.
    MissingHeadKeepsMembers,
    /// A head that is unlisted is probed again before its group is broken up. Broken: what probes
    /// found before counts, however long the path has been back.
    MissingHeadProbedAgain,
}

impl BrokenRule {
    /// All rules, each with the promise that the simulation must find broken without it.
    pub const ALL: &'static [(Self, Promise)] = &[
        (Self::Fencing, Promise::OneGroupEach),
        (Self::LeaveConfirmed, Promise::OneGroupEach),
        (Self::SilentHeadKeepsMembers, Promise::OneGroupEach),
        (Self::EpochsNotReused, Promise::WholeGroups),
        (Self::ListRereadOnTakeover, Promise::OneGroupEach),
        (Self::WaitForPreviousHolder, Promise::OneGroupEach),
        (Self::LossPerIncarnation, Promise::OneGroupEach),
        (Self::StaleRecordsDropped, Promise::OneGroupEach),
        (Self::EraInFence, Promise::OneGroupEach),
        (Self::RestoredRecordsProvisional, Promise::OneGroupEach),
        (Self::WaitAfterRestore, Promise::OneGroupEach),
        (Self::MissingHeadKeepsMembers, Promise::OneGroupEach),
        (Self::MissingHeadProbedAgain, Promise::WholeGroups),
    ];
}

/// The result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The first broken promise, when it broke, and at which instance; `None` if all held.
    pub breach: Option<(Promise, Millis, String)>,
    /// Number of groups that began to serve; a run without any verifies nothing.
    pub opened: usize,
}

/// Length of a run.
const DURATION: Millis = Millis(60_000);
/// Simulation step, at which stewards plan too.
const TIME_STEP: Millis = Millis(25);
/// Not zero, so that times before the start can be represented.
const START_TIME: Millis = Millis(100_000);
/// Time to live of the steward's lease; a holder that can't renew it stops by itself.
pub const LEASE_TTL: Millis = Millis(1_500);
/// Time for which one model has more demand than the other ([`Mode::ShiftingDemand`]).
const DEMAND_SWING_INTERVAL: Millis = Millis(7_000);
/// Time until an instance's update shows in the list.
const LIST_LAG: Millis = Millis(60);
/// Interval at which an instance checks its entry in the list.
const CHECK_IN_INTERVAL: Millis = Millis(1_200);
/// Time after which the list drops a silent instance: three missed check-ins and a margin.
const LAPSE_TIMEOUT: Millis = Millis(4_000);
/// Time after which a head that misses a member stops serving.
const GROUP_BREAK_TIME: Millis = Millis(6_000);
/// Fraction of orders that arrive late, and of restarts after which an old record arrives late.
const LATE_FRACTION: f64 = 0.3;
/// Shortest delay of a late order.
const LATE_MIN_MS: u64 = 2_000;
/// Longest delay of a late order.
const LATE_MAX_MS: u64 = 12_000;
const INSTANCES: usize = 9;
/// Probability that the holder of the lease after a restore has just started.
const NEW_HOLDER_FRACTION: f64 = 0.5;

/// An order that has not arrived yet.
#[derive(Debug, Clone)]
struct OrderInFlight {
    arrives_at: Millis,
    command: Command,
    /// The node that receives the reply; `None` for late orders, whose reply is lost.
    reply_to: Option<usize>,
}

/// The engine configuration: two models whose groups have three and two members.
pub fn engine() -> Engine {
    let model = |name: &str, size, share| ModelSpec {
        name: ModelName::new(name).expect("the name is valid"),
        size,
        share,
        pace: 1.0,
        load: Millis(3_000),
        warm_load: Millis(400),
    };
    Engine {
        slots: 8,
        stride: 5,
        step_ms: 8.0,
        per_request_ms: 0.2,
        context_ms_per_k: 0.01,
        prefill_tokens_per_ms: 46.0,
        attention_ms_per_m_pairs: 0.5,
        group_open_time: Millis(300),
        typical_prompt_tokens: 1_000.0,
        typical_answer_tokens: 100.0,
        loads_per_s: 5.0,
        loads_at_once: 7,
        models: vec![model("big", 3, 0.5), model("small", 2, 0.5)],
    }
}

/// Planner models under three workloads: more demand than capacity, demand mostly for the first
/// model, and demand mostly for the second.
fn models(engine: &Engine) -> [Vec<planner::Model>; 3] {
    let workload = |requests: f64| Workload {
        requests,
        prompt_tokens: requests * 1_000.0,
        events: requests * 20.0,
        pause_goal: Millis(250),
    };
    [[200.0, 200.0], [25.0, 5.0], [5.0, 25.0]].map(|demand| {
        let utilities = Utility::of_all(engine, &demand.map(workload), |_| INSTANCES);
        let model = |(spec, utility): (&ModelSpec, Utility)| planner::Model {
            size: spec.size,
            utility_low: utility.clone(),
            utility_high: utility.clone(),
            utility_remembered: None,
            utility,
            groups: 0.0,
            drain_time: Millis(500),
            load: spec.load,
        };
        engine.models.iter().zip(utilities).map(model).collect()
    })
}

/// The demand that a run's stewards plan for; given by the seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// No traffic yet: one plan forms all groups of the domain.
    BeforeTraffic,
    /// More demand than capacity: free instances are formed into groups at once. All weights are
    /// prestaged.
    Overload,
    /// Demand alternates between the models, so groups of one are closed for the other.
    ShiftingDemand,
}

impl Mode {
    fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Self::BeforeTraffic,
            1 => Self::Overload,
            _ => Self::ShiftingDemand,
        }
    }
}

/// A simulation that is generated from a seed.
pub struct HostedWorld {
    now: Millis,
    rng: ChaCha8Rng,
    broken: Option<BrokenRule>,
    engine: Engine,
    models: [Vec<planner::Model>; 3],
    mode: Mode,
    /// Whether instances restart under their ids.
    has_restarts: bool,
    /// Whether the store is restored from backups.
    has_restores: bool,
    /// Whether instances lose their paths to the store and to the nodes together.
    has_lost_paths: bool,
    instances: BTreeMap<InstanceId, SimulatedInstance>,
    roster: Roster,
    trust: ListTrust,
    /// Updates that do not show in the list yet: when they will, their offset and their instance.
    pending_updates: Vec<(Millis, u64, InstanceId)>,
    /// Records of earlier incarnations that reach the list late, with the time when they do.
    stale_records: Vec<(Millis, Instance)>,
    /// Instances whose newest record is of an earlier incarnation, and since when.
    overwritten: BTreeMap<InstanceId, Millis>,
    /// Instances that were ready, by id and epoch of the group, with the incarnation count at that
    /// time.
    was_ready: BTreeMap<(InstanceId, u64), u64>,
    store: Store,
    /// When the store was last restored.
    restored_at: Millis,
    orders_in_flight: Vec<OrderInFlight>,
    steward_nodes: Vec<StewardNode>,
    /// Index of the node that holds the lease.
    holder: usize,
    outcome: Outcome,
}

impl HostedWorld {
    /// Creates the simulation of `seed`, with one rule broken if one is given.
    pub fn new(seed: u64, broken: Option<BrokenRule>) -> Self {
        let mut world = Self {
            now: START_TIME,
            rng: ChaCha8Rng::seed_from_u64(seed),
            broken,
            models: models(&engine()),
            engine: engine(),
            mode: Mode::of(seed),
            has_restarts: false,
            has_restores: false,
            has_lost_paths: false,
            instances: BTreeMap::new(),
            roster: Roster::default(),
            trust: ListTrust::default(),
            pending_updates: Vec::new(),
            stale_records: Vec::new(),
            overwritten: BTreeMap::new(),
            was_ready: BTreeMap::new(),
            store: Store::default(),
            restored_at: Millis::ZERO,
            orders_in_flight: Vec::new(),
            steward_nodes: (0..2).map(|_| StewardNode::new(broken)).collect(),
            holder: 0,
            outcome: Outcome { breach: None, opened: 0 },
        };
        (0..INSTANCES).for_each(|i| world.add_instance(&format!("i-{i}")));
        let fence = world.store.hand_over(0);
        world.steward_nodes[0].acquire_lease(fence, START_TIME);
        world
    }

    /// Like [`Self::new`], with a store that is restored from backups.
    pub fn with_restores(seed: u64, broken: Option<BrokenRule>) -> Self {
        Self { has_restores: true, ..Self::new(seed, broken) }
    }

    /// Like [`Self::new`], with instances that restart under their ids.
    pub fn with_restarts(seed: u64, broken: Option<BrokenRule>) -> Self {
        Self { has_restarts: true, ..Self::new(seed, broken) }
    }

    /// Like [`Self::new`], with instances that lose their paths to the store and to the nodes
    /// together. The second path may come back while the first is still lost.
    pub fn with_lost_paths(seed: u64, broken: Option<BrokenRule>) -> Self {
        Self { has_lost_paths: true, ..Self::new(seed, broken) }
    }

    /// Runs the simulation until its end or the first broken promise.
    pub fn run(mut self) -> Outcome {
        while self.now < START_TIME + DURATION && self.outcome.breach.is_none() {
            self.now = self.now + TIME_STEP;
            self.inject_fault();
            self.deliver_orders();
            self.advance_instances();
            self.publish();
            self.store.back_up(self.now);
            self.steward();
        }
        self.outcome
    }

    fn add_instance(&mut self, name: &str) {
        let id = InstanceId::new(name).expect("the name is valid");
        let names = self.engine.models.iter().map(|spec| spec.name.clone());
        let prestaged = if self.mode == Mode::Overload { names.collect() } else { Vec::new() };
        self.instances.insert(id.clone(), SimulatedInstance::new(id.clone(), prestaged));
        self.queue_update(&id);
    }

    /// Schedules an update of the instance's entry in the list.
    fn queue_update(&mut self, id: &InstanceId) {
        let position = self.store.next_position();
        self.pending_updates.push((self.now + LIST_LAG, position.offset, id.clone()));
    }

    fn inject_fault(&mut self) {
        let chance = self.rng.random::<f64>();
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let now = self.now;
        if chance < 0.004 {
            self.kill_instance(&id);
        } else if chance < 0.007 {
            let until = now + Millis(self.rng.random_range(1_000..8_000));
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.cut_since = now;
                instance.cut_until = until;
            }
        } else if chance < 0.010 {
            self.hand_over();
        } else if chance < 0.013 {
            let until = now + Millis(self.rng.random_range(500..4_000));
            let frozen = self.holder;
            self.steward_nodes[frozen].frozen_until = until;
        } else if chance < 0.016 {
            let holder = self.holder;
            self.steward_nodes[holder].restart();
        } else if chance < 0.022 {
            // One node gets no updates of the list for a while.
            let reader = self.rng.random_range(0..self.steward_nodes.len());
            let until = now + Millis(self.rng.random_range(300..3_000));
            self.steward_nodes[reader].delay_reads_until(until);
        } else if chance < 0.030 && self.has_restarts {
            self.restart(&id);
        } else if (0.030..0.034).contains(&chance) && self.has_restores {
            self.restore_from_backup();
        } else if (0.034..0.042).contains(&chance) && self.has_lost_paths {
            self.lose_paths(&id);
        }
    }

    /// Cuts an instance off from the store, and for a part of that time from the nodes.
    fn lose_paths(&mut self, id: &InstanceId) {
        let now = self.now;
        let back_at_store = now + Millis(self.rng.random_range(3_000..20_000));
        let back_at_nodes = now + Millis(self.rng.random_range(1_000..20_000));
        let Some(instance) = self.instances.get_mut(id) else { return };
        if !instance.is_alive || instance.store_cut_until > now || instance.cut_until > now {
            return;
        }
        instance.store_cut_since = now;
        instance.store_cut_until = back_at_store;
        instance.cut_since = now;
        instance.cut_until = back_at_nodes;
        self.pending_updates.push((back_at_store, 0, id.clone()));
    }

    /// Restores the store from a backup. Running instances whose entry differs from the restored
    /// one write it again at their next check-in. The holder of the lease, by the backup or by a
    /// handover right after the restore, may be another node than before; the previous holder
    /// notices that within [`LEASE_TTL`].
    fn restore_from_backup(&mut self) {
        let now = self.now;
        let age = Millis(self.rng.random_range(300..6_000));
        self.store.restore_from_backup(age, now);
        self.restored_at = now;
        self.pending_updates.clear();
        self.stale_records.clear();
        self.overwritten.clear();
        self.show_restored_list();
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        for id in ids {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let restored = self.store.data.records.get(&id).map(|(_, listed_state)| listed_state);
            instance.has_lapsed = restored.is_none();
            let is_written = restored == Some(&instance.listed_state());
            if instance.is_alive && !is_written {
                let wait = Millis(self.rng.random_range(0..CHECK_IN_INTERVAL.0));
                let position = self.store.next_position();
                self.pending_updates.push((now + wait + LIST_LAG, position.offset, id));
            }
        }
        self.holder = self.store.data.holder;
        let next = self.rng.random_range(0..self.steward_nodes.len());
        self.hand_over_to(next);
        if self.rng.random_bool(NEW_HOLDER_FRACTION) {
            self.steward_nodes[next].restart_without_history(now + RESTORE_SETTLE_TIME);
        }
    }

    /// Shows the restored records in the list.
    fn show_restored_list(&mut self) {
        let now = self.now;
        let era = self.store.era;
        let counts_as_current = self.broken == Some(BrokenRule::RestoredRecordsProvisional);
        self.roster.begin_era(era, now + RESTORE_SETTLE_TIME);
        for (id, (offset, listed_state)) in &self.store.data.records {
            let position = LogPosition { era, offset: *offset };
            if counts_as_current {
                self.roster.apply(position, id, Some(listed_state.clone()), now);
            } else {
                self.roster.apply_restored(position, id, listed_state.clone(), now);
            }
        }
    }

    /// Ends an instance for good and starts a replacement under another id.
    fn kill_instance(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get_mut(id).filter(|instance| instance.is_alive) else {
            return;
        };
        instance.is_alive = false;
        instance.died_at = self.now;
        let name = format!("{}x", id.as_str());
        self.add_instance(&name);
    }

    /// Restarts an instance under its id, which may happen after a long silence. A record of its
    /// previous incarnation may reach the list only after that.
    fn restart(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get_mut(id).filter(|instance| instance.is_alive) else {
            return;
        };
        let last = instance.listed_state();
        // The clock that incarnations are taken from may go back or stand still between them.
        let incarnation = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(1..=instance.incarnation.0),
            _ => instance.incarnation.0 + self.rng.random_range(1..1_000),
        };
        instance.restart(Incarnation(incarnation), self.now);
        // Orders in flight to the previous process are lost with it.
        self.orders_in_flight.retain(|order| order.command.to.id != *id);
        let late = Millis(self.rng.random_range(20..3_000));
        // Two incarnations with the same start time (in milliseconds) can't be told apart, so only
        // records that arrive in order are attributed correctly. Their records aren't delayed.
        let is_late =
            incarnation != last.identity.incarnation.0 && self.rng.random_bool(LATE_FRACTION);
        self.queue_update(id);
        if is_late {
            self.stale_records.push((self.now + late, last));
        }
    }

    /// Hands the lease over to the other node; the previous holder notices it later.
    fn hand_over(&mut self) {
        self.hand_over_to(1 - self.holder);
    }

    fn hand_over_to(&mut self, holder: usize) {
        self.holder = holder;
        let fence = self.store.hand_over(holder);
        let true_from = self.restored_at + RESTORE_SETTLE_TIME;
        let is_restore_recent = self.has_restores && self.now < true_from;
        let waits_until = if is_restore_recent { true_from } else { Millis::ZERO };
        self.steward_nodes[holder].acquire_lease_after(fence, waits_until, self.now);
        let notices_at = self.now + Millis(self.rng.random_range(0..LEASE_TTL.0));
        for last in (0..self.steward_nodes.len()).filter(|last| *last != holder) {
            self.steward_nodes[last].notice_loss_at(notices_at);
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<OrderInFlight> =
            self.orders_in_flight.extract_if(.., |order| order.arrives_at <= now).collect();
        for order in due {
            let reply = self.execute_order(&order.command);
            if let Some(reply_to) = order.reply_to {
                self.steward_nodes[reply_to].on_reply(&order.command, reply);
            }
        }
    }

    fn execute_order(&mut self, command: &Command) -> OrderReply {
        let ignores_fencing = self.broken == Some(BrokenRule::Fencing);
        let id = &command.to.id;
        let Some(instance) = self.instances.get_mut(id) else {
            return OrderReply::Unknown;
        };
        if !instance.is_alive {
            return OrderReply::Unknown;
        }
        let before = instance.membership.clone();
        let reply = instance.execute(command, self.now, ignores_fencing);
        let after = instance.membership.clone();
        let has_changed_group =
            before.as_ref().map(|own| own.epoch) != after.as_ref().map(|own| own.epoch);
        if has_changed_group && after.is_some() {
            self.check_removal(id, before);
        }
        self.queue_update(id);
        reply
    }

    /// Checks that the instance was not removed from a group whose head serves.
    fn check_removal(&mut self, id: &InstanceId, before: Option<engine::Member>) {
        let Some(own) = before else { return };
        let head = &own.members[0].id;
        let was_serving = if head == id {
            own.serves
        } else {
            self.instances.get(head).is_some_and(|head| head.serves(own.epoch))
        };
        if was_serving {
            self.breach(Promise::OneGroupEach, id);
        }
    }

    /// Checks that no member is ordered to leave a group whose head serves and is reached.
    fn check_break_up(&mut self, command: &Command) {
        let Order::Leave { epoch, .. } = &command.order else { return };
        let Some(instance) = self.instances.get(&command.to.id) else { return };
        let own = instance.membership.as_ref().filter(|own| own.epoch == *epoch && own.rank > 0);
        let Some(head) = own.and_then(|own| self.instances.get(&own.members[0].id)) else { return };
        if head.serves(*epoch) && head.cut_until <= self.now {
            self.breach(Promise::WholeGroups, &command.to.id);
        }
    }

    /// Stops heads that have missed a member for long enough.
    fn break_groups(&mut self) {
        let now = self.now;
        let is_in = |identity: &Identity, epoch: u64| {
            let member = self.instances.get(&identity.id);
            member.is_some_and(|member| {
                let is_same = member.is_alive && member.identity() == *identity;
                is_same && member.membership.as_ref().is_some_and(|own| own.epoch == epoch)
            })
        };
        let is_broken = |head: &SimulatedInstance| {
            let serving = head.membership.as_ref().filter(|own| own.serves);
            serving.is_some_and(|own| !own.members.iter().all(|id| is_in(id, own.epoch)))
        };
        let broken: Vec<InstanceId> =
            self.instances.values().filter(|i| is_broken(i)).map(|i| i.id.clone()).collect();
        for id in broken {
            let Some(head) = self.instances.get_mut(&id) else { continue };
            if head.break_after(GROUP_BREAK_TIME, now) {
                self.queue_update(&id);
            }
        }
    }

    fn advance_instances(&mut self) {
        if self.has_lost_paths {
            self.break_groups();
        }
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let change = instance.advance(now);
            if change == engine::Change::Opened {
                self.outcome.opened += 1;
                self.check_group_is_whole(&id);
            }
            if change == engine::Change::Ready {
                self.record_ready(&id);
            }
            if change != engine::Change::None {
                self.queue_update(&id);
            }
        }
    }

    /// Checks that a group that begins to serve is whole: each member is in it, or was ready in it
    /// before its process ended or it was ordered to leave. A missing head may open its group after
    /// that, by a late order; it gets no requests, since a member reports that it is not in it.
    fn check_group_is_whole(&mut self, head: &InstanceId) {
        let Some(own) = self.instances.get(head).and_then(|head| head.membership.clone()) else {
            return;
        };
        let is_whole = own.members.iter().all(|identity| {
            let Some(member) = self.instances.get(&identity.id) else { return false };
            let is_in = member.membership.as_ref().is_some_and(|m| m.epoch == own.epoch);
            let ready_incarnation = self.was_ready.get(&(identity.id.clone(), own.epoch));
            let has_ended = ready_incarnation.is_some_and(|incarnation_count| {
                !member.is_alive || *incarnation_count != member.incarnation_count
            });
            let has_left = ready_incarnation.is_some() && member.left_epochs.contains(&own.epoch);
            (member.is_alive && is_in) || has_ended || has_left
        });
        if !is_whole {
            self.breach(Promise::WholeGroups, head);
        }
    }

    fn record_ready(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get(id) else { return };
        if let Some(own) = &instance.membership {
            self.was_ready.insert((id.clone(), own.epoch), instance.incarnation_count);
        }
    }

    fn breach(&mut self, promise: Promise, id: &InstanceId) {
        if self.outcome.breach.is_none() {
            self.outcome.breach = Some((promise, self.now, id.as_str().to_owned()));
        }
    }

    fn publish(&mut self) {
        let now = self.now;
        let instances = &self.instances;
        let reaches_store =
            |id: &InstanceId| instances.get(id).is_none_or(|i| i.store_cut_until <= now);
        let is_due = |row: &mut (Millis, u64, InstanceId)| row.0 <= now && reaches_store(&row.2);
        let due: Vec<_> = self.pending_updates.extract_if(.., is_due).collect();
        for (_, offset, id) in due {
            let Some(instance) = self.instances.get_mut(&id).filter(|i| i.is_alive) else {
                continue;
            };
            let listed_state = instance.listed_state();
            if self.has_lost_paths {
                instance.has_lapsed = false;
                let offset = self.store.next_position().offset;
                self.write(offset, &id, Some(listed_state));
            } else {
                self.write(offset, &id, Some(listed_state));
            }
        }
        self.publish_stale_records();
        self.check_in();
        let lapsed: Vec<InstanceId> = self
            .instances
            .values()
            .filter(|i| !i.has_lapsed)
            .filter(|i| {
                i.silent_since(now)
                    .is_some_and(|since| now.since(since.max(self.restored_at)) >= LAPSE_TIMEOUT)
            })
            .map(|i| i.id.clone())
            .collect();
        for id in lapsed {
            let position = self.store.next_position();
            self.write(position.offset, &id, None);
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.has_lapsed = true;
            }
        }
        self.roster.forget(now);
    }

    /// Writes a record to the store and shows it in the list; `None` removes the entry.
    fn write(&mut self, offset: u64, id: &InstanceId, listed_state: Option<Instance>) {
        self.store.write(offset, id, listed_state.as_ref());
        let position = LogPosition { era: self.store.era, offset };
        self.roster.apply(position, id, listed_state, self.now);
    }

    /// Shows late records of earlier incarnations, each of which replaces the instance's newest
    /// record.
    fn publish_stale_records(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.stale_records.extract_if(.., |row| row.0 <= now).collect();
        for (_, mut listed_state) in due {
            let position = self.store.next_position();
            self.overwritten.insert(listed_state.identity.id.clone(), now);
            if self.broken == Some(BrokenRule::StaleRecordsDropped) {
                // As if records did not name their incarnation.
                let known = self.roster.get(&listed_state.identity.id);
                listed_state.identity =
                    known.map_or(listed_state.identity, |known| known.instance.identity.clone());
            }
            let id = listed_state.identity.id.clone();
            self.write(position.offset, &id, Some(listed_state));
        }
    }

    /// Instances check in, and write their entry again if a record of an earlier incarnation has
    /// replaced it.
    fn check_in(&mut self) {
        let now = self.now;
        let overwritten = std::mem::take(&mut self.overwritten);
        for (id, at) in overwritten {
            if now.since(at) < CHECK_IN_INTERVAL {
                self.overwritten.insert(id, at);
            } else {
                self.queue_update(&id);
            }
        }
    }

    /// Tells each node the fencing tokens that the others act under.
    fn gossip(&mut self) {
        let active_fence: Vec<Option<Fence>> =
            self.steward_nodes.iter().map(StewardNode::active_fence).collect();
        for (i, steward_node) in self.steward_nodes.iter_mut().enumerate() {
            let others = active_fence.iter().enumerate().filter(|(j, _)| *j != i);
            let others: Vec<Fence> = others.filter_map(|(_, active_fence)| *active_fence).collect();
            steward_node.observe_holders(&others, self.now);
        }
    }

    /// The current workload, as an index into `models`.
    fn demand(&self) -> usize {
        let phase = (self.now.0 / DEMAND_SWING_INTERVAL.0 % 2) as usize;
        if self.mode == Mode::ShiftingDemand { 1 + phase } else { 0 }
    }

    fn steward(&mut self) {
        self.gossip();
        let view = Arc::new(steward_node::View {
            engine: &self.engine,
            roster: &self.roster,
            trust: &self.trust,
            listed: &self.store.data.records,
            instances: &self.instances,
            models: &self.models[self.demand()],
            mode: self.mode,
            has_lost_paths: self.has_lost_paths,
            broken: self.broken,
            now: self.now,
        });
        let mut commands_to_send = Vec::new();
        for (i, steward_node) in self.steward_nodes.iter_mut().enumerate() {
            let commands = steward_node.plan(&view);
            commands_to_send.extend(commands.into_iter().map(|command| (i, command)));
        }
        for (reply_to, command) in commands_to_send {
            self.check_break_up(&command);
            self.send(reply_to, command);
        }
    }

    fn send(&mut self, reply_to: usize, command: Command) {
        let is_cut = self.instances.get(&command.to.id).is_none_or(|i| i.cut_until > self.now);
        if is_cut {
            return;
        }
        let is_late = self.rng.random_bool(LATE_FRACTION);
        let wait = if is_late { self.rng.random_range(LATE_MIN_MS..LATE_MAX_MS) } else { 3 };
        let reply_to = (!is_late).then_some(reply_to);
        self.orders_in_flight.push(OrderInFlight {
            arrives_at: self.now + Millis(wait),
            command,
            reply_to,
        });
    }
}
