//! Tunnels through a peer in which the end of the server's bytes is marked.
//!
//! The bytes from the server travel in [`frames`] if both nodes know them, those to the server as
//! they are.

mod frames;

use std::io;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use workshold_http::server_stream::MarkedTunnel;
use workshold_http::server_stream::ServerStream;
use workshold_http::tunnel;
use workshold_http::tunnel::TunnelError;

use crate::tunnel::frames::FrameReader;

/// The node's side of a tunnel with frames.
#[derive(Debug)]
struct FramedTunnel {
    rx: FrameReader<OwnedReadHalf>,
    tx: OwnedWriteHalf,
}

/// Opens a connection to `address` through the node at `peer`, which closes it after `time_left`.
/// The peer's answer is waited for without a time limit. If the stream [marks its
/// end](ServerStream::marks_end), each end but the server's own is an error.
///
/// # Errors
///
/// A [`TunnelError`]; in all cases nothing was sent to the server.
pub async fn connect_through(
    peer: SocketAddr,
    address: &str,
    time_left: Duration,
) -> Result<ServerStream, TunnelError> {
    let opened = tunnel::open(peer, address, time_left).await?;
    if !opened.is_framed {
        return opened.into_raw().map(ServerStream::unmarked);
    }
    let (rx, tx) = opened.stream.into_split();
    Ok(ServerStream::marked(FramedTunnel { rx: frames::reader(opened.start, rx), tx }))
}

/// Forwards a tunnel whose request has been answered with [`tunnel::accept`], for `time_left` at
/// most.
///
/// # Errors
///
/// If the client's connection cannot be taken over.
pub async fn forward(
    req: Request<Incoming>,
    server: impl Into<ServerStream>,
    time_left: Duration,
) -> io::Result<()> {
    if tunnel::names_frames(req.headers()) {
        tunnel::forward_with(req, server.into(), time_left, frames::send).await
    } else {
        tunnel::forward(req, server, time_left).await
    }
}

impl MarkedTunnel for FramedTunnel {
    fn socket(&self) -> &TcpStream {
        self.tx.as_ref()
    }
}

impl AsyncRead for FramedTunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.rx).poll_read(cx, buf)
    }
}

impl AsyncWrite for FramedTunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tx).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tx).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tx.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tx).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tx).poll_shutdown(cx)
    }
}
