//! Which groups there should be: a plan for all domains, from what groups are worth.
//!
//! Groups of each model are worth what they serve in time ([`Utility`]); that grows ever
//! more slowly with their number. A change brings the difference for as long as the mix
//! of requests is likely to last, less what it costs: the time until the new groups
//! serve, the work of groups that are closed meanwhile, and weights that hosts lose. The
//! change that brings most for each instance is taken, again and again, until none
//! brings anything. There are no thresholds: what keeps the mix from swinging is that
//! every change has its cost.
//!
//! A pure function of what all nodes see alike, so that the stewards of different
//! domains come to the same plan without asking each other; each carries out its part.

use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;

use super::capacity::Utility;
use super::identity::Identity;

/// What it takes until an instance can be part of a group of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ready {
    /// Whether its weights have to be fetched, and nobody has begun to.
    pub needs_load: bool,
    /// Whether its weights are on their way to the host.
    pub waits: bool,
    /// How long until it is ready, from when it is told to join; from now on if it
    /// fetches weights.
    pub after: Millis,
    /// Whether the head of its last group has to leave first.
    pub is_bound: bool,
}

/// An instance that may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Its id.
    pub id: Identity,
    /// What it takes, by model.
    pub ready: Vec<Ready>,
}

/// A group that serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Its formation.
    pub epoch: u64,
    /// Which model it serves.
    pub model: usize,
    /// Its members, the head first.
    pub members: Vec<Host>,
}

/// A fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Domain {
    /// Its name.
    pub name: FabricDomain,
    /// Instances in no group.
    pub free: Vec<Host>,
    /// Groups that serve and could be given up.
    pub standing: Vec<Standing>,
}

/// A model as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Instances of a group.
    pub size: usize,
    /// What groups of it are worth.
    pub utility: Utility,
    /// The same if less is asked than it seems, and if more is: groups that serve are
    /// closed only for what pays all the same.
    pub utility_low: Utility,
    /// See [`Self::utility_low`].
    pub utility_high: Utility,
    /// Groups that serve, or will without anything being done.
    pub groups: f64,
    /// How long a group that is closed takes to finish what it has.
    pub drain_time: Millis,
    /// Fetching its weights.
    pub load: Millis,
}

/// One change.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Where: the place of the domain among those that were given.
    pub domain: usize,
    /// Of which model groups are formed.
    pub model: usize,
    /// Who forms them, in order; as many groups as they make up.
    pub members: Vec<Identity>,
    /// Groups that are closed for it, by formation.
    pub closes: Vec<u64>,
    /// Who has to fetch weights first; until then nothing else happens.
    pub loads: Vec<Identity>,
    /// Whether weights are on their way that have to come first.
    pub waits: bool,
    /// What it brings, in seconds of an instance.
    pub brings: f64,
}

/// How long a mix of requests is likely to last.
const LASTS: Millis = Millis::from_secs(30);
/// What fetching weights costs, and every group that is closed, in seconds of an
/// instance: orders have their price, and whatever is changed may fail.
const LOAD_COSTS: f64 = 0.2;
const CLOSE_COSTS: f64 = 1.0;
/// How likely weights that are given up are missed before they can be fetched again.
const MISSED: f64 = 0.5;
/// More changes than this at once are a matter for the next look.
const MOST_CHANGES: usize = 4_096;

/// What may be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Whether groups that serve may be closed.
    pub may_close: bool,
    /// Whether weights may be fetched as part of joining: before traffic that is quick.
    pub joins_load: bool,
    /// Loads that may be wanted in all.
    pub loads: usize,
}

/// The changes that bring most, in the order in which they were chosen.
///
/// What a change of a domain is made of depends on that domain alone; only its worth
/// changes with what is done elsewhere. So the ways to change a domain are worked out once,
/// and anew for the domain whose change was chosen.
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

/// A way to change a domain, all but its worth.
#[derive(Debug, Clone)]
struct Way {
    change: Change,
    kind: WayKind,
    /// How long until its groups serve.
    after: Millis,
    /// How many of its members lose the weights of each model.
    lost: Vec<usize>,
}

#[derive(Debug, Clone, Copy)]
enum WayKind {
    /// One more group.
    Form,
    /// Groups are closed for others.
    Convert {
        /// Whose groups are closed.
        donor: usize,
        /// How many.
        closed: usize,
        /// Groups that are formed instead.
        formed: usize,
        /// How many fewer of the donor's there are then: some of its members return.
        fewer: f64,
    },
}

struct Planner {
    /// By domain.
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

    /// All ways to change one domain that are weighed.
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

    /// One more group out of instances that are free.
    fn form(&self, domain: usize, model: usize) -> Option<Way> {
        let size = self.models[model].size;
        let members = self.soonest(self.domains[domain].free.iter(), model, size)?;
        self.way(domain, model, &members, &[], WayKind::Form)
    }

    /// Groups of `donor`, `closed` of them, are given up for groups of `model`.
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

    /// The groups whose members are of use soonest.
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

    /// The `count` that are ready soonest; heads come first that need not leave another
    /// group.
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

    /// How many hosts that take up `model` no longer have what `other` may need before it
    /// can be fetched again.
    fn hosts_lost(&self, members: &[&Host], model: usize, other: usize) -> usize {
        if self.limits.joins_load || other == model {
            return 0;
        }
        let has_it = |host: &&&Host| !host.ready[other].needs_load;
        let takes_up = |host: &&&Host| host.ready[model] > host.ready[other];
        members.iter().filter(has_it).filter(takes_up).count()
    }

    /// What a way brings as things stand, in seconds of an instance.
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
