//! What all nodes together repeat, whatever each of them sees of the others.
//!
//! Seen: while instances failed many requests, nodes were killed and came back, and an
//! upstream got 603 repeats within ten seconds where 518 were allowed.
//! How it came about: a node took its part of the allowance, was killed, and took it
//! once more after its start; while it had heard of nobody, it took the part of all.
//! Cause: a part of what all nodes share was reckoned from what one process sees and
//! remembers at this moment.
//! Proof: the same days without kills stay within the allowance, and here no caller,
//! instance or socket takes part.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use workshold_gateway::node::Node;
use workshold_gateway::settings;
use workshold_protocol::Clock;
use workshold_protocol::Millis;
use workshold_protocol::ids::ServiceName;

const NODES: usize = 9;
const RATIO: f64 = 0.2;
const SLACK: f64 = 109.0;
const WINDOW_MS: u64 = 10_000;
/// A request every so many milliseconds, at one node after the other.
const REQUEST_EVERY_MS: u64 = 10;
const PULSE_EVERY_MS: u64 = 100;

/// Time that the test sets, counted from this process's start.
#[derive(Debug, Clone)]
struct HandClock {
    now: Arc<Mutex<Millis>>,
    start: Millis,
}

impl Clock for HandClock {
    fn now(&self) -> Millis {
        Millis(self.now.lock().since(self.start).0)
    }

    fn wall(&self) -> Millis {
        *self.now.lock()
    }
}

/// Nodes without sockets; once there is trouble, each of their requests fails.
struct Fleet {
    now: Arc<Mutex<Millis>>,
    trouble_from: u64,
    nodes: Vec<Node>,
    service: ServiceName,
    asked: Vec<u64>,
    repeated: Vec<u64>,
}

impl Fleet {
    fn new(trouble_from: u64) -> Self {
        let mut fleet = Self {
            now: Arc::default(),
            trouble_from,
            nodes: Vec::new(),
            service: ServiceName::new("llm").unwrap(),
            asked: Vec::new(),
            repeated: Vec::new(),
        };
        (0..NODES).for_each(|i| fleet.nodes.push(fleet.start(i, true)));
        fleet
    }

    fn start(&self, i: usize, is_first_start: bool) -> Node {
        let host = format!("127.0.0.{}", i + 1);
        let text = format!(
            "[node]\nname = \"n-{i}\"\ndata_centre = \"a\"\nis_first_start = {is_first_start}\n\
             [listen]\ncallers = \"{host}:7001\"\nreadiness = \"{host}:7002\"\n\
             directory = \"{host}:7003\"\npeers_port = 7004\n[store]\naddress = \"{host}:7005\"\n\
             [bounds]\nrepeat_ratio = {RATIO}\nrepeat_slack = {SLACK}\n"
        );
        let clock = HandClock { now: Arc::clone(&self.now), start: *self.now.lock() };
        Node::new(settings::parse(&text).unwrap(), Box::new(clock), mpsc::unbounded_channel().0)
    }

    /// Kills a node; another process takes its place at once.
    fn restart(&mut self, i: usize) {
        self.nodes[i] = self.start(i, false);
    }

    /// Goes on until `until`; nodes hear each other except those in `cut`.
    fn run(&mut self, until: u64, cut: &BTreeSet<usize>) {
        let from = self.now.lock().0;
        for ms in (from..until).step_by(REQUEST_EVERY_MS as usize) {
            *self.now.lock() = Millis(ms);
            if ms % PULSE_EVERY_MS == 0 {
                self.heartbeat(cut);
            }
            let node = &self.nodes[(ms / REQUEST_EVERY_MS) as usize % self.nodes.len()];
            node.count_request(&self.service);
            self.asked.push(ms);
            if ms >= self.trouble_from && node.take_retry(&self.service) {
                self.repeated.push(ms);
            }
        }
        *self.now.lock() = Millis(until);
    }

    fn heartbeat(&self, cut: &BTreeSet<usize>) {
        for (i, node) in self.nodes.iter().enumerate() {
            let own = node.settings().control();
            let mut peers = node.peers.lock();
            let others = self.nodes.iter().enumerate().filter(|(j, _)| *j != i);
            for (j, other) in others.filter(|(j, _)| !cut.contains(&i) && !cut.contains(j)) {
                let name = SmolStr::new(format!("n-{j}"));
                let said = common::heartbeat(other.settings().listen.callers);
                peers.on_heartbeat(own, other.settings().control(), name, said, node.now());
            }
            peers.forget(node.now());
        }
    }

    /// Every window, wherever it begins, keeps to the allowance.
    fn check(&self) {
        let within = |all: &[u64], from| {
            all.iter().filter(|at| (from..from + WINDOW_MS).contains(*at)).count() as f64
        };
        let most = |from: &u64| within(&self.repeated, *from) as u64;
        let from = (0..self.now.lock().0).step_by(10).max_by_key(most).unwrap();
        let (repeats, requests) = (within(&self.repeated, from), within(&self.asked, from));
        let allowed = RATIO.mul_add(requests, SLACK);
        assert!(repeats <= allowed, "{repeats} of {requests} from {from}, allowed {allowed}");
    }
}

/// Requests in a whole window.
fn steady() -> f64 {
    (WINDOW_MS / REQUEST_EVERY_MS) as f64
}

fn nobody() -> BTreeSet<usize> {
    BTreeSet::new()
}

#[test]
fn nodes_that_start_again_repeat_no_more_than_those_that_do_not() {
    let mut fleet = Fleet::new(0);
    for round in 1..=4 {
        fleet.run(12_000 + round * 2_000, &nobody());
        (0..NODES).filter(|i| i % 2 == round as usize % 2).for_each(|i| fleet.restart(i));
    }
    fleet.run(50_000, &nobody());
    fleet.check();
}

/// What the requests before the trouble earned was used by those who were killed.
#[test]
fn nodes_that_start_again_in_trouble_earn_only_what_others_leave() {
    for killed in [11_000, 13_000, 16_000] {
        let mut fleet = Fleet::new(10_000);
        fleet.run(killed, &nobody());
        (0..NODES).for_each(|i| fleet.restart(i));
        fleet.run(40_000, &nobody());
        fleet.check();
    }
}

#[test]
fn nodes_that_hear_nobody_repeat_no_more_than_those_that_do() {
    let mut fleet = Fleet::new(0);
    fleet.run(12_000, &nobody());
    fleet.run(60_000, &(0..NODES).collect());
    fleet.run(80_000, &nobody());
    fleet.check();
}

#[test]
fn nodes_that_are_added_take_their_part_from_the_others() {
    let mut fleet = Fleet::new(0);
    fleet.run(14_000, &nobody());
    (NODES..NODES + 3).for_each(|i| fleet.nodes.push(fleet.start(i, false)));
    fleet.run(50_000, &nobody());
    fleet.check();
}

/// What is safe is not worth much if nothing is left of the allowance.
#[test]
fn what_is_allowed_is_there_to_be_used() {
    let mut fleet = Fleet::new(0);
    fleet.run(40_000, &nobody());
    fleet.restart(0);
    fleet.run(60_000, &nobody());
    fleet.check();
    let late = fleet.repeated.iter().filter(|at| **at >= 50_000).count() as f64;
    let allowed = RATIO.mul_add(steady(), SLACK);
    assert!(late > 0.7 * allowed, "{late} of {allowed} in the last ten seconds");
}

#[test]
fn what_is_refused_is_counted_and_the_nodes_that_share_are_told() {
    let mut fleet = Fleet::new(0);
    fleet.run(20_000, &nobody());
    let text = String::from_utf8(fleet.nodes[0].metrics.text(&fleet.nodes[0])).unwrap();
    let value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(&format!("workshold_{name} ")));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap()
    };
    assert!((value("sharers") - NODES as f64).abs() < 0.5);
    let asked = fleet.asked.len().div_ceil(NODES) as f64;
    assert!(value("repeats") > 0.0);
    assert!((value("repeats") + value("repeats_refused") - asked).abs() < 0.5);
}
