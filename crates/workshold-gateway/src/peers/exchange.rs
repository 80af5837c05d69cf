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
use crate::peers::Heard;
use crate::peers::PULSE_LATE;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::peers::SILENT_LEAST;
use crate::peers::messages::AGE_UNIT_MS;
use crate::peers::messages::Digest;
use crate::peers::messages::Heartbeat;
use crate::peers::messages::Message;
use crate::peers::messages::Scope;
use crate::peers::messages::WireLoad;
use crate::peers::messages::WireNode;
use crate::peers::messages::WireWorkload;

/// Number of relays in a data centre: with two of them lost at once, one still forwards
/// everything.
pub const RELAYS_PER_DATA_CENTRE: usize = 3;
/// Number of possible nodes that a node asks at a time while it hears no relay.
const SOUGHT: usize = 4;
/// Nodes that a digest lists by round robin: three relays list all of 300 within 1.3 s.
const IN_TURN: usize = 24;
/// Time for which digests list a node that has changed first.
const CHANGE_TOLD: Millis = Millis(1_000);
/// Most changed nodes in one digest.
const MOST_CHANGED: usize = 24;
/// A relay sends a heartbeat to a silent address no more often than this.
const SEEK_EVERY: Millis = Millis(1_000);
/// Least time for which a node that a digest lists counts as alive after it was heard.
const LEAST_KNOWN: Millis = Millis(SILENT_LEAST.0 + PULSE_LATE.0);
/// Greatest difference between the times at which two relays last heard the same node, while
/// both of them hear it.
const HEARD_ALIKE: Millis = Millis(400);
/// Most instance loads in a digest; the smallest are left out.
const MOST_LOADS: usize = 400;

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
pub struct Sums {
    by_model: BTreeMap<u32, Workload>,
    by_instance: BTreeMap<u32, (Load, u8)>,
    acts_by: BTreeMap<SocketAddr, Fence>,
    /// Percentage of the demand that the nodes have had time to observe: the highest of any node.
    pub seen_percent: u8,
    /// Whether any of them has received requests.
    pub has_traffic: bool,
    /// When the store last answered any of them.
    pub store_answered: Option<Millis>,
}

impl Sums {
    /// The workload that their callers ask for, by the hashes of models' names.
    pub fn work(&self) -> &BTreeMap<u32, Workload> {
        &self.by_model
    }

    /// The addresses of nodes that may send orders to instances, with their fencing tokens.
    pub fn acts_by(&self) -> impl Iterator<Item = (&SocketAddr, Fence)> {
        self.acts_by.iter().map(|(address, fence)| (address, *fence))
    }

    pub(super) fn loads(&self) -> HashMap<u32, Load> {
        self.by_instance.iter().map(|(instance, (load, _))| (*instance, *load)).collect()
    }

    fn add_work(&mut self, work: &[WireWorkload]) {
        for told in work {
            let sum = self.by_model.entry(told.model).or_default();
            *sum = sum.plus(told.work());
        }
    }

    fn add_loads(&mut self, loads: &[WireLoad]) {
        for told in loads {
            let (sum, gap) = self.by_instance.entry(told.instance).or_default();
            sum.add(told.load());
            *gap = (*gap).max(told.gap);
        }
    }

    fn add_answer(&mut self, at: Millis) {
        self.store_answered = self.store_answered.max(Some(at));
    }

    fn add_pulse(&mut self, address: SocketAddr, heartbeat: &Heartbeat, heard: Millis) {
        self.add_work(&heartbeat.work);
        self.add_loads(&heartbeat.loads);
        self.acts_by.extend(heartbeat.acts_by.map(|fence| (address, fence)));
        self.seen_percent = self.seen_percent.max(heartbeat.seen_percent);
        self.has_traffic |= heartbeat.has_traffic;
        self.add_answer(heard - Millis(heartbeat.store_age_ms));
    }

    fn add_digest(&mut self, heard: &Heard) {
        let digest = &heard.digest;
        self.add_work(&digest.work);
        self.add_loads(&digest.loads);
        self.acts_by.extend(digest.acts_by.iter().copied());
        self.seen_percent = self.seen_percent.max(digest.seen_percent);
        self.has_traffic |= digest.has_traffic;
        self.add_answer(heard.at - Millis(digest.store_age_ms));
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
        self.told = heartbeat.loads.iter().map(|told| (told.instance, told.load())).collect();
        let is_relay = self.is_relay(own, now);
        let mut relays = self.relays(own.data_centre, now);
        relays.truncate(if is_relay { RELAYS_PER_DATA_CENTRE - 1 } else { RELAYS_PER_DATA_CENTRE });
        let mut said = Vec::new();
        let is_established = is_relay && self.hears_near(own, now);
        if is_relay && !is_established {
            // Tell all nodes of the data centre that this one has become a relay.
            let near = self.heard(now).filter(|(_, p)| p.heartbeat.data_centre == own.data_centre);
            relays = near.map(|(address, _)| *address).collect();
        }
        if is_established {
            self.note_gone(own, now);
            self.add_digest_of_data_centre(own, heartbeat, now, &mut said);
            if self.hears_all(own, now) || self.fresh_of_all(now).is_none() {
                self.of_all = None;
                self.add_digest_of_all(own, heartbeat, now, &mut said);
            }
        }
        if !is_relay {
            self.of_data_centres.clear();
        }
        let hears_a_relay =
            !self.lacks_nodes(now) && (is_relay || self.fresh_of_all(now).is_some());
        let seeks = Heartbeat { seeks: true, hears: self.sample(draw, now), ..heartbeat.clone() };
        let to = self.sought(hears_a_relay, is_relay, now, draw);
        said.push(Outgoing { to, message: Message::Heartbeat(Box::new(seeks)) });
        said.push(Outgoing {
            to: relays,
            message: Message::Heartbeat(Box::new(heartbeat.clone())),
        });
        said.retain(|outgoing| !outgoing.to.is_empty());
        said
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
            digest.nodes.retain(|told| told.address != relay);
            let told = self.by_address.get(&relay).map(|peer| describe(relay, peer, false, now));
            digest.nodes.extend(told);
        }
        Message::Digest(Box::new(digest))
    }

    /// Whether this node knows clearly fewer nodes than its peers do (less than 90%), or has not
    /// heard any: it may then take itself or the wrong nodes for relays.
    pub fn lacks_nodes(&self, now: Millis) -> bool {
        let heard = self.heard(now).count();
        let most = self.most_heard.map_or(usize::MAX, usize::from);
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
        let cycle = told_again_after(&digest);
        let mut is_news = self.on_heartbeat(own.address, from, name, digest.own.clone(), now);
        for told in digest.nodes.iter().filter(|told| told.address != own.address) {
            is_news |= self.on_told(told, cycle, now);
        }
        if digest.scope == Scope::All {
            self.most_heard = Some(digest.heard);
        }
        let data_centre = digest.own.data_centre.clone();
        let heard = Heard { digest, at: now };
        match heard.digest.scope {
            // A relay uses its own totals once it hears the whole fleet.
            Scope::All if self.is_relay(own, now) && self.hears_all(own, now) => {}
            Scope::All => self.of_all = Some(heard),
            Scope::DataCentre => {
                let last = self.of_data_centres.insert(data_centre, heard);
                is_news |= last.is_none();
            }
        }
        is_news
    }

    /// Handles an entry of a digest. Returns whether the node has stopped serving by it.
    fn on_told(&mut self, told: &WireNode, cycle: Millis, now: Millis) -> bool {
        let heard = now - Millis(u64::from(told.age) * AGE_UNIT_MS);
        let since = self.addresses.entry(told.address).or_insert(heard);
        *since = (*since).max(heard);
        if !told.is_gone {
            self.sharers.on_seen(told.address, now);
        }
        let Some(peer) = self.by_address.get_mut(&told.address) else {
            let silent_after = if told.is_gone { Millis::ZERO } else { LEAST_KNOWN + cycle };
            let peer = as_told(told, heard, silent_after);
            self.by_address.insert(told.address, peer);
            self.changed.insert(told.address, now);
            return false;
        };
        if told.is_gone {
            // If it was heard later, another digest will list it as alive again.
            let is_believed = peer.heard <= heard + HEARD_ALIKE && peer.is_heard(now);
            if is_believed {
                peer.silent_after = LEAST_KNOWN.min(now.since(peer.heard));
                self.gone.insert(told.address);
                self.changed.insert(told.address, now);
            }
            return is_believed && peer.heartbeat.is_ready;
        }
        if heard <= peer.heard {
            return false;
        }
        let stops = peer.heartbeat.is_ready && !told.is_ready;
        peer.heard = heard;
        peer.heartbeat.is_ready = told.is_ready;
        peer.silent_after = LEAST_KNOWN + cycle;
        if self.gone.remove(&told.address) || stops {
            self.changed.insert(told.address, now);
        }
        stops
    }

    /// Notes which nodes of this relay's data centre have gone silent.
    fn note_gone(&mut self, own: &LocalNode<'_>, now: Millis) {
        let is_gone = |peer: &Peer| {
            let is_near = peer.heartbeat.data_centre == own.data_centre;
            is_near && peer.direct.is_some() && !peer.is_heard(now)
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
        let near = self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == data_centre);
        let mut ranked: Vec<(u32, SocketAddr)> =
            near.map(|(address, peer)| (peer.rank, *address)).collect();
        ranked.sort_unstable();
        ranked.truncate(RELAYS_PER_DATA_CENTRE);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Addresses to contact beyond the relays: a node that hears no relay tries some of all
    /// possible nodes; a relay now and then tries one silent address, so that a partitioned fleet
    /// finds together again.
    fn sought(
        &mut self,
        hears_a_relay: bool,
        is_relay: bool,
        now: Millis,
        draw: u64,
    ) -> Vec<SocketAddr> {
        if hears_a_relay && (!is_relay || now.since(self.sought_at) < SEEK_EVERY) {
            return Vec::new();
        }
        self.sought_at = now;
        let is_heard = |address: &SocketAddr| {
            self.by_address.get(address).is_some_and(|peer| peer.is_heard(now))
        };
        let all = self.addresses.keys().filter(|address| !hears_a_relay || !is_heard(address));
        let all: Vec<SocketAddr> = all.copied().collect();
        let start = draw as usize % all.len().max(1);
        let most = if hears_a_relay { 1 } else { SOUGHT };
        all.iter().cycle().skip(start).take(most.min(all.len())).copied().collect()
    }

    /// Whether at least 80% of this data centre's nodes send their heartbeats to this one: if it
    /// became a relay a moment ago, the others may not have noticed yet.
    fn hears_near(&self, own: &LocalNode<'_>, now: Millis) -> bool {
        let near =
            self.heard(now).filter(|(_, peer)| peer.heartbeat.data_centre == own.data_centre);
        let (direct, all) = near.fold((0, 0), |(direct, all), (_, peer)| {
            (direct + usize::from(peer.is_direct(now)), all + 1)
        });
        direct * 5 >= all * 4
    }

    /// Whether this node receives the heartbeats of its data centre, and digests of all others.
    fn hears_all(&self, own: &LocalNode<'_>, now: Millis) -> bool {
        let is_fresh = |place: &SmolStr| {
            self.of_data_centres.get(place).is_some_and(|heard| heard.is_fresh(now))
        };
        self.hears_near(own, now) && self.far(own, now).iter().all(is_fresh)
    }

    /// The other data centres of which any node is heard.
    pub(super) fn far(&self, own: &LocalNode<'_>, now: Millis) -> BTreeSet<SmolStr> {
        let places = self.heard(now).map(|(_, peer)| &peer.heartbeat.data_centre);
        places.filter(|place| *place != own.data_centre).cloned().collect()
    }

    fn add_digest_of_data_centre(
        &mut self,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        now: Millis,
        said: &mut Vec<Outgoing>,
    ) {
        let far = self.far(own, now);
        let to: Vec<SocketAddr> = far.iter().flat_map(|place| self.relays(place, now)).collect();
        if !to.is_empty() {
            let digest = self.digest(Scope::DataCentre, own, heartbeat, now);
            said.push(Outgoing { to, message: Message::Digest(Box::new(digest)) });
        }
    }

    fn add_digest_of_all(
        &mut self,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        now: Millis,
        said: &mut Vec<Outgoing>,
    ) {
        let mut relays = self.relays(own.data_centre, now);
        relays.truncate(RELAYS_PER_DATA_CENTRE - 1);
        let is_follower = |address: &SocketAddr, peer: &Peer| {
            let is_near = peer.heartbeat.data_centre == own.data_centre;
            is_near && peer.is_direct(now) && !relays.contains(address)
        };
        let heard = self.heard(now).filter(|(address, peer)| is_follower(address, peer));
        let to: Vec<SocketAddr> = heard.map(|(address, _)| *address).collect();
        if !to.is_empty() {
            let digest = self.digest(Scope::All, own, heartbeat, now);
            said.push(Outgoing { to, message: Message::Digest(Box::new(digest)) });
        }
    }

    fn digest(
        &mut self,
        scope: Scope,
        own: &LocalNode<'_>,
        heartbeat: &Heartbeat,
        now: Millis,
    ) -> Digest {
        let mut sums = match scope {
            Scope::All => self.sums(now),
            Scope::DataCentre => self.near_sums(own.data_centre, now),
        };
        if !self.sums_hold_own(now) {
            sums.add_pulse(own.address, heartbeat, now);
        }
        let is_told =
            |peer: &Peer| scope == Scope::All || peer.heartbeat.data_centre == own.data_centre;
        let heard = self.heard(now).filter(|(_, peer)| is_told(peer)).count() + 1;
        let mut loads: Vec<WireLoad> = sums
            .by_instance
            .iter()
            .map(|(instance, (load, gap))| WireLoad::from_hash(*instance, *load, *gap))
            .collect();
        loads.sort_by_key(|told| std::cmp::Reverse(told.requests));
        loads.truncate(MOST_LOADS);
        let work = sums.by_model.iter().map(|(model, work)| WireWorkload::from_hash(*model, *work));
        let answered = sums.store_answered.unwrap_or_default();
        Digest {
            scope,
            own: Heartbeat { work: Vec::new(), loads: Vec::new(), ..heartbeat.clone() },
            nodes: self.told_nodes(scope, own, now),
            heard: heard.min(usize::from(u16::MAX)) as u16,
            acts_by: sums.acts_by.into_iter().collect(),
            store_age_ms: now.since(answered).0,
            has_traffic: sums.has_traffic,
            work: work.collect(),
            seen_percent: sums.seen_percent,
            loads,
        }
    }

    /// The aggregated state of all other nodes: from the digest of all nodes if there is a valid
    /// one, otherwise from the heartbeats and the digests of other data centres that this node
    /// receives.
    pub fn sums(&self, now: Millis) -> Sums {
        let mut sums = Sums::default();
        if let Some(heard) = self.fresh_of_all(now) {
            sums.add_digest(heard);
            return sums;
        }
        let fresh =
            |place: &SmolStr| self.of_data_centres.get(place).filter(|heard| heard.is_fresh(now));
        self.of_data_centres.values().filter(|heard| heard.is_fresh(now)).for_each(|heard| {
            sums.add_digest(heard);
        });
        for (address, peer) in self.by_address.iter().filter(|(_, peer)| peer.is_direct(now)) {
            if fresh(&peer.heartbeat.data_centre).is_none() {
                sums.add_pulse(*address, &peer.heartbeat, peer.heard);
            }
        }
        sums
    }

    /// Whether [`Peers::sums`] include this node's own state: they do if they come from a relay's
    /// digest.
    pub fn sums_hold_own(&self, now: Millis) -> bool {
        self.fresh_of_all(now).is_some()
    }

    fn near_sums(&self, data_centre: &str, now: Millis) -> Sums {
        let mut sums = Sums::default();
        let is_near =
            |peer: &Peer| peer.is_direct(now) && peer.heartbeat.data_centre == data_centre;
        for (address, peer) in self.by_address.iter().filter(|(_, peer)| is_near(peer)) {
            sums.add_pulse(*address, &peer.heartbeat, peer.heard);
        }
        sums
    }

    /// Entries for a digest: nodes that have changed, and the next ones of the round robin.
    fn told_nodes(&mut self, scope: Scope, own: &LocalNode<'_>, now: Millis) -> Vec<WireNode> {
        let is_told = |peer: &Peer| match scope {
            Scope::All => true,
            Scope::DataCentre => peer.heartbeat.data_centre == own.data_centre,
        };
        let changed = self.changed.iter().filter(|(_, at)| now.since(**at) < CHANGE_TOLD);
        let mut changed: Vec<SocketAddr> = changed.map(|(address, _)| *address).collect();
        // Nodes that are gone come before nodes that are new.
        changed.sort_by_key(|address| !self.gone.contains(address));
        let first: BTreeSet<SocketAddr> = changed.into_iter().take(MOST_CHANGED).collect();
        let heard: BTreeSet<SocketAddr> = self
            .heard(now)
            .filter(|(address, peer)| is_told(peer) && !first.contains(address))
            .map(|(address, _)| *address)
            .collect();
        let turn = &mut self.turns[usize::from(scope == Scope::All)];
        let after = heard.iter().filter(|address| turn.is_none_or(|last| **address > last));
        let in_turn =
            after.chain(heard.iter().filter(|address| turn.is_some_and(|l| **address <= l)));
        let in_turn: Vec<SocketAddr> = in_turn.take(IN_TURN).copied().collect();
        *turn = in_turn.last().copied().or(*turn);
        let all = first.iter().chain(&in_turn);
        let peers = all.filter_map(|address| Some((address, self.by_address.get(address)?)));
        let peers = peers.filter(|(_, peer)| is_told(peer));
        let is_gone = |address: &SocketAddr| self.gone.contains(address);
        peers.map(|(address, peer)| describe(*address, peer, is_gone(address), now)).collect()
    }
}

fn describe(address: SocketAddr, peer: &Peer, is_gone: bool, now: Millis) -> WireNode {
    WireNode {
        address,
        callers: peer.heartbeat.callers,
        data_centre: peer.heartbeat.data_centre.clone(),
        rank: peer.rank,
        is_ready: peer.heartbeat.is_ready,
        is_gone,
        age: (now.since(peer.heard).0 / AGE_UNIT_MS).min(u64::from(u8::MAX)) as u8,
    }
}

/// Time until one relay alone has listed all its nodes; all three together take a third of it.
fn told_again_after(digest: &Digest) -> Millis {
    let rounds = u64::from(digest.heard).div_ceil(IN_TURN as u64);
    Millis(u64::from(digest.own.next_ms) * rounds)
}

/// A peer that is known from a digest alone.
fn as_told(told: &WireNode, heard: Millis, silent_after: Millis) -> Peer {
    Peer {
        name: SmolStr::default(),
        rank: told.rank,
        heartbeat: Heartbeat {
            callers: told.callers,
            data_centre: told.data_centre.clone(),
            class: 0,
            next_ms: 0,
            is_ready: told.is_ready,
            has_traffic: false,
            config: None,
            list: None,
            acts_by: None,
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
        direct: None,
        silent_after,
    }
}
