//! One instance that names limits, asks for rest, leaves and begins anew, before nodes that are
//! killed and tell each other what it said, with news that is lost or late and answers that
//! overtake each other.
//!
//! Time matters too much for a search of all states: worlds are drawn from seeds. What each node
//! knows, and what it may send, is the shipped code.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::hosted::instance_limits;
use workshold_core::hosted::instance_limits::InstanceLimits;
use workshold_core::hosted::instance_limits::LimitReport;
use workshold_core::hosted::instance_limits::Rate;
use workshold_core::hosted::instance_limits::SenderShare;
use workshold_protocol::Millis;

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Any answer without a limit lifts it, however early its request left.
    LaterWordsLift,
    /// Some ways to the instance do not ask for a permit.
    EveryWayAsks,
    /// Every node is a sender with the whole limit.
    Shared,
    /// What one life said counts for the next.
    ByLife,
    /// Nobody is sent what was withheld: a limit near nothing is never asked about again.
    AsksAgain,
    /// The shortest rest counts.
    LongestRest,
}

impl Broken {
    /// All of them, each with the promise that breaks with it.
    pub const ALL: &'static [(Self, Breach)] = &[
        (Self::LaterWordsLift, Breach::OverLimit),
        (Self::EveryWayAsks, Breach::SentToLeaving),
        (Self::Shared, Breach::OverLimit),
        (Self::ByLife, Breach::KeptOut),
        (Self::AsksAgain, Breach::KeptOut),
        (Self::LongestRest, Breach::SentInRest),
    ];
}

/// What did not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breach {
    /// More came in four seconds than a limit allows, of nodes that had been told.
    OverLimit,
    /// More than two came of a node that had been asked for rest.
    SentInRest,
    /// One came of a node that had been told that the instance leaves.
    SentToLeaving,
    /// A new life, or an instance that lifted its limit, got nothing for long.
    KeptOut,
}

const BEGIN: Millis = Millis(100_000);
const LASTS: Millis = Millis(90_000);
const STEP: Millis = Millis(20);
const NODES: usize = 6;
/// What each node wants to send a second.
const WANTED: f64 = 4.0;
/// The longest that an answer takes, one in so many that waits in a queue, and news.
const ANSWER_MOST: u64 = 1_200;
const QUEUED: u32 = 5;
const QUEUED_MOST: u64 = 5_000;
const NEWS_MOST: u64 = 400;
const LOST_PART: f64 = 0.2;
const TOLD_EVERY: Millis = Millis(200);
/// A node is killed about this often, missed after a while, and back after another.
const KILL_EVERY: Millis = Millis(2_000);
const MISSED_AFTER: Millis = Millis(900);
const BACK_AFTER: Millis = Millis(2_000);
/// The instance says something else about this often.
const SAYS_EVERY: Millis = Millis(9_000);
/// The highest limit, in tenths of a request a second, and how many limits are of nothing.
const TENTHS: u32 = 25;
const NOTHING_PART: f64 = 0.3;

/// What the promise allows: within a span, beyond a limit, from when on, and of whom.
const SPAN: Millis = Millis(4_000);
const OVER: f64 = 1.5;
const MORE: f64 = 5.0;
const KNOWN: Millis = Millis(3_000);
const TOLD: Millis = Millis(500);
const IN_REST: usize = 2;
const DRAINS: Millis = Millis(2_000);
/// Longer than a limit of nothing takes to be found lifted: its senders' next request, the
/// answer, and its way to all.
const KEPT_OUT: Millis = Millis(24_000);

struct Node {
    instance_limits: InstanceLimits<u32>,
    up_since: Option<Millis>,
    down_at: Millis,
    /// When it was first told of the limit and of the leaving of this life.
    told: Option<Millis>,
    told_leaving: Option<Millis>,
    /// Since when it rests and until when, and how many came in that.
    rest: Option<(Millis, Millis, usize)>,
}

impl Node {
    fn new(now: Millis) -> Self {
        Self {
            instance_limits: InstanceLimits::default(),
            up_since: Some(now),
            down_at: Millis::ZERO,
            told: None,
            told_leaving: None,
            rest: None,
        }
    }
}

/// What an answer says, and of which life.
#[derive(Debug, Clone, Copy)]
struct Answer {
    life: u32,
    limit: Option<Rate>,
    rest: Option<Millis>,
    leaves: bool,
    asked: Millis,
}

/// The instance, the nodes, and what is on its way.
pub struct IntakeWorld {
    rng: ChaCha8Rng,
    broken: Option<Broken>,
    /// In half of the worlds nobody is: whoever begins anew has forgotten what was said.
    are_killed: bool,
    now: Millis,
    nodes: Vec<Node>,
    life: u32,
    limit: Option<(Rate, Millis)>,
    /// Limits that it has named in this life, and from when on.
    limits: Vec<(Millis, Rate)>,
    /// Every refusal asks for rest until then.
    rests_until: Millis,
    leaves_since: Option<Millis>,
    /// Since when it takes whatever comes.
    free_since: Millis,
    answers: Vec<(Millis, usize, Answer)>,
    news: Vec<(Millis, usize, u32, LimitReport)>,
    came: Vec<Millis>,
    last_came: Millis,
}

impl IntakeWorld {
    /// The world of a seed.
    pub fn new(seed: u64, broken: Option<Broken>) -> Self {
        let nodes = (0..NODES).map(|_| Node::new(BEGIN)).collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            broken,
            are_killed: !seed.is_multiple_of(2),
            now: BEGIN,
            nodes,
            life: 0,
            limit: None,
            limits: Vec::new(),
            rests_until: Millis::ZERO,
            leaves_since: None,
            free_since: BEGIN,
            answers: Vec::new(),
            news: Vec::new(),
            came: Vec::new(),
            last_came: BEGIN,
        }
    }

    /// Plays it; what broke, and how many requests came.
    pub fn run(mut self) -> (Option<Breach>, usize) {
        while self.now < BEGIN + LASTS {
            self.now = self.now + STEP;
            if let Some(breach) = self.step() {
                return (Some(breach), self.came.len());
            }
        }
        (None, self.came.len())
    }

    fn happens(&mut self, every: Millis) -> bool {
        self.rng.random_bool(STEP.as_secs_f64() / every.as_secs_f64())
    }

    fn step(&mut self) -> Option<Breach> {
        if self.happens(SAYS_EVERY) {
            self.say();
        }
        if self.are_killed && self.happens(KILL_EVERY) {
            let node = self.rng.random_range(0..NODES);
            self.nodes[node].down_at = self.now;
            self.nodes[node].up_since = None;
        }
        for node in 0..NODES {
            let down_for = self.now.since(self.nodes[node].down_at);
            if self.nodes[node].up_since.is_none() && down_for >= BACK_AFTER {
                self.nodes[node] = Node::new(self.now);
            }
        }
        self.hear();
        for node in (0..NODES).rev() {
            let wants = self.rng.random_bool(WANTED * STEP.as_secs_f64());
            if wants && self.nodes[node].up_since.is_some() {
                let breach = self.send(node);
                if breach.is_some() {
                    return breach;
                }
            }
            if self.happens(TOLD_EVERY) && self.nodes[node].up_since.is_some() {
                self.tell(node);
            }
        }
        self.kept_out()
    }

    /// The instance says something else, or another life of it begins.
    fn say(&mut self) {
        let now = self.now;
        match self.rng.random_range(0..5) {
            0 => {
                let takes_nothing = self.rng.random_bool(NOTHING_PART);
                let tenths = if takes_nothing { 0 } else { self.rng.random_range(0..TENTHS) };
                let rate = Rate(tenths * 100);
                let since = self.limit.map_or(now, |(_, since)| since);
                self.limit = Some((rate, since));
                self.limits.push((now, rate));
            }
            1 => {
                self.limit = None;
                self.free_since = now;
                self.nodes.iter_mut().for_each(|node| node.told = None);
            }
            2 => self.rests_until = now + Millis(self.rng.random_range(1_000..4_000)),
            3 => {
                self.leaves_since.get_or_insert(now);
            }
            _ => self.begin_anew(),
        }
    }

    fn begin_anew(&mut self) {
        self.life += 1;
        (self.limit, self.leaves_since, self.rests_until) = (None, None, Millis::ZERO);
        self.free_since = self.now;
        self.came.clear();
        self.limits.clear();
        for node in &mut self.nodes {
            (node.told, node.told_leaving, node.rest) = (None, None, None);
        }
    }

    /// The life by which a node keeps what was said.
    fn key(&self, life: u32) -> u32 {
        if self.broken == Some(Broken::ByLife) { 0 } else { life }
    }

    fn part(&self, node: usize, key: u32) -> SenderShare {
        if self.broken == Some(Broken::Shared) {
            return SenderShare { is_sender: true, senders: 1 };
        }
        let limit = self.nodes[node].instance_limits.limit(&key).unwrap_or(Rate(0));
        let senders = instance_limits::senders(limit, NODES);
        let is_seen =
            |node: &&Node| node.up_since.is_some() || self.now.since(node.down_at) < MISSED_AFTER;
        let before = self.nodes[..node].iter().filter(is_seen).count();
        SenderShare { is_sender: before < senders, senders }
    }

    fn send(&mut self, node: usize) -> Option<Breach> {
        let key = self.key(self.life);
        let part = self.part(node, key);
        let forgets = self.broken == Some(Broken::EveryWayAsks) && self.rng.random_bool(0.1);
        let never_again = self.broken == Some(Broken::AsksAgain)
            && self.nodes[node].instance_limits.limit(&key).is_some_and(|limit| limit < Rate(250));
        let may =
            self.nodes[node].instance_limits.take(&key, part, self.now).is_ok() && !never_again;
        if !may && !forgets {
            return None;
        }
        let answer = Answer {
            life: self.life,
            limit: self.limit.map(|(limit, _)| limit),
            rest: (self.rests_until > self.now).then(|| self.draw_rest()),
            leaves: self.leaves_since.is_some(),
            asked: self.now,
        };
        let is_queued = self.rng.random_range(0..QUEUED) == 0;
        let most = if is_queued { QUEUED_MOST } else { ANSWER_MOST };
        let comes = self.now + Millis(self.rng.random_range(20..most));
        self.answers.push((comes, node, answer));
        self.last_came = self.now;
        self.judge(node)
    }

    fn draw_rest(&mut self) -> Millis {
        Millis(self.rng.random_range(800..4_000))
    }

    /// Judges a request of a node that comes now.
    fn judge(&mut self, node: usize) -> Option<Breach> {
        let now = self.now;
        let node = &mut self.nodes[node];
        if node.told_leaving.is_some_and(|told| now.since(told) > DRAINS) {
            return Some(Breach::SentToLeaving);
        }
        if let Some((said, until, came)) = &mut node.rest
            && now.since(*said) > TOLD
            && now < *until
        {
            *came += 1;
            if *came > IN_REST {
                return Some(Breach::SentInRest);
            }
        }
        let (_, since) = self.limit?;
        let is_told = node.told.is_some_and(|told| now.since(told) >= TOLD);
        if !is_told || now < since + KNOWN {
            return None;
        }
        self.came.push(now);
        let of_span = |at: &&Millis| now.since(**at) < SPAN;
        let came = self.came.iter().filter(of_span).count() as f64;
        let allowed = SPAN.as_secs_f64() * self.highest().as_per_s() * OVER + MORE;
        (came > allowed).then_some(Breach::OverLimit)
    }

    /// The highest limit in the span, and before it for as long as nodes have to hear of a change.
    fn highest(&self) -> Rate {
        let ends = |i: usize| self.limits.get(i + 1).map_or(self.now, |(next, _)| *next);
        let named = self.limits.iter().enumerate();
        let in_force = named.filter(|(i, _)| self.now.since(ends(*i)) < SPAN + KNOWN);
        in_force.map(|(_, (_, rate))| *rate).max().unwrap_or(Rate(0))
    }

    fn tell(&mut self, from: usize) {
        for (life, word) in self.nodes[from].instance_limits.next_to_gossip(8) {
            for to in (0..NODES).filter(|to| *to != from) {
                if !self.rng.random_bool(LOST_PART) {
                    let comes = self.now + Millis(self.rng.random_range(0..NEWS_MOST));
                    self.news.push((comes, to, life, word));
                }
            }
        }
    }

    fn hear(&mut self) {
        let now = self.now;
        let (come, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, ..)| *at <= now);
        self.answers = left;
        for (_, node, answer) in come {
            if self.nodes[node].up_since.is_some_and(|since| since <= answer.asked) {
                self.hear_answer(node, answer);
            }
        }
        let (come, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.news).into_iter().partition(|(at, ..)| *at <= now);
        self.news = left;
        for (_, node, life, word) in come {
            self.nodes[node].instance_limits.on_limit_report(&life, word);
        }
    }

    fn hear_answer(&mut self, node: usize, answer: Answer) {
        let (now, key) = (self.now, self.key(answer.life));
        let lifts_at_once = self.broken == Some(Broken::LaterWordsLift) && answer.limit.is_none();
        let asked = if lifts_at_once { now + Millis(1_000) } else { answer.asked };
        let is_current = answer.life == self.life;
        let shortest = self.broken == Some(Broken::LongestRest);
        let node = &mut self.nodes[node];
        node.instance_limits.on_limit_report(
            &key,
            LimitReport { limit: answer.limit, request_sent_at: asked, answer_received_at: now },
        );
        if let Some(rest) = answer.rest {
            node.instance_limits.on_backoff(
                &key,
                if shortest { rest.min(Millis(900)) } else { rest },
                now,
            );
        }
        if answer.leaves {
            node.instance_limits.on_leaving(&key, now);
        }
        if !is_current {
            return;
        }
        if answer.limit.is_some() && self.limit.is_some() {
            node.told.get_or_insert(now);
        }
        if answer.leaves {
            node.told_leaving.get_or_insert(now);
        }
        if let Some(rest) = answer.rest {
            let until = node.rest.map_or(now, |(_, until, _)| until).max(now + rest);
            let (said, came) = match node.rest {
                Some((said, until, came)) if until > now => (said, came),
                _ => (now, 0),
            };
            node.rest = Some((said, until, came));
        }
    }

    /// Whether nobody sends although the instance has taken anything for long.
    fn kept_out(&self) -> Option<Breach> {
        let is_free = self.leaves_since.is_none() && self.limit.is_none();
        let since = self.free_since.max(self.last_came).max(self.rests_until + SPAN);
        (is_free && self.now.since(since) > KEPT_OUT).then_some(Breach::KeptOut)
    }
}
