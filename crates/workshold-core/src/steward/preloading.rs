//! Loads weights into spares, so that a spare can serve within seconds after the loss of
//! a member.
//!
//! The weight store is rate-limited: spares load one at a time, and only while every
//! group of the domain is ready.

use workshold_protocol::bundle::Model;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::report::ListedInstance;
use workshold_protocol::report::ModelWeights;
use workshold_protocol::report::OrderAction;

use crate::bundles::InForce;
use crate::group_readiness::check_group;
use crate::steward::Plan;
use crate::steward::StewardRules;
use crate::steward::StewardTimers;
use crate::steward::View;
use crate::steward::active_groups::load_time;
use crate::steward::ending::push_order;

/// Orders the next spare to load weights, unless the plan or a group that is not ready
/// needs the store more urgently.
pub(super) fn preload_spares(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    plan: &mut Plan,
) {
    let Some(in_force) = view.state.bundles.in_force() else { return };
    if !plan.facts.is_empty() || !all_groups_ready(view, rules) {
        return;
    }
    let free = view.free_instances(rules);
    let Some((name, model)) = least_covered(view, in_force, &free) else { return };
    let has_no_wanted_weights = |instance: &InstanceId| {
        let wanted = in_force.bundle.models.iter();
        !wanted.clone().any(|(name, model)| view.has_weights(instance, name, model))
    };
    let Some(spare) = free.iter().find(|listed| has_no_wanted_weights(&listed.instance)) else {
        return;
    };
    if !timers.may_preload(load_time(model, rules) + rules.order_interval, view.now) {
        return;
    }
    let weights = ModelWeights { model: name.clone(), version: model.version.clone() };
    let action = OrderAction::Load { weights, weights_mib: model.weights_mib };
    let fence = FencingToken(view.state.next().0.saturating_sub(1));
    push_order(view, timers, rules, &spare.instance, fence, &action, plan);
}

fn all_groups_ready(view: &View<'_>, rules: &StewardRules) -> bool {
    let leaving = view.leaving_instances();
    let mut here = view.state.fleet.groups().filter(|group| &group.domain == view.domain);
    here.all(|group| {
        check_group(group, view.observations, &leaving, view.now, rules.group_readiness).is_ok()
    })
}

/// The model with the fewest loaded spares per group in the domain.
fn least_covered<'a>(
    view: &View<'_>,
    in_force: &'a InForce,
    free: &[&ListedInstance],
) -> Option<(&'a ModelName, &'a Model)> {
    let groups = |name: &ModelName| {
        let here = view.state.fleet.groups().filter(|group| &group.domain == view.domain);
        here.filter(|group| &group.model == name).count()
    };
    let milli_spares_per_group = |name: &ModelName, model: &Model| {
        let loaded = free.iter().filter(|listed| view.has_weights(&listed.instance, name, model));
        loaded.count() * 1000 / groups(name)
    };
    let models = in_force.bundle.models.iter().filter(|(name, _)| groups(name) > 0);
    models.min_by_key(|(name, model)| milli_spares_per_group(name, model))
}
