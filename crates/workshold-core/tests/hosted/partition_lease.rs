//! When the holder of a part that has just come may order.

use rstest::rstest;
use workshold_core::hosted::partition_lease::HandoverTimings;
use workshold_core::hosted::partition_lease::PartitionLease;
use workshold_protocol::Millis;

const RULES: HandoverTimings =
    HandoverTimings { max_order_delay: Millis(300), lease_ttl: Millis(1_500) };
const TAKEN: Millis = Millis(10_000);

/// Looks at `at`, while others act by `others`.
fn looked(others: &[u64], at: u64) -> PartitionLease {
    let mut partition_lease = PartitionLease::new(7, TAKEN);
    partition_lease.observe_holders(others.iter().copied(), RULES, Millis(at));
    partition_lease
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
    let partition_lease = looked(&[], 10_400);
    assert!(!partition_lease.may_order(Millis(10_399)));
    assert!(partition_lease.needs_list_reread(Millis(10_399)));
    assert!(partition_lease.may_order(Millis(10_400)));
    assert!(!partition_lease.needs_list_reread(Millis(10_400)));
}

#[test]
fn what_has_settled_stays_so_whoever_is_heard_later() {
    let mut partition_lease = looked(&[], 10_400);
    partition_lease.observe_holders([1].into_iter(), RULES, Millis(10_500));
    assert!(partition_lease.may_order(Millis(10_450)));
}
