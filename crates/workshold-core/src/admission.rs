//! Who waits, in which order, and who is refused at once.
//!
//! Requests that no group has room for wait in a fair queue: each pair of team
//! and priority is a flow with a weight, served by start tags. A request whose
//! expected wait passes its deadline is refused on arrival, with the time after
//! which coming back makes sense, spread so that callers do not return together.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use workshold_protocol::Millis;
use workshold_protocol::ids::TeamName;

/// How the queue is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueRules {
    /// The most that wait at once.
    pub max_waiting: usize,
    /// The most that one flow may have waiting, as a share of that.
    pub max_flow_share: f64,
    /// Requests a second that are assumed before any were measured.
    pub initial_rate: f64,
    /// Weight of the newest measurement of the rate.
    pub smoothing: f64,
}

impl Default for QueueRules {
    fn default() -> Self {
        Self { max_waiting: 1024, max_flow_share: 0.5, initial_rate: 20.0, smoothing: 0.1 }
    }
}

/// A caller's priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Somebody waits at a barrier.
    High,
    /// The usual.
    Normal,
    /// Nobody waits.
    Low,
}

impl Priority {
    /// Weight against other priorities of the same team.
    const fn weight(self) -> f64 {
        match self {
            Self::High => 16.0,
            Self::Normal => 4.0,
            Self::Low => 1.0,
        }
    }

    /// Reads the header's value.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "high" => Some(Self::High),
            "normal" => Some(Self::Normal),
            "low" => Some(Self::Low),
            _ => None,
        }
    }

    /// What engines are told; higher goes first.
    pub const fn engine_priority(self) -> u8 {
        match self {
            Self::High => 2,
            Self::Normal => 1,
            Self::Low => 0,
        }
    }
}

/// A request that is refused before it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// The wait that it would have had.
    pub expected_wait: Millis,
    /// When to come back.
    pub retry_after: Millis,
}

/// A request that asks to wait.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// Its team.
    pub team: &'a TeamName,
    /// The team's share against the others.
    pub share: f64,
    /// Its priority.
    pub priority: Priority,
    /// When it must have been started.
    pub start_by: Millis,
    /// Uniform in 0 to 1; spreads the callers' return.
    pub draw: f64,
}

#[derive(Debug)]
struct Waiting<T> {
    start_tag: f64,
    start_by: Millis,
    item: T,
}

#[derive(Debug)]
struct Flow<T> {
    weight: f64,
    last_finish: f64,
    waiting: VecDeque<Waiting<T>>,
}

/// The fair queue of one model or service at one node.
#[derive(Debug)]
pub struct FairQueue<T> {
    rules: QueueRules,
    flows: BTreeMap<(TeamName, Priority), Flow<T>>,
    virtual_time: f64,
    waiting: usize,
    rate: f64,
    last_start: Option<Millis>,
}

/// What leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// It is this one's turn.
    Start(T),
    /// It has waited past its time and gets its final answer now.
    Expired(T),
}

impl<T> FairQueue<T> {
    /// An empty queue.
    pub fn new(rules: QueueRules) -> Self {
        Self {
            rules,
            flows: BTreeMap::new(),
            virtual_time: 0.0,
            waiting: 0,
            rate: rules.initial_rate,
            last_start: None,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Requests a second that leave the queue while somebody waits.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// [`Refused`] if it could not start in time, or if too many wait.
    pub fn push(&mut self, arrival: &Arrival<'_>, item: T, now: Millis) -> Result<(), Refused> {
        let expected = self.expected_wait(arrival);
        let flow_limit = (self.rules.max_waiting as f64 * self.rules.max_flow_share) as usize;
        let key = (arrival.team.clone(), arrival.priority);
        let in_flow = self.flows.get(&key).map_or(0, |flow| flow.waiting.len());
        let is_full = self.waiting >= self.rules.max_waiting || in_flow >= flow_limit;
        if is_full || now + expected > arrival.start_by {
            return Err(self.refusal(expected, arrival, now));
        }
        self.enqueue(key, arrival, item);
        Ok(())
    }

    /// Takes out whoever is next; those past their time come out first.
    pub fn pop(&mut self, now: Millis) -> Option<Popped<T>> {
        if let Some(expired) = self.pop_expired(now) {
            return Some(Popped::Expired(expired));
        }
        let next = self
            .flows
            .iter()
            .filter_map(|(key, flow)| Some((flow.waiting.front()?.start_tag, key)))
            .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        let key = next?.1.clone();
        let flow = self.flows.get_mut(&key)?;
        let waiting = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        self.waiting -= 1;
        self.measure(now);
        self.drop_idle_flows();
        Some(Popped::Start(waiting.item))
    }

    /// Takes out one that has waited past its time.
    pub fn pop_expired(&mut self, now: Millis) -> Option<T> {
        for flow in self.flows.values_mut() {
            let late = flow.waiting.iter().position(|waiting| waiting.start_by < now);
            if let Some(waiting) = late.and_then(|i| flow.waiting.remove(i)) {
                self.waiting -= 1;
                return Some(waiting.item);
            }
        }
        None
    }

    /// Takes out those that `is_gone` says nobody waits for any more.
    pub fn remove_gone(&mut self, is_gone: impl Fn(&T) -> bool) {
        for flow in self.flows.values_mut() {
            let before = flow.waiting.len();
            flow.waiting.retain(|waiting| !is_gone(&waiting.item));
            self.waiting -= before - flow.waiting.len();
        }
        self.drop_idle_flows();
    }

    /// How long a request would wait: as many starts as the fair order puts
    /// before it, at the measured rate.
    pub fn expected_wait(&self, arrival: &Arrival<'_>) -> Millis {
        let own_weight = arrival.share * arrival.priority.weight();
        let own = self.flows.get(&(arrival.team.clone(), arrival.priority));
        let own_waiting = own.map_or(0, |flow| flow.waiting.len()) as f64 + 1.0;
        let others = self.flows.iter().filter(|((team, priority), flow)| {
            (team, *priority) != (arrival.team, arrival.priority) && !flow.waiting.is_empty()
        });
        // A flow goes before this request at most in proportion to its weight.
        let before: f64 = others
            .map(|(_, flow)| {
                (flow.waiting.len() as f64).min(own_waiting * flow.weight / own_weight)
            })
            .sum();
        let starts = own_waiting - 1.0 + before;
        Millis((starts / self.rate.max(MIN_RATE) * 1000.0) as u64)
    }

    fn refusal(&self, expected: Millis, arrival: &Arrival<'_>, now: Millis) -> Refused {
        // Come back when the queue has shrunk to what the deadline allows.
        let budget = arrival.start_by.since(now);
        let excess = expected.since(budget).0.max(MIN_RETRY_AFTER_MS) as f64;
        let spread = 1.0 + arrival.draw;
        let after = Millis((excess * spread).min(MAX_RETRY_AFTER_MS) as u64);
        Refused { expected_wait: expected, retry_after: after }
    }

    fn enqueue(&mut self, key: (TeamName, Priority), arrival: &Arrival<'_>, item: T) {
        let weight = (arrival.share * arrival.priority.weight()).max(f64::MIN_POSITIVE);
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            weight,
            last_finish: 0.0,
            waiting: VecDeque::new(),
        });
        flow.weight = weight;
        let start_tag = self.virtual_time.max(flow.last_finish);
        flow.last_finish = start_tag + 1.0 / weight;
        flow.waiting.push_back(Waiting { start_tag, start_by: arrival.start_by, item });
        self.waiting += 1;
    }

    fn measure(&mut self, now: Millis) {
        if let Some(last) = self.last_start.filter(|_| self.waiting > 0) {
            let gap = now.since(last).as_secs_f64().max(MIN_GAP_SECS);
            // Averages the gap, not the rate, so that a burst does not dominate.
            let mean_gap = 1.0 / self.rate;
            self.rate = 1.0 / (mean_gap + self.rules.smoothing * (gap - mean_gap));
        }
        self.last_start = (self.waiting > 0).then_some(now);
    }

    fn drop_idle_flows(&mut self) {
        let now = self.virtual_time;
        self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.last_finish > now);
    }
}

const MIN_RATE: f64 = 0.01;
const MIN_GAP_SECS: f64 = 0.000_1;
const MIN_RETRY_AFTER_MS: u64 = 200;
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
