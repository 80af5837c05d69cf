//! Plans which groups there should be in all domains, by greedy optimisation of utility.
//!
//! The utility of a model's groups ([`Utility`]) is the work that they complete within its latency
//! goals; it grows ever more slowly with their number. The net gain of a change is the gain in
//! utility for as long as the request mix is expected to last, less the change's costs: the time
//! until the new groups serve, the work lost while old groups drain, and the weights that hosts
//! lose. The planner repeatedly takes the change with the highest net gain per instance, until no
//! change has a positive one. There are no thresholds: the plan does not oscillate because every
//! change has a cost.
//!
//! Where a higher demand is remembered, the plan keeps what it needs: groups for it are formed of
//! instances that are free, but none is closed for it ([`plan_with_reserve`]).
//!
//! The plan is a pure function of what all nodes see alike. So the stewards of different domains
//! compute the same plan without communicating, and each executes its own part.

mod input;
mod reserve;

pub use self::input::Domain;
pub use self::input::Host;
pub use self::input::HostReadiness;
pub use self::input::Model;
pub use self::input::ServingGroup;
pub use self::input::models;
pub use self::reserve::Plan;
pub use self::reserve::plan_with_reserve;

use workshold_protocol::Millis;

use self::reserve::FormRule;
use super::identity::Identity;

/// A planned change of one domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Index of the domain in the planner's input.
    pub domain: usize,
    /// Index of the model whose groups are formed.
    pub model: usize,
    /// Members of the new groups, one group after the other, each with its head first.
    pub members: Vec<Identity>,
    /// Epochs of the groups that are closed first.
    pub groups_to_close: Vec<u64>,
    /// Members that have to fetch weights first; nothing else is done before that.
    pub loading_members: Vec<Identity>,
    /// Whether some member's weights are being fetched and have to arrive first.
    pub waits_for_weights: bool,
    /// Net gain of the change, in instance-seconds.
    pub net_gain: f64,
}

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

/// Constraints on a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Whether serving groups may be closed.
    pub may_close: bool,
    /// Whether members may fetch weights as part of joining, which is fast before traffic.
    pub may_load_on_join: bool,
    /// Most loads of weights in the whole plan.
    pub max_loads: usize,
}

/// Returns the changes with the highest net gain, in the order in which they were chosen.
///
/// Which changes a domain allows depends on that domain alone; only their net gain depends on
/// the changes chosen elsewhere. So each domain's candidates are computed once, and again only
/// for the domain whose change was chosen.
pub fn plan(domains: Vec<Domain>, models: &[Model], limits: Limits) -> Vec<Change> {
    Planner::new(domains, models, limits).choose_all()
}

/// A candidate change of a domain, without its net gain.
#[derive(Debug, Clone)]
struct Candidate {
    change: Change,
    kind: CandidateKind,
    /// Time until its groups serve.
    delay: Millis,
    /// Number of its members that lose their weights, by model.
    lost: Vec<usize>,
}

/// What a candidate does.
#[derive(Debug, Clone, Copy)]
enum CandidateKind {
    /// Form one more group.
    Form,
    /// Close groups of one model in favour of another.
    Convert {
        /// Index of the model whose groups are closed.
        donor: usize,
        /// Number of groups that are closed.
        closed: usize,
        /// Number of groups that are formed instead.
        formed: usize,
        /// Net loss of the donor's groups: leftover instances can form some of them again.
        net_closed: f64,
    },
}

/// A plan in progress: domains and models as they are after the changes chosen so far.
struct Planner {
    /// Candidate changes by domain.
    candidates: Vec<Vec<Candidate>>,
    domains: Vec<Domain>,
    models: Vec<Model>,
    limits: Limits,
    form_rule: FormRule,
}

impl Planner {
    fn new(domains: Vec<Domain>, models: &[Model], limits: Limits) -> Self {
        let mut planner = Self {
            candidates: Vec::new(),
            domains,
            models: models.to_vec(),
            limits,
            form_rule: FormRule::Present,
        };
        planner.compute_candidates();
        planner
    }

    /// Computes the candidates of all domains.
    fn compute_candidates(&mut self) {
        self.candidates = (0..self.domains.len()).map(|domain| self.candidates(domain)).collect();
    }

    /// Chooses and applies changes until none has a positive net gain.
    fn choose_all(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        while changes.len() < MAX_CHANGES {
            let Some((net_gain, candidate)) = self.best() else { break };
            let change = Change { net_gain, ..candidate.change.clone() };
            self.apply(&change);
            changes.push(change);
        }
        changes
    }

    /// The candidate with the highest net gain per instance, and its net gain; `None` if none has
    /// a positive one.
    fn best(&self) -> Option<(f64, &Candidate)> {
        let mut best: Option<(f64, f64, &Candidate)> = None;
        for candidate in self.candidates.iter().flatten() {
            let net_gain = self.net_gain(candidate);
            let gain_per_instance = net_gain / candidate.change.members.len() as f64;
            if net_gain > 0.0 && best.is_none_or(|(best_gain, ..)| gain_per_instance > best_gain) {
                best = Some((gain_per_instance, net_gain, candidate));
            }
        }
        best.map(|(_, net_gain, candidate)| (net_gain, candidate))
    }

    /// All candidate changes of one domain.
    fn candidates(&self, domain: usize) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for model in 0..self.models.len() {
            candidates.extend(self.form(domain, model));
            if !self.limits.may_close {
                continue;
            }
            let others = (0..self.models.len()).filter(|other| *other != model);
            for other in others {
                let needed = self.models[model].size.div_ceil(self.models[other].size);
                let max_closed = needed.min(self.serving_groups(domain, other).count());
                candidates
                    .extend((1..=max_closed).filter_map(|n| self.convert(domain, model, other, n)));
            }
        }
        candidates
    }

    /// Candidate: one more group of `model` from free instances.
    fn form(&self, domain: usize, model: usize) -> Option<Candidate> {
        let size = self.models[model].size;
        let members = self.soonest_ready(self.domains[domain].free.iter(), model, size)?;
        self.candidate(domain, model, &members, &[], CandidateKind::Form)
    }

    /// Candidate: `closed` groups of `donor` are closed in favour of groups of `model`.
    fn convert(
        &self,
        domain: usize,
        model: usize,
        donor: usize,
        closed: usize,
    ) -> Option<Candidate> {
        let donors = self.groups_to_close_for(domain, model, donor, closed)?;
        let (own_size, donor_size) = (self.models[model].size, self.models[donor].size);
        let formed = (closed.saturating_mul(donor_size) / own_size).max(1);
        let from_groups = donors.iter().flat_map(|group| group.members.iter());
        let all: Vec<&Host> = self.domains[domain].free.iter().chain(from_groups).collect();
        let members = self.soonest_ready(all.iter().copied(), model, formed * own_size)?;
        let is_leftover = |host: &&&Host| !members.iter().any(|member| member.id == host.id);
        let can_reform = |host: &&&Host| !host.readiness[donor].needs_load;
        let leftover = all.iter().filter(is_leftover).filter(can_reform).count();
        let reformed = (leftover / donor_size).min(closed);
        let net_closed = closed as f64 - reformed as f64;
        let kind = CandidateKind::Convert { donor, closed, formed, net_closed };
        self.candidate(domain, model, &members, &donors, kind)
    }

    /// The groups of `model` that serve in a domain.
    fn serving_groups(&self, domain: usize, model: usize) -> impl Iterator<Item = &ServingGroup> {
        self.domains[domain].serving_groups.iter().filter(move |group| group.model == model)
    }

    /// The `count` groups whose members need the fewest loads to serve `model`.
    fn groups_to_close_for(
        &self,
        domain: usize,
        model: usize,
        other: usize,
        count: usize,
    ) -> Option<Vec<&ServingGroup>> {
        let mut donors: Vec<&ServingGroup> = self.serving_groups(domain, other).collect();
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

    /// Builds a candidate; its delay is that of the last member to be ready.
    fn candidate(
        &self,
        domain: usize,
        model: usize,
        members: &[&Host],
        groups_to_close: &[&ServingGroup],
        kind: CandidateKind,
    ) -> Option<Candidate> {
        let needs_load =
            |host: &&&Host| host.readiness[model].needs_load && !self.limits.may_load_on_join;
        let loading_members =
            members.iter().filter(needs_load).map(|host| host.id.clone()).collect();
        let change = Change {
            domain,
            model,
            members: members.iter().map(|host| host.id.clone()).collect(),
            groups_to_close: groups_to_close.iter().map(|group| group.epoch).collect(),
            loading_members,
            waits_for_weights: members.iter().any(|host| host.readiness[model].waits_for_weights),
            net_gain: 0.0,
        };
        let delay = members.iter().map(|host| host.readiness[model].delay).max()?;
        let lost =
            (0..self.models.len()).map(|other| self.hosts_losing_weights(members, model, other));
        Some(Candidate { change, kind, delay, lost: lost.collect() })
    }

    /// Number of members that hold the weights of `other` now and lose them by serving `model`.
    fn hosts_losing_weights(&self, members: &[&Host], model: usize, other: usize) -> usize {
        if self.limits.may_load_on_join || other == model {
            return 0;
        }
        let has_weights = |host: &&&Host| !host.readiness[other].needs_load;
        let loses_weights = |host: &&&Host| host.readiness[model] > host.readiness[other];
        members.iter().filter(has_weights).filter(loses_weights).count()
    }

    /// Net gain of a candidate given the changes chosen so far, in instance-seconds.
    fn net_gain(&self, candidate: &Candidate) -> f64 {
        let loads = candidate.change.loading_members.len();
        if loads > self.limits.max_loads {
            return 0.0;
        }
        if self.exceeds_reserve_loads(candidate) {
            return 0.0;
        }
        let own = &self.models[candidate.change.model];
        let (gain, costs) = match candidate.kind {
            CandidateKind::Form => (self.forming_gain(own), 0.0),
            CandidateKind::Convert { donor, closed, formed, net_closed } => {
                let donor = &self.models[donor];
                let gain = own.utility_low.gain(own.groups, formed as f64)
                    + donor.closing_gain(net_closed);
                let without = donor.closing_gain(closed as f64);
                let closing = -without * donor.drain_time.as_secs_f64();
                (gain, closing + CLOSE_COST_INSTANCE_S * closed as f64)
            }
        };
        let lifetime_s = MIX_LIFETIME.since(candidate.delay).as_secs_f64();
        gain * lifetime_s - (costs + self.forming_costs(candidate))
    }

    /// Cost of the loads that a candidate needs and of the weights that its members lose, in
    /// instance-seconds.
    fn forming_costs(&self, candidate: &Candidate) -> f64 {
        let loads = candidate.change.loading_members.len();
        self.weights_lost(candidate) + LOAD_COST_INSTANCE_S * loads as f64
    }

    /// Cost of the weights that members lose and that may be needed before they can be fetched
    /// again, in instance-seconds.
    fn weights_lost(&self, candidate: &Candidate) -> f64 {
        let lost = self.models.iter().zip(&candidate.lost).filter(|(_, hosts)| **hosts > 0);
        let costs = lost.map(|(model, hosts)| {
            let gain_per_instance = self.weights_gain(model) / model.size as f64;
            *hosts as f64 * gain_per_instance * model.load.as_secs_f64() * WEIGHT_MISS_PROBABILITY
        });
        costs.sum()
    }

    /// Applies a chosen change, so that the next ones are planned on top of it.
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
        self.candidates[change.domain] = self.candidates(change.domain);
    }
}
