//! Checks the figures of the short benches against the committed bounds.

use workshold_bench::RunLength;
use workshold_bench::bounds;
use workshold_bench::bounds::BoundsFile;
use workshold_bench::run_all;

/// The seed of the runs that the bounds come from; the figures depend on it.
const SEED: u64 = 1;

fn bounds_file() -> BoundsFile {
    toml::from_str(include_str!("../bounds.toml")).unwrap()
}

#[test]
fn all_figures_are_within_their_bounds() {
    let tables = run_all(RunLength::Short, SEED, "", |_, _| {});
    assert_eq!(
        bounds::violations(&tables, bounds_file().for_length(RunLength::Short)),
        Vec::<String>::new()
    );
}

#[test]
fn a_violated_bound_and_a_missing_figure_are_both_reported() {
    let tables = run_all(RunLength::Short, SEED, "retries", |_, _| {});
    let text = "[\"retries/0 in 100 fail, shipped/answered\"]\nmax = 0.5\n[gone]\nmin = 1.0\n";
    let violations = bounds::violations(&tables, &toml::from_str(text).unwrap());
    assert_eq!(violations.len(), 2, "{violations:?}");
}
