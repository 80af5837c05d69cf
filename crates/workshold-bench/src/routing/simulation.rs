//! Discrete-event simulation of groups, nodes and requests in virtual time.

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
pub(super) struct Scenario {
    pub(super) nodes: usize,
    pub(super) groups: usize,
    pub(super) slots: u32,
    /// Tokens in each answer.
    pub(super) tokens: u32,
    /// Duration of a decoding step in an empty group, and what a full batch adds to it, in ms.
    pub(super) step_ms: (f64, f64),
    /// Time to prefill one block that is not cached, in ms.
    pub(super) block_ms: f64,
    /// Number of distinct prompt prefixes, and blocks in each.
    pub(super) prefixes: usize,
    pub(super) blocks: usize,
    /// Number of prefixes that a group's cache holds.
    pub(super) cached: usize,
    /// Exponent of the Zipf distribution of the prefixes; 0 is uniform.
    pub(super) zipf: f64,
    /// Rate of requests, as a fraction of what the slots can take.
    pub(super) load: f64,
    pub(super) secs: u64,
    /// Whether one group runs at a quarter of the speed.
    pub(super) slow_group: bool,
    /// Fraction of the groups that fails halfway through the run.
    pub(super) lost_fraction: f64,
}

impl Scenario {
    pub(super) fn current_size(secs: u64) -> Self {
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
            lost_fraction: 0.0,
        }
    }

    /// 57 groups of 16 instances; 3,100 requests and 1.4 million tokens per second.
    pub(super) fn larger_size(secs: u64) -> Self {
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
            ..Self::current_size(secs)
        }
    }

    /// Requests per second that lead to the load of the scenario.
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
    arrived_at_ms: f64,
    prefix: usize,
    node: usize,
}

#[derive(Debug)]
struct Group {
    id: GroupId,
    running: u32,
    waiting: VecDeque<Request>,
    /// When the group has prefilled all prompts so far, in ms.
    prefill_free_at_ms: f64,
    /// Cached prefixes, the least recently used first.
    cache: VecDeque<usize>,
    /// Time (ms) and load of each report; the first is the latest that nodes have received.
    reports: VecDeque<(u64, u32)>,
    has_failed: bool,
    /// Factor by which the group is slower than the others.
    slowdown: f64,
    load_sum: f64,
    samples: u32,
}

#[derive(Debug)]
struct Node {
    router: Router,
    outliers: OutlierDetector<GroupId>,
    next_turn: usize,
}

/// A scheduled event: time in µs, sequence number as a tie-breaker, and the event. Reversed,
/// because the heap pops the largest item.
type QueuedEvent = Reverse<(u64, u64, Event)>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    End { group: usize, node: usize, first_token_ms: u64 },
    Report,
    FailGroups,
}

const REPORT_INTERVAL_MS: u64 = 500;
/// Fraction of the run that fills the caches and is left out of the figures.
const WARM_UP_FRACTION: f64 = 0.25;
/// Resolution of the histograms of latencies.
const HISTOGRAM_UNITS_PER_MS: f64 = 100.0;

pub(super) struct Simulation {
    scenario: Scenario,
    lag_ms: u64,
    policy: Policy,
    rng: ChaCha8Rng,
    groups: Vec<Group>,
    nodes: Vec<Node>,
    prefix_chains: Vec<PrefixChain>,
    /// Cumulative weights of the prefixes, by which they are drawn.
    cumulative_weights: Vec<f64>,
    events: BinaryHeap<QueuedEvent>,
    next_event: u64,
    time_to_first_token: Histogram<u64>,
    time_between_tokens: Histogram<u64>,
    hits: u64,
    lookups: u64,
}

impl Simulation {
    pub(super) fn new(scenario: Scenario, lag_ms: u64, policy: Policy, seed: u64) -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are allowed");
        let group = |i: usize| Group {
            id: GroupId::new(&format!("group-{i}")).expect("the name is valid"),
            running: 0,
            waiting: VecDeque::new(),
            prefill_free_at_ms: 0.0,
            cache: VecDeque::new(),
            reports: VecDeque::from([(0, 0)]),
            has_failed: false,
            slowdown: if scenario.slow_group && i == 0 { 4.0 } else { 1.0 },
            load_sum: 0.0,
            samples: 0,
        };
        let node = |_| Node {
            router: Router::new(RoutingRules::default()),
            outliers: OutlierDetector::new(OutlierRules::default()),
            next_turn: 0,
        };
        let chain = |prefix: usize| {
            let hashes = (0..scenario.blocks)
                .map(|block| rendezvous::weight(&prefix.to_le_bytes(), &block.to_le_bytes()));
            PrefixChain::from_hashes(hashes.collect())
        };
        let weights = (1..=scenario.prefixes).map(|rank| (rank as f64).powf(-scenario.zipf));
        let mut cumulative = 0.0;
        let weights = weights.map(|weight| {
            cumulative += weight;
            cumulative
        });
        Self {
            scenario,
            lag_ms,
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            groups: (0..scenario.groups).map(group).collect(),
            nodes: (0..scenario.nodes).map(node).collect(),
            cumulative_weights: weights.collect(),
            prefix_chains: (0..scenario.prefixes).map(chain).collect(),
            events: BinaryHeap::new(),
            next_event: 0,
            time_to_first_token: histogram(),
            time_between_tokens: histogram(),
            hits: 0,
            lookups: 0,
        }
    }

    /// Runs to the end and returns the figures in the order of the columns.
    pub(super) fn run(mut self) -> Vec<f64> {
        let end_us = self.scenario.secs * 1_000_000;
        self.schedule(0, Event::Arrive);
        self.schedule(REPORT_INTERVAL_MS * 1000, Event::Report);
        if self.scenario.lost_fraction > 0.0 {
            self.schedule(end_us / 2, Event::FailGroups);
        }
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us > end_us {
                break;
            }
            let now = now_us as f64 / 1000.0;
            match event {
                Event::Arrive => self.arrive(now),
                Event::End { group, node, first_token_ms } => {
                    self.end(group, node, first_token_ms, now)
                }
                Event::Report => self.report(now),
                Event::FailGroups => self.fail_groups(),
            }
        }
        let quantile =
            |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / HISTOGRAM_UNITS_PER_MS;
        let loads: Vec<_> = self
            .groups
            .iter()
            .filter(|group| !group.has_failed)
            .map(|group| group.load_sum / f64::from(group.samples.max(1)))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let worst = loads.iter().copied().fold(0.0, f64::max);
        vec![
            quantile(&self.time_to_first_token, 0.5),
            quantile(&self.time_to_first_token, 0.95),
            quantile(&self.time_to_first_token, 0.99),
            quantile(&self.time_between_tokens, 0.95),
            self.hits as f64 / self.lookups.max(1) as f64,
            worst / mean.max(f64::MIN_POSITIVE),
        ]
    }

    /// Schedules an event at a time in µs.
    fn schedule(&mut self, us: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((us, self.next_event, event)));
    }

    /// Whether figures count at this time (ms).
    fn is_after_warm_up(&self, now: f64) -> bool {
        now > self.scenario.secs as f64 * 1000.0 * WARM_UP_FRACTION
    }

    /// Schedules the next arrival, then routes a new request and starts or queues it.
    fn arrive(&mut self, now: f64) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.scenario.rate_per_s();
        self.schedule(((now / 1000.0 + gap) * 1e6) as u64, Event::Arrive);
        let total = self.cumulative_weights.last().copied().unwrap_or(1.0);
        let draw = self.rng.random::<f64>() * total;
        let prefix = self.cumulative_weights.partition_point(|weight| *weight < draw);
        let node = self.rng.random_range(0..self.scenario.nodes);
        let request = Request { arrived_at_ms: now, prefix, node };
        let Some(group) = self.choose(&request, now) else { return };
        let id = self.groups[group].id.clone();
        let chain = &self.prefix_chains[request.prefix];
        self.nodes[node].router.on_sent(chain, &id, Millis(now as u64));
        if self.groups[group].running < self.scenario.slots {
            self.start(group, request, now);
        } else {
            self.groups[group].waiting.push_back(request);
        }
    }

    /// Picks a group for a request by the policy; `None` if there is none.
    fn choose(&mut self, request: &Request, now: f64) -> Option<usize> {
        let live_groups: Vec<_> =
            (0..self.groups.len()).filter(|i| !self.groups[*i].has_failed).collect();
        let node = request.node;
        match self.policy {
            Policy::Random => live_groups.get(self.rng.random_range(0..live_groups.len())).copied(),
            Policy::RoundRobin => {
                self.nodes[node].next_turn += 1;
                live_groups.get(self.nodes[node].next_turn % live_groups.len()).copied()
            }
            Policy::LeastLoaded => live_groups
                .iter()
                .copied()
                .min_by(|a, b| self.reported_load(*a).total_cmp(&self.reported_load(*b))),
            Policy::TwoChoices => {
                let pick =
                    |rng: &mut ChaCha8Rng| live_groups[rng.random_range(0..live_groups.len())];
                let (a, b) = (pick(&mut self.rng), pick(&mut self.rng));
                Some(if self.reported_load(a) <= self.reported_load(b) { a } else { b })
            }
            Policy::PureAffinity => {
                let key = self.prefix_chains[request.prefix].root().to_le_bytes();
                let weight =
                    |i: &usize| rendezvous::weight(&key, self.groups[*i].id.as_str().as_bytes());
                live_groups.into_iter().max_by_key(weight)
            }
            Policy::Shipped => self.choose_shipped(request, &live_groups, now),
        }
    }

    fn choose_shipped(&self, request: &Request, live_groups: &[usize], now: f64) -> Option<usize> {
        let node = &self.nodes[request.node];
        let candidates: Vec<_> =
            live_groups.iter().map(|i| self.candidate(node, *i, Millis(now as u64))).collect();
        let chosen = node.router.choose(&self.prefix_chains[request.prefix], &candidates)?;
        live_groups.iter().copied().find(|i| &self.groups[*i].id == chosen)
    }

    fn candidate<'a>(&'a self, node: &Node, i: usize, now: Millis) -> Candidate<'a> {
        let group = &self.groups[i];
        let (at, reported) = group.reports.front().copied().unwrap_or_default();
        Candidate {
            group: &group.id,
            reported,
            true_since: Millis(at),
            slots: self.scenario.slots,
            worth: 1.0,
            is_remote: false,
            is_ejected: node.outliers.is_ejected(&group.id, now),
        }
    }

    /// A group's load in the latest report that nodes have received, without the correction that
    /// the shipped router makes for requests sent since.
    fn reported_load(&self, group: usize) -> f64 {
        f64::from(self.groups[group].reports.front().map_or(0, |(_, load)| *load))
    }

    /// Starts a request in a group and schedules its end.
    fn start(&mut self, i: usize, request: Request, now: f64) {
        let scenario = self.scenario;
        let is_after_warm_up = self.is_after_warm_up(now);
        let group = &mut self.groups[i];
        group.running += 1;
        let is_hit = group.cache.contains(&request.prefix);
        group.cache.retain(|cached| *cached != request.prefix);
        group.cache.push_back(request.prefix);
        if group.cache.len() > scenario.cached {
            group.cache.pop_front();
        }
        let missing = if is_hit { 1 } else { scenario.blocks };
        let prefill = missing as f64 * scenario.block_ms * group.slowdown;
        group.prefill_free_at_ms = group.prefill_free_at_ms.max(now) + prefill;
        let fill = f64::from(group.running) / f64::from(scenario.slots);
        let step = (scenario.step_ms.0 + scenario.step_ms.1 * fill) * group.slowdown;
        let first_token_ms = group.prefill_free_at_ms + step - request.arrived_at_ms;
        let end_ms = group.prefill_free_at_ms + step * f64::from(scenario.tokens);
        if is_after_warm_up {
            self.lookups += 1;
            self.hits += u64::from(is_hit);
            let _ =
                self.time_to_first_token.record((first_token_ms * HISTOGRAM_UNITS_PER_MS) as u64);
            let _ = self.time_between_tokens.record((step * HISTOGRAM_UNITS_PER_MS) as u64);
        }
        let end =
            Event::End { group: i, node: request.node, first_token_ms: first_token_ms as u64 };
        self.schedule((end_ms * 1000.0) as u64, end);
    }

    /// Ends a request and starts the next one in the group's queue.
    fn end(&mut self, i: usize, node: usize, first_token_ms: u64, now: f64) {
        let at = Millis(now as u64);
        let id = self.groups[i].id.clone();
        self.nodes[node].router.on_done(&id, at);
        self.nodes[node].outliers.on_answer(&id, Millis(first_token_ms), at);
        self.groups[i].running = self.groups[i].running.saturating_sub(1);
        if let Some(next) = self.groups[i].waiting.pop_front() {
            self.start(i, next, now);
        }
    }

    /// Records each group's load, and drops reports that are superseded for the nodes.
    fn report(&mut self, now: f64) {
        self.schedule(((now + REPORT_INTERVAL_MS as f64) * 1000.0) as u64, Event::Report);
        let (is_after_warm_up, lag_ms) = (self.is_after_warm_up(now), self.lag_ms);
        for group in &mut self.groups {
            let load = group.running + group.waiting.len() as u32;
            group.reports.push_back((now as u64, load));
            let is_visible = |at: u64| at + lag_ms <= now as u64;
            while group.reports.get(1).is_some_and(|(at, _)| is_visible(*at)) {
                group.reports.pop_front();
            }
            if is_after_warm_up {
                group.load_sum += f64::from(load);
                group.samples += 1;
            }
        }
    }

    /// Fails the first groups, as many as the scenario says, and drops their queues.
    fn fail_groups(&mut self) {
        let count = (self.groups.len() as f64 * self.scenario.lost_fraction).round() as usize;
        for group in self.groups.iter_mut().take(count) {
            group.has_failed = true;
            group.waiting.clear();
        }
    }
}
