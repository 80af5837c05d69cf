//! Splits a stream of server-sent events into whole events.
//!
//! Bytes are forwarded unchanged; only the end of each event and its id are parsed.

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;

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
    /// Events with data that the stream may have; `None` if their number is not known.
    data_events_max: Option<u64>,
    /// Events with data so far, also those that were dropped.
    data_events: u64,
    /// Events without data since the last one with data, such as comments.
    empty_events: u64,
}

/// Longest event, in bytes.
const EVENT_LEN_MAX: usize = 256 * 1024;
/// Events with data beyond one for each token, such as one that ends the stream.
const TOKENLESS_EVENTS: u64 = 64;
/// Most events without data in a row, such as comments that keep a connection alive.
const EMPTY_EVENTS_MAX: u64 = 256;

/// Why bytes are no stream of events that answers the request.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// an event is longer than the limit
    EventTooLong,
    /// there are more events than tokens were asked for
    TooManyEvents,
    /// there are too many events without data
    TooManyEmptyEvents,
}

impl std::error::Error for FramingError {}

impl FramingError {
    /// The error's text, for logs.
    pub const fn text(self) -> &'static str {
        match self {
            Self::EventTooLong => "an event is longer than the limit",
            Self::TooManyEvents => "there are more events than tokens were asked for",
            Self::TooManyEmptyEvents => "there are too many events without data",
        }
    }
}

impl Framer {
    /// A framer for a stream of which the caller already has the events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// The same for a stream of at most `tokens` tokens, each event of which holds at least one.
    #[must_use]
    pub fn with_tokens_max(mut self, tokens: Option<u64>) -> Self {
        self.data_events_max = tokens.map(|tokens| tokens.saturating_add(TOKENLESS_EVENTS));
        self
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

    /// Memory of the unfinished event in the buffer, in bytes.
    pub fn held_len(&self) -> usize {
        if self.buf.is_empty() { 0 } else { self.buf.capacity() }
    }

    /// Whether the buffer holds the beginning of an unfinished event.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Adds bytes, and returns the whole events that the caller does not have yet.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if an unfinished event is longer than an event may be, or there are more
    /// events than an answer has.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, FramingError> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = self.next_event_end() {
            let event = self.buf.split_to(end);
            self.scanned = 0;
            self.count(&event)?;
            if self.is_new(&event) {
                self.event_count += 1;
                out.unsplit(event);
            }
        }
        if self.buf.len() > EVENT_LEN_MAX {
            return Err(FramingError::EventTooLong);
        }
        Ok(out.freeze())
    }

    /// Counts an event, whether the caller has it or not.
    fn count(&mut self, event: &[u8]) -> Result<(), FramingError> {
        let has_data = event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"));
        if !has_data {
            self.empty_events += 1;
            return match self.empty_events > EMPTY_EVENTS_MAX {
                true => Err(FramingError::TooManyEmptyEvents),
                false => Ok(()),
            };
        }
        self.empty_events = 0;
        self.data_events += 1;
        match self.data_events_max {
            Some(max) if self.data_events > max => Err(FramingError::TooManyEvents),
            _ => Ok(()),
        }
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
