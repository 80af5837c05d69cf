//! Eras of the store, and how log positions and fencing tokens compare across them.

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
fn the_era_is_compared_before_the_offset_and_the_generation() {
    let position = |era, offset| LogPosition { era: Era(era), offset };
    assert!(position(1, 0) > position(0, u64::MAX));
    assert!(position(1, 3) < position(1, 4));
    assert!(fence(2, 1) > fence(1, 4_000_000));
    assert!(fence(2, 1).number() > fence(1, 4_000_000).number());
}

/// An epoch has 24 bits below the number, so the largest number keeps it under 63 bits.
#[rstest]
#[case::never_restored(fence(0, 7), Some(7))]
#[case::highest_generation(fence(0, (1 << 22) - 1), Some((1 << 22) - 1))]
#[case::generation_too_large(fence(0, 1 << 22), None)]
#[case::first_of_an_era(fence(1, 0), Some(1 << 22))]
#[case::highest_number(fence((1 << 17) - 1, (1 << 22) - 1), Some((1 << 39) - 1))]
#[case::era_too_large(fence(1 << 17, 0), None)]
fn fence_number_is_none_if_it_does_not_fit(#[case] fence: Fence, #[case] expected: Option<u64>) {
    assert_eq!(fence.number(), expected);
}

#[test]
fn the_first_era_is_not_newer_and_an_older_one_is_ignored() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.observe(Era(3), NOW), EraOrder::Same);
    assert_eq!(tracker.observe(Era(2), NOW), EraOrder::Older);
    assert_eq!(
        tracker.observe(Era(0), NOW),
        EraOrder::Older,
        "an answer without an era counts as era 0"
    );
    assert_eq!(tracker.observe(Era(5), NOW), EraOrder::Newer, "two restores between two answers");
    assert_eq!(tracker.observe(Era(5), NOW), EraOrder::Same);
    assert_eq!(tracker.era(), Era(5));
}

#[test]
fn the_list_is_trusted_once_its_era_has_settled() {
    let mut tracker = EraTracker::default();
    tracker.observe(Era(0), NOW);
    assert_eq!(tracker.trusted_from(), Millis::ZERO, "the store was never restored");
    tracker.observe(Era(1), NOW);
    assert_eq!(tracker.trusted_from(), NOW + RESTORE_SETTLE_TIME);
    tracker.observe(Era(1), NOW - Millis(2_000));
    assert_eq!(
        tracker.trusted_from(),
        NOW - Millis(2_000) + RESTORE_SETTLE_TIME,
        "a peer saw the era earlier"
    );
    tracker.mark_settled(Era(0));
    assert!(tracker.trusted_from() > Millis::ZERO, "the stored record is of another era");
    tracker.mark_settled(Era(1));
    assert_eq!(tracker.trusted_from(), Millis::ZERO);
    tracker.observe(Era(2), NOW + Millis(9_000));
    assert_eq!(
        tracker.trusted_from(),
        NOW + Millis(9_000) + RESTORE_SETTLE_TIME,
        "the next era has yet to settle"
    );
}
