//! Retries while upstreams fail: the shipped retry budget against unlimited retries.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::lifecycle::Event;
use workshold_core::lifecycle::Next;
use workshold_core::lifecycle::Repeatability;
use workshold_core::lifecycle::RequestLifecycle;
use workshold_core::lifecycle::RequestResult;
use workshold_core::retry::RetryBudget;
use workshold_core::retry::RetryRules;
use workshold_protocol::Millis;

use crate::table::Table;

const REQUESTS: u32 = 20_000;

/// Simulates several failure rates of upstreams, with and without the retry budget.
pub fn run(seed: u64) -> Table {
    let columns = ["attempts for each request", "answered", "unknown", "not run"];
    let mut table = Table::new("retries", &columns);
    for failure_rate in [0.0, 0.1, 0.5, 1.0] {
        for (name, has_budget) in [("shipped", true), ("always again", false)] {
            let row = format!("{:.0} in 100 fail, {name}", failure_rate * 100.0);
            table.push_row(row, simulate(failure_rate, has_budget, seed));
        }
    }
    table
}

/// Mean number of attempts per request, and the fractions of requests that were answered, have an
/// unknown result, or did not run.
fn simulate(failure_rate: f64, has_budget: bool, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rules = RetryRules::default();
    let mut budget = RetryBudget::new(rules);
    let (mut attempts, mut answered, mut unknown, mut not_run) = (0, 0, 0, 0);
    for _ in 0..REQUESTS {
        let mut lifecycle =
            RequestLifecycle::new(Repeatability::Repeatable, Millis(1_000), rules.max_attempts);
        budget.on_request();
        let result = loop {
            attempts += 1;
            let attempt = lifecycle.attempt();
            lifecycle.on(attempt, Event::Sending, Millis::ZERO, || false);
            let event =
                if rng.random::<f64>() < failure_rate { Event::Broken } else { Event::Done };
            let may_retry = || !has_budget || budget.take();
            if let Next::Finish(result) = lifecycle.on(attempt, event, Millis::ZERO, may_retry) {
                break result;
            }
        };
        match result {
            RequestResult::Answered => answered += 1,
            RequestResult::Unknown(_) => unknown += 1,
            RequestResult::NotRun(_) => not_run += 1,
        }
    }
    let per_request = |count: u32| f64::from(count) / f64::from(REQUESTS);
    vec![per_request(attempts), per_request(answered), per_request(unknown), per_request(not_run)]
}
