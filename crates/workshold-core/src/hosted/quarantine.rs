//! Quarantine of requests that crash the instances that start to run them.
//!
//! A retry of such a request by its caller has another id, and other requests may crash instances
//! because they share a part of their prompts with it. So the evidence is kept by [`Fingerprint`],
//! that of the request's content and those of the parts of its prompt. Evidence is the end of an
//! instance's process while such a request had just started there or was queued. A broken
//! connection alone, silence, a refusal, or a failure reported by an instance that keeps running is
//! none. All requests that were at the instance are implicated, though most of them are innocent.
//! They are retried elsewhere, and the first one that completes anywhere clears its fingerprints.
//! Ends that one fingerprint explains do not count against others (module `culprits`).
//!
//! The state is a set of process ends, each keyed by the incarnation that ended, and of
//! clearances. Sets are merged by union, so the order, loss or repetition of messages between
//! nodes makes no difference.

mod culprits;
mod entry;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use displaydoc::Display;
use workshold_protocol::Millis;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::entry::Entry;
use super::fingerprint::Fingerprint;
use super::identity::Identity;

pub use self::entry::ENDS_TO_QUARANTINE;
pub use self::entry::ENDS_TO_QUARANTINE_SOUND_PART;

/// A request whose answer began this long ago has started: a later end of its instance has
/// another cause. Starting takes a fraction of a second.
pub const START_WINDOW: Millis = Millis(1_000);
/// How long after a broken connection a report that the instance's process has ended is still
/// connected with it: three check-ins, by which the instance list may be late, and a margin.
const END_REPORT_TIMEOUT: Millis = Millis::from_secs(6);
/// Largest number of fingerprints kept of each kind.
const FINGERPRINTS_MAX: usize = 512;
/// Largest number of contents kept of one caller: one with many can't evict those of others.
const CONTENTS_PER_CALLER_MAX: usize = 64;
/// Like [`CONTENTS_PER_CALLER_MAX`], for prompt parts, most of which several callers share.
const PARTS_PER_CALLER_MAX: usize = 256;
/// Largest number of broken connections, and of ended incarnations, kept at once.
const RECENT_MAX: usize = 2_048;
/// Size of a set of fingerprints that completed. There are two of each kind: when the newer one is
/// full, the older one is dropped.
const COMPLETED_MAX: usize = 2_048;
/// How many times a change is sent to peers: a datagram may be lost, and the next one too.
const GOSSIP_REPEATS: u8 = 3;

/// A 64-bit hash of an instance's id and incarnation, which identifies that incarnation.
pub fn incarnation(id: &Identity) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), id.incarnation.0)
}

/// A 32-bit hash of the name of a caller or of a failure domain.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// What requests with one fingerprint have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KeyKind {
    /// content
    Content,
    /// prompt part
    PromptPart,
}

/// Identifies requests that have something in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKey {
    /// What they have in common.
    pub kind: KeyKind,
    /// Hash of that.
    pub fingerprint: Fingerprint,
    /// [`name_hash`] of a caller of such requests, for the limit of records of one caller.
    pub caller: u32,
}

impl RequestKey {
    /// The key of requests with the same content of the same caller.
    pub fn content(fingerprint: Fingerprint, caller: u32) -> Self {
        Self { kind: KeyKind::Content, fingerprint, caller }
    }

    /// The key of requests with one part in their prompts.
    pub fn prompt_part(fingerprint: Fingerprint, caller: u32) -> Self {
        Self { kind: KeyKind::PromptPart, fingerprint, caller }
    }
}

/// The end of one incarnation's process while a request was starting or queued there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessEnd {
    /// Which incarnation ended, as [`incarnation`] gives it.
    pub incarnation: u64,
    /// Its failure domain, as [`place`] gives it.
    pub place: u32,
    /// When the connection to it broke.
    pub at: Millis,
}

/// All that is known of one fingerprint, as nodes exchange and store it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The fingerprint and its caller.
    pub request_key: RequestKey,
    /// The incarnations that ended under it.
    pub ends: Vec<ProcessEnd>,
    /// When a request with it last completed, or an operator released it.
    pub cleared: Option<Millis>,
}

/// Whether a fingerprint is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No, and there is little or no evidence against it.
    Free,
    /// One more end quarantines it, so its requests run at one instance at a time.
    Suspect,
    /// It is quarantined until this time: no instance gets its requests.
    Quarantined(Millis),
}

/// A broken connection whose instance may turn out to have ended.
#[derive(Debug, Clone)]
struct BrokenConnection {
    request_keys: Arc<[RequestKey]>,
    incarnation: u64,
    place: u32,
    at: Millis,
}

/// All that a node knows about fingerprints under which instances ended.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
    /// Whether an entry has changed since the ends were last counted.
    are_counts_stale: bool,
    broken_connections: VecDeque<BrokenConnection>,
    /// Incarnations that have ended, and when this was first reported.
    ended: HashMap<u64, Millis>,
    /// Contents of requests that completed here, the newer set first.
    completed: [HashSet<Fingerprint>; 2],
    /// Parts in the prompts of requests that completed here, and when one last did, the newer map
    /// first.
    sound_parts: [HashMap<Fingerprint, Millis>; 2],
    /// The last fingerprint that was sent to peers in turn.
    last_in_turn: Option<Fingerprint>,
}

impl Quarantine {
    /// Records that the connection to an incarnation, in the failure domain `place`, broke while a
    /// request with `request_keys` had just started or was queued there. Returns whether peers are
    /// to be told.
    pub fn on_connection_broken(
        &mut self,
        request_keys: impl Into<Arc<[RequestKey]>>,
        incarnation: u64,
        place: u32,
        now: Millis,
    ) -> bool {
        let at = now;
        let request_keys = request_keys.into();
        if self.ended.get(&incarnation).is_some_and(|ended| now.since(*ended) < END_REPORT_TIMEOUT)
        {
            return self.add_ends(&[BrokenConnection { request_keys, incarnation, place, at }]);
        }
        if self.broken_connections.len() >= RECENT_MAX {
            self.broken_connections.pop_front();
        }
        self.broken_connections.push_back(BrokenConnection {
            request_keys,
            incarnation,
            place,
            at,
        });
        false
    }

    /// Records that the process of an incarnation has ended. Returns whether peers are to be told.
    pub fn on_process_ended(&mut self, incarnation: u64, now: Millis) -> bool {
        if self.ended.len() < RECENT_MAX {
            self.ended.entry(incarnation).or_insert(now);
        }
        let is_matching = |broken: &BrokenConnection| {
            broken.incarnation == incarnation && now.since(broken.at) < END_REPORT_TIMEOUT
        };
        let (matching, others): (Vec<BrokenConnection>, Vec<BrokenConnection>) =
            self.broken_connections.drain(..).partition(is_matching);
        self.broken_connections = others.into();
        self.add_ends(&matching)
    }

    /// Counts ends that this node saw against the fingerprints of the requests that were there.
    fn add_ends(&mut self, broken_connections: &[BrokenConnection]) -> bool {
        let mut changed = Vec::new();
        for BrokenConnection { request_keys, incarnation, place, at } in broken_connections {
            let end = ProcessEnd { incarnation: *incarnation, place: *place, at: *at };
            let is_changed = |key: &&RequestKey| self.add_end(**key, end);
            changed.extend(request_keys.iter().filter(is_changed).map(|key| key.fingerprint));
        }
        self.update_counts();
        for fingerprint in &changed {
            self.save_if_quarantined(*fingerprint);
        }
        !changed.is_empty()
    }

    /// Counts an end against a fingerprint, unless it is the content of a request that has
    /// completed here before.
    fn add_end(&mut self, request_key: RequestKey, end: ProcessEnd) -> bool {
        let cleared = match request_key.kind {
            KeyKind::Content => self.has_completed(request_key.fingerprint).then_some(end.at),
            KeyKind::PromptPart => self.sound_at(request_key.fingerprint),
        };
        let is_outdated = cleared.is_some_and(|cleared| cleared >= end.at);
        if is_outdated && !self.entries.contains_key(&request_key.fingerprint) {
            return false;
        }
        let is_news = self.merge(&QuarantineRecord { request_key, ends: vec![end], cleared }, true);
        if let Some(entry) = self.entries.get_mut(&request_key.fingerprint) {
            entry.is_witnessed = true;
        }
        is_news
    }

    /// Marks a record that this node has evidence for to be written to the store if it is
    /// quarantined: other nodes that have it may fail before they do.
    fn save_if_quarantined(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.is_unsaved |= entry.is_witnessed && entry.is_culprit();
        }
    }

    fn has_completed(&self, content: Fingerprint) -> bool {
        self.completed.iter().any(|set| set.contains(&content))
    }

    /// When a request with this part in its prompt last completed here.
    fn sound_at(&self, part: Fingerprint) -> Option<Millis> {
        self.sound_parts.iter().filter_map(|parts| parts.get(&part)).max().copied()
    }

    /// Records that a request completed, or ran well past its start, and its instance is still
    /// running. Returns whether peers are to be told.
    pub fn on_completed(&mut self, request_keys: &[RequestKey], now: Millis) -> bool {
        let mut is_news = false;
        for RequestKey { kind, fingerprint, .. } in request_keys {
            match kind {
                KeyKind::Content => {
                    if self.completed[0].len() >= COMPLETED_MAX {
                        self.completed[1] = std::mem::take(&mut self.completed[0]);
                    }
                    self.completed[0].insert(*fingerprint);
                }
                KeyKind::PromptPart => {
                    if self.sound_parts[0].len() >= COMPLETED_MAX {
                        self.sound_parts[1] = std::mem::take(&mut self.sound_parts[0]);
                    }
                    self.sound_parts[0].insert(*fingerprint, now);
                }
            }
            is_news |= self.clear(*fingerprint, now);
        }
        is_news
    }

    /// Records that a request was refused because this fingerprint is quarantined.
    pub fn on_refused(&mut self, fingerprint: Fingerprint, now: Millis) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.last_refused = now;
        }
    }

    /// Clears a fingerprint, as an operator does too. Returns whether any end counted against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        let count = entry.independent_ends();
        entry.is_unsaved |= count >= ENDS_TO_QUARANTINE;
        entry.cleared = Some(now);
        entry.drop_outdated_ends();
        if count == 0 {
            return false;
        }
        entry.gossip_left = GOSSIP_REPEATS;
        entry.gossip_weight = count;
        self.are_counts_stale = true;
        self.update_counts();
        true
    }

    /// Merges a record from another node or from the store. Returns whether it changed anything.
    /// Only a node that `passes_on` sends it to peers in turn. All others have it from such a
    /// node and would only repeat it, hundreds of them for each end.
    pub fn take(&mut self, record: &QuarantineRecord, passes_on: bool) -> bool {
        let RequestKey { kind, fingerprint, .. } = record.request_key;
        let last = record.ends.iter().map(|end| end.at).max();
        let cleared_here = match kind {
            KeyKind::Content => last.filter(|_| self.has_completed(fingerprint)),
            KeyKind::PromptPart => last.and_then(|_| self.sound_at(fingerprint)),
        };
        let cleared = record.cleared.max(cleared_here);
        let passes_on = passes_on || corrects(cleared, record);
        let is_news = self.merge(&QuarantineRecord { cleared, ..record.clone() }, passes_on);
        self.update_counts();
        if is_news {
            self.save_if_quarantined(fingerprint);
        }
        if let Some(entry) = self.entries.get_mut(&fingerprint)
            && corrects(entry.cleared, record)
        {
            entry.gossip_left = entry.gossip_left.max(1);
        }
        is_news
    }

    /// Adds the ends and the clearance of `record`; with `passes_on` a change is sent to peers.
    /// Returns whether anything changed; then the counts have to be updated.
    fn merge(&mut self, record: &QuarantineRecord, passes_on: bool) -> bool {
        let request_key = record.request_key;
        let fingerprint = request_key.fingerprint;
        if !self.entries.contains_key(&fingerprint) && !self.make_room(request_key) {
            return false;
        }
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry::new(request_key));
        let before = entry.independent_ends();
        let was_sound = entry.cleared.is_some();
        self.are_counts_stale |= record.cleared > entry.cleared;
        entry.cleared = entry.cleared.max(record.cleared);
        let mut is_news = entry.independent_ends() < before;
        is_news |= entry.kind == KeyKind::PromptPart && entry.cleared.is_some() && !was_sound;
        for end in &record.ends {
            let is_outdated = entry.kind == KeyKind::PromptPart && !entry.is_uncleared(end.at);
            if is_outdated {
                continue;
            }
            let Some(known) = entry.ends.get_mut(&end.incarnation) else {
                let is_added = entry.add_end(*end);
                is_news |= is_added;
                self.are_counts_stale |= is_added;
                continue;
            };
            // Of two reports of one end the one with the earlier time counts, in whichever order
            // they come. Nodes that don't know an incarnation's failure domain report another one
            // than those that do.
            if (end.at, end.place) < (known.at, known.place) {
                self.are_counts_stale = true;
                *known = *end;
            }
        }
        entry.drop_outdated_ends();
        if is_news && passes_on {
            entry.gossip_left = GOSSIP_REPEATS;
            entry.gossip_weight = before.max(entry.independent_ends());
        }
        is_news
    }

    fn update_counts(&mut self) {
        if std::mem::take(&mut self.are_counts_stale) {
            culprits::update_counts(&mut self.entries);
        }
    }

    /// Makes room for one more fingerprint of a kind and a caller; `false` if every record that it
    /// could evict has as many ends as quarantine it.
    fn make_room(&mut self, RequestKey { kind, caller, .. }: RequestKey) -> bool {
        let of_kind = self.entries.values().filter(|entry| entry.kind == kind);
        let (mut count, mut count_of_caller) = (0, 0);
        for entry in of_kind {
            count += 1;
            count_of_caller += usize::from(entry.caller == caller);
        }
        let max_of_caller = match kind {
            KeyKind::Content => CONTENTS_PER_CALLER_MAX,
            KeyKind::PromptPart => PARTS_PER_CALLER_MAX,
        };
        if count_of_caller >= max_of_caller {
            return self.evict_weakest(|entry| entry.kind == kind && entry.caller == caller);
        }
        count < FINGERPRINTS_MAX || self.evict_weakest(|entry| entry.kind == kind)
    }

    /// Drops the record with the fewest ends among those that `may_evict` accepts, first one that
    /// was cleared, unless all of them are quarantined. Returns whether one was dropped.
    fn evict_weakest(&mut self, may_evict: impl Fn(&Entry) -> bool) -> bool {
        let is_candidate = |entry: &Entry| may_evict(entry) && !entry.is_culprit();
        let candidates = self.entries.iter().filter(|(_, entry)| is_candidate(entry));
        let weakest = candidates.min_by_key(|(_, entry)| {
            (entry.independent, entry.cleared.is_none(), entry.last_change())
        });
        let weakest = weakest.map(|(fingerprint, _)| *fingerprint);
        weakest.is_some_and(|fingerprint| self.entries.remove(&fingerprint).is_some())
    }

    /// Whether a fingerprint is quarantined at `now`.
    pub fn status(&self, fingerprint: Fingerprint, now: Millis) -> QuarantineStatus {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(QuarantineStatus::Free, |entry| entry.status(now))
    }

    /// Whether one more end of an instance would quarantine this fingerprint, or it already is.
    /// Then it is worth waiting for a report on whether the instance has ended.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        self.status(fingerprint, now) != QuarantineStatus::Free
    }

    /// The first of a request's keys that is quarantined, and until when.
    pub fn quarantined_key(
        &self,
        request_keys: &[RequestKey],
        now: Millis,
    ) -> Option<(RequestKey, Millis)> {
        request_keys.iter().find_map(|key| match self.status(key.fingerprint, now) {
            QuarantineStatus::Quarantined(until) => Some((*key, until)),
            QuarantineStatus::Free | QuarantineStatus::Suspect => None,
        })
    }

    /// Whether there are changes that are to be sent to peers at once.
    pub fn has_news(&self) -> bool {
        self.entries.values().any(|entry| entry.gossip_left > 0 && !entry.is_minor_change())
    }

    /// Up to `max_count` records to be sent to peers now: changed ones, those with the most ends and
    /// those that were never cleared first, and the next suspect or quarantined one in turn.
    pub fn next_to_gossip(&mut self, max_count: usize, now: Millis) -> Vec<QuarantineRecord> {
        let in_turn = self.next_in_turn(now);
        let changed = self
            .entries
            .iter()
            .filter(|(fingerprint, entry)| entry.gossip_left > 0 && Some(**fingerprint) != in_turn);
        let priority = |entry: &Entry| (entry.gossip_weight, entry.cleared.is_none());
        let mut chosen: Vec<((usize, bool), Fingerprint)> =
            changed.map(|(fingerprint, entry)| (priority(entry), *fingerprint)).collect();
        chosen.sort_by_key(|(priority, _)| std::cmp::Reverse(*priority));
        chosen.truncate(max_count - usize::from(in_turn.is_some()));
        let chosen = chosen.into_iter().map(|(_, chosen)| chosen).chain(in_turn);
        let to_record = |fingerprint: Fingerprint| {
            let entry = self.entries.get_mut(&fingerprint)?;
            entry.gossip_left = entry.gossip_left.saturating_sub(1);
            Some(entry.record(fingerprint))
        };
        chosen.filter_map(to_record).collect()
    }

    /// The next suspect or quarantined fingerprint in turn, so that nodes that start, or were cut
    /// off while the change was sent, learn of all of them.
    fn next_in_turn(&mut self, now: Millis) -> Option<Fingerprint> {
        let is_told = |entry: &Entry| entry.status(now) != QuarantineStatus::Free;
        let told: Vec<Fingerprint> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_told(entry))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        let after = told.iter().find(|found| self.last_in_turn.is_none_or(|last| **found > last));
        let next = after.or(told.first()).copied();
        self.last_in_turn = next;
        next
    }

    /// Takes the records that have yet to be written to the store, for nodes that start later. If
    /// the write fails, [`Quarantine::mark_unsaved`] puts them back.
    pub fn take_unsaved(&mut self) -> Vec<QuarantineRecord> {
        let entries = self.entries.iter_mut().filter(|(_, entry)| entry.is_unsaved);
        let records = entries.map(|(fingerprint, entry)| {
            entry.is_unsaved = false;
            entry.record(*fingerprint)
        });
        records.collect()
    }

    /// Marks all quarantined and all cleared records to be written again: the store may have lost
    /// records, of this node or of others, when it was restored.
    pub fn mark_all_unsaved(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_unsaved |=
                entry.is_culprit() || (entry.kind == KeyKind::Content && entry.cleared.is_some());
        }
    }

    /// Marks records to be written to the store again after their write failed.
    pub fn mark_unsaved(&mut self, records: &[QuarantineRecord]) {
        for record in records {
            if let Some(entry) = self.entries.get_mut(&record.request_key.fingerprint) {
                entry.is_unsaved = true;
            }
        }
    }

    /// Records that were quarantined since the last call, and until when.
    pub fn newly_quarantined(&mut self, now: Millis) -> Vec<(QuarantineRecord, Millis)> {
        let changed = self.entries.iter_mut().filter_map(|(fingerprint, entry)| {
            let quarantined_until = match entry.status(now) {
                QuarantineStatus::Quarantined(until) => Some(until),
                QuarantineStatus::Free | QuarantineStatus::Suspect => None,
            };
            let was_announced =
                std::mem::replace(&mut entry.is_announced, quarantined_until.is_some());
            quarantined_until
                .filter(|_| !was_announced)
                .map(|until| (entry.record(*fingerprint), until))
        });
        changed.collect()
    }

    /// Suspect and quarantined records that have got further ends since the last call.
    pub fn newly_suspect(&mut self) -> Vec<QuarantineRecord> {
        let grown = self.entries.iter_mut().filter(|(_, entry)| {
            entry.is_near_quarantine() && entry.ends.len() > entry.reported_ends
        });
        let records = grown.map(|(fingerprint, entry)| {
            entry.reported_ends = entry.ends.len();
            entry.record(*fingerprint)
        });
        records.collect()
    }

    /// All quarantined records, and until when they are.
    pub fn quarantined(&self, now: Millis) -> Vec<(QuarantineRecord, Millis)> {
        let quarantined = self.entries.iter().filter_map(|(fingerprint, entry)| {
            let QuarantineStatus::Quarantined(until) = entry.status(now) else { return None };
            Some((entry.record(*fingerprint), until))
        });
        quarantined.collect()
    }

    /// Drops records that have expired.
    pub fn forget(&mut self, now: Millis) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
        self.broken_connections.retain(|broken| now.since(broken.at) < END_REPORT_TIMEOUT);
        self.ended.retain(|_, at| now.since(*at) < END_REPORT_TIMEOUT);
    }
}

/// Hash of an instance's failure domain, in which many instances may be lost at once: its fabric
/// domain, or else its data centre.
pub fn place(domain: Option<&str>, data_centre: &str) -> u32 {
    name_hash(domain.unwrap_or(data_centre))
}

/// Whether a clearance is news for the sender of `record`, who lacks it: it outdates ends, or shows
/// that the fingerprint was sound at all.
fn corrects(cleared: Option<Millis>, record: &QuarantineRecord) -> bool {
    let Some(cleared) = cleared.filter(|_| cleared > record.cleared) else { return false };
    let is_outdated = |end: &ProcessEnd| end.at <= cleared;
    match record.cleared {
        None => !record.ends.is_empty(),
        Some(known) => record.ends.iter().any(|end| end.at > known && is_outdated(end)),
    }
}
