//! What one node of the model knows, and how it decides.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use workshold_core::hosted::admission::Arrival;
use workshold_core::hosted::admission::precedence;
use workshold_core::hosted::admission::precedence::Precedence;
use workshold_core::hosted::admission::precedence::PrecedenceRules;
use workshold_core::hosted::admission::room;
use workshold_core::hosted::admission::room::HeadLoad;
use workshold_core::hosted::admission::room::RoomRules;
use workshold_core::hosted::demand::Demand;
use workshold_core::hosted::demand::RequestCost;
use workshold_core::hosted::placement;
use workshold_core::hosted::placement::Candidate;
use workshold_protocol::Millis;

use crate::fleet::Setup;

/// Requests that a head processes concurrently.
pub const SLOTS: u32 = 34;
/// Number of ranks of requests.
pub const RANKS: u8 = 3;
/// Usual time from the moment that a request gets a slot to the end of its answer.
pub const MEAN_SERVICE_MS: f64 = 1_005.0;

const EVENT_MS: f64 = 40.0;
/// Requests that may queue at each head by the rule without admission settings.
const QUEUED_MAX: u32 = 2;
const WALL: Millis = Millis::from_secs(1_000_000);
const MODEL: SmolStr = SmolStr::new_static("model");

/// How nodes decide.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// By the rates that heads accept.
    Rates(RoomRules),
    /// The rule without admission settings: the cheapest of a few heads, until all are full.
    CheapestOfFew,
    /// Wrong: as [`Rule::Rates`], but always to the head that looks emptiest.
    Emptiest(RoomRules),
    /// Wrong: as [`Rule::Rates`], but all requests are admitted.
    NoFraction(RoomRules),
    /// Wrong: as [`Rule::Rates`], but prompts that wait for their prefill are ignored.
    NoPrefill(RoomRules),
}

impl Rule {
    fn room_rules(self) -> Option<RoomRules> {
        match self {
            Self::CheapestOfFew => None,
            Self::Rates(rules)
            | Self::Emptiest(rules)
            | Self::NoFraction(rules)
            | Self::NoPrefill(rules) => Some(rules),
        }
    }

    fn accepted_rate(self, head: &HeadLoad, latency_goal: Millis, rules: &RoomRules) -> f64 {
        let unread_ms = if matches!(self, Self::NoPrefill(_)) { 0.0 } else { head.unread_ms };
        HeadLoad { unread_ms, ..*head }.accepted_rate(latency_goal, rules)
    }
}

/// Requests of one or more nodes at each head, and the rate at which they arrive.
#[derive(Debug, Clone)]
pub struct Counts {
    pub requests: Vec<u32>,
    pub unread_ms: Vec<u64>,
    pub arriving_per_s: f64,
}

impl Counts {
    pub fn new(heads: usize) -> Self {
        Self { requests: vec![0; heads], unread_ms: vec![0; heads], arriving_per_s: 0.0 }
    }

    pub fn add(&mut self, other: &Self) {
        self.requests.iter_mut().zip(&other.requests).for_each(|(sum, n)| *sum += n);
        self.unread_ms.iter_mut().zip(&other.unread_ms).for_each(|(sum, n)| *sum += n);
        self.arriving_per_s += other.arriving_per_s;
    }

    pub fn subtract(&mut self, other: &Self) {
        self.requests.iter_mut().zip(&other.requests).for_each(|(sum, n)| *sum -= n);
        self.unread_ms.iter_mut().zip(&other.unread_ms).for_each(|(sum, n)| *sum -= n);
        self.arriving_per_s = (self.arriving_per_s - other.arriving_per_s).max(0.0);
    }
}

/// A node that has started at the beginning or anew.
#[derive(Debug)]
pub struct Node {
    pub is_up: bool,
    pub own: Counts,
    pub published: Counts,
    /// The counts of the other nodes; `None` until it has heard any.
    pub peers: Option<Counts>,
    /// When in each interval of gossip it publishes its counts, and adds up those of the others.
    pub publishes_at: u64,
    pub adds_up_at: u64,
    demand: Demand,
    precedence: Precedence,
}

impl Node {
    pub fn new(setup: &Setup, rng: &mut ChaCha8Rng) -> Self {
        let heads = setup.heads;
        let gossip_interval = setup.gossip_interval();
        let rules = PrecedenceRules { ranks: RANKS, ..PrecedenceRules::default() };
        Self {
            is_up: true,
            own: Counts::new(heads),
            published: Counts::new(heads),
            peers: None,
            publishes_at: rng.random_range(0..gossip_interval.0),
            adds_up_at: rng.random_range(0..gossip_interval.0),
            demand: Demand::default(),
            precedence: Precedence::new(rules),
        }
    }

    /// Replaces its published counts in `totals`, the sum over all nodes.
    pub fn publish(&mut self, totals: &mut Counts, now: Millis) {
        totals.subtract(&self.published);
        self.published = Counts { arriving_per_s: self.own_per_s(now), ..self.own.clone() };
        totals.add(&self.published);
    }

    pub fn add_up(&mut self, totals: &Counts) {
        let mut peers = totals.clone();
        peers.subtract(&self.published);
        self.peers = Some(peers);
    }

    /// Decides on a request, given the heads that there are and their usual service times.
    ///
    /// Returns the index of the head that the request is sent to; `None` if it is refused.
    pub fn decide(
        &mut self,
        rule: Rule,
        heads: &[(usize, f64)],
        arrival: &Arrival,
        now: Millis,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let loads: Vec<HeadLoad> =
            heads.iter().map(|(head, service_ms)| self.head_load(*head, *service_ms)).collect();
        let Some(rules) = rule.room_rules() else { return cheapest_of_few(&loads, rng) };
        let rates: Vec<f64> = loads
            .iter()
            .map(|load| rule.accepted_rate(load, arrival.latency_goal, &rules))
            .collect();
        let is_admitted = self.admits(arrival, rates.iter().sum(), now);
        if !is_admitted && !matches!(rule, Rule::NoFraction(_)) {
            return None;
        }
        match rule {
            Rule::Emptiest(_) => (0..loads.len()).min_by_key(|index| loads[*index].load),
            _ => draw_by_rate(&loads, &rates, rng),
        }
    }

    fn admits(&mut self, arrival: &Arrival, accepted_per_s: f64, now: Millis) -> bool {
        let cost = RequestCost { prompt_tokens: arrival.prompt_tokens, pause_goal: Millis(250) };
        self.demand.on_request(&MODEL, cost, now);
        let fraction = room::admissible_fraction(accepted_per_s, self.fleet_per_s(now));
        self.precedence.on_arrival(arrival, now);
        let admitted = self.precedence.admitted_fraction(arrival, fraction);
        precedence::draw(arrival.fingerprint, WALL + now) < admitted
    }

    fn own_per_s(&self, now: Millis) -> f64 {
        self.demand.arriving(&MODEL, now)
    }

    fn fleet_per_s(&self, now: Millis) -> f64 {
        let peers = self.peers.as_ref().map_or(0.0, |peers| peers.arriving_per_s);
        self.own_per_s(now) + peers
    }

    /// The load at a head as this node knows it.
    fn head_load(&self, head: usize, service_ms: f64) -> HeadLoad {
        let peers = self.peers.as_ref();
        let requests = peers.map_or(0, |peers| peers.requests[head]);
        let unread_ms = peers.map_or(0, |peers| peers.unread_ms[head]);
        let known = HeadLoad {
            load: self.own.requests[head] + requests,
            slots: SLOTS,
            unread_ms: (self.own.unread_ms[head] + unread_ms) as f64,
            service_ms,
            is_deprioritized: false,
        };
        if peers.is_some() { known } else { known.without_counts() }
    }
}

fn candidate(load: &HeadLoad) -> Candidate {
    Candidate {
        load: load.load,
        queued_prefill_ms: load.unread_ms,
        slots: load.slots,
        event_ms: EVENT_MS * load.service_ms / MEAN_SERVICE_MS,
        is_near: true,
        is_deprioritized: load.is_deprioritized,
    }
}

fn cheapest_of_few(loads: &[HeadLoad], rng: &mut ChaCha8Rng) -> Option<usize> {
    let candidates: Vec<Candidate> = loads.iter().map(candidate).collect();
    let are_full = placement::are_full(&candidates, QUEUED_MAX);
    placement::choose(&candidates, rng.random()).filter(|_| !are_full)
}

/// Draws a head by the rates. Of two that are both far from full, the cheaper one is taken, as at
/// the gateway's nodes.
fn draw_by_rate(loads: &[HeadLoad], rates: &[f64], rng: &mut ChaCha8Rng) -> Option<usize> {
    let first = room::draw_head(rates, rng.random())?;
    let second = room::draw_head(rates, rng.random())?;
    let are_calm = [first, second].iter().all(|index| loads[*index].load * 2 < SLOTS);
    let is_second_cheaper = candidate(&loads[second]).cost() < candidate(&loads[first]).cost();
    Some(if are_calm && is_second_cheaper { second } else { first })
}
