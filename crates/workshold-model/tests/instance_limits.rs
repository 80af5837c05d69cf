//! An instance that says what it takes, over many drawn worlds.

use workshold_model::instance_limits::Broken;
use workshold_model::instance_limits::IntakeWorld;

const SEEDS: u64 = 400;
const SEEDS_OF_BROKEN: u64 = 400;

#[test]
fn what_an_instance_takes_is_kept_to_and_its_end_is_found() {
    for seed in 0..SEEDS {
        let (breach, _) = IntakeWorld::new(seed, None).run();
        assert_eq!(breach, None, "seed {seed}");
    }
}

#[test]
fn each_rule_that_is_broken_is_missed() {
    for (broken, breach) in Broken::ALL {
        let seen = (0..SEEDS_OF_BROKEN)
            .find(|seed| IntakeWorld::new(*seed, Some(*broken)).run().0 == Some(*breach));
        assert!(seen.is_some(), "{broken:?}");
    }
}
