//! Who waits and who is refused: the shipped queue against a plain one.

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

use crate::Length;
use crate::table::Table;

const SERVERS: u32 = 20;
const SERVICE_MS: u64 = 200;
const DEADLINE_MS: u64 = 2_000;
const TEAMS: usize = 10;
/// Teams that ask for more than their share.
const LARGE: usize = 2;
/// How often a refused caller comes back, if it was told when.
const RETURNS: u32 = 2;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Shipped,
    Fifo,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    team: usize,
    arrived: u64,
    first_asked: u64,
    returns: u32,
}

enum Queue {
    Fair(FairQueue<Call>),
    Fifo(VecDeque<Call>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive,
    Return { team: usize, first_asked: u64, returns: u32 },
    End,
}

#[derive(Debug, Default)]
struct Outcome {
    good: Vec<(u64, usize, u64)>,
    refused: u64,
    late: u64,
    last_late: u64,
}

struct Sim {
    rng: ChaCha8Rng,
    queue: Queue,
    teams: Vec<TeamName>,
    load: Box<dyn Fn(u64) -> f64>,
    large_part: f64,
    busy: u32,
    events: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    next: u64,
    outcome: Outcome,
}

fn capacity_per_s() -> f64 {
    f64::from(SERVERS) * 1000.0 / SERVICE_MS as f64
}

impl Sim {
    fn new(policy: Policy, seed: u64, large_part: f64, load: Box<dyn Fn(u64) -> f64>) -> Self {
        let name = |i| TeamName::new(&format!("team-{i}")).expect("it is a name");
        let queue = match policy {
            Policy::Shipped => Queue::Fair(FairQueue::new(QueueRules::default())),
            Policy::Fifo => Queue::Fifo(VecDeque::new()),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue,
            teams: (0..TEAMS).map(name).collect(),
            load,
            large_part,
            busy: 0,
            events: BinaryHeap::new(),
            next: 0,
            outcome: Outcome::default(),
        }
    }

    fn at(&mut self, ms: u64, happening: Happening) {
        self.next += 1;
        self.events.push(Reverse((ms, self.next, happening)));
    }

    fn run(mut self, ms: u64) -> Outcome {
        self.at(0, Happening::Arrive);
        while let Some(Reverse((now, _, happening))) = self.events.pop() {
            if now > ms {
                break;
            }
            match happening {
                Happening::Arrive => self.arrive(now),
                Happening::Return { team, first_asked, returns } => {
                    self.ask(Call { team, arrived: now, first_asked, returns }, now);
                }
                Happening::End => {
                    self.busy -= 1;
                    self.start_waiting(now);
                }
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64) {
        let rate = (self.load)(now) * capacity_per_s();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1000.0;
        // Several may come within one millisecond.
        let next = now + (gap + self.rng.random::<f64>()) as u64;
        self.at(next, Happening::Arrive);
        let is_large = self.rng.random::<f64>() < self.large_part;
        let team = if is_large {
            self.rng.random_range(0..LARGE)
        } else {
            self.rng.random_range(LARGE..TEAMS)
        };
        self.ask(Call { team, arrived: now, first_asked: now, returns: 0 }, now);
    }

    fn ask(&mut self, call: Call, now: u64) {
        let draw = self.rng.random::<f64>();
        if self.busy < SERVERS && self.is_empty() {
            self.start(call, now);
            return;
        }
        let arrival = Arrival {
            team: &self.teams[call.team],
            share: 1.0,
            priority: Priority::Normal,
            start_by: Millis(now + DEADLINE_MS - SERVICE_MS),
            draw,
        };
        let refused = match &mut self.queue {
            Queue::Fifo(queue) => {
                queue.push_back(call);
                None
            }
            Queue::Fair(queue) => queue.push(&arrival, call, Millis(now)).err(),
        };
        let Some(refused) = refused else { return };
        self.outcome.refused += 1;
        if call.returns < RETURNS {
            let (team, first_asked) = (call.team, call.first_asked);
            let returns = call.returns + 1;
            let back = Happening::Return { team, first_asked, returns };
            self.at(now + refused.retry_after.0, back);
        }
    }

    fn is_empty(&self) -> bool {
        match &self.queue {
            Queue::Fair(queue) => queue.is_empty(),
            Queue::Fifo(queue) => queue.is_empty(),
        }
    }

    fn start(&mut self, call: Call, now: u64) {
        self.busy += 1;
        self.at(now + SERVICE_MS, Happening::End);
        let end = now + SERVICE_MS;
        if end <= call.arrived + DEADLINE_MS {
            self.outcome.good.push((end, call.team, now - call.arrived));
        } else {
            self.outcome.late += 1;
            self.outcome.last_late = end;
        }
    }

    fn start_waiting(&mut self, now: u64) {
        while self.busy < SERVERS {
            let next = match &mut self.queue {
                Queue::Fifo(queue) => queue.pop_front(),
                Queue::Fair(queue) => match queue.pop(Millis(now)) {
                    Some(Dequeued::Start(call)) => Some(call),
                    Some(Dequeued::Expired(_)) => {
                        self.outcome.refused += 1;
                        continue;
                    }
                    None => None,
                },
            };
            let Some(call) = next else { return };
            self.start(call, now);
        }
    }
}

const POLICIES: [(&str, Policy); 2] = [("shipped", Policy::Shipped), ("first come", Policy::Fifo)];

/// What is answered in time at several multiples of the capacity.
pub fn run(length: Length, seed: u64) -> Table {
    let secs = if length == Length::Long { 120 } else { 30 };
    let columns = ["goodput", "recovery s"];
    let mut table = Table::new("goodput under overload", &columns);
    for load in [1.0, 1.5, 3.0, 10.0] {
        for (name, policy) in POLICIES {
            let sim = Sim::new(policy, seed, 0.2, Box::new(move |_| load));
            let goodput = goodput(&sim.run(secs * 1000), secs);
            table.row(format!("{load} times, {name}"), vec![goodput, recovery(policy, load, seed)]);
        }
    }
    table
}

fn goodput(outcome: &Outcome, secs: u64) -> f64 {
    let from = secs * 1000 / 4;
    let good = outcome.good.iter().filter(|(end, _, _)| *end > from).count();
    good as f64 / ((secs * 1000 - from) as f64 / 1000.0) / capacity_per_s()
}

const BURST_END_MS: u64 = 20_000;

/// How long after a burst of 10 s the last late answer comes, at half load.
fn recovery(policy: Policy, burst: f64, seed: u64) -> f64 {
    let load = move |now: u64| {
        if (10_000..BURST_END_MS).contains(&now) { burst } else { 0.5 }
    };
    let outcome = Sim::new(policy, seed, 0.2, Box::new(load)).run(300_000);
    outcome.last_late.saturating_sub(BURST_END_MS) as f64 / 1000.0
}

/// What small teams see while two large ones ask for five times their share.
pub fn fairness(length: Length, seed: u64) -> Table {
    let secs = if length == Length::Long { 120 } else { 30 };
    let columns = ["small teams: wait p50 ms", "wait p95 ms", "answered of asked"];
    let mut table = Table::new("two large teams at five times their share", &columns);
    // Eight small teams at half of their share, two large ones at five times it.
    let (small, large) = (0.4, 1.0);
    let cases =
        [("empty system", small, 0.0), ("overloaded", small + large, large / (small + large))];
    for (case, load, part) in cases {
        for (name, policy) in POLICIES {
            let outcome = Sim::new(policy, seed, part, Box::new(move |_| load)).run(secs * 1000);
            let mut waits: Vec<_> = outcome
                .good
                .iter()
                .filter(|(_, team, _)| *team >= LARGE)
                .map(|(_, _, wait)| *wait as f64)
                .collect();
            waits.sort_by(f64::total_cmp);
            let quantile = |q: f64| {
                waits.get(((waits.len() as f64 - 1.0) * q) as usize).copied().unwrap_or(f64::NAN)
            };
            let asked = small * capacity_per_s() * secs as f64;
            let answered = waits.len() as f64 / asked;
            table.row(format!("{case}, {name}"), vec![quantile(0.5), quantile(0.95), answered]);
        }
    }
    table
}
