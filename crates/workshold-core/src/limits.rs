//! Rate limits of teams, split over the nodes in proportion to their demand.
//!
//! Each node takes the fraction of a team's limit that its own demand has in the
//! demand of all nodes, as their digests report it. A fixed fraction is split
//! evenly, so that a node with no demand yet is not limited to zero. A node that
//! does not hear from every other node falls back to the even share; over all
//! nodes these shares sum to the limit.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::NodeId;

/// How a team's limit is split over the nodes, and how bursts are allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamRateRules {
    /// Fraction of the limit that is split evenly.
    pub even_fraction: f64,
    /// Age up to which a peer's reported demand counts.
    pub demand_ttl: Millis,
    /// Time constant of the exponential average of the demand.
    pub smoothing: Millis,
    /// Capacity of the token bucket, in seconds of the node's rate.
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

/// The token bucket of one team at one node.
#[derive(Debug, Clone)]
pub struct TeamRateLimiter {
    rules: TeamRateRules,
    limit: f64,
    nodes: usize,
    peer_demands: BTreeMap<NodeId, (f64, Millis)>,
    own_demand: f64,
    last_refill: Millis,
    tokens: f64,
}

/// The rate limit refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverLimit {
    /// Time until the bucket has enough tokens, if no other request takes any.
    pub retry_after: Millis,
}

impl TeamRateLimiter {
    /// A full bucket at the even share of `limit` units per second over `nodes` nodes.
    pub fn new(rules: TeamRateRules, limit: f64, nodes: usize, now: Millis) -> Self {
        let nodes = nodes.max(1);
        let tokens = limit / nodes as f64 * rules.burst_secs;
        Self {
            rules,
            limit,
            nodes,
            peer_demands: BTreeMap::new(),
            own_demand: 0.0,
            last_refill: now,
            tokens,
        }
    }

    /// Sets a new limit or number of nodes; the tokens in the bucket stay.
    pub fn adjust(&mut self, limit: f64, nodes: usize) {
        self.limit = limit;
        self.nodes = nodes.max(1);
    }

    /// Records the team's demand at a peer; `heard` is when the peer was asked.
    pub fn on_peer(&mut self, peer: &NodeId, demand: f64, heard: Millis) {
        self.peer_demands.insert(peer.clone(), (demand.max(0.0), heard));
    }

    /// The team's smoothed demand at this node, in units per second.
    pub fn demand(&self, now: Millis) -> f64 {
        self.own_demand * self.decay(now.since(self.last_refill))
    }

    /// This node's part of the team's limit, in units per second.
    ///
    /// While the demand of *every* other node is known, this is `even_fraction` of the
    /// even share plus the rest in proportion to demand; otherwise it is the even
    /// share. So a node that is cut off never uses more than the others, which then
    /// know too few nodes as well, leave for it.
    pub fn rate(&self, now: Millis) -> f64 {
        let even = self.limit / self.nodes as f64;
        let fresh = |heard: Millis| now.since(heard) < self.rules.demand_ttl;
        let heard: Vec<_> = self
            .peer_demands
            .values()
            .filter(|(_, at)| fresh(*at))
            .map(|(demand, _)| *demand)
            .collect();
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

    /// Takes `cost` tokens out of the bucket. A cost above the bucket's capacity passes
    /// once the bucket is full, and leaves it in debt.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if the bucket has too few tokens; none are taken then.
    pub fn take(&mut self, cost: f64, now: Millis) -> Result<(), OverLimit> {
        self.refill(now);
        self.own_demand += cost / self.rules.smoothing.as_secs_f64();
        if self.tokens >= cost.min(self.capacity(now)) {
            self.tokens -= cost;
            return Ok(());
        }
        let missing = cost.min(self.capacity(now)) - self.tokens;
        let wait = missing / self.rate(now).max(f64::MIN_POSITIVE);
        Err(OverLimit { retry_after: Millis((wait * 1000.0).ceil().min(MAX_WAIT_MS) as u64) })
    }

    /// Takes the cost of a request beyond what was taken at its admission. The bucket
    /// may go into debt, which delays later requests.
    pub fn charge(&mut self, cost: f64, now: Millis) {
        self.refill(now);
        self.own_demand += cost / self.rules.smoothing.as_secs_f64();
        self.tokens -= cost;
    }

    fn refill(&mut self, now: Millis) {
        let refilled = self.rate(now) * now.since(self.last_refill).as_secs_f64();
        self.own_demand = self.demand(now);
        self.tokens = (self.tokens + refilled).min(self.capacity(now));
        self.last_refill = self.last_refill.max(now);
    }

    fn capacity(&self, now: Millis) -> f64 {
        (self.rate(now) * self.rules.burst_secs).max(1.0)
    }

    fn decay(&self, span: Millis) -> f64 {
        (-span.as_secs_f64() / self.rules.smoothing.as_secs_f64()).exp()
    }
}

/// Upper bound of the retry-after time, in milliseconds.
const MAX_WAIT_MS: f64 = 60_000.0;
