//! Tests of the choice of a repair for a broken group.

use rstest::rstest;
use workshold_core::repair::Expectations;
use workshold_core::repair::Repair;
use workshold_core::repair::Situation;
use workshold_core::repair::SmallerRole;
use workshold_core::repair::choose_repair;
use workshold_protocol::Millis;
use workshold_protocol::bundle::CostWeights;
use workshold_protocol::ids::RoleName;

const DOWNTIME_COSTLY: CostWeights =
    CostWeights { group_downtime: 1.0, stranded_accelerator: 0.002 };
const ACCELERATORS_COSTLY: CostWeights =
    CostWeights { group_downtime: 0.2, stranded_accelerator: 0.02 };

fn situation() -> Situation {
    Situation {
        size: 16,
        worth: 1.0,
        accelerators: 8,
        missing: 1,
        missing_for: Millis(3_000),
        spares: 0,
        other_remaining: 0,
        release_time: Millis(4_600),
        load_time: Millis(160_000),
        smaller: Vec::new(),
    }
}

/// Every missing member returns within a second.
fn fast_return() -> Expectations {
    Expectations {
        restart_share: 1.0,
        restart_time: Millis(1_000),
        replacement_time: Millis(1_000),
    }
}

#[rstest]
#[case::downtime_costly(DOWNTIME_COSTLY)]
#[case::accelerators_costly(ACCELERATORS_COSTLY)]
fn uses_a_free_spare_instead_of_waiting(#[case] weights: CostWeights) {
    let situation = Situation { spares: 1, ..situation() };
    // Even if the member is expected back at once: the spare would be idle meanwhile.
    let choice = choose_repair(situation, &fast_return(), weights);
    assert_eq!(choice.taken(), &Repair::UseSpare, "{choice:#?}");
}

#[test]
fn waits_if_nothing_else_is_possible() {
    let choice = choose_repair(situation(), &Expectations::default(), DOWNTIME_COSTLY);
    assert_eq!((choice.taken(), choice.options.len()), (&Repair::Wait, 1));
}

#[rstest]
#[case::long_wait_expected(Expectations::default(), true)]
#[case::short_wait_expected(fast_return(), false)]
fn shrinks_only_if_a_long_wait_is_expected(#[case] expect: Expectations, #[case] shrinks: bool) {
    let role = RoleName::new("half").unwrap();
    let smaller = vec![SmallerRole { role: role.clone(), instances: 8, worth: 0.45 }];
    let choice = choose_repair(Situation { smaller, ..situation() }, &expect, DOWNTIME_COSTLY);
    assert_eq!(choice.taken() == &Repair::Shrink(role), shrinks, "{choice:#?}");
}

#[test]
fn expected_cost_grows_with_the_time_a_member_is_missing() {
    let cost = |secs: u64| {
        let gone = Situation { missing_for: Millis::from_secs(secs), ..situation() };
        choose_repair(gone, &Expectations::default(), DOWNTIME_COSTLY).options[0].cost
    };
    assert!(cost(3) < cost(120) && cost(120) < cost(1_200));
}

#[test]
fn merges_two_broken_groups() {
    let situation = Situation { other_remaining: 15, ..situation() };
    let choice = choose_repair(situation, &Expectations::default(), DOWNTIME_COSTLY);
    assert_eq!(choice.taken(), &Repair::Merge, "{choice:#?}");
}
