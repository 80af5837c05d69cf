//! What is divided among nodes: by whom, and in which window.

use rstest::rstest;
use workshold_core::hosted::node_census::NodeCensus;
use workshold_core::hosted::retry_policy::RetryBudget;
use workshold_core::hosted::retry_policy::RetryBudgetRules;
use workshold_protocol::Millis;

const RULES: RetryBudgetRules =
    RetryBudgetRules { ratio: 0.2, window: Millis(10_000), slack: 100.0 };
const HOUR: Millis = Millis::from_secs(3_600);

fn three() -> NodeCensus<u32> {
    let mut sharers = NodeCensus::default();
    (1..=3).for_each(|node| sharers.on_seen(node, Millis::ZERO));
    sharers
}

#[test]
fn who_falls_silent_keeps_its_part_while_the_store_says_nothing() {
    let mut sharers = three();
    sharers.on_seen(1, HOUR);
    assert_eq!(sharers.count(), 3);
}

#[test]
fn who_is_silent_keeps_its_part_as_long_as_the_store_names_it() {
    let mut sharers = three();
    sharers.on_listed([2], HOUR);
    assert_eq!(sharers.count(), 1, "the others are gone by both signs");
    sharers.on_listed([], HOUR + Millis::from_secs(60));
    assert_eq!(sharers.count(), 1, "the store names only some of many");
    sharers.on_listed([], HOUR + HOUR);
    assert_eq!(sharers.count(), 0);
}

#[test]
fn who_is_new_takes_its_part_at_once() {
    let mut sharers = three();
    sharers.on_listed([4, 5], Millis(100));
    assert_eq!(sharers.count(), 5);
}

/// However often a process is replaced, its place takes no more than one that stays.
#[rstest]
fn a_place_takes_its_part_once_however_often_its_process_is_replaced(
    #[values(300, 2_000, 9_000, 10_400, 10_600, 13_000, 19_000)] every: u64,
    #[values(0, 10_000, 12_900, 17_000)] trouble_from: u64,
) {
    let mut budget = RetryBudget::new(RULES);
    let mut taken = Vec::new();
    for ms in (0..60_000_u64).step_by(20) {
        if ms > 0 && ms % every < 20 {
            budget = RetryBudget::for_restart(RULES, Millis(ms));
        }
        budget.on_request(Millis(ms));
        // Everything fails, and bursts of streams move at once.
        let wanted = if ms % 4_000 == 0 { 200 } else { 1 };
        let wanted = if ms < trouble_from { 0 } else { wanted };
        taken.extend((0..wanted).filter(|_| budget.take(Millis(ms), 1)).map(|_| ms));
    }
    for from in (0..50_000_u64).step_by(20) {
        let repeats = taken.iter().filter(|at| (from..from + 10_000).contains(*at)).count();
        assert!(repeats <= 200, "{repeats} of 500 requests from {from}");
    }
}

#[test]
fn a_process_has_its_whole_part_once_a_window_has_passed() {
    let mut budget = RetryBudget::for_restart(RULES, Millis(5_000));
    let mut taken = |at| (0..200).filter(|_| budget.take(Millis(at), 1)).count();
    assert_eq!(taken(15_400), 0);
    assert_eq!(taken(15_500), 80);
}
