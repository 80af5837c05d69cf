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
use crate::hosted::planner::Ready;
use crate::hosted::planner::Standing;
use crate::hosted::roster::Entry;
use crate::hosted::roster::Instance;
use crate::hosted::roster::MemberState;
use crate::hosted::serving_config::Engine;
use crate::hosted::serving_config::ModelSpec;

use super::DomainContext;
use super::Steward;

/// Time to join a group of a model whose weights are still in the instance's memory.
const REJOINS: Millis = Millis(200);
/// Factor by which fetching weights is faster before the first request.
const QUICK_LOADS: u64 = 10;

/// An instance that can be put into a new group, and whether its old group's head has to leave
/// first.
#[derive(Debug, Clone)]
pub(super) struct Free {
    pub(super) instance: Arc<Instance>,
    is_bound: bool,
}

impl Free {
    /// Describes the instance and the models whose weights it holds, for logs.
    pub(super) fn describe(&self) -> String {
        let names = |models: &[ModelName]| {
            models.iter().map(ModelName::as_str).collect::<Vec<_>>().join("+")
        };
        let bound = if self.is_bound { ",bound" } else { "" };
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
        s: &DomainContext<'_>,
        groups: &[Group],
        idle: &[&Group],
    ) -> Vec<Free> {
        let is_forming = |id: &Identity| self.forming.values().any(|f| f.members.contains(id));
        s.entries
            .iter()
            .filter(|entry| s.can_serve(entry) && !is_forming(&entry.instance.identity))
            .filter(|entry| match &entry.instance.membership {
                None => true,
                Some(own) => idle.iter().any(|group| group.epoch == own.epoch),
            })
            .map(|entry| {
                let instance = Arc::clone(&entry.instance);
                let is_bound = self.bound_by(&instance, s, groups).is_some();
                Free { instance, is_bound }
            })
            .collect()
    }

    /// Whether an instance is assigned to a group that is being formed or is going to be.
    pub(super) fn is_taken(&self, id: &Identity) -> bool {
        let is_forming = self.forming.values().any(|forming| forming.members.contains(id));
        is_forming || self.intended.iter().any(|intended| intended.members.contains(id))
    }

    /// The planner's input for the steward's own domain.
    pub(super) fn view(
        &self,
        s: &DomainContext<'_>,
        groups: &[Group],
        pool: &[Free],
    ) -> planner::Domain {
        let free = pool.iter().filter(|free| !self.is_taken(&free.instance.identity));
        let free = free.map(|free| self.host(&free.instance, free.is_bound, s)).collect();
        let standing = groups.iter().filter(|group| is_standing(group, s.engine));
        let is_meant = |group: &Group| group.members.values().any(|i| self.is_taken(&i.identity));
        let standing =
            standing.filter(|group| !self.closed.contains(&group.epoch) && !is_meant(group));
        let is_fit = |group: &&Group| {
            let members = group.members.values();
            let mut entries = members.map(|member| s.entry(&member.identity));
            entries.all(|entry| entry.is_some_and(|entry| s.can_serve(entry)))
        };
        let standing = standing.filter(is_fit).filter_map(|group| {
            let members = group.members.values().map(|member| self.host(member, true, s));
            Some(Standing {
                epoch: group.epoch,
                model: model_index(group, s.engine)?,
                members: members.collect(),
            })
        });
        let standing = standing.collect();
        planner::Domain { name: s.domain.clone(), free, standing }
    }

    fn host(&self, instance: &Instance, is_bound: bool, s: &DomainContext<'_>) -> Host {
        let mut host = host(instance, is_bound, s.engine, s.before_traffic);
        let Some((coming, since)) = self.staging_since(instance, s) else { return host };
        let load = s.engine.model(coming.as_str()).map_or(Millis::ZERO, |spec| spec.load);
        let left = load.since(s.now.since(since));
        for (spec, ready) in s.engine.models.iter().zip(&mut host.ready) {
            let is_coming = spec.name == coming;
            // Weights in memory need nothing from the host; other weights wait for this load.
            if !instance.loaded.contains(&spec.name) && (is_coming || !ready.needs_load) {
                *ready = Ready {
                    needs_load: false,
                    waits: true,
                    after: left + spec.warm_load,
                    ..*ready
                };
            }
        }
        host
    }
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
    let mut domain = planner::Domain { name: name.clone(), free: Vec::new(), standing: Vec::new() };
    let hosts = |group: &Group| -> Vec<Host> {
        let members = group.members.values();
        members.map(|member| host(member, true, engine, before_traffic)).collect()
    };
    if before_traffic {
        domain.free = fit.iter().map(|e| host(&e.instance, false, engine, true)).collect();
        return domain;
    }
    for group in groups::collate(fit.iter().copied()) {
        let Some(model) = model_index(&group, engine) else { continue };
        let is_whole = group.members.len() == engine.models[model].size;
        match group.state() {
            Some(MemberState::Open) if is_whole => {
                let members = hosts(&group);
                domain.standing.push(Standing { epoch: group.epoch, model, members });
            }
            _ if is_forming(&group) => {}
            _ => domain.free.extend(hosts(&group)),
        }
    }
    let none = fit.iter().filter(|entry| entry.instance.membership.is_none());
    domain.free.extend(none.map(|entry| host(&entry.instance, false, engine, before_traffic)));
    domain
}

/// Whether a group is being formed; some of its members may not have reported it yet.
pub fn is_forming(group: &Group) -> bool {
    let state = |member: &Arc<Instance>| member.membership.as_ref().map(|own| own.state);
    let is_joined = matches!(group.state(), Some(MemberState::Joining | MemberState::Ready));
    is_joined || group.members.values().any(|member| state(member) == Some(MemberState::Joining))
}

fn is_standing(group: &Group, engine: &Engine) -> bool {
    let spec = engine.model(group.model());
    let is_whole = spec.is_some_and(|spec| group.members.len() == spec.size);
    is_whole && group.state() == Some(MemberState::Open)
}

fn model_index(group: &Group, engine: &Engine) -> Option<usize> {
    engine.models.iter().position(|spec| spec.name.as_str() == group.model())
}

fn host(instance: &Instance, is_bound: bool, engine: &Engine, before_traffic: bool) -> Host {
    let ready = |spec: &ModelSpec| {
        let load = Millis(spec.load.0 / if before_traffic { QUICK_LOADS } else { 1 });
        let (needs_load, after) = if instance.loaded.contains(&spec.name) {
            (false, REJOINS)
        } else if instance.staged.contains(&spec.name) {
            (false, spec.warm_load)
        } else {
            (true, load + spec.warm_load)
        };
        Ready { needs_load, waits: false, after: after + engine.group_open_time, is_bound }
    };
    Host { id: instance.identity.clone(), ready: engine.models.iter().map(ready).collect() }
}
