//! What nodes tell each other: how much of it there is, how old it gets, and who is missed
//! when relays fall silent. No sockets: messages come some milliseconds after they are
//! said, or are lost.
//!
//! The load that this answers: several hundred nodes of which each told all others how it
//! was, 460 datagrams a second each, so that telling cost more than serving.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use smol_str::SmolStr;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::Standing;
use workshold_core::hosted::quarantine::Subject;
use workshold_gateway::loads::Load;
use workshold_gateway::peers::Datagram;
use workshold_gateway::peers::Message;
use workshold_gateway::peers::Peers;
use workshold_gateway::peers::Pulse;
use workshold_gateway::peers::ToldLoad;
use workshold_gateway::peers::ToldRequest;
use workshold_gateway::peers::VERSION;
use workshold_gateway::peers::exchange::Outgoing;
use workshold_gateway::peers::exchange::Own;
use workshold_gateway::peers::exchange::RELAYS;
use workshold_protocol::Millis;

const DATA_CENTRES: usize = 5;
/// Heads of groups, and how many of them a node has requests at.
const HEADS: u32 = 110;
const HEADS_EACH: u32 = 3;
const PERIOD: Millis = Millis(300);
/// However much is new, a node speaks no more often than this.
const GAP: Millis = Millis(100);
const TICK: Millis = Millis(5);
const NOW: Millis = Millis(100_000);
/// Requests that ended whoever ran them, in one pulse.
const MOST_REQUESTS: usize = 16;
/// All nodes hear of each other by then, from a start with one known address.
const SETTLES: Millis = Millis(8_000);
/// One datagram in so many is lost.
const LOST: u32 = 100;

struct Sim {
    peers: Peers,
    name: String,
    data_centre: String,
    next: Millis,
    spoke: Millis,
    is_up: bool,
    /// Requests at head 0, the one that is looked at.
    at_head: u32,
    quarantine: Quarantine,
    sent: u64,
    taken: u64,
    taken_bytes: u64,
}

struct Fleet {
    now: Millis,
    nodes: Vec<Sim>,
    under_way: BTreeMap<Millis, Vec<(usize, SocketAddr, Vec<u8>)>>,
    rng: ChaCha8Rng,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7_340))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("all are of one kind") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl Fleet {
    /// All know of one node only, whom the store names.
    fn start(nodes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(nodes as u64);
        let node = |i: usize| {
            let mut peers = Peers::default();
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
                at_head: 0,
                quarantine: Quarantine::default(),
                sent: 0,
                taken: 0,
                taken_bytes: 0,
            }
        };
        let nodes = (0..nodes).map(node).collect();
        Self { now: NOW, nodes, under_way: BTreeMap::new(), rng }
    }

    fn pulse(&self, i: usize) -> Pulse {
        let told = |head: u32, requests| ToldLoad::of_short(head, Load { requests, unread: 0 }, 9);
        let head = |k: u32| 1 + (i as u32 * 7 + k * 31) % (HEADS - 1);
        let mut loads: Vec<_> = (0..HEADS_EACH).map(|k| told(head(k), 1)).collect();
        loads.push(told(0, self.nodes[i].at_head));
        Pulse {
            callers: address(i),
            data_centre: SmolStr::new(&self.nodes[i].data_centre),
            next_ms: PERIOD.0 as u16,
            is_ready: true,
            has_traffic: true,
            config: Some((7, 100)),
            list: Some((12, 100)),
            acts_by: None,
            store_age_ms: 100,
            list_trouble_ms: None,
            hears: Vec::new(),
            seeks: false,
            work: Vec::new(),
            seen_percent: 100,
            loads,
            requests: Vec::new(),
        }
    }

    fn run(&mut self, lasts: Millis) {
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
            }
        }
    }

    fn speak(&mut self, i: usize) {
        let mut pulse = self.pulse(i);
        let told = self.nodes[i].quarantine.to_tell(MOST_REQUESTS, self.now);
        pulse.requests = told.iter().map(|known| ToldRequest::new(known, self.now)).collect();
        let draw = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[i];
        let own = Own { address: address(i), name: &node.name, data_centre: &node.data_centre };
        let said = node.peers.outgoing(&own, &pulse, now, draw);
        node.peers.forget(now);
        node.spoke = now;
        node.next = now + PERIOD;
        said.into_iter().for_each(|outgoing| self.send(i, outgoing));
    }

    fn send(&mut self, i: usize, outgoing: Outgoing) {
        let from = SmolStr::new(&self.nodes[i].name);
        let datagram = Datagram { version: VERSION, from, message: outgoing.message };
        let bytes = postcard::to_stdvec(&datagram).unwrap();
        assert!(bytes.len() < 8 * 1024, "a datagram of {} bytes", bytes.len());
        for to in outgoing.to {
            self.nodes[i].sent += 1;
            if self.rng.random_range(0..LOST) > 0 {
                let comes = self.now + Millis(self.rng.random_range(1..8));
                let message = (index(to), address(i), bytes.clone());
                self.under_way.entry(comes).or_default().push(message);
            }
        }
    }

    fn take(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let own_pulse = self.pulse(to);
        let node = &mut self.nodes[to];
        if !node.is_up {
            return;
        }
        node.taken += 1;
        node.taken_bytes += bytes.len() as u64;
        let datagram: Datagram = postcard::from_bytes(bytes).unwrap();
        let name = datagram.from;
        let own = Own { address: address(to), name: &node.name, data_centre: &node.data_centre };
        let mut answer = None;
        let told = match &datagram.message {
            Message::Pulse(pulse) => &pulse.requests[..],
            Message::Digest(digest) => &digest.own.requests,
            _ => &[],
        };
        let passes_on = node.peers.is_relay(&own, now);
        told.iter().for_each(|told| {
            node.quarantine.take(&told.known(now), passes_on);
        });
        let is_telling = node.quarantine.has_news();
        let is_news = match datagram.message {
            Message::Pulse(pulse) => {
                let seeks = pulse.seeks.then(|| pulse.data_centre.clone());
                let is_news = node.peers.on_pulse(own.address, from, name, pulse, now);
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

    fn is_relay(&self, i: usize) -> bool {
        let node = &self.nodes[i];
        let own = Own { address: address(i), name: &node.name, data_centre: &node.data_centre };
        node.peers.is_relay(&own, self.now)
    }

    fn relays(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].is_up && self.is_relay(*i)).collect()
    }

    /// How many of those that are up each node hears, the least and the most.
    fn heard(&self) -> (usize, usize) {
        let up = self.nodes.iter().filter(|node| node.is_up);
        let heard = up.map(|node| node.peers.heard(self.now).count());
        let heard: Vec<usize> = heard.collect();
        (*heard.iter().min().unwrap(), *heard.iter().max().unwrap())
    }

    fn set_at_head(&mut self, requests: u32) {
        self.nodes.iter_mut().for_each(|node| node.at_head = requests);
    }

    /// Part of what all others have at the first head that the worst informed node sees.
    fn least_seen(&self) -> f64 {
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
    fn traffic(&mut self, over: Millis) -> (f64, f64, f64) {
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

#[rstest]
#[case(10)]
#[case(100)]
#[case(372)]
fn all_come_to_hear_of_each_other_although_the_store_names_one_only(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    let all = (nodes - 1, nodes - 1);
    for _ in 0..10 {
        if fleet.heard() == all {
            break;
        }
        fleet.run(Millis(300));
    }
    assert_eq!(fleet.heard(), all);
    let expected = nodes.min(RELAYS * DATA_CENTRES);
    assert_eq!(fleet.relays().len(), expected, "all agree who the relays are");
}

/// A node's messages do not grow with the number of nodes, nor do its bytes beyond what
/// there is to tell of heads and, in turn, of nodes.
#[test]
fn what_a_node_says_and_takes_does_not_grow_with_the_number_of_nodes() {
    let mut means = Vec::new();
    for nodes in [30, 100, 372] {
        let mut fleet = Fleet::start(nodes);
        fleet.run(SETTLES);
        let (messages, bytes, mean) = fleet.traffic(Millis(6_000));
        assert!(messages < 26.0, "{nodes} nodes: {messages} messages a second");
        assert!(bytes < 26_000.0, "{nodes} nodes: {bytes} bytes a second");
        means.push(mean);
    }
    assert!(means[2] < 1.25 * means[0], "a node's messages at 30, 100 and 372: {means:?}");
}

#[rstest]
#[case(10)]
#[case(100)]
#[case(372)]
fn what_all_have_at_a_head_is_known_everywhere_within_a_second(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    fleet.set_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.least_seen() > 0.97, "{}", fleet.least_seen());
}

/// One relay of each data centre dies at the same moment.
#[rstest]
#[case(100)]
#[case(372)]
fn nobody_misses_a_relay_while_others_are_there(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    for data_centre in 0..DATA_CENTRES {
        let relays = fleet.relays();
        let first = relays.into_iter().find(|i| i % DATA_CENTRES == data_centre).unwrap();
        fleet.nodes[first].is_up = false;
    }
    fleet.set_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.least_seen() > 0.9, "{}", fleet.least_seen());
    fleet.run(Millis(6_000));
    let left = nodes - DATA_CENTRES;
    assert_eq!(fleet.heard(), (left - 1, left - 1), "who is gone is not counted on");
    assert_eq!(fleet.relays().len(), RELAYS * DATA_CENTRES, "others have taken their place");
}

/// All relays of a data centre die at once, as when many nodes are killed.
#[test]
fn a_data_centre_that_loses_all_its_relays_has_others_within_two_seconds() {
    let mut fleet = Fleet::start(100);
    fleet.run(SETTLES);
    for i in fleet.relays().into_iter().filter(|i| i % DATA_CENTRES == 2) {
        fleet.nodes[i].is_up = false;
    }
    fleet.run(Millis(2_000));
    fleet.set_at_head(3);
    fleet.run(Millis(1_000));
    assert!(fleet.least_seen() > 0.95, "{}", fleet.least_seen());
}

/// Nine in ten are killed and start again, knowing of nobody but whom the store names.
#[test]
fn those_who_start_again_together_find_the_others() {
    let mut fleet = Fleet::start(100);
    fleet.run(SETTLES);
    for node in &mut fleet.nodes[..90] {
        node.peers = Peers::default();
        node.peers.add(address(95), fleet.now);
    }
    fleet.run(Millis(3_000));
    assert_eq!(fleet.heard(), (99, 99));
}

/// A planned stop is in all directories' answers at once.
#[test]
fn that_a_node_stops_serving_is_known_everywhere_soon() {
    let mut fleet = Fleet::start(372);
    fleet.run(SETTLES);
    let leaving = (0..372).find(|i| !fleet.is_relay(*i)).unwrap();
    let mut pulse = fleet.pulse(leaving);
    pulse.is_ready = false;
    let (now, node) = (fleet.now, &mut fleet.nodes[leaving]);
    let own = Own { address: address(leaving), name: &node.name, data_centre: &node.data_centre };
    let said = node.peers.outgoing(&own, &pulse, now, 1);
    node.next = now + Millis(10_000);
    said.into_iter().for_each(|outgoing| fleet.send(leaving, outgoing));
    fleet.run(Millis(500));
    let sees = |node: &Sim| {
        let mut heard = node.peers.heard(fleet.now);
        heard.any(|(at, peer)| *at == address(leaving) && peer.pulse.is_ready)
    };
    let still = fleet.nodes.iter().filter(|node| sees(node)).count();
    assert_eq!(still, 0, "half a second later");
}

/// Three instances end under one request, each seen by another node, of hundreds.
#[rstest]
#[case(9)]
#[case(100)]
#[case(300)]
fn all_nodes_hear_within_a_second_which_request_ends_whoever_runs_it(#[case] nodes: usize) {
    let mut fleet = Fleet::start(nodes);
    fleet.run(SETTLES);
    let fingerprint = Fingerprint::of(Some("a"), "/x", b"body");
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    for (life, at) in [(1, nodes / 3), (2, nodes / 2), (3, nodes - 1)] {
        let now = fleet.now;
        let knows = &mut fleet.nodes[at].quarantine;
        knows.on_break(Subject { fingerprint, caller: 7 }, life, life as u32, now);
        knows.on_ended(life, now);
        fleet.nodes[at].next = now;
        fleet.run(Millis(200));
    }
    let held = |fleet: &Fleet| {
        let is_held = |node: &&Sim| {
            matches!(node.quarantine.standing(fingerprint, fleet.now), Standing::Held(_))
        };
        fleet.nodes.iter().filter(is_held).count()
    };
    fleet.run(Millis(800));
    assert_eq!(held(&fleet), nodes, "a second after the third end");
    // What is said for it beside what is said anyway: by those who saw it, and relays.
    let sent: u64 = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    fleet.nodes.iter_mut().for_each(|node| node.quarantine = Quarantine::default());
    let before: u64 = fleet.nodes.iter().map(|node| node.sent).sum();
    fleet.run(Millis(1_400));
    let quiet: u64 = fleet.nodes.iter().map(|node| node.sent).sum::<u64>() - before;
    assert!(sent <= quiet * 2, "{sent} datagrams, {quiet} in as long without it");
}
