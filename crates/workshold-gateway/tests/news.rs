//! How soon all nodes have what comes to the list of instances, and what it costs each.
//!
//! The load that this answers: changes that reach hundreds of nodes through one of each data
//! centre, whose link they filled. The bound is the users': an instance that leaves gets
//! nothing new two seconds after its word. Half of it is for requests that are on their way.

mod fleet;

use rstest::rstest;
use workshold_protocol::Millis;

use crate::fleet::DATA_CENTRES;
use crate::fleet::Fleet;
use crate::fleet::SETTLES;

/// Half of the shortest bound on who leaves.
const KNOWN_WITHIN: Millis = Millis(1_000);
/// Entries that change at once: one, and a domain of those that hold the largest groups.
const ONE: u64 = 1;
const DOMAIN: u64 = 37;

fn settled(nodes: usize, lost: u32) -> Fleet {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    fleet.lost = lost;
    fleet
}

#[rstest]
#[case::one(ONE, 100)]
#[case::one_while_datagrams_are_lost(ONE, 10)]
#[case::many(DOMAIN, 100)]
#[case::many_while_datagrams_are_lost(DOMAIN, 10)]
fn all_have_a_change_within_half_the_bound(
    #[values(30, 100, 372)] nodes: usize,
    #[case] entries: u64,
    #[case] lost: u32,
) {
    let mut fleet = settled(nodes, lost);
    for _ in 0..8 {
        fleet.end += entries;
        fleet.run(KNOWN_WITHIN);
        assert_eq!(fleet.behind(), 0, "of {nodes} nodes");
    }
}

/// Changes that go on all the time, ten a second, as in a release.
#[rstest]
fn nobody_falls_behind_while_the_list_changes_all_the_time(#[values(30, 100, 372)] nodes: usize) {
    let mut fleet = settled(nodes, 50);
    for _ in 0..50 {
        fleet.end += 1;
        fleet.run(Millis(100));
        let least = fleet.nodes.iter().map(|node| node.list).min().unwrap();
        assert!(least + 10 >= fleet.end, "one of {nodes} is {} behind", fleet.end - least);
    }
}

/// Whoever tells most of a data centre dies as the change comes.
#[rstest]
fn a_change_is_known_although_who_passes_it_on_is_gone(#[values(100, 372)] nodes: usize) {
    let mut fleet = settled(nodes, 100);
    for data_centre in 0..DATA_CENTRES {
        let relays = fleet.relays();
        let first = relays.into_iter().find(|i| i % DATA_CENTRES == data_centre).unwrap();
        fleet.nodes[first].is_up = false;
    }
    fleet.end += 1;
    fleet.run(KNOWN_WITHIN);
    assert_eq!(fleet.behind(), 0);
}

/// All relays of a data centre die as the change comes: others take their place first.
#[test]
fn a_change_is_known_within_the_bound_although_all_relays_of_a_data_centre_are_gone() {
    let mut fleet = settled(100, 100);
    for i in fleet.relays().into_iter().filter(|i| i % DATA_CENTRES == 2) {
        fleet.nodes[i].is_up = false;
    }
    fleet.end += 1;
    fleet.run(Millis(2_000));
    assert_eq!(fleet.behind(), 0);
}

/// What a node sends for a change does not grow with the number of nodes.
#[rstest]
fn a_node_tells_no_more_of_a_change_the_more_nodes_there_are(#[values(30, 100, 372)] nodes: usize) {
    let mut fleet = settled(nodes, 100);
    let mut quiet = Fleet::start(nodes);
    quiet.run(SETTLES);
    let count = |fleet: &mut Fleet| {
        fleet.nodes.iter_mut().for_each(|node| node.sent = 0);
        fleet.run(KNOWN_WITHIN);
        fleet.nodes.iter().map(|node| node.sent).collect::<Vec<_>>()
    };
    let without = count(&mut quiet);
    fleet.end += 1;
    let with = count(&mut fleet);
    let more = with.iter().zip(&without).map(|(with, without)| with.saturating_sub(*without));
    let most = more.max().unwrap();
    // Three roots, four others, four data centres, and a pulse more or less.
    assert!(most <= 18, "one of {nodes} nodes sends {most} datagrams more");
}
