//! What nodes tell each other: how much of it there is, how old it gets, and who is missed
//! when relays fall silent. No sockets: messages come some milliseconds after they are
//! said, or are lost.
//!
//! The load that this answers: several hundred nodes of which each told all others how it
//! was, 460 datagrams a second each, so that telling cost more than serving.

mod fleet;

use rstest::rstest;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::QuarantineStatus;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_gateway::peers::Peers;
use workshold_gateway::peers::exchange::LocalNode;
use workshold_gateway::peers::exchange::RELAYS_PER_DATA_CENTRE;
use workshold_protocol::Millis;

use crate::fleet::DATA_CENTRES;
use crate::fleet::Fleet;
use crate::fleet::SETTLES;
use crate::fleet::Sim;
use crate::fleet::address;

#[rstest]
#[case(10)]
#[case(100)]
#[case(372)]
fn all_come_to_hear_of_each_other_although_the_store_names_one_only(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    let all = (nodes - 1, nodes - 1);
    for _ in 0..10 {
        if fleet.heard() == all {
            break;
        }
        fleet.run(Millis(300));
    }
    assert_eq!(fleet.heard(), all);
    let expected = nodes.min(RELAYS_PER_DATA_CENTRE * DATA_CENTRES);
    assert_eq!(fleet.relays().len(), expected, "all agree who the relays are");
}

/// A node's messages do not grow with the number of nodes, nor do its bytes beyond what
/// there is to tell of heads and, in turn, of nodes.
#[test]
fn what_a_node_says_and_takes_does_not_grow_with_the_number_of_nodes() {
    let mut means = Vec::new();
    for nodes in [30, 100, 372] {
        let mut fleet = Fleet::start(nodes);
        fleet.run(SETTLES);
        let (messages, bytes, mean) = fleet.traffic(Millis(6_000));
        assert!(messages < 26.0, "{nodes} nodes: {messages} messages a second");
        assert!(bytes < 26_000.0, "{nodes} nodes: {bytes} bytes a second");
        means.push(mean);
    }
    assert!(means[2] < 1.25 * means[0], "a node's messages at 30, 100 and 372: {means:?}");
}

#[rstest]
#[case(10)]
#[case(100)]
#[case(372)]
fn what_all_have_at_a_head_is_known_everywhere_within_a_second(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    fleet.set_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.least_seen() > 0.97, "{}", fleet.least_seen());
}

/// Two in three nodes have a link or a processor that relaying would fill. With few others
/// in a data centre, those that are next best relay beside them.
#[rstest]
#[case(100, 0)]
#[case(30, 1)]
fn relays_are_nodes_that_carry_it_well(#[case] nodes: usize, #[case] most: u8) {
    let mut fleet = Fleet::start_with(nodes, |i| (i / DATA_CENTRES % 3) as u8);
    fleet.run(SETTLES);
    let relays = fleet.relays();
    assert_eq!(relays.len(), RELAYS_PER_DATA_CENTRE * DATA_CENTRES);
    let worst = relays.into_iter().map(|i| fleet.nodes[i].class).max();
    assert_eq!(worst, Some(most));
}

/// One relay of each data centre dies at the same moment.
#[rstest]
#[case(100)]
#[case(372)]
fn nobody_misses_a_relay_while_others_are_there(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    for data_centre in 0..DATA_CENTRES {
        let relays = fleet.relays();
        let first = relays.into_iter().find(|i| i % DATA_CENTRES == data_centre).unwrap();
        fleet.nodes[first].is_up = false;
    }
    fleet.set_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.least_seen() > 0.9, "{}", fleet.least_seen());
    fleet.run(Millis(6_000));
    let left = nodes - DATA_CENTRES;
    assert_eq!(fleet.heard(), (left - 1, left - 1), "who is gone is not counted on");
    assert_eq!(
        fleet.relays().len(),
        RELAYS_PER_DATA_CENTRE * DATA_CENTRES,
        "others have taken their place"
    );
}

/// All relays of a data centre die at once, as when many nodes are killed.
#[test]
fn a_data_centre_that_loses_all_its_relays_has_others_within_two_seconds() {
    let mut fleet = Fleet::start(100);
    fleet.run(SETTLES);
    for i in fleet.relays().into_iter().filter(|i| i % DATA_CENTRES == 2) {
        fleet.nodes[i].is_up = false;
    }
    fleet.run(Millis(2_000));
    fleet.set_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.least_seen() > 0.95, "{}", fleet.least_seen());
}

/// Nine in ten are killed and start again, knowing of nobody but whom the store names.
#[test]
fn those_who_start_again_together_find_the_others() {
    let mut fleet = Fleet::start(100);
    fleet.run(SETTLES);
    for node in &mut fleet.nodes[..90] {
        node.peers = Peers::default();
        node.peers.add(address(95), fleet.now);
    }
    fleet.run(Millis(3_000));
    assert_eq!(fleet.heard(), (99, 99));
}

/// A planned stop is in all directories' answers at once.
#[test]
fn that_a_node_stops_serving_is_known_everywhere_soon() {
    let mut fleet = Fleet::start(372);
    fleet.run(SETTLES);
    let leaving = (0..372).find(|i| !fleet.is_relay(*i)).unwrap();
    let mut heartbeat = fleet.heartbeat(leaving);
    heartbeat.is_ready = false;
    let (now, node) = (fleet.now, &mut fleet.nodes[leaving]);
    let own =
        LocalNode { address: address(leaving), name: &node.name, data_centre: &node.data_centre };
    let said = node.peers.outgoing(&own, &heartbeat, now, 1);
    node.next = now + Millis(10_000);
    said.into_iter().for_each(|outgoing| fleet.send(leaving, outgoing));
    fleet.run(Millis(500));
    let sees = |node: &Sim| {
        let mut heard = node.peers.heard(fleet.now);
        heard.any(|(at, peer)| *at == address(leaving) && peer.heartbeat.is_ready)
    };
    let still = fleet.nodes.iter().filter(|node| sees(node)).count();
    assert_eq!(still, 0, "half a second later");
}

/// Three instances end under one request, each seen by another node, of hundreds.
#[rstest]
#[case(9)]
#[case(100)]
#[case(300)]
fn all_nodes_hear_within_a_second_which_request_ends_whoever_runs_it(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    let fingerprint = Fingerprint::of(Some("a"), "/x", b"body");
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    for (incarnation, at) in [(1, nodes / 3), (2, nodes / 2), (3, nodes - 1)] {
        let now = fleet.now;
        let knows = &mut fleet.nodes[at].quarantine;
        knows.on_connection_broken(
            RequestKey { fingerprint, caller: 7 },
            incarnation,
            incarnation as u32,
            now,
        );
        knows.on_process_ended(incarnation, now);
        fleet.nodes[at].next = now;
        fleet.run(Millis(200));
    }
    let held = |fleet: &Fleet| {
        let is_held = |node: &&Sim| {
            matches!(
                node.quarantine.status(fingerprint, fleet.now),
                QuarantineStatus::Quarantined(_)
            )
        };
        fleet.nodes.iter().filter(is_held).count()
    };
    fleet.run(Millis(800));
    assert_eq!(held(&fleet), nodes, "a second after the third end");
    // What is said for it beside what is said anyway: by those who saw it, and relays.
    let sent: u64 = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    fleet.nodes.iter_mut().for_each(|node| node.quarantine = Quarantine::default());
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    fleet.run(Millis(1_400));
    let quiet: u64 = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    assert!(sent <= quiet * 2, "{sent} datagrams, {quiet} in as long without it");
}
