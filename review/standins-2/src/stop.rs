//! A planned stop (SIGTERM) while a client that still holds the node's address sends a request that
//! the node takes and doesn't finish.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use workshold_platform_standin::store::StandInStore;

use crate::Verdict;
use crate::node;
use crate::record::Record;
use crate::runner;
use crate::runner::Ran;
use crate::runner::Rules;
use crate::wire;

/// The route's timeout and the client's time limit, in milliseconds.
const LIMIT_MS: u64 = 4_000;
/// For how long the runner runs the request, in milliseconds: within both.
const WORK_MS: u64 = 3_000;
/// When the request is sent, after the SIGTERM: a client may hold an answer of the directory for
/// three times its `ttl_s` of 2 s.
const SENT_AFTER: Duration = Duration::from_millis(5_500);

/// Plays the case.
pub async fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = StandInStore::start().await;
    store.configure(&runner::config(LIMIT_MS));
    let runs: Arc<Mutex<Vec<Ran>>> = Arc::default();
    for (i, zone) in ["hala-a", "hala-b"].into_iter().enumerate() {
        let id = format!("i-gate{i}");
        let (kept, noted, name) = (Arc::clone(&runs), Arc::clone(record), id.clone());
        let on_run = Arc::new(move |ran: Ran| {
            noted.line(&format!("runner {name}: {ran:?}"));
            kept.lock().expect("no holder panics").push(ran);
        });
        let address = runner::start(Rules { id: id.clone(), is_unframed: false, on_run }).await;
        store.put("keyed.servers", &id, &runner::entry(address, zone, "ready", 1));
    }
    let nodes = node::start_fleet(3, store.address);
    if !node::all_ready(&nodes, 2).await {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let addresses = nodes[1].resolve().await;
    record.line(&format!("the directory answers {addresses:?}"));
    if !addresses.contains(&nodes[0].callers.to_string()) {
        return Verdict::NotRun("the directory does not name the node".to_owned());
    }
    let resolved = Instant::now();
    if has_trouble {
        nodes[0].signal("TERM");
        record.line(&format!("SIGTERM to {}", nodes[0].name));
    }
    tokio::time::sleep(SENT_AFTER.saturating_sub(resolved.elapsed())).await;
    let request = runner::request("POST", &format!("/print/{WORK_MS}/0"), "r-1", LIMIT_MS);
    record.line(&format!("the client sends r-1 to {}", nodes[0].name));
    let got = wire::ask(nodes[0].callers, &request, Duration::from_millis(LIMIT_MS)).await;
    record.line(&format!("the client got: {}", got.describe()));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let runs = runs.lock().expect("no holder panics").clone();
    let has_run = runs.iter().any(|ran| ran.id == "r-1");
    record.line(&format!("r-1 was run: {has_run}"));
    match (has_run, got.is_complete) {
        (true, false) => Verdict::Broken,
        _ => Verdict::Held,
    }
}
