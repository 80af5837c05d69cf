//! Nodes that tell each other how they are, without sockets: messages come some milliseconds
//! after they are said, or are lost.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_gateway::loads::Load;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Heartbeat;
use workshold_gateway::peers::ListNews;
use workshold_gateway::peers::ListRecord;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::Peers;
use workshold_gateway::peers::VERSION;
use workshold_gateway::peers::WireLoad;
use workshold_gateway::peers::WireQuarantineEntry;
use workshold_gateway::peers::exchange::LocalNode;
use workshold_gateway::peers::exchange::Outgoing;
use workshold_gateway::peers::news::ListGap;
use workshold_gateway::peers::news::STORE_READERS;
use workshold_protocol::Millis;

pub const DATA_CENTRES: usize = 5;
/// Heads of groups, and how many of them a node has requests at.
pub const HEADS: u32 = 110;
pub const HEADS_EACH: u32 = 3;
pub const PERIOD: Millis = Millis(300);
/// However much is new, a node speaks no more often than this.
pub const GAP: Millis = Millis(100);
pub const TICK: Millis = Millis(5);
pub const NOW: Millis = Millis(100_000);
/// Requests that ended whoever ran them, in one pulse.
pub const MOST_REQUESTS: usize = 16;
/// All nodes hear of each other by then, from a start with one known address.
pub const SETTLES: Millis = Millis(8_000);
/// One datagram in so many is lost, usually.
pub const LOST: u32 = 100;

/// A node.
pub struct Sim {
    pub peers: Peers,
    pub name: String,
    pub data_centre: String,
    pub next: Millis,
    pub spoke: Millis,
    pub is_up: bool,
    /// How well it carries work for others, 0 best.
    pub class: u8,
    /// Requests at head 0, the one that is looked at.
    pub at_head: u32,
    pub quarantine: Quarantine,
    pub sent: u64,
    pub taken: u64,
    pub taken_bytes: u64,
    /// Where its list of instances ends.
    pub list: u64,
    /// What of it this node has passed on.
    pub told: u64,
    pub gap: ListGap,
    /// When it reads the store again, passes news on again, and may ask again.
    pub reads: Millis,
    pub tells: Millis,
    pub asks: Millis,
    /// Whether it has read something itself that it has not passed on.
    pub has_read: bool,
}

/// Bytes of an entry, and the least and most time between two readings.
pub const ENTRY: usize = 400;
pub const READ_LEAST: u64 = 600;
pub const READ_MOST: u64 = 1_200;
/// News is passed on no more often than this.
pub const TELL_EVERY: Millis = Millis(40);
/// A peer is asked no more often than this; one that is gone costs as much.
pub const ASK_EVERY: Millis = Millis(200);

/// Nodes and what is on its way between them.
pub struct Fleet {
    pub now: Millis,
    pub nodes: Vec<Sim>,
    pub under_way: BTreeMap<Millis, Vec<(usize, SocketAddr, Vec<u8>)>>,
    pub rng: ChaCha8Rng,
    /// Where the store's list of instances ends.
    pub end: u64,
    /// One datagram in so many is lost.
    pub lost: u32,
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_340))
}

pub fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("all are of one kind") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl Fleet {
    /// All know of one node only, whom the store names.
    pub fn start(nodes: usize) -> Self {
        Self::start_with(nodes, |_| 0)
    }

    /// The same with nodes that carry work for others more or less well.
    pub fn start_with(nodes: usize, class: impl Fn(usize) -> u8) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(nodes as u64);
        let node = |i: usize| {
            let class = class(i);
            let mut peers = Peers::with_class(class);
            if i > 0 {
                peers.add(address(0), NOW);
            }
            Sim {
                peers,
                name: format!("node-{i}"),
                data_centre: format!("dc-{}", i % DATA_CENTRES),
                next: NOW + Millis(rng.random_range(0..300)),
                spoke: Millis::ZERO,
                is_up: true,
                class,
                at_head: 0,
                quarantine: Quarantine::default(),
                sent: 0,
                taken: 0,
                taken_bytes: 0,
                list: 12,
                told: 12,
                gap: ListGap::default(),
                reads: NOW,
                tells: NOW,
                asks: NOW,
                has_read: false,
            }
        };
        let nodes = (0..nodes).map(node).collect();
        Self { now: NOW, nodes, under_way: BTreeMap::new(), rng, end: 12, lost: LOST }
    }

    pub fn heartbeat(&self, i: usize) -> Heartbeat {
        let told = |head: u32, requests| WireLoad::from_hash(head, Load { requests, unread: 0 }, 9);
        let head = |k: u32| 1 + (i as u32 * 7 + k * 31) % (HEADS - 1);
        let mut loads: Vec<_> = (0..HEADS_EACH).map(|k| told(head(k), 1)).collect();
        loads.push(told(0, self.nodes[i].at_head));
        Heartbeat {
            callers: address(i),
            data_centre: SmolStr::new(&self.nodes[i].data_centre),
            class: self.nodes[i].class,
            next_ms: PERIOD.0 as u16,
            is_ready: true,
            has_traffic: true,
            config: Some((7, 100)),
            list: Some((self.nodes[i].list.into(), 100)),
            acts_by: None,
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

    pub fn run(&mut self, lasts: Millis) {
        let until = self.now + lasts;
        while self.now < until {
            self.now = self.now + TICK;
            let later = self.under_way.split_off(&(self.now + Millis(1)));
            for (to, from, bytes) in
                std::mem::replace(&mut self.under_way, later).into_values().flatten()
            {
                self.take(to, from, &bytes);
            }
            for i in 0..self.nodes.len() {
                if self.nodes[i].is_up && self.nodes[i].next <= self.now {
                    self.speak(i);
                }
                if self.nodes[i].is_up {
                    self.follow_list(i);
                }
            }
        }
    }

    fn speak(&mut self, i: usize) {
        let mut heartbeat = self.heartbeat(i);
        let told = self.nodes[i].quarantine.next_to_gossip(MOST_REQUESTS, self.now);
        heartbeat.requests =
            told.iter().map(|known| WireQuarantineEntry::new(known, self.now)).collect();
        let draw = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[i];
        let own =
            LocalNode { address: address(i), name: &node.name, data_centre: &node.data_centre };
        let said = node.peers.outgoing(&own, &heartbeat, now, draw);
        node.peers.forget(now);
        node.spoke = now;
        node.next = now + PERIOD;
        said.into_iter().for_each(|outgoing| self.send(i, outgoing));
    }

    /// Reads the list if it is this node's part, passes on what is new, asks for what is
    /// missing.
    fn follow_list(&mut self, i: usize) {
        let now = self.now;
        let own_address = address(i);
        let node = &mut self.nodes[i];
        let reads = node.peers.ranks_among_first(&node.name, &node.data_centre, STORE_READERS, now);
        if reads && node.list < self.end && node.reads <= now {
            node.list = self.end;
            node.has_read = true;
            node.gap.on_own_list_end(node.list.into());
            node.reads = now + Millis(self.rng.random_range(READ_LEAST..READ_MOST));
        }
        let own =
            LocalNode { address: own_address, name: &node.name, data_centre: &node.data_centre };
        if node.gap.time_until_fetch(now) == Some(Millis::ZERO) && node.asks <= now {
            let draw = self.rng.random::<u32>() as usize;
            let asked = node.peers.fetch_source(&own, Some(node.list.into()), draw, now);
            node.asks = now + ASK_EVERY;
            if let Some(other) = asked.map(index).filter(|other| self.nodes[*other].is_up) {
                let list = self.nodes[other].list;
                self.take_list(i, list);
            }
        }
        let node = &mut self.nodes[i];
        if node.told < node.list && node.tells <= now {
            let own = LocalNode {
                address: own_address,
                name: &node.name,
                data_centre: &node.data_centre,
            };
            let to = node.peers.news_recipients(&own, std::mem::take(&mut node.has_read), now);
            let news = news(node.told, node.list);
            node.told = node.list;
            node.tells = now + TELL_EVERY;
            for piece in news.into_datagrams() {
                self.send(i, Outgoing { to: to.clone(), message: Message::News(piece) });
            }
        }
    }

    /// A node's list goes on to `list` now.
    fn take_list(&mut self, i: usize, list: u64) {
        let node = &mut self.nodes[i];
        node.list = node.list.max(list);
        node.gap.on_own_list_end(node.list.into());
    }

    /// How many of those that are up lack the newest of the list.
    pub fn behind(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_up && node.list < self.end).count()
    }

    pub fn send(&mut self, i: usize, outgoing: Outgoing) {
        let from = SmolStr::new(&self.nodes[i].name);
        let datagram = Datagram { version: VERSION, from, message: outgoing.message };
        let bytes = postcard::to_stdvec(&datagram).unwrap();
        assert!(bytes.len() < 8 * 1024, "a datagram of {} bytes", bytes.len());
        for to in outgoing.to {
            self.nodes[i].sent += 1;
            if self.rng.random_range(0..self.lost) > 0 {
                let comes = self.now + Millis(self.rng.random_range(1..8));
                let message = (index(to), address(i), bytes.clone());
                self.under_way.entry(comes).or_default().push(message);
            }
        }
    }

    pub fn take(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let own_pulse = self.heartbeat(to);
        let node = &mut self.nodes[to];
        if !node.is_up {
            return;
        }
        node.taken += 1;
        node.taken_bytes += bytes.len() as u64;
        let datagram: Datagram = postcard::from_bytes(bytes).unwrap();
        let name = datagram.from;
        let own =
            LocalNode { address: address(to), name: &node.name, data_centre: &node.data_centre };
        match &datagram.message {
            Message::News(news) if node.list >= news.from.offset => {
                let list = news.next.offset;
                self.take_list(to, list);
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
        let told = match &datagram.message {
            Message::Heartbeat(heartbeat) => &heartbeat.requests[..],
            Message::Digest(digest) => &digest.own.requests,
            _ => &[],
        };
        let passes_on = node.peers.is_relay(&own, now);
        told.iter().for_each(|told| {
            node.quarantine.take(&told.known(now), passes_on);
        });
        let is_telling = node.quarantine.has_news();
        let is_news = match datagram.message {
            Message::Heartbeat(heartbeat) => {
                let seeks = heartbeat.seeks.then(|| heartbeat.data_centre.clone());
                let is_news = node.peers.on_heartbeat(own.address, from, name, *heartbeat, now);
                answer = seeks.map(|place| node.peers.answer(&own, &own_pulse, &place, now));
                is_news
            }
            Message::Digest(digest) => node.peers.on_digest(&own, from, name, *digest, now),
            _ => false,
        };
        if is_telling || (is_news && node.peers.is_relay(&own, now)) {
            node.next = node.next.min(node.spoke + GAP).max(now);
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

    /// How many of those that are up each node hears, the least and the most.
    pub fn heard(&self) -> (usize, usize) {
        let up = self.nodes.iter().filter(|node| node.is_up);
        let heard = up.map(|node| node.peers.heard(self.now).count());
        let heard: Vec<usize> = heard.collect();
        (*heard.iter().min().unwrap(), *heard.iter().max().unwrap())
    }

    pub fn set_at_head(&mut self, requests: u32) {
        self.nodes.iter_mut().for_each(|node| node.at_head = requests);
    }

    /// Part of what all others have at the first head that the worst informed node sees.
    pub fn least_seen(&self) -> f64 {
        let all: u32 = self.nodes.iter().filter(|node| node.is_up).map(|node| node.at_head).sum();
        let up = self.nodes.iter().filter(|node| node.is_up);
        let seen = up.map(|node| {
            let seen = node.peers.loads(self.now).get(&0).map_or(0, |load| load.requests);
            f64::from(seen) / f64::from(all - node.at_head)
        });
        seen.fold(f64::MAX, f64::min)
    }

    /// Messages and bytes a second, of those that are no relays: the most, and the mean
    /// over all of messages.
    pub fn traffic(&mut self, over: Millis) -> (f64, f64, f64) {
        for node in &mut self.nodes {
            (node.sent, node.taken, node.taken_bytes) = (0, 0, 0);
        }
        self.run(over);
        let seconds = over.as_secs_f64();
        let followers: Vec<usize> = (0..self.nodes.len()).filter(|i| !self.is_relay(*i)).collect();
        let messages = |i: &usize| (self.nodes[*i].sent + self.nodes[*i].taken) as f64 / seconds;
        let bytes = |i: &usize| self.nodes[*i].taken_bytes as f64 / seconds;
        let most_messages = followers.iter().map(messages).fold(0.0, f64::max);
        let most_bytes = followers.iter().map(bytes).fold(0.0, f64::max);
        let all: f64 = (0..self.nodes.len()).map(|i| messages(&i)).sum();
        (most_messages, most_bytes, all / self.nodes.len() as f64)
    }
}

/// An entry for each place of the list.
fn news(from: u64, next: u64) -> ListNews {
    let record = |offset: u64| ListRecord {
        place: offset.into(),
        key: SmolStr::new(format!("i-{offset}")),
        value: vec![b'x'; ENTRY],
    };
    ListNews {
        from: from.into(),
        next: next.into(),
        copy_end: 0.into(),
        age_ms: 0,
        records: (from..next).map(record).collect(),
    }
}
