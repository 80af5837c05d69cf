//! Requests to a node's operator address, and appends to the log.

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

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_APPEND_ATTEMPTS: u32 = 5;
/// Pause between attempts to append and between polls of the status.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The addresses that a command talks to.
#[derive(Debug, Clone)]
pub struct Remote {
    /// A node's operator address, `ip:port`.
    pub node: String,
    /// Address of the log service, `ip:port`.
    pub log: String,
}

/// Fetches the status of the whole deployment as the node at `node` sees it.
///
/// # Errors
///
/// [`CliError::Node`] if the node does not answer.
pub async fn status(node: &str) -> Result<Status, CliError> {
    client::get(node, "/status", REQUEST_TIMEOUT).await.map_err(CliError::Node)
}

/// Fetches the JSON value at `path` from a node.
///
/// # Errors
///
/// [`CliError::Node`] if the node does not answer.
pub async fn get_json(node: &str, path: &str) -> Result<serde_json::Value, CliError> {
    client::get(node, path, REQUEST_TIMEOUT).await.map_err(CliError::Node)
}

/// Sends a DELETE request for `path` to a node.
///
/// # Errors
///
/// [`CliError::Node`] if the node does not answer, or rejects the request.
pub async fn delete(node: &str, path: &str) -> Result<(), CliError> {
    client::call_raw(node, Method::DELETE, path, REQUEST_TIMEOUT).await.map_err(CliError::Node)?;
    Ok(())
}

/// Appends `fact` to the log, signed with the operator's key. Retries with the same record if the
/// reply is lost; a record that is appended twice counts once.
///
/// # Errors
///
/// [`CliError::Log`] if no attempt gets an answer from the log service.
pub async fn append(log: &str, key: &OperatorKey, fact: Fact) -> Result<Offset, CliError> {
    let envelope = Envelope::new(SystemClock::default().wall(), vec![fact]);
    let append = AppendRequest { data: seal_as_operator(&envelope, key) };
    let path = format!("/streams/{STREAM}/records");
    let mut attempts = 1;
    loop {
        let reply: Result<AppendReply, CallError> =
            client::call(log, Method::POST, &path, Some(&append), REQUEST_TIMEOUT).await;
        match reply {
            Ok(appended) => return Ok(appended.offset),
            Err(err) if attempts == MAX_APPEND_ATTEMPTS => return Err(CliError::Log(err)),
            Err(_) => {
                attempts += 1;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Polls the node's status until `check` returns a result. Failed requests are retried.
///
/// # Errors
///
/// [`CliError::WaitTimeout`] if `check` returns none within `secs` seconds.
pub async fn wait_for<R>(
    node: &str,
    secs: u64,
    mut check: impl FnMut(&Status) -> Option<R>,
) -> Result<R, CliError> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(secs);
    loop {
        if let Ok(status) = status(node).await
            && let Some(result) = check(&status)
        {
            return Ok(result);
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(CliError::WaitTimeout(secs));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
