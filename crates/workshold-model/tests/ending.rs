//! Quarantine of requests that crash their instances, simulated for many seeds.

use rstest::rstest;
use workshold_model::quarantine::Breach;
use workshold_model::quarantine::BrokenRule;
use workshold_model::quarantine::CrashCause;
use workshold_model::quarantine::QuarantineWorld;

const SEEDS: u64 = 400;
const SEEDS_PER_BROKEN_RULE: u64 = 40;

#[rstest]
#[case::content(CrashCause::Content)]
#[case::prompt_part(CrashCause::PromptPart)]
fn crashing_requests_are_soon_refused_and_harmless_ones_are_not_quarantined(
    #[case] cause: CrashCause,
) {
    let mut most = 0;
    for seed in 0..SEEDS {
        let (breach, ended) = QuarantineWorld::new(seed, cause, None).run();
        assert_eq!(breach, None, "seed {seed}");
        assert!(ended >= 3, "seed {seed}: too few instances ended for a useful run");
        most = most.max(ended);
    }
    assert!(most <= 9, "{most} instances ended in one run");
}

#[rstest]
#[case::content(CrashCause::Content, BrokenRule::ALL)]
#[case::prompt_part(CrashCause::PromptPart, BrokenRule::OF_PARTS)]
fn each_broken_rule_is_detected(
    #[case] cause: CrashCause,
    #[case] broken_rules: &[(BrokenRule, Breach)],
) {
    for (broken, breach) in broken_rules {
        let seen = (0..SEEDS_PER_BROKEN_RULE).find(|seed| {
            QuarantineWorld::new(*seed, cause, Some(*broken)).run().0 == Some(*breach)
        });
        assert!(seen.is_some(), "{broken:?}");
    }
}
