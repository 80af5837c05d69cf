//! Admission under overload (docs/design/hard-load.md): how many requests can be served and where
//! ([`room`]), which are admitted when there are more ([`precedence`]), and when refused callers
//! return ([`return_time`]).

use workshold_protocol::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub mod precedence;
pub mod return_time;
pub mod room;
pub mod stated_limit;

/// How a request relates to earlier refusals. The derived order is the order of admission among
/// requests of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ArrivalKind {
    /// It was refused and comes back no earlier than it was told to.
    Returning,
    /// Nothing is known of an earlier refusal.
    New,
    /// This node refused it and it comes back before the time that it was told.
    Early,
}

impl ArrivalKind {
    /// All kinds, in the order of admission.
    pub const ALL: [Self; 3] = [Self::Returning, Self::New, Self::Early];
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Rank of its team and route; 0 is admitted first.
    pub rank: u8,
    /// Hash of its team's name.
    pub team: u32,
    /// Hash of its path, caller and body.
    pub fingerprint: u64,
    /// How it relates to earlier refusals.
    pub kind: ArrivalKind,
    /// Number of tokens in its prompt.
    pub prompt_tokens: f64,
    /// Latency goal for its first event.
    pub latency_goal: Millis,
    /// Time left until its deadline, as the caller states it.
    pub time_left: Millis,
    /// The route's time limit.
    pub time_limit: Millis,
}

/// What is assumed of a request whose data is missing or absurd.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivalDefaults {
    /// The lowest rank in the configuration.
    pub lowest_rank: u8,
    /// The configured typical number of tokens in a prompt.
    pub typical_prompt_tokens: f64,
    /// The largest number of tokens that a prompt can have.
    pub max_prompt_tokens: f64,
    /// The route's latency goal.
    pub latency_goal: Millis,
    /// The route's time limit.
    pub time_limit: Millis,
}

impl Arrival {
    /// Replaces missing and absurd data by `defaults`: a rank that isn't configured by the lowest
    /// one, an impossible prompt length by the typical one, a latency goal or a time left of zero
    /// or beyond the time limit by the route's.
    #[must_use]
    pub fn with_defaults(self, defaults: &ArrivalDefaults) -> Self {
        let is_missing = |time: Millis, limit: Millis| time == Millis::ZERO || time > limit;
        let has_prompt =
            self.prompt_tokens > 0.0 && self.prompt_tokens <= defaults.max_prompt_tokens;
        let has_limit = !is_missing(self.time_limit, defaults.time_limit);
        let time_limit = if has_limit { self.time_limit } else { defaults.time_limit };
        let has_goal = !is_missing(self.latency_goal, time_limit);
        let has_time_left = !is_missing(self.time_left, time_limit);
        Self {
            rank: self.rank.min(defaults.lowest_rank),
            prompt_tokens: if has_prompt {
                self.prompt_tokens
            } else {
                defaults.typical_prompt_tokens
            },
            latency_goal: if has_goal { self.latency_goal } else { defaults.latency_goal },
            time_left: if has_time_left { self.time_left } else { time_limit },
            time_limit,
            ..self
        }
    }
}

/// A number in [0, 1) that depends on `fingerprint` and `purpose` only, so that all nodes derive
/// the same one. Numbers for different purposes are independent.
fn unit_hash(fingerprint: u64, purpose: u64) -> f64 {
    let hash = xxh3_64_with_seed(&fingerprint.to_be_bytes(), purpose);
    // The upper 53 bits are what a double represents exactly.
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
