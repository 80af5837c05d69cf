//! Quarantine of requests that crash their instances, simulated for many seeds.

use workshold_model::quarantine::BrokenRule;
use workshold_model::quarantine::QuarantineWorld;

const SEEDS: u64 = 400;
const SEEDS_PER_BROKEN_RULE: u64 = 40;

#[test]
fn crashing_requests_are_soon_refused_and_harmless_ones_are_not_quarantined() {
    let mut most = 0;
    for seed in 0..SEEDS {
        let (breach, ended) = QuarantineWorld::new(seed, None).run();
        assert_eq!(breach, None, "seed {seed}");
        assert!(ended >= 3, "seed {seed}: too few instances ended for a useful run");
        most = most.max(ended);
    }
    assert!(most <= 9, "{most} instances ended in one run");
}

#[test]
fn each_broken_rule_is_detected() {
    for (broken, breach) in BrokenRule::ALL {
        let seen = (0..SEEDS_PER_BROKEN_RULE)
            .find(|seed| QuarantineWorld::new(*seed, Some(*broken)).run().0 == Some(*breach));
        assert!(seen.is_some(), "{broken:?}");
    }
}
