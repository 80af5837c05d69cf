//! Requests that end whoever begins to run them, and those that were only beside one.
//!
//! The load of the pattern tests: ten heads of seventeen places, one request that ends its
//! instance asked every half second at any of nine nodes, and innocent ones beside it.

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
    RequestKey { fingerprint: Fingerprint::of(Some(of), "/x", b"body"), caller: name_hash(of) }
}

/// Life `incarnation` ends at `at`, while a request of `request_key` begins there.
fn end(quarantine: &mut Quarantine, request_key: RequestKey, incarnation: u64, at: Millis) -> bool {
    quarantine.on_connection_broken(request_key, incarnation, incarnation as u32, at);
    quarantine.on_process_ended(incarnation, at + Millis(5))
}

fn after(ends: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for incarnation in 0..ends {
        end(&mut quarantine, request_key("a"), incarnation, START + Millis(incarnation * 100));
    }
    quarantine
}

fn is_held(quarantine: &Quarantine, request_key: RequestKey, now: Millis) -> bool {
    matches!(quarantine.status(request_key.fingerprint, now), QuarantineStatus::Held(_))
}

#[rstest]
#[case(0, false, false)]
#[case(1, false, false)]
#[case(2, true, false)]
#[case(3, true, true)]
#[case(9, true, true)]
fn the_third_life_that_ends_holds_it(#[case] ends: u64, #[case] near: bool, #[case] held: bool) {
    let quarantine = after(ends);
    let now = START + Millis(2_000);
    assert_eq!(quarantine.is_suspect(request_key("a").fingerprint, now), near);
    assert_eq!(is_held(&quarantine, request_key("a"), now), held);
    assert!(!is_held(&quarantine, request_key("b"), now), "another caller's is another one");
}

#[test]
fn a_broken_connection_whose_instance_lives_on_says_nothing() {
    let mut quarantine = Quarantine::default();
    for incarnation in 0..9 {
        assert!(!quarantine.on_connection_broken(request_key("a"), incarnation, 1, START));
    }
    assert_eq!(quarantine.status(request_key("a").fingerprint, START), QuarantineStatus::Free);
}

#[test]
fn the_word_that_an_instance_has_ended_may_come_before_or_after_the_break() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.on_process_ended(1, START));
    assert!(quarantine.on_connection_broken(request_key("a"), 1, 1, START + Millis(300)));
    assert!(!quarantine.on_connection_broken(request_key("a"), 2, 2, START));
    assert!(quarantine.on_process_ended(2, START + Millis(4_000)));
    assert!(!quarantine.on_connection_broken(request_key("a"), 3, 3, START));
    assert!(!quarantine.on_process_ended(3, START + MINUTE), "that was another cause");
    assert!(!is_held(&quarantine, request_key("a"), START + MINUTE));
}

#[test]
fn one_life_counts_once_whoever_tells_of_it() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        end(&mut quarantine, request_key("a"), 7, START);
    }
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, START));
}

/// A place that loses its power ends many lives at once, with copies of what is asked much.
#[test]
fn lives_of_one_place_that_end_together_count_once() {
    let mut quarantine = Quarantine::default();
    for incarnation in 0..8 {
        quarantine.on_connection_broken(
            request_key("a"),
            incarnation,
            1,
            START + Millis(incarnation % 3),
        );
        quarantine.on_process_ended(incarnation, START + Millis(10));
    }
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, START + Millis(20)));
}

#[test]
fn a_run_to_its_end_clears_it_and_goes_on_doing_so() {
    let mut quarantine = after(2);
    assert!(quarantine.on_completed(request_key("a").fingerprint, START + Millis(500)));
    for incarnation in 20..29 {
        end(
            &mut quarantine,
            request_key("a"),
            incarnation,
            START + Millis(600 + incarnation * 100),
        );
        assert!(!is_held(&quarantine, request_key("a"), START + Millis(5_000)));
    }
}

#[test]
fn what_ran_to_its_end_here_is_cleared_when_others_tell_of_ends() {
    let mut quarantine = Quarantine::default();
    quarantine.on_completed(request_key("a").fingerprint, START);
    for known in after(4).next_to_gossip(9, START) {
        quarantine.take(&known, true);
    }
    assert!(!is_held(&quarantine, request_key("a"), START + Millis(2_000)));
    let mut others = after(4);
    for known in quarantine.next_to_gossip(9, START) {
        others.take(&known, true);
    }
    assert!(!is_held(&others, request_key("a"), START + Millis(2_000)), "and they hear of it");
}

/// A node that missed the clearance goes on telling; whoever hears it knows better.
#[test]
fn who_missed_a_clearance_is_told_of_it() {
    let mut missed = after(3);
    let mut knows = missed.clone();
    let now = START + Millis(1_000);
    knows.on_completed(request_key("a").fingerprint, now);
    while !knows.next_to_gossip(9, now).is_empty() {}
    for told in missed.next_to_gossip(9, now) {
        knows.take(&told, true);
    }
    for told in knows.next_to_gossip(9, now) {
        missed.take(&told, true);
    }
    assert!(!is_held(&missed, request_key("a"), now));
}

#[test]
fn after_its_time_one_more_end_holds_it_again_and_for_longer() {
    let mut quarantine = after(3);
    let last = START + Millis(200);
    let until = |quarantine: &Quarantine, now: Millis| match quarantine
        .status(request_key("a").fingerprint, now)
    {
        QuarantineStatus::Held(until) => Some(until.since(now)),
        QuarantineStatus::Free | QuarantineStatus::Suspect => None,
    };
    assert_eq!(until(&quarantine, last), Some(Millis(10 * MINUTE.0)));
    quarantine.forget(last + Millis(10 * MINUTE.0));
    assert_eq!(until(&quarantine, last + Millis(10 * MINUTE.0)), None);
    let again = last + Millis(11 * MINUTE.0);
    end(&mut quarantine, request_key("a"), 50, again);
    assert_eq!(until(&quarantine, again), Some(Millis(20 * MINUTE.0)), "not three more");
    quarantine.forget(again + Millis(30 * HOUR.0));
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, again + Millis(30 * HOUR.0)));
}

#[test]
fn who_is_let_go_by_an_operator_counts_anew() {
    let mut quarantine = after(4);
    let now = START + Millis(1_000);
    assert!(quarantine.clear(request_key("a").fingerprint, now));
    assert!(!quarantine.clear(request_key("b").fingerprint, now));
    assert!(!quarantine.is_suspect(request_key("a").fingerprint, now));
    (60..63).for_each(|incarnation| {
        end(&mut quarantine, request_key("a"), incarnation, now + Millis(incarnation * 100));
    });
    assert!(is_held(&quarantine, request_key("a"), now + Millis(9_000)));
}

/// Whoever sends ever new contents pushes out nobody else's, and what is held stays.
#[test]
fn one_caller_with_ever_new_contents_pushes_out_nobody_else() {
    let mut quarantine = after(3);
    end(&mut quarantine, request_key("b"), 100, START);
    end(&mut quarantine, request_key("b"), 101, START + Millis(100));
    for i in 0..5_000_u64 {
        let caller = name_hash("flood");
        let fingerprint = Fingerprint::of(Some("flood"), "/x", &i.to_be_bytes());
        let at = START + Millis(200 + i);
        end(&mut quarantine, RequestKey { fingerprint, caller }, 1_000 + i, at);
    }
    let now = START + Millis(6_000);
    assert!(is_held(&quarantine, request_key("a"), now));
    assert!(quarantine.is_suspect(request_key("b").fingerprint, now));
    assert!(quarantine.next_to_gossip(usize::MAX, now).len() <= 80, "and it stays small");
}

#[test]
fn what_one_end_saw_held_is_kept_once_and_again_if_that_failed() {
    let mut quarantine = after(3);
    let kept = quarantine.take_unsaved();
    assert_eq!(kept.len(), 1);
    assert!(quarantine.take_unsaved().is_empty());
    quarantine.mark_unsaved(&kept);
    assert_eq!(quarantine.take_unsaved(), kept);
    quarantine.clear(request_key("a").fingerprint, START + MINUTE);
    assert_eq!(quarantine.take_unsaved()[0].cleared, Some(START + MINUTE), "its end as well");
}

#[test]
fn what_is_held_is_told_in_turn_to_whoever_has_just_started() {
    let mut quarantine = after(3);
    (0..3).for_each(|incarnation| {
        end(&mut quarantine, request_key("b"), 10 + incarnation, START + Millis(incarnation * 100));
    });
    let now = START + Millis(900);
    // What is new has been told several times by then.
    (0..20).for_each(|_| drop(quarantine.next_to_gossip(9, now)));
    let told = [quarantine.next_to_gossip(9, now), quarantine.next_to_gossip(9, now)];
    let subjects = told.map(|told| told.iter().map(|known| known.request_key).collect::<Vec<_>>());
    assert_eq!(subjects.each_ref().map(Vec::len), [1, 1]);
    assert_ne!(subjects[0], subjects[1]);
}

fn known() -> impl Strategy<Value = QuarantineRecord> {
    let end = (0_u64..6, 0_u32..3, 0_u64..400);
    (prop::collection::vec(end, 0..4), prop::option::of(0_u64..400)).prop_map(|(ends, cleared)| {
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
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(2_000) })]

    /// Order, repetition and detours of news change nothing.
    #[test]
    fn whoever_has_heard_the_same_thinks_the_same(
        news in prop::collection::vec(known(), 1..8),
        order in any::<u64>(),
    ) {
        let mut one = Quarantine::default();
        news.iter().for_each(|known| { one.take(known, true); });
        let mut shuffled = news.clone();
        shuffled.rotate_left(order as usize % news.len());
        shuffled.extend(news.iter().cloned().rev());
        let mut other = Quarantine::default();
        shuffled.iter().for_each(|known| { other.take(known, true); });
        let now = START + Millis(5_000);
        let fingerprint = request_key("a").fingerprint;
        prop_assert_eq!(one.status(fingerprint, now), other.status(fingerprint, now));
    }
}

/// A node that does not know where a life was says that its place was another one.
#[test]
fn two_words_of_one_end_come_to_the_same_in_any_order() {
    let end = |incarnation, place, ms| ProcessEnd { incarnation, place, at: START + Millis(ms) };
    let known =
        |end| QuarantineRecord { request_key: request_key("a"), ends: vec![end], cleared: None };
    let news = [known(end(1, 1, 820)), known(end(2, 1, 800)), known(end(1, 2, 780))];
    let status = |news: &mut dyn Iterator<Item = &QuarantineRecord>| {
        let mut quarantine = Quarantine::default();
        news.for_each(|known| {
            quarantine.take(known, true);
        });
        quarantine.status(request_key("a").fingerprint, START + Millis(5_000))
    };
    assert_eq!(status(&mut news.iter()), status(&mut news.iter().rev()));
}

/// How many of the innocent are held wrongly, and how many instances end, when a verdict
/// takes `ends` of them.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Errors {
    held_wrongly: f64,
    ended: f64,
}

/// Where one request is on its way through the heads.
#[derive(Debug, Clone, Copy)]
struct Under {
    ends_it: bool,
    hits: u32,
    attempts: u32,
    head: usize,
    over_at: u64,
}

/// Plays twenty seconds, in steps of 10 ms, in which heads end by themselves or by the one
/// request: each request may be at two instances, and its caller asks once more.
fn errors(ends: u32, crashes_a_second: f64, is_asked: bool, seed: u64) -> Errors {
    const HEADS: usize = 10;
    const RATE: f64 = 120.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut under: Vec<Under> = Vec::new();
    let (mut poison_hits, mut ended, mut held, mut all) = (0, 0.0, 0.0, 0.0);
    for step in 0..2_000_u64 {
        if rng.random_bool(RATE / 100.0 / 2.0) {
            for _ in 0..2 {
                let head = rng.random_range(0..HEADS);
                let over_at = step + 120;
                under.push(Under { ends_it: false, hits: 0, attempts: 1, head, over_at });
                all += 1.0;
            }
        }
        if is_asked && step % 50 == 0 && poison_hits < ends {
            let head = rng.random_range(0..HEADS);
            under.push(Under { ends_it: true, hits: 0, attempts: 1, head, over_at: step + 25 });
        }
        let own = rng.random_bool(crashes_a_second / 100.0).then(|| rng.random_range(0..HEADS));
        let by_it = under.iter().find(|u| u.ends_it && u.over_at == step).map(|u| u.head);
        under.retain(|u| u.ends_it || u.over_at > step);
        for lost in own.into_iter().chain(by_it) {
            ended += 1.0;
            poison_hits += u32::from(by_it == Some(lost));
            let mut next = Vec::new();
            for mut u in under.drain(..) {
                if u.head == lost {
                    u.hits += 1;
                    let is_held = if u.ends_it { poison_hits >= ends } else { u.hits >= ends };
                    // Its caller's own second try comes after two attempts; then it is over.
                    let is_over = u.attempts >= 4;
                    if is_held || is_over {
                        // Only who would have asked again notices that it is held.
                        held += f64::from(u8::from(is_held && !u.ends_it && !is_over));
                        continue;
                    }
                    u.attempts += 1;
                    u.head = rng.random_range(0..HEADS);
                    u.over_at = step + if u.ends_it { 25 } else { 120 };
                }
                next.push(u);
            }
            under = next;
        }
        if let Some(over) = under.iter().position(|u| u.ends_it && u.over_at < step) {
            under.swap_remove(over);
        }
    }
    Errors { held_wrongly: held / all, ended }
}

fn mean(ends: u32, crashes_a_second: f64, is_asked: bool) -> Errors {
    let seeds = 20;
    let played = (0..seeds).map(|seed| errors(ends, crashes_a_second, is_asked, seed));
    let sum = played.fold((0.0, 0.0), |sum, one| (sum.0 + one.held_wrongly, sum.1 + one.ended));
    Errors { held_wrongly: sum.0 / seeds as f64, ended: sum.1 / seeds as f64 }
}

/// Both errors by the number of ends that a verdict takes: what is held wrongly, where one
/// head ends each half second by itself, and what is lost to one request that ends all.
#[test]
fn three_ends_hold_hardly_anybody_wrongly_and_cost_one_instance_more_than_two() {
    let beside_crashes = |ends| mean(ends, 2.0, false).held_wrongly;
    let lost = |ends| mean(ends, 0.0, true).ended;
    let table: Vec<String> = (1..=4)
        .map(|ends| format!("{ends}: {:.4} {:.1}", beside_crashes(ends), lost(ends)))
        .collect();
    assert!(beside_crashes(3) < 0.012, "{table:?}");
    assert!(beside_crashes(2) > 4.0 * beside_crashes(3), "{table:?}");
    assert!(lost(3) < 5.0, "{table:?}");
    assert!(lost(u32::MAX) > 20.0, "without a verdict");
}
