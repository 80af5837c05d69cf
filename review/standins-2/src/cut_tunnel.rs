//! A node that forwards a channel between another node and a runner is killed in the middle of an
//! answer that lacks a length.
//!
//! A node asks another one to forward a channel when its own opening packet to a runner is lost. The
//! link in front of the runner loses that packet here: its queue of new channels is full for some
//! milliseconds.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::store::StandInStore;

use crate::Verdict;
use crate::node;
use crate::node::Node;
use crate::record::Record;
use crate::runner;
use crate::runner::Ran;
use crate::runner::Rules;
use crate::wire;
use crate::wire::Got;

/// The route's timeout and the client's time limit, in milliseconds.
const LIMIT_MS: u64 = 1_500;
/// Time between the two halves of a plain answer, in milliseconds.
const REST_MS: u64 = 900;
/// How long a stream takes, in milliseconds.
const STREAM_MS: u64 = 2_000;
/// For how long after the client's request the runner's queue of new channels stays full.
const FULL_FOR: Duration = Duration::from_millis(12);
/// When the forwarding node is killed, after the runner has begun to run the request.
const KILLED_AFTER: Duration = Duration::from_millis(500);
/// The most requests.
const ROUNDS: usize = 16;

/// Plays the case.
pub async fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let store = StandInStore::start().await;
    store.configure(&runner::config(LIMIT_MS));
    let (ran_tx, mut ran_rx) = mpsc::unbounded_channel();
    let noted = Arc::clone(record);
    let on_run = Arc::new(move |ran: Ran| {
        noted.line(&format!("runner i-gate0: {ran:?}"));
        let _ = ran_tx.send(ran);
    });
    let address = runner::start(Rules { id: "i-gate0".to_owned(), is_unframed: true, on_run }).await;
    let link = Proxy::start();
    link.set_target(Some(address));
    store.put("keyed.servers", "i-gate0", &runner::entry(link.address, "hala-a", "ready", 1));
    let mut nodes = node::start_fleet(3, store.address);
    if !node::all_ready(&nodes, 1).await {
        return Verdict::NotRun("the nodes did not become ready".to_owned());
    }
    let (mut is_broken, mut cut) = (false, 0);
    for round in 0..ROUNDS {
        let is_stream = round % 2 == 1;
        let id = format!("r-{round}");
        let (method, path, limit) = if is_stream {
            ("POST", format!("/stream/20/{STREAM_MS}"), 8_000)
        } else {
            ("GET", format!("/plate/20/{REST_MS}"), LIMIT_MS)
        };
        let request = runner::request(method, &path, &id, limit);
        let before = [nodes[1].tunnels_opened().await, nodes[2].tunnels_opened().await];
        if has_trouble {
            link.set_state(LinkState::Silent).await;
        }
        let callers = nodes[0].callers;
        let sent = Instant::now();
        record.line(&format!("the client sends {id} ({path}) to {}", nodes[0].name));
        let asked = tokio::spawn(async move {
            wire::ask(callers, &request, Duration::from_millis(limit)).await
        });
        tokio::time::sleep(FULL_FOR).await;
        link.set_state(LinkState::Open).await;
        let begun = loop {
            match tokio::time::timeout(Duration::from_millis(1_400), ran_rx.recv()).await {
                Ok(Some(ran)) if ran.id == id && !ran.has_finished => break true,
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => break false,
            }
        };
        let took = sent.elapsed();
        let mut killed = None;
        if begun && has_trouble {
            tokio::time::sleep(KILLED_AFTER).await;
            killed = kill_forwarder(&mut nodes, before, record).await;
        }
        let got = asked.await.expect("the client does not panic");
        record.line(&format!("begun after {} ms; the client of {id} got: {}", took.as_millis(), got.describe()));
        is_broken |= is_short(&got, &id, is_stream, record);
        if let Some(killed) = killed {
            cut += 1;
            nodes[killed].start();
            if cut >= 4 || !node::all_ready(&nodes, 1).await {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    record.line(&format!("forwarding nodes killed: {cut}"));
    match (is_broken, cut) {
        (true, _) => Verdict::Broken,
        (false, 0) if has_trouble => Verdict::NotRun("no node forwarded a channel".to_owned()),
        _ => Verdict::Held,
    }
}

/// Kills the node that has opened a tunnel since the counts `before`; `None` if none has.
async fn kill_forwarder(nodes: &mut [Node], before: [u64; 2], record: &Record) -> Option<usize> {
    for (i, before) in [1, 2].into_iter().zip(before) {
        if nodes[i].tunnels_opened().await > before {
            nodes[i].kill();
            record.line(&format!("{} forwards it and is killed", nodes[i].name));
            return Some(i);
        }
    }
    None
}

/// Whether a success looks complete and isn't.
fn is_short(got: &Got, id: &str, is_stream: bool, record: &Record) -> bool {
    if got.status != 200 || !got.is_complete {
        return false;
    }
    if is_stream {
        let text = String::from_utf8_lossy(&got.body).into_owned();
        let events = text.lines().filter(|line| line.starts_with("id: ")).count() as u64;
        record.line(&format!("{events} of {} events", runner::EVENTS));
        if events < runner::EVENTS {
            record.line("ORDER: the stream ends as complete before its last event");
        }
        return events < runner::EVENTS;
    }
    let is_short = got.body != runner::body(id);
    if is_short {
        record.line("MIXED: a success whose body is not the runner's whole body");
    }
    is_short
}
