//! Forwarding of new records of the instance list: which node forwards to which, how records are
//! split into datagrams, and when a node that has missed some fetches them.
//!
//! The nodes of a data centre form a tree by their rank. The first of them, which read the
//! store, are its roots. Each node forwards new records to [`CHILDREN_PER_NODE`] others once it has
//! received them. So the traffic of a node does not grow with the number of nodes, and the last
//! of 340 nodes receives a change after three hops. Datagrams get lost and nodes die, so the
//! tree is not relied on alone: heartbeats and digests tell where the list ends, and a node
//! that has been behind that for [`GAP_GRACE_PERIOD`] fetches the missing records from a peer.

use std::net::SocketAddr;

use workshold_core::hosted::store_era::LogPosition;
use workshold_protocol::Millis;

use crate::peers::ListNews;
use crate::peers::ListRecord;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::peers::exchange::LocalNode;
use crate::peers::packing::packed_len;

/// Number of nodes of a data centre that read the store on behalf of all: enough that the store
/// may turn a third of them away.
pub const STORE_READERS: usize = 4;
/// Number of nodes that each node forwards to.
pub const CHILDREN_PER_NODE: usize = 4;
/// Most bytes of compressed records in one datagram, which together with the other fields has
/// to fit the receive buffer of 8 KiB.
const MAX_PACKED_BYTES: usize = 7 * 1024;
/// Most bytes of uncompressed records for which compression into one datagram is tried: they
/// shrink to between a third and a tenth.
const MAX_UNCOMPRESSED_BYTES: usize = 64 * 1024;
/// Most datagrams for one update. More would be the whole list of thousands of instances, which
/// nodes fetch instead.
const MAX_DATAGRAMS: usize = 32;
/// Records that are outstanding for this long count as missed: the tree takes three hops of some
/// milliseconds, and each forwarding node waits up to 40 ms to batch records.
pub const GAP_GRACE_PERIOD: Millis = Millis(120);

impl Peers {
    /// The nodes to which this one forwards new records. If `has_read_itself`, it has read them
    /// from the store and forwards them to the other data centres too.
    pub fn news_recipients(
        &self,
        own: &LocalNode<'_>,
        has_read_itself: bool,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let nearby = self.peers_by_rank(own.data_centre, now);
        let own_rank = super::rank(own.name, self.class);
        let index = nearby.partition_point(|(rank, _)| *rank < own_rank);
        // `nearby` lacks this node, so that the nodes after it have an index lower by one.
        let at = |i: usize| nearby.get(if i > index { i - 1 } else { i });
        let first_child = STORE_READERS + index * CHILDREN_PER_NODE;
        let children = first_child..first_child + CHILDREN_PER_NODE;
        let roots = (0..STORE_READERS).filter(|i| index < STORE_READERS && *i != index);
        let mut recipients: Vec<SocketAddr> =
            roots.chain(children).filter_map(at).map(|(_, address)| *address).collect();
        if has_read_itself {
            recipients.extend(self.first_of_other_data_centres(own, now));
        }
        recipients
    }

    /// The nodes of a data centre that are heard, without this one, ordered by rank.
    fn peers_by_rank(&self, data_centre: &str, now: Millis) -> Vec<(u32, SocketAddr)> {
        let nearby = self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == data_centre);
        let mut nearby: Vec<_> = nearby.map(|(address, peer)| (peer.rank, *address)).collect();
        nearby.sort_unstable();
        nearby
    }

    /// The first node by rank of each other data centre.
    fn first_of_other_data_centres(&self, own: &LocalNode<'_>, now: Millis) -> Vec<SocketAddr> {
        let data_centres = self.other_data_centres(own, now);
        let first = |name: &_| self.peers_by_rank(name, now).first().map(|(_, address)| *address);
        data_centres.iter().filter_map(|name| first(name)).collect()
    }

    /// The peer from which a node that holds version `own` of the configuration fetches a newer
    /// one: one of those that are best equipped, of the same data centre if possible. It is selected
    /// by the random number `draw`.
    pub fn config_source(
        &self,
        own_node: &LocalNode<'_>,
        own: Option<u64>,
        draw: usize,
        now: Millis,
    ) -> Option<SocketAddr> {
        let version = |peer: &Peer| peer.heartbeat.config.map(|(version, _)| version);
        let newer = self.heard(now).filter(|(_, peer)| version(peer) > own);
        let order = |peer: &Peer| {
            let is_distant = peer.heartbeat.data_centre != own_node.data_centre;
            (is_distant, peer.rank >> super::HASH_BITS)
        };
        let newer: Vec<_> = newer.map(|(address, peer)| (order(peer), *address)).collect();
        let best = newer.iter().map(|(order, _)| *order).min()?;
        let among: Vec<_> = newer.iter().filter(|(order, _)| *order == best).collect();
        among.get(draw.checked_rem(among.len())?).map(|(_, address)| *address)
    }

    /// The peer from which a node whose list ends at `next` fetches records: one whose list goes on
    /// beyond that, of the same data centre if possible. It is selected by the random number
    /// `draw`, or all nodes that missed the same records would ask the same peer.
    pub fn fetch_source(
        &self,
        own: &LocalNode<'_>,
        next: Option<LogPosition>,
        draw: usize,
        now: Millis,
    ) -> Option<SocketAddr> {
        let ends = |peer: &Peer| peer.heartbeat.list.map(|(next, _)| next);
        let ahead = self.heard(now).filter(|(_, peer)| ends(peer) > next);
        let (nearby, distant): (Vec<_>, Vec<_>) =
            ahead.partition(|(_, peer)| peer.heartbeat.data_centre == own.data_centre);
        let among = if nearby.is_empty() { distant } else { nearby };
        let drawn = draw.checked_rem(among.len())?;
        among.get(drawn).map(|(address, _)| **address)
    }
}

/// Tracks whether peers have records of the list that this node lacks.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListGap {
    end: LogPosition,
    since: Option<Millis>,
}

impl ListGap {
    /// Notes that a peer's list ends at `end` and this node's at `own`. Returns whether records
    /// are missing now and none were before.
    pub fn on_peer_list_end(
        &mut self,
        own: Option<LogPosition>,
        end: LogPosition,
        now: Millis,
    ) -> bool {
        if own >= Some(end) {
            return false;
        }
        let is_new_gap = self.since.is_none();
        self.end = self.end.max(end);
        self.since = self.since.or(Some(now));
        is_new_gap
    }

    /// Notes that this node's list now ends at `own`.
    pub fn on_own_list_end(&mut self, own: LogPosition) {
        if own >= self.end {
            self.since = None;
        }
    }

    /// Time from `now` until missing records are fetched from a peer; `None` if none are missing.
    pub fn time_until_fetch(&self, now: Millis) -> Option<Millis> {
        self.since.map(|since| (since + GAP_GRACE_PERIOD).since(now))
    }
}

impl ListNews {
    /// Splits the records so that each part fits one datagram and starts where the last one ends.
    /// Returns none if that takes more than [`MAX_DATAGRAMS`] parts, or if one record alone is too
    /// long.
    pub fn into_datagrams(mut self) -> Vec<Self> {
        let mut records = std::mem::take(&mut self.records);
        records.sort_by_key(|record| record.place);
        let mut parts = Vec::new();
        split(&records, &mut parts);
        // Parts of several records have been halved until they fit; a single record may not.
        let is_too_long =
            |part: &&[ListRecord]| part.len() == 1 && packed_len(part) > MAX_PACKED_BYTES;
        if parts.len() > MAX_DATAGRAMS || parts.iter().any(is_too_long) {
            return Vec::new();
        }
        let mut into_datagrams: Vec<Self> =
            parts.into_iter().map(|part| Self { records: part.to_vec(), ..self }).collect();
        for i in 1..into_datagrams.len() {
            let from = into_datagrams[i].records[0].place;
            into_datagrams[i].from = from;
            into_datagrams[i - 1].next = from;
        }
        into_datagrams
    }
}

/// Halves the records until each part fits one datagram or is a single record.
fn split<'a>(records: &'a [ListRecord], parts: &mut Vec<&'a [ListRecord]>) {
    let len: usize = records.iter().map(|record| record.value.len()).sum();
    let fits = len <= MAX_UNCOMPRESSED_BYTES && packed_len(records) <= MAX_PACKED_BYTES;
    if fits || records.len() <= 1 {
        parts.push(records);
        return;
    }
    let (first, second) = records.split_at(records.len() / 2);
    split(first, parts);
    split(second, parts);
}
