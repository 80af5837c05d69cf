//! Which instances cannot be reached, by this node's and its peers' own tries.
//!
//! The list is seconds late. A try to connect is not: an instance that is well
//! answers within a few milliseconds, one without power says nothing, and where
//! its process is gone its machine refuses. So may whatever stands on the path to
//! it, for all nodes at once: requests go elsewhere at once by either sign, but what
//! an instance holds is given to others only by a proof that it cannot serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use workshold_protocol::Millis;

/// What a try to reach an instance showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered.
    Answers,
    /// It says nothing.
    Silent,
    /// Nothing listens there any more, or its path refuses.
    Refused,
}

/// What others did that were tried at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherProbes {
    /// One of them answered.
    Answer,
    /// None of them did.
    Silent,
    /// There is nobody else to try.
    Nobody,
}

/// What a try shows: if others are silent too, it is this node that cannot be reached,
/// or its link is full, and the instance's silence shows nothing. A refusal is an answer.
pub fn conclusive(seen: Option<ProbeResult>, others: OtherProbes) -> Option<ProbeResult> {
    seen.filter(|reach| *reach != ProbeResult::Silent || others != OtherProbes::Silent)
}

#[derive(Debug, Clone)]
struct Suspicion {
    /// Since when nobody reaches it; of a mere doubt, since when there is one.
    since: Millis,
    seen_by: BTreeSet<SmolStr>,
    /// Who was asked and reaches it: then only some paths to it are cut.
    answered: BTreeSet<SmolStr>,
    own: bool,
    /// Another life has begun at its id.
    is_over: bool,
    /// This node is not one of those that try it, and goes by what they say.
    by_word: bool,
}

impl Suspicion {
    /// Takes what one node saw. From the moment on at which nobody reaches it any more,
    /// it counts anew: until then it may have gone on with whatever it did.
    fn take(&mut self, now: Millis, seen: impl FnOnce(&mut Self)) {
        let was_agreed = self.is_agreed();
        seen(self);
        if self.is_agreed() && !was_agreed {
            self.since = now;
        }
    }

    /// Whether this node and another do not reach it, and nobody does who was asked.
    fn is_agreed(&self) -> bool {
        self.own && !self.seen_by.is_empty() && self.answered.is_empty()
    }
}

/// How sure a node is that an instance is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// Nothing speaks against it.
    None,
    /// Somebody could not reach it: it gets no new work while others can.
    Doubted,
    /// This node and another, or all that are asked, cannot reach it.
    Confirmed,
    /// Another life has begun at its id.
    Ended,
}

/// Doubts, each about one life of an instance.
#[derive(Debug, Clone)]
pub struct Suspicions<K> {
    doubts: BTreeMap<K, Suspicion>,
}

/// So many others have to agree before a node goes by their word: one of them may itself be
/// cut off.
const AGREED_BY: usize = 2;
/// A doubt that nobody renews is dropped after this: the instance may be back.
const DOUBT_TTL: Millis = Millis::from_secs(30);

impl<K> Default for Suspicions<K> {
    fn default() -> Self {
        Self { doubts: BTreeMap::new() }
    }
}

impl<K: Clone + Ord> Suspicions<K> {
    /// This node tried.
    pub fn on_own_probe(&mut self, id: &K, reach: ProbeResult, now: Millis) {
        if self.is_superseded(id) {
            return;
        }
        if reach == ProbeResult::Answers {
            self.doubts.remove(id);
            return;
        }
        self.entry(id, now).take(now, |doubt| {
            doubt.own = true;
        });
    }

    /// A peer tried.
    pub fn on_peer(&mut self, id: &K, peer: &str, reach: ProbeResult, now: Millis) {
        if reach == ProbeResult::Answers {
            if let Some(doubt) = self.doubts.get_mut(id) {
                doubt.seen_by.remove(peer);
                doubt.answered.insert(SmolStr::new(peer));
                if doubt.seen_by.is_empty() && !doubt.own && !doubt.is_over {
                    self.doubts.remove(id);
                }
            }
            return;
        }
        self.entry(id, now).take(now, |doubt| {
            doubt.seen_by.insert(SmolStr::new(peer));
            doubt.answered.remove(peer);
        });
    }

    /// Another life has begun at the instance's id: this one has ended, whatever anybody
    /// reaches there.
    pub fn on_superseded(&mut self, id: &K, now: Millis) {
        self.entry(id, now).take(now, |doubt| {
            doubt.own = true;
            doubt.is_over = true;
        });
    }

    /// Whether another life has begun at the instance's id.
    pub fn is_superseded(&self, id: &K) -> bool {
        self.doubts.get(id).is_some_and(|doubt| doubt.is_over)
    }

    /// How sure this is; `peers` is how many other nodes could be asked.
    pub fn loss(&self, id: &K, peers: usize) -> Loss {
        let Some(doubt) = self.doubts.get(id) else { return Loss::None };
        if doubt.is_over {
            return Loss::Ended;
        }
        let is_agreed = !doubt.seen_by.is_empty() || peers == 0;
        if !doubt.own || !is_agreed || !doubt.answered.is_empty() {
            return Loss::Doubted;
        }
        // A refusal may be the path's, and all nodes may be behind it: it proves no end.
        Loss::Confirmed
    }

    /// Since when nobody reaches it, or there is doubt whether anybody does.
    pub fn since(&self, id: &K) -> Option<Millis> {
        self.doubts.get(id).map(|doubt| doubt.since)
    }

    /// Whether this node itself could not reach it.
    pub fn is_unreachable_from_here(&self, id: &K) -> bool {
        self.doubts.get(id).is_some_and(|doubt| doubt.own)
    }

    /// This node is not one of those that try an instance: it goes by what they say.
    pub fn rely_on_peers(&mut self, id: &K) {
        if let Some(doubt) = self.doubts.get_mut(id) {
            doubt.by_word = true;
        }
    }

    /// Whether nothing is to be sent to it for now: this node could not reach it, or none
    /// of those who try it for all can.
    pub fn is_unreachable(&self, id: &K) -> bool {
        let Some(doubt) = self.doubts.get(id) else { return false };
        let by_others = doubt.seen_by.len() >= AGREED_BY && doubt.answered.is_empty();
        doubt.own || (doubt.by_word && by_others)
    }

    /// Whether another node could not reach it: then that one has asked all.
    pub fn is_reported_by_peers(&self, id: &K) -> bool {
        self.doubts.get(id).is_some_and(|doubt| !doubt.seen_by.is_empty())
    }

    /// All that are doubted.
    pub fn iter(&self) -> impl Iterator<Item = &K> {
        self.doubts.keys()
    }

    /// The instance said something new: whatever was, it is there.
    pub fn clear(&mut self, id: &K) {
        self.doubts.remove(id);
    }

    /// Drops old doubts and those of instances that nobody knows any more; that a life has
    /// ended is kept for whoever still waits for it.
    pub fn forget(&mut self, now: Millis, is_known: impl Fn(&K) -> bool) {
        self.doubts.retain(|id, doubt| {
            now.since(doubt.since) < DOUBT_TTL && (doubt.is_over || is_known(id))
        });
    }

    fn entry(&mut self, id: &K, now: Millis) -> &mut Suspicion {
        self.doubts.entry(id.clone()).or_insert_with(|| Suspicion {
            since: now,
            seen_by: BTreeSet::new(),
            answered: BTreeSet::new(),
            own: false,
            is_over: false,
            by_word: false,
        })
    }
}
