//! A member of an open group is joined to another one while its head is cut off.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use super::BROKEN;
use super::HELD;
use super::NOT_RUN;
use super::config;
use crate::consumer;
use crate::consumer::Request;
use crate::world::Record;
use crate::world::World;
use crate::world::within;

/// How long the head is cut off.
const CUT: Duration = Duration::from_secs(8);
/// Time of three check-ins, after which the store drops an entry.
const THREE_CHECK_INS: Duration = Duration::from_millis(3_600);
/// Requests of consumers, and the time between two.
const REQUESTS: usize = 150;
const REQUEST_GAP: Duration = Duration::from_millis(60);

pub async fn run(gateway: &Path, folder: &Path, record: &Record, has_trouble: bool) -> u8 {
    let routes = r#"{"name":"chat","host":"lot.example","path_prefix":"/chat/","kind":"streaming",
        "timeout_ms":8000,"latency_goal_ms":400,"gap_goal_ms":300,"priority":1,"service":"llm",
        "attempts":2,"resumable":true}"#;
    let services = r#"{"name":"llm","engine":{"slots":17,"stride":5,"step_ms":7.8,
        "loads_per_s":5.0,"loads_at_once":7,"form_ms":300.0,"models":[
        {"name":"m1","size":2,"share":1.0,"pace":1.0,"load_s":1.0,"warm_s":0.3}]}}"#;
    let mut world = World::start(gateway, folder, record, &config(routes, services)).await;
    for i in 1..=9 {
        world.add_engine_behind_path(
            &format!("i-llm{i}"),
            "llm",
            &["engine", "events", "20", "50"],
        );
    }
    for _ in 0..3 {
        world.add_node();
    }
    if !world.wait_until_ready().await {
        return NOT_RUN;
    }
    let heads = || world.runners.values().filter(|runner| runner.is_open_head()).count();
    if !within(Duration::from_secs(15), || async { heads() == 4 }).await {
        record.note(&format!("{} groups are open", heads()));
        return NOT_RUN;
    }
    let consumers: Vec<_> = (0..REQUESTS)
        .map(|i| {
            let (record, node) = (record.clone(), world.nodes[i % world.nodes.len()].callers);
            thread::spawn(move || {
                thread::sleep(REQUEST_GAP * i as u32);
                let request = Request {
                    id: format!("chat-{i}"),
                    path: format!("/chat/{i}"),
                    deadline_ms: 6_000,
                    model: Some("m1".to_owned()),
                };
                record.note(&format!("{} is sent to {node}", request.id));
                let outcome = consumer::send(node, &request);
                let (status, is_complete) = (outcome.status, outcome.is_complete);
                record.note(&format!("{}: status {status}, complete {is_complete}", request.id));
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let Some(head) = world.runners.values().find(|runner| runner.is_open_head()) else {
        return NOT_RUN;
    };
    let group = head.membership();
    let is_same =
        |other: &Value| other["name"] == group["name"] && other["epoch"] == group["epoch"];
    let member = world.runners.values().find(|r| r.id != head.id && is_same(&r.membership()));
    let Some(member) = member else { return NOT_RUN };
    record.note(&format!("{} is the open head of {group}; {} is in it", head.id, member.id));
    let began = Instant::now();
    if has_trouble {
        head.set_cut_from_nodes(true).await;
        head.set_cut_from_store(true);
        record.note(&format!("{} is cut from the nodes and from the store", head.id));
    }
    let mut joined = None;
    let mut has_lapsed = false;
    while began.elapsed() < CUT {
        tokio::time::sleep(Duration::from_millis(20)).await;
        if has_trouble && !has_lapsed && began.elapsed() > THREE_CHECK_INS {
            has_lapsed = true;
            head.lapse();
            record.note(&format!("the entry of {} lapses", head.id));
        }
        let of_member = member.membership();
        let is_open = head.is_open_head() && is_same(&head.membership());
        if joined.is_none() && is_open && of_member.is_object() && !is_same(&of_member) {
            joined = Some(began.elapsed());
            record.note(&format!(
                "{} was joined to {of_member} while {} is the open head of {}: TWO",
                member.id,
                head.id,
                head.membership()
            ));
        }
    }
    if has_trouble {
        head.set_cut_from_nodes(false).await;
        head.set_cut_from_store(false);
        record.note(&format!("{} is no longer cut off", head.id));
    }
    consumers.into_iter().for_each(|consumer| consumer.join().expect("no panic"));
    if joined.is_some() { BROKEN } else { HELD }
}
