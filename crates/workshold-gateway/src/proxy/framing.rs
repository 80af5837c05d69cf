//! Cutting a stream into whole events.
//!
//! Bytes are passed on as they came; only where events end and which number they
//! have is looked at.

use bytes::Bytes;
use bytes::BytesMut;

/// A stream's bytes up to the end of an event.
#[derive(Debug, Default)]
pub struct Framer {
    buf: BytesMut,
    scanned: usize,
    last: Option<u64>,
    taken: u64,
}

/// The longest event, in bytes; more without an end is no event.
const MOST_BYTES: usize = 1024 * 1024;

impl Framer {
    /// A framer for a stream whose event `last` the caller already has.
    pub fn after(last: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), scanned: 0, last, taken: 0 }
    }

    /// The number of the last event that was taken out.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// How many events were taken out.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Whether bytes are left that are no whole event.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Adds bytes; takes out the whole events among them that the caller lacks.
    ///
    /// Returns `None` if the bytes are no events.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = self.next_end() {
            let event = self.buf.split_to(end);
            self.scanned = 0;
            if self.is_new(&event) {
                self.taken += 1;
                out.unsplit(event);
            }
        }
        (self.buf.len() <= MOST_BYTES).then(|| out.freeze())
    }

    /// Where the first whole event ends: behind an empty line.
    fn next_end(&mut self) -> Option<usize> {
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

    fn is_new(&mut self, event: &[u8]) -> bool {
        let Some(id) = id_of(event) else { return true };
        if self.last.is_some_and(|last| id <= last) {
            return false;
        }
        self.last = Some(id);
        true
    }
}

/// The number of an event.
fn id_of(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
