//! Which data centres are evacuated, by records of the operator's log and reports of other nodes
//! that arrive in any order.

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::evacuation::EvacuationChange;
use workshold_core::hosted::evacuation::Evacuations;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::store_era::RESTORE_SETTLE_TIME;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;

const NOW: Millis = Millis(10_000);

fn data_centre(name: &str) -> DataCentre {
    DataCentre::new(name).unwrap()
}

fn set(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| data_centre(name)).collect()
}

fn change(place: u64, name: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange { place: place.into(), data_centre: data_centre(name), is_evacuated }
}

fn at(era: u64, offset: u64) -> LogPosition {
    LogPosition { era: Era(era), offset }
}

#[test]
fn records_begin_and_end_evacuations_of_several_data_centres() {
    let mut evacuations = Evacuations::default();
    assert!(!evacuations.adopt(4.into(), set(&[]), NOW), "none is evacuated at first");
    assert!(evacuations.apply([change(4, "a", true), change(5, "b", true)], 6.into(), NOW));
    assert!(evacuations.contains(&data_centre("a"), NOW));
    assert!(evacuations.contains(&data_centre("b"), NOW));
    assert!(evacuations.apply([change(6, "a", false)], 7.into(), NOW));
    assert!(!evacuations.contains(&data_centre("a"), NOW));
    assert_eq!(evacuations.ended_at(&data_centre("a"), NOW), Some(NOW));
    assert_eq!(evacuations.ended_at(&data_centre("b"), NOW), None);
    assert!(evacuations.apply([change(7, "a", true)], 8.into(), NOW), "it can be asked for again");
    assert_eq!(evacuations.ended_at(&data_centre("a"), NOW), None);
}

/// A report that was on its way for long neither begins an evacuation again nor ends one.
#[test]
fn an_older_report_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.adopt(9.into(), set(&["b"]), NOW);
    assert!(!evacuations.adopt(7.into(), set(&["a"]), NOW));
    assert!(!evacuations.apply([change(5, "b", false)], 6.into(), NOW));
    assert_eq!(evacuations.known(), Some((9.into(), &set(&["b"]))));
}

/// Nodes that get the records and each other's reports in any order agree in the end.
#[rstest]
fn all_nodes_agree_whatever_the_order(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names = ["a", "b", "c", "d", "e"];
    let log: Vec<EvacuationChange> = (0..40)
        .map(|place| change(place, names[rng.random_range(0..names.len())], rng.random()))
        .collect();
    let mut nodes = vec![Evacuations::default(); 6];
    nodes[0].adopt(0.into(), set(&[]), NOW);
    for end in 1..=log.len() {
        let from = nodes[0].known().unwrap().0.offset as usize;
        if end == log.len() || rng.random_bool(0.4) {
            nodes[0].apply(log[from..end].iter().cloned(), (end as u64).into(), NOW);
        }
        let (teller, listener) = (rng.random_range(0..6), rng.random_range(0..6));
        let reported = nodes[teller].known().map(|(end, set)| (end, set.clone()));
        if let Some((end, evacuated)) = reported {
            nodes[listener].adopt(end, evacuated, NOW);
        }
    }
    let mut expected = BTreeSet::new();
    for change in &log {
        if change.is_evacuated {
            expected.insert(change.data_centre.clone());
        } else {
            expected.remove(&change.data_centre);
        }
    }
    let (end, evacuated) = nodes[0].known().map(|(end, set)| (end, set.clone())).unwrap();
    assert_eq!(evacuated, expected);
    for node in &mut nodes[1..] {
        node.adopt(end, evacuated.clone(), NOW);
        assert_eq!(node.known(), Some((end, &expected)));
    }
}

/// A restored log that lacks an evacuation does not end it at once: the operator's request was
/// acknowledged and is written again.
#[test]
fn an_evacuation_that_a_restore_lost_is_kept_until_it_can_be_written_again() {
    let mut evacuations = Evacuations::default();
    evacuations.adopt(at(0, 9), set(&["a"]), NOW);
    evacuations.adopt(at(1, 5), set(&[]), NOW);
    assert!(evacuations.contains(&data_centre("a"), NOW + Millis(1_000)));
    let settled = NOW + RESTORE_SETTLE_TIME;
    assert!(!evacuations.contains(&data_centre("a"), settled), "nobody has written it again");
    assert_eq!(evacuations.ended_at(&data_centre("a"), settled), Some(settled));
    let rewritten = EvacuationChange { place: at(1, 5), ..change(0, "a", true) };
    evacuations.apply([rewritten], at(1, 6), NOW + Millis(2_000));
    assert!(evacuations.contains(&data_centre("a"), settled));
    let ended = EvacuationChange { place: at(1, 6), ..change(0, "a", false) };
    evacuations.apply([ended], at(1, 7), settled);
    assert!(!evacuations.contains(&data_centre("a"), settled));
}

/// Ending an evacuation that only this node still keeps ends it at once.
#[test]
fn a_kept_evacuation_ends_when_its_record_is_deleted() {
    let mut evacuations = Evacuations::default();
    evacuations.adopt(at(0, 9), set(&["a"]), NOW);
    evacuations.adopt(at(1, 5), set(&[]), NOW);
    let ended = EvacuationChange { place: at(1, 5), ..change(0, "a", false) };
    evacuations.apply([ended], at(1, 6), NOW + Millis(100));
    assert!(!evacuations.contains(&data_centre("a"), NOW + Millis(100)));
}
