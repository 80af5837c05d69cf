//! The steward of a fabric domain: the controller that forms the domain's groups, keeps
//! them whole and drains those that have to end.
//!
//! No lease or election is needed. Any node may plan for any domain at any time: the
//! log rejects facts that come too late, and the state of an instance is known only
//! from its own reports. That only one node of a data centre plans for a domain is
//! just to save work.

mod active_groups;
mod ending;
mod forming;
mod plan;
mod preloading;
mod timers;

pub use crate::steward::plan::Decision;
pub use crate::steward::plan::Plan;
pub use crate::steward::timers::StewardTimers;

use std::collections::BTreeSet;

use workshold_protocol::Millis;
use workshold_protocol::bundle::Model;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;

use crate::group_readiness::GroupReadinessRules;
use crate::instance_list::InstanceList;
use crate::observation::Observation;
use crate::observation::Observations;
use crate::repair::Expectations;
use crate::state::State;

/// Timings of a steward.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StewardRules {
    /// How old a report may be to count; the same on every node.
    pub group_readiness: GroupReadinessRules,
    /// How long an instance must report to be outside of its old group before it is
    /// released: longer than `report_ttl` plus the drift of two clocks over that time,
    /// so that no node can still count an older report.
    pub release_wait: Millis,
    /// How long a member may be lost before its group counts as broken.
    pub member_grace: Millis,
    /// How long an instance must be neither listed nor heard from before its claim is
    /// dropped.
    pub gone_after: Millis,
    /// Least time between two orders to one instance.
    pub order_interval: Millis,
    /// Rate at which one instance reads from the weight store, in MiB/s.
    pub load_mib_per_s: u32,
    /// Statistics about instances that go missing, for the choice of a repair.
    pub expect: Expectations,
}

/// The input of a plan.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The domain to plan for.
    pub domain: &'a FabricDomain,
    /// The replayed state.
    pub state: &'a State,
    /// The last reports of instances.
    pub observations: &'a Observations,
    /// The platform's instance list, all domains included.
    pub list: &'a InstanceList,
    /// The planning node's clock.
    pub now: Millis,
}

impl View<'_> {
    /// The listed engine instances of the domain.
    fn engines(&self) -> impl Iterator<Item = &ListedInstance> {
        self.list.iter().filter(|listed| match &listed.kind {
            InstanceKind::Engine { domain, .. } => domain == self.domain,
            _ => false,
        })
    }

    fn listed(&self, instance: &InstanceId) -> Option<&ListedInstance> {
        self.list.find(instance)
    }

    fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.listed(instance).is_some_and(|listed| listed.leaving)
    }

    /// Whether an instance is about to stop and must not join a new group.
    fn must_leave(&self, instance: &InstanceId) -> bool {
        self.is_leaving(instance) || self.state.fleet.is_stopping(instance)
    }

    fn fresh_observation(
        &self,
        instance: &InstanceId,
        rules: &StewardRules,
    ) -> Option<&Observation> {
        self.observations.fresh(instance, self.now, rules.group_readiness.report_ttl)
    }

    /// Instances that can be claimed: listed, not claimed, not about to stop, and in no
    /// group by their own recent report.
    fn free_instances(&self, rules: &StewardRules) -> Vec<&ListedInstance> {
        self.engines()
            .filter(|listed| self.state.fleet.claim_of(&listed.instance).is_none())
            .filter(|listed| !self.must_leave(&listed.instance))
            .filter(|listed| {
                let observation = self.fresh_observation(&listed.instance, rules);
                observation.is_some_and(|observation| observation.report.membership.is_none())
            })
            .collect()
    }

    /// Whether an instance's last report states that it has the weights in memory.
    fn has_weights(&self, instance: &InstanceId, name: &ModelName, model: &Model) -> bool {
        let loaded = self.observations.get(instance).and_then(|seen| seen.report.loaded.as_ref());
        loaded.is_some_and(|own| &own.model == name && own.version == model.version)
    }

    fn leaving_instances(&self) -> BTreeSet<InstanceId> {
        let leaving = self.list.iter().filter(|listed| listed.leaving);
        leaving.map(|listed| listed.instance.clone()).collect()
    }
}

/// Plans the next facts and orders for one domain.
///
/// Every node calls this periodically for the domains that it is the steward of.
pub fn plan(view: &View<'_>, timers: &mut StewardTimers, rules: &StewardRules) -> Plan {
    let mut plan = Plan::default();
    ending::advance_ending_groups(view, timers, rules, &mut plan);
    active_groups::maintain_active_groups(view, timers, rules, &mut plan);
    forming::form_groups(view, rules, &mut plan);
    preloading::preload_spares(view, timers, rules, &mut plan);
    timers.drop_ended(view.state);
    plan
}
