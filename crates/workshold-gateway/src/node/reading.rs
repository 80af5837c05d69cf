//! Who reads the store for whom, and what follows from its answers.

use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::EraOrder;
use workshold_platform::store::Answer;
use workshold_platform::store::StoreError;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::peers::LIST_TROUBLE_MAX_AGE_MS;
use crate::peers::news;
use crate::peers::rank;

/// Up to so many nodes, each reads the store for itself.
const ALL_READ: usize = 12;
/// So many of each data centre write again what the store has lost.
const KEEPERS: usize = 2;
/// A node that starts has heard the others by then, or there is nobody whom it hears.
const HEARS_WITHIN: Millis = Millis(2_500);
/// The store has not answered a reader for longer than this if it is cut off: more than it
/// takes to renew a lease without parts, with an answer and a pulse that are late. With the
/// look at it and an answer that is 2.5 s; 3 s are allowed to nodes that are not cut off.
const READERS_SILENT: Millis = Millis(1_800);
/// Over how long nodes begin to read and to hold the lease at the first start of all: some
/// seconds before the first callers, and long enough that the first of hundreds have what
/// the others need.
const FIRST_START_SPREAD: Millis = Millis(800);

impl Node {
    /// Whether a part of the lease waits for a reading of the list that began later.
    pub fn wants_list_anew(&self) -> bool {
        let read_at = self.list.lock().read_at;
        self.lease
            .lock()
            .parts
            .values()
            .any(|partition_lease| partition_lease.needs_list_reread(read_at))
    }

    /// Whether this node knows the others, as far as it can: there is nobody whom it could
    /// ask, or it hears of as many as those do whom it asked. At the very first start all
    /// nodes begin at once; each gives those before it in the order of all a moment, so that
    /// there is somebody to ask.
    pub fn is_settled(&self) -> bool {
        let settings = self.settings();
        let turn = (u64::from(rank(&settings.node.name, settings.limits.class()))
            * FIRST_START_SPREAD.0)
            >> u32::BITS;
        if settings.node.is_first_start && self.age() < Millis(turn) {
            return false;
        }
        !self.peers.lock().lacks_nodes(self.now())
    }

    /// Whether this node reads the store itself, or goes by what others read: with
    /// many nodes a few of them are enough.
    pub fn is_store_reader(&self) -> bool {
        !self.has_followers() || self.is_among_first(news::STORE_READERS)
    }

    /// Whether the store has not answered any of those who read it for this node for so long
    /// that they may be cut off from it, and this node may not be.
    pub fn are_readers_cut_off(&self) -> bool {
        let settings = self.settings();
        let now = self.now();
        let answered = self.peers.lock().readers_answered(settings.node.data_centre.as_str(), now);
        answered.is_some_and(|at| now.since(at) > READERS_SILENT)
    }

    /// Whether this node hears fewer than half of the others that may be there: then news
    /// that they tell each other may not come to it.
    pub fn hears_few(&self) -> bool {
        let peers = self.peers.lock();
        let others = peers.max_node_count() - 1;
        peers.heard(self.now()).count() * 2 < others
    }

    /// How long ago a reading of the list failed, in ms, if this node reads it: told to
    /// those who go by it.
    pub fn list_failure_age_ms(&self) -> Option<u32> {
        if !self.is_store_reader() {
            return None;
        }
        let last_failure_at = self.list.lock().trust.last_failure_at();
        let age = last_failure_at.and_then(|at| u32::try_from(self.now().since(at).0).ok());
        Some(age.unwrap_or(LIST_TROUBLE_MAX_AGE_MS).min(LIST_TROUBLE_MAX_AGE_MS))
    }

    fn is_among_first(&self, most: usize) -> bool {
        let settings = self.settings();
        let data_centre = settings.node.data_centre.as_str();
        self.peers.lock().ranks_among_first(&settings.node.name, data_centre, most, self.now())
    }

    /// Whether there are nodes that go by what others read.
    pub fn has_followers(&self) -> bool {
        self.peers.lock().heard(self.now()).count() >= ALL_READ
    }

    /// The store answered a question that was sent at `sent`; what it says.
    ///
    /// # Errors
    ///
    /// [`StoreError::Earlier`]: nothing, for it is of a past that is over.
    pub fn take_answer<T>(&self, answer: Answer<T>, sent: Millis) -> Result<T, StoreError> {
        let (said, has_returned) = self.store_monitor.take(answer, sent, self.now())?;
        if has_returned {
            self.store_returned();
        }
        Ok(said)
    }

    /// Another node has known this past of the store since `since`.
    pub fn hear_of_past(&self, era: Era, since: Millis) {
        if self.store_monitor.observe(era, since) == EraOrder::Newer {
            self.store_returned();
        }
    }

    /// The store has come back from a copy. What this node holds of it stands, but is read
    /// anew, and what was kept there and may be lost is kept again.
    fn store_returned(&self) {
        emit(Event::StoreReturned, &[("era", &self.store_monitor.era().to_string())]);
        if self.keeps_anew() {
            self.quarantine.lock().mark_all_unsaved();
            self.keep_wanted.notify_one();
        }
        self.heartbeat_wanted.notify_one();
        self.lease_wanted.notify_one();
        self.list_wanted.notify_one();
        self.list_wanted_anew.notify_one();
        self.config_wanted_anew.notify_one();
    }

    /// Whether this node writes again what the store has lost: two of each data centre do,
    /// so that one of them may be gone, and hundreds do not write the same.
    pub fn keeps_anew(&self) -> bool {
        self.is_among_first(KEEPERS)
    }

    /// Whether a configuration that the store gave may be one of its past: after a return
    /// from a copy others may hold a newer one, whom a node that starts has not heard yet.
    pub fn is_surpassed(&self, version: u64) -> bool {
        if self.store_monitor.era() == Era::default() {
            return false;
        }
        let is_new = !self.settings().node.is_first_start && self.age() < HEARS_WITHIN;
        let now = self.now();
        let (newest, is_alone) = {
            let peers = self.peers.lock();
            (peers.newest_config(now), peers.heard(now).next().is_none())
        };
        let is_held = self.config_age().is_some_and(|(held, _)| held >= version);
        !is_held && (newest > Some(version) || (is_new && (is_alone || !self.is_settled())))
    }

    /// How long ago a question was sent that the store answered.
    pub fn store_silent_for(&self) -> Millis {
        self.now().since(self.store_monitor.answered())
    }
}
