//! Draws the faults of a seed: kind, target, start and duration.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Kind of fault or planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A node is killed, and started again when the fault ends.
    KillNode,
    /// All nodes are killed, and started again when the fault ends.
    KillAllNodes,
    /// A node is suspended (SIGSTOP) for the duration.
    FreezeNode,
    /// A node is shut down gracefully (SIGTERM), and started again once it has exited.
    StopNode,
    /// A node is told to reload its settings (SIGHUP).
    ReloadNode,
    /// A node and the store are partitioned from each other.
    CutNode,
    /// The store receives from a node, but the node receives nothing from the store.
    CutNodeOneWay,
    /// The link between a node and the store is slow.
    SlowNode,
    /// Connections between a node and the store break.
    ResetNode,
    /// The store refuses all calls.
    StoreDown,
    /// The store does not answer calls.
    StoreSilent,
    /// The store executes calls, but its answers are lost.
    StoreLosesAnswers,
    /// The store is slow.
    StoreSlow,
    /// The store compacts its log to the newest records.
    CompactStore,
    /// The store reassigns the partitions of the lease.
    ReassignPartitions,
    /// The store is restored from a backup as old as the fault's duration, three seconds at most.
    RestoreStore,
    /// An engine crashes; another incarnation replaces it when the fault ends.
    CrashEngine,
    /// An engine crashes and restarts under the same id after a short pause.
    RestartEngine,
    /// All engines of a domain crash.
    CrashDomain,
    /// An engine runs on, but is unreachable for the duration.
    IsolateEngine,
    /// An engine leaves orders unanswered and executes them late.
    DelayOrders,
    /// An instance announces that it drains, then exits; another incarnation replaces it.
    DrainInstance,
    /// An instance of the plain service crashes; another incarnation replaces it.
    CrashPlainInstance,
    /// Connections to an instance break.
    ResetInstance,
    /// An instance sends wrong answers, or breaks off answers that it has begun.
    BadAnswers,
    /// A new configuration adds a key and revokes the oldest one in force.
    NewConfig,
    /// An engine is replaced and announces that it will end.
    RetireEngine,
    /// An engine is replaced: its entry disappears without an announcement.
    RetireUnannounced,
    /// An instance ends in the middle of an answer, and starts again at its address at once.
    EndInAnswer,
    /// Connections to an instance close in the middle of response heads.
    CutHeads,
    /// Connections to an engine close in the middle of events.
    CutEvents,
    /// An instance announces that it drains, and exits before the time is over.
    LeaveEarly,
    /// All nodes are suspended, and meanwhile an instance that is at work crashes and starts again
    /// at its address.
    RestartUnseen,
    /// A node loses its paths to all instances, and the node that forwards for it is killed.
    KillForwarder,
}

impl FaultKind {
    /// Whether it is planned work, which keeps no node from learning about instances.
    pub fn is_planned(self) -> bool {
        PLANNED_KINDS.contains(&self)
    }
}

/// Fault kinds to draw from; a kind that is listed twice is twice as likely.
const FAULT_KINDS: &[FaultKind] = &[
    FaultKind::KillNode,
    FaultKind::KillNode,
    FaultKind::KillAllNodes,
    FaultKind::FreezeNode,
    FaultKind::FreezeNode,
    FaultKind::StopNode,
    FaultKind::ReloadNode,
    FaultKind::CutNode,
    FaultKind::CutNodeOneWay,
    FaultKind::SlowNode,
    FaultKind::ResetNode,
    FaultKind::StoreDown,
    FaultKind::StoreSilent,
    FaultKind::StoreLosesAnswers,
    FaultKind::StoreSlow,
    FaultKind::CompactStore,
    FaultKind::ReassignPartitions,
    FaultKind::CrashEngine,
    FaultKind::CrashEngine,
    FaultKind::CrashEngine,
    FaultKind::CrashDomain,
    FaultKind::IsolateEngine,
    FaultKind::IsolateEngine,
    FaultKind::DelayOrders,
    FaultKind::DelayOrders,
    FaultKind::DrainInstance,
    FaultKind::CrashPlainInstance,
    FaultKind::ResetInstance,
    FaultKind::BadAnswers,
    FaultKind::NewConfig,
    FaultKind::NewConfig,
];

/// Kinds of planned work to draw from, weighted in the same way.
const PLANNED_KINDS: &[FaultKind] = &[
    FaultKind::RetireEngine,
    FaultKind::RetireEngine,
    FaultKind::RetireUnannounced,
    FaultKind::NewConfig,
    FaultKind::NewConfig,
];

/// Kinds that concern answers without framing, weighted in the same way.
const UNFRAMED_KINDS: &[FaultKind] = &[
    FaultKind::EndInAnswer,
    FaultKind::EndInAnswer,
    FaultKind::CutHeads,
    FaultKind::CutEvents,
    FaultKind::LeaveEarly,
    FaultKind::RestartUnseen,
    FaultKind::KillForwarder,
];

/// One fault, or one piece of planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Start, from the beginning of the fault period.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Index of the affected node or instance, modulo their number.
    pub target: usize,
}

/// Time between two faults, short enough that several overlap.
const GAP_MS: (u64, u64) = (150, 1_400);
/// Duration of a fault: the longer ones outlast the TTL of list entries and of leases.
const DURATION_MS: (u64, u64) = (400, 5_000);
/// One fault in this many becomes [`FaultKind::RestartEngine`].
const RESTART_ONE_IN: u64 = 4;
/// One fault in this many becomes [`FaultKind::RestoreStore`].
const RESTORE_ONE_IN: u64 = 6;
/// One fault in this many becomes one of the kinds that concern answers without framing.
const UNFRAMED_ONE_IN: u64 = 2;
/// One fault in this many starts at the same time as the one before it.
const SIMULTANEOUS_ONE_IN: u64 = 5;

/// Draws the faults of `seed` over `length`; the same seed always gives the same faults.
pub fn draw(seed: u64, length: Duration) -> Vec<Fault> {
    draw_kinds(FAULT_KINDS, seed, length)
}

/// Like [`draw`], with one fault in [`RESTART_ONE_IN`] replaced by a restart of an engine under
/// its id.
pub fn draw_with_restarts(seed: u64, length: Duration) -> Vec<Fault> {
    let mut faults = draw(seed, length);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for fault in &mut faults {
        if rng.random_range(0..RESTART_ONE_IN) == 0 {
            fault.kind = FaultKind::RestartEngine;
        }
    }
    faults
}

/// Like [`draw_with_restarts`], with one fault in [`RESTORE_ONE_IN`] replaced by a restore of the
/// store from a backup.
pub fn draw_with_restores(seed: u64, length: Duration) -> Vec<Fault> {
    let mut faults = draw_with_restarts(seed, length);
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    for fault in &mut faults {
        if rng.random_range(0..RESTORE_ONE_IN) == 0 {
            fault.kind = FaultKind::RestoreStore;
        }
    }
    faults
}

/// Like [`draw_with_restarts`], with one fault in [`UNFRAMED_ONE_IN`] replaced by one that concerns
/// answers without framing.
pub fn draw_with_unframed(seed: u64, length: Duration) -> Vec<Fault> {
    let mut faults = draw_with_restarts(seed, length);
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    for fault in &mut faults {
        if rng.random_range(0..UNFRAMED_ONE_IN) == 0 {
            fault.kind = *UNFRAMED_KINDS.choose(&mut rng).expect("there are kinds");
        }
    }
    faults
}

/// Draws the planned work of `seed` over `length`.
pub fn draw_planned(seed: u64, length: Duration) -> Vec<Fault> {
    draw_kinds(PLANNED_KINDS, seed, length)
}

/// The store does not answer for a while; a new configuration is written after it answers again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSilence {
    /// How long it lasts.
    pub duration: Duration,
    /// Time from the end of the silence to the new configuration.
    pub config_delay: Duration,
}

/// Duration of a silence: a wide range, so that it ends at any point of the nodes' reaction to it.
const SILENCE_MS: (u64, u64) = (300, 9_000);
/// Time from the end of a silence to the new configuration.
const CONFIG_DELAY_MS: (u64, u64) = (0, 400);

/// Draws `count` silences of the store from `seed`.
pub fn draw_silences(seed: u64, count: usize) -> Vec<StoreSilence> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut silence = || StoreSilence {
        duration: Duration::from_millis(rng.random_range(SILENCE_MS.0..SILENCE_MS.1)),
        config_delay: Duration::from_millis(rng.random_range(CONFIG_DELAY_MS.0..CONFIG_DELAY_MS.1)),
    };
    (0..count).map(|_| silence()).collect()
}

/// An instance announces a rate limit for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimitFault {
    /// Time since the start of the previous one.
    pub delay: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Rate limit in tenths of a request per second.
    pub tenths: u32,
    /// Index of the affected node or instance, modulo their number.
    pub target: usize,
}

/// Time between the starts of two rate limits, shorter than their duration so that several overlap.
const RATE_LIMIT_GAP_MS: (u64, u64) = (200, 1_500);
/// Duration of a rate limit, longer than all nodes need until they comply with it.
const RATE_LIMIT_DURATION_MS: (u64, u64) = (5_000, 9_000);
/// Upper bound (exclusive) of a rate limit, in tenths of a request per second.
const RATE_LIMIT_TENTHS_MAX: u32 = 30;

/// Draws `count` rate limits from `seed`.
pub fn draw_limits(seed: u64, count: usize) -> Vec<RateLimitFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut rate_limit = || RateLimitFault {
        delay: Duration::from_millis(rng.random_range(RATE_LIMIT_GAP_MS.0..RATE_LIMIT_GAP_MS.1)),
        duration: Duration::from_millis(
            rng.random_range(RATE_LIMIT_DURATION_MS.0..RATE_LIMIT_DURATION_MS.1),
        ),
        tenths: rng.random_range(0..RATE_LIMIT_TENTHS_MAX),
        target: rng.random_range(0..1_000),
    };
    (0..count).map(|_| rate_limit()).collect()
}

/// An instance refuses all requests with Retry-After for a while, or announces its departure in its
/// answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfterFault {
    /// Time since the start of the previous one.
    pub delay: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Retry-After of each refusal, in tenths of a second; `None` if the instance departs instead.
    pub tenths: Option<u32>,
    /// Index of the affected node or instance, modulo their number.
    pub target: usize,
}

/// Time between the starts of two of these faults.
const RETRY_AFTER_GAP_MS: (u64, u64) = (200, 2_000);
/// How long an instance refuses requests.
const RETRY_AFTER_DURATION_MS: (u64, u64) = (1_000, 6_000);
/// Retry-After, in tenths of a second.
const RETRY_AFTER_TENTHS: (u32, u32) = (8, 40);
/// One of these faults in this many is a departure.
const DEPARTURE_ONE_IN: u32 = 3;

/// Draws `count` Retry-After faults and departures from `seed`.
pub fn draw_retry_after_faults(seed: u64, count: usize) -> Vec<RetryAfterFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut retry_after_fault = || RetryAfterFault {
        delay: Duration::from_millis(rng.random_range(RETRY_AFTER_GAP_MS.0..RETRY_AFTER_GAP_MS.1)),
        duration: Duration::from_millis(
            rng.random_range(RETRY_AFTER_DURATION_MS.0..RETRY_AFTER_DURATION_MS.1),
        ),
        tenths: (rng.random_range(0..DEPARTURE_ONE_IN) > 0)
            .then(|| rng.random_range(RETRY_AFTER_TENTHS.0..RETRY_AFTER_TENTHS.1)),
        target: rng.random_range(0..1_000),
    };
    (0..count).map(|_| retry_after_fault()).collect()
}

/// Some nodes lose their network paths to all instances for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathLoss {
    /// Time since the end of the previous one.
    pub delay: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Index of the first affected node, modulo their number.
    pub first: usize,
    /// Number of affected nodes, modulo the number of those that can be affected: one is spared.
    pub count: usize,
    /// Whether new connections are refused, instead of silence.
    pub is_refusing: bool,
    /// Whether open connections are closed.
    pub is_reset: bool,
    /// Index of an engine that crashes meanwhile; `None` if none does.
    pub crashed_engine: Option<usize>,
}

/// Time between two losses of paths.
const PATH_LOSS_GAP_MS: (u64, u64) = (300, 2_500);
/// How long paths are lost: longer than nodes need to serve again.
const PATH_LOSS_DURATION_MS: (u64, u64) = (4_500, 8_000);

/// Draws `count` losses of paths from `seed`.
pub fn draw_path_losses(seed: u64, count: usize) -> Vec<PathLoss> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut path_loss = || PathLoss {
        delay: Duration::from_millis(rng.random_range(PATH_LOSS_GAP_MS.0..PATH_LOSS_GAP_MS.1)),
        duration: Duration::from_millis(
            rng.random_range(PATH_LOSS_DURATION_MS.0..PATH_LOSS_DURATION_MS.1),
        ),
        first: rng.random_range(0..1_000),
        count: rng.random_range(0..1_000),
        is_refusing: rng.random(),
        is_reset: rng.random(),
        crashed_engine: rng.random::<bool>().then(|| rng.random_range(0..1_000)),
    };
    (0..count).map(|_| path_loss()).collect()
}

/// Draws faults of the given kinds over `length`.
fn draw_kinds(kinds: &[FaultKind], seed: u64, length: Duration) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        if rng.random_range(0..SIMULTANEOUS_ONE_IN) > 0 {
            at += Duration::from_millis(rng.random_range(GAP_MS.0..GAP_MS.1));
        }
        if at >= length {
            return faults;
        }
        let kind = *kinds.choose(&mut rng).expect("there are kinds");
        let duration = Duration::from_millis(rng.random_range(DURATION_MS.0..DURATION_MS.1));
        faults.push(Fault { at, duration, kind, target: rng.random_range(0..1_000) });
    }
}
