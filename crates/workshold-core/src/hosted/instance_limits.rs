//! What instances take, by their own word: so many requests a second, nothing of this node for a
//! while, or nothing any more; and who sends how much.
//!
//! A rest is between an instance and the node that it refused; that it leaves and its limit are
//! for all nodes. All three belong to one life of an instance. The word comes in answers, which
//! overtake each other, and from other nodes, whose word is older than it looks. What tightens a
//! limit counts at once; what loosens it counts only if it was certainly said later: its request
//! left after the word that it replaces had come.
//!
//! Nodes keep to a limit together without asking each other. The first few of them, in an order
//! that all see alike, are its senders; each has an equal part of the limit and of what all of
//! them may save up, so that over any `T` seconds they send no more than the limit times `T` and
//! that. How many senders there are follows from the limit: with few requests a second one
//! saved up at each of hundreds of nodes would be more than the limit itself. Whoever becomes a
//! sender starts with nothing saved up, so that a change of senders adds nothing.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

/// A number of requests a second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl Rate {
    /// Of a number that is not negative; what is beyond the thousandth is left out.
    pub fn per_s(number: f64) -> Self {
        Self((number * 1000.0).floor() as u32)
    }

    /// Requests a second.
    pub fn as_per_s(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// What an instance said of how much it takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitReport {
    /// Its limit, for all nodes together; `None` for none.
    pub limit: Option<Rate>,
    /// When the request left whose answer said so: it was said later.
    pub asked: Millis,
    /// When that answer came: it was said earlier.
    pub heard: Millis,
}

/// How words are weighed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IntakeRules {
    /// Times of other nodes' words may be off by so much.
    pub slack: Millis,
    /// Requests that a node has saved up when it becomes a sender.
    pub saved_at_first: f64,
}

impl Default for IntakeRules {
    fn default() -> Self {
        Self { slack: Millis(500), saved_at_first: 0.0 }
    }
}

/// Whether a node is one of an instance's senders, and how many there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SenderShare {
    /// Whether it is one of them.
    pub is_sender: bool,
    /// How many there are.
    pub senders: usize,
}

/// An instance takes nothing from this node for now, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Withheld {
    /// When it may take the next request, if nothing else is said; `None` for never.
    pub until: Option<Millis>,
    /// What it said.
    pub why: WithheldReason,
}

/// What an instance said that keeps requests from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldReason {
    /// How many requests a second it takes.
    Limit,
    /// That it wants nothing from this node for a while.
    Rest,
    /// That it leaves.
    Leaving,
}

impl WithheldReason {
    /// The same for logs.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Limit => "its instance takes no more by the limit that it names",
            Self::Rest => "its instance has asked this node for rest",
            Self::Leaving => "its instance leaves",
        }
    }
}

/// So many are sent a second however low the limit is, or nobody would hear of its end.
const LEAST: Rate = Rate(250);
/// Requests that all senders together may have saved up: so many, and this part of a second's.
/// Over four seconds they then send less than one and a half times the limit and five more, by
/// half a second's and two requests: for those that are late on the way, and for nodes that
/// differ in who sends.
const MOST_SAVED: f64 = 3.0;
const MOST_SAVED_PART: f64 = 1.5;
/// A word that nobody confirmed for this long is forgotten; whoever sends confirms it every few
/// seconds.
const FORGET_AFTER: Millis = Millis::from_secs(60);
/// What a life said is kept for so long after it is known no more: its entry may come back.
const LIFE_KEPT: Millis = Millis::from_secs(600);
/// So often what is news is told.
const TELLS: u8 = 3;
/// Of a whole request; what is missing beyond it is rounding.
const ROUNDING: f64 = 1e-6;

/// How many of `nodes` send to an instance with this limit.
pub fn senders(limit: Rate, nodes: usize) -> usize {
    (saved_by_all(limit) as usize).min(nodes.max(1))
}

/// How many requests all senders together may have saved up.
fn saved_by_all(limit: Rate) -> f64 {
    MOST_SAVED + MOST_SAVED_PART * limit.as_per_s()
}

/// Until when an instance wants nothing, and when it said so.
#[derive(Debug, Clone, Copy)]
struct Resting {
    until: Millis,
    said: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Taking {
    word: LimitReport,
    /// Requests saved up at `at`, if this node was a sender then.
    saved: f64,
    at: Millis,
    was_sender: bool,
    tells: u8,
}

impl Taking {
    /// Requests that may be sent a second by a sender; `None` for any number.
    fn share(&self, part: SenderShare) -> Option<f64> {
        Some(self.word.limit?.max(LEAST).as_per_s() / part.senders.max(1) as f64)
    }

    /// Adds what has been saved up since it was last asked for.
    fn refill(&mut self, rules: IntakeRules, share: f64, part: SenderShare, now: Millis) {
        self.saved = match (part.is_sender, self.was_sender) {
            (false, _) => 0.0,
            (true, false) => rules.saved_at_first,
            (true, true) => {
                let limit = self.word.limit.unwrap_or(LEAST);
                let most = (saved_by_all(limit) / part.senders.max(1) as f64).max(1.0);
                (self.saved + share * now.since(self.at).as_secs_f64()).min(most)
            }
        };
        self.at = now;
        self.was_sender = part.is_sender;
    }

    /// When the next request may be sent, if not now.
    fn look(&mut self, rules: IntakeRules, part: SenderShare, now: Millis) -> Result<(), Withheld> {
        let Some(share) = self.share(part) else { return Ok(()) };
        self.refill(rules, share, part, now);
        if self.saved >= 1.0 - ROUNDING {
            return Ok(());
        }
        // Whoever does not send points to the next request of all senders.
        let (missing, rate) = match part.is_sender {
            true => (1.0 - self.saved, share),
            false => (1.0, share * part.senders as f64),
        };
        let until = now + Millis((missing / rate * 1000.0).ceil() as u64);
        Err(Withheld { until: Some(until), why: WithheldReason::Limit })
    }
}

/// What instances said of how much they take, and what this node may send them.
#[derive(Debug, Clone)]
pub struct InstanceLimits<K> {
    rules: IntakeRules,
    takings: BTreeMap<K, Taking>,
    /// Until when instances want nothing from this node, and when they last said so.
    rests: BTreeMap<K, Resting>,
    /// Lives that leave, and when that was first heard.
    leaving: BTreeMap<K, Millis>,
    /// Who was told of last in turn.
    turn: Option<K>,
}

impl<K: Ord + Clone> Default for InstanceLimits<K> {
    fn default() -> Self {
        Self::new(IntakeRules::default())
    }
}

impl<K: Ord + Clone> InstanceLimits<K> {
    /// Nothing was said yet.
    pub fn new(rules: IntakeRules) -> Self {
        let (takings, rests, leaving) = Default::default();
        Self { rules, takings, rests, leaving, turn: None }
    }

    /// Whether no instance has said anything.
    pub fn is_empty(&self) -> bool {
        self.takings.is_empty() && self.rests.is_empty() && self.leaving.is_empty()
    }

    /// The limit of an instance.
    pub fn limit(&self, id: &K) -> Option<Rate> {
        self.takings.get(id)?.word.limit
    }

    /// All limits.
    pub fn limits(&self) -> impl Iterator<Item = (&K, Rate)> {
        self.takings.iter().filter_map(|(id, taking)| Some((id, taking.word.limit?)))
    }

    /// An instance said something, to this node or by another one's word. Returns whether it is
    /// another limit.
    pub fn on_limit_report(&mut self, id: &K, word: LimitReport) -> bool {
        let Some(taking) = self.takings.get_mut(id) else {
            if word.limit.is_none() {
                return false;
            }
            let (saved, at) = (self.rules.saved_at_first, word.heard);
            let taking = Taking { word, saved, at, was_sender: false, tells: TELLS };
            self.takings.insert(id.clone(), taking);
            return true;
        };
        let held = taking.word;
        if word.limit == held.limit {
            taking.word.asked = held.asked.max(word.asked);
            taking.word.heard = held.heard.max(word.heard);
            return false;
        }
        let tightens = match (word.limit, held.limit) {
            (Some(limit), Some(was)) => limit < was,
            (limit, _) => limit.is_some(),
        };
        let counts = if tightens {
            word.heard + self.rules.slack > held.asked
        } else {
            word.asked >= held.heard + self.rules.slack
        };
        if counts {
            taking.word = word;
            taking.tells = TELLS;
        }
        counts
    }

    /// An instance that refuses wants nothing from this node for so long from `now` on; of
    /// several times the one that ends last counts.
    pub fn on_backoff(&mut self, id: &K, rest: Millis, now: Millis) {
        let backing_off = self.rests.entry(id.clone()).or_insert(Resting { until: now, said: now });
        *backing_off = Resting { until: backing_off.until.max(now + rest), said: now };
    }

    /// For how long an instance wants nothing from this node.
    pub fn backoff_left(&self, id: &K, now: Millis) -> Millis {
        self.rests.get(id).map_or(Millis::ZERO, |backing_off| backing_off.until.since(now))
    }

    /// How many instances want nothing from this node.
    pub fn backing_off(&self, now: Millis) -> usize {
        self.rests.values().filter(|backing_off| backing_off.until > now).count()
    }

    /// An instance leaves: this life of it takes nothing any more. Returns whether that is news.
    pub fn on_leaving(&mut self, id: &K, now: Millis) -> bool {
        let is_news = !self.leaving.contains_key(id);
        self.leaving.entry(id.clone()).or_insert(now);
        is_news
    }

    /// Lives of which it was first heard within `age` that they leave, the last ones first.
    pub fn recently_leaving(&self, age: Millis, now: Millis) -> Vec<K> {
        let new = self.leaving.iter().filter(|(_, heard)| now.since(**heard) < age);
        let mut new: Vec<(&K, Millis)> = new.map(|(id, heard)| (id, *heard)).collect();
        new.sort_by_key(|(_, heard)| std::cmp::Reverse(*heard));
        new.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Whether an instance has said what keeps requests from it, or bounds them.
    pub fn restricts_sending(&self, id: &K, now: Millis) -> bool {
        let rests = self.rests.get(id).is_some_and(|backing_off| backing_off.until > now);
        rests || self.limit(id).is_some() || self.leaving.contains_key(id)
    }

    /// Whether a request may be sent to an instance now; `part` is this node's of its limit.
    ///
    /// # Errors
    ///
    /// [`Withheld`] if not.
    pub fn look(&mut self, id: &K, part: SenderShare, now: Millis) -> Result<(), Withheld> {
        if self.leaving.contains_key(id) {
            return Err(Withheld { until: None, why: WithheldReason::Leaving });
        }
        if let Some(backing_off) = self.rests.get(id).filter(|backing_off| backing_off.until > now)
        {
            return Err(Withheld { until: Some(backing_off.until), why: WithheldReason::Rest });
        }
        let rules = self.rules;
        self.takings.get_mut(id).map_or(Ok(()), |taking| taking.look(rules, part, now))
    }

    /// Takes one request out of what may be sent to an instance.
    ///
    /// # Errors
    ///
    /// [`Withheld`] if it may not be sent now.
    pub fn take(&mut self, id: &K, part: SenderShare, now: Millis) -> Result<(), Withheld> {
        self.look(id, part, now)?;
        if let Some(taking) = self.takings.get_mut(id).filter(|taking| taking.word.limit.is_some())
        {
            taking.saved -= 1.0;
        }
        Ok(())
    }

    /// What is to be told to others now, at most so many: news first, then the rest in turn.
    pub fn next_to_gossip(&mut self, most: usize) -> Vec<(K, LimitReport)> {
        let news = self.takings.iter().filter(|(_, taking)| taking.tells > 0);
        let mut told: Vec<K> = news.map(|(id, _)| id.clone()).take(most).collect();
        let after = self.takings.keys().filter(|id| self.turn.as_ref().is_none_or(|t| *id > t));
        let before = self.takings.keys().filter(|id| self.turn.as_ref().is_some_and(|t| *id <= t));
        let in_turn = after.chain(before).filter(|id| self.takings[*id].tells == 0);
        let in_turn: Vec<K> = in_turn.take(most - told.len()).cloned().collect();
        self.turn = in_turn.last().cloned().or(self.turn.take());
        told.extend(in_turn);
        let tell = |id: K| {
            let taking = self.takings.get_mut(&id)?;
            taking.tells = taking.tells.saturating_sub(1);
            Some((id, taking.word))
        };
        told.into_iter().filter_map(tell).collect()
    }

    /// Forgets limits that nobody has confirmed for long, rests that are over, and what was long
    /// ago said by lives that are not among those known.
    pub fn forget(&mut self, now: Millis, is_known: impl Fn(&K) -> bool) {
        self.takings.retain(|_, taking| now.since(taking.word.heard) < FORGET_AFTER);
        let is_there = |id: &K, said: Millis| is_known(id) || now.since(said) < LIFE_KEPT;
        self.rests.retain(|id, rest| rest.until > now && is_there(id, rest.said));
        self.leaving.retain(|id, said| is_there(id, *said));
    }
}
