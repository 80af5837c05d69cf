//! A planned stop cuts requests that the stopping node took after its stop had begun.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use workshold_platform_standin::caller;

use super::BROKEN;
use super::HELD;
use super::NOT_RUN;
use super::config;
use crate::consumer;
use crate::consumer::Request;
use crate::world::Record;
use crate::world::World;

/// Time limit of the consumers and of the route.
const LIMIT_MS: u64 = 2_500;
/// Time that a runner works on one request.
const WORK_MS: &str = "2200";
/// When requests are sent, in ms after the SIGTERM: within three times the time for which the
/// directory's answer is good.
const SENT_AT_MS: [u64; 5] = [3_500, 5_000, 5_500, 5_700, 5_900];

pub async fn run(gateway: &Path, folder: &Path, record: &Record, has_trouble: bool) -> u8 {
    let routes = r#"{"name":"book","host":"lot.example","path_prefix":"/book/","kind":"unsafe",
        "timeout_ms":2500,"latency_goal_ms":1000,"service":"app","attempts":1}"#;
    let mut world =
        World::start(gateway, folder, record, &config(routes, r#"{"name":"app"}"#)).await;
    for i in 1..=3 {
        world.add_runner(&format!("i-app{i}"), "app", None, &["plain", "after-work", WORK_MS]);
    }
    for _ in 0..3 {
        world.add_node();
    }
    if !world.wait_until_ready().await {
        return NOT_RUN;
    }
    // The consumer's only question to the directory: it may use the answer for three times ttl_s.
    let answer = caller::get(world.nodes[1].directory, "/v1/resolve?name=lot.example&zone=a").await;
    let text = answer.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
    record.note(&format!("the directory answers {}", text.clone().unwrap_or_default()));
    let ttl_s = text
        .and_then(|text| serde_json::from_str::<serde_json::Value>(&text).ok())
        .and_then(|answer| answer["ttl_s"].as_f64())
        .unwrap_or(0.0);
    let node: SocketAddr = world.nodes[0].callers;
    let resolved_at = Instant::now();
    if has_trouble {
        world.nodes[0].signal("TERM");
        record.note("SIGTERM to front-1; grace_s is 8");
    }
    let consumers: Vec<_> = SENT_AT_MS
        .iter()
        .enumerate()
        .map(|(i, at)| {
            let (record, at) = (record.clone(), *at);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(at).saturating_sub(resolved_at.elapsed()));
                let request = Request {
                    id: format!("book-{i}"),
                    path: format!("/book/{i}"),
                    deadline_ms: LIMIT_MS,
                    model: None,
                };
                let age = resolved_at.elapsed();
                record.note(&format!("{} is sent to front-1, {at} ms after SIGTERM", request.id));
                let outcome = consumer::send(node, &request);
                record.note(&format!("{} ends: {outcome:?}", request.id));
                (request, outcome, age)
            })
        })
        .collect();
    let ended: Vec<_> = consumers.into_iter().map(|c| c.join().expect("no panic")).collect();
    let mut cut = 0;
    for (request, outcome, age) in &ended {
        let is_within_ttl = age.as_secs_f64() <= 3.0 * ttl_s;
        let ran = world.runners_of(&request.id);
        let is_in_time = outcome.took < Duration::from_millis(LIMIT_MS - 300);
        let is_cut = !outcome.is_complete && !ran.is_empty() && is_in_time && is_within_ttl;
        cut += usize::from(is_cut);
        record.note(&format!(
            "{}: status {}, complete {}, run by {ran:?}, LOST {is_cut}",
            request.id, outcome.status, outcome.is_complete
        ));
    }
    if has_trouble {
        let is_ended = world.nodes[0].has_ended();
        record.note(&format!("front-1 has ended: {is_ended}"));
    } else if ended.iter().any(|(_, outcome, _)| outcome.status != 200 || !outcome.is_complete) {
        record.note("not all were served without the disruption");
        return NOT_RUN;
    }
    if cut > 0 { BROKEN } else { HELD }
}
