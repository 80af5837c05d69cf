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
//! The plan is a pure function of what all nodes see alike. So the stewards of different domains
//! compute the same plan without communicating, and each executes its own part.

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;

use super::capacity::Utility;
use super::identity::Identity;

/// What an instance needs before it can be a member of a group of one model.
///
/// The derived order ranks instances: those that come first are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ready {
    /// Whether the model's weights have to be fetched and no fetch has begun.
    pub needs_load: bool,
    /// Whether the weights are being fetched to the host.
    pub waits: bool,
    /// Time until it is ready, counted from the order to join, or from now if weights are being
    /// fetched.
    pub after: Millis,
    /// Whether the head of its last group has to leave that group first.
    pub is_bound: bool,
}

/// An instance that the plan can use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Identity of the instance.
    pub id: Identity,
    /// What it needs to serve each model, in the order of the models.
    pub ready: Vec<Ready>,
}

/// A group that serves requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Epoch of the group.
    pub epoch: u64,
    /// Index of the model that it serves.
    pub model: usize,
    /// Its members by rank, the head first.
    pub members: Vec<Host>,
}

/// A fabric domain, as input of the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Name of the domain.
    pub name: FabricDomain,
    /// Instances that are in no group.
    pub free: Vec<Host>,
    /// Groups that serve and may be closed.
    pub standing: Vec<Standing>,
}

/// A model, as input of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Number of instances in a group.
    pub size: usize,
    /// Utility of its groups at the estimated demand.
    pub utility: Utility,
    /// Utility if the demand is lower than estimated. Together with [`Self::utility_high`] it
    /// makes sure that a serving group is closed only if that pays off despite the estimate's
    /// error.
    pub utility_low: Utility,
    /// Utility if the demand is higher than estimated; see [`Self::utility_low`].
    pub utility_high: Utility,
    /// Number of groups that serve or are already being formed.
    pub groups: f64,
    /// Time that a closed group takes to drain.
    pub drain_time: Millis,
    /// Time to fetch its weights from the weight store.
    pub load: Millis,
}

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
    pub closes: Vec<u64>,
    /// Members that have to fetch weights first; nothing else is done before that.
    pub loads: Vec<Identity>,
    /// Whether some member's weights are being fetched and have to arrive first.
    pub waits: bool,
    /// Net gain of the change, in instance-seconds.
    pub brings: f64,
}

/// How long the current request mix is expected to last.
const LASTS: Millis = Millis::from_secs(30);
/// Cost of one load of weights, in instance-seconds: every order takes time, and every change
/// can fail.
const LOAD_COSTS: f64 = 0.2;
/// Cost of closing one group, in instance-seconds, for the same reasons.
const CLOSE_COSTS: f64 = 1.0;
/// Probability that discarded weights are needed before they can be fetched again.
const MISSED: f64 = 0.5;
/// Most changes in one plan; the next plan has the others.
const MOST_CHANGES: usize = 4_096;

/// Constraints on a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Whether serving groups may be closed.
    pub may_close: bool,
    /// Whether members may fetch weights as part of joining, which is fast before traffic.
    pub joins_load: bool,
    /// Most loads of weights in the whole plan.
    pub loads: usize,
}

/// Returns the changes with the highest net gain, in the order in which they were chosen.
///
/// Which changes a domain allows depends on that domain alone; only their net gain depends on
/// the changes chosen elsewhere. So each domain's candidates are computed once, and again only
/// for the domain whose change was chosen.
pub fn plan(domains: Vec<Domain>, models: &[Model], limits: Limits) -> Vec<Change> {
    let mut planner = Planner { ways: Vec::new(), domains, models: models.to_vec(), limits };
    planner.ways = (0..planner.domains.len()).map(|domain| planner.ways(domain)).collect();
    let mut changes = Vec::new();
    while changes.len() < MOST_CHANGES {
        let Some(change) = planner.best() else { break };
        planner.apply(&change);
        changes.push(change);
    }
    changes
}

/// A candidate change of a domain, without its net gain.
#[derive(Debug, Clone)]
struct Way {
    change: Change,
    kind: WayKind,
    /// Time until its groups serve.
    after: Millis,
    /// Number of its members that lose their weights, by model.
    lost: Vec<usize>,
}

#[derive(Debug, Clone, Copy)]
enum WayKind {
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
        fewer: f64,
    },
}

struct Planner {
    /// Candidate changes by domain.
    ways: Vec<Vec<Way>>,
    domains: Vec<Domain>,
    models: Vec<Model>,
    limits: Limits,
}

impl Planner {
    fn best(&self) -> Option<Change> {
        let mut best: Option<(f64, f64, &Way)> = None;
        for way in self.ways.iter().flatten() {
            let brings = self.brings(way);
            let each = brings / way.change.members.len() as f64;
            if brings > 0.0 && best.is_none_or(|(most, ..)| each > most) {
                best = Some((each, brings, way));
            }
        }
        best.map(|(_, brings, way)| Change { brings, ..way.change.clone() })
    }

    /// All candidate changes of one domain.
    fn ways(&self, domain: usize) -> Vec<Way> {
        let mut ways = Vec::new();
        for model in 0..self.models.len() {
            ways.extend(self.form(domain, model));
            if !self.limits.may_close {
                continue;
            }
            let others = (0..self.models.len()).filter(|other| *other != model);
            for other in others {
                let most = self.models[model].size.div_ceil(self.models[other].size);
                ways.extend((1..=most).filter_map(|n| self.convert(domain, model, other, n)));
            }
        }
        ways
    }

    /// Candidate: one more group of `model` from free instances.
    fn form(&self, domain: usize, model: usize) -> Option<Way> {
        let size = self.models[model].size;
        let members = self.soonest(self.domains[domain].free.iter(), model, size)?;
        self.way(domain, model, &members, &[], WayKind::Form)
    }

    /// Candidate: `closed` groups of `donor` are closed in favour of groups of `model`.
    fn convert(&self, domain: usize, model: usize, donor: usize, closed: usize) -> Option<Way> {
        let given = self.given(domain, model, donor, closed)?;
        let (own_size, donor_size) = (self.models[model].size, self.models[donor].size);
        let formed = (closed * donor_size / own_size).max(1);
        let from_groups = given.iter().flat_map(|group| group.members.iter());
        let all: Vec<&Host> = self.domains[domain].free.iter().chain(from_groups).collect();
        let members = self.soonest(all.iter().copied(), model, formed * own_size)?;
        let is_left = |host: &&&Host| !members.iter().any(|member| member.id == host.id);
        let can_return = |host: &&&Host| !host.ready[donor].needs_load;
        let left = all.iter().filter(is_left).filter(can_return).count();
        let returned = (left / donor_size).min(closed);
        let fewer = closed as f64 - returned as f64;
        let kind = WayKind::Convert { donor, closed, formed, fewer };
        self.way(domain, model, &members, &given, kind)
    }

    /// The `count` groups whose members need the fewest loads to serve `model`.
    fn given(
        &self,
        domain: usize,
        model: usize,
        other: usize,
        count: usize,
    ) -> Option<Vec<&Standing>> {
        let standing = self.domains[domain].standing.iter();
        let mut given: Vec<&Standing> = standing.filter(|group| group.model == other).collect();
        let loads = |group: &Standing| {
            group.members.iter().filter(|host| host.ready[model].needs_load).count()
        };
        given.sort_by_key(|group| (loads(group), group.epoch));
        given.truncate(count);
        (given.len() == count).then_some(given)
    }

    /// The `count` hosts that are ready for `model` soonest. Those that need not wait for an old
    /// head come first, so that one of them becomes the new head.
    fn soonest<'a>(
        &self,
        hosts: impl Iterator<Item = &'a Host>,
        model: usize,
        count: usize,
    ) -> Option<Vec<&'a Host>> {
        let mut hosts: Vec<&Host> = hosts.collect();
        if hosts.len() < count {
            return None;
        }
        hosts.sort_by(|a, b| a.ready[model].cmp(&b.ready[model]).then_with(|| a.id.cmp(&b.id)));
        hosts.truncate(count);
        hosts.sort_by_key(|host| host.ready[model].is_bound);
        Some(hosts)
    }

    fn way(
        &self,
        domain: usize,
        model: usize,
        members: &[&Host],
        closes: &[&Standing],
        kind: WayKind,
    ) -> Option<Way> {
        let needs_load = |host: &&&Host| host.ready[model].needs_load && !self.limits.joins_load;
        let loads = members.iter().filter(needs_load).map(|host| host.id.clone()).collect();
        let change = Change {
            domain,
            model,
            members: members.iter().map(|host| host.id.clone()).collect(),
            closes: closes.iter().map(|group| group.epoch).collect(),
            loads,
            waits: members.iter().any(|host| host.ready[model].waits),
            brings: 0.0,
        };
        let after = members.iter().map(|host| host.ready[model].after).max()?;
        let lost = (0..self.models.len()).map(|other| self.hosts_lost(members, model, other));
        Some(Way { change, kind, after, lost: lost.collect() })
    }

    /// Number of members that hold the weights of `other` now and lose them by serving `model`.
    fn hosts_lost(&self, members: &[&Host], model: usize, other: usize) -> usize {
        if self.limits.joins_load || other == model {
            return 0;
        }
        let has_it = |host: &&&Host| !host.ready[other].needs_load;
        let takes_up = |host: &&&Host| host.ready[model] > host.ready[other];
        members.iter().filter(has_it).filter(takes_up).count()
    }

    /// Net gain of a candidate given the changes chosen so far, in instance-seconds.
    fn brings(&self, way: &Way) -> f64 {
        let loads = way.change.loads.len();
        if loads > self.limits.loads {
            return 0.0;
        }
        let own = &self.models[way.change.model];
        let (gain, costs) = match way.kind {
            WayKind::Form => (own.utility.gain(own.groups, 1.0), 0.0),
            WayKind::Convert { donor, closed, formed, fewer } => {
                let donor = &self.models[donor];
                let gain = own.utility_low.gain(own.groups, formed as f64)
                    + donor.utility_high.gain(donor.groups, -fewer);
                let without = donor.utility_high.gain(donor.groups, -(closed as f64));
                let closing = -without * donor.drain_time.as_secs_f64();
                (gain, closing + CLOSE_COSTS * closed as f64)
            }
        };
        let lasts = LASTS.since(way.after).as_secs_f64();
        let costs = costs + self.weights_lost(way) + LOAD_COSTS * loads as f64;
        gain * lasts - costs
    }

    fn weights_lost(&self, way: &Way) -> f64 {
        let lost = self.models.iter().zip(&way.lost).filter(|(_, hosts)| **hosts > 0);
        let costs = lost.map(|(model, hosts)| {
            let each = model.utility.gain(model.groups, 1.0) / model.size as f64;
            *hosts as f64 * each * model.load.as_secs_f64() * MISSED
        });
        costs.sum()
    }

    fn apply(&mut self, change: &Change) {
        let domain = &mut self.domains[change.domain];
        let (closed, kept): (Vec<Standing>, Vec<Standing>) =
            domain.standing.drain(..).partition(|group| change.closes.contains(&group.epoch));
        domain.standing = kept;
        for group in closed {
            self.models[group.model].groups -= 1.0;
            domain.free.extend(group.members);
        }
        domain.free.retain(|host| !change.members.contains(&host.id));
        let model = &mut self.models[change.model];
        model.groups += (change.members.len() / model.size) as f64;
        self.limits.loads -= change.loads.len();
        self.ways[change.domain] = self.ways(change.domain);
    }
}
