//! A model of nodes that send requests to the heads of one model's groups, in steps of 1 ms.
//!
//! Each node knows its own requests exactly, and those of the others from the counts that they
//! publish. It is deterministic: the same load, rule and seed give the same outcome.

use std::collections::VecDeque;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::hosted::admission::Arrival;
use workshold_core::hosted::admission::ArrivalKind;
use workshold_protocol::Millis;

use crate::node::Counts;
use crate::node::MEAN_SERVICE_MS;
use crate::node::Node;
use crate::node::RANKS;
use crate::node::Rule;
use crate::node::SLOTS;

/// Time until the first event of an answer is due.
pub const LATENCY_GOAL: Millis = Millis(400);

/// Time until the counts of a node that is gone are dropped: the shortest silence after which peers
/// forget it, and the time in which heartbeats come.
const FORGET_TIME: Millis = Millis(1_100);
/// Time after which nodes know how fast a head has become.
const SPEED_NOTICE_TIME: Millis = Millis(1_000);
/// Time in which callers that have lost their connection send their request again.
const RECONNECT_TIME: Millis = Millis(1_000);
/// Prefill of an ordinary prompt.
const PROMPT_TIME: Millis = Millis(5);
/// Time from the first event of an answer to its end.
const ANSWER_MS: Range<u64> = 700..1_300;
const SLOWDOWN: f64 = 3.0;
const TEAMS: u32 = 10;

/// The nodes and heads, and how they are used.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub nodes: usize,
    pub heads: usize,
    pub rule: Rule,
    /// Oldest count of another node's requests that a node uses.
    pub count_age_max: Millis,
    pub seed: u64,
}

impl Setup {
    /// Time in which a node publishes its counts once, and adds up those of others once.
    pub fn gossip_interval(&self) -> Millis {
        Millis(self.count_age_max.0 / 2)
    }
}

/// What happens to the fleet at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incident {
    /// All nodes start anew; each head still processes up to so many requests that no node counts.
    Restart { orphans: usize },
    /// The last group is formed.
    GroupFormed,
    /// One head gets prompts that take this long to prefill, from different nodes.
    LongPrompts(Millis),
    /// One head in five takes three times as long for each event from now on.
    SlowHeads,
    /// A fifth of the nodes is gone at once.
    NodesGone,
}

/// The demand for the model, and what happens meanwhile.
#[derive(Debug, Clone)]
pub struct Load {
    /// Points of the demand, as a fraction of the capacity at that time. It changes evenly between
    /// them, and is constant before the first and after the last.
    pub demand: Vec<(Millis, f64)>,
    /// What happens, and when.
    pub incident: Option<(Millis, Incident)>,
    /// Duration.
    pub length: Millis,
}

/// What became of one request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub arrived: Millis,
    pub rank: u8,
    /// The head that it was sent to; `None` if it was refused.
    pub head: Option<usize>,
    /// The time that it waited for a slot, and then for the prompts of others; `None` if it
    /// did not get that far.
    pub waited: Option<(Millis, Millis)>,
    /// Whether it stands for a long prompt of an incident.
    pub is_extra: bool,
    node: Option<usize>,
    prompt: Millis,
    first_event_at: Millis,
    ends_at: Millis,
    is_read: bool,
}

/// What became of all requests and heads.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: Vec<Request>,
    /// The most requests that any head held, in each millisecond.
    pub max_loads: Vec<u32>,
    /// The load of the last head, in each millisecond.
    pub last_loads: Vec<u32>,
    /// Requests per second that the heads can complete, in each millisecond.
    pub capacity: Vec<f64>,
}

#[derive(Debug, Default)]
struct Head {
    is_up: bool,
    is_slow: bool,
    queue: VecDeque<usize>,
    serving: Vec<usize>,
    /// When the prompts that have a slot are prefilled.
    prefilled_at: Millis,
}

impl Head {
    fn slowdown(&self) -> f64 {
        if self.is_slow { SLOWDOWN } else { 1.0 }
    }

    /// Requests per second that it can complete; none while prompts hold up new ones for long.
    fn capacity_per_s(&self, now: Millis) -> f64 {
        let is_held_up = self.prefilled_at.since(now) > LATENCY_GOAL;
        let per_s = f64::from(SLOTS) * 1_000.0 / MEAN_SERVICE_MS / self.slowdown();
        if self.is_up && !is_held_up { per_s } else { 0.0 }
    }

    fn load(&self) -> u32 {
        (self.queue.len() + self.serving.len()) as u32
    }
}

struct Fleet {
    setup: Setup,
    heads: Vec<Head>,
    nodes: Vec<Node>,
    /// Sum of all nodes' published counts.
    totals: Counts,
    rng: ChaCha8Rng,
    outcome: Outcome,
    /// Requests of callers that have lost their connection, still to be sent again, and by when.
    reconnecting: (f64, Millis),
    /// Expected number of arrivals until now, and its value at the next arrival.
    expected: f64,
    next_arrival: f64,
    /// When nodes learn that heads are slow, and forget nodes that are gone.
    speed_known_at: Option<Millis>,
    forget_at: Option<Millis>,
}

/// The outcome of `load`.
pub fn run(load: &Load, setup: Setup) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
    let heads = setup.heads;
    let is_up = |head| head + 1 < heads || !load.has_incident(Incident::GroupFormed);
    let node = |_| Node::new(&setup, &mut rng);
    let nodes = (0..setup.nodes).map(node).collect();
    let mut fleet = Fleet {
        setup,
        heads: (0..heads).map(|head| Head { is_up: is_up(head), ..Head::default() }).collect(),
        nodes,
        totals: Counts::new(heads),
        rng,
        outcome: Outcome::default(),
        reconnecting: (0.0, Millis::ZERO),
        expected: 0.0,
        next_arrival: 0.0,
        speed_known_at: None,
        forget_at: None,
    };
    for now in (0..load.length.0).map(Millis) {
        fleet.step(load, now);
    }
    fleet.outcome
}

impl Load {
    fn has_incident(&self, incident: Incident) -> bool {
        self.incident.is_some_and(|(_, own)| own == incident)
    }

    /// The demand as a fraction of the capacity.
    fn demand_at(&self, now: Millis) -> f64 {
        let next = self.demand.partition_point(|(at, _)| *at <= now);
        let [before, after] = [next.saturating_sub(1), next.min(self.demand.len() - 1)];
        let (from, low) = self.demand[before];
        let (until, high) = self.demand[after];
        let part = now.since(from).as_secs_f64() / until.since(from).as_secs_f64().max(0.001);
        low + (high - low) * part.min(1.0)
    }
}

impl Fleet {
    fn step(&mut self, load: &Load, now: Millis) {
        if let Some((_, incident)) = load.incident.filter(|(at, _)| *at == now) {
            self.begin(incident, now);
        }
        (0..self.heads.len()).for_each(|head| self.serve(head, now));
        self.gossip(now);
        let capacity: f64 = self.heads.iter().map(|head| head.capacity_per_s(now)).sum();
        self.expected += load.demand_at(now) * capacity / 1_000.0;
        if now < self.reconnecting.1 {
            self.expected += self.reconnecting.0 / RECONNECT_TIME.0 as f64;
        }
        while self.next_arrival < self.expected {
            self.next_arrival -= (1.0 - self.rng.random::<f64>()).ln();
            self.arrive(now);
        }
        let max_load = self.heads.iter().map(Head::load).max().unwrap_or(0);
        self.outcome.max_loads.push(max_load);
        self.outcome.last_loads.push(self.heads.last().map_or(0, Head::load));
        self.outcome.capacity.push(capacity);
    }

    /// Ends what is complete at a head, and starts what waits for a slot.
    fn serve(&mut self, index: usize, now: Millis) {
        let head = &mut self.heads[index];
        let requests = &mut self.outcome.requests;
        for number in &head.serving {
            let request = &mut requests[*number];
            let own = request.node.map(|node| &mut self.nodes[node].own);
            let Some(own) = own else { continue };
            if !request.is_read && request.first_event_at <= now {
                request.is_read = true;
                own.unread_ms[index] -= request.prompt.0;
            }
            own.requests[index] -= u32::from(request.ends_at <= now);
        }
        head.serving.retain(|request| requests[*request].ends_at > now);
        while head.serving.len() < SLOTS as usize {
            let Some(next) = head.queue.pop_front() else { break };
            let request = &mut requests[next];
            let prefill_begins = head.prefilled_at.max(now);
            request.waited = Some((now - request.arrived, prefill_begins - now));
            head.prefilled_at = prefill_begins + request.prompt;
            request.first_event_at = head.prefilled_at;
            let answer_ms = self.rng.random_range(ANSWER_MS) as f64 * head.slowdown();
            request.ends_at = head.prefilled_at + Millis(answer_ms as u64);
            head.serving.push(next);
        }
    }

    /// Nodes publish their counts and add up those of others.
    fn gossip(&mut self, now: Millis) {
        let moment = now.0 % self.setup.gossip_interval().0;
        let is_forgotten = self.forget_at == Some(now);
        for node in &mut self.nodes {
            if !node.is_up && is_forgotten {
                self.totals.subtract(&node.published);
            }
            if node.is_up && moment == node.publishes_at {
                node.publish(&mut self.totals, now);
            }
            if node.is_up && moment == node.adds_up_at {
                node.add_up(&self.totals);
            }
        }
    }

    /// A request arrives at a node.
    fn arrive(&mut self, now: Millis) {
        let up = self.nodes.iter().position(|node| node.is_up).unwrap_or(0);
        let node = self.rng.random_range(up..self.nodes.len());
        let arrival = Arrival {
            rank: self.rng.random_range(0..RANKS),
            team: self.rng.random_range(0..TEAMS),
            fingerprint: self.rng.random(),
            kind: ArrivalKind::New,
            prompt_tokens: 500.0,
            latency_goal: LATENCY_GOAL,
            time_left: Millis(6_000),
            time_limit: Millis(6_000),
        };
        let head = self.decide(node, &arrival, now);
        self.send(node, head, PROMPT_TIME, now);
        if let Some(request) = self.outcome.requests.last_mut() {
            request.rank = arrival.rank;
        }
    }

    /// The head that a node sends a request to; `None` if it refuses it.
    fn decide(&mut self, node: usize, arrival: &Arrival, now: Millis) -> Option<usize> {
        let are_speeds_known = self.speed_known_at.is_some_and(|at| at <= now);
        let slowdown = |head: &Head| if are_speeds_known { head.slowdown() } else { 1.0 };
        let heads = self.heads.iter().enumerate().filter(|(_, head)| head.is_up);
        let known: Vec<(usize, f64)> =
            heads.map(|(index, head)| (index, MEAN_SERVICE_MS * slowdown(head))).collect();
        let rule = self.setup.rule;
        let chosen = self.nodes[node].decide(rule, &known, arrival, now, &mut self.rng);
        chosen.map(|chosen| known[chosen].0)
    }

    fn send(&mut self, node: usize, head: Option<usize>, prompt: Millis, now: Millis) {
        if let Some(head) = head {
            self.nodes[node].own.requests[head] += 1;
            self.nodes[node].own.unread_ms[head] += prompt.0;
            self.heads[head].queue.push_back(self.outcome.requests.len());
        }
        self.outcome.requests.push(Request {
            arrived: now,
            rank: 0,
            head,
            waited: None,
            is_extra: false,
            node: Some(node),
            prompt,
            first_event_at: now,
            ends_at: now,
            is_read: false,
        });
    }

    fn begin(&mut self, incident: Incident, now: Millis) {
        match incident {
            Incident::Restart { orphans } => self.restart(orphans, now),
            Incident::GroupFormed => self.heads.iter_mut().for_each(|head| head.is_up = true),
            Incident::LongPrompts(total) => self.send_long_prompts(total, now),
            Incident::SlowHeads => self.slow_down(now),
            Incident::NodesGone => self.lose_nodes(now),
        }
    }

    fn restart(&mut self, orphans: usize, now: Millis) {
        let lost: u32 = self.heads.iter().map(Head::load).sum();
        for head in &mut self.heads {
            head.queue.clear();
            head.serving.truncate(orphans);
            head.serving.iter().for_each(|request| self.outcome.requests[*request].node = None);
        }
        for node in &mut self.nodes {
            *node = Node::new(&self.setup, &mut self.rng);
        }
        self.totals = Counts::new(self.setup.heads);
        self.reconnecting = (f64::from(lost), now + RECONNECT_TIME);
    }

    fn send_long_prompts(&mut self, total: Millis, now: Millis) {
        const PROMPTS: u64 = 10;
        for _ in 0..PROMPTS {
            let node = self.rng.random_range(0..self.nodes.len());
            self.send(node, Some(0), Millis(total.0 / PROMPTS), now);
            if let Some(request) = self.outcome.requests.last_mut() {
                request.is_extra = true;
            }
        }
    }

    fn slow_down(&mut self, now: Millis) {
        self.speed_known_at = Some(now + SPEED_NOTICE_TIME);
        for head in self.heads.iter_mut().step_by(5) {
            head.is_slow = true;
            for number in &head.serving {
                let request = &mut self.outcome.requests[*number];
                let left = request.ends_at.since(now).0 as f64 * SLOWDOWN;
                request.ends_at = now + Millis(left as u64);
            }
        }
    }

    /// The first fifth of the nodes is gone; heads drop their requests when connections close.
    fn lose_nodes(&mut self, now: Millis) {
        let gone = self.nodes.len() / 5;
        self.nodes[..gone].iter_mut().for_each(|node| node.is_up = false);
        let requests = &self.outcome.requests;
        let is_kept = |request: &usize| requests[*request].node.is_none_or(|node| node >= gone);
        let before: u32 = self.heads.iter().map(Head::load).sum();
        for head in &mut self.heads {
            head.queue.retain(is_kept);
            head.serving.retain(is_kept);
        }
        let lost = before - self.heads.iter().map(Head::load).sum::<u32>();
        self.reconnecting = (f64::from(lost), now + RECONNECT_TIME);
        self.forget_at = Some(now + FORGET_TIME);
    }
}
