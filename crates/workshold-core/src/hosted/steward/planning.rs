//! Planning and executing the changes of one domain.

use std::collections::BTreeSet;

use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;

use crate::hosted::groups;
use crate::hosted::groups::Group;
use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::planner::Change;
use crate::hosted::planner::Domain;
use crate::hosted::planner::Host;
use crate::hosted::planner::HostReadiness;
use crate::hosted::planner::Limits;
use crate::hosted::planner::Plan;
use crate::hosted::roster::MemberState;
use crate::hosted::serving_config::ModelSpec;

use super::Command;
use super::DeferredGroup;
use super::DomainContext;
use super::GroupFormation;
use super::PlannedState;
use super::Steward;
use super::context::LEAVING_DRAIN_TIME;
use super::planner_input;
use super::planner_input::FreeInstance;
use super::staging::LoadPurpose;
use super::staging::max_reserve_loads;

impl Steward {
    /// Plans over all domains and returns the changes of this one.
    ///
    /// Before traffic there is no remembered demand, and so no reserve.
    pub(super) fn plan_changes(
        &mut self,
        cx: &DomainContext<'_>,
        groups: &[Group],
        pool: &[FreeInstance],
    ) -> Plan {
        let is_settled = cx.now.since(cx.last_arrival_at) >= self.rules.list_quiet_time;
        if cx.before_traffic && (!is_settled || pool.is_empty()) {
            return Plan::default();
        }
        let own_domain = if cx.before_traffic {
            super::listed(cx.domain, cx.entries, cx.engine, true, |entry| cx.can_serve(entry))
        } else {
            self.planner_domain(cx, groups, pool)
        };
        if own_domain.free.is_empty() && !cx.may_close {
            self.last_plans.remove(&own_domain.name);
            return Plan::default();
        }
        if !self.is_plan_due(&own_domain, cx.now) {
            return Plan::default();
        }
        let mut domains = (cx.others)();
        let at = domains.partition_point(|other| other.name < own_domain.name);
        domains.insert(at, own_domain);
        let loads_under_way = self.loads_under_way(cx);
        let limits = Limits {
            may_close: cx.may_close && !cx.before_traffic,
            may_load_on_join: cx.before_traffic,
            max_loads: (cx.engine.loads_at_once as usize).saturating_sub(loads_under_way),
        };
        let mut models = (cx.models)();
        if cx.before_traffic {
            models.iter_mut().for_each(|model| model.groups = 0.0);
        }
        let max_reserve_loads = max_reserve_loads(cx.engine).saturating_sub(loads_under_way);
        let mut plan = planner::plan_with_reserve(&domains, &models, limits, max_reserve_loads);
        plan.present.retain(|change| change.domain == at);
        plan.reserve.retain(|change| change.domain == at);
        if cx.before_traffic {
            plan.present = self.changes_not_begun(plan.present.into_iter(), cx, groups, pool);
        }
        plan
    }

    /// Number of the domain's instances whose hosts are fetching weights.
    fn loads_under_way(&self, cx: &DomainContext<'_>) -> usize {
        cx.entries.iter().filter(|entry| self.is_staging(&entry.instance, cx)).count()
    }

    /// Whether to plan over all domains: this domain has changed since the last plan, or that plan
    /// is so old that other domains may have. In most rounds neither is the case.
    fn is_plan_due(&mut self, domain: &Domain, now: Millis) -> bool {
        let state = |readiness: &HostReadiness| {
            (readiness.needs_load, readiness.waits_for_weights, readiness.waits_for_head)
        };
        let host = |host: &Host| (host.id.clone(), host.readiness.iter().map(state).collect());
        let free = domain.free.iter().map(host);
        let serving_groups = domain.serving_groups.iter().map(|group| group.epoch);
        let next = PlannedState {
            at: now,
            free: free.collect(),
            serving_groups: serving_groups.collect(),
        };
        let last = self.last_plans.get(&domain.name);
        let is_plan_due = last.is_none_or(|last| {
            let has_changed = last.free != next.free || last.serving_groups != next.serving_groups;
            has_changed || now.since(last.at) >= self.rules.replan_interval
        });
        if is_plan_due {
            self.last_plans.insert(domain.name.clone(), next);
        }
        is_plan_due
    }

    /// Of the groups that the domain should have, returns those that are not being formed and do
    /// not serve yet, with free instances as their members.
    fn changes_not_begun(
        &self,
        changes: impl Iterator<Item = Change>,
        cx: &DomainContext<'_>,
        groups: &[Group],
        pool: &[FreeInstance],
    ) -> Vec<Change> {
        let mut begun: Vec<&ModelName> = self
            .forming
            .values()
            .filter(|forming| forming.members.iter().any(|id| cx.entry(id).is_some()))
            .map(|forming| &forming.model)
            .collect();
        let groups_of_others =
            groups.iter().filter(|group| !self.forming.contains_key(&group.epoch));
        let exists = |group: &&Group| {
            planner_input::is_forming(group) || group.state() == Some(MemberState::Open)
        };
        let models_of_others = groups_of_others.filter(exists).filter_map(|g| g.model(cx.engine));
        begun.extend(models_of_others.map(|spec| &spec.name));
        let mut free: Vec<&Identity> = pool.iter().map(|free| &free.instance().identity).collect();
        let mut missing = Vec::new();
        for mut change in changes {
            let spec = &cx.engine.models[change.model];
            if let Some(at) = begun.iter().position(|model| **model == spec.name) {
                begun.swap_remove(at);
            } else if free.len() >= spec.size {
                change.members = free.drain(..spec.size).cloned().collect();
                missing.push(change);
            }
        }
        missing
    }

    /// Executes the changes that are possible now; the next round plans the others again.
    pub(super) fn execute_changes(
        &mut self,
        cx: &DomainContext<'_>,
        groups: &[Group],
        pool: &[FreeInstance],
        changes: &[Change],
        purpose: LoadPurpose,
        commands: &mut Vec<Command>,
    ) {
        for change in changes {
            let spec = &cx.engine.models[change.model];
            let instances = change.members.iter().filter_map(|id| cx.entry(id));
            if !change.loading_members.is_empty() {
                let lacking =
                    instances.filter(|e| change.loading_members.contains(&e.instance.identity));
                for entry in lacking {
                    self.stage_weights(&entry.instance, spec, purpose, cx, commands);
                }
            } else if change.waits_for_weights {
                // Wait until the weights have reached all members.
            } else if change.groups_to_close.is_empty() && are_free(&change.members, pool) {
                for members in change.members.chunks_exact(spec.size) {
                    self.start_forming(spec, members.to_vec(), cx.now);
                }
            } else {
                self.close_for_change(change, spec, cx, groups, commands);
            }
        }
    }

    /// Closes the groups that a change needs closed, and defers its new groups until they have
    /// drained.
    fn close_for_change(
        &mut self,
        change: &Change,
        spec: &ModelSpec,
        cx: &DomainContext<'_>,
        groups: &[Group],
        commands: &mut Vec<Command>,
    ) {
        let why = "its members gain more utility in a group of another model";
        for group in groups.iter().filter(|group| change.groups_to_close.contains(&group.epoch)) {
            if let Some(head) = group.head() {
                self.close(group, head, false, why, cx, commands);
            }
        }
        let until = cx.now + LEAVING_DRAIN_TIME;
        for members in change.members.chunks_exact(spec.size) {
            let (domain, model) = (cx.domain.clone(), spec.name.clone());
            self.deferred.push(DeferredGroup { domain, model, members: members.to_vec(), until });
        }
    }

    /// Forms the groups that others were closed for, once all members are free.
    pub(super) fn form_deferred_groups(&mut self, cx: &DomainContext<'_>, pool: &[FreeInstance]) {
        let is_fit = |id: &Identity| cx.entry(id).is_some_and(|entry| cx.can_serve(entry));
        let mut kept = Vec::new();
        for deferred in std::mem::take(&mut self.deferred) {
            let spec = cx.engine.model(deferred.model.as_str());
            let Some(spec) = spec.filter(|_| &deferred.domain == cx.domain) else {
                kept.push(deferred);
                continue;
            };
            if !deferred.members.iter().all(is_fit) {
                // A member was lost; the others are planned for again.
                continue;
            }
            if are_free(&deferred.members, pool) {
                self.start_forming(spec, deferred.members, cx.now);
            } else {
                kept.push(deferred);
            }
        }
        self.deferred = kept;
    }

    /// Starts to form a group under a new epoch; the orders to join are sent by
    /// [`Self::advance_formations`].
    fn start_forming(&mut self, model: &ModelSpec, members: Vec<Identity>, now: Millis) {
        let epoch = self.next_epoch();
        let group = groups::group_id(&model.name, epoch);
        let deadline = now + model.load + self.rules.formation_grace;
        let forming = GroupFormation {
            group,
            model: model.name.clone(),
            members,
            joined: BTreeSet::new(),
            deadline,
        };
        self.forming.insert(epoch, forming);
    }
}

/// Of the changes for a remembered demand, returns those that need only free instances. The others
/// need members of a group that the present demand closes; later rounds plan them once it is
/// closed.
pub(super) fn with_free_members(changes: Vec<Change>, pool: &[FreeInstance]) -> Vec<Change> {
    changes.into_iter().filter(|change| are_free(&change.members, pool)).collect()
}

/// Whether all `members` are in the pool of free instances.
fn are_free(members: &[Identity], pool: &[FreeInstance]) -> bool {
    members.iter().all(|id| pool.iter().any(|free| &free.instance().identity == id))
}

/// Describes the changes for logs.
pub(super) fn describe_changes<'a>(
    cx: &DomainContext<'_>,
    changes: impl Iterator<Item = &'a Change>,
) -> String {
    let describe = |change: &Change| {
        let model = &cx.engine.models[change.model].name;
        let (size, closes, loads) =
            (change.members.len(), change.groups_to_close.len(), change.loading_members.len());
        format!("{model}:{size} closes:{closes} loads:{loads} gain:{:.0}", change.net_gain)
    };
    changes.map(describe).collect::<Vec<_>>().join(", ")
}
