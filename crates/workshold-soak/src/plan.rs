//! The faults of a seed: what, whom, when and for how long.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// What befalls some part of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A node is killed, and started again at the end.
    KillNode,
    /// All nodes are killed, and started again at the end.
    KillAllNodes,
    /// A node stands still until the end.
    FreezeNode,
    /// A node is stopped with a plan, and started again once it has ended.
    StopNode,
    /// A node is told to read its settings.
    ReloadNode,
    /// A node and the store do not hear each other.
    CutNode,
    /// The store hears a node, but not the other way round.
    CutNodeOneWay,
    /// The way between a node and the store is slow.
    SlowNode,
    /// Connections between a node and the store break.
    ResetNode,
    /// The store refuses all calls.
    StoreDown,
    /// The store says nothing.
    StoreSilent,
    /// The store does what it is asked, and its answers are lost.
    StoreLosesAnswers,
    /// The store is slow.
    StoreSlow,
    /// The store forgets all but the newest records.
    CompactStore,
    /// The store deals the lease anew.
    ReassignPartitions,
    /// The store comes back from a copy as old as the fault lasts, three seconds at most.
    RestoreStore,
    /// An engine crashes; a new life of it comes at the end.
    CrashEngine,
    /// An engine crashes, and starts again under its id within moments.
    RestartEngine,
    /// All engines of a domain crash.
    CrashDomain,
    /// Nobody reaches an engine until the end; it lives.
    IsolateEngine,
    /// An engine leaves orders unanswered and carries them out late.
    DelayOrders,
    /// An instance states that it will end, and does so; a new life comes at the end.
    DrainInstance,
    /// A plain instance crashes; a new life comes at the end.
    CrashPlainInstance,
    /// Connections to an instance break.
    ResetInstance,
    /// An instance answers wrongly, or breaks what it has begun.
    BadAnswers,
    /// A new configuration with a new key, the last but one taken away.
    NewConfig,
    /// An engine is replaced: it states that it will end.
    RetireEngine,
    /// An engine is replaced: its entry disappears, and it states nothing.
    RetireUnannounced,
}

impl FaultKind {
    /// Whether it is planned work alone and hides nothing from anybody.
    pub fn is_planned(self) -> bool {
        PLANNED_KINDS.contains(&self)
    }
}

/// All kinds, the likelier ones more than once.
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

/// Planned work, the likelier kinds more than once.
const PLANNED_KINDS: &[FaultKind] = &[
    FaultKind::RetireEngine,
    FaultKind::RetireEngine,
    FaultKind::RetireUnannounced,
    FaultKind::NewConfig,
    FaultKind::NewConfig,
];

/// One fault, or one piece of planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What it is.
    pub kind: FaultKind,
    /// Whom it befalls: taken modulo those that there are.
    pub target: usize,
}

/// Time between two faults, and how long one lasts, in milliseconds: so that several
/// overlap, and that lists lapse and leases pass on under some.
const GAP_MS: (u64, u64) = (150, 1_400);
const DURATION_MS: (u64, u64) = (400, 5_000);
/// One fault in so many is an engine that starts again under its id.
const RESTART_ONE_IN: u64 = 4;
/// One fault in so many is a store that comes back from a copy.
const RESTORE_ONE_IN: u64 = 6;
/// One fault in so many comes at once with the next one.
const SIMULTANEOUS_ONE_IN: u64 = 5;

/// The faults of `seed` over `length`.
pub fn draw(seed: u64, length: Duration) -> Vec<Fault> {
    draw_kinds(FAULT_KINDS, seed, length)
}

/// The same with engines that start again under their ids, one fault in so many.
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

/// The same with a store that comes back from copies, one fault in so many.
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

/// The planned work of `seed` over `length`.
pub fn draw_planned(seed: u64, length: Duration) -> Vec<Fault> {
    draw_kinds(PLANNED_KINDS, seed, length)
}

/// The store says nothing for a while, and a new configuration comes after its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSilence {
    /// How long it lasts.
    pub duration: Duration,
    /// From its end to the new configuration.
    pub config_delay: Duration,
}

/// How long a silence lasts, and from its end to a new configuration, in milliseconds: so that it
/// ends at any moment of what nodes do about it.
const SILENCE_MS: (u64, u64) = (300, 9_000);
const CONFIG_DELAY_MS: (u64, u64) = (0, 400);

/// The silences of `seed`, so many.
pub fn draw_silences(seed: u64, count: usize) -> Vec<StoreSilence> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut silence = || StoreSilence {
        duration: Duration::from_millis(rng.random_range(SILENCE_MS.0..SILENCE_MS.1)),
        config_delay: Duration::from_millis(rng.random_range(CONFIG_DELAY_MS.0..CONFIG_DELAY_MS.1)),
    };
    (0..count).map(|_| silence()).collect()
}

/// An instance names a limit for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimitFault {
    /// From the beginning of the last one.
    pub delay: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Tenths of a request a second.
    pub tenths: u32,
    /// Whom it befalls: taken modulo those that there are.
    pub target: usize,
}

/// Time between two limits and how long one lasts, in milliseconds, so that several overlap and
/// each lasts for longer than it takes until all nodes keep to it; and the highest, in tenths.
const RATE_LIMIT_GAP_MS: (u64, u64) = (200, 1_500);
const RATE_LIMIT_DURATION_MS: (u64, u64) = (5_000, 9_000);
const RATE_LIMIT_TENTHS_MAX: u32 = 30;

/// The limits of `seed`, so many.
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

/// An instance refuses all requests for a while and asks for rest, or says that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfterFault {
    /// From the beginning of the last one.
    pub delay: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// How much rest each refusal asks for, in tenths of a second; none if it leaves.
    pub tenths: Option<u32>,
    /// Whom it befalls: taken modulo those that there are.
    pub target: usize,
}

/// Time between two rests and how long one lasts, in milliseconds; how much is asked for, in tenths
/// of a second; and one in so many leaves.
const RETRY_AFTER_GAP_MS: (u64, u64) = (200, 2_000);
const RETRY_AFTER_DURATION_MS: (u64, u64) = (1_000, 6_000);
const RETRY_AFTER_TENTHS: (u32, u32) = (8, 40);
const DEPARTURE_ONE_IN: u32 = 3;

/// The rests of `seed`, so many.
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
