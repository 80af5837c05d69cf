//! One seed from its start to its verdict.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use tokio::task::JoinSet;
use workshold_platform_standin::caller;
use workshold_platform_standin::instance::InstanceBehaviour;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::store::StoreBehaviour;

use crate::callers::Asked;
use crate::callers::Callers;
use crate::callers::Door;
use crate::callers::Seen;
use crate::fleet::Fleet;
use crate::fleet::Size;
use crate::judge;
use crate::judge::Breach;
use crate::judge::IN_FORCE_WITHIN;
use crate::judge::Promise;
use crate::judge::Record;
use crate::nodes::MOST_MEMORY_KB;
use crate::nodes::SoakNode;
use crate::plan;
use crate::plan::Fault;
use crate::plan::Kind;
use crate::plan::Limiting;
use crate::plan::Resting;
use crate::plan::Silence;

/// How a seed is played.
#[derive(Debug, Clone)]
pub struct Options {
    /// The nodes' program.
    pub binary: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// How large the deployment is.
    pub size: Size,
    /// Callers at once.
    pub callers: u64,
    /// How long faults come.
    pub length: Duration,
    /// Whether engines start again under their ids, beside all other faults.
    pub new_lives: bool,
    /// Whether the store comes back from copies, beside that.
    pub copies: bool,
    /// Whether a request that ends whoever begins to run it is asked at all nodes.
    pub ends_instances: bool,
    /// How long planned work comes, once faults are over.
    pub planned: Duration,
    /// How many silences of the store come after that, each with a new configuration.
    pub silences: usize,
    /// How many limits instances name after that.
    pub limits: usize,
    /// How many instances ask for rest or say that they leave, beside those.
    pub rests: usize,
    /// All has to be served again this long after the last fault.
    pub recovers_within: Duration,
}

/// What a seed showed.
#[derive(Debug)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// Broken promises; none is what is wanted.
    pub breaches: Vec<Breach>,
    /// Requests, and those that were served whole.
    pub requests: usize,
    /// Of these, served.
    pub served: usize,
    /// How long after the last fault all was served again.
    pub recovered_after: Option<Duration>,
    /// The largest node, in kilobytes.
    pub memory_kb: u64,
}

/// Why a seed could not be played.
#[derive(Debug, Display)]
pub enum SoakError {
    /// a node could not be started or its folder made: {0}
    Machine(io::Error),
    /// the nodes did not serve before any fault came; their logs are in {0}
    NeverServed(PathBuf),
}

impl std::error::Error for SoakError {}

/// All that a seed is played with.
struct Stage {
    fleet: Arc<Fleet>,
    nodes: Vec<tokio::sync::Mutex<SoakNode>>,
    ways: Vec<Proxy>,
    callers: Arc<Callers>,
    probes: AtomicU32,
    breaches: Mutex<Vec<Breach>>,
    hidden: Mutex<Vec<(Instant, Instant)>>,
}

/// The oldest copy that the store comes back from, and when others have written again what it
/// lost: at their next check-in.
const OLDEST_COPY: Duration = Duration::from_millis(3_000);
const WRITTEN_AGAIN: Duration = Duration::from_millis(900);
/// Nodes start within this, before any load.
const STARTS_WITHIN: Duration = Duration::from_secs(30);
/// Before and after faults, load runs in calm for this long.
const CALM: Duration = Duration::from_secs(1);
/// What a fault leaves behind in lists and leases.
const AFTERMATH: Duration = Duration::from_secs(4);
/// Work whose caller is gone has ended after this.
const ABANDONED_ENDS: Duration = Duration::from_millis(1_500);
const LATE_ORDERS: Duration = Duration::from_millis(3_000);
const SLOW_WAY: Duration = Duration::from_millis(300);
const SLOW_STORE: Duration = Duration::from_millis(240);
/// How often processes are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Plays a seed.
///
/// # Errors
///
/// [`SoakError`] if it could not be played at all.
pub async fn play(options: &Options, seed: u64) -> Result<Verdict, SoakError> {
    let stage = set_up(options, seed).await?;
    if !stage.all_serve(STARTS_WITHIN).await {
        return Err(SoakError::NeverServed(options.folder.clone()));
    }
    let mut load = JoinSet::new();
    for number in 0..options.callers {
        load.spawn(Arc::clone(&stage.callers).call(seed, number));
    }
    let looking = tokio::spawn(look_after(Arc::clone(&stage)));
    tokio::time::sleep(CALM).await;
    let began = Instant::now();
    let mut ending = JoinSet::new();
    if options.ends_instances {
        load.spawn(Arc::clone(&stage.callers).ask_for_ends(seed));
        ending.spawn(Arc::clone(&stage.fleet).replace_ended());
    }
    let draw = match options {
        Options { copies: true, .. } => plan::draw_with_copies,
        Options { new_lives: true, .. } => plan::draw_with_new_lives,
        _ => plan::draw,
    };
    befall(&stage, draw(seed, options.length)).await;
    let last = Instant::now();
    let is_well = stage.all_serve(options.recovers_within).await;
    let recovered_after = is_well.then(|| last.elapsed());
    tokio::time::sleep(AFTERMATH).await;
    let over = Instant::now();
    let (mut planned, mut silences) = (None, None);
    if is_well {
        if !options.planned.is_zero() {
            work_as_planned(&stage, plan::draw_planned(seed, options.planned)).await;
            planned = Some((over, Instant::now()));
        }
        if options.silences > 0 {
            let from = Instant::now();
            be_silent(&stage, plan::draw_silences(seed, options.silences)).await;
            silences = Some((from, Instant::now()));
        }
        let limits = be_limited(&stage, plan::draw_limits(seed, options.limits));
        tokio::join!(limits, be_resting(&stage, plan::draw_rests(seed, options.rests)));
        stop_each(&stage).await;
    }
    let memory_kb = stage.memory_kb().await;
    stage.callers.end();
    load.join_all().await;
    tokio::time::sleep(ABANDONED_ENDS).await;
    let streams = stage.fleet.streams().await;
    looking.abort();
    let mut breaches = std::mem::take(&mut *stage.breaches.lock());
    let mut add = |promise, what| breaches.push(Breach { promise, what });
    if !is_well {
        let within = options.recovers_within;
        add(Promise::Recovers, format!("not all is served {within:?} after the last fault"));
    }
    if memory_kb > MOST_MEMORY_KB {
        add(Promise::WithinMemory, format!("a node holds {memory_kb} kB"));
    }
    if streams > 0 {
        add(Promise::EndsAbandoned, format!("{streams} streams go on without a caller"));
    }
    let monitor = &stage.fleet.store.monitor;
    monitor.breaches().into_iter().for_each(|what| add(Promise::WholeGroups, what));
    monitor.overloads().into_iter().for_each(|what| add(Promise::KeepsToLimits, what));
    let record = Record {
        outcomes: stage.callers.outcomes(),
        runs: monitor.runs(),
        arrivals: monitor.arrivals(),
        keys: stage.fleet.keys(),
        leaving: stage.fleet.leaving(),
        faults: Some((began, over)),
        planned,
        silences,
        hidden: stage.hidden.lock().clone(),
    };
    breaches.extend(judge::judge(&record));
    let is_served = |seen: &Seen| matches!(seen, Seen::Answer { status: 200, .. });
    let served = record.outcomes.iter().filter(|outcome| is_served(&outcome.seen)).count();
    let requests = record.outcomes.len();
    Ok(Verdict { seed, breaches, requests, served, recovered_after, memory_kb })
}

async fn set_up(options: &Options, seed: u64) -> Result<Arc<Stage>, SoakError> {
    let folder = options.folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder).map_err(SoakError::Machine)?;
    let fleet = Fleet::start(options.size).await;
    let (mut nodes, mut ways) = (Vec::new(), Vec::new());
    for i in 0..options.size.nodes {
        let way = Proxy::start();
        way.set_target(Some(fleet.store.address));
        let mut node = make_node(&options.binary, &folder, i, &way);
        node.start().map_err(SoakError::Machine)?;
        nodes.push(node);
        ways.push(way);
    }
    let door = |node: &SoakNode| Door {
        callers: node.callers,
        directory: node.directory,
        life: node.lives,
    };
    let callers = Callers::new(Arc::clone(&fleet), nodes.iter().map(door).collect());
    let nodes = nodes.into_iter().map(tokio::sync::Mutex::new).collect();
    let (breaches, hidden) = (Mutex::default(), Mutex::default());
    let probes = AtomicU32::new(0);
    Ok(Arc::new(Stage { fleet, nodes, ways, callers, probes, breaches, hidden }))
}

fn make_node(binary: &Path, folder: &Path, i: usize, way: &Proxy) -> SoakNode {
    SoakNode::new(&format!("node-{i}"), binary, folder, way.address)
}

/// Looks whether processes end that nobody told to.
async fn look_after(stage: Arc<Stage>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        for (i, node) in stage.nodes.iter().enumerate() {
            // Whoever holds it is about to end or start it.
            let Ok(mut node) = node.try_lock() else { continue };
            if let Some(what) = node.look() {
                stage.breaches.lock().push(Breach { promise: Promise::KeepsRunning, what });
                stage.start(i, &mut node);
            }
        }
    }
}

/// Lets all faults come at their times, and waits until the last one is over.
async fn befall(stage: &Arc<Stage>, faults: Vec<Fault>) {
    let began = Instant::now();
    let mut under_way = JoinSet::new();
    for fault in faults {
        tokio::time::sleep(fault.at.saturating_sub(began.elapsed())).await;
        let stage = Arc::clone(stage);
        under_way.spawn(async move {
            let from = Instant::now();
            stage.carry_out(fault).await;
            // A leaving instance's word comes through the store, to nodes that run.
            let to = Instant::now() + AFTERMATH;
            if !fault.kind.is_planned() {
                stage.hidden.lock().push((from, to));
            }
        });
    }
    under_way.join_all().await;
}

/// Carries planned work out while engines are full, and waits until the last is over.
async fn work_as_planned(stage: &Arc<Stage>, work: Vec<Fault>) {
    stage.fleet.all_behave(InstanceBehaviour::Overloaded).await;
    befall(stage, work).await;
    stage.fleet.all_behave(InstanceBehaviour::Normal).await;
    tokio::time::sleep(AFTERMATH).await;
}

/// Lets the store be silent again and again, and writes a configuration after each return.
async fn be_silent(stage: &Arc<Stage>, silences: Vec<Silence>) {
    for Silence { lasts, then } in silences {
        stage.store(StoreBehaviour::Silent, lasts).await;
        tokio::time::sleep(then).await;
        stage.fleet.new_config();
        tokio::time::sleep(IN_FORCE_WITHIN + CALM).await;
    }
}

/// Lets instances name limits, several at once, and waits until all are lifted.
async fn be_limited(stage: &Arc<Stage>, limits: Vec<Limiting>) {
    let mut under_way = JoinSet::new();
    for Limiting { after, lasts, tenths, whom } in limits {
        tokio::time::sleep(after).await;
        let fleet = Arc::clone(&stage.fleet);
        under_way.spawn(async move { fleet.limit(whom, tenths, lasts).await });
    }
    under_way.join_all().await;
}

/// Lets instances refuse and ask for rest, or say that they leave.
async fn be_resting(stage: &Arc<Stage>, rests: Vec<Resting>) {
    let mut under_way = JoinSet::new();
    for Resting { after, lasts, tenths, whom } in rests {
        tokio::time::sleep(after).await;
        let fleet = Arc::clone(&stage.fleet);
        under_way.spawn(async move {
            match tenths {
                Some(tenths) => fleet.rest(whom, tenths, lasts).await,
                None => fleet.leave(whom, lasts).await,
            }
        });
    }
    under_way.join_all().await;
}

/// Stops one node after the other with a plan, and starts it again.
async fn stop_each(stage: &Arc<Stage>) {
    for (i, node) in stage.nodes.iter().enumerate() {
        let mut node = node.lock().await;
        node.signal(Signal::SIGTERM);
        if let Err(what) = node.wait_for_stop().await {
            stage.breaches.lock().push(Breach { promise: Promise::StopCutsNothing, what });
        }
        stage.start(i, &mut node);
        let began = Instant::now();
        while !node.is_ready().await && began.elapsed() < STARTS_WITHIN {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
}

impl Stage {
    fn node(&self, whom: usize) -> (usize, &tokio::sync::Mutex<SoakNode>) {
        let i = whom % self.nodes.len();
        (i, &self.nodes[i])
    }

    fn start(&self, i: usize, node: &mut SoakNode) {
        match node.start() {
            Ok(()) => self.callers.set_life(i, node.lives),
            Err(err) => {
                let what = format!("{} cannot be started: {err}", node.name);
                self.breaches.lock().push(Breach { promise: Promise::KeepsRunning, what });
            }
        }
    }

    async fn carry_out(self: &Arc<Self>, fault: Fault) {
        let Fault { lasts, whom, .. } = fault;
        match fault.kind {
            Kind::KillNode => self.kill(whom, lasts).await,
            Kind::KillAllNodes => {
                let mut kills = JoinSet::new();
                for i in 0..self.nodes.len() {
                    let stage = Arc::clone(self);
                    kills.spawn(async move { stage.kill(i, lasts).await });
                }
                kills.join_all().await;
            }
            Kind::FreezeNode => {
                let node = self.node(whom).1.lock().await;
                node.wait_for_begin().await;
                node.signal(Signal::SIGSTOP);
                tokio::time::sleep(lasts).await;
                node.signal(Signal::SIGCONT);
            }
            Kind::StopNode => self.stop(whom).await,
            Kind::HangUpNode => {
                let node = self.node(whom).1.lock().await;
                node.wait_for_begin().await;
                node.signal(Signal::SIGHUP);
            }
            Kind::CutNode => self.cut(whom, LinkState::Silent, lasts).await,
            Kind::CutNodeOneWay => self.cut(whom, LinkState::OneWay, lasts).await,
            Kind::SlowNode => self.cut(whom, LinkState::Slow(SLOW_WAY), lasts).await,
            Kind::ResetNode => self.ways[whom % self.ways.len()].reset(),
            Kind::StoreDown => self.store(StoreBehaviour::Down, lasts).await,
            Kind::StoreSilent => self.store(StoreBehaviour::Silent, lasts).await,
            Kind::StoreLosesAnswers => self.store(StoreBehaviour::LosesAnswers, lasts).await,
            Kind::StoreSlow => self.store(StoreBehaviour::Slow(SLOW_STORE), lasts).await,
            Kind::StoreForgets => self.fleet.store.compact(),
            Kind::DealAnew => self.fleet.store.reassign_partitions(),
            Kind::StoreReturns => {
                let age = lasts.min(OLDEST_COPY);
                self.fleet.store.restore_backup(age, WRITTEN_AGAIN);
            }
            Kind::CrashEngine => self.fleet.crash_engine(whom, lasts).await,
            Kind::BeginAnew => self.fleet.begin_anew(whom, lasts).await,
            Kind::CrashDomain => self.fleet.crash_domain(whom, lasts).await,
            Kind::DarkEngine => self.fleet.darken(whom, lasts).await,
            Kind::LateOrders => {
                self.fleet
                    .set_behaviour(whom, InstanceBehaviour::DelaysOrders(LATE_ORDERS), lasts)
                    .await
            }
            Kind::DrainInstance => self.fleet.drain(whom, lasts).await,
            Kind::CrashGate => self.fleet.crash_gate(whom, lasts).await,
            Kind::ResetInstance => self.fleet.reset(whom).await,
            Kind::BadAnswers => self.fleet.set_behaviour(whom, bad_manner(whom), lasts).await,
            Kind::NewConfig => self.fleet.new_config(),
            Kind::RetireEngine => self.fleet.retire(whom, true).await,
            Kind::RetireUnsaid => self.fleet.retire(whom, false).await,
        }
    }

    async fn kill(&self, whom: usize, lasts: Duration) {
        let (i, node) = self.node(whom);
        let mut node = node.lock().await;
        node.kill();
        tokio::time::sleep(lasts).await;
        self.start(i, &mut node);
    }

    async fn stop(&self, whom: usize) {
        let (i, node) = self.node(whom);
        let mut node = node.lock().await;
        node.wait_for_begin().await;
        node.signal(Signal::SIGTERM);
        if let Err(what) = node.wait_for_stop().await {
            self.breaches.lock().push(Breach { promise: Promise::StopCutsNothing, what });
        }
        self.start(i, &mut node);
    }

    async fn cut(&self, whom: usize, how: LinkState, lasts: Duration) {
        let way = &self.ways[whom % self.ways.len()];
        way.set_state(how).await;
        tokio::time::sleep(lasts).await;
        way.set_state(LinkState::Open).await;
    }

    async fn store(&self, behaviour: StoreBehaviour, lasts: Duration) {
        self.fleet.store.set_behaviour(behaviour);
        tokio::time::sleep(lasts).await;
        self.fleet.store.set_behaviour(StoreBehaviour::Normal);
    }

    /// Whether each node serves a stream and a print, soon enough.
    async fn all_serve(&self, within: Duration) -> bool {
        let began = Instant::now();
        loop {
            let mut serving = 0;
            for node in &self.nodes {
                let address = node.lock().await.callers;
                serving += usize::from(self.serves(address).await);
            }
            if serving == self.nodes.len() {
                return true;
            }
            if began.elapsed() > within {
                return false;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    async fn serves(&self, address: SocketAddr) -> bool {
        let Some(key) = self.fleet.keys().pop() else { return false };
        for asked in [Asked::Chat, Asked::Print] {
            let count = self.probes.fetch_add(1, Ordering::Relaxed);
            let id = format!("probe-{count}");
            let sent = Instant::now();
            let req = caller::request(&id, &asked.path(&id), &key.text);
            let got = caller::send(address, req).await;
            let is_served = got.as_ref().is_ok_and(|(res, _)| res.status() == 200);
            self.callers.note_probe(id, asked, &key.text, sent);
            if !is_served {
                return false;
            }
        }
        true
    }

    async fn memory_kb(&self) -> u64 {
        let mut most = 0;
        for node in &self.nodes {
            most = most.max(node.lock().await.memory_kb().unwrap_or_default());
        }
        most
    }
}

/// One of the ways in which answers go wrong.
fn bad_manner(whom: usize) -> InstanceBehaviour {
    const MANNERS: [InstanceBehaviour; 7] = [
        InstanceBehaviour::Refuses,
        InstanceBehaviour::Breaks,
        InstanceBehaviour::Fails,
        InstanceBehaviour::NoStamp,
        InstanceBehaviour::WrongRequestId,
        InstanceBehaviour::TruncatesEvent,
        InstanceBehaviour::Slow,
    ];
    MANNERS[whom / 7 % MANNERS.len()]
}
