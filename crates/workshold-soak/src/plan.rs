//! The faults of a seed: what, whom, when and for how long.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// What befalls some part of the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A node is killed, and started again at the end.
    KillNode,
    /// All nodes are killed, and started again at the end.
    KillAllNodes,
    /// A node stands still until the end.
    FreezeNode,
    /// A node is stopped with a plan, and started again once it has ended.
    StopNode,
    /// A node is told to read its settings.
    HangUpNode,
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
    StoreForgets,
    /// The store deals the lease anew.
    DealAnew,
    /// The store comes back from a copy as old as the fault lasts, three seconds at most.
    StoreReturns,
    /// An engine crashes; a new life of it comes at the end.
    CrashEngine,
    /// An engine crashes, and starts again under its id within moments.
    BeginAnew,
    /// All engines of a domain crash.
    CrashDomain,
    /// Nobody reaches an engine until the end; it lives.
    DarkEngine,
    /// An engine leaves orders unanswered and carries them out late.
    LateOrders,
    /// An instance states that it will end, and does so; a new life comes at the end.
    DrainInstance,
    /// A plain instance crashes; a new life comes at the end.
    CrashGate,
    /// Connections to an instance break.
    ResetInstance,
    /// An instance answers wrongly, or breaks what it has begun.
    BadAnswers,
    /// A new configuration with a new key, the last but one taken away.
    NewConfig,
    /// An engine is replaced: it states that it will end.
    RetireEngine,
    /// An engine is replaced: its entry disappears, and it states nothing.
    RetireUnsaid,
}

impl Kind {
    /// Whether it is planned work alone and hides nothing from anybody.
    pub fn is_planned(self) -> bool {
        PLANNED.contains(&self)
    }
}

/// All kinds, the likelier ones more than once.
const KINDS: &[Kind] = &[
    Kind::KillNode,
    Kind::KillNode,
    Kind::KillAllNodes,
    Kind::FreezeNode,
    Kind::FreezeNode,
    Kind::StopNode,
    Kind::HangUpNode,
    Kind::CutNode,
    Kind::CutNodeOneWay,
    Kind::SlowNode,
    Kind::ResetNode,
    Kind::StoreDown,
    Kind::StoreSilent,
    Kind::StoreLosesAnswers,
    Kind::StoreSlow,
    Kind::StoreForgets,
    Kind::DealAnew,
    Kind::CrashEngine,
    Kind::CrashEngine,
    Kind::CrashEngine,
    Kind::CrashDomain,
    Kind::DarkEngine,
    Kind::DarkEngine,
    Kind::LateOrders,
    Kind::LateOrders,
    Kind::DrainInstance,
    Kind::CrashGate,
    Kind::ResetInstance,
    Kind::BadAnswers,
    Kind::NewConfig,
    Kind::NewConfig,
];

/// Planned work, the likelier kinds more than once.
const PLANNED: &[Kind] =
    &[Kind::RetireEngine, Kind::RetireEngine, Kind::RetireUnsaid, Kind::NewConfig, Kind::NewConfig];

/// One fault, or one piece of planned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: Kind,
    /// Whom it befalls: taken modulo those that there are.
    pub whom: usize,
}

/// Time between two faults, and how long one lasts, in milliseconds: so that several
/// overlap, and that lists lapse and leases pass on under some.
const GAP_MS: (u64, u64) = (150, 1_400);
const LASTS_MS: (u64, u64) = (400, 5_000);
/// One fault in so many is an engine that starts again under its id.
const NEW_LIVES: u64 = 4;
/// One fault in so many is a store that comes back from a copy.
const COPIES: u64 = 6;
/// One fault in so many comes at once with the next one.
const TOGETHER: u64 = 5;

/// The faults of `seed` over `length`.
pub fn draw(seed: u64, length: Duration) -> Vec<Fault> {
    draw_of(KINDS, seed, length)
}

/// The same with engines that start again under their ids, one fault in so many.
pub fn draw_with_new_lives(seed: u64, length: Duration) -> Vec<Fault> {
    let mut faults = draw(seed, length);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for fault in &mut faults {
        if rng.random_range(0..NEW_LIVES) == 0 {
            fault.kind = Kind::BeginAnew;
        }
    }
    faults
}

/// The same with a store that comes back from copies, one fault in so many.
pub fn draw_with_copies(seed: u64, length: Duration) -> Vec<Fault> {
    let mut faults = draw_with_new_lives(seed, length);
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    for fault in &mut faults {
        if rng.random_range(0..COPIES) == 0 {
            fault.kind = Kind::StoreReturns;
        }
    }
    faults
}

/// The planned work of `seed` over `length`.
pub fn draw_planned(seed: u64, length: Duration) -> Vec<Fault> {
    draw_of(PLANNED, seed, length)
}

/// The store says nothing for a while, and a new configuration comes after its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// How long it lasts.
    pub lasts: Duration,
    /// From its end to the new configuration.
    pub then: Duration,
}

/// How long a silence lasts, and from its end to a new configuration, in milliseconds: so that it
/// ends at any moment of what nodes do about it.
const SILENT_MS: (u64, u64) = (300, 9_000);
const THEN_MS: (u64, u64) = (0, 400);

/// The silences of `seed`, so many.
pub fn draw_silences(seed: u64, count: usize) -> Vec<Silence> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut silence = || Silence {
        lasts: Duration::from_millis(rng.random_range(SILENT_MS.0..SILENT_MS.1)),
        then: Duration::from_millis(rng.random_range(THEN_MS.0..THEN_MS.1)),
    };
    (0..count).map(|_| silence()).collect()
}

/// An instance names a limit for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limiting {
    /// From the beginning of the last one.
    pub after: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Tenths of a request a second.
    pub tenths: u32,
    /// Whom it befalls: taken modulo those that there are.
    pub whom: usize,
}

/// Time between two limits and how long one lasts, in milliseconds, so that several overlap and
/// each lasts for longer than it takes until all nodes keep to it; and the highest, in tenths.
const LIMIT_AFTER_MS: (u64, u64) = (200, 1_500);
const LIMITED_MS: (u64, u64) = (5_000, 9_000);
const MOST_TENTHS: u32 = 30;

/// The limits of `seed`, so many.
pub fn draw_limits(seed: u64, count: usize) -> Vec<Limiting> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limiting = || Limiting {
        after: Duration::from_millis(rng.random_range(LIMIT_AFTER_MS.0..LIMIT_AFTER_MS.1)),
        lasts: Duration::from_millis(rng.random_range(LIMITED_MS.0..LIMITED_MS.1)),
        tenths: rng.random_range(0..MOST_TENTHS),
        whom: rng.random_range(0..1_000),
    };
    (0..count).map(|_| limiting()).collect()
}

/// An instance refuses all requests for a while and asks for rest, or says that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resting {
    /// From the beginning of the last one.
    pub after: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// How much rest each refusal asks for, in tenths of a second; none if it leaves.
    pub tenths: Option<u32>,
    /// Whom it befalls: taken modulo those that there are.
    pub whom: usize,
}

/// Time between two rests and how long one lasts, in milliseconds; how much is asked for, in tenths
/// of a second; and one in so many leaves.
const REST_AFTER_MS: (u64, u64) = (200, 2_000);
const RESTS_MS: (u64, u64) = (1_000, 6_000);
const REST_TENTHS: (u32, u32) = (8, 40);
const LEAVES: u32 = 3;

/// The rests of `seed`, so many.
pub fn draw_rests(seed: u64, count: usize) -> Vec<Resting> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut resting = || Resting {
        after: Duration::from_millis(rng.random_range(REST_AFTER_MS.0..REST_AFTER_MS.1)),
        lasts: Duration::from_millis(rng.random_range(RESTS_MS.0..RESTS_MS.1)),
        tenths: (rng.random_range(0..LEAVES) > 0)
            .then(|| rng.random_range(REST_TENTHS.0..REST_TENTHS.1)),
        whom: rng.random_range(0..1_000),
    };
    (0..count).map(|_| resting()).collect()
}

fn draw_of(kinds: &[Kind], seed: u64, length: Duration) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        if rng.random_range(0..TOGETHER) > 0 {
            at += Duration::from_millis(rng.random_range(GAP_MS.0..GAP_MS.1));
        }
        if at >= length {
            return faults;
        }
        let kind = *kinds.choose(&mut rng).expect("there are kinds");
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS.0..LASTS_MS.1));
        faults.push(Fault { at, lasts, kind, whom: rng.random_range(0..1_000) });
    }
}
