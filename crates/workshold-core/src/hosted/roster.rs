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
    /// This life of it; a new start has a new one.
    pub id: InstanceId,
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
    pub offset: u64,
    /// When this node first saw the instance.
    pub first_seen: Millis,
    /// Since when the list lacks it, if it does.
    pub unlisted_since: Option<Millis>,
}

/// How long an unlisted instance is remembered, for what it leaves behind.
const REMEMBER: Millis = Millis::from_secs(20);

/// All entries; the newest record of each instance counts.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, Entry>,
    /// Who was seen as the head of a formation, and when last.
    heads: BTreeMap<(u64, GroupId), (InstanceId, Millis)>,
    last_new: Millis,
}

impl Roster {
    /// Takes one record. `None` says that the list lacks the instance now.
    pub fn apply(&mut self, offset: u64, id: &InstanceId, word: Option<Instance>, now: Millis) {
        let head_of = word.as_ref().and_then(|word| word.membership.as_ref());
        if let Some(own) = head_of.filter(|own| own.rank == 0) {
            self.heads.insert((own.epoch, own.group.clone()), (id.clone(), now));
        }
        let known = self.entries.get_mut(id);
        if known.as_ref().is_some_and(|known| known.offset > offset) {
            return;
        }
        match (known, word) {
            (Some(known), Some(word)) => {
                known.instance = Arc::new(word);
                known.offset = offset;
                known.unlisted_since = None;
            }
            (Some(known), None) => {
                known.offset = offset;
                known.unlisted_since = known.unlisted_since.or(Some(now));
            }
            (None, Some(word)) => {
                let instance = Arc::new(word);
                let entry = Entry { instance, offset, first_seen: now, unlisted_since: None };
                self.entries.insert(id.clone(), entry);
                self.last_new = now;
            }
            (None, None) => {}
        }
    }

    /// After a reading of the whole list up to `end`: what is not among `seen`
    /// has gone, unless a record after `end` speaks of it.
    pub fn keep_only(&mut self, seen: &BTreeSet<InstanceId>, end: u64, now: Millis) {
        for (id, entry) in &mut self.entries {
            if !seen.contains(id) && entry.offset < end {
                entry.unlisted_since = entry.unlisted_since.or(Some(now));
            }
        }
    }

    /// Who was seen as the head of a formation.
    pub fn head_of(&self, epoch: u64, group: &GroupId) -> Option<&InstanceId> {
        self.heads.get(&(epoch, group.clone())).map(|(head, _)| head)
    }

    /// Forgets what has long been gone.
    pub fn forget(&mut self, now: Millis) {
        let stated = |entry: &Entry| {
            entry.instance.membership.as_ref().map(|own| (own.epoch, own.group.clone()))
        };
        let in_use: BTreeSet<_> = self.entries.values().filter_map(stated).collect();
        self.heads.retain(|key, (_, seen)| in_use.contains(key) || now.since(*seen) < REMEMBER);
        self.entries.retain(|_, entry| {
            entry.unlisted_since.is_none_or(|since| now.since(since) < REMEMBER)
        });
    }

    /// One entry.
    pub fn get(&self, id: &InstanceId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// When an instance last appeared that was not known before.
    pub fn last_new(&self) -> Millis {
        self.last_new
    }
}

/// Whether the list can be taken at its word.
///
/// While the store is away entries lapse, and come back within about two seconds
/// after it. Until then an entry that is missing says nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListTrust {
    trouble_at: Option<Millis>,
}

/// Longer than an entry takes to return once the store is back.
const ENTRIES_RETURN: Millis = Millis(2_300);

impl ListTrust {
    /// The store did not answer at `at`, this node or one that reads for it.
    pub fn on_trouble(&mut self, at: Millis) {
        self.trouble_at = self.trouble_at.max(Some(at));
    }

    /// When the store last did not answer.
    pub fn trouble_at(&self) -> Option<Millis> {
        self.trouble_at
    }

    /// Whether the list may have lacked something that was so at `at`: then an instance
    /// may have been leaving although its entry does not say so.
    pub fn may_lack(&self, at: Millis) -> bool {
        self.trouble_at.is_some_and(|trouble_at| trouble_at + ENTRIES_RETURN >= at)
    }

    /// Whether an entry that went missing at `unlisted_since` is still to be
    /// taken for there.
    pub fn excuses(&self, unlisted_since: Millis, now: Millis) -> bool {
        let Some(trouble_at) = self.trouble_at else { return false };
        now.since(trouble_at) < ENTRIES_RETURN && unlisted_since + ENTRIES_RETURN >= trouble_at
    }
}

impl Entry {
    /// Whether the instance takes new work as far as the list goes.
    pub fn is_in_service(&self, trust: &ListTrust, now: Millis) -> bool {
        !self.instance.is_leaving && self.is_there(trust, now)
    }

    /// Whether the instance is listed, or its absence says nothing.
    pub fn is_there(&self, trust: &ListTrust, now: Millis) -> bool {
        self.unlisted_since.is_none_or(|since| trust.excuses(since, now))
    }
}
