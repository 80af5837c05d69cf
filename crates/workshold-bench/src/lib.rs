//! Policy benches in virtual time, with regression bounds; for development only.
//!
//! Each bench simulates the policies of `workshold-core` ("shipped") and simple baselines with the
//! same seed, so that its figures are reproducible exactly and can be held to tight bounds.

pub mod admission;
pub mod bounds;
pub mod fixtures;
pub mod limits;
pub mod repair;
pub mod retries;
pub mod routing;
pub mod table;

/// How much virtual time the benches simulate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunLength {
    /// Takes seconds of real time; run by the tests.
    Short,
    /// Takes a few minutes of real time; run by `scripts/bench`.
    Long,
}

/// A bench's name on the command line, and the function that runs it with a seed.
type Bench = (&'static str, fn(RunLength, u64) -> Vec<table::Table>);

/// All benches, in the order in which they run.
const BENCHES: [Bench; 5] = [
    ("routing", routing::run),
    ("limits", |_, seed| vec![limits::run(seed)]),
    ("admission", |length, seed| {
        vec![admission::run(length, seed), admission::fairness(length, seed)]
    }),
    ("retries", |_, seed| vec![retries::run(seed)]),
    ("repair", repair::run),
];

/// Runs the benches whose name begins with `only`, all if it is empty. Calls `on_done` with the
/// name and tables of each bench when it ends.
pub fn run_all(
    length: RunLength,
    seed: u64,
    only: &str,
    mut on_done: impl FnMut(&str, &[table::Table]),
) -> Vec<table::Table> {
    let mut tables = Vec::new();
    for (name, run) in BENCHES.iter().filter(|(name, _)| name.starts_with(only)) {
        let bench_tables = run(length, seed);
        on_done(name, &bench_tables);
        tables.extend(bench_tables);
    }
    tables
}
