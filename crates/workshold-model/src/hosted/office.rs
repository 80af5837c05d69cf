//! A node's office of steward: what it holds, what it still believes, and when it
//! stands still.

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

use super::Broken;
use super::LEASE_TTL;
use super::Mode;
use super::engine::Simulated;

/// What nodes can see.
pub struct View<'a> {
    /// The engines.
    pub engine: &'a Engine,
    /// The list.
    pub roster: &'a Roster,
    /// Whether it can be trusted.
    pub trust: &'a ListTrust,
    /// The newest records, as a node reads them that remembers nothing.
    pub listed: &'a BTreeMap<InstanceId, (u64, Instance)>,
    /// The instances, for tries to reach them.
    pub instances: &'a BTreeMap<InstanceId, Simulated>,
    /// The models with what groups of them are worth now; nobody has counted those yet.
    pub models: &'a [planner::Model],
    /// What is asked.
    pub mode: Mode,
    /// The broken rule.
    pub broken: Option<Broken>,
    /// The clock.
    pub now: Millis,
}

/// One node's office.
pub struct Office {
    broken: Option<Broken>,
    steward: Option<Steward>,
    fence: Fence,
    issued: Arc<AtomicU64>,
    /// It stands still until then, and wakes believing what it did.
    pub frozen_until: Millis,
    /// When it notices that its lease has gone.
    loses_at: Option<Millis>,
    partition_lease: PartitionLease,
    /// The list as it has it, when that was read, and until when nothing new comes.
    roster: Roster,
    read_at: Millis,
    silent_until: Millis,
    /// Until then it knows only what the store says: it has just started.
    is_new_until: Millis,
    told_to_leave: BTreeMap<Identity, u64>,
}

/// When words about an earlier life of an instance come, after its start.
const BLAMED_FROM: Millis = Millis(2_500);
const BLAMED_TO: Millis = Millis(4_000);

/// How tenures settle; the same times as in a node.
const TENURES: HandoverTimings =
    HandoverTimings { max_order_delay: Millis(300), lease_ttl: LEASE_TTL };

impl Office {
    /// One that holds nothing.
    pub fn new(broken: Option<Broken>) -> Self {
        Self {
            broken,
            steward: None,
            fence: Fence::default(),
            issued: Arc::default(),
            frozen_until: Millis::ZERO,
            loses_at: None,
            partition_lease: PartitionLease::new(0, Millis::ZERO),
            roster: Roster::default(),
            read_at: Millis::ZERO,
            silent_until: Millis::ZERO,
            is_new_until: Millis::ZERO,
            told_to_leave: BTreeMap::new(),
        }
    }

    /// The lease is this node's, under `fence`.
    pub fn take(&mut self, fence: Fence, now: Millis) {
        self.take_later(fence, Millis::ZERO, now);
    }

    /// The same, where what the store says is true only from `true_from` on. Who holds on to
    /// the lease within one past of the store goes on with what it knows.
    pub fn take_later(&mut self, fence: Fence, true_from: Millis, now: Millis) {
        let waits = self.broken != Some(Broken::HoldersWaitAfterReturns);
        self.fence = match self.broken {
            Some(Broken::ErasCount) => fence.generation.into(),
            _ => fence,
        };
        self.loses_at = None;
        self.partition_lease = PartitionLease::new(self.fence, now);
        if waits {
            self.partition_lease = self.partition_lease.with_earliest_order_at(true_from);
        }
        self.steward = Some(self.new_steward());
    }

    /// It notices by then that its lease has gone.
    pub fn loses_by(&mut self, at: Millis) {
        if self.steward.is_some() {
            self.loses_at = self.loses_at.or(Some(at));
        }
    }

    /// Nothing of the list comes before `until`.
    pub fn reads_from(&mut self, until: Millis) {
        self.silent_until = until;
    }

    /// Its process has just started, where the system ran before.
    pub fn starts_anew(&mut self, until: Millis) {
        self.is_new_until = until;
        self.issued = Arc::default();
        self.restart();
    }

    /// The number by which it gives orders.
    pub fn acts_by(&self) -> Option<Fence> {
        self.steward.as_ref().map(|_| self.fence)
    }

    /// By what numbers the others act.
    pub fn hear_others(&mut self, others: &[Fence], now: Millis) {
        let notices = self.broken == Some(Broken::LastHolderNotices);
        let heard = if notices { &[] } else { others };
        self.partition_lease.observe_holders(heard.iter().copied(), TENURES, now);
    }

    fn read(&mut self, view: &View<'_>) {
        if view.now < self.silent_until {
            return;
        }
        self.roster = if view.now < self.is_new_until {
            as_listed(view.listed, view.now)
        } else {
            view.roster.clone()
        };
        self.read_at = view.now;
    }

    fn may_order(&self, now: Millis) -> bool {
        let is_blind = self.broken == Some(Broken::ListReadAnew);
        self.partition_lease.may_order(if is_blind { now } else { self.read_at })
    }

    /// It forgets what it was doing, and goes on under the same lease.
    pub fn restart(&mut self) {
        if self.steward.is_some() {
            self.steward = Some(self.new_steward());
        }
    }

    fn new_steward(&mut self) -> Steward {
        if self.broken == Some(Broken::EpochsOnce) {
            self.issued = Arc::default();
        }
        let number = self.fence.number().expect("worlds end before it grows too long");
        Steward::new(StewardTimings::default(), 1, number, Arc::clone(&self.issued))
    }

    /// An answer came.
    pub fn hear(&mut self, command: &Command, reply: OrderReply) {
        if let Some(steward) = self.steward.as_mut() {
            let is_outranked = steward.on_reply(command, reply);
            if is_outranked {
                self.steward = None;
            }
        }
    }

    /// What it orders now.
    pub fn plan(&mut self, view: &View<'_>) -> Vec<Command> {
        if view.now < self.frozen_until {
            return Vec::new();
        }
        if self.loses_at.is_some_and(|at| view.now >= at) {
            self.steward = None;
            self.loses_at = None;
        }
        self.read(view);
        if !self.may_order(view.now) {
            return Vec::new();
        }
        let broken = self.broken;
        let told = self.told_to_leave.clone();
        let Some(steward) = self.steward.as_mut() else { return Vec::new() };
        let domain = FabricDomain::new("d").expect("a plain name");
        let roster = &self.roster;
        let seen: Vec<Entry> = roster.iter().map(|entry| as_seen(entry, &told)).collect();
        let entries: Vec<&Entry> = seen.iter().collect();
        let loss = |id: &Identity| loss(view, id);
        let since = |id: &Identity| loss_since(view, id);
        let head_of = |group: &Group| roster.head_of(group.epoch, &group.id).cloned();
        let has_restarted_member =
            |group: &Group| roster.has_restarted_member(group.epoch, &group.id);
        let models = counted(view, &entries);
        let commands = steward.plan(&DomainContext {
            domain: &domain,
            engine: view.engine,
            entries: &entries,
            trust: view.trust,
            loss: &loss,
            head_of: &head_of,
            all_peers_asked: &|_| true,
            has_restarted_member: &has_restarted_member,
            suspected_since: &since,
            others: &Vec::new,
            models: &|| models.clone(),
            may_close: view.mode == Mode::Swings,
            before_traffic: view.mode == Mode::BeforeTraffic,
            load_share: 1.0,
            last_arrival_at: Millis::ZERO,
            now: view.now,
        });
        if broken == Some(Broken::LeaveAwaited) {
            for command in &commands {
                if let Order::Leave { epoch, .. } = &command.order {
                    self.told_to_leave.insert(command.to.clone(), *epoch);
                }
            }
        }
        commands
    }
}

/// The models with the groups that serve.
fn counted(view: &View<'_>, entries: &[&Entry]) -> Vec<planner::Model> {
    let groups = groups::assemble_groups(entries.iter().copied());
    let open = groups.iter().filter(|group| group.state() == Some(MemberState::Open));
    let open: Vec<&str> = open.map(Group::model).collect();
    let of = |name: &str| open.iter().filter(|model| **model == name).count() as f64;
    let models = view.engine.models.iter().zip(view.models);
    models
        .map(|(spec, model)| planner::Model { groups: of(spec.name.as_str()), ..model.clone() })
        .collect()
}

/// The list as the store has it, to a node that remembers nothing.
fn as_listed(listed: &BTreeMap<InstanceId, (u64, Instance)>, now: Millis) -> Roster {
    let mut roster = Roster::default();
    for (id, (offset, word)) in listed {
        roster.apply(*offset, id, Some(word.clone()), now);
    }
    roster
}

/// The entry, but without the group that the instance was told to leave.
fn as_seen(entry: &Entry, told: &BTreeMap<Identity, u64>) -> Entry {
    let mut entry = entry.clone();
    let own = entry.instance.membership.as_ref();
    let is_told = own.is_some_and(|own| told.get(&entry.instance.identity) == Some(&own.epoch));
    if is_told {
        Arc::make_mut(&mut entry.instance).membership = None;
    }
    entry
}

/// All nodes try alike: who is dead or cut off says nothing.
fn loss(view: &View<'_>, life: &Identity) -> Loss {
    let Some(instance) = view.instances.get(&life.id) else { return Loss::Ended };
    let is_known = instance.incarnation == life.incarnation;
    if !is_known || is_blamed(view, instance) {
        return Loss::Ended;
    }
    if instance.is_alive && instance.cut_until <= view.now {
        return Loss::None;
    }
    if view.broken == Some(Broken::SilentHeadsWait) { Loss::Ended } else { Loss::Confirmed }
}

/// Words about its earlier life that come late are held against an instance.
fn is_blamed(view: &View<'_>, instance: &Simulated) -> bool {
    let is_late = instance.began + BLAMED_FROM <= view.now && view.now < instance.began + BLAMED_TO;
    view.broken == Some(Broken::EarlierLivesForgotten) && instance.life > 1 && is_late
}

fn loss_since(view: &View<'_>, life: &Identity) -> Option<Millis> {
    let instance = view.instances.get(&life.id)?;
    if instance.incarnation != life.incarnation || is_blamed(view, instance) {
        return Some(instance.began);
    }
    let is_lost = !instance.is_alive || instance.cut_until > view.now;
    is_lost.then_some(if instance.is_alive { instance.cut_since } else { instance.died_at })
}
