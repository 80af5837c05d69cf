//! A team's rate limit over many nodes: the shipped limiter, which divides the limit by demand,
//! against an even split and against no split at all.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::limits::TeamRateLimiter;
use workshold_core::limits::TeamRateRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::NodeId;

use crate::table::Table;

const NODES: usize = 9;
/// The team's limit, in requests per second.
const LIMIT_PER_S: f64 = 90.0;
/// The team's demand, as a multiple of its limit.
const DEMAND_FACTOR: f64 = 2.0;
const TICK_MS: u64 = 20;
const DEMAND_EXCHANGE_INTERVAL_MS: u64 = 500;
const RUN_SECS: u64 = 60;
/// When the demand moves or a node is isolated, in the scenarios that do so.
const CHANGE_AT_MS: u64 = 30_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Nodes exchange their demand and divide the limit accordingly.
    Shipped,
    /// Each node gets the same part of the limit.
    EvenSplit,
    /// Each node applies the whole limit on its own.
    NoSplit,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// Demand is spread evenly.
    Even,
    /// Four fifths of the demand arrive at one node.
    Skewed,
    /// As `Skewed`, but at `CHANGE_AT_MS` the heavy demand moves to another node.
    Jump,
    /// At `CHANGE_AT_MS` the node with the heavy demand loses contact with the others, and the same
    /// demand arrives at another node as well.
    Isolated,
}

/// Simulates all scenarios with all policies.
pub fn run(seed: u64) -> Table {
    let columns =
        ["admitted before", "admitted after", "worst second", "over the limit, in seconds' worth"];
    let mut table = Table::new("team limits over 9 nodes", &columns);
    let scenarios = [
        ("even demand", Scenario::Even),
        ("skewed", Scenario::Skewed),
        ("skew jumps", Scenario::Jump),
        ("cut off", Scenario::Isolated),
    ];
    let policies = [
        ("shipped", Policy::Shipped),
        ("even split", Policy::EvenSplit),
        ("no split", Policy::NoSplit),
    ];
    for (scenario_name, scenario) in scenarios {
        for (policy_name, policy) in policies {
            table.push_row(
                format!("{scenario_name}, {policy_name}"),
                simulate(scenario, policy, seed),
            );
        }
    }
    table
}

fn rules(policy: Policy) -> TeamRateRules {
    match policy {
        Policy::Shipped | Policy::NoSplit => TeamRateRules::default(),
        Policy::EvenSplit => TeamRateRules { even_fraction: 1.0, ..TeamRateRules::default() },
    }
}

/// Demand at a node in requests per second.
fn demand(scenario: Scenario, node: usize, now: u64) -> f64 {
    let total = LIMIT_PER_S * DEMAND_FACTOR;
    let is_after = now >= CHANGE_AT_MS;
    let heavy = match scenario {
        Scenario::Even => return total / NODES as f64,
        Scenario::Skewed => 0,
        Scenario::Jump | Scenario::Isolated => usize::from(is_after),
    };
    // The isolated node keeps its demand: its callers do not notice the isolation.
    let is_isolated_heavy = scenario == Scenario::Isolated && is_after && node == 0;
    if node == heavy || is_isolated_heavy { total * 0.8 } else { total * 0.2 / (NODES - 1) as f64 }
}

/// Runs a minute of virtual time and returns the figures in the order of the columns.
fn simulate(scenario: Scenario, policy: Policy, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let node_count = if policy == Policy::NoSplit { 1 } else { NODES };
    let make = || TeamRateLimiter::new(rules(policy), LIMIT_PER_S, node_count, Millis::ZERO);
    let mut limiters: Vec<_> = (0..NODES).map(|_| make()).collect();
    let names: Vec<_> =
        (0..NODES).map(|i| NodeId::new(&format!("node-{i}")).expect("the name is valid")).collect();
    let mut admitted = vec![0_u32; RUN_SECS as usize];
    let mut now = 0;
    while now < RUN_SECS * 1000 {
        if now % DEMAND_EXCHANGE_INTERVAL_MS == 0 && policy != Policy::NoSplit {
            exchange_demand(&mut limiters, &names, scenario, Millis(now));
        }
        for (i, limiter) in limiters.iter_mut().enumerate() {
            let wanted = demand(scenario, i, now) * TICK_MS as f64 / 1000.0;
            let mut count = wanted.floor() as u32;
            count += u32::from(rng.random::<f64>() < wanted.fract());
            for _ in 0..count {
                admitted[(now / 1000) as usize] +=
                    u32::from(limiter.take(1.0, Millis(now)).is_ok());
            }
        }
        now += TICK_MS;
    }
    figures(&admitted)
}

/// Passes each node's demand on to all others that it can reach.
fn exchange_demand(
    limiters: &mut [TeamRateLimiter],
    names: &[NodeId],
    scenario: Scenario,
    now: Millis,
) {
    let is_isolated = |i: usize| scenario == Scenario::Isolated && now.0 >= CHANGE_AT_MS && i == 0;
    let demands: Vec<_> = limiters.iter().map(|limiter| limiter.demand(now)).collect();
    for (i, limiter) in limiters.iter_mut().enumerate() {
        for (j, demand) in demands.iter().enumerate() {
            if i != j && !is_isolated(i) && !is_isolated(j) {
                limiter.on_peer(&names[j], *demand, now);
            }
        }
    }
}

/// The figures as multiples of the limit. Skips the first 5 s, in which the tokens that
/// the limiters start with raise the rate.
fn figures(admitted: &[u32]) -> Vec<f64> {
    let change = (CHANGE_AT_MS / 1000) as usize;
    let mean = |part: &[u32]| f64::from(part.iter().sum::<u32>()) / part.len() as f64 / LIMIT_PER_S;
    let steady = &admitted[5..];
    let worst = f64::from(steady.iter().copied().max().unwrap_or(0)) / LIMIT_PER_S;
    let over: f64 = steady.iter().map(|n| (f64::from(*n) - LIMIT_PER_S).max(0.0)).sum();
    vec![mean(&admitted[5..change]), mean(&admitted[change..]), worst, over / LIMIT_PER_S]
}
