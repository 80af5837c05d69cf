//! Builds the planner's input for a domain.

use std::sync::Arc;

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::ModelName;

use crate::hosted::groups;
use crate::hosted::groups::Group;
use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::planner::Host;
use crate::hosted::planner::HostReadiness;
use crate::hosted::planner::ServingGroup;
use crate::hosted::roster::Entry;
use crate::hosted::roster::Instance;
use crate::hosted::roster::MemberState;
use crate::hosted::serving_config::Engine;
use crate::hosted::serving_config::ModelSpec;

use super::DomainContext;
use super::Steward;

/// Time to join a group of a model whose weights are still in the instance's memory.
const REJOIN_TIME: Millis = Millis(200);
/// Factor by which fetching weights is faster before the first request.
const PRE_TRAFFIC_LOAD_SPEEDUP: u64 = 10;

/// An instance that can be put into a new group, and whether its old group's head has to leave
/// first.
#[derive(Debug, Clone)]
pub(super) struct FreeInstance {
    pub(super) instance: Arc<Instance>,
    waits_for_head: bool,
}

impl FreeInstance {
    /// Describes the instance and the models whose weights it holds, for logs.
    pub(super) fn describe(&self) -> String {
        let names = |models: &[ModelName]| {
            models.iter().map(ModelName::as_str).collect::<Vec<_>>().join("+")
        };
        let bound = if self.waits_for_head { ",bound" } else { "" };
        let (loaded, staged) = (names(&self.instance.loaded), names(&self.instance.staged));
        format!("{}(loaded:{loaded},staged:{staged}{bound})", self.instance.identity)
    }

    /// The free instance.
    pub(super) fn instance(&self) -> &Instance {
        &self.instance
    }
}

impl Steward {
    /// Instances that can be put into a new group now.
    pub(super) fn pool(
        &self,
        cx: &DomainContext<'_>,
        groups: &[Group],
        idle: &[&Group],
    ) -> Vec<FreeInstance> {
        let is_forming = |id: &Identity| self.forming.values().any(|f| f.members.contains(id));
        cx.entries
            .iter()
            .filter(|entry| cx.can_serve(entry) && !is_forming(&entry.instance.identity))
            .filter(|entry| !self.awaits_break(entry, groups, cx))
            .filter(|entry| match &entry.instance.membership {
                None => true,
                Some(membership) => idle.iter().any(|group| group.epoch == membership.epoch),
            })
            .map(|entry| {
                let instance = with_model_of_left_group(entry, cx.engine);
                let waits_for_head = self.group_to_leave_first(&instance, cx, groups).is_some();
                FreeInstance { instance, waits_for_head }
            })
            .collect()
    }

    /// Whether an instance is assigned to a group that is being formed or is going to be.
    pub(super) fn is_assigned(&self, id: &Identity) -> bool {
        let is_forming = self.forming.values().any(|forming| forming.members.contains(id));
        is_forming || self.deferred.iter().any(|deferred| deferred.members.contains(id))
    }

    /// The planner's input for the steward's own domain.
    pub(super) fn planner_domain(
        &self,
        cx: &DomainContext<'_>,
        groups: &[Group],
        pool: &[FreeInstance],
    ) -> planner::Domain {
        let free = pool.iter().filter(|free| !self.is_assigned(&free.instance.identity));
        let free = free.map(|free| self.host(&free.instance, free.waits_for_head, cx)).collect();
        let serving_groups = groups.iter().filter(|group| is_serving(group, cx.engine));
        let has_assigned_member =
            |group: &Group| group.members.values().any(|i| self.is_assigned(&i.identity));
        let serving_groups = serving_groups.filter(|group| {
            !self.closed_epochs.contains(&group.epoch) && !has_assigned_member(group)
        });
        let is_fit = |group: &&Group| {
            let members = group.members.values();
            let mut entries = members.map(|member| cx.entry(&member.identity));
            entries.all(|entry| entry.is_some_and(|entry| cx.can_serve(entry)))
        };
        let serving_groups = serving_groups.filter(is_fit).filter_map(|group| {
            let members = group.members.values().map(|member| self.host(member, true, cx));
            Some(ServingGroup {
                epoch: group.epoch,
                model: group.model_index(cx.engine)?,
                members: members.collect(),
            })
        });
        let serving_groups = serving_groups.collect();
        planner::Domain { name: cx.domain.clone(), free, serving_groups }
    }

    /// The planner's input for an instance, including weights that are being fetched to its host.
    fn host(&self, instance: &Instance, waits_for_head: bool, cx: &DomainContext<'_>) -> Host {
        let mut host = host(instance, waits_for_head, cx.engine, cx.before_traffic);
        let Some((staged_model, since)) = self.staging_since(instance, cx) else { return host };
        let load = cx.engine.model(staged_model.as_str()).map_or(Millis::ZERO, |spec| spec.load);
        let load_left = load.since(cx.now.since(since));
        for (spec, readiness) in cx.engine.models.iter().zip(&mut host.readiness) {
            let is_being_staged = spec.name == staged_model;
            // Weights in memory need nothing from the host; other weights wait for this load.
            if !instance.loaded.contains(&spec.name) && (is_being_staged || !readiness.needs_load) {
                *readiness = HostReadiness {
                    needs_load: false,
                    waits_for_weights: true,
                    delay: load_left + spec.warm_load,
                    ..*readiness
                };
            }
        }
        host
    }
}

/// The instance of an entry. One that has left its group reports no model, but joins a group of the
/// same model again as fast as if it did.
fn with_model_of_left_group(entry: &Entry, engine: &Engine) -> Arc<Instance> {
    let mut instance = Arc::clone(&entry.instance);
    let left = entry.left().filter(|_| instance.membership.is_none());
    let spec = left.and_then(|left| groups::model_of(&left.membership.group, engine));
    if let Some(spec) = spec.filter(|spec| !instance.loaded.contains(&spec.name)) {
        Arc::make_mut(&mut instance).loaded.push(spec.name.clone());
    }
    instance
}

/// The planner's input for any domain, from the instance list alone.
///
/// Instances of groups that are closing count as free, since they soon are. Before traffic all
/// instances count as free, so that all stewards compute the same plan however far each of them
/// has got with it.
pub fn listed(
    name: &FabricDomain,
    entries: &[&Entry],
    engine: &Engine,
    before_traffic: bool,
    is_fit: impl Fn(&Entry) -> bool,
) -> planner::Domain {
    let fit: Vec<&Entry> = entries.iter().copied().filter(|entry| is_fit(entry)).collect();
    let mut domain =
        planner::Domain { name: name.clone(), free: Vec::new(), serving_groups: Vec::new() };
    let hosts = |group: &Group| -> Vec<Host> {
        let members = group.members.values();
        members.map(|member| host(member, true, engine, before_traffic)).collect()
    };
    if before_traffic {
        domain.free = fit.iter().map(|e| host(&e.instance, false, engine, true)).collect();
        return domain;
    }
    for group in groups::assemble_groups(fit.iter().copied()) {
        let Some(model) = group.model_index(engine) else { continue };
        let is_complete = group.members.len() == engine.models[model].size;
        match group.state() {
            Some(MemberState::Open) if is_complete => {
                let members = hosts(&group);
                domain.serving_groups.push(ServingGroup { epoch: group.epoch, model, members });
            }
            _ if is_forming(&group) => {}
            _ => domain.free.extend(hosts(&group)),
        }
    }
    let ungrouped = fit.iter().filter(|entry| entry.instance.membership.is_none());
    domain.free.extend(ungrouped.map(|entry| host(&entry.instance, false, engine, before_traffic)));
    domain
}

/// Whether a group is being formed; some of its members may not have reported it yet.
pub fn is_forming(group: &Group) -> bool {
    let state =
        |member: &Arc<Instance>| member.membership.as_ref().map(|membership| membership.state);
    let is_joined = matches!(group.state(), Some(MemberState::Joining | MemberState::Ready));
    is_joined || group.members.values().any(|member| state(member) == Some(MemberState::Joining))
}

/// Whether a group is complete and open.
fn is_serving(group: &Group, engine: &Engine) -> bool {
    let spec = group.model(engine);
    let is_complete = spec.is_some_and(|spec| group.members.len() == spec.size);
    is_complete && group.state() == Some(MemberState::Open)
}

/// The planner's input for an instance, from its entry alone.
fn host(instance: &Instance, waits_for_head: bool, engine: &Engine, before_traffic: bool) -> Host {
    let readiness = |spec: &ModelSpec| {
        let load = Millis(spec.load.0 / if before_traffic { PRE_TRAFFIC_LOAD_SPEEDUP } else { 1 });
        let (needs_load, delay) = if instance.loaded.contains(&spec.name) {
            (false, REJOIN_TIME)
        } else if instance.staged.contains(&spec.name) {
            (false, spec.warm_load)
        } else {
            (true, load + spec.warm_load)
        };
        HostReadiness {
            needs_load,
            waits_for_weights: false,
            delay: delay + engine.group_open_time,
            waits_for_head,
        }
    };
    Host { id: instance.identity.clone(), readiness: engine.models.iter().map(readiness).collect() }
}
