//! The time limit that callers of a route state.

use rstest::rstest;
use workshold_core::hosted::admission::stated_limit::StatedLimit;
use workshold_protocol::Millis;

const CONFIGURED: Millis = Millis(8_000);

/// Guards against taking every caller for one that returns, on a route whose callers state a shorter
/// limit than the configured one: they would all have waited for the difference.
#[test]
fn callers_that_state_less_than_the_configured_limit_have_not_waited() {
    let mut stated = StatedLimit::default();
    for number in 0..100 {
        let limit = stated.on_request(Millis(6_000), CONFIGURED, Millis(number * 500));
        assert_eq!(limit, Millis(6_000));
    }
}

/// Guards against returns that are not recognised because they are the newest requests.
#[rstest]
#[case::in_the_same_period(Millis(1_000))]
#[case::in_the_next_period(Millis(12_000))]
fn a_return_is_measured_by_the_limit_of_first_attempts(#[case] returns_at: Millis) {
    let mut stated = StatedLimit::default();
    stated.on_request(Millis(6_000), CONFIGURED, Millis(500));
    assert_eq!(stated.on_request(Millis(4_500), CONFIGURED, returns_at), Millis(6_000));
}

/// Guards against one caller with an absurd limit that makes all others look as if they returned,
/// beyond the configured limit or for long.
#[test]
fn one_long_limit_is_bounded_and_forgotten() {
    let mut stated = StatedLimit::default();
    assert_eq!(stated.on_request(Millis(3_600_000), CONFIGURED, Millis(0)), Millis(3_600_000));
    assert_eq!(stated.on_request(Millis(6_000), CONFIGURED, Millis(100)), CONFIGURED);
    assert_eq!(stated.on_request(Millis(6_000), CONFIGURED, Millis(25_000)), Millis(6_000));
}

/// Guards against limits of long ago after a pause, and against a clock that jumps back.
#[rstest]
#[case::after_a_pause(Millis(100_000))]
#[case::clock_jumped_back(Millis(100))]
fn old_limits_do_not_count(#[case] then: Millis) {
    let mut stated = StatedLimit::default();
    stated.on_request(Millis(7_000), CONFIGURED, Millis(50_000));
    assert_eq!(stated.on_request(Millis(5_000), CONFIGURED, then), Millis(5_000));
}

/// Guards against limits that are kept for ever for routes that get no more requests.
#[test]
fn only_limits_of_the_last_two_periods_are_recent() {
    let mut stated = StatedLimit::default();
    stated.on_request(Millis(6_000), CONFIGURED, Millis(15_000));
    assert!(stated.is_recent(Millis(29_999)));
    assert!(!stated.is_recent(Millis(30_000)));
}
