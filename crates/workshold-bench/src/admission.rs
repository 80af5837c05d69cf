//! Queueing and rejection under overload: the shipped fair queue against an unbounded FIFO queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::admission::Arrival;
use workshold_core::admission::Dequeued;
use workshold_core::admission::FairQueue;
use workshold_core::admission::Priority;
use workshold_core::admission::QueueRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::TeamName;

use crate::RunLength;
use crate::table::Table;

/// Requests that run at the same time.
const SERVERS: u32 = 20;
const SERVICE_MS: u64 = 200;
/// Time from arrival within which a request must be answered.
const DEADLINE_MS: u64 = 2_000;
const TEAMS: usize = 10;
/// The first teams are large: in the fairness bench they ask for more than their share.
const LARGE_TEAMS: usize = 2;
/// How often a rejected caller sends its request again, each time after the delay it was told.
const MAX_RETRIES: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The fair queue of `workshold-core` with its default rules.
    Shipped,
    /// First come, first served, without a bound or rejection.
    Fifo,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    team: usize,
    arrived_at: u64,
    /// When the caller first sent the request.
    first_sent_at: u64,
    /// How often the caller has sent it again.
    retries: u32,
}

enum Queue {
    Fair(FairQueue<Request>),
    Fifo(VecDeque<Request>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry { team: usize, first_sent_at: u64, retries: u32 },
    End,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Answers within the deadline: end (ms), team, time spent in the queue (ms).
    in_time: Vec<(u64, usize, u64)>,
    /// Requests that the queue rejected, and that expired in it.
    rejected: u64,
    /// Answers after the deadline.
    late_count: u64,
    /// End of the last late answer, in ms.
    last_late_end: u64,
}

struct Simulation {
    rng: ChaCha8Rng,
    queue: Queue,
    teams: Vec<TeamName>,
    /// Rate of new requests at a time (ms), as a multiple of the capacity.
    load: Box<dyn Fn(u64) -> f64>,
    /// Fraction of the requests that come from large teams.
    large_fraction: f64,
    /// Number of servers in use.
    busy: u32,
    /// Time (ms), sequence number as a tie-breaker, and event.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    outcome: Outcome,
}

fn capacity_per_s() -> f64 {
    f64::from(SERVERS) * 1000.0 / SERVICE_MS as f64
}

impl Simulation {
    fn new(policy: Policy, seed: u64, large_fraction: f64, load: Box<dyn Fn(u64) -> f64>) -> Self {
        let name = |i| TeamName::new(&format!("team-{i}")).expect("the name is valid");
        let queue = match policy {
            Policy::Shipped => Queue::Fair(FairQueue::new(QueueRules::default())),
            Policy::Fifo => Queue::Fifo(VecDeque::new()),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue,
            teams: (0..TEAMS).map(name).collect(),
            load,
            large_fraction,
            busy: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            outcome: Outcome::default(),
        }
    }

    /// Schedules an event at a time in ms.
    fn schedule(&mut self, ms: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((ms, self.next_event, event)));
    }

    /// Simulates `ms` milliseconds.
    fn run(mut self, ms: u64) -> Outcome {
        self.schedule(0, Event::Arrive);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > ms {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Retry { team, first_sent_at, retries } => {
                    self.submit(Request { team, arrived_at: now, first_sent_at, retries }, now);
                }
                Event::End => {
                    self.busy -= 1;
                    self.start_queued(now);
                }
            }
        }
        self.outcome
    }

    /// Schedules the next arrival and sends a new request of a random team.
    fn arrive(&mut self, now: u64) {
        let rate = (self.load)(now) * capacity_per_s();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1000.0;
        // Rounds randomly to whole milliseconds, so that several may arrive within one.
        let next = now + (gap + self.rng.random::<f64>()) as u64;
        self.schedule(next, Event::Arrive);
        let is_large = self.rng.random::<f64>() < self.large_fraction;
        let team = if is_large {
            self.rng.random_range(0..LARGE_TEAMS)
        } else {
            self.rng.random_range(LARGE_TEAMS..TEAMS)
        };
        self.submit(Request { team, arrived_at: now, first_sent_at: now, retries: 0 }, now);
    }

    /// Starts a request if a server is free and nothing waits, otherwise queues it. If the queue
    /// rejects it, schedules the caller's retry.
    fn submit(&mut self, request: Request, now: u64) {
        let draw = self.rng.random::<f64>();
        if self.busy < SERVERS && self.is_empty() {
            self.start(request, now);
            return;
        }
        let arrival = Arrival {
            team: &self.teams[request.team],
            share: 1.0,
            priority: Priority::Normal,
            start_by: Millis(now + DEADLINE_MS - SERVICE_MS),
            draw,
        };
        let rejected = match &mut self.queue {
            Queue::Fifo(queue) => {
                queue.push_back(request);
                None
            }
            Queue::Fair(queue) => queue.push(&arrival, request, Millis(now)).err(),
        };
        let Some(rejected) = rejected else { return };
        self.outcome.rejected += 1;
        if request.retries < MAX_RETRIES {
            let (team, first_sent_at) = (request.team, request.first_sent_at);
            let retries = request.retries + 1;
            let retry = Event::Retry { team, first_sent_at, retries };
            self.schedule(now + rejected.retry_after.0, retry);
        }
    }

    fn is_empty(&self) -> bool {
        match &self.queue {
            Queue::Fair(queue) => queue.is_empty(),
            Queue::Fifo(queue) => queue.is_empty(),
        }
    }

    /// Runs a request on a free server.
    fn start(&mut self, request: Request, now: u64) {
        self.busy += 1;
        self.schedule(now + SERVICE_MS, Event::End);
        let end = now + SERVICE_MS;
        if end <= request.arrived_at + DEADLINE_MS {
            self.outcome.in_time.push((end, request.team, now - request.arrived_at));
        } else {
            self.outcome.late_count += 1;
            self.outcome.last_late_end = end;
        }
    }

    /// Starts queued requests while servers are free.
    fn start_queued(&mut self, now: u64) {
        while self.busy < SERVERS {
            let next = match &mut self.queue {
                Queue::Fifo(queue) => queue.pop_front(),
                Queue::Fair(queue) => match queue.pop(Millis(now)) {
                    Some(Dequeued::Start(request)) => Some(request),
                    Some(Dequeued::Expired(_)) => {
                        self.outcome.rejected += 1;
                        continue;
                    }
                    None => None,
                },
            };
            let Some(request) = next else { return };
            self.start(request, now);
        }
    }
}

const POLICIES: [(&str, Policy); 2] = [("shipped", Policy::Shipped), ("first come", Policy::Fifo)];

/// Goodput (answers within the deadline, as a fraction of the capacity) and time to recover from a
/// burst, at several multiples of the capacity.
pub fn run(length: RunLength, seed: u64) -> Table {
    let secs = if length == RunLength::Long { 120 } else { 30 };
    let columns = ["goodput", "recovery s"];
    let mut table = Table::new("goodput under overload", &columns);
    for load in [1.0, 1.5, 3.0, 10.0] {
        for (name, policy) in POLICIES {
            let simulation = Simulation::new(policy, seed, 0.2, Box::new(move |_| load));
            let goodput = goodput(&simulation.run(secs * 1000), secs);
            table.push_row(
                format!("{load} times, {name}"),
                vec![goodput, recovery(policy, load, seed)],
            );
        }
    }
    table
}

/// Goodput as a fraction of the capacity; the first quarter of the run is left out.
fn goodput(outcome: &Outcome, secs: u64) -> f64 {
    let from = secs * 1000 / 4;
    let in_time = outcome.in_time.iter().filter(|(end, _, _)| *end > from).count();
    in_time as f64 / ((secs * 1000 - from) as f64 / 1000.0) / capacity_per_s()
}

const BURST_END_MS: u64 = 20_000;

/// Seconds from the end of a burst of 10 s to the last late answer. Apart from the burst, the load
/// is half the capacity.
fn recovery(policy: Policy, burst: f64, seed: u64) -> f64 {
    let load = move |now: u64| {
        if (10_000..BURST_END_MS).contains(&now) { burst } else { 0.5 }
    };
    let outcome = Simulation::new(policy, seed, 0.2, Box::new(load)).run(300_000);
    outcome.last_late_end.saturating_sub(BURST_END_MS) as f64 / 1000.0
}

/// Waiting times and answers of small teams while two large ones ask for five times their share.
pub fn fairness(length: RunLength, seed: u64) -> Table {
    let secs = if length == RunLength::Long { 120 } else { 30 };
    let columns = ["small teams: wait p50 ms", "wait p95 ms", "answered of asked"];
    let mut table = Table::new("two large teams at five times their share", &columns);
    // Eight small teams at half of their share, two large ones at five times it.
    let (small, large) = (0.4, 1.0);
    let cases =
        [("empty system", small, 0.0), ("overloaded", small + large, large / (small + large))];
    for (case, load, part) in cases {
        for (name, policy) in POLICIES {
            let outcome =
                Simulation::new(policy, seed, part, Box::new(move |_| load)).run(secs * 1000);
            let mut waits: Vec<_> = outcome
                .in_time
                .iter()
                .filter(|(_, team, _)| *team >= LARGE_TEAMS)
                .map(|(_, _, wait)| *wait as f64)
                .collect();
            waits.sort_by(f64::total_cmp);
            let quantile = |q: f64| {
                waits.get(((waits.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(f64::NAN)
            };
            let asked = small * capacity_per_s() * secs as f64;
            let answered = waits.len() as f64 / asked;
            table
                .push_row(format!("{case}, {name}"), vec![quantile(0.5), quantile(0.95), answered]);
        }
    }
    table
}
