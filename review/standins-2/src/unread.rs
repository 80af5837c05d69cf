//! The operator takes a key away with a configuration that also adds a tenant, whose name has a
//! blank.

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

/// The bound `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// For how long requests with the key are sent after that.
const ASKED_FOR: Duration = Duration::from_millis(6_000);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(250);
/// The route's timeout and the client's time limit, in milliseconds.
const LIMIT_MS: u64 = 1_000;

/// Plays the case.
pub async fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = StandInStore::start().await;
    let kept = ("hule930", vec!["a8f2kx"]);
    let old = [("hule930", vec!["n2ctnfzs989anu6wsjnb", "a8f2kx"])];
    store.configure(&config(7, &old));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (i, zone) in ["hala-a", "hala-b"].into_iter().enumerate() {
        let id = format!("i-gate{i}");
        let (kept, noted, name) = (Arc::clone(&runs), Arc::clone(record), id.clone());
        let on_run = Arc::new(move |ran: Ran| {
            if !ran.has_finished {
                noted.line(&format!("runner {name} runs {}", ran.id));
                kept.lock().expect("no holder panics").push(ran.id);
            }
        });
        let address = runner::start(Rules { id: id.clone(), is_unframed: false, on_run }).await;
        store.put("keyed.servers", &id, &runner::entry(address, zone, "ready", 1));
    }
    let nodes = node::start_fleet(3, store.address);
    if !node::all_ready(&nodes, 2).await {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let request = |id: &str| runner::request("POST", "/print/20/0", id, LIMIT_MS);
    let first = wire::ask(nodes[0].callers, &request("r-0"), Duration::from_secs(2)).await;
    record.line(&format!("with the key in force, the client got: {}", first.describe()));
    if first.status != 200 {
        return Verdict::NotRun("the key was refused while it was in force".to_owned());
    }
    let added = if has_trouble { "night desk" } else { "night-desk" };
    store.configure(&config(12, &[kept, (added, vec!["c03mm1"])]));
    let acked = Instant::now();
    record.line(&format!("config 12 is acknowledged: it takes the key away and adds the tenant '{added}'"));
    let mut n = 0;
    let mut late = 0;
    while acked.elapsed() < REVOKE + ASKED_FOR {
        let is_late = acked.elapsed() > REVOKE;
        n += 1;
        let (id, node) = (format!("r-{n}"), &nodes[n % nodes.len()]);
        let after = acked.elapsed().as_millis();
        let got = wire::ask(node.callers, &request(&id), Duration::from_secs(2)).await;
        let has_run = runs.lock().expect("no holder panics").contains(&id);
        record.line(&format!(
            "{id}, sent {after} ms after it to {}: {}, run: {has_run}",
            node.name,
            got.describe()
        ));
        late += usize::from(is_late && has_run);
        tokio::time::sleep(INTERVAL).await;
    }
    record.line(&format!("requests sent later than revoke_ms with the key, and run: {late}"));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

/// The configuration with these tenants and their keys.
fn config(version: u64, tenants: &[(&str, Vec<&str>)]) -> String {
    let mut config: serde_json::Value =
        serde_json::from_str(&runner::config(LIMIT_MS)).expect("the configuration is JSON");
    config["version"] = version.into();
    let tenant = |(name, keys): &(&str, Vec<&str>)| {
        serde_json::json!({ "name": name, "keys": keys, "priority": 1 })
    };
    config["tenants"] = tenants.iter().map(tenant).collect::<Vec<_>>().into();
    config.to_string()
}
