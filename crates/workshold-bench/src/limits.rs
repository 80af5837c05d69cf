//! A team's allowance over many nodes: the shipped shares against an even split
//! and against no split at all.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::limits::TeamRateLimiter;
use workshold_core::limits::TeamRateRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::NodeId;

use crate::table::Table;

const NODES: usize = 9;
const LIMIT: f64 = 90.0;
/// What the team wants, as a multiple of its allowance.
const DEMAND: f64 = 2.0;
const TICK_MS: u64 = 20;
const TELL_EVERY_MS: u64 = 500;
const SECS: u64 = 60;
/// From here on things go wrong.
const CHANGE_AT_MS: u64 = 30_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Shipped,
    EvenSplit,
    NoSplit,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Case {
    /// Demand is spread evenly.
    Even,
    /// Four fifths of the demand come to one node.
    Skewed,
    /// The skew jumps to another node.
    Jump,
    /// The node with the demand is cut off from the others, and the demand moves on.
    Cut,
}

/// Runs all cases with all policies.
pub fn run(seed: u64) -> Table {
    let columns =
        ["admitted before", "admitted after", "worst second", "over the limit, in seconds' worth"];
    let mut table = Table::new("team limits over 9 nodes", &columns);
    let cases = [
        ("even demand", Case::Even),
        ("skewed", Case::Skewed),
        ("skew jumps", Case::Jump),
        ("cut off", Case::Cut),
    ];
    let policies = [
        ("shipped", Policy::Shipped),
        ("even split", Policy::EvenSplit),
        ("no split", Policy::NoSplit),
    ];
    for (case_name, case) in cases {
        for (policy_name, policy) in policies {
            table.row(format!("{case_name}, {policy_name}"), simulate(case, policy, seed));
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

fn demand(case: Case, node: usize, now: u64) -> f64 {
    let total = LIMIT * DEMAND;
    let is_after = now >= CHANGE_AT_MS;
    let heavy = match case {
        Case::Even => return total / NODES as f64,
        Case::Skewed => 0,
        Case::Jump | Case::Cut => usize::from(is_after),
    };
    // The node that is cut off keeps what it had: its callers do not know.
    let keeps = case == Case::Cut && is_after && node == 0;
    if node == heavy || keeps { total * 0.8 } else { total * 0.2 / (NODES - 1) as f64 }
}

fn simulate(case: Case, policy: Policy, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let share_of = if policy == Policy::NoSplit { 1 } else { NODES };
    let make = || TeamRateLimiter::new(rules(policy), LIMIT, share_of, Millis::ZERO);
    let mut shares: Vec<_> = (0..NODES).map(|_| make()).collect();
    let names: Vec<_> =
        (0..NODES).map(|i| NodeId::new(&format!("node-{i}")).expect("it is a name")).collect();
    let mut admitted = vec![0_u32; SECS as usize];
    let mut now = 0;
    while now < SECS * 1000 {
        if now % TELL_EVERY_MS == 0 && policy != Policy::NoSplit {
            tell(&mut shares, &names, case, Millis(now));
        }
        for (i, share) in shares.iter_mut().enumerate() {
            let wanted = demand(case, i, now) * TICK_MS as f64 / 1000.0;
            let mut count = wanted.floor() as u32;
            count += u32::from(rng.random::<f64>() < wanted.fract());
            for _ in 0..count {
                admitted[(now / 1000) as usize] += u32::from(share.take(1.0, Millis(now)).is_ok());
            }
        }
        now += TICK_MS;
    }
    figures(&admitted)
}

fn tell(shares: &mut [TeamRateLimiter], names: &[NodeId], case: Case, now: Millis) {
    let is_cut = |i: usize| case == Case::Cut && now.0 >= CHANGE_AT_MS && i == 0;
    let demands: Vec<_> = shares.iter().map(|share| share.demand(now)).collect();
    for (i, share) in shares.iter_mut().enumerate() {
        for (j, demand) in demands.iter().enumerate() {
            if i != j && !is_cut(i) && !is_cut(j) {
                share.on_peer(&names[j], *demand, now);
            }
        }
    }
}

/// As multiples of the limit; the first seconds, with what was saved up, not counted.
fn figures(admitted: &[u32]) -> Vec<f64> {
    let change = (CHANGE_AT_MS / 1000) as usize;
    let mean = |part: &[u32]| f64::from(part.iter().sum::<u32>()) / part.len() as f64 / LIMIT;
    let steady = &admitted[5..];
    let worst = f64::from(steady.iter().copied().max().unwrap_or(0)) / LIMIT;
    let over: f64 = steady.iter().map(|n| (f64::from(*n) - LIMIT).max(0.0)).sum();
    vec![mean(&admitted[5..change]), mean(&admitted[change..]), worst, over / LIMIT]
}
