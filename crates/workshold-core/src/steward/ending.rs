//! Draining groups, ending them, and freeing their members.

use workshold_protocol::Millis;
use workshold_protocol::ids::Fence;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::Offset;
use workshold_protocol::record::EndCause;
use workshold_protocol::record::Fact;
use workshold_protocol::record::GroupEnd;
use workshold_protocol::record::Member;
use workshold_protocol::record::Release;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;

use crate::fleet::Group;
use crate::fleet::Phase;
use crate::steward::Plan;
use crate::steward::StewardRules;
use crate::steward::StewardTimers;
use crate::steward::View;

/// Goes on with every group of the domain that is draining or over.
pub(super) fn carry_out_ends(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    plan: &mut Plan,
) {
    for group in view.state.fleet.groups().filter(|group| &group.domain == view.domain) {
        match group.phase {
            Phase::Active => {}
            Phase::Draining { since, cause } => {
                go_on_draining(view, timers, rules, group, since, cause, plan);
            }
            Phase::Dissolved { since, .. } => {
                free_members(view, timers, rules, group, since, plan);
            }
        }
    }
    order_strays_out(view, timers, rules, plan);
}

/// A draining group ends when every member reports that it drains and has nothing
/// left, or when a member is lost.
///
/// A request that was on its way meanwhile is refused by a member that drains, so
/// one such report of each is enough; the model finds no breach without a wait.
fn go_on_draining(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    group: &Group,
    since: Offset,
    cause: EndCause,
    plan: &mut Plan,
) {
    let is_lost = group.members.iter().any(|member| is_lost(view, rules, group, member));
    let lost_for = timers.broken_for(&group.id, is_lost, view.now);
    if lost_for > rules.member_grace {
        plan.decide(&group.id, "ended while draining: a member is lost");
        plan.facts.push(dissolved(group, EndCause::MemberLost));
        return;
    }
    if group.members.iter().all(|member| is_idle(view, rules, group, member)) {
        plan.decide(&group.id, "drained: ended");
        plan.facts.push(dissolved(group, cause));
        return;
    }
    let action = OrderAction::Drain { group: group.id.clone() };
    for member in &group.members {
        if !is_draining(view, rules, group, member) {
            send(view, timers, rules, &member.instance, since.into(), &action, plan);
        }
    }
}

fn free_members(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    group: &Group,
    since: Offset,
    plan: &mut Plan,
) {
    let action = OrderAction::Leave { group: group.id.clone() };
    for Member { instance, .. } in &group.members {
        if view.state.fleet.claim_of(instance) != Some(&group.id) {
            continue;
        }
        let observation = view.fresh(instance, rules);
        let is_outside = observation.is_some_and(|observation| {
            observation.report.membership.as_ref().is_none_or(|own| own.group != group.id)
        });
        let outside_for = timers.outside_for(&group.id, instance, is_outside, view.now);
        let is_gone = observation.is_none() && view.listed(instance).is_none();
        let gone_for = timers.gone_for(instance, is_gone, view.now);
        if outside_for > rules.release_wait || gone_for > rules.gone_after {
            plan.facts.push(released(group, instance));
        } else if observation.is_some() && !is_outside {
            send(view, timers, rules, instance, since.into(), &action, plan);
        }
    }
}

/// An instance that nobody claims but that believes itself in a group.
fn order_strays_out(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    plan: &mut Plan,
) {
    let fence = Fence(view.state.next().0.saturating_sub(1));
    for listed in view.engines() {
        if view.state.fleet.claim_of(&listed.instance).is_some() {
            continue;
        }
        let membership = view
            .fresh(&listed.instance, rules)
            .and_then(|observation| observation.report.membership.as_ref());
        let Some(membership) = membership else { continue };
        // A fence that is not read yet: this node is behind, not the instance astray.
        if membership.fence.0 >= view.state.next().0 {
            continue;
        }
        let action = OrderAction::Leave { group: membership.group.clone() };
        send(view, timers, rules, &listed.instance, fence, &action, plan);
    }
}

/// Sends an order unless one went out a moment ago.
pub(super) fn send(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    instance: &InstanceId,
    fence: Fence,
    action: &OrderAction,
    plan: &mut Plan,
) {
    if timers.may_order(instance, rules.order_every, view.now) {
        plan.orders.push((instance.clone(), Order { fence, action: action.clone() }));
    }
}

pub(super) fn dissolved(group: &Group, cause: EndCause) -> Fact {
    Fact::GroupDissolved(GroupEnd { group: group.id.clone(), fence: group.fence, cause })
}

pub(super) fn draining(group: &Group, cause: EndCause) -> Fact {
    Fact::GroupDraining(GroupEnd { group: group.id.clone(), fence: group.fence, cause })
}

fn released(group: &Group, instance: &InstanceId) -> Fact {
    Fact::MemberReleased(Release {
        group: group.id.clone(),
        fence: group.fence,
        instance: instance.clone(),
    })
}

/// Whether the member is silent, in another life or elsewhere.
pub(super) fn is_lost(
    view: &View<'_>,
    rules: &StewardRules,
    group: &Group,
    member: &Member,
) -> bool {
    let Some(observation) = view.fresh(&member.instance, rules) else { return true };
    if observation.report.incarnation != member.incarnation {
        return true;
    }
    let own = observation.report.membership.as_ref();
    own.is_some_and(|own| own.group != group.id && own.fence > group.fence)
}

fn is_draining(view: &View<'_>, rules: &StewardRules, group: &Group, member: &Member) -> bool {
    let membership = view
        .fresh(&member.instance, rules)
        .and_then(|observation| observation.report.membership.as_ref());
    membership.is_some_and(|own| own.group == group.id && own.readiness == Readiness::Draining)
}

fn is_idle(view: &View<'_>, rules: &StewardRules, group: &Group, member: &Member) -> bool {
    let Some(observation) = view.fresh(&member.instance, rules) else { return false };
    let has_nothing = observation.report.running == 0 && observation.report.queued == 0;
    let outside = observation.report.membership.is_none();
    has_nothing && (outside || is_draining(view, rules, group, member))
}

/// The time that ending a group takes before its members are free, as planned with.
pub(super) fn release_time(rules: &StewardRules) -> Millis {
    rules.release_wait + rules.order_every + rules.order_every
}
