//! Forms groups out of free instances.

use workshold_protocol::Millis;
use workshold_protocol::bundle::Model;
use workshold_protocol::bundle::Role;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::record::EndCause;
use workshold_protocol::record::Fact;
use workshold_protocol::record::GroupFormation;
use workshold_protocol::record::Member;
use workshold_protocol::record::ReplacedGroup;
use workshold_protocol::report::ListedInstance;

use crate::bundles::InForce;
use crate::fleet::Group;
use crate::fleet::Phase;
use crate::group_readiness::check_group;
use crate::rendezvous;
use crate::state::State;
use crate::steward::Plan;
use crate::steward::StewardRules;
use crate::steward::View;

/// Forms the groups that the bundle asks for and the domain has free instances for.
///
/// Stewards of other domains may form the same ones at the same time; the log
/// accepts only as many as the bundle asks for. A broken group counts as present until
/// its repair is decided. Nothing is formed if the plan already forms a replacement, and
/// nothing for a model that is growing here.
pub(super) fn form_groups(view: &View<'_>, rules: &StewardRules, plan: &mut Plan) {
    let Some(in_force) = view.state.bundles.in_force() else { return };
    if plan.facts.iter().any(|fact| matches!(fact, Fact::GroupFormed(_))) {
        return;
    }
    let mut free = view.free_instances(rules);
    let mut formed = 0;
    for (name, model) in by_need(view.state, in_force) {
        if is_growing(view, name) {
            continue;
        }
        for _ in 0..deficit(view.state, name, model) {
            let Some(role) = largest_fitting(model, free.len()) else { break };
            if larger_role_fits_soon(view, rules, model, role, free.len()) {
                break;
            }
            loaded_first(view, &mut free, name, model);
            let members: Vec<_> = free.drain(..usize::from(role.instances)).collect();
            let Some(members) = members_of(view, &members) else { break };
            let id = group_id(view, formed);
            formed += 1;
            plan.add_decision(
                &id,
                format!("forming: {name} lacks a group, {} are free", members.len()),
            );
            let formation = formation(view, in_force, id, name, model, role, members, None);
            plan.facts.push(Fact::GroupFormed(formation));
        }
    }
}

/// Whether a group of the model is ending in this domain so that a larger one can be
/// formed. Free instances are reserved for that until its members are released, unless
/// one of them has been silent for too long.
pub(super) fn is_growing(view: &View<'_>, model: &ModelName) -> bool {
    view.state.fleet.groups().any(|group| {
        let cause = match group.phase {
            Phase::Active => None,
            Phase::Draining { cause, .. } | Phase::Dissolved { cause, .. } => Some(cause),
        };
        let is_here = &group.domain == view.domain && &group.model == model;
        let none_is_silent = group.members.iter().all(|member| {
            view.observations.get(&member.instance).is_some_and(|observation| {
                view.now.since(observation.seen) < MAX_SILENCE_FOR_GROWTH
            })
        });
        is_here && cause == Some(EndCause::Outgrown) && none_is_silent
    })
}

/// The release of a member that has been silent for longer than this is not waited for.
const MAX_SILENCE_FOR_GROWTH: Millis = Millis(10_000);

/// The models, ordered by the fraction of their groups that is missing, largest first.
fn by_need<'a>(state: &State, in_force: &'a InForce) -> Vec<(&'a ModelName, &'a Model)> {
    let mut models: Vec<_> = in_force.bundle.models.iter().collect();
    models.sort_by_key(|(name, model)| {
        let wanted = usize::from(model.replicas).max(1);
        std::cmp::Reverse(deficit(state, name, model) * 1000 / wanted)
    });
    models
}

/// The number of groups that the model lacks. A group of an old version counts as
/// present until it is replaced; see [`is_next_old`].
fn deficit(state: &State, name: &ModelName, model: &Model) -> usize {
    let running = state.fleet.groups().filter(|group| group.is_active() && &group.model == name);
    let not_replaced = running.filter(|group| state.fleet.replacement_of(&group.id).is_none());
    usize::from(model.replicas).saturating_sub(not_replaced.count())
}

fn largest_fitting(model: &Model, free: usize) -> Option<&Role> {
    model.roles.iter().find(|role| usize::from(role.instances) <= free)
}

/// Whether the model lacks a group and the domain has the free instances for one.
pub(super) fn can_form(
    view: &View<'_>,
    rules: &StewardRules,
    name: &ModelName,
    model: &Model,
) -> bool {
    deficit(view.state, name, model) > 0
        && largest_fitting(model, view.free_instances(rules).len()).is_some()
}

/// Whether `group`, of an old version, is the next one to end in the rollout.
///
/// Old groups end one at a time, oldest first: only while no other is ending, every
/// group of the new version is ready, and no further group can be formed from free
/// instances. All stewards derive the same order from the log. A new version that
/// does not become ready therefore stops the rollout.
pub(super) fn is_next_old(
    view: &View<'_>,
    rules: &StewardRules,
    model: &Model,
    group: &Group,
) -> bool {
    let same_model = || view.state.fleet.groups().filter(|other| other.model == group.model);
    let is_old = |other: &&Group| other.version != model.version;
    let any_ending = same_model().filter(is_old).any(|other| !other.is_active());
    let oldest = same_model().filter(is_old).min_by_key(|other| other.age_key());
    let leaving = view.leaving_instances();
    let all_new_serve = same_model().filter(|other| !is_old(other)).all(|other| {
        check_group(other, view.observations, &leaving, view.now, rules.group_readiness).is_ok()
    });
    let is_oldest = oldest.is_some_and(|oldest| oldest.id == group.id);
    is_oldest && !any_ending && all_new_serve && !can_form(view, rules, &group.model, model)
}

/// The formation of a group that replaces `old`, in the model's best role; `None` if
/// too few instances are free.
pub(super) fn replacement(
    view: &View<'_>,
    rules: &StewardRules,
    old: &Group,
) -> Option<GroupFormation> {
    let in_force = view.state.bundles.in_force()?;
    let model = in_force.bundle.models.get(&old.model)?;
    let role = model.roles.first()?;
    let mut free = view.free_instances(rules);
    loaded_first(view, &mut free, &old.model, model);
    let chosen = free.get(..usize::from(role.instances))?;
    let members = members_of(view, chosen)?;
    let id = group_id(view, 0);
    let replaces = Some(ReplacedGroup { group: old.id.clone(), fence: old.fence });
    Some(formation(view, in_force, id, &old.model, model, role, members, replaces))
}

/// Whether a larger role will fit once the members of ending groups are released.
fn larger_role_fits_soon(
    view: &View<'_>,
    rules: &StewardRules,
    model: &Model,
    role: &Role,
    free: usize,
) -> bool {
    let is_ending = |group: &&Group| !group.is_active() && &group.domain == view.domain;
    let members = view.state.fleet.groups().filter(is_ending).flat_map(|group| {
        let claimed = |m: &&Member| view.state.fleet.claim_of(&m.instance) == Some(&group.id);
        group.members.iter().filter(claimed)
    });
    let is_available = |member: &&Member| {
        view.fresh_observation(&member.instance, rules).is_some()
            && !view.must_leave(&member.instance)
    };
    let available_soon = free + members.filter(is_available).count();
    largest_fitting(model, available_soon).is_some_and(|better| better.instances > role.instances)
}

/// Moves the instances that have the model's weights in memory to the front.
fn loaded_first(view: &View<'_>, free: &mut [&ListedInstance], name: &ModelName, model: &Model) {
    free.sort_by_key(|listed| !view.has_weights(&listed.instance, name, model));
}

fn members_of(view: &View<'_>, chosen: &[&ListedInstance]) -> Option<Vec<Member>> {
    let member = |listed: &&ListedInstance| {
        let observation = view.observations.get(&listed.instance)?;
        let incarnation = observation.report.incarnation;
        Some(Member { instance: listed.instance.clone(), incarnation })
    };
    chosen.iter().map(member).collect()
}

#[expect(clippy::too_many_arguments, reason = "each is one field of the record")]
fn formation(
    view: &View<'_>,
    in_force: &InForce,
    group: GroupId,
    name: &ModelName,
    model: &Model,
    role: &Role,
    members: Vec<Member>,
    replaces: Option<ReplacedGroup>,
) -> GroupFormation {
    GroupFormation {
        group,
        bundle: in_force.hash,
        model: name.clone(),
        version: model.version.clone(),
        role: role.name.clone(),
        domain: view.domain.clone(),
        members,
        relied_on: view.state.next(),
        replaces,
    }
}

/// The name of a new group. Stewards with the same view generate the same name, so
/// the log accepts only one of their formations.
fn group_id(view: &View<'_>, nth: usize) -> GroupId {
    let next = view.state.next();
    let domain = domain_hash(view.domain);
    GroupId::new(&format!("g{next}-{domain:08x}-{nth}"))
        .expect("a name of letters, digits and dashes is valid")
}

fn domain_hash(domain: &FabricDomain) -> u32 {
    (rendezvous::weight(b"group name", domain.as_str().as_bytes()) >> 32) as u32
}
