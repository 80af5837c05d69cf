//! Starts a node and shuts it down gracefully.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tower::service_fn;
use workshold_http::server;
use workshold_http::server::Bounds;
use workshold_http::server::Stage;
use workshold_http::server::infallible;
use workshold_http::signals::Signals;
use workshold_http::signals::Wanted;
use workshold_protocol::Millis;
use workshold_protocol::clock::SystemClock;

use crate::callers::control;
use crate::callers::directory;
use crate::callers::requests;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::settings;
use crate::settings::Settings;
use crate::tasks;

/// Longest wait at exit for queued log lines to be written.
pub const LOG_END_TIME: Duration = Duration::from_millis(300);

/// Why a node did not start, or ended without a stop signal.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {why}
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of `bind` or `listen`.
        why: io::Error,
    },
    /// cannot open the UDP socket for gossip: {0}
    Peers(io::Error),
    /// a background task of the node ended unexpectedly
    TaskEnded,
}

impl std::error::Error for DaemonError {}

/// Longest head of a request, in bytes.
const HEAD_LEN: usize = 16 * 1024;
/// How long a connection may stay idle or take to send a request head. Longer than callers keep
/// idle connections, so that the caller closes first.
const REST_TIME: Duration = Duration::from_secs(16);
/// Most concurrent connections to each of the directory, readiness and control servers.
const SIDE_CONNECTIONS: usize = 512;
/// Socket send buffer of one caller connection, in bytes: data sent but not yet read.
const SEND_BUFFER: u32 = 64 * 1024;
/// How often the settings file is checked for changes.
const SETTINGS_EVERY: Duration = Duration::from_secs(1);
/// Poll interval for the conditions that a stopping node waits for.
const STOP_POLL: Duration = Duration::from_millis(25);
/// A planned stop ends this long before the platform would kill the process.
const STOP_LEAD: Millis = Millis(700);
/// Time to flush responses that are complete, after the listener is closed.
const FINISH_TIME: Duration = Duration::from_millis(250);
/// Callers may keep using addresses for up to this many times their time to live.
const ADDRESSES_KEPT: f64 = 3.0;

/// Runs a node until one of `signals` stops it; `path` is the settings file to watch.
///
/// # Errors
///
/// [`DaemonError`] if the node cannot start, or one of its background tasks ends.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    mut signals: Signals,
) -> Result<(), DaemonError> {
    let (probes, probes_rx) = mpsc::unbounded_channel();
    let node = Arc::new(Node::new(settings, Box::new(SystemClock::default()), probes));
    let (stage, rx) = watch::channel(Stage::Running);
    let callers = start_servers(&node, &rx)?;
    let socket = tasks::gossip::open(&node).await.map_err(DaemonError::Peers)?;
    let socket = Arc::new(socket);
    let mut parts = JoinSet::new();
    parts.spawn(tasks::store_sync::config(Arc::clone(&node)));
    parts.spawn(tasks::store_sync::list(Arc::clone(&node)));
    parts.spawn(tasks::gossip::send_heartbeats(Arc::clone(&node), Arc::clone(&socket)));
    parts.spawn(tasks::gossip::send_news(Arc::clone(&node), Arc::clone(&socket)));
    parts.spawn(tasks::gossip::receive(Arc::clone(&node), Arc::clone(&socket)));
    parts.spawn(tasks::gossip::catch_up(Arc::clone(&node)));
    parts.spawn(tasks::probing::run(Arc::clone(&node), socket, probes_rx));
    parts.spawn(tasks::probing::retry_probes(Arc::clone(&node)));
    parts.spawn(tasks::leasing::discover_peers(Arc::clone(&node)));
    parts.spawn(tasks::stewarding::run(Arc::clone(&node)));
    parts.spawn(tasks::quarantine_store::run(Arc::clone(&node)));
    parts.spawn(tasks::upkeep::run(Arc::clone(&node)));
    parts.spawn(watch_settings(Arc::clone(&node), path.clone()));
    let lease = tokio::spawn(tasks::leasing::hold_lease(Arc::clone(&node)));
    emit(Event::Started, &[("callers", &node.settings().listen.callers.to_string())]);
    loop {
        tokio::select! {
            _ = parts.join_next() => return Err(DaemonError::TaskEnded),
            wanted = signals.next() => match wanted {
                Wanted::Settings => reload(&node, &path),
                Wanted::Dump => print_state(&node),
                Wanted::Stop => break,
            },
        }
    }
    stop(&node, callers, &stage).await;
    lease.abort();
    emit(Event::Stopped, &[("in_flight", &node.in_flight().to_string())]);
    Ok(())
}

#[expect(clippy::print_stdout, reason = "the operator reads the dump on stdout")]
fn print_state(node: &Node) {
    println!("{}", control::state(node));
}

fn start_servers(
    node: &Arc<Node>,
    stage: &watch::Receiver<Stage>,
) -> Result<JoinHandle<usize>, DaemonError> {
    let settings = node.settings();
    let bounds = Bounds {
        connections: settings.caller_connections(),
        head_len: HEAD_LEN,
        head_time: REST_TIME,
        ..Bounds::default()
    };
    let listener = bind(settings.listen.callers)?;
    let for_callers = Arc::clone(node);
    let service = service_fn(move |req: Request<Incoming>| {
        infallible(requests::answer(Arc::clone(&for_callers), req))
    });
    let callers = tokio::spawn(server::serve(listener, bounds, service, stage.clone()));
    serve_side(node, settings.listen.directory, stage, directory::answer)?;
    serve_side(node, settings.listen.readiness, stage, directory::readiness)?;
    serve_side(node, settings.control(), stage, control::answer)?;
    Ok(callers)
}

type SideAnswer = fn(&Node, &Request<Incoming>) -> Response<ResponseBody>;

fn serve_side(
    node: &Arc<Node>,
    address: SocketAddr,
    stage: &watch::Receiver<Stage>,
    answer: SideAnswer,
) -> Result<(), DaemonError> {
    let bounds =
        Bounds { connections: SIDE_CONNECTIONS, head_time: REST_TIME, ..Bounds::default() };
    let listener = bind(address)?;
    let node = Arc::clone(node);
    let service = service_fn(move |req: Request<Incoming>| {
        let res = answer(&node, &req);
        infallible(async move { res })
    });
    tokio::spawn(server::serve(listener, bounds, service, stage.clone()));
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    server::bind(address, SEND_BUFFER).map_err(|why| DaemonError::Listen { address, why })
}

/// Reloads the settings when the file's modification time changes, for edits without a SIGHUP.
async fn watch_settings(node: Arc<Node>, path: PathBuf) {
    let modified = |path: &Path| std::fs::metadata(path).and_then(|meta| meta.modified()).ok();
    let mut last = modified(&path);
    loop {
        tokio::time::sleep(SETTINGS_EVERY).await;
        let now = modified(&path);
        if now != last {
            last = now;
            reload(&node, &path);
        }
    }
}

fn reload(node: &Node, path: &Path) {
    match settings::load(path) {
        Ok(settings) if settings == *node.settings() => {}
        Ok(settings) => {
            node.set_settings(settings);
            emit(Event::SettingsTaken, &[]);
        }
        Err(err) => emit(Event::SettingsRefused, &[("why", &err.to_string())]),
    }
}

/// Stops gracefully: withdraws this node's address from the directory, serves until callers no
/// longer use it, refuses new streams that might not end in time, and waits for the requests in
/// flight.
async fn stop(node: &Arc<Node>, callers: JoinHandle<usize>, stage: &watch::Sender<Stage>) {
    node.leave();
    emit(Event::Leaving, &[]);
    let settings = node.settings();
    let began = node.now();
    let grace = Millis((settings.bounds.stop_within_s * 1000.0) as u64);
    let ends = began + grace.since(STOP_LEAD);
    let kept = Millis((settings.addresses_good_s() * ADDRESSES_KEPT * 1000.0) as u64);
    let forgotten = (began + kept).min(ends);
    let half = began + Millis(kept.0 / 2);
    wait_until(node, half.min(ends)).await;
    node.close();
    wait_until(node, forgotten).await;
    node.refuse_requests();
    while node.in_flight() > 0 && node.now() < ends {
        tokio::time::sleep(STOP_POLL).await;
    }
    stage.send_replace(Stage::Finishing);
    // The platform would kill whatever takes longer.
    let _ = tokio::time::timeout(FINISH_TIME, callers).await;
}

async fn wait_until(node: &Node, time: Millis) {
    while node.now() < time {
        tokio::time::sleep(STOP_POLL).await;
    }
}
