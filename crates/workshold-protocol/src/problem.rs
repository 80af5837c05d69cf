//! What a caller reads when a request fails: `application/problem+json`.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Whether a failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// Proved: it did not run and will not.
    No,
    /// It may have run, in part or whole.
    Unknown,
}

/// Stable codes of everything that can go wrong for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemCode {
    /// The request makes no sense; asking again does not help.
    BadRequest,
    /// The body is longer than the node takes.
    TooLarge,
    /// The team's key is missing or wrong.
    Unauthorized,
    /// There is no such path, model, service or request.
    NotFound,
    /// The method does not fit the path.
    MethodNotAllowed,
    /// A call that may run at most once has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The idempotency key is older than what is remembered.
    KeyExpired,
    /// The request with this key is still running on some node.
    KeyInProgress,
    /// The team is over its allowance.
    TeamLimit,
    /// The queue is too long for the deadline.
    Overloaded,
    /// No group serves this model at the moment.
    NoGroup,
    /// No instance of this service can be reached.
    NoUpstream,
    /// What must last cannot be written at the moment.
    LogUnavailable,
    /// This node does not know the bundle in force.
    NotReady,
    /// This node is about to stop.
    Leaving,
    /// The deadline passed.
    DeadlineExceeded,
    /// The upstream failed after it had been sent the request.
    UpstreamFailed,
    /// The stream to be resumed is gone.
    ResumeLost,
}

impl ProblemCode {
    /// HTTP status that goes with the code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::KeyReused | Self::KeyInProgress => 409,
            Self::KeyExpired | Self::ResumeLost => 410,
            Self::TooLarge => 413,
            Self::TeamLimit => 429,
            Self::Overloaded
            | Self::NoGroup
            | Self::NoUpstream
            | Self::LogUnavailable
            | Self::NotReady
            | Self::Leaving => 503,
            Self::DeadlineExceeded => 504,
            Self::UpstreamFailed => 502,
        }
    }

    /// A short title for people.
    pub const fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request cannot be understood",
            Self::TooLarge => "The request is too large",
            Self::Unauthorized => "The team's key is missing or wrong",
            Self::NotFound => "Not found",
            Self::MethodNotAllowed => "The method does not fit the path",
            Self::KeyRequired => "This call needs an idempotency key",
            Self::KeyReused => "The idempotency key was used for another request",
            Self::KeyExpired => "The idempotency key is too old",
            Self::KeyInProgress => "The request with this key is still running",
            Self::TeamLimit => "The team is over its allowance",
            Self::Overloaded => "The deadline cannot be met",
            Self::NoGroup => "No group serves this model at the moment",
            Self::NoUpstream => "The service cannot be reached",
            Self::LogUnavailable => "The request cannot be recorded at the moment",
            Self::NotReady => "This node does not know what to serve",
            Self::Leaving => "This node is about to stop",
            Self::DeadlineExceeded => "The deadline passed",
            Self::UpstreamFailed => "The upstream failed",
            Self::ResumeLost => "The stream is gone",
        }
    }
}

/// The media type of a [`Problem`].
pub const PROBLEM_JSON: &str = "application/problem+json";

/// The final answer of a request that was not served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable code.
    pub code: ProblemCode,
    /// Short title.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request.
    pub detail: String,
    /// Whether it ran.
    pub ran: ExecutionStatus,
    /// When to come back; also sent as `Retry-After`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
    /// Where to come back; empty means here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<String>,
}

impl Problem {
    /// A problem of a request that did not run.
    pub fn not_run(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self::new(code, ExecutionStatus::No, detail.into())
    }

    /// A problem of a request that may have run.
    pub fn may_have_run(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self::new(code, ExecutionStatus::Unknown, detail.into())
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(mut self, after: Millis) -> Self {
        self.retry_after_ms = Some(after);
        self
    }

    fn new(code: ProblemCode, ran: ExecutionStatus, detail: String) -> Self {
        Self {
            code,
            title: code.title().to_owned(),
            status: code.status(),
            detail,
            ran,
            retry_after_ms: None,
            entries: Vec::new(),
        }
    }
}

/// `Retry-After` in whole seconds, rounded up, as the header wants it.
pub const fn retry_after_secs(after: Millis) -> u64 {
    after.0.div_ceil(1000)
}
