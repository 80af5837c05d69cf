//! Observes how fast the other side of a connection takes what is sent to it.
//!
//! `hyper` does not tell when the bytes of a body have left its buffers. [`ObservedStream`] sees
//! every write to the socket, and [`TrackedBody`] every piece that `hyper` takes from a body; the
//! difference is what waits in the process.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;

use crate::read_overhead::ReadOverhead;
use crate::server_stream::ServerStream;

/// Number of the next connection of this process.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(0);

/// What one connection has sent, and what waits to be sent on it.
#[derive(Debug)]
pub struct WriteProgress {
    connection: u64,
    /// Bytes of bodies that the kernel has not taken.
    waiting: AtomicU64,
    /// Bytes that the kernel has taken.
    written: AtomicU64,
    is_aborted: AtomicBool,
    is_reset_unless_shut_down: AtomicBool,
    is_closed: AtomicBool,
    has_written: Notify,
    abort_wanted: Notify,
}

impl WriteProgress {
    /// The progress of a new connection.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            connection: NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed),
            waiting: AtomicU64::new(0),
            written: AtomicU64::new(0),
            is_aborted: AtomicBool::new(false),
            is_reset_unless_shut_down: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            has_written: Notify::new(),
            abort_wanted: Notify::new(),
        })
    }

    /// Number of the connection, unique in this process.
    pub fn connection(&self) -> u64 {
        self.connection
    }

    /// Bytes of bodies that were taken from a [`TrackedBody`] but not by the kernel.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Bytes that the kernel has taken since the connection was opened.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Asks the task of the connection to close it in the middle of whatever is being sent. The
    /// kernel drops what it has not sent, so that the other side cannot hold it.
    pub fn abort(&self) {
        self.is_aborted.store(true, Ordering::Relaxed);
        self.abort_wanted.notify_one();
    }

    /// Makes every end of the connection a reset, except one after all was sent: the end of the
    /// connection is what marks the end of what is being sent.
    pub(crate) fn reset_unless_shut_down(&self) {
        self.is_reset_unless_shut_down.store(true, Ordering::Relaxed);
    }

    /// Whether the other side must not take the end of the connection for the end of a message.
    fn is_reset_at_end(&self) -> bool {
        let flags = [&self.is_aborted, &self.is_reset_unless_shut_down];
        flags.iter().any(|flag| flag.load(Ordering::Relaxed))
    }

    /// `hyper` shuts a connection down only once it has sent all.
    fn on_shut_down(&self) {
        self.is_reset_unless_shut_down.store(false, Ordering::Relaxed);
    }

    /// Waits for [`Self::abort`]. Only one task can wait for it.
    pub async fn aborted(&self) {
        self.abort_wanted.notified().await;
    }

    /// Waits until the kernel takes more bytes. Only one task can wait for it; a write since the
    /// last wait ends it at once.
    pub async fn next_write(&self) {
        self.has_written.notified().await;
    }

    fn on_handed_over(&self, len: usize) {
        self.waiting.fetch_add(len as u64, Ordering::Relaxed);
    }

    /// The count of `len` includes heads and chunk sizes, so it may exceed what waits.
    fn on_written(&self, len: usize) {
        let _ = self.waiting.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |waiting| {
            Some(waiting.saturating_sub(len as u64))
        });
        self.written.fetch_add(len as u64, Ordering::Relaxed);
        self.has_written.notify_one();
    }

    /// `hyper` flushes the socket only when its own buffer is empty.
    fn on_flushed(&self) {
        self.waiting.store(0, Ordering::Relaxed);
    }
}

/// A connection whose writes are observed.
#[derive(Debug)]
pub(crate) struct ObservedStream {
    stream: ServerStream,
    progress: Arc<WriteProgress>,
    overhead: Option<Arc<ReadOverhead>>,
    /// Whether the kernel resets the connection if nothing but its end is left of this process.
    is_reset_armed: bool,
}

impl ObservedStream {
    pub(crate) fn new(stream: ServerStream, progress: Arc<WriteProgress>) -> Self {
        Self { stream, progress, overhead: None, is_reset_armed: false }
    }

    /// The same stream, whose reads fail once too many bytes are of no body.
    pub(crate) fn with_overhead(mut self, overhead: Arc<ReadOverhead>) -> Self {
        self.overhead = Some(overhead);
        self
    }

    /// What the connection has sent; it can also be aborted.
    pub(crate) fn progress(&self) -> Arc<WriteProgress> {
        Arc::clone(&self.progress)
    }

    /// Makes the kernel reset the connection even if this process is killed, if its end must not
    /// look like the end of a message.
    fn arm_reset(&mut self) {
        if !self.is_reset_armed && self.progress.is_reset_at_end() {
            // Only fails if the socket is already unusable.
            let _ = self.stream.socket().set_zero_linger();
            self.is_reset_armed = true;
        }
    }

    /// Lets the kernel deliver what it has after the connection was shut down.
    fn disarm_reset(&mut self) {
        if std::mem::take(&mut self.is_reset_armed) {
            #[expect(deprecated, reason = "without a time the socket does not block")]
            let _ = self.stream.socket().set_linger(None);
        }
    }

    fn on_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(len)) = result {
            self.progress.on_written(len);
        }
        result
    }
}

impl Drop for ObservedStream {
    fn drop(&mut self) {
        self.arm_reset();
        self.progress.is_closed.store(true, Ordering::Relaxed);
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match (&result, &self.overhead) {
            (Poll::Ready(Ok(())), Some(overhead)) => {
                Poll::Ready(overhead.on_received(buf.filled().len() - before))
            }
            _ => result,
        }
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset();
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset();
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.on_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.on_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.progress.on_shut_down();
            self.disarm_reset();
        }
        result
    }
}

/// A body whose pieces count as waiting at its connection from when `hyper` takes them.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    progress: Arc<WriteProgress>,
}

impl<B> TrackedBody<B> {
    /// Tracks a body that is sent on the connection of `progress`.
    pub fn new(body: B, progress: Arc<WriteProgress>) -> Self {
        Self { body, progress }
    }
}

impl<B: HttpBody + Unpin> HttpBody for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &frame {
            let len = frame.data_ref().map_or(0, Buf::remaining);
            self.progress.on_handed_over(len);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
