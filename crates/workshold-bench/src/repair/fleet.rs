//! Simulation of fabric domains in virtual time. Instances fail at the rates that the requirements
//! state, execute orders, and load weights from a rate-limited store. Planning, state and group
//! readiness are those of `workshold-core`.

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
/// Instances per domain: 920 instances over 12 domains.
const INSTANCES_PER_DOMAIN: usize = 77;
const ACCELERATORS_PER_INSTANCE: u16 = 8;
const FULL_GROUP_SIZE: u16 = 16;
const HALF_GROUP_SIZE: u16 = 8;
/// Over all domains. Each domain has room for four full groups and one half group, and five spare
/// instances.
const REPLICAS: u16 = 60;
/// Capacity of a half group relative to a full one.
const HALF_WORTH: f64 = 0.45;
/// Failures that need a replacement on an ordinary day, over all instances.
const FAILURES_PER_DAY: f64 = 15.0;
/// Restarts on an ordinary day, over all instances.
const RESTARTS_PER_DAY: f64 = 76.0;
/// Instances per rack.
const RACK_SIZE: usize = 16;
/// One rack failure every 45 days on average, in each domain.
const RACK_FAILURES_PER_DAY: f64 = 1.0 / 45.0;
/// One outage of a data centre every 120 days on average; it takes all instances of a domain down.
const OUTAGES_PER_DAY: f64 = 1.0 / 120.0;
const MEAN_RESTART_SECS: f64 = 120.0;
const MEAN_REPLACEMENT_SECS: f64 = 4.0 * 3600.0;
const MEAN_OUTAGE_SECS: f64 = 2.0 * 3600.0;
const WEIGHTS_MIB: u32 = 160 * 1024;
/// Rate at which one instance loads weights.
const LOAD_MIB_PER_S: u32 = 1_024;
/// Rate at which the store serves one domain, over all its instances.
const STORE_MIB_PER_S: u64 = 8_192;
const DAY_SECS: f64 = 86_400.0;
/// Planning interval while orders or loads are in progress.
const BUSY_INTERVAL: Millis = Millis(2_000);
/// Planning interval while the first groups form, before the counted time begins.
const SETTLE_INTERVAL: Millis = Millis(10_000);
/// Planning interval while instances are down and nothing else is in progress.
const DEGRADED_INTERVAL: Millis = Millis(60_000);
/// Time after a failure within which the steward reacts to it or decides to wait; the simulation
/// doesn't skip ahead meanwhile.
const RECENT_FAILURE: Millis = Millis(14_000);

/// The steward's settings in one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Policy {
    /// Repair times that the steward expects.
    pub(super) expect: Expectations,
    /// Whether domains have more instances than the groups need.
    pub(super) spares: bool,
}

#[derive(Debug, Clone)]
struct Assignment {
    group: GroupId,
    fence: FencingToken,
    ready_at: Millis,
    is_draining: bool,
}

#[derive(Debug, Clone)]
struct Instance {
    incarnation: u64,
    /// When the instance is up again; `None` while it is up.
    back_at: Option<Millis>,
    assignment: Option<Assignment>,
    /// When the weights are or will be loaded; in the future while the instance loads them.
    loaded_at: Option<Millis>,
}

impl Assignment {
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

/// Simulates the domains one after the other; they don't affect each other.
pub(super) struct FailureSimulation {
    days: u64,
    weights: CostWeights,
    policy: Policy,
    rng: ChaCha8Rng,
}

/// Totals over all domains.
#[derive(Debug, Default)]
pub(super) struct Totals {
    /// Group-hours down, weighted by the groups' worth.
    down_hours: f64,
    /// Accelerator-hours of instances that are up but in no serving group.
    stranded_hours: f64,
    /// Lower bound of the group-hours down for any policy, if no spare has the weights loaded.
    floor_hours: f64,
    /// Number of groups that were dissolved.
    dissolved: f64,
    cost: f64,
}

impl Totals {
    /// The figures in the order of the table's columns.
    pub(super) fn to_vec(&self) -> Vec<f64> {
        vec![self.down_hours, self.stranded_hours, self.cost, self.floor_hours, self.dissolved]
    }
}

struct DomainSimulation<'a> {
    simulation: &'a FailureSimulation,
    name: FabricDomain,
    state: State,
    observations: Observations,
    timers: StewardTimers,
    instances: Vec<Instance>,
    list: InstanceList,
    /// When the store has served all loads so far.
    store_free_at: Millis,
    now: Millis,
    records: u64,
}

impl FailureSimulation {
    pub(super) fn new(days: u64, weights: CostWeights, policy: Policy, seed: u64) -> Self {
        Self { days, weights, policy, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    pub(super) fn run(mut self) -> Totals {
        let mut totals = Totals::default();
        for d in 0..DOMAINS {
            let failures = self.failures();
            DomainSimulation::new(&self, d).run(&failures, &mut totals);
        }
        totals.cost = self.weights.group_downtime * totals.down_hours
            + self.weights.stranded_accelerator * totals.stranded_hours;
        totals
    }

    /// Draws the failures of one domain: time, instance and duration, sorted by time.
    fn failures(&mut self) -> Vec<(Millis, usize, Millis)> {
        let mut failures = Vec::new();
        let secs = |secs: f64| Millis((secs * 1000.0) as u64);
        let draw = |rng: &mut ChaCha8Rng, mean: f64| -(1.0 - rng.random::<f64>()).ln() * mean;
        let kinds = [
            (FAILURES_PER_DAY / DOMAINS as f64, MEAN_REPLACEMENT_SECS, 1),
            (RESTARTS_PER_DAY / DOMAINS as f64, MEAN_RESTART_SECS, 1),
            (RACK_FAILURES_PER_DAY, MEAN_REPLACEMENT_SECS, RACK_SIZE),
            (OUTAGES_PER_DAY, MEAN_OUTAGE_SECS, INSTANCES_PER_DOMAIN),
        ];
        for (per_day, mean_secs, count) in kinds {
            let mut at = draw(&mut self.rng, DAY_SECS / per_day);
            while at < self.days as f64 * DAY_SECS {
                let first = self.rng.random_range(0..=INSTANCES_PER_DOMAIN - count);
                let downtime = draw(&mut self.rng, mean_secs).max(5.0);
                failures.extend((first..first + count).map(|i| (secs(at), i, secs(downtime))));
                at += draw(&mut self.rng, DAY_SECS / per_day);
            }
        }
        failures.sort();
        failures
    }

    fn rules(&self) -> StewardRules {
        StewardRules {
            group_readiness: GroupReadinessRules { report_ttl: Millis(2_500) },
            release_wait: Millis(2_600),
            member_grace: Millis(3_000),
            gone_after: Millis(60_000),
            order_interval: Millis(1_000),
            load_mib_per_s: LOAD_MIB_PER_S,
            expect: self.policy.expect,
        }
    }

    fn bundle(&self) -> Bundle {
        let text = format!(
            "name = \"month\"\n[models.big]\nversion = \"v1\"\nreplicas = {}\nweights_mib = {WEIGHTS_MIB}\n\
             [[models.big.roles]]\nname = \"full\"\ninstances = {FULL_GROUP_SIZE}\n\
             [[models.big.roles]]\nname = \"half\"\ninstances = {HALF_GROUP_SIZE}\nworth = {HALF_WORTH}\n",
            REPLICAS as usize / DOMAINS,
        );
        let bundle = Bundle::from_toml(&text).expect("the bundle is valid");
        Bundle { weights: self.weights, ..bundle }
    }
}

fn instance_id(i: usize) -> InstanceId {
    InstanceId::new(&format!("i{i}")).expect("the name is valid")
}

fn model_weights() -> report::ModelWeights {
    report::ModelWeights {
        model: ModelName::new("big").expect("the name is valid"),
        version: Version::new("v1").expect("the name is valid"),
    }
}

/// Index of an instance in its domain.
fn index(id: &InstanceId) -> usize {
    id.as_str()[1..].parse().expect("ids come from `instance_id`")
}

impl<'a> DomainSimulation<'a> {
    fn new(simulation: &'a FailureSimulation, d: usize) -> Self {
        let name = FabricDomain::new(&format!("domain-{d}")).expect("the name is valid");
        let kind = InstanceKind::Engine {
            domain: name.clone(),
            accelerators: ACCELERATORS_PER_INSTANCE,
            fenced: true,
        };
        let listed = |i| ListedInstance {
            instance: instance_id(i),
            address: String::new(),
            data_centre: workshold_protocol::ids::DataCentre::new("dc").expect("the name is valid"),
            kind: kind.clone(),
            leaving: false,
        };
        let grouped = usize::from(FULL_GROUP_SIZE) * 4 + usize::from(HALF_GROUP_SIZE);
        let usable = if simulation.policy.spares { INSTANCES_PER_DOMAIN } else { grouped };
        let initial = Instance { incarnation: 1, back_at: None, assignment: None, loaded_at: None };
        let mut domain = Self {
            simulation,
            name,
            state: State::default(),
            observations: Observations::default(),
            timers: StewardTimers::default(),
            instances: vec![initial; usable],
            list: InstanceList::new((0..usable).map(listed).collect()),
            store_free_at: Millis::ZERO,
            now: Millis(10_000),
            records: 0,
        };
        domain.sign_off();
        domain
    }

    fn sign_off(&mut self) {
        let bundle = self.simulation.bundle();
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
        self.state.apply(next, &envelope).expect("offsets are consecutive");
    }

    fn run(mut self, failures: &[(Millis, usize, Millis)], totals: &mut Totals) {
        self.settle();
        let start = self.now;
        let end = start + Millis((self.simulation.days as f64 * DAY_SECS * 1000.0) as u64);
        let mut failures = failures.iter().peekable();
        while self.now < end {
            while let Some((_, i, downtime)) =
                failures.next_if(|(at, _, _)| start + *at <= self.now)
            {
                if *i < self.instances.len() {
                    self.fail_instance(*i, *downtime, totals);
                }
            }
            let was_idle = self.step(totals);
            let next_failure = failures.peek().map_or(end, |(at, _, _)| start + *at);
            let step =
                if was_idle { self.idle_interval(next_failure.min(end)) } else { BUSY_INTERVAL };
            self.account(step, totals);
            self.now = self.now + step;
        }
    }

    /// Runs until the first groups serve; this time is not counted.
    fn settle(&mut self) {
        let mut unused = Totals::default();
        for _ in 0..200 {
            self.step(&mut unused);
            self.now = self.now + SETTLE_INTERVAL;
        }
    }

    /// Time to the next event if nothing is in progress. While instances are down, the steward
    /// still plans every `DEGRADED_INTERVAL`, as its choice to wait or to rebuild may change.
    fn idle_interval(&self, until: Millis) -> Millis {
        let back = self.instances.iter().filter_map(|instance| instance.back_at).min();
        let until = back.map_or(until, |back| back.min(until).min(self.now + DEGRADED_INTERVAL));
        until.since(self.now).max(BUSY_INTERVAL)
    }

    /// Takes an instance down for a time; it comes back without weights, as a new incarnation.
    fn fail_instance(&mut self, i: usize, downtime: Millis, totals: &mut Totals) {
        let instance = &mut self.instances[i];
        let back_at = self.now + downtime;
        if instance.back_at.is_none() && instance.assignment.is_some() {
            // Without a spare that has the weights, even the best policy has to load them into one
            // instance.
            let load = f64::from(WEIGHTS_MIB) / f64::from(LOAD_MIB_PER_S);
            totals.floor_hours += load.min(downtime.as_secs_f64()) / 3600.0;
        }
        instance.back_at = Some(instance.back_at.map_or(back_at, |old| old.max(back_at)));
        instance.assignment = None;
        instance.loaded_at = None;
        instance.incarnation += 1;
    }

    /// Plans once and executes the plan. Returns whether nothing was in progress.
    fn step(&mut self, totals: &mut Totals) -> bool {
        let now = self.now;
        for instance in &mut self.instances {
            instance.back_at = instance.back_at.filter(|back| *back > now);
        }
        self.take_reports();
        let rules = self.simulation.rules();
        let view = View {
            domain: &self.name,
            state: &self.state,
            observations: &self.observations,
            list: &self.list,
            now,
        };
        let plan = steward::plan(&view, &mut self.timers, &rules);
        let is_idle = plan.facts.is_empty() && plan.orders.is_empty() && self.all_settled();
        totals.dissolved +=
            plan.facts.iter().filter(|f| matches!(f, Fact::GroupDissolved(_))).count() as f64;
        for (id, order) in plan.orders {
            self.execute_order(index(&id), order);
        }
        if !plan.facts.is_empty() {
            self.append(plan.facts);
        }
        is_idle
    }

    /// Whether no group is being dissolved, no instance is loading, and no failure is recent: every
    /// group serves, or only waits for instances to come back.
    fn all_settled(&self) -> bool {
        let is_loading = |instance: &Instance| {
            instance.assignment.as_ref().is_some_and(|assignment| assignment.ready_at > self.now)
        };
        let fleet = &self.state.fleet;
        let any_dissolving = fleet.groups().any(|group| {
            let is_claimed = |m: &Member| fleet.claim_of(&m.instance) == Some(&group.id);
            let is_up = |m: &Member| self.instances[index(&m.instance)].back_at.is_none();
            !group.is_active() && group.members.iter().any(|m| is_claimed(m) && is_up(m))
        });
        let any_recent_failure = self.instances.iter().enumerate().any(|(i, instance)| {
            let observation = self.observations.get(&instance_id(i));
            let silent = observation.map_or(Millis::ZERO, |w| self.now.since(w.true_since));
            instance.back_at.is_some() && silent < RECENT_FAILURE
        });
        !any_dissolving && !any_recent_failure && !self.instances.iter().any(is_loading)
    }

    /// Takes a report from each instance that is up.
    fn take_reports(&mut self) {
        for (i, instance) in self.instances.iter().enumerate() {
            if instance.back_at.is_some() {
                continue;
            }
            let membership = instance.assignment.as_ref().map(|assignment| GroupMembership {
                group: assignment.group.clone(),
                fence: assignment.fence,
                readiness: assignment.readiness(self.now),
            });
            let report = Report {
                incarnation: Incarnation(instance.incarnation),
                membership,
                loaded: instance.loaded_at.filter(|at| *at <= self.now).map(|_| model_weights()),
                lag: Millis::ZERO,
                running: 0,
                queued: 0,
                slots: 64,
            };
            self.observations.take(&instance_id(i), self.now, self.now, report);
        }
    }

    /// Executes an order at an instance. Loading takes as long as the instance's rate allows,
    /// or longer if the store is busy.
    fn execute_order(&mut self, i: usize, order: Order) {
        let now = self.now;
        let load = Millis(u64::from(WEIGHTS_MIB) * 1000 / u64::from(LOAD_MIB_PER_S));
        let share = Millis(u64::from(WEIGHTS_MIB) * 1000 / STORE_MIB_PER_S);
        let instance = &mut self.instances[i];
        match order.action {
            OrderAction::Join(join) => {
                let has_joined = instance
                    .assignment
                    .as_ref()
                    .is_some_and(|assignment| assignment.fence == order.fence);
                if has_joined {
                    return;
                }
                let ready_at = match instance.loaded_at {
                    Some(loaded_at) => loaded_at.max(now),
                    None => {
                        self.store_free_at = self.store_free_at.max(now) + share;
                        self.store_free_at.max(now + load)
                    }
                };
                instance.loaded_at = Some(ready_at);
                let (group, fence) = (join.group, order.fence);
                instance.assignment =
                    Some(Assignment { group, fence, ready_at, is_draining: false });
            }
            OrderAction::Leave { .. } => instance.assignment = None,
            OrderAction::Load { .. } => {
                if instance.loaded_at.is_none() {
                    self.store_free_at = self.store_free_at.max(now) + share;
                    instance.loaded_at = Some(self.store_free_at.max(now + load));
                }
            }
            OrderAction::Drain { .. } => {
                if let Some(assignment) = &mut instance.assignment {
                    assignment.is_draining = true;
                }
            }
        }
    }

    /// Adds `step` of the current state to the totals.
    fn account(&self, step: Millis, totals: &mut Totals) {
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
        totals.down_hours += (wanted - served).max(0.0) * hours;
        let in_groups: usize = serving.iter().map(|group| group.members.len()).sum();
        let powered = self.instances.iter().filter(|i| i.back_at.is_none()).count();
        let stranded = powered.saturating_sub(in_groups) * usize::from(ACCELERATORS_PER_INSTANCE);
        totals.stranded_hours += stranded as f64 * hours;
    }
}
