//! Property tests of the plan for a remembered demand.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::hosted::planner;
use workshold_core::hosted::planner::Change;
use workshold_core::hosted::planner::Host;
use workshold_core::hosted::planner::Limits;
use workshold_core::hosted::planner::Model;
use workshold_core::hosted::planner::Plan;
use workshold_core::hosted::planner::ServingGroup;

use crate::planning::engine;
use crate::planning::random_domains;
use crate::planning::workload;

/// A random planning problem, and the limit on loads for the remembered demand.
#[derive(Clone)]
struct Problem {
    domains: Vec<planner::Domain>,
    models: Vec<Model>,
    limits: Limits,
    max_reserve_loads: usize,
}

impl Problem {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let engine = engine();
        let present = [0, 1].map(|_| workload(rng.random_range(0.0..120.0)));
        let remembered = [0, 1].map(|_| workload(rng.random_range(0.0..480.0)));
        let mut models = planner::models(&engine, &present, Some(&remembered), |_| 60);
        models.iter_mut().for_each(|model| model.groups = f64::from(rng.random_range(0..16_u32)));
        let limits = Limits {
            may_close: rng.random(),
            may_load_on_join: false,
            max_loads: rng.random_range(0..8),
        };
        let max_reserve_loads = rng.random_range(0..6);
        Self { domains: random_domains(&mut rng), models, limits, max_reserve_loads }
    }

    fn plan(&self) -> Plan {
        let limits = self.limits;
        planner::plan_with_reserve(&self.domains, &self.models, limits, self.max_reserve_loads)
    }

    /// The problem after the groups of those changes were formed that need no weights first, when
    /// the weight store allows any number of loads.
    fn after(&self, changes: &[Change]) -> Self {
        let mut next = self.clone();
        next.limits = Limits { may_close: true, max_loads: 1_000, ..next.limits };
        let is_due = |change: &&Change| {
            change.loading_members.is_empty()
                && !change.waits_for_weights
                && change.groups_to_close.is_empty()
        };
        changes.iter().filter(is_due).for_each(|change| next.form(change));
        next
    }

    fn form(&mut self, change: &Change) {
        let domain = &mut self.domains[change.domain];
        let is_member = |host: &Host| change.members.contains(&host.id);
        let (members, free) = std::mem::take(&mut domain.free).into_iter().partition(is_member);
        domain.free = free;
        let epoch = 100 + domain.serving_groups.len() as u64;
        domain.serving_groups.push(ServingGroup { epoch, model: change.model, members });
        self.models[change.model].groups += 1.0;
    }

    /// The plan of a steward that remembers nothing.
    fn plan_without_memory(&self) -> Vec<Change> {
        let mut models = self.models.clone();
        models.iter_mut().for_each(|model| model.utility_remembered = None);
        planner::plan(self.domains.clone(), &models, self.limits)
    }
}

fn closes(changes: &[Change]) -> usize {
    changes.iter().map(|change| change.groups_to_close.len()).sum()
}

fn loads(changes: &[Change]) -> usize {
    changes.iter().map(|change| change.loading_members.len()).sum()
}

/// Guards against closing serving groups because of a remembered demand.
#[test]
fn memory_closes_no_group_that_would_stay_without_it() {
    let (mut unclosed, mut reserved) = (0, 0);
    for seed in 0..3_000 {
        let problem = Problem::new(seed);
        let plan = problem.plan();
        assert_eq!(closes(&plan.reserve), 0, "seed {seed}");
        if closes(&problem.plan_without_memory()) == 0 {
            assert_eq!(closes(&plan.present), 0, "seed {seed}");
            unclosed += 1;
        }
        reserved += plan.reserve.len();
    }
    assert!(unclosed > 1_000 && reserved > 500, "{unclosed} plans, {reserved} changes compared");
}

/// Guards against loads for a remembered demand that delay groups for the present one.
#[test]
fn loads_for_a_remembered_demand_stay_within_their_limit() {
    let (mut loaded, mut waiting) = (0, 0);
    for seed in 0..3_000 {
        let problem = Problem::new(seed);
        let plan = problem.plan();
        let all = loads(&plan.present) + loads(&plan.reserve);
        assert!(all <= problem.limits.max_loads, "seed {seed}: {all} loads");
        assert!(loads(&plan.reserve) <= problem.max_reserve_loads, "seed {seed}");
        let waits = plan.present.iter().any(|change| change.waits_for_weights);
        if waits || loads(&plan.present) > 0 {
            assert!(plan.present_waits_for_weights, "seed {seed}");
        }
        if plan.present_waits_for_weights {
            assert_eq!(loads(&plan.reserve), 0, "seed {seed}");
            waiting += 1;
        }
        loaded += loads(&plan.reserve);
    }
    assert!(loaded > 100 && waiting > 100, "{loaded} loads, {waiting} plans without any");
}

/// Guards against closing and forming by turns: once the groups for a remembered demand are formed,
/// no steward, with or without memory, may close what it would not have closed without them, also
/// if the weight store allows more loads by then.
#[test]
fn groups_for_a_remembered_demand_lead_to_no_closing_later() {
    let mut reserved = 0;
    for seed in 0..3_000 {
        let problem = Problem::new(seed);
        let without = problem.after(&problem.plan_without_memory());
        let would_close = |problem: &Problem| closes(&problem.plan_without_memory()) > 0;
        if would_close(&problem) || would_close(&without) {
            continue;
        }
        let plan = problem.plan();
        let next = problem.after(&[plan.present, plan.reserve.clone()].concat());
        assert_eq!(closes(&next.plan().present), 0, "seed {seed}, with memory");
        assert_eq!(closes(&next.plan_without_memory()), 0, "seed {seed}, without memory");
        reserved += plan.reserve.len();
    }
    assert!(reserved > 200, "only {reserved} changes were compared");
}

/// Without memory the plan must be what it was before there was one.
#[test]
fn without_memory_there_is_no_reserve() {
    for seed in 0..400 {
        let mut problem = Problem::new(seed);
        problem.models.iter_mut().for_each(|model| model.utility_remembered = None);
        let present = problem.plan_without_memory();
        let plan = problem.plan();
        assert_eq!((plan.present, plan.reserve), (present, Vec::new()), "seed {seed}");
    }
}
