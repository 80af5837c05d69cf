//! Load balancing: chooses the group or instance that a request is sent to.

/// A group or instance that could take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in progress there, from all nodes as far as known.
    pub load: u32,
    /// Time to prefill the prompts queued there, in milliseconds.
    pub queued_prefill_ms: f64,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Its usual time for one event or response, in milliseconds.
    pub event_ms: f64,
    /// Whether it is in this node's own data centre.
    pub is_near: bool,
    /// Whether it failed recently, so that others are preferred.
    pub is_deprioritized: bool,
}

/// Cost of sending a request to another data centre, in milliseconds of response time.
const REMOTE_COST_MS: f64 = 8.0;
/// Fraction by which a full batch slows an engine down.
const FULL_BATCH_SLOWDOWN: f64 = 1.0;
/// Number of candidates compared: few enough that nodes do not all choose the same one.
const MAX_COMPARED: usize = 4;

impl Candidate {
    /// Expected time to serve a further request, in milliseconds. Every request queued beyond the
    /// slots counts as four events.
    pub fn cost(&self) -> f64 {
        let load = f64::from(self.load);
        let slots = f64::from(self.slots.max(1));
        let batch = (load / slots).min(1.0) * FULL_BATCH_SLOWDOWN;
        let queue = (load - slots + 1.0).max(0.0) * 4.0;
        let remote = if self.is_near { 0.0 } else { REMOTE_COST_MS };
        self.event_ms * (1.0 + batch + queue) + self.queued_prefill_ms + remote
    }
}

/// Returns the index of the cheapest of a few randomly drawn candidates; `random` is a random
/// number. Recently failed candidates are drawn only if there are no others.
pub fn choose(candidates: &[Candidate], random: u64) -> Option<usize> {
    let good: Vec<usize> = indices(candidates, false);
    let pool = if good.is_empty() { indices(candidates, true) } else { good };
    if pool.is_empty() {
        return None;
    }
    let step = 1 + (random >> 32) as usize % pool.len();
    let start = random as usize % pool.len();
    let drawn = (0..MAX_COMPARED.min(pool.len())).map(|i| pool[(start + i * step) % pool.len()]);
    drawn.min_by(|a, b| candidates[*a].cost().total_cmp(&candidates[*b].cost()))
}

/// Indices of the candidates that are deprioritized, or of those that are not.
fn indices(candidates: &[Candidate], deprioritized: bool) -> Vec<usize> {
    (0..candidates.len()).filter(|i| candidates[*i].is_deprioritized == deprioritized).collect()
}

/// Whether all candidates have `max_queued` or more requests queued beyond their slots. A further
/// request would miss its latency goal in the queue, so it is better refused at once and retried
/// by the caller.
pub fn are_full(candidates: &[Candidate], max_queued: u32) -> bool {
    let is_full = |candidate: &Candidate| candidate.load >= candidate.slots + max_queued;
    !candidates.is_empty() && candidates.iter().all(is_full)
}
