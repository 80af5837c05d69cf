//! Limits that instances announce in their answers, and how nodes share them.
//!
//! An instance can announce a rate limit, a backoff (it wants nothing from this node for a
//! while), or that it is shutting down. A backoff concerns only the node whose request was
//! refused; a rate limit and a shutdown concern all nodes. All three belong to one incarnation of
//! an instance. Reports of them come in answers, which can overtake each other, and from other
//! nodes, whose reports may be older than they look. A report that lowers a rate limit counts at
//! once. One that raises or lifts it counts only if it is certainly the later one: its request
//! was sent after the report that it replaces had come.
//!
//! Nodes keep to a rate limit together without coordination. The first few nodes, in an order
//! that all nodes see alike, are the instance's senders. Each has a token bucket with an equal
//! share of the rate limit and of the total burst, so that over any `T` seconds all senders send
//! at most the limit times `T` plus that burst. The number of senders follows from the limit: at
//! a few requests per second, one saved token at each of hundreds of nodes would be more than the
//! limit itself. A node that becomes a sender starts with an empty bucket, so that a change of
//! senders adds nothing.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

use super::token_bucket::SharedRate;
use super::token_bucket::TokenBucket;

pub use super::token_bucket::SenderShare;

/// A rate in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl Rate {
    /// Converts from requests per second, rounded down to a thousandth. `number` isn't negative.
    pub fn per_s(number: f64) -> Self {
        Self((number * 1000.0).floor() as u32)
    }

    /// The rate in requests per second.
    pub fn as_per_s(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// An instance's rate limit, with the time span in which the instance reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReport {
    /// The limit for all nodes together; `None` if there is none.
    pub limit: Option<Rate>,
    /// When the request was sent whose answer reported the limit, which was after this.
    pub request_sent_at: Millis,
    /// When that answer came: the limit was reported before this.
    pub answer_received_at: Millis,
}

/// Parameters of [`InstanceLimits`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitRules {
    /// How far the times in reports from other nodes may be off.
    pub slack: Millis,
    /// Tokens in the bucket of a node that becomes a sender.
    pub initial_tokens: f64,
}

impl Default for LimitRules {
    fn default() -> Self {
        Self { slack: Millis(500), initial_tokens: 0.0 }
    }
}

/// A request may not be sent to an instance now, because of a limit that it announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Withheld {
    /// When the next request may be sent, unless the limit changes; `None` for never.
    pub until: Option<Millis>,
    /// Which limit it is.
    pub why: WithheldReason,
}

/// A limit that an instance announced and that holds requests back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldReason {
    /// Its rate limit.
    Limit,
    /// A backoff: it wants nothing from this node for a while.
    Backoff,
    /// It is shutting down.
    Leaving,
    /// It is cold and has got what it takes for now.
    Cold,
    /// The operator has evacuated its data centre.
    Evacuated,
}

impl WithheldReason {
    /// The reason as text, for logs.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Limit => "the instance's rate limit is reached",
            Self::Backoff => "the instance has asked this node to back off",
            Self::Leaving => "the instance is shutting down",
            Self::Cold => "the instance is cold and takes few requests",
            Self::Evacuated => "the instance's data centre is evacuated",
        }
    }
}

/// Rate at which requests are sent however low the limit is: the end of a limit is reported only
/// in an answer.
const RATE_MIN: Rate = Rate(250);
/// Burst of all senders together: this many requests, plus [`BURST_SECONDS`] times the requests
/// of one second at the limit. An instance may get at most one and a half times its limit plus
/// five requests over four seconds. This burst stays below that by the requests of half a second
/// plus two, which leaves room for requests that are delayed on the way, and for nodes that
/// disagree about who the senders are.
const BURST_BASE: f64 = 3.0;
const BURST_SECONDS: f64 = 1.5;
/// A limit that no answer has confirmed for this long is dropped. While requests are sent to the
/// instance, answers confirm it every few seconds.
const LIMIT_TTL: Millis = Millis::from_secs(60);
/// How long backoffs and shutdowns are kept of an incarnation that is no longer listed: its entry
/// may come back.
const UNLISTED_TTL: Millis = Millis::from_secs(600);
/// How many times a changed limit is sent to peers ahead of the others: a message may be lost.
const GOSSIP_REPEATS: u8 = 3;
/// How many of `nodes` are senders to an instance with this limit.
pub fn senders(limit: Rate, nodes: usize) -> usize {
    (total_burst(limit) as usize).min(nodes.max(1))
}

/// Burst of all senders together, in requests.
fn total_burst(limit: Rate) -> f64 {
    BURST_BASE + BURST_SECONDS * limit.as_per_s()
}

/// Until when an instance wants nothing from this node, and when it last said so.
#[derive(Debug, Clone, Copy)]
struct InstanceBackoff {
    until: Millis,
    reported_at: Millis,
}

/// An instance's rate limit and the token bucket of this node for it.
#[derive(Debug, Clone, Copy)]
struct LimitState {
    report: LimitReport,
    bucket: TokenBucket,
    /// How many more times the limit is sent to peers ahead of unchanged ones.
    gossip_left: u8,
}

impl LimitState {
    /// What all senders together may send; `None` for any number.
    fn shared_rate(&self) -> Option<SharedRate> {
        let limit = self.report.limit?;
        Some(SharedRate { per_s: limit.max(RATE_MIN).as_per_s(), burst: total_burst(limit) })
    }

    /// Whether a request may be sent now, and otherwise when.
    fn check(
        &mut self,
        rules: LimitRules,
        share: SenderShare,
        now: Millis,
    ) -> Result<(), Withheld> {
        let Some(rate) = self.shared_rate() else { return Ok(()) };
        self.bucket.refill(rate, rules.initial_tokens, share, now);
        let left = self.bucket.time_until_token(rate, share);
        if left == Millis::ZERO {
            return Ok(());
        }
        Err(Withheld { until: Some(now + left), why: WithheldReason::Limit })
    }
}

/// The limits that instances have announced, and what this node may send to them.
#[derive(Debug, Clone)]
pub struct InstanceLimits<K> {
    rules: LimitRules,
    rate_limits: BTreeMap<K, LimitState>,
    backoffs: BTreeMap<K, InstanceBackoff>,
    /// Incarnations that are shutting down, and when this was first reported.
    leaving: BTreeMap<K, Millis>,
    /// The last one that was sent to peers in turn.
    last_in_turn: Option<K>,
}

impl<K: Ord + Clone> Default for InstanceLimits<K> {
    fn default() -> Self {
        Self::new(LimitRules::default())
    }
}

impl<K: Ord + Clone> InstanceLimits<K> {
    /// Starts without any limit.
    pub fn new(rules: LimitRules) -> Self {
        let (rate_limits, backoffs, leaving) = Default::default();
        Self { rules, rate_limits, backoffs, leaving, last_in_turn: None }
    }

    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.rate_limits.is_empty() && self.backoffs.is_empty() && self.leaving.is_empty()
    }

    /// The rate limit of an instance; `None` if it has none.
    pub fn limit(&self, id: &K) -> Option<Rate> {
        self.rate_limits.get(id)?.report.limit
    }

    /// All instances with a rate limit.
    pub fn limits(&self) -> impl Iterator<Item = (&K, Rate)> {
        self.rate_limits.iter().filter_map(|(id, state)| Some((id, state.report.limit?)))
    }

    /// Records a rate limit that an instance reported to this node or to a peer. Returns whether
    /// the limit changed.
    pub fn on_limit_report(&mut self, id: &K, report: LimitReport) -> bool {
        let Some(state) = self.rate_limits.get_mut(id) else {
            if report.limit.is_none() {
                return false;
            }
            let bucket = TokenBucket::default();
            let state = LimitState { report, bucket, gossip_left: GOSSIP_REPEATS };
            self.rate_limits.insert(id.clone(), state);
            return true;
        };
        let known = state.report;
        if report.limit == known.limit {
            state.report.request_sent_at = known.request_sent_at.max(report.request_sent_at);
            state.report.answer_received_at =
                known.answer_received_at.max(report.answer_received_at);
            return false;
        }
        let lowers = match (report.limit, known.limit) {
            (Some(limit), Some(previous)) => limit < previous,
            (limit, _) => limit.is_some(),
        };
        let is_accepted = if lowers {
            report.answer_received_at + self.rules.slack > known.request_sent_at
        } else {
            report.request_sent_at >= known.answer_received_at + self.rules.slack
        };
        if is_accepted {
            state.report = report;
            state.gossip_left = GOSSIP_REPEATS;
        }
        is_accepted
    }

    /// Records that an instance refused a request and wants nothing from this node for `backoff`
    /// from `now` on. Of several such times the one that ends last counts.
    pub fn on_backoff(&mut self, id: &K, backoff: Millis, now: Millis) {
        let backing_off = self
            .backoffs
            .entry(id.clone())
            .or_insert(InstanceBackoff { until: now, reported_at: now });
        *backing_off =
            InstanceBackoff { until: backing_off.until.max(now + backoff), reported_at: now };
    }

    /// How long an instance still wants nothing from this node; zero if it takes requests.
    pub fn backoff_left(&self, id: &K, now: Millis) -> Millis {
        self.backoffs.get(id).map_or(Millis::ZERO, |backing_off| backing_off.until.since(now))
    }

    /// How many instances want nothing from this node at `now`.
    pub fn backing_off(&self, now: Millis) -> usize {
        self.backoffs.values().filter(|backing_off| backing_off.until > now).count()
    }

    /// Records that this incarnation of an instance is shutting down and takes no more requests.
    /// Returns whether this was unknown before.
    pub fn on_leaving(&mut self, id: &K, now: Millis) -> bool {
        let is_news = !self.leaving.contains_key(id);
        self.leaving.entry(id.clone()).or_insert(now);
        is_news
    }

    /// Incarnations whose shutdown was first reported less than `age` ago, the latest ones first.
    pub fn recently_leaving(&self, age: Millis, now: Millis) -> Vec<K> {
        let new = self.leaving.iter().filter(|(_, heard)| now.since(**heard) < age);
        let mut new: Vec<(&K, Millis)> = new.map(|(id, heard)| (id, *heard)).collect();
        new.sort_by_key(|(_, heard)| std::cmp::Reverse(*heard));
        new.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Whether an instance has announced a limit that holds now, of any kind.
    pub fn restricts_sending(&self, id: &K, now: Millis) -> bool {
        let is_backing_off =
            self.backoffs.get(id).is_some_and(|backing_off| backing_off.until > now);
        is_backing_off || self.limit(id).is_some() || self.leaving.contains_key(id)
    }

    /// Checks whether a request may be sent to an instance now, where `share` is this node's share
    /// of the instance's rate limit.
    ///
    /// # Errors
    ///
    /// [`Withheld`] if not.
    pub fn check(&mut self, id: &K, share: SenderShare, now: Millis) -> Result<(), Withheld> {
        if self.leaving.contains_key(id) {
            return Err(Withheld { until: None, why: WithheldReason::Leaving });
        }
        if let Some(backing_off) =
            self.backoffs.get(id).filter(|backing_off| backing_off.until > now)
        {
            return Err(Withheld { until: Some(backing_off.until), why: WithheldReason::Backoff });
        }
        let rules = self.rules;
        self.rate_limits.get_mut(id).map_or(Ok(()), |state| state.check(rules, share, now))
    }

    /// Takes a token for one request to an instance.
    ///
    /// # Errors
    ///
    /// [`Withheld`] if it may not be sent now.
    pub fn take(&mut self, id: &K, share: SenderShare, now: Millis) -> Result<(), Withheld> {
        self.check(id, share, now)?;
        if let Some(state) =
            self.rate_limits.get_mut(id).filter(|state| state.report.limit.is_some())
        {
            state.bucket.take();
        }
        Ok(())
    }

    /// Up to `max_count` rate limits to be sent to peers now: changed ones first, then the others
    /// in turn.
    pub fn next_to_gossip(&mut self, max_count: usize) -> Vec<(K, LimitReport)> {
        let changed = self.rate_limits.iter().filter(|(_, state)| state.gossip_left > 0);
        let mut chosen: Vec<K> = changed.map(|(id, _)| id.clone()).take(max_count).collect();
        let rest_of_turn =
            self.rate_limits.keys().filter(|id| self.last_in_turn.as_ref().is_none_or(|t| *id > t));
        let start_of_turn = self
            .rate_limits
            .keys()
            .filter(|id| self.last_in_turn.as_ref().is_some_and(|t| *id <= t));
        let in_turn =
            rest_of_turn.chain(start_of_turn).filter(|id| self.rate_limits[*id].gossip_left == 0);
        let in_turn: Vec<K> = in_turn.take(max_count - chosen.len()).cloned().collect();
        self.last_in_turn = in_turn.last().cloned().or(self.last_in_turn.take());
        chosen.extend(in_turn);
        let to_message = |id: K| {
            let state = self.rate_limits.get_mut(&id)?;
            state.gossip_left = state.gossip_left.saturating_sub(1);
            Some((id, state.report))
        };
        chosen.into_iter().filter_map(to_message).collect()
    }

    /// Drops rate limits that no answer has confirmed for long, backoffs that are over, and what
    /// incarnations that are no longer known announced long ago.
    pub fn forget(&mut self, now: Millis, is_known: impl Fn(&K) -> bool) {
        self.rate_limits.retain(|_, state| now.since(state.report.answer_received_at) < LIMIT_TTL);
        let is_kept =
            |id: &K, reported_at: Millis| is_known(id) || now.since(reported_at) < UNLISTED_TTL;
        self.backoffs.retain(|id, backoff| backoff.until > now && is_kept(id, backoff.reported_at));
        self.leaving.retain(|id, reported_at| is_kept(id, *reported_at));
    }
}
