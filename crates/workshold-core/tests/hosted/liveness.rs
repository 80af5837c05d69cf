//! What a node knows of the configuration, the instance list and unreachable instances.

use std::collections::BTreeSet;

use rstest::rstest;
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
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;

fn id(name: &str) -> InstanceId {
    InstanceId::new(name).unwrap()
}

fn report(name: &str, is_leaving: bool) -> Instance {
    Instance {
        identity: id(name).into(),
        service: ServiceName::new("gate").unwrap(),
        address: SmolStr::new("10.0.0.1:80"),
        data_centre: DataCentre::new("a").unwrap(),
        domain: None,
        slots: 6,
        is_leaving,
        cold_left: Millis::ZERO,
        staged: Vec::new(),
        loaded: Vec::new(),
        membership: None,
    }
}

#[test]
fn the_version_never_decreases() {
    let mut freshness = ConfigFreshness::default();
    assert!(freshness.take(7, Millis(1_000)));
    assert!(!freshness.take(5, Millis(2_000)), "an old version that was read late");
    assert_eq!(freshness.version(), Some(7));
    assert!(
        !freshness.is_within(Millis(6_000), Millis(4_600)),
        "an old version doesn't renew the newer one"
    );
}

#[test]
fn any_node_that_saw_the_same_version_keeps_it_fresh() {
    let mut freshness = ConfigFreshness::default();
    freshness.take(7, Millis(1_000));
    assert!(!freshness.confirm(7, Millis(3_000)));
    assert!(freshness.is_within(Millis(7_000), Millis(4_600)));
    assert!(freshness.confirm(9, Millis(5_000)), "this node lacks the newer one");
    assert!(!freshness.is_within(Millis(8_000), Millis(4_600)), "the old one isn't renewed");
}

#[test]
fn without_a_version_nothing_is_fresh() {
    assert!(!ConfigFreshness::default().is_within(Millis(1), Millis(4_600)));
    assert!(ConfigFreshness::default().confirm(1, Millis(1)));
}

#[test]
fn older_records_are_ignored() {
    let mut roster = Roster::default();
    roster.apply(5, &id("i-1"), Some(report("i-1", true)), Millis(100));
    roster.apply(3, &id("i-1"), Some(report("i-1", false)), Millis(200));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving);
    roster.apply(4, &id("i-1"), None, Millis(300));
    assert_eq!(roster.get(&id("i-1")).unwrap().unlisted_since, None);
}

#[test]
fn a_full_reading_shows_which_instances_have_gone() {
    let mut roster = Roster::default();
    roster.apply(1, &id("i-1"), Some(report("i-1", false)), Millis(100));
    roster.apply(9, &id("i-2"), Some(report("i-2", false)), Millis(100));
    // The reading began at record 5, so it may lack newer records.
    roster.on_full_list(&BTreeSet::new(), 5, Millis(200));
    let trust = ListTrust::default();
    assert!(!roster.get(&id("i-1")).unwrap().is_present(&trust, Millis(200)));
    assert!(roster.get(&id("i-2")).unwrap().is_present(&trust, Millis(200)));
}

/// The store is restored from a backup that was taken before the instance joined a group, before
/// it announced its shutdown, or before it was listed at all.
#[test]
fn a_restored_list_removes_no_instance_before_it_could_write_again() {
    let trust = ListTrust::default();
    let mut roster = Roster::default();
    let now = Millis(100_000);
    let true_from = now + RESTORE_SETTLE_TIME;
    roster.apply(8, &id("i-1"), Some(report("i-1", true)), now);
    roster.apply(9, &id("i-2"), Some(report("i-2", false)), now);
    let position = |offset| LogPosition { era: Era(1), offset };
    roster.begin_era(Era(1), true_from);
    roster.apply_restored(position(3), &id("i-1"), report("i-1", false), now);
    roster.forget(now + Millis(5_000));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving, "a shutdown is final");
    assert!(roster.get(&id("i-2")).unwrap().is_present(&trust, now + Millis(5_000)));
    // An instance that runs writes again, at an offset far below its last one.
    roster.apply(position(4), &id("i-1"), Some(report("i-1", true)), now + Millis(5_100));
    roster.forget(true_from + Millis(100));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving);
    assert!(roster.get(&id("i-1")).unwrap().is_present(&trust, true_from + Millis(100)));
    assert!(!roster.get(&id("i-2")).unwrap().is_present(&trust, true_from + Millis(100)));
}

#[test]
fn a_restored_record_is_accepted_if_none_replaces_it() {
    let mut roster = Roster::default();
    let now = Millis(100_000);
    roster.apply(8, &id("i-1"), Some(report("i-1", true)), now);
    roster.begin_era(Era(1), now + RESTORE_SETTLE_TIME);
    let position = LogPosition { era: Era(1), offset: 3 };
    roster.apply_restored(position, &id("i-1"), report("i-1", false), now);
    roster.forget(now + RESTORE_SETTLE_TIME - Millis(1));
    assert!(roster.get(&id("i-1")).unwrap().instance.is_leaving);
    roster.forget(now + RESTORE_SETTLE_TIME);
    assert!(!roster.get(&id("i-1")).unwrap().instance.is_leaving);
}

#[test]
fn an_entry_that_expired_in_an_outage_counts_as_missing_only_later() {
    let mut roster = Roster::default();
    let mut trust = ListTrust::default();
    roster.apply(1, &id("i-1"), Some(report("i-1", false)), Millis(1_000));
    trust.on_store_failure(Millis(10_000));
    roster.apply(2, &id("i-1"), None, Millis(10_100));
    let entry = roster.get(&id("i-1")).unwrap();
    assert!(entry.is_in_service(&trust, Millis(11_500)));
    assert!(!entry.is_in_service(&trust, Millis(12_400)), "still missing: it has gone");
}

#[test]
fn an_instance_that_left_long_before_an_outage_is_gone() {
    let mut roster = Roster::default();
    let mut trust = ListTrust::default();
    roster.apply(1, &id("i-1"), Some(report("i-1", false)), Millis(1_000));
    roster.apply(2, &id("i-1"), None, Millis(2_000));
    trust.on_store_failure(Millis(10_000));
    assert!(!roster.get(&id("i-1")).unwrap().is_in_service(&trust, Millis(10_100)));
}

#[test]
fn the_probe_of_one_node_does_not_confirm_a_loss() {
    let mut suspicions = Suspicions::default();
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Silent, Millis(1));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Suspected, "this node may be cut off itself");
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Silent, Millis(2));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Confirmed);
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Answers, Millis(3));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Suspected);
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Answers, Millis(4));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::None);
}

#[test]
fn a_single_node_relies_on_its_own_probes() {
    let mut suspicions = Suspicions::default();
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Silent, Millis(1));
    assert_eq!(suspicions.loss(&id("i-1"), 0), Loss::Confirmed);
}

/// Guards against taking a refused connection as proof that the process has ended. The refusal can
/// come from the network path, and then to all nodes behind it. Members were taken out of groups
/// with an open head that way: all nodes were refused, and half a second later the members joined
/// other groups although the head was still listed. The same incarnation of that head answered
/// requests again once the network was back.
#[test]
fn a_refused_connection_does_not_prove_that_an_incarnation_ended() {
    let mut suspicions = Suspicions::default();
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Refused, Millis(1));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Suspected, "a peer's path may be cut");
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Refused, Millis(2));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Confirmed);
    // Only some paths are cut: the instance is running and may be the head of an open group.
    suspicions.on_peer(&id("i-1"), "n-3", ProbeResult::Answers, Millis(3));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Suspected);
    for peer in 2..9 {
        suspicions.on_peer(&id("i-1"), &format!("n-{peer}"), ProbeResult::Refused, Millis(4));
    }
    assert_eq!(
        suspicions.loss(&id("i-1"), 8),
        Loss::Confirmed,
        "all nodes may be behind the same fault"
    );
    suspicions.on_superseded(&id("i-1"), Millis(5));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::Ended, "another incarnation has started");
    suspicions.clear(&id("i-1"));
    assert_eq!(suspicions.loss(&id("i-1"), 8), Loss::None);
}

/// One path to an instance is cut; seconds later the instance ends, and no node reaches it.
#[test]
fn a_loss_begins_when_the_last_node_cannot_reach_the_instance() {
    let mut suspicions = Suspicions::default();
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Silent, Millis(1_000));
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Answers, Millis(1_040));
    assert_eq!(suspicions.loss(&id("i-1"), 1), Loss::Suspected);
    assert_eq!(suspicions.since(&id("i-1")), Some(Millis(1_000)));
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Refused, Millis(8_000));
    suspicions.on_peer(&id("i-1"), "n-2", ProbeResult::Refused, Millis(8_040));
    assert_eq!(suspicions.loss(&id("i-1"), 1), Loss::Confirmed);
    assert_eq!(suspicions.since(&id("i-1")), Some(Millis(8_040)));
    suspicions.on_own_probe(&id("i-1"), ProbeResult::Refused, Millis(9_500));
    suspicions.on_peer(&id("i-1"), "n-3", ProbeResult::Refused, Millis(9_600));
    assert_eq!(
        suspicions.since(&id("i-1")),
        Some(Millis(8_040)),
        "later reports don't move its start"
    );
}

/// The report of an instance's incarnation that started at `start`.
fn report_of(start: u64) -> Instance {
    let mut instance = report("i-1", false);
    instance.identity.incarnation = Incarnation(start);
    instance
}

/// Whether the roster takes the incarnation that started at `start` for the current one.
fn is_current(roster: &Roster, start: u64) -> bool {
    roster.get(&id("i-1")).unwrap().instance.identity.incarnation == Incarnation(start)
}

/// A late record of an earlier incarnation that the restored log no longer holds must not be
/// accepted: a member was assigned to another group while its head served.
#[test]
fn a_record_that_a_restore_has_removed_is_not_accepted() {
    let now = Millis(100_000);
    let mut roster = Roster::default();
    roster.apply(84, &id("i-1"), Some(report_of(2_000)), now);
    roster.apply(95, &id("i-1"), Some(report_of(1_000)), now + Millis(100));
    roster.begin_era(Era(1), now + Millis(3_000) + RESTORE_SETTLE_TIME);
    let position = LogPosition { era: Era(1), offset: 84 };
    roster.apply_restored(position, &id("i-1"), report_of(2_000), now + Millis(3_000));
    roster.forget(now + Millis(20_000));
    assert!(is_current(&roster, 2_000));
}

/// The store fails while a record of an earlier incarnation is the newest one: the instance could
/// not replace it, so that it is accepted only some time after the store is back.
#[rstest]
#[case::written_to_the_log(false)]
#[case::restored_from_a_backup(true)]
fn an_outage_postpones_acceptance_of_an_older_record(#[case] is_restored: bool) {
    let now = Millis(100_000);
    let returned_at = now + Millis(6_000);
    let position = LogPosition { era: Era(1), offset: 95 };
    let mut roster = Roster::default();
    roster.apply(84, &id("i-1"), Some(report_of(2_000)), now);
    if is_restored {
        roster.begin_era(Era(1), now + RESTORE_SETTLE_TIME);
        roster.apply_restored(position, &id("i-1"), report_of(1_000), now);
    } else {
        roster.apply(position, &id("i-1"), Some(report_of(1_000)), now);
    }
    roster.on_store_failure(now + Millis(1_000));
    roster.on_store_failure(returned_at);
    assert!(roster.forget(returned_at + Millis(3_900)).is_empty());
    assert!(is_current(&roster, 2_000), "the instance may still write again");
    let accepted = roster.forget(returned_at + RESTORE_SETTLE_TIME);
    assert_eq!(accepted.len(), 1);
    assert!(is_current(&roster, 1_000), "no record has replaced it for long enough");
}

/// A second outage soon after a restore keeps instances from writing their entries again.
#[test]
fn an_outage_after_a_restore_removes_no_instance() {
    let now = Millis(100_000);
    let returned_at = now + Millis(6_000);
    let mut roster = Roster::default();
    roster.apply(8, &id("i-1"), Some(report("i-1", false)), now);
    roster.begin_era(Era(1), now + RESTORE_SETTLE_TIME);
    roster.on_store_failure(returned_at);
    roster.forget(returned_at + RESTORE_SETTLE_TIME - Millis(1));
    assert_eq!(roster.get(&id("i-1")).unwrap().unlisted_since, None);
    roster.forget(returned_at + RESTORE_SETTLE_TIME);
    assert!(roster.get(&id("i-1")).unwrap().unlisted_since.is_some());
}

/// An instance can't replace a record that can't be read while the store is unavailable: taken for
/// one that shuts down, it would take its group out of service.
#[test]
fn an_outage_makes_no_instance_with_an_unreadable_record_leave() {
    let now = Millis(100_000);
    let mut trust = ListTrust::default();
    let mut roster = Roster::default();
    roster.apply(8, &id("i-1"), Some(report("i-1", false)), now);
    roster.apply_unreadable(9, &id("i-1"), now);
    let is_unreadable_for_long = |trust: &ListTrust, age: u64| {
        roster.get(&id("i-1")).unwrap().is_unreadable_for_long(trust, now + Millis(age))
    };
    assert!(is_unreadable_for_long(&trust, 3_600), "the store did not fail");
    trust.on_store_failure(now + Millis(5_000));
    assert!(!is_unreadable_for_long(&trust, 8_500));
    assert!(is_unreadable_for_long(&trust, 8_600));
}
