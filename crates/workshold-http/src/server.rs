//! An HTTP/1 server that serves a `tower` service with limits on connections and request heads.
//!
//! Each request carries the [`WriteProgress`] of its connection as an extension. The service can
//! track the response's body with it, and close the connection of a client that does not read.
//!
//! HTTP/1.0 has no chunks, so a response of unknown length ends with its connection. To such a
//! client, a connection that ends in the middle of a response is reset.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Body as HttpBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service as HyperService;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tower::Service;

use crate::write_progress::ObservedStream;
use crate::write_progress::WriteProgress;

/// Limits of a server against clients that are many, slow, or send too much.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further ones wait in the listener's backlog.
    pub max_connections: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum size of a request's head (request line and headers), in bytes. A limit below 8192
    /// has no effect, since `hyper` needs a buffer of that size.
    pub max_head_len: usize,
    /// Time within which the head of a request must arrive.
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

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Listens on `address`. Accepted connections hold at most `send_buffer` bytes that the client
/// has not read. The kernel would let that buffer grow to megabytes, and a client that has stopped
/// reading would go unnoticed.
///
/// # Errors
///
/// The error of the operating system, such as that the address is in use.
pub fn bind(address: SocketAddr, send_buffer: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the listener's buffer size.
    socket.set_send_buffer_size(send_buffer)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Wraps a response that can't fail in the `Result` that `hyper` requires of a service.
///
/// # Errors
///
/// Never.
pub async fn infallible<B>(
    response: impl Future<Output = Response<B>>,
) -> Result<Response<B>, Infallible> {
    Ok(response.await)
}

/// What a server does; its owner sets it to shut the server down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts connections and serves requests.
    Running,
    /// Accepts no connections, and closes each one after the request in progress.
    Draining,
    /// Closes all connections at once.
    Aborting,
}

/// Serves connections until `state` is no longer [`ServerState::Running`] and all connections are
/// closed. Returns how many of them were aborted while still open.
pub async fn serve<S, B>(
    listener: TcpListener,
    limits: ServerLimits,
    service: S,
    mut state: watch::Receiver<ServerState>,
) -> usize
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: HttpBody + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut connections = JoinSet::new();
    while *state.borrow() == ServerState::Running {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { break };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Such as too many open files: other connections may close meanwhile.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            _ = state.changed() => break,
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        let state = state.clone();
        connections.spawn(async move {
            handle_connection(stream, limits, service, state).await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    drain_connections(connections, state).await
}

/// Time to wait after a failed accept, so that the loop doesn't spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves one connection until it ends, or until the state of the server ends it.
async fn handle_connection<S, B>(
    stream: TcpStream,
    limits: ServerLimits,
    service: TowerToHyperService<S>,
    mut state: watch::Receiver<ServerState>,
) where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: HttpBody + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let progress = WriteProgress::new();
    let io = TokioIo::new(ObservedStream::new(stream.into(), Arc::clone(&progress)));
    let request_progress = Arc::clone(&progress);
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(Arc::clone(&request_progress));
        let (version, progress) = (req.version(), Arc::clone(&request_progress));
        let responding = HyperService::call(&service, req);
        async move {
            let res = responding.await?;
            if version < Version::HTTP_11 && res.body().size_hint().exact().is_none() {
                progress.reset_unless_shut_down();
            }
            Ok::<_, Infallible>(res)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_read_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_len.max(MIN_BUF_LEN))
        .serve_connection(io, service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // An error ends only this connection: the client misbehaved or went away.
            _ = connection.as_mut() => return,
            () = progress.aborted() => return,
            changed = state.changed() => match changed.map(|()| *state.borrow()) {
                Ok(ServerState::Running) => {}
                Ok(ServerState::Draining) => connection.as_mut().graceful_shutdown(),
                Ok(ServerState::Aborting) | Err(_) => return,
            },
        }
    }
}

/// Minimum buffer size that `hyper` accepts, in bytes; it panics at less.
const MIN_BUF_LEN: usize = 8192;

/// Waits until all connections have ended, or aborts them if the owner says so or is gone.
/// Returns the number of aborted connections.
async fn drain_connections(
    mut connections: JoinSet<()>,
    mut state: watch::Receiver<ServerState>,
) -> usize {
    loop {
        tokio::select! {
            ended = connections.join_next() => if ended.is_none() { return 0 },
            changed = state.changed() => {
                if changed.is_err() || *state.borrow() == ServerState::Aborting {
                    while connections.try_join_next().is_some() {}
                    return connections.len();
                }
            }
        }
    }
}
