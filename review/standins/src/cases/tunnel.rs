//! An answer that passes through a peer looks whole when that peer is killed.
//!
//! Many requests come at once, so that the queue of new channels of a runner is full for a moment
//! and the opening packet of some channels is dropped. A node that waits for a channel for 20 ms
//! asks a peer to open one and to forward it.

use std::path::Path;
use std::thread;
use std::time::Duration;

use super::BROKEN;
use super::HELD;
use super::NOT_RUN;
use super::config;
use crate::consumer;
use crate::consumer::Request;
use crate::world::Record;
use crate::world::World;

/// One of seven nodes is killed at a time: 0.143 of them.
const NODES: usize = 7;
const RUNNERS: usize = 3;
/// Time between the two halves of an answer.
const HALVES_MS: &str = "300";
/// Length of a runner's queue of new channels.
const QUEUE: &str = "4";
/// Time that a runner takes for a new channel.
const CHANNEL_MS: &str = "1";
/// Requests that are sent at once, and the time from one such burst to the next.
const AT_ONCE: usize = 24;
const GAP: Duration = Duration::from_millis(400);
const BURSTS: usize = 24;
/// When the first node is killed, after the first burst, and the time to the next kill.
const KILLED_AT: Duration = Duration::from_millis(2_250);
const KILL_GAP: Duration = Duration::from_millis(1_200);
/// Time from a kill to the new start of the process.
const DOWN: Duration = Duration::from_millis(500);

pub async fn run(gateway: &Path, folder: &Path, record: &Record, has_trouble: bool) -> u8 {
    let routes = r#"{"name":"print","host":"lot.example","path_prefix":"/print/","kind":"unsafe",
        "timeout_ms":1000,"latency_goal_ms":150,"service":"app","attempts":1}"#;
    let mut world =
        World::start(gateway, folder, record, &config(routes, r#"{"name":"app"}"#)).await;
    let args = ["plain", "in-two-halves", HALVES_MS, "new-channels", QUEUE, CHANNEL_MS];
    for i in 1..=RUNNERS {
        world.add_runner(&format!("i-app{i}"), "app", None, &args);
    }
    for _ in 0..NODES {
        world.add_node();
    }
    if !world.wait_until_ready().await {
        return NOT_RUN;
    }
    let consumers: Vec<_> = (0..BURSTS * AT_ONCE)
        .map(|i| {
            let (record, node) = (record.clone(), world.nodes[0].callers);
            thread::spawn(move || {
                thread::sleep(GAP * (i / AT_ONCE) as u32);
                let request = Request {
                    id: format!("print-{i}"),
                    path: format!("/print/{i}"),
                    deadline_ms: 1_000,
                    model: None,
                };
                record.note(&format!("{} is sent to {node}", request.id));
                let outcome = consumer::send(node, &request);
                record.note(&format!("{} ends: {outcome:?}", request.id));
                (request, outcome)
            })
        })
        .collect();
    tokio::time::sleep(KILLED_AT).await;
    for killed in 1..NODES {
        if has_trouble {
            world.nodes[killed].signal("KILL");
            record.note(&format!("SIGKILL to {}", world.nodes[killed].name));
        }
        tokio::time::sleep(DOWN).await;
        if has_trouble {
            world.restart_node(killed);
            record.note(&format!("{} is started again", world.nodes[killed].name));
        }
        tokio::time::sleep(KILL_GAP - DOWN).await;
    }
    let ended: Vec<_> = consumers.into_iter().map(|c| c.join().expect("no panic")).collect();
    let mut wrong = 0;
    for (request, outcome) in &ended {
        let whole = format!("receipt of {}, complete", request.id);
        let is_wrong = outcome.status == 200 && outcome.is_complete && outcome.body != whole;
        wrong += usize::from(is_wrong);
        if is_wrong {
            record.note(&format!(
                "{}: 200 with stamp {:?} and the body {:?}, run by {:?}, MIXED",
                request.id,
                outcome.stamp,
                outcome.body,
                world.runners_of(&request.id)
            ));
        }
    }
    let served = ended.iter().filter(|(_, outcome)| outcome.status == 200).count();
    record.note(&format!(
        "{served} of {} got 200, {wrong} of them with half of the body",
        ended.len()
    ));
    if served < ended.len() / 2 {
        return NOT_RUN;
    }
    if wrong > 0 { BROKEN } else { HELD }
}
