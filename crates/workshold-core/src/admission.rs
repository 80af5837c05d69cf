//! Admission control: which requests wait, in which order, and which are refused
//! on arrival.
//!
//! Requests that no group has room for wait in a queue with start-time fair
//! queueing: each pair of team and priority is a flow with a weight, and the
//! request with the lowest start tag goes next. A request whose expected wait
//! exceeds its deadline is refused on arrival, with a retry-after time that is
//! randomised so that callers do not return together.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use workshold_protocol::Millis;
use workshold_protocol::ids::TeamName;

/// Limits and rate estimation of the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueRules {
    /// The most requests that wait at once.
    pub max_waiting: usize,
    /// The fraction of `max_waiting` that one flow may use.
    pub max_flow_share: f64,
    /// Rate in requests per second that is assumed before the first measurement.
    pub initial_rate: f64,
    /// Weight of the newest sample in the moving average of the rate.
    pub smoothing: f64,
}

impl Default for QueueRules {
    fn default() -> Self {
        Self { max_waiting: 1024, max_flow_share: 0.5, initial_rate: 20.0, smoothing: 0.1 }
    }
}

/// The priority that a caller gives a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Other work waits at a barrier until the answer arrives.
    High,
    /// The default.
    Normal,
    /// Background work that nobody waits for.
    Low,
}

impl Priority {
    /// Weight in the fair queue, relative to other priorities of the same team.
    const fn weight(self) -> f64 {
        match self {
            Self::High => 16.0,
            Self::Normal => 4.0,
            Self::Low => 1.0,
        }
    }

    /// Parses the value of the priority header; `None` if it is no known priority.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "high" => Some(Self::High),
            "normal" => Some(Self::Normal),
            "low" => Some(Self::Low),
            _ => None,
        }
    }

    /// The priority as a number for the engine, which serves higher ones first.
    pub const fn engine_priority(self) -> u8 {
        match self {
            Self::High => 2,
            Self::Normal => 1,
            Self::Low => 0,
        }
    }
}

/// The answer to a request that is refused on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// How long it would have waited.
    pub expected_wait: Millis,
    /// How long the caller should wait before it retries.
    pub retry_after: Millis,
}

/// A request that arrives at the queue.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// The team of its caller.
    pub team: &'a TeamName,
    /// The team's weight, relative to other teams.
    pub share: f64,
    /// Its priority within the team.
    pub priority: Priority,
    /// Deadline for its start.
    pub start_by: Millis,
    /// Random number, uniform in 0 to 1, for the jitter of the retry-after time.
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

/// The fair queue for one model or service at one node.
#[derive(Debug)]
pub struct FairQueue<T> {
    rules: QueueRules,
    flows: BTreeMap<(TeamName, Priority), Flow<T>>,
    virtual_time: f64,
    waiting: usize,
    rate: f64,
    last_start: Option<Millis>,
}

/// A request that leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// It is next and may start.
    Start(T),
    /// Its deadline for the start has passed; it is to be refused.
    Expired(T),
}

impl<T> FairQueue<T> {
    /// An empty queue, at the initial rate.
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

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Measured rate, in requests per second, at which requests start while others wait.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// [`Refused`] if it is not expected to start in time, or if the queue or its
    /// flow is full.
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

    /// Removes the next request; those whose deadline has passed come first.
    pub fn pop(&mut self, now: Millis) -> Option<Dequeued<T>> {
        if let Some(expired) = self.pop_expired(now) {
            return Some(Dequeued::Expired(expired));
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
        Some(Dequeued::Start(waiting.item))
    }

    /// Removes one request whose deadline for the start has passed.
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

    /// Removes the requests for which `is_gone` is true: their callers have left.
    pub fn remove_gone(&mut self, is_gone: impl Fn(&T) -> bool) {
        for flow in self.flows.values_mut() {
            let before = flow.waiting.len();
            flow.waiting.retain(|waiting| !is_gone(&waiting.item));
            self.waiting -= before - flow.waiting.len();
        }
        self.drop_idle_flows();
    }

    /// How long a request would wait: the number of starts that the fair order puts
    /// before it, divided by the measured rate.
    pub fn expected_wait(&self, arrival: &Arrival<'_>) -> Millis {
        let own_weight = arrival.share * arrival.priority.weight();
        let own = self.flows.get(&(arrival.team.clone(), arrival.priority));
        let own_waiting = own.map_or(0, |flow| flow.waiting.len()) as f64 + 1.0;
        let others = self.flows.iter().filter(|((team, priority), flow)| {
            (team, *priority) != (arrival.team, arrival.priority) && !flow.waiting.is_empty()
        });
        // The requests that another flow starts first are bounded by its relative weight.
        let before: f64 = others
            .map(|(_, flow)| {
                (flow.waiting.len() as f64).min(own_waiting * flow.weight / own_weight)
            })
            .sum();
        let starts = own_waiting - 1.0 + before;
        Millis((starts / self.rate.max(MIN_RATE) * 1000.0) as u64)
    }

    fn refusal(&self, expected: Millis, arrival: &Arrival<'_>, now: Millis) -> Refused {
        // By then the queue has shrunk to what the deadline allows.
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
            // Averages the gaps between starts rather than their rates, so that a
            // burst does not dominate.
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

/// Requests per second; keeps the expected wait finite when almost nothing starts.
const MIN_RATE: f64 = 0.01;
/// Keeps the rate finite for requests that start in the same millisecond.
const MIN_GAP_SECS: f64 = 0.000_1;
/// Bounds of the retry-after time.
const MIN_RETRY_AFTER_MS: u64 = 200;
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
