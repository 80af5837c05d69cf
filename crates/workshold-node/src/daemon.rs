//! Starts a node, and stops it in a planned way: it drains its requests before it ends.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use displaydoc::Display;
use hyper::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tower::service_fn;
use workshold_http::server;
use workshold_http::server::ServerLimits;
use workshold_http::server::ServerState;
use workshold_http::server::infallible;
use workshold_http::signals::SignalAction;
use workshold_http::signals::Signals;
use workshold_protocol::Millis;
use workshold_protocol::clock::SystemClock;

use crate::callers;
use crate::dump;
use crate::events::Event;
use crate::events::emit;
use crate::metrics::MetricsSender;
use crate::node::Node;
use crate::operators;
use crate::settings::CheckedSettings;
use crate::tasks;
use crate::tasks::intents::IntentRequest;
use crate::tasks::intents::MAX_QUEUED_INTENTS;
use crate::tasks::peers::ListenError;

/// Why a node did not start, or ended without a signal.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {why}
    Listen {
        /// The address in the settings.
        address: String,
        /// Error of the operating system, or of parsing the address.
        why: io::Error,
    },
    /// {0}
    Peers(ListenError),
    /// cannot install the signal handlers: {0}
    Signals(io::Error),
    /// a background task of the node has ended
    TaskEnded,
}

impl std::error::Error for DaemonError {}

/// Result of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSummary {
    /// Requests or connections that were aborted; 0 if all finished.
    pub aborted: usize,
}

/// The callers' server, and the channel that tells both servers to drain or to abort.
struct Servers {
    callers: JoinHandle<usize>,
    server_state: watch::Sender<ServerState>,
}

const METRICS_INTERVAL: Duration = Duration::from_secs(10);
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a node until a signal stops it.
///
/// # Errors
///
/// [`DaemonError`] if it cannot start, or one of its background tasks ends.
pub async fn run(checked: CheckedSettings) -> Result<StopSummary, DaemonError> {
    let mut signals = Signals::new().map_err(DaemonError::Signals)?;
    let (intents, intents_rx) = mpsc::channel(MAX_QUEUED_INTENTS);
    let node = Node::new(checked, Arc::new(SystemClock::default()), intents);
    let servers = start_servers(&node).await?;
    let mut background = start_tasks(&node, intents_rx).await?;
    emit(Event::Started, &[("callers", &node.settings.node.callers)]);
    loop {
        tokio::select! {
            _ = background.join_next() => {
                emit(Event::TaskEnded, &[]);
                return Err(DaemonError::TaskEnded);
            }
            action = signals.next() => match action {
                SignalAction::Dump => print_dump(&node),
                // Ignored: settings are only read at the start.
                SignalAction::Reload => {}
                SignalAction::Stop => break,
            },
        }
    }
    let ended = stop(&node, servers, &mut signals).await;
    emit(Event::Stopped, &[("cut", &ended.aborted.to_string())]);
    Ok(ended)
}

/// Waits for a signal to stop; meanwhile prints the state for each signal that asks for it.
async fn wait_for_stop(signals: &mut Signals, node: &Node) {
    loop {
        match signals.next().await {
            SignalAction::Stop => return,
            SignalAction::Dump => print_dump(node),
            // Ignored: settings are only read at the start.
            SignalAction::Reload => {}
        }
    }
}

/// Starts the HTTP servers for callers and for operators.
async fn start_servers(node: &Arc<Node>) -> Result<Servers, DaemonError> {
    let (server_state, rx) = watch::channel(ServerState::Running);
    let bounds = ServerLimits {
        max_connections: node.settings.bounds.connections,
        head_read_timeout: node.settings.bounds.read_time.to_duration(),
        ..ServerLimits::default()
    };
    let listener = bind(&node.settings.node.callers)?;
    let callers_node = Arc::clone(node);
    let service = service_fn(move |req: Request<Incoming>| {
        infallible(callers::handle(Arc::clone(&callers_node), req))
    });
    let callers = tokio::spawn(server::serve(listener, bounds, service, rx.clone()));
    let listener = bind(&node.settings.node.operators)?;
    let operators_node = Arc::clone(node);
    let service = service_fn(move |req: Request<Incoming>| {
        infallible(operators::handle(Arc::clone(&operators_node), req))
    });
    tokio::spawn(server::serve(listener, ServerLimits::default(), service, rx));
    Ok(Servers { callers, server_state })
}

fn bind(address: &str) -> Result<TcpListener, DaemonError> {
    let parsed = address.parse().map_err(io::Error::other);
    let bound = parsed.and_then(|address| server::bind(address, SEND_BUFFER_LEN));
    bound.map_err(|why| DaemonError::Listen { address: address.to_owned(), why })
}

/// Send buffer of one caller's connection, in bytes: bounds what is sent but not yet read.
const SEND_BUFFER_LEN: u32 = 128 * 1024;

/// Starts all background tasks. The node ends with an error if one of them ends.
async fn start_tasks(
    node: &Arc<Node>,
    intents: mpsc::Receiver<IntentRequest>,
) -> Result<JoinSet<()>, DaemonError> {
    let socket = tasks::peers::listen(node).await.map_err(DaemonError::Peers)?;
    let mut background = JoinSet::new();
    background.spawn(tasks::peers::answer_requests(Arc::clone(node), socket));
    background.spawn(tasks::peers::poll_peers(Arc::clone(node)));
    background.spawn(tasks::list_polling::run(Arc::clone(node)));
    background.spawn(tasks::probing::run(Arc::clone(node)));
    background.spawn(tasks::log_replay::run(Arc::clone(node)));
    background.spawn(tasks::stewarding::run(Arc::clone(node)));
    background.spawn(tasks::log_maintenance::run(Arc::clone(node)));
    background.spawn(tasks::dispatching::run(Arc::clone(node)));
    background.spawn(tasks::intents::run(Arc::clone(node), intents));
    background.spawn(report_readiness(Arc::clone(node)));
    if let Some(address) = &node.settings.metrics.statsd {
        background.spawn(send_metrics(Arc::clone(node), address.clone()));
    }
    Ok(background)
}

/// Logs an event whenever the node begins or ceases to serve callers, or the reason changes.
async fn report_readiness(node: Arc<Node>) {
    let mut last = None;
    loop {
        let now = node.readiness();
        if last != Some(now) {
            match now {
                Ok(()) => emit(Event::Ready, &[]),
                Err(why) => emit(Event::NotReady, &[("why", &why.to_string())]),
            }
            last = Some(now);
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

/// Sends metrics periodically. If that isn't possible, does nothing, without an error.
async fn send_metrics(node: Arc<Node>, address: String) {
    let Ok(mut sender) = MetricsSender::new(&address) else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        sender.send(&node.counters);
    }
}

#[expect(clippy::print_stdout, reason = "the dump goes where the operator reads it")]
fn print_dump(node: &Node) {
    match serde_json::to_string(&dump::dump(node)) {
        Ok(text) => println!("{text}"),
        Err(err) => println!("cannot serialise the state: {err}"),
    }
}

/// Stops in a planned way: withdraws this node's address, waits until callers' copies of
/// it have expired, finishes the requests in flight, and closes the connections. A second
/// signal, or the end of `stop_patience`, aborts what is left.
async fn stop(node: &Arc<Node>, mut servers: Servers, signals: &mut Signals) -> StopSummary {
    node.leaving.store(true, Ordering::Relaxed);
    emit(Event::Leaving, &[]);
    let is_drained = tokio::select! {
        is_drained = drain(node, &mut servers) => is_drained,
        () = wait_for_stop(signals, node) => {
            let left = node.in_flight.len().to_string();
            emit(Event::Cut, &[("in_flight", &left)]);
            false
        }
    };
    if is_drained {
        return StopSummary { aborted: 0 };
    }
    let aborted = node.in_flight.len();
    servers.server_state.send_replace(ServerState::Aborting);
    let ended = tokio::time::timeout(ABORT_TIMEOUT, servers.callers).await;
    let unfinished = ended.ok().and_then(Result::ok).unwrap_or(0);
    StopSummary { aborted: aborted.max(unfinished) }
}

/// Time for the server to abort its connections.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Drains the node; false if requests are still in flight after `stop_patience`.
async fn drain(node: &Node, servers: &mut Servers) -> bool {
    let times = &node.settings.times;
    // Other nodes learn of it from the next poll, which starts within one interval and takes
    // at most another; callers then use the addresses that they got until these expire.
    let addresses_expire_at =
        node.now() + times.probe_every + times.probe_every + times.entries_ttl;
    let drain_deadline = addresses_expire_at + times.stop_patience;
    wait_until(node, addresses_expire_at).await;
    // A caller that still comes ignored the expiry; it is refused and given other addresses.
    node.closing.store(true, Ordering::Relaxed);
    wait_until_idle(node, drain_deadline).await;
    if !node.in_flight.is_empty() {
        return false;
    }
    servers.server_state.send_replace(ServerState::Draining);
    close_connections(node, servers, drain_deadline).await
}

/// Waits until all connections have closed; each closes after its answer, which includes
/// requests that were not in the table of requests in flight yet. A caller that has stopped
/// reading is given the usual `caller_stall`.
async fn close_connections(node: &Node, servers: &mut Servers, drain_deadline: Millis) -> bool {
    let stall = node.settings.times.caller_stall;
    loop {
        let left = drain_deadline.since(node.now()).min(stall);
        if tokio::time::timeout(left.to_duration(), &mut servers.callers).await.is_ok() {
            return true;
        }
        if node.in_flight.is_empty() || node.now() >= drain_deadline {
            return false;
        }
    }
}

async fn wait_until(node: &Node, time: Millis) {
    while node.now() < time {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

async fn wait_until_idle(node: &Node, not_after: Millis) {
    while !node.in_flight.is_empty() && node.now() < not_after {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}
