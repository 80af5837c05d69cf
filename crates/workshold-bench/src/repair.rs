//! A month of failures: the shipped steward against waiting and rebuilding at once.

mod fleet;

use workshold_core::repair::Expectations;
use workshold_protocol::Millis;
use workshold_protocol::bundle::CostWeights;

use crate::Length;
use crate::repair::fleet::Month;
use crate::repair::fleet::Policy;
use crate::table::Table;

const COLUMNS: [&str; 5] = [
    "group-hours down",
    "accelerator-hours stranded",
    "cost",
    "floor without loaded spares",
    "groups ended",
];

/// Both deployments' weights, with and without spares, each with all policies.
pub fn run(length: Length, seed: u64) -> Vec<Table> {
    let days = if length == Length::Long { 10 } else { 1 };
    let parkowisko = CostWeights { group_downtime: 1.0, stranded_accelerator: 0.002 };
    let sifr = CostWeights { group_downtime: 0.2, stranded_accelerator: 0.02 };
    let mut tables = Vec::new();
    for (name, weights) in [("Parkowisko", parkowisko), ("Sifr", sifr)] {
        for (fleet, spares) in [("five spares a domain", true), ("no spares", false)] {
            let mut table = Table::new(format!("repairs, {name}, {fleet}"), &COLUMNS);
            for (policy_name, expect) in policies() {
                let policy = Policy { expect, spares };
                let month = Month::new(days, weights, policy, seed);
                table.row(policy_name, month.run().to_vec());
            }
            tables.push(table);
        }
    }
    tables
}

/// The shipped expectations, and two that make the steward a plain baseline.
fn policies() -> [(&'static str, Expectations); 3] {
    let at_once = Expectations {
        restart_share: 0.0,
        restart_time: Millis(1),
        replacement_time: Millis(u64::MAX / 4),
    };
    // Whoever is missing is always expected back at once, also when spares are there.
    let wait = Expectations {
        restart_share: 1.0,
        restart_time: Millis(1_000),
        replacement_time: Millis(1_000),
    };
    [
        ("shipped", Expectations::default()),
        ("rebuild at once", at_once),
        ("wait unless a spare is there", wait),
    ]
}
