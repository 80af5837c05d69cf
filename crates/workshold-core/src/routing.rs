//! Which group gets a request.
//!
//! Each candidate's expected time to the first token is estimated from its load
//! (its last report, corrected for what this node sent since), from how much of
//! the prompt it probably has cached, and from how far away it is. The prompt's
//! beginning ranks the candidates by rendezvous, alike on every node, so that
//! equal beginnings meet in one cache without any node telling another. The
//! best-ranked candidate within a bound of the mean load wins.

use std::collections::HashMap;
use std::collections::VecDeque;

use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;

use crate::prefix::PrefixChain;
use crate::rendezvous;

/// What routing weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingRules {
    /// No group goes above this multiple of the mean utilisation...
    pub load_bound: f64,
    /// ...unless it still has this many slots' worth of room above it.
    pub slack_slots: f64,
    /// How many of the best-ranked candidates a cold prefix may go to.
    pub spread: usize,
    /// How many prefixes are remembered.
    pub max_hints: usize,
}

impl Default for RoutingRules {
    fn default() -> Self {
        Self { load_bound: 2.0, slack_slots: 1.0, spread: 2, max_hints: 65_536 }
    }
}

/// A group that could serve a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// The group.
    pub group: &'a GroupId,
    /// Requests in it when it last reported.
    pub reported: u32,
    /// Since when that is true, by this node's clock.
    pub true_since: Millis,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Share of its full speed that it has; smaller roles have less.
    pub worth: f64,
    /// Whether it is in another data centre.
    pub is_remote: bool,
    /// Whether it does worse than its like.
    pub is_ejected: bool,
}

/// Which prefix was sent where, and what this node has under way.
#[derive(Debug, Clone)]
pub struct Router {
    rules: RoutingRules,
    hints: HashMap<u64, GroupId>,
    hint_order: VecDeque<u64>,
    own: HashMap<GroupId, OwnLoad>,
}

/// What this node sent to one group and got back of late.
#[derive(Debug, Clone, Default)]
struct OwnLoad {
    in_flight: u32,
    sent: VecDeque<Millis>,
    done: VecDeque<Millis>,
}

/// Events older than any report that is still believed are dropped.
const OWN_EVENTS_KEPT: usize = 4096;

fn after(events: &VecDeque<Millis>, since: Millis) -> u32 {
    events.iter().rev().take_while(|at| **at >= since).count() as u32
}

impl OwnLoad {
    fn note(events: &mut VecDeque<Millis>, now: Millis) {
        if events.len() == OWN_EVENTS_KEPT {
            events.pop_front();
        }
        events.push_back(now);
    }
}

impl Router {
    /// Nothing known yet.
    pub fn new(rules: RoutingRules) -> Self {
        Self { rules, hints: HashMap::new(), hint_order: VecDeque::new(), own: HashMap::new() }
    }

    /// Requests at a candidate: what it reported, plus what this node sent since
    /// and less what came back. Never below what this node has there.
    pub fn load(&self, candidate: &Candidate<'_>) -> f64 {
        let Some(own) = self.own.get(candidate.group) else {
            return f64::from(candidate.reported);
        };
        let sent = f64::from(after(&own.sent, candidate.true_since));
        let done = f64::from(after(&own.done, candidate.true_since));
        (f64::from(candidate.reported) + sent - done).max(f64::from(own.in_flight))
    }

    /// Chooses a group for a prompt; `None` without candidates.
    pub fn choose<'a>(
        &self,
        chain: &PrefixChain,
        candidates: &[Candidate<'a>],
    ) -> Option<&'a GroupId> {
        let usable = self.usable(candidates);
        let scored: Vec<_> = usable.iter().map(|c| (*c, self.utilisation(c))).collect();
        let bound = self.bound(&scored);
        let fits = |(c, util): &(&Candidate<'a>, f64)| {
            *util <= bound.max(self.rules.slack_slots / f64::from(c.slots.max(1)))
        };
        if let Some(hinted) = self.hinted(chain)
            && let Some(found) = scored.iter().find(|(c, _)| c.group == hinted)
            && fits(found)
        {
            return Some(found.0.group);
        }
        let key = chain.root().to_le_bytes();
        let within = scored.iter().filter(|scored| fits(scored)).copied();
        let ranked = rendezvous::ranked(&key, within, |(c, _)| c.group.as_str().as_bytes());
        let best = ranked.iter().take(self.rules.spread);
        let least = |a: &&(&Candidate<'a>, f64), b: &&(&Candidate<'a>, f64)| a.1.total_cmp(&b.1);
        let chosen = if chain.hashes().is_empty() {
            // Nothing to share: the least loaded of all.
            scored.iter().min_by(least)
        } else {
            best.min_by(least).or_else(|| scored.iter().min_by(least))
        };
        chosen.map(|(candidate, _)| candidate.group)
    }

    /// Takes note that a prompt went to `group`.
    pub fn on_sent(&mut self, chain: &PrefixChain, group: &GroupId, now: Millis) {
        let own = self.own.entry(group.clone()).or_default();
        own.in_flight += 1;
        OwnLoad::note(&mut own.sent, now);
        chain.hashes().iter().for_each(|hash| self.learn(*hash, group));
    }

    /// Takes note that a request at `group` is over.
    pub fn on_done(&mut self, group: &GroupId, now: Millis) {
        let Some(own) = self.own.get_mut(group) else { return };
        own.in_flight = own.in_flight.saturating_sub(1);
        OwnLoad::note(&mut own.done, now);
    }

    /// Forgets groups that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&GroupId) -> bool) {
        self.own.retain(|group, own| own.in_flight > 0 || is_there(group));
        self.hints.retain(|_, group| is_there(group));
    }

    /// The nearest that are not set aside; all, if there are no such.
    fn usable<'b, 'a>(&self, candidates: &'b [Candidate<'a>]) -> Vec<&'b Candidate<'a>> {
        let has_room = |c: &&Candidate<'a>| self.load(c) < f64::from(c.slots) * OVERFLOW;
        let good: Vec<_> = candidates.iter().filter(|c| !c.is_ejected).collect();
        let good = if good.is_empty() { candidates.iter().collect() } else { good };
        let near: Vec<_> = good.iter().filter(|c| !c.is_remote && has_room(c)).copied().collect();
        if near.is_empty() { good } else { near }
    }

    fn utilisation(&self, candidate: &Candidate<'_>) -> f64 {
        self.load(candidate) / (f64::from(candidate.slots.max(1)) * candidate.worth.max(0.01))
    }

    fn bound(&self, scored: &[(&Candidate<'_>, f64)]) -> f64 {
        let mean = scored.iter().map(|(_, util)| util).sum::<f64>() / scored.len().max(1) as f64;
        mean * self.rules.load_bound
    }

    /// Where the longest known beginning of the prompt went.
    fn hinted(&self, chain: &PrefixChain) -> Option<&GroupId> {
        chain.hashes().iter().rev().find_map(|hash| self.hints.get(hash))
    }

    fn learn(&mut self, hash: u64, group: &GroupId) {
        if self.hints.insert(hash, group.clone()).is_none() {
            self.hint_order.push_back(hash);
        }
        while self.hint_order.len() > self.rules.max_hints {
            if let Some(oldest) = self.hint_order.pop_front() {
                self.hints.remove(&oldest);
            }
        }
    }
}

/// A near group is passed over for a far one only when it is this full.
const OVERFLOW: f64 = 1.0;
