//! Who tries an instance that fell silent, and who asks whom to: with many nodes, each
//! that asked all others again would bury it in connections.

use std::sync::Arc;

use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use workshold_core::hosted::suspicion::Reach;
use workshold_gateway::node::Doubt;
use workshold_gateway::node::DoubtTask;
use workshold_gateway::node::Node;
use workshold_gateway::settings;
use workshold_protocol::Clock;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;

#[derive(Debug, Clone)]
struct HandClock(Arc<Mutex<Millis>>);

impl Clock for HandClock {
    fn now(&self) -> Millis {
        *self.0.lock()
    }

    fn wall(&self) -> Millis {
        *self.0.lock()
    }
}

const SETTINGS: &str = r#"
[node]
name = "n-1"
data_centre = "a"
[listen]
callers = "127.0.0.1:7001"
readiness = "127.0.0.1:7002"
directory = "127.0.0.1:7003"
peers_port = 7004
[store]
address = "127.0.0.1:7005"
"#;

fn node() -> (Node, HandClock, UnboundedReceiver<Doubt>) {
    let clock = HandClock(Arc::new(Mutex::new(Millis(10_000))));
    let (doubts, rx) = mpsc::unbounded_channel();
    let settings = settings::parse(SETTINGS).unwrap();
    (Node::new(settings, Box::new(clock.clone()), doubts), clock, rx)
}

fn id() -> InstanceId {
    InstanceId::new("i-1").unwrap()
}

fn told(rx: &mut UnboundedReceiver<Doubt>) -> Vec<DoubtTask> {
    std::iter::from_fn(|| rx.try_recv().ok()).map(|doubt| doubt.task).collect()
}

#[test]
fn who_finds_an_instance_silent_first_asks_all_others_once() {
    let (node, _, mut rx) = node();
    let address = SmolStr::new("10.0.0.1:80");
    node.on_reach(&id(), &address, Reach::Silent);
    node.on_reach(&id(), &address, Reach::Silent);
    assert_eq!(told(&mut rx), [DoubtTask::Tell { reach: Reach::Silent, asks: true }]);
    node.on_reach(&id(), &address, Reach::Answers);
    assert_eq!(told(&mut rx), [DoubtTask::Tell { reach: Reach::Answers, asks: false }]);
}

#[test]
fn who_has_heard_of_it_tells_what_it_saw_and_asks_nobody() {
    let (node, _, mut rx) = node();
    node.suspicions.lock().on_peer(&id(), "n-2", Reach::Silent, node.now());
    node.on_reach(&id(), &SmolStr::new("10.0.0.1:80"), Reach::Silent);
    assert_eq!(told(&mut rx), [DoubtTask::Tell { reach: Reach::Silent, asks: false }]);
}

#[test]
fn one_try_answers_all_who_ask_at_the_same_time() {
    let (node, clock, _rx) = node();
    let asked: Vec<bool> = (0..90).map(|_| node.note_asked(&id())).collect();
    assert_eq!(asked.iter().filter(|is_tried| **is_tried).count(), 1);
    *clock.0.lock() = Millis(10_200);
    assert!(node.note_asked(&id()), "what was seen then may have changed");
}
