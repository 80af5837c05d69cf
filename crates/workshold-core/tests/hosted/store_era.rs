//! Which past of the store an answer belongs to, and what that makes of places and rights.

use rstest::rstest;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::EraOrder;
use workshold_core::hosted::store_era::EraTracker;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::store_era::RESTORE_SETTLE_TIME;
use workshold_protocol::Millis;

const NOW: Millis = Millis(50_000);

fn fence(era: u64, generation: u64) -> Fence {
    Fence { era: Era(era), generation }
}

#[test]
fn the_past_decides_before_the_place_and_before_the_number() {
    let place = |era, offset| LogPosition { era: Era(era), offset };
    assert!(place(1, 0) > place(0, u64::MAX));
    assert!(place(1, 3) < place(1, 4));
    assert!(fence(2, 1) > fence(1, 4_000_000));
    assert!(fence(2, 1).number() > fence(1, 4_000_000).number());
}

/// With 24 bits of an epoch below it, a number stays under 63 bits.
#[rstest]
#[case::a_store_that_never_returned(fence(0, 7), Some(7))]
#[case::the_highest_generation(fence(0, (1 << 22) - 1), Some((1 << 22) - 1))]
#[case::one_more(fence(0, 1 << 22), None)]
#[case::the_first_of_an_era(fence(1, 0), Some(1 << 22))]
#[case::the_highest_of_all(fence((1 << 17) - 1, (1 << 22) - 1), Some((1 << 39) - 1))]
#[case::an_era_too_many(fence(1 << 17, 0), None)]
fn a_number_that_does_not_fit_is_none(#[case] fence: Fence, #[case] expected: Option<u64>) {
    assert_eq!(fence.number(), expected);
}

#[test]
fn the_first_era_is_no_rise_and_an_earlier_one_says_nothing() {
    let mut store_era = EraTracker::default();
    assert_eq!(store_era.observe(Era(3), NOW), EraOrder::Same);
    assert_eq!(store_era.observe(Era(2), NOW), EraOrder::Older);
    assert_eq!(store_era.observe(Era(0), NOW), EraOrder::Older, "nor does one without a header");
    assert_eq!(store_era.observe(Era(5), NOW), EraOrder::Newer, "two returns while nobody asked");
    assert_eq!(store_era.observe(Era(5), NOW), EraOrder::Same);
    assert_eq!(store_era.era(), Era(5));
}

#[test]
fn what_the_store_lists_is_true_once_its_era_is_old() {
    let mut store_era = EraTracker::default();
    store_era.observe(Era(0), NOW);
    assert_eq!(store_era.trusted_from(), Millis::ZERO, "it has never returned");
    store_era.observe(Era(1), NOW);
    assert_eq!(store_era.trusted_from(), NOW + RESTORE_SETTLE_TIME);
    store_era.observe(Era(1), NOW - Millis(2_000));
    assert_eq!(
        store_era.trusted_from(),
        NOW - Millis(2_000) + RESTORE_SETTLE_TIME,
        "by a peer's word"
    );
    store_era.mark_settled(Era(0));
    assert!(store_era.trusted_from() > Millis::ZERO, "what is kept is of another era");
    store_era.mark_settled(Era(1));
    assert_eq!(store_era.trusted_from(), Millis::ZERO);
    store_era.observe(Era(2), NOW + Millis(9_000));
    assert_eq!(store_era.trusted_from(), NOW + Millis(9_000) + RESTORE_SETTLE_TIME, "and anew");
}
