//! An answer that passes through a peer's tunnel looks whole when that peer is killed.

use std::path::Path;
use std::thread;
use std::time::Duration;

use super::BROKEN;
use super::HELD;
use super::NOT_RUN;
use super::config;
use crate::consumer;
use crate::consumer::Request;
use crate::cut_path::CutPath;
use crate::world::Record;
use crate::world::World;

/// Time between the two halves of an answer.
const HALVES_MS: &str = "600";
/// Requests, sent this long apart.
const REQUESTS: usize = 120;
const GAP: Duration = Duration::from_millis(25);

pub async fn run(gateway: &Path, folder: &Path, record: &Record, has_trouble: bool) -> u8 {
    let routes = r#"{"name":"book","host":"lot.example","path_prefix":"/book/","kind":"unsafe",
        "timeout_ms":2000,"latency_goal_ms":800,"service":"app","attempts":1}"#;
    let mut world =
        World::start(gateway, folder, record, &config(routes, r#"{"name":"app"}"#)).await;
    for i in 1..=5 {
        world.add_runner(&format!("i-app{i}"), "app", None, &["plain", "in-two-halves", HALVES_MS]);
    }
    // front-1 reaches the runners through a path of its own, of which one runner can be cut off.
    let path = CutPath::start().await;
    world.add_node(&["--instance-proxy".to_owned(), path.address.to_string()]);
    for _ in 0..3 {
        world.add_node(&[]);
    }
    if !world.wait_until_ready().await {
        return NOT_RUN;
    }
    if has_trouble {
        let cut = world.runners["i-app1"].address;
        path.cut(cut);
        record.note(&format!("front-1 loses its path to i-app1 ({cut})"));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let consumers: Vec<_> = (0..REQUESTS)
        .map(|i| {
            let (record, node) = (record.clone(), world.nodes[0].callers);
            thread::spawn(move || {
                thread::sleep(GAP * i as u32);
                let request = Request {
                    id: format!("book-{i}"),
                    path: format!("/book/{i}"),
                    deadline_ms: 2_000,
                    model: None,
                };
                let outcome = consumer::send(node, &request);
                record.note(&format!("{} ends: {outcome:?}", request.id));
                (request, outcome)
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    if has_trouble {
        world.nodes[1].signal("KILL");
        record.note("SIGKILL to front-2");
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
    record.note(&format!("{served} of {REQUESTS} got 200, {wrong} of them with half of the body"));
    if !has_trouble && served < REQUESTS {
        return NOT_RUN;
    }
    if wrong > 0 { BROKEN } else { HELD }
}
