//! A node's token bucket for the requests that several nodes together may send to one instance.

use workshold_protocol::Millis;

/// A node's share of what all nodes together may send to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderShare {
    /// Whether the node is one of the instance's senders.
    pub is_sender: bool,
    /// The number of senders.
    pub senders: usize,
}

/// What all senders together may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedRate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests beyond that which may have been saved up, one per sender at least.
    pub burst: f64,
}

/// A bucket that lacks less than this of one request counts as holding it: it is a rounding error.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The bucket of one node for one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens at `refilled_at`, if the node was a sender then.
    tokens: f64,
    refilled_at: Millis,
    was_sender: bool,
}

impl TokenBucket {
    /// Adds the tokens that have accrued since the last refill. A node that has become a sender
    /// starts with `initial` tokens.
    pub fn refill(&mut self, rate: SharedRate, initial: f64, share: SenderShare, now: Millis) {
        let senders = share.senders.max(1) as f64;
        self.tokens = match (share.is_sender, self.was_sender) {
            (false, _) => 0.0,
            (true, false) => initial,
            (true, true) => {
                let accrued = rate.per_s / senders * now.since(self.refilled_at).as_secs_f64();
                (self.tokens + accrued).min((rate.burst / senders).max(1.0))
            }
        };
        self.refilled_at = now;
        self.was_sender = share.is_sender;
    }

    /// Takes the token of one request.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Time until the bucket, refilled just now, holds the token of a request; zero if it does. At
    /// a node that is no sender, the time until the next request of any sender.
    pub fn time_until_token(&self, rate: SharedRate, share: SenderShare) -> Millis {
        if self.tokens >= 1.0 - ROUNDING_TOLERANCE {
            return Millis::ZERO;
        }
        let (missing, per_s) = match share.is_sender {
            true => (1.0 - self.tokens, rate.per_s / share.senders.max(1) as f64),
            false => (1.0, rate.per_s),
        };
        Millis((missing / per_s * 1000.0).ceil() as u64)
    }
}
