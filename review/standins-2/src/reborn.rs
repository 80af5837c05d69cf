//! A runner crashes and starts again while the node that waits for its answer stands still.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use workshold_platform_standin::free_address;
use workshold_platform_standin::store::StandInStore;

use crate::Verdict;
use crate::node;
use crate::record::Record;
use crate::runner;
use crate::wire;

/// How long a stream takes, in milliseconds.
const STREAM_MS: u64 = 4_000;
/// For how long the node stands still.
const FREEZE: Duration = Duration::from_millis(2_000);
/// For how long the runner is down.
const DOWN: Duration = Duration::from_millis(1_000);

/// A runner's process, which is killed when dropped.
struct RunnerProcess(Child);

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a runner as a process of its own, which notes what it runs.
fn start(id: &str, address: SocketAddr, runs: &Arc<Mutex<Vec<String>>>, record: &Arc<Record>) -> Option<RunnerProcess> {
    let program = std::env::current_exe().ok()?;
    let mut child = Command::new(program)
        .args(["runner", id, &address.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .ok()?;
    let printed = child.stdout.take()?;
    let (id, runs, record) = (id.to_owned(), Arc::clone(runs), Arc::clone(record));
    std::thread::spawn(move || {
        for line in BufReader::new(printed).lines().map_while(Result::ok) {
            record.line(&format!("runner {id}: {line}"));
            if line.starts_with("runs ") {
                runs.lock().expect("no holder panics").push(id.clone());
            }
        }
    });
    Some(RunnerProcess(child))
}

/// Plays the case.
pub async fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = StandInStore::start().await;
    store.configure(&runner::config(1_500));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut runners = Vec::new();
    for i in 0..3 {
        let (id, address) = (format!("i-gate{i}"), free_address());
        let Some(process) = start(&id, address, &runs, record) else {
            return Verdict::NotRun("a runner did not start".to_owned());
        };
        runners.push((id, address, process));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (i, (id, address, _)) in runners.iter().enumerate() {
        let zone = ["hala-a", "hala-b", "hala-c"][i % 3];
        store.put("keyed.servers", id, &runner::entry(*address, zone, "ready", 1));
    }
    let nodes = node::start_fleet(3, store.address);
    if !node::all_ready(&nodes, 3).await {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let entry_node = nodes[0].callers;
    let path = format!("/stream/50/{STREAM_MS}");
    let request = runner::request("POST", &path, "r-1", 8_000);
    record.line(&format!("the client sends r-1 ({path}) to {}", nodes[0].name));
    let asked = tokio::spawn(async move {
        wire::ask(entry_node, &request, Duration::from_millis(8_000)).await
    });
    tokio::time::sleep(Duration::from_millis(700)).await;
    let first = runs.lock().expect("no holder panics").first().cloned();
    let Some(at) = runners.iter().position(|(id, ..)| Some(id) == first.as_ref()) else {
        return Verdict::NotRun("no runner has begun to run the stream".to_owned());
    };
    if has_trouble {
        nodes[0].signal("STOP");
        record.line(&format!("{} stands still", nodes[0].name));
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (id, address, mut process) = runners.remove(at);
        let _ = process.0.kill();
        let _ = process.0.wait();
        record.line(&format!("the process of {id} is killed"));
        tokio::time::sleep(DOWN).await;
        let id = "i-gate9".to_owned();
        let Some(process) = start(&id, address, &runs, record) else {
            return Verdict::NotRun("the runner did not start again".to_owned());
        };
        runners.push((id.clone(), address, process));
        store.put("keyed.servers", &id, &runner::entry(address, "hala-a", "ready", 1));
        record.line("it has started again at its address, with a new id");
        tokio::time::sleep(FREEZE.saturating_sub(DOWN + Duration::from_millis(300))).await;
        nodes[0].signal("CONT");
        record.line(&format!("{} wakes", nodes[0].name));
    }
    let got = asked.await.expect("the client does not panic");
    let text = String::from_utf8_lossy(&got.body).into_owned();
    let events = text.lines().filter(|line| line.starts_with("id: ")).count() as u64;
    let sent = runner::EVENTS;
    record.line(&format!("the client got: {}, {events} of {sent} events", got.describe()));
    let is_short = got.status == 200 && got.is_complete && events < sent;
    if is_short {
        record.line("ORDER: the stream ends as complete before its last event");
    }
    if is_short { Verdict::Broken } else { Verdict::Held }
}
