//! Development only: policy benches in virtual time, with regression bounds.
//!
//! Each bench runs the shipped decisions of `workshold-core` against baselines in
//! one run, with a seed, so that its figures are exact and can be bounded.

pub mod admission;
pub mod bounds;
pub mod fixtures;
pub mod limits;
pub mod repair;
pub mod retries;
pub mod routing;
pub mod table;

/// How long the benches run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// Seconds; runs in the tests.
    Short,
    /// A few minutes; `scripts/bench`.
    Long,
}

/// One bench: its name on the command line, and how to run it.
type Bench = (&'static str, fn(Length, u64) -> Vec<table::Table>);

/// All benches.
const BENCHES: [Bench; 5] = [
    ("routing", routing::run),
    ("limits", |_, seed| vec![limits::run(seed)]),
    ("admission", |length, seed| {
        vec![admission::run(length, seed), admission::fairness(length, seed)]
    }),
    ("retries", |_, seed| vec![retries::run(seed)]),
    ("repair", repair::run),
];

/// Runs the benches whose name begins with `only`; each is told as it ends.
pub fn run_all(
    length: Length,
    seed: u64,
    only: &str,
    mut done: impl FnMut(&str, &[table::Table]),
) -> Vec<table::Table> {
    let mut tables = Vec::new();
    for (name, run) in BENCHES.iter().filter(|(name, _)| name.starts_with(only)) {
        let made = run(length, seed);
        done(name, &made);
        tables.extend(made);
    }
    tables
}
