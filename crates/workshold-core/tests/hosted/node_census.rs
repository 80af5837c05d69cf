//! The nodes among which the retry budget is divided, and the share of a process that has just
//! started.

use rstest::rstest;
use workshold_core::hosted::node_census::NodeCensus;
use workshold_core::hosted::retry_policy::RetryBudget;
use workshold_core::hosted::retry_policy::RetryBudgetRules;
use workshold_protocol::Millis;

const RULES: RetryBudgetRules =
    RetryBudgetRules { ratio: 0.2, window: Millis(10_000), slack: 100.0 };
const HOUR: Millis = Millis::from_secs(3_600);

fn three_nodes() -> NodeCensus<u32> {
    let mut census = NodeCensus::default();
    (1..=3).for_each(|node| census.on_seen(node, Millis::ZERO));
    census
}

#[test]
fn a_silent_node_counts_until_the_store_answers() {
    let mut census = three_nodes();
    census.on_seen(1, HOUR);
    assert_eq!(census.count(), 3);
}

#[test]
fn a_silent_node_counts_as_long_as_the_store_names_it() {
    let mut census = three_nodes();
    census.on_listed([2], HOUR);
    assert_eq!(census.count(), 1, "the others are silent and aren't named");
    census.on_listed([], HOUR + Millis::from_secs(60));
    assert_eq!(census.count(), 1, "a node that the store doesn't name may still be running");
    census.on_listed([], HOUR + HOUR);
    assert_eq!(census.count(), 0);
}

#[test]
fn a_new_node_counts_at_once() {
    let mut census = three_nodes();
    census.on_listed([4, 5], Millis(100));
    assert_eq!(census.count(), 5);
}

/// However often a process is replaced, its successors together use no more than one that keeps
/// running.
#[rstest]
fn restarts_do_not_multiply_a_nodes_share(
    #[values(300, 2_000, 9_000, 10_400, 10_600, 13_000, 19_000)] restart_interval: u64,
    #[values(0, 10_000, 12_900, 17_000)] failures_from: u64,
) {
    let mut budget = RetryBudget::new(RULES);
    let mut taken = Vec::new();
    for ms in (0..60_000_u64).step_by(20) {
        if ms > 0 && ms % restart_interval < 20 {
            budget = RetryBudget::for_restart(RULES, Millis(ms));
        }
        budget.on_request(Millis(ms));
        // Every request fails, and every four seconds 200 streams are to be moved at once.
        let wanted = if ms % 4_000 == 0 { 200 } else { 1 };
        let wanted = if ms < failures_from { 0 } else { wanted };
        taken.extend((0..wanted).filter(|_| budget.take(Millis(ms), 1)).map(|_| ms));
    }
    for from in (0..50_000_u64).step_by(20) {
        let repeats = taken.iter().filter(|at| (from..from + 10_000).contains(*at)).count();
        assert!(repeats <= 200, "{repeats} of 500 requests from {from}");
    }
}

#[test]
fn a_restarted_process_has_its_whole_share_after_a_window() {
    let mut budget = RetryBudget::for_restart(RULES, Millis(5_000));
    let mut taken = |at| (0..200).filter(|_| budget.take(Millis(at), 1)).count();
    assert_eq!(taken(15_400), 0);
    assert_eq!(taken(15_500), 80);
}
