//! Gossip between nodes, in a simulated network without sockets: how many messages it takes, how
//! old its contents get, and which nodes are missed when relays fail.
//!
//! Guards against the cost of gossip without relays: with several hundred nodes, each of which sent
//! its state to all others (460 datagrams per second each), gossip cost more than serving requests.

mod fleet;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::QuarantineStatus;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_gateway::peers::Peers;
use workshold_gateway::peers::exchange::LocalNode;
use workshold_gateway::peers::exchange::RELAYS_PER_DATA_CENTRE;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;

use crate::fleet::DATA_CENTRES;
use crate::fleet::Fleet;
use crate::fleet::SETTLE_TIME;
use crate::fleet::SimNode;
use crate::fleet::address;

/// Time in which nodes have to know what others have seen.
const CONTACT_TIME: Millis = Millis(3_000);

#[rstest]
#[case(10)]
#[case(100)]
#[case(372)]
fn all_nodes_discover_each_other_from_one_known_node(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    let all = (nodes - 1, nodes - 1);
    for _ in 0..10 {
        if fleet.heard() == all {
            break;
        }
        fleet.run(Millis(300));
    }
    assert_eq!(fleet.heard(), all);
    let expected = nodes.min(RELAYS_PER_DATA_CENTRE * DATA_CENTRES);
    assert_eq!(fleet.relays().len(), expected, "all nodes agree on the relays");
}

/// Neither a node's messages nor its bytes grow with the number of nodes, beyond the report on
/// group heads and the rotating one on nodes.
#[test]
fn gossip_traffic_of_a_node_does_not_grow_with_the_number_of_nodes() {
    let mut means = Vec::new();
    for nodes in [30, 100, 372] {
        let mut fleet = Fleet::start(nodes);
        fleet.run(SETTLE_TIME);
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
fn the_load_of_a_head_is_known_everywhere_within_a_second(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    fleet.set_requests_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.min_observed_share() > 0.97, "{}", fleet.min_observed_share());
}

/// Two in three nodes have a link or a processor that relaying would saturate. Where a data centre
/// has too few others, those of the next best class relay as well.
#[rstest]
#[case(100, 0)]
#[case(30, 1)]
fn nodes_of_the_best_class_become_relays(#[case] nodes: usize, #[case] expected_class: u8) {
    let mut fleet = Fleet::start_with(nodes, |i| (i / DATA_CENTRES % 3) as u8);
    fleet.run(SETTLE_TIME);
    let relays = fleet.relays();
    assert_eq!(relays.len(), RELAYS_PER_DATA_CENTRE * DATA_CENTRES);
    let worst = relays.into_iter().map(|i| fleet.nodes[i].class).max();
    assert_eq!(worst, Some(expected_class));
}

/// One relay of each data centre fails at the same moment.
#[rstest]
#[case(100)]
#[case(372)]
fn failure_of_one_relay_per_data_centre_hides_no_load(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    for data_centre in 0..DATA_CENTRES {
        let relays = fleet.relays();
        let first = relays.into_iter().find(|i| i % DATA_CENTRES == data_centre).unwrap();
        fleet.nodes[first].is_up = false;
    }
    fleet.set_requests_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.min_observed_share() > 0.9, "{}", fleet.min_observed_share());
    fleet.run(Millis(6_000));
    let left = nodes - DATA_CENTRES;
    assert_eq!(fleet.heard(), (left - 1, left - 1), "the dead nodes are no longer heard");
    assert_eq!(
        fleet.relays().len(),
        RELAYS_PER_DATA_CENTRE * DATA_CENTRES,
        "other nodes have become relays"
    );
}

/// All relays of a data centre fail at once, as when many nodes are killed.
#[test]
fn a_data_centre_replaces_all_its_relays_within_two_seconds() {
    let mut fleet = Fleet::start(100);
    fleet.run(SETTLE_TIME);
    for i in fleet.relays().into_iter().filter(|i| i % DATA_CENTRES == 2) {
        fleet.nodes[i].is_up = false;
    }
    fleet.run(Millis(2_000));
    fleet.set_requests_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.min_observed_share() > 0.95, "{}", fleet.min_observed_share());
}

/// Nine in ten nodes are killed and restart, knowing only the node that the store names.
#[test]
fn nodes_that_restart_together_find_the_others() {
    let mut fleet = Fleet::start(100);
    fleet.run(SETTLE_TIME);
    for node in &mut fleet.nodes[..90] {
        node.peers = Peers::default();
        node.peers.add(address(95), fleet.now);
    }
    fleet.run(Millis(3_000));
    assert_eq!(fleet.heard(), (99, 99));
}

/// A planned stop must soon show in the directory answers of all nodes.
#[test]
fn a_planned_stop_is_known_everywhere_within_half_a_second() {
    let mut fleet = Fleet::start(372);
    fleet.run(SETTLE_TIME);
    let leaving = (0..372).find(|i| !fleet.is_relay(*i)).unwrap();
    let mut heartbeat = fleet.heartbeat(leaving);
    heartbeat.is_ready = false;
    let (now, node) = (fleet.now, &mut fleet.nodes[leaving]);
    let own =
        LocalNode { address: address(leaving), name: &node.name, data_centre: &node.data_centre };
    let to_send = node.peers.outgoing(&own, &heartbeat, now, 1);
    node.next_heartbeat_at = now + Millis(10_000);
    to_send.into_iter().for_each(|outgoing| fleet.send(leaving, outgoing));
    fleet.run(Millis(500));
    let sees_ready = |node: &SimNode| {
        let mut heard = node.peers.heard(fleet.now);
        heard.any(|(at, peer)| *at == address(leaving) && peer.heartbeat.is_ready)
    };
    let still_ready = fleet.nodes.iter().filter(|node| sees_ready(node)).count();
    assert_eq!(still_ready, 0, "half a second later");
}

/// Three instances end while they run one request, each seen by a different node.
#[rstest]
#[case(9)]
#[case(100)]
#[case(300)]
fn a_quarantined_request_is_known_everywhere_within_a_second(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    let fingerprint = Fingerprint::of(Some("a"), "/x", b"body");
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    for (incarnation, at) in [(1, nodes / 3), (2, nodes / 2), (3, nodes - 1)] {
        let now = fleet.now;
        let quarantine = &mut fleet.nodes[at].quarantine;
        quarantine.on_connection_broken(
            [RequestKey::content(fingerprint, 7)],
            incarnation,
            incarnation as u32,
            now,
        );
        quarantine.on_process_ended(incarnation, now);
        fleet.nodes[at].next_heartbeat_at = now;
        fleet.run(Millis(200));
    }
    let quarantined = |fleet: &Fleet| {
        let is_held = |node: &&SimNode| {
            matches!(
                node.quarantine.status(fingerprint, fleet.now),
                QuarantineStatus::Quarantined(_)
            )
        };
        fleet.nodes.iter().filter(is_held).count()
    };
    fleet.run(Millis(800));
    assert_eq!(quarantined(&fleet), nodes, "a second after the third end");
    // The datagrams that the ends cost, beyond the usual ones: of the nodes that saw them, and of
    // relays.
    let sent: u64 = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    fleet.nodes.iter_mut().for_each(|node| node.quarantine = Quarantine::default());
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    fleet.run(Millis(1_400));
    let quiet: u64 = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    assert!(sent <= quiet * 2, "{sent} datagrams, and {quiet} in the same time without the ends");
}

/// Guards against a part that ends instances and that only some nodes hold in time, because what
/// they hear of its ends is lost among the records of requests that were at the same instances. Each
/// end is seen by one node for the part, and by twenty for two sound requests each.
#[rstest]
#[case(9)]
#[case(71)]
#[case(350)]
fn a_harmful_prompt_part_is_held_everywhere_in_time(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    let part = |id: &str| RequestKey::prompt_part(Fingerprint::of_prompt_part(id), 7);
    let harmful = part("c0");
    for incarnation in 1..=3_u64 {
        let now = fleet.now;
        let witness = incarnation as usize * nodes / 4;
        for (i, request) in (0..40).map(|n| ((witness + n / 2) % nodes, n)) {
            let name = format!("r-{incarnation}-{request}");
            let content = RequestKey::content(Fingerprint::of(Some("a"), "/x", name.as_bytes()), 7);
            let subject = part(&format!("6{:x}", (incarnation * 7 + request as u64) % 60));
            let own = if request == 0 { harmful } else { part("5b") };
            let quarantine = &mut fleet.nodes[i].quarantine;
            if request % 3 == 1 {
                quarantine.on_completed(&[part("5a"), part("5b"), subject], now - Millis(500));
            }
            let keys = [content, part("5a"), own, subject];
            quarantine.on_connection_broken(keys, incarnation, incarnation as u32, now);
            quarantine.on_process_ended(incarnation, now);
            fleet.nodes[i].next_heartbeat_at = now;
        }
        fleet.run(Millis(200));
    }
    fleet.run(CONTACT_TIME - Millis(200));
    let holds = |node: &&SimNode, key| node.quarantine.quarantined_key(&[key], fleet.now).is_some();
    let holding = fleet.nodes.iter().filter(|node| holds(node, harmful)).count();
    assert_eq!(holding, nodes, "nodes that hold the part");
    let holding_shared = fleet.nodes.iter().filter(|node| holds(node, part("5a"))).count();
    assert_eq!(holding_shared, 0, "nodes that hold a part that sound requests share");
}

/// Records two ends under a fingerprint at a node: one more quarantines it.
fn add_suspect(fleet: &mut Fleet, at: usize, fingerprint: Fingerprint) {
    let now = fleet.now;
    let quarantine = &mut fleet.nodes[at].quarantine;
    for incarnation in [1, 2] {
        let request_key = RequestKey::content(fingerprint, 7);
        quarantine.on_connection_broken([request_key], incarnation, incarnation as u32, now);
        quarantine.on_process_ended(incarnation, now);
    }
}

/// How many nodes that are up know that one more end quarantines a fingerprint.
fn suspecting(fleet: &Fleet, fingerprint: Fingerprint) -> usize {
    let knows = |node: &&SimNode| node.is_up && node.quarantine.is_suspect(fingerprint, fleet.now);
    fleet.nodes.iter().filter(knows).count()
}

/// A change is sent a fixed number of times. A node that is met only after that knew nothing of it,
/// and a request that had ended two instances ended two more there.
#[rstest]
#[case(2)]
#[case(100)]
#[case(372)]
fn a_suspect_request_is_known_to_nodes_that_are_met_later(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    let fingerprint = Fingerprint::of(Some("a"), "/x", b"body");
    // Nobody has heard anybody yet.
    add_suspect(&mut fleet, nodes - 1, fingerprint);
    fleet.run(SETTLE_TIME);
    assert_eq!(suspecting(&fleet, fingerprint), nodes);
    let restarted = nodes / 2;
    fleet.nodes[restarted].is_up = false;
    fleet.run(Millis(3_000));
    fleet.nodes[restarted].is_up = true;
    fleet.nodes[restarted].quarantine = Quarantine::default();
    fleet.run(Millis(1_000));
    assert_eq!(suspecting(&fleet, fingerprint), nodes);
}

/// Half of all nodes are killed at once. Callers must not be sent to any of them seven seconds
/// later, a second before the shortest time that callers are promised at this size.
///
/// Guards against reports of changed nodes that leave most of them out: a digest listed 24 that had
/// changed, for a second, and 505 nodes that were left of 986 named others that were dead.
#[rstest]
#[case(100)]
#[case(300)]
#[case(986)]
fn killed_nodes_are_soon_named_to_nobody(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for node in &mut fleet.nodes {
        node.is_up = rng.random_bool(0.5);
    }
    fleet.run(Millis(7_000));
    assert_eq!(fleet.naming_dead_nodes(), 0, "of {nodes} nodes");
}

/// An evacuation that one node has read, and its end, are in force everywhere within a fraction of
/// the five seconds that are allowed.
#[rstest]
#[case(9)]
#[case(100)]
#[case(372)]
fn an_evacuation_is_known_everywhere_within_a_second(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLE_TIME);
    let data_centre = DataCentre::new("dc-1").unwrap();
    let reader = nodes / 2;
    for (end, evacuated) in [(8, true), (9, false), (10, true)] {
        let names = evacuated.then(|| data_centre.clone()).into_iter().collect();
        let now = fleet.now;
        fleet.nodes[reader].evacuations.adopt(end.into(), names, now);
        fleet.nodes[reader].next_heartbeat_at = now;
        fleet.run(Millis(1_000));
        let knows =
            |node: &&SimNode| node.evacuations.contains(&data_centre, fleet.now) == evacuated;
        assert_eq!(fleet.nodes.iter().filter(knows).count(), nodes);
    }
}
