//! The sealed records since the last checkpoint, for peers that cannot reach the log.

use std::collections::VecDeque;

use workshold_protocol::ids::Offset;

/// Sealed records at consecutive offsets.
#[derive(Debug, Default)]
pub struct Tail {
    first: Offset,
    records: VecDeque<String>,
}

/// Most bytes of records in one answer to a peer; a single longer record is sent alone.
const MAX_CHUNK_LEN: usize = 1024 * 1024;

impl Tail {
    /// Makes an empty tail; the record at `first` comes next.
    pub fn starting_at(first: Offset) -> Self {
        Self { first, records: VecDeque::new() }
    }

    /// Offset of the first record; equals `next` if there is none.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Offset after the last record.
    pub fn next(&self) -> Offset {
        Offset(self.first.0 + self.records.len() as u64)
    }

    /// Appends the record at `offset`; ignored if it isn't the next one.
    pub fn push(&mut self, offset: Offset, text: &str) {
        if offset == self.next() {
            self.records.push_back(text.to_owned());
        }
    }

    /// Drops the records before `offset`, which a checkpoint covers.
    pub fn drop_before(&mut self, offset: Offset) {
        while self.first < offset && self.records.pop_front().is_some() {
            self.first = self.first.next();
        }
    }

    /// Copies records from `from` on, or from the first one kept, up to a bounded size.
    pub fn chunk(&self, from: Offset) -> Vec<(Offset, String)> {
        let start = from.max(self.first);
        let skip = (start.0 - self.first.0) as usize;
        let mut len = 0;
        let within = |text: &&String| {
            let fits = len == 0 || len + text.len() <= MAX_CHUNK_LEN;
            len += text.len();
            fits
        };
        let chunk = self.records.iter().skip(skip).take_while(within);
        (start.0..).map(Offset).zip(chunk.cloned()).collect()
    }
}
