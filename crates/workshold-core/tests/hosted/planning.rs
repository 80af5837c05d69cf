//! Tests of the plan over all domains.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::capacity::CapacityEstimate;
use workshold_core::hosted::capacity::Utility;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::planner;
use workshold_core::hosted::planner::Change;
use workshold_core::hosted::planner::Domain;
use workshold_core::hosted::planner::Host;
use workshold_core::hosted::planner::HostReadiness;
use workshold_core::hosted::planner::Limits;
use workshold_core::hosted::planner::Model;
use workshold_core::hosted::planner::ServingGroup;
use workshold_core::hosted::planner::plan_with_reserve;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::ModelSpec;
use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::reference_planner;

pub fn engine() -> Engine {
    let spec = |name: &str, size, pace, share| ModelSpec {
        name: ModelName::new(name).unwrap(),
        size,
        share,
        pace,
        load: Millis(16_000),
        warm_load: Millis(1_600),
    };
    Engine {
        slots: 26,
        stride: 5,
        step_ms: 6.07,
        per_request_ms: 0.241,
        context_ms_per_k: 0.005,
        prefill_tokens_per_ms: 46.0,
        attention_ms_per_m_pairs: 0.7,
        group_open_time: Millis(300),
        typical_prompt_tokens: 1_076.0,
        typical_answer_tokens: 116.0,
        loads_per_s: 4.0,
        loads_at_once: 6,
        models: vec![spec("big", 4, 1.0, 0.67), spec("small", 2, 0.6, 0.33)],
    }
}

/// Builds the models for the demands `workloads`, with the given number of groups each.
fn models(engine: &Engine, workloads: &[Workload], groups: [f64; 2]) -> Vec<Model> {
    let utilities = |factor: f64| {
        let workloads: Vec<Workload> = workloads.iter().map(|work| work.scaled(factor)).collect();
        Utility::of_all(engine, &workloads, |_| 60)
    };
    let (utility, min_groups, most) = (utilities(1.0), utilities(0.85), utilities(1.15));
    let model = |(i, spec): (usize, &ModelSpec)| Model {
        size: spec.size,
        utility: utility[i].clone(),
        utility_low: min_groups[i].clone(),
        utility_high: most[i].clone(),
        utility_remembered: None,
        groups: groups[i],
        drain_time: Millis(2_000),
        load: spec.load,
    };
    engine.models.iter().enumerate().map(model).collect()
}

/// A host without any weights.
fn empty_host(domain: usize, i: usize) -> Host {
    let readiness = HostReadiness {
        needs_load: true,
        waits_for_weights: false,
        delay: Millis(3_500),
        waits_for_head: false,
    };
    let id = InstanceId::new(&format!("i-{domain}-{i}")).unwrap();
    Host { id: id.into(), readiness: vec![readiness; 2] }
}

fn empty_domains(domains: usize, hosts: usize) -> Vec<Domain> {
    let domain = |d: usize| Domain {
        name: FabricDomain::new(&format!("d-{d}")).unwrap(),
        free: (0..hosts).map(|i| empty_host(d, i)).collect(),
        serving_groups: Vec::new(),
    };
    (0..domains).map(domain).collect()
}

/// Number of groups of each model that the changes form.
fn formed(changes: &[Change], models: &[Model]) -> [usize; 2] {
    let of = |m: usize| {
        let changes = changes.iter().filter(|change| change.model == m);
        changes.map(|change| change.members.len() / models[m].size).sum()
    };
    [of(0), of(1)]
}

const BEFORE_TRAFFIC: Limits = Limits { may_close: false, may_load_on_join: true, max_loads: 6 };

#[test]
fn before_traffic_both_models_get_spare_capacity() {
    let engine = engine();
    let workloads: Vec<Workload> =
        engine.models.iter().map(|spec| Workload::expected(&engine, spec, 48)).collect();
    let models = models(&engine, &workloads, [0.0, 0.0]);
    let changes = planner::plan(empty_domains(6, 8), &models, BEFORE_TRAFFIC);
    let [big, small] = formed(&changes, &models);
    let min_groups: Vec<f64> = (0..2)
        .map(|i| CapacityEstimate::new(&engine, &engine.models[i], workloads[i]).min_groups())
        .collect();
    assert_eq!(big * 4 + small * 2, 48, "no instance is left over");
    let spare_capacity = [big as f64 / min_groups[0], small as f64 / min_groups[1]];
    assert!(
        spare_capacity.iter().all(|spare_capacity| *spare_capacity > 1.4),
        "{big} and {small} for {min_groups:?}"
    );
}

/// Plans a fleet of the size that the system is designed for: 920 instances.
#[test]
fn plan_for_a_large_fleet_uses_every_instance() {
    let engine = engine();
    let workloads: Vec<Workload> =
        engine.models.iter().map(|spec| Workload::expected(&engine, spec, 920)).collect();
    let utility = Utility::of_all(&engine, &workloads, |spec| 920 / spec.size + 1);
    let mut models = models(&engine, &workloads, [0.0, 0.0]);
    for (model, utility) in models.iter_mut().zip(utility) {
        model.utility = utility;
    }
    let changes = planner::plan(empty_domains(58, 16), &models, BEFORE_TRAFFIC);
    let [big, small] = formed(&changes, &models);
    assert_eq!(big * 4 + small * 2, 928);
}

/// Guards against a planning round whose time grows with the size of a model that fits nowhere: the
/// node answered nobody meanwhile.
#[rstest]
#[case::largest(usize::MAX)]
#[case::whole_multiple(usize::MAX - 1)]
#[case::beyond_the_fleet(4_000_000_000)]
fn a_model_larger_than_any_domain_does_not_delay_the_plan(#[case] size: usize) {
    let mut engine = engine();
    engine.models[0].size = size;
    let workloads = [workload(50.0), workload(10.0)];
    let mut models = models(&engine, &workloads, [0.0, 3.0]);
    models.iter_mut().for_each(|model| model.utility_remembered = Some(model.utility.clone()));
    for seed in 0..20 {
        let mut domains = random_domains(&mut ChaCha8Rng::seed_from_u64(seed));
        for domain in &mut domains {
            domain.serving_groups.iter_mut().for_each(|group| group.model = 1);
        }
        let limits = Limits { may_close: true, may_load_on_join: false, max_loads: 12 };
        let plan = plan_with_reserve(&domains, &models, limits, 6);
        let changes = plan.present.iter().chain(&plan.reserve);
        assert!(changes.into_iter().all(|change| change.model == 1), "seed {seed}");
    }
}

/// Demand of `requests` per second, each with a prompt of 1,000 tokens and 20 events.
pub fn workload(requests: f64) -> Workload {
    Workload {
        requests,
        prompt_tokens: requests * 1_000.0,
        events: requests * 20.0,
        pause_goal: Millis(250),
    }
}

/// Random domains with hosts and groups in any state.
pub fn random_domains(rng: &mut ChaCha8Rng) -> Vec<Domain> {
    let domains = rng.random_range(1..8);
    (0..domains).map(|domain| random_domain(rng, domain)).collect()
}

fn random_domain(rng: &mut ChaCha8Rng, domain: usize) -> Domain {
    let mut count = 0;
    let mut hosts = |rng: &mut ChaCha8Rng, n: usize, waits_for_head: bool| -> Vec<Host> {
        let host = |i: usize| {
            let id = InstanceId::new(&format!("i-{domain}-{}", count + i)).unwrap();
            Host {
                id: id.into(),
                readiness: (0..2).map(|_| random_readiness(rng, waits_for_head)).collect(),
            }
        };
        let hosts = (0..n).map(host).collect();
        count += n;
        hosts
    };
    let free = rng.random_range(0..9);
    let free = hosts(rng, free, false);
    let groups = rng.random_range(0..4);
    let serving_groups = (0..groups).map(|epoch| {
        let model = rng.random_range(0..2);
        let members = hosts(rng, [4, 2][model], true);
        ServingGroup { epoch, model, members }
    });
    let name = FabricDomain::new(&format!("d-{domain}")).unwrap();
    Domain { name, free, serving_groups: serving_groups.collect() }
}

/// Random readiness: weights in memory, on the host, or to be fetched.
fn random_readiness(rng: &mut ChaCha8Rng, waits_for_head: bool) -> HostReadiness {
    let delay = Millis([500, 1_900, 17_900][rng.random_range(0..3)]);
    HostReadiness {
        needs_load: delay > Millis(10_000),
        waits_for_weights: rng.random_bool(0.1),
        delay,
        waits_for_head,
    }
}

#[test]
fn incremental_plan_equals_reference_plan() {
    let engine = engine();
    let mut changes = 0;
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let workloads = [0, 1].map(|_| workload(rng.random_range(0.0..120.0)));
        let groups = [0, 1].map(|_| f64::from(rng.random_range(0..20_u32)));
        let models = models(&engine, &workloads, groups);
        let limits = Limits {
            may_close: rng.random(),
            may_load_on_join: rng.random(),
            max_loads: rng.random_range(0..12),
        };
        let domains = random_domains(&mut rng);
        let reference = reference_planner::reference_plan(&domains, &models, limits);
        assert_eq!(planner::plan(domains, &models, limits), reference, "seed {seed}");
        changes += reference.len();
    }
    assert!(changes > 1_000, "only {changes} changes were compared");
}
