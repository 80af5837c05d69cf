//! The short benches stay within their committed bounds.

use workshold_bench::Length;
use workshold_bench::bounds;
use workshold_bench::bounds::BoundsFile;
use workshold_bench::run_all;

/// The seed that the bounds were taken with.
const SEED: u64 = 1;

fn file() -> BoundsFile {
    toml::from_str(include_str!("../bounds.toml")).unwrap()
}

#[test]
fn no_figure_is_past_its_bound() {
    let tables = run_all(Length::Short, SEED, "", |_, _| {});
    assert_eq!(bounds::broken(&tables, file().of(Length::Short)), Vec::<String>::new());
}

#[test]
fn a_figure_past_its_bound_and_one_that_is_gone_are_both_named() {
    let tables = run_all(Length::Short, SEED, "retries", |_, _| {});
    let text = "[\"retries/0 in 100 fail, shipped/answered\"]\nmax = 0.5\n[gone]\nmin = 1.0\n";
    let broken = bounds::broken(&tables, &toml::from_str(text).unwrap());
    assert_eq!(broken.len(), 2, "{broken:?}");
}
