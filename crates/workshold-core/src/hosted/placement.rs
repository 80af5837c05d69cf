//! Which group or instance a request goes to.

/// One that could take it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests there, of all nodes as far as known.
    pub load: u32,
    /// What it takes to read the prompts that wait there, in milliseconds.
    pub queued_prefill_ms: f64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its usual time for one event or answer, in milliseconds.
    pub event_ms: f64,
    /// Whether it is in this node's data centre.
    pub is_near: bool,
    /// Whether it failed of late, so that others go first.
    pub is_deprioritized: bool,
}

/// What going to another data centre costs, in milliseconds of an answer.
const FAR_MS: f64 = 8.0;
/// How much a full batch slows an engine down.
const FULL_BATCH: f64 = 1.0;
/// How many are compared: few enough that nodes do not all choose the same one.
const COMPARED: usize = 4;

impl Candidate {
    fn cost(&self) -> f64 {
        let load = f64::from(self.load);
        let slots = f64::from(self.slots.max(1));
        let batch = (load / slots).min(1.0) * FULL_BATCH;
        let queue = (load - slots + 1.0).max(0.0) * 4.0;
        let far = if self.is_near { 0.0 } else { FAR_MS };
        self.event_ms * (1.0 + batch + queue) + self.queued_prefill_ms + far
    }
}

/// The best of a few drawn ones; `draw` is any number.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let good: Vec<usize> = in_order(candidates, false);
    let pool = if good.is_empty() { in_order(candidates, true) } else { good };
    if pool.is_empty() {
        return None;
    }
    let step = 1 + (draw >> 32) as usize % pool.len();
    let start = draw as usize % pool.len();
    let drawn = (0..COMPARED.min(pool.len())).map(|i| pool[(start + i * step) % pool.len()]);
    drawn.min_by(|a, b| candidates[*a].cost().total_cmp(&candidates[*b].cost()))
}

fn in_order(candidates: &[Candidate], aside: bool) -> Vec<usize> {
    (0..candidates.len()).filter(|i| candidates[*i].is_deprioritized == aside).collect()
}

/// Whether all of them are so full that a request would wait past its goal behind
/// those that wait already; better it is refused at once and comes back.
pub fn are_full(candidates: &[Candidate], may_wait: u32) -> bool {
    let is_full = |candidate: &Candidate| candidate.load >= candidate.slots + may_wait;
    !candidates.is_empty() && candidates.iter().all(is_full)
}
