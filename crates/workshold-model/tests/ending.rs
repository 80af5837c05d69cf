//! Requests that end whoever runs them, over many drawn worlds.

use workshold_model::ending::Broken;
use workshold_model::ending::EndingWorld;

const SEEDS: u64 = 400;
const SEEDS_OF_BROKEN: u64 = 40;

#[test]
fn what_ends_its_instances_is_soon_sent_no_more_and_nobody_else_is_held() {
    let mut most = 0;
    for seed in 0..SEEDS {
        let (breach, ended) = EndingWorld::new(seed, None).run();
        assert_eq!(breach, None, "seed {seed}");
        assert!(ended >= 3, "seed {seed}: a world in which nothing ends proves nothing");
        most = most.max(ended);
    }
    assert!(most <= 9, "{most} instances have ended");
}

#[test]
fn each_rule_that_is_broken_is_missed() {
    for (broken, breach) in Broken::ALL {
        let seen = (0..SEEDS_OF_BROKEN)
            .find(|seed| EndingWorld::new(*seed, Some(*broken)).run().0 == Some(*breach));
        assert!(seen.is_some(), "{broken:?}");
    }
}
