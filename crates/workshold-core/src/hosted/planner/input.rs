//! Input of the plan: domains with their instances and groups, and models with their utility.

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;

use crate::hosted::capacity::CapacityEstimate;
use crate::hosted::capacity::Utility;
use crate::hosted::capacity::Workload;
use crate::hosted::identity::Identity;
use crate::hosted::serving_config::Engine;
use crate::hosted::serving_config::ModelSpec;

/// What an instance needs before it can be a member of a group of one model.
///
/// The derived order ranks instances: those that come first are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostReadiness {
    /// Whether the model's weights have to be fetched and no fetch has begun.
    pub needs_load: bool,
    /// Whether the weights are being fetched to the host.
    pub waits_for_weights: bool,
    /// Time until it is ready, counted from the order to join, or from now if weights are being
    /// fetched.
    pub delay: Millis,
    /// Whether the head of its last group has to leave that group first.
    pub waits_for_head: bool,
}

/// An instance that the plan can use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Identity of the instance.
    pub id: Identity,
    /// What it needs to serve each model, in the order of the models.
    pub readiness: Vec<HostReadiness>,
}

/// A group that serves requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingGroup {
    /// Epoch of the group.
    pub epoch: u64,
    /// Index of the model that it serves.
    pub model: usize,
    /// Its members by rank, the head first.
    pub members: Vec<Host>,
}

/// A fabric domain, as input of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Name of the domain.
    pub name: FabricDomain,
    /// Instances that are in no group.
    pub free: Vec<Host>,
    /// Groups that serve and may be closed.
    pub serving_groups: Vec<ServingGroup>,
}

/// A model, as input of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Number of instances in a group.
    pub size: usize,
    /// Utility of its groups at the estimated demand.
    pub utility: Utility,
    /// Utility if the demand is lower than estimated. Together with [`Self::utility_high`] it
    /// makes sure that a serving group is closed only if that pays off despite the estimate's
    /// error.
    pub utility_low: Utility,
    /// Utility if the demand is higher than estimated; see [`Self::utility_low`].
    pub utility_high: Utility,
    /// Utility at the higher of the estimated and the remembered demand; `None` if no demand is
    /// remembered.
    pub utility_remembered: Option<Utility>,
    /// Number of groups that serve or are already being formed.
    pub groups: f64,
    /// Time that a closed group takes to drain.
    pub drain_time: Millis,
    /// Time to fetch its weights from the weight store.
    pub load: Millis,
}

/// Part of its gain that a group for a remembered demand counts: a demand that swings is high for
/// about half of the time.
const REMEMBERED_GAIN_FACTOR: f64 = 0.5;

impl Model {
    /// Change in utility from one more group, at the estimated or the remembered demand.
    pub(in crate::hosted) fn forming_gain(&self) -> f64 {
        let present = self.utility.gain(self.groups, 1.0);
        let remembered = self
            .utility_remembered
            .as_ref()
            .map(|utility| REMEMBERED_GAIN_FACTOR * utility.gain(self.groups, 1.0));
        remembered.map_or(present, |remembered| remembered.max(present))
    }

    /// Change in utility, not above zero, if `closed` of its groups are closed and the demand is
    /// higher than estimated, or as high as it is remembered.
    pub(super) fn closing_gain(&self, closed: f64) -> f64 {
        let gain = |utility: &Utility| utility.gain(self.groups, -closed);
        let high = gain(&self.utility_high);
        // In full: a group that is closed and formed again for the next peak costs twice.
        self.utility_remembered.as_ref().map_or(high, |remembered| gain(remembered).min(high))
    }
}

/// Relative uncertainty of the demand, which is observed for some seconds only.
const DEMAND_UNCERTAINTY: f64 = 0.15;
/// Typical time that a closing group takes to finish its requests.
const TYPICAL_DRAIN_TIME: Millis = Millis(2_000);

/// The models of `engine` at the demands `present` and `remembered`, in the same order, without
/// any groups yet. No `remembered` demand means that there is no memory.
pub fn models(
    engine: &Engine,
    present: &[Workload],
    remembered: Option<&[Workload]>,
    max_groups: impl Fn(&ModelSpec) -> usize,
) -> Vec<Model> {
    let utilities = |workloads: &[Workload]| Utility::of_all(engine, workloads, &max_groups);
    let scaled = |factor: f64| {
        let workloads: Vec<Workload> = present.iter().map(|work| work.scaled(factor)).collect();
        utilities(&workloads)
    };
    let utilities_remembered = remembered.map(|remembered| {
        let specs = engine.models.iter();
        let pairs = specs.zip(present.iter().zip(remembered));
        let larger = pairs.map(|(spec, (a, b))| larger_workload(engine, spec, *a, *b));
        utilities(&larger.collect::<Vec<_>>())
    });
    let (usual, low, high) =
        (scaled(1.0), scaled(1.0 - DEMAND_UNCERTAINTY), scaled(1.0 + DEMAND_UNCERTAINTY));
    let model = |(i, spec): (usize, &ModelSpec)| Model {
        size: spec.size,
        utility: usual[i].clone(),
        utility_low: low[i].clone(),
        utility_high: high[i].clone(),
        utility_remembered: utilities_remembered.as_ref().map(|utilities| utilities[i].clone()),
        groups: 0.0,
        drain_time: TYPICAL_DRAIN_TIME,
        load: spec.load,
    };
    engine.models.iter().enumerate().map(model).collect()
}

/// The one of two workloads of a model that needs more groups.
fn larger_workload(engine: &Engine, spec: &ModelSpec, a: Workload, b: Workload) -> Workload {
    let need = |workload| CapacityEstimate::new(engine, spec, workload).min_groups();
    if need(b) > need(a) { b } else { a }
}
