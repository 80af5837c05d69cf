//! Tunnels: a node that has lost its network path to a server asks another one to open a
//! connection, with the method `CONNECT`, and to forward all bytes in both directions.
//!
//! A peer connects by itself and never through another tunnel, so there is one hop and no loop.
//! It answers only once it has connected: until then no byte has reached the server.
//!
//! The kernel closes the connections of a killed peer as if they had come to their end. Two nodes may
//! agree that the bytes from the server travel in frames, of which the last one marks their end.
//! What the frames look like is up to them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Empty;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Builder;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::server_stream::ServerStream;
use crate::write_progress::ObservedStream;

/// Time in ms after which the peer closes the connection, however much is still sent.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// In the request: the node takes frames; in the answer: the peer sends them.
pub const FRAMES: HeaderName = HeaderName::from_static("x-tunnel-frames");
/// The frames that nodes agree on.
const FRAMES_VERSION: HeaderValue = HeaderValue::from_static("1");
/// The peer's answer if the server refused the connection.
pub const REFUSED: StatusCode = StatusCode::BAD_GATEWAY;
/// The peer's answer if the server did not answer in time.
pub const SILENT: StatusCode = StatusCode::GATEWAY_TIMEOUT;

/// Why there is no tunnel.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum TunnelError {
    /// the peer opens no tunnel now: {0}
    Unavailable(String),
    /// the peer was refused by the server
    Refused,
    /// the peer got no answer from the server
    Silent,
}

impl std::error::Error for TunnelError {}

/// A connection to a peer that forwards it.
#[derive(Debug)]
pub struct Tunnel {
    /// The connection to the peer.
    pub stream: TcpStream,
    /// What the peer has already sent after its answer.
    pub start: Bytes,
    /// Whether the peer sends frames.
    pub is_framed: bool,
}

impl Tunnel {
    /// The connection of a tunnel without frames.
    ///
    /// # Errors
    ///
    /// [`TunnelError::Unavailable`] if anything came on it before the request.
    pub fn into_raw(self) -> Result<TcpStream, TunnelError> {
        if self.start.is_empty() {
            return Ok(self.stream);
        }
        Err(unavailable("the server has sent data before the request"))
    }
}

/// Opens a connection to `address` through the node at `peer`, which closes it after `time_left`,
/// and offers it to send frames. The peer's answer is waited for without a time limit.
///
/// # Errors
///
/// A [`TunnelError`]; in all cases nothing was sent to the server.
pub async fn open(
    peer: SocketAddr,
    address: &str,
    time_left: Duration,
) -> Result<Tunnel, TunnelError> {
    connect(peer, connect_request(address, time_left).header(FRAMES, FRAMES_VERSION)).await
}

/// Like [`open`], but the peer, such as an HTTP proxy, is not offered to send frames.
///
/// # Errors
///
/// A [`TunnelError`]; in all cases nothing was sent to the server.
pub async fn connect_raw(
    peer: SocketAddr,
    address: &str,
    time_left: Duration,
) -> Result<TcpStream, TunnelError> {
    connect(peer, connect_request(address, time_left)).await?.into_raw()
}

fn connect_request(address: &str, time_left: Duration) -> Builder {
    Request::builder()
        .method(Method::CONNECT)
        .uri(address)
        .header(TIME_LEFT, time_left.as_millis().to_string())
}

/// Sends the request to a peer.
async fn connect(peer: SocketAddr, req: Builder) -> Result<Tunnel, TunnelError> {
    let stream = TcpStream::connect(peer).await.map_err(unavailable)?;
    stream.set_nodelay(true).map_err(unavailable)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(unavailable)?;
    let driver = tokio::spawn(connection.with_upgrades());
    let req = req.body(Empty::<Bytes>::new()).map_err(unavailable)?;
    let res = sender.send_request(req).await.map_err(unavailable)?;
    match res.status() {
        StatusCode::OK => {}
        REFUSED => return Err(TunnelError::Refused),
        SILENT => return Err(TunnelError::Silent),
        status => return Err(unavailable(status)),
    }
    let is_framed = names_frames(res.headers());
    let upgraded = hyper::upgrade::on(res).await.map_err(unavailable)?;
    // The task ends with the upgrade.
    drop(driver);
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_| unavailable("the connection is of an unknown kind"))?;
    Ok(Tunnel { stream: parts.io.into_inner(), start: parts.read_buf, is_framed })
}

/// Whether a request offers to take frames, or an answer says that the peer sends them.
pub fn names_frames(headers: &HeaderMap) -> bool {
    headers.get(FRAMES) == Some(&FRAMES_VERSION)
}

fn unavailable(why: impl ToString) -> TunnelError {
    TunnelError::Unavailable(why.to_string())
}

/// The answer to a request for a tunnel, once the server's connection is open: 200, and whether
/// frames are sent.
pub fn accept<B>(req: &Request<Incoming>, body: B) -> Response<B> {
    let mut res = Response::new(body);
    if names_frames(req.headers()) {
        res.headers_mut().insert(FRAMES, FRAMES_VERSION);
    }
    res
}

/// The server's side of a tunnel, as its bytes are read.
pub type ServerReader = Box<dyn AsyncRead + Send + Unpin>;
/// The client's side of a tunnel, as the server's bytes are written to it.
pub type ClientWriter = Box<dyn AsyncWrite + Send + Unpin>;

/// Forwards all bytes as they are between the client that sent `req`, which has been answered with
/// 200, and `server`, for `time_left` at most; otherwise like [`forward_with`].
///
/// # Errors
///
/// If the client's connection cannot be taken over.
pub async fn forward(
    req: Request<Incoming>,
    server: impl Into<ServerStream>,
    time_left: Duration,
) -> io::Result<()> {
    let copy = |mut server_rx: ServerReader, mut client_tx: ClientWriter| async move {
        tokio::io::copy(&mut server_rx, &mut client_tx).await?;
        client_tx.shutdown().await
    };
    forward_with(req, server.into(), time_left, copy).await
}

/// Forwards a tunnel whose request has been answered with 200, for `time_left` at most. `send`
/// carries the server's bytes to the client.
///
/// If the client closes its side, the connection to the server is closed at once, since an HTTP
/// client that closes has given up its request. If the server's connection breaks, the client's is
/// reset: a response whose end is marked by the end of the connection must not look complete, not
/// even to a client that takes no frames.
///
/// # Errors
///
/// If the client's connection cannot be taken over.
pub async fn forward_with<F>(
    req: Request<Incoming>,
    server: ServerStream,
    time_left: Duration,
    send: impl FnOnce(ServerReader, ClientWriter) -> F,
) -> io::Result<()>
where
    F: Future<Output = io::Result<()>>,
{
    let upgraded = hyper::upgrade::on(req).await.map_err(io::Error::other)?;
    let parts = upgraded
        .downcast::<TokioIo<ObservedStream>>()
        .map_err(|_| io::Error::other("the connection is of an unknown kind"))?;
    let client = parts.io.into_inner();
    let progress = client.progress();
    let (mut client_rx, client_tx) = tokio::io::split(client);
    let (server_rx, mut server_tx) = tokio::io::split(server);
    let to_server = async {
        server_tx.write_all(&parts.read_buf).await?;
        tokio::io::copy(&mut client_rx, &mut server_tx).await
    };
    let is_complete = tokio::select! {
        sent = send(Box::new(server_rx), Box::new(client_tx)) => sent.is_ok(),
        _ = to_server => false,
        () = tokio::time::sleep(time_left) => false,
    };
    if !is_complete {
        progress.abort();
    }
    Ok(())
}
