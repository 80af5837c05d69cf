//! Passing on what has come to the list of instances: who tells whom, in how many
//! datagrams, and when a node that has missed something asks for it.
//!
//! The nodes of a data centre stand in a tree, in the order that all see alike. The first of
//! them, who read the store, are its roots; each node tells [`CHILDREN`] others, once it has
//! heard something new itself. So what a node sends does not grow with the number of nodes,
//! and the last of 340 hears of a change after three steps. Datagrams are lost and nodes
//! die, so nobody relies on the tree alone: pulses and digests say where the list ends, and
//! whoever is behind that for [`PATIENCE`] asks one that is not.

use std::net::SocketAddr;

use workshold_core::hosted::store_era::LogPosition;
use workshold_protocol::Millis;

use crate::peers::ListNews;
use crate::peers::ListRecord;
use crate::peers::Peers;
use crate::peers::exchange::LocalNode;
use crate::peers::packing::packed_len;

/// Nodes of a data centre that read the store for all of it: so many that a third of them
/// may be turned away.
pub const STORE_READERS: usize = 4;
/// Nodes that each one tells.
pub const CHILDREN: usize = 4;
/// The most bytes of packed entries in one datagram: with what stands beside them it has to
/// fit into what a node takes.
const MOST_BYTES: usize = 7 * 1024;
/// The most bytes of entries that are tried to be packed into one: they become a third to a
/// tenth of it.
const MOST_UNPACKED: usize = 64 * 1024;
/// The most datagrams for what has changed between two of them: more is a whole list of
/// thousands of instances, for which nodes ask.
const MOST_PIECES: usize = 32;
/// What is behind for this long has been missed: the tree takes three steps of some
/// milliseconds, and those who tell wait up to 40 ms for more.
pub const PATIENCE: Millis = Millis(120);

impl Peers {
    /// Whom a node tells what is new to it. `is_first` says that it read it itself.
    pub fn news_recipients(
        &self,
        own: &LocalNode<'_>,
        is_first: bool,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let near = self.in_order(own.data_centre, now);
        let own_rank = super::rank(own.name, self.class);
        let place = near.partition_point(|(rank, _)| *rank < own_rank);
        // With this node at its place, all others stand one farther.
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

    /// The nodes of a data centre that are heard, this one not among them, in the order that
    /// all see alike.
    fn in_order(&self, data_centre: &str, now: Millis) -> Vec<(u32, SocketAddr)> {
        let near = self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == data_centre);
        let mut near: Vec<_> = near.map(|(address, peer)| (peer.rank, *address)).collect();
        near.sort_unstable();
        near
    }

    /// The first root of each other data centre.
    fn first_of_others(&self, own: &LocalNode<'_>, now: Millis) -> Vec<SocketAddr> {
        let places = self.far(own, now);
        let first = |place: &_| self.in_order(place, now).first().map(|(_, address)| *address);
        places.iter().filter_map(|place| first(place)).collect()
    }

    /// Who is asked by a node whose list ends at `next`: one whose list is known to go on, a
    /// near one if there is any. `draw` is any number: all who missed the same would
    /// otherwise ask the same node.
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

/// What is missing between what a node has and what others say that there is.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListGap {
    end: LogPosition,
    since: Option<Millis>,
}

impl ListGap {
    /// Somebody's list ends at `end`, this node's at `own`. Returns whether that is the
    /// first word of something missing.
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

    /// This node's list ends at `own` now.
    pub fn on_own_list_end(&mut self, own: LogPosition) {
        if own >= self.end {
            self.since = None;
        }
    }

    /// How long from `now` until a peer is asked, if anything is missing.
    pub fn time_until_fetch(&self, now: Millis) -> Option<Millis> {
        self.since.map(|since| (since + PATIENCE).since(now))
    }
}

impl ListNews {
    /// The same in as many pieces as fit into one datagram each, every one going on where
    /// the last one ended; none if that were too many.
    pub fn into_datagrams(mut self) -> Vec<Self> {
        let mut records = std::mem::take(&mut self.records);
        records.sort_by_key(|record| record.place);
        let mut parts = Vec::new();
        split(&records, &mut parts);
        // What was halved to the last fits, but for a record that alone is too long.
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

/// Halves records until each part fits into one datagram.
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
