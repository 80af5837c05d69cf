//! The stand-ins for the store and the instances, the links to them, and the faults of these.

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

/// An entry in the store's list disappears this long after its instance stops writing it.
const ENTRY_TTL: Duration = Duration::from_secs(3);
/// A draining instance still accepts requests for this long.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// A draining member waits at most this long for the head of its group to finish its work.
const MEMBER_STAY_MAX: Duration = Duration::from_secs(10);
/// Time for the last bytes of an answer to be sent.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// An instance that restarts under its id is back within this time.
const RESTART_TIME_MAX: Duration = Duration::from_millis(1_500);
/// In one restart in this many, the clock goes back by [`CLOCK_BACK_MS`] between two incarnations.
const CLOCK_BACK_ONE_IN: usize = 10;
const CLOCK_BACK_MS: u64 = 3_000;
/// In one restart in this many, the previous incarnation's entry is written again
/// [`STALE_ENTRY_DELAY`] after the first entry of the new incarnation.
const STALE_ENTRY_ONE_IN: usize = 3;
const STALE_ENTRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between checks for engines that a request has crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time until such an engine is replaced.
const CRASH_DOWNTIME: Duration = Duration::from_millis(4_000);
/// Share of answers without framing, in percent, in turn for the instances that are started.
const UNFRAMED_PERCENTS: [usize; 2] = [100, 50];
/// An instance that leaves early exits after this part of [`DRAIN_TIME`].
const EARLY_LEAVE_TIME: Duration = Duration::from_millis(700);
/// Interval at which an instance checks its own entry in the store's list.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(1_200);

/// Size of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of fabric domains.
    pub domains: usize,
    /// Number of engines per fabric domain.
    pub engines: usize,
    /// Number of engines per group.
    pub group: usize,
    /// Number of instances of the plain service, which has no groups.
    pub gates: usize,
}

/// An API key, and when the store acknowledged the configurations that added and revoked it.
#[derive(Debug, Clone)]
pub struct Key {
    /// The key as callers send it.
    pub text: String,
    /// Version of the configuration that added it.
    pub since_version: u64,
    /// When the store acknowledged that version.
    pub since: Instant,
    /// Version that revoked it and when the store acknowledged that; `None` while it is in force.
    pub revoked: Option<(u64, Instant)>,
}

/// An instance and the proxy whose address the store's list gives for it.
struct Slot {
    instance: StandInInstance,
    link: Proxy,
    domain: Option<String>,
    service: &'static str,
}

/// The store and all instances.
pub struct Fleet {
    /// Stand-in for the store.
    pub store: Arc<StandInStore>,
    slots: Mutex<Vec<Arc<tokio::sync::Mutex<Slot>>>>,
    engines: usize,
    size: Size,
    keys: Mutex<Vec<Key>>,
    incarnations: Mutex<u64>,
    /// Whether instances send answers without framing.
    with_unframed_answers: bool,
    /// Behaviour of instances that are started from now on.
    behaviour: Mutex<InstanceBehaviour>,
    /// When each draining or retired instance began to leave, by its name.
    leaving: Mutex<BTreeMap<String, Instant>>,
}

/// Version of the first configuration.
const FIRST_VERSION: u64 = 1;
/// Difference between the versions of successive configurations.
const VERSION_STEP: u64 = 3;
/// Number of keys in force at the same time.
const KEYS_IN_FORCE: usize = 2;

impl Fleet {
    /// Starts the store and the instances, which send most answers without framing if
    /// `with_unframed_answers` is set.
    pub async fn start(size: Size, with_unframed_answers: bool) -> Arc<Self> {
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
            with_unframed_answers,
            behaviour: Mutex::new(InstanceBehaviour::Normal),
            leaving: Mutex::default(),
        });
        for i in 0..fleet.engines {
            let domain = format!("a-d{}", i / size.engines);
            let slot = fleet.start_slot("llm", Some(domain)).await;
            fleet.slots.lock().push(Arc::new(tokio::sync::Mutex::new(slot)));
        }
        for _ in 0..size.gates {
            let slot = fleet.start_slot("gate", None).await;
            fleet.slots.lock().push(Arc::new(tokio::sync::Mutex::new(slot)));
        }
        fleet
    }

    /// Starts an instance under a new id and at a new address.
    async fn start_slot(&self, service: &'static str, domain: Option<String>) -> Slot {
        let name = self.new_name(service);
        let turn = *self.incarnations.lock() as usize;
        let link = Proxy::start();
        let identity = Identity {
            domain: domain.clone(),
            listed: Some(link.address),
            staged: Vec::new(),
            ..Identity::simple(&name, service)
        };
        let instance = self.start_instance(identity, turn).await;
        link.set_target(Some(instance.address()));
        Slot { instance, link, domain, service }
    }

    /// Starts an instance; `turn` picks its share of answers without framing.
    async fn start_instance(&self, identity: Identity, turn: usize) -> StandInInstance {
        let instance = StandInInstance::start(identity, &self.store).await;
        instance.set_behaviour(*self.behaviour.lock());
        if self.with_unframed_answers {
            instance.set_unframed_percent(UNFRAMED_PERCENTS[turn % UNFRAMED_PERCENTS.len()]);
        }
        instance
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

    /// An engine or an instance of the plain service, each in half of the cases, however few
    /// instances the latter has.
    fn either_kind(&self, target: usize) -> Arc<tokio::sync::Mutex<Slot>> {
        match target % 2 {
            1 => self.pick(self.engines, self.engines + self.size.gates, target / 2),
            _ => self.engine(target / 2),
        }
    }

    /// Crashes an engine, and replaces it after `duration`.
    pub async fn crash_engine(&self, target: usize, duration: Duration) {
        self.crash(self.engine(target), duration).await;
    }

    /// Crashes an engine and restarts it at the same address under the same id, before its entry
    /// expires; the state of its host is kept. At times the previous incarnation's entry is written
    /// once more.
    pub async fn restart_engine(&self, target: usize, duration: Duration) {
        let slot = self.engine(target);
        let mut slot = slot.lock().await;
        let last_entry = self.store.newest("keyed.servers", slot.instance.name());
        slot.instance.crash();
        slot.link.set_target(None);
        tokio::time::sleep(duration.min(RESTART_TIME_MAX)).await;
        let last = slot.instance.identity();
        let born = match target % CLOCK_BACK_ONE_IN {
            0 => last.born.map(|born| born - CLOCK_BACK_MS),
            _ => last.born.map(|born| born + 1 + duration.as_millis() as u64),
        };
        self.start_again(&mut slot, Identity { born, ..last }, target).await;
        if let Some(entry) = last_entry.filter(|_| target % STALE_ENTRY_ONE_IN == 1) {
            tokio::time::sleep(STALE_ENTRY_DELAY).await;
            self.store.put("keyed.servers", slot.instance.name(), &entry);
            tokio::time::sleep(CHECK_IN_INTERVAL).await;
            slot.instance.write_entry();
        }
    }

    /// Replaces an instance that has ended by another incarnation at its address.
    async fn start_again(&self, slot: &mut Slot, identity: Identity, turn: usize) {
        slot.instance = self.start_instance(identity, turn).await;
        slot.link.set_target(Some(slot.instance.address()));
    }

    /// Crashes an instance and restarts it at the same address at once. A plain instance gets a new
    /// id, as the platform gives one to each start; an engine keeps its id, since its report tells
    /// its lives apart.
    async fn restart_at_once(&self, slot: &mut Slot, turn: usize) {
        slot.instance.crash();
        let last = slot.instance.identity();
        let born = last.born.map(|born| born + 1);
        let name =
            if slot.domain.is_some() { last.name.clone() } else { self.new_name(slot.service) };
        let is_renamed = name != last.name;
        let old_name = last.name.clone();
        self.start_again(slot, Identity { name, born, ..last }, turn).await;
        if is_renamed {
            self.store.put("keyed.servers", &old_name, "");
        }
    }

    /// An id that no instance has had.
    fn new_name(&self, service: &str) -> String {
        let mut incarnations = self.incarnations.lock();
        *incarnations += 1;
        format!("i-{service}-{incarnations}")
    }

    /// Has an instance end in the middle of its next answer, or when `duration` is over, and
    /// restarts it at the same address at once.
    pub async fn end_in_answer(&self, target: usize, duration: Duration) {
        let slot = self.either_kind(target);
        let mut slot = slot.lock().await;
        slot.instance.set_behaviour(InstanceBehaviour::EndsInAnswer);
        let started_at = Instant::now();
        while !slot.instance.has_ended() && started_at.elapsed() < duration {
            tokio::time::sleep(CRASH_POLL_INTERVAL).await;
        }
        self.restart_at_once(&mut slot, target).await;
    }

    /// Crashes an instance that is sending an answer, if any is, and restarts it at the same
    /// address at once.
    pub async fn restart_busy(&self, target: usize) {
        for i in 0..self.engines.max(self.size.gates) {
            let slot = self.either_kind(target + 2 * i);
            let Ok(mut slot) = slot.try_lock() else { continue };
            if slot.instance.streams() > 0 {
                return self.restart_at_once(&mut slot, target).await;
            }
        }
    }

    /// Closes connections to an instance in the middle of response heads, or those to an engine
    /// in the middle of events, for `duration`.
    pub async fn cut_responses(&self, target: usize, how: LinkState, duration: Duration) {
        let is_for_engines = how == LinkState::CutsEvents;
        let slot = if is_for_engines { self.engine(target) } else { self.either_kind(target) };
        let slot = slot.lock().await;
        slot.link.set_state(how).await;
        tokio::time::sleep(duration).await;
        slot.link.set_state(LinkState::Open).await;
    }

    /// Drains an instance, which exits before the time is over, and replaces it after `duration`.
    pub async fn leave_early(&self, target: usize, duration: Duration) {
        let slot = self.either_kind(target);
        {
            let slot = slot.lock().await;
            slot.instance.drain();
            self.leaving.lock().insert(slot.instance.name().to_owned(), Instant::now());
            tokio::time::sleep(EARLY_LEAVE_TIME).await;
        }
        self.crash(slot, duration).await;
    }

    /// Crashes an instance of the plain service, and replaces it after `duration`.
    pub async fn crash_plain_instance(&self, target: usize, duration: Duration) {
        let gate = self.pick(self.engines, self.engines + self.size.gates, target);
        self.crash(gate, duration).await;
    }

    /// Crashes all engines of a fabric domain.
    pub async fn crash_domain(self: &Arc<Self>, target: usize, duration: Duration) {
        let first = target % self.size.domains * self.size.engines;
        let mut crashes = tokio::task::JoinSet::new();
        for i in first..first + self.size.engines {
            let fleet = Arc::clone(self);
            crashes.spawn(async move { fleet.crash_engine(i, duration).await });
        }
        crashes.join_all().await;
    }

    /// Replaces engines that a request has crashed, until the task is aborted. Such an engine
    /// refuses connections at once, like any process that has exited.
    pub async fn replace_crashed(self: Arc<Self>) {
        let mut restarting = BTreeMap::new();
        loop {
            tokio::time::sleep(CRASH_POLL_INTERVAL).await;
            restarting.retain(|_, task: &mut JoinHandle<()>| !task.is_finished());
            for i in (0..self.engines).filter(|i| !restarting.contains_key(i)).collect::<Vec<_>>() {
                let slot = self.engine(i);
                let has_ended = slot.try_lock().is_ok_and(|slot| slot.instance.has_ended());
                if has_ended {
                    let fleet = Arc::clone(&self);
                    let task = tokio::spawn(async move { fleet.crash(slot, CRASH_DOWNTIME).await });
                    restarting.insert(i, task);
                }
            }
        }
    }

    async fn crash(&self, slot: Arc<tokio::sync::Mutex<Slot>>, duration: Duration) {
        let mut slot = slot.lock().await;
        slot.instance.crash();
        // Nothing listens at the old address any more; the replacement gets a new one.
        slot.link = Proxy::start();
        tokio::time::sleep(duration.min(ENTRY_TTL)).await;
        if duration >= ENTRY_TTL {
            slot.instance.drop_entry();
            tokio::time::sleep(duration - ENTRY_TTL).await;
        }
        let next = self.start_slot(slot.service, slot.domain.clone()).await;
        // The old incarnation's entry expires, if it has not yet.
        let old = std::mem::replace(&mut *slot, next);
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_TTL).await;
            old.instance.drop_entry();
        });
    }

    /// Makes an engine unreachable for `duration` while it keeps running.
    pub async fn isolate_engine(&self, target: usize, duration: Duration) {
        let slot = self.engine(target);
        let slot = slot.lock().await;
        slot.instance.isolate();
        slot.link.set_state(LinkState::Silent).await;
        tokio::time::sleep(duration.min(ENTRY_TTL)).await;
        if duration >= ENTRY_TTL {
            slot.instance.drop_entry();
            tokio::time::sleep(duration - ENTRY_TTL).await;
        }
        slot.link.set_state(LinkState::Open).await;
        slot.instance.reconnect();
    }

    /// Sets the behaviour of an instance for `duration`; some behaviours apply to engines only.
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
        let slot = if is_for_engines { self.engine(target) } else { self.any_instance(target) };
        let slot = slot.lock().await;
        slot.instance.set_behaviour(behaviour);
        tokio::time::sleep(duration).await;
        slot.instance.set_behaviour(InstanceBehaviour::Normal);
    }

    /// Makes an instance announce a rate limit, in tenths of a request per second, for `duration`.
    pub async fn announce_rate_limit_for(&self, target: usize, tenths: u32, duration: Duration) {
        let slot = self.any_instance(target);
        let slot = slot.lock().await;
        slot.instance.announce_rate_limit(Some(&format!("{}.{}", tenths / 10, tenths % 10)));
        tokio::time::sleep(duration).await;
        slot.instance.announce_rate_limit(None);
    }

    /// Makes an instance refuse all requests for `duration`, each with a Retry-After in tenths of a
    /// second.
    pub async fn announce_retry_after_for(&self, target: usize, tenths: u32, duration: Duration) {
        let slot = self.any_instance(target);
        let slot = slot.lock().await;
        slot.instance.announce_retry_after(Some(&format!("{}.{}", tenths / 10, tenths % 10)));
        tokio::time::sleep(duration).await;
        slot.instance.announce_retry_after(None);
    }

    /// Makes an instance announce its departure in its answers only, and later replaces it.
    pub async fn announce_departure(&self, target: usize, duration: Duration) {
        let slot = self.any_instance(target);
        let mut slot = slot.lock().await;
        slot.instance.announce_leaving();
        tokio::time::sleep(DRAIN_TIME + duration).await;
        self.replace(&mut slot).await;
    }

    /// Stops an instance once it has finished its streams, and starts a replacement.
    async fn replace(&self, slot: &mut Slot) {
        slot.instance.drop_entry();
        while slot.instance.streams() > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        slot.instance.crash();
        *slot = self.start_slot(slot.service, slot.domain.clone()).await;
    }

    /// Resets all connections to an instance.
    pub async fn reset(&self, target: usize) {
        self.any_instance(target).lock().await.link.reset();
    }

    /// Drains an instance, and replaces it.
    pub async fn drain(&self, target: usize, duration: Duration) {
        let slot = self.any_instance(target);
        let mut slot = slot.lock().await;
        slot.instance.drain();
        self.leaving.lock().insert(slot.instance.name().to_owned(), Instant::now());
        tokio::time::sleep(DRAIN_TIME + duration).await;
        self.replace(&mut slot).await;
    }

    /// Sets the behaviour of all engines, including those that are started later.
    pub async fn set_engines_behaviour(&self, behaviour: InstanceBehaviour) {
        *self.behaviour.lock() = behaviour;
        for target in 0..self.engines {
            self.engine(target).lock().await.instance.set_behaviour(behaviour);
        }
    }

    /// Replaces an engine as planned work: the replacement starts first. The old engine announces
    /// its end (`is_announced`) or only drops its entry, then closes its listener, and exits once
    /// it and the head of its group have finished their work.
    pub async fn retire(&self, target: usize, is_announced: bool) {
        let slot = self.engine(target);
        let old = {
            let mut slot = slot.lock().await;
            let next = self.start_slot(slot.service, slot.domain.clone()).await;
            std::mem::replace(&mut *slot, next)
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
        let started_at = Instant::now();
        while old.instance.has_work() && started_at.elapsed() < MEMBER_STAY_MAX {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(FLUSH_TIME).await;
        old.instance.drop_entry();
        old.instance.crash();
    }

    /// Writes a new configuration with one more key, which revokes the oldest one in force.
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

    /// All keys that were ever configured, oldest first.
    pub fn keys(&self) -> Vec<Key> {
        self.keys.lock().clone()
    }

    /// When each draining or retired instance began to leave, by its name.
    pub fn leaving(&self) -> BTreeMap<String, Instant> {
        self.leaving.lock().clone()
    }

    /// Number of streams that instances are working on.
    pub async fn streams(&self) -> usize {
        let slots = self.slots.lock().clone();
        let mut streams = 0;
        for slot in slots {
            streams += slot.lock().await.instance.streams();
        }
        streams
    }
}
