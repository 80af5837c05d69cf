//! Suspicions that an instance is unreachable, from connection probes by this node and its peers.
//!
//! The instance list is seconds late, but a probe isn't. A healthy instance answers within a few
//! milliseconds, one without power doesn't answer, and where the process has ended, its host
//! refuses the connection. A fault on the network path can look the same, for all nodes at once.
//! So requests go elsewhere at once after either sign, but what an instance holds, such as the
//! members of its group, is given to others only on proof that it can't serve.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use workshold_protocol::Millis;

/// Result of a connection probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The instance accepted the connection.
    Answers,
    /// There was no answer within the time limit.
    Silent,
    /// The connection was refused, by the instance's host or on the network path to it.
    Refused,
}

/// Results of the probes of other instances at the same moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherProbes {
    /// At least one of them answered.
    Answer,
    /// None of them answered.
    Silent,
    /// There is no other instance to probe.
    Nobody,
}

/// What a probe shows of the instance, if anything. If the others are silent too, this node is cut
/// off or its link is saturated, and the instance's silence shows nothing. A refusal counts even
/// then, since something answered.
pub fn conclusive(result: Option<ProbeResult>, others: OtherProbes) -> Option<ProbeResult> {
    result.filter(|result| *result != ProbeResult::Silent || others != OtherProbes::Silent)
}

/// What this node's own probe shows of an instance once peers were asked for theirs; `None` from
/// them if none has answered. A refusal shows that the process has ended only if a peer is refused
/// as well: on the path from one node, something else may refuse.
pub fn confirmed(own: ProbeResult, peers: Option<ProbeResult>) -> ProbeResult {
    match (own, peers) {
        (_, Some(ProbeResult::Answers)) => ProbeResult::Answers,
        (ProbeResult::Refused, Some(ProbeResult::Silent)) => ProbeResult::Silent,
        (own, _) => own,
    }
}

#[derive(Debug, Clone)]
struct Suspicion {
    /// Since when no node reaches the instance, or else since when there is a suspicion.
    since: Millis,
    /// Peers that couldn't reach it.
    failed_peers: BTreeSet<SmolStr>,
    /// Peers that reached it when asked: then only some network paths to it are cut.
    reached_by: BTreeSet<SmolStr>,
    /// When this node last couldn't reach it; `None` if it could, or did not try.
    failed_here_at: Option<Millis>,
    /// Whether another incarnation has started with its id.
    superseded: bool,
    /// Whether this node doesn't probe the instance itself and relies on the peers that do.
    relies_on_peers: bool,
}

impl Suspicion {
    /// Applies what one node saw. If no node reaches the instance from now on, `since` starts
    /// again: until now the instance may have gone on serving.
    fn update(&mut self, now: Millis, change: impl FnOnce(&mut Self)) {
        let was_agreed = self.is_agreed();
        change(self);
        if self.is_agreed() && !was_agreed {
            self.since = now;
        }
    }

    /// Whether this node and at least one peer can't reach it, and no peer that was asked can.
    fn is_agreed(&self) -> bool {
        self.failed_here_at.is_some() && !self.failed_peers.is_empty() && self.reached_by.is_empty()
    }
}

/// How certain a node is that an instance is lost. A later variant is more certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// There is no suspicion.
    None,
    /// Some node couldn't reach it: it gets no new work while other instances can take it.
    Suspected,
    /// This node can't reach it, nor can any peer that was asked; at least one was if there are
    /// peers.
    Confirmed,
    /// Another incarnation has started with its id.
    Ended,
}

/// All suspicions, each of one incarnation of an instance.
#[derive(Debug, Clone)]
pub struct Suspicions<K> {
    by_instance: BTreeMap<K, Suspicion>,
}

/// Number of peers that have to agree before a node relies on them: a single one may itself be cut
/// off.
const PEERS_NEEDED: usize = 2;
/// How long a suspicion is kept after its `since`: the instance may be back.
const SUSPICION_TTL: Millis = Millis::from_secs(30);

impl<K> Default for Suspicions<K> {
    fn default() -> Self {
        Self { by_instance: BTreeMap::new() }
    }
}

impl<K: Clone + Ord> Suspicions<K> {
    /// Records the result of a probe by this node.
    pub fn on_own_probe(&mut self, id: &K, result: ProbeResult, now: Millis) {
        if self.is_superseded(id) {
            return;
        }
        if result == ProbeResult::Answers {
            self.by_instance.remove(id);
            return;
        }
        self.entry(id, now).update(now, |suspicion| {
            suspicion.failed_here_at = Some(now);
        });
    }

    /// Records the result of a probe by a peer.
    pub fn on_peer(&mut self, id: &K, peer: &str, result: ProbeResult, now: Millis) {
        if result == ProbeResult::Answers {
            if let Some(suspicion) = self.by_instance.get_mut(id) {
                suspicion.failed_peers.remove(peer);
                suspicion.reached_by.insert(SmolStr::new(peer));
                if suspicion.failed_peers.is_empty()
                    && suspicion.failed_here_at.is_none()
                    && !suspicion.superseded
                {
                    self.by_instance.remove(id);
                }
            }
            return;
        }
        self.entry(id, now).update(now, |suspicion| {
            suspicion.failed_peers.insert(SmolStr::new(peer));
            suspicion.reached_by.remove(peer);
        });
    }

    /// Records that another incarnation has started with the instance's id. This one has ended,
    /// whatever a probe reaches at its address.
    pub fn on_superseded(&mut self, id: &K, now: Millis) {
        self.entry(id, now).update(now, |suspicion| {
            suspicion.failed_here_at = Some(now);
            suspicion.superseded = true;
        });
    }

    /// Whether another incarnation has started with the instance's id.
    pub fn is_superseded(&self, id: &K) -> bool {
        self.by_instance.get(id).is_some_and(|suspicion| suspicion.superseded)
    }

    /// How certain it is that an instance is lost; `peers` is the number of other nodes that could
    /// be asked.
    pub fn loss(&self, id: &K, peers: usize) -> Loss {
        let Some(suspicion) = self.by_instance.get(id) else { return Loss::None };
        if suspicion.superseded {
            return Loss::Ended;
        }
        let is_agreed = !suspicion.failed_peers.is_empty() || peers == 0;
        if suspicion.failed_here_at.is_none() || !is_agreed || !suspicion.reached_by.is_empty() {
            return Loss::Suspected;
        }
        // A refusal doesn't prove that the process has ended: it may come from a fault on the
        // network path that all nodes share.
        Loss::Confirmed
    }

    /// Since when no node reaches an instance, or else since when it is suspected; `None` if it
    /// isn't.
    pub fn since(&self, id: &K) -> Option<Millis> {
        self.by_instance.get(id).map(|suspicion| suspicion.since)
    }

    /// Whether this node itself couldn't reach it.
    pub fn is_unreachable_from_here(&self, id: &K) -> bool {
        self.failed_here_at(id).is_some()
    }

    /// When this node itself last couldn't reach it; `None` if it could, or did not try.
    pub fn failed_here_at(&self, id: &K) -> Option<Millis> {
        self.by_instance.get(id).and_then(|suspicion| suspicion.failed_here_at)
    }

    /// Makes this node rely on the peers that probe an instance, because it isn't one of them.
    pub fn rely_on_peers(&mut self, id: &K) {
        if let Some(suspicion) = self.by_instance.get_mut(id) {
            suspicion.relies_on_peers = true;
        }
    }

    /// Whether no request is to be sent to it for now: this node couldn't reach it, or none of the
    /// peers that probe it for all can.
    pub fn is_unreachable(&self, id: &K) -> bool {
        let Some(suspicion) = self.by_instance.get(id) else { return false };
        let peers_agree =
            suspicion.failed_peers.len() >= PEERS_NEEDED && suspicion.reached_by.is_empty();
        suspicion.failed_here_at.is_some() || (suspicion.relies_on_peers && peers_agree)
    }

    /// Whether a peer couldn't reach it. That peer has then asked all others already.
    pub fn is_reported_by_peers(&self, id: &K) -> bool {
        self.by_instance.get(id).is_some_and(|suspicion| !suspicion.failed_peers.is_empty())
    }

    /// Whether peers couldn't reach it either, as far as known.
    pub fn is_unreachable_to_peers(&self, id: &K) -> bool {
        self.by_instance.get(id).is_some_and(|suspicion| {
            !suspicion.failed_peers.is_empty() && suspicion.reached_by.is_empty()
        })
    }

    /// Whether a peer reached it when asked.
    pub fn is_reached_by_peers(&self, id: &K) -> bool {
        self.by_instance.get(id).is_some_and(|suspicion| !suspicion.reached_by.is_empty())
    }

    /// All suspected incarnations.
    pub fn iter(&self) -> impl Iterator<Item = &K> {
        self.by_instance.keys()
    }

    /// Drops the suspicion of an instance that has sent something new.
    pub fn clear(&mut self, id: &K) {
        self.by_instance.remove(id);
    }

    /// Drops old suspicions, and those of instances that are no longer known. That an incarnation
    /// has ended is kept even then, for those who still wait for it.
    pub fn forget(&mut self, now: Millis, is_known: impl Fn(&K) -> bool) {
        self.by_instance.retain(|id, suspicion| {
            now.since(suspicion.since) < SUSPICION_TTL && (suspicion.superseded || is_known(id))
        });
    }

    fn entry(&mut self, id: &K, now: Millis) -> &mut Suspicion {
        self.by_instance.entry(id.clone()).or_insert_with(|| Suspicion {
            since: now,
            failed_peers: BTreeSet::new(),
            reached_by: BTreeSet::new(),
            failed_here_at: None,
            superseded: false,
            relies_on_peers: false,
        })
    }
}
