//! Randomized simulation of quarantine: requests that crash every instance that runs them are sent
//! to all nodes again and again, beside harmless requests. Nodes are killed and gossip is lost.
//! Either it is the same request each time, or a prompt part is all that these requests share.
//!
//! The behaviour depends too much on time for a search of all states, so each run is generated from
//! a seed. The nodes use the [`Quarantine`] of the daemon.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::quarantine::QuarantineStatus;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::quarantine::name_hash;
use workshold_protocol::Millis;

/// A rule that can be broken on purpose, to verify that the simulation detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// Nodes tell each other about ended processes. Broken: nothing is sent.
    Gossip,
    /// Records are saved for nodes that start later. Broken: nothing is saved.
    Persistence,
    /// Only a process that has ended counts against a request. Broken: a broken connection does
    /// too.
    ProcessEndConfirmed,
    /// A completed run clears a request. Broken: completions are not recorded.
    CompletionClears,
    /// Requests are identified by their content. Broken: by their id.
    KeyedByContent,
    /// Requests are identified by the parts of their prompts too. Broken: by their content alone.
    KeyedByPart,
    /// A completed run clears the parts of its prompt. Broken: only its content.
    CompletionClearsParts,
}

impl BrokenRule {
    /// All rules, each with the breach that the simulation must find without it.
    pub const ALL: &'static [(Self, Breach)] = &[
        (Self::Gossip, Breach::SentWhileQuarantined),
        (Self::Persistence, Breach::ForgottenAfterRestart),
        (Self::ProcessEndConfirmed, Breach::InnocentQuarantined),
        (Self::CompletionClears, Breach::InnocentQuarantined),
        (Self::KeyedByContent, Breach::SentWhileQuarantined),
    ];

    /// The same for [`CrashCause::PromptPart`].
    pub const OF_PARTS: &'static [(Self, Breach)] = &[
        (Self::Gossip, Breach::InnocentQuarantined),
        (Self::Persistence, Breach::ForgottenAfterRestart),
        (Self::KeyedByPart, Breach::SentWhileQuarantined),
        (Self::CompletionClearsParts, Breach::InnocentQuarantined),
    ];
}

/// What crashes an instance that runs a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCause {
    /// Its content: the same request is sent each time.
    Content,
    /// A part of its prompt; the rest differs each time.
    PromptPart,
}

/// A property that did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breach {
    /// Nodes that should have known of the quarantine sent the request more than
    /// `MAX_LATE_SENDS` times.
    SentWhileQuarantined,
    /// The request ended further instances after all nodes were restarted.
    ForgottenAfterRestart,
    /// A harmless request was quarantined for longer than `MAX_INNOCENT_QUARANTINE`.
    InnocentQuarantined,
}

const DURATION: Millis = Millis(40_000);
const TIME_STEP: Millis = Millis(10);
/// Not zero, so that times before the start can be represented.
const START_TIME: Millis = Millis(100_000);
const NODES: usize = 4;
/// Time in which a quarantine must reach every node. It starts when a third instance has ended, and
/// for a node that starts later, when it starts.
const SPREAD_TIME: Millis = Millis(3_000);
/// Sends that are allowed after [`SPREAD_TIME`].
const MAX_LATE_SENDS: usize = 3;
/// Attempts per request: the first one and one retry.
const MAX_ATTEMPTS: u32 = 2;
const REQUEST_INTERVAL: Millis = Millis(400);
/// Time from sending the request to the crash of its instance.
const CRASH_AFTER: Millis = Millis(150);
const GOSSIP_INTERVAL: Millis = Millis(100);
/// Probability that a gossip message is lost.
const GOSSIP_LOSS: f64 = 0.3;
/// Interval at which one random node is killed and restarted.
const KILL_INTERVAL: Millis = Millis(5_000);
/// Time since the start at which all nodes are killed at once.
const ALL_KILLED_AT: Millis = Millis(20_000);
/// Interval at which a frequent, harmless request completes at a random node.
const HOT_COMPLETION_INTERVAL: Millis = Millis(700);
/// Longer than [`HOT_COMPLETION_INTERVAL`] and the time until gossip has reached all nodes.
const MAX_INNOCENT_QUARANTINE: Millis = Millis(2_500);

struct Node {
    quarantine: Quarantine,
    started_at: Millis,
}

/// One attempt of the crashing request.
struct InFlight {
    node: usize,
    request_keys: Vec<RequestKey>,
    /// Number of the instance's process that runs it.
    process: u64,
    ends_at: Millis,
    /// Attempts so far, including this one.
    attempts: u32,
}

/// The simulated nodes, attempts and gossip in flight, and the persisted records.
pub struct QuarantineWorld {
    rng: ChaCha8Rng,
    cause: CrashCause,
    broken: Option<BrokenRule>,
    now: Millis,
    nodes: Vec<Node>,
    /// Attempts of the crashing request whose instance has not ended yet.
    in_flight: Vec<InFlight>,
    /// Gossip with its arrival time and its receiver.
    gossip_in_flight: Vec<(Millis, usize, QuarantineRecord)>,
    persisted: Vec<QuarantineRecord>,
    /// Number of processes so far; also numbers the requests.
    processes: u64,
    /// When the third instance ended, after which the request should be quarantined.
    third_end_at: Option<Millis>,
    ended_instances: usize,
    /// Value of `ended_instances` when all nodes were killed.
    ended_before_restart: Option<usize>,
    /// Sends later than [`SPREAD_TIME`] by nodes that should have known of the quarantine.
    late_sends: usize,
    /// Since when any node has quarantined the harmless requests "hot" and "reset", or a part that
    /// "hot" shares with the requests that crash instances.
    quarantined_since: [Option<Millis>; 3],
}

/// A part in the prompts of all requests.
const SHARED_PART: &str = "5a";
/// A part that crashes instances.
const CRASH_PART: &str = "c0";

fn part_key(id: &str) -> RequestKey {
    RequestKey::prompt_part(Fingerprint::of_prompt_part(id), 0)
}

fn request_key(name: &str) -> RequestKey {
    RequestKey::content(Fingerprint::of(Some(name), "/x", b"body"), name_hash(name))
}

impl QuarantineWorld {
    /// Creates the simulation of `seed`, with one rule broken if one is given.
    pub fn new(seed: u64, cause: CrashCause, broken: Option<BrokenRule>) -> Self {
        let node = || Node { quarantine: Quarantine::default(), started_at: Millis::ZERO };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cause,
            broken,
            now: START_TIME,
            nodes: (0..NODES).map(|_| node()).collect(),
            in_flight: Vec::new(),
            gossip_in_flight: Vec::new(),
            persisted: Vec::new(),
            processes: 0,
            third_end_at: None,
            ended_instances: 0,
            ended_before_restart: None,
            late_sends: 0,
            quarantined_since: [None; 3],
        }
    }

    /// Runs the simulation; returns the first breach and the number of instances that ended.
    pub fn run(mut self) -> (Option<Breach>, usize) {
        while self.now < START_TIME + DURATION {
            self.now = self.now + TIME_STEP;
            if let Some(breach) = self.step() {
                return (Some(breach), self.ended_instances);
            }
        }
        (None, self.ended_instances)
    }

    fn is_due(&self, every: Millis) -> bool {
        self.now.since(START_TIME).0.is_multiple_of(every.0)
    }

    fn step(&mut self) -> Option<Breach> {
        self.kill_nodes();
        self.receive_gossip();
        self.end_instances();
        if self.is_due(REQUEST_INTERVAL) {
            let node = self.rng.random_range(0..NODES);
            self.send(node, 1);
        }
        if self.is_due(HOT_COMPLETION_INTERVAL) && self.broken != Some(BrokenRule::CompletionClears)
        {
            let node = self.rng.random_range(0..NODES);
            let (now, keys) = (self.now, self.request_keys("hot", &[SHARED_PART]));
            let completed = match self.broken {
                Some(BrokenRule::CompletionClearsParts) => &keys[..1],
                _ => &keys[..],
            };
            self.nodes[node].quarantine.on_completed(completed, now);
        }
        if self.is_due(REQUEST_INTERVAL) {
            self.reset_connection();
        }
        if self.is_due(GOSSIP_INTERVAL) {
            self.gossip();
        }
        self.persist();
        self.breach()
    }

    /// A connection is reset while its instance keeps running.
    fn reset_connection(&mut self) {
        let node = self.rng.random_range(0..NODES);
        self.processes += 1;
        let keys = self.request_keys("reset", &[SHARED_PART]);
        self.break_connection(node, keys, self.processes);
    }

    /// The keys of a request with these prompt parts, as far as nodes tell requests apart.
    fn request_keys(&self, name: &str, parts: &[&str]) -> Vec<RequestKey> {
        let has_parts =
            self.cause == CrashCause::PromptPart && self.broken != Some(BrokenRule::KeyedByPart);
        let parts = parts.iter().filter(|_| has_parts).map(|id| part_key(id));
        std::iter::once(request_key(name)).chain(parts).collect()
    }

    /// The keys of the next request that crashes its instance.
    fn crash_request_keys(&self) -> Vec<RequestKey> {
        let name = format!("r-{}", self.processes);
        let is_same =
            self.cause == CrashCause::Content && self.broken != Some(BrokenRule::KeyedByContent);
        self.request_keys(if is_same { "ends" } else { &name }, &[SHARED_PART, CRASH_PART])
    }

    fn break_connection(&mut self, node: usize, request_keys: Vec<RequestKey>, process: u64) {
        let (now, is_process_end) =
            (self.now, self.broken == Some(BrokenRule::ProcessEndConfirmed));
        let quarantine = &mut self.nodes[node].quarantine;
        quarantine.on_connection_broken(request_keys, process, process as u32, now);
        if is_process_end {
            quarantine.on_process_ended(process, now);
        }
    }

    fn send(&mut self, node: usize, attempts: u32) {
        self.processes += 1;
        let request_keys = self.crash_request_keys();
        if self.nodes[node].quarantine.quarantined_key(&request_keys, self.now).is_some() {
            return;
        }
        let is_known = self.third_end_at.is_some_and(|at| self.now.since(at) > SPREAD_TIME);
        let is_informed = self.now.since(self.nodes[node].started_at) > SPREAD_TIME;
        self.late_sends += usize::from(is_known && is_informed);
        let ends_at = self.now + CRASH_AFTER;
        self.in_flight.push(InFlight {
            node,
            request_keys,
            process: self.processes,
            ends_at,
            attempts,
        });
    }

    fn end_instances(&mut self) {
        let now = self.now;
        let (finished, remaining): (Vec<InFlight>, Vec<InFlight>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|in_flight| in_flight.ends_at <= now);
        self.in_flight = remaining;
        for InFlight { node, request_keys: ended_by, process, attempts, .. } in finished {
            self.ended_instances += 1;
            if self.ended_instances == 3 {
                self.third_end_at = Some(now);
            }
            self.break_connection(node, ended_by, process);
            // The instance also ran a frequent and a unique request, whose connections break too.
            let other_node = self.rng.random_range(0..NODES);
            let hot = self.request_keys("hot", &[SHARED_PART]);
            self.break_connection(other_node, hot, process);
            let unique_name = format!("once-{process}");
            let unique = self.request_keys(&unique_name, &[SHARED_PART]);
            self.break_connection(other_node, unique, process);
            for at in [node, other_node] {
                self.nodes[at].quarantine.on_process_ended(process, now);
            }
            self.nodes[other_node].quarantine.on_completed(&[request_key(&unique_name)], now);
            if attempts < MAX_ATTEMPTS {
                self.send(node, attempts + 1);
            }
        }
    }

    fn kill_nodes(&mut self) {
        let all = self.now.since(START_TIME) == ALL_KILLED_AT;
        if all {
            self.ended_before_restart = Some(self.ended_instances);
        }
        let one = self.is_due(KILL_INTERVAL).then(|| self.rng.random_range(0..NODES));
        for node in (0..NODES).filter(|node| all || one == Some(*node)) {
            let mut quarantine = Quarantine::default();
            self.persisted.iter().for_each(|record| {
                quarantine.take(record, true);
            });
            self.nodes[node] = Node { quarantine, started_at: self.now };
            self.in_flight.retain(|in_flight| in_flight.node != node);
            self.gossip_in_flight.retain(|(_, to, _)| *to != node);
        }
    }

    fn gossip(&mut self) {
        if self.broken == Some(BrokenRule::Gossip) {
            return;
        }
        for from in 0..NODES {
            let records = self.nodes[from].quarantine.next_to_gossip(16, self.now);
            for to in (0..NODES).filter(|to| *to != from) {
                if self.rng.random_bool(GOSSIP_LOSS) {
                    continue;
                }
                let arrives = self.now + Millis(self.rng.random_range(0..100));
                self.gossip_in_flight
                    .extend(records.iter().map(|record| (arrives, to, record.clone())));
            }
        }
    }

    fn receive_gossip(&mut self) {
        let now = self.now;
        let (arrived, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.gossip_in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.gossip_in_flight = remaining;
        for (_, to, record) in arrived {
            self.nodes[to].quarantine.take(&record, true);
        }
    }

    fn persist(&mut self) {
        if self.broken == Some(BrokenRule::Persistence) {
            return;
        }
        for node in &mut self.nodes {
            for record in node.quarantine.take_unsaved() {
                self.persisted.retain(|persisted| persisted.request_key != record.request_key);
                self.persisted.push(record);
            }
        }
    }

    fn breach(&mut self) -> Option<Breach> {
        if self.late_sends > MAX_LATE_SENDS {
            return Some(Breach::SentWhileQuarantined);
        }
        if self.ended_before_restart.is_some_and(|before| self.ended_instances > before) {
            return Some(Breach::ForgottenAfterRestart);
        }
        let harmless = [request_key("hot"), request_key("reset"), part_key(SHARED_PART)];
        for (at, RequestKey { fingerprint, .. }) in harmless.into_iter().enumerate() {
            let is_quarantined = |node: &Node| {
                matches!(
                    node.quarantine.status(fingerprint, self.now),
                    QuarantineStatus::Quarantined(_)
                )
            };
            let is_quarantined = self.nodes.iter().any(is_quarantined);
            let since = self.quarantined_since[at].get_or_insert(self.now);
            if !is_quarantined {
                self.quarantined_since[at] = None;
            } else if self.now.since(*since) > MAX_INNOCENT_QUARANTINE {
                return Some(Breach::InnocentQuarantined);
            }
        }
        None
    }
}
