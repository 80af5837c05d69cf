//! Limits, backoffs and departures that an instance announces, simulated for many seeds.

use workshold_model::instance_limits::BrokenRule;
use workshold_model::instance_limits::LimitsWorld;

const SEEDS: u64 = 400;
const SEEDS_PER_BROKEN_RULE: u64 = 400;

#[test]
fn announced_limits_are_kept_and_lifted_limits_are_found() {
    for seed in 0..SEEDS {
        let (breach, _) = LimitsWorld::new(seed, None).run();
        assert_eq!(breach, None, "seed {seed}");
    }
}

#[test]
fn each_broken_rule_is_detected() {
    for (broken, breach) in BrokenRule::ALL {
        let seen = (0..SEEDS_PER_BROKEN_RULE)
            .find(|seed| LimitsWorld::new(*seed, Some(*broken)).run().0 == Some(*breach));
        assert!(seen.is_some(), "{broken:?}");
    }
}
