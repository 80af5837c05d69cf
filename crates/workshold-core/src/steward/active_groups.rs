//! Maintains active groups: orders members to join, repairs broken groups, and replaces
//! or drains groups that have to end.

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
use crate::repair::choose_repair;
use crate::steward::Decision;
use crate::steward::Plan;
use crate::steward::StewardRules;
use crate::steward::StewardTimers;
use crate::steward::View;
use crate::steward::ending::dissolve_fact;
use crate::steward::ending::drain_fact;
use crate::steward::ending::is_lost;
use crate::steward::ending::push_order;
use crate::steward::ending::release_time;
use crate::steward::forming;

/// Plans the next step for every active group of the domain.
pub(super) fn maintain_active_groups(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    plan: &mut Plan,
) {
    let Some(in_force) = view.state.bundles.in_force() else { return };
    let active = view.state.fleet.groups().filter(|group| group.is_active());
    for group in active.filter(|group| &group.domain == view.domain) {
        if repair_if_broken(view, timers, rules, in_force, group, plan) {
            continue;
        }
        if let Some(cause) = reason_to_end(view, rules, in_force, group) {
            let leaving = group.members.iter().any(|member| view.is_leaving(&member.instance));
            retire(view, rules, group, cause, leaving, plan);
        }
        order_members_to_join(view, timers, rules, in_force, group, plan);
    }
}

fn repair_if_broken(
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
        plan.facts.push(dissolve_fact(group, EndCause::MemberLost));
        return true;
    };
    let situation = situation(view, rules, group, model, &lost, lost_for);
    let choice = choose_repair(situation, &rules.expect, in_force.bundle.weights);
    if choice.taken() != &Repair::Wait {
        plan.facts.push(dissolve_fact(group, EndCause::MemberLost));
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
        view.fresh_observation(&member.instance, rules).is_some()
            && !view.must_leave(&member.instance)
    };
    let back = lost.iter().filter(is_back).count();
    let smaller = model.roles.iter().filter(|role| role.instances < size);
    Situation {
        size,
        worth: role.map_or(1.0, |role| role.worth),
        accelerators: accelerators(view, &group.head().instance),
        missing: saturating_u16(lost.len()),
        missing_for: lost_for,
        spares: saturating_u16(view.free_instances(rules).len() + back),
        other_remaining: other_remaining(view, rules, group),
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

fn saturating_u16(n: usize) -> u16 {
    u16::try_from(n).unwrap_or(u16::MAX)
}

/// Time to load the weights into replacements: zero if enough spares have them.
fn spare_load_time(
    view: &View<'_>,
    rules: &StewardRules,
    group: &Group,
    model: &Model,
    lost: usize,
) -> Millis {
    let free = view.free_instances(rules);
    let loaded = free.iter().filter(|spare| view.has_weights(&spare.instance, &group.model, model));
    if loaded.count() >= lost { Millis::ZERO } else { load_time(model, rules) }
}

/// Time in which one instance reads its part of the weights from the store.
pub(super) fn load_time(model: &Model, rules: &StewardRules) -> Millis {
    Millis(u64::from(model.weights_mib) * 1000 / u64::from(rules.load_mib_per_s.max(1)))
}

fn accelerators(view: &View<'_>, instance: &InstanceId) -> u16 {
    match view.listed(instance).map(|listed| &listed.kind) {
        Some(InstanceKind::Engine { accelerators, .. }) => *accelerators,
        _ => 1,
    }
}

/// Remaining members of the other broken groups of the same size in the domain.
fn other_remaining(view: &View<'_>, rules: &StewardRules, group: &Group) -> u16 {
    let others = view.state.fleet.groups().filter(|other| {
        other.is_active()
            && other.id != group.id
            && other.domain == group.domain
            && other.members.len() == group.members.len()
    });
    let remaining = others.filter_map(|other| {
        let lost = other.members.iter().filter(|m| is_lost(view, rules, other, m)).count();
        (lost > 0).then(|| other.members.len() - lost)
    });
    saturating_u16(remaining.sum())
}

/// Why the group has to end although no member is lost; `None` if it stays.
fn reason_to_end(
    view: &View<'_>,
    rules: &StewardRules,
    in_force: &InForce,
    group: &Group,
) -> Option<EndCause> {
    let fleet = &view.state.fleet;
    if group.members.iter().any(|member| view.must_leave(&member.instance)) {
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

/// Whether the group has a smaller role than the model's best, and its members and the
/// free instances suffice for the best one.
fn is_outgrown(view: &View<'_>, rules: &StewardRules, model: &Model, group: &Group) -> bool {
    let Some(best) = model.roles.first().filter(|best| best.name != group.role) else {
        return false;
    };
    // Groups grow one at a time, and missing groups go first: the free instances are
    // reserved for those.
    let is_reserved = forming::is_growing(view, &group.model)
        || forming::can_form(view, rules, &group.model, model);
    if is_reserved {
        return false;
    }
    let available = view.free_instances(rules).len() + group.members.len();
    available >= usize::from(best.instances)
}

/// Whether older groups of the same version are as many as the model's replicas. A group
/// that replaces one which still exists is no surplus.
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

/// Ends a group: at once if it is surplus or an instance leaves, otherwise after its
/// replacement is ready. Without free instances for a replacement it drains at once.
fn retire(
    view: &View<'_>,
    rules: &StewardRules,
    group: &Group,
    cause: EndCause,
    leaving: bool,
    plan: &mut Plan,
) {
    if leaving || cause == EndCause::NotWanted {
        plan.add_decision(&group.id, "draining at once");
        plan.facts.push(drain_fact(group, cause));
        return;
    }
    if let Some(replacement) = view.state.fleet.replacement_of(&group.id) {
        let serves = check_group(
            replacement,
            view.observations,
            &view.leaving_instances(),
            view.now,
            rules.group_readiness,
        );
        match serves {
            Ok(()) => {
                plan.add_decision(
                    &group.id,
                    format!("draining: {} serves in its place", replacement.id),
                );
                plan.facts.push(drain_fact(group, cause));
            }
            Err(why) => {
                plan.add_decision(&group.id, format!("{} stands in soon: {why}", replacement.id))
            }
        }
        return;
    }
    if let Some(formation) = forming::replacement(view, rules, group) {
        plan.add_decision(&group.id, format!("forming {} to stand in", formation.group));
        plan.facts.push(workshold_protocol::record::Fact::GroupFormed(formation));
    } else {
        plan.add_decision(&group.id, "draining: nothing is free to stand in");
        plan.facts.push(drain_fact(group, cause));
    }
}

/// Orders every member to join that does not report to be in the group and has not
/// restarted since the group was formed.
fn order_members_to_join(
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
        let Some(observation) = view.fresh_observation(&member.instance, rules) else { continue };
        let own = observation.report.membership.as_ref();
        let is_in = own.is_some_and(|own| own.group == group.id && own.fence == group.fence);
        if !is_in && observation.report.incarnation == member.incarnation {
            push_order(view, timers, rules, &member.instance, group.fence, &action, plan);
        }
    }
}
