//! Serving a `tower` service on a listener, within bounds.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Body as HttpBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tower::Service;

/// What one peer may use up.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections at once; more wait in the machine's backlog.
    pub max_connections: usize,
    /// Headers of a request.
    pub max_headers: usize,
    /// Bytes of a request's head.
    pub max_head_len: usize,
    /// Time for a request's head to come.
    pub head_read_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_headers: 64,
            max_head_len: 16 * 1024,
            head_read_timeout: Duration::from_secs(10),
        }
    }
}

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on `address`; accepted connections hold at most `send_buffer` bytes that
/// their peer has not read. Left to the machine, that grows to megabytes, and a peer
/// who has stopped reading is not noticed.
///
/// # Errors
///
/// What the machine says.
pub fn bind(address: SocketAddr, send_buffer: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Connections that are accepted have the listener's bound.
    socket.set_send_buffer_size(send_buffer)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// An answer that is always one, as `hyper` wants to hear it.
///
/// # Errors
///
/// Never.
pub async fn infallible<B>(
    answer: impl Future<Output = Response<B>>,
) -> Result<Response<B>, Infallible> {
    Ok(answer.await)
}

/// How far the end of a server has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It serves.
    Running,
    /// It accepts nothing and finishes what it has.
    Draining,
    /// It cuts what is left.
    Aborting,
}

/// Serves until `stage` says otherwise; returns how many connections were cut.
pub async fn serve<S, B>(
    listener: TcpListener,
    bounds: ServerLimits,
    service: S,
    mut stage: watch::Receiver<ServerState>,
) -> usize
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: HttpBody + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let permits = Arc::new(Semaphore::new(bounds.max_connections));
    let mut connections = JoinSet::new();
    while *stage.borrow() == ServerState::Running {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { break };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Out of descriptors, say; others may end meanwhile.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            _ = stage.changed() => break,
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        let stage = stage.clone();
        connections.spawn(async move {
            run_connection(TokioIo::new(stream), bounds, service, stage).await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    finish(connections, stage).await
}

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

async fn run_connection<S, B>(
    io: TokioIo<tokio::net::TcpStream>,
    bounds: ServerLimits,
    service: TowerToHyperService<S>,
    mut stage: watch::Receiver<ServerState>,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: HttpBody + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_read_timeout)
        .max_headers(bounds.max_headers)
        .max_buf_size(bounds.max_head_len.max(MIN_BUF_LEN))
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // A peer that misbehaves or goes away ends only its own connection.
            _ = connection.as_mut() => return,
            changed = stage.changed() => match changed.map(|()| *stage.borrow()) {
                Ok(ServerState::Running) => {}
                Ok(ServerState::Draining) => connection.as_mut().graceful_shutdown(),
                Ok(ServerState::Aborting) | Err(_) => return,
            },
        }
    }
}

/// What `hyper` asks for at least.
const MIN_BUF_LEN: usize = 8192;

async fn finish(mut connections: JoinSet<()>, mut stage: watch::Receiver<ServerState>) -> usize {
    loop {
        tokio::select! {
            ended = connections.join_next() => if ended.is_none() { return 0 },
            changed = stage.changed() => {
                if changed.is_err() || *stage.borrow() == ServerState::Aborting {
                    while connections.try_join_next().is_some() {}
                    return connections.len();
                }
            }
        }
    }
}
