//! Quarantine of requests that crash their instances, and of innocent ones that ran beside them.
//!
//! The load: ten heads with seventeen slots each, a request that crashes its instance sent every
//! half second to any of nine nodes, and innocent requests beside it.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine::ProcessEnd;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::quarantine::QuarantineStatus;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::quarantine::name_hash;
use workshold_protocol::Millis;

const START: Millis = Millis::from_secs(1_000);
const MINUTE: Millis = Millis::from_secs(60);
const HOUR: Millis = Millis::from_secs(3_600);

fn request_key(of: &str) -> RequestKey {
    RequestKey::content(Fingerprint::of(Some(of), "/x", b"body"), name_hash(of))
}

/// An incarnation ends at `at`, while a request with `request_key` is starting there.
fn crash(
    quarantine: &mut Quarantine,
    request_key: RequestKey,
    incarnation: u64,
    at: Millis,
) -> bool {
    quarantine.on_connection_broken([request_key], incarnation, incarnation as u32, at);
    quarantine.on_process_ended(incarnation, at + Millis(5))
}

fn after_crashes(ends: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for incarnation in 0..ends {
        crash(&mut quarantine, request_key("a"), incarnation, START + Millis(incarnation * 100));
    }
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, request_key: RequestKey, now: Millis) -> bool {
    matches!(quarantine.status(request_key.fingerprint, now), QuarantineStatus::Quarantined(_))
}

#[rstest]
#[case(0, false, false)]
#[case(1, false, false)]
#[case(2, true, false)]
#[case(3, true, true)]
#[case(9, true, true)]
fn the_third_end_quarantines_the_request(
    #[case] ends: u64,
    #[case] expect_suspect: bool,
    #[case] expect_quarantined: bool,
) {
    let quarantine = after_crashes(ends);
    let now = START + Millis(2_000);
    assert_eq!(quarantine.is_suspect(request_key("a").fingerprint, now), expect_suspect);
    assert_eq!(is_quarantined(&quarantine, request_key("a"), now), expect_quarantined);
    assert!(
        !is_quarantined(&quarantine, request_key("b"), now),
        "the same content of another caller"
    );
}

#[test]
fn a_broken_connection_to_a_running_instance_is_no_evidence() {
    let mut quarantine = Quarantine::default();
    for incarnation in 0..9 {
        assert!(!quarantine.on_connection_broken([request_key("a")], incarnation, 1, START));
    }
    assert_eq!(quarantine.status(request_key("a").fingerprint, START), QuarantineStatus::Free);
}

#[test]
fn the_end_may_be_reported_before_or_after_the_broken_connection() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.on_process_ended(1, START));
    assert!(quarantine.on_connection_broken([request_key("a")], 1, 1, START + Millis(300)));
    assert!(!quarantine.on_connection_broken([request_key("a")], 2, 2, START));
    assert!(quarantine.on_process_ended(2, START + Millis(4_000)));
    assert!(!quarantine.on_connection_broken([request_key("a")], 3, 3, START));
    assert!(!quarantine.on_process_ended(3, START + MINUTE), "the end is too late to be connected");
    assert!(!is_quarantined(&quarantine, request_key("a"), START + MINUTE));
}

#[test]
fn one_incarnation_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        crash(&mut quarantine, request_key("a"), 7, START);
    }
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, START));
}

/// A loss of power in one failure domain ends many incarnations at once, and several of them may
/// have been running the same frequent request.
#[test]
fn ends_with_a_shared_cause_count_once() {
    let mut quarantine = Quarantine::default();
    for incarnation in 0..8 {
        quarantine.on_connection_broken(
            [request_key("a")],
            incarnation,
            1,
            START + Millis(incarnation % 3),
        );
        quarantine.on_process_ended(incarnation, START + Millis(10));
    }
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, START + Millis(20)));
}

#[test]
fn a_completed_request_clears_its_fingerprint_for_good() {
    let mut quarantine = after_crashes(2);
    assert!(quarantine.on_completed(&[request_key("a")], START + Millis(500)));
    for incarnation in 20..29 {
        crash(
            &mut quarantine,
            request_key("a"),
            incarnation,
            START + Millis(600 + incarnation * 100),
        );
        assert!(!is_quarantined(&quarantine, request_key("a"), START + Millis(5_000)));
    }
}

#[test]
fn a_request_that_completed_here_is_cleared_when_peers_report_ends() {
    let mut quarantine = Quarantine::default();
    quarantine.on_completed(&[request_key("a")], START);
    for record in after_crashes(4).next_to_gossip(9, START) {
        quarantine.take(&record, true);
    }
    assert!(!is_quarantined(&quarantine, request_key("a"), START + Millis(2_000)));
    let mut others = after_crashes(4);
    for record in quarantine.next_to_gossip(9, START) {
        others.take(&record, true);
    }
    assert!(
        !is_quarantined(&others, request_key("a"), START + Millis(2_000)),
        "and its peers learn of the clearance"
    );
}

/// A node that missed a clearance keeps sending its record; a peer that knows of the clearance
/// answers with its own.
#[test]
fn a_node_that_missed_a_clearance_is_told_of_it() {
    let mut missed = after_crashes(3);
    let mut knows = missed.clone();
    let now = START + Millis(1_000);
    knows.on_completed(&[request_key("a")], now);
    while !knows.next_to_gossip(9, now).is_empty() {}
    for record in missed.next_to_gossip(9, now) {
        knows.take(&record, true);
    }
    for record in knows.next_to_gossip(9, now) {
        missed.take(&record, true);
    }
    assert!(!is_quarantined(&missed, request_key("a"), now));
}

#[test]
fn after_a_quarantine_one_more_end_starts_a_longer_one() {
    let mut quarantine = after_crashes(3);
    let last = START + Millis(200);
    let until = |quarantine: &Quarantine, now: Millis| match quarantine
        .status(request_key("a").fingerprint, now)
    {
        QuarantineStatus::Quarantined(until) => Some(until.since(now)),
        QuarantineStatus::Free | QuarantineStatus::Suspect => None,
    };
    assert_eq!(until(&quarantine, last), Some(Millis(10 * MINUTE.0)));
    quarantine.forget(last + Millis(10 * MINUTE.0));
    assert_eq!(until(&quarantine, last + Millis(10 * MINUTE.0)), None);
    let again = last + Millis(11 * MINUTE.0);
    crash(&mut quarantine, request_key("a"), 50, again);
    assert_eq!(until(&quarantine, again), Some(Millis(20 * MINUTE.0)), "one more end is enough");
    quarantine.forget(again + Millis(30 * HOUR.0));
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, again + Millis(30 * HOUR.0)));
}

#[test]
fn a_request_that_an_operator_released_starts_from_zero() {
    let mut quarantine = after_crashes(4);
    let now = START + Millis(1_000);
    assert!(quarantine.clear(request_key("a").fingerprint, now));
    assert!(!quarantine.clear(request_key("b").fingerprint, now));
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, now));
    (60..63).for_each(|incarnation| {
        crash(&mut quarantine, request_key("a"), incarnation, now + Millis(incarnation * 100));
    });
    assert!(is_quarantined(&quarantine, request_key("a"), now + Millis(9_000)));
}

/// A caller that sends ever new contents evicts no records of other callers, and none that are
/// quarantined.
#[test]
fn one_caller_with_many_contents_evicts_no_other_callers_records() {
    let mut quarantine = after_crashes(3);
    crash(&mut quarantine, request_key("b"), 100, START);
    crash(&mut quarantine, request_key("b"), 101, START + Millis(100));
    for i in 0..5_000_u64 {
        let caller = name_hash("flood");
        let fingerprint = Fingerprint::of(Some("flood"), "/x", &i.to_be_bytes());
        let at = START + Millis(200 + i);
        crash(&mut quarantine, RequestKey::content(fingerprint, caller), 1_000 + i, at);
    }
    let now = START + Millis(6_000);
    assert!(is_quarantined(&quarantine, request_key("a"), now));
    assert!(quarantine.is_suspect(request_key("b").fingerprint, now));
    assert!(
        quarantine.next_to_gossip(usize::MAX, now).len() <= 80,
        "the number of records is limited"
    );
}

#[test]
fn a_quarantined_record_is_saved_once_and_again_after_a_failure() {
    let mut quarantine = after_crashes(3);
    let kept = quarantine.take_unsaved();
    assert_eq!(kept.len(), 1);
    assert!(quarantine.take_unsaved().is_empty());
    quarantine.mark_unsaved(&kept);
    assert_eq!(quarantine.take_unsaved(), kept);
    quarantine.clear(request_key("a").fingerprint, START + MINUTE);
    assert_eq!(
        quarantine.take_unsaved()[0].cleared,
        Some(START + MINUTE),
        "the clearance is saved too"
    );
}

#[test]
fn quarantined_records_are_gossiped_in_turn() {
    let mut quarantine = after_crashes(3);
    (0..3).for_each(|incarnation| {
        crash(
            &mut quarantine,
            request_key("b"),
            10 + incarnation,
            START + Millis(incarnation * 100),
        );
    });
    let now = START + Millis(900);
    // After this all changes have been sent as often as they are.
    (0..20).for_each(|_| drop(quarantine.next_to_gossip(9, now)));
    let batches = [quarantine.next_to_gossip(9, now), quarantine.next_to_gossip(9, now)];
    let request_keys =
        batches.map(|records| records.iter().map(|record| record.request_key).collect::<Vec<_>>());
    assert_eq!(request_keys.each_ref().map(Vec::len), [1, 1]);
    assert_ne!(request_keys[0], request_keys[1]);
}

/// A peer that is met only after a change was sent as often as changes are must learn of it all the
/// same: it knew nothing of two ended instances, and two more ended at its attempts, not one.
#[test]
fn a_suspect_record_reaches_peers_that_are_met_later() {
    let mut quarantine = after_crashes(2);
    (0..20).for_each(|_| drop(quarantine.next_to_gossip(9, START)));
    let mut met_later = Quarantine::default();
    for record in quarantine.next_to_gossip(9, START) {
        met_later.take(&record, false);
    }
    assert!(met_later.is_suspect(request_key("a").fingerprint, START));
}

/// Changes of other records must not hold back those that are sent in turn.
#[test]
fn a_suspect_record_is_gossiped_beside_many_changes() {
    let mut quarantine = after_crashes(2);
    (0..20).for_each(|_| drop(quarantine.next_to_gossip(9, START)));
    for i in 0..40 {
        let caller = name_hash("flood");
        let fingerprint = Fingerprint::of(Some("flood"), "/x", &[i]);
        crash(
            &mut quarantine,
            RequestKey::content(fingerprint, caller),
            1_000 + u64::from(i),
            START,
        );
    }
    let sent = quarantine.next_to_gossip(9, START);
    assert_eq!(sent.len(), 9);
    assert!(sent.iter().any(|record| record.request_key == request_key("a")));
}

fn record() -> impl Strategy<Value = QuarantineRecord> {
    let crash = (0_u64..6, 0_u32..3, 0_u64..400);
    (prop::collection::vec(crash, 0..4), prop::option::of(0_u64..400)).prop_map(
        |(ends, cleared)| {
            let at = |ms: u64| START + Millis(ms * 10);
            let ends = ends.into_iter().map(|(incarnation, place, ms)| ProcessEnd {
                incarnation,
                place,
                at: at(ms),
            });
            QuarantineRecord {
                request_key: request_key("a"),
                ends: ends.collect(),
                cleared: cleared.map(at),
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(2_000) })]

    /// The order and the repetition of records make no difference.
    #[test]
    fn nodes_with_the_same_records_agree(
        records in prop::collection::vec(record(), 1..8),
        order in any::<u64>(),
    ) {
        let mut one = Quarantine::default();
        records.iter().for_each(|record| { one.take(record, true); });
        let mut shuffled = records.clone();
        shuffled.rotate_left(order as usize % records.len());
        shuffled.extend(records.iter().cloned().rev());
        let mut other = Quarantine::default();
        shuffled.iter().for_each(|record| { other.take(record, true); });
        let now = START + Millis(5_000);
        let fingerprint = request_key("a").fingerprint;
        prop_assert_eq!(one.status(fingerprint, now), other.status(fingerprint, now));
    }
}

/// A node that doesn't know an incarnation's fabric domain reports another failure domain.
#[test]
fn two_reports_of_one_end_merge_in_any_order() {
    let crash = |incarnation, place, ms| ProcessEnd { incarnation, place, at: START + Millis(ms) };
    let record = |crash| QuarantineRecord {
        request_key: request_key("a"),
        ends: vec![crash],
        cleared: None,
    };
    let records = [record(crash(1, 1, 820)), record(crash(2, 1, 800)), record(crash(1, 2, 780))];
    let status = |records: &mut dyn Iterator<Item = &QuarantineRecord>| {
        let mut quarantine = Quarantine::default();
        records.for_each(|record| {
            quarantine.take(record, true);
        });
        quarantine.status(request_key("a").fingerprint, START + Millis(5_000))
    };
    assert_eq!(status(&mut records.iter()), status(&mut records.iter().rev()));
}

/// The fraction of innocent requests that are quarantined, and the number of instances that end,
/// for a quarantine threshold.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Errors {
    wrongly_quarantined: f64,
    ended: f64,
}

/// A running request.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    crashes_instance: bool,
    crashes_seen: u32,
    attempts: u32,
    head: usize,
    done_at: u64,
}

/// Simulates twenty seconds in steps of 10 ms. Heads crash by themselves, or because of the one
/// request. `ends` is the quarantine threshold. Each request gets two attempts, and its caller
/// sends it once more.
fn errors(ends: u32, crashes_a_second: f64, is_poison_sent: bool, seed: u64) -> Errors {
    const HEADS: usize = 10;
    const RATE: f64 = 120.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut running: Vec<RunningRequest> = Vec::new();
    let (mut poison_crashes, mut ended, mut wrong_count, mut request_count) = (0, 0.0, 0.0, 0.0);
    for step in 0..2_000_u64 {
        if rng.random_bool(RATE / 100.0 / 2.0) {
            for _ in 0..2 {
                let head = rng.random_range(0..HEADS);
                let done_at = step + 120;
                running.push(RunningRequest {
                    crashes_instance: false,
                    crashes_seen: 0,
                    attempts: 1,
                    head,
                    done_at,
                });
                request_count += 1.0;
            }
        }
        if is_poison_sent && step % 50 == 0 && poison_crashes < ends {
            let head = rng.random_range(0..HEADS);
            running.push(RunningRequest {
                crashes_instance: true,
                crashes_seen: 0,
                attempts: 1,
                head,
                done_at: step + 25,
            });
        }
        let spontaneous =
            rng.random_bool(crashes_a_second / 100.0).then(|| rng.random_range(0..HEADS));
        let by_request = running
            .iter()
            .find(|request| request.crashes_instance && request.done_at == step)
            .map(|request| request.head);
        running.retain(|request| request.crashes_instance || request.done_at > step);
        for lost in spontaneous.into_iter().chain(by_request) {
            ended += 1.0;
            poison_crashes += u32::from(by_request == Some(lost));
            let mut next = Vec::new();
            for mut request in running.drain(..) {
                if request.head == lost {
                    request.crashes_seen += 1;
                    let is_quarantined = if request.crashes_instance {
                        poison_crashes >= ends
                    } else {
                        request.crashes_seen >= ends
                    };
                    // Two attempts each for the request and for its caller's retry.
                    let is_over = request.attempts >= 4;
                    if is_quarantined || is_over {
                        // The quarantine matters only to a request that would have been retried.
                        wrong_count += f64::from(u8::from(
                            is_quarantined && !request.crashes_instance && !is_over,
                        ));
                        continue;
                    }
                    request.attempts += 1;
                    request.head = rng.random_range(0..HEADS);
                    request.done_at = step + if request.crashes_instance { 25 } else { 120 };
                }
                next.push(request);
            }
            running = next;
        }
        if let Some(over) =
            running.iter().position(|request| request.crashes_instance && request.done_at < step)
        {
            running.swap_remove(over);
        }
    }
    Errors { wrongly_quarantined: wrong_count / request_count, ended }
}

fn mean(ends: u32, crashes_a_second: f64, is_poison_sent: bool) -> Errors {
    let seeds = 20;
    let results = (0..seeds).map(|seed| errors(ends, crashes_a_second, is_poison_sent, seed));
    let sum =
        results.fold((0.0, 0.0), |sum, one| (sum.0 + one.wrongly_quarantined, sum.1 + one.ended));
    Errors { wrongly_quarantined: sum.0 / seeds as f64, ended: sum.1 / seeds as f64 }
}

/// Both errors by quarantine threshold: the innocent requests that are quarantined while a head
/// crashes by itself every half second, and the instances lost to one request that crashes all.
#[test]
fn three_ends_quarantine_few_innocent_requests_and_cost_one_instance_more_than_two() {
    let beside_crashes = |ends| mean(ends, 2.0, false).wrongly_quarantined;
    let lost = |ends| mean(ends, 0.0, true).ended;
    let table: Vec<String> = (1..=4)
        .map(|ends| format!("{ends}: {:.4} {:.1}", beside_crashes(ends), lost(ends)))
        .collect();
    assert!(beside_crashes(3) < 0.012, "{table:?}");
    assert!(beside_crashes(2) > 4.0 * beside_crashes(3), "{table:?}");
    assert!(lost(3) < 5.0, "{table:?}");
    assert!(lost(u32::MAX) > 20.0, "without a quarantine");
}
