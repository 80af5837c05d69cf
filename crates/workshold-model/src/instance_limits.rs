//! Randomized simulation of instance limits: one instance announces rate limits and backoffs,
//! leaves and restarts. Nodes gossip about its announcements and are killed, gossip is lost or
//! late, and answers overtake each other.
//!
//! The behaviour depends too much on time for a search of all states, so each run is generated from
//! a seed. The nodes use the [`InstanceLimits`] of the daemon.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::hosted::instance_limits;
use workshold_core::hosted::instance_limits::InstanceLimits;
use workshold_core::hosted::instance_limits::LimitReport;
use workshold_core::hosted::instance_limits::Rate;
use workshold_core::hosted::instance_limits::SenderShare;
use workshold_protocol::Millis;

/// A rule that can be broken on purpose, to verify that the simulation detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// Only an answer to a later request lifts a limit. Broken: any answer without a limit does.
    LiftOnlyByLaterRequest,
    /// Every request needs a permit. Broken: one in ten is sent without one.
    EverySendNeedsPermit,
    /// Senders share a limit. Broken: every node is a sender with the whole limit.
    LimitSharedAmongSenders,
    /// Announcements count for one incarnation. Broken: they count for the next ones too.
    KeyedByIncarnation,
    /// Under a limit near zero, single requests find out whether it was lifted. Broken: nothing is
    /// sent under such a limit.
    LowLimitProbed,
    /// The longest backoff counts. Broken: backoffs are cut to 900 ms.
    LongestBackoff,
}

impl BrokenRule {
    /// All rules, each with the breach that the simulation must find without it.
    pub const ALL: &'static [(Self, Breach)] = &[
        (Self::LiftOnlyByLaterRequest, Breach::OverLimit),
        (Self::EverySendNeedsPermit, Breach::SentToLeaving),
        (Self::LimitSharedAmongSenders, Breach::OverLimit),
        (Self::KeyedByIncarnation, Breach::Starved),
        (Self::LowLimitProbed, Breach::Starved),
        (Self::LongestBackoff, Breach::SentInBackoff),
    ];
}

/// A property that did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breach {
    /// Within `RATE_WINDOW`, nodes that knew of a limit sent more than it allows.
    OverLimit,
    /// A node sent more than `MAX_SENDS_IN_BACKOFF` requests during a backoff that it knew of.
    SentInBackoff,
    /// A node sent a request though it knew that the instance was leaving.
    SentToLeaving,
    /// A new incarnation, or an instance that had lifted its limit, got no request for longer than
    /// `STARVED_AFTER`.
    Starved,
}

/// Not zero, so that times before the start can be represented.
const START_TIME: Millis = Millis(100_000);
const DURATION: Millis = Millis(90_000);
const TIME_STEP: Millis = Millis(20);
const NODES: usize = 6;
/// Requests per second that each node has to send.
const REQUESTS_PER_S: f64 = 4.0;
/// Longest delay of an answer that isn't queued.
const ANSWER_MAX_MS: u64 = 1_200;
/// One in this many requests waits in the instance's queue.
const QUEUED_ONE_IN: u32 = 5;
/// Longest delay of the answer to a queued request.
const QUEUED_MAX_MS: u64 = 5_000;
/// Longest delay of a gossip message.
const GOSSIP_MAX_MS: u64 = 400;
/// Probability that a gossip message is lost.
const GOSSIP_LOSS: f64 = 0.2;
/// Mean interval at which a node gossips.
const GOSSIP_INTERVAL: Millis = Millis(200);
/// Mean interval at which a random node is killed.
const KILL_INTERVAL: Millis = Millis(2_000);
/// Time after which the other nodes notice that a node is down.
const DETECTED_AFTER: Millis = Millis(900);
/// Time after which a killed node is up again.
const RESTART_AFTER: Millis = Millis(2_000);
/// Mean interval at which the instance changes its announcements or restarts.
const CHANGE_INTERVAL: Millis = Millis(9_000);
/// Limits are drawn below this value, in tenths of a request per second.
const LIMIT_MAX_TENTHS: u32 = 25;
/// Probability that a new limit is zero.
const ZERO_LIMIT_FRACTION: f64 = 0.3;

/// Time over which the rate of requests is compared with the limit.
const RATE_WINDOW: Millis = Millis(4_000);
/// Factor by which the rate may exceed the limit.
const RATE_TOLERANCE: f64 = 1.5;
/// Requests per [`RATE_WINDOW`] that are allowed in addition.
const BURST_ALLOWANCE: f64 = 5.0;
/// Time that all nodes may take to learn of a changed limit.
const LIMIT_SPREAD_TIME: Millis = Millis(3_000);
/// Time after which a node must observe a limit or backoff that was announced to it.
const ANNOUNCEMENT_GRACE: Millis = Millis(500);
/// Requests that a node may send during a backoff, after [`ANNOUNCEMENT_GRACE`].
const MAX_SENDS_IN_BACKOFF: usize = 2;
/// Time after which a node that knows that the instance leaves must send nothing more.
const LEAVING_GRACE: Millis = Millis(2_000);
/// Time without requests after which an instance without limits counts as starved. Longer than it
/// takes to find out that a limit of zero was lifted: the time until its senders' next request, the
/// answer to it, and the gossip to all nodes.
const STARVED_AFTER: Millis = Millis(24_000);

struct Node {
    instance_limits: InstanceLimits<u32>,
    /// `None` while the node is down.
    up_since: Option<Millis>,
    down_at: Millis,
    /// When an answer of the current incarnation first announced the limit to it.
    limit_told_at: Option<Millis>,
    /// When an answer of the current incarnation first announced to it that the instance leaves.
    leaving_told_at: Option<Millis>,
    /// When the current backoff was first announced, when it ends, and the number of requests that
    /// the node has sent during it.
    backoff: Option<(Millis, Millis, usize)>,
}

impl Node {
    fn new(now: Millis) -> Self {
        Self {
            instance_limits: InstanceLimits::default(),
            up_since: Some(now),
            down_at: Millis::ZERO,
            limit_told_at: None,
            leaving_told_at: None,
            backoff: None,
        }
    }
}

/// The announcements in one answer, and the incarnation that gave it.
#[derive(Debug, Clone, Copy)]
struct Answer {
    incarnation: u32,
    limit: Option<Rate>,
    backoff: Option<Millis>,
    is_leaving: bool,
    sent_at: Millis,
}

/// The simulated instance and nodes, with answers and gossip in flight.
pub struct LimitsWorld {
    rng: ChaCha8Rng,
    broken: Option<BrokenRule>,
    /// True for odd seeds only: a restarted node has lost all announcements, so runs without kills
    /// are needed too.
    kills_nodes: bool,
    now: Millis,
    nodes: Vec<Node>,
    incarnation: u32,
    /// The current limit, and since when there has been one without a gap.
    limit: Option<(Rate, Millis)>,
    /// Limits that the current incarnation has announced, each with its start time.
    announced_limits: Vec<(Millis, Rate)>,
    /// Answers announce a backoff until then.
    backoff_until: Millis,
    leaving_since: Option<Millis>,
    /// Since when it has had no limit; only meaningful while `limit` is `None`.
    unlimited_since: Millis,
    /// Answers with their arrival time and their node.
    answers_in_flight: Vec<(Millis, usize, Answer)>,
    /// Gossip with its arrival time, its receiver and the incarnation that it is about.
    gossip_in_flight: Vec<(Millis, usize, u32, LimitReport)>,
    /// Arrival times of the requests that count against the limit.
    arrivals: Vec<Millis>,
    last_arrival_at: Millis,
}

impl LimitsWorld {
    /// Creates the simulation of `seed`, with one rule broken if one is given.
    pub fn new(seed: u64, broken: Option<BrokenRule>) -> Self {
        let nodes = (0..NODES).map(|_| Node::new(START_TIME)).collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            broken,
            kills_nodes: !seed.is_multiple_of(2),
            now: START_TIME,
            nodes,
            incarnation: 0,
            limit: None,
            announced_limits: Vec::new(),
            backoff_until: Millis::ZERO,
            leaving_since: None,
            unlimited_since: START_TIME,
            answers_in_flight: Vec::new(),
            gossip_in_flight: Vec::new(),
            arrivals: Vec::new(),
            last_arrival_at: START_TIME,
        }
    }

    /// Runs the simulation; returns the first breach and the number of requests that counted
    /// against a limit of the last incarnation.
    pub fn run(mut self) -> (Option<Breach>, usize) {
        while self.now < START_TIME + DURATION {
            self.now = self.now + TIME_STEP;
            if let Some(breach) = self.step() {
                return (Some(breach), self.arrivals.len());
            }
        }
        (None, self.arrivals.len())
    }

    /// Draws whether an event with this mean interval occurs in the current time step.
    fn occurs(&mut self, every: Millis) -> bool {
        self.rng.random_bool(TIME_STEP.as_secs_f64() / every.as_secs_f64())
    }

    fn step(&mut self) -> Option<Breach> {
        if self.occurs(CHANGE_INTERVAL) {
            self.change_announcement();
        }
        if self.kills_nodes && self.occurs(KILL_INTERVAL) {
            let node = self.rng.random_range(0..NODES);
            self.nodes[node].down_at = self.now;
            self.nodes[node].up_since = None;
        }
        for node in 0..NODES {
            let down_for = self.now.since(self.nodes[node].down_at);
            if self.nodes[node].up_since.is_none() && down_for >= RESTART_AFTER {
                self.nodes[node] = Node::new(self.now);
            }
        }
        self.receive();
        for node in (0..NODES).rev() {
            let has_request = self.rng.random_bool(REQUESTS_PER_S * TIME_STEP.as_secs_f64());
            if has_request && self.nodes[node].up_since.is_some() {
                let breach = self.send(node);
                if breach.is_some() {
                    return breach;
                }
            }
            if self.occurs(GOSSIP_INTERVAL) && self.nodes[node].up_since.is_some() {
                self.gossip(node);
            }
        }
        self.check_starvation()
    }

    /// The instance announces something else, or restarts.
    fn change_announcement(&mut self) {
        let now = self.now;
        match self.rng.random_range(0..5) {
            0 => {
                let is_zero = self.rng.random_bool(ZERO_LIMIT_FRACTION);
                let tenths = if is_zero { 0 } else { self.rng.random_range(0..LIMIT_MAX_TENTHS) };
                let rate = Rate(tenths * 100);
                let since = self.limit.map_or(now, |(_, since)| since);
                self.limit = Some((rate, since));
                self.announced_limits.push((now, rate));
            }
            1 => {
                self.limit = None;
                self.unlimited_since = now;
                self.nodes.iter_mut().for_each(|node| node.limit_told_at = None);
            }
            2 => self.backoff_until = now + Millis(self.rng.random_range(1_000..4_000)),
            3 => {
                self.leaving_since.get_or_insert(now);
            }
            _ => self.restart_instance(),
        }
    }

    fn restart_instance(&mut self) {
        self.incarnation += 1;
        (self.limit, self.leaving_since, self.backoff_until) = (None, None, Millis::ZERO);
        self.unlimited_since = self.now;
        self.arrivals.clear();
        self.announced_limits.clear();
        for node in &mut self.nodes {
            (node.limit_told_at, node.leaving_told_at, node.backoff) = (None, None, None);
        }
    }

    /// The incarnation under which a node stores announcements.
    fn key(&self, incarnation: u32) -> u32 {
        if self.broken == Some(BrokenRule::KeyedByIncarnation) { 0 } else { incarnation }
    }

    fn sender_share(&self, node: usize, key: u32) -> SenderShare {
        if self.broken == Some(BrokenRule::LimitSharedAmongSenders) {
            return SenderShare { is_sender: true, senders: 1 };
        }
        let limit = self.nodes[node].instance_limits.limit(&key).unwrap_or(Rate(0));
        let senders = instance_limits::senders(limit, NODES);
        let is_seen =
            |node: &&Node| node.up_since.is_some() || self.now.since(node.down_at) < DETECTED_AFTER;
        let nodes_before = self.nodes[..node].iter().filter(is_seen).count();
        SenderShare { is_sender: nodes_before < senders, senders }
    }

    fn send(&mut self, node: usize) -> Option<Breach> {
        let key = self.key(self.incarnation);
        let sender_share = self.sender_share(node, key);
        let skips_permit =
            self.broken == Some(BrokenRule::EverySendNeedsPermit) && self.rng.random_bool(0.1);
        let never_probes = self.broken == Some(BrokenRule::LowLimitProbed)
            && self.nodes[node].instance_limits.limit(&key).is_some_and(|limit| limit < Rate(250));
        let is_permitted =
            self.nodes[node].instance_limits.take(&key, sender_share, self.now).is_ok()
                && !never_probes;
        if !is_permitted && !skips_permit {
            return None;
        }
        let answer = Answer {
            incarnation: self.incarnation,
            limit: self.limit.map(|(limit, _)| limit),
            backoff: (self.backoff_until > self.now).then(|| self.draw_backoff()),
            is_leaving: self.leaving_since.is_some(),
            sent_at: self.now,
        };
        let is_queued = self.rng.random_range(0..QUEUED_ONE_IN) == 0;
        let max_delay = if is_queued { QUEUED_MAX_MS } else { ANSWER_MAX_MS };
        let arrives_at = self.now + Millis(self.rng.random_range(20..max_delay));
        self.answers_in_flight.push((arrives_at, node, answer));
        self.last_arrival_at = self.now;
        self.check_request(node)
    }

    fn draw_backoff(&mut self) -> Millis {
        Millis(self.rng.random_range(800..4_000))
    }

    /// Checks a request that a node sends now.
    fn check_request(&mut self, node: usize) -> Option<Breach> {
        let now = self.now;
        let node = &mut self.nodes[node];
        if node.leaving_told_at.is_some_and(|told_at| now.since(told_at) > LEAVING_GRACE) {
            return Some(Breach::SentToLeaving);
        }
        if let Some((announced_at, until, sends)) = &mut node.backoff
            && now.since(*announced_at) > ANNOUNCEMENT_GRACE
            && now < *until
        {
            *sends += 1;
            if *sends > MAX_SENDS_IN_BACKOFF {
                return Some(Breach::SentInBackoff);
            }
        }
        let (_, since) = self.limit?;
        let is_told =
            node.limit_told_at.is_some_and(|told_at| now.since(told_at) >= ANNOUNCEMENT_GRACE);
        if !is_told || now < since + LIMIT_SPREAD_TIME {
            return None;
        }
        self.arrivals.push(now);
        let in_window = |at: &&Millis| now.since(**at) < RATE_WINDOW;
        let arrivals = self.arrivals.iter().filter(in_window).count() as f64;
        let allowed = RATE_WINDOW.as_secs_f64() * self.highest_limit().as_per_s() * RATE_TOLERANCE
            + BURST_ALLOWANCE;
        (arrivals > allowed).then_some(Breach::OverLimit)
    }

    /// The highest limit that applied within `RATE_WINDOW`, or before it within the time in which
    /// nodes may still learn of a change.
    fn highest_limit(&self) -> Rate {
        let ends = |i: usize| self.announced_limits.get(i + 1).map_or(self.now, |(next, _)| *next);
        let announced = self.announced_limits.iter().enumerate();
        let in_force =
            announced.filter(|(i, _)| self.now.since(ends(*i)) < RATE_WINDOW + LIMIT_SPREAD_TIME);
        in_force.map(|(_, (_, rate))| *rate).max().unwrap_or(Rate(0))
    }

    fn gossip(&mut self, from: usize) {
        for (incarnation, report) in self.nodes[from].instance_limits.next_to_gossip(8) {
            for to in (0..NODES).filter(|to| *to != from) {
                if !self.rng.random_bool(GOSSIP_LOSS) {
                    let arrives_at = self.now + Millis(self.rng.random_range(0..GOSSIP_MAX_MS));
                    self.gossip_in_flight.push((arrives_at, to, incarnation, report));
                }
            }
        }
    }

    fn receive(&mut self) {
        let now = self.now;
        let (arrived, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers_in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.answers_in_flight = remaining;
        for (_, node, answer) in arrived {
            if self.nodes[node].up_since.is_some_and(|since| since <= answer.sent_at) {
                self.on_answer(node, answer);
            }
        }
        let (arrived, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.gossip_in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.gossip_in_flight = remaining;
        for (_, node, incarnation, report) in arrived {
            self.nodes[node].instance_limits.on_limit_report(&incarnation, report);
        }
    }

    fn on_answer(&mut self, node: usize, answer: Answer) {
        let (now, key) = (self.now, self.key(answer.incarnation));
        let lifts_always =
            self.broken == Some(BrokenRule::LiftOnlyByLaterRequest) && answer.limit.is_none();
        let sent_at = if lifts_always { now + Millis(1_000) } else { answer.sent_at };
        let is_current = answer.incarnation == self.incarnation;
        let takes_shortest = self.broken == Some(BrokenRule::LongestBackoff);
        let node = &mut self.nodes[node];
        node.instance_limits.on_limit_report(
            &key,
            LimitReport { limit: answer.limit, request_sent_at: sent_at, answer_received_at: now },
        );
        if let Some(backoff) = answer.backoff {
            node.instance_limits.on_backoff(
                &key,
                if takes_shortest { backoff.min(Millis(900)) } else { backoff },
                now,
            );
        }
        if answer.is_leaving {
            node.instance_limits.on_leaving(&key, now);
        }
        if !is_current {
            return;
        }
        if answer.limit.is_some() && self.limit.is_some() {
            node.limit_told_at.get_or_insert(now);
        }
        if answer.is_leaving {
            node.leaving_told_at.get_or_insert(now);
        }
        if let Some(backoff) = answer.backoff {
            let until = node.backoff.map_or(now, |(_, until, _)| until).max(now + backoff);
            let (announced_at, sends) = match node.backoff {
                Some((announced_at, until, sends)) if until > now => (announced_at, sends),
                _ => (now, 0),
            };
            node.backoff = Some((announced_at, until, sends));
        }
    }

    /// Whether no node has sent a request for long although the instance has no limits.
    fn check_starvation(&self) -> Option<Breach> {
        let is_unlimited = self.leaving_since.is_none() && self.limit.is_none();
        let since =
            self.unlimited_since.max(self.last_arrival_at).max(self.backoff_until + RATE_WINDOW);
        (is_unlimited && self.now.since(since) > STARVED_AFTER).then_some(Breach::Starved)
    }
}
