//! Return times of refused callers, and whether nodes recognise those that keep to them.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use workshold_core::hosted::admission::ArrivalKind;
use workshold_core::hosted::admission::return_time::Backlog;
use workshold_core::hosted::admission::return_time::RecentRefusals;
use workshold_core::hosted::admission::return_time::ReturnLedger;
use workshold_core::hosted::admission::return_time::TimedRequest;
use workshold_protocol::Millis;

const START: Millis = Millis::from_secs(1_000);
const TIME_LIMIT: Millis = Millis(6_000);
const WAIT_MIN: Millis = Millis(300);
/// Any number, infinite ones and those that are none included.
const FLOAT: prop::num::f64::Any = prop::num::f64::ANY;
const NO_BACKLOG: Backlog = Backlog { excess: 0.0, completed_per_s: 1e6 };

fn request(fingerprint: u64, time_left: Millis) -> TimedRequest {
    TimedRequest { fingerprint, time_limit: TIME_LIMIT, time_left }
}

/// A first attempt, which has all of its time left.
fn first(fingerprint: u64) -> TimedRequest {
    request(fingerprint, TIME_LIMIT)
}

/// The same request `wait` later.
fn after(request: TimedRequest, wait: Millis) -> TimedRequest {
    TimedRequest { time_left: request.time_left - wait, ..request }
}

/// Fails if more of the `returns` fall into any period from `START` on than capacity appears for,
/// but for one that is always allowed.
fn check_spread(returns: &[Millis], backlog: Backlog) -> Result<(), String> {
    let mut sorted = returns.to_vec();
    sorted.sort_unstable();
    for (earlier, at) in sorted.iter().enumerate() {
        let capacity = backlog.completed_per_s * at.as_secs_f64() - backlog.excess;
        if earlier as f64 > capacity + 1e-6 {
            return Err(format!("{earlier} return before {at}, capacity is {capacity}"));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(2_000) })]

    /// Guards against a return that callers wouldn't honour, and against one that is useless.
    #[test]
    fn the_earliest_return_is_within_a_third_of_the_limit(fingerprint in any::<u64>(), limit in 900..60_000_u64) {
        let request = TimedRequest { time_limit: Millis(limit), ..first(fingerprint) };
        let earliest = request.earliest_return();
        prop_assert!(earliest >= WAIT_MIN && earliest.0 <= limit / 3, "{earliest}");
    }

    /// Guards against a caller that does as told and isn't recognised, at the node that refused it
    /// or at any that never saw it, after its first refusal or a later one.
    #[test]
    fn a_caller_that_returns_as_told_is_recognised_everywhere(
        fingerprint in any::<u64>(),
        limit in 100..60_000_u64,
        excess in 0.0..100.0_f64,
        completed_per_s in 0.1..100.0_f64,
        extra in 0..50_u64,
    ) {
        let mut ledger = ReturnLedger::default();
        let mut refusals = RecentRefusals::default();
        let mut now = START;
        let mut request =
            TimedRequest { fingerprint, time_limit: Millis(limit), time_left: Millis(limit) };
        for _ in 0..4 {
            let told = ledger.retry_after(request, Backlog { excess, completed_per_s }, now);
            refusals.on_refusal(request, told, now);
            let wait = told + Millis(extra);
            if wait >= request.time_left {
                break;
            }
            now = now + wait;
            request = after(request, wait);
            prop_assert_eq!(refusals.kind(request, now), ArrivalKind::Returning);
            prop_assert_eq!(RecentRefusals::default().kind(request, now), ArrivalKind::Returning);
        }
    }

    /// Guards against a time that is longer than callers honour without need, and against one
    /// before capacity is expected.
    #[test]
    fn the_time_told_is_honoured_where_capacity_allows(
        fingerprint in any::<u64>(),
        time_left in 1..6_000_u64,
        excess in 0.0..50.0_f64,
        completed_per_s in 0.1..100.0_f64,
    ) {
        let request = request(fingerprint, Millis(time_left));
        let told = ReturnLedger::default()
            .retry_after(request, Backlog { excess, completed_per_s }, START);
        let until_capacity = excess / completed_per_s * 1_000.0;
        // Slots of 100 ms round up, and a return is spread over one.
        let with_slot = until_capacity + 200.0;
        let longest = time_left / 3;
        if with_slot <= longest as f64 {
            prop_assert!(told.0 <= longest, "{told}, third of the time left {longest}");
        }
        let latest = 60_000.0;
        prop_assert!(told.0 as f64 >= until_capacity.floor().min(latest), "{told}, {until_capacity}");
        prop_assert!(told.0 >= longest.min(WAIT_MIN.0), "{told}");
    }

    /// Guards against callers that return together: no more than capacity appears for.
    #[test]
    fn returns_are_spread_at_the_rate_at_which_capacity_appears(
        fingerprints in prop::collection::vec(any::<u64>(), 1..60),
        excess in 0.0..10.0_f64,
        completed_per_s in 1.0..40.0_f64,
    ) {
        let backlog = Backlog { excess, completed_per_s };
        let returns = honoured_returns(&mut ReturnLedger::default(), &fingerprints, backlog);
        check_spread(&returns, backlog).map_err(TestCaseError::fail)?;
    }

    /// Guards against panics and endless waits on absurd input, with clocks that jump anywhere.
    #[test]
    fn any_input_gives_a_bounded_time(
        inputs in prop::collection::vec((any::<[u64; 4]>(), FLOAT, FLOAT), 1..20),
    ) {
        let mut ledger = ReturnLedger::default();
        let mut refusals = RecentRefusals::default();
        for ([fingerprint, limit, left, now], excess, completed_per_s) in inputs {
            let request = TimedRequest {
                fingerprint,
                time_limit: Millis(limit),
                time_left: Millis(left),
            };
            let now = Millis(now);
            let told = ledger.retry_after(request, Backlog { excess, completed_per_s }, now);
            prop_assert!(told <= Millis(limit / 3).max(Millis(60_000)), "{told}");
            refusals.on_refusal(request, told, now);
            refusals.kind(request, now);
        }
    }

    /// Guards against an innocent request that is placed behind because of another fingerprint.
    #[test]
    fn a_fingerprint_that_was_not_refused_is_never_early(
        refused in prop::collection::vec(any::<u64>(), 0..200),
        other in any::<u64>(),
    ) {
        prop_assume!(!refused.contains(&other));
        let mut refusals = RecentRefusals::default();
        for fingerprint in refused {
            refusals.on_refusal(first(fingerprint), Millis(1_000), START);
        }
        prop_assert_eq!(refusals.kind(first(other), START), ArrivalKind::New);
    }
}

/// The return times of those callers that honour them; all are refused at `START`.
fn honoured_returns(
    ledger: &mut ReturnLedger,
    fingerprints: &[u64],
    backlog: Backlog,
) -> Vec<Millis> {
    let told = fingerprints.iter().map(|of| ledger.retry_after(first(*of), backlog, START));
    told.filter(|told| told.0 <= TIME_LIMIT.0 / 3).collect()
}

/// Guards against a spread check that passes whatever the times are: without the ledger's memory,
/// callers return before there is capacity for all of them.
#[test]
fn without_the_ledger_returns_exceed_the_capacity() {
    let backlog = Backlog { excess: 5.0, completed_per_s: 7.5 };
    let fingerprints: Vec<_> = (0..60).collect();
    let with = honoured_returns(&mut ReturnLedger::default(), &fingerprints, backlog);
    check_spread(&with, backlog).expect("with the ledger");
    let forgetful = |of: &u64| honoured_returns(&mut ReturnLedger::default(), &[*of], backlog);
    let without: Vec<_> = fingerprints.iter().flat_map(forgetful).collect();
    check_spread(&without, backlog).expect_err("without the ledger");
    assert!(with.len() >= 8, "a third of the limit has capacity for ten: {}", with.len());
}

/// Guards against a hash that changes from one version to the next: nodes of both run side by side
/// in an update and must agree on the earliest return. Change these only with a rule for that.
#[rstest]
#[case(0, 431)]
#[case(1, 1_608)]
#[case(u64::MAX, 1_001)]
fn the_earliest_return_is_the_same_in_all_versions(
    #[case] fingerprint: u64,
    #[case] expected_ms: u64,
) {
    assert_eq!(first(fingerprint).earliest_return(), Millis(expected_ms));
}

/// Guards against an earliest return that is told the same to many callers.
#[test]
fn earliest_returns_fill_their_window_evenly() {
    let mut tenths = [0_u32; 10];
    for fingerprint in 0..10_000 {
        let offset = first(fingerprint).earliest_return() - WAIT_MIN;
        tenths[(offset.0 * 10 / (TIME_LIMIT.0 / 3 - WAIT_MIN.0)) as usize] += 1;
    }
    assert!(tenths.iter().all(|count| (900..1_100).contains(count)), "{tenths:?}");
}

/// Guards against a check that accepts every return: a variant that tells callers half of their
/// earliest return must not be recognised.
#[test]
fn callers_that_are_told_too_short_a_time_are_not_recognised() {
    let returns_at = |part: u64| {
        let waited = |of: u64| Millis(first(of).earliest_return().0 / part);
        (0..100).filter(|of| after(first(*of), waited(*of)).returns_as_told()).count()
    };
    assert_eq!((returns_at(1), returns_at(2)), (100, 0));
}

/// Guards against a gain from returning at once: the node that refused the caller places it behind
/// until its time has come, however often it tries.
#[test]
fn a_caller_that_returns_at_once_and_often_is_placed_behind() {
    let mut refusals = RecentRefusals::default();
    let mut ledger = ReturnLedger::default();
    let caller = first(7);
    let told = ledger.retry_after(caller, NO_BACKLOG, START);
    refusals.on_refusal(caller, told, START);
    for wait in (10..told.0 - 10).step_by(20).map(Millis) {
        let attempt = after(caller, wait);
        assert_eq!(refusals.kind(attempt, START + wait), ArrivalKind::Early, "after {wait}");
        assert_eq!(RecentRefusals::default().kind(attempt, START + wait), ArrivalKind::New);
        refusals.on_refusal(
            attempt,
            ledger.retry_after(attempt, NO_BACKLOG, START + wait),
            START + wait,
        );
    }
    assert_eq!(refusals.kind(after(caller, told), START + told), ArrivalKind::Returning);
}

/// Guards against a caller that waited once, was refused again, and then comes back at once with
/// the place of a returning one.
#[test]
fn a_returning_caller_that_is_refused_must_wait_again() {
    let mut refusals = RecentRefusals::default();
    let mut ledger = ReturnLedger::default();
    let returning = after(first(7), Millis(2_000));
    let now = START + Millis(2_000);
    assert_eq!(refusals.kind(returning, now), ArrivalKind::Returning);
    let told = ledger.retry_after(returning, NO_BACKLOG, now);
    refusals.on_refusal(returning, told, now);
    let at_once = after(returning, Millis(50));
    assert_eq!(refusals.kind(at_once, now + Millis(50)), ArrivalKind::Early);
    let as_told = after(returning, told);
    assert_eq!(refusals.kind(as_told, now + told), ArrivalKind::Returning);
}

/// Guards against a returning caller that loses its place since another request with the same
/// content was refused a moment ago.
#[test]
fn a_refused_twin_does_not_hold_up_a_returning_caller() {
    let mut refusals = RecentRefusals::default();
    refusals.on_refusal(first(7), first(7).earliest_return(), START + Millis(1_950));
    let returning = after(first(7), Millis(2_000));
    assert_eq!(refusals.kind(returning, START + Millis(2_000)), ArrivalKind::Returning);
}

/// Guards against a missing or absurd time left that passes for a wait.
#[rstest]
#[case::none(6_000, 0)]
#[case::beyond_the_limit(6_000, 9_000)]
#[case::no_limit(0, 0)]
#[case::no_limit_but_time_left(0, 500)]
fn an_absurd_time_left_is_no_wait(#[case] limit: u64, #[case] left: u64) {
    let request =
        TimedRequest { fingerprint: 7, time_limit: Millis(limit), time_left: Millis(left) };
    assert_eq!(request.waited(), Millis::ZERO);
    assert_eq!(RecentRefusals::default().kind(request, START), ArrivalKind::New);
}

/// Guards against a caller that is told nothing useful where the rate isn't known.
#[rstest]
#[case::zero(0.0)]
#[case::negative(-3.0)]
#[case::not_a_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
fn without_a_known_rate_the_earliest_return_is_told(#[case] completed_per_s: f64) {
    let backlog = Backlog { excess: 40.0, completed_per_s };
    let told = ReturnLedger::default().retry_after(first(7), backlog, START);
    assert_eq!(told, first(7).earliest_return());
}

/// Guards against a caller without a chance that is told to return in vain.
#[test]
fn the_true_time_is_told_where_no_capacity_appears_in_time() {
    let backlog = Backlog { excess: 50.0, completed_per_s: 10.0 };
    let told = ReturnLedger::default().retry_after(first(7), backlog, START);
    assert!(told >= Millis(5_000) && told < Millis(5_200), "{told}");
    let far = Backlog { excess: 300.0, completed_per_s: 10.0 };
    let beyond_ledger = ReturnLedger::default().retry_after(first(7), far, START);
    assert!(beyond_ledger >= Millis(30_000) && beyond_ledger < Millis(38_000), "{beyond_ledger}");
}

/// Guards against a spread that takes a return beyond what its caller honours, where there is
/// capacity just before.
#[test]
fn spreading_keeps_to_the_longest_time_that_is_honoured() {
    let backlog = Backlog { excess: 19.5, completed_per_s: 10.0 };
    for fingerprint in 0..100 {
        let told = ReturnLedger::default().retry_after(first(fingerprint), backlog, START);
        assert!(told >= Millis(1_950) && told.0 <= TIME_LIMIT.0 / 3, "{fingerprint}: {told}");
    }
}

/// Guards against records that hold callers up for as long as a clock has jumped.
#[test]
fn after_a_clock_jumps_back_nothing_is_held_up() {
    let mut refusals = RecentRefusals::default();
    refusals.on_refusal(first(7), Millis(2_000), START + Millis::from_secs(500));
    assert_eq!(refusals.kind(first(7), START), ArrivalKind::New);
    let backlog = Backlog { excess: 0.0, completed_per_s: 2.0 };
    let mut ledger = ReturnLedger::default();
    for fingerprint in 0..20 {
        ledger.retry_after(first(fingerprint), backlog, START + Millis::from_secs(500));
    }
    let fresh = ReturnLedger::default().retry_after(first(7), backlog, START);
    assert_eq!(ledger.retry_after(first(7), backlog, START), fresh);
}

/// Guards against a ledger that forgets what it told when threads read the clock in another order
/// than they take the lock.
#[test]
fn a_clock_that_is_a_little_behind_keeps_the_ledger() {
    let backlog = Backlog { excess: 0.0, completed_per_s: 2.0 };
    let mut ledger = ReturnLedger::default();
    for fingerprint in 0..20 {
        ledger.retry_after(first(fingerprint), backlog, START);
    }
    let told = ledger.retry_after(first(99), backlog, START - Millis(150));
    assert!(told.0 > TIME_LIMIT.0 / 3, "all of the capacity in time has been told: {told}");
}
