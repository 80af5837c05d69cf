//! Which nodes read the store on behalf of others, and how its answers are accepted.

use workshold_core::hosted::lease_candidacy::LeaseView;
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

/// With fewer other nodes than this, each node reads the store itself.
const MIN_PEERS_FOR_FOLLOWERS: usize = 12;
/// Nodes per data centre that write again what the store lost in a restore.
const REWRITERS_PER_DATA_CENTRE: usize = 2;
/// A starting node has heard its peers by this age, or cannot hear any.
const PEERS_HEARD_WITHIN: Millis = Millis(2_500);
/// The nodes that read the store count as cut off from it if it has not answered them for
/// longer than this: more than the renewal interval of a lease without partitions, plus a late
/// answer and a late heartbeat. With the check of it and an answer that makes 2.5 s, within the
/// 3 s that are allowed to nodes that are not cut off.
const READERS_CUT_OFF_AFTER: Millis = Millis(1_800);
/// Time over which the nodes of a fleet that starts for the first time are staggered before
/// they read the store and take the lease. The first callers come some seconds later, and it
/// is long enough that the first of hundreds of nodes have read what the others need.
const FIRST_START_STAGGER: Millis = Millis(800);

impl Node {
    /// Whether a partition of the lease waits for a read of the list that began after it was
    /// taken.
    pub fn needs_list_reread(&self) -> bool {
        let read_at = self.list.lock().read_at;
        self.lease
            .lock()
            .parts
            .values()
            .any(|partition_lease| partition_lease.needs_list_reread(read_at))
    }

    /// Whether this node knows its peers as far as it can: there are no addresses to ask, or it
    /// knows of about as many nodes as the relays that it asked. At the first start of a fleet all
    /// nodes start at once; each waits for a time that grows with its rank, so that there are nodes
    /// to ask.
    pub fn knows_peers(&self) -> bool {
        if self.settings().node.is_first_start && self.age() < self.start_stagger() {
            return false;
        }
        !self.peers.lock().misses_nodes(self.now())
    }

    /// How long this node waits at the first start of a fleet; it grows with its rank.
    pub fn start_stagger(&self) -> Millis {
        let settings = self.settings();
        let own_rank = rank(&settings.node.name, settings.limits.class());
        Millis((u64::from(own_rank) * FIRST_START_STAGGER.0) >> u32::BITS)
    }

    /// Whether this node reads the store itself. With many nodes only a few of each data centre
    /// do, and the others rely on what these have read.
    pub fn is_store_reader(&self) -> bool {
        !self.has_followers() || self.ranks_first(news::STORE_READERS)
    }

    /// Whether the nodes that read the store for this one may be cut off from it, while this node
    /// may still reach it: the store has not answered any of them for longer than
    /// [`READERS_CUT_OFF_AFTER`].
    pub fn are_readers_cut_off(&self) -> bool {
        let settings = self.settings();
        let now = self.now();
        let answered =
            self.peers.lock().readers_answered_at(settings.node.data_centre.as_str(), now);
        answered.is_some_and(|at| now.since(at) > READERS_CUT_OFF_AFTER)
    }

    /// Whether this node hears fewer than half of the other nodes that may exist: then updates
    /// that they send each other may not reach it.
    pub fn hears_few_peers(&self) -> bool {
        let peers = self.peers.lock();
        let others = peers.max_node_count() - 1;
        peers.heard(self.now()).count() * 2 < others
    }

    /// Milliseconds since a read of the list last failed, capped at [`LIST_TROUBLE_MAX_AGE_MS`];
    /// `None` if this node does not read the store. Heartbeats carry it to the nodes that rely on
    /// this one's reads.
    pub fn list_failure_age_ms(&self) -> Option<u32> {
        if !self.is_store_reader() {
            return None;
        }
        let last_failure_at = self.list.lock().trust.last_failure_at();
        let age = last_failure_at.and_then(|at| u32::try_from(self.now().since(at).0).ok());
        Some(age.unwrap_or(LIST_TROUBLE_MAX_AGE_MS).min(LIST_TROUBLE_MAX_AGE_MS))
    }

    /// Whether this node holds a partition of the lease and has renewed it in time.
    pub fn holds_lease(&self) -> bool {
        let ttl = self.settings().lease_ttl();
        let lease = self.lease.lock();
        !lease.parts.is_empty() && self.now().since(lease.renewed_at) < ttl
    }

    /// What this node knows for its decision whether to stand for the lease. In a small fleet
    /// every node does.
    pub fn lease_view(&self) -> LeaseView {
        let now = self.now();
        let settings = self.settings();
        let has_followers = self.has_followers();
        let holds_itself = self.holds_lease();
        let peers = self.peers.lock();
        let totals = peers.totals(now);
        let own_holds = usize::from(holds_itself && peers.totals_include_self(now));
        let before = peers.nodes_before_for_lease(&settings.own(), settings.store.parts, now);
        LeaseView {
            nodes_before: before.filter(|_| has_followers),
            holders: totals.lease_holders.saturating_sub(own_holds),
            is_store_answering: totals
                .store_answered
                .is_some_and(|at| now.since(at) < READERS_CUT_OFF_AFTER),
        }
    }

    /// Whether this node is one of its data centre's relays.
    pub fn is_relay(&self) -> bool {
        self.peers.lock().is_relay(&self.settings().own(), self.now())
    }

    /// Whether this node is among the first `most` of its data centre by rank.
    fn ranks_first(&self, most: usize) -> bool {
        let settings = self.settings();
        let data_centre = settings.node.data_centre.as_str();
        self.peers.lock().ranks_among_first(&settings.node.name, data_centre, most, self.now())
    }

    /// Whether this node hears others, and knows of so few that each reads the store itself.
    pub fn is_in_small_fleet(&self) -> bool {
        let peers = self.peers.lock();
        let hears_any = peers.heard(self.now()).next().is_some();
        hears_any && peers.addresses().len() < MIN_PEERS_FOR_FOLLOWERS
    }

    /// Whether there are so many nodes that some rely on what others read.
    pub fn has_followers(&self) -> bool {
        self.peers.lock().heard(self.now()).count() >= MIN_PEERS_FOR_FOLLOWERS
    }

    /// Accepts the store's answer to a request sent at `sent` and returns its content.
    ///
    /// # Errors
    ///
    /// [`StoreError::Earlier`] if the answer belongs to an era of the store that is over.
    pub fn take_answer<T>(&self, answer: Answer<T>, sent: Millis) -> Result<T, StoreError> {
        let (content, was_restored) = self.store_monitor.take(answer, sent, self.now())?;
        if was_restored {
            self.on_store_restored();
        }
        Ok(content)
    }

    /// Handles a peer's report that it has known this era of the store since `since`.
    pub fn on_peer_era(&self, era: Era, since: Millis) {
        if self.store_monitor.observe(era, since) == EraOrder::Newer {
            self.on_store_restored();
        }
    }

    /// Called when the store was restored from a snapshot. The data that this node holds stays in
    /// use but is read again, and records that the restore may have lost are written again.
    fn on_store_restored(&self) {
        emit(Event::StoreReturned, &[("era", &self.store_monitor.era().to_string())]);
        if self.rewrites_lost_records() {
            self.quarantine.lock().mark_all_unsaved();
            self.quarantine_save_wanted.notify_one();
        }
        self.heartbeat_wanted.notify_one();
        self.lease_renewal_wanted.notify_one();
        self.list_read_wanted.notify_one();
        self.list_reread_wanted.notify_one();
        self.config_reread_wanted.notify_one();
    }

    /// Whether this node writes again what the store lost in a restore. Two nodes of each data
    /// centre do, so that one of them may be down and hundreds do not write the same records.
    pub fn rewrites_lost_records(&self) -> bool {
        self.ranks_first(REWRITERS_PER_DATA_CENTRE)
    }

    /// Whether a configuration read from the store may be outdated: after a restore from a snapshot
    /// a peer may hold a newer one, and a starting node may not have heard that peer yet.
    pub fn may_be_outdated(&self, version: u64) -> bool {
        if self.store_monitor.era() == Era::default() {
            return false;
        }
        let is_starting = !self.settings().node.is_first_start && self.age() < PEERS_HEARD_WITHIN;
        let now = self.now();
        let (newest, is_alone) = {
            let peers = self.peers.lock();
            (peers.newest_config(now), peers.heard(now).next().is_none())
        };
        let is_held = self.config_age().is_some_and(|(held, _)| held >= version);
        !is_held && (newest > Some(version) || (is_starting && (is_alone || !self.knows_peers())))
    }

    /// Time since the last request was sent that the store has answered.
    pub fn store_silent_for(&self) -> Millis {
        self.now().since(self.store_monitor.answered())
    }
}
