//! Active groups: ordering members in, replacing what is lost or must go.

use workshold_protocol::Millis;
use workshold_protocol::bundle::Model;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::EndCause;
use workshold_protocol::record::Member;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::JoinOrder;
use workshold_protocol::report::OrderAction;

use crate::bundles::InForce;
use crate::fleet::Fleet;
use crate::fleet::Group;
use crate::group_readiness::check_group;
use crate::repair::Repair;
use crate::repair::Situation;
use crate::repair::SmallerRole;
use crate::repair::choose;
use crate::steward::Decision;
use crate::steward::Plan;
use crate::steward::StewardRules;
use crate::steward::StewardTimers;
use crate::steward::View;
use crate::steward::ending::dissolved;
use crate::steward::ending::draining;
use crate::steward::ending::is_lost;
use crate::steward::ending::release_time;
use crate::steward::ending::send;
use crate::steward::forming;

/// Looks after every active group of the domain.
pub(super) fn mend_groups(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    plan: &mut Plan,
) {
    let Some(in_force) = view.state.bundles.in_force() else { return };
    let active = view.state.fleet.groups().filter(|group| group.is_active());
    for group in active.filter(|group| &group.domain == view.domain) {
        if mend_lost(view, timers, rules, in_force, group, plan) {
            continue;
        }
        if let Some(cause) = why_it_must_go(view, rules, in_force, group) {
            let leaving = group.members.iter().any(|member| view.is_leaving(&member.instance));
            retire(view, rules, group, cause, leaving, plan);
        }
        order_members_in(view, timers, rules, in_force, group, plan);
    }
}

fn mend_lost(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    in_force: &InForce,
    group: &Group,
    plan: &mut Plan,
) -> bool {
    let lost: Vec<_> =
        group.members.iter().filter(|member| is_lost(view, rules, group, member)).collect();
    let lost_for = timers.broken_for(&group.id, !lost.is_empty(), view.now);
    if lost.is_empty() || lost_for < rules.member_grace {
        return false;
    }
    let Some(model) = in_force.bundle.models.get(&group.model) else {
        plan.facts.push(dissolved(group, EndCause::MemberLost));
        return true;
    };
    let situation = situation(view, rules, group, model, &lost, lost_for);
    let choice = choose(situation, &rules.expect, in_force.bundle.weights);
    if choice.taken() != &Repair::Wait {
        plan.facts.push(dissolved(group, EndCause::MemberLost));
    }
    let what = format!("{} member(s) lost: {}", lost.len(), choice.taken());
    plan.decisions.push(Decision { group: group.id.clone(), what, choice: Some(choice) });
    true
}

fn situation(
    view: &View<'_>,
    rules: &StewardRules,
    group: &Group,
    model: &Model,
    lost: &[&Member],
    lost_for: Millis,
) -> Situation {
    let role = model.role(&group.role);
    let size = u16::try_from(group.members.len()).unwrap_or(u16::MAX);
    let is_back = |member: &&&Member| {
        view.fresh(&member.instance, rules).is_some() && !view.must_go(&member.instance)
    };
    let back = lost.iter().filter(is_back).count();
    let smaller = model.roles.iter().filter(|role| role.instances < size);
    Situation {
        size,
        worth: role.map_or(1.0, |role| role.worth),
        accelerators: accelerators(view, &group.head().instance),
        missing: count(lost.len()),
        missing_for: lost_for,
        spares: count(view.free(rules).len() + back),
        other_rests: other_rests(view, rules, group),
        release_time: release_time(rules),
        load_time: spare_load_time(view, rules, group, model, lost.len()),
        smaller: smaller
            .map(|role| SmallerRole {
                role: role.name.clone(),
                instances: role.instances,
                worth: role.worth,
            })
            .collect(),
    }
}

fn count(n: usize) -> u16 {
    u16::try_from(n).unwrap_or(u16::MAX)
}

/// What replacing the lost takes: nothing if enough spares have the weights.
fn spare_load_time(
    view: &View<'_>,
    rules: &StewardRules,
    group: &Group,
    model: &Model,
    lost: usize,
) -> Millis {
    let free = view.free(rules);
    let loaded = free.iter().filter(|spare| view.has_weights(&spare.instance, &group.model, model));
    if loaded.count() >= lost { Millis::ZERO } else { load_time(model, rules) }
}

/// What one instance needs to read its part of the weights.
pub(super) fn load_time(model: &Model, rules: &StewardRules) -> Millis {
    Millis(u64::from(model.weights_mib) * 1000 / u64::from(rules.load_mib_per_s.max(1)))
}

fn accelerators(view: &View<'_>, instance: &InstanceId) -> u16 {
    match view.listed(instance).map(|listed| &listed.kind) {
        Some(InstanceKind::Engine { accelerators, .. }) => *accelerators,
        _ => 1,
    }
}

/// Members that are left of the other broken groups of the same size here.
fn other_rests(view: &View<'_>, rules: &StewardRules, group: &Group) -> u16 {
    let others = view.state.fleet.groups().filter(|other| {
        other.is_active()
            && other.id != group.id
            && other.domain == group.domain
            && other.members.len() == group.members.len()
    });
    let rests = others.filter_map(|other| {
        let lost = other.members.iter().filter(|m| is_lost(view, rules, other, m)).count();
        (lost > 0).then(|| other.members.len() - lost)
    });
    count(rests.sum())
}

/// Why a whole group has to end, if it has to.
fn why_it_must_go(
    view: &View<'_>,
    rules: &StewardRules,
    in_force: &InForce,
    group: &Group,
) -> Option<EndCause> {
    let fleet = &view.state.fleet;
    if group.members.iter().any(|member| view.must_go(&member.instance)) {
        return Some(EndCause::PlannedStop);
    }
    let Some(model) = in_force.bundle.models.get(&group.model) else {
        return Some(EndCause::NotWanted);
    };
    if model.role(&group.role).is_none_or(|role| usize::from(role.instances) != group.members.len())
    {
        return Some(EndCause::NotWanted);
    }
    let is_old = model.version != group.version;
    if fleet.replacement_of(&group.id).is_some() {
        return Some(if is_old { EndCause::OldVersion } else { EndCause::PlannedStop });
    }
    if is_old {
        let is_next = forming::is_next_old(view, rules, model, group);
        return is_next.then_some(EndCause::OldVersion);
    }
    if is_surplus(fleet, group, usize::from(model.replicas)) {
        return Some(EndCause::NotWanted);
    }
    is_outgrown(view, rules, model, group).then_some(EndCause::Outgrown)
}

/// Whether the group took a smaller role, and the best one is possible again.
fn is_outgrown(view: &View<'_>, rules: &StewardRules, model: &Model, group: &Group) -> bool {
    let Some(best) = model.roles.first().filter(|best| best.name != group.role) else {
        return false;
    };
    // One at a time, and not before what lacks: what is free is spoken for.
    let is_spoken_for = forming::is_growing(view, &group.model)
        || forming::may_form(view, rules, &group.model, model);
    if is_spoken_for {
        return false;
    }
    let at_hand = view.free(rules).len() + group.members.len();
    at_hand >= usize::from(best.instances)
}

/// Whether enough older groups of the same version fill the model's places.
fn is_surplus(fleet: &Fleet, group: &Group, replicas: usize) -> bool {
    let replaced = group.replaces.as_ref();
    if replaced.is_some_and(|replaced| fleet.group(&replaced.group).is_some()) {
        return false;
    }
    let older = fleet.active_of(&group.model, &group.version).filter(|other| {
        other.age_key() < group.age_key() && fleet.replacement_of(&other.id).is_none()
    });
    older.count() >= replicas
}

/// Lets another group stand in first if there is one, then drains.
fn retire(
    view: &View<'_>,
    rules: &StewardRules,
    group: &Group,
    cause: EndCause,
    leaving: bool,
    plan: &mut Plan,
) {
    if leaving || cause == EndCause::NotWanted {
        plan.decide(&group.id, "draining at once");
        plan.facts.push(draining(group, cause));
        return;
    }
    if let Some(stand_in) = view.state.fleet.replacement_of(&group.id) {
        let serves = check_group(
            stand_in,
            view.observations,
            &view.leaving(),
            view.now,
            rules.group_readiness,
        );
        match serves {
            Ok(()) => {
                plan.decide(&group.id, format!("draining: {} serves in its place", stand_in.id));
                plan.facts.push(draining(group, cause));
            }
            Err(why) => plan.decide(&group.id, format!("{} stands in soon: {why}", stand_in.id)),
        }
        return;
    }
    if let Some(formation) = forming::stand_in(view, rules, group) {
        plan.decide(&group.id, format!("forming {} to stand in", formation.group));
        plan.facts.push(workshold_protocol::record::Fact::GroupFormed(formation));
    } else {
        plan.decide(&group.id, "draining: nothing is free to stand in");
        plan.facts.push(draining(group, cause));
    }
}

/// Orders in whoever does not say that it is in, and is still the same life.
fn order_members_in(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    in_force: &InForce,
    group: &Group,
    plan: &mut Plan,
) {
    let Some(model) = in_force.bundle.models.get(&group.model) else { return };
    let action = OrderAction::Join(JoinOrder {
        group: group.id.clone(),
        members: group.members.iter().map(|member| member.instance.clone()).collect(),
        model: group.model.clone(),
        version: group.version.clone(),
        adapters: model.adapters.clone(),
        role: group.role.clone(),
        weights_mib: model.weights_mib,
    });
    for member in &group.members {
        let Some(observation) = view.fresh(&member.instance, rules) else { continue };
        let own = observation.report.membership.as_ref();
        let is_in = own.is_some_and(|own| own.group == group.id && own.fence == group.fence);
        if !is_in && observation.report.incarnation == member.incarnation {
            send(view, timers, rules, &member.instance, group.fence, &action, plan);
        }
    }
}
