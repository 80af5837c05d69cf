//! The load generator: open-loop arrivals, with every answer checked byte for byte.

mod caller;
mod report;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use workshold_protocol::Millis;

pub use crate::load::caller::CallerEnd;
pub use crate::load::caller::EntryList;
pub use crate::load::caller::call;
pub use crate::load::caller::call_engine;
pub use crate::load::report::Report;

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Addresses of some entry nodes, which tell callers the addresses of the others.
    pub entries: Vec<String>,
    /// Name of the model.
    pub model: String,
    /// Team to send as; `None` in a deployment without teams.
    pub team: Option<String>,
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub time: Millis,
    /// Minimum and maximum number of tokens of an answer.
    pub tokens: (u32, u32),
    /// Number of different prefixes that prompts share.
    pub prefixes: u32,
    /// Deadline of each request.
    pub deadline: Millis,
    /// Seed for random numbers.
    pub seed: u64,
}

/// One request of the load.
#[derive(Debug, Clone)]
pub struct Request {
    /// Prompt, which is unique within the load.
    pub prompt: String,
    /// Number of tokens of the answer.
    pub tokens: u32,
}

/// Approximate length of the prefix that prompts share, in characters.
const SHARED_PREFIX_LEN: usize = 512;

impl Load {
    /// Creates the `n`th request.
    pub fn request(&self, rng: &mut ChaCha8Rng, n: u64) -> Request {
        let prefix = rng.random_range(0..self.prefixes.max(1));
        let shared_prefix = format!("template {prefix} ").repeat(SHARED_PREFIX_LEN / 10);
        let tokens = rng.random_range(self.tokens.0..=self.tokens.1.max(self.tokens.0));
        Request { prompt: format!("{shared_prefix}request {n} of seed {}", self.seed), tokens }
    }
}

/// Runs the load to its end; the report counts every request.
pub async fn run(load: Load) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let load = Arc::new(load);
    let entries = caller::EntryList::new(load.entries.clone());
    let start = tokio::time::Instant::now();
    let mut at = Duration::ZERO;
    let mut calls = JoinSet::new();
    let mut n = 0;
    while at < load.time.to_duration() {
        tokio::time::sleep_until(start + at).await;
        let request = load.request(&mut rng, n);
        calls.spawn(call(Arc::clone(&load), Arc::clone(&entries), request));
        // Exponential gaps give the Poisson arrivals of many independent callers.
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.rate;
        at += Duration::from_secs_f64(gap);
        n += 1;
    }
    let mut report = Report::default();
    while let Some(end) = calls.join_next().await {
        match end {
            Ok(end) => report.add(&end),
            Err(_) => report.lost += 1,
        }
    }
    report
}
