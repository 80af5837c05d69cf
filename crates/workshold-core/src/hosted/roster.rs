//! The instances that the platform lists, and what each one reports of itself.

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

/// State of a group, as one of its members reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The member loads weights.
    Joining,
    /// The member has loaded and is ready to serve.
    Ready,
    /// The group serves; reported by its head.
    Open,
    /// The group takes no new requests and finishes those it has; reported by its head.
    Closing,
    /// The group stopped after it lost a member; reported by its head.
    Broken,
}

/// What an instance reports of the group that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The group's id, which stays the same when the group is formed again.
    pub group: GroupId,
    /// The epoch of this formation of the group.
    pub epoch: u64,
    /// The member's rank in the group; 0 is the head.
    pub rank: usize,
    /// The group's state.
    pub state: MemberState,
}

/// What an instance reports of itself in its list entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// The instance's id and incarnation.
    pub identity: Identity,
    /// The service that it is part of.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SmolStr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Its fabric domain; `None` if it has no fast links to other instances.
    pub domain: Option<FabricDomain>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it has announced that it is shutting down.
    pub is_leaving: bool,
    /// How much longer it was cold when it wrote this.
    pub cold_left: Millis,
    /// Models whose weights are staged on its host, ready to be loaded.
    pub staged: Vec<ModelName>,
    /// Models whose weights it has in memory.
    pub loaded: Vec<ModelName>,
    /// The group that it belongs to; `None` if it is free.
    pub membership: Option<Membership>,
}

/// A list entry as this node knows it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What the instance reports of itself.
    pub instance: Arc<Instance>,
    /// Position of the newest record about it.
    pub place: LogPosition,
    /// Since when the list lacks the instance; `None` while it is listed.
    pub unlisted_since: Option<Millis>,
    /// Since when its newest record can't be read; `instance` is then from the last record that
    /// could be.
    pub unreadable_since: Option<Millis>,
    /// The newest record, if it seems older than what is known.
    older: Option<OlderRecord>,
    /// Whether this incarnation has announced in its answers that it is shutting down. This is
    /// final, whatever its list entry says.
    announced_leaving: bool,
    /// The group that this incarnation was in last.
    left: Option<LeftGroup>,
}

/// A group that an instance has left.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeftGroup {
    /// Its last report of the group.
    pub membership: Membership,
    /// When this node knew that it had left.
    pub known_at: Millis,
}

/// A record that seems to be older than the one that is known: of an earlier incarnation, of an
/// earlier formation, or from a restored backup.
#[derive(Debug, Clone)]
struct OlderRecord {
    instance: Arc<Instance>,
    place: LogPosition,
    received_at: Millis,
    /// How long the instance must have been able to replace it before it is accepted.
    timeout: Millis,
}

/// An incarnation that is taken for ended because a record of an earlier one was accepted: no
/// newer record has replaced it in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reversion {
    /// The incarnation that was known.
    pub ended: Identity,
    /// The incarnation of the accepted record.
    pub accepted: Identity,
    /// Position of the accepted record.
    pub place: LogPosition,
    /// When this node received that record.
    pub received_at: Millis,
}

/// How long an unlisted instance is kept, since its group and its requests may outlast it.
const UNLISTED_TTL: Millis = Millis::from_secs(20);
/// A record of an earlier incarnation is accepted once it has been the newest one for this long,
/// and the store has not failed for as long. An instance that runs checks in every 1.2 s and would
/// have replaced the record by the second check-in. If it hasn't, the clock was set back between
/// two incarnations.
const OLDER_RECORD_TIMEOUT: Millis = Millis(4_000);
/// How long an unreadable record is tolerated, which is three check-ins. It may have been written
/// by another process, and then the instance replaces it by its next check-in. After this time
/// the instance counts as shutting down.
const UNREADABLE_TIMEOUT: Millis = Millis(3_600);

/// All instances; the newest record of each one counts.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: BTreeMap<InstanceId, Entry>,
    /// Head of each formation by epoch and group, and when it was last seen as such.
    heads: BTreeMap<(u64, GroupId), (Identity, Millis)>,
    /// Formations of which a member has restarted, and when that was seen.
    restarted: BTreeMap<(u64, GroupId), Millis>,
    last_arrival_at: Millis,
    version: u64,
    /// The era that the store was restored to, and from when on an instance that isn't in the
    /// restored list counts as gone.
    era: Option<(Era, Millis)>,
    /// When the store last failed, as far as this node knows; `None` if it never did. Until then
    /// instances may have been unable to write.
    last_failure_at: Option<Millis>,
}

impl Roster {
    /// Applies one record; `None` removes the instance from the list. Returns the previous
    /// incarnation, which has ended, if the record shows a new one.
    pub fn apply(
        &mut self,
        place: impl Into<LogPosition>,
        id: &InstanceId,
        report: Option<Instance>,
        now: Millis,
    ) -> Option<Identity> {
        let place = place.into();
        self.version += 1;
        if let Some(report) = &report {
            self.note_head(report, now);
        }
        let Some(known) = self.entries.get_mut(id) else {
            let instance = Arc::new(report?);
            self.entries.insert(id.clone(), Entry::new(instance, place));
            self.last_arrival_at = now;
            return None;
        };
        if known.place > place {
            return None;
        }
        known.place = place;
        let Some(report) = report else {
            known.older = None;
            known.unlisted_since = known.unlisted_since.or(Some(now));
            return None;
        };
        if known.is_newer_than(&report) {
            known.keep_older(OlderRecord {
                instance: Arc::new(report),
                place,
                received_at: now,
                timeout: OLDER_RECORD_TIMEOUT,
            });
            return None;
        }
        if known.contradicts(&report) {
            known.unreadable_since = known.unreadable_since.or(Some(now));
            return None;
        }
        let ended = known.replace(Arc::new(report), now);
        self.note_end(ended, now)
    }

    /// Records that this incarnation has announced in an answer that it is shutting down.
    pub fn on_leaving(&mut self, identity: &Identity) {
        let entry = self.entries.get_mut(&identity.id);
        if let Some(entry) = entry.filter(|entry| entry.instance.identity == *identity) {
            entry.announced_leaving = true;
            self.version += 1;
        }
    }

    /// Applies one record that can't be read. The instance gets no new work then, but the group
    /// that it belongs to may still be serving.
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
            known.older = None;
            known.unreadable_since = known.unreadable_since.or(Some(now));
        }
    }

    /// Applies one record of the backup that the store was restored from, which shows a past
    /// state. If this node knows another one, it keeps that until the instance has had the time
    /// to write again. A restored record alone frees no instance for another group and ends no
    /// head.
    pub fn apply_restored(
        &mut self,
        place: LogPosition,
        id: &InstanceId,
        report: Instance,
        now: Millis,
    ) {
        self.version += 1;
        self.note_head(&report, now);
        let Some(known) = self.entries.get_mut(id) else {
            self.entries.insert(id.clone(), Entry::new(Arc::new(report), place));
            self.last_arrival_at = now;
            return;
        };
        if known.place >= place {
            return;
        }
        known.place = place;
        if report.is_leaving && report.identity == known.instance.identity {
            // A shutdown is final.
            Arc::make_mut(&mut known.instance).is_leaving = true;
        }
        // What the log showed before it was restored is no longer in it.
        known.older = None;
        if !known.is_current_report(&report) {
            known.keep_older(OlderRecord {
                instance: Arc::new(report),
                place,
                received_at: now,
                timeout: RESTORE_SETTLE_TIME,
            });
        }
    }

    /// Starts a new era of the list after a restore. What the list lacks counts as gone only if
    /// it is still missing at `true_from`.
    pub fn begin_era(&mut self, era: Era, true_from: Millis) {
        self.version += 1;
        self.era = Some((era, true_from));
        for entry in self.entries.values_mut() {
            entry.older.take_if(|older| older.place.era < era);
        }
    }

    /// Records that the store didn't answer at `at`. Up to then an instance may have been unable
    /// to write, so that the time in which it wrote nothing proves nothing.
    pub fn on_store_failure(&mut self, at: Millis) {
        self.last_failure_at = self.last_failure_at.max(Some(at));
    }

    /// Whether every instance that runs has had the time to write its entry again after a restore,
    /// as far as a list read at `now` shows.
    fn is_settled(&self, true_from: Millis, now: Millis) -> bool {
        let has_failed_since =
            self.last_failure_at.is_some_and(|at| now < at + RESTORE_SETTLE_TIME);
        now >= true_from && !has_failed_since
    }

    /// Marks entries as unlisted that weren't written again in the new era, as far as a list read
    /// at `now` shows.
    fn mark_unwritten_unlisted(&mut self, now: Millis) {
        let settled = self.era.filter(|(_, true_from)| self.is_settled(*true_from, now));
        let Some((era, _)) = settled else { return };
        let unwritten = self.entries.values_mut().filter(|entry| entry.place.era < era);
        unwritten.for_each(|entry| entry.unlisted_since = entry.unlisted_since.or(Some(now)));
        self.era = None;
        self.version += 1;
    }

    /// Keeps the head of the formation that `report` names, if it comes from that head.
    fn note_head(&mut self, report: &Instance, now: Millis) {
        if let Some(membership) =
            report.membership.as_ref().filter(|membership| membership.rank == 0)
        {
            let key = (membership.epoch, membership.group.clone());
            self.heads.insert(key, (report.identity.clone(), now));
        }
    }

    /// Handles the last report of an incarnation that has ended: its formation has a member that
    /// restarted. Returns that incarnation.
    fn note_end(&mut self, ended: Option<Arc<Instance>>, now: Millis) -> Option<Identity> {
        let ended = ended?;
        self.version += 1;
        self.last_arrival_at = now;
        if let Some(membership) = &ended.membership {
            self.restarted.insert((membership.epoch, membership.group.clone()), now);
        }
        Some(ended.identity.clone())
    }

    /// Accepts records that seemed older but that no newer one has replaced in time, as far as a
    /// list read at `now` shows. Returns the incarnations that have ended by that.
    fn accept_older(&mut self, now: Millis) -> Vec<Reversion> {
        let last_failure_at = self.last_failure_at.unwrap_or_default();
        let is_due =
            |older: &mut OlderRecord| now >= older.received_at.max(last_failure_at) + older.timeout;
        let taken = self.entries.values_mut().filter_map(|entry| entry.take_older_if(is_due, now));
        let accepted: Vec<_> = taken.collect();
        let mut reversions = Vec::new();
        for (older, ended) in accepted {
            let Some(ended) = self.note_end(ended, now) else { continue };
            reversions.push(Reversion {
                ended,
                accepted: older.instance.identity.clone(),
                place: older.place,
                received_at: older.received_at,
            });
        }
        reversions
    }

    /// Whether a member of a formation has restarted since it reported that it is in it. Then the
    /// formation can never serve again, whatever its other members report.
    pub fn has_restarted_member(&self, epoch: u64, group: &GroupId) -> bool {
        !self.restarted.is_empty() && self.restarted.contains_key(&(epoch, group.clone()))
    }

    /// Completes a full reading of the list up to `end`: an instance that isn't in `seen` has gone,
    /// unless a record after `end` names it.
    pub fn on_full_list(
        &mut self,
        seen: &BTreeSet<InstanceId>,
        end: impl Into<LogPosition>,
        now: Millis,
    ) {
        let end = end.into();
        self.version += 1;
        // An instance that hasn't written again since the store was restored may still do so.
        let is_settling = self.era.is_some_and(|(_, true_from)| !self.is_settled(true_from, now));
        for (id, entry) in &mut self.entries {
            let may_be_rewritten = is_settling && entry.place.era < end.era;
            if !seen.contains(id) && entry.place < end && !may_be_rewritten {
                entry.unlisted_since = entry.unlisted_since.or(Some(now));
            }
        }
    }

    /// The head of a formation; `None` if this node hasn't seen it.
    pub fn head_of(&self, epoch: u64, group: &GroupId) -> Option<&Identity> {
        self.heads.get(&(epoch, group.clone())).map(|(head, _)| head)
    }

    /// Drops what has been gone for long. Returns the incarnations that turn out to have ended
    /// because a record of another one has now been accepted. `now` is when the last read of the
    /// list was sent that was answered: silence proves nothing while nobody could be read.
    pub fn forget(&mut self, now: Millis) -> Vec<Reversion> {
        self.mark_unwritten_unlisted(now);
        let reversions = self.accept_older(now);
        let formation = |entry: &Entry| {
            entry
                .instance
                .membership
                .as_ref()
                .map(|membership| (membership.epoch, membership.group.clone()))
        };
        let in_use: BTreeSet<_> = self.entries.values().filter_map(formation).collect();
        self.heads.retain(|key, (_, seen)| in_use.contains(key) || now.since(*seen) < UNLISTED_TTL);
        self.restarted.retain(|key, seen| in_use.contains(key) || now.since(*seen) < UNLISTED_TTL);
        self.entries.retain(|_, entry| {
            entry.unlisted_since.is_none_or(|since| now.since(since) < UNLISTED_TTL)
        });
        reversions
    }

    /// The entry of an instance, whichever incarnation it is of.
    pub fn get(&self, id: &InstanceId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The entry of an instance, if it is of this incarnation.
    pub fn incarnation(&self, identity: &Identity) -> Option<&Entry> {
        self.get(&identity.id).filter(|entry| entry.instance.identity == *identity)
    }

    /// All entries, those of unlisted instances included.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// A counter that rises whenever anything may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When an unknown instance, or a new incarnation of a known one, last appeared.
    pub fn last_arrival_at(&self) -> Millis {
        self.last_arrival_at
    }
}

/// Tracks whether a missing entry shows that its instance has gone.
///
/// While the store is unavailable entries expire, and instances write them again within about two
/// seconds after it is back. Until then a missing entry doesn't show that its instance has gone.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListTrust {
    last_failure_at: Option<Millis>,
}

/// Longer than instances take to write their entries again once the store is back.
const REENTRY_TIME: Millis = Millis(2_300);

impl ListTrust {
    /// Records that the store didn't answer at `at`, this node or a node that reads the list for
    /// it.
    pub fn on_store_failure(&mut self, at: Millis) {
        self.last_failure_at = self.last_failure_at.max(Some(at));
    }

    /// When the store last failed to answer; `None` if it never did.
    pub fn last_failure_at(&self) -> Option<Millis> {
        self.last_failure_at
    }

    /// Whether the list may be out of date for the state at `at`: then an instance may have been
    /// shutting down although its entry doesn't say so.
    pub fn may_be_incomplete(&self, at: Millis) -> bool {
        self.last_failure_at.is_some_and(|last_failure_at| last_failure_at + REENTRY_TIME >= at)
    }

    /// Whether an instance whose entry went missing at `unlisted_since` still counts as present.
    pub fn may_still_run(&self, unlisted_since: Millis, now: Millis) -> bool {
        let Some(last_failure_at) = self.last_failure_at else { return false };
        now.since(last_failure_at) < REENTRY_TIME
            && unlisted_since + REENTRY_TIME >= last_failure_at
    }
}

impl Entry {
    /// Creates the entry of an instance that wasn't known before.
    pub fn new(instance: Arc<Instance>, place: impl Into<LogPosition>) -> Self {
        let place = place.into();
        Self {
            instance,
            place,
            unlisted_since: None,
            unreadable_since: None,
            older: None,
            announced_leaving: false,
            left: None,
        }
    }

    /// The group that this incarnation was in last; `None` if it has left none.
    pub fn left(&self) -> Option<&LeftGroup> {
        self.left.as_ref()
    }

    /// Whether `report` is what is already known.
    fn is_current_report(&self, report: &Instance) -> bool {
        let is_current = self.unlisted_since.is_none() && self.unreadable_since.is_none();
        is_current && *self.instance == *report
    }

    /// Replaces the instance's report. Returns the previous one if it is of another incarnation.
    pub fn replace(&mut self, report: Arc<Instance>, now: Millis) -> Option<Arc<Instance>> {
        let is_next = report.identity != self.instance.identity;
        self.announced_leaving &= !is_next;
        let is_in = |own: &&Membership| {
            let next = report.membership.as_ref();
            next.is_some_and(|next| (next.epoch, &next.group) == (own.epoch, &own.group))
        };
        if is_next {
            self.left = None;
        } else if let Some(own) = self.instance.membership.as_ref().filter(|own| !is_in(own)) {
            self.left = Some(LeftGroup { membership: own.clone(), known_at: now });
        }
        let before = std::mem::replace(&mut self.instance, report);
        self.unlisted_since = None;
        self.unreadable_since = None;
        self.older = None;
        is_next.then_some(before)
    }

    /// Keeps a record that seems older until it is accepted or replaced.
    fn keep_older(&mut self, record: OlderRecord) {
        if self.older.as_ref().is_none_or(|known| known.place < record.place) {
            self.older = Some(record);
        }
    }

    /// Accepts the older record if it `is_due`. Returns it, and the previous report if that is of
    /// another incarnation.
    fn take_older_if(
        &mut self,
        is_due: impl FnOnce(&mut OlderRecord) -> bool,
        now: Millis,
    ) -> Option<(OlderRecord, Option<Arc<Instance>>)> {
        let older = self.older.take_if(is_due)?;
        let ended = self.replace(Arc::clone(&older.instance), now);
        Some((older, ended))
    }

    /// Whether what is known is newer than `report`, which is of an earlier incarnation, or of an
    /// earlier formation of this one: no instance joins with an epoch below one that it has seen.
    fn is_newer_than(&self, report: &Instance) -> bool {
        let known = &self.instance;
        if report.identity != known.identity {
            return report.identity.incarnation < known.identity.incarnation;
        }
        let epoch =
            |instance: &Instance| instance.membership.as_ref().map(|membership| membership.epoch);
        epoch(report).is_some_and(|reported| Some(reported) < epoch(known))
    }

    /// Whether `report` can't be from this incarnation, since its service or domain differs:
    /// neither changes while an instance runs.
    fn contradicts(&self, report: &Instance) -> bool {
        let known = &self.instance;
        let is_same = report.identity == known.identity;
        is_same && (report.service != known.service || report.domain != known.domain)
    }

    /// Whether the instance takes new work, as far as the list shows.
    pub fn is_in_service(&self, trust: &ListTrust, now: Millis) -> bool {
        let is_readable = self.unreadable_since.is_none();
        is_readable && !self.is_leaving() && self.is_present(trust, now)
    }

    /// Whether the instance has announced that it is shutting down, in the list or in an answer.
    pub fn is_leaving(&self) -> bool {
        self.instance.is_leaving || self.announced_leaving
    }

    /// Whether the instance has failed for three check-ins to replace a record that can't be
    /// read, since the store last failed.
    pub fn is_unreadable_for_long(&self, trust: &ListTrust, now: Millis) -> bool {
        let able_since = |since: Millis| since.max(trust.last_failure_at().unwrap_or_default());
        self.unreadable_since
            .is_some_and(|since| now.since(able_since(since)) >= UNREADABLE_TIMEOUT)
    }

    /// Whether the instance is listed, or its absence may be due to an outage of the store.
    pub fn is_present(&self, trust: &ListTrust, now: Millis) -> bool {
        self.unlisted_since.is_none_or(|since| trust.may_still_run(since, now))
    }
}
