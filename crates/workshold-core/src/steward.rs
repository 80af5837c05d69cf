//! The steward of a fabric domain: keeps its groups whole, drains what must go.
//!
//! A steward holds no office. Any node may plan for any domain at any time: the
//! log rejects what came late, and instances are believed only by their own
//! reports. That only one node of a data centre plans for a domain saves work.

mod ending;
mod forming;
mod mending;
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

/// The times that a steward keeps to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StewardRules {
    /// How long a report is believed, by every node.
    pub group_readiness: GroupReadinessRules,
    /// How long an instance must be seen outside of its old group before it is
    /// free: longer than `report_ttl` and the drift of two clocks over that time,
    /// so that no node can still believe an older report.
    pub release_wait: Millis,
    /// How long a member may be silent before its group counts as broken.
    pub member_grace: Millis,
    /// How long an instance must be off the list before its claim is dropped.
    pub gone_after: Millis,
    /// The least time between two orders to one instance.
    pub order_every: Millis,
    /// What one instance reads from the weight store in a second, in MiB.
    pub load_mib_per_s: u32,
    /// What is expected of instances that go missing.
    pub expect: Expectations,
}

/// All that a steward looks at.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The domain it plans for.
    pub domain: &'a FabricDomain,
    /// What lasts.
    pub state: &'a State,
    /// What instances said.
    pub observations: &'a Observations,
    /// The platform's instance list, all of it.
    pub list: &'a InstanceList,
    /// The steward's own clock.
    pub now: Millis,
}

impl View<'_> {
    /// The engines of the domain, as listed.
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

    /// Whether an instance is to take no part in a new group.
    fn must_go(&self, instance: &InstanceId) -> bool {
        self.is_leaving(instance) || self.state.fleet.is_stopping(instance)
    }

    fn fresh(&self, instance: &InstanceId, rules: &StewardRules) -> Option<&Observation> {
        self.observations.fresh(instance, self.now, rules.group_readiness.report_ttl)
    }

    /// Instances that can be claimed: listed, staying, and idle by their own account.
    fn free(&self, rules: &StewardRules) -> Vec<&ListedInstance> {
        self.engines()
            .filter(|listed| self.state.fleet.claim_of(&listed.instance).is_none())
            .filter(|listed| !self.must_go(&listed.instance))
            .filter(|listed| {
                let observation = self.fresh(&listed.instance, rules);
                observation.is_some_and(|observation| observation.report.membership.is_none())
            })
            .collect()
    }

    /// Whether an instance says that it has these weights in memory.
    fn has_weights(&self, instance: &InstanceId, name: &ModelName, model: &Model) -> bool {
        let loaded = self.observations.get(instance).and_then(|w| w.report.loaded.as_ref());
        loaded.is_some_and(|own| &own.model == name && own.version == model.version)
    }

    fn leaving(&self) -> BTreeSet<InstanceId> {
        let leaving = self.list.iter().filter(|listed| listed.leaving);
        leaving.map(|listed| listed.instance.clone()).collect()
    }
}

/// Plans the next steps for one domain.
pub fn plan(view: &View<'_>, timers: &mut StewardTimers, rules: &StewardRules) -> Plan {
    let mut plan = Plan::default();
    ending::carry_out_ends(view, timers, rules, &mut plan);
    mending::mend_groups(view, timers, rules, &mut plan);
    forming::form_groups(view, rules, &mut plan);
    preloading::preload_spares(view, timers, rules, &mut plan);
    timers.forget_ended(view.state);
    plan
}
