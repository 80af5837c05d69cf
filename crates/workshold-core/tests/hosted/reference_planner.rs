//! Reference implementation of the planner without incremental updates: after each chosen change
//! it computes all candidates of all domains again. The planner must return the same plan.

use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::planner::Change;
use workshold_core::hosted::planner::Domain;
use workshold_core::hosted::planner::Host;
use workshold_core::hosted::planner::Limits;
use workshold_core::hosted::planner::Model;
use workshold_core::hosted::planner::ServingGroup;
use workshold_protocol::Millis;

/// How long the current request mix is expected to last.
const MIX_LIFETIME: Millis = Millis::from_secs(30);
/// Cost of one load of weights, in instance-seconds: every order has a price, and every change
/// can fail.
const LOAD_COST_INSTANCE_S: f64 = 0.2;
/// Cost of closing one group, in instance-seconds, for the same reasons.
const CLOSE_COST_INSTANCE_S: f64 = 1.0;
/// Probability that discarded weights are needed before they can be fetched again.
const WEIGHT_MISS_PROBABILITY: f64 = 0.5;
/// Most changes in one plan; the next plan has the others.
const MAX_CHANGES: usize = 4_096;

/// Returns the changes with the highest net gain, in the order in which they were chosen.
pub fn reference_plan(domains: &[Domain], models: &[Model], limits: Limits) -> Vec<Change> {
    let mut planner = Planner { domains: domains.to_vec(), models: models.to_vec(), limits };
    let mut changes = Vec::new();
    while changes.len() < MAX_CHANGES {
        let Some(change) = planner.best() else { break };
        planner.apply(&change);
        changes.push(change);
    }
    changes
}

struct Planner {
    domains: Vec<Domain>,
    models: Vec<Model>,
    limits: Limits,
}

impl Planner {
    fn best(&self) -> Option<Change> {
        let mut best: Option<(f64, Change)> = None;
        for domain in 0..self.domains.len() {
            for change in self.changes(domain) {
                let gain_per_instance = change.net_gain / change.members.len() as f64;
                if change.net_gain > 0.0
                    && best.as_ref().is_none_or(|(best_gain, _)| gain_per_instance > *best_gain)
                {
                    best = Some((gain_per_instance, change));
                }
            }
        }
        best.map(|(_, change)| change)
    }

    /// All candidate changes of one domain.
    fn changes(&self, domain: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        for model in 0..self.models.len() {
            changes.extend(self.form(domain, model));
            if !self.limits.may_close {
                continue;
            }
            let others = (0..self.models.len()).filter(|other| *other != model);
            for other in others {
                let max_closed = self.models[model].size.div_ceil(self.models[other].size);
                changes
                    .extend((1..=max_closed).filter_map(|n| self.convert(domain, model, other, n)));
            }
        }
        changes
    }

    /// Candidate: one more group of `model` from free instances.
    fn form(&self, domain: usize, model: usize) -> Option<Change> {
        let size = self.models[model].size;
        let members = self.soonest_ready(self.domains[domain].free.iter(), model, size)?;
        let gain = self.models[model].utility.gain(self.models[model].groups, 1.0);
        self.change(domain, model, &members, &[], gain, 0.0)
    }

    /// Candidate: `closed` groups of `other` are closed in favour of groups of `model`.
    fn convert(&self, domain: usize, model: usize, other: usize, closed: usize) -> Option<Change> {
        let donors = self.groups_to_close_for(domain, model, other, closed)?;
        let (own, donor) = (&self.models[model], &self.models[other]);
        let formed = (closed * donor.size / own.size).max(1);
        let from_groups = donors.iter().flat_map(|group| group.members.iter());
        let all: Vec<&Host> = self.domains[domain].free.iter().chain(from_groups).collect();
        let members = self.soonest_ready(all.iter().copied(), model, formed * own.size)?;
        let is_leftover = |host: &&&Host| !members.iter().any(|member| member.id == host.id);
        let can_reform = |host: &&&Host| !host.readiness[other].needs_load;
        let leftover = all.iter().filter(is_leftover).filter(can_reform).count();
        let reformed = (leftover / donor.size).min(closed);
        let net_change = reformed as f64 - closed as f64;
        let gain = own.utility_low.gain(own.groups, formed as f64)
            + donor.utility_high.gain(donor.groups, net_change);
        let without = donor.utility_high.gain(donor.groups, -(closed as f64));
        let closing = -without * donor.drain_time.as_secs_f64();
        let costs = closing + CLOSE_COST_INSTANCE_S * closed as f64;
        self.change(domain, model, &members, &donors, gain, costs)
    }

    /// The `count` groups whose members need the fewest loads to serve `model`.
    fn groups_to_close_for(
        &self,
        domain: usize,
        model: usize,
        other: usize,
        count: usize,
    ) -> Option<Vec<&ServingGroup>> {
        let serving_groups = self.domains[domain].serving_groups.iter();
        let mut donors: Vec<&ServingGroup> =
            serving_groups.filter(|group| group.model == other).collect();
        let load_count = |group: &ServingGroup| {
            group.members.iter().filter(|host| host.readiness[model].needs_load).count()
        };
        donors.sort_by_key(|group| (load_count(group), group.epoch));
        donors.truncate(count);
        (donors.len() == count).then_some(donors)
    }

    /// The `count` hosts that are ready for `model` soonest. Those that need not wait for an old
    /// head come first, so that one of them becomes the new head.
    fn soonest_ready<'a>(
        &self,
        hosts: impl Iterator<Item = &'a Host>,
        model: usize,
        count: usize,
    ) -> Option<Vec<&'a Host>> {
        let mut hosts: Vec<&Host> = hosts.collect();
        if hosts.len() < count {
            return None;
        }
        hosts.sort_by(|a, b| {
            a.readiness[model].cmp(&b.readiness[model]).then_with(|| a.id.cmp(&b.id))
        });
        hosts.truncate(count);
        hosts.sort_by_key(|host| host.readiness[model].waits_for_head);
        Some(hosts)
    }

    fn change(
        &self,
        domain: usize,
        model: usize,
        members: &[&Host],
        groups_to_close: &[&ServingGroup],
        gain: f64,
        costs: f64,
    ) -> Option<Change> {
        let needs_load =
            |host: &&&Host| host.readiness[model].needs_load && !self.limits.may_load_on_join;
        let loading_members: Vec<Identity> =
            members.iter().filter(needs_load).map(|host| host.id.clone()).collect();
        if loading_members.len() > self.limits.max_loads {
            return None;
        }
        let delay = members.iter().map(|host| host.readiness[model].delay).max()?;
        let lifetime_s = MIX_LIFETIME.since(delay).as_secs_f64();
        let lost = self.weights_lost(members, model);
        let costs = costs + lost + LOAD_COST_INSTANCE_S * loading_members.len() as f64;
        Some(Change {
            domain,
            model,
            members: members.iter().map(|host| host.id.clone()).collect(),
            groups_to_close: groups_to_close.iter().map(|group| group.epoch).collect(),
            loading_members,
            waits_for_weights: members.iter().any(|host| host.readiness[model].waits_for_weights),
            net_gain: gain * lifetime_s - costs,
        })
    }

    /// Cost of the weights that `members` lose by serving `model` and that another model may need
    /// before they can be fetched again.
    fn weights_lost(&self, members: &[&Host], model: usize) -> f64 {
        if self.limits.may_load_on_join {
            return 0.0;
        }
        let others = (0..self.models.len()).filter(|other| *other != model);
        let lost = others.map(|other| {
            let model_of = &self.models[other];
            let has_weights = |host: &&&Host| !host.readiness[other].needs_load;
            let loses_weights = |host: &&&Host| host.readiness[model] > host.readiness[other];
            let hosts = members.iter().filter(has_weights).filter(loses_weights).count() as f64;
            let gain_per_instance =
                model_of.utility.gain(model_of.groups, 1.0) / model_of.size as f64;
            hosts * gain_per_instance * model_of.load.as_secs_f64() * WEIGHT_MISS_PROBABILITY
        });
        lost.sum()
    }

    fn apply(&mut self, change: &Change) {
        let domain = &mut self.domains[change.domain];
        let (closed, kept): (Vec<ServingGroup>, Vec<ServingGroup>) = domain
            .serving_groups
            .drain(..)
            .partition(|group| change.groups_to_close.contains(&group.epoch));
        domain.serving_groups = kept;
        for group in closed {
            self.models[group.model].groups -= 1.0;
            domain.free.extend(group.members);
        }
        domain.free.retain(|host| !change.members.contains(&host.id));
        let model = &mut self.models[change.model];
        model.groups += (change.members.len() / model.size) as f64;
        self.limits.max_loads -= change.loading_members.len();
    }
}
