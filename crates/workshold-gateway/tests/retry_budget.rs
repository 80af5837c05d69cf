//! The retry budget that all nodes share, whatever each of them sees of the others.
//!
//! Guards against this failure: while instances failed many requests, nodes were killed and
//! restarted, and an upstream got 603 retries within ten seconds where 518 were allowed. A node
//! used its share of the budget, was killed, and used it again after its start; as long as it heard
//! no peers, it used the shares of all. Each process had computed its share only from what it saw
//! and remembered at that moment. The same runs without kills stayed within the budget. These tests
//! need no callers, instances or sockets.

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
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 109.0;
const WINDOW_MS: u64 = 10_000;
/// Time between two requests, which go to the nodes in turn.
const REQUEST_INTERVAL_MS: u64 = 10;
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// A clock that the test sets. Its monotonic time counts from the start of the node's process.
#[derive(Debug, Clone)]
struct ManualClock {
    now: Arc<Mutex<Millis>>,
    start: Millis,
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now.lock().since(self.start).0)
    }

    fn wall(&self) -> Millis {
        *self.now.lock()
    }
}

/// Nodes without sockets. From `failing_from_ms` on, every request fails and asks for a retry.
struct Fleet {
    now: Arc<Mutex<Millis>>,
    failing_from_ms: u64,
    nodes: Vec<Node>,
    service: ServiceName,
    request_times: Vec<u64>,
    retry_times: Vec<u64>,
}

impl Fleet {
    fn new(failing_from_ms: u64) -> Self {
        let mut fleet = Self {
            now: Arc::default(),
            failing_from_ms,
            nodes: Vec::new(),
            service: ServiceName::new("llm").unwrap(),
            request_times: Vec::new(),
            retry_times: Vec::new(),
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
             [bounds]\nrepeat_ratio = {RETRY_RATIO}\nrepeat_slack = {RETRY_SLACK}\n"
        );
        let clock = ManualClock { now: Arc::clone(&self.now), start: *self.now.lock() };
        Node::new(settings::parse(&text).unwrap(), Box::new(clock), mpsc::unbounded_channel().0)
    }

    /// Replaces a node by a new process at once.
    fn restart(&mut self, i: usize) {
        self.nodes[i] = self.start(i, false);
    }

    /// Advances to `until`. Nodes in `isolated` neither hear others nor are heard.
    fn run(&mut self, until: u64, isolated: &BTreeSet<usize>) {
        let from = self.now.lock().0;
        for ms in (from..until).step_by(REQUEST_INTERVAL_MS as usize) {
            *self.now.lock() = Millis(ms);
            if ms % HEARTBEAT_INTERVAL_MS == 0 {
                self.exchange_heartbeats(isolated);
            }
            let node = &self.nodes[(ms / REQUEST_INTERVAL_MS) as usize % self.nodes.len()];
            node.count_request(&self.service);
            self.request_times.push(ms);
            if ms >= self.failing_from_ms && node.take_retry(&self.service) {
                self.retry_times.push(ms);
            }
        }
        *self.now.lock() = Millis(until);
    }

    fn exchange_heartbeats(&self, isolated: &BTreeSet<usize>) {
        for (i, node) in self.nodes.iter().enumerate() {
            let own = node.settings().control();
            let mut peers = node.peers.lock();
            let others = self.nodes.iter().enumerate().filter(|(j, _)| *j != i);
            for (j, other) in
                others.filter(|(j, _)| !isolated.contains(&i) && !isolated.contains(j))
            {
                let name = SmolStr::new(format!("n-{j}"));
                let heartbeat = common::heartbeat(other.settings().listen.callers);
                peers.on_heartbeat(own, other.settings().control(), name, heartbeat, node.now());
            }
            peers.forget(node.now());
        }
    }

    /// Checks that the window with the most retries, wherever it begins, is within the budget.
    fn check_budget(&self) {
        let within = |all: &[u64], from| {
            all.iter().filter(|at| (from..from + WINDOW_MS).contains(*at)).count() as f64
        };
        let most = |from: &u64| within(&self.retry_times, *from) as u64;
        let from = (0..self.now.lock().0).step_by(10).max_by_key(most).unwrap();
        let (retries, requests) =
            (within(&self.retry_times, from), within(&self.request_times, from));
        let allowed = RETRY_RATIO.mul_add(requests, RETRY_SLACK);
        assert!(
            retries <= allowed,
            "{retries} retries for {requests} requests from {from} ms on, {allowed} allowed"
        );
    }
}

/// The number of requests in a window.
fn requests_per_window() -> f64 {
    (WINDOW_MS / REQUEST_INTERVAL_MS) as f64
}

fn no_nodes() -> BTreeSet<usize> {
    BTreeSet::new()
}

#[test]
fn restarted_nodes_keep_to_the_retry_budget() {
    let mut fleet = Fleet::new(0);
    for round in 1..=4 {
        fleet.run(12_000 + round * 2_000, &no_nodes());
        (0..NODES).filter(|i| i % 2 == round as usize % 2).for_each(|i| fleet.restart(i));
    }
    fleet.run(50_000, &no_nodes());
    fleet.check_budget();
}

/// The killed processes have used up what the requests before the failures earned.
#[test]
fn nodes_restarted_during_failures_do_not_reuse_spent_budget() {
    for killed in [11_000, 13_000, 16_000] {
        let mut fleet = Fleet::new(10_000);
        fleet.run(killed, &no_nodes());
        (0..NODES).for_each(|i| fleet.restart(i));
        fleet.run(40_000, &no_nodes());
        fleet.check_budget();
    }
}

#[test]
fn isolated_nodes_keep_to_the_retry_budget() {
    let mut fleet = Fleet::new(0);
    fleet.run(12_000, &no_nodes());
    fleet.run(60_000, &(0..NODES).collect());
    fleet.run(80_000, &no_nodes());
    fleet.check_budget();
}

#[test]
fn added_nodes_take_their_share_from_the_others() {
    let mut fleet = Fleet::new(0);
    fleet.run(14_000, &no_nodes());
    (NODES..NODES + 3).for_each(|i| fleet.nodes.push(fleet.start(i, false)));
    fleet.run(50_000, &no_nodes());
    fleet.check_budget();
}

/// A budget that is kept is of little use if hardly any of it can be spent: after a restart most of
/// it must remain usable.
#[test]
fn most_of_the_retry_budget_is_usable() {
    let mut fleet = Fleet::new(0);
    fleet.run(40_000, &no_nodes());
    fleet.restart(0);
    fleet.run(60_000, &no_nodes());
    fleet.check_budget();
    let late_retries = fleet.retry_times.iter().filter(|at| **at >= 50_000).count() as f64;
    let allowed = RETRY_RATIO.mul_add(requests_per_window(), RETRY_SLACK);
    assert!(
        late_retries > 0.7 * allowed,
        "only {late_retries} of {allowed} retries in the last ten seconds"
    );
}

#[test]
fn metrics_count_refused_retries_and_sharing_nodes() {
    let mut fleet = Fleet::new(0);
    fleet.run(20_000, &no_nodes());
    let text = String::from_utf8(fleet.nodes[0].metrics.text(&fleet.nodes[0])).unwrap();
    let value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(&format!("workshold_{name} ")));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap()
    };
    assert!((value("sharers") - NODES as f64).abs() < 0.5);
    let requests = fleet.request_times.len().div_ceil(NODES) as f64;
    assert!(value("repeats") > 0.0);
    assert!((value("repeats") + value("repeats_refused") - requests).abs() < 0.5);
}
