//! The instances that the platform lists, and what each says of itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::ServiceName;

use super::identity::Identity;
use super::store_era::Era;
use super::store_era::LogPosition;
use super::store_era::RESTORE_SETTLE_TIME;

/// How far a member says its group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It loads weights.
    Joining,
    /// It could serve.
    Ready,
    /// The head serves.
    Open,
    /// The head finishes what it has.
    Closing,
    /// The head gave up after a member was lost.
    Broken,
}

/// An instance's word on the group that it is in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// Which formation of it.
    pub epoch: u64,
    /// Its place; 0 is the head.
    pub rank: usize,
    /// How far it is.
    pub state: MemberState,
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Which life of which instance it is.
    pub identity: Identity,
    /// The service that it is part of.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SmolStr,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Its fabric domain, if it has one.
    pub domain: Option<FabricDomain>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it has said that it will end.
    pub is_leaving: bool,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelName>,
    /// Models whose weights it has in memory.
    pub loaded: Vec<ModelName>,
    /// Its group.
    pub membership: Option<Membership>,
}

/// An entry of the list as this node knows it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The instance's own words.
    pub instance: Arc<Instance>,
    /// The record that they stand in.
    pub place: LogPosition,
    /// Since when the list lacks it, if it does.
    pub unlisted_since: Option<Millis>,
    /// Since when its newest record cannot be read, if that is so: its words are those
    /// before it.
    pub unreadable_since: Option<Millis>,
    /// The newest record, if it speaks of an earlier life.
    earlier: Option<Earlier>,
    /// Whether this life has said in its answers that it will end; nobody takes that back.
    says_it_leaves: bool,
}

/// A word that seems to come from an earlier life than the one that is known.
#[derive(Debug, Clone)]
struct Earlier {
    instance: Arc<Instance>,
    place: LogPosition,
    /// When it is believed if nobody has spoken against it.
    stands_at: Millis,
}

/// How long an unlisted instance is remembered, for what it leaves behind.
const REMEMBER: Millis = Millis::from_secs(20);
/// A record that speaks of an earlier life is believed once it has been the newest for so
/// long: an instance that is there checks in every 1.2 s, and would have replaced it by
/// the second time. Then clocks went back between two lives.
const EARLIER_STANDS: Millis = Millis(4_000);
/// What cannot be read may have been written by somebody else: the instance itself
/// replaces it by its next check-in. After three of them it is taken for leaving.
const UNREADABLE_STANDS: Millis = Millis(3_600);

/// All entries; the newest record of each instance counts.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, Entry>,
    /// Who was seen as the head of a formation, and when last.
    heads: BTreeMap<(u64, GroupId), (Identity, Millis)>,
    /// Formations a member of which has begun anew, and when that was seen.
    broken: BTreeMap<(u64, GroupId), Millis>,
    last_arrival_at: Millis,
    version: u64,
    /// The past that the list has changed to, and from when on what it lacks has gone.
    era: Option<(Era, Millis)>,
}

impl Roster {
    /// Takes one record. `None` says that the list lacks the instance now. Returns the
    /// life that has ended with it, if another one begins.
    pub fn apply(
        &mut self,
        place: impl Into<LogPosition>,
        id: &InstanceId,
        word: Option<Instance>,
        now: Millis,
    ) -> Option<Identity> {
        let place = place.into();
        self.version += 1;
        if let Some(word) = &word {
            self.note_head(word, now);
        }
        let Some(known) = self.entries.get_mut(id) else {
            let instance = Arc::new(word?);
            self.entries.insert(id.clone(), Entry::new(instance, place));
            self.last_arrival_at = now;
            return None;
        };
        if known.place > place {
            return None;
        }
        known.place = place;
        let Some(word) = word else {
            known.earlier = None;
            known.unlisted_since = known.unlisted_since.or(Some(now));
            return None;
        };
        if known.is_later_than(&word) {
            known.on_earlier(Arc::new(word), place, now + EARLIER_STANDS);
            return None;
        }
        if known.contradicts(&word) {
            known.unreadable_since = known.unreadable_since.or(Some(now));
            return None;
        }
        let ended = known.take(Arc::new(word));
        self.note_end(ended, now)
    }

    /// A life of an instance has said in its answers that it will end.
    pub fn on_leaving(&mut self, identity: &Identity) {
        let entry = self.entries.get_mut(&identity.id);
        if let Some(entry) = entry.filter(|entry| entry.instance.identity == *identity) {
            entry.says_it_leaves = true;
            self.version += 1;
        }
    }

    /// Takes one record that cannot be read: it names nobody to use, but what the instance
    /// was part of may still stand.
    pub fn apply_unreadable(
        &mut self,
        place: impl Into<LogPosition>,
        id: &InstanceId,
        now: Millis,
    ) {
        let place = place.into();
        self.version += 1;
        if let Some(known) = self.entries.get_mut(id).filter(|known| known.place <= place) {
            known.place = place;
            known.earlier = None;
            known.unreadable_since = known.unreadable_since.or(Some(now));
        }
    }

    /// Takes one record of the copy that the store came back from. What it says was so in
    /// the past. If this node knows another word, that one stands until the instance has had
    /// the time to write again: nobody is taken and no head ends by a copy alone.
    pub fn apply_restored(
        &mut self,
        place: LogPosition,
        id: &InstanceId,
        word: Instance,
        now: Millis,
    ) {
        self.version += 1;
        self.note_head(&word, now);
        let Some(known) = self.entries.get_mut(id) else {
            self.entries.insert(id.clone(), Entry::new(Arc::new(word), place));
            self.last_arrival_at = now;
            return;
        };
        if known.place >= place {
            return;
        }
        known.place = place;
        if word.is_leaving && word.identity == known.instance.identity {
            // Nobody takes that back.
            Arc::make_mut(&mut known.instance).is_leaving = true;
        }
        if !known.says(&word) {
            known.on_earlier(Arc::new(word), place, now + RESTORE_SETTLE_TIME);
        }
    }

    /// The list is that of another past from here on. What it lacks has gone only if it is
    /// still missing at `true_from`.
    pub fn begin_era(&mut self, era: Era, true_from: Millis) {
        self.version += 1;
        self.era = Some((era, true_from));
    }

    /// Drops what nobody has written again in the newest past.
    fn drop_unwritten(&mut self, now: Millis) {
        let Some((era, _)) = self.era.filter(|(_, true_from)| now >= *true_from) else { return };
        let unwritten = self.entries.values_mut().filter(|entry| entry.place.era < era);
        unwritten.for_each(|entry| entry.unlisted_since = entry.unlisted_since.or(Some(now)));
        self.era = None;
        self.version += 1;
    }

    fn note_head(&mut self, word: &Instance, now: Millis) {
        if let Some(own) = word.membership.as_ref().filter(|own| own.rank == 0) {
            let key = (own.epoch, own.group.clone());
            self.heads.insert(key, (word.identity.clone(), now));
        }
    }

    fn note_end(&mut self, ended: Option<Arc<Instance>>, now: Millis) -> Option<Identity> {
        let ended = ended?;
        self.version += 1;
        self.last_arrival_at = now;
        if let Some(own) = &ended.membership {
            self.broken.insert((own.epoch, own.group.clone()), now);
        }
        Some(ended.identity.clone())
    }

    /// Believes records of earlier lives that nobody has spoken against; returns the lives
    /// that have ended with them.
    fn settle(&mut self, now: Millis) -> Vec<Identity> {
        let stands =
            |entry: &&mut Entry| entry.earlier.as_ref().is_some_and(|word| now >= word.stands_at);
        let settled = self.entries.values_mut().filter(stands);
        let ended: Vec<_> = settled.map(Entry::take_earlier).collect();
        ended.into_iter().filter_map(|ended| self.note_end(ended, now)).collect()
    }

    /// Whether a member of a formation has begun anew since it stated that it is in it:
    /// then the formation stands still for good, whatever the others say.
    pub fn has_restarted_member(&self, epoch: u64, group: &GroupId) -> bool {
        !self.broken.is_empty() && self.broken.contains_key(&(epoch, group.clone()))
    }

    /// After a reading of the whole list up to `end`: what is not among `seen`
    /// has gone, unless a record after `end` speaks of it.
    pub fn on_full_list(
        &mut self,
        seen: &BTreeSet<InstanceId>,
        end: impl Into<LogPosition>,
        now: Millis,
    ) {
        let end = end.into();
        self.version += 1;
        // Who has not written again since the store came back from a copy may yet do so.
        let waits = self.era.is_some_and(|(_, true_from)| now < true_from);
        for (id, entry) in &mut self.entries {
            let may_come = waits && entry.place.era < end.era;
            if !seen.contains(id) && entry.place < end && !may_come {
                entry.unlisted_since = entry.unlisted_since.or(Some(now));
            }
        }
    }

    /// Who was seen as the head of a formation.
    pub fn head_of(&self, epoch: u64, group: &GroupId) -> Option<&Identity> {
        self.heads.get(&(epoch, group.clone())).map(|(head, _)| head)
    }

    /// Forgets what has long been gone, and returns the lives that are found to have ended.
    pub fn forget(&mut self, now: Millis) -> Vec<Identity> {
        self.drop_unwritten(now);
        let ended = self.settle(now);
        let stated = |entry: &Entry| {
            entry.instance.membership.as_ref().map(|own| (own.epoch, own.group.clone()))
        };
        let in_use: BTreeSet<_> = self.entries.values().filter_map(stated).collect();
        self.heads.retain(|key, (_, seen)| in_use.contains(key) || now.since(*seen) < REMEMBER);
        self.broken.retain(|key, seen| in_use.contains(key) || now.since(*seen) < REMEMBER);
        self.entries.retain(|_, entry| {
            entry.unlisted_since.is_none_or(|since| now.since(since) < REMEMBER)
        });
        ended
    }

    /// One entry.
    pub fn get(&self, id: &InstanceId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The entry of one life of an instance, if it is the one that is there.
    pub fn incarnation(&self, identity: &Identity) -> Option<&Entry> {
        self.get(&identity.id).filter(|entry| entry.instance.identity == *identity)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Rises whenever anything may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When an instance last appeared that was not known before.
    pub fn last_arrival_at(&self) -> Millis {
        self.last_arrival_at
    }
}

/// Whether the list can be taken at its word.
///
/// While the store is away entries lapse, and come back within about two seconds
/// after it. Until then an entry that is missing says nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListTrust {
    last_failure_at: Option<Millis>,
}

/// Longer than an entry takes to return once the store is back.
const ENTRIES_RETURN: Millis = Millis(2_300);

impl ListTrust {
    /// The store did not answer at `at`, this node or one that reads for it.
    pub fn on_store_failure(&mut self, at: Millis) {
        self.last_failure_at = self.last_failure_at.max(Some(at));
    }

    /// When the store last did not answer.
    pub fn last_failure_at(&self) -> Option<Millis> {
        self.last_failure_at
    }

    /// Whether the list may have lacked something that was so at `at`: then an instance
    /// may have been leaving although its entry does not say so.
    pub fn may_be_incomplete(&self, at: Millis) -> bool {
        self.last_failure_at.is_some_and(|last_failure_at| last_failure_at + ENTRIES_RETURN >= at)
    }

    /// Whether an entry that went missing at `unlisted_since` is still to be
    /// taken for there.
    pub fn may_still_run(&self, unlisted_since: Millis, now: Millis) -> bool {
        let Some(last_failure_at) = self.last_failure_at else { return false };
        now.since(last_failure_at) < ENTRIES_RETURN
            && unlisted_since + ENTRIES_RETURN >= last_failure_at
    }
}

impl Entry {
    /// The entry of an instance that was not known before.
    pub fn new(instance: Arc<Instance>, place: impl Into<LogPosition>) -> Self {
        let place = place.into();
        Self {
            instance,
            place,
            unlisted_since: None,
            unreadable_since: None,
            earlier: None,
            says_it_leaves: false,
        }
    }

    /// Whether the instance says this anyway.
    fn says(&self, word: &Instance) -> bool {
        let is_current = self.unlisted_since.is_none() && self.unreadable_since.is_none();
        is_current && *self.instance == *word
    }

    /// Takes the instance's word; returns that of the life before if this is another one.
    fn take(&mut self, word: Arc<Instance>) -> Option<Arc<Instance>> {
        let is_next = word.identity != self.instance.identity;
        self.says_it_leaves &= !is_next;
        let before = std::mem::replace(&mut self.instance, word);
        self.unlisted_since = None;
        self.unreadable_since = None;
        self.earlier = None;
        is_next.then_some(before)
    }

    /// Keeps a word of an earlier life, as long as nobody speaks against it.
    fn on_earlier(&mut self, instance: Arc<Instance>, place: LogPosition, stands_at: Millis) {
        if self.earlier.as_ref().is_none_or(|known| known.place < place) {
            self.earlier = Some(Earlier { instance, place, stands_at });
        }
    }

    fn take_earlier(&mut self) -> Option<Arc<Instance>> {
        let earlier = self.earlier.take()?;
        self.take(earlier.instance)
    }

    /// Whether a word was said before the one that is known: by an earlier life, or by this
    /// one in an earlier formation, for none takes an epoch below one that it has seen.
    fn is_later_than(&self, word: &Instance) -> bool {
        let known = &self.instance;
        if word.identity != known.identity {
            return word.identity.incarnation < known.identity.incarnation;
        }
        let epoch = |instance: &Instance| instance.membership.as_ref().map(|own| own.epoch);
        epoch(word).is_some_and(|own| Some(own) < epoch(known))
    }

    /// Whether a word cannot be this life's own: none changes its service or its domain.
    fn contradicts(&self, word: &Instance) -> bool {
        let known = &self.instance;
        let is_same = word.identity == known.identity;
        is_same && (word.service != known.service || word.domain != known.domain)
    }

    /// Whether the instance takes new work as far as the list goes.
    pub fn is_in_service(&self, trust: &ListTrust, now: Millis) -> bool {
        let is_readable = self.unreadable_since.is_none();
        is_readable && !self.is_leaving() && self.is_present(trust, now)
    }

    /// Whether the instance has said that it will end, in the list or in its answers.
    pub fn is_leaving(&self) -> bool {
        self.instance.is_leaving || self.says_it_leaves
    }

    /// Whether the instance does not come back to replace a record that cannot be read.
    pub fn is_unreadable_for_long(&self, now: Millis) -> bool {
        self.unreadable_since.is_some_and(|since| now.since(since) >= UNREADABLE_STANDS)
    }

    /// Whether the instance is listed, or its absence says nothing.
    pub fn is_present(&self, trust: &ListTrust, now: Millis) -> bool {
        self.unlisted_since.is_none_or(|since| trust.may_still_run(since, now))
    }
}
