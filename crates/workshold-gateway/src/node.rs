//! What all parts of a node share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
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
use workshold_core::hosted::capacity::Work;
use workshold_core::hosted::catalog::Catalog;
use workshold_core::hosted::catalog::Engine;
use workshold_core::hosted::catalog::Kind;
use workshold_core::hosted::currency::Currency;
use workshold_core::hosted::demand::Demand;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::history::Era;
use workshold_core::hosted::history::Fence;
use workshold_core::hosted::history::Heard;
use workshold_core::hosted::history::Place;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::quarantine;
use workshold_core::hosted::quarantine::Known;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::Standing;
use workshold_core::hosted::quarantine::Subject;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::silence::Gaps;
use workshold_core::hosted::silence::SilenceRules;
use workshold_core::hosted::suspicion::Loss;
use workshold_core::hosted::suspicion::Reach;
use workshold_core::hosted::suspicion::Suspicions;
use workshold_core::hosted::tenure::Tenure;
use workshold_core::hosted::tries::Budget;
use workshold_core::hosted::tries::Usage;
use workshold_core::outlier::OutlierRules;
use workshold_core::outlier::Outliers;
use workshold_platform::store::Answer;
use workshold_platform::store::Store;
use workshold_platform::store::StoreError;
use workshold_protocol::Clock;
use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::ServiceName;

use crate::callers::requests::Job;
use crate::events::Event;
use crate::events::emit;
use crate::loads::Loads;
use crate::loads::short_id;
use crate::loads::short_name;
use crate::metrics::Metric;
use crate::metrics::Metrics;
use crate::pasts::Pasts;
use crate::peers::Ask;
use crate::peers::LIST_TROUBLE_MOST;
use crate::peers::Peers;
use crate::peers::news;
use crate::peers::news::Gap;
use crate::peers::rank;
use crate::settings::Settings;
use crate::table::Table;
use crate::table::Target;

/// The list of instances as this node has it.
#[derive(Debug, Default)]
pub struct List {
    /// The entries.
    pub roster: Roster,
    /// Whether they can be taken at their word.
    pub trust: ListTrust,
    /// The next record to read; `None` before the first reading.
    pub next: Option<Place>,
    /// The past of the store that the entries are of, once there are any.
    pub past: Option<Era>,
    /// Records of its past before this one are of the copy that the store came back from.
    pub copy_end: Place,
    /// When the last reading that was answered was sent.
    pub read_at: Millis,
    /// The newest record of each instance as it was read, for peers.
    pub raw: BTreeMap<SmolStr, (Place, Bytes)>,
    /// Instances by the short names that datagrams use.
    pub by_short_id: HashMap<u32, Identity>,
    /// What others have of it and this node lacks.
    pub gap: Gap,
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
    pub parts: BTreeMap<u64, Tenure>,
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
    catalog: RwLock<Option<(Arc<Catalog>, Bytes)>>,
    currency: Mutex<Currency>,
    /// The list of instances.
    pub list: Mutex<List>,
    table: RwLock<Arc<Table>>,
    made: Mutex<MadeTable>,
    /// Who cannot be reached.
    pub suspicions: Mutex<Suspicions<Identity>>,
    /// Changes whenever suspicions do.
    pub suspicion_changed: watch::Sender<u64>,
    /// The usual gaps between events.
    pub gaps: Mutex<Gaps<Identity>>,
    /// Which requests end whoever begins to run them.
    pub quarantine: Mutex<Quarantine>,
    is_quarantine_read: AtomicBool,
    /// Wakes the one who keeps what outlives this node.
    pub keep_wanted: Notify,
    /// Instances that fail more than others.
    pub outliers: Mutex<Outliers<Identity>>,
    /// Requests at instances.
    pub loads: Loads,
    /// What is counted.
    pub metrics: Metrics,
    /// What callers ask of this node.
    pub demand: Mutex<Demand>,
    budgets: Mutex<HashMap<ServiceName, Budget>>,
    /// Other nodes.
    pub peers: Mutex<Peers>,
    /// The right to give orders.
    pub lease: Mutex<Lease>,
    /// Wakes the steward.
    pub steward_wanted: Notify,
    /// Wakes the one who sends pulses.
    pub pulse_wanted: Notify,
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
    pub pasts: Pasts,
    has_traffic: AtomicBool,
    is_leaving: AtomicBool,
    is_closing: AtomicBool,
    takes_nothing: AtomicBool,
    in_flight: AtomicUsize,
    looks: Mutex<HashMap<Identity, Millis>>,
    asked: Mutex<HashMap<Identity, Millis>>,
    all_asked: Mutex<HashMap<Identity, Millis>>,
    /// How silence is judged.
    pub silence: SilenceRules,
}

/// What callers ask of all nodes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Asked {
    /// By model, a second.
    pub by_model: BTreeMap<ModelName, Work>,
    /// The part of it that is seen so soon after the first request.
    pub seen_part: f64,
}

/// An instance that somebody could not reach.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Which.
    pub id: Identity,
    /// Where it listens.
    pub address: SmolStr,
    /// What is to be done about it.
    pub task: ProbeTask,
}

/// What is to be done about an instance in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTask {
    /// To try it, for this node's own sake.
    Look,
    /// To try it because another node asked, and to tell all what it showed.
    AnswerOthers,
    /// To try it because this node asked all, and to tell it if the instance answers.
    AnswerOne(SocketAddr),
    /// To tell the others what this node's own try showed.
    Tell {
        /// What it showed.
        reach: Reach,
        /// Who is to try as well.
        asks: Ask,
    },
}

/// Failures in a row, and what follows, of plain services and heads.
const OUTLIERS: OutlierRules = OutlierRules {
    slow_factor: 4.0,
    failures: 2,
    set_aside_for: Millis(1_500),
    max_share: 0.4,
    smoothing: 0.2,
};

/// Up to so many nodes, each reads the store for itself.
const ALL_READ: usize = 12;
/// So many of each data centre write again what the store has lost.
const KEEPERS: usize = 2;
/// A node that starts has heard the others by then, or there is nobody whom it hears.
const HEARS_WITHIN: Millis = Millis(2_500);
/// Tables are made anew no more often than this for changes of the list.
pub const TABLE_GAP: Millis = Millis(60);
/// A table is made anew after this whatever has changed.
const TABLE_STANDS: Millis = Millis(2_000);
/// A look at a group's members serves all its streams for this long.
const LOOK_GOOD_FOR: Millis = Millis(250);

/// Over how long nodes begin to read and to hold the lease at the first start of all: some
/// seconds before the first callers, and long enough that the first of hundreds have what
/// the others need.
const FIRST_START_SPREAD: Millis = Millis(800);
/// With fewer nodes than this all of them try a silent instance when one asks.
const FEW_NODES: usize = 24;
/// Beyond that, so many of each data centre do.
const WITNESSES: usize = 4;
/// All who were asked have answered by then, and had the question twice.
const ALL_ANSWER: Millis = Millis(300);
/// What all answered holds for so long; then they are asked again.
const ASKED_FOR: Millis = Millis(10_000);
/// Many nodes ask at once when an instance falls silent: one try answers all who ask
/// within this.
const ASKED_AGAIN: Millis = Millis(200);

impl Node {
    /// A node that knows nothing yet.
    pub fn new(
        settings: Settings,
        clock: Box<dyn Clock>,
        probes: tokio::sync::mpsc::UnboundedSender<Probe>,
    ) -> Self {
        let is_first_start = settings.node.is_first_start;
        let store = Store::new(&settings.store.address);
        let config_store = Store::new(&settings.store.address);
        Self {
            // At the very first start of all nothing is kept.
            is_quarantine_read: AtomicBool::new(is_first_start),
            settings: RwLock::new(Arc::new(settings)),
            began: clock.now(),
            clock,
            store,
            config_store,
            catalog: RwLock::new(None),
            currency: Mutex::default(),
            list: Mutex::default(),
            table: RwLock::default(),
            made: Mutex::default(),
            suspicions: Mutex::default(),
            suspicion_changed: watch::Sender::new(0),
            gaps: Mutex::default(),
            quarantine: Mutex::default(),
            keep_wanted: Notify::new(),
            outliers: Mutex::new(Outliers::new(OUTLIERS)),
            loads: Loads::default(),
            metrics: Metrics::default(),
            demand: Mutex::default(),
            budgets: Mutex::default(),
            peers: Mutex::default(),
            lease: Mutex::default(),
            steward_wanted: Notify::new(),
            pulse_wanted: Notify::new(),
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
            pasts: Pasts::new(is_first_start),
            has_traffic: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            takes_nothing: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            looks: Mutex::default(),
            asked: Mutex::default(),
            all_asked: Mutex::default(),
            silence: SilenceRules::default(),
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
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().as_ref().map(|(catalog, _)| Arc::clone(catalog))
    }

    /// The configuration as the operator wrote it, for peers.
    pub fn config_bytes(&self) -> Option<Bytes> {
        self.catalog.read().as_ref().map(|(_, bytes)| bytes.clone())
    }

    /// Takes a configuration that was the newest at `at`; an older one changes nothing.
    pub fn take_config(&self, catalog: Catalog, bytes: Bytes, at: Millis) {
        let version = catalog.version;
        let len = bytes.len();
        {
            let mut held = self.catalog.write();
            if !self.currency.lock().take(version, at) {
                return;
            }
            *held = Some((Arc::new(catalog), bytes));
        }
        emit(Event::ConfigTaken, &[("version", &version.to_string()), ("bytes", &len.to_string())]);
        self.remake_table();
        self.pulse_wanted.notify_one();
    }

    /// Somebody saw that `version` was the newest at `at`; whether this node lacks it.
    pub fn confirm_config(&self, version: u64, at: Millis) -> bool {
        self.currency.lock().confirm(version, at)
    }

    /// The version in force and its age.
    pub fn config_age(&self) -> Option<(u64, Millis)> {
        let currency = *self.currency.lock();
        Some((currency.version()?, currency.age(self.now())?))
    }

    /// Whether keys can be believed now: they are current, or this deployment would
    /// rather serve by the last configuration known than not at all.
    pub fn are_keys_believed(&self) -> bool {
        let settings = self.settings();
        let bound = settings.keys_believed();
        let currency = *self.currency.lock();
        let is_known = currency.version().is_some();
        (is_known && !settings.bounds.refuse_stale_keys) || currency.is_within(self.now(), bound)
    }

    /// Where requests can be sent.
    pub fn table(&self) -> Arc<Table> {
        Arc::clone(&self.table.read())
    }

    /// Takes over what trouble with the list those had who read it for this node.
    pub fn hear_of_list_trouble(&self) {
        if self.is_reader() {
            return;
        }
        let settings = self.settings();
        let data_centre = settings.node.data_centre.as_str();
        let trouble_at = self.peers.lock().list_trouble_at(data_centre, self.now());
        if let Some(at) = trouble_at {
            self.list.lock().trust.on_trouble(at);
        }
    }

    /// Makes the table anew.
    pub fn remake_table(&self) {
        self.hear_of_list_trouble();
        let Some(catalog) = self.catalog() else { return };
        let now = self.now();
        let list = self.list.lock();
        let table = Table::make(&catalog, &list.roster, &list.trust, now);
        let made = MadeTable { version: list.roster.version(), at: now };
        drop(list);
        *self.table.write() = Arc::new(table);
        *self.made.lock() = made;
    }

    /// The list has changed: the table is made anew, at once or a moment later if that was
    /// just done. At a start the entries of hundreds of instances change many times a second.
    pub fn list_changed(&self) {
        let since = self.now().since(self.made.lock().at);
        if since >= TABLE_GAP {
            self.remake_table();
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
        let is_excusing = list.trust.may_lack(now);
        drop(list);
        if has_changed || is_excusing || now.since(made.at) >= TABLE_STANDS {
            self.remake_table();
        }
    }

    /// Takes one repeat out of the budget of a service.
    pub fn take_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let nodes = self.peers.lock().may_be_there();
        let take = |budget: &mut Budget| (budget.take(now, nodes), budget.usage(now, nodes));
        let (is_taken, usage) = self.budget(service, take);
        if is_taken {
            self.metrics.count(Metric::Repeats);
        } else {
            self.metrics.count(Metric::RepeatsRefused);
            log_refusal(service, usage, nodes);
        }
        is_taken
    }

    /// Gives a repeat back to the budget of a service: it never left.
    pub fn give_back_repeat(&self, service: &ServiceName) {
        self.budget(service, Budget::give_back);
    }

    /// Until when a request is kept from all instances, if it is.
    pub fn held_until(&self, fingerprint: Fingerprint) -> Option<Millis> {
        match self.quarantine.lock().standing(fingerprint, self.now()) {
            Standing::Held(until) => Some(until),
            Standing::Free | Standing::Suspect => None,
        }
    }

    /// Whether one more end would keep a request from instances.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.lock().is_near(fingerprint, self.now())
    }

    /// The connection to a target broke while a request began there. Returns whether the
    /// target's end would keep that request from others. One that leaves with a plan ends
    /// for its own reasons.
    pub fn note_break(&self, job: &Job, target: &Target) -> bool {
        let now = self.now();
        let (domain, is_leaving) = {
            let list = self.list.lock();
            let instance = list.roster.life(&target.id).map(|entry| &entry.instance);
            let domain = instance.and_then(|instance| instance.domain.clone());
            (domain, instance.is_some_and(|instance| instance.is_leaving))
        };
        if is_leaving {
            return false;
        }
        let domain = domain.as_ref().map(|domain| domain.as_str());
        let place = quarantine::place(domain, target.data_centre.as_str());
        let life = quarantine::life(&target.id);
        self.change_quarantine(|known| known.on_break(job.subject(), life, place, now));
        self.is_suspect(job.fingerprint)
    }

    /// A life of an instance has ended.
    fn note_ended(&self, id: &Identity) {
        let now = self.now();
        self.change_quarantine(|known| known.on_ended(quarantine::life(id), now));
    }

    /// A request ran to its end.
    pub fn note_finished(&self, job: &Job) {
        let now = self.now();
        self.change_quarantine(|known| known.on_finished(job.fingerprint, now));
    }

    /// An operator lets a request go; whether it was known.
    pub fn release(&self, fingerprint: Fingerprint) -> bool {
        let now = self.now();
        self.change_quarantine(|known| known.clear(fingerprint, now))
    }

    /// Another node, or the store, says this of requests.
    pub fn hear_of_requests(&self, told: &[Known]) -> bool {
        let settings = self.settings();
        let is_relay = self.peers.lock().is_relay(&settings.own(), self.now());
        self.change_quarantine(|quarantine| {
            let news = told.iter().filter(|known| quarantine.take(known, is_relay));
            news.count() > 0
        })
    }

    /// Changes what is known of requests. What is news goes to the others at once, and
    /// whatever waits unread at an instance is looked at again.
    fn change_quarantine(&self, change: impl FnOnce(&mut Quarantine) -> bool) -> bool {
        let now = self.now();
        let mut quarantine = self.quarantine.lock();
        if !change(&mut quarantine) {
            return false;
        }
        let held = quarantine.newly_held(now);
        let is_telling = quarantine.has_news();
        drop(quarantine);
        if !held.is_empty() {
            log_held(&held, now);
            self.suspicion_changed.send_modify(|version| *version += 1);
        }
        self.keep_wanted.notify_one();
        if is_telling {
            self.pulse_wanted.notify_one();
        }
        true
    }

    /// Whether what the store keeps of requests was read, or is not waited for.
    pub fn is_quarantine_read(&self) -> bool {
        self.is_quarantine_read.load(Ordering::Relaxed)
    }

    /// What the store keeps of requests has been read, or is not waited for any more.
    pub fn quarantine_read(&self) {
        self.is_quarantine_read.store(true, Ordering::Relaxed);
    }

    /// Counts a request towards the budget of a service.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.budget(service, |budget| budget.on_request(now));
    }

    fn budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        if !budgets.contains_key(service) {
            budgets.insert(service.clone(), self.new_budget());
        }
        act(budgets.get_mut(service).expect("it was just put in"))
    }

    fn new_budget(&self) -> Budget {
        let settings = self.settings();
        if settings.node.is_first_start {
            return Budget::new(settings.budget());
        }
        Budget::of_later_start(settings.budget(), self.began)
    }

    /// How sure it is that an instance is lost.
    pub fn loss(&self, id: &Identity) -> Loss {
        let peers = self.peers.lock().heard(self.now()).count();
        self.suspicions.lock().loss(id, peers)
    }

    /// Whether a member of a target's group cannot be reached from here, or by
    /// anybody.
    pub fn is_in_doubt(&self, target: &Target) -> bool {
        self.in_doubt(target).is_some()
    }

    /// Whether another life has begun at a target's id.
    pub fn is_superseded(&self, target: &Target) -> bool {
        self.suspicions.lock().is_superseded(&target.id)
    }

    /// The first member of a target's group that cannot be reached.
    pub fn in_doubt(&self, target: &Target) -> Option<SmolStr> {
        let suspicions = self.suspicions.lock();
        let is_out = |member: &&Arc<Instance>| suspicions.is_out_of_reach(&member.identity);
        let doubted = target.members.iter().find(is_out);
        doubted.map(|member| SmolStr::new(member.identity.as_str()))
    }

    /// What this node's own try to reach an instance showed; tells the others, and asks
    /// them unless another one has.
    pub fn on_reach(&self, id: &Identity, address: &SmolStr, reach: Reach) {
        let is_first = !self.suspicions.lock().is_seen_by_others(id);
        let is_asking = reach != Reach::Answers && is_first;
        let asks = if is_asking { Ask::Witnesses } else { Ask::Nobody };
        if self.note_reach(id, reach) {
            self.probe(id, address, ProbeTask::Tell { reach, asks });
        }
    }

    /// Notes what this node's own try showed; whether that is news.
    pub fn note_reach(&self, id: &Identity, reach: Reach) -> bool {
        let now = self.now();
        let was = self.suspicions.lock().is_own(id);
        let is = reach != Reach::Answers;
        self.suspicions.lock().on_own(id, reach, now);
        if was == is {
            return false;
        }
        if reach == Reach::Refused {
            self.note_ended(id);
        }
        let event = if is { Event::InstanceInDoubt } else { Event::InstanceBack };
        emit(event, &[("instance", id.as_str()), ("reach", &format!("{reach:?}"))]);
        self.suspicions_changed();
        true
    }

    /// Another life has begun at an instance's id: whoever waits for this one waits in vain.
    pub fn note_superseded(&self, life: &Identity) {
        self.suspicions.lock().on_superseded(life, self.now());
        self.note_ended(life);
        let began = life.incarnation.to_string();
        emit(Event::InstanceBeganAnew, &[("instance", life.as_str()), ("ended", &began)]);
        self.suspicions_changed();
    }

    /// Has something done about an instance in doubt.
    pub fn probe(&self, id: &Identity, address: &SmolStr, task: ProbeTask) {
        // The one who takes probes lives as long as the node.
        let _ = self.probes.send(Probe { id: id.clone(), address: address.clone(), task });
    }

    /// Whether this node tries an instance for all nodes when one of them asks: a few of
    /// each data centre do, and whoever may have to act on it.
    pub fn is_witness(&self, id: &Identity) -> bool {
        let acts = self.lease.lock().acts_by().is_some();
        let settings = self.settings();
        let now = self.now();
        let peers = self.peers.lock();
        are_few(&peers, now)
            || acts
            || peers.is_witness(&settings.own(), short_id(id), WITNESSES, now)
    }

    /// Whether all nodes were asked whether they reach an instance, and have had the time to
    /// answer; the first question has that begun. Few nodes are all asked from the start.
    pub fn were_all_asked(&self, id: &Identity, address: &SmolStr) -> bool {
        let now = self.now();
        if are_few(&self.peers.lock(), now) {
            return true;
        }
        let mut all_asked = self.all_asked.lock();
        all_asked.retain(|_, at| now.since(*at) < ASKED_FOR);
        let at = all_asked.get(id).copied();
        if at.is_none() {
            all_asked.insert(id.clone(), now);
            let task = ProbeTask::Tell { reach: Reach::Silent, asks: Ask::All };
            self.probe(id, address, task);
        }
        at.is_some_and(|at| now.since(at) >= ALL_ANSWER)
    }

    /// Whether an instance is to be tried because another node asks: not if it was
    /// just now, for the same reason.
    pub fn note_asked(&self, id: &Identity) -> bool {
        let now = self.now();
        let mut asked = self.asked.lock();
        asked.retain(|_, at| now.since(*at) < ASKED_AGAIN);
        if asked.contains_key(id) {
            return false;
        }
        asked.insert(id.clone(), now);
        true
    }

    /// Whether another target of the same kind has room for one more.
    pub fn has_room_beside(&self, target: &Target) -> bool {
        let table = self.table();
        let others = table.like(target);
        let mut others = others.filter(|other| other.id != target.id);
        others.any(|other| {
            self.loads.of(&other.id).requests < other.slots && !self.is_in_doubt(other)
        })
    }

    /// Whether a target's members were all tried just now.
    pub fn was_looked_at(&self, id: &Identity) -> bool {
        let now = self.now();
        self.looks.lock().get(id).is_some_and(|at| now.since(*at) < LOOK_GOOD_FOR)
    }

    /// A target's members were all tried.
    pub fn note_look(&self, id: &Identity) {
        let now = self.now();
        let mut looks = self.looks.lock();
        looks.retain(|_, at| now.since(*at) < LOOK_GOOD_FOR);
        looks.insert(id.clone(), now);
    }

    /// Wakes whoever waits on an instance that may be lost.
    pub fn suspicions_changed(&self) {
        self.suspicion_changed.send_modify(|version| *version += 1);
        self.steward_wanted.notify_one();
    }

    /// What is asked of this node by model, a second, and which part of it is seen.
    pub fn own_work(&self) -> (Vec<(SmolStr, Work)>, f64) {
        let now = self.now();
        let demand = self.demand.lock();
        (demand.all(self.usual_events(), now), demand.seen_part(now))
    }

    /// What is asked of all nodes of the models of `engine`.
    pub fn work(&self, engine: &Engine) -> Asked {
        let (own, seen_part) = self.own_work();
        let now = self.now();
        let peers = self.peers.lock();
        let sums = peers.sums(now);
        let holds_own = peers.sums_hold_own(now);
        drop(peers);
        let seen_part = seen_part.max(f64::from(sums.seen_percent) / 100.0);
        let mut by_name = sums.work().clone();
        for (model, work) in own.iter().filter(|_| !holds_own) {
            let sum = by_name.entry(short_name(model)).or_default();
            *sum = sum.and(*work);
        }
        let of = |name: &ModelName| by_name.get(&short_name(name.as_str())).copied();
        let names = engine.models.iter().map(|shape| &shape.name);
        let by_model = names.map(|name| (name.clone(), of(name).unwrap_or_default())).collect();
        Asked { by_model, seen_part }
    }

    /// Events of an answer, as the operator expects them.
    pub fn usual_events(&self) -> f64 {
        let engine = |catalog: Arc<Catalog>| {
            let engines = catalog.upstreams.values().filter_map(|up| up.engine.as_ref());
            let events = engines.map(|e| e.usual_answer / f64::from(e.stride.max(1)));
            events.fold(1.0, f64::max)
        };
        self.catalog().map_or(1.0, engine)
    }

    /// Notes that a request came.
    pub fn saw_traffic(&self) {
        if !self.has_traffic.swap(true, Ordering::Relaxed) {
            self.pulse_wanted.notify_one();
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
        self.pulse_wanted.notify_one();
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
    pub fn take_nothing(&self) {
        self.takes_nothing.store(true, Ordering::Relaxed);
    }

    /// Whether a request of this kind is still taken by a node that is stopping: a
    /// stream may last longer than is left, and what is cut is lost.
    pub fn takes(&self, kind: Kind) -> bool {
        let takes_streams = !self.is_closing();
        !self.takes_nothing.load(Ordering::Relaxed) && (takes_streams || kind != Kind::Stream)
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
        if self.catalog().is_none() {
            return Err(NotReady::NoConfig);
        }
        if !self.are_keys_believed() {
            return Err(NotReady::StaleConfig);
        }
        if self.list.lock().next.is_none() {
            return Err(NotReady::NoList);
        }
        if self.table().is_empty() {
            return Err(NotReady::NoTargets);
        }
        if !self.is_quarantine_read() {
            return Err(NotReady::NoQuarantine);
        }
        Ok(())
    }

    /// Whether a part of the lease waits for a reading of the list that began later.
    pub fn wants_list_anew(&self) -> bool {
        let read_at = self.list.lock().read_at;
        self.lease.lock().parts.values().any(|tenure| tenure.wants_list(read_at))
    }

    /// How long ago this process began.
    pub fn age(&self) -> Millis {
        self.now().since(self.began)
    }

    /// Whether this node knows the others, as far as it can: there is nobody whom it could
    /// ask, or it hears of as many as those do whom it asked. At the very first start all
    /// nodes begin at once; each gives those before it in the order of all a moment, so that
    /// there is somebody to ask.
    pub fn is_settled(&self) -> bool {
        let settings = self.settings();
        let turn = (u64::from(rank(&settings.node.name)) * FIRST_START_SPREAD.0) >> u32::BITS;
        if settings.node.is_first_start && self.age() < Millis(turn) {
            return false;
        }
        !self.peers.lock().lacks_nodes(self.now())
    }

    /// Whether this node reads the store itself, or goes by what others read: with
    /// many nodes a few of them are enough.
    pub fn is_reader(&self) -> bool {
        !self.has_followers() || self.is_among_first(news::ROOTS)
    }

    /// Whether this node hears fewer than half of the others that may be there: then news
    /// that they tell each other may not come to it.
    pub fn hears_few(&self) -> bool {
        let peers = self.peers.lock();
        let others = peers.may_be_there() - 1;
        peers.heard(self.now()).count() * 2 < others
    }

    /// How long ago a reading of the list failed, in ms, if this node reads it: told to
    /// those who go by it.
    pub fn list_trouble(&self) -> Option<u32> {
        if !self.is_reader() {
            return None;
        }
        let trouble_at = self.list.lock().trust.trouble_at();
        let age = trouble_at.and_then(|at| u32::try_from(self.now().since(at).0).ok());
        Some(age.unwrap_or(LIST_TROUBLE_MOST).min(LIST_TROUBLE_MOST))
    }

    fn is_among_first(&self, most: usize) -> bool {
        let settings = self.settings();
        let data_centre = settings.node.data_centre.as_str();
        self.peers.lock().is_among(&settings.node.name, data_centre, most, self.now())
    }

    /// Whether there are nodes that go by what others read.
    pub fn has_followers(&self) -> bool {
        self.peers.lock().heard(self.now()).count() >= ALL_READ
    }

    /// The store answered a question that was sent at `sent`; what it says.
    ///
    /// # Errors
    ///
    /// [`StoreError::Earlier`]: nothing, for it is of a past that is over.
    pub fn take_answer<T>(&self, answer: Answer<T>, sent: Millis) -> Result<T, StoreError> {
        let (said, has_returned) = self.pasts.take(answer, sent, self.now())?;
        if has_returned {
            self.store_returned();
        }
        Ok(said)
    }

    /// Another node has known this past of the store since `since`.
    pub fn hear_of_past(&self, era: Era, since: Millis) {
        if self.pasts.hear(era, since) == Heard::Risen {
            self.store_returned();
        }
    }

    /// The store has come back from a copy. What this node holds of it stands, but is read
    /// anew, and what was kept there and may be lost is kept again.
    fn store_returned(&self) {
        emit(Event::StoreReturned, &[("era", &self.pasts.era().to_string())]);
        if self.keeps_anew() {
            self.quarantine.lock().keep_all();
            self.keep_wanted.notify_one();
        }
        self.pulse_wanted.notify_one();
        self.lease_wanted.notify_one();
        self.list_wanted.notify_one();
        self.list_wanted_anew.notify_one();
        self.config_wanted_anew.notify_one();
    }

    /// Whether this node writes again what the store has lost: two of each data centre do,
    /// so that one of them may be gone, and hundreds do not write the same.
    pub fn keeps_anew(&self) -> bool {
        self.is_among_first(KEEPERS)
    }

    /// Whether a configuration that the store gave may be one of its past: after a return
    /// from a copy others may hold a newer one, whom a node that starts has not heard yet.
    pub fn is_surpassed(&self, version: u64) -> bool {
        if self.pasts.era() == Era::default() {
            return false;
        }
        let is_new = !self.settings().node.is_first_start && self.age() < HEARS_WITHIN;
        let now = self.now();
        let (newest, is_alone) = {
            let peers = self.peers.lock();
            (peers.newest_config(now), peers.heard(now).next().is_none())
        };
        let is_held = self.config_age().is_some_and(|(held, _)| held >= version);
        !is_held && (newest > Some(version) || (is_new && (is_alone || !self.is_settled())))
    }

    /// How long ago a question was sent that the store answered.
    pub fn store_age(&self) -> Millis {
        self.now().since(self.pasts.answered())
    }
}

/// Whether there are so few nodes that all of them try a silent instance.
fn are_few(peers: &Peers, now: Millis) -> bool {
    peers.heard(now).count() < FEW_NODES
}

fn log_held(held: &[(Known, Millis)], now: Millis) {
    for (known, until) in held {
        let Subject { fingerprint, caller } = known.subject;
        emit(
            Event::RequestHeld,
            &[
                ("fingerprint", &fingerprint.to_string()),
                ("caller", &format!("{caller:08x}")),
                ("ended", &known.ends.len().to_string()),
                ("for_s", &(until.since(now).0 / 1_000).to_string()),
            ],
        );
    }
}

fn log_refusal(service: &ServiceName, usage: Usage, nodes: usize) {
    emit(
        Event::RepeatRefused,
        &[
            ("service", service.as_str()),
            ("requests", &usage.requests.to_string()),
            ("repeats", &usage.repeats.to_string()),
            ("allowed", &format!("{:.1}", usage.allowed)),
            ("nodes", &nodes.to_string()),
        ],
    );
}

/// A request under way.
pub struct RequestGuard(Arc<Node>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
