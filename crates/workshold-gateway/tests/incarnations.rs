//! Instances that restart under the same id, and entries that cannot be decoded.
//!
//! An instance may restart within a second. Records of its earlier incarnation, and what peers
//! report about that, may then arrive after the first record of the next one. Entries may be
//! written by others than the instance, and may then hold anything.

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

use crate::common::ManualClock;

struct Fixture {
    node: Node,
    clock: ManualClock,
    next: u64,
}

impl Fixture {
    fn new() -> Self {
        let (node, clock, _) = common::node();
        let text = deployment::config(1, "k1");
        let serving_config = config::decode(text.as_bytes()).unwrap();
        node.install_config(serving_config, text.into(), node.now());
        Self { node, clock, next: 0 }
    }

    /// Applies a record of the instance list, the newest one, with this key and value.
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

    fn write_entry(&mut self, key: &str, entry: &Value) {
        self.write(key, entry.to_string());
    }

    /// The routing targets of service `gate`.
    fn gates(&self) -> Vec<Arc<Target>> {
        self.node.rebuild_table();
        self.node.routing_table().of(&ServiceName::new("gate").unwrap()).to_vec()
    }

    fn gate_names(&self) -> Vec<String> {
        self.gates().iter().map(|gate| gate.id.as_str().to_owned()).collect()
    }
}

/// The entry of an instance of service `gate`; `born` is when this incarnation of it began.
fn gate(born: u64, address: &str) -> Value {
    json!({
        "service": "gate", "address": address, "zone": "a", "slots": 6, "sequence": 1,
        "state": "ready", "born": born,
    })
}

const FIRST_START: u64 = 1_700_000_000_000;
const SECOND_START: u64 = FIRST_START + 30_000;

#[test]
fn a_suspicion_of_an_earlier_incarnation_does_not_affect_the_next() {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    let earlier = Arc::clone(&fixture.gates()[0]);
    fixture.write_entry("i-1", &gate(SECOND_START, "10.0.0.1:80"));
    // The result of a probe that began before the restart.
    fixture.node.record_probe_result(&earlier.id, ProbeResult::Refused);
    let next = &fixture.gates()[0];
    assert!(!fixture.node.is_suspected(next), "only the earlier incarnation refused connections");
    assert!(fixture.node.is_suspected(&earlier));
}

#[test]
fn failures_of_an_earlier_incarnation_do_not_eject_the_next() {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    fixture.write_entry("i-2", &gate(FIRST_START, "10.0.0.2:80"));
    let gates = fixture.gates();
    let now = fixture.node.now();
    for gate in &gates {
        fixture.node.outliers.lock().on_answer(&gate.id, Millis(10), now);
    }
    let _in_flight = fixture.node.loads.begin(&gates[0].id, 500);
    fixture.write_entry("i-1", &gate(SECOND_START, "10.0.0.1:80"));
    for _ in 0..4 {
        fixture.node.outliers.lock().on_failure(&gates[0].id, now);
    }
    let next = Arc::clone(&fixture.gates()[0]);
    assert!(!fixture.node.outliers.lock().is_ejected(&next.id, now));
    assert_eq!(
        fixture.node.loads.of(&next.id).requests,
        0,
        "its requests ended with the earlier incarnation"
    );
}

#[test]
fn late_records_of_an_earlier_incarnation_are_dropped() {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(SECOND_START, "10.0.0.7:80"));
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    assert_eq!(fixture.gates()[0].address, "10.0.0.7:80");
}

/// A running instance writes its entry again at least every three check-in intervals. An entry that
/// stays unreplaced for longer is that of the running incarnation, even if its clock went back.
#[test]
fn an_incarnation_whose_clock_went_back_is_accepted_after_a_while() {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(SECOND_START, "10.0.0.7:80"));
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    fixture.clock.advance(Millis(10_000));
    fixture.node.list.lock().roster.forget(Millis(20_000));
    assert_eq!(fixture.gates()[0].address, "10.0.0.1:80");
}

/// A departure that an instance announced in its answers alone was reported to peers for five
/// seconds: a node that started, or was cut off, for longer than that sent requests to it.
#[test]
fn an_announced_departure_is_reported_while_the_entry_hides_it() {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    let id = fixture.gates()[0].id.clone();
    fixture.node.on_leaving(&id, true);
    assert_eq!(fixture.node.leaving_to_report().len(), 1);
    fixture.clock.advance(Millis(60_000));
    assert_eq!(fixture.node.leaving_to_report().len(), 1, "its entry does not say it");
    let mut entry = gate(FIRST_START, "10.0.0.1:80");
    entry["state"] = json!("draining");
    fixture.write_entry("i-1", &entry);
    assert!(fixture.node.leaving_to_report().is_empty(), "the list tells all nodes");
    fixture.write_entry("i-1", &gate(SECOND_START, "10.0.0.1:80"));
    assert!(fixture.node.leaving_to_report().is_empty(), "that incarnation has ended");
}

#[test]
fn an_instance_without_start_time_is_used() {
    let mut fixture = Fixture::new();
    let mut entry = gate(FIRST_START, "10.0.0.1:80");
    entry.as_object_mut().unwrap().remove("born");
    fixture.write_entry("i-1", &entry);
    assert_eq!(fixture.gate_names(), ["i-1"]);
}

fn without(field: &str) -> Vec<u8> {
    let mut entry = gate(FIRST_START, "10.0.0.1:80");
    entry.as_object_mut().unwrap().remove(field);
    entry.to_string().into()
}

fn with(field: &str, value: Value) -> Vec<u8> {
    let mut entry = gate(FIRST_START, "10.0.0.1:80");
    entry[field] = value;
    entry.to_string().into()
}

#[rstest]
#[case::not_json(b"\xff\xfe\x00garbage".to_vec())]
#[case::truncated(b"{\"service\":\"ga".to_vec())]
#[case::a_json_list(b"[1,2]".to_vec())]
#[case::no_service(without("service"))]
#[case::no_address(without("address"))]
#[case::no_state(without("state"))]
#[case::no_slots(without("slots"))]
#[case::an_unknown_state(with("state", json!("resting")))]
#[case::a_number_for_an_address(with("address", json!(80)))]
#[case::an_invalid_address(with("address", json!("somewhere")))]
#[case::slots_as_text(with("slots", json!("six")))]
#[case::absurdly_many_slots(with("slots", json!(u32::MAX)))]
#[case::a_fractional_start_time(with("born", json!(1.5)))]
#[case::a_text_for_the_start_time(with("born", json!("today")))]
#[case::a_list_for_the_domain(with("domain", json!([1])))]
#[case::a_text_for_the_group(with("group", json!("m1.5")))]
#[case::an_overlong_name(with("zone", json!("a".repeat(500))))]
#[case::another_service(with("service", json!("llm")))]
#[case::a_huge_entry(with("staged", json!(vec!["m1"; 500_000])))]
fn an_invalid_entry_is_no_target_and_does_not_affect_others(#[case] entry: Vec<u8>) {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    fixture.write_entry("i-2", &gate(FIRST_START, "10.0.0.2:80"));
    fixture.write("i-1", entry);
    assert_eq!(fixture.gate_names(), ["i-2"]);
    let news = store_sync::news(&fixture.node, 2);
    assert_eq!(news.records.len(), 1, "the record is passed on to peers");
    let len = news.records[0].value.len();
    assert!(len <= 64 * 1024, "the value that is passed on is limited, and has {len} bytes");
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    assert_eq!(fixture.gate_names(), ["i-1", "i-2"], "a valid entry makes it a target again");
}

#[test]
fn an_invalid_entry_reported_by_a_peer_removes_the_target() {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    fixture.write("i-1", b"?".to_vec());
    let mut other = Fixture::new();
    other.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    store_sync::apply_list_news(&other.node, &store_sync::news(&fixture.node, 0), other.node.now());
    assert!(other.gates().is_empty());
}

/// A full read of the list, as after the store has dropped old log records, lacks the instances
/// that are gone but has no record of their removal.
#[test]
fn an_instance_missing_from_the_full_list_is_not_passed_on() {
    let mut fixture = Fixture::new();
    fixture.write_entry("i-1", &gate(FIRST_START, "10.0.0.1:80"));
    fixture.write_entry("i-2", &gate(FIRST_START, "10.0.0.2:80"));
    let remaining = BTreeSet::from([InstanceId::new("i-2").unwrap()]);
    let now = fixture.node.now();
    fixture.node.list.lock().roster.on_full_list(&remaining, 2, now);
    let other = Fixture::new();
    store_sync::apply_list_news(&other.node, &store_sync::news(&fixture.node, 0), other.node.now());
    assert_eq!(other.gate_names(), ["i-2"]);
}
