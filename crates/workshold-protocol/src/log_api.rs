//! The platform's log service, as its published interface has it.
//!
//! `POST /streams/{stream}/records` with an [`AppendRequest`] appends, and
//! `GET /streams/{stream}/records?from=N&wait_ms=M` reads on from an offset,
//! waiting up to `M` ms for something new.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Offset;

/// The stream that this system keeps.
pub const STREAM: &str = "workshold";

/// What is to be appended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// One record.
    pub data: String,
}

/// Where it stands now.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct AppendReply {
    /// Its offset.
    pub offset: Offset,
}

/// Part of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// The first offset that is still kept.
    pub first: Offset,
    /// The first offset that is not yet taken.
    pub end: Offset,
    /// Records from the offset asked for on, without gaps.
    pub records: Vec<ReadRecord>,
}

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReadRecord {
    /// Where it stands.
    pub offset: Offset,
    /// What was appended.
    pub data: String,
}
