//! The platform's log service as a node uses it.

use std::time::Duration;

use hyper::Method;
use workshold_http::client;
use workshold_http::client::CallError;
use workshold_protocol::Millis;
use workshold_protocol::ids::Offset;
use workshold_protocol::log_api::AppendReply;
use workshold_protocol::log_api::AppendRequest;
use workshold_protocol::log_api::ReadReply;
use workshold_protocol::log_api::STREAM;

/// A client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: String,
}

/// Beyond what a read was asked to wait.
const READ_SLACK: Duration = Duration::from_millis(1_500);
const APPEND_TIME: Duration = Duration::from_millis(1_000);

impl LogClient {
    /// A client of the service at `address`.
    pub fn new(address: &str) -> Self {
        Self { address: address.to_owned() }
    }

    /// Reads from `from` on; waits up to `wait` for something new.
    ///
    /// # Errors
    ///
    /// [`CallError`] if the log does not answer.
    pub async fn read(&self, from: Offset, wait: Millis) -> Result<ReadReply, CallError> {
        let path = format!("/streams/{STREAM}/records?from={from}&wait_ms={}", wait.0);
        client::get(&self.address, &path, wait.to_duration() + READ_SLACK).await
    }

    /// Appends one sealed record. Without an answer it may stand there or not;
    /// appending the same text again does no harm.
    ///
    /// # Errors
    ///
    /// [`CallError`] if the log does not answer, or refuses.
    pub async fn append(&self, data: &str) -> Result<Offset, CallError> {
        let path = format!("/streams/{STREAM}/records");
        let append = AppendRequest { data: data.to_owned() };
        let reply: AppendReply =
            client::call(&self.address, Method::POST, &path, Some(&append), APPEND_TIME).await?;
        Ok(reply.offset)
    }
}
