//! What a node believes of the configuration, the list and who is there.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use workshold_core::hosted::config_freshness::ConfigFreshness;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::store_era::RESTORE_SETTLE_TIME;
use workshold_core::hosted::suspicion::Loss;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_core::hosted::suspicion::Suspicions;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;

fn id(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

fn word(name: &str, is_leaving: bool) -> Instance {
    Instance {
        identity: id(name).into(),
        service: ServiceName::new("gate").unwrap(),
        address: SmolStr::new("10.0.0.1:80"),
        data_centre: DataCentre::new("a").unwrap(),
        domain: None,
        slots: 6,
        is_leaving,
        staged: Vec::new(),
        loaded: Vec::new(),
        membership: None,
    }
}

#[test]
fn a_version_never_goes_back() {
    let mut config_freshness = ConfigFreshness::default();
    assert!(config_freshness.take(7, Millis(1_000)));
    assert!(!config_freshness.take(5, Millis(2_000)), "an old copy read late");
    assert_eq!(config_freshness.version(), Some(7));
    assert!(
        !config_freshness.is_within(Millis(6_000), Millis(4_600)),
        "nor does it make the new fresh"
    );
}

#[test]
fn freshness_comes_of_whoever_saw_the_same_version() {
    let mut config_freshness = ConfigFreshness::default();
    config_freshness.take(7, Millis(1_000));
    assert!(!config_freshness.confirm(7, Millis(3_000)));
    assert!(config_freshness.is_within(Millis(7_000), Millis(4_600)));
    assert!(config_freshness.confirm(9, Millis(5_000)), "a newer one is wanted");
    assert!(!config_freshness.is_within(Millis(8_000), Millis(4_600)), "and the old one ages");
}

#[test]
fn without_any_version_no_key_is_believed() {
    assert!(!ConfigFreshness::default().is_within(Millis(1), Millis(4_600)));
    assert!(ConfigFreshness::default().confirm(1, Millis(1)));
}

#[test]
fn records_read_out_of_order_change_nothing() {
    let mut roster = Roster::default();
    roster.apply(5, &id("i-1"), Some(word("i-1", true)), Millis(100));
    roster.apply(3, &id("i-1"), Some(word("i-1", false)), Millis(200));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving);
    roster.apply(4, &id("i-1"), None, Millis(300));
    assert_eq!(roster.get(&id("i-1")).unwrap().unlisted_since, None);
}

#[test]
fn a_whole_reading_shows_who_has_gone() {
    let mut roster = Roster::default();
    roster.apply(1, &id("i-1"), Some(word("i-1", false)), Millis(100));
    roster.apply(9, &id("i-2"), Some(word("i-2", false)), Millis(100));
    // Its pages began at record 5: what is newer may be missing in them.
    roster.on_full_list(&BTreeSet::new(), 5, Millis(200));
    let trust = ListTrust::default();
    assert!(!roster.get(&id("i-1")).unwrap().is_present(&trust, Millis(200)));
    assert!(roster.get(&id("i-2")).unwrap().is_present(&trust, Millis(200)));
}

/// The store came back from a copy of a moment at which the instance had not said that it is
/// in a group, or that it leaves, or was not there at all.
#[test]
fn a_copy_takes_nobody_away_before_whoever_is_there_has_written_again() {
    let trust = ListTrust::default();
    let mut roster = Roster::default();
    let now = Millis(100_000);
    let true_from = now + RESTORE_SETTLE_TIME;
    roster.apply(8, &id("i-1"), Some(word("i-1", true)), now);
    roster.apply(9, &id("i-2"), Some(word("i-2", false)), now);
    let place = |offset| LogPosition { era: Era(1), offset };
    roster.begin_era(Era(1), true_from);
    roster.apply_restored(place(3), &id("i-1"), word("i-1", false), now);
    roster.forget(now + Millis(5_000));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving, "nobody takes that back");
    assert!(roster.get(&id("i-2")).unwrap().is_present(&trust, now + Millis(5_000)));
    // One that is there has written again, at a place far below its last one.
    roster.apply(place(4), &id("i-1"), Some(word("i-1", true)), now + Millis(5_100));
    roster.forget(true_from + Millis(100));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving);
    assert!(roster.get(&id("i-1")).unwrap().is_present(&trust, true_from + Millis(100)));
    assert!(!roster.get(&id("i-2")).unwrap().is_present(&trust, true_from + Millis(100)));
}

#[test]
fn a_copied_word_that_nobody_replaces_is_believed_in_the_end() {
    let mut roster = Roster::default();
    let now = Millis(100_000);
    roster.apply(8, &id("i-1"), Some(word("i-1", true)), now);
    roster.begin_era(Era(1), now + RESTORE_SETTLE_TIME);
    let place = LogPosition { era: Era(1), offset: 3 };
    roster.apply_restored(place, &id("i-1"), word("i-1", false), now);
    roster.forget(now + RESTORE_SETTLE_TIME - Millis(1));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving);
    roster.forget(now + RESTORE_SETTLE_TIME);
    assert!(!roster.get(&id("i-1")).unwrap().instance.is_leaving);
}

#[test]
fn what_lapsed_while_the_store_was_away_is_missing_only_later() {
    let mut roster = Roster::default();
    let mut trust = ListTrust::default();
    roster.apply(1, &id("i-1"), Some(word("i-1", false)), Millis(1_000));
    trust.on_store_failure(Millis(10_000));
    roster.apply(2, &id("i-1"), None, Millis(10_100));
    let entry = roster.get(&id("i-1")).unwrap();
    assert!(entry.is_in_service(&trust, Millis(11_500)));
    assert!(!entry.is_in_service(&trust, Millis(12_400)), "still missing: it has gone");
}

#[test]
fn an_instance_that_left_long_before_an_outage_is_not_excused() {
    let mut roster = Roster::default();
    let mut trust = ListTrust::default();
    roster.apply(1, &id("i-1"), Some(word("i-1", false)), Millis(1_000));
    roster.apply(2, &id("i-1"), None, Millis(2_000));
    trust.on_store_failure(Millis(10_000));
    assert!(!roster.get(&id("i-1")).unwrap().is_in_service(&trust, Millis(10_100)));
}

#[test]
fn one_nodes_word_is_not_enough_to_call_an_instance_lost() {
    let mut suspicions = Suspicions::default();
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Silent, Millis(1));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Doubted, "this node may be cut off itself");
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Silent, Millis(2));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Confirmed);
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Answers, Millis(3));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Doubted);
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Answers, Millis(4));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::None);
}

#[test]
fn a_node_alone_goes_by_its_own_tries() {
    let mut suspicions = Suspicions::default();
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Silent, Millis(1));
    assert_eq!(suspicions.loss(&id("i-1"), 0), Loss::Confirmed);
}

/// Seen: on days on which the paths from all nodes to some instances refuse connections,
/// members were taken out of groups whose heads were open. How: all nodes were refused, none
/// reached the head, and half a second later its members joined others, while the list still
/// had it. Cause: a refusal counted as the word of the instance's machine that its process is
/// gone; whatever stands on the path can say that too, and to all nodes that are behind it.
/// What proves it: the same life of that head answered requests again once the paths were
/// back.
#[test]
fn a_refused_connection_is_no_end_of_a_life_whoever_meets_it() {
    let mut suspicions = Suspicions::default();
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Refused, Millis(1));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Doubted, "a peer's path may be cut");
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Refused, Millis(2));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Confirmed);
    // Some paths are cut, not all: it lives, and may be the head of an open group.
    suspicions.on_peer(&id("i-1"), "n-3", ProbeResult::Answers, Millis(3));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Doubted);
    for peer in 2..9 {
        suspicions.on_peer(&id("i-1"), &format!("n-{peer}"), ProbeResult::Refused, Millis(4));
    }
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Confirmed, "all are behind the same cut");
    suspicions.on_superseded(&id("i-1"), Millis(5));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Ended, "its next life says so");
    suspicions.clear(&id("i-1"));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::None);
}

/// One path to an instance is cut; seconds later it ends, and nobody reaches it.
#[test]
fn a_loss_is_as_old_as_the_last_who_reached_it() {
    let mut suspicions = Suspicions::default();
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Silent, Millis(1_000));
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Answers, Millis(1_040));
    assert_eq!(suspicions.loss(&id("i-1"), 1), Loss::Doubted);
    assert_eq!(suspicions.since(&id("i-1")), Some(Millis(1_000)));
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Refused, Millis(8_000));
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Refused, Millis(8_040));
    assert_eq!(suspicions.loss(&id("i-1"), 1), Loss::Confirmed);
    assert_eq!(suspicions.since(&id("i-1")), Some(Millis(8_040)));
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Refused, Millis(9_500));
    suspicions.on_peer(&id("i-1"), "n-3", ProbeResult::Refused, Millis(9_600));
    assert_eq!(suspicions.since(&id("i-1")), Some(Millis(8_040)), "it grows no younger");
}
