//! What all parts of a node share.
//!
//! - [`reading`]: who reads the store for whom, and what follows from its answers.
//! - [`doubts`]: who cannot be reached.
//! - [`held`]: which requests are kept from instances.
//! - [`repeats`]: what may be repeated.

mod instance_limits;
mod quarantine;
mod reading;
mod retry_budget;
mod suspicions;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
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
use tokio::sync::watch;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::config_freshness::ConfigFreshness;
use workshold_core::hosted::demand::Demand;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits::InstanceLimits;
use workshold_core::hosted::partition_lease::PartitionLease;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::retry_policy::RetryBudget;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::RequestKind;
use workshold_core::hosted::serving_config::ServingConfig;
use workshold_core::hosted::stall::EventGaps;
use workshold_core::hosted::stall::StallRules;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::suspicion::Suspicions;
use workshold_core::outlier::OutlierDetector;
use workshold_core::outlier::OutlierRules;
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

pub use self::suspicions::Probe;
pub use self::suspicions::ProbeTask;

/// The list of instances as this node has it.
#[derive(Debug, Default)]
pub struct List {
    /// The entries.
    pub roster: Roster,
    /// Whether they can be taken at their word.
    pub trust: ListTrust,
    /// The next record to read; `None` before the first reading.
    pub next: Option<LogPosition>,
    /// The past of the store that the entries are of, once there are any.
    pub past: Option<Era>,
    /// Records of its past before this one are of the copy that the store came back from.
    pub copy_end: LogPosition,
    /// When the last reading that was answered was sent.
    pub read_at: Millis,
    /// The newest record of each instance as it was read, for peers.
    pub raw: BTreeMap<SmolStr, (LogPosition, Bytes)>,
    /// Instances by the short names that datagrams use.
    pub by_instance_hash: HashMap<u32, Identity>,
    /// What others have of it and this node lacks.
    pub gap: ListGap,
    /// Whether this node itself has read something new that it has not passed on.
    pub has_own_news: bool,
}

/// From what the table was last made, and when.
#[derive(Debug, Clone, Copy, Default)]
struct MadeTable {
    version: u64,
    at: Millis,
}

/// This node's right to give orders.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    /// The right that its orders go by.
    pub fence: Fence,
    /// The parts that are this node's.
    pub parts: BTreeMap<u64, PartitionLease>,
    /// When the last renewal that was answered was sent.
    pub renewed_at: Millis,
    /// An instance has refused this one: another node has a higher one.
    pub outranked: Option<Fence>,
    /// The highest by which any other node acts.
    pub heard: Fence,
}

impl Lease {
    /// The right by which this node gives orders, if it may hold any part.
    pub fn acts_by(&self) -> Option<Fence> {
        (!self.parts.is_empty()).then_some(self.fence)
    }
}

/// Why a node does not serve.
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
    /// it is stopping
    Leaving,
}

/// What all parts of a node share.
pub struct Node {
    settings: RwLock<Arc<Settings>>,
    clock: Box<dyn Clock>,
    began: Millis,
    /// The store's client.
    pub store: Store,
    /// The same for the configuration alone: whether it is on its way shows there.
    pub config_store: Store,
    /// The same for the list of instances.
    pub list_store: Store,
    serving_config: RwLock<Option<(Arc<ServingConfig>, Bytes)>>,
    config_freshness: Mutex<ConfigFreshness>,
    /// The list of instances.
    pub list: Mutex<List>,
    routing_table: RwLock<Arc<RoutingTable>>,
    made: Mutex<MadeTable>,
    /// Who cannot be reached.
    pub suspicions: Mutex<Suspicions<Identity>>,
    /// Changes whenever suspicions do.
    pub suspicion_changed: watch::Sender<u64>,
    /// The usual gaps between events.
    pub gaps: Mutex<EventGaps<Identity>>,
    /// Which requests end whoever begins to run them.
    pub quarantine: Mutex<Quarantine>,
    is_quarantine_read: AtomicBool,
    /// Wakes the one who keeps what outlives this node.
    pub keep_wanted: Notify,
    /// Instances that fail more than others.
    pub outliers: Mutex<OutlierDetector<Identity>>,
    /// How much instances take.
    pub instance_limits: Mutex<InstanceLimits<Identity>>,
    /// Requests at instances.
    pub loads: Loads,
    /// What is counted.
    pub metrics: Metrics,
    /// What callers ask of this node.
    pub demand: Mutex<Demand>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// Other nodes.
    pub peers: Mutex<Peers>,
    /// The right to give orders.
    pub lease: Mutex<Lease>,
    /// Wakes the steward.
    pub steward_wanted: Notify,
    /// Wakes the one who sends pulses.
    pub heartbeat_wanted: Notify,
    /// Wakes the one who catches up from peers.
    pub catch_up_wanted: Notify,
    /// Wakes the one who passes news of the list on.
    pub news_wanted: Notify,
    /// Wakes the one who asks for what this node lacks of the list.
    pub list_gap_seen: Notify,
    /// Wakes the one who reads the list.
    pub list_wanted: Notify,
    /// Ends a reading that waits: one that began later is needed.
    pub list_wanted_anew: Notify,
    /// The same for the configuration.
    pub config_wanted_anew: Notify,
    /// Wakes the one who makes the table anew.
    pub table_wanted: Notify,
    /// Wakes the one who renews the lease.
    pub lease_wanted: Notify,
    /// Epochs that this process has issued.
    pub epochs_issued: Arc<AtomicU64>,
    /// Whether the steward waits for statements.
    pub is_steward_busy: AtomicBool,
    /// Instances to try to reach, with what to do about others.
    pub probes: tokio::sync::mpsc::UnboundedSender<Probe>,
    /// What is known of the store's pasts.
    pub store_monitor: StoreMonitor,
    has_traffic: AtomicBool,
    is_leaving: AtomicBool,
    is_closing: AtomicBool,
    takes_nothing: AtomicBool,
    in_flight: AtomicUsize,
    looks: Mutex<HashMap<Identity, Millis>>,
    asked: Mutex<HashMap<Identity, Millis>>,
    all_peers_asked: Mutex<HashMap<Identity, Millis>>,
    /// How silence is judged.
    pub stall: StallRules,
}

/// What callers ask of all nodes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObservedDemand {
    /// By model, a second.
    pub by_model: BTreeMap<ModelName, Workload>,
    /// The part of it that is seen so soon after the first request.
    pub observed_fraction: f64,
}

/// Failures in a row, and what follows, of plain services and heads.
const OUTLIERS: OutlierRules = OutlierRules {
    slow_factor: 4.0,
    failures: 2,
    base_ejection_time: Millis(1_500),
    max_share: 0.4,
    smoothing: 0.2,
};

/// Tables are made anew no more often than this for changes of the list.
pub const TABLE_GAP: Millis = Millis(60);
/// A table is made anew after this whatever has changed.
const TABLE_STANDS: Millis = Millis(2_000);

impl Node {
    /// A node that knows nothing yet.
    pub fn new(
        settings: Settings,
        clock: Box<dyn Clock>,
        probes: tokio::sync::mpsc::UnboundedSender<Probe>,
    ) -> Self {
        let is_first_start = settings.node.is_first_start;
        let peers = Peers::with_class(settings.limits.class());
        let store = Store::new(&settings.store.address);
        let config_store = Store::new(&settings.store.address);
        let list_store = Store::new(&settings.store.address);
        Self {
            // At the very first start of all nothing is kept.
            is_quarantine_read: AtomicBool::new(is_first_start),
            settings: RwLock::new(Arc::new(settings)),
            began: clock.now(),
            clock,
            store,
            config_store,
            list_store,
            serving_config: RwLock::new(None),
            config_freshness: Mutex::default(),
            list: Mutex::default(),
            routing_table: RwLock::default(),
            made: Mutex::default(),
            suspicions: Mutex::default(),
            suspicion_changed: watch::Sender::new(0),
            gaps: Mutex::default(),
            quarantine: Mutex::default(),
            keep_wanted: Notify::new(),
            outliers: Mutex::new(OutlierDetector::new(OUTLIERS)),
            instance_limits: Mutex::default(),
            loads: Loads::default(),
            metrics: Metrics::default(),
            demand: Mutex::default(),
            budgets: Mutex::default(),
            peers: Mutex::new(peers),
            lease: Mutex::default(),
            steward_wanted: Notify::new(),
            heartbeat_wanted: Notify::new(),
            catch_up_wanted: Notify::new(),
            news_wanted: Notify::new(),
            list_gap_seen: Notify::new(),
            list_wanted: Notify::new(),
            list_wanted_anew: Notify::new(),
            config_wanted_anew: Notify::new(),
            table_wanted: Notify::new(),
            lease_wanted: Notify::new(),
            epochs_issued: Arc::default(),
            is_steward_busy: AtomicBool::new(false),
            probes,
            store_monitor: StoreMonitor::new(is_first_start),
            has_traffic: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            takes_nothing: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            looks: Mutex::default(),
            asked: Mutex::default(),
            all_peers_asked: Mutex::default(),
            stall: StallRules::default(),
        }
    }

    /// The node's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The time of day, as this machine believes it.
    pub fn wall(&self) -> Millis {
        self.clock.wall()
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read())
    }

    /// Puts changed settings in force.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.write() = Arc::new(settings);
    }

    /// The configuration in force.
    pub fn serving_config(&self) -> Option<Arc<ServingConfig>> {
        self.serving_config.read().as_ref().map(|(serving_config, _)| Arc::clone(serving_config))
    }

    /// The configuration as the operator wrote it, for peers.
    pub fn config_bytes(&self) -> Option<Bytes> {
        self.serving_config.read().as_ref().map(|(_, bytes)| bytes.clone())
    }

    /// Takes a configuration that was the newest at `at`; an older one changes nothing.
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

    /// Somebody saw that `version` was the newest at `at`; whether this node lacks it.
    pub fn confirm_config(&self, version: u64, at: Millis) -> bool {
        self.config_freshness.lock().confirm(version, at)
    }

    /// The version in force and its age.
    pub fn config_age(&self) -> Option<(u64, Millis)> {
        let config_freshness = *self.config_freshness.lock();
        Some((config_freshness.version()?, config_freshness.age(self.now())?))
    }

    /// Whether keys can be believed now: they are current, or this deployment would
    /// rather serve by the last configuration known than not at all.
    pub fn are_keys_trusted(&self) -> bool {
        let settings = self.settings();
        let bound = settings.max_key_age();
        let config_freshness = *self.config_freshness.lock();
        let is_known = config_freshness.version().is_some();
        (is_known && !settings.bounds.refuse_stale_keys)
            || config_freshness.is_within(self.now(), bound)
    }

    /// Where requests can be sent.
    pub fn routing_table(&self) -> Arc<RoutingTable> {
        Arc::clone(&self.routing_table.read())
    }

    /// Takes over what trouble with the list those had who read it for this node.
    pub fn hear_of_list_trouble(&self) {
        if self.is_store_reader() {
            return;
        }
        let settings = self.settings();
        let data_centre = settings.node.data_centre.as_str();
        let last_failure_at = self.peers.lock().list_trouble_at(data_centre, self.now());
        if let Some(at) = last_failure_at {
            self.list.lock().trust.on_store_failure(at);
        }
    }

    /// Makes the table anew.
    pub fn rebuild_table(&self) {
        self.hear_of_list_trouble();
        let Some(serving_config) = self.serving_config() else { return };
        let now = self.now();
        let list = self.list.lock();
        let routing_table = RoutingTable::make(&serving_config, &list.roster, &list.trust, now);
        let made = MadeTable { version: list.roster.version(), at: now };
        drop(list);
        *self.routing_table.write() = Arc::new(routing_table);
        *self.made.lock() = made;
    }

    /// The list has changed: the table is made anew, at once or a moment later if that was
    /// just done. At a start the entries of hundreds of instances change many times a second.
    pub fn list_changed(&self) {
        let since = self.now().since(self.made.lock().at);
        if since >= TABLE_GAP {
            self.rebuild_table();
        } else {
            self.table_wanted.notify_one();
        }
    }

    /// Makes the table anew if the list has changed, or time alone may change what it says:
    /// entries that are missing are excused for a while after the store was away.
    pub fn renew_table(&self) {
        self.hear_of_list_trouble();
        let now = self.now();
        let made = *self.made.lock();
        let list = self.list.lock();
        let has_changed = list.roster.version() != made.version;
        let is_excusing = list.trust.may_be_incomplete(now);
        drop(list);
        if has_changed || is_excusing || now.since(made.at) >= TABLE_STANDS {
            self.rebuild_table();
        }
    }

    /// Whether another target of the same kind has room for one more.
    pub fn has_alternative_to(&self, target: &Target) -> bool {
        let routing_table = self.routing_table();
        let others = routing_table.like(target);
        let mut others = others.filter(|other| other.id != target.id);
        others.any(|other| {
            let has_place = self.loads.of(&other.id).requests < other.slots;
            has_place && !self.is_suspected(other) && self.check_instance_limits(&other.id).is_ok()
        })
    }

    /// What is asked of this node by model, a second, and which part of it is seen.
    pub fn own_work(&self) -> (Vec<(SmolStr, Workload)>, f64) {
        let now = self.now();
        let demand = self.demand.lock();
        (demand.all(self.expected_answer_events(), now), demand.observed_fraction(now))
    }

    /// What is asked of all nodes of the models of `engine`.
    pub fn work(&self, engine: &Engine) -> ObservedDemand {
        let (own, observed_fraction) = self.own_work();
        let now = self.now();
        let peers = self.peers.lock();
        let sums = peers.sums(now);
        let holds_own = peers.sums_hold_own(now);
        drop(peers);
        let observed_fraction = observed_fraction.max(f64::from(sums.seen_percent) / 100.0);
        let mut by_name = sums.work().clone();
        for (model, work) in own.iter().filter(|_| !holds_own) {
            let sum = by_name.entry(name_hash(model)).or_default();
            *sum = sum.plus(*work);
        }
        let of = |name: &ModelName| by_name.get(&name_hash(name.as_str())).copied();
        let names = engine.models.iter().map(|spec| &spec.name);
        let by_model = names.map(|name| (name.clone(), of(name).unwrap_or_default())).collect();
        ObservedDemand { by_model, observed_fraction }
    }

    /// Events of an answer, as the operator expects them.
    pub fn expected_answer_events(&self) -> f64 {
        let engine = |serving_config: Arc<ServingConfig>| {
            let engines = serving_config.upstreams.values().filter_map(|up| up.engine.as_ref());
            let events = engines.map(|e| e.typical_answer_tokens / f64::from(e.stride.max(1)));
            events.fold(1.0, f64::max)
        };
        self.serving_config().map_or(1.0, engine)
    }

    /// Notes that a request came.
    pub fn note_traffic(&self) {
        if !self.has_traffic.swap(true, Ordering::Relaxed) {
            self.heartbeat_wanted.notify_one();
        }
    }

    /// Whether requests have come, here or at a peer.
    pub fn has_traffic(&self) -> bool {
        let now = self.now();
        self.has_traffic.load(Ordering::Relaxed) || self.peers.lock().sums(now).has_traffic
    }

    /// Whether this node itself has seen requests.
    pub fn has_own_traffic(&self) -> bool {
        self.has_traffic.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.heartbeat_wanted.notify_one();
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// From here on connections end with their answer.
    pub fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// From here on nothing is taken: it could not be finished before the end.
    pub fn refuse_requests(&self) {
        self.takes_nothing.store(true, Ordering::Relaxed);
    }

    /// Whether a request of this kind is still taken by a node that is stopping: a
    /// stream may last longer than is left, and what is cut is lost.
    pub fn takes(&self, kind: RequestKind) -> bool {
        let takes_streams = !self.is_closing();
        !self.takes_nothing.load(Ordering::Relaxed)
            && (takes_streams || kind != RequestKind::Stream)
    }

    /// Whether connections end with their answer.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// One more request is under way, until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Whether this node serves callers.
    ///
    /// # Errors
    ///
    /// [`NotReady`]: the first reason why not.
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
        if !self.is_quarantine_read() {
            return Err(NotReady::NoQuarantine);
        }
        Ok(())
    }

    /// How long ago this process began.
    pub fn age(&self) -> Millis {
        self.now().since(self.began)
    }
}

/// A request under way.
pub struct RequestGuard(Arc<Node>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
