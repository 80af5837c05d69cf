//! Splits a stream of server-sent events into whole events.
//!
//! Bytes are forwarded unchanged; only the end of each event and its id are parsed.

use bytes::Bytes;
use bytes::BytesMut;

/// Buffers a stream's bytes until an event is complete, and drops events that the caller has.
#[derive(Debug, Default)]
pub struct Framer {
    buf: BytesMut,
    /// Bytes of `buf` that were already searched for the end of an event.
    scanned: usize,
    /// The id of the last event that was returned, or that the caller already has.
    last: Option<u64>,
    /// Events that were returned.
    event_count: u64,
}

/// Longest event, in bytes.
const EVENT_LEN_MAX: usize = 1024 * 1024;

impl Framer {
    /// A framer for a stream of which the caller already has the events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), scanned: 0, last, event_count: 0 }
    }

    /// The id of the last event that was returned, or that the caller already has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// How many events were returned.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether the caller has no event, and none was returned.
    pub fn is_empty(&self) -> bool {
        self.event_count == 0 && self.last.is_none()
    }

    /// Length of the unfinished event in the buffer, in bytes.
    pub fn partial_len(&self) -> usize {
        self.buf.len()
    }

    /// Whether the buffer holds the beginning of an unfinished event.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Adds bytes, and returns the whole events that the caller does not have yet.
    ///
    /// Returns `None` if an unfinished event is longer than an event may be.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = self.next_event_end() {
            let event = self.buf.split_to(end);
            self.scanned = 0;
            if self.is_new(&event) {
                self.event_count += 1;
                out.unsplit(event);
            }
        }
        (self.buf.len() <= EVENT_LEN_MAX).then(|| out.freeze())
    }

    /// The offset after the empty line that ends the first event, if it is complete.
    fn next_event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buf[from..];
        let end = (0..bytes.len()).find_map(|i| {
            if bytes[i..].starts_with(b"\n\n") {
                Some(i + 2)
            } else if bytes[i..].starts_with(b"\r\n\r\n") {
                Some(i + 4)
            } else {
                None
            }
        });
        self.scanned = self.buf.len();
        end.map(|end| from + end)
    }

    /// Whether the caller does not have this event yet; one without an id always counts as new.
    fn is_new(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else { return true };
        if self.last.is_some_and(|last| id <= last) {
            return false;
        }
        self.last = Some(id);
        true
    }
}

/// The numeric id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
