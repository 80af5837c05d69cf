//! Entry node of the group world: its position in the log, its observations and its planner state.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use workshold_core::fleet::Group;
use workshold_core::group_readiness;
use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::instance_list::InstanceList;
use workshold_core::observation::GroupObservation;
use workshold_core::observation::Observations;
use workshold_core::state::State;
use workshold_core::steward;
use workshold_core::steward::Plan;
use workshold_core::steward::StewardRules;
use workshold_core::steward::StewardTimers;
use workshold_core::steward::View;
use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::GroupMembership;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;
use workshold_protocol::report::Report;

use crate::groups::LogEntry;
use crate::groups::initial_state;
use crate::groups::instance::Instance;
use crate::mutation::Mutation;

/// A value that is derived from other fields, so equality and hash of states ignore it.
#[derive(Debug, Clone)]
pub(super) struct Derived<T>(Arc<T>);

impl<T> Derived<T> {
    pub(super) fn get(&self) -> &Arc<T> {
        &self.0
    }

    pub(super) fn set(&mut self, value: Arc<T>) {
        self.0 = value;
    }
}

impl<T> PartialEq for Derived<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<T> Eq for Derived<T> {}

impl<T> Hash for Derived<T> {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// Answers to probes, or to a query for group observations, that have not arrived yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DelayedAnswers {
    sent_at: Millis,
    reports: Vec<(usize, Report)>,
    group_observations: Vec<(GroupId, GroupObservation)>,
}

/// An entry node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Node {
    pub(super) is_steward: bool,
    /// Whether it is in another data centre. It then relies on group observations of the steward's
    /// node and doesn't probe instances.
    pub(super) is_remote: bool,
    /// Offset of the first log record that it has not read.
    pub(super) next_offset: usize,
    pub(super) state: Derived<State>,
    pub(super) observations: Observations,
    timers: StewardTimers,
    /// Facts of the steward's last plan that are yet to be appended.
    pub(super) pending: Option<LogEntry>,
    pub(super) delayed: Option<DelayedAnswers>,
}

fn reports(instances: &[Instance]) -> Vec<(usize, Report)> {
    let up = instances.iter().enumerate().filter(|(_, instance)| instance.is_up);
    up.map(|(i, instance)| (i, instance.report())).collect()
}

impl Node {
    pub(super) fn new(is_steward: bool, is_remote: bool, state: State) -> Self {
        Self {
            is_steward,
            is_remote,
            next_offset: state.next().0 as usize,
            state: Derived(Arc::new(state)),
            observations: Observations::default(),
            timers: StewardTimers::default(),
            pending: None,
            delayed: None,
        }
    }

    fn record_report(&mut self, i: usize, sent_at: Millis, report: Report) {
        // No rule depends on the arrival time, so the send time stands for it.
        self.observations.take(&initial_state::instance_id(i), sent_at, sent_at, report);
    }

    pub(super) fn probe(
        &mut self,
        instances: &[Instance],
        now: Millis,
        mutation: Option<Mutation>,
    ) {
        for (i, mut report) in reports(instances) {
            if self.is_steward && instances[i].is_hidden {
                continue;
            }
            if mutation == Some(Mutation::EndWhileBusy) {
                report.running = 0;
            }
            self.record_report(i, now, report);
        }
    }

    pub(super) fn delay_reports(&mut self, instances: &[Instance], now: Millis) {
        let reports = reports(instances);
        self.delayed =
            Some(DelayedAnswers { sent_at: now, reports, group_observations: Vec::new() });
    }

    /// Stores the other node's group observations as a delayed answer.
    pub(super) fn delay_group_observations(
        &mut self,
        group_observations: Vec<(GroupId, GroupObservation)>,
        now: Millis,
    ) {
        self.delayed =
            Some(DelayedAnswers { sent_at: now, reports: Vec::new(), group_observations });
    }

    /// The groups that this node has observed to be serving, for a node in another data centre.
    pub(super) fn group_observations(
        &self,
        now: Millis,
        rules: GroupReadinessRules,
    ) -> Vec<(GroupId, GroupObservation)> {
        let leaving = BTreeSet::new();
        let groups = self.state.get().fleet.groups();
        let serving = groups.filter(|g| {
            group_readiness::check_group(g, &self.observations, &leaving, now, rules).is_ok()
        });
        let group_observation = |group: &Group| {
            let members = group.members.iter();
            let reports = members.filter_map(|member| self.observations.get(&member.instance));
            let true_since = reports.map(|observation| observation.true_since).min()?;
            let (fence, load_since) = (group.fence, true_since);
            let group_observation =
                GroupObservation { fence, true_since, load_since, reported: 0, slots: 1 };
            Some((group.id.clone(), group_observation))
        };
        serving.filter_map(group_observation).collect()
    }

    pub(super) fn deliver(&mut self, now: Millis, mutation: Option<Mutation>) {
        let Some(delayed) = self.delayed.take() else { return };
        let sent_at = match mutation {
            Some(Mutation::CountFromArrival | Mutation::CountVouchersFromArrival) => now,
            _ => delayed.sent_at,
        };
        for (i, report) in delayed.reports {
            self.record_report(i, sent_at, report);
        }
        let group_observations =
            delayed.group_observations.into_iter().map(|(group, group_observation)| {
                // Keeps the age that the observation had when it was asked for.
                let true_since = sent_at - delayed.sent_at.since(group_observation.true_since);
                (group, GroupObservation { true_since, ..group_observation })
            });
        self.record_group_observations(group_observations.collect());
    }

    pub(super) fn record_group_observations(
        &mut self,
        group_observations: Vec<(GroupId, GroupObservation)>,
    ) {
        for (group, group_observation) in group_observations {
            self.observations.record_group(&group, group_observation);
        }
    }

    /// Records an order's reply as if it were a report ([`Mutation::TrustReplies`]).
    pub(super) fn trust_reply(
        &mut self,
        i: usize,
        instance: &Instance,
        order: &Order,
        now: Millis,
    ) {
        let OrderAction::Join(join) = &order.action else { return };
        let membership = GroupMembership {
            group: join.group.clone(),
            fence: order.fence,
            readiness: Readiness::Ready,
        };
        let report = Report { membership: Some(membership), ..instance.report() };
        self.record_report(i, now, report);
    }

    pub(super) fn plan(&mut self, rules: &StewardRules, list: &InstanceList, now: Millis) -> Plan {
        let domain = initial_state::domain();
        let state = Arc::clone(self.state.get());
        let view =
            View { domain: &domain, state: &state, observations: &self.observations, list, now };
        steward::plan(&view, &mut self.timers, rules)
    }

    /// The groups that it would send requests to, each with its fencing token and members.
    pub(super) fn serving(
        &self,
        leaving: &BTreeSet<InstanceId>,
        now: Millis,
        rules: GroupReadinessRules,
        mutation: Option<Mutation>,
    ) -> Vec<(GroupId, u64, Vec<InstanceId>)> {
        let rules = match mutation {
            Some(Mutation::BelieveOldReports) => GroupReadinessRules { report_ttl: Millis(1_000) },
            _ => rules,
        };
        let groups = self.state.get().fleet.groups().filter(|group| match mutation {
            Some(Mutation::GoByTheLogAlone) => group.is_active(),
            Some(Mutation::IgnoreIncarnation) => {
                let mut group = (*group).clone();
                for member in &mut group.members {
                    if let Some(observation) = self.observations.get(&member.instance) {
                        member.incarnation = observation.report.incarnation;
                    }
                }
                group_readiness::check_group(&group, &self.observations, leaving, now, rules)
                    .is_ok()
            }
            _ if self.is_remote => {
                group_readiness::check_remote_group(group, &self.observations, leaving, now, rules)
                    .is_ok()
            }
            _ => {
                group_readiness::check_group(group, &self.observations, leaving, now, rules).is_ok()
            }
        });
        groups
            .map(|group| {
                let members = group.members.iter().map(|member| member.instance.clone());
                (group.id.clone(), group.fence.0, members.collect())
            })
            .collect()
    }
}
