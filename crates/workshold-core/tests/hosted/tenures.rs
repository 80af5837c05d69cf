//! When the holder of a part that has just come may order.

use rstest::rstest;
use workshold_core::hosted::tenure::Tenure;
use workshold_core::hosted::tenure::TenureRules;
use workshold_protocol::Millis;

const RULES: TenureRules = TenureRules { orders_arrive: Millis(300), lease_ttl: Millis(1_500) };
const TAKEN: Millis = Millis(10_000);

/// Looks at `at`, while others act by `others`.
fn looked(others: &[u64], at: u64) -> Tenure {
    let mut tenure = Tenure::new(7, TAKEN);
    tenure.look(others.iter().copied(), RULES, Millis(at));
    tenure
}

#[rstest]
#[case::orders_may_be_on_their_way(&[7, 8], 10_299, false)]
#[case::all_have_noticed(&[7, 8], 10_300, true)]
#[case::nobody_else_acts(&[], 10_300, true)]
#[case::one_has_not_noticed(&[8, 6], 11_799, false)]
#[case::its_lease_has_run_out(&[8, 6], 11_800, true)]
fn a_part_settles_when_nobody_else_orders(
    #[case] others: &[u64],
    #[case] at: u64,
    #[case] is_settled: bool,
) {
    assert_eq!(looked(others, at).may_order(Millis(at)), is_settled);
}

#[test]
fn a_list_whose_reading_began_earlier_does_not_do() {
    let tenure = looked(&[], 10_400);
    assert!(!tenure.may_order(Millis(10_399)));
    assert!(tenure.wants_list(Millis(10_399)));
    assert!(tenure.may_order(Millis(10_400)));
    assert!(!tenure.wants_list(Millis(10_400)));
}

#[test]
fn what_has_settled_stays_so_whoever_is_heard_later() {
    let mut tenure = looked(&[], 10_400);
    tenure.look([1].into_iter(), RULES, Millis(10_500));
    assert!(tenure.may_order(Millis(10_450)));
}
