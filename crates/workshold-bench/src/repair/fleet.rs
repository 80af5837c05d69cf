//! Fabric domains in virtual time: instances that fail as the letter's rates say,
//! obey orders, and load from a rate-limited store; the shipped steward and fold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::group_readiness::check_group;
use workshold_core::instance_list::InstanceList;
use workshold_core::observation::Observations;
use workshold_core::repair::Expectations;
use workshold_core::state::State;
use workshold_core::steward;
use workshold_core::steward::StewardRules;
use workshold_core::steward::StewardTimers;
use workshold_core::steward::View;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::CostWeights;
use workshold_protocol::bundle::SignedBundle;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::RecordId;
use workshold_protocol::ids::Version;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::Member;
use workshold_protocol::record::SignOff;
use workshold_protocol::report;
use workshold_protocol::report::GroupMembership;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;
use workshold_protocol::report::Report;
use workshold_protocol::signing::OperatorSignature;
use workshold_protocol::signing::PublicKey;

const DOMAINS: usize = 12;
/// 920 instances over 12 domains.
const PER_DOMAIN: usize = 77;
const ACCELERATORS: u16 = 8;
const FULL: u16 = 16;
const HALF: u16 = 8;
/// Four full groups and a half one fit each domain, and five instances are spare.
const REPLICAS: u16 = 60;
const HALF_WORTH: f64 = 0.45;
/// On an ordinary day, over all instances.
const FAILURES_A_DAY: f64 = 15.0;
const RESTARTS_A_DAY: f64 = 76.0;
/// A rack of so many instances goes every 45 days, a data centre every 120.
const RACK: usize = 16;
const RACKS_A_DAY: f64 = 1.0 / 45.0;
const DARK_A_DAY: f64 = 1.0 / 120.0;
const RESTART_SECS: f64 = 120.0;
const REPLACEMENT_SECS: f64 = 4.0 * 3600.0;
const DARK_SECS: f64 = 2.0 * 3600.0;
const WEIGHTS_MIB: u32 = 160 * 1024;
const LOAD_MIB_PER_S: u32 = 1_024;
/// What the store gives to one domain in a second.
const STORE_MIB_PER_S: u64 = 8_192;
const DAY_SECS: f64 = 86_400.0;
/// Between two looks while something is under way.
const STEP: Millis = Millis(2_000);
/// Between two looks before the month begins.
const SETTLE_STEP: Millis = Millis(10_000);
/// Between two looks while instances are gone and nothing else happens.
const LOOK_AGAIN: Millis = Millis(60_000);
/// A loss is dealt with, or waited out, after this.
const FRESH_LOSS: Millis = Millis(14_000);

/// How broken groups are treated.
#[derive(Debug, Clone, Copy)]
pub(super) struct Policy {
    pub(super) expect: Expectations,
    /// Whether instances are there beyond what the groups take.
    pub(super) spares: bool,
}

#[derive(Debug, Clone)]
struct Seat {
    group: GroupId,
    fence: FencingToken,
    ready_at: Millis,
    is_draining: bool,
}

#[derive(Debug, Clone)]
struct Instance {
    incarnation: u64,
    back_at: Option<Millis>,
    seat: Option<Seat>,
    /// Since when it has the weights; later than now while it loads.
    loaded_at: Option<Millis>,
}

impl Seat {
    fn readiness(&self, now: Millis) -> Readiness {
        if self.is_draining {
            Readiness::Draining
        } else if self.ready_at <= now {
            Readiness::Ready
        } else {
            Readiness::Loading
        }
    }
}

/// A month in one domain after the other; they do not touch each other.
pub(super) struct Month {
    days: u64,
    weights: CostWeights,
    policy: Policy,
    rng: ChaCha8Rng,
}

/// What a month came to.
#[derive(Debug, Default)]
pub(super) struct Sums {
    down_hours: f64,
    stranded_hours: f64,
    floor_hours: f64,
    ended: f64,
    cost: f64,
}

impl Sums {
    pub(super) fn to_vec(&self) -> Vec<f64> {
        vec![self.down_hours, self.stranded_hours, self.cost, self.floor_hours, self.ended]
    }
}

struct Domain<'a> {
    month: &'a Month,
    name: FabricDomain,
    state: State,
    observations: Observations,
    timers: StewardTimers,
    instances: Vec<Instance>,
    list: InstanceList,
    store_free: Millis,
    now: Millis,
    records: u64,
}

impl Month {
    pub(super) fn new(days: u64, weights: CostWeights, policy: Policy, seed: u64) -> Self {
        Self { days, weights, policy, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    pub(super) fn run(mut self) -> Sums {
        let mut sums = Sums::default();
        for d in 0..DOMAINS {
            let losses = self.losses();
            Domain::new(&self, d).run(&losses, &mut sums);
        }
        sums.cost = self.weights.group_downtime * sums.down_hours
            + self.weights.stranded_accelerator * sums.stranded_hours;
        sums
    }

    /// Instances that are lost: when, which, and for how long; in order of time.
    fn losses(&mut self) -> Vec<(Millis, usize, Millis)> {
        let mut losses = Vec::new();
        let secs = |secs: f64| Millis((secs * 1000.0) as u64);
        let draw = |rng: &mut ChaCha8Rng, mean: f64| -(1.0 - rng.random::<f64>()).ln() * mean;
        let kinds = [
            (FAILURES_A_DAY / DOMAINS as f64, REPLACEMENT_SECS, 1),
            (RESTARTS_A_DAY / DOMAINS as f64, RESTART_SECS, 1),
            (RACKS_A_DAY, REPLACEMENT_SECS, RACK),
            (DARK_A_DAY, DARK_SECS, PER_DOMAIN),
        ];
        for (a_day, mean_secs, count) in kinds {
            let mut at = draw(&mut self.rng, DAY_SECS / a_day);
            while at < self.days as f64 * DAY_SECS {
                let first = self.rng.random_range(0..=PER_DOMAIN - count);
                let gone = draw(&mut self.rng, mean_secs).max(5.0);
                losses.extend((first..first + count).map(|i| (secs(at), i, secs(gone))));
                at += draw(&mut self.rng, DAY_SECS / a_day);
            }
        }
        losses.sort();
        losses
    }

    fn rules(&self) -> StewardRules {
        StewardRules {
            group_readiness: GroupReadinessRules { report_ttl: Millis(2_500) },
            release_wait: Millis(2_600),
            member_grace: Millis(3_000),
            gone_after: Millis(60_000),
            order_every: Millis(1_000),
            load_mib_per_s: LOAD_MIB_PER_S,
            expect: self.policy.expect,
        }
    }

    fn bundle(&self) -> Bundle {
        let text = format!(
            "name = \"month\"\n[models.big]\nversion = \"v1\"\nreplicas = {}\nweights_mib = {WEIGHTS_MIB}\n\
             [[models.big.roles]]\nname = \"full\"\ninstances = {FULL}\n\
             [[models.big.roles]]\nname = \"half\"\ninstances = {HALF}\nworth = {HALF_WORTH}\n",
            REPLICAS as usize / DOMAINS,
        );
        let bundle = Bundle::from_toml(&text).expect("it is a bundle");
        Bundle { weights: self.weights, ..bundle }
    }
}

fn instance_id(i: usize) -> InstanceId {
    InstanceId::new(&format!("i{i}")).expect("it is a name")
}

fn weights() -> report::ModelWeights {
    report::ModelWeights {
        model: ModelName::new("big").expect("it is a name"),
        version: Version::new("v1").expect("it is a name"),
    }
}

fn index(id: &InstanceId) -> usize {
    id.as_str()[1..].parse().expect("names are made by `instance_id`")
}

impl<'a> Domain<'a> {
    fn new(month: &'a Month, d: usize) -> Self {
        let name = FabricDomain::new(&format!("domain-{d}")).expect("it is a name");
        let kind =
            InstanceKind::Engine { domain: name.clone(), accelerators: ACCELERATORS, fenced: true };
        let listed = |i| ListedInstance {
            instance: instance_id(i),
            address: String::new(),
            data_centre: workshold_protocol::ids::DataCentre::new("dc").expect("it is a name"),
            kind: kind.clone(),
            leaving: false,
        };
        let grouped = usize::from(FULL) * 4 + usize::from(HALF);
        let usable = if month.policy.spares { PER_DOMAIN } else { grouped };
        let fresh = Instance { incarnation: 1, back_at: None, seat: None, loaded_at: None };
        let mut domain = Self {
            month,
            name,
            state: State::default(),
            observations: Observations::default(),
            timers: StewardTimers::default(),
            instances: vec![fresh; usable],
            list: InstanceList::new((0..usable).map(listed).collect()),
            store_free: Millis::ZERO,
            now: Millis(10_000),
            records: 0,
        };
        domain.sign_off();
        domain
    }

    fn sign_off(&mut self) {
        let bundle = self.month.bundle();
        let hash = bundle.hash();
        let signature =
            OperatorSignature { key: PublicKey(String::new()), signature: String::new() };
        self.append(vec![Fact::BundlePublished(Box::new(SignedBundle { bundle, signature }))]);
        self.append(vec![Fact::BundleSignedOff(SignOff { bundle: hash, parent: None })]);
    }

    fn append(&mut self, facts: Vec<Fact>) {
        self.records += 1;
        let mut id = [0; 16];
        id[..8].copy_from_slice(&self.records.to_le_bytes());
        let envelope = Envelope { id: RecordId(id), at: Millis::ZERO, facts };
        let next = self.state.next();
        self.state.apply(next, &envelope).expect("offsets follow one another");
    }

    fn run(mut self, losses: &[(Millis, usize, Millis)], sums: &mut Sums) {
        self.settle();
        let start = self.now;
        let end = start + Millis((self.month.days as f64 * DAY_SECS * 1000.0) as u64);
        let mut losses = losses.iter().peekable();
        while self.now < end {
            while let Some((_, i, gone)) = losses.next_if(|(at, _, _)| start + *at <= self.now) {
                if *i < self.instances.len() {
                    self.lose(*i, *gone, sums);
                }
            }
            let was_quiet = self.step(sums);
            let next_loss = losses.peek().map_or(end, |(at, _, _)| start + *at);
            let step = if was_quiet { self.skip(next_loss.min(end)) } else { STEP };
            self.account(step, sums);
            self.now = self.now + step;
        }
    }

    /// Until the first groups serve; that is not counted.
    fn settle(&mut self) {
        let mut unused = Sums::default();
        for _ in 0..200 {
            self.step(&mut unused);
            self.now = self.now + SETTLE_STEP;
        }
    }

    /// How long nothing happens; while instances are gone, the steward still weighs
    /// from time to time.
    fn skip(&self, until: Millis) -> Millis {
        let back = self.instances.iter().filter_map(|instance| instance.back_at).min();
        let until = back.map_or(until, |back| back.min(until).min(self.now + LOOK_AGAIN));
        until.since(self.now).max(STEP)
    }

    fn lose(&mut self, i: usize, gone: Millis, sums: &mut Sums) {
        let instance = &mut self.instances[i];
        let back_at = self.now + gone;
        if instance.back_at.is_none() && instance.seat.is_some() {
            // No policy can do better than load the weights into one instance.
            let load = f64::from(WEIGHTS_MIB) / f64::from(LOAD_MIB_PER_S);
            sums.floor_hours += load.min(gone.as_secs_f64()) / 3600.0;
        }
        instance.back_at = Some(instance.back_at.map_or(back_at, |old| old.max(back_at)));
        instance.seat = None;
        instance.loaded_at = None;
        instance.incarnation += 1;
    }

    /// One look of the steward; whether nothing was under way.
    fn step(&mut self, sums: &mut Sums) -> bool {
        let now = self.now;
        for instance in &mut self.instances {
            instance.back_at = instance.back_at.filter(|back| *back > now);
        }
        self.probe();
        let rules = self.month.rules();
        let view = View {
            domain: &self.name,
            state: &self.state,
            observations: &self.observations,
            list: &self.list,
            now,
        };
        let plan = steward::plan(&view, &mut self.timers, &rules);
        let is_quiet = plan.facts.is_empty() && plan.orders.is_empty() && self.all_settled();
        sums.ended +=
            plan.facts.iter().filter(|f| matches!(f, Fact::GroupDissolved(_))).count() as f64;
        for (id, order) in plan.orders {
            self.obey(index(&id), order);
        }
        if !plan.facts.is_empty() {
            self.append(plan.facts);
        }
        is_quiet
    }

    /// Whether every group that the log has serves, or only waits for a return.
    fn all_settled(&self) -> bool {
        let is_loading = |instance: &Instance| {
            instance.seat.as_ref().is_some_and(|seat| seat.ready_at > self.now)
        };
        let fleet = &self.state.fleet;
        let any_ending = fleet.groups().any(|group| {
            let is_claimed = |m: &Member| fleet.claim_of(&m.instance) == Some(&group.id);
            let is_up = |m: &Member| self.instances[index(&m.instance)].back_at.is_none();
            !group.is_active() && group.members.iter().any(|m| is_claimed(m) && is_up(m))
        });
        let just_lost = self.instances.iter().enumerate().any(|(i, instance)| {
            let observation = self.observations.get(&instance_id(i));
            let silent = observation.map_or(Millis::ZERO, |w| self.now.since(w.true_since));
            instance.back_at.is_some() && silent < FRESH_LOSS
        });
        !any_ending && !just_lost && !self.instances.iter().any(is_loading)
    }

    fn probe(&mut self) {
        for (i, instance) in self.instances.iter().enumerate() {
            if instance.back_at.is_some() {
                continue;
            }
            let membership = instance.seat.as_ref().map(|seat| GroupMembership {
                group: seat.group.clone(),
                fence: seat.fence,
                readiness: seat.readiness(self.now),
            });
            let report = Report {
                incarnation: Incarnation(instance.incarnation),
                membership,
                loaded: instance.loaded_at.filter(|at| *at <= self.now).map(|_| weights()),
                lag: Millis::ZERO,
                running: 0,
                queued: 0,
                slots: 64,
            };
            self.observations.take(&instance_id(i), self.now, self.now, report);
        }
    }

    fn obey(&mut self, i: usize, order: Order) {
        let now = self.now;
        let load = Millis(u64::from(WEIGHTS_MIB) * 1000 / u64::from(LOAD_MIB_PER_S));
        let share = Millis(u64::from(WEIGHTS_MIB) * 1000 / STORE_MIB_PER_S);
        let instance = &mut self.instances[i];
        match order.action {
            OrderAction::Join(join) => {
                let is_in = instance.seat.as_ref().is_some_and(|seat| seat.fence == order.fence);
                if is_in {
                    return;
                }
                let ready_at = match instance.loaded_at {
                    Some(loaded_at) => loaded_at.max(now),
                    None => {
                        self.store_free = self.store_free.max(now) + share;
                        self.store_free.max(now + load)
                    }
                };
                instance.loaded_at = Some(ready_at);
                let (group, fence) = (join.group, order.fence);
                instance.seat = Some(Seat { group, fence, ready_at, is_draining: false });
            }
            OrderAction::Leave { .. } => instance.seat = None,
            OrderAction::Load { .. } => {
                if instance.loaded_at.is_none() {
                    self.store_free = self.store_free.max(now) + share;
                    instance.loaded_at = Some(self.store_free.max(now + load));
                }
            }
            OrderAction::Drain { .. } => {
                if let Some(seat) = &mut instance.seat {
                    seat.is_draining = true;
                }
            }
        }
    }

    fn account(&self, step: Millis, sums: &mut Sums) {
        let hours = step.as_secs_f64() / 3600.0;
        let serving: Vec<_> = self
            .state
            .fleet
            .groups()
            .filter(|group| {
                let group_readiness = GroupReadinessRules { report_ttl: Millis(2_500) };
                check_group(group, &self.observations, &BTreeSet::new(), self.now, group_readiness)
                    .is_ok()
            })
            .collect();
        let worth: BTreeMap<&str, f64> = BTreeMap::from([("full", 1.0), ("half", HALF_WORTH)]);
        let served: f64 = serving.iter().map(|group| worth[group.role.as_str()]).sum();
        let wanted = 4.0 + HALF_WORTH;
        sums.down_hours += (wanted - served).max(0.0) * hours;
        let in_groups: usize = serving.iter().map(|group| group.members.len()).sum();
        let powered = self.instances.iter().filter(|i| i.back_at.is_none()).count();
        let stranded = powered.saturating_sub(in_groups) * usize::from(ACCELERATORS);
        sums.stranded_hours += stranded as f64 * hours;
    }
}
