//! What is known of one fingerprint, and what follows from it.

use std::collections::BTreeMap;

use workshold_protocol::Millis;

use super::KeyKind;
use super::ProcessEnd;
use super::QuarantineRecord;
use super::QuarantineStatus;
use super::RequestKey;
use crate::hosted::fingerprint::Fingerprint;

/// Number of incarnations that have to end under one fingerprint before it is quarantined.
///
/// With two, innocent requests are often quarantined: such a request ran beside the one that
/// crashed its first instance, was retried at another instance that crashed too, and is sent
/// once more by its caller. With three this hardly ever happens, and the third end costs one
/// instance (docs/decisions has both probabilities).
pub const ENDS_TO_QUARANTINE: usize = 3;
/// Like [`ENDS_TO_QUARANTINE`], for a prompt part that requests have completed with before: it may
/// have become harmful, but is more likely to have been beside what is.
pub const ENDS_TO_QUARANTINE_SOUND_PART: usize = 5;
/// Incarnations in one failure domain that end within this time of each other have one cause,
/// such as a loss of power. A request needs longer than this to be retried at the next instance
/// and to start there.
const SHARED_CAUSE_WINDOW: Millis = Millis(25);
/// Incarnations anywhere that end within this time of each other count once against a prompt part:
/// a frequent part is in requests at many instances, some of which may be lost at once.
const PART_SHARED_CAUSE_WINDOW: Millis = Millis(100);
/// How long a content is quarantined at first; each further end doubles that, up to
/// [`QUARANTINE_MAX`]. Long enough for callers that retry to give up or be fixed, short enough for
/// a caller that is refused wrongly and can't reach an operator.
const QUARANTINE_MIN: Millis = Millis::from_secs(600);
const QUARANTINE_MAX: Millis = Millis::from_secs(86_400);
/// Largest number of ends kept of one fingerprint: as many already quarantine it for the longest
/// time.
const ENDS_MAX: usize = 12;
/// How long ends under a fingerprint that was never quarantined, and clearances, are kept.
const EVIDENCE_TTL: Millis = Millis::from_secs(600);

/// What is known of one fingerprint.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub kind: KeyKind,
    pub caller: u32,
    pub ends: BTreeMap<u64, ProcessEnd>,
    pub cleared: Option<Millis>,
    /// Independent ends since the last clearance.
    pub independent: usize,
    /// Those of them that no other fingerprint explains.
    pub count: usize,
    /// When a request was last refused because of it.
    pub last_refused: Millis,
    /// How many more times the record is sent to peers as a change.
    pub gossip_left: u8,
    /// How important that change is: the ends that count, before or after it.
    pub gossip_weight: usize,
    /// Whether this node saw one of the ends itself.
    pub is_witnessed: bool,
    /// Whether the record has yet to be written to the store, for nodes that start later.
    pub is_unsaved: bool,
    /// Whether it was returned as newly quarantined since it was quarantined.
    pub is_announced: bool,
    /// Number of ends that were returned as newly suspect.
    pub reported_ends: usize,
}

impl Entry {
    pub fn new(key: RequestKey) -> Self {
        Self {
            kind: key.kind,
            caller: key.caller,
            ends: BTreeMap::new(),
            cleared: None,
            independent: 0,
            count: 0,
            last_refused: Millis::ZERO,
            gossip_left: 0,
            gossip_weight: 0,
            is_witnessed: false,
            is_unsaved: false,
            is_announced: false,
            reported_ends: 0,
        }
    }

    /// Whether an end at this time came after the last clearance, so that it counts.
    pub fn is_uncleared(&self, at: Millis) -> bool {
        self.cleared.is_none_or(|cleared| at > cleared)
    }

    /// Number of ends since the last clearance, without those that share a cause with another.
    pub fn independent_ends(&self) -> usize {
        self.count_ends(|_| false)
    }

    /// Like [`Self::independent_ends`], without the incarnations whose end `is_explained`.
    pub fn count_ends(&self, is_explained: impl Fn(u64) -> bool) -> usize {
        self.independent(is_explained).len()
    }

    /// The incarnations whose ends [`Self::count_ends`] counts.
    fn independent(&self, is_explained: impl Fn(u64) -> bool) -> Vec<u64> {
        let is_open =
            |end: &&ProcessEnd| self.is_uncleared(end.at) && !is_explained(end.incarnation);
        let mut ends: Vec<&ProcessEnd> = self.ends.values().filter(is_open).collect();
        ends.sort_by_key(|end| (end.at, end.incarnation));
        let mut last_by_place: BTreeMap<u32, Millis> = BTreeMap::new();
        let mut independent = Vec::new();
        for end in ends {
            let (place, window) = match self.kind {
                KeyKind::Content => (end.place, SHARED_CAUSE_WINDOW),
                KeyKind::PromptPart => (0, PART_SHARED_CAUSE_WINDOW),
            };
            if last_by_place.get(&place).is_none_or(|at| end.at.since(*at) >= window) {
                last_by_place.insert(place, end.at);
                independent.push(end.incarnation);
            }
        }
        independent
    }

    /// Adds the end of an incarnation that has none yet. If there are [`ENDS_MAX`], it replaces one
    /// that does not count, provided that it counts itself. Returns whether it was added.
    pub fn add_end(&mut self, end: ProcessEnd) -> bool {
        let is_full = self.ends.len() >= ENDS_MAX;
        let before = self.independent_ends();
        self.ends.insert(end.incarnation, end);
        if !is_full {
            return true;
        }
        let independent = self.independent(|_| false);
        let others = self.ends.values().filter(|end| !independent.contains(&end.incarnation));
        let latest = others.max_by_key(|end| (end.at, end.incarnation));
        let latest = latest.map(|end| end.incarnation);
        let replaced = latest.filter(|_| independent.len() > before);
        self.ends.remove(&replaced.unwrap_or(end.incarnation));
        replaced.is_some()
    }

    /// Number of ends that quarantine it.
    fn ends_to_quarantine(&self) -> usize {
        match self.kind {
            KeyKind::PromptPart if self.cleared.is_some() => ENDS_TO_QUARANTINE_SOUND_PART,
            KeyKind::PromptPart | KeyKind::Content => ENDS_TO_QUARANTINE,
        }
    }

    /// Whether it has as many ends as quarantine it.
    pub fn is_culprit(&self) -> bool {
        self.count >= self.ends_to_quarantine()
    }

    /// Whether one more end quarantines it, or it has as many already.
    pub fn is_near_quarantine(&self) -> bool {
        self.count + 1 >= self.ends_to_quarantine()
    }

    /// When the last end or clearance was.
    pub fn last_change(&self) -> Millis {
        let ends = self.ends.values().map(|end| end.at);
        ends.chain(self.cleared).max().unwrap_or_default()
    }

    /// Until when it is quarantined if it has as many ends as that takes. A trial with a harmful part
    /// costs an instance at each node that tries, so the quarantine of a part is long, and lasts
    /// while requests with it come.
    fn quarantined_until(&self) -> Millis {
        match self.kind {
            KeyKind::Content => self.last_change() + quarantine_time(self.count),
            KeyKind::PromptPart => {
                (self.last_change() + QUARANTINE_MAX).max(self.last_refused + QUARANTINE_MIN)
            }
        }
    }

    pub fn status(&self, now: Millis) -> QuarantineStatus {
        let until = self.quarantined_until();
        if self.is_culprit() && now < until {
            QuarantineStatus::Quarantined(until)
        } else if self.is_near_quarantine() {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Free
        }
    }

    /// Whether the record can be dropped.
    pub fn is_expired(&self, now: Millis) -> bool {
        let ttl = if self.is_culprit() { QUARANTINE_MAX } else { EVIDENCE_TTL };
        now.since(self.last_change().max(self.last_refused)) >= ttl
    }

    /// Whether the change that has yet to be sent to peers can wait for the next heartbeat: the
    /// part is known to be sound, and far from its quarantine.
    pub fn is_minor_change(&self) -> bool {
        self.kind == KeyKind::PromptPart
            && self.cleared.is_some()
            && self.gossip_weight < ENDS_TO_QUARANTINE
    }

    /// Drops the ends of a part that do not count any more. Frequent parts have many.
    pub fn drop_outdated_ends(&mut self) {
        if self.kind == KeyKind::PromptPart {
            let cleared = self.cleared;
            self.ends.retain(|_, end| cleared.is_none_or(|cleared| end.at > cleared));
            self.reported_ends = self.reported_ends.min(self.ends.len());
        }
    }

    pub fn record(&self, fingerprint: Fingerprint) -> QuarantineRecord {
        QuarantineRecord {
            request_key: RequestKey { kind: self.kind, fingerprint, caller: self.caller },
            ends: self.ends.values().copied().collect(),
            cleared: self.cleared,
        }
    }
}

/// How long a fingerprint is quarantined after its last of `ends` ends.
fn quarantine_time(ends: usize) -> Millis {
    let doublings = ends.saturating_sub(ENDS_TO_QUARANTINE).min(16) as u32;
    Millis(QUARANTINE_MIN.0 << doublings).min(QUARANTINE_MAX)
}
