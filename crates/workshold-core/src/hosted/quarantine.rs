//! Which requests are kept from instances because they end whoever begins to run them.
//!
//! A request's id says nothing about the next one that asks the same, so what is held
//! against it is held against its [`Fingerprint`]. What counts is the end of an instance's
//! process while such a request had just begun there or waited: a broken connection alone,
//! silence, a refusal or a failure by an instance that lives on count for nothing. All
//! requests at that instance are implicated, most of them innocent; they go on elsewhere,
//! and the first one that runs to its end anywhere clears its fingerprint.
//!
//! What is known is a set of ends, each named by the life that ended, and clearances. Sets
//! are joined, so that the order, the loss and the repetition of news change nothing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use workshold_protocol::Millis;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fingerprint::Fingerprint;
use super::identity::Identity;

/// Lives that have to end under one fingerprint before it is kept from the others.
///
/// Of two an innocent request is often the victim: it was beside the one that ended its
/// first instance, went on where another one ended, and comes back once more by its caller.
/// Of three it hardly ever is, and a third end costs one instance (docs/decisions has both
/// odds).
pub const ENDS: usize = 3;
/// Whoever has spoken for this long is through with beginning: what ends the instance then
/// is something else. Beginning takes a fraction of a second.
pub const START_WINDOW: Millis = Millis(1_000);
/// Lives of one place that end within this end for one cause, such as its power. A request
/// needs longer to be sent from one instance to the next and to begin there.
const ONE_CAUSE: Millis = Millis(25);
/// How long a broken connection waits for the word that its instance has ended: a list that
/// is late by three check-ins, and a little.
const WORD_COMES: Millis = Millis::from_secs(6);
/// How long a fingerprint is kept from instances at first; each further end doubles that.
/// Long enough that callers who come back give up or are mended, short enough for whoever
/// is refused wrongly and cannot reach an operator.
const HELD_AT_FIRST: Millis = Millis::from_secs(600);
const HELD_MOST: Millis = Millis::from_secs(86_400);
/// Ends under a fingerprint that was never held, and clearances, are remembered for this long.
const REMEMBERED: Millis = Millis::from_secs(600);
/// Fingerprints that are remembered at once, and of one caller: nobody pushes out what
/// others' requests did.
const MOST: usize = 512;
const MOST_OF_CALLER: usize = 64;
/// Ends that are remembered of one fingerprint: they hold it for as long as any number does.
const MOST_ENDS: usize = 12;
/// Broken connections, and lives that have ended, that are remembered at once.
const MOST_RECENT: usize = 2_048;
/// Fingerprints that have run to their end: of two such sets the older one is dropped when
/// the newer one is full.
const MOST_FINISHED: usize = 2_048;
/// How often a change is told: a datagram may be lost, and the next one too.
const TOLD: u8 = 3;

/// A life of an instance as a number that no other one has.
pub fn incarnation(id: &Identity) -> u64 {
    xxh3_64_with_seed(id.as_str().as_bytes(), id.incarnation.0)
}

/// A caller, or a place, as a number.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// A request as it is told from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestKey {
    /// What it asks.
    pub fingerprint: Fingerprint,
    /// [`name_hash`] of who asks.
    pub caller: u32,
}

/// The end of one life while a request began there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessEnd {
    /// [`incarnation`].
    pub incarnation: u64,
    /// [`name_hash`] of the place that may be lost as a whole.
    pub place: u32,
    /// When.
    pub at: Millis,
}

/// All that is known of one fingerprint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// Which one.
    pub request_key: RequestKey,
    /// Which lives ended under it.
    pub ends: Vec<ProcessEnd>,
    /// When it last ran to its end, or an operator let it go.
    pub cleared: Option<Millis>,
}

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing, or too little, is known against it.
    Free,
    /// One more end, and it is held: it runs at one instance at a time.
    Suspect,
    /// It is kept from instances until then.
    Held(Millis),
}

#[derive(Debug, Clone)]
struct Entry {
    caller: u32,
    ends: BTreeMap<u64, ProcessEnd>,
    cleared: Option<Millis>,
    tells: u8,
    /// Whether what is known of it is to be kept for those who start later.
    is_to_keep: bool,
    is_announced: bool,
}

#[derive(Debug, Clone, Copy)]
struct Break {
    request_key: RequestKey,
    incarnation: u64,
    place: u32,
    at: Millis,
}

/// What a node knows of all fingerprints.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
    breaks: VecDeque<Break>,
    ended: HashMap<u64, Millis>,
    finished: [HashSet<Fingerprint>; 2],
    /// The last one that was told in turn.
    turn: Option<Fingerprint>,
}

impl Entry {
    fn new(caller: u32) -> Self {
        Self {
            caller,
            ends: BTreeMap::new(),
            cleared: None,
            tells: 0,
            is_to_keep: false,
            is_announced: false,
        }
    }

    /// Ends since it was cleared that have a cause of their own.
    fn count(&self) -> usize {
        let counts = |end: &&ProcessEnd| self.cleared.is_none_or(|cleared| end.at > cleared);
        let mut ends: Vec<&ProcessEnd> = self.ends.values().filter(counts).collect();
        ends.sort_by_key(|end| (end.at, end.incarnation));
        let mut counted: BTreeMap<u32, Millis> = BTreeMap::new();
        let mut count = 0;
        for end in ends {
            if counted.get(&end.place).is_none_or(|at| end.at.since(*at) >= ONE_CAUSE) {
                counted.insert(end.place, end.at);
                count += 1;
            }
        }
        count
    }

    fn last(&self) -> Millis {
        let ends = self.ends.values().map(|end| end.at);
        ends.chain(self.cleared).max().unwrap_or_default()
    }

    fn status(&self, now: Millis) -> QuarantineStatus {
        let count = self.count();
        if count + 1 < ENDS {
            return QuarantineStatus::Free;
        }
        let held_until = self.last() + held_for(count);
        if count >= ENDS && now < held_until {
            QuarantineStatus::Held(held_until)
        } else {
            QuarantineStatus::Suspect
        }
    }

    fn is_over(&self, now: Millis) -> bool {
        let was_held = self.count() >= ENDS;
        now.since(self.last()) >= if was_held { HELD_MOST } else { REMEMBERED }
    }

    fn known(&self, fingerprint: Fingerprint) -> QuarantineRecord {
        let request_key = RequestKey { fingerprint, caller: self.caller };
        QuarantineRecord {
            request_key,
            ends: self.ends.values().copied().collect(),
            cleared: self.cleared,
        }
    }
}

fn held_for(ends: usize) -> Millis {
    let doublings = ends.saturating_sub(ENDS).min(16) as u32;
    Millis(HELD_AT_FIRST.0 << doublings).min(HELD_MOST)
}

impl Quarantine {
    /// The connection to `incarnation`, at `place`, broke while `request_key` had just begun there or
    /// waited. Returns whether that is news for others.
    pub fn on_connection_broken(
        &mut self,
        request_key: RequestKey,
        incarnation: u64,
        place: u32,
        now: Millis,
    ) -> bool {
        let at = now;
        if self.ended.get(&incarnation).is_some_and(|ended| now.since(*ended) < WORD_COMES) {
            return self.on_end(request_key, ProcessEnd { incarnation, place, at });
        }
        if self.breaks.len() >= MOST_RECENT {
            self.breaks.pop_front();
        }
        self.breaks.push_back(Break { request_key, incarnation, place, at });
        false
    }

    /// The process of `incarnation` has ended. Returns whether that is news for others.
    pub fn on_process_ended(&mut self, incarnation: u64, now: Millis) -> bool {
        if self.ended.len() < MOST_RECENT {
            self.ended.entry(incarnation).or_insert(now);
        }
        let is_of_it =
            |broken: &Break| broken.incarnation == incarnation && now.since(broken.at) < WORD_COMES;
        let (of_it, others): (VecDeque<Break>, _) = self.breaks.drain(..).partition(is_of_it);
        self.breaks = others;
        let mut is_news = false;
        for Break { request_key, incarnation, place, at } in of_it {
            is_news |= self.on_end(request_key, ProcessEnd { incarnation, place, at });
        }
        is_news
    }

    fn on_end(&mut self, request_key: RequestKey, end: ProcessEnd) -> bool {
        let has_finished = self.finished.iter().any(|set| set.contains(&request_key.fingerprint));
        let cleared = has_finished.then_some(end.at);
        let is_known = self.entries.contains_key(&request_key.fingerprint);
        if has_finished && !is_known {
            return false;
        }
        let is_news = self.join(&QuarantineRecord { request_key, ends: vec![end], cleared }, true);
        if let Some(entry) = self.entries.get_mut(&request_key.fingerprint) {
            // Whoever saw an end keeps the verdict: others may be lost with what they know.
            entry.is_to_keep |= is_news && entry.count() >= ENDS;
        }
        is_news
    }

    /// A request ran to its end, and its instance lives. Returns whether that is news.
    pub fn on_completed(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        if self.finished[0].len() >= MOST_FINISHED {
            self.finished[1] = std::mem::take(&mut self.finished[0]);
        }
        self.finished[0].insert(fingerprint);
        self.clear(fingerprint, now)
    }

    /// An operator lets a fingerprint go. Returns whether it was known.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Millis) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else { return false };
        let count = entry.count();
        let is_news = count > 0;
        entry.is_to_keep |= count >= ENDS;
        entry.cleared = Some(now);
        entry.tells = if is_news { TOLD } else { entry.tells };
        is_news
    }

    /// Takes what another node, or the store, knows. Returns whether it is news. Whoever
    /// `passes_on` tells it in turn; the others heard it from those who do, and would only
    /// repeat it, hundreds of them for each end.
    pub fn take(&mut self, known: &QuarantineRecord, passes_on: bool) -> bool {
        let fingerprint = known.request_key.fingerprint;
        let has_finished = self.finished.iter().any(|set| set.contains(&fingerprint));
        let last = known.ends.iter().map(|end| end.at).max();
        let own = last.filter(|_| has_finished && !known.ends.is_empty());
        let cleared = known.cleared.max(own);
        let knows_better = cleared > known.cleared;
        self.join(&QuarantineRecord { cleared, ..known.clone() }, passes_on || knows_better)
    }

    fn join(&mut self, known: &QuarantineRecord, tells: bool) -> bool {
        let RequestKey { fingerprint, caller } = known.request_key;
        if !self.entries.contains_key(&fingerprint) && !self.make_room(caller) {
            return false;
        }
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry::new(caller));
        let mut is_news = false;
        for end in &known.ends {
            let has_room =
                entry.ends.len() < MOST_ENDS || entry.ends.contains_key(&end.incarnation);
            if !has_room {
                continue;
            }
            let own = entry.ends.entry(end.incarnation).or_insert_with(|| {
                is_news = true;
                *end
            });
            // The earliest word of an end stands, whoever's came first: nodes that do not know
            // where a life was say otherwise than those that do.
            if (end.at, end.place) < (own.at, own.place) {
                *own = *end;
            }
        }
        let before = entry.count();
        entry.cleared = entry.cleared.max(known.cleared);
        is_news |= entry.count() < before;
        if is_news && tells {
            entry.tells = TOLD;
        }
        if entry.cleared > known.cleared && !known.ends.is_empty() {
            // Whoever says this has not heard that it was cleared.
            entry.tells = entry.tells.max(1);
        }
        is_news
    }

    /// Makes room for one more of `caller`; `false` if those that are known matter more.
    fn make_room(&mut self, caller: u32) -> bool {
        let own = self.entries.values().filter(|entry| entry.caller == caller).count();
        if own >= MOST_OF_CALLER {
            return self.drop_least(|entry| entry.caller == caller);
        }
        self.entries.len() < MOST || self.drop_least(|_| true)
    }

    fn drop_least(&mut self, is_meant: impl Fn(&Entry) -> bool) -> bool {
        let may_go = |entry: &Entry| is_meant(entry) && entry.count() < ENDS;
        let meant = self.entries.iter().filter(|(_, entry)| may_go(entry));
        let least = meant.min_by_key(|(_, entry)| (entry.count(), entry.last()));
        let least = least.map(|(fingerprint, _)| *fingerprint);
        least.is_some_and(|fingerprint| self.entries.remove(&fingerprint).is_some())
    }

    /// How a request stands.
    pub fn status(&self, fingerprint: Fingerprint, now: Millis) -> QuarantineStatus {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(QuarantineStatus::Free, |entry| entry.status(now))
    }

    /// Whether the end of an instance under this one would be held against it for good:
    /// then it is worth waiting for the word on it.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Millis) -> bool {
        self.status(fingerprint, now) != QuarantineStatus::Free
    }

    /// Whether anything has changed that is still to be told.
    pub fn has_news(&self) -> bool {
        self.entries.values().any(|entry| entry.tells > 0)
    }

    /// What is to be told now, at most so many: what has changed first, those under which
    /// most have ended before others; then those that are held, in turn.
    pub fn next_to_gossip(&mut self, most: usize, now: Millis) -> Vec<QuarantineRecord> {
        let changed = self.entries.iter().filter(|(_, entry)| entry.tells > 0);
        let mut chosen: Vec<(usize, Fingerprint)> =
            changed.map(|(fingerprint, entry)| (entry.count(), *fingerprint)).collect();
        chosen.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
        chosen.truncate(most);
        let mut chosen: Vec<Fingerprint> = chosen.into_iter().map(|(_, chosen)| chosen).collect();
        if chosen.is_empty() {
            chosen.extend(self.next_held(now));
        }
        let tell = |fingerprint: Fingerprint| {
            let entry = self.entries.get_mut(&fingerprint)?;
            entry.tells = entry.tells.saturating_sub(1);
            Some(entry.known(fingerprint))
        };
        chosen.into_iter().filter_map(tell).collect()
    }

    /// The next one that is held: whoever has just started hears of all in turn.
    fn next_held(&mut self, now: Millis) -> Option<Fingerprint> {
        let is_held = |entry: &Entry| matches!(entry.status(now), QuarantineStatus::Held(_));
        let held: Vec<Fingerprint> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_held(entry))
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        let after = held.iter().find(|held| self.turn.is_none_or(|turn| **held > turn));
        let next = after.or(held.first()).copied();
        self.turn = next;
        next
    }

    /// What is to be kept for those who start later; it is taken for kept from here on.
    pub fn take_unsaved(&mut self) -> Vec<QuarantineRecord> {
        let entries = self.entries.iter_mut().filter(|(_, entry)| entry.is_to_keep);
        let keep = entries.map(|(fingerprint, entry)| {
            entry.is_to_keep = false;
            entry.known(*fingerprint)
        });
        keep.collect()
    }

    /// Where it is kept something may have been lost that was kept: what others held, and
    /// that it was cleared.
    pub fn mark_all_unsaved(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_to_keep |= entry.count() >= ENDS || entry.cleared.is_some();
        }
    }

    /// It could not be kept: it is still to be.
    pub fn mark_unsaved(&mut self, known: &[QuarantineRecord]) {
        for known in known {
            if let Some(entry) = self.entries.get_mut(&known.request_key.fingerprint) {
                entry.is_to_keep = true;
            }
        }
    }

    /// Those that are held and were not when this was last asked, and until when.
    pub fn newly_quarantined(&mut self, now: Millis) -> Vec<(QuarantineRecord, Millis)> {
        let news = self.entries.iter_mut().filter_map(|(fingerprint, entry)| {
            let held_until = match entry.status(now) {
                QuarantineStatus::Held(until) => Some(until),
                QuarantineStatus::Free | QuarantineStatus::Suspect => None,
            };
            let was_announced = std::mem::replace(&mut entry.is_announced, held_until.is_some());
            held_until.filter(|_| !was_announced).map(|until| (entry.known(*fingerprint), until))
        });
        news.collect()
    }

    /// All that are held, and until when.
    pub fn held(&self, now: Millis) -> Vec<(QuarantineRecord, Millis)> {
        let held = self.entries.iter().filter_map(|(fingerprint, entry)| {
            let QuarantineStatus::Held(until) = entry.status(now) else { return None };
            Some((entry.known(*fingerprint), until))
        });
        held.collect()
    }

    /// Drops what is over.
    pub fn forget(&mut self, now: Millis) {
        self.entries.retain(|_, entry| !entry.is_over(now));
        self.breaks.retain(|broken| now.since(broken.at) < WORD_COMES);
        self.ended.retain(|_, at| now.since(*at) < WORD_COMES);
    }
}

/// Where a life is lost together with others: its domain, or its data centre.
pub fn place(domain: Option<&str>, data_centre: &str) -> u32 {
    name_hash(domain.unwrap_or(data_centre))
}
