//! Tests of groups for a remembered demand, with stewards in virtual time.

use std::f64::consts::TAU;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::demand_memory::DemandMemory;
use workshold_protocol::Millis;

use crate::planning::workload;
use crate::reserve_fleet::Fleet;
use crate::reserve_fleet::START;

const RETENTION: Millis = Millis::from_secs(40);
const PERIOD: Millis = Millis::from_secs(17);
/// Time from a start of the fleet to the beginning of its third trough.
const THIRD_TROUGH: Millis = Millis(2 * PERIOD.0 + 6_500);

/// Demand for `big` that swings between `low` and `high`, highest at the start of each period, and
/// `small` requests for `small`.
fn swing(low: f64, high: f64, small: f64) -> impl Fn(Millis) -> [f64; 2] {
    move |now| {
        let phase = (now.since(START).0 % PERIOD.0) as f64 / PERIOD.0 as f64;
        [(low + high) / 2.0 + (high - low) / 2.0 * (TAU * phase).cos(), small]
    }
}

/// Two groups of `big` and two of `small` in each of two domains, and a spare instance in each
/// that holds the weights of `small` and, if `has_weights`, on its host those of `big`.
fn fleet(retention: Millis, has_weights: bool) -> Fleet {
    let mut fleet = Fleet::new(&["d", "e"], retention);
    for domain in ["d", "e"] {
        let names = |ids: std::ops::Range<usize>| ids.map(|i| format!("{domain}-{i:02}")).collect();
        fleet.add_group(domain, "big", names(0..4));
        fleet.add_group(domain, "big", names(4..8));
        fleet.add_group(domain, "small", names(8..10));
        fleet.add_group(domain, "small", names(10..12));
        let staged: &[&str] = if has_weights { &["big"] } else { &[] };
        fleet.add(domain, &format!("{domain}-12"), &["small"], staged);
    }
    fleet
}

/// Loses a member of a group of `big` in `domain` at the beginning of the third trough, and returns
/// the times from then to the first load and to the forming of a group in its place.
fn repair(fleet: &mut Fleet, domain: &str, small: f64) -> (Option<Millis>, Option<Millis>) {
    let demand = swing(4.0, 50.0, small);
    fleet.run(THIRD_TROUGH, &demand);
    assert_eq!(fleet.serving("big"), 4);
    fleet.lose(domain, &format!("{domain}-01"));
    let lost_at = fleet.now;
    let mut repaired = None;
    while repaired.is_none() && fleet.now.since(lost_at) < Millis::from_secs(20) {
        fleet.run(Millis(200), &demand);
        repaired = (fleet.serving("big") == 4).then(|| fleet.now.since(lost_at));
    }
    let loaded = fleet.log.loads.iter().find(|at| **at > lost_at);
    (loaded.map(|at| at.since(lost_at)), repaired)
}

/// Guards against the fault that a group which is lost in a trough is formed again only at the next
/// peak, although instances that hold the weights are free.
#[test]
fn a_loss_in_a_trough_is_repaired_in_the_trough() {
    let (_, without) = repair(&mut fleet(Millis::ZERO, true), "d", 50.0);
    assert!(without.is_some_and(|after| after > Millis(6_000)), "the fault: {without:?}");
    let (loaded, repaired) = repair(&mut fleet(RETENTION, true), "d", 50.0);
    assert!(repaired.is_some_and(|after| after <= Millis(2_000)), "{repaired:?}");
    assert_eq!(loaded, None, "the weights are there");
}

/// Guards against loading weights only once the demand has risen.
#[test]
fn weights_for_the_next_peak_are_loaded_in_the_trough() {
    let (without, _) = repair(&mut fleet(Millis::ZERO, false), "d", 30.0);
    assert!(without.is_some_and(|after| after > Millis(6_000)), "the fault: {without:?}");
    let (loaded, repaired) = repair(&mut fleet(RETENTION, false), "d", 30.0);
    assert!(loaded.is_some_and(|after| after <= Millis(1_500)), "{loaded:?}");
    assert!(repaired.is_some_and(|after| after <= Millis(18_000)), "{repaired:?}");
}

/// A steward that has just started and remembers nothing repairs the loss later, and does nothing
/// worse; the steward that remembers repairs it at once.
#[rstest]
#[case::in_its_own_domain("d", Millis(6_000), Millis(17_000))]
#[case::in_the_domain_of_the_other("e", Millis::ZERO, Millis(2_000))]
fn a_steward_without_memory_repairs_later(
    #[case] domain: &str,
    #[case] least: Millis,
    #[case] most: Millis,
) {
    let mut fleet = fleet(RETENTION, true);
    fleet.domains.get_mut("d").unwrap().memory.set_retention(Millis::ZERO);
    let (_, repaired) = repair(&mut fleet, domain, 50.0);
    assert!(repaired.is_some_and(|after| (least..=most).contains(&after)), "{repaired:?}");
    fleet.run(Millis(3 * PERIOD.0), swing(4.0, 50.0, 50.0));
    assert_eq!(fleet.log.closed, [], "nothing is closed");
    assert_eq!(fleet.serving("big"), 4);
}

/// Guards against closing groups in each trough and forming them again for each peak: without
/// memory, groups change their model with every swing here.
#[test]
fn an_oscillating_demand_closes_no_groups() {
    let closed_and_least = |retention: Millis| {
        let mut fleet = fleet(retention, true);
        let demand = swing(10.0, 80.0, 8.0);
        fleet.run(Millis(2 * PERIOD.0), &demand);
        let (settled_at, before) = (fleet.now, fleet.serving("big"));
        let mut least = before;
        for _ in 0..3 * PERIOD.0 / 200 {
            fleet.run(Millis(200), &demand);
            least = least.min(fleet.serving("big"));
        }
        let closed = fleet.log.closed.iter().filter(|at| **at > settled_at).count();
        (closed, before - least)
    };
    let (closed, fewer) = closed_and_least(Millis::ZERO);
    assert!(closed > 3 && fewer > 0, "the fault: {closed} closed, {fewer} groups fewer");
    assert_eq!(closed_and_least(RETENTION), (0, 0));
}

/// A memory of `seconds` of the demand `requests` that ends when fleets start.
fn memory_of(fleet: &Fleet, requests: [f64; 2]) -> DemandMemory {
    let mut memory = DemandMemory::new(RETENTION);
    let workloads = requests.map(workload);
    for now in (START.0 - 10_000..START.0).step_by(200).map(Millis) {
        memory.record(fleet.engine.models.iter().map(|spec| &spec.name).zip(&workloads), now);
    }
    memory
}

/// Guards against loads for a remembered demand that use up what the weight store can do.
#[test]
fn loads_for_a_remembered_demand_stay_below_half_of_the_stores_rate() {
    let mut fleet = Fleet::new(&["d"], RETENTION);
    fleet.engine.loads_per_s = 1.0;
    fleet.engine.models[0].load = Millis(2_000);
    (0..60).for_each(|i| fleet.add("d", &format!("d-{i}"), &["small"], &["small"]));
    let memory = memory_of(&fleet, [400.0, 0.0]);
    fleet.domains.get_mut("d").unwrap().memory = memory;
    fleet.run(Millis::from_secs(40), |_| [0.0, 0.0]);
    let loads = &fleet.log.loads;
    assert!(loads.len() >= 12, "{loads:?}");
    const WINDOW: Millis = Millis::from_secs(20);
    let most = fleet.engine.loads_per_s / 2.0 * WINDOW.as_secs_f64();
    for (i, first) in loads.iter().enumerate() {
        let count = loads[i..].iter().filter(|at| at.since(*first) < WINDOW).count();
        assert!(count as f64 <= most, "{count} loads from {first}: {loads:?}");
    }
}

/// Guards against groups and loads for a demand that ended long ago, and against closing groups as
/// the memory of it fades.
#[test]
fn a_memory_that_has_faded_forms_nothing_and_closes_nothing() {
    let mut fleet = fleet(RETENTION, false);
    fleet.run(Millis::from_secs(20), |_| [50.0, 30.0]);
    fleet.run(Millis::from_secs(60), |_| [4.0, 30.0]);
    assert_eq!((fleet.serving("big"), &fleet.log.closed), (4, &Vec::new()));
    let loads = fleet.log.loads.len();
    fleet.lose("d", "d-01");
    fleet.run(Millis::from_secs(30), |_| [4.0, 30.0]);
    assert_eq!(fleet.serving("big"), 3, "three groups are ample now");
    assert_eq!((fleet.log.loads.len(), &fleet.log.closed), (loads, &Vec::new()));
}

/// A fleet of random groups and free instances in three domains.
fn random_fleet(rng: &mut ChaCha8Rng) -> Fleet {
    let mut fleet = Fleet::new(&["d", "e", "f"], RETENTION);
    for domain in ["d", "e", "f"] {
        let mut next = 0;
        let mut names = |count: usize| {
            next += count;
            (next - count..next).map(|i| format!("{domain}-{i:02}")).collect::<Vec<String>>()
        };
        for (of, size) in [("big", 4), ("small", 2)] {
            (0..rng.random_range(0..3)).for_each(|_| fleet.add_group(domain, of, names(size)));
        }
        for name in names(rng.random_range(0..7)) {
            let weights: [&[&str]; 4] = [&["big"], &["small"], &["big", "small"], &[]];
            let loaded = weights[rng.random_range(0..2)];
            let staged = weights[rng.random_range(0..4)];
            fleet.add(domain, &name, loaded, staged);
        }
    }
    fleet
}

/// Three stewards that remember differently, one of them nothing, must not plan against each other:
/// at a constant demand groups are closed once at most, when the memory fades, and no more after.
#[rstest]
fn stewards_that_remember_differently_do_not_close_and_form_by_turns(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] part: u64,
) {
    for seed in part * 5..part * 5 + 5 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = random_fleet(&mut rng);
        let present = [0, 1].map(|_| rng.random_range(2.0..60.0));
        let peak = [0, 1].map(|_| rng.random_range(2.0..90.0));
        for (domain, factor) in [("d", 1.0), ("e", 0.0), ("f", 0.6)] {
            let memory = memory_of(&fleet, peak.map(|requests| requests * factor));
            let node = fleet.domains.get_mut(domain).unwrap();
            node.memory = if factor > 0.0 { memory } else { DemandMemory::new(Millis::ZERO) };
        }
        fleet.run(Millis::from_secs(90), |_| present);
        let mut rounds = fleet.log.closed.clone();
        rounds.dedup();
        assert!(rounds.len() <= 2, "seed {seed}: {:?}", fleet.log);
        let faded = START + RETENTION + Millis::from_secs(20);
        assert!(rounds.iter().all(|at| *at < faded), "seed {seed}: {:?}", fleet.log);
    }
}
