//! Bounds the bytes of a connection that belong to no body.
//!
//! `hyper` bounds a head, the extensions of chunks and the trailers each on its own, but neither the
//! number of interim answers nor the length of a chunk's size: a server can send those without end.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Bytes that may come for each byte of a body: more than chunks of one byte need.
const BYTES_PER_BODY_BYTE: u64 = 16;
/// Interim answers that may come before an answer: requests ask for none.
const INTERIM_ANSWERS_MAX: u64 = 64;

/// The bytes that came on one connection, and how many of them were of a body.
#[derive(Debug)]
pub(crate) struct ReadOverhead {
    /// Bytes that may come without any of a body; `u64::MAX` for no bound.
    slack: u64,
    received: AtomicU64,
    body: AtomicU64,
    interim_answers: AtomicU64,
}

impl ReadOverhead {
    /// No bound, for servers that are trusted.
    pub(crate) fn unlimited() -> Arc<Self> {
        Self::limited(u64::MAX)
    }

    /// At most `slack` bytes, and some for each byte of a body.
    pub(crate) fn limited(slack: u64) -> Arc<Self> {
        Arc::new(Self {
            slack,
            received: AtomicU64::new(0),
            body: AtomicU64::new(0),
            interim_answers: AtomicU64::new(0),
        })
    }

    /// Records that bytes of a body were taken from the connection.
    pub(crate) fn on_body_data(&self, len: usize) {
        self.body.fetch_add(len as u64, Ordering::Relaxed);
    }

    /// Records that an interim answer came.
    pub(crate) fn on_interim_answer(&self) {
        self.interim_answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that bytes came.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::InvalidData`] if too many of them were of no body.
    pub(crate) fn on_received(&self, len: usize) -> io::Result<()> {
        self.received.fetch_add(len as u64, Ordering::Relaxed);
        if self.is_exceeded() {
            let why = "the server sends without end what is of no body";
            return Err(io::Error::new(io::ErrorKind::InvalidData, why));
        }
        Ok(())
    }

    /// Whether too many bytes were of no body, or too many answers were none.
    pub(crate) fn is_exceeded(&self) -> bool {
        if self.slack == u64::MAX {
            return false;
        }
        if self.interim_answers.load(Ordering::Relaxed) > INTERIM_ANSWERS_MAX {
            return true;
        }
        let body = self.body.load(Ordering::Relaxed);
        let received_max = self.slack.saturating_add(BYTES_PER_BODY_BYTE.saturating_mul(body));
        self.received.load(Ordering::Relaxed) > received_max
    }
}
