//! The bytes from and to a server, over a direct connection or through a tunnel.

use std::fmt::Debug;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A tunnel whose peer marks the end of the server's bytes; each other end is an error.
pub trait MarkedTunnel: Debug + AsyncRead + AsyncWrite + Send + Unpin {
    /// The socket of the connection to the peer.
    fn socket(&self) -> &TcpStream;
}

/// A connection to a server.
#[derive(Debug)]
pub struct ServerStream {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Direct(TcpStream),
    /// A tunnel of a peer that does not mark the end.
    Unmarked(TcpStream),
    Marked(Box<dyn MarkedTunnel>),
}

impl From<TcpStream> for ServerStream {
    fn from(stream: TcpStream) -> Self {
        Self { kind: Kind::Direct(stream) }
    }
}

impl ServerStream {
    /// A tunnel whose peer forwards the server's bytes as they are.
    pub fn unmarked(peer: TcpStream) -> Self {
        Self { kind: Kind::Unmarked(peer) }
    }

    /// A tunnel whose peer marks the end of the server's bytes.
    pub fn marked(tunnel: impl MarkedTunnel + 'static) -> Self {
        Self { kind: Kind::Marked(Box::new(tunnel)) }
    }

    /// Whether a clean end of file always comes from the server. It may come from the peer if that
    /// is too old to mark the server's.
    pub fn marks_end(&self) -> bool {
        !matches!(self.kind, Kind::Unmarked(_))
    }

    /// The socket of the connection to the server or the peer.
    pub(crate) fn socket(&self) -> &TcpStream {
        match &self.kind {
            Kind::Direct(stream) | Kind::Unmarked(stream) => stream,
            Kind::Marked(stream) => stream.socket(),
        }
    }

    fn reader(&mut self) -> &mut (dyn AsyncRead + Unpin) {
        match &mut self.kind {
            Kind::Direct(stream) | Kind::Unmarked(stream) => stream,
            Kind::Marked(stream) => stream,
        }
    }

    fn writer(&mut self) -> &mut (dyn AsyncWrite + Unpin) {
        match &mut self.kind {
            Kind::Direct(stream) | Kind::Unmarked(stream) => stream,
            Kind::Marked(stream) => stream,
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(self.reader()).poll_read(cx, buf)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.writer()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.writer()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        match &self.kind {
            Kind::Direct(stream) | Kind::Unmarked(stream) => stream.is_write_vectored(),
            Kind::Marked(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.writer()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.writer()).poll_shutdown(cx)
    }
}
