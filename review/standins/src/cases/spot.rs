//! A stream whose draining runner is gone ends as if it were complete.

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
use crate::world::within;

/// Events of a stream, and the time between two.
const EVENTS: u64 = 40;
const GAP_MS: &str = "110";
/// Time from the notice until the runner is gone.
const NOTICE: Duration = Duration::from_secs(2);
/// Streams that are under way at that time.
const STREAMS: usize = 12;

pub async fn run(gateway: &Path, folder: &Path, record: &Record, has_trouble: bool) -> u8 {
    let routes = r#"{"name":"chat","host":"lot.example","path_prefix":"/chat/","kind":"streaming",
        "timeout_ms":8000,"latency_goal_ms":400,"gap_goal_ms":300,"priority":1,"service":"llm",
        "attempts":2,"resumable":true}"#;
    let services = r#"{"name":"llm","engine":{"slots":17,"stride":5,"step_ms":7.8,
        "loads_per_s":5.0,"loads_at_once":7,"form_ms":300.0,"models":[
        {"name":"m1","size":2,"share":1.0,"pace":1.0,"load_s":1.0,"warm_s":0.3}]}}"#;
    let mut world = World::start(gateway, folder, record, &config(routes, services)).await;
    let args = ["engine", "events", &EVENTS.to_string(), GAP_MS];
    for i in 1..=8 {
        world.add_runner(&format!("i-llm{i}"), "llm", Some("a-d0"), &args);
    }
    for _ in 0..3 {
        world.add_node();
    }
    if !world.wait_until_ready().await {
        return NOT_RUN;
    }
    let heads = || world.runners.values().filter(|runner| runner.is_open_head()).count();
    if !within(Duration::from_secs(15), || async { heads() >= 3 }).await {
        record.note(&format!("only {} groups are open", heads()));
        return NOT_RUN;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let consumers: Vec<_> = (0..STREAMS)
        .map(|i| {
            let (record, node) = (record.clone(), world.nodes[i % world.nodes.len()].callers);
            thread::spawn(move || {
                let request = Request {
                    id: format!("chat-{i}"),
                    path: format!("/chat/{i}"),
                    deadline_ms: 8_000,
                    model: Some("m1".to_owned()),
                };
                record.note(&format!("{} is sent to {node}", request.id));
                let outcome = consumer::send(node, &request);
                record.note(&format!(
                    "{} ends: status {}, complete {}, {} events, last {:?}, {:?}",
                    request.id,
                    outcome.status,
                    outcome.is_complete,
                    event_ids(&outcome.body).len(),
                    event_ids(&outcome.body).last(),
                    outcome.error
                ));
                (request, outcome)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(600)).await;
    // The head with the most streams is the one that the platform takes away.
    let busiest = world
        .runners
        .values()
        .filter(|runner| runner.is_open_head())
        .max_by_key(|runner| runner.ran().len())
        .map(|runner| runner.id.clone());
    let Some(busiest) = busiest else { return NOT_RUN };
    if has_trouble {
        let runner = world.runners.get_mut(&busiest).expect("it was started");
        // Without the notice it is a plain crash, for comparison.
        if std::env::var("NOTICE").as_deref() != Ok("0") {
            runner.drain();
            let streams = runner.ran().len();
            record.note(&format!("notice: {busiest} states draining ({streams} streams)"));
        }
        tokio::time::sleep(NOTICE).await;
        runner.kill();
        record.note(&format!("{busiest} is gone"));
        tokio::time::sleep(Duration::from_millis(3_600)).await;
        runner.unlist();
    }
    let ended: Vec<_> = consumers.into_iter().map(|c| c.join().expect("no panic")).collect();
    let all: Vec<u64> = (1..=EVENTS).collect();
    let mut short = 0;
    let mut whole = 0;
    for (request, outcome) in &ended {
        let is_whole = event_ids(&outcome.body) == all;
        let is_short = outcome.status == 200 && outcome.is_complete && !is_whole;
        short += usize::from(is_short);
        whole += usize::from(is_whole && outcome.is_complete);
        record.note(&format!(
            "{}: run by {:?}, whole {is_whole}, ends as complete before its last piece {is_short}",
            request.id,
            world.runners_of(&request.id)
        ));
    }
    if !has_trouble && whole < STREAMS {
        record.note("not all were served without the disruption");
        return NOT_RUN;
    }
    if short > 0 { BROKEN } else { HELD }
}

/// The ids of the events in a body.
fn event_ids(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
