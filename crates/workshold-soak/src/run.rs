//! Runs one seed: starts the deployment, injects the faults and judges the result.

use std::io;
use std::net::SocketAddr;
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
use workshold_platform_standin::egress::EgressProxy;
use workshold_platform_standin::instance::InstanceBehaviour;
use workshold_platform_standin::path::PathState;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::store::StoreBehaviour;

use crate::callers::CallerResult;
use crate::callers::Callers;
use crate::callers::CrashCause;
use crate::callers::NodeEndpoint;
use crate::callers::RequestKind;
use crate::fleet::Fleet;
use crate::fleet::Size;
use crate::judge;
use crate::judge::Breach;
use crate::judge::CONFIG_PROPAGATION_TIMEOUT;
use crate::judge::CutOffPeriod;
use crate::judge::Promise;
use crate::judge::Record;
use crate::nodes::MEMORY_MAX_KB;
use crate::nodes::SoakNode;
use crate::plan;
use crate::plan::Fault;
use crate::plan::FaultKind;
use crate::plan::PathLoss;
use crate::plan::RateLimitFault;
use crate::plan::RetryAfterFault;
use crate::plan::StoreSilence;

/// Options of a run; the same for every seed.
#[derive(Debug, Clone)]
pub struct Options {
    /// Executable of the nodes.
    pub binary: PathBuf,
    /// Directory for settings and logs, with one subdirectory per seed.
    pub folder: PathBuf,
    /// Size of the deployment.
    pub size: Size,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Length of the period in which faults start.
    pub length: Duration,
    /// Whether engines also restart under their ids, in addition to the other faults.
    pub with_engine_restarts: bool,
    /// Whether the store is also restored from backups; this includes `with_engine_restarts`.
    pub with_store_restores: bool,
    /// Whether instances send most answers without framing, and faults that concern these come
    /// between the others; this includes `with_engine_restarts`.
    pub with_unframed_answers: bool,
    /// Whether requests that crash any instance which runs them are sent to all nodes.
    pub with_crashing_requests: bool,
    /// Whether requests that share a prompt part which crashes any instance are sent to all nodes.
    pub with_crashing_parts: bool,
    /// Length of the period of planned work after the faults.
    pub planned: Duration,
    /// Number of silences of the store after the planned work, each followed by a new
    /// configuration.
    pub silences: usize,
    /// Number of rate limits that instances announce after the silences.
    pub limits: usize,
    /// Number of instances that send Retry-After or announce a departure during the rate limits.
    pub retry_after_faults: usize,
    /// Number of times that some nodes lose their paths to all instances, after the planned work.
    pub path_losses: usize,
    /// Every node has to serve again within this time after the last fault.
    pub recovers_within: Duration,
}

/// Result of a seed.
#[derive(Debug)]
pub struct Verdict {
    /// The seed that was run.
    pub seed: u64,
    /// Broken promises; empty if the seed passed.
    pub breaches: Vec<Breach>,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests answered with status 200.
    pub served: usize,
    /// Time from the last fault until every node served again; `None` if that took too long.
    pub recovered_after: Option<Duration>,
    /// Resident memory of the largest node, in kilobytes.
    pub memory_kb: u64,
}

/// Why a seed could not be run.
#[derive(Debug, Display)]
pub enum SoakError {
    /// a node could not be started or its folder made: {0}
    Machine(io::Error),
    /// the nodes did not serve before any fault came; their logs are in {0}
    NeverServed(PathBuf),
}

impl std::error::Error for SoakError {}

/// The deployment that a seed runs against, and what is recorded on the side.
struct Harness {
    fleet: Arc<Fleet>,
    nodes: Vec<tokio::sync::Mutex<SoakNode>>,
    links: Vec<Proxy>,
    /// The proxy of each node through which it reaches instances; empty if paths are never lost.
    egresses: Vec<EgressProxy>,
    callers: Arc<Callers>,
    probes: AtomicU32,
    breaches: Mutex<Vec<Breach>>,
    visibility_faults: Mutex<Vec<(Instant, Instant)>>,
    cut_off: Mutex<Vec<CutOffPeriod>>,
}

/// Maximum age of the backup that the store is restored from.
const BACKUP_AGE_MAX: Duration = Duration::from_millis(3_000);
/// Time until instances write the lost entries again, at their next check-in.
const REWRITE_DELAY: Duration = Duration::from_millis(900);
/// Time for nodes to start serving, before any load.
const NODE_START_TIMEOUT: Duration = Duration::from_secs(30);
/// Load runs without faults for this long before the first fault and after each configuration.
const FAULT_FREE_PERIOD: Duration = Duration::from_secs(1);
/// Time until the effects of a fault on lists and leases are gone.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time within which work whose caller has disconnected has to end.
const ABANDONED_WORK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How late an engine executes orders under [`FaultKind::DelayOrders`].
const ORDER_DELAY: Duration = Duration::from_millis(3_000);
/// Delay of a link under [`FaultKind::SlowNode`].
const SLOW_LINK_DELAY: Duration = Duration::from_millis(300);
/// Delay of each answer under [`FaultKind::StoreSlow`].
const SLOW_STORE_DELAY: Duration = Duration::from_millis(240);
/// How long nodes stay suspended after an instance has restarted unseen.
const UNSEEN_TIME: Duration = Duration::from_millis(200);
/// Time until a node without paths has its peers forward for it.
const FORWARDING_TIME: Duration = Duration::from_millis(1_500);
/// Interval between checks of processes and readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a seed and judges it.
///
/// # Errors
///
/// [`SoakError`] if it could not be run at all.
pub async fn play(options: &Options, seed: u64) -> Result<Verdict, SoakError> {
    let harness = set_up(options, seed).await?;
    if !harness.all_serve(NODE_START_TIMEOUT).await {
        return Err(SoakError::NeverServed(options.folder.clone()));
    }
    let mut load = JoinSet::new();
    for number in 0..options.callers {
        load.spawn(Arc::clone(&harness.callers).call(seed, number));
    }
    let watcher = tokio::spawn(watch_processes(Arc::clone(&harness)));
    tokio::time::sleep(FAULT_FREE_PERIOD).await;
    let started_at = Instant::now();
    let mut ending = JoinSet::new();
    let crash_causes = [
        (options.with_crashing_requests, CrashCause::Content),
        (options.with_crashing_parts, CrashCause::PromptPart),
    ];
    for (_, cause) in crash_causes.into_iter().filter(|(is_sent, _)| *is_sent) {
        load.spawn(Arc::clone(&harness.callers).send_crash_requests(seed, cause));
    }
    if options.with_crashing_requests || options.with_crashing_parts {
        ending.spawn(Arc::clone(&harness.fleet).replace_crashed());
    }
    let draw = match options {
        Options { with_unframed_answers: true, .. } => plan::draw_with_unframed,
        Options { with_store_restores: true, .. } => plan::draw_with_restores,
        Options { with_engine_restarts: true, .. } => plan::draw_with_restarts,
        _ => plan::draw,
    };
    inject_faults(&harness, draw(seed, options.length)).await;
    let last = Instant::now();
    let has_recovered = harness.all_serve(options.recovers_within).await;
    let recovered_after = has_recovered.then(|| last.elapsed());
    tokio::time::sleep(SETTLE_TIME).await;
    let faults_ended_at = Instant::now();
    let (mut planned, mut silences) = (None, None);
    if has_recovered {
        if !options.planned.is_zero() {
            run_planned_work(&harness, plan::draw_planned(seed, options.planned)).await;
            planned = Some((faults_ended_at, Instant::now()));
        }
        run_path_losses(&harness, plan::draw_path_losses(seed, options.path_losses)).await;
        if options.silences > 0 {
            let from = Instant::now();
            run_store_silences(&harness, plan::draw_silences(seed, options.silences)).await;
            silences = Some((from, Instant::now()));
        }
        let limits = run_rate_limits(&harness, plan::draw_limits(seed, options.limits));
        tokio::join!(
            limits,
            run_retry_after_faults(
                &harness,
                plan::draw_retry_after_faults(seed, options.retry_after_faults)
            )
        );
        restart_each_node(&harness).await;
    }
    let memory_kb = harness.memory_kb().await;
    harness.callers.stop();
    load.join_all().await;
    tokio::time::sleep(ABANDONED_WORK_TIMEOUT).await;
    let streams = harness.fleet.streams().await;
    watcher.abort();
    let mut breaches = std::mem::take(&mut *harness.breaches.lock());
    let mut add = |promise, what| breaches.push(Breach { promise, what });
    if !has_recovered {
        let timeout = options.recovers_within;
        add(Promise::Recovers, format!("not all is served {timeout:?} after the last fault"));
    }
    if memory_kb > MEMORY_MAX_KB {
        add(Promise::WithinMemory, format!("a node holds {memory_kb} kB"));
    }
    if streams > 0 {
        add(Promise::EndsAbandoned, format!("{streams} streams go on without a caller"));
    }
    let monitor = &harness.fleet.store.monitor;
    monitor.breaches().into_iter().for_each(|what| add(Promise::WholeGroups, what));
    monitor.overloads().into_iter().for_each(|what| add(Promise::KeepsToLimits, what));
    let record = Record {
        outcomes: harness.callers.outcomes(),
        runs: monitor.runs(),
        arrivals: monitor.arrivals(),
        sent: monitor.sent(),
        keys: harness.fleet.keys(),
        leaving: harness.fleet.leaving(),
        faults: Some((started_at, faults_ended_at)),
        planned,
        silences,
        visibility_faults: harness.visibility_faults.lock().clone(),
        cut_off: harness.cut_off.lock().clone(),
    };
    breaches.extend(judge::judge(&record));
    let is_served =
        |result: &CallerResult| matches!(result, CallerResult::Answer { status: 200, .. });
    let served = record.outcomes.iter().filter(|outcome| is_served(&outcome.result)).count();
    let requests = record.outcomes.len();
    Ok(Verdict { seed, breaches, requests, served, recovered_after, memory_kb })
}

async fn set_up(options: &Options, seed: u64) -> Result<Arc<Harness>, SoakError> {
    let folder = options.folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder).map_err(SoakError::Machine)?;
    let fleet = Fleet::start(options.size, options.with_unframed_answers).await;
    let (mut nodes, mut links, mut egresses) = (Vec::new(), Vec::new(), Vec::new());
    for i in 0..options.size.nodes {
        let link = Proxy::start();
        link.set_target(Some(fleet.store.address));
        let egress = match options.path_losses {
            0 if !options.with_unframed_answers => None,
            _ => Some(EgressProxy::start().await),
        };
        let name = format!("node-{i}");
        let egress_address = egress.as_ref().map(|egress| egress.address);
        let mut node = SoakNode::new(&name, &options.binary, &folder, link.address, egress_address);
        node.start().map_err(SoakError::Machine)?;
        nodes.push(node);
        links.push(link);
        egresses.extend(egress);
    }
    let endpoint = |node: &SoakNode| NodeEndpoint {
        callers: node.callers,
        directory: node.directory,
        incarnation: node.incarnations,
    };
    let callers = Callers::new(Arc::clone(&fleet), nodes.iter().map(endpoint).collect());
    let nodes = nodes.into_iter().map(tokio::sync::Mutex::new).collect();
    Ok(Arc::new(Harness {
        fleet,
        nodes,
        links,
        egresses,
        callers,
        probes: AtomicU32::new(0),
        breaches: Mutex::default(),
        visibility_faults: Mutex::default(),
        cut_off: Mutex::default(),
    }))
}

/// Reports processes that exit unexpectedly, and restarts them.
async fn watch_processes(harness: Arc<Harness>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        for (i, node) in harness.nodes.iter().enumerate() {
            // The holder of the lock is about to stop or start the process.
            let Ok(mut node) = node.try_lock() else { continue };
            if let Some(what) = node.check_exited() {
                harness.breaches.lock().push(Breach { promise: Promise::KeepsRunning, what });
                harness.start(i, &mut node);
            }
        }
    }
}

/// Injects each fault at its time, and waits until the last one is over.
async fn inject_faults(harness: &Arc<Harness>, faults: Vec<Fault>) {
    let started_at = Instant::now();
    let mut under_way = JoinSet::new();
    for fault in faults {
        tokio::time::sleep(fault.at.saturating_sub(started_at.elapsed())).await;
        let harness = Arc::clone(harness);
        under_way.spawn(async move {
            let from = Instant::now();
            harness.inject(fault).await;
            // Nodes learn of draining instances through the store and only while they run.
            let to = Instant::now() + SETTLE_TIME;
            if !fault.kind.is_planned() {
                harness.visibility_faults.lock().push((from, to));
            }
        });
    }
    under_way.join_all().await;
}

/// Carries out planned work while engines answer as overloaded, and waits until it is over.
async fn run_planned_work(harness: &Arc<Harness>, work: Vec<Fault>) {
    harness.fleet.set_engines_behaviour(InstanceBehaviour::Overloaded).await;
    inject_faults(harness, work).await;
    harness.fleet.set_engines_behaviour(InstanceBehaviour::Normal).await;
    tokio::time::sleep(SETTLE_TIME).await;
}

/// Takes the paths to all instances from some nodes, one loss after the other.
async fn run_path_losses(harness: &Arc<Harness>, losses: Vec<PathLoss>) {
    for loss in losses {
        tokio::time::sleep(loss.delay).await;
        let len = harness.nodes.len();
        let count = 1 + loss.count % len.saturating_sub(1).max(1);
        let nodes: Vec<usize> = (0..count).map(|i| (loss.first + i) % len).collect();
        let state = if loss.is_refusing { PathState::Refusing } else { PathState::Silent };
        let from = Instant::now();
        for path in nodes.iter().map(|node| &harness.egresses[*node].path) {
            path.set_state(state);
            if loss.is_reset {
                path.reset();
            }
        }
        match loss.crashed_engine {
            Some(target) => harness.fleet.crash_engine(target, loss.duration).await,
            None => tokio::time::sleep(loss.duration).await,
        }
        let until = Instant::now();
        nodes.iter().for_each(|node| harness.egresses[*node].path.set_state(PathState::Open));
        harness.cut_off.lock().push(CutOffPeriod { nodes, from, until });
    }
    tokio::time::sleep(SETTLE_TIME).await;
}

/// Silences the store repeatedly, and writes a configuration after each silence.
async fn run_store_silences(harness: &Arc<Harness>, silences: Vec<StoreSilence>) {
    for StoreSilence { duration, config_delay } in silences {
        harness.store(StoreBehaviour::Silent, duration).await;
        tokio::time::sleep(config_delay).await;
        harness.fleet.new_config();
        tokio::time::sleep(CONFIG_PROPAGATION_TIMEOUT + FAULT_FREE_PERIOD).await;
    }
}

/// Makes instances announce rate limits, several at once, and waits until all are lifted.
async fn run_rate_limits(harness: &Arc<Harness>, limits: Vec<RateLimitFault>) {
    let mut under_way = JoinSet::new();
    for RateLimitFault { delay, duration, tenths, target } in limits {
        tokio::time::sleep(delay).await;
        let fleet = Arc::clone(&harness.fleet);
        under_way
            .spawn(async move { fleet.announce_rate_limit_for(target, tenths, duration).await });
    }
    under_way.join_all().await;
}

/// Makes instances refuse with Retry-After, or announce their departure.
async fn run_retry_after_faults(harness: &Arc<Harness>, retry_after_faults: Vec<RetryAfterFault>) {
    let mut under_way = JoinSet::new();
    for RetryAfterFault { delay, duration, tenths, target } in retry_after_faults {
        tokio::time::sleep(delay).await;
        let fleet = Arc::clone(&harness.fleet);
        under_way.spawn(async move {
            match tenths {
                Some(tenths) => fleet.announce_retry_after_for(target, tenths, duration).await,
                None => fleet.announce_departure(target, duration).await,
            }
        });
    }
    under_way.join_all().await;
}

/// Shuts each node down gracefully in turn, and starts it again.
async fn restart_each_node(harness: &Arc<Harness>) {
    for (i, node) in harness.nodes.iter().enumerate() {
        let mut node = node.lock().await;
        node.signal(Signal::SIGTERM);
        if let Err(what) = node.wait_for_stop().await {
            harness.breaches.lock().push(Breach { promise: Promise::StopCutsNothing, what });
        }
        harness.start(i, &mut node);
        let started_at = Instant::now();
        while !node.is_ready().await && started_at.elapsed() < NODE_START_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Harness {
    fn node(&self, target: usize) -> (usize, &tokio::sync::Mutex<SoakNode>) {
        let i = target % self.nodes.len();
        (i, &self.nodes[i])
    }

    fn start(&self, i: usize, node: &mut SoakNode) {
        match node.start() {
            Ok(()) => self.callers.set_incarnation(i, node.incarnations),
            Err(err) => {
                let what = format!("{} cannot be started: {err}", node.name);
                self.breaches.lock().push(Breach { promise: Promise::KeepsRunning, what });
            }
        }
    }

    async fn inject(self: &Arc<Self>, fault: Fault) {
        let Fault { duration, target, .. } = fault;
        match fault.kind {
            FaultKind::KillNode => self.kill(target, duration).await,
            FaultKind::KillAllNodes => {
                let mut kills = JoinSet::new();
                for i in 0..self.nodes.len() {
                    let harness = Arc::clone(self);
                    kills.spawn(async move { harness.kill(i, duration).await });
                }
                kills.join_all().await;
            }
            FaultKind::FreezeNode => {
                let node = self.node(target).1.lock().await;
                node.wait_for_first_log_line().await;
                node.signal(Signal::SIGSTOP);
                tokio::time::sleep(duration).await;
                node.signal(Signal::SIGCONT);
            }
            FaultKind::StopNode => self.stop(target).await,
            FaultKind::ReloadNode => {
                let node = self.node(target).1.lock().await;
                node.wait_for_first_log_line().await;
                node.signal(Signal::SIGHUP);
            }
            FaultKind::CutNode => self.cut(target, LinkState::Silent, duration).await,
            FaultKind::CutNodeOneWay => self.cut(target, LinkState::OneWay, duration).await,
            FaultKind::SlowNode => {
                self.cut(target, LinkState::Slow(SLOW_LINK_DELAY), duration).await
            }
            FaultKind::ResetNode => self.links[target % self.links.len()].reset(),
            FaultKind::StoreDown => self.store(StoreBehaviour::Down, duration).await,
            FaultKind::StoreSilent => self.store(StoreBehaviour::Silent, duration).await,
            FaultKind::StoreLosesAnswers => {
                self.store(StoreBehaviour::LosesAnswers, duration).await
            }
            FaultKind::StoreSlow => {
                self.store(StoreBehaviour::Slow(SLOW_STORE_DELAY), duration).await
            }
            FaultKind::CompactStore => self.fleet.store.compact(),
            FaultKind::ReassignPartitions => self.fleet.store.reassign_partitions(),
            FaultKind::RestoreStore => {
                let age = duration.min(BACKUP_AGE_MAX);
                self.fleet.store.restore_backup(age, REWRITE_DELAY);
            }
            FaultKind::CrashEngine => self.fleet.crash_engine(target, duration).await,
            FaultKind::RestartEngine => self.fleet.restart_engine(target, duration).await,
            FaultKind::CrashDomain => self.fleet.crash_domain(target, duration).await,
            FaultKind::IsolateEngine => self.fleet.isolate_engine(target, duration).await,
            FaultKind::DelayOrders => {
                self.fleet
                    .set_behaviour(target, InstanceBehaviour::DelaysOrders(ORDER_DELAY), duration)
                    .await
            }
            FaultKind::DrainInstance => self.fleet.drain(target, duration).await,
            FaultKind::CrashPlainInstance => {
                self.fleet.crash_plain_instance(target, duration).await
            }
            FaultKind::ResetInstance => self.fleet.reset(target).await,
            FaultKind::BadAnswers => {
                self.fleet.set_behaviour(target, bad_answer_behaviour(target), duration).await
            }
            FaultKind::NewConfig => self.fleet.new_config(),
            FaultKind::RetireEngine => self.fleet.retire(target, true).await,
            FaultKind::RetireUnannounced => self.fleet.retire(target, false).await,
            FaultKind::EndInAnswer => self.fleet.end_in_answer(target, duration).await,
            FaultKind::CutHeads => {
                self.fleet.cut_responses(target, LinkState::CutsHeads, duration).await
            }
            FaultKind::CutEvents => {
                self.fleet.cut_responses(target, LinkState::CutsEvents, duration).await
            }
            FaultKind::LeaveEarly => self.fleet.leave_early(target, duration).await,
            FaultKind::RestartUnseen => self.restart_unseen(target).await,
            FaultKind::KillForwarder => self.kill_forwarder(target, duration).await,
        }
    }

    async fn kill(&self, target: usize, duration: Duration) {
        let (i, node) = self.node(target);
        let mut node = node.lock().await;
        node.kill();
        tokio::time::sleep(duration).await;
        self.start(i, &mut node);
    }

    /// Restarts an instance that is at work while all nodes are suspended.
    async fn restart_unseen(&self, target: usize) {
        let mut suspended = Vec::new();
        for node in &self.nodes {
            let node = node.lock().await;
            node.wait_for_first_log_line().await;
            node.signal(Signal::SIGSTOP);
            suspended.push(node);
        }
        self.fleet.restart_busy(target).await;
        tokio::time::sleep(UNSEEN_TIME).await;
        suspended.iter().for_each(|node| node.signal(Signal::SIGCONT));
    }

    /// Takes the paths to all instances from a node, and kills the next one, which may forward
    /// for it, once it is likely to.
    async fn kill_forwarder(&self, target: usize, duration: Duration) {
        let path = &self.egresses[target % self.egresses.len()].path;
        path.set_state(PathState::Refusing);
        path.reset();
        tokio::time::sleep(FORWARDING_TIME).await;
        self.kill(target + 1, duration).await;
        path.set_state(PathState::Open);
    }

    async fn stop(&self, target: usize) {
        let (i, node) = self.node(target);
        let mut node = node.lock().await;
        node.wait_for_first_log_line().await;
        node.signal(Signal::SIGTERM);
        if let Err(what) = node.wait_for_stop().await {
            self.breaches.lock().push(Breach { promise: Promise::StopCutsNothing, what });
        }
        self.start(i, &mut node);
    }

    async fn cut(&self, target: usize, how: LinkState, duration: Duration) {
        let link = &self.links[target % self.links.len()];
        link.set_state(how).await;
        tokio::time::sleep(duration).await;
        link.set_state(LinkState::Open).await;
    }

    async fn store(&self, behaviour: StoreBehaviour, duration: Duration) {
        self.fleet.store.set_behaviour(behaviour);
        tokio::time::sleep(duration).await;
        self.fleet.store.set_behaviour(StoreBehaviour::Normal);
    }

    /// Whether every node serves a stream and a run-once request before the timeout.
    async fn all_serve(&self, timeout: Duration) -> bool {
        let started_at = Instant::now();
        loop {
            let mut serving = 0;
            for node in &self.nodes {
                let address = node.lock().await.callers;
                serving += usize::from(self.serves(address).await);
            }
            if serving == self.nodes.len() {
                return true;
            }
            if started_at.elapsed() > timeout {
                return false;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn serves(&self, address: SocketAddr) -> bool {
        let Some(key) = self.fleet.keys().pop() else { return false };
        for kind in [RequestKind::Chat, RequestKind::Print] {
            let count = self.probes.fetch_add(1, Ordering::Relaxed);
            let id = format!("probe-{count}");
            let sent = Instant::now();
            let req = caller::request(&id, &kind.path(&id), &key.text);
            let got = caller::send(address, req).await;
            let is_served = got.as_ref().is_ok_and(|(res, _)| res.status() == 200);
            self.callers.note_probe(id, kind, &key.text, sent);
            if !is_served {
                return false;
            }
        }
        true
    }

    async fn memory_kb(&self) -> u64 {
        let mut max_kb = 0;
        for node in &self.nodes {
            max_kb = max_kb.max(node.lock().await.memory_kb().unwrap_or_default());
        }
        max_kb
    }
}

/// Picks one of the ways in which an instance answers wrongly.
fn bad_answer_behaviour(target: usize) -> InstanceBehaviour {
    const BEHAVIOURS: [InstanceBehaviour; 7] = [
        InstanceBehaviour::Refuses,
        InstanceBehaviour::Breaks,
        InstanceBehaviour::Fails,
        InstanceBehaviour::NoStamp,
        InstanceBehaviour::WrongRequestId,
        InstanceBehaviour::TruncatesEvent,
        InstanceBehaviour::Slow,
    ];
    BEHAVIOURS[target / 7 % BEHAVIOURS.len()]
}
