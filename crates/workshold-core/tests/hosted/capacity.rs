//! The capacity estimate and the utility of groups, against measurements, and the demand that is
//! reported for models.

use rstest::rstest;
use smol_str::SmolStr;
use workshold_core::hosted::capacity::CapacityEstimate;
use workshold_core::hosted::capacity::Utility;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::demand::Demand;
use workshold_core::hosted::demand::RequestCost;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::ModelSpec;
use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;

fn engine() -> Engine {
    let spec = |name: &str, size, pace, share| ModelSpec {
        name: ModelName::new(name).unwrap(),
        size,
        share,
        pace,
        load: Millis(12_000),
        warm_load: Millis(1_100),
    };
    Engine {
        slots: 17,
        stride: 5,
        step_ms: 7.8,
        per_request_ms: 0.0947,
        context_ms_per_k: 0.0096,
        prefill_tokens_per_ms: 45.9,
        attention_ms_per_m_pairs: 0.433,
        group_open_time: Millis(300),
        typical_prompt_tokens: 1_000.0,
        typical_answer_tokens: 120.0,
        loads_per_s: 5.0,
        loads_at_once: 7,
        models: vec![spec("big", 4, 1.0, 0.5), spec("small", 2, 0.6, 0.5)],
    }
}

fn workload(requests: f64, prompt: f64, events: f64, pause_goal: u64) -> Workload {
    Workload {
        requests,
        prompt_tokens: requests * prompt,
        events: requests * events,
        pause_goal: Millis(pause_goal),
    }
}

/// Measurements at steady load without faults on the users' test bench: the groups of a model, how
/// many would just have kept up, and the fraction of requests served in time.
#[rstest]
#[case::small_with_spare_capacity("small", 14.0, 8.24, 0.997)]
#[case::small_near_saturation("small", 12.0, 9.9, 0.872)]
#[case::big_with_spare_capacity("big", 6.0, 4.28, 0.95)]
#[case::big_near_saturation("big", 6.0, 5.17, 0.87)]
fn fraction_in_time_matches_measurement(
    #[case] model: &str,
    #[case] groups: f64,
    #[case] min_groups: f64,
    #[case] measured: f64,
) {
    let engine = engine();
    let spec = engine.model(model).unwrap();
    let one = if model == "big" {
        workload(1.0, 1_680.0, 20.0, 300)
    } else {
        workload(1.0, 674.0, 35.0, 200)
    };
    let asked = one.scaled(min_groups / CapacityEstimate::new(&engine, spec, one).min_groups());
    let load = CapacityEstimate::new(&engine, spec, asked);
    assert!((load.min_groups() - min_groups).abs() < 1e-9);
    let in_time = load.in_time(groups);
    assert!((in_time - measured).abs() < 0.06, "{in_time} for {measured}");
}

#[test]
fn utility_never_falls_with_more_groups_and_its_gain_vanishes() {
    let engine = engine();
    let workloads = [workload(60.0, 1_680.0, 20.0, 300), workload(150.0, 674.0, 35.0, 200)];
    for utility in Utility::of_all(&engine, &workloads, |_| 40) {
        let gains: Vec<f64> = (0..40).map(|n| utility.gain(f64::from(n), 1.0)).collect();
        assert!(gains.iter().all(|gain| *gain >= -1e-9), "{gains:?}");
        assert!(gains[39] < gains[0] / 100.0, "{gains:?}");
    }
}

#[test]
fn model_without_demand_has_no_utility() {
    let engine = engine();
    let workloads = [Workload::default(), workload(150.0, 674.0, 35.0, 200)];
    let utilities = Utility::of_all(&engine, &workloads, |_| 10);
    assert_eq!(utilities[0].gain(0.0, 1.0), 0.0);
}

#[test]
fn expected_demand_uses_each_models_share() {
    let engine = engine();
    for spec in &engine.models {
        let expected = Workload::expected(&engine, spec, 60);
        let instances =
            CapacityEstimate::new(&engine, spec, expected).min_groups() * spec.size as f64;
        assert!((instances - 18.0).abs() < 0.1, "0.6 of half of 60 instances, not {instances}");
    }
}

#[test]
fn demand_is_reported_per_second_and_decays() {
    let model = SmolStr::new("big");
    let asked = RequestCost { prompt_tokens: 1_000.0, pause_goal: Millis(300) };
    let mut demand = Demand::default();
    for i in 0..200_u64 {
        demand.on_request(&model, asked, Millis(i * 100));
    }
    let (_, workload) = demand.all(7.0, Millis(20_000))[0].clone();
    assert!((workload.requests - 10.0).abs() < 0.5, "{workload:?}");
    assert!((workload.prompt_tokens - 10_000.0).abs() < 500.0, "{workload:?}");
    assert!((workload.events - 70.0).abs() < 4.0, "{workload:?}");
    assert_eq!(workload.pause_goal, Millis(300));
    assert!(demand.observed_fraction(Millis(20_000)) > 0.99);
    let (_, later) = demand.all(7.0, Millis(29_000))[0].clone();
    assert!(later.requests < 0.6, "{later:?}");
}

/// Guards against counting a request twice: a refused request is retried by its caller.
#[test]
fn refused_requests_are_not_counted_twice() {
    let model = SmolStr::new("big");
    let asked = RequestCost { prompt_tokens: 1_000.0, pause_goal: Millis(300) };
    let mut demand = Demand::default();
    for i in 0..200_u64 {
        // Refused, and refused again when it is retried.
        for at in [Millis(i * 100), Millis(i * 100 + 50)] {
            demand.on_request(&model, asked, at);
            demand.on_refusal(&model, asked, at);
        }
    }
    let (_, workload) = demand.all(7.0, Millis(20_000))[0].clone();
    assert!((workload.requests - 10.0).abs() < 0.7, "{workload:?}");
}

#[test]
fn expected_response_length_follows_past_responses() {
    let model = SmolStr::new("big");
    let asked = RequestCost { prompt_tokens: 1_000.0, pause_goal: Millis(300) };
    let mut demand = Demand::default();
    for i in 0..300_u64 {
        demand.on_request(&model, asked, Millis(i * 100));
        demand.on_answer(&model, 30.0, 7.0, Millis(i * 100));
    }
    let (_, workload) = demand.all(7.0, Millis(30_000))[0].clone();
    assert!((workload.events / workload.requests - 30.0).abs() < 0.5, "{workload:?}");
}
