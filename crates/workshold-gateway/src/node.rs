//! State that all tasks and request handlers of a node share.
//!
//! - [`store_access`]: which nodes read the store, and how its answers are accepted.
//! - [`suspicions`]: instances that cannot be reached.
//! - [`group_probes`]: evidence that groups work, and when they are probed.
//! - [`quarantine`]: quarantined requests.
//! - [`admission`]: which requests are admitted under overload.
//! - [`evacuations`]: evacuated data centres, and instances that are cold.
//! - [`paths`]: connections to instances, over this node's own network path or through a peer.
//! - [`process_check`]: whether the process that sent a response still runs.
//! - [`tunnel_peers`]: which peers are asked for a tunnel.
//! - [`instance_limits`]: rate limits, backoffs and departures that instances announce, and the
//!   permit for each request.
//! - [`readers`]: the bytes held for callers and instances that do not read them.
//! - [`response_memory`]: the bytes held of responses that cannot be passed on yet.
//! - [`retry_budget`]: the retry budget of each upstream.

mod admission;
mod demand_memory;
mod evacuations;
mod group_probes;
mod instance_limits;
mod paths;
mod process_check;
mod quarantine;
mod readers;
mod response_memory;
mod retry_budget;
mod store_access;
mod suspicions;
pub mod tunnel_peers;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use displaydoc::Display;
use parking_lot::Mutex;
use parking_lot::RwLock;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::cold_start::ColdInstances;
use workshold_core::hosted::config_freshness::ConfigFreshness;
use workshold_core::hosted::demand::Demand;
use workshold_core::hosted::demand_memory::DemandMemory;
use workshold_core::hosted::evacuation::Evacuations;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits::InstanceLimits;
use workshold_core::hosted::partition_lease::PartitionLease;
use workshold_core::hosted::probe_plan::ProbePlan;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::retry_policy::RetryBudget;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::ServingConfig;
use workshold_core::hosted::stall::EventGaps;
use workshold_core::hosted::stall::StallRules;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::suspicion::Suspicions;
use workshold_core::outlier::OutlierDetector;
use workshold_core::outlier::OutlierRules;
use workshold_http::dial::Dial;
use workshold_http::dial::TcpDialer;
use workshold_platform::store::Store;
use workshold_protocol::Clock;
use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::ServiceName;

use crate::events::Event;
use crate::events::emit;
use crate::loads::Loads;
use crate::loads::name_hash;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::peers::news::ListGap;
use crate::routing_table::RoutingTable;
use crate::routing_table::Target;
use crate::settings::Settings;
use crate::store_monitor::StoreMonitor;

pub use self::admission::Admission;
pub use self::admission::ModelRoom;
pub use self::admission::Refusal;
pub use self::paths::ConnectError;
pub use self::paths::ConnectTimes;
pub use self::paths::InstanceConnection;
pub use self::paths::Paths;
pub use self::quarantine::EvidenceSource;
pub use self::readers::Reader;
pub use self::readers::ReaderKind;
pub use self::readers::Readers;
pub use self::response_memory::HeldResponse;
pub use self::response_memory::MemoryExceeded;
pub use self::response_memory::ResponseMemory;
pub use self::suspicions::Probe;
pub use self::suspicions::ProbeTask;

/// This node's copy of the instance list.
#[derive(Debug, Default)]
pub struct ListReplica {
    /// The decoded entries.
    pub roster: Roster,
    /// Whether an entry that is missing shows that its instance is gone.
    pub trust: ListTrust,
    /// Position of the next record to read; `None` before the first read.
    pub next: Option<LogPosition>,
    /// Era of the store that the entries belong to; `None` before the first entries.
    pub era: Option<Era>,
    /// Records of the current era before this position come from the snapshot that the store was
    /// restored from.
    pub copy_end: LogPosition,
    /// When the last read request that was answered was sent.
    pub read_at: Millis,
    /// The newest record of each instance, undecoded, for forwarding to peers.
    pub raw: BTreeMap<SmolStr, (LogPosition, Bytes)>,
    /// Instances by the hash that stands for them in datagrams.
    pub by_instance_hash: HashMap<u32, Identity>,
    /// Records that peers have and this node lacks.
    pub gap: ListGap,
    /// Whether this node has read records from the store that it has not forwarded yet.
    pub has_unsent_records: bool,
}

impl ListReplica {
    /// Records that the store didn't answer at `at`, this node or a node that reads the list for
    /// it.
    pub fn on_store_failure(&mut self, at: Millis) {
        self.trust.on_store_failure(at);
        self.roster.on_store_failure(at);
    }
}

/// The roster version that the routing table was last built from, and when it was built.
#[derive(Debug, Clone, Copy, Default)]
struct TableBuild {
    version: u64,
    at: Millis,
    /// Whether missing entries still counted as present: the table changes once they don't.
    from_incomplete_list: bool,
}

/// This node's part of the stewards' lease, which permits it to send orders to instances.
#[derive(Debug, Clone, Default)]
pub struct StewardLease {
    /// The fencing token that its orders carry.
    pub fence: Fence,
    /// The partitions of the lease that this node holds.
    pub parts: BTreeMap<u64, PartitionLease>,
    /// When the last renewal that was answered was sent; the lease's time counts from then.
    pub renewed_at: Millis,
    /// The fencing token that an instance refused because it has seen a higher one.
    pub refused_fence: Option<Fence>,
    /// The highest fencing token that another node is known to use.
    pub highest_peer_fence: Fence,
}

impl StewardLease {
    /// The fencing token for this node's orders; `None` if it holds no partition.
    pub fn active_fence(&self) -> Option<Fence> {
        (!self.parts.is_empty()).then_some(self.fence)
    }
}

/// Why a node is not ready to serve callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotReady {
    /// it has no configuration yet
    NoConfig,
    /// its configuration may be out of date
    StaleConfig,
    /// it has not read the list of instances
    NoList,
    /// it does not know yet which requests are kept from instances
    NoQuarantine,
    /// nothing can take requests
    NoTargets,
    /// it has lost its paths to the instances, and no peer opens a tunnel
    Isolated,
    /// it is stopping
    Leaving,
}

/// State that all tasks and request handlers of a node share, each part under its own lock.
pub struct Node {
    settings: RwLock<Arc<Settings>>,
    clock: Box<dyn Clock>,
    dialer: Box<dyn Dial>,
    started_at: Millis,
    /// Client of the store for everything but the configuration and the instance list.
    pub store: Store,
    /// Client for the configuration alone: its count of received bytes shows whether an answer
    /// with the configuration is arriving.
    pub config_store: Store,
    /// Client for the instance list alone, for the same reason.
    pub list_store: Store,
    serving_config: RwLock<Option<(Arc<ServingConfig>, Bytes)>>,
    config_freshness: Mutex<ConfigFreshness>,
    /// Data centres to whose instances no requests are sent.
    pub evacuations: Mutex<Evacuations>,
    /// Instances that take few requests for now.
    pub cold_instances: Mutex<ColdInstances<Identity>>,
    /// The instance list.
    pub list: Mutex<ListReplica>,
    routing_table: RwLock<Arc<RoutingTable>>,
    last_build: Mutex<TableBuild>,
    /// Instances that this node or its peers cannot reach.
    pub suspicions: Mutex<Suspicions<Identity>>,
    /// What this node knows of its network paths to instances.
    paths: Paths,
    /// Tunnels that may still be opened for other nodes.
    tunnel_permits: Arc<Semaphore>,
    /// Incremented on each change of the suspicions or the quarantine, to wake waiting requests.
    pub suspicion_changed: watch::Sender<u64>,
    /// Mean time between the events of a stream, by instance.
    pub gaps: Mutex<EventGaps<Identity>>,
    /// Requests whose start ended the process of an instance.
    pub quarantine: Mutex<Quarantine>,
    is_quarantine_read: AtomicBool,
    /// Wakes the task that saves the quarantine to the store.
    pub quarantine_save_wanted: Notify,
    /// Outlier detection: targets that fail more often than others.
    pub outliers: Mutex<OutlierDetector<Identity>>,
    /// Rate limits, backoffs and departures that instances have announced.
    pub instance_limits: Mutex<InstanceLimits<Identity>>,
    /// Number of requests at each instance, from this node and from its peers.
    pub loads: Loads,
    /// Callers and instances that read, and the bytes held for them.
    pub readers: Readers,
    /// What is held of responses that cannot be passed on yet.
    pub responses: ResponseMemory,
    /// Counters and gauges for `/metrics`.
    pub metrics: Metrics,
    /// Admission of each model's requests.
    pub admission: Mutex<Admission>,
    /// The workload that this node's callers ask for.
    pub demand: Mutex<Demand>,
    /// The workload that the callers of all nodes asked for in the recent past.
    demand_memory: Mutex<DemandMemory>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// What this node knows of the other nodes.
    pub peers: Mutex<Peers>,
    /// This node's part of the stewards' lease.
    pub lease: Mutex<StewardLease>,
    /// Wakes the task that plans groups and sends orders.
    pub planning_wanted: Notify,
    /// Wakes the task that sends heartbeats.
    pub heartbeat_wanted: Notify,
    /// Wakes the task that fetches a newer configuration from a peer.
    pub config_fetch_wanted: Notify,
    /// Wakes the task that forwards new list records to peers.
    pub news_wanted: Notify,
    /// Wakes the task that fetches missing list records from a peer.
    pub list_fetch_wanted: Notify,
    /// Wakes the task that reads the list from the store.
    pub list_read_wanted: Notify,
    /// Ends a long poll of the list that is waiting: a read that began later is needed.
    pub list_reread_wanted: Notify,
    /// Whether a peer has a newer configuration, which peers do not deliver: it has to be read from
    /// the store.
    pub is_config_read_wanted: AtomicBool,
    /// Ends a long poll of the configuration that is waiting.
    pub config_reread_wanted: Notify,
    /// Wakes the task that rebuilds the routing table.
    pub table_rebuild_wanted: Notify,
    /// Wakes the task that renews the lease.
    pub lease_renewal_wanted: Notify,
    /// Counter of the group epochs that this process has issued.
    pub epochs_issued: Arc<AtomicU64>,
    /// Whether the steward waits for list entries that show the effect of its orders.
    pub is_steward_busy: AtomicBool,
    /// Queue of probes to run or to announce to peers.
    pub probes: tokio::sync::mpsc::UnboundedSender<Probe>,
    /// Eras of the store that this process has seen, and when the store last answered.
    pub store_monitor: StoreMonitor,
    has_traffic: AtomicBool,
    /// When a planned stop cuts what is still in flight; unset before it begins.
    stop_deadline: OnceLock<Millis>,
    is_closing: AtomicBool,
    refuses_all: AtomicBool,
    in_flight: AtomicUsize,
    /// Evidence that groups work, and when they were last probed.
    pub probe_plan: Mutex<ProbePlan<Identity>>,
    /// When an instance was last probed because a peer asked.
    probe_requests: Mutex<HashMap<Identity, Millis>>,
    /// When this node last asked all others to probe an instance.
    all_peers_asked: Mutex<HashMap<Identity, Millis>>,
    /// When a stream without events is probed and when it is moved.
    pub stall: StallRules,
}

/// The workload that the callers of all nodes ask for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObservedDemand {
    /// Workload per second, by model.
    pub by_model: BTreeMap<ModelName, Workload>,
    /// Fraction of the demand that the nodes have had time to observe since their first request.
    pub observed_fraction: f64,
    /// Workload per second at remembered peaks, weighted with its age; empty if none is remembered.
    pub remembered: BTreeMap<ModelName, Workload>,
}

/// Outlier rules for instances of plain services and for group heads.
const OUTLIER_RULES: OutlierRules = OutlierRules {
    slow_factor: 4.0,
    failures: 2,
    base_ejection_time: Millis(1_500),
    max_share: 0.4,
    smoothing: 0.2,
};

/// Least time between two rebuilds of the routing table on list changes.
pub const MIN_REBUILD_INTERVAL: Millis = Millis(60);
/// Age at which the routing table is rebuilt even if nothing has changed.
const MAX_TABLE_AGE: Millis = Millis(2_000);

impl Node {
    /// Creates a node that has not read anything from the store and has not heard any peer;
    /// `probes` takes the probes that it wants to be run.
    pub fn new(
        settings: Settings,
        clock: Box<dyn Clock>,
        probes: tokio::sync::mpsc::UnboundedSender<Probe>,
    ) -> Self {
        let is_first_start = settings.node.is_first_start;
        let peers = Peers::with_class(settings.limits.class());
        let readers = Readers::new(settings.read_budget_rules());
        let tunnel_permits = Arc::new(Semaphore::new(settings.tunnels_max()));
        let store = Store::new(&settings.store.address);
        let config_store = Store::new(&settings.store.address);
        let list_store = Store::new(&settings.store.address);
        Self {
            // At the first start of the fleet the store holds no quarantine records.
            is_quarantine_read: AtomicBool::new(is_first_start),
            settings: RwLock::new(Arc::new(settings)),
            started_at: clock.now(),
            clock,
            dialer: Box::new(TcpDialer),
            store,
            config_store,
            list_store,
            serving_config: RwLock::new(None),
            config_freshness: Mutex::default(),
            evacuations: Mutex::default(),
            cold_instances: Mutex::default(),
            list: Mutex::default(),
            routing_table: RwLock::default(),
            last_build: Mutex::default(),
            suspicions: Mutex::default(),
            paths: Paths::default(),
            tunnel_permits,
            suspicion_changed: watch::Sender::new(0),
            gaps: Mutex::default(),
            quarantine: Mutex::default(),
            quarantine_save_wanted: Notify::new(),
            outliers: Mutex::new(OutlierDetector::new(OUTLIER_RULES)),
            instance_limits: Mutex::default(),
            loads: Loads::default(),
            readers,
            responses: ResponseMemory::default(),
            metrics: Metrics::default(),
            admission: Mutex::default(),
            demand: Mutex::default(),
            demand_memory: Mutex::default(),
            budgets: Mutex::default(),
            peers: Mutex::new(peers),
            lease: Mutex::default(),
            planning_wanted: Notify::new(),
            heartbeat_wanted: Notify::new(),
            config_fetch_wanted: Notify::new(),
            news_wanted: Notify::new(),
            list_fetch_wanted: Notify::new(),
            list_read_wanted: Notify::new(),
            list_reread_wanted: Notify::new(),
            is_config_read_wanted: AtomicBool::new(false),
            config_reread_wanted: Notify::new(),
            table_rebuild_wanted: Notify::new(),
            lease_renewal_wanted: Notify::new(),
            epochs_issued: Arc::default(),
            is_steward_busy: AtomicBool::new(false),
            probes,
            store_monitor: StoreMonitor::new(is_first_start),
            has_traffic: AtomicBool::new(false),
            stop_deadline: OnceLock::new(),
            is_closing: AtomicBool::new(false),
            refuses_all: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            probe_plan: Mutex::default(),
            probe_requests: Mutex::default(),
            all_peers_asked: Mutex::default(),
            stall: StallRules::default(),
        }
    }

    /// The same node, which opens its connections to instances with `dialer`.
    #[must_use]
    pub fn with_dialer(self, dialer: Box<dyn Dial>) -> Self {
        Self { dialer, ..self }
    }

    /// Time of the monotonic clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Wall-clock time of this machine; the clocks of machines differ.
    pub fn wall(&self) -> Millis {
        self.clock.wall()
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read())
    }

    /// Replaces the settings in force.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.write() = Arc::new(settings);
        // Admission keeps rules of the old settings.
        *self.admission.lock() = Admission::default();
    }

    /// The configuration in force; `None` before the first one is read.
    pub fn serving_config(&self) -> Option<Arc<ServingConfig>> {
        self.serving_config.read().as_ref().map(|(serving_config, _)| Arc::clone(serving_config))
    }

    /// The configuration in force as the operator wrote it, for forwarding to peers.
    pub fn config_bytes(&self) -> Option<Bytes> {
        self.serving_config.read().as_ref().map(|(_, bytes)| bytes.clone())
    }

    /// Installs a configuration that was the newest at `at`; an older version than the one in
    /// force is ignored.
    pub fn install_config(&self, serving_config: ServingConfig, bytes: Bytes, at: Millis) {
        let version = serving_config.version;
        let len = bytes.len();
        {
            let mut held = self.serving_config.write();
            if !self.config_freshness.lock().take(version, at) {
                return;
            }
            *held = Some((Arc::new(serving_config), bytes));
        }
        emit(Event::ConfigTaken, &[("version", &version.to_string()), ("bytes", &len.to_string())]);
        self.rebuild_table();
        self.heartbeat_wanted.notify_one();
    }

    /// Notes that `version` was the newest configuration at `at`. Returns whether this node
    /// lacks it.
    pub fn confirm_config(&self, version: u64, at: Millis) -> bool {
        self.config_freshness.lock().confirm(version, at)
    }

    /// The version in force, and how long ago it was last known to be the newest.
    pub fn config_age(&self) -> Option<(u64, Millis)> {
        let config_freshness = *self.config_freshness.lock();
        Some((config_freshness.version()?, config_freshness.age(self.now())?))
    }

    /// Whether API keys can be checked now: the configuration is recent enough, or the settings
    /// allow serving by the last known configuration however old it is.
    pub fn are_keys_trusted(&self) -> bool {
        let settings = self.settings();
        let bound = settings.max_key_age();
        let config_freshness = *self.config_freshness.lock();
        let is_known = config_freshness.version().is_some();
        (is_known && !settings.bounds.refuse_stale_keys)
            || config_freshness.is_within(self.now(), bound)
    }

    /// The routing table: targets that requests can be sent to.
    pub fn routing_table(&self) -> Arc<RoutingTable> {
        Arc::clone(&self.routing_table.read())
    }

    /// Takes over failures to read the list from the nodes that read it for this node.
    pub fn sync_list_failures(&self) {
        if self.is_store_reader() {
            return;
        }
        let settings = self.settings();
        let data_centre = settings.node.data_centre.as_str();
        let last_failure_at = self.peers.lock().list_failure_at(data_centre, self.now());
        if let Some(at) = last_failure_at {
            self.list.lock().on_store_failure(at);
        }
    }

    /// Rebuilds the routing table.
    pub fn rebuild_table(&self) {
        self.sync_list_failures();
        let Some(serving_config) = self.serving_config() else { return };
        let now = self.now();
        let list = self.list.lock();
        let routing_table = RoutingTable::build(&serving_config, &list.roster, &list.trust, now);
        let build = TableBuild {
            version: list.roster.version(),
            at: now,
            from_incomplete_list: list.trust.may_be_incomplete(now),
        };
        drop(list);
        *self.routing_table.write() = Arc::new(routing_table);
        *self.last_build.lock() = build;
    }

    /// Called when the list has changed: rebuilds the routing table now, or a little later if it
    /// was rebuilt within [`MIN_REBUILD_INTERVAL`]. At a start the entries of hundreds of
    /// instances change many times a second.
    pub fn on_list_changed(&self) {
        let since = self.now().since(self.last_build.lock().at);
        if since >= MIN_REBUILD_INTERVAL {
            self.rebuild_table();
        } else {
            self.table_rebuild_wanted.notify_one();
        }
    }

    /// Rebuilds the routing table if the list has changed, or if its content may have changed by
    /// time alone: entries that went missing while the store was unavailable count as present
    /// for a while.
    pub fn refresh_table(&self) {
        self.sync_list_failures();
        let now = self.now();
        let last_build = *self.last_build.lock();
        let list = self.list.lock();
        let has_changed = list.roster.version() != last_build.version;
        let is_incomplete = list.trust.may_be_incomplete(now) || last_build.from_incomplete_list;
        drop(list);
        if has_changed || is_incomplete || now.since(last_build.at) >= MAX_TABLE_AGE {
            self.rebuild_table();
        }
    }

    /// Whether another target of the same kind has a free slot for one more request.
    pub fn has_alternative_to(&self, target: &Target) -> bool {
        let routing_table = self.routing_table();
        let others = routing_table.like(target);
        let mut others = others.filter(|other| other.id != target.id);
        others.any(|other| {
            let has_place = self.loads.of(&other.id).requests < other.slots;
            has_place && !self.is_suspected(other) && self.check_target(other).is_ok()
        })
    }

    /// The workload per second that this node's callers ask for, by model, and the observed
    /// fraction of it.
    pub fn local_workload(&self) -> (Vec<(SmolStr, Workload)>, f64) {
        let now = self.now();
        let demand = self.demand.lock();
        (demand.all(self.expected_answer_events(), now), demand.observed_fraction(now))
    }

    /// The workload that the callers of all nodes ask for, for the models of `engine`.
    pub fn fleet_workload(&self, engine: &Engine) -> ObservedDemand {
        let (own, observed_fraction) = self.local_workload();
        let now = self.now();
        let peers = self.peers.lock();
        let totals = peers.totals(now);
        let holds_own = peers.totals_include_self(now);
        drop(peers);
        let observed_fraction = observed_fraction.max(f64::from(totals.seen_percent) / 100.0);
        let mut by_name = totals.work().clone();
        for (model, work) in own.iter().filter(|_| !holds_own) {
            let sum = by_name.entry(name_hash(model)).or_default();
            *sum = sum.plus(*work);
        }
        let of = |name: &ModelName| by_name.get(&name_hash(name.as_str())).copied();
        let names = engine.models.iter().map(|spec| &spec.name);
        let by_model = names.map(|name| (name.clone(), of(name).unwrap_or_default())).collect();
        let remembered = self.remembered_workload(engine);
        ObservedDemand { by_model, observed_fraction, remembered }
    }

    /// Number of events in a typical answer by the operator's configuration: the highest of all
    /// engines, 1 without any.
    pub fn expected_answer_events(&self) -> f64 {
        let engine = |serving_config: Arc<ServingConfig>| {
            let engines = serving_config.upstreams.values().filter_map(|up| up.engine.as_ref());
            let events = engines.map(|e| e.typical_answer_tokens / f64::from(e.stride.max(1)));
            events.fold(1.0, f64::max)
        };
        self.serving_config().map_or(1.0, engine)
    }

    /// Notes that a request has arrived; the first one is announced to peers at once.
    pub fn note_traffic(&self) {
        if !self.has_traffic.swap(true, Ordering::Relaxed) {
            self.heartbeat_wanted.notify_one();
        }
    }

    /// Whether this node or a peer has received requests.
    pub fn has_traffic(&self) -> bool {
        let now = self.now();
        self.has_traffic.load(Ordering::Relaxed) || self.peers.lock().totals(now).has_traffic
    }

    /// Whether this node itself has received requests.
    pub fn has_local_traffic(&self) -> bool {
        self.has_traffic.load(Ordering::Relaxed)
    }

    /// Begins a planned stop, which cuts what is still in flight at `deadline`. This node reports
    /// that it is not ready.
    pub fn leave(&self, deadline: Millis) {
        self.stop_deadline.get_or_init(|| deadline);
        self.heartbeat_wanted.notify_one();
        // Requests that wait for an instance have to learn of the deadline.
        self.notify_suspicions_changed();
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.stop_deadline.get().is_some()
    }

    /// When a planned stop cuts what is still in flight; `None` if none has begun.
    pub fn stop_deadline(&self) -> Option<Millis> {
        self.stop_deadline.get().copied()
    }

    /// Closes each connection after its current response from now on.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Refuses all requests from now on: they could not be finished before the process ends.
    pub fn refuse_requests(&self) {
        self.refuses_all.store(true, Ordering::Relaxed);
    }

    /// Whether a request with this deadline is still accepted. A stopping node refuses those that
    /// may last longer than the time that is left: cut, they would be lost.
    pub fn accepts(&self, deadline: Millis) -> bool {
        !self.refuses_all.load(Ordering::Relaxed)
            && self.stop_deadline().is_none_or(|stop| deadline <= stop)
    }

    /// Whether each connection is closed after its current response.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard { node: Arc::clone(self), reader: None }
    }

    /// A permit for one more tunnel of another node; `None` if this node has as many
    /// as it may.
    pub fn tunnel_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.tunnel_permits).try_acquire_owned().ok()
    }

    /// Number of requests in flight, and of tunnels of other nodes.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether this node is ready to serve callers.
    ///
    /// # Errors
    ///
    /// [`NotReady`]: the first reason why it is not.
    pub fn readiness(&self) -> Result<(), NotReady> {
        if self.is_leaving() {
            return Err(NotReady::Leaving);
        }
        if self.serving_config().is_none() {
            return Err(NotReady::NoConfig);
        }
        if !self.are_keys_trusted() {
            return Err(NotReady::StaleConfig);
        }
        if self.list.lock().next.is_none() {
            return Err(NotReady::NoList);
        }
        if self.routing_table().is_empty() {
            return Err(NotReady::NoTargets);
        }
        if self.is_isolated() {
            return Err(NotReady::Isolated);
        }
        if !self.is_quarantine_read() {
            return Err(NotReady::NoQuarantine);
        }
        Ok(())
    }

    /// Time since this process started.
    pub fn age(&self) -> Millis {
        self.now().since(self.started_at)
    }
}

/// Counts a request as in flight for as long as it lives.
pub struct RequestGuard {
    node: Arc<Node>,
    reader: Option<Arc<Reader>>,
}

impl RequestGuard {
    /// The same guard, with the reader of the request's answer.
    pub fn with_reader(mut self, reader: Arc<Reader>) -> Self {
        self.reader = Some(reader);
        self
    }

    /// The reader of the request's answer; `None` if nobody reads it from a connection.
    pub fn reader(&self) -> Option<&Reader> {
        self.reader.as_deref()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
