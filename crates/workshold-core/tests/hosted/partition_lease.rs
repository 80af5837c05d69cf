//! When a node that has just been granted a partition of the stewards' lease may order instances.

use rstest::rstest;
use workshold_core::hosted::partition_lease::HandoverTimings;
use workshold_core::hosted::partition_lease::PartitionLease;
use workshold_protocol::Millis;

const TIMINGS: HandoverTimings =
    HandoverTimings { max_order_delay: Millis(300), lease_ttl: Millis(1_500) };
const GRANTED_AT: Millis = Millis(10_000);

/// A partition's lease of generation 7 that was granted at [`GRANTED_AT`] and checked at `at`,
/// while other nodes act by leases of `generations`.
fn lease_checked_at(generations: &[u64], at: u64) -> PartitionLease {
    let mut lease = PartitionLease::new(7, GRANTED_AT);
    lease.observe_holders(generations.iter().copied(), TIMINGS, Millis(at));
    lease
}

#[rstest]
#[case::earlier_orders_may_be_under_way(&[7, 8], 10_299, false)]
#[case::all_others_know_of_the_change(&[7, 8], 10_300, true)]
#[case::no_other_node_orders(&[], 10_300, true)]
#[case::one_node_does_not_know_of_the_change(&[8, 6], 11_799, false)]
#[case::the_lease_of_that_node_has_expired(&[8, 6], 11_800, true)]
fn a_new_holder_may_order_once_no_other_node_does(
    #[case] generations: &[u64],
    #[case] at: u64,
    #[case] is_settled: bool,
) {
    assert_eq!(lease_checked_at(generations, at).may_order(Millis(at)), is_settled);
}

#[test]
fn a_list_that_was_read_earlier_is_not_used() {
    let lease = lease_checked_at(&[], 10_400);
    assert!(!lease.may_order(Millis(10_399)));
    assert!(lease.needs_list_reread(Millis(10_399)));
    assert!(lease.may_order(Millis(10_400)));
    assert!(!lease.needs_list_reread(Millis(10_400)));
}

#[test]
fn a_settled_lease_stays_settled() {
    let mut lease = lease_checked_at(&[], 10_400);
    lease.observe_holders([1].into_iter(), TIMINGS, Millis(10_500));
    assert!(lease.may_order(Millis(10_450)));
}
