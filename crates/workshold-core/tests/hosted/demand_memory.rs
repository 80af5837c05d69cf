//! Tests of the demand memory.

use std::f64::consts::TAU;

use rstest::rstest;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::demand_memory::DemandMemory;
use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;

const RETENTION: Millis = Millis::from_secs(40);

fn model(name: &str) -> ModelName {
    ModelName::new(name).unwrap()
}

fn workload(requests: f64) -> Workload {
    Workload {
        requests,
        prompt_tokens: requests * 1_000.0,
        events: requests * 20.0,
        pause_goal: Millis(250),
    }
}

/// Records `requests(now)` every `interval` from `from` to `to`.
fn record(
    memory: &mut DemandMemory,
    interval: u64,
    from: Millis,
    to: Millis,
    requests: impl Fn(Millis) -> f64,
) {
    for now in (from.0..to.0).step_by(interval as usize).map(Millis) {
        memory.record([(&model("m"), &workload(requests(now)))], now);
    }
}

/// The remembered requests per second; zero if none are remembered.
fn remembered(memory: &DemandMemory, now: Millis) -> f64 {
    memory.remembered(&model("m"), |work| work.requests, now).map_or(0.0, |work| work.requests)
}

/// Guards against a memory that holds on to a peak, or drops it at once: half of it counts after
/// the retention, and nothing later.
#[test]
fn a_peak_counts_by_half_after_the_retention_and_then_fades() {
    let mut memory = DemandMemory::new(RETENTION);
    let peak_end = Millis::from_secs(110);
    record(&mut memory, 150, Millis::from_secs(100), peak_end, |_| 500.0);
    let weights = [(0, 1.0), (20, 0.707), (39, 0.509), (40, 0.5), (41, 0.0), (600, 0.0)];
    for (age_s, weight) in weights {
        let seen = remembered(&memory, peak_end + Millis::from_secs(age_s));
        assert!((seen - 500.0 * weight).abs() < 1.0, "{seen} after {age_s} s");
    }
}

/// The demand that swings every 17 s: between two peaks it must never be forgotten, however often
/// a node records it and whenever it started.
#[rstest]
fn a_swing_is_remembered_through_each_trough(
    #[values(150, 200, 1_000)] interval: u64,
    #[values(0, 730, 4_444)] start: u64,
) {
    let swing = |now: Millis| 355.0 + 175.0 * (TAU * now.as_secs_f64() / 17.0).sin();
    let mut memory = DemandMemory::new(RETENTION);
    let start = Millis(start);
    for second in 0..120 {
        let (from, to) = (Millis::from_secs(second), Millis::from_secs(second + 1));
        record(&mut memory, interval, start + from, start + to, swing);
        let seen = remembered(&memory, start + to);
        if second >= 17 {
            assert!((0.73 * 530.0..=530.0).contains(&seen), "{seen} at {second} s");
        }
    }
}

/// Guards against planning for a few requests that happen to arrive together.
#[test]
fn a_short_burst_counts_by_its_mean_over_two_seconds() {
    let mut memory = DemandMemory::new(RETENTION);
    let burst = |now: Millis| if now.0 / 500 == 21 { 900.0 } else { 100.0 };
    record(&mut memory, 100, Millis::ZERO, Millis::from_secs(15), burst);
    let seen = remembered(&memory, Millis::from_secs(15));
    assert!((250.0..=300.0).contains(&seen), "{seen}");
}

/// Guards against taking the first sample of a node that has just started for a mean.
#[test]
fn nothing_is_remembered_before_two_seconds_have_been_recorded() {
    let mut memory = DemandMemory::new(RETENTION);
    record(&mut memory, 150, Millis(0), Millis(1_500), |_| 500.0);
    assert_eq!(remembered(&memory, Millis(1_500)), 0.0);
    record(&mut memory, 150, Millis(1_500), Millis(2_000), |_| 500.0);
    assert_eq!(remembered(&memory, Millis(2_000)), 500.0);
}

/// Guards against state that grows with time, with the rate of recording, or with models that
/// were served once.
#[test]
fn the_state_is_bounded() {
    let mut memory = DemandMemory::new(RETENTION);
    for now in (0..600_000).step_by(50).map(Millis) {
        let of_the_minute = model(&format!("m-{}", now.0 / 60_000));
        memory.record([(&of_the_minute, &workload(1.0)), (&model("m"), &workload(1.0))], now);
        // Two models, each with 40 s of buckets and the time of one mean.
        assert!(memory.bucket_count() <= 2 * 2 * 45, "{} at {now}", memory.bucket_count());
    }
}

#[test]
fn without_retention_nothing_is_remembered() {
    let mut memory = DemandMemory::new(Millis::ZERO);
    record(&mut memory, 150, Millis::ZERO, Millis::from_secs(10), |_| 500.0);
    assert_eq!((memory.bucket_count(), remembered(&memory, Millis::from_secs(10))), (0, 0.0));
    memory.set_retention(RETENTION);
    record(&mut memory, 150, Millis::from_secs(10), Millis::from_secs(20), |_| 500.0);
    memory.set_retention(Millis::ZERO);
    assert_eq!(memory.bucket_count(), 0, "switched off");
}
