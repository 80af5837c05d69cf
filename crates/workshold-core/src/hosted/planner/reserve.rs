//! Plans groups for a remembered demand, of instances that are free.

use super::CLOSE_COST_INSTANCE_S;
use super::Candidate;
use super::Change;
use super::Domain;
use super::Host;
use super::Limits;
use super::MIX_LIFETIME;
use super::Model;
use super::Planner;
use super::ServingGroup;

/// A plan for the present and the remembered demand.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Changes for the present demand.
    pub present: Vec<Change>,
    /// Changes that only the remembered demand needs: they form groups of free instances and close
    /// none.
    pub reserve: Vec<Change>,
    /// Whether a group for the present demand waits for weights: then no load is begun for the
    /// remembered demand.
    pub present_waits_for_weights: bool,
}

/// Which gain a new group has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FormRule {
    /// That at the present demand.
    Present,
    /// That at the present demand, or none if it is too small to pay for closing another group.
    PresentNeed,
    /// That at the present demand or, if it is higher, at the remembered one.
    Remembered {
        /// Most loads for groups that only the remembered demand needs.
        max_loads: usize,
    },
}

/// Returns the plan for the present demand, and the groups that the remembered demand needs beyond
/// it; there are none unless all `models` have a remembered utility.
///
/// The memory must not lead to the closing of a group, neither in this plan nor in the next one of
/// a steward that remembers nothing. So of these plans it returns the first that does not:
///
/// - Groups for the present demand come first, unless their gain is so small that no group would
///   be closed for it, or their members lose weights that the remembered demand needs.
/// - All groups that the plan without memory forms come first.
/// - The plan without memory.
pub fn plan_with_reserve(
    domains: &[Domain],
    models: &[Model],
    limits: Limits,
    max_reserve_loads: usize,
) -> Plan {
    let mut planner = Planner::new(domains.to_vec(), models, limits);
    let present = planner.choose_all();
    let has_memory = models.iter().all(|model| model.utility_remembered.is_some());
    if !has_memory || limits.may_load_on_join {
        let present_waits_for_weights = present.iter().any(needs_weights);
        return Plan { present, reserve: Vec::new(), present_waits_for_weights };
    }
    let closes_now = present.iter().any(|change| !change.groups_to_close.is_empty());
    if closes_now || leads_to_closing(domains, models, present.iter()) {
        return planner.add_reserve(present, max_reserve_loads);
    }
    let is_safe =
        |plan: &Plan| !leads_to_closing(domains, models, plan.present.iter().chain(&plan.reserve));
    let limits = Limits { may_close: false, ..limits };
    let mut with_precedence = Planner::new(domains.to_vec(), models, limits);
    with_precedence.form_rule = FormRule::PresentNeed;
    let needed = with_precedence.choose_all();
    let plan = with_precedence.add_reserve(needed, max_reserve_loads);
    if is_safe(&plan) {
        return plan;
    }
    let plan = planner.add_reserve(present.clone(), max_reserve_loads);
    if is_safe(&plan) {
        return plan;
    }
    let present_waits_for_weights = present.iter().any(needs_weights);
    Plan { present, reserve: Vec::new(), present_waits_for_weights }
}

/// Whether a steward without memory would close a group once those of `changes` that need no
/// weights are carried out, however many loads the weight store then allows.
fn leads_to_closing<'a>(
    domains: &[Domain],
    models: &[Model],
    changes: impl Iterator<Item = &'a Change>,
) -> bool {
    let mut models = models.to_vec();
    models.iter_mut().for_each(|model| model.utility_remembered = None);
    let limits = Limits { may_close: true, may_load_on_join: false, max_loads: usize::MAX };
    let mut planner = Planner::new(domains.to_vec(), &models, limits);
    for (i, change) in changes.filter(|change| !needs_weights(change)).enumerate() {
        let free = &planner.domains[change.domain].free;
        let is_member = |host: &&Host| change.members.contains(&host.id);
        let members = free.iter().filter(is_member).cloned().collect();
        // Behind all epochs that were issued, as the epoch of a new group is.
        let epoch = u64::MAX - i as u64;
        planner.apply(change);
        let group = ServingGroup { epoch, model: change.model, members };
        planner.domains[change.domain].serving_groups.push(group);
    }
    planner.compute_candidates();
    planner.choose_all().iter().any(|change| !change.groups_to_close.is_empty())
}

/// Whether some member of a group has to get its weights first.
fn needs_weights(change: &Change) -> bool {
    !change.loading_members.is_empty() || change.waits_for_weights
}

impl Planner {
    /// Adds groups for the remembered demand to the changes `present`, which this planner has
    /// chosen.
    fn add_reserve(&mut self, mut present: Vec<Change>, max_reserve_loads: usize) -> Plan {
        let max_loads = self.limits.max_loads;
        self.limits = Limits { may_close: false, max_loads: usize::MAX, ..self.limits };
        self.compute_candidates();
        // Instances that the present demand uses once the store allows more loads stay free.
        let is_postponed = !self.choose_all().is_empty();
        self.limits.max_loads = max_loads;
        self.form_rule = FormRule::Remembered { max_loads: max_reserve_loads };
        let mut reserve = self.choose_remembered(&mut present);
        let present_waits_for_weights = is_postponed || present.iter().any(needs_weights);
        if present_waits_for_weights {
            reserve.retain(|change| change.loading_members.is_empty());
        }
        Plan { present, reserve, present_waits_for_weights }
    }

    /// Chooses and applies changes until none has a positive net gain at the higher of the present
    /// and the remembered demand. Returns those that only the latter needs, and appends the others
    /// to `present`.
    fn choose_remembered(&mut self, present: &mut Vec<Change>) -> Vec<Change> {
        let mut reserve = Vec::new();
        while let Some((net_gain, candidate)) = self.best() {
            let is_reserve = self.is_reserve(candidate);
            let change = Change { net_gain, ..candidate.change.clone() };
            self.apply(&change);
            if is_reserve {
                if let FormRule::Remembered { max_loads } = &mut self.form_rule {
                    *max_loads -= change.loading_members.len();
                }
                reserve.push(change);
            } else {
                present.push(change);
            }
        }
        reserve
    }

    /// Gain of one more group of `model`.
    pub(super) fn forming_gain(&self, model: &Model) -> f64 {
        let present = model.utility.gain(model.groups, 1.0);
        match self.form_rule {
            FormRule::Present => present,
            FormRule::PresentNeed if self.is_marginal(model) => 0.0,
            FormRule::PresentNeed => present,
            FormRule::Remembered { .. } => model.forming_gain(),
        }
    }

    /// Gain of one more group of `model` that is lost with weights that hosts discard.
    pub(super) fn weights_gain(&self, model: &Model) -> f64 {
        match self.form_rule {
            FormRule::Present => model.utility.gain(model.groups, 1.0),
            FormRule::PresentNeed | FormRule::Remembered { .. } => model.forming_gain(),
        }
    }

    /// Whether a candidate needs more loads than groups for the remembered demand may.
    pub(super) fn exceeds_reserve_loads(&self, candidate: &Candidate) -> bool {
        let FormRule::Remembered { max_loads } = self.form_rule else { return false };
        candidate.change.loading_members.len() > max_loads && self.is_reserve(candidate)
    }

    /// Whether a group has no net gain at the present demand.
    fn is_reserve(&self, candidate: &Candidate) -> bool {
        let model = &self.models[candidate.change.model];
        let gain = model.utility.gain(model.groups, 1.0);
        gain * MIX_LIFETIME.since(candidate.delay).as_secs_f64() <= self.forming_costs(candidate)
    }

    /// Whether the present demand gains so little from more groups of `model` that closing another
    /// group for them cannot pay.
    fn is_marginal(&self, model: &Model) -> bool {
        let largest_size = self.models.iter().map(|model| model.size).max().unwrap_or_default();
        let max_formed =
            (largest_size / model.size).clamp(1, model.utility_low.max_groups().max(1));
        let gain_low = |formed: usize| model.utility_low.gain(model.groups, formed as f64);
        let gain = model.utility.gain(model.groups, 1.0);
        let gain = (1..=max_formed).map(gain_low).fold(gain, f64::max);
        gain * MIX_LIFETIME.as_secs_f64() <= CLOSE_COST_INSTANCE_S
    }
}
