//! A team's allowance, split over the nodes by where its demand is.
//!
//! Each node takes the share of the allowance that its own demand has in the
//! demand of all nodes, as their digests tell it; a part is split evenly, so
//! that a node where demand starts is not at nothing. A node that hears nobody
//! goes back to the even share, which sums to the allowance over all nodes.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::NodeId;

/// How shares are made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamRateRules {
    /// Part of the allowance that is split evenly.
    pub even_fraction: f64,
    /// A peer's demand is believed for this long.
    pub demand_ttl: Millis,
    /// Time constant of the demand's average.
    pub smoothing: Millis,
    /// Seconds of the share that can be saved up.
    pub burst_secs: f64,
}

impl Default for TeamRateRules {
    fn default() -> Self {
        Self {
            even_fraction: 0.2,
            demand_ttl: Millis(3_000),
            smoothing: Millis(2_000),
            burst_secs: 1.0,
        }
    }
}

/// One team's allowance at one node.
#[derive(Debug, Clone)]
pub struct TeamRateLimiter {
    rules: TeamRateRules,
    limit: f64,
    nodes: usize,
    peers: BTreeMap<NodeId, (f64, Millis)>,
    own_demand: f64,
    last: Millis,
    saved: f64,
}

/// A request is over the allowance; come back after this.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverLimit {
    /// When there is an allowance for it again, if nothing else comes.
    pub retry_after: Millis,
}

impl TeamRateLimiter {
    /// A share of `limit` units a second, over `nodes` nodes.
    pub fn new(rules: TeamRateRules, limit: f64, nodes: usize, now: Millis) -> Self {
        let nodes = nodes.max(1);
        let saved = limit / nodes as f64 * rules.burst_secs;
        Self { rules, limit, nodes, peers: BTreeMap::new(), own_demand: 0.0, last: now, saved }
    }

    /// Takes over a new limit or number of nodes; what is saved up stays.
    pub fn adjust(&mut self, limit: f64, nodes: usize) {
        self.limit = limit;
        self.nodes = nodes.max(1);
    }

    /// A peer says what the team wanted there; `heard` is when it was asked.
    pub fn on_peer(&mut self, peer: &NodeId, demand: f64, heard: Millis) {
        self.peers.insert(peer.clone(), (demand.max(0.0), heard));
    }

    /// What the team wants here, in units a second, smoothed.
    pub fn demand(&self, now: Millis) -> f64 {
        self.own_demand * self.decay(now.since(self.last))
    }

    /// This node's rate, in units a second.
    ///
    /// It is `even_fraction` of the even share plus the rest by demand while *every*
    /// other node is heard, and the even share otherwise: so a node that is cut
    /// off never keeps more than the others, who hear too few, leave for it.
    pub fn rate(&self, now: Millis) -> f64 {
        let even = self.limit / self.nodes as f64;
        let fresh = |heard: Millis| now.since(heard) < self.rules.demand_ttl;
        let heard: Vec<_> =
            self.peers.values().filter(|(_, at)| fresh(*at)).map(|(demand, _)| *demand).collect();
        if heard.len() + 1 < self.nodes {
            return even;
        }
        let own = self.demand(now);
        let total = own + heard.iter().sum::<f64>();
        if total <= f64::EPSILON {
            return even;
        }
        self.rules.even_fraction * even
            + (1.0 - self.rules.even_fraction) * self.limit * own / total
    }

    /// Takes `cost` units out of the allowance.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if it is not there; nothing is taken then.
    pub fn take(&mut self, cost: f64, now: Millis) -> Result<(), OverLimit> {
        self.refill(now);
        self.own_demand += cost / self.rules.smoothing.as_secs_f64();
        if self.saved >= cost.min(self.capacity(now)) {
            self.saved -= cost;
            return Ok(());
        }
        let missing = cost.min(self.capacity(now)) - self.saved;
        let wait = missing / self.rate(now).max(f64::MIN_POSITIVE);
        Err(OverLimit { retry_after: Millis((wait * 1000.0).ceil().min(MAX_WAIT_MS) as u64) })
    }

    /// Takes what a request turned out to cost beyond what was taken before;
    /// later requests pay for it.
    pub fn charge(&mut self, cost: f64, now: Millis) {
        self.refill(now);
        self.own_demand += cost / self.rules.smoothing.as_secs_f64();
        self.saved -= cost;
    }

    fn refill(&mut self, now: Millis) {
        let gained = self.rate(now) * now.since(self.last).as_secs_f64();
        self.own_demand = self.demand(now);
        self.saved = (self.saved + gained).min(self.capacity(now));
        self.last = self.last.max(now);
    }

    fn capacity(&self, now: Millis) -> f64 {
        (self.rate(now) * self.rules.burst_secs).max(1.0)
    }

    fn decay(&self, span: Millis) -> f64 {
        (-span.as_secs_f64() / self.rules.smoothing.as_secs_f64()).exp()
    }
}

/// Nobody is told to come back later than after this, in milliseconds.
const MAX_WAIT_MS: f64 = 60_000.0;
