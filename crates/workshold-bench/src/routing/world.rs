//! Groups, nodes and requests in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::outlier::OutlierDetector;
use workshold_core::outlier::OutlierRules;
use workshold_core::prefix::PrefixChain;
use workshold_core::rendezvous;
use workshold_core::routing::Candidate;
use workshold_core::routing::Router;
use workshold_core::routing::RoutingRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;

/// A deployment and its load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setup {
    pub(super) nodes: usize,
    pub(super) groups: usize,
    pub(super) slots: u32,
    /// Tokens of an answer.
    pub(super) tokens: u32,
    /// Step of an empty group, and what a full batch adds to it, in ms.
    pub(super) step_ms: (f64, f64),
    /// Prefilling one block that is not cached, in ms.
    pub(super) block_ms: f64,
    /// Prefixes that prompts share, and blocks of each.
    pub(super) prefixes: usize,
    pub(super) blocks: usize,
    /// Prefixes that a group's cache holds.
    pub(super) cached: usize,
    /// Skew of the prefixes.
    pub(super) zipf: f64,
    /// Requests a second, as a share of what the slots can take.
    pub(super) load: f64,
    pub(super) secs: u64,
    pub(super) slow_group: bool,
    /// Share of the groups that is lost half-way.
    pub(super) lost_share: f64,
}

impl Setup {
    pub(super) fn today(secs: u64) -> Self {
        Self {
            nodes: 9,
            groups: 12,
            slots: 32,
            tokens: 120,
            step_ms: (12.0, 18.0),
            block_ms: 4.0,
            prefixes: 400,
            blocks: 32,
            cached: 60,
            zipf: 0.9,
            load: 0.7,
            secs,
            slow_group: false,
            lost_share: 0.0,
        }
    }

    /// 57 groups of 16 instances; 3,100 requests and 1.4 million tokens a second.
    pub(super) fn next(secs: u64) -> Self {
        Self {
            nodes: 350,
            groups: 57,
            slots: 1_280,
            tokens: 450,
            step_ms: (14.0, 26.0),
            block_ms: 0.5,
            prefixes: 20_000,
            blocks: 32,
            cached: 1_200,
            ..Self::today(secs)
        }
    }

    fn rate_per_s(&self) -> f64 {
        let step = self.step_ms.0 + self.step_ms.1 * self.load;
        let held_secs = f64::from(self.tokens) * step / 1000.0;
        self.load * f64::from(self.slots) * self.groups as f64 / held_secs
    }
}

/// How a group is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Policy {
    Random,
    RoundRobin,
    LeastLoaded,
    TwoChoices,
    PureAffinity,
    Shipped,
}

impl Policy {
    pub(super) const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::TwoChoices,
        Self::PureAffinity,
        Self::Shipped,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::TwoChoices => "two choices",
            Self::PureAffinity => "pure affinity",
            Self::Shipped => "shipped",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: f64,
    prefix: usize,
    node: usize,
}

#[derive(Debug)]
struct Group {
    id: GroupId,
    running: u32,
    waiting: VecDeque<Request>,
    prefill_free: f64,
    cache: VecDeque<usize>,
    /// Load as it was at each report.
    reports: VecDeque<(u64, u32)>,
    is_lost: bool,
    slow: f64,
    sum_load: f64,
    samples: u32,
}

#[derive(Debug)]
struct Node {
    router: Router,
    outliers: OutlierDetector<GroupId>,
    turn: usize,
}

/// What happens next; ordered by time, then by number.
type Event = Reverse<(u64, u64, Happening)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive,
    End { group: usize, node: usize, first_ms: u64 },
    Report,
    Lose,
}

const REPORT_EVERY_MS: u64 = 500;
/// The first part of a run fills the caches and is not counted.
const WARM_UP_PART: f64 = 0.25;
const PER_MS: f64 = 100.0;

pub(super) struct World {
    setup: Setup,
    lag_ms: u64,
    policy: Policy,
    rng: ChaCha8Rng,
    groups: Vec<Group>,
    nodes: Vec<Node>,
    chains: Vec<PrefixChain>,
    weights: Vec<f64>,
    events: BinaryHeap<Event>,
    next_event: u64,
    first: Histogram<u64>,
    between: Histogram<u64>,
    hits: u64,
    lookups: u64,
}

impl World {
    pub(super) fn new(setup: Setup, lag_ms: u64, policy: Policy, seed: u64) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let group = |i: usize| Group {
            id: GroupId::new(&format!("group-{i}")).expect("it is a name"),
            running: 0,
            waiting: VecDeque::new(),
            prefill_free: 0.0,
            cache: VecDeque::new(),
            reports: VecDeque::from([(0, 0)]),
            is_lost: false,
            slow: if setup.slow_group && i == 0 { 4.0 } else { 1.0 },
            sum_load: 0.0,
            samples: 0,
        };
        let node = |_| Node {
            router: Router::new(RoutingRules::default()),
            outliers: OutlierDetector::new(OutlierRules::default()),
            turn: 0,
        };
        let chain = |prefix: usize| {
            let hashes = (0..setup.blocks)
                .map(|block| rendezvous::weight(&prefix.to_le_bytes(), &block.to_le_bytes()));
            PrefixChain::from_hashes(hashes.collect())
        };
        let weights = (1..=setup.prefixes).map(|rank| (rank as f64).powf(-setup.zipf));
        let mut cumulative = 0.0;
        let weights = weights.map(|weight| {
            cumulative += weight;
            cumulative
        });
        Self {
            setup,
            lag_ms,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            groups: (0..setup.groups).map(group).collect(),
            nodes: (0..setup.nodes).map(node).collect(),
            weights: weights.collect(),
            chains: (0..setup.prefixes).map(chain).collect(),
            events: BinaryHeap::new(),
            next_event: 0,
            first: histogram(),
            between: histogram(),
            hits: 0,
            lookups: 0,
        }
    }

    /// Runs to the end; gives the figures in the order of the columns.
    pub(super) fn run(mut self) -> Vec<f64> {
        let end_us = self.setup.secs * 1_000_000;
        self.at(0, Happening::Arrive);
        self.at(REPORT_EVERY_MS * 1000, Happening::Report);
        if self.setup.lost_share > 0.0 {
            self.at(end_us / 2, Happening::Lose);
        }
        while let Some(Reverse((now_us, _, happening))) = self.events.pop() {
            if now_us > end_us {
                break;
            }
            let now = now_us as f64 / 1000.0;
            match happening {
                Happening::Arrive => self.arrive(now),
                Happening::End { group, node, first_ms } => self.end(group, node, first_ms, now),
                Happening::Report => self.report(now),
                Happening::Lose => self.lose(),
            }
        }
        let quantile = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / PER_MS;
        let loads: Vec<_> = self
            .groups
            .iter()
            .filter(|group| !group.is_lost)
            .map(|group| group.sum_load / f64::from(group.samples.max(1)))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let worst = loads.iter().copied().fold(0.0, f64::max);
        vec![
            quantile(&self.first, 0.5),
            quantile(&self.first, 0.95),
            quantile(&self.first, 0.99),
            quantile(&self.between, 0.95),
            self.hits as f64 / self.lookups.max(1) as f64,
            worst / mean.max(f64::MIN_POSITIVE),
        ]
    }

    fn at(&mut self, us: u64, happening: Happening) {
        self.next_event += 1;
        self.events.push(Reverse((us, self.next_event, happening)));
    }

    fn is_counted(&self, now: f64) -> bool {
        now > self.setup.secs as f64 * 1000.0 * WARM_UP_PART
    }

    fn arrive(&mut self, now: f64) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.setup.rate_per_s();
        self.at(((now / 1000.0 + gap) * 1e6) as u64, Happening::Arrive);
        let total = self.weights.last().copied().unwrap_or(1.0);
        let draw = self.rng.random::<f64>() * total;
        let prefix = self.weights.partition_point(|weight| *weight < draw);
        let node = self.rng.random_range(0..self.setup.nodes);
        let request = Request { arrived: now, prefix, node };
        let Some(group) = self.choose(&request, now) else { return };
        let id = self.groups[group].id.clone();
        let chain = &self.chains[request.prefix];
        self.nodes[node].router.on_sent(chain, &id, Millis(now as u64));
        if self.groups[group].running < self.setup.slots {
            self.start(group, request, now);
        } else {
            self.groups[group].waiting.push_back(request);
        }
    }

    fn choose(&mut self, request: &Request, now: f64) -> Option<usize> {
        let up: Vec<_> = (0..self.groups.len()).filter(|i| !self.groups[*i].is_lost).collect();
        let node = request.node;
        match self.policy {
            Policy::Random => up.get(self.rng.random_range(0..up.len())).copied(),
            Policy::RoundRobin => {
                self.nodes[node].turn += 1;
                up.get(self.nodes[node].turn % up.len()).copied()
            }
            Policy::LeastLoaded => {
                up.iter().copied().min_by(|a, b| self.seen(*a).total_cmp(&self.seen(*b)))
            }
            Policy::TwoChoices => {
                let pick = |rng: &mut ChaCha8Rng| up[rng.random_range(0..up.len())];
                let (a, b) = (pick(&mut self.rng), pick(&mut self.rng));
                Some(if self.seen(a) <= self.seen(b) { a } else { b })
            }
            Policy::PureAffinity => {
                let key = self.chains[request.prefix].root().to_le_bytes();
                let weight =
                    |i: &usize| rendezvous::weight(&key, self.groups[*i].id.as_str().as_bytes());
                up.into_iter().max_by_key(weight)
            }
            Policy::Shipped => self.shipped(request, &up, now),
        }
    }

    fn shipped(&self, request: &Request, up: &[usize], now: f64) -> Option<usize> {
        let node = &self.nodes[request.node];
        let candidates: Vec<_> =
            up.iter().map(|i| self.candidate(node, *i, Millis(now as u64))).collect();
        let chosen = node.router.choose(&self.chains[request.prefix], &candidates)?;
        up.iter().copied().find(|i| &self.groups[*i].id == chosen)
    }

    fn candidate<'a>(&'a self, node: &Node, i: usize, now: Millis) -> Candidate<'a> {
        let group = &self.groups[i];
        let (at, reported) = group.reports.front().copied().unwrap_or_default();
        Candidate {
            group: &group.id,
            reported,
            true_since: Millis(at),
            slots: self.setup.slots,
            worth: 1.0,
            is_remote: false,
            is_ejected: node.outliers.is_ejected(&group.id, now),
        }
    }

    /// A group's load as a node without the shipped correction sees it.
    fn seen(&self, group: usize) -> f64 {
        f64::from(self.groups[group].reports.front().map_or(0, |(_, load)| *load))
    }

    fn start(&mut self, i: usize, request: Request, now: f64) {
        let setup = self.setup;
        let is_counted = self.is_counted(now);
        let group = &mut self.groups[i];
        group.running += 1;
        let is_hit = group.cache.contains(&request.prefix);
        group.cache.retain(|cached| *cached != request.prefix);
        group.cache.push_back(request.prefix);
        if group.cache.len() > setup.cached {
            group.cache.pop_front();
        }
        let missing = if is_hit { 1 } else { setup.blocks };
        let prefill = missing as f64 * setup.block_ms * group.slow;
        group.prefill_free = group.prefill_free.max(now) + prefill;
        let fill = f64::from(group.running) / f64::from(setup.slots);
        let step = (setup.step_ms.0 + setup.step_ms.1 * fill) * group.slow;
        let first_ms = group.prefill_free + step - request.arrived;
        let end_ms = group.prefill_free + step * f64::from(setup.tokens);
        if is_counted {
            self.lookups += 1;
            self.hits += u64::from(is_hit);
            let _ = self.first.record((first_ms * PER_MS) as u64);
            let _ = self.between.record((step * PER_MS) as u64);
        }
        let end = Happening::End { group: i, node: request.node, first_ms: first_ms as u64 };
        self.at((end_ms * 1000.0) as u64, end);
    }

    fn end(&mut self, i: usize, node: usize, first_ms: u64, now: f64) {
        let at = Millis(now as u64);
        let id = self.groups[i].id.clone();
        self.nodes[node].router.on_done(&id, at);
        self.nodes[node].outliers.on_answer(&id, Millis(first_ms), at);
        self.groups[i].running = self.groups[i].running.saturating_sub(1);
        if let Some(next) = self.groups[i].waiting.pop_front() {
            self.start(i, next, now);
        }
    }

    fn report(&mut self, now: f64) {
        self.at(((now + REPORT_EVERY_MS as f64) * 1000.0) as u64, Happening::Report);
        let (is_counted, lag_ms) = (self.is_counted(now), self.lag_ms);
        for group in &mut self.groups {
            let load = group.running + group.waiting.len() as u32;
            group.reports.push_back((now as u64, load));
            let is_shown = |at: u64| at + lag_ms <= now as u64;
            while group.reports.get(1).is_some_and(|(at, _)| is_shown(*at)) {
                group.reports.pop_front();
            }
            if is_counted {
                group.sum_load += f64::from(load);
                group.samples += 1;
            }
        }
    }

    fn lose(&mut self) {
        let count = (self.groups.len() as f64 * self.setup.lost_share).round() as usize;
        for group in self.groups.iter_mut().take(count) {
            group.is_lost = true;
            group.waiting.clear();
        }
    }
}
