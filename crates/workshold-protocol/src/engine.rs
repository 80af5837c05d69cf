//! The HTTP interface of model engines and plain services.
//!
//! - `GET /engine/report` returns a [`crate::report::Report`].
//! - `POST /engine/orders` takes a [`crate::report::Order`]; an engine that checks fencing tokens
//!   answers 409 to a token lower than one it has seen.
//! - `POST /engine/generate` takes a [`GenerateRequest`] and streams one [`TokenEvent`] per line.
//!   Status 503 with [`NOT_STARTED_HEADER`] means that nothing ran.
//! - `GET /engine/streams/{id}?from=N` returns the stream's events from token `N` on, for as long
//!   as the engine keeps the stream; `DELETE` on the same path cancels it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AdapterName;
use crate::ids::FencingToken;
use crate::ids::GroupId;
use crate::ids::ModelName;

/// Response header, set to `yes` if the engine rejected a request before it ran any of it. Such a
/// request can safely be retried elsewhere.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// Body of `POST /engine/generate`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the stream, for resuming and cancelling it.
    pub stream: String,
    /// The group that the sender takes the engine for a member of.
    pub group: GroupId,
    /// The fencing token of that group; an engine that checks tokens rejects any other.
    pub fence: FencingToken,
    /// The model to run.
    pub model: ModelName,
    /// The adapter to apply, if any.
    pub adapter: Option<AdapterName>,
    /// Text to continue.
    pub prompt: String,
    /// Tokens that another engine generated before this one took over the request.
    #[serde(default)]
    pub generated: Vec<String>,
    /// Maximum number of tokens in the answer, including those in `generated`.
    pub max_tokens: u32,
    /// Scheduling priority in the engine; higher runs first.
    pub priority: u8,
}

/// One line of an engine's output stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenEvent {
    /// A generated token.
    Token {
        /// Position in the answer, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// End of a complete answer.
    Done {
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// The engine failed; the stream ends without a complete answer.
    Failed {
        /// Error message of the engine.
        why: String,
    },
}
