//! When a node that gets a partition of the stewards' lease back may send orders again.
//!
//! Guards against this failure: a node is suspended for longer than its lease lasts; another node
//! gets its partition, forms a group and gives the partition back; the answer that told the first
//! node that it holds nothing is lost, and the next answer names the partition again. The first
//! node then sent orders at once, by its outdated instance list.

mod common;

use rstest::rstest;
use workshold_core::hosted::partition_lease::HandoverTimings;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::Fence;
use workshold_gateway::node::Node;
use workshold_gateway::tasks::leasing;
use workshold_platform::store::Answer;
use workshold_protocol::Millis;

const TIMINGS: HandoverTimings =
    HandoverTimings { max_order_delay: Millis(300), lease_ttl: Millis(1_500) };

fn fence(era: u64, generation: u64) -> Fence {
    Fence { era: Era(era), generation }
}

fn may_order(node: &Node) -> bool {
    let now = node.now();
    let mut lease = node.lease.lock();
    let partition_lease = lease.parts.get_mut(&3).unwrap();
    partition_lease.observe_holders(std::iter::empty::<Fence>(), TIMINGS, now);
    partition_lease.may_order(now)
}

/// A node holds partition 3 and may send orders. After `pause` an answer names the partition again.
#[rstest]
#[case::renewed_in_time(1_000, 0, 7, true)]
#[case::renewed_with_a_newer_generation(1_000, 0, 9, true)]
#[case::after_expiry(2_000, 0, 7, false)]
#[case::after_expiry_with_a_newer_generation(2_000, 0, 9, false)]
#[case::in_a_new_era(1_000, 1, 3, false)]
fn orders_are_allowed_only_while_the_lease_lasts(
    #[case] pause: u64,
    #[case] era: u64,
    #[case] generation: u64,
    #[case] expected: bool,
) {
    let (node, clock, _) = common::node();
    node.take_answer(Answer { era: Era(0), value: () }, node.now()).unwrap();
    leasing::take(&node, fence(0, 7), &[3], node.now());
    clock.advance(Millis(400));
    assert!(may_order(&node), "no other node holds the partition");
    leasing::take(&node, fence(0, 7), &[3], node.now());
    clock.advance(Millis(pause));
    node.take_answer(Answer { era: Era(era), value: () }, node.now()).unwrap();
    leasing::take(&node, fence(era, generation), &[3], node.now());
    assert_eq!(may_order(&node), expected);
    clock.advance(Millis(400));
    assert_eq!(may_order(&node), era == 0, "any former holder has stopped by then");
    clock.advance(Millis(6_000));
    assert!(may_order(&node), "a restored store is trusted by then");
}
