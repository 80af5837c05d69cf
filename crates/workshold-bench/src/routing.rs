//! Choice of a group for each request: the shipped router against simple baselines.
//!
//! Groups decode requests in a batch, up to their number of slots, and each step takes longer the
//! fuller the batch is. They prefill one prompt at a time and cache the prefixes they used last.
//! Nodes know a group's load only from periodic, delayed reports.

mod simulation;

use crate::RunLength;
use crate::routing::simulation::Policy;
use crate::routing::simulation::Scenario;
use crate::routing::simulation::Simulation;
use crate::table::Table;

const COLUMNS: [&str; 6] =
    ["first p50 ms", "first p95 ms", "first p99 ms", "between p95 ms", "cache hits", "worst load"];

/// Simulates all scenarios, each with all policies. In the columns, "first" is the time to the
/// first token, "between" the time between tokens, and "worst load" the highest mean load of a
/// group, relative to the mean of all groups.
pub fn run(length: RunLength, seed: u64) -> Vec<Table> {
    let secs = if length == RunLength::Long { 120 } else { 20 };
    let current = Scenario::current_size(secs);
    let larger = Scenario::larger_size(if length == RunLength::Long { 40 } else { 4 });
    let mut tables = Vec::new();
    for lag_ms in [0, 200, 1_000] {
        tables.push(compare(&format!("routing today, lag {lag_ms} ms"), current, lag_ms, seed));
    }
    let slow = Scenario { slow_group: true, ..current };
    tables.push(compare("routing today, one slow group", slow, 200, seed));
    let lost = Scenario { lost_fraction: 0.33, load: current.load * 0.67, ..current };
    tables.push(compare("routing today, one data centre lost", lost, 200, seed));
    let flat_prefixes = Scenario { zipf: 0.2, ..current };
    tables.push(compare("routing today, flat prefixes", flat_prefixes, 200, seed));
    tables.push(compare("routing at the next size, lag 500 ms", larger, 500, seed));
    tables
}

/// Simulates a scenario with each policy; one row per policy.
fn compare(name: &str, scenario: Scenario, lag_ms: u64, seed: u64) -> Table {
    let mut table = Table::new(name, &COLUMNS);
    for policy in Policy::ALL {
        table.push_row(policy.name(), Simulation::new(scenario, lag_ms, policy, seed).run());
    }
    table
}
