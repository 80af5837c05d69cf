//! The headers that callers steer their requests with.

use hyper::HeaderMap;
use workshold_core::admission::Priority;
use workshold_protocol::Millis;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::settings::TimeSettings;

/// The team, where its bundle entry lists no keys.
pub const TEAM: &str = "workshold-team";
/// `high`, `normal` or `low`.
pub const PRIORITY: &str = "workshold-priority";
/// Milliseconds until the caller has no use for the answer any more.
pub const DEADLINE: &str = "workshold-deadline-ms";
/// Names a conversation, so that short prompts of it meet in one cache.
pub const SESSION: &str = "workshold-session";
/// A UUID of version 7 that names a call which must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// In answers: the id by which the stream is resumed or cancelled.
pub const REQUEST_ID: &str = "workshold-request-id";

/// The longest value of a header of ours, in bytes.
const MAX_VALUE_LEN: usize = 256;

/// What a caller asked for in headers.
#[derive(Debug, Clone)]
pub struct Wishes {
    /// The request's priority.
    pub priority: Priority,
    /// How long the caller waits.
    pub patience: Millis,
    /// The conversation.
    pub session: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
}

/// Reads a header of ours; none if it is not there.
///
/// # Errors
///
/// A problem for a value that is no text, or too long.
pub fn value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad(name, "it is not text"))?;
    if text.len() > MAX_VALUE_LEN {
        return Err(bad(name, "it is longer than 256 bytes"));
    }
    Ok(Some(text))
}

impl Wishes {
    /// Reads all of them.
    ///
    /// # Errors
    ///
    /// A problem that names the header and what is wrong with it.
    pub fn read(headers: &HeaderMap, times: &TimeSettings) -> Result<Self, Problem> {
        let priority = match value(headers, PRIORITY)? {
            None => Priority::Normal,
            Some(text) => Priority::parse(text)
                .ok_or_else(|| bad(PRIORITY, "it must be high, normal or low"))?,
        };
        Ok(Self {
            priority,
            patience: patience(headers, times)?,
            session: value(headers, SESSION)?.map(str::to_owned),
            idempotency_key: value(headers, IDEMPOTENCY_KEY)?.map(str::to_owned),
        })
    }
}

fn patience(headers: &HeaderMap, times: &TimeSettings) -> Result<Millis, Problem> {
    let Some(text) = value(headers, DEADLINE)? else { return Ok(times.default_deadline) };
    let number = text.parse::<u64>().map(Millis);
    let wanted = number.map_err(|_| bad(DEADLINE, "it must be a whole number of milliseconds"))?;
    if wanted == Millis::ZERO || wanted > times.max_deadline {
        let why = format!("it must be 1 to {}", times.max_deadline.0);
        return Err(bad(DEADLINE, &why));
    }
    Ok(wanted)
}

fn bad(name: &str, why: &str) -> Problem {
    Problem::not_run(ProblemCode::BadRequest, format!("header {name}: {why}"))
}
