//! Instances that start again under their id, and entries that cannot be read.
//!
//! Seen: an instance may begin anew at its id within a second, and what peers say of its
//! earlier life, or what that life wrote, may come after the first words of the next.
//! Entries may be written by others than the instance, and then say anything.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_gateway::node::Node;
use workshold_gateway::peers::ListNews;
use workshold_gateway::peers::ListRecord;
use workshold_gateway::routing_table::Target;
use workshold_gateway::tasks::store_sync;
use workshold_platform::config;
use workshold_platform_standin::deployment;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;

use crate::common::HandClock;

struct Scene {
    node: Node,
    clock: HandClock,
    next: u64,
}

impl Scene {
    fn new() -> Self {
        let (node, clock, _) = common::node();
        let text = deployment::config(1, "k1");
        let serving_config = config::decode(text.as_bytes()).unwrap();
        node.install_config(serving_config, text.into(), node.now());
        Self { node, clock, next: 0 }
    }

    /// The newest record of `key` says this.
    fn write(&mut self, key: &str, value: impl Into<Vec<u8>>) {
        let records = vec![ListRecord {
            place: self.next.into(),
            key: SmolStr::new(key),
            value: value.into(),
        }];
        let news = ListNews {
            from: self.next.into(),
            next: (self.next + 1).into(),
            copy_end: 0.into(),
            age_ms: 0,
            records,
        };
        self.next += 1;
        assert!(store_sync::apply_list_news(&self.node, &news, self.node.now()));
    }

    fn state(&mut self, key: &str, entry: &Value) {
        self.write(key, entry.to_string());
    }

    /// Where requests for the gates can go.
    fn gates(&self) -> Vec<Arc<Target>> {
        self.node.rebuild_table();
        self.node.routing_table().of(&ServiceName::new("gate").unwrap()).to_vec()
    }

    fn gate_names(&self) -> Vec<String> {
        self.gates().iter().map(|gate| gate.id.as_str().to_owned()).collect()
    }
}

/// A gate's entry; `born` is when this life of it began.
fn gate(born: u64, address: &str) -> Value {
    json!({
        "service": "gate", "address": address, "zone": "a", "slots": 6, "sequence": 1,
        "state": "ready", "born": born,
    })
}

const FIRST: u64 = 1_700_000_000_000;
const NEXT: u64 = FIRST + 30_000;

#[test]
fn a_doubt_about_an_earlier_life_is_none_about_the_next() {
    let mut scene = Scene::new();
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    let earlier = Arc::clone(&scene.gates()[0]);
    scene.state("i-1", &gate(NEXT, "10.0.0.1:80"));
    // A try that began before, whose result comes only now.
    scene.node.record_probe_result(&earlier.id, ProbeResult::Refused);
    let next = &scene.gates()[0];
    assert!(!scene.node.is_suspected(next), "it refused connections in an earlier life");
    assert!(scene.node.is_suspected(&earlier));
}

#[test]
fn what_an_earlier_life_fails_at_is_not_held_against_the_next() {
    let mut scene = Scene::new();
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    scene.state("i-2", &gate(FIRST, "10.0.0.2:80"));
    let gates = scene.gates();
    let now = scene.node.now();
    for gate in &gates {
        scene.node.outliers.lock().on_answer(&gate.id, Millis(10), now);
    }
    let _under_way = scene.node.loads.begin(&gates[0].id, 500);
    scene.state("i-1", &gate(NEXT, "10.0.0.1:80"));
    for _ in 0..4 {
        scene.node.outliers.lock().on_failure(&gates[0].id, now);
    }
    let next = Arc::clone(&scene.gates()[0]);
    assert!(!scene.node.outliers.lock().is_ejected(&next.id, now));
    assert_eq!(scene.node.loads.of(&next.id).requests, 0, "its requests ended with it");
}

#[test]
fn words_of_an_earlier_life_that_come_late_are_dropped() {
    let mut scene = Scene::new();
    scene.state("i-1", &gate(NEXT, "10.0.0.7:80"));
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    assert_eq!(scene.gates()[0].address, "10.0.0.7:80");
}

/// Whoever lives checks in again within three check-ins; a word that stands for longer is
/// that of the life that is there, whatever its clock says.
#[test]
fn a_life_whose_clock_went_back_is_believed_once_nobody_speaks_against_it() {
    let mut scene = Scene::new();
    scene.state("i-1", &gate(NEXT, "10.0.0.7:80"));
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    scene.clock.go_on(Millis(10_000));
    scene.node.list.lock().roster.forget(Millis(20_000));
    assert_eq!(scene.gates()[0].address, "10.0.0.1:80");
}

#[test]
fn an_instance_that_does_not_say_when_it_began_is_used() {
    let mut scene = Scene::new();
    let mut entry = gate(FIRST, "10.0.0.1:80");
    entry.as_object_mut().unwrap().remove("born");
    scene.state("i-1", &entry);
    assert_eq!(scene.gate_names(), ["i-1"]);
}

fn without(field: &str) -> Vec<u8> {
    let mut entry = gate(FIRST, "10.0.0.1:80");
    entry.as_object_mut().unwrap().remove(field);
    entry.to_string().into()
}

fn with(field: &str, value: Value) -> Vec<u8> {
    let mut entry = gate(FIRST, "10.0.0.1:80");
    entry[field] = value;
    entry.to_string().into()
}

#[rstest]
#[case::no_entry_at_all(b"\xff\xfe\x00garbage".to_vec())]
#[case::cut(b"{\"service\":\"ga".to_vec())]
#[case::a_list(b"[1,2]".to_vec())]
#[case::no_service(without("service"))]
#[case::no_address(without("address"))]
#[case::no_state(without("state"))]
#[case::no_slots(without("slots"))]
#[case::a_state_of_another_kind(with("state", json!("resting")))]
#[case::a_number_for_an_address(with("address", json!(80)))]
#[case::an_address_that_is_none(with("address", json!("somewhere")))]
#[case::slots_as_text(with("slots", json!("six")))]
#[case::absurdly_many_slots(with("slots", json!(u32::MAX)))]
#[case::a_fraction_for_its_start(with("born", json!(1.5)))]
#[case::a_text_for_its_start(with("born", json!("today")))]
#[case::a_number_for_its_domain(with("domain", json!([1])))]
#[case::a_group_of_another_type(with("group", json!("m1.5")))]
#[case::an_endless_name(with("zone", json!("a".repeat(500))))]
#[case::a_service_that_it_was_not_in(with("service", json!("llm")))]
#[case::megabytes(with("staged", json!(vec!["m1"; 500_000])))]
fn an_entry_that_cannot_be_read_names_nobody_to_use_and_costs_no_other(#[case] entry: Vec<u8>) {
    let mut scene = Scene::new();
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    scene.state("i-2", &gate(FIRST, "10.0.0.2:80"));
    scene.write("i-1", entry);
    assert_eq!(scene.gate_names(), ["i-2"]);
    let news = store_sync::news(&scene.node, 2);
    assert_eq!(news.records.len(), 1, "peers are told of it");
    let len = news.records[0].value.len();
    assert!(len <= 64 * 1024, "and not of megabytes: {len}");
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    assert_eq!(scene.gate_names(), ["i-1", "i-2"], "its own word counts again");
}

#[test]
fn a_peers_word_of_an_unreadable_entry_is_as_good_as_a_reading() {
    let mut scene = Scene::new();
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    scene.write("i-1", b"?".to_vec());
    let mut other = Scene::new();
    other.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    store_sync::apply_list_news(&other.node, &store_sync::news(&scene.node, 0), other.node.now());
    assert!(other.gates().is_empty());
}

/// A whole reading, as after the store has forgotten its history, lacks who is gone, and says
/// nothing more of it.
#[test]
fn who_is_missing_from_the_whole_list_is_not_handed_on_as_if_it_were_there() {
    let mut scene = Scene::new();
    scene.state("i-1", &gate(FIRST, "10.0.0.1:80"));
    scene.state("i-2", &gate(FIRST, "10.0.0.2:80"));
    let left = BTreeSet::from([InstanceId::new("i-2").unwrap()]);
    let now = scene.node.now();
    scene.node.list.lock().roster.on_full_list(&left, 2, now);
    let other = Scene::new();
    store_sync::apply_list_news(&other.node, &store_sync::news(&scene.node, 0), other.node.now());
    assert_eq!(other.gate_names(), ["i-2"]);
}
