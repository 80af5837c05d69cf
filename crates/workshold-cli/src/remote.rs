//! Asking a node, and appending to the log.

use std::time::Duration;

use hyper::Method;
use workshold_http::client;
use workshold_http::client::CallError;
use workshold_node::dump::Status;
use workshold_protocol::Clock;
use workshold_protocol::clock::SystemClock;
use workshold_protocol::ids::Offset;
use workshold_protocol::log_api::AppendReply;
use workshold_protocol::log_api::AppendRequest;
use workshold_protocol::log_api::STREAM;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::seal_as_operator;
use workshold_protocol::signing::OperatorKey;

use crate::error::CliError;

const WITHIN: Duration = Duration::from_secs(3);
const APPEND_TRIES: u32 = 5;
const PAUSE: Duration = Duration::from_millis(200);

/// Where a command's questions and records go.
#[derive(Debug, Clone)]
pub struct Remote {
    /// A node's address for operators.
    pub node: String,
    /// The log service's address.
    pub log: String,
}

/// What the node says of the whole system.
///
/// # Errors
///
/// [`CliError::Node`] if it does not answer.
pub async fn status(node: &str) -> Result<Status, CliError> {
    client::get(node, "/status", WITHIN).await.map_err(CliError::Node)
}

/// Asks a node for a JSON value.
///
/// # Errors
///
/// [`CliError::Node`] if it does not answer.
pub async fn ask(node: &str, path: &str) -> Result<serde_json::Value, CliError> {
    client::get(node, path, WITHIN).await.map_err(CliError::Node)
}

/// Tells a node to drop what stands at `path`.
///
/// # Errors
///
/// [`CliError::Node`] if it does not answer, or refuses.
pub async fn delete(node: &str, path: &str) -> Result<(), CliError> {
    client::call_raw(node, Method::DELETE, path, WITHIN).await.map_err(CliError::Node)?;
    Ok(())
}

/// Appends `fact`, sealed with the operator's key. If the reply is lost, the same
/// record is appended again; it counts once.
///
/// # Errors
///
/// [`CliError::Log`] if the log does not answer.
pub async fn append(log: &str, key: &OperatorKey, fact: Fact) -> Result<Offset, CliError> {
    let envelope = Envelope::new(SystemClock::default().wall(), vec![fact]);
    let append = AppendRequest { data: seal_as_operator(&envelope, key) };
    let path = format!("/streams/{STREAM}/records");
    let mut tries = 1;
    loop {
        let sent: Result<AppendReply, CallError> =
            client::call(log, Method::POST, &path, Some(&append), WITHIN).await;
        match sent {
            Ok(reply) => return Ok(reply.offset),
            Err(err) if tries == APPEND_TRIES => return Err(CliError::Log(err)),
            Err(_) => {
                tries += 1;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Asks the node again and again until `is_done` says so.
///
/// # Errors
///
/// [`CliError::NotYet`] if it takes longer than `secs`.
pub async fn wait_for<R>(
    node: &str,
    secs: u64,
    mut is_done: impl FnMut(&Status) -> Option<R>,
) -> Result<R, CliError> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(secs);
    loop {
        if let Ok(status) = status(node).await
            && let Some(result) = is_done(&status)
        {
            return Ok(result);
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(CliError::NotYet(secs));
        }
        tokio::time::sleep(PAUSE).await;
    }
}
