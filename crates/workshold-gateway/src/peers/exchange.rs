//! Which node sends which datagram to which, and the aggregation of heartbeats into digests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use smol_str::SmolStr;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::store_era::Fence;
use workshold_protocol::Millis;

use crate::loads::Load;
use crate::peers::HEARTBEAT_DELAY;
use crate::peers::MIN_SILENCE;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::peers::ReceivedDigest;
use crate::peers::messages::AGE_UNIT_MS;
use crate::peers::messages::Digest;
use crate::peers::messages::Heartbeat;
use crate::peers::messages::Message;
use crate::peers::messages::Scope;
use crate::peers::messages::WireGone;
use crate::peers::messages::WireLoad;
use crate::peers::messages::WireNode;
use crate::peers::messages::WireWorkload;

/// Number of relays in a data centre: with two of them lost at once, one still forwards
/// everything.
pub const RELAYS_PER_DATA_CENTRE: usize = 3;
/// Number of possible nodes that a node asks at a time while it hears no relay.
const NODES_SOUGHT: usize = 4;
/// Nodes that a digest lists by round robin: three relays list all of 300 within 1.3 s.
const ROUND_ROBIN_NODES: usize = 24;
/// Time for which digests list a node that has changed first.
const CHANGE_REPORT_TIME: Millis = Millis(1_000);
/// Most changed nodes in one digest.
const MAX_CHANGED_NODES: usize = 24;
/// Time for which digests list a node that has gone silent, in turn with others that have: a digest
/// may get lost, and a node may hear of it only from its next relay.
const GONE_REPORT_TIME: Millis = Millis(12_000);
/// Most nodes that have gone silent in one digest: with these it still fits a datagram.
const MAX_GONE_NODES: usize = 64;
/// A relay sends a heartbeat to a silent address no more often than this.
const SEEK_INTERVAL: Millis = Millis(1_000);
/// Least time for which a node that a digest lists counts as alive after it was heard.
const MIN_LISTED_LIFETIME: Millis = Millis(MIN_SILENCE.0 + HEARTBEAT_DELAY.0);
/// Time after which all nodes of its data centre have sent something to a new relay.
const RELAY_SETTLE_TIME: Millis = Millis(2_000);
/// Greatest difference between the times at which two relays last heard the same node, while
/// both of them hear it.
const MAX_HEARD_DIFFERENCE: Millis = Millis(400);
/// Most instance loads in a digest; the smallest are left out.
const MAX_DIGEST_LOADS: usize = 400;

/// This node, as its peers know it.
#[derive(Debug, Clone, Copy)]
pub struct LocalNode<'a> {
    /// The address that it sends datagrams from.
    pub address: SocketAddr,
    /// Its name, which determines its rank.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
}

/// A message with its recipients.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// The recipients' addresses.
    pub to: Vec<SocketAddr>,
    /// The message for each of them.
    pub message: Message,
}

/// The aggregated state of other nodes.
#[derive(Debug, Clone, Default)]
pub struct FleetTotals {
    by_model: BTreeMap<u32, Workload>,
    arriving: BTreeMap<u32, f64>,
    by_instance: BTreeMap<u32, (Load, u8)>,
    acts_by: BTreeMap<SocketAddr, Fence>,
    /// Percentage of the demand that the nodes have had time to observe: the highest of any node.
    pub seen_percent: u8,
    /// Whether any of them has received requests.
    pub has_traffic: bool,
    /// Number of nodes that hold a partition of the lease and have renewed it in time.
    pub lease_holders: usize,
    /// When the store last answered any of them.
    pub store_answered: Option<Millis>,
}

impl FleetTotals {
    /// The workload that their callers ask for, by the hashes of models' names.
    pub fn work(&self) -> &BTreeMap<u32, Workload> {
        &self.by_model
    }

    /// The requests per second that arrive at present for the model whose name has this hash.
    pub fn arriving(&self, model: u32) -> f64 {
        self.arriving.get(&model).copied().unwrap_or_default()
    }

    /// The addresses of nodes that may send orders to instances, with their fencing tokens.
    pub fn active_fences(&self) -> impl Iterator<Item = (&SocketAddr, Fence)> {
        self.acts_by.iter().map(|(address, fence)| (address, *fence))
    }

    /// The load at each instance, by its hash.
    pub(super) fn loads(&self) -> HashMap<u32, Load> {
        self.by_instance.iter().map(|(instance, (load, _))| (*instance, *load)).collect()
    }

    fn add_work(&mut self, work: &[WireWorkload]) {
        for entry in work {
            let sum = self.by_model.entry(entry.model).or_default();
            *sum = sum.plus(entry.work());
            *self.arriving.entry(entry.model).or_default() += entry.arriving_per_s();
        }
    }

    fn add_loads(&mut self, loads: &[WireLoad]) {
        for entry in loads {
            let (sum, gap) = self.by_instance.entry(entry.instance).or_default();
            sum.add(entry.load());
            *gap = (*gap).max(entry.gap);
        }
    }

    fn add_store_answer(&mut self, at: Millis) {
        self.store_answered = self.store_answered.max(Some(at));
    }

    fn add_heartbeat(&mut self, address: SocketAddr, heartbeat: &Heartbeat, heard: Millis) {
        self.add_work(&heartbeat.work);
        self.add_loads(&heartbeat.loads);
        self.acts_by.extend(heartbeat.acts_by.map(|fence| (address, fence)));
        self.seen_percent = self.seen_percent.max(heartbeat.seen_percent);
        self.has_traffic |= heartbeat.has_traffic;
        self.lease_holders += usize::from(heartbeat.holds_lease);
        self.add_store_answer(heard - Millis(heartbeat.store_age_ms));
    }

    fn add_digest(&mut self, heard: &ReceivedDigest) {
        let digest = &heard.digest;
        self.add_work(&digest.work);
        self.add_loads(&digest.loads);
        self.acts_by.extend(digest.acts_by.iter().copied());
        self.seen_percent = self.seen_percent.max(digest.seen_percent);
        self.has_traffic |= digest.has_traffic;
        self.lease_holders += usize::from(digest.lease_holders);
        self.add_store_answer(heard.at - Millis(digest.store_age_ms));
    }
}

impl Peers {
    /// The messages to send now; `heartbeat` is this node's heartbeat, `draw` a random number.
    pub fn outgoing(
        &mut self,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        now: Millis,
        draw: u64,
    ) -> Vec<Outgoing> {
        self.reported_loads =
            heartbeat.loads.iter().map(|entry| (entry.instance, entry.load())).collect();
        let is_relay = self.is_relay(own, now);
        self.relay_since = is_relay.then(|| self.relay_since.unwrap_or(now));
        self.drop_unheard(own, now);
        let mut relays = self.relays(own.data_centre, now);
        relays.truncate(if is_relay { RELAYS_PER_DATA_CENTRE - 1 } else { RELAYS_PER_DATA_CENTRE });
        let mut messages = Vec::new();
        let is_established = is_relay && self.hears_data_centre(own, now);
        if is_relay && !is_established {
            // Tell all nodes of the data centre that this one has become a relay.
            let nearby =
                self.heard(now).filter(|(_, p)| p.heartbeat.data_centre == own.data_centre);
            relays = nearby.map(|(address, _)| *address).collect();
        }
        if is_established {
            self.note_gone(own, now);
            self.push_data_centre_digest(own, heartbeat, now, &mut messages);
            if self.hears_fleet(own, now) || self.valid_fleet_digest(now).is_none() {
                self.fleet_digest = None;
                self.push_fleet_digest(own, heartbeat, now, &mut messages);
            }
        }
        if !is_relay {
            self.data_centre_digests.clear();
        }
        let hears_a_relay =
            !self.misses_nodes(now) && (is_relay || self.valid_fleet_digest(now).is_some());
        let seeks = Heartbeat { seeks: true, hears: self.sample(draw, now), ..heartbeat.clone() };
        let to = self.addresses_to_seek(hears_a_relay, is_relay, now, draw);
        messages.push(Outgoing { to, message: Message::Heartbeat(Box::new(seeks)) });
        messages.push(Outgoing {
            to: relays,
            message: Message::Heartbeat(Box::new(heartbeat.clone())),
        });
        messages.retain(|outgoing| !outgoing.to.is_empty());
        messages
    }

    /// The reply to a node of `data_centre` that looks for relays: a digest that lists them in any
    /// case.
    pub fn answer(
        &mut self,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        data_centre: &str,
        now: Millis,
    ) -> Message {
        let mut digest = self.digest(Scope::All, own, heartbeat, now);
        for relay in self.relays(data_centre, now) {
            digest.nodes.retain(|entry| entry.address != relay);
            let entry = self.by_address.get(&relay).map(|peer| digest_entry(relay, peer, now));
            digest.nodes.extend(entry);
        }
        Message::Digest(Box::new(digest))
    }

    /// Whether this node knows clearly fewer nodes than its peers do (less than 90%), or has not
    /// heard any: it may then take itself or the wrong nodes for relays.
    pub fn misses_nodes(&self, now: Millis) -> bool {
        let heard = self.heard(now).count();
        let most = self.peers_node_count.map_or(usize::MAX, usize::from);
        let may_be_more = heard == 0 || (heard + 1) * 10 < most.saturating_mul(9);
        may_be_more && !self.addresses.is_empty()
    }

    /// Whether this node is one of its data centre's relays.
    pub fn is_relay(&self, own: &LocalNode<'_>, now: Millis) -> bool {
        self.ranks_among_first(own.name, own.data_centre, RELAYS_PER_DATA_CENTRE, now)
    }

    /// Handles a digest. Returns whether it contains a change that other nodes wait for.
    pub fn on_digest(
        &mut self,
        own: &LocalNode<'_>,
        from: SocketAddr,
        name: SmolStr,
        digest: Digest,
        now: Millis,
    ) -> bool {
        let cycle = full_round_time(&digest);
        let mut is_urgent = self.on_heartbeat(own.address, from, name, digest.own.clone(), now);
        for entry in digest.nodes.iter().filter(|entry| entry.address != own.address) {
            is_urgent |= self.on_digest_entry(entry, cycle, now);
        }
        for entry in digest.gone.iter().filter(|entry| entry.address != own.address) {
            is_urgent |= self.on_gone(entry, now);
        }
        if digest.scope == Scope::All {
            self.peers_node_count = Some(digest.heard);
        }
        let data_centre = digest.own.data_centre.clone();
        let heard = ReceivedDigest { digest, at: now };
        match heard.digest.scope {
            // A relay uses its own totals once it hears the whole fleet.
            Scope::All if self.is_relay(own, now) && self.hears_fleet(own, now) => {}
            Scope::All => self.fleet_digest = Some(heard),
            Scope::DataCentre => {
                let last = self.data_centre_digests.insert(data_centre, heard);
                is_urgent |= last.is_none();
            }
        }
        is_urgent
    }

    /// Handles an entry of a digest. Returns whether the node has stopped serving by it.
    fn on_digest_entry(&mut self, entry: &WireNode, cycle: Millis, now: Millis) -> bool {
        let heard = now - Millis(u64::from(entry.age) * AGE_UNIT_MS);
        let since = self.addresses.entry(entry.address).or_insert(heard);
        *since = (*since).max(heard);
        self.census.on_seen(entry.address, now);
        let silent_after = MIN_LISTED_LIFETIME + cycle;
        let Some(peer) = self.by_address.get_mut(&entry.address) else {
            let peer = peer_from_entry(entry, heard, silent_after);
            self.by_address.insert(entry.address, peer);
            self.changed.insert(entry.address, now);
            return false;
        };
        if heard <= peer.heard {
            return false;
        }
        let stops = peer.heartbeat.is_ready && !entry.is_ready;
        peer.heard = heard;
        peer.heartbeat.is_ready = entry.is_ready;
        peer.silent_after = silent_after;
        if self.gone.remove(&entry.address) || stops {
            self.changed.insert(entry.address, now);
        }
        stops
    }

    /// Handles a relay's report that a node has gone silent. Returns whether the node was taken for
    /// one that serves. If it was heard later, the report is outdated.
    fn on_gone(&mut self, entry: &WireGone, now: Millis) -> bool {
        let heard = now - Millis(u64::from(entry.age) * AGE_UNIT_MS);
        let Some(peer) = self.by_address.get_mut(&entry.address) else { return false };
        if peer.heard > heard + MAX_HEARD_DIFFERENCE || !peer.is_heard(now) {
            return false;
        }
        peer.silent_after = MIN_LISTED_LIFETIME.min(now.since(peer.heard));
        let was_ready = peer.heartbeat.is_ready;
        self.gone.insert(entry.address);
        self.changed.insert(entry.address, now);
        was_ready
    }

    /// Notes nodes of this relay's data centre as gone that have never sent it anything, although it
    /// has been a relay for long enough: they ended together with the relays before it, and only
    /// digests of those have listed them. Counted as present they would keep it from believing that
    /// it hears its data centre.
    fn drop_unheard(&mut self, own: &LocalNode<'_>, now: Millis) {
        if self.relay_since.is_none_or(|since| now.since(since) < RELAY_SETTLE_TIME) {
            return;
        }
        let is_unheard = |peer: &Peer| {
            let is_nearby = peer.heartbeat.data_centre == own.data_centre;
            let is_silent = peer.heard_directly.is_none_or(|at| now.since(at) >= RELAY_SETTLE_TIME);
            is_nearby
                && is_silent
                && peer.is_heard(now)
                && now.since(peer.heard) >= RELAY_SETTLE_TIME
        };
        for (address, peer) in self.by_address.iter_mut().filter(|(_, peer)| is_unheard(peer)) {
            peer.silent_after = Millis::ZERO;
            self.gone.insert(*address);
            self.changed.insert(*address, now);
        }
    }

    /// Notes which nodes of this relay's data centre have gone silent.
    fn note_gone(&mut self, own: &LocalNode<'_>, now: Millis) {
        let is_gone = |peer: &Peer| {
            let is_nearby = peer.heartbeat.data_centre == own.data_centre;
            is_nearby && peer.heard_directly.is_some() && !peer.is_heard(now)
        };
        let silent = self.by_address.iter().filter(|(_, peer)| is_gone(peer));
        let silent: Vec<SocketAddr> = silent.map(|(address, _)| *address).collect();
        for address in silent {
            if self.gone.insert(address) {
                self.changed.insert(address, now);
            }
        }
    }

    /// The relays of a data centre, without this node.
    fn relays(&self, data_centre: &str, now: Millis) -> Vec<SocketAddr> {
        let nearby = self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == data_centre);
        let mut ranked: Vec<(u32, SocketAddr)> =
            nearby.map(|(address, peer)| (peer.rank, *address)).collect();
        ranked.sort_unstable();
        ranked.truncate(RELAYS_PER_DATA_CENTRE);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Addresses to contact beyond the relays: a node that hears no relay tries some of all
    /// possible nodes; a relay now and then tries one silent address, so that a partitioned fleet
    /// finds together again.
    fn addresses_to_seek(
        &mut self,
        hears_a_relay: bool,
        is_relay: bool,
        now: Millis,
        draw: u64,
    ) -> Vec<SocketAddr> {
        if hears_a_relay && (!is_relay || now.since(self.sought_at) < SEEK_INTERVAL) {
            return Vec::new();
        }
        self.sought_at = now;
        let is_heard = |address: &SocketAddr| {
            self.by_address.get(address).is_some_and(|peer| peer.is_heard(now))
        };
        let all = self.addresses.keys().filter(|address| !hears_a_relay || !is_heard(address));
        let all: Vec<SocketAddr> = all.copied().collect();
        let start = draw as usize % all.len().max(1);
        let most = if hears_a_relay { 1 } else { NODES_SOUGHT };
        all.iter().cycle().skip(start).take(most.min(all.len())).copied().collect()
    }

    /// Whether at least 80% of this data centre's nodes send their heartbeats to this one: if it
    /// became a relay a moment ago, the others may not have noticed yet.
    fn hears_data_centre(&self, own: &LocalNode<'_>, now: Millis) -> bool {
        let nearby =
            self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == own.data_centre);
        let (heard_directly, all) = nearby.fold((0, 0), |(heard_directly, all), (_, peer)| {
            (heard_directly + usize::from(peer.is_heard_directly(now)), all + 1)
        });
        heard_directly * 5 >= all * 4
    }

    /// Whether this node receives the heartbeats of its data centre, and digests of all others.
    fn hears_fleet(&self, own: &LocalNode<'_>, now: Millis) -> bool {
        let is_fresh = |name: &SmolStr| {
            self.data_centre_digests.get(name).is_some_and(|heard| heard.is_fresh(now))
        };
        self.hears_data_centre(own, now) && self.other_data_centres(own, now).iter().all(is_fresh)
    }

    /// The other data centres of which any node is heard.
    pub(super) fn other_data_centres(&self, own: &LocalNode<'_>, now: Millis) -> BTreeSet<SmolStr> {
        let data_centres = self.heard(now).map(|(_, peer)| &peer.heartbeat.data_centre);
        data_centres.filter(|name| *name != own.data_centre).cloned().collect()
    }

    /// Adds the digest of this relay's data centre, for the relays of the others.
    fn push_data_centre_digest(
        &mut self,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        now: Millis,
        messages: &mut Vec<Outgoing>,
    ) {
        let other_data_centres = self.other_data_centres(own, now);
        let to: Vec<SocketAddr> =
            other_data_centres.iter().flat_map(|name| self.relays(name, now)).collect();
        if !to.is_empty() {
            let digest = self.digest(Scope::DataCentre, own, heartbeat, now);
            messages.push(Outgoing { to, message: Message::Digest(Box::new(digest)) });
        }
    }

    /// Adds the digest of all nodes, for the nodes of this data centre that report to this relay.
    fn push_fleet_digest(
        &mut self,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        now: Millis,
        messages: &mut Vec<Outgoing>,
    ) {
        let mut relays = self.relays(own.data_centre, now);
        relays.truncate(RELAYS_PER_DATA_CENTRE - 1);
        let is_follower = |address: &SocketAddr, peer: &Peer| {
            let is_nearby = peer.heartbeat.data_centre == own.data_centre;
            is_nearby && peer.is_heard_directly(now) && !relays.contains(address)
        };
        let heard = self.heard(now).filter(|(address, peer)| is_follower(address, peer));
        let to: Vec<SocketAddr> = heard.map(|(address, _)| *address).collect();
        if !to.is_empty() {
            let digest = self.digest(Scope::All, own, heartbeat, now);
            messages.push(Outgoing { to, message: Message::Digest(Box::new(digest)) });
        }
    }

    /// Builds a digest of the given scope.
    fn digest(
        &mut self,
        scope: Scope,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        now: Millis,
    ) -> Digest {
        let mut totals = match scope {
            Scope::All => self.totals(now),
            Scope::DataCentre => self.data_centre_totals(own.data_centre, now),
        };
        if !self.totals_include_self(now) {
            totals.add_heartbeat(own.address, heartbeat, now);
        }
        let is_covered =
            |peer: &Peer| scope == Scope::All || peer.heartbeat.data_centre == own.data_centre;
        let heard = self.heard(now).filter(|(_, peer)| is_covered(peer)).count() + 1;
        let mut loads: Vec<WireLoad> = totals
            .by_instance
            .iter()
            .map(|(instance, (load, gap))| WireLoad::from_hash(*instance, *load, *gap))
            .collect();
        loads.sort_by_key(|entry| std::cmp::Reverse(entry.requests));
        loads.truncate(MAX_DIGEST_LOADS);
        let arriving = &totals.arriving;
        let work = totals.by_model.iter().map(|(model, work)| {
            let per_s = arriving.get(model).copied().unwrap_or_default();
            WireWorkload::from_hash(*model, *work).with_arriving(per_s)
        });
        let answered = totals.store_answered.unwrap_or_default();
        Digest {
            scope,
            own: Heartbeat { work: Vec::new(), loads: Vec::new(), ..heartbeat.clone() },
            nodes: self.digest_entries(scope, own, now),
            gone: self.gone_entries(scope, own, now),
            heard: heard.min(usize::from(u16::MAX)) as u16,
            acts_by: totals.acts_by.into_iter().collect(),
            lease_holders: totals.lease_holders.min(usize::from(u16::MAX)) as u16,
            store_age_ms: now.since(answered).0,
            has_traffic: totals.has_traffic,
            work: work.collect(),
            seen_percent: totals.seen_percent,
            loads,
        }
    }

    /// The aggregated state of all other nodes: from the digest of all nodes if there is a valid
    /// one, otherwise from the heartbeats and the digests of other data centres that this node
    /// receives.
    pub fn totals(&self, now: Millis) -> FleetTotals {
        let mut totals = FleetTotals::default();
        if let Some(heard) = self.valid_fleet_digest(now) {
            totals.add_digest(heard);
            return totals;
        }
        let fresh =
            |name: &SmolStr| self.data_centre_digests.get(name).filter(|heard| heard.is_fresh(now));
        self.data_centre_digests.values().filter(|heard| heard.is_fresh(now)).for_each(|heard| {
            totals.add_digest(heard);
        });
        for (address, peer) in
            self.by_address.iter().filter(|(_, peer)| peer.is_heard_directly(now))
        {
            if fresh(&peer.heartbeat.data_centre).is_none() {
                totals.add_heartbeat(*address, &peer.heartbeat, peer.heard);
            }
        }
        totals
    }

    /// Whether [`Peers::totals`] include this node's own state: they do if they come from a relay's
    /// digest.
    pub fn totals_include_self(&self, now: Millis) -> bool {
        self.valid_fleet_digest(now).is_some()
    }

    /// The totals of the heartbeats that this node receives from a data centre.
    fn data_centre_totals(&self, data_centre: &str, now: Millis) -> FleetTotals {
        let mut totals = FleetTotals::default();
        let is_nearby =
            |peer: &Peer| peer.is_heard_directly(now) && peer.heartbeat.data_centre == data_centre;
        for (address, peer) in self.by_address.iter().filter(|(_, peer)| is_nearby(peer)) {
            totals.add_heartbeat(*address, &peer.heartbeat, peer.heard);
        }
        totals
    }

    /// Entries for a digest: nodes that have changed, and the next ones of the round robin.
    fn digest_entries(&mut self, scope: Scope, own: &LocalNode<'_>, now: Millis) -> Vec<WireNode> {
        let changed = self.changed.iter().filter(|(address, at)| {
            now.since(**at) < CHANGE_REPORT_TIME && !self.gone.contains(address)
        });
        let first: BTreeSet<SocketAddr> =
            changed.map(|(address, _)| *address).take(MAX_CHANGED_NODES).collect();
        let heard = self
            .heard(now)
            .filter(|(address, peer)| is_covered(peer, scope, own) && !first.contains(address));
        let heard: BTreeSet<SocketAddr> = heard.map(|(address, _)| *address).collect();
        let last = &mut self.round_robin[scope_index(scope)];
        let in_turn = next_in_turn(&heard, last, ROUND_ROBIN_NODES);
        let all = first.iter().chain(&in_turn);
        let peers = all.filter_map(|address| Some((address, self.by_address.get(address)?)));
        let peers = peers.filter(|(_, peer)| is_covered(peer, scope, own));
        peers.map(|(address, peer)| digest_entry(*address, peer, now)).collect()
    }

    /// The next of the nodes that have gone silent lately, for a digest.
    fn gone_entries(&mut self, scope: Scope, own: &LocalNode<'_>, now: Millis) -> Vec<WireGone> {
        let is_recent = |address: &SocketAddr| {
            self.changed.get(address).is_some_and(|at| now.since(*at) < GONE_REPORT_TIME)
        };
        let is_reported = |address: &SocketAddr| {
            let peer = self.by_address.get(address);
            is_recent(address) && peer.is_some_and(|peer| is_covered(peer, scope, own))
        };
        let gone: BTreeSet<SocketAddr> =
            self.gone.iter().filter(|address| is_reported(address)).copied().collect();
        let last = &mut self.gone_round_robin[scope_index(scope)];
        let in_turn = next_in_turn(&gone, last, MAX_GONE_NODES);
        let peers = in_turn.iter().filter_map(|at| Some((at, self.by_address.get(at)?)));
        peers.map(|(at, peer)| WireGone { address: *at, age: wire_age(peer, now) }).collect()
    }
}

/// Whether a digest of this scope covers a node.
fn is_covered(peer: &Peer, scope: Scope, own: &LocalNode<'_>) -> bool {
    scope == Scope::All || peer.heartbeat.data_centre == own.data_centre
}

/// Index of what is kept for each scope.
const fn scope_index(scope: Scope) -> usize {
    match scope {
        Scope::DataCentre => 0,
        Scope::All => 1,
    }
}

/// The next addresses of a round robin that listed `last` before, at most `max`.
fn next_in_turn(
    all: &BTreeSet<SocketAddr>,
    last: &mut Option<SocketAddr>,
    max: usize,
) -> Vec<SocketAddr> {
    let is_after = |address: &&SocketAddr| last.is_none_or(|last| **address > last);
    let rest_of_turn = all.iter().filter(is_after);
    let start_of_turn = all.iter().filter(|address| !is_after(address));
    let in_turn: Vec<SocketAddr> = rest_of_turn.chain(start_of_turn).take(max).copied().collect();
    *last = in_turn.last().copied().or(*last);
    in_turn
}

/// Time since a node was last heard, as it is encoded in a datagram.
fn wire_age(peer: &Peer, now: Millis) -> u8 {
    (now.since(peer.heard).0 / AGE_UNIT_MS).min(u64::from(u8::MAX)) as u8
}

/// The entry of a digest for a peer.
fn digest_entry(address: SocketAddr, peer: &Peer, now: Millis) -> WireNode {
    WireNode {
        address,
        callers: peer.heartbeat.callers,
        data_centre: peer.heartbeat.data_centre.clone(),
        rank: peer.rank,
        is_ready: peer.heartbeat.is_ready,
        age: wire_age(peer, now),
    }
}

/// Time until one relay alone has listed all its nodes; all three together take a third of it.
fn full_round_time(digest: &Digest) -> Millis {
    let rounds = u64::from(digest.heard).div_ceil(ROUND_ROBIN_NODES as u64);
    Millis(u64::from(digest.own.next_ms) * rounds)
}

/// A peer that is known from a digest alone.
fn peer_from_entry(entry: &WireNode, heard: Millis, silent_after: Millis) -> Peer {
    Peer {
        name: SmolStr::default(),
        rank: entry.rank,
        heartbeat: Heartbeat {
            callers: entry.callers,
            data_centre: entry.data_centre.clone(),
            class: 0,
            next_ms: 0,
            is_ready: entry.is_ready,
            has_traffic: false,
            config: None,
            evacuations: None,
            list: None,
            acts_by: None,
            holds_lease: false,
            past: None,
            store_age_ms: 0,
            list_trouble_ms: None,
            hears: Vec::new(),
            seeks: false,
            work: Vec::new(),
            seen_percent: 0,
            loads: Vec::new(),
            requests: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
        },
        heard,
        heard_directly: None,
        silent_after,
    }
}
