//! A runner that has stated `draining` ends while it sends an answer that lacks a length.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use workshold_platform_standin::free_address;
use workshold_platform_standin::store::StandInStore;

use crate::Verdict;
use crate::node;
use crate::record::Record;
use crate::runner;
use crate::wire;

/// The route's timeout and the client's time limit, in milliseconds.
const LIMIT_MS: u64 = 1_500;
/// How long a stream takes, in milliseconds.
const STREAM_MS: u64 = 3_000;

/// When the runner is gone, after its notice: the pages' `spot` of 2 s.
const GONE_AFTER: Duration = Duration::from_millis(2_000);

/// A runner's process, which is killed when dropped.
struct RunnerProcess(Child);

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Plays the case.
pub async fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = StandInStore::start().await;
    store.configure(&runner::config(LIMIT_MS));
    let address = free_address();
    let program = std::env::current_exe().expect("the path of this program is known");
    let child = Command::new(program)
        .args(["runner", "i-gate0", &address.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn();
    let Ok(child) = child else { return Verdict::NotRun("the runner did not start".to_owned()) };
    let mut process = RunnerProcess(child);
    let printed = process.0.stdout.take().expect("its output is a pipe");
    let noted = Arc::clone(record);
    std::thread::spawn(move || {
        for line in BufReader::new(printed).lines().map_while(Result::ok) {
            noted.line(&format!("runner i-gate0: {line}"));
        }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.put("keyed.servers", "i-gate0", &runner::entry(address, "hala-a", "ready", 1));
    let nodes = node::start_fleet(3, store.address);
    if !node::all_ready(&nodes, 1).await {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let entry_node = nodes[0].callers;
    // It is sent while the runner is ready.
    let path = format!("/stream/50/{STREAM_MS}");
    let request = runner::request("POST", &path, "r-1", 8_000);
    record.line(&format!("the client sends r-1 ({path}) to {}", nodes[0].name));
    let asked = tokio::spawn(async move {
        wire::ask(entry_node, &request, Duration::from_millis(8_000)).await
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.put("keyed.servers", "i-gate0", &runner::entry(address, "hala-a", "draining", 2));
    record.line("the runner states draining");
    tokio::time::sleep(GONE_AFTER).await;
    if has_trouble {
        let _ = process.0.kill();
        let _ = process.0.wait();
        record.line("the runner's process is killed");
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
