//! A request that ends whoever begins to run it, asked again and again at all nodes, beside
//! innocent ones: nodes that are killed, news that is lost, and the promises about both.
//!
//! Time matters too much for a search of all states: worlds are drawn from seeds. What each
//! node knows is the shipped code.

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

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Nodes tell each other nothing.
    Told,
    /// Nobody keeps anything for those who start later.
    Kept,
    /// A broken connection counts as the end of its instance.
    Proof,
    /// That a request ran to its end clears nothing.
    Cleared,
    /// A request is known by its id.
    Content,
}

impl Broken {
    /// All of them, each with the promise that breaks with it.
    pub const ALL: &'static [(Self, Breach)] = &[
        (Self::Told, Breach::SentOn),
        (Self::Kept, Breach::EndedAgain),
        (Self::Proof, Breach::InnocentHeld),
        (Self::Cleared, Breach::InnocentHeld),
        (Self::Content, Breach::SentOn),
    ];
}

/// What did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breach {
    /// Nodes that could know sent it on more often than a few times.
    SentOn,
    /// All nodes were killed, and it ended more instances.
    EndedAgain,
    /// An innocent request was refused for long.
    InnocentHeld,
}

const LASTS: Millis = Millis(40_000);
const STEP: Millis = Millis(10);
const BEGIN: Millis = Millis(100_000);
const NODES: usize = 4;
/// Whoever has lived for this long, this long after the third end, knows.
const KNOWN_WITHIN: Millis = Millis(3_000);
const SENT_ON_AT_MOST: usize = 3;
const ATTEMPTS: u32 = 2;
const ASKED_EVERY: Millis = Millis(400);
const BEGINS: Millis = Millis(150);
const TOLD_EVERY: Millis = Millis(100);
const LOST_PART: f64 = 0.3;
const KILL_EVERY: Millis = Millis(5_000);
const ALL_KILLED_AT: Millis = Millis(20_000);
/// The much-asked request ends well this often, at some node.
const HOT_EVERY: Millis = Millis(700);
/// Longer than the time between two good ends of it, and until all have heard.
const HELD_FOR_LONG: Millis = Millis(2_500);

struct Node {
    knows: Quarantine,
    since: Millis,
}

/// One send of the request that ends its instance.
struct Sent {
    node: usize,
    request_key: RequestKey,
    life: u64,
    ends_at: Millis,
    attempts: u32,
}

/// All nodes, what is on its way, and what is kept.
pub struct EndingWorld {
    rng: ChaCha8Rng,
    broken: Option<Broken>,
    now: Millis,
    nodes: Vec<Node>,
    sent: Vec<Sent>,
    news: Vec<(Millis, usize, QuarantineRecord)>,
    kept: Vec<QuarantineRecord>,
    lives: u64,
    third_at: Option<Millis>,
    ended: usize,
    /// How many had ended when all nodes were killed.
    ended_before: Option<usize>,
    sent_on: usize,
    held_since: [Option<Millis>; 2],
}

fn request_key(name: &str) -> RequestKey {
    RequestKey { fingerprint: Fingerprint::of(Some(name), "/x", b"body"), caller: name_hash(name) }
}

impl EndingWorld {
    /// The world of a seed.
    pub fn new(seed: u64, broken: Option<Broken>) -> Self {
        let node = || Node { knows: Quarantine::default(), since: Millis::ZERO };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            broken,
            now: BEGIN,
            nodes: (0..NODES).map(|_| node()).collect(),
            sent: Vec::new(),
            news: Vec::new(),
            kept: Vec::new(),
            lives: 0,
            third_at: None,
            ended: 0,
            ended_before: None,
            sent_on: 0,
            held_since: [None; 2],
        }
    }

    /// Plays it; what broke, and how many instances ended.
    pub fn run(mut self) -> (Option<Breach>, usize) {
        while self.now < BEGIN + LASTS {
            self.now = self.now + STEP;
            if let Some(breach) = self.step() {
                return (Some(breach), self.ended);
            }
        }
        (None, self.ended)
    }

    fn is_time(&self, every: Millis) -> bool {
        self.now.since(BEGIN).0.is_multiple_of(every.0)
    }

    fn step(&mut self) -> Option<Breach> {
        self.kill();
        self.hear();
        self.end_instances();
        if self.is_time(ASKED_EVERY) {
            let node = self.rng.random_range(0..NODES);
            self.send(node, 1);
        }
        if self.is_time(HOT_EVERY) && self.broken != Some(Broken::Cleared) {
            let node = self.rng.random_range(0..NODES);
            let (hot, now) = (request_key("hot").fingerprint, self.now);
            self.nodes[node].knows.on_completed(hot, now);
        }
        if self.is_time(ASKED_EVERY) {
            self.reset();
        }
        if self.is_time(TOLD_EVERY) {
            self.tell();
        }
        self.keep();
        self.breach()
    }

    /// A path resets: the instance lives on.
    fn reset(&mut self) {
        let node = self.rng.random_range(0..NODES);
        self.lives += 1;
        self.broke(node, request_key("reset"), self.lives);
    }

    fn broke(&mut self, node: usize, request_key: RequestKey, life: u64) {
        let (now, is_proof) = (self.now, self.broken == Some(Broken::Proof));
        let knows = &mut self.nodes[node].knows;
        knows.on_connection_broken(request_key, life, life as u32, now);
        if is_proof {
            knows.on_process_ended(life, now);
        }
    }

    fn send(&mut self, node: usize, attempts: u32) {
        let is_held = |knows: &Quarantine, request_key: RequestKey, now| {
            matches!(knows.status(request_key.fingerprint, now), QuarantineStatus::Quarantined(_))
        };
        self.lives += 1;
        let name = format!("r-{}", self.lives);
        let by_id = self.broken == Some(Broken::Content);
        let request_key = request_key(if by_id { &name } else { "ends" });
        if is_held(&self.nodes[node].knows, request_key, self.now) {
            return;
        }
        let is_late = self.third_at.is_some_and(|at| self.now.since(at) > KNOWN_WITHIN);
        let has_lived = self.now.since(self.nodes[node].since) > KNOWN_WITHIN;
        self.sent_on += usize::from(is_late && has_lived);
        let ends_at = self.now + BEGINS;
        self.sent.push(Sent { node, request_key, life: self.lives, ends_at, attempts });
    }

    fn end_instances(&mut self) {
        let now = self.now;
        let (over, left): (Vec<Sent>, Vec<Sent>) =
            std::mem::take(&mut self.sent).into_iter().partition(|sent| sent.ends_at <= now);
        self.sent = left;
        for Sent { node, request_key: one, life, attempts, .. } in over {
            self.ended += 1;
            if self.ended == 3 {
                self.third_at = Some(now);
            }
            self.broke(node, one, life);
            // Much-asked content runs at every instance, and one that is asked once.
            let beside = self.rng.random_range(0..NODES);
            self.broke(beside, request_key("hot"), life);
            let other = format!("once-{life}");
            self.broke(beside, request_key(&other), life);
            for at in [node, beside] {
                self.nodes[at].knows.on_process_ended(life, now);
            }
            self.nodes[beside].knows.on_completed(request_key(&other).fingerprint, now);
            if attempts < ATTEMPTS {
                self.send(node, attempts + 1);
            }
        }
    }

    fn kill(&mut self) {
        let all = self.now.since(BEGIN) == ALL_KILLED_AT;
        if all {
            self.ended_before = Some(self.ended);
        }
        let one = self.is_time(KILL_EVERY).then(|| self.rng.random_range(0..NODES));
        for node in (0..NODES).filter(|node| all || one == Some(*node)) {
            let mut knows = Quarantine::default();
            self.kept.iter().for_each(|known| {
                knows.take(known, true);
            });
            self.nodes[node] = Node { knows, since: self.now };
            self.sent.retain(|sent| sent.node != node);
            self.news.retain(|(_, to, _)| *to != node);
        }
    }

    fn tell(&mut self) {
        if self.broken == Some(Broken::Told) {
            return;
        }
        for from in 0..NODES {
            let told = self.nodes[from].knows.next_to_gossip(16, self.now);
            for to in (0..NODES).filter(|to| *to != from) {
                if self.rng.random_bool(LOST_PART) {
                    continue;
                }
                let arrives = self.now + Millis(self.rng.random_range(0..100));
                self.news.extend(told.iter().map(|known| (arrives, to, known.clone())));
            }
        }
    }

    fn hear(&mut self) {
        let now = self.now;
        let (come, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.news).into_iter().partition(|(at, ..)| *at <= now);
        self.news = left;
        for (_, to, known) in come {
            self.nodes[to].knows.take(&known, true);
        }
    }

    fn keep(&mut self) {
        if self.broken == Some(Broken::Kept) {
            return;
        }
        for node in &mut self.nodes {
            for known in node.knows.take_unsaved() {
                self.kept.retain(|kept| kept.request_key != known.request_key);
                self.kept.push(known);
            }
        }
    }

    fn breach(&mut self) -> Option<Breach> {
        if self.sent_on > SENT_ON_AT_MOST {
            return Some(Breach::SentOn);
        }
        if self.ended_before.is_some_and(|before| self.ended > before) {
            return Some(Breach::EndedAgain);
        }
        for (at, name) in ["hot", "reset"].into_iter().enumerate() {
            let one = request_key(name).fingerprint;
            let is_held = |node: &Node| {
                matches!(node.knows.status(one, self.now), QuarantineStatus::Quarantined(_))
            };
            let is_held = self.nodes.iter().any(is_held);
            let since = self.held_since[at].get_or_insert(self.now);
            if !is_held {
                self.held_since[at] = None;
            } else if self.now.since(*since) > HELD_FOR_LONG {
                return Some(Breach::InnocentHeld);
            }
        }
        None
    }
}
