//! Which group gets the request: the shipped router against plain baselines.
//!
//! Groups batch: each decodes up to its slots at once, slower the fuller it is,
//! prefills one prompt at a time, and keeps the prefixes it used last. Nodes see
//! a group's load only as it was a report ago.

mod world;

use crate::Length;
use crate::routing::world::Policy;
use crate::routing::world::Setup;
use crate::routing::world::World;
use crate::table::Table;

const COLUMNS: [&str; 6] =
    ["first p50 ms", "first p95 ms", "first p99 ms", "between p95 ms", "cache hits", "worst load"];

/// Runs all setups, each with all policies.
pub fn run(length: Length, seed: u64) -> Vec<Table> {
    let secs = if length == Length::Long { 120 } else { 20 };
    let today = Setup::today(secs);
    let next = Setup::next(if length == Length::Long { 40 } else { 4 });
    let mut tables = Vec::new();
    for lag_ms in [0, 200, 1_000] {
        tables.push(compare(&format!("routing today, lag {lag_ms} ms"), today, lag_ms, seed));
    }
    let slow = Setup { slow_group: true, ..today };
    tables.push(compare("routing today, one slow group", slow, 200, seed));
    let lost = Setup { lost_share: 0.33, load: today.load * 0.67, ..today };
    tables.push(compare("routing today, one data centre lost", lost, 200, seed));
    let flat = Setup { zipf: 0.2, ..today };
    tables.push(compare("routing today, flat prefixes", flat, 200, seed));
    tables.push(compare("routing at the next size, lag 500 ms", next, 500, seed));
    tables
}

fn compare(name: &str, setup: Setup, lag_ms: u64, seed: u64) -> Table {
    let mut table = Table::new(name, &COLUMNS);
    for policy in Policy::ALL {
        table.row(policy.name(), World::new(setup, lag_ms, policy, seed).run());
    }
    table
}
