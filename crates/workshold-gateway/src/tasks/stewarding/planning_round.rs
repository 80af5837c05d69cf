//! A planning round of this node's stewards. It examines the node's own fabric domains each time,
//! and all others only where a plan needs them.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use parking_lot::Mutex;
use smol_str::SmolStr;
use workshold_core::hosted::capacity::CapacityEstimate;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::groups;
use workshold_core::hosted::groups::Group;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::planner;
use workshold_core::hosted::roster::Entry;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::MemberState;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::ModelSpec;
use workshold_core::hosted::steward;
use workshold_core::hosted::steward::Command;
use workshold_core::hosted::steward::DomainContext;
use workshold_core::hosted::steward::DomainSummary;
use workshold_core::hosted::steward::Steward;
use workshold_core::hosted::steward::StewardTimings;
use workshold_core::hosted::suspicion::Loss;
use workshold_core::hosted::suspicion::Suspicions;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Event;
use crate::events::emit;
use crate::node::ObservedDemand;
use crate::node::StewardLease;

/// Fraction of the demand that has to be observed before groups are closed because of it.
const MIN_OBSERVED_FRACTION: f64 = 0.6;
/// Interval at which the state of a domain is logged.
const LOG_INTERVAL: Millis = Millis(2_000);

/// When the state of each domain was last logged.
pub type LogTimes = Mutex<BTreeMap<FabricDomain, Millis>>;

/// The partition of the lease that a domain belongs to.
fn partition_of(domain: &FabricDomain, parts: u64) -> u64 {
    xxh3_64(domain.as_str().as_bytes()) % parts.max(1)
}

/// The input of a planning round that all domains share.
pub struct PlanningRound<'a> {
    /// The instance list.
    pub roster: &'a Roster,
    /// Whether an entry that is missing there shows that its instance is gone.
    pub trust: &'a ListTrust,
    /// Instances that cannot be reached.
    pub suspicions: &'a Suspicions<Identity>,
    /// Data centres whose instances get no requests.
    pub evacuated: &'a BTreeSet<DataCentre>,
    /// Number of other nodes that are heard, and so can be asked to probe.
    pub peers: usize,
    /// Whether all nodes were asked to probe the instance at this address and had time to answer.
    pub all_peers_asked: &'a dyn Fn(&Identity, &SmolStr) -> bool,
    /// Whether all nodes have probed the instance at this address since a given time, and none of
    /// them reached it.
    pub is_unreached_since: &'a dyn Fn(&Identity, &SmolStr, Millis) -> bool,
    /// Timings of the stewards.
    pub timings: StewardTimings,
    /// When domains were last logged.
    pub log_times: &'a LogTimes,
    /// Whether the fleet is starting for the first time and no request has arrived yet.
    pub before_traffic: bool,
    /// Number of partitions of the lease.
    pub parts: u64,
    /// Counter of the group epochs that this process has issued.
    pub issued: &'a Arc<AtomicU64>,
    /// This node's part of the lease.
    pub lease: &'a StewardLease,
    /// When the request for the list's newest state was sent.
    pub list_read_at: Millis,
    /// The fencing token that orders carry.
    pub fence: u64,
    /// Time of the round.
    pub now: Millis,
}

impl PlanningRound<'_> {
    /// Plans the orders for the domains of `service` whose partitions this node holds.
    pub fn plan(
        &self,
        service: &ServiceName,
        engine: &Engine,
        demand: &ObservedDemand,
        stewards: &mut BTreeMap<u64, Steward>,
    ) -> Vec<Command> {
        let (own, domain_count) = self.own_domains(service);
        let service_view = ServiceView::new(self, service, engine, demand);
        let loss = |id: &Identity| -> Loss { self.suspicions.loss(id, self.peers) };
        let suspected_since = |id: &Identity| self.suspicions.since(id);
        let head_of = |group: &Group| self.roster.head_of(group.epoch, &group.id).cloned();
        let all_peers_asked = |id: &Identity| {
            let entry = self.roster.incarnation(id);
            entry.is_none_or(|entry| (self.all_peers_asked)(id, &entry.instance.address))
        };
        let is_unreached_since = |id: &Identity, since: Millis| {
            let entry = self.roster.incarnation(id);
            entry.is_none_or(|e| (self.is_unreached_since)(id, &e.instance.address, since))
        };
        let has_restarted_member =
            |group: &Group| self.roster.has_restarted_member(group.epoch, &group.id);
        let mut commands = Vec::new();
        for (domain, entries) in &own {
            let forming = forming(stewards);
            let partition = partition_of(domain, self.parts);
            let steward = stewards.entry(partition).or_insert_with(|| {
                let issued = Arc::clone(self.issued);
                Steward::new(self.timings, partition, self.fence, issued)
            });
            steward.raise_fence(self.fence);
            commands.extend(steward.plan(&DomainContext {
                domain,
                engine,
                entries,
                trust: self.trust,
                loss: &loss,
                head_of: &head_of,
                all_peers_asked: &all_peers_asked,
                is_unreached_since: &is_unreached_since,
                has_restarted_member: &has_restarted_member,
                suspected_since: &suspected_since,
                others: &|| service_view.others(domain),
                models: &|| service_view.models(&forming),
                may_close: demand.observed_fraction >= MIN_OBSERVED_FRACTION,
                is_evacuated: entries.iter().any(|entry| self.is_evacuated(entry)),
                before_traffic: self.before_traffic,
                load_share: 1.0 / domain_count.max(1) as f64,
                last_arrival_at: self.roster.last_arrival_at(),
                now: self.now,
            }));
            self.log_domain(domain, &service_view, &forming, steward.summary());
        }
        commands
    }

    /// The domains whose instances this node may send orders to, with their entries, and the number
    /// of all domains.
    fn own_domains(&self, service: &ServiceName) -> (BTreeMap<&FabricDomain, Vec<&Entry>>, usize) {
        let mut parts: BTreeMap<&FabricDomain, bool> = BTreeMap::new();
        let mut domains: BTreeMap<&FabricDomain, Vec<&Entry>> = BTreeMap::new();
        for entry in self.roster.iter().filter(|entry| entry.instance.service == *service) {
            let Some(domain) = &entry.instance.domain else { continue };
            let is_own = *parts.entry(domain).or_insert_with(|| self.may_order(domain));
            if is_own {
                domains.entry(domain).or_default().push(entry);
            }
        }
        (domains, parts.len())
    }

    /// Whether an instance is in an evacuated data centre.
    fn is_evacuated(&self, entry: &Entry) -> bool {
        self.evacuated.contains(&entry.instance.data_centre)
    }

    /// Whether an instance may get requests, as far as the list and the operator say.
    fn gets_work(&self, entry: &Entry) -> bool {
        entry.is_in_service(self.trust, self.now) && !self.is_evacuated(entry)
    }

    /// Whether this node may send orders to the instances of a domain now.
    fn may_order(&self, domain: &FabricDomain) -> bool {
        let partition_lease = self.lease.parts.get(&partition_of(domain, self.parts));
        partition_lease.is_some_and(|partition_lease| partition_lease.may_order(self.list_read_at))
    }

    /// All domains, as far as the instance list alone describes them.
    fn listed(&self, engine: &Engine, entries: &[&Entry]) -> Vec<planner::Domain> {
        let is_fit = |entry: &Entry| {
            let is_lost = self.suspicions.loss(&entry.instance.identity, self.peers) > Loss::None;
            !is_lost && self.gets_work(entry)
        };
        let domains = by_domain(entries);
        let listed = domains.iter().map(|(domain, entries)| {
            steward::listed(domain, entries, engine, self.before_traffic, is_fit)
        });
        listed.collect()
    }

    /// The utility of groups of each model. The fraction of the demand that is not observed yet is
    /// filled in from the operator's expectation.
    fn models(
        &self,
        engine: &Engine,
        instances: usize,
        demand: &ObservedDemand,
    ) -> Vec<planner::Model> {
        let work = |spec: &ModelSpec| {
            let seen = demand.by_model.get(&spec.name).copied().unwrap_or_default();
            let expected = Workload::expected(engine, spec, instances);
            seen.plus(expected.scaled(1.0 - demand.observed_fraction))
        };
        let works: Vec<Workload> = engine.models.iter().map(work).collect();
        let of_spec = |spec: &ModelSpec| demand.remembered.get(&spec.name).copied();
        let remembered = engine.models.iter().map(|spec| of_spec(spec).unwrap_or_default());
        let remembered = (!demand.remembered.is_empty()).then(|| remembered.collect::<Vec<_>>());
        planner::models(engine, &works, remembered.as_deref(), |spec| instances / spec.size + 1)
    }

    /// Logs the state of a domain, at most once in [`LOG_INTERVAL`].
    fn log_domain(
        &self,
        domain: &FabricDomain,
        service_view: &ServiceView<'_>,
        forming: &FormingGroups,
        summary: &DomainSummary,
    ) {
        let mut log_times = self.log_times.lock();
        let last = log_times.get(domain);
        if last.is_some_and(|last| self.now.since(*last) < LOG_INTERVAL) {
            return;
        }
        log_times.insert(domain.clone(), self.now);
        let least = |spec: &ModelSpec| {
            let work = service_view.demand.by_model.get(&spec.name).copied().unwrap_or_default();
            (spec.name.clone(), CapacityEstimate::new(service_view.engine, spec, work).min_groups())
        };
        let least: BTreeMap<ModelName, f64> =
            service_view.engine.models.iter().map(least).collect();
        emit(
            Event::DomainSeen,
            &[
                ("domain", domain.as_str()),
                ("fit", &summary.serviceable.to_string()),
                ("free", &summary.free.to_string()),
                ("staging", &summary.staging.to_string()),
                ("forming", &summary.forming.to_string()),
                ("who", &summary.free_instances),
                ("intends", &summary.planned_changes),
                ("groups", &format_by_model(&service_view.counts(forming))),
                ("least", &format_by_model(&least)),
            ],
        );
    }

    /// The epochs of groups that serve or are being formed, and their number by model.
    fn group_counts(
        &self,
        engine: &Engine,
        entries: &[&Entry],
    ) -> (BTreeSet<u64>, BTreeMap<ModelName, f64>) {
        let serving = entries.iter().copied().filter(|entry| self.gets_work(entry));
        let mut known = BTreeSet::new();
        let mut counts = BTreeMap::new();
        for group in groups::assemble_groups(serving) {
            let Some(spec) = group.model(engine) else { continue };
            let is_open =
                group.members.len() == spec.size && group.state() == Some(MemberState::Open);
            if is_open || steward::is_forming(&group) {
                known.insert(group.epoch);
                *counts.entry(spec.name.clone()).or_default() += 1.0;
            }
        }
        (known, counts)
    }
}

/// Groups that stewards of this node are forming: their epochs, `None` before one is issued, and
/// their models.
type FormingGroups = Vec<(Option<u64>, ModelName)>;

/// The groups that these stewards are forming.
fn forming(stewards: &BTreeMap<u64, Steward>) -> FormingGroups {
    let all = stewards.values().flat_map(Steward::forming);
    all.map(|(epoch, model)| (epoch, model.clone())).collect()
}

/// Data of the whole service. They are computed when a plan first needs more than its own domain,
/// and once per round.
struct ServiceView<'a> {
    round: &'a PlanningRound<'a>,
    service: &'a ServiceName,
    engine: &'a Engine,
    demand: &'a ObservedDemand,
    entries: OnceCell<Vec<&'a Entry>>,
    listed: OnceCell<Vec<planner::Domain>>,
    models: OnceCell<Vec<planner::Model>>,
    counted_groups: OnceCell<(BTreeSet<u64>, BTreeMap<ModelName, f64>)>,
}

impl<'a> ServiceView<'a> {
    fn new(
        round: &'a PlanningRound<'a>,
        service: &'a ServiceName,
        engine: &'a Engine,
        demand: &'a ObservedDemand,
    ) -> Self {
        Self {
            round,
            service,
            engine,
            demand,
            entries: OnceCell::new(),
            listed: OnceCell::new(),
            models: OnceCell::new(),
            counted_groups: OnceCell::new(),
        }
    }

    /// Entries of the service's instances.
    fn entries(&self) -> &[&'a Entry] {
        let of_service = |entry: &&Entry| entry.instance.service == *self.service;
        self.entries.get_or_init(|| self.round.roster.iter().filter(of_service).collect())
    }

    /// All domains of the service, by the instance list.
    fn listed(&self) -> &[planner::Domain] {
        self.listed.get_or_init(|| self.round.listed(self.engine, self.entries()))
    }

    /// The domains of the service but for one.
    fn others(&self, own: &FabricDomain) -> Vec<planner::Domain> {
        self.listed().iter().filter(|domain| domain.name != *own).cloned().collect()
    }

    /// Number of groups by model, with those that this node is forming.
    fn counts(&self, forming: &FormingGroups) -> BTreeMap<ModelName, f64> {
        let counted_groups = || self.round.group_counts(self.engine, self.entries());
        let (known, counted_groups) = self.counted_groups.get_or_init(counted_groups);
        let mut counts = counted_groups.clone();
        let is_new = |epoch: &Option<u64>| epoch.is_none_or(|epoch| !known.contains(&epoch));
        for (_, model) in forming.iter().filter(|(epoch, _)| is_new(epoch)) {
            *counts.entry(model.clone()).or_default() += 1.0;
        }
        counts
    }

    /// Models with the utility and the present number of their groups.
    fn models(&self, forming: &FormingGroups) -> Vec<planner::Model> {
        let compute = || self.round.models(self.engine, self.entries().len(), self.demand);
        let mut models = self.models.get_or_init(compute).clone();
        let counts = self.counts(forming);
        for (spec, model) in self.engine.models.iter().zip(&mut models) {
            model.groups = counts.get(&spec.name).copied().unwrap_or_default();
        }
        models
    }
}

/// Entries of a service by their domain.
fn by_domain<'a>(entries: &[&'a Entry]) -> BTreeMap<&'a FabricDomain, Vec<&'a Entry>> {
    let mut domains: BTreeMap<&FabricDomain, Vec<&Entry>> = BTreeMap::new();
    for entry in entries {
        if let Some(domain) = &entry.instance.domain {
            domains.entry(domain).or_default().push(entry);
        }
    }
    domains
}

/// Figures by model as a text for the log.
fn format_by_model(figures: &BTreeMap<ModelName, f64>) -> String {
    let figures = figures.iter().map(|(model, figure)| format!("{model}={figure:.2}"));
    figures.collect::<Vec<_>>().join(" ")
}
