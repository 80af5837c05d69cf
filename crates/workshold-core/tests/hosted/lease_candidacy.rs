//! Which nodes stand for the lease.

use rstest::rstest;
use workshold_core::hosted::lease_candidacy::LeaseCandidacy;
use workshold_core::hosted::lease_candidacy::LeaseView;
use workshold_protocol::Millis;

const NOW: Millis = Millis(10_000);
const FOLLOWER: LeaseView =
    LeaseView { nodes_before: Some(0), holders: 20, is_store_answering: true };

/// Runs for a time in steps of 100 ms and returns whether the node stands at the end.
fn run(candidacy: &mut LeaseCandidacy, view: LeaseView, from: Millis, lasts: Millis) -> bool {
    (0..=lasts.0 / 100)
        .map(|step| candidacy.stands(view, from + Millis(step * 100)))
        .last()
        .unwrap()
}

#[test]
fn a_candidate_stands_at_once_and_a_follower_does_not() {
    let candidate = LeaseView { nodes_before: None, ..FOLLOWER };
    assert!(LeaseCandidacy::default().stands(candidate, NOW));
    assert!(!run(&mut LeaseCandidacy::default(), FOLLOWER, NOW, Millis(60_000)));
}

/// With all candidates turned away by the store, others take the lease one after the other.
#[rstest]
#[case(0, 800)]
#[case(1, 1_200)]
#[case(500, 5_600)]
fn followers_step_in_one_after_the_other(#[case] nodes_before: usize, #[case] by: u64) {
    let view = LeaseView { nodes_before: Some(nodes_before), holders: 0, ..FOLLOWER };
    let mut candidacy = LeaseCandidacy::default();
    assert!(!run(&mut candidacy, view, NOW, Millis(by - 300)));
    assert!(run(&mut candidacy, view, NOW, Millis(by)));
}

/// A moment without a holder, as in a change of the members, is no reason to step in.
#[test]
fn a_short_gap_changes_nothing() {
    let mut candidacy = LeaseCandidacy::default();
    let gap = LeaseView { holders: 0, ..FOLLOWER };
    for round in 0..10 {
        let from = NOW + Millis(round * 1_000);
        assert!(!run(&mut candidacy, gap, from, Millis(500)));
        assert!(!run(&mut candidacy, FOLLOWER, from + Millis(600), Millis(300)));
    }
}

/// Nobody can take the lease while the store answers nobody, and all of a large fleet would try.
#[test]
fn nobody_steps_in_while_the_store_is_away() {
    let view = LeaseView { holders: 0, is_store_answering: false, ..FOLLOWER };
    assert!(!run(&mut LeaseCandidacy::default(), view, NOW, Millis(60_000)));
}

#[test]
fn a_node_that_stepped_in_leaves_once_candidates_hold_the_lease_again() {
    let mut candidacy = LeaseCandidacy::default();
    let gap = LeaseView { holders: 0, ..FOLLOWER };
    assert!(run(&mut candidacy, gap, NOW, Millis(1_000)));
    let one = LeaseView { holders: 1, ..FOLLOWER };
    assert!(run(&mut candidacy, one, NOW + Millis(1_100), Millis(20_000)), "one may die");
    let from = NOW + Millis(30_000);
    assert!(run(&mut candidacy, FOLLOWER, from, Millis(5_000)));
    assert!(!run(&mut candidacy, FOLLOWER, from, Millis(6_500)));
}
