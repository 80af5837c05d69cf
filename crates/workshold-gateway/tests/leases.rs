//! When a node that was given a part of the lease anew may order by what it knows.
//!
//! By reading: a node stands still for longer than its lease lasts, another one gets its
//! part, forms a group and gives the part back; the answer that told the first node that it
//! holds nothing is lost, and the next one names the part again. It then ordered at once by
//! its list of before.

mod common;

use rstest::rstest;
use workshold_core::hosted::partition_lease::HandoverTimings;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::Fence;
use workshold_gateway::node::Node;
use workshold_gateway::tasks::leasing;
use workshold_platform::store::Answer;
use workshold_protocol::Millis;

const RULES: HandoverTimings =
    HandoverTimings { max_order_delay: Millis(300), lease_ttl: Millis(1_500) };

fn fence(era: u64, generation: u64) -> Fence {
    Fence { era: Era(era), generation }
}

fn may_order(node: &Node) -> bool {
    let now = node.now();
    let mut lease = node.lease.lock();
    let partition_lease = lease.parts.get_mut(&3).unwrap();
    partition_lease.observe_holders(std::iter::empty::<Fence>(), RULES, now);
    partition_lease.may_order(now)
}

/// A node holds part 3 and may order; `pause` later an answer names the part again.
#[rstest]
#[case::renewed_in_time(1_000, 0, 7, true)]
#[case::renewed_under_a_later_number(1_000, 0, 9, true)]
#[case::after_its_time(2_000, 0, 7, false)]
#[case::after_its_time_under_a_later_number(2_000, 0, 9, false)]
#[case::by_another_past(1_000, 1, 3, false)]
fn a_part_is_held_on_to_only_while_the_lease_lasts(
    #[case] pause: u64,
    #[case] era: u64,
    #[case] generation: u64,
    #[case] expected: bool,
) {
    let (node, clock, _) = common::node();
    node.take_answer(Answer { era: Era(0), value: () }, node.now()).unwrap();
    leasing::take(&node, fence(0, 7), &[3], node.now());
    clock.go_on(Millis(400));
    assert!(may_order(&node), "nobody else orders");
    leasing::take(&node, fence(0, 7), &[3], node.now());
    clock.go_on(Millis(pause));
    node.take_answer(Answer { era: Era(era), value: () }, node.now()).unwrap();
    leasing::take(&node, fence(era, generation), &[3], node.now());
    assert_eq!(may_order(&node), expected);
    clock.go_on(Millis(400));
    assert_eq!(may_order(&node), era == 0, "others have noticed by then");
    clock.go_on(Millis(6_000));
    assert!(may_order(&node), "what the store says is true by then");
}
