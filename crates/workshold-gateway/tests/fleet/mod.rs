//! A simulation of gossip between many nodes, without sockets: messages arrive some milliseconds
//! after they are sent, or are lost.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use workshold_core::hosted::evacuation::Evacuations;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_gateway::loads::Load;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::ListNews;
use workshold_gateway::peers::ListRecord;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::Peers;
use workshold_gateway::peers::VERSION;
use workshold_gateway::peers::WireEvacuations;
use workshold_gateway::peers::WireLoad;
use workshold_gateway::peers::WireQuarantineEntry;
use workshold_gateway::peers::exchange::LocalNode;
use workshold_gateway::peers::exchange::Outgoing;
use workshold_gateway::peers::news::ListGap;
use workshold_gateway::peers::news::STORE_READERS;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;

pub const DATA_CENTRES: usize = 5;
/// Heads of groups, and at how many of them each node has requests.
pub const HEADS: u32 = 110;
pub const HEADS_PER_NODE: u32 = 3;
/// Time between two heartbeats of a node that has no news.
pub const HEARTBEAT_INTERVAL: Millis = Millis(300);
/// Least time between two heartbeats, however much is new.
pub const MIN_HEARTBEAT_INTERVAL: Millis = Millis(100);
/// Step of the simulated clock.
pub const TICK: Millis = Millis(5);
/// Time at which a simulation starts.
pub const NOW: Millis = Millis(100_000);
/// Most quarantine entries in one heartbeat.
pub const MAX_QUARANTINE_ENTRIES: usize = 16;
/// Time in which all nodes come to hear each other, starting with one known address.
pub const SETTLE_TIME: Millis = Millis(8_000);
/// By default one datagram in this many is lost.
pub const ONE_LOST_IN: u32 = 100;

/// A simulated node.
pub struct SimNode {
    pub peers: Peers,
    pub name: String,
    pub data_centre: String,
    /// When it sends the next heartbeat, and when it sent the last one.
    pub next_heartbeat_at: Millis,
    pub last_heartbeat_at: Millis,
    pub is_up: bool,
    /// Class of its suitability as a relay; 0 is the best.
    pub class: u8,
    /// Its requests at head 0, the one whose load the tests examine.
    pub requests_at_head: u32,
    pub quarantine: Quarantine,
    pub evacuations: Evacuations,
    /// Datagrams sent and received, and bytes received.
    pub sent: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Offset at which its instance list ends.
    pub list: u64,
    /// Offset up to which it has passed the list on.
    pub list_sent: u64,
    pub gap: ListGap,
    /// Earliest times of its next read of the store, news to peers, and fetch from a peer.
    pub next_read_at: Millis,
    pub next_news_at: Millis,
    pub next_fetch_at: Millis,
    /// Whether it has itself read records from the store that it has not passed on.
    pub has_unsent_reads: bool,
}

/// Bytes of an entry, and the shortest and longest time between two reads of the store, in ms.
pub const ENTRY_LEN: usize = 400;
pub const READ_INTERVAL_MIN_MS: u64 = 600;
pub const READ_INTERVAL_MAX_MS: u64 = 1_200;
/// Least time between two batches of news from one node.
pub const NEWS_INTERVAL: Millis = Millis(40);
/// Least time between two fetches from peers; a fetch from a dead peer costs as much.
pub const FETCH_INTERVAL: Millis = Millis(200);

/// The simulated nodes and the datagrams in flight between them.
pub struct Fleet {
    pub now: Millis,
    pub nodes: Vec<SimNode>,
    /// By time of arrival: recipient, sender's address and bytes.
    pub in_flight: BTreeMap<Millis, Vec<(usize, SocketAddr, Vec<u8>)>>,
    pub rng: ChaCha8Rng,
    /// Offset at which the store's instance list ends.
    pub end: u64,
    /// One datagram in this many is lost.
    pub one_lost_in: u32,
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_340))
}

pub fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("all addresses are IPv4") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl Fleet {
    /// Starts nodes that know only node 0, which the store names.
    pub fn start(nodes: usize) -> Self {
        Self::start_with(nodes, |_| 0)
    }

    /// Like [`Self::start`], with a relay class for each node.
    pub fn start_with(nodes: usize, class: impl Fn(usize) -> u8) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(nodes as u64);
        let node = |i: usize| {
            let class = class(i);
            let mut peers = Peers::with_class(class);
            if i > 0 {
                peers.add(address(0), NOW);
            }
            SimNode {
                peers,
                name: format!("node-{i}"),
                data_centre: format!("dc-{}", i % DATA_CENTRES),
                next_heartbeat_at: NOW + Millis(rng.random_range(0..300)),
                last_heartbeat_at: Millis::ZERO,
                is_up: true,
                class,
                requests_at_head: 0,
                quarantine: Quarantine::default(),
                evacuations: Evacuations::default(),
                sent: 0,
                received: 0,
                received_bytes: 0,
                list: 12,
                list_sent: 12,
                gap: ListGap::default(),
                next_read_at: NOW,
                next_news_at: NOW,
                next_fetch_at: NOW,
                has_unsent_reads: false,
            }
        };
        let nodes = (0..nodes).map(node).collect();
        Self { now: NOW, nodes, in_flight: BTreeMap::new(), rng, end: 12, one_lost_in: ONE_LOST_IN }
    }

    pub fn heartbeat(&self, i: usize) -> Heartbeat {
        let wire_load =
            |head: u32, requests| WireLoad::from_hash(head, Load { requests, unread: 0 }, 9);
        let head = |k: u32| 1 + (i as u32 * 7 + k * 31) % (HEADS - 1);
        let mut loads: Vec<_> = (0..HEADS_PER_NODE).map(|k| wire_load(head(k), 1)).collect();
        loads.push(wire_load(0, self.nodes[i].requests_at_head));
        Heartbeat {
            callers: address(i),
            data_centre: SmolStr::new(&self.nodes[i].data_centre),
            class: self.nodes[i].class,
            next_ms: HEARTBEAT_INTERVAL.0 as u16,
            is_ready: true,
            has_traffic: true,
            config: Some((7, 100)),
            evacuations: self.nodes[i].evacuations.known().map(|(end, evacuated)| {
                let names = evacuated.iter().map(|name| SmolStr::new(name.as_str()));
                WireEvacuations { end, data_centres: names.collect() }
            }),
            list: Some((self.nodes[i].list.into(), 100)),
            acts_by: None,
            holds_lease: false,
            past: None,
            store_age_ms: 100,
            list_trouble_ms: None,
            hears: Vec::new(),
            seeks: false,
            work: Vec::new(),
            seen_percent: 100,
            loads,
            requests: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
        }
    }

    pub fn run(&mut self, duration: Millis) {
        let until = self.now + duration;
        while self.now < until {
            self.now = self.now + TICK;
            let later = self.in_flight.split_off(&(self.now + Millis(1)));
            for (to, from, bytes) in
                std::mem::replace(&mut self.in_flight, later).into_values().flatten()
            {
                self.take(to, from, &bytes);
            }
            for i in 0..self.nodes.len() {
                if self.nodes[i].is_up && self.nodes[i].next_heartbeat_at <= self.now {
                    self.send_heartbeat(i);
                }
                if self.nodes[i].is_up {
                    self.sync_list(i);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, i: usize) {
        let mut heartbeat = self.heartbeat(i);
        let entries = self.nodes[i].quarantine.next_to_gossip(MAX_QUARANTINE_ENTRIES, self.now);
        heartbeat.requests =
            entries.iter().map(|entry| WireQuarantineEntry::new(entry, self.now)).collect();
        let draw = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[i];
        let own =
            LocalNode { address: address(i), name: &node.name, data_centre: &node.data_centre };
        let to_send = node.peers.outgoing(&own, &heartbeat, now, draw);
        node.peers.forget(now);
        node.last_heartbeat_at = now;
        node.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        to_send.into_iter().for_each(|outgoing| self.send(i, outgoing));
    }

    /// Reads the store if the node is one of its readers, fetches missing records from a peer, and
    /// passes on new ones.
    fn sync_list(&mut self, i: usize) {
        let now = self.now;
        let own_address = address(i);
        let node = &mut self.nodes[i];
        let is_reader =
            || node.peers.ranks_among_first(&node.name, &node.data_centre, STORE_READERS, now);
        if node.list < self.end && node.next_read_at <= now && is_reader() {
            node.list = self.end;
            node.has_unsent_reads = true;
            node.gap.on_own_list_end(node.list.into());
            node.next_read_at =
                now + Millis(self.rng.random_range(READ_INTERVAL_MIN_MS..READ_INTERVAL_MAX_MS));
        }
        let own =
            LocalNode { address: own_address, name: &node.name, data_centre: &node.data_centre };
        if node.gap.time_until_fetch(now) == Some(Millis::ZERO) && node.next_fetch_at <= now {
            let draw = self.rng.random::<u32>() as usize;
            let asked = node.peers.fetch_source(&own, Some(node.list.into()), draw, now);
            node.next_fetch_at = now + FETCH_INTERVAL;
            if let Some(other) = asked.map(index).filter(|other| self.nodes[*other].is_up) {
                let list = self.nodes[other].list;
                self.advance_list(i, list);
            }
        }
        let node = &mut self.nodes[i];
        if node.list_sent < node.list && node.next_news_at <= now {
            let own = LocalNode {
                address: own_address,
                name: &node.name,
                data_centre: &node.data_centre,
            };
            let to =
                node.peers.news_recipients(&own, std::mem::take(&mut node.has_unsent_reads), now);
            let news = news(node.list_sent, node.list);
            node.list_sent = node.list;
            node.next_news_at = now + NEWS_INTERVAL;
            for piece in news.into_datagrams() {
                self.send(i, Outgoing { to: to.clone(), message: Message::News(piece) });
            }
        }
    }

    /// Advances a node's list to offset `list`.
    fn advance_list(&mut self, i: usize, list: u64) {
        let node = &mut self.nodes[i];
        node.list = node.list.max(list);
        node.gap.on_own_list_end(node.list.into());
    }

    /// How many running nodes lack the newest record of the list.
    pub fn count_behind(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_up && node.list < self.end).count()
    }

    pub fn send(&mut self, i: usize, outgoing: Outgoing) {
        let from = SmolStr::new(&self.nodes[i].name);
        let datagram = Datagram { version: VERSION, from, message: outgoing.message };
        let bytes = postcard::to_stdvec(&datagram).unwrap();
        assert!(bytes.len() < 8 * 1024, "a datagram has {} bytes", bytes.len());
        for to in outgoing.to {
            self.nodes[i].sent += 1;
            if self.rng.random_range(0..self.one_lost_in) > 0 {
                let arrives_at = self.now + Millis(self.rng.random_range(1..8));
                let message = (index(to), address(i), bytes.clone());
                self.in_flight.entry(arrives_at).or_default().push(message);
            }
        }
    }

    pub fn take(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let own_heartbeat = self.heartbeat(to);
        let node = &mut self.nodes[to];
        if !node.is_up {
            return;
        }
        node.received += 1;
        node.received_bytes += bytes.len() as u64;
        let datagram: Datagram = postcard::from_bytes(bytes).unwrap();
        let name = datagram.from;
        let own =
            LocalNode { address: address(to), name: &node.name, data_centre: &node.data_centre };
        match &datagram.message {
            Message::News(news) if node.list >= news.from.offset => {
                let list = news.next.offset;
                self.advance_list(to, list);
                return;
            }
            Message::News(news) => {
                node.gap.on_peer_list_end(Some(node.list.into()), news.next, now);
                return;
            }
            Message::Heartbeat(heartbeat) => {
                if let Some((end, _)) = heartbeat.list {
                    node.gap.on_peer_list_end(Some(node.list.into()), end, now);
                }
            }
            Message::Digest(digest) => {
                let end = digest.own.list.map_or(0.into(), |(end, _)| end);
                node.gap.on_peer_list_end(Some(node.list.into()), end, now);
            }
            _ => {}
        }
        let mut answer = None;
        let entries = match &datagram.message {
            Message::Heartbeat(heartbeat) => &heartbeat.requests[..],
            Message::Digest(digest) => &digest.own.requests,
            _ => &[],
        };
        let is_relay_now = node.peers.is_relay(&own, now);
        entries.iter().for_each(|entry| {
            node.quarantine.take(&entry.known(now), is_relay_now);
        });
        let has_quarantine_news = node.quarantine.has_news();
        let evacuations = match &datagram.message {
            Message::Heartbeat(heartbeat) => heartbeat.evacuations.as_ref(),
            Message::Digest(digest) => digest.own.evacuations.as_ref(),
            _ => None,
        };
        let has_evacuations = evacuations.is_some_and(|told| {
            let names = told.data_centres.iter().map(|name| DataCentre::new(name).unwrap());
            node.evacuations.adopt(told.end, names.collect(), now)
        });
        let is_news = match datagram.message {
            Message::Heartbeat(heartbeat) => {
                let seeks = heartbeat.seeks.then(|| heartbeat.data_centre.clone());
                let is_news = node.peers.on_heartbeat(own.address, from, name, *heartbeat, now);
                answer = seeks.map(|place| node.peers.answer(&own, &own_heartbeat, &place, now));
                is_news
            }
            Message::Digest(digest) => node.peers.on_digest(&own, from, name, *digest, now),
            _ => false,
        };
        if has_quarantine_news || has_evacuations || (is_news && node.peers.is_relay(&own, now)) {
            node.next_heartbeat_at = node
                .next_heartbeat_at
                .min(node.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL)
                .max(now);
        }
        if let Some(message) = answer {
            self.send(to, Outgoing { to: vec![from], message });
        }
    }

    pub fn is_relay(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        let own =
            LocalNode { address: address(i), name: &node.name, data_centre: &node.data_centre };
        node.peers.is_relay(&own, self.now)
    }

    pub fn relays(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].is_up && self.is_relay(*i)).collect()
    }

    /// How many peers the running nodes hear: the fewest and the most of any node.
    pub fn heard(&self) -> (usize, usize) {
        let up = self.nodes.iter().filter(|node| node.is_up);
        let heard = up.map(|node| node.peers.heard(self.now).count());
        let heard: Vec<usize> = heard.collect();
        (*heard.iter().min().unwrap(), *heard.iter().max().unwrap())
    }

    /// How many running nodes would name a node that is down to callers.
    pub fn naming_dead_nodes(&self) -> usize {
        let is_dead = |address: &SocketAddr| !self.nodes[index(*address)].is_up;
        let names_dead = |node: &&SimNode| {
            let mut heard = node.peers.heard(self.now);
            node.is_up && heard.any(|(at, peer)| peer.heartbeat.is_ready && is_dead(at))
        };
        self.nodes.iter().filter(names_dead).count()
    }

    pub fn set_requests_at_head(&mut self, requests: u32) {
        self.nodes.iter_mut().for_each(|node| node.requests_at_head = requests);
    }

    /// The share of its peers' requests at head 0 that a node knows of, at the node where it is
    /// lowest.
    pub fn min_observed_share(&self) -> f64 {
        let all: u32 =
            self.nodes.iter().filter(|node| node.is_up).map(|node| node.requests_at_head).sum();
        let up = self.nodes.iter().filter(|node| node.is_up);
        let seen = up.map(|node| {
            let seen = node.peers.loads(self.now).get(&0).map_or(0, |load| load.requests);
            f64::from(seen) / f64::from(all - node.requests_at_head)
        });
        seen.fold(f64::MAX, f64::min)
    }

    /// Messages per second and bytes per second of the busiest node that is not a relay, and the
    /// mean messages per second of all nodes.
    pub fn traffic(&mut self, over: Millis) -> (f64, f64, f64) {
        for node in &mut self.nodes {
            (node.sent, node.received, node.received_bytes) = (0, 0, 0);
        }
        self.run(over);
        let seconds = over.as_secs_f64();
        let followers: Vec<usize> = (0..self.nodes.len()).filter(|i| !self.is_relay(*i)).collect();
        let messages = |i: &usize| (self.nodes[*i].sent + self.nodes[*i].received) as f64 / seconds;
        let bytes = |i: &usize| self.nodes[*i].received_bytes as f64 / seconds;
        let most_messages = followers.iter().map(messages).fold(0.0, f64::max);
        let most_bytes = followers.iter().map(bytes).fold(0.0, f64::max);
        let all: f64 = (0..self.nodes.len()).map(|i| messages(&i)).sum();
        (most_messages, most_bytes, all / self.nodes.len() as f64)
    }
}

/// News with one entry for each offset from `from` up to `next`.
fn news(from: u64, next: u64) -> ListNews {
    let record = |offset: u64| ListRecord {
        place: offset.into(),
        key: SmolStr::new(format!("i-{offset}")),
        value: vec![b'x'; ENTRY_LEN],
    };
    ListNews {
        from: from.into(),
        next: next.into(),
        copy_end: 0.into(),
        age_ms: 0,
        records: (from..next).map(record).collect(),
    }
}
