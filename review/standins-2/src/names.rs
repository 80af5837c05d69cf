//! A new configuration names one more model, with a long name.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use workshold_platform_standin::instance::Identity;
use workshold_platform_standin::instance::StandInInstance;
use workshold_platform_standin::store::StandInStore;

use crate::Verdict;
use crate::node;
use crate::record::Record;
use crate::runner;
use crate::runner::Rules;
use crate::wire;

/// A model's name of 58 signs.
const LONG: &str = "Qwen3-235B-A22B-Instruct-2507-FP8-dynamic-TensorRT-LLM-1.1";
/// A name in its place without the disruption.
const SHORT: &str = "Qwen3-235B-A22B";
/// The route's timeout and the clients' time limit, in milliseconds.
const LIMIT_MS: u64 = 1_500;
/// For how long a runner runs a request, in milliseconds.
const WORK_MS: u64 = 300;
/// How long requests come before the change.
const HALF: Duration = Duration::from_secs(8);
/// How long requests come after it.
const AFTER: Duration = Duration::from_secs(5);
/// For how long after a config's ack a cut request counts: `config_apply_ms` + 1 s.
const COUNTED: Duration = Duration::from_secs(3);
/// Time between two requests to a node.
const INTERVAL: Duration = Duration::from_millis(60);

/// What became of a request: when its channel closed, at which node, and whether that was without a
/// complete answer, before seven tenths of its time and after a runner had begun to run it.
type Cuts = Arc<Mutex<Vec<(Instant, usize, bool)>>>;

/// Plays the case.
pub async fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Arc::new(StandInStore::start().await);
    store.configure(&config(7, None));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (i, zone) in ["hala-a", "hala-b"].into_iter().enumerate() {
        let id = format!("i-gate{i}");
        let kept = Arc::clone(&runs);
        let on_run = Arc::new(move |ran: runner::Ran| kept.lock().expect("no panic").push(ran.id));
        let address = runner::start(Rules { id: id.clone(), is_unframed: false, on_run }).await;
        store.put("keyed.servers", &id, &runner::entry(address, zone, "ready", 1));
    }
    let mut engines = Vec::new();
    for i in 0..6 {
        let identity = Identity {
            data_centre: "hala-a".to_owned(),
            domain: Some("d0".to_owned()),
            ..Identity::simple(&format!("i-engine{i}"), "llm")
        };
        engines.push(StandInInstance::start(identity, &store).await);
    }
    let mut nodes = node::start_fleet(3, store.address);
    if !node::all_ready(&nodes, 8).await {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let cuts: Cuts = Arc::default();
    let began = Instant::now();
    let mut changed: Option<Instant> = None;
    let mut asked = JoinSet::new();
    let mut n = 0;
    let mut ends = vec![0; nodes.len()];
    while began.elapsed() < HALF + AFTER {
        if changed.is_none() && began.elapsed() >= HALF {
            let model = if has_trouble { LONG } else { SHORT };
            store.configure(&config(12, Some(model)));
            changed = Some(Instant::now());
            record.line(&format!("the operator's config 12 names the model {model}"));
        }
        for (i, node) in nodes.iter_mut().enumerate() {
            if node.has_ended() {
                ends[i] += 1;
                record.line(&format!("the process of {} has ended by itself", node.name));
                node.start();
            }
            n += 1;
            let (address, id, cuts) = (node.callers, format!("r-{n}"), Arc::clone(&cuts));
            let runs = Arc::clone(&runs);
            let request = runner::request("POST", &format!("/print/{WORK_MS}/0"), &id, LIMIT_MS);
            asked.spawn(async move {
                let sent = Instant::now();
                let got = wire::ask(address, &request, Duration::from_millis(LIMIT_MS)).await;
                let has_run = runs.lock().expect("no panic").contains(&id);
                let is_early = sent.elapsed().as_millis() * 10 < u128::from(LIMIT_MS) * 7;
                let is_cut = has_run && is_early && !got.is_complete;
                cuts.lock().expect("no panic").push((Instant::now(), i, is_cut));
            });
        }
        tokio::time::sleep(INTERVAL).await;
    }
    while asked.join_next().await.is_some() {}
    let changed = changed.unwrap_or(began);
    let mut is_broken = false;
    for (i, node) in nodes.iter().enumerate() {
        let cuts = cuts.lock().expect("no panic");
        let of_node = cuts.iter().filter(|(_, own, _)| *own == i);
        let is_counted = |at: &Instant| *at >= changed && *at < changed + COUNTED;
        let count = |counted: bool| {
            of_node.clone().filter(|(at, _, is_cut)| *is_cut && is_counted(at) == counted).count()
        };
        let (counted, others) = (count(true), count(false));
        let before = of_node.clone().filter(|(at, _, is_cut)| *is_cut && *at < changed).count();
        record.line(&format!(
            "{}: {before} requests cut before the change, {counted} until 3 s after it, {others} at \
             all other times; {} ends by itself",
            node.name, ends[i]
        ));
        let other_s = (HALF + AFTER - COUNTED).as_secs_f64();
        let rate = |cut: usize, seconds: f64| cut as f64 / seconds;
        is_broken |= rate(counted, COUNTED.as_secs_f64()) > 3.0 * rate(others, other_s);
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}

/// The configuration with engines, and with one more model if there is one.
fn config(version: u64, more: Option<&str>) -> String {
    let mut config: serde_json::Value =
        serde_json::from_str(&runner::config(LIMIT_MS)).expect("the configuration is JSON");
    config["version"] = version.into();
    let model = |name: &str, size: u32| {
        serde_json::json!({ "name": name, "size": size, "share": 0.5, "pace": 1.0,
                            "load_s": 0.2, "warm_s": 0.1 })
    };
    let models: Vec<serde_json::Value> =
        [model("m1", 4)].into_iter().chain(more.map(|name| model(name, 2))).collect();
    let engine = serde_json::json!({
        "slots": 17, "stride": 5, "step_ms": 4.0, "loads_per_s": 5.0, "loads_at_once": 7,
        "models": models,
    });
    let service = serde_json::json!({ "name": "llm", "health_path": "/health", "engine": engine });
    config["services"].as_array_mut().expect("services are a list").push(service);
    config.to_string()
}
