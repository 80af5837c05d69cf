//! The HTTP interface of the platform's log service.
//!
//! `POST /streams/{stream}/records` appends an [`AppendRequest`] and returns an [`AppendReply`].
//! `GET /streams/{stream}/records?from=N&wait_ms=M` returns a [`ReadReply`] with the records from
//! offset `N` on; if there are none yet, it waits up to `M` ms for the next one (long poll).

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Offset;

/// Name of the log stream that workshold writes.
pub const STREAM: &str = "workshold";

/// Body of an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The sealed text of one record, see [`crate::record`].
    pub data: String,
}

/// Response to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// Response to a read: a range of a stream's records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// Offset of the oldest record that the service still stores.
    pub first: Offset,
    /// Offset that the next appended record will have.
    pub end: Offset,
    /// Records from the requested offset on, without gaps.
    pub records: Vec<ReadRecord>,
}

/// One record of a stream, as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// The text that was appended.
    pub data: String,
}
