//! Starts a node and shuts it down gracefully.

use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tower::service_fn;
use workshold_http::dial::Dial;
use workshold_http::server;
use workshold_http::server::ServerLimits;
use workshold_http::server::ServerState;
use workshold_http::server::infallible;
use workshold_http::signals::SignalAction;
use workshold_http::signals::Signals;
use workshold_protocol::Millis;
use workshold_protocol::clock::SystemClock;

use crate::VERSION;
use crate::callers::control;
use crate::callers::directory;
use crate::callers::requests;
use crate::callers::responses::ResponseBody;
use crate::callers::tunnel;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::settings;
use crate::settings::Settings;
use crate::tasks;

/// Longest wait at exit for queued log lines to be written.
pub const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

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
    GossipSocket(io::Error),
    /// a background task of the node ended unexpectedly
    TaskEnded,
}

impl std::error::Error for DaemonError {}

/// Longest head of a request, in bytes. Servers start with it before the operator's configuration
/// is known.
const HEAD_LEN_MAX: usize = 16 * 1024;
/// How long a connection may stay idle or take to send a request head. Longer than callers keep
/// idle connections, so that the caller closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);
/// Most concurrent connections to each of the directory, readiness and control servers.
const AUXILIARY_CONNECTIONS_MAX: usize = 512;
/// Socket send buffer of one caller connection, in bytes: data sent but not yet read.
const SEND_BUFFER_LEN: u32 = 64 * 1024;
/// How often the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Poll interval for the conditions that a stopping node waits for.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A planned stop ends this long before the platform would kill the process.
const STOP_LEAD_TIME: Millis = Millis(700);
/// Time to close connections that wait for nothing, after the listener is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Callers may keep using addresses for up to this many times their time to live.
const ADDRESS_REUSE_FACTOR: f64 = 3.0;

/// Runs a node until one of `signals` stops it; `path` is the settings file to watch. `dialer` opens
/// its connections to instances.
///
/// # Errors
///
/// [`DaemonError`] if the node cannot start, or one of its background tasks ends.
pub async fn run(
    settings: Settings,
    path: PathBuf,
    mut signals: Signals,
    dialer: Box<dyn Dial>,
) -> Result<(), DaemonError> {
    let (probes, probes_rx) = mpsc::unbounded_channel();
    let node = Node::new(settings, Box::new(SystemClock::default()), probes);
    let node = Arc::new(node.with_dialer(dialer));
    let (server_state, rx) = watch::channel(ServerState::Running);
    let callers = start_servers(&node, &rx)?;
    let socket = tasks::gossip::open(&node).await.map_err(DaemonError::GossipSocket)?;
    let socket = Arc::new(socket);
    let mut background_tasks = JoinSet::new();
    background_tasks.spawn(tasks::store_sync::config(Arc::clone(&node)));
    background_tasks.spawn(tasks::store_sync::list(Arc::clone(&node)));
    background_tasks.spawn(tasks::gossip::send_heartbeats(Arc::clone(&node), Arc::clone(&socket)));
    background_tasks.spawn(tasks::gossip::send_news(Arc::clone(&node), Arc::clone(&socket)));
    background_tasks.spawn(tasks::gossip::receive(Arc::clone(&node), Arc::clone(&socket)));
    background_tasks.spawn(tasks::gossip::catch_up(Arc::clone(&node)));
    background_tasks.spawn(tasks::probing::run(Arc::clone(&node), socket, probes_rx));
    background_tasks.spawn(tasks::probing::retry_probes(Arc::clone(&node)));
    background_tasks.spawn(tasks::probing::retry_paths(Arc::clone(&node)));
    background_tasks.spawn(tasks::leasing::discover_peers(Arc::clone(&node)));
    background_tasks.spawn(tasks::stewarding::run(Arc::clone(&node)));
    background_tasks.spawn(tasks::quarantine_store::run(Arc::clone(&node)));
    background_tasks.spawn(tasks::readers::run(Arc::clone(&node)));
    background_tasks.spawn(tasks::upkeep::run(Arc::clone(&node)));
    background_tasks.spawn(watch_settings(Arc::clone(&node), path.clone()));
    let lease = tokio::spawn(tasks::leasing::hold_lease(Arc::clone(&node)));
    let address = node.settings().listen.callers.to_string();
    emit(Event::Started, &[("version", VERSION), ("callers", &address)]);
    let ended = loop {
        tokio::select! {
            task = background_tasks.join_next() => {
                let why = task.and_then(Result::err).map(|err| err.to_string());
                emit(Event::TaskEnded, &[("why", &why.unwrap_or_default())]);
                break Err(DaemonError::TaskEnded);
            }
            wanted = signals.next() => match wanted {
                SignalAction::Reload => reload(&node, &path),
                SignalAction::Dump => print_state(&node),
                SignalAction::Stop => break Ok(()),
            },
        }
    };
    // Without a task the node cannot go on for long, but its callers lose nothing. A node without
    // callers ends at once, so that its next process starts sooner.
    if ended.is_ok() || node.has_local_traffic() {
        stop(&node, callers, &server_state).await;
    }
    lease.abort();
    emit(Event::Stopped, &[("in_flight", &node.in_flight().to_string())]);
    ended
}

/// Prints the node's state as JSON, on SIGUSR1.
#[expect(clippy::print_stdout, reason = "the operator reads the dump on stdout")]
fn print_state(node: &Node) {
    println!("{}", control::state(node));
}

/// Starts the server for callers and the auxiliary servers. Returns the task of the first, which
/// ends with the count of connections that it cut.
fn start_servers(
    node: &Arc<Node>,
    server_state: &watch::Receiver<ServerState>,
) -> Result<JoinHandle<usize>, DaemonError> {
    let settings = node.settings();
    let bounds = ServerLimits {
        max_connections: settings.caller_connections(),
        max_head_len: HEAD_LEN_MAX,
        head_read_timeout: IDLE_TIMEOUT,
        ..ServerLimits::default()
    };
    let listener = bind(settings.listen.callers)?;
    let handler_node = Arc::clone(node);
    let service = service_fn(move |req: Request<Incoming>| {
        infallible(requests::handle(Arc::clone(&handler_node), req))
    });
    let callers = tokio::spawn(server::serve(listener, bounds, service, server_state.clone()));
    serve_auxiliary(node, settings.listen.directory, server_state, |node, req| {
        ready(directory::handle(&node, &req))
    })?;
    serve_auxiliary(node, settings.listen.readiness, server_state, |node, req| {
        ready(directory::readiness(&node, &req))
    })?;
    serve_auxiliary(node, settings.control(), server_state, handle_control)?;
    Ok(callers)
}

/// Handles a request to the control server.
async fn handle_control(node: Arc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    if req.method() == Method::CONNECT {
        return tunnel::handle(node, req).await;
    }
    control::handle(&node, &req)
}

/// Starts a server with its own limit of connections, so that callers cannot use them up.
fn serve_auxiliary<F>(
    node: &Arc<Node>,
    address: SocketAddr,
    server_state: &watch::Receiver<ServerState>,
    handler: fn(Arc<Node>, Request<Incoming>) -> F,
) -> Result<(), DaemonError>
where
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let bounds = ServerLimits {
        max_connections: AUXILIARY_CONNECTIONS_MAX,
        head_read_timeout: IDLE_TIMEOUT,
        ..ServerLimits::default()
    };
    let listener = bind(address)?;
    let node = Arc::clone(node);
    let service =
        service_fn(move |req: Request<Incoming>| infallible(handler(Arc::clone(&node), req)));
    tokio::spawn(server::serve(listener, bounds, service, server_state.clone()));
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    server::bind(address, SEND_BUFFER_LEN).map_err(|why| DaemonError::Listen { address, why })
}

/// Reloads the settings when the file's modification time changes, for edits without a SIGHUP.
async fn watch_settings(node: Arc<Node>, path: PathBuf) {
    let modified = |path: &Path| std::fs::metadata(path).and_then(|meta| meta.modified()).ok();
    let mut last = modified(&path);
    loop {
        tokio::time::sleep(SETTINGS_POLL_INTERVAL).await;
        let now = modified(&path);
        if now != last {
            last = now;
            reload(&node, &path);
        }
    }
}

/// Loads the settings and puts them in force if they changed and are valid.
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
/// longer use it, refuses new requests that might not end in time, and waits for those in flight.
async fn stop(
    node: &Arc<Node>,
    callers: JoinHandle<usize>,
    server_state: &watch::Sender<ServerState>,
) {
    let settings = node.settings();
    let stop_began = node.now();
    let grace = Millis((settings.bounds.stop_within_s * 1000.0) as u64);
    let deadline = stop_began + grace.since(STOP_LEAD_TIME);
    node.leave(deadline);
    emit(Event::Leaving, &[]);
    let address_lifetime =
        Millis((settings.address_ttl_s() * ADDRESS_REUSE_FACTOR * 1000.0) as u64);
    let unused_from = (stop_began + address_lifetime).min(deadline);
    let close_at = stop_began + Millis(address_lifetime.0 / 2);
    wait_until(node, close_at.min(deadline)).await;
    node.close();
    wait_until(node, unused_from).await;
    node.refuse_requests();
    while node.in_flight() > 0 && node.now() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    server_state.send_replace(ServerState::Draining);
    flush_responses(node, callers, deadline).await;
}

/// Waits until all connections of callers are closed. Past [`FLUSH_TIMEOUT`] only callers that have
/// not read their whole response are waited for, and none past `deadline`: the platform would kill
/// whatever takes longer.
async fn flush_responses(node: &Node, mut callers: JoinHandle<usize>, deadline: Millis) {
    while tokio::time::timeout(FLUSH_TIMEOUT, &mut callers).await.is_err() {
        node.check_readers();
        if node.readers.is_empty() || node.now() >= deadline {
            return;
        }
    }
}

async fn wait_until(node: &Node, time: Millis) {
    while node.now() < time {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}
