//! Quarantine of requests that crash the instances that start to run them.
//!
//! A retry of such a request by its caller has another id, so the evidence is kept by
//! [`Fingerprint`]. Evidence is the end of an instance's process while such a request had just
//! started there or was queued. A broken connection alone, silence, a refusal, or a failure
//! reported by an instance that keeps running is none. All requests that were at the instance
//! are implicated, though most of them are innocent. They are retried elsewhere, and the first
//! one that completes anywhere clears its fingerprint.
//!
//! The state is a set of process ends, each keyed by the incarnation that ended, and of
//! clearances. Sets are merged by union, so the order, loss or repetition of messages between
//! nodes makes no difference.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use workshold_protocol::Millis;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fingerprint::Fingerprint;
use super::identity::Identity;

/// Number of incarnations that have to end under one fingerprint before it is quarantined.
///
/// With two, innocent requests are often quarantined: such a request ran beside the one that
/// crashed its first instance, was retried at another instance that crashed too, and is sent
/// once more by its caller. With three this hardly ever happens, and the third end costs one
/// instance (docs/decisions has both probabilities).
pub const ENDS_TO_QUARANTINE: usize = 3;
/// A request whose answer began this long ago has started: a later end of its instance has
/// another cause. Starting takes a fraction of a second.
pub const START_WINDOW: Millis = Millis(1_000);
/// Incarnations in one failure domain that end within this time of each other have one cause,
/// such as a loss of power. A request needs longer than this to be retried at the next instance
/// and to start there.
const SHARED_CAUSE_WINDOW: Millis = Millis(25);
/// How long after a broken connection a report that the instance's process has ended is still
/// connected with it: three check-ins, by which the instance list may be late, and a margin.
const END_REPORT_TIMEOUT: Millis = Millis::from_secs(6);
/// How long a fingerprint is quarantined at first; each further end doubles that, up to
/// [`QUARANTINE_MAX`]. Long enough for callers that retry to give up or be fixed, short enough for
/// a caller that is refused wrongly and can't reach an operator.
const QUARANTINE_MIN: Millis = Millis::from_secs(600);
const QUARANTINE_MAX: Millis = Millis::from_secs(86_400);
/// How long ends under a fingerprint that was never quarantined, and clearances, are kept.
const EVIDENCE_TTL: Millis = Millis::from_secs(600);
/// Largest number of fingerprints kept, in total and of one caller: a caller with many contents
/// can't evict the records of others.
const FINGERPRINTS_MAX: usize = 512;
const FINGERPRINTS_PER_CALLER_MAX: usize = 64;
/// Largest number of ends kept of one fingerprint: as many already quarantine it for the longest
/// time.
const ENDS_MAX: usize = 12;
/// Largest number of broken connections, and of ended incarnations, kept at once.
const RECENT_MAX: usize = 2_048;
/// Size of a set of completed fingerprints. There are two of them: when the newer one is full,
/// the older one is dropped.
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

/// Identifies requests with the same content of the same caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKey {
    /// Hash of the request's content, its caller included.
    pub fingerprint: Fingerprint,
    /// [`name_hash`] of the caller, for the limit of records of one caller.
    pub caller: u32,
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

/// What is known of one fingerprint.
#[derive(Debug, Clone)]
struct Entry {
    caller: u32,
    ends: BTreeMap<u64, ProcessEnd>,
    cleared: Option<Millis>,
    /// How many more times the record is sent to peers as a change.
    gossip_left: u8,
    /// Whether the record has yet to be written to the store, for nodes that start later.
    is_unsaved: bool,
    /// Whether [`Quarantine::newly_quarantined`] has returned it since it was quarantined.
    is_announced: bool,
    /// Number of ends that [`Quarantine::newly_suspect`] has returned.
    reported_ends: usize,
}

/// A broken connection whose instance may turn out to have ended.
#[derive(Debug, Clone, Copy)]
struct BrokenConnection {
    request_key: RequestKey,
    incarnation: u64,
    place: u32,
    at: Millis,
}

/// All that a node knows about fingerprints under which instances ended.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
    broken_connections: VecDeque<BrokenConnection>,
    /// Incarnations that have ended, and when this was first reported.
    ended: HashMap<u64, Millis>,
    /// Fingerprints of requests that completed here, the newer set first.
    completed: [HashSet<Fingerprint>; 2],
    /// The last fingerprint that was sent to peers in turn.
    last_in_turn: Option<Fingerprint>,
}

impl Entry {
    fn new(caller: u32) -> Self {
        Self {
            caller,
            ends: BTreeMap::new(),
            cleared: None,
            gossip_left: 0,
            is_unsaved: false,
            is_announced: false,
            reported_ends: 0,
        }
    }

    /// Number of ends since the last clearance, without those that share a cause with another.
    fn independent_ends(&self) -> usize {
        let is_after_clearance =
            |end: &&ProcessEnd| self.cleared.is_none_or(|cleared| end.at > cleared);
        let mut ends: Vec<&ProcessEnd> = self.ends.values().filter(is_after_clearance).collect();
        ends.sort_by_key(|end| (end.at, end.incarnation));
        let mut last_by_place: BTreeMap<u32, Millis> = BTreeMap::new();
        let mut count = 0;
        for end in ends {
            if last_by_place
                .get(&end.place)
                .is_none_or(|at| end.at.since(*at) >= SHARED_CAUSE_WINDOW)
            {
                last_by_place.insert(end.place, end.at);
                count += 1;
            }
        }
        count
    }

    /// When the last end or clearance was.
    fn last_change(&self) -> Millis {
        let ends = self.ends.values().map(|end| end.at);
        ends.chain(self.cleared).max().unwrap_or_default()
    }

    fn status(&self, now: Millis) -> QuarantineStatus {
        let count = self.independent_ends();
        if count + 1 < ENDS_TO_QUARANTINE {
            return QuarantineStatus::Free;
        }
        let quarantined_until = self.last_change() + quarantine_time(count);
        if count >= ENDS_TO_QUARANTINE && now < quarantined_until {
            QuarantineStatus::Quarantined(quarantined_until)
        } else {
            QuarantineStatus::Suspect
        }
    }

    /// Whether the record can be dropped.
    fn is_expired(&self, now: Millis) -> bool {
        let was_quarantined = self.independent_ends() >= ENDS_TO_QUARANTINE;
        now.since(self.last_change()) >= if was_quarantined { QUARANTINE_MAX } else { EVIDENCE_TTL }
    }

    fn record(&self, fingerprint: Fingerprint) -> QuarantineRecord {
        let request_key = RequestKey { fingerprint, caller: self.caller };
        QuarantineRecord {
            request_key,
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

impl Quarantine {
    /// Records that the connection to an incarnation, in the failure domain `place`, broke while a
    /// request with `request_key` had just started or was queued there. Returns whether peers are
    /// to be told.
    pub fn on_connection_broken(
        &mut self,
        request_key: RequestKey,
        incarnation: u64,
        place: u32,
        now: Millis,
    ) -> bool {
        let at = now;
        if self.ended.get(&incarnation).is_some_and(|ended| now.since(*ended) < END_REPORT_TIMEOUT)
        {
            return self.add_end(request_key, ProcessEnd { incarnation, place, at });
        }
        if self.broken_connections.len() >= RECENT_MAX {
            self.broken_connections.pop_front();
        }
        self.broken_connections.push_back(BrokenConnection { request_key, incarnation, place, at });
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
        let (matching, others): (VecDeque<BrokenConnection>, _) =
            self.broken_connections.drain(..).partition(is_matching);
        self.broken_connections = others;
        let mut is_news = false;
        for BrokenConnection { request_key, incarnation, place, at } in matching {
            is_news |= self.add_end(request_key, ProcessEnd { incarnation, place, at });
        }
        is_news
    }

    /// Counts an end against a fingerprint, unless a request with it has completed here before.
    fn add_end(&mut self, request_key: RequestKey, end: ProcessEnd) -> bool {
        let has_completed = self.completed.iter().any(|set| set.contains(&request_key.fingerprint));
        let cleared = has_completed.then_some(end.at);
        let is_known = self.entries.contains_key(&request_key.fingerprint);
        if has_completed && !is_known {
            return false;
        }
        let is_news = self.merge(&QuarantineRecord { request_key, ends: vec![end], cleared }, true);
        if let Some(entry) = self.entries.get_mut(&request_key.fingerprint) {
            // The node that saw the end writes the record to the store: other nodes that have it
            // may fail before they do.
            entry.is_unsaved |= is_news && entry.independent_ends() >= ENDS_TO_QUARANTINE;
        }
        is_news
    }

    /// Records that a request completed and its instance is still running. Returns whether peers
    /// are to be told.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        if self.completed[0].len() >= COMPLETED_MAX {
            self.completed[1] = std::mem::take(&mut self.completed[0]);
        }
        self.completed[0].insert(fingerprint);
        self.clear(fingerprint, now)
    }

    /// Clears a fingerprint, as an operator does too. Returns whether any end counted against it.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        let count = entry.independent_ends();
        let is_news = count > 0;
        entry.is_unsaved |= count >= ENDS_TO_QUARANTINE;
        entry.cleared = Some(now);
        entry.gossip_left = if is_news { GOSSIP_REPEATS } else { entry.gossip_left };
        is_news
    }

    /// Merges a record from another node or from the store. Returns whether it changed anything.
    /// Only a node that `passes_on` sends it to peers in turn. All others have it from such a
    /// node and would only repeat it, hundreds of them for each end.
    pub fn take(&mut self, record: &QuarantineRecord, passes_on: bool) -> bool {
        let fingerprint = record.request_key.fingerprint;
        let has_completed = self.completed.iter().any(|set| set.contains(&fingerprint));
        let last = record.ends.iter().map(|end| end.at).max();
        let cleared_here = last.filter(|_| has_completed && !record.ends.is_empty());
        let cleared = record.cleared.max(cleared_here);
        let knows_better = cleared > record.cleared;
        self.merge(&QuarantineRecord { cleared, ..record.clone() }, passes_on || knows_better)
    }

    /// Adds the ends and the clearance of `record`; with `passes_on` a change is sent to peers.
    /// Returns whether anything changed.
    fn merge(&mut self, record: &QuarantineRecord, passes_on: bool) -> bool {
        let RequestKey { fingerprint, caller } = record.request_key;
        if !self.entries.contains_key(&fingerprint) && !self.make_room(caller) {
            return false;
        }
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry::new(caller));
        let mut is_news = false;
        for end in &record.ends {
            let has_room = entry.ends.len() < ENDS_MAX || entry.ends.contains_key(&end.incarnation);
            if !has_room {
                continue;
            }
            let known = entry.ends.entry(end.incarnation).or_insert_with(|| {
                is_news = true;
                *end
            });
            // Of two reports of one end the one with the earlier time counts, in whichever order
            // they come. Nodes that don't know an incarnation's failure domain report another one
            // than those that do.
            if (end.at, end.place) < (known.at, known.place) {
                *known = *end;
            }
        }
        let before = entry.independent_ends();
        entry.cleared = entry.cleared.max(record.cleared);
        is_news |= entry.independent_ends() < before;
        if is_news && passes_on {
            entry.gossip_left = GOSSIP_REPEATS;
        }
        if entry.cleared > record.cleared && !record.ends.is_empty() {
            // The sender of this record doesn't know of the clearance yet.
            entry.gossip_left = entry.gossip_left.max(1);
        }
        is_news
    }

    /// Makes room for one more fingerprint of `caller`; `false` if every record that it could
    /// evict has [`ENDS_TO_QUARANTINE`] ends or more.
    fn make_room(&mut self, caller: u32) -> bool {
        let count_of_caller = self.entries.values().filter(|entry| entry.caller == caller).count();
        if count_of_caller >= FINGERPRINTS_PER_CALLER_MAX {
            return self.evict_weakest(|entry| entry.caller == caller);
        }
        self.entries.len() < FINGERPRINTS_MAX || self.evict_weakest(|_| true)
    }

    /// Drops the record with the fewest ends among those that `may_evict` accepts, unless all of
    /// them have [`ENDS_TO_QUARANTINE`] ends or more. Returns whether one was dropped.
    fn evict_weakest(&mut self, may_evict: impl Fn(&Entry) -> bool) -> bool {
        let is_candidate =
            |entry: &Entry| may_evict(entry) && entry.independent_ends() < ENDS_TO_QUARANTINE;
        let candidates = self.entries.iter().filter(|(_, entry)| is_candidate(entry));
        let weakest =
            candidates.min_by_key(|(_, entry)| (entry.independent_ends(), entry.last_change()));
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

    /// Whether there are changes that have yet to be sent to peers.
    pub fn has_news(&self) -> bool {
        self.entries.values().any(|entry| entry.gossip_left > 0)
    }

    /// Up to `max_count` records to be sent to peers now: changed ones, those with the most ends
    /// first, and the next suspect or quarantined one in turn.
    pub fn next_to_gossip(&mut self, max_count: usize, now: Millis) -> Vec<QuarantineRecord> {
        let in_turn = self.next_in_turn(now);
        let changed = self
            .entries
            .iter()
            .filter(|(fingerprint, entry)| entry.gossip_left > 0 && Some(**fingerprint) != in_turn);
        let mut chosen: Vec<(usize, Fingerprint)> =
            changed.map(|(fingerprint, entry)| (entry.independent_ends(), *fingerprint)).collect();
        chosen.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
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
                entry.independent_ends() >= ENDS_TO_QUARANTINE || entry.cleared.is_some();
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
            entry.independent_ends() + 1 >= ENDS_TO_QUARANTINE
                && entry.ends.len() > entry.reported_ends
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
