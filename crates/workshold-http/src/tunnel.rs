//! Tunnels: a node that has lost its network path to a server asks another one to open a
//! connection, with the method `CONNECT`, and to forward all bytes in both directions.
//!
//! A peer connects by itself and never through another tunnel, so there is one hop and no loop.
//! It answers only once it has connected: until then no byte has reached the server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Empty;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderName;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::write_progress::ObservedStream;

/// Time in ms after which the peer closes the connection, however much is still sent.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
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

/// Opens a connection to `address` through the node at `peer`, which closes it after `time_left`.
/// The peer's answer is waited for without a time limit.
///
/// # Errors
///
/// A [`TunnelError`]; in all cases nothing was sent to the server.
pub async fn connect_through(
    peer: SocketAddr,
    address: &str,
    time_left: Duration,
) -> Result<TcpStream, TunnelError> {
    let stream = TcpStream::connect(peer).await.map_err(unavailable)?;
    stream.set_nodelay(true).map_err(unavailable)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(unavailable)?;
    let driver = tokio::spawn(connection.with_upgrades());
    let req = Request::builder()
        .method(Method::CONNECT)
        .uri(address)
        .header(TIME_LEFT, time_left.as_millis().to_string())
        .body(Empty::<Bytes>::new())
        .map_err(unavailable)?;
    let res = sender.send_request(req).await.map_err(unavailable)?;
    match res.status() {
        StatusCode::OK => {}
        REFUSED => return Err(TunnelError::Refused),
        SILENT => return Err(TunnelError::Silent),
        status => return Err(unavailable(status)),
    }
    let upgraded = hyper::upgrade::on(res).await.map_err(unavailable)?;
    // The task ends with the upgrade.
    drop(driver);
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_| unavailable("the connection is of an unknown kind"))?;
    if !parts.read_buf.is_empty() {
        return Err(unavailable("the server has sent data before the request"));
    }
    Ok(parts.io.into_inner())
}

fn unavailable(why: impl ToString) -> TunnelError {
    TunnelError::Unavailable(why.to_string())
}

/// Forwards all bytes between the client that sent `req`, which has been answered with 200, and
/// `server`, for `time_left` at most.
///
/// If the client closes its side, the connection to the server is closed at once, since an HTTP
/// client that closes has given up its request. If the server's connection breaks, the client's is
/// reset: a response whose end is marked by the end of the connection must not look complete.
///
/// # Errors
///
/// If the client's connection cannot be taken over.
pub async fn forward(
    req: Request<Incoming>,
    server: TcpStream,
    time_left: Duration,
) -> io::Result<()> {
    let upgraded = hyper::upgrade::on(req).await.map_err(io::Error::other)?;
    let parts = upgraded
        .downcast::<TokioIo<ObservedStream>>()
        .map_err(|_| io::Error::other("the connection is of an unknown kind"))?;
    let client = parts.io.into_inner();
    let progress = client.progress();
    let (mut client_rx, mut client_tx) = tokio::io::split(client);
    let (mut server_rx, mut server_tx) = server.into_split();
    let to_server = async {
        server_tx.write_all(&parts.read_buf).await?;
        tokio::io::copy(&mut client_rx, &mut server_tx).await
    };
    let is_complete = tokio::select! {
        to_client = tokio::io::copy(&mut server_rx, &mut client_tx) => to_client.is_ok(),
        _ = to_server => false,
        () = tokio::time::sleep(time_left) => false,
    };
    if is_complete {
        client_tx.shutdown().await?;
    } else {
        progress.abort();
    }
    Ok(())
}
