//! Days of instance failures: the shipped steward against always waiting and always rebuilding.
//!
//! The steward is the node that plans for a fabric domain and sends orders to its instances.

mod fleet;

use workshold_core::repair::Expectations;
use workshold_protocol::Millis;
use workshold_protocol::bundle::CostWeights;

use crate::RunLength;
use crate::repair::fleet::FailureSimulation;
use crate::repair::fleet::Policy;
use crate::table::Table;

const COLUMNS: [&str; 5] = [
    "group-hours down",
    "accelerator-hours stranded",
    "cost",
    "floor without loaded spares",
    "groups ended",
];

/// Simulates two deployments' cost weights, with and without spare instances, with all policies.
pub fn run(length: RunLength, seed: u64) -> Vec<Table> {
    let days = if length == RunLength::Long { 10 } else { 1 };
    let parkowisko = CostWeights { group_downtime: 1.0, stranded_accelerator: 0.002 };
    let sifr = CostWeights { group_downtime: 0.2, stranded_accelerator: 0.02 };
    let mut tables = Vec::new();
    for (name, weights) in [("Parkowisko", parkowisko), ("Sifr", sifr)] {
        for (fleet, spares) in [("five spares a domain", true), ("no spares", false)] {
            let mut table = Table::new(format!("repairs, {name}, {fleet}"), &COLUMNS);
            for (policy_name, expect) in policies() {
                let policy = Policy { expect, spares };
                let simulation = FailureSimulation::new(days, weights, policy, seed);
                table.push_row(policy_name, simulation.run().to_vec());
            }
            tables.push(table);
        }
    }
    tables
}

/// The shipped expectations of repair times, and two sets that turn the steward into a baseline.
fn policies() -> [(&'static str, Expectations); 3] {
    // Expects that no missing instance comes back, so that rebuilding always looks cheaper.
    let rebuild_at_once = Expectations {
        restart_share: 0.0,
        restart_time: Millis(1),
        replacement_time: Millis(u64::MAX / 4),
    };
    // Expects every missing instance back within a second, even if there are spares.
    let wait = Expectations {
        restart_share: 1.0,
        restart_time: Millis(1_000),
        replacement_time: Millis(1_000),
    };
    [
        ("shipped", Expectations::default()),
        ("rebuild at once", rebuild_at_once),
        ("wait unless a spare is there", wait),
    ]
}
