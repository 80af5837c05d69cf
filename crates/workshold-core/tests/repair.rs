//! The decision of least cost about a broken group.

use rstest::rstest;
use workshold_core::repair::Expectations;
use workshold_core::repair::Repair;
use workshold_core::repair::Situation;
use workshold_core::repair::SmallerRole;
use workshold_core::repair::choose;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Weights;
use workshold_protocol::ids::RoleName;

const PARKOWISKO: Weights = Weights { group_downtime: 1.0, stranded_accelerator: 0.002 };
const SIFR: Weights = Weights { group_downtime: 0.2, stranded_accelerator: 0.02 };

fn situation() -> Situation {
    Situation {
        size: 16,
        worth: 1.0,
        accelerators: 8,
        missing: 1,
        missing_for: Millis(3_000),
        spares: 0,
        other_rests: 0,
        release_time: Millis(4_600),
        load_time: Millis(160_000),
        smaller: Vec::new(),
    }
}

/// Members come back in a second, as one that is back already does.
fn soon() -> Expectations {
    Expectations {
        restart_share: 1.0,
        restart_time: Millis(1_000),
        replacement_time: Millis(1_000),
    }
}

#[rstest]
#[case::parkowisko(PARKOWISKO)]
#[case::sifr(SIFR)]
fn with_a_spare_at_hand_nobody_waits(#[case] weights: Weights) {
    let situation = Situation { spares: 1, ..situation() };
    // Not even for a member that is expected at once: the spare idles meanwhile.
    let choice = choose(situation, &soon(), weights);
    assert_eq!(choice.taken(), &Repair::UseSpare, "{choice:#?}");
}

#[test]
fn without_anything_at_hand_there_is_only_waiting() {
    let choice = choose(situation(), &Expectations::default(), PARKOWISKO);
    assert_eq!((choice.taken(), choice.options.len()), (&Repair::Wait, 1));
}

#[rstest]
#[case::likely_to_take_long(Expectations::default(), true)]
#[case::back_in_a_moment(soon(), false)]
fn a_smaller_role_is_taken_only_if_the_wait_is_long(
    #[case] expect: Expectations,
    #[case] shrinks: bool,
) {
    let role = RoleName::new("half").unwrap();
    let smaller = vec![SmallerRole { role: role.clone(), instances: 8, worth: 0.45 }];
    let choice = choose(Situation { smaller, ..situation() }, &expect, PARKOWISKO);
    assert_eq!(choice.taken() == &Repair::Shrink(role), shrinks, "{choice:#?}");
}

#[test]
fn the_longer_a_member_is_gone_the_less_a_restart_is_believed() {
    let cost = |secs: u64| {
        let gone = Situation { missing_for: Millis::from_secs(secs), ..situation() };
        choose(gone, &Expectations::default(), PARKOWISKO).options[0].cost
    };
    assert!(cost(3) < cost(120) && cost(120) < cost(1_200));
}

#[test]
fn two_broken_groups_make_a_whole_one() {
    let situation = Situation { other_rests: 15, ..situation() };
    let choice = choose(situation, &Expectations::default(), PARKOWISKO);
    assert_eq!(choice.taken(), &Repair::Merge, "{choice:#?}");
}
