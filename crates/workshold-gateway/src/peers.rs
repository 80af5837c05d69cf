//! Who is heard, what all of them say together, and who tells whom what.
//!
//! In each data centre a few nodes are its relays: the first by an order that all nodes see
//! alike, of those that are heard. A node tells them how it is; they put that together,
//! tell the relays of other data centres, and tell all others of their own. So what a node
//! sends and takes does not grow with the number of nodes, and a relay's part grows with
//! those of its data centre alone. Any relay is as good as the next: with one lost the
//! others' digests go on, and another node takes its place once it is missed. Where a data
//! centre has no more nodes than relays, all of them are.
//!
//! - [`messages`]: what is said.
//! - [`exchange`]: who says what to whom.
//! - [`news`]: how what has come to the list of instances is passed on, [`packing`]: packed.

pub mod exchange;
pub mod messages;
pub mod news;
pub mod packing;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use smol_str::SmolStr;
use workshold_core::hosted::node_census::NodeCensus;
use workshold_protocol::Millis;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::loads::Load;
use crate::peers::exchange::LocalNode;

pub use self::messages::Ask;
pub use self::messages::Datagram;
pub use self::messages::Digest;
pub use self::messages::Heartbeat;
pub use self::messages::LIST_TROUBLE_MAX_AGE_MS;
pub use self::messages::ListNews;
pub use self::messages::ListRecord;
pub use self::messages::Message;
pub use self::messages::Scope;
pub use self::messages::VERSION;
pub use self::messages::WireLimit;
pub use self::messages::WireLoad;
pub use self::messages::WireNode;
pub use self::messages::WireQuarantineEntry;
pub use self::messages::WireReach;
pub use self::messages::WireWorkload;

/// Another node as it is heard.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name, once it was heard itself.
    pub name: SmolStr,
    /// Its place in the order that all nodes see alike.
    pub rank: u32,
    /// Its last pulse, or what relays have told of it.
    pub heartbeat: Heartbeat,
    /// When it was last heard, by this node or by a relay.
    pub heard: Millis,
    /// When this node itself last heard it.
    direct: Option<Millis>,
    /// Silence after which it is not counted on.
    silent_after: Millis,
}

/// Others that a pulse names.
const SAMPLE: usize = 6;

impl Peer {
    fn is_heard(&self, now: Millis) -> bool {
        now.since(self.heard) < self.silent_after
    }

    /// Whether this node hears it itself.
    fn is_direct(&self, now: Millis) -> bool {
        self.direct.is_some_and(|at| now.since(at) < silent_after(&self.heartbeat))
    }
}

/// Silence after which a node that says how it is itself is not counted on.
fn silent_after(heartbeat: &Heartbeat) -> Millis {
    Millis(u64::from(heartbeat.next_ms) * PULSES_MISSED).max(SILENT_LEAST) + PULSE_LATE
}

/// A node's place in the order that all nodes see alike: those that carry work for others
/// well come first.
pub fn rank(name: &str, class: u8) -> u32 {
    let class = u32::from(class).min(u32::MAX >> HASH_BITS);
    class << HASH_BITS | xxh3_64(name.as_bytes()) as u32 >> (u32::BITS - HASH_BITS)
}

const HASH_BITS: u32 = 30;

/// The place of the node with this rank in an order of an instance's own: another one for each
/// instance, so that no node does for all of them what only a few do.
fn place(instance: u32, rank: u32) -> u64 {
    xxh3_64_with_seed(&instance.to_le_bytes(), u64::from(rank))
}

/// A relay's digest as it came.
#[derive(Debug, Clone)]
struct Heard {
    digest: Digest,
    at: Millis,
}

/// All that is known of other nodes.
#[derive(Debug, Default)]
pub struct Peers {
    /// How well this node carries work for others, 0 best.
    class: u8,
    /// Where to send datagrams, and since when nothing was heard from there.
    addresses: BTreeMap<SocketAddr, Millis>,
    by_address: BTreeMap<SocketAddr, Peer>,
    sharers: NodeCensus<SocketAddr>,
    /// The newest digest of all nodes, from one of this node's own relays.
    of_all: Option<Heard>,
    /// The newest digest of each other data centre.
    of_data_centres: BTreeMap<SmolStr, Heard>,
    /// How many nodes another one hears of, as it last said.
    most_heard: Option<u16>,
    /// What this node last said that it has at instances.
    told: HashMap<u32, Load>,
    /// Nodes that have changed, and when: they are told of first.
    changed: BTreeMap<SocketAddr, Millis>,
    /// Nodes that have fallen silent, by this node's own ears as a relay or by others' word.
    gone: BTreeSet<SocketAddr>,
    /// When a silent node was last sought, in case parts of a fleet have lost each other.
    sought_at: Millis,
    /// The last node that was told of in turn, by scope.
    turns: [Option<SocketAddr>; 2],
}

/// A peer that was not heard for so many of its pulses, and a little, is not counted on.
const PULSES_MISSED: u64 = 3;
const PULSE_LATE: Millis = Millis(200);
/// However often it says how it is: a node that is slow for a moment is still there.
const SILENT_LEAST: Millis = Millis(900);
/// Whoever seeks relays is counted on for this long: until they tell of it.
const SEEKER_KNOWN: Millis = Millis(3_000);
/// An address from which nothing was heard for this long is dropped.
const FORGET_AFTER: Millis = Millis::from_secs(20);
/// A digest stands for what it sums up for this long: three relays that say one each 0.3 s
/// are not all late by that much.
const DIGEST_STANDS: Millis = Millis(1_200);

impl Heard {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.at) < DIGEST_STANDS
    }
}

impl Peers {
    /// Those of a node that carries work for others like this, 0 best.
    pub fn with_class(class: u8) -> Self {
        Self { class, ..Self::default() }
    }

    /// There may be a node at this address.
    pub fn add(&mut self, address: SocketAddr, now: Millis) {
        self.addresses.entry(address).or_insert(now);
        self.sharers.on_seen(address, now);
    }

    /// The store, asked at `at`, named nodes at these addresses.
    pub fn on_listed(&mut self, addresses: &[SocketAddr], at: Millis) {
        for address in addresses {
            self.addresses.entry(*address).or_insert(at);
        }
        self.sharers.on_listed(addresses.iter().copied(), at);
    }

    /// How many nodes there may be with this one, heard or not.
    pub fn max_node_count(&self) -> usize {
        self.sharers.count() + 1
    }

    /// Some of those that are heard: `draw` is any number.
    pub fn sample(&self, draw: u64, now: Millis) -> Vec<SocketAddr> {
        let heard: Vec<SocketAddr> = self.heard(now).map(|(address, _)| *address).collect();
        let start = draw as usize % heard.len().max(1);
        let turned = heard.iter().cycle().skip(start);
        turned.take(heard.len().min(SAMPLE)).copied().collect()
    }

    /// Where callers connect to those nodes.
    pub fn callers_of(&self, nodes: &[SocketAddr]) -> Vec<SocketAddr> {
        let known = nodes.iter().filter_map(|node| self.by_address.get(node));
        known.map(|peer| peer.heartbeat.callers).collect()
    }

    /// A pulse came, at `own`. Returns whether it says something that others wait for.
    pub fn on_heartbeat(
        &mut self,
        own: SocketAddr,
        from: SocketAddr,
        name: SmolStr,
        heartbeat: Heartbeat,
        now: Millis,
    ) -> bool {
        heartbeat.hears.iter().filter(|address| **address != own).for_each(|address| {
            self.add(*address, now);
        });
        self.addresses.insert(from, now);
        self.sharers.on_seen(from, now);
        let was_gone = self.gone.remove(&from);
        let last = self.by_address.get(&from);
        let is_new = was_gone || last.is_none_or(|last| !last.is_heard(now));
        let is_news = last.is_some_and(|last| is_news(&last.heartbeat, &heartbeat));
        if is_new || is_news {
            self.changed.insert(from, now);
        }
        // Whoever seeks relays says so to anybody, and not again: it is known by what they
        // tell of it.
        let direct = if heartbeat.seeks { last.and_then(|last| last.direct) } else { Some(now) };
        let told = match last {
            _ if !heartbeat.seeks => Millis::ZERO,
            Some(last) => last.silent_after,
            None => SEEKER_KNOWN,
        };
        let silent_after = silent_after(&heartbeat).max(told);
        let rank = rank(&name, heartbeat.class);
        self.by_address
            .insert(from, Peer { name, rank, heartbeat, heard: now, direct, silent_after });
        is_news
    }

    /// Everywhere that datagrams go.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.keys().copied().collect()
    }

    /// Those that are heard, by this node or by relays.
    pub fn heard(&self, now: Millis) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.by_address.iter().filter(move |(_, peer)| peer.is_heard(now))
    }

    /// Whether a node is among the first `most` of a data centre that are heard, in an
    /// order that all of them see alike.
    pub fn ranks_among_first(
        &self,
        name: &str,
        data_centre: &str,
        most: usize,
        now: Millis,
    ) -> bool {
        let own = rank(name, self.class);
        let near = self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == data_centre);
        let before = near.filter(|(_, peer)| peer.rank < own);
        before.take(most).count() < most
    }

    /// Requests at instances by the word of all other nodes.
    pub fn loads(&self, now: Millis) -> HashMap<u32, Load> {
        let mut sums = self.sums(now).loads();
        if self.sums_hold_own(now) {
            // The relays' sums hold what this node has told them.
            for (instance, load) in &self.told {
                sums.entry(*instance).and_modify(|sum| *sum = sum.less(*load));
            }
        }
        sums
    }

    /// Whether a node is among the `most` of its data centre that try an instance for all
    /// nodes: others for each instance, so that none is buried in tries nor bears all of
    /// them.
    pub fn is_witness(&self, own: &LocalNode<'_>, instance: u32, most: usize, now: Millis) -> bool {
        let own_place = place(instance, rank(own.name, self.class));
        let near =
            self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == own.data_centre);
        near.filter(|(_, peer)| place(instance, peer.rank) < own_place).take(most).count() < most
    }

    /// Whether a node is among the first `senders` that serve, by an order of the instance's own.
    pub fn is_among_senders(&self, name: &str, instance: u32, senders: usize, now: Millis) -> bool {
        let own_place = place(instance, rank(name, self.class));
        let others = self.heard(now).map(|(_, peer)| peer).filter(|peer| peer.heartbeat.is_ready);
        let before = others.filter(|peer| place(instance, peer.rank) < own_place);
        before.take(senders).count() < senders
    }

    /// When the list was last in trouble for all who read it, those of a data centre if
    /// there are any: what one of them reads without trouble is as it should be.
    pub fn list_trouble_at(&self, data_centre: &str, now: Millis) -> Option<Millis> {
        let at = |(peer, age): (&Peer, u32)| {
            (age < LIST_TROUBLE_MAX_AGE_MS).then(|| peer.heard - Millis(age.into()))
        };
        self.readers(data_centre, now).into_iter().map(at).min().flatten()
    }

    /// When the store last answered any of those who read it, as above; `None` if none of
    /// them is heard.
    pub fn readers_answered(&self, data_centre: &str, now: Millis) -> Option<Millis> {
        let readers = self.readers(data_centre, now).into_iter();
        readers.map(|(peer, _)| peer.heard - Millis(peer.heartbeat.store_age_ms)).max()
    }

    /// Those who read the store, of a data centre if there are any, with how long ago a reading
    /// of the list failed.
    fn readers(&self, data_centre: &str, now: Millis) -> Vec<(&Peer, u32)> {
        let heard = self.heard(now).map(|(_, peer)| peer);
        let all = heard.filter_map(|peer| Some((peer, peer.heartbeat.list_trouble_ms?)));
        let (near, far): (Vec<_>, Vec<_>) =
            all.partition(|(peer, _)| peer.heartbeat.data_centre == data_centre);
        if near.is_empty() { far } else { near }
    }

    /// The newest configuration that any of those who are heard holds.
    pub fn newest_config(&self, now: Millis) -> Option<u64> {
        let held = self.heard(now).filter_map(|(_, peer)| peer.heartbeat.config);
        held.map(|(version, _)| version).max()
    }

    /// Drops addresses that have long been silent.
    pub fn forget(&mut self, now: Millis) {
        self.addresses.retain(|_, since| now.since(*since) < FORGET_AFTER);
        let addresses = &self.addresses;
        self.by_address.retain(|address, _| addresses.contains_key(address));
        self.changed.retain(|_, at| now.since(*at) < FORGET_AFTER);
        let by_address = &self.by_address;
        self.gone.retain(|address| by_address.contains_key(address));
        self.of_data_centres.retain(|_, heard| heard.is_fresh(now));
    }

    fn fresh_of_all(&self, now: Millis) -> Option<&Heard> {
        self.of_all.as_ref().filter(|heard| heard.is_fresh(now))
    }
}

/// Whether others wait for what is new in a pulse: that a node stops serving, who gives
/// orders, that the store came back from a copy, and a newer configuration.
fn is_news(last: &Heartbeat, next: &Heartbeat) -> bool {
    let version = |heartbeat: &Heartbeat| heartbeat.config.map(|(version, _)| version);
    let past = |heartbeat: &Heartbeat| heartbeat.past.map(|(era, _)| era);
    (last.is_ready && !next.is_ready)
        || last.acts_by != next.acts_by
        || past(last) < past(next)
        || version(last) < version(next)
}
