//! Forwarding of new records of the instance list: which node forwards to which, how records are
//! split into datagrams, and when a node that has missed some fetches them.
//!
//! The nodes of a data centre form a tree by their rank. The first of them, which read the
//! store, are its roots. Each node forwards new records to [`CHILDREN`] others once it has
//! received them. So the traffic of a node does not grow with the number of nodes, and the last
//! of 340 nodes receives a change after three hops. Datagrams get lost and nodes die, so the
//! tree is not relied on alone: heartbeats and digests tell where the list ends, and a node
//! that has been behind that for [`PATIENCE`] fetches the missing records from a peer.

use std::net::SocketAddr;

use workshold_core::hosted::store_era::LogPosition;
use workshold_protocol::Millis;

use crate::peers::ListNews;
use crate::peers::ListRecord;
use crate::peers::Peers;
use crate::peers::exchange::LocalNode;
use crate::peers::packing::packed_len;

/// Number of nodes of a data centre that read the store on behalf of all: enough that the store
/// may turn a third of them away.
pub const STORE_READERS: usize = 4;
/// Number of nodes that each node forwards to.
pub const CHILDREN: usize = 4;
/// Most bytes of compressed records in one datagram, which together with the other fields has
/// to fit the receive buffer of 8 KiB.
const MOST_BYTES: usize = 7 * 1024;
/// Most bytes of uncompressed records for which compression into one datagram is tried: they
/// shrink to between a third and a tenth.
const MOST_UNPACKED: usize = 64 * 1024;
/// Most datagrams for one update. More would be the whole list of thousands of instances, which
/// nodes fetch instead.
const MOST_PIECES: usize = 32;
/// Records that are outstanding for this long count as missed: the tree takes three hops of some
/// milliseconds, and each forwarding node waits up to 40 ms to batch records.
pub const PATIENCE: Millis = Millis(120);

impl Peers {
    /// The nodes to which this one forwards new records; `is_first` tells that it read them from
    /// the store itself, and forwards them to the other data centres too.
    pub fn news_recipients(
        &self,
        own: &LocalNode<'_>,
        is_first: bool,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let near = self.in_order(own.data_centre, now);
        let own_rank = super::rank(own.name, self.class);
        let place = near.partition_point(|(rank, _)| *rank < own_rank);
        // `near` lacks this node, so that the nodes behind its place have an index one lower.
        let at = |i: usize| near.get(if i > place { i - 1 } else { i });
        let first_child = STORE_READERS + place * CHILDREN;
        let children = first_child..first_child + CHILDREN;
        let roots = (0..STORE_READERS).filter(|i| place < STORE_READERS && *i != place);
        let mut told: Vec<SocketAddr> =
            roots.chain(children).filter_map(at).map(|(_, address)| *address).collect();
        if is_first {
            told.extend(self.first_of_others(own, now));
        }
        told
    }

    /// The nodes of a data centre that are heard, without this one, ordered by rank.
    fn in_order(&self, data_centre: &str, now: Millis) -> Vec<(u32, SocketAddr)> {
        let near = self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == data_centre);
        let mut near: Vec<_> = near.map(|(address, peer)| (peer.rank, *address)).collect();
        near.sort_unstable();
        near
    }

    /// The first node by rank of each other data centre.
    fn first_of_others(&self, own: &LocalNode<'_>, now: Millis) -> Vec<SocketAddr> {
        let places = self.far(own, now);
        let first = |place: &_| self.in_order(place, now).first().map(|(_, address)| *address);
        places.iter().filter_map(|place| first(place)).collect()
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
        let ends = |peer: &super::Peer| peer.heartbeat.list.map(|(next, _)| next);
        let ahead = self.heard(now).filter(|(_, peer)| ends(peer) > next);
        let (near, far): (Vec<_>, Vec<_>) =
            ahead.partition(|(_, peer)| peer.heartbeat.data_centre == own.data_centre);
        let among = if near.is_empty() { far } else { near };
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
        let is_first = self.since.is_none();
        self.end = self.end.max(end);
        self.since = self.since.or(Some(now));
        is_first
    }

    /// Notes that this node's list now ends at `own`.
    pub fn on_own_list_end(&mut self, own: LogPosition) {
        if own >= self.end {
            self.since = None;
        }
    }

    /// Time from `now` until missing records are fetched from a peer; `None` if none are missing.
    pub fn time_until_fetch(&self, now: Millis) -> Option<Millis> {
        self.since.map(|since| (since + PATIENCE).since(now))
    }
}

impl ListNews {
    /// Splits the records so that each part fits one datagram and starts where the last one ends.
    /// Returns none if that takes more than [`MOST_PIECES`] parts, or one record alone is too long.
    pub fn into_datagrams(mut self) -> Vec<Self> {
        let mut records = std::mem::take(&mut self.records);
        records.sort_by_key(|record| record.place);
        let mut parts = Vec::new();
        split(&records, &mut parts);
        // Parts of several records have been halved until they fit; a single record may not.
        let is_too_long = |part: &&[ListRecord]| part.len() == 1 && packed_len(part) > MOST_BYTES;
        if parts.len() > MOST_PIECES || parts.iter().any(is_too_long) {
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
    let fits = len <= MOST_UNPACKED && packed_len(records) <= MOST_BYTES;
    if fits || records.len() <= 1 {
        parts.push(records);
        return;
    }
    let (first, second) = records.split_at(records.len() / 2);
    split(first, parts);
    split(second, parts);
}
