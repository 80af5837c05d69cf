//! Lost network paths: which ones count as lost, and when they are tried again.

use rstest::rstest;
use workshold_core::hosted::lost_paths::LostPaths;
use workshold_core::hosted::lost_paths::RETRY_INTERVAL;
use workshold_core::hosted::suspicion;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_protocol::Millis;

const NOW: Millis = Millis(1_000);

fn lost(count: u32) -> LostPaths<u32> {
    let mut paths = LostPaths::default();
    for id in 0..count {
        paths.on_reached_by_peer(&id, NOW);
    }
    paths
}

#[test]
fn a_path_is_lost_until_this_node_reaches_the_instance() {
    let mut paths = lost(1);
    assert_eq!(paths.lost_since(&0), Some(NOW));
    assert!(!paths.on_reached_by_peer(&0, NOW + Millis(5)), "it was known already");
    assert_eq!(paths.lost_since(&0), Some(NOW));
    assert!(paths.on_reached(&0, NOW + Millis(9)));
    assert!(!paths.is_lost(&0));
}

#[test]
fn a_path_to_an_instance_that_no_peer_reaches_is_not_lost() {
    let mut paths = lost(1);
    paths.on_unreachable(&0);
    assert!(!paths.is_lost(&0) && paths.is_empty());
}

/// Guards against a node that opens tunnels for others although it reaches nothing itself.
#[test]
fn a_node_is_cut_off_while_it_has_reached_nothing_since_it_lost_a_path() {
    let mut paths = LostPaths::default();
    assert!(!paths.is_cut_off());
    paths.on_reached(&1, NOW);
    paths.on_reached_by_peer(&0, NOW + Millis(1));
    assert!(paths.is_cut_off());
    paths.on_reached(&1, NOW + Millis(2));
    assert!(!paths.is_cut_off(), "only the path to one instance is lost");
}

#[test]
fn a_node_that_has_never_reached_anything_is_cut_off() {
    assert!(lost(1).is_cut_off());
}

/// Guards against hundreds of probes a second by a node that is cut off from hundreds of instances.
#[test]
fn few_paths_are_tried_until_one_is_back_and_all_of_them_in_turn() {
    let mut paths = lost(7);
    assert!(paths.take_due(NOW + RETRY_INTERVAL - Millis(1)).is_empty());
    let mut tried = Vec::new();
    for round in 1..=3 {
        tried.extend(paths.take_due(NOW + Millis(RETRY_INTERVAL.0 * round)));
    }
    assert_eq!(tried[..7], [0, 1, 2, 3, 4, 5, 6]);
    paths.on_reached(&6, NOW + Millis(RETRY_INTERVAL.0 * 3 + 1));
    assert_eq!(paths.take_due(NOW + Millis(RETRY_INTERVAL.0 * 4)).len(), 6);
}

/// Guards against a path that is never tried again because many requests go through peers.
#[test]
fn connections_through_peers_do_not_put_off_the_next_try() {
    let mut paths = lost(1);
    for passed in 1..RETRY_INTERVAL.0 {
        paths.on_reached_by_peer(&0, NOW + Millis(passed));
    }
    assert_eq!(paths.take_due(NOW + RETRY_INTERVAL), [0]);
}

/// Guards against a node that opens no tunnels because it uses one itself.
#[test]
fn connections_through_peers_over_a_path_known_to_be_lost_are_no_new_loss() {
    let mut paths = lost(1);
    paths.on_reached(&1, NOW + Millis(1));
    paths.on_reached_by_peer(&0, NOW + Millis(2));
    assert!(!paths.is_cut_off());
}

#[test]
fn paths_to_instances_that_are_gone_are_dropped() {
    let mut paths = lost(3);
    paths.retain(|id| *id == 1);
    assert_eq!((paths.len(), paths.is_lost(&1)), (1, true));
}

/// Guards against requests that are quarantined because a lost path refuses connections.
#[rstest]
#[case::a_peer_reaches_it(ProbeResult::Refused, Some(ProbeResult::Answers), ProbeResult::Answers)]
#[case::a_peer_sees_silence(ProbeResult::Refused, Some(ProbeResult::Silent), ProbeResult::Silent)]
#[case::both_are_refused(ProbeResult::Refused, Some(ProbeResult::Refused), ProbeResult::Refused)]
#[case::no_peer_says(ProbeResult::Refused, None, ProbeResult::Refused)]
#[case::silence_here(ProbeResult::Silent, Some(ProbeResult::Refused), ProbeResult::Silent)]
fn a_refusal_proves_the_end_of_a_process_only_if_peers_are_refused_as_well(
    #[case] own: ProbeResult,
    #[case] peers: Option<ProbeResult>,
    #[case] confirmed: ProbeResult,
) {
    assert_eq!(suspicion::confirmed(own, peers), confirmed);
}
