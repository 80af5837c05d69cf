//! Which past of the store an answer belongs to, and what that makes of places and rights.

use rstest::rstest;
use workshold_core::hosted::history::COPY_STANDS;
use workshold_core::hosted::history::Era;
use workshold_core::hosted::history::Fence;
use workshold_core::hosted::history::Heard;
use workshold_core::hosted::history::History;
use workshold_core::hosted::history::Place;
use workshold_protocol::Millis;

const NOW: Millis = Millis(50_000);

fn fence(era: u64, generation: u64) -> Fence {
    Fence { era: Era(era), generation }
}

#[test]
fn the_past_decides_before_the_place_and_before_the_number() {
    let place = |era, offset| Place { era: Era(era), offset };
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
    let mut history = History::default();
    assert_eq!(history.hear(Era(3), NOW), Heard::Known);
    assert_eq!(history.hear(Era(2), NOW), Heard::Earlier);
    assert_eq!(history.hear(Era(0), NOW), Heard::Earlier, "nor does one without a header");
    assert_eq!(history.hear(Era(5), NOW), Heard::Risen, "two returns while nobody asked");
    assert_eq!(history.hear(Era(5), NOW), Heard::Known);
    assert_eq!(history.era(), Era(5));
}

#[test]
fn what_the_store_lists_is_true_once_its_era_is_old() {
    let mut history = History::default();
    history.hear(Era(0), NOW);
    assert_eq!(history.is_true_from(), Millis::ZERO, "it has never returned");
    history.hear(Era(1), NOW);
    assert_eq!(history.is_true_from(), NOW + COPY_STANDS);
    history.hear(Era(1), NOW - Millis(2_000));
    assert_eq!(history.is_true_from(), NOW - Millis(2_000) + COPY_STANDS, "by a peer's word");
    history.note_old(Era(0));
    assert!(history.is_true_from() > Millis::ZERO, "what is kept is of another era");
    history.note_old(Era(1));
    assert_eq!(history.is_true_from(), Millis::ZERO);
    history.hear(Era(2), NOW + Millis(9_000));
    assert_eq!(history.is_true_from(), NOW + Millis(9_000) + COPY_STANDS, "and anew");
}
