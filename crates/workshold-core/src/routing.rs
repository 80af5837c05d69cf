//! Chooses the group for a request, by load and by prefix affinity.
//!
//! A candidate's load is its last report, corrected for what this node has sent to
//! it since. Groups in this data centre are preferred while they have room, and the
//! group that got the longest known prefix of the prompt is preferred while its load
//! is within a bound of the mean. Otherwise the prompt's first block ranks the
//! candidates by rendezvous hashing: alike on every node, so that equal prefixes meet
//! in one cache without any messages between nodes. Of the best-ranked candidates
//! within the bound, the least utilised one is chosen.

use std::collections::HashMap;
use std::collections::VecDeque;

use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;

use crate::prefix::PrefixChain;
use crate::rendezvous;

/// Parameters of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingRules {
    /// Prefix affinity applies to groups whose utilisation is at most this multiple of
    /// the mean,
    pub load_bound: f64,
    /// or at most what this many occupied slots make, so that nearly idle groups are
    /// not excluded by a low mean.
    pub slack_slots: f64,
    /// Number of best-ranked candidates that a prefix without a known group may go to.
    pub spread: usize,
    /// Number of prefixes whose group is remembered.
    pub max_prefixes: usize,
}

impl Default for RoutingRules {
    fn default() -> Self {
        Self { load_bound: 2.0, slack_slots: 1.0, spread: 2, max_prefixes: 65_536 }
    }
}

/// A ready group that could serve a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// The group.
    pub group: &'a GroupId,
    /// Requests in it, running and queued, by its last report.
    pub reported: u32,
    /// Earliest time, by this node's clock, at which that report was true.
    pub true_since: Millis,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Its speed relative to the model's best role; smaller roles are slower.
    pub worth: f64,
    /// Whether it is in another data centre.
    pub is_remote: bool,
    /// Whether outlier detection has ejected it.
    pub is_ejected: bool,
}

/// The router of one model at one node: the groups that prefixes were sent to, and this
/// node's own requests per group.
#[derive(Debug, Clone)]
pub struct Router {
    rules: RoutingRules,
    prefix_groups: HashMap<u64, GroupId>,
    prefix_order: VecDeque<u64>,
    own: HashMap<GroupId, OwnRequests>,
}

/// This node's requests at one group: the number in flight, and the times at which
/// recent ones were sent and finished.
#[derive(Debug, Clone, Default)]
struct OwnRequests {
    in_flight: u32,
    sent: VecDeque<Millis>,
    done: VecDeque<Millis>,
}

/// Bound of these times per group and kind; the oldest are dropped, since only those
/// later than the group's last report count.
const MAX_OWN_EVENTS: usize = 4096;

fn count_since(events: &VecDeque<Millis>, since: Millis) -> u32 {
    events.iter().rev().take_while(|at| **at >= since).count() as u32
}

impl OwnRequests {
    fn push_bounded(events: &mut VecDeque<Millis>, now: Millis) {
        if events.len() == MAX_OWN_EVENTS {
            events.pop_front();
        }
        events.push_back(now);
    }
}

impl Router {
    /// A router that has sent nothing.
    pub fn new(rules: RoutingRules) -> Self {
        Self {
            rules,
            prefix_groups: HashMap::new(),
            prefix_order: VecDeque::new(),
            own: HashMap::new(),
        }
    }

    /// Estimated requests at a candidate: its reported ones plus those that this node
    /// has sent since, minus those that have finished; at least this node's own requests
    /// in flight there.
    pub fn load(&self, candidate: &Candidate<'_>) -> f64 {
        let Some(own) = self.own.get(candidate.group) else {
            return f64::from(candidate.reported);
        };
        let sent = f64::from(count_since(&own.sent, candidate.true_since));
        let done = f64::from(count_since(&own.done, candidate.true_since));
        (f64::from(candidate.reported) + sent - done).max(f64::from(own.in_flight))
    }

    /// Chooses a group for a prompt; `None` if there are no candidates.
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
        if let Some(group_of_longest_prefix) = self.group_of_longest_prefix(chain)
            && let Some(found) = scored.iter().find(|(c, _)| c.group == group_of_longest_prefix)
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
            // Without a prefix to share, the least utilised of all.
            scored.iter().min_by(least)
        } else {
            best.min_by(least).or_else(|| scored.iter().min_by(least))
        };
        chosen.map(|(candidate, _)| candidate.group)
    }

    /// Records that a prompt was sent to `group`.
    pub fn on_sent(&mut self, chain: &PrefixChain, group: &GroupId, now: Millis) {
        let own = self.own.entry(group.clone()).or_default();
        own.in_flight += 1;
        OwnRequests::push_bounded(&mut own.sent, now);
        chain.hashes().iter().for_each(|hash| self.remember_prefix(*hash, group));
    }

    /// Records that a request at `group` has finished.
    pub fn on_done(&mut self, group: &GroupId, now: Millis) {
        let Some(own) = self.own.get_mut(group) else { return };
        own.in_flight = own.in_flight.saturating_sub(1);
        OwnRequests::push_bounded(&mut own.done, now);
    }

    /// Drops groups for which `is_there` is false; counts of requests in flight stay.
    pub fn retain(&mut self, is_there: impl Fn(&GroupId) -> bool) {
        self.own.retain(|group, own| own.in_flight > 0 || is_there(group));
        self.prefix_groups.retain(|_, group| is_there(group));
    }

    /// The candidates that are not ejected (all, if every one is), and of these the ones
    /// in this data centre that have room, if there are any.
    fn usable<'b, 'a>(&self, candidates: &'b [Candidate<'a>]) -> Vec<&'b Candidate<'a>> {
        let has_room =
            |c: &&Candidate<'a>| self.load(c) < f64::from(c.slots) * OVERFLOW_LOAD_PER_SLOT;
        let not_ejected: Vec<_> = candidates.iter().filter(|c| !c.is_ejected).collect();
        let eligible =
            if not_ejected.is_empty() { candidates.iter().collect() } else { not_ejected };
        let local: Vec<_> =
            eligible.iter().filter(|c| !c.is_remote && has_room(c)).copied().collect();
        if local.is_empty() { eligible } else { local }
    }

    fn utilisation(&self, candidate: &Candidate<'_>) -> f64 {
        self.load(candidate) / (f64::from(candidate.slots.max(1)) * candidate.worth.max(0.01))
    }

    fn bound(&self, scored: &[(&Candidate<'_>, f64)]) -> f64 {
        let mean = scored.iter().map(|(_, util)| util).sum::<f64>() / scored.len().max(1) as f64;
        mean * self.rules.load_bound
    }

    /// The group that the longest known prefix of the prompt was sent to.
    fn group_of_longest_prefix(&self, chain: &PrefixChain) -> Option<&GroupId> {
        chain.hashes().iter().rev().find_map(|hash| self.prefix_groups.get(hash))
    }

    fn remember_prefix(&mut self, hash: u64, group: &GroupId) {
        if self.prefix_groups.insert(hash, group.clone()).is_none() {
            self.prefix_order.push_back(hash);
        }
        while self.prefix_order.len() > self.rules.max_prefixes {
            if let Some(oldest) = self.prefix_order.pop_front() {
                self.prefix_groups.remove(&oldest);
            }
        }
    }
}

/// A group of this data centre is skipped in favour of a remote one at this load per slot.
const OVERFLOW_LOAD_PER_SLOT: f64 = 1.0;
