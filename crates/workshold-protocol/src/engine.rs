//! The model engines' and the plain services' interface, as published.
//!
//! - `GET /engine/report` gives a [`crate::report::Report`].
//! - `POST /engine/orders` takes a [`crate::report::Order`]; an engine that
//!   fences answers 409 to an old number.
//! - `POST /engine/generate` takes a [`GenerateRequest`] and streams a
//!   [`TokenEvent`] a line. 503 with [`NOT_STARTED_HEADER`] means that nothing ran.
//! - `GET /engine/streams/{id}?from=N` gives the stream's events from token `N`
//!   on, while the engine keeps it; `DELETE` of the same path cancels it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AdapterName;
use crate::ids::FencingToken;
use crate::ids::GroupId;
use crate::ids::ModelName;

/// Set to `yes` on a refusal that was made before anything ran.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// What an engine is asked to generate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Names the stream, for resuming and cancelling.
    pub stream: String,
    /// The group the sender believes it talks to.
    pub group: GroupId,
    /// And its fencing number; an engine that fences refuses another.
    pub fence: FencingToken,
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is wanted.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// Tokens that were generated already, when another engine takes over.
    #[serde(default)]
    pub generated: Vec<String>,
    /// The most tokens to have in the end, those in `generated` included.
    pub max_tokens: u32,
    /// Higher goes first.
    pub priority: u8,
}

/// One line of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenEvent {
    /// One token.
    Token {
        /// Its place in the answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// How many tokens it has.
        tokens: u32,
    },
    /// The engine gave up.
    Failed {
        /// Why.
        why: String,
    },
}
