//! Store, instances and the ways to them, and what befalls these.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::task::JoinHandle;
use workshold_platform_standin::deployment::config_with;
use workshold_platform_standin::instance::Identity;
use workshold_platform_standin::instance::InstanceBehaviour;
use workshold_platform_standin::instance::StandInInstance;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::store::StandInStore;

/// An entry of the list disappears this long after its instance fell silent.
const ENTRY_TTL: Duration = Duration::from_secs(3);
/// An instance that leaves serves on for this long.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// A member that leaves stays for this long at most while the head of its group works.
const MEMBER_STAY_MAX: Duration = Duration::from_secs(10);
/// Until the last bytes of an answer are out.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// An instance that starts again under its id is back by then.
const RESTART_TIME_MAX: Duration = Duration::from_millis(1_500);
/// One clock in so many goes back by this between two lives; and one life in so many
/// leaves words behind that come this much after the first of the next.
const CLOCK_BACK_ONE_IN: usize = 10;
const CLOCK_BACK_MS: u64 = 3_000;
const STALE_ENTRY_ONE_IN: usize = 3;
const STALE_ENTRY_DELAY: Duration = Duration::from_millis(300);
/// How often it is looked whether engines have ended, and when they come back.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(10);
const CRASH_DOWNTIME: Duration = Duration::from_millis(4_000);
/// How often an instance looks whether its entry says what it does.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(1_200);

/// How large the deployment is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Fabric domains.
    pub domains: usize,
    /// Engines in each.
    pub engines: usize,
    /// Engines of a group.
    pub group: usize,
    /// Instances of the plain service.
    pub gates: usize,
}

/// A key, and when configurations with and without it were acknowledged.
#[derive(Debug, Clone)]
pub struct Key {
    /// Its text.
    pub text: String,
    /// The version that brought it.
    pub since_version: u64,
    /// When that was acknowledged.
    pub since: Instant,
    /// The version that took it away, and when that was acknowledged.
    pub revoked: Option<(u64, Instant)>,
}

/// Where an instance listens, and where the list says it does.
struct Slot {
    instance: StandInInstance,
    link: Proxy,
    domain: Option<String>,
    service: &'static str,
}

/// All that nodes talk to.
pub struct Fleet {
    /// The store.
    pub store: Arc<StandInStore>,
    slots: Mutex<Vec<Arc<tokio::sync::Mutex<Slot>>>>,
    engines: usize,
    size: Size,
    keys: Mutex<Vec<Key>>,
    incarnations: Mutex<u64>,
    /// How new lives treat requests.
    behaviour: Mutex<InstanceBehaviour>,
    /// When instances stated that they will end.
    leaving: Mutex<BTreeMap<String, Instant>>,
}

/// The first version, and what each new one adds.
const FIRST_VERSION: u64 = 1;
const VERSION_STEP: u64 = 3;
/// Keys in force at once.
const KEYS_IN_FORCE: usize = 2;

impl Fleet {
    /// Starts store and instances.
    pub async fn start(size: Size) -> Arc<Self> {
        let store = Arc::new(StandInStore::start().await);
        let first = Key {
            text: "key-1".to_owned(),
            since_version: FIRST_VERSION,
            since: Instant::now(),
            revoked: None,
        };
        store.configure(&config_with(FIRST_VERSION, &["key-1"], size.group));
        let fleet = Arc::new(Self {
            store,
            slots: Mutex::default(),
            engines: size.domains * size.engines,
            size,
            keys: Mutex::new(vec![first]),
            incarnations: Mutex::default(),
            behaviour: Mutex::new(InstanceBehaviour::Normal),
            leaving: Mutex::default(),
        });
        for i in 0..fleet.engines {
            let domain = format!("a-d{}", i / size.engines);
            let seat = fleet.start_slot("llm", Some(domain)).await;
            fleet.slots.lock().push(Arc::new(tokio::sync::Mutex::new(seat)));
        }
        for _ in 0..size.gates {
            let seat = fleet.start_slot("gate", None).await;
            fleet.slots.lock().push(Arc::new(tokio::sync::Mutex::new(seat)));
        }
        fleet
    }

    /// A new life at a new address.
    async fn start_slot(&self, service: &'static str, domain: Option<String>) -> Slot {
        let incarnation = {
            let mut incarnations = self.incarnations.lock();
            *incarnations += 1;
            *incarnations
        };
        let link = Proxy::start();
        let identity = Identity {
            domain: domain.clone(),
            listed: Some(link.address),
            staged: Vec::new(),
            ..Identity::simple(&format!("i-{service}-{incarnation}"), service)
        };
        let instance = StandInInstance::start(identity, &self.store).await;
        instance.set_behaviour(*self.behaviour.lock());
        link.set_target(Some(instance.address()));
        Slot { instance, link, domain, service }
    }

    fn pick(&self, from: usize, to: usize, target: usize) -> Arc<tokio::sync::Mutex<Slot>> {
        let slots = self.slots.lock();
        Arc::clone(&slots[from + target % (to - from)])
    }

    fn engine(&self, target: usize) -> Arc<tokio::sync::Mutex<Slot>> {
        self.pick(0, self.engines, target)
    }

    fn any_instance(&self, target: usize) -> Arc<tokio::sync::Mutex<Slot>> {
        self.pick(0, self.engines + self.size.gates, target)
    }

    /// An engine crashes, and a new life of it comes.
    pub async fn crash_engine(&self, target: usize, duration: Duration) {
        self.crash(self.engine(target), duration).await;
    }

    /// An engine crashes and starts again at its address under its id, before its entry is
    /// gone; its host keeps what it had. Now and then its last life's words come once more.
    pub async fn restart_engine(&self, target: usize, duration: Duration) {
        let seat = self.engine(target);
        let mut seat = seat.lock().await;
        let last_entry = self.store.newest("keyed.servers", seat.instance.name());
        seat.instance.crash();
        seat.link.set_target(None);
        tokio::time::sleep(duration.min(RESTART_TIME_MAX)).await;
        let last = seat.instance.identity();
        let born = match target % CLOCK_BACK_ONE_IN {
            0 => last.born.map(|born| born - CLOCK_BACK_MS),
            _ => last.born.map(|born| born + 1 + duration.as_millis() as u64),
        };
        let next = StandInInstance::start(Identity { born, ..last }, &self.store).await;
        next.set_behaviour(*self.behaviour.lock());
        seat.link.set_target(Some(next.address()));
        seat.instance = next;
        if let Some(entry) = last_entry.filter(|_| target % STALE_ENTRY_ONE_IN == 1) {
            tokio::time::sleep(STALE_ENTRY_DELAY).await;
            self.store.put("keyed.servers", seat.instance.name(), &entry);
            tokio::time::sleep(CHECK_IN_INTERVAL).await;
            seat.instance.write_entry();
        }
    }

    /// A plain instance crashes, and a new life of it comes.
    pub async fn crash_plain_instance(&self, target: usize, duration: Duration) {
        let gate = self.pick(self.engines, self.engines + self.size.gates, target);
        self.crash(gate, duration).await;
    }

    /// All engines of a domain crash.
    pub async fn crash_domain(self: &Arc<Self>, target: usize, duration: Duration) {
        let first = target % self.size.domains * self.size.engines;
        let mut crashes = tokio::task::JoinSet::new();
        for i in first..first + self.size.engines {
            let fleet = Arc::clone(self);
            crashes.spawn(async move { fleet.crash_engine(i, duration).await });
        }
        crashes.join_all().await;
    }

    /// Engines that a request has ended refuse connections at once, as any process that is
    /// gone, and come back as another life; until this is given up.
    pub async fn replace_crashed(self: Arc<Self>) {
        let mut restarting = BTreeMap::new();
        loop {
            tokio::time::sleep(CRASH_POLL_INTERVAL).await;
            restarting.retain(|_, task: &mut JoinHandle<()>| !task.is_finished());
            for i in (0..self.engines).filter(|i| !restarting.contains_key(i)).collect::<Vec<_>>() {
                let seat = self.engine(i);
                let has_ended = seat.try_lock().is_ok_and(|seat| seat.instance.has_ended());
                if has_ended {
                    let fleet = Arc::clone(&self);
                    let task = tokio::spawn(async move { fleet.crash(seat, CRASH_DOWNTIME).await });
                    restarting.insert(i, task);
                }
            }
        }
    }

    async fn crash(&self, seat: Arc<tokio::sync::Mutex<Slot>>, duration: Duration) {
        let mut seat = seat.lock().await;
        seat.instance.crash();
        // Nothing listens there any more; what takes its place listens elsewhere.
        seat.link = Proxy::start();
        tokio::time::sleep(duration.min(ENTRY_TTL)).await;
        if duration >= ENTRY_TTL {
            seat.instance.drop_entry();
            tokio::time::sleep(duration - ENTRY_TTL).await;
        }
        let next = self.start_slot(seat.service, seat.domain.clone()).await;
        // The old life's entry disappears by itself, if it has not yet.
        let old = std::mem::replace(&mut *seat, next);
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_TTL).await;
            old.instance.drop_entry();
        });
    }

    /// Nobody reaches an engine for a while.
    pub async fn isolate_engine(&self, target: usize, duration: Duration) {
        let seat = self.engine(target);
        let seat = seat.lock().await;
        seat.instance.isolate();
        seat.link.set_state(LinkState::Silent).await;
        tokio::time::sleep(duration.min(ENTRY_TTL)).await;
        if duration >= ENTRY_TTL {
            seat.instance.drop_entry();
            tokio::time::sleep(duration - ENTRY_TTL).await;
        }
        seat.link.set_state(LinkState::Open).await;
        seat.instance.reconnect();
    }

    /// An instance treats requests or orders like this for a while.
    pub async fn set_behaviour(
        &self,
        target: usize,
        behaviour: InstanceBehaviour,
        duration: Duration,
    ) {
        let is_for_engines = matches!(
            behaviour,
            InstanceBehaviour::DelaysOrders(_) | InstanceBehaviour::TruncatesEvent
        );
        let seat = if is_for_engines { self.engine(target) } else { self.any_instance(target) };
        let seat = seat.lock().await;
        seat.instance.set_behaviour(behaviour);
        tokio::time::sleep(duration).await;
        seat.instance.set_behaviour(InstanceBehaviour::Normal);
    }

    /// An instance names a limit of so many tenths of a request a second for a while.
    pub async fn announce_rate_limit_for(&self, target: usize, tenths: u32, duration: Duration) {
        let seat = self.any_instance(target);
        let seat = seat.lock().await;
        seat.instance.announce_rate_limit(Some(&format!("{}.{}", tenths / 10, tenths % 10)));
        tokio::time::sleep(duration).await;
        seat.instance.announce_rate_limit(None);
    }

    /// An instance refuses all requests for a while and asks for so many tenths of a second of
    /// rest each time.
    pub async fn announce_retry_after_for(&self, target: usize, tenths: u32, duration: Duration) {
        let seat = self.any_instance(target);
        let seat = seat.lock().await;
        seat.instance.announce_retry_after(Some(&format!("{}.{}", tenths / 10, tenths % 10)));
        tokio::time::sleep(duration).await;
        seat.instance.announce_retry_after(None);
    }

    /// An instance says that it leaves in its answers alone; another life takes its place.
    pub async fn announce_departure(&self, target: usize, duration: Duration) {
        let seat = self.any_instance(target);
        let mut seat = seat.lock().await;
        seat.instance.announce_leaving();
        tokio::time::sleep(DRAIN_TIME + duration).await;
        self.replace(&mut seat).await;
    }

    /// An instance that leaves ends once it has finished what it has; another life comes.
    async fn replace(&self, seat: &mut Slot) {
        seat.instance.drop_entry();
        while seat.instance.streams() > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        seat.instance.crash();
        *seat = self.start_slot(seat.service, seat.domain.clone()).await;
    }

    /// Connections to an instance break.
    pub async fn reset(&self, target: usize) {
        self.any_instance(target).lock().await.link.reset();
    }

    /// An instance leaves, and another life takes its place.
    pub async fn drain(&self, target: usize, duration: Duration) {
        let seat = self.any_instance(target);
        let mut seat = seat.lock().await;
        seat.instance.drain();
        self.leaving.lock().insert(seat.instance.name().to_owned(), Instant::now());
        tokio::time::sleep(DRAIN_TIME + duration).await;
        self.replace(&mut seat).await;
    }

    /// All engines, and new lives of them, treat requests like this from here on.
    pub async fn set_engines_behaviour(&self, behaviour: InstanceBehaviour) {
        *self.behaviour.lock() = behaviour;
        for target in 0..self.engines {
            self.engine(target).lock().await.instance.set_behaviour(behaviour);
        }
    }

    /// An engine is replaced as planned: its next life comes first. The old one says that
    /// it will end or only leaves the list, later takes no more connections, and ends
    /// once it and the head of its group have finished what they had.
    pub async fn retire(&self, target: usize, is_announced: bool) {
        let seat = self.engine(target);
        let old = {
            let mut seat = seat.lock().await;
            let next = self.start_slot(seat.service, seat.domain.clone()).await;
            std::mem::replace(&mut *seat, next)
        };
        if is_announced {
            old.instance.drain();
        } else {
            old.instance.drop_entry();
        }
        self.leaving.lock().insert(old.instance.name().to_owned(), Instant::now());
        tokio::time::sleep(DRAIN_TIME).await;
        old.link.stop_listening();
        old.instance.stop_listening();
        let began = Instant::now();
        while old.instance.has_work() && began.elapsed() < MEMBER_STAY_MAX {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(FLUSH_TIME).await;
        old.instance.drop_entry();
        old.instance.crash();
    }

    /// A new configuration: one key more, the oldest taken away.
    pub fn new_config(&self) {
        let mut keys = self.keys.lock();
        let version = keys.last().map_or(FIRST_VERSION, |key| key.since_version) + VERSION_STEP;
        let text = format!("key-{version}");
        keys.push(Key { text, since_version: version, since: Instant::now(), revoked: None });
        let from = keys.len().saturating_sub(KEYS_IN_FORCE);
        let in_force: Vec<&str> = keys[from..].iter().map(|key| key.text.as_str()).collect();
        self.store.configure(&config_with(version, &in_force, self.size.group));
        let acknowledged = Instant::now();
        for key in keys[..from].iter_mut().filter(|key| key.revoked.is_none()) {
            key.revoked = Some((version, acknowledged));
        }
    }

    /// All keys that ever were.
    pub fn keys(&self) -> Vec<Key> {
        self.keys.lock().clone()
    }

    /// When instances stated that they will end.
    pub fn leaving(&self) -> BTreeMap<String, Instant> {
        self.leaving.lock().clone()
    }

    /// Streams that engines work on.
    pub async fn streams(&self) -> usize {
        let slots = self.slots.lock().clone();
        let mut streams = 0;
        for seat in slots {
            streams += seat.lock().await.instance.streams();
        }
        streams
    }
}
