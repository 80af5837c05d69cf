//! How soon changes of the instance list reach all nodes, and what that costs each node.
//!
//! Guards against this overload: changes reached hundreds of nodes through one node of each data
//! centre, and filled its link. The bound comes from the users: an instance gets no new requests
//! two seconds after it announced that it leaves. Half of that is left for requests under way.

mod fleet;

use rstest::rstest;
use workshold_protocol::Millis;

use crate::fleet::DATA_CENTRES;
use crate::fleet::Fleet;
use crate::fleet::SETTLE_TIME;

/// Half of the shortest bound on requests to an instance that leaves.
const KNOWN_WITHIN: Millis = Millis(1_000);
/// Entries that change at once: one, and all of a domain that holds one of the largest groups.
const ONE: u64 = 1;
const DOMAIN: u64 = 37;

fn settled(nodes: usize, one_lost_in: u32) -> Fleet {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    fleet.one_lost_in = one_lost_in;
    fleet
}

#[rstest]
#[case::one(ONE, 100)]
#[case::one_while_datagrams_are_lost(ONE, 10)]
#[case::many(DOMAIN, 100)]
#[case::many_while_datagrams_are_lost(DOMAIN, 10)]
fn all_nodes_get_a_change_within_half_the_bound(
    #[values(30, 100, 372)] nodes: usize,
    #[case] entries: u64,
    #[case] one_lost_in: u32,
) {
    let mut fleet = settled(nodes, one_lost_in);
    for _ in 0..8 {
        fleet.end += entries;
        fleet.run(KNOWN_WITHIN);
        assert_eq!(fleet.count_behind(), 0, "of {nodes} nodes");
    }
}

/// A steady ten changes per second, as during a rollout.
#[rstest]
fn no_node_falls_behind_under_a_steady_rate_of_changes(#[values(30, 100, 372)] nodes: usize) {
    let mut fleet = settled(nodes, 50);
    for _ in 0..50 {
        fleet.end += 1;
        fleet.run(Millis(100));
        let least = fleet.nodes.iter().map(|node| node.list).min().unwrap();
        assert!(
            least + 10 >= fleet.end,
            "one of {nodes} nodes lacks the last {} changes",
            fleet.end - least
        );
    }
}

/// The first relay of each data centre fails at the moment of the change.
#[rstest]
fn a_change_spreads_in_time_despite_failed_relays(#[values(100, 372)] nodes: usize) {
    let mut fleet = settled(nodes, 100);
    for data_centre in 0..DATA_CENTRES {
        let relays = fleet.relays();
        let first = relays.into_iter().find(|i| i % DATA_CENTRES == data_centre).unwrap();
        fleet.nodes[first].is_up = false;
    }
    fleet.end += 1;
    fleet.run(KNOWN_WITHIN);
    assert_eq!(fleet.count_behind(), 0);
}

/// All relays of a data centre fail at the moment of the change, so that other nodes have to become
/// relays first.
#[test]
fn a_change_spreads_within_the_bound_after_all_relays_of_a_data_centre_fail() {
    let mut fleet = settled(100, 100);
    for i in fleet.relays().into_iter().filter(|i| i % DATA_CENTRES == 2) {
        fleet.nodes[i].is_up = false;
    }
    fleet.end += 1;
    fleet.run(Millis(2_000));
    assert_eq!(fleet.count_behind(), 0);
}

/// The datagrams that a node sends for a change must not grow with the number of nodes.
#[rstest]
fn the_datagrams_per_change_do_not_grow_with_the_number_of_nodes(
    #[values(30, 100, 372)] nodes: usize,
) {
    let mut fleet = settled(nodes, 100);
    let mut unchanged = Fleet::start(nodes);
    unchanged.run(SETTLE_TIME);
    let count = |fleet: &mut Fleet| {
        fleet.nodes.iter_mut().for_each(|node| node.sent = 0);
        fleet.run(KNOWN_WITHIN);
        fleet.nodes.iter().map(|node| node.sent).collect::<Vec<_>>()
    };
    let without_change = count(&mut unchanged);
    fleet.end += 1;
    let with_change = count(&mut fleet);
    let extra = with_change
        .iter()
        .zip(&without_change)
        .map(|(with_change, without_change)| with_change.saturating_sub(*without_change));
    let max_extra = extra.max().unwrap();
    // To three store readers, four other nodes and four data centres, and a heartbeat more or less.
    assert!(max_extra <= 18, "one of {nodes} nodes sends {max_extra} datagrams for the change");
}
