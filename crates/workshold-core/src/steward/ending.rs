//! Drains groups, dissolves them and releases their members.

use workshold_protocol::Millis;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::Offset;
use workshold_protocol::record::EndCause;
use workshold_protocol::record::Fact;
use workshold_protocol::record::GroupEnd;
use workshold_protocol::record::Member;
use workshold_protocol::record::MemberRelease;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;

use crate::fleet::Group;
use crate::fleet::Phase;
use crate::steward::Plan;
use crate::steward::StewardRules;
use crate::steward::StewardTimers;
use crate::steward::View;

/// Plans the next step for every draining or dissolved group of the domain, and orders
/// unclaimed instances out of groups.
pub(super) fn advance_ending_groups(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    plan: &mut Plan,
) {
    for group in view.state.fleet.groups().filter(|group| &group.domain == view.domain) {
        match group.phase {
            Phase::Active => {}
            Phase::Draining { since, cause } => {
                advance_draining(view, timers, rules, group, since, cause, plan);
            }
            Phase::Dissolved { since, .. } => {
                release_members(view, timers, rules, group, since, plan);
            }
        }
    }
    order_unclaimed_out(view, timers, rules, plan);
}

/// Dissolves a draining group once every member reports that it is draining and has no
/// requests left, or once a member has been lost for `member_grace`. Until then, orders
/// the members to drain.
///
/// A draining member refuses a request that was sent to it meanwhile, so one such
/// report of each member is enough; the model checker finds no violation without a
/// further wait.
fn advance_draining(
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
        plan.add_decision(&group.id, "ended while draining: a member is lost");
        plan.facts.push(dissolve_fact(group, EndCause::MemberLost));
        return;
    }
    if group.members.iter().all(|member| is_idle(view, rules, group, member)) {
        plan.add_decision(&group.id, "drained: ended");
        plan.facts.push(dissolve_fact(group, cause));
        return;
    }
    let action = OrderAction::Drain { group: group.id.clone() };
    for member in &group.members {
        if !is_draining(view, rules, group, member) {
            push_order(view, timers, rules, &member.instance, since.into(), &action, plan);
        }
    }
}

fn release_members(
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
        let observation = view.fresh_observation(instance, rules);
        let is_outside = observation.is_some_and(|observation| {
            observation.report.membership.as_ref().is_none_or(|own| own.group != group.id)
        });
        let outside_for = timers.outside_for(&group.id, instance, is_outside, view.now);
        let is_gone = observation.is_none() && view.listed(instance).is_none();
        let gone_for = timers.gone_for(instance, is_gone, view.now);
        if outside_for > rules.release_wait || gone_for > rules.gone_after {
            plan.facts.push(release_fact(group, instance));
        } else if observation.is_some() && !is_outside {
            push_order(view, timers, rules, instance, since.into(), &action, plan);
        }
    }
}

/// Orders out each instance that no group claims but that reports to be in one.
fn order_unclaimed_out(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    plan: &mut Plan,
) {
    let fence = FencingToken(view.state.next().0.saturating_sub(1));
    for listed in view.engines() {
        if view.state.fleet.claim_of(&listed.instance).is_some() {
            continue;
        }
        let membership = view
            .fresh_observation(&listed.instance, rules)
            .and_then(|observation| observation.report.membership.as_ref());
        let Some(membership) = membership else { continue };
        // The group's record is not replayed yet: this node is behind, and the instance
        // may well be claimed.
        if membership.fence.0 >= view.state.next().0 {
            continue;
        }
        let action = OrderAction::Leave { group: membership.group.clone() };
        push_order(view, timers, rules, &listed.instance, fence, &action, plan);
    }
}

/// Adds an order to the plan unless the instance got one less than `order_interval` ago.
pub(super) fn push_order(
    view: &View<'_>,
    timers: &mut StewardTimers,
    rules: &StewardRules,
    instance: &InstanceId,
    fence: FencingToken,
    action: &OrderAction,
    plan: &mut Plan,
) {
    if timers.may_order(instance, rules.order_interval, view.now) {
        plan.orders.push((instance.clone(), Order { fence, action: action.clone() }));
    }
}

pub(super) fn dissolve_fact(group: &Group, cause: EndCause) -> Fact {
    Fact::GroupDissolved(GroupEnd { group: group.id.clone(), fence: group.fence, cause })
}

pub(super) fn drain_fact(group: &Group, cause: EndCause) -> Fact {
    Fact::GroupDraining(GroupEnd { group: group.id.clone(), fence: group.fence, cause })
}

fn release_fact(group: &Group, instance: &InstanceId) -> Fact {
    Fact::MemberReleased(MemberRelease {
        group: group.id.clone(),
        fence: group.fence,
        instance: instance.clone(),
    })
}

/// Whether the member has no recent report, has restarted, or reports to be in a newer
/// group.
pub(super) fn is_lost(
    view: &View<'_>,
    rules: &StewardRules,
    group: &Group,
    member: &Member,
) -> bool {
    let Some(observation) = view.fresh_observation(&member.instance, rules) else { return true };
    if observation.report.incarnation != member.incarnation {
        return true;
    }
    let own = observation.report.membership.as_ref();
    own.is_some_and(|own| own.group != group.id && own.fence > group.fence)
}

fn is_draining(view: &View<'_>, rules: &StewardRules, group: &Group, member: &Member) -> bool {
    let membership = view
        .fresh_observation(&member.instance, rules)
        .and_then(|observation| observation.report.membership.as_ref());
    membership.is_some_and(|own| own.group == group.id && own.readiness == Readiness::Draining)
}

fn is_idle(view: &View<'_>, rules: &StewardRules, group: &Group, member: &Member) -> bool {
    let Some(observation) = view.fresh_observation(&member.instance, rules) else { return false };
    let has_no_requests = observation.report.running == 0 && observation.report.queued == 0;
    let is_outside = observation.report.membership.is_none();
    has_no_requests && (is_outside || is_draining(view, rules, group, member))
}

/// Expected time from the decision to dissolve a group until its members are free: two
/// order intervals and the wait for the release.
pub(super) fn release_time(rules: &StewardRules) -> Millis {
    rules.release_wait + rules.order_interval + rules.order_interval
}
