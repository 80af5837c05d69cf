//! The bytes held for readers: backpressure, and which readers are ended.
//!
//! Guards against this failure: a node held answers without any bound for callers that did not
//! read them, and never disconnected such a caller.

use proptest::prelude::*;
use rstest::rstest;
use workshold_core::hosted::read_budget::EndReason;
use workshold_core::hosted::read_budget::HeldBytes;
use workshold_core::hosted::read_budget::ReadBudget;
use workshold_core::hosted::read_budget::ReadBudgetRules;
use workshold_protocol::Millis;

const RULES: ReadBudgetRules =
    ReadBudgetRules { stream_bytes: 100, total_bytes: 1_000, unread_max: Millis(5_000) };

fn budget() -> ReadBudget<u32> {
    ReadBudget::new(RULES)
}

fn waiting(waiting: u64, taken: u64) -> HeldBytes {
    HeldBytes { waiting, partial: 0, taken }
}

#[rstest]
#[case::below_the_bound(waiting(99, 0), false)]
#[case::at_the_bound(waiting(100, 0), true)]
#[case::a_long_unfinished_event(HeldBytes { waiting: 10, partial: 500, taken: 0 }, false)]
fn a_stream_at_its_bound_is_not_read(#[case] held: HeldBytes, #[case] is_full: bool) {
    let mut budget = budget();
    budget.update(1, held, Millis(0));
    budget.update(2, waiting(10, 0), Millis(0));
    assert_eq!(budget.is_full(1), is_full);
    assert!(!budget.is_full(2), "no other stream waits for it");
}

#[test]
fn a_reader_that_takes_nothing_is_ended_after_the_time_limit() {
    let mut budget = budget();
    for now in (0..5_000).step_by(250) {
        budget.update(1, waiting(50, 7), Millis(now));
        assert_eq!(budget.take_ended(Millis(now)), []);
    }
    assert_eq!(budget.take_ended(Millis(5_000)), [(1, EndReason::Unread)]);
    assert_eq!(budget.total(), 0);
    assert!(budget.is_empty());
}

/// More bytes may arrive for a reader that takes none: that is no sign that it reads.
#[test]
fn bytes_that_arrive_do_not_extend_the_time_limit() {
    let mut budget = budget();
    (0..50).for_each(|i| budget.update(1, waiting(10 + i, 0), Millis(i * 100)));
    assert_eq!(budget.take_ended(Millis(5_000)), [(1, EndReason::Unread)]);
}

#[test]
fn a_slow_reader_that_takes_something_is_not_ended() {
    let mut budget = budget();
    for step in 0..20 {
        let now = Millis(step * 4_900);
        budget.update(1, waiting(90, step), now);
        assert_eq!(budget.take_ended(now), []);
    }
}

/// A caller whose instance is silent has nothing to read.
#[test]
fn a_reader_without_waiting_bytes_is_not_ended() {
    let mut budget = budget();
    budget.update(1, waiting(50, 0), Millis(0));
    budget.update(1, HeldBytes { waiting: 0, partial: 30, taken: 50 }, Millis(100));
    assert_eq!(budget.take_ended(Millis(60_000)), []);
    budget.update(1, waiting(40, 50), Millis(60_000));
    assert_eq!(budget.take_ended(Millis(64_999)), []);
    assert_eq!(budget.take_ended(Millis(65_000)), [(1, EndReason::Unread)]);
}

#[test]
fn at_the_total_the_readers_that_have_gone_unread_longest_are_ended() {
    let mut budget = budget();
    budget.update(1, waiting(400, 0), Millis(200));
    budget.update(2, waiting(400, 0), Millis(100));
    budget.update(3, HeldBytes { waiting: 0, partial: 150, taken: 0 }, Millis(0));
    assert_eq!(budget.take_ended(Millis(300)), [], "the total is not reached");
    budget.update(4, waiting(50, 0), Millis(300));
    assert_eq!(budget.take_ended(Millis(300)), [(2, EndReason::TotalReached)]);
    assert_eq!(budget.total(), 600);
}

#[test]
fn readers_without_waiting_bytes_are_ended_last() {
    let mut budget = budget();
    budget.update(1, HeldBytes { waiting: 0, partial: 1_100, taken: 0 }, Millis(0));
    budget.update(2, waiting(50, 0), Millis(0));
    let ended = [(2, EndReason::TotalReached), (1, EndReason::TotalReached)];
    assert_eq!(budget.take_ended(Millis(0)), ended);
}

#[test]
fn other_rules_are_in_force_at_once() {
    let mut budget = budget();
    budget.update(1, waiting(90, 0), Millis(0));
    budget.set_rules(ReadBudgetRules { stream_bytes: 50, total_bytes: 90, ..RULES });
    assert!(budget.is_full(1));
    assert_eq!(budget.take_ended(Millis(0)), [(1, EndReason::TotalReached)]);
}

#[derive(Debug, Clone)]
enum Step {
    Update(u32, HeldBytes),
    Remove(u32),
    Pass(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let held = (0_u64..300, 0_u64..300, 0_u64..5).prop_map(|(waiting, partial, taken)| HeldBytes {
        waiting,
        partial,
        taken,
    });
    prop_oneof![
        4 => (0_u32..12, held).prop_map(|(reader, held)| Step::Update(reader, held)),
        1 => (0_u32..12).prop_map(Step::Remove),
        1 => (0_u64..2_000).prop_map(Step::Pass),
    ]
}

proptest! {
    /// The total is the sum of the last reports, and is below its bound whenever readers were ended.
    #[test]
    fn the_total_stays_below_its_bound(steps in prop::collection::vec(any_step(), 1..200)) {
        let mut budget = budget();
        let mut held_bytes = std::collections::BTreeMap::new();
        let mut now = Millis(0);
        for step in steps {
            match step {
                Step::Update(reader, held) => {
                    budget.update(reader, held, now);
                    held_bytes.insert(reader, held.waiting + held.partial);
                }
                Step::Remove(reader) => {
                    budget.remove(reader);
                    held_bytes.remove(&reader);
                }
                Step::Pass(ms) => now = now + Millis(ms),
            }
            let was_over = budget.total() >= RULES.total_bytes;
            let ended = budget.take_ended(now);
            for (reader, reason) in &ended {
                prop_assert!(held_bytes.remove(reader).is_some_and(|bytes| bytes > 0));
                prop_assert!(was_over || *reason == EndReason::Unread);
            }
            prop_assert_eq!(budget.total(), held_bytes.values().sum::<u64>());
            prop_assert!(budget.total() < RULES.total_bytes);
        }
    }
}
