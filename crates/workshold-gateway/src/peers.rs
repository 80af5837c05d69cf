//! Gossip between nodes: which peers are alive, their aggregated state, and which node sends
//! what to which.
//!
//! In each data centre a few nodes are its relays: of the nodes that are heard, the first by a
//! rank that all nodes compute alike. A node sends its heartbeats to them. They aggregate the
//! heartbeats into digests, and send these to the relays of other data centres and to all other
//! nodes of their own. So the traffic of a node does not grow with the number of nodes, and
//! that of a relay grows only with the nodes of its own data centre. Relays are
//! interchangeable: if one is lost, the others go on sending digests, and the node with the
//! next rank takes its place once the loss is noticed. In a data centre with no more nodes
//! than relays, all nodes are relays.
//!
//! A node is heard as long as its heartbeats arrive, or digests that list it, without a longer
//! silence than its heartbeat interval explains.
//!
//! - [`messages`]: the datagrams.
//! - [`exchange`]: which node sends which datagram to which, and aggregation.
//! - [`news`]: forwarding of new records of the instance list.
//! - [`packing`]: compression of those records.

pub mod exchange;
pub mod messages;
pub mod news;
pub mod packing;
mod places;

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

pub use self::messages::Datagram;
pub use self::messages::Digest;
pub use self::messages::Heartbeat;
pub use self::messages::LIST_TROUBLE_MAX_AGE_MS;
pub use self::messages::ListNews;
pub use self::messages::ListRecord;
pub use self::messages::Message;
pub use self::messages::ProbeAudience;
pub use self::messages::Scope;
pub use self::messages::VERSION;
pub use self::messages::WireEvacuations;
pub use self::messages::WireGone;
pub use self::messages::WireLimit;
pub use self::messages::WireLoad;
pub use self::messages::WireNode;
pub use self::messages::WireQuarantineEntry;
pub use self::messages::WireReach;
pub use self::messages::WireWorkload;

/// Another node, as this one knows it from heartbeats and digests.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name; empty until a datagram of its own has arrived.
    pub name: SmolStr,
    /// Its rank, which all nodes compute alike; low ranks become relays.
    pub rank: u32,
    /// Its last heartbeat, or what digests have told of it.
    pub heartbeat: Heartbeat,
    /// When it was last heard, by this node or by a relay.
    pub heard: Millis,
    /// When this node itself last heard it; `None` if only relays have.
    heard_directly: Option<Millis>,
    /// Silence after which it counts as gone.
    silent_after: Millis,
}

/// Number of peers that a heartbeat lists.
const HEARTBEAT_SAMPLE: usize = 6;

impl Peer {
    fn is_heard(&self, now: Millis) -> bool {
        now.since(self.heard) < self.silent_after
    }

    /// Whether this node itself hears it.
    fn is_heard_directly(&self, now: Millis) -> bool {
        self.heard_directly.is_some_and(|at| now.since(at) < silent_after(&self.heartbeat))
    }
}

/// Silence after which a node that sends heartbeats to this one counts as gone.
fn silent_after(heartbeat: &Heartbeat) -> Millis {
    Millis(u64::from(heartbeat.next_ms) * MISSED_HEARTBEATS).max(MIN_SILENCE) + HEARTBEAT_DELAY
}

/// A node's rank: first by its class, so that well-equipped nodes become relays, then by a hash
/// of its name. Lower ranks come first.
pub fn rank(name: &str, class: u8) -> u32 {
    let class = u32::from(class).min(u32::MAX >> HASH_BITS);
    class << HASH_BITS | xxh3_64(name.as_bytes()) as u32 >> (u32::BITS - HASH_BITS)
}

/// Bits of a rank that hold the hash of the name; the class is in the bits above them.
const HASH_BITS: u32 = 30;

/// Orders nodes for one instance (rendezvous hashing): the order differs between instances, so
/// that a task that only the first few nodes do is spread over all of them.
fn order_for_instance(instance: u32, rank: u32) -> u64 {
    xxh3_64_with_seed(&instance.to_le_bytes(), u64::from(rank))
}

/// A relay's digest, with the time it arrived.
#[derive(Debug, Clone)]
struct ReceivedDigest {
    digest: Digest,
    at: Millis,
}

/// All that this node knows of other nodes.
#[derive(Debug, Default)]
pub struct Peers {
    /// How well-equipped this node is for work as a relay, 0 best.
    class: u8,
    /// Addresses of known nodes, with the time each was last heard or first named.
    addresses: BTreeMap<SocketAddr, Millis>,
    by_address: BTreeMap<SocketAddr, Peer>,
    census: NodeCensus<SocketAddr>,
    /// The newest digest of all nodes, from a relay of this node's data centre.
    fleet_digest: Option<ReceivedDigest>,
    /// The newest digest of each other data centre, from one of its relays.
    data_centre_digests: BTreeMap<SmolStr, ReceivedDigest>,
    /// Number of nodes that the last sender of a digest of all nodes knows.
    peers_node_count: Option<u16>,
    /// This node's load at each instance, as it was last sent to the relays.
    reported_loads: HashMap<u32, Load>,
    /// Nodes that have changed, and when: digests list them first.
    changed: BTreeMap<SocketAddr, Millis>,
    /// Nodes that have gone silent: noticed by this node as a relay, or reported in a digest.
    gone: BTreeSet<SocketAddr>,
    /// When a heartbeat was last sent to a silent address, to heal a partition of the fleet.
    sought_at: Millis,
    /// Since when this node has been a relay; `None` if it is none.
    relay_since: Option<Millis>,
    /// The node that the round robin of digests listed last, by scope.
    round_robin: [Option<SocketAddr>; 2],
    /// The same for nodes that have gone silent.
    gone_round_robin: [Option<SocketAddr>; 2],
}

/// A peer counts as gone after this many missed heartbeats, plus [`HEARTBEAT_DELAY`].
const MISSED_HEARTBEATS: u64 = 3;
/// Time by which a heartbeat may be late.
const HEARTBEAT_DELAY: Millis = Millis(200);
/// Least silence before a peer counts as gone, however short its heartbeat interval: a node
/// that is slow for a moment is still alive.
const MIN_SILENCE: Millis = Millis(900);
/// Time for which a node that looks for relays counts as alive: until the relays' digests
/// list it.
const SEEKER_LIFETIME: Millis = Millis(3_000);
/// An address is dropped after this silence.
const ADDRESS_EXPIRY: Millis = Millis::from_secs(20);
/// Time for which a digest is valid: three relays that send one every 0.3 s are not all late
/// by that much.
const DIGEST_VALID_FOR: Millis = Millis(1_200);

impl ReceivedDigest {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.at) < DIGEST_VALID_FOR
    }
}

impl Peers {
    /// Creates an empty set for a node of the given class, 0 being best equipped.
    pub fn with_class(class: u8) -> Self {
        Self { class, ..Self::default() }
    }

    /// Notes that there may be a node at this address.
    pub fn add(&mut self, address: SocketAddr, now: Millis) {
        self.addresses.entry(address).or_insert(now);
        self.census.on_seen(address, now);
    }

    /// Notes that the store, asked at `at`, listed nodes at these addresses.
    pub fn on_listed(&mut self, addresses: &[SocketAddr], at: Millis) {
        for address in addresses {
            self.addresses.entry(*address).or_insert(at);
        }
        self.census.on_listed(addresses.iter().copied(), at);
    }

    /// Upper bound of the number of nodes, this one included, heard or not.
    pub fn max_node_count(&self) -> usize {
        self.census.count() + 1
    }

    /// Some of the peers that are heard; `draw` is a random number that selects them.
    pub fn sample(&self, draw: u64, now: Millis) -> Vec<SocketAddr> {
        let heard: Vec<SocketAddr> = self.heard(now).map(|(address, _)| *address).collect();
        let start = draw as usize % heard.len().max(1);
        let rotated = heard.iter().cycle().skip(start);
        rotated.take(heard.len().min(HEARTBEAT_SAMPLE)).copied().collect()
    }

    /// The addresses at which these nodes listen for callers.
    pub fn caller_addresses(&self, nodes: &[SocketAddr]) -> Vec<SocketAddr> {
        let known = nodes.iter().filter_map(|node| self.by_address.get(node));
        known.map(|peer| peer.heartbeat.callers).collect()
    }

    /// Handles a heartbeat; `own` is this node's address. Returns whether it contains a change
    /// that other nodes wait for.
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
        self.census.on_seen(from, now);
        let was_gone = self.gone.remove(&from);
        let last = self.by_address.get(&from);
        let is_new = was_gone || last.is_none_or(|last| !last.is_heard(now));
        let is_urgent = last.is_some_and(|last| is_urgent(&last.heartbeat, &heartbeat));
        if is_new || is_urgent {
            self.changed.insert(from, now);
        }
        // A node that looks for relays sends to arbitrary nodes, and only once. From then on it
        // is known by the relays' digests.
        let heard_directly =
            if heartbeat.seeks { last.and_then(|last| last.heard_directly) } else { Some(now) };
        let listed = match last {
            _ if !heartbeat.seeks => Millis::ZERO,
            Some(last) => last.silent_after,
            None => SEEKER_LIFETIME,
        };
        let silent_after = silent_after(&heartbeat).max(listed);
        let rank = rank(&name, heartbeat.class);
        self.by_address
            .insert(from, Peer { name, rank, heartbeat, heard: now, heard_directly, silent_after });
        is_urgent
    }

    /// All addresses at which there may be a node.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.keys().copied().collect()
    }

    /// Peers that are alive: a heartbeat, or a digest that lists them, arrived recently enough.
    pub fn heard(&self, now: Millis) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.by_address.iter().filter(move |(_, peer)| peer.is_heard(now))
    }

    /// Whether this node, named `name`, is among the first `most` nodes of its data centre by
    /// rank, of those that are heard.
    pub fn ranks_among_first(
        &self,
        name: &str,
        data_centre: &str,
        most: usize,
        now: Millis,
    ) -> bool {
        let own = rank(name, self.class);
        let nearby = self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == data_centre);
        let before = nearby.filter(|(_, peer)| peer.rank < own);
        before.take(most).count() < most
    }

    /// How many nodes of its data centre come before this one by rank, beyond those that stand for
    /// the lease; `None` if it is one of these. All data centres together have as many of them as
    /// the lease has partitions, `parts`.
    pub fn nodes_before_for_lease(
        &self,
        own: &LocalNode<'_>,
        parts: u64,
        now: Millis,
    ) -> Option<usize> {
        let own_rank = rank(own.name, self.class);
        let data_centres = self.other_data_centres(own, now).len() + 1;
        let candidates = (parts as usize).div_ceil(data_centres);
        let nearby = self.heard(now).filter(|(_, p)| p.heartbeat.data_centre == own.data_centre);
        let before = nearby.filter(|(_, peer)| peer.rank < own_rank).count();
        before.checked_sub(candidates)
    }

    /// Load at each instance from all other nodes.
    pub fn loads(&self, now: Millis) -> HashMap<u32, Load> {
        let mut totals = self.totals(now).loads();
        if self.totals_include_self(now) {
            // The totals of the relays include what this node has reported to them.
            for (instance, load) in &self.reported_loads {
                totals.entry(*instance).and_modify(|sum| *sum = sum.less(*load));
            }
        }
        totals
    }

    /// Whether this node is among the `most` nodes of its data centre that probe an instance on
    /// behalf of all. Each instance has others, so that an instance gets few probes and no node
    /// runs them for all instances.
    pub fn is_witness(&self, own: &LocalNode<'_>, instance: u32, most: usize, now: Millis) -> bool {
        let own_order = order_for_instance(instance, rank(own.name, self.class));
        let nearby =
            self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == own.data_centre);
        nearby
            .filter(|(_, peer)| order_for_instance(instance, peer.rank) < own_order)
            .take(most)
            .count()
            < most
    }

    /// Whether this node is among the first `senders` nodes that are ready, in the order of nodes
    /// for this instance.
    pub fn is_sender_for(&self, name: &str, instance: u32, senders: usize, now: Millis) -> bool {
        let own_order = order_for_instance(instance, rank(name, self.class));
        let others = self.heard(now).map(|(_, peer)| peer).filter(|peer| peer.heartbeat.is_ready);
        let before = others.filter(|peer| order_for_instance(instance, peer.rank) < own_order);
        before.take(senders).count() < senders
    }

    /// The earliest of the last failures to read the list, of all nodes that read the store; `None`
    /// if one of them reads it without failures, which is enough. If `data_centre` has any such
    /// nodes, only these count.
    pub fn list_failure_at(&self, data_centre: &str, now: Millis) -> Option<Millis> {
        let at = |(peer, age): (&Peer, u32)| {
            (age < LIST_TROUBLE_MAX_AGE_MS).then(|| peer.heard - Millis(age.into()))
        };
        self.readers(data_centre, now).into_iter().map(at).min().flatten()
    }

    /// When the store last answered any of the nodes that read it, chosen as above; `None` if none
    /// of them is heard.
    pub fn readers_answered_at(&self, data_centre: &str, now: Millis) -> Option<Millis> {
        let readers = self.readers(data_centre, now).into_iter();
        readers.map(|(peer, _)| peer.heard - Millis(peer.heartbeat.store_age_ms)).max()
    }

    /// The nodes that read the store, each with the time since a read of the list failed, in
    /// ms: those of `data_centre`, or all if it has none.
    fn readers(&self, data_centre: &str, now: Millis) -> Vec<(&Peer, u32)> {
        let heard = self.heard(now).map(|(_, peer)| peer);
        let all = heard.filter_map(|peer| Some((peer, peer.heartbeat.list_trouble_ms?)));
        let (nearby, distant): (Vec<_>, Vec<_>) =
            all.partition(|(peer, _)| peer.heartbeat.data_centre == data_centre);
        if nearby.is_empty() { distant } else { nearby }
    }

    /// The newest configuration version that any peer that is heard holds.
    pub fn newest_config(&self, now: Millis) -> Option<u64> {
        let held = self.heard(now).filter_map(|(_, peer)| peer.heartbeat.config);
        held.map(|(version, _)| version).max()
    }

    /// Drops addresses that have been silent for [`ADDRESS_EXPIRY`], and what is known of them.
    pub fn forget(&mut self, now: Millis) {
        self.addresses.retain(|_, since| now.since(*since) < ADDRESS_EXPIRY);
        let addresses = &self.addresses;
        self.by_address.retain(|address, _| addresses.contains_key(address));
        self.changed.retain(|_, at| now.since(*at) < ADDRESS_EXPIRY);
        let by_address = &self.by_address;
        self.gone.retain(|address| by_address.contains_key(address));
        self.data_centre_digests.retain(|_, heard| heard.is_fresh(now));
    }

    /// Drops nodes that are gone from the number of nodes. Only for a node that hears most others:
    /// one that is cut off must not count fewer.
    pub fn forget_gone(&mut self, now: Millis) {
        self.census.forget(now);
    }

    /// The digest of all nodes, if there is a valid one.
    fn valid_fleet_digest(&self, now: Millis) -> Option<&ReceivedDigest> {
        self.fleet_digest.as_ref().filter(|heard| heard.is_fresh(now))
    }
}

/// Whether other nodes wait for what has changed in a heartbeat: that the node stops serving,
/// its fencing token, a newer era of the store (a restore from a snapshot), a newer configuration,
/// or which data centres are evacuated.
fn is_urgent(last: &Heartbeat, next: &Heartbeat) -> bool {
    let version = |heartbeat: &Heartbeat| heartbeat.config.map(|(version, _)| version);
    let past = |heartbeat: &Heartbeat| heartbeat.past.map(|(era, _)| era);
    let evacuated = |heartbeat: &Heartbeat| {
        heartbeat.evacuations.as_ref().map_or(0, |evacuations| evacuations.data_centres.len())
    };
    let next_end = next.evacuations.as_ref().map(|evacuations| evacuations.end);
    let last_end = last.evacuations.as_ref().map(|evacuations| evacuations.end);
    let has_evacuations = evacuated(last) + evacuated(next) > 0;
    (last.is_ready && !next.is_ready)
        || (has_evacuations && last_end < next_end)
        || last.acts_by != next.acts_by
        || past(last) < past(next)
        || version(last) < version(next)
}
