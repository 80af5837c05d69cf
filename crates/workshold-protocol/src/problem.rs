//! The error document that a caller gets when a request fails: `application/problem+json`.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Whether a failed request was executed. Callers use it to decide whether a retry is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// The request certainly did not run and will not.
    No,
    /// The request may have run, in part or completely.
    Unknown,
}

/// Stable codes of the errors that a caller can get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProblemCode {
    /// The request is malformed; a retry does not help.
    BadRequest,
    /// The body is longer than the node accepts.
    TooLarge,
    /// The team's API key is missing or wrong.
    Unauthorized,
    /// There is no such path, model, service or request.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// A request that must run at most once has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The idempotency key is older than the keys that nodes still remember.
    KeyExpired,
    /// The request with this key is still running on some node.
    KeyInProgress,
    /// The team exceeds its rate limit.
    TeamLimit,
    /// The queue is too long for the request to meet its deadline.
    Overloaded,
    /// No group serves this model at the moment.
    NoGroup,
    /// No instance of this service can be reached.
    NoUpstream,
    /// The request must be recorded in the log before it runs, and the log cannot be written at
    /// the moment.
    LogUnavailable,
    /// This node does not know the bundle in force.
    NotReady,
    /// This node is shutting down.
    Leaving,
    /// The deadline passed before the request completed.
    DeadlineExceeded,
    /// The upstream failed after the request had been sent to it.
    UpstreamFailed,
    /// The stream to resume no longer exists.
    ResumeLost,
}

impl ProblemCode {
    /// Returns the HTTP status of responses with this code.
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

    /// Returns a short title for people.
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

/// Body of the response to a request that failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable code, for programs.
    pub code: ProblemCode,
    /// Short title of the code, for people.
    pub title: String,
    /// HTTP status, as in the response's status line.
    pub status: u16,
    /// What happened to this request.
    pub detail: String,
    /// Whether the request was executed.
    pub ran: ExecutionStatus,
    /// Time to wait before a retry; also sent as `Retry-After`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<Millis>,
    /// Addresses of entry nodes at which to retry; empty means at this node.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<String>,
}

impl Problem {
    /// Creates a problem for a request that certainly did not run.
    pub fn not_run(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self::new(code, ExecutionStatus::No, detail.into())
    }

    /// Creates a problem for a request that may have run.
    pub fn may_have_run(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self::new(code, ExecutionStatus::Unknown, detail.into())
    }

    /// Sets the time to wait before a retry.
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

/// Converts to whole seconds for the `Retry-After` header, rounded up so that no caller retries
/// too early.
pub const fn retry_after_secs(after: Millis) -> u64 {
    after.0.div_ceil(1000)
}
