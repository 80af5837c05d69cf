//! Simulated node that can be the domain's steward (the node that plans for it and sends orders to
//! its instances): its lease, its possibly outdated view of the list, and when it is frozen.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use workshold_core::hosted::groups;
use workshold_core::hosted::groups::Group;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::partition_lease::HandoverTimings;
use workshold_core::hosted::partition_lease::PartitionLease;
use workshold_core::hosted::planner;
use workshold_core::hosted::roster::Entry;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::MemberState;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::steward::Command;
use workshold_core::hosted::steward::DomainContext;
use workshold_core::hosted::steward::Order;
use workshold_core::hosted::steward::OrderReply;
use workshold_core::hosted::steward::Steward;
use workshold_core::hosted::steward::StewardTimings;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::suspicion::Loss;
use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;

use super::BrokenRule;
use super::LEASE_TTL;
use super::Mode;
use super::engine::SimulatedInstance;

/// What nodes can see of the simulation.
pub struct View<'a> {
    /// Configuration of the engines.
    pub engine: &'a Engine,
    /// The current instance list.
    pub roster: &'a Roster,
    /// Whether the list can be trusted.
    pub trust: &'a ListTrust,
    /// The newest records in the store, as a node without history reads them.
    pub listed: &'a BTreeMap<InstanceId, (u64, Instance)>,
    /// The instances, for probes.
    pub instances: &'a BTreeMap<InstanceId, SimulatedInstance>,
    /// Planner models for the current workload, with a group count of zero.
    pub models: &'a [planner::Model],
    /// Mode of the run, which decides whether groups may be closed.
    pub mode: Mode,
    /// Whether instances lose their paths to the store and to the nodes together.
    pub has_lost_paths: bool,
    /// The rule that is broken, if any.
    pub broken: Option<BrokenRule>,
    /// Current time.
    pub now: Millis,
}

/// A node that may hold the steward's lease.
pub struct StewardNode {
    broken: Option<BrokenRule>,
    steward: Option<Steward>,
    fence: Fence,
    /// Counter of issued epochs, which its successive stewards share.
    epochs_issued: Arc<AtomicU64>,
    /// It is frozen until then and afterwards goes on with its old state.
    pub frozen_until: Millis,
    /// When it notices that it has lost its lease.
    notices_loss_at: Option<Millis>,
    partition_lease: PartitionLease,
    /// The instance list as last read.
    roster: Roster,
    /// When the list was last read.
    read_at: Millis,
    /// It gets no updates of the list until then.
    reads_delayed_until: Millis,
    /// Until then it knows only what the store says, because it has just started.
    without_history_until: Millis,
    /// Epochs of the groups that instances were ordered to leave; filled only if
    /// [`BrokenRule::LeaveConfirmed`] is broken.
    told_to_leave: BTreeMap<Identity, u64>,
}

/// Time after an instance's start from which late reports of its previous incarnation's loss count
/// against it ([`BrokenRule::LossPerIncarnation`]).
const STALE_LOSS_FROM: Millis = Millis(2_500);
/// Time after an instance's start until which they do.
const STALE_LOSS_UNTIL: Millis = Millis(4_000);

/// How long an instance that is not listed is suspected after its path is back.
const UNLISTED_SUSPICION_TIME: Millis = Millis(10_000);

/// Waiting times after a handover of the lease; the same as in the daemon.
const HANDOVER_TIMINGS: HandoverTimings =
    HandoverTimings { max_order_delay: Millis(300), lease_ttl: LEASE_TTL };

impl StewardNode {
    /// Creates a node without a lease.
    pub fn new(broken: Option<BrokenRule>) -> Self {
        Self {
            broken,
            steward: None,
            fence: Fence::default(),
            epochs_issued: Arc::default(),
            frozen_until: Millis::ZERO,
            notices_loss_at: None,
            partition_lease: PartitionLease::new(0, Millis::ZERO),
            roster: Roster::default(),
            read_at: Millis::ZERO,
            reads_delayed_until: Millis::ZERO,
            without_history_until: Millis::ZERO,
            told_to_leave: BTreeMap::new(),
        }
    }

    /// Acquires the lease under `fence`.
    pub fn acquire_lease(&mut self, fence: Fence, now: Millis) {
        self.acquire_lease_after(fence, Millis::ZERO, now);
    }

    /// Acquires the lease under `fence` but sends no order before `true_from`, from when on the
    /// contents of a restored store are current. A node that keeps the lease within one era of the
    /// store goes on with what it knows.
    pub fn acquire_lease_after(&mut self, fence: Fence, true_from: Millis, now: Millis) {
        let waits = self.broken != Some(BrokenRule::WaitAfterRestore);
        self.fence = match self.broken {
            Some(BrokenRule::EraInFence) => fence.generation.into(),
            _ => fence,
        };
        self.notices_loss_at = None;
        self.partition_lease = PartitionLease::new(self.fence, now);
        if waits {
            self.partition_lease = self.partition_lease.with_earliest_order_at(true_from);
        }
        self.steward = Some(self.new_steward());
    }

    /// Makes the node notice at `at` that it has lost its lease, unless it does so earlier.
    pub fn notice_loss_at(&mut self, at: Millis) {
        if self.steward.is_some() {
            self.notices_loss_at = self.notices_loss_at.or(Some(at));
        }
    }

    /// Withholds updates of the list until `until`.
    pub fn delay_reads_until(&mut self, until: Millis) {
        self.reads_delayed_until = until;
    }

    /// Restarts its process in a system that ran before. Until `until` it knows only what the store
    /// says.
    pub fn restart_without_history(&mut self, until: Millis) {
        self.without_history_until = until;
        self.epochs_issued = Arc::default();
        self.restart();
    }

    /// The fencing token that it sends orders under; `None` if it doesn't act as steward.
    pub fn active_fence(&self) -> Option<Fence> {
        self.steward.as_ref().map(|_| self.fence)
    }

    /// Learns the fencing tokens that the other nodes act under.
    pub fn observe_holders(&mut self, others: &[Fence], now: Millis) {
        let skips_previous_holder = self.broken == Some(BrokenRule::WaitForPreviousHolder);
        let observed = if skips_previous_holder { &[] } else { others };
        self.partition_lease.observe_holders(observed.iter().copied(), HANDOVER_TIMINGS, now);
    }

    fn read(&mut self, view: &View<'_>) {
        if view.now < self.reads_delayed_until {
            return;
        }
        self.roster = if view.now < self.without_history_until {
            roster_from_store(view.listed, view.now)
        } else {
            view.roster.clone()
        };
        self.read_at = view.now;
    }

    fn may_order(&self, now: Millis) -> bool {
        let ignores_list_age = self.broken == Some(BrokenRule::ListRereadOnTakeover);
        self.partition_lease.may_order(if ignores_list_age { now } else { self.read_at })
    }

    /// Restarts the steward: it loses its planning state and goes on under the same lease.
    pub fn restart(&mut self) {
        if self.steward.is_some() {
            self.steward = Some(self.new_steward());
        }
    }

    fn new_steward(&mut self) -> Steward {
        if self.broken == Some(BrokenRule::EpochsNotReused) {
            self.epochs_issued = Arc::default();
        }
        let number = self.fence.number().expect("runs end before the generation exceeds its range");
        let mut timings = StewardTimings::default();
        if self.broken == Some(BrokenRule::MissingHeadKeepsMembers) {
            timings.group_break_time = Millis::ZERO;
        }
        Steward::new(timings, 1, number, Arc::clone(&self.epochs_issued))
    }

    /// Handles a reply to an order. If the order was outranked, the node stops acting as steward.
    pub fn on_reply(&mut self, command: &Command, reply: OrderReply) {
        if let Some(steward) = self.steward.as_mut() {
            let is_outranked = steward.on_reply(command, reply);
            if is_outranked {
                self.steward = None;
            }
        }
    }

    /// Plans and returns the orders to send now.
    pub fn plan(&mut self, view: &View<'_>) -> Vec<Command> {
        if view.now < self.frozen_until {
            return Vec::new();
        }
        if self.notices_loss_at.is_some_and(|at| view.now >= at) {
            self.steward = None;
            self.notices_loss_at = None;
        }
        self.read(view);
        if !self.may_order(view.now) {
            return Vec::new();
        }
        let broken = self.broken;
        let ordered = self.told_to_leave.clone();
        let Some(steward) = self.steward.as_mut() else { return Vec::new() };
        let domain = FabricDomain::new("d").expect("the name is valid");
        let roster = &self.roster;
        let seen: Vec<Entry> =
            roster.iter().map(|entry| without_left_group(entry, &ordered)).collect();
        let entries: Vec<&Entry> = seen.iter().collect();
        let loss = |id: &Identity| loss(view, id);
        let since = |id: &Identity| loss_since(view, id);
        let head_of = |group: &Group| roster.head_of(group.epoch, &group.id).cloned();
        let has_restarted_member =
            |group: &Group| roster.has_restarted_member(group.epoch, &group.id);
        let models = models_with_groups(view, &entries);
        let commands = steward.plan(&DomainContext {
            domain: &domain,
            engine: view.engine,
            entries: &entries,
            trust: view.trust,
            loss: &loss,
            head_of: &head_of,
            all_peers_asked: &|_| true,
            is_unreached_since: &|id, _| is_unreached(view, id),
            has_restarted_member: &has_restarted_member,
            suspected_since: &since,
            others: &Vec::new,
            models: &|| models.clone(),
            may_close: view.mode == Mode::ShiftingDemand,
            is_evacuated: false,
            before_traffic: view.mode == Mode::BeforeTraffic,
            load_share: 1.0,
            last_arrival_at: Millis::ZERO,
            now: view.now,
        });
        if broken == Some(BrokenRule::LeaveConfirmed) {
            for command in &commands {
                if let Order::Leave { epoch, .. } = &command.order {
                    self.told_to_leave.insert(command.to.clone(), *epoch);
                }
            }
        }
        commands
    }
}

/// The planner models with their numbers of open groups.
fn models_with_groups(view: &View<'_>, entries: &[&Entry]) -> Vec<planner::Model> {
    let groups = groups::assemble_groups(entries.iter().copied());
    let open = groups.iter().filter(|group| group.state() == Some(MemberState::Open));
    let open: Vec<usize> = open.filter_map(|group| group.model_index(view.engine)).collect();
    let of = |i: usize| open.iter().filter(|model| **model == i).count() as f64;
    let models = view.models.iter().enumerate();
    models.map(|(i, model)| planner::Model { groups: of(i), ..model.clone() }).collect()
}

/// The list as a node without history reads it from the store.
fn roster_from_store(listed: &BTreeMap<InstanceId, (u64, Instance)>, now: Millis) -> Roster {
    let mut roster = Roster::default();
    for (id, (offset, listed_state)) in listed {
        roster.apply(*offset, id, Some(listed_state.clone()), now);
    }
    roster
}

/// The entry without the membership that the instance was ordered to give up.
fn without_left_group(entry: &Entry, ordered: &BTreeMap<Identity, u64>) -> Entry {
    let mut entry = entry.clone();
    let own = entry.instance.membership.as_ref();
    let is_told = own.is_some_and(|own| ordered.get(&entry.instance.identity) == Some(&own.epoch));
    if is_told {
        Arc::make_mut(&mut entry.instance).membership = None;
    }
    entry
}

/// The loss that probes of this incarnation find, the same for all nodes: an instance that is dead
/// or partitioned doesn't answer.
fn loss(view: &View<'_>, identity: &Identity) -> Loss {
    let Some(instance) = view.instances.get(&identity.id) else { return Loss::Ended };
    let is_known = instance.incarnation == identity.incarnation;
    if !is_known || has_stale_loss(view, instance) {
        return Loss::Ended;
    }
    if instance.is_alive && !is_suspected(view, instance) {
        return Loss::None;
    }
    if view.broken == Some(BrokenRule::SilentHeadKeepsMembers) {
        Loss::Ended
    } else {
        Loss::Confirmed
    }
}

/// Whether nodes suspect an instance that is alive. An unlisted one is suspected for a while after
/// its path is back.
fn is_suspected(view: &View<'_>, instance: &SimulatedInstance) -> bool {
    let is_unlisted = view.has_lost_paths && instance.has_lapsed;
    let lasts = if is_unlisted { UNLISTED_SUSPICION_TIME } else { Millis::ZERO };
    instance.cut_until + lasts > view.now
}

/// Whether a probe that starts now fails to reach an instance.
fn is_unreached(view: &View<'_>, identity: &Identity) -> bool {
    if view.broken == Some(BrokenRule::MissingHeadProbedAgain) {
        return true;
    }
    let same = |instance: &&SimulatedInstance| instance.incarnation == identity.incarnation;
    let instance = view.instances.get(&identity.id).filter(same);
    instance.is_none_or(|instance| !instance.is_alive || instance.cut_until > view.now)
}

/// Whether a late report of its previous incarnation's loss counts against the instance, which
/// happens only if [`BrokenRule::LossPerIncarnation`] is broken.
fn has_stale_loss(view: &View<'_>, instance: &SimulatedInstance) -> bool {
    let is_late = instance.started_at + STALE_LOSS_FROM <= view.now
        && view.now < instance.started_at + STALE_LOSS_UNTIL;
    view.broken == Some(BrokenRule::LossPerIncarnation) && instance.incarnation_count > 1 && is_late
}

fn loss_since(view: &View<'_>, identity: &Identity) -> Option<Millis> {
    let instance = view.instances.get(&identity.id)?;
    if instance.incarnation != identity.incarnation || has_stale_loss(view, instance) {
        return Some(instance.started_at);
    }
    let is_lost = !instance.is_alive || is_suspected(view, instance);
    is_lost.then_some(if instance.is_alive { instance.cut_since } else { instance.died_at })
}
