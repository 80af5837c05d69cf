//! Request headers that callers set, and how they are parsed.

use hyper::HeaderMap;
use workshold_core::admission::Priority;
use workshold_protocol::Millis;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::settings::TimeSettings;

/// The team's name. Accepted only for a team whose bundle entry lists no API keys.
pub const TEAM: &str = "workshold-team";
/// The request's priority: `high`, `normal` or `low`.
pub const PRIORITY: &str = "workshold-priority";
/// Milliseconds until the caller stops waiting for the answer.
pub const DEADLINE: &str = "workshold-deadline-ms";
/// Identifies a conversation. Its prompts that are too short for prefix routing go to the
/// same group, so that they share a cache.
pub const SESSION: &str = "workshold-session";
/// A UUID of version 7 that identifies a request which must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header: the id by which the stream can be resumed or cancelled.
pub const REQUEST_ID: &str = "workshold-request-id";

/// The longest accepted value of these headers, in bytes.
const MAX_VALUE_LEN: usize = 256;

/// The options that a caller set in request headers.
#[derive(Debug, Clone)]
pub struct RequestOptions {
    /// The request's priority; `Normal` if the caller sets none.
    pub priority: Priority,
    /// How long the caller waits; the node's default if the caller sets none.
    pub time_limit: Millis,
    /// The id of the conversation.
    pub session: Option<String>,
    /// The idempotency key; not validated yet.
    pub idempotency_key: Option<String>,
}

/// Returns the value of a header as text; `None` if the request does not have it.
///
/// # Errors
///
/// A problem for a value that is not text or is longer than 256 bytes.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| invalid_header(name, "it is not text"))?;
    if text.len() > MAX_VALUE_LEN {
        return Err(invalid_header(name, "it is longer than 256 bytes"));
    }
    Ok(Some(text))
}

impl RequestOptions {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// A problem that names the invalid header and says what is wrong with it.
    pub fn read(headers: &HeaderMap, times: &TimeSettings) -> Result<Self, Problem> {
        let priority = match header_text(headers, PRIORITY)? {
            None => Priority::Normal,
            Some(text) => Priority::parse(text)
                .ok_or_else(|| invalid_header(PRIORITY, "it must be high, normal or low"))?,
        };
        Ok(Self {
            priority,
            time_limit: time_limit(headers, times)?,
            session: header_text(headers, SESSION)?.map(str::to_owned),
            idempotency_key: header_text(headers, IDEMPOTENCY_KEY)?.map(str::to_owned),
        })
    }
}

fn time_limit(headers: &HeaderMap, times: &TimeSettings) -> Result<Millis, Problem> {
    let Some(text) = header_text(headers, DEADLINE)? else { return Ok(times.default_deadline) };
    let number = text.parse::<u64>().map(Millis);
    let wanted = number
        .map_err(|_| invalid_header(DEADLINE, "it must be a whole number of milliseconds"))?;
    if wanted == Millis::ZERO || wanted > times.max_deadline {
        let why = format!("it must be 1 to {}", times.max_deadline.0);
        return Err(invalid_header(DEADLINE, &why));
    }
    Ok(wanted)
}

fn invalid_header(name: &str, why: &str) -> Problem {
    Problem::not_run(ProblemCode::BadRequest, format!("header {name}: {why}"))
}
