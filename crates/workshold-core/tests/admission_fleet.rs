//! Admission by many nodes that decide each for itself, from few arrivals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::admission::Arrival;
use workshold_core::hosted::admission::ArrivalKind;
use workshold_core::hosted::admission::precedence::Precedence;
use workshold_core::hosted::admission::precedence::PrecedenceRules;
use workshold_core::hosted::admission::precedence::draw;
use workshold_core::hosted::admission::return_time::Backlog;
use workshold_core::hosted::admission::return_time::RecentRefusals;
use workshold_core::hosted::admission::return_time::ReturnLedger;
use workshold_core::hosted::admission::return_time::TimedRequest;
use workshold_protocol::Millis;

const START: Millis = Millis::from_secs(1_000);
const TIME_LIMIT: Millis = Millis(6_000);
const RULES: PrecedenceRules =
    PrecedenceRules { ranks: 3, decay_time: Millis(2_000), returning_share: 1.0 };

/// Enough for fractions that are exact to 0.02.
const REQUESTS_MIN: u64 = 10_000;

fn arrival(rank: u8, team: u32, fingerprint: u64) -> Arrival {
    Arrival {
        rank,
        team,
        fingerprint,
        kind: ArrivalKind::New,
        prompt_tokens: 500.0,
        latency_goal: Millis(400),
        time_left: TIME_LIMIT,
        time_limit: TIME_LIMIT,
    }
}

/// What became of some of the requests.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    arrived: f64,
    admitted: f64,
}

impl Outcome {
    fn count(&mut self, is_admitted: bool) {
        self.arrived += 1.0;
        self.admitted += f64::from(u8::from(is_admitted));
    }

    fn fraction(self) -> f64 {
        self.admitted / self.arrived
    }
}

/// Guards against an order that holds only where a node sees many requests, and against capacity
/// that is left unused where teams send few: each of these nodes sees seven requests a second of
/// ten teams, and none before the start.
#[rstest]
#[case::one_node(1)]
#[case::small_fleet(71)]
#[case::large_fleet(350)]
fn nodes_with_few_arrivals_keep_the_order_together(#[case] nodes: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(nodes as u64);
    let mut fleet = vec![Precedence::new(RULES); nodes];
    let mut ranks = [Outcome::default(); 3];
    let mut all = Outcome::default();
    for number in 0..(nodes as u64 * 7 * 30).max(REQUESTS_MIN) {
        let now = START + Millis(number * 1_000 / (nodes as u64 * 7));
        let arrival = arrival(rng.random_range(0..3), rng.random_range(0..10), rng.random());
        let node = &mut fleet[rng.random_range(0..nodes)];
        node.on_arrival(&arrival, now);
        let is_admitted = draw(arrival.fingerprint, START) < node.admitted_fraction(&arrival, 0.5);
        ranks[usize::from(arrival.rank)].count(is_admitted);
        all.count(is_admitted);
    }
    let fractions = ranks.map(Outcome::fraction);
    assert!((all.fraction() - 0.5).abs() < 0.03, "{}", all.fraction());
    assert!(fractions[0] > 0.95, "{fractions:?}");
    assert!(fractions[2] < 0.05, "{fractions:?}");
}

/// Guards against a gain from repeating at once and often: a caller that tries ten nodes within a
/// moment is admitted no more often than one that tries once. A draw of its own for each attempt
/// would let nearly all of them through.
#[test]
fn a_caller_that_tries_many_nodes_at_once_gains_nothing() {
    let mut precedence = Precedence::new(RULES);
    for number in 0..100 {
        precedence.on_arrival(&arrival(0, number % 2, 7), START);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut once = Outcome::default();
    let mut often = Outcome::default();
    let mut often_with_own_draws = Outcome::default();
    for _ in 0..5_000 {
        let arrival = arrival(0, 0, rng.random());
        let fraction = precedence.admitted_fraction(&arrival, 0.4);
        once.count(draw(arrival.fingerprint, START) < fraction);
        often.count((0..10).any(|_| draw(arrival.fingerprint, START) < fraction));
        often_with_own_draws.count((0..10).any(|_| rng.random::<f64>() < fraction));
    }
    assert!((once.fraction() - 0.4).abs() < 0.03, "{}", once.fraction());
    assert_eq!(once.admitted, often.admitted);
    assert!(often_with_own_draws.fraction() > 0.95, "{}", often_with_own_draws.fraction());
}

/// What a caller does after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Caller {
    /// Returns once, when it was told to.
    Patient,
    /// Returns 100 ms after each refusal, until its deadline.
    Impatient,
    /// Returns once, at the earliest return that nodes recognise, whatever it was told.
    Prompt,
    /// As [`Caller::Patient`], but states half of its time left from the first attempt on.
    Understating,
}

/// An attempt at a random node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    at: Millis,
    fingerprint: u64,
    caller: Caller,
    began: Millis,
    is_first: bool,
}

/// One node, whose capacity is known exactly.
#[derive(Debug)]
struct Node {
    precedence: Precedence,
    ledger: ReturnLedger,
    refusals: RecentRefusals,
    /// Decaying count of arrivals.
    arrivals: f64,
    counted_at: Millis,
}

impl Node {
    fn new() -> Self {
        Self {
            precedence: Precedence::new(RULES),
            ledger: ReturnLedger::default(),
            refusals: RecentRefusals::default(),
            arrivals: 0.0,
            counted_at: START,
        }
    }

    /// The fraction of arrivals for which there is capacity.
    fn model_fraction(&mut self, now: Millis, capacity_per_s: f64) -> f64 {
        let decay = (-now.since(self.counted_at).as_secs_f64() / 2.0).exp();
        self.arrivals = self.arrivals * decay + 1.0;
        self.counted_at = now;
        capacity_per_s * 2.0 / self.arrivals
    }

    /// Admits `request` or tells it when to return.
    fn decide(&mut self, request: TimedRequest, now: Millis, per_s: f64) -> Result<(), Millis> {
        let kind = self.refusals.kind(request, now);
        let team = request.fingerprint as u32 % 3;
        let arrival = Arrival { kind, ..arrival(0, team, request.fingerprint) };
        let model_fraction = self.model_fraction(now, per_s);
        self.precedence.on_arrival(&arrival, now);
        if draw(request.fingerprint, START)
            < self.precedence.admitted_fraction(&arrival, model_fraction)
        {
            return Ok(());
        }
        let backlog = Backlog { excess: 0.0, completed_per_s: per_s };
        let told = self.ledger.retry_after(request, backlog, now);
        self.refusals.on_refusal(request, told, now);
        Err(told)
    }
}

impl Attempt {
    fn request(&self) -> TimedRequest {
        let time_left = TIME_LIMIT - (self.at - self.began);
        let stated = match self.caller {
            Caller::Understating => Millis(time_left.0 / 2),
            Caller::Patient | Caller::Prompt | Caller::Impatient => time_left,
        };
        TimedRequest { fingerprint: self.fingerprint, time_limit: TIME_LIMIT, time_left: stated }
    }

    /// The next attempt after a refusal, if the caller makes one.
    fn next(self, told: Millis) -> Option<Self> {
        let returns = match self.caller {
            Caller::Impatient => true,
            Caller::Prompt => self.is_first,
            Caller::Patient | Caller::Understating => {
                self.is_first && told.0 <= self.request().time_left.0 / 3
            }
        };
        let wait = match self.caller {
            Caller::Impatient => Millis(100),
            Caller::Prompt => self.request().earliest_return(),
            Caller::Patient | Caller::Understating => told,
        };
        let next = Self { at: self.at + wait, is_first: false, ..self };
        (returns && next.at < self.began + TIME_LIMIT).then_some(next)
    }
}

/// What became of callers of two sorts.
#[derive(Debug, Default, Clone, Copy)]
struct FleetOutcome {
    /// Patient callers, and the others.
    patient: Outcome,
    others: Outcome,
    /// Returns of patient callers at the time that they were told.
    returns: Outcome,
}

/// Callers at nodes with more arrivals than capacity; one in twenty is of the sort `rare`.
fn run_fleet(nodes: usize, overload: f64, rare: Caller) -> FleetOutcome {
    const PER_NODE_S: f64 = 7.0;
    const MINUTE_MS: u64 = 60_000;
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut fleet: Vec<_> = (0..nodes).map(|_| Node::new()).collect();
    let total = (nodes as f64 * PER_NODE_S * 60.0) as u64;
    let first_attempt = |number| {
        let at = START + Millis(number * MINUTE_MS / total);
        let caller = if number % 20 == 0 { rare } else { Caller::Patient };
        Attempt { at, fingerprint: rng.random(), caller, began: at, is_first: true }
    };
    let mut attempts: BinaryHeap<_> = (0..total).map(first_attempt).map(Reverse).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut outcome = FleetOutcome::default();
    while let Some(Reverse(attempt)) = attempts.pop() {
        let node = &mut fleet[rng.random_range(0..nodes)];
        let decided = node.decide(attempt.request(), attempt.at, PER_NODE_S / overload);
        if attempt.caller == Caller::Patient && !attempt.is_first {
            outcome.returns.count(decided.is_ok());
        }
        let sort = match attempt.caller {
            Caller::Patient => &mut outcome.patient,
            _ => &mut outcome.others,
        };
        match decided.err().and_then(|told| attempt.next(told)) {
            Some(next) => attempts.push(Reverse(next)),
            None => sort.count(decided.is_ok()),
        }
    }
    outcome
}

/// Guards against a gain of more than the place of a returning caller from ignoring the time told or
/// from stating less time left than there is. Nodes can't tell either from a return as told.
#[rstest]
fn a_caller_with_one_return_gains_at_most_the_place_of_a_returning_one(
    #[values(1, 71)] nodes: usize,
    #[values(1.5, 2.0, 3.0)] overload: f64,
    #[values(Caller::Prompt, Caller::Understating)] rare: Caller,
) {
    let outcome = run_fleet(nodes, overload, rare);
    let [others, returns] = [outcome.others, outcome.returns].map(Outcome::fraction);
    assert!(others <= returns + 0.05, "{others:.3} of them are admitted, {returns:.3} of returns");
    assert!(returns > 0.75, "{returns:.3} of the returns as told are admitted");
}

/// Guards against a gain from returning every 100 ms over doing as told. It fails: a caller that has
/// waited for its earliest return counts as returning at every node, also if it was told a later
/// time, and has the place of a returning caller at each further attempt.
#[test]
fn a_caller_that_keeps_trying_gains_nothing_over_one_that_does_as_told() {
    let outcome = run_fleet(71, 1.5, Caller::Impatient);
    let [others, patient] = [outcome.others, outcome.patient].map(Outcome::fraction);
    assert!(others <= patient + 0.05, "{others:.3} of them are admitted, {patient:.3} of others");
}
