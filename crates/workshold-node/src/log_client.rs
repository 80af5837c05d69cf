//! Client of the platform's log service.

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

/// Reads and appends records of the cluster's stream in the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: String,
}

/// Timeout of a read, beyond the time for which it may wait for new records.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_000);

impl LogClient {
    /// Makes a client of the service at `address` (`ip:port`); connects on each call.
    pub fn new(address: &str) -> Self {
        Self { address: address.to_owned() }
    }

    /// Reads records from offset `from` on. If there are none, waits for new ones up to
    /// `wait` (a long poll).
    ///
    /// # Errors
    ///
    /// [`CallError`] if the log does not answer in time, or refuses.
    pub async fn read(&self, from: Offset, wait: Millis) -> Result<ReadReply, CallError> {
        let path = format!("/streams/{STREAM}/records?from={from}&wait_ms={}", wait.0);
        client::get(&self.address, &path, wait.to_duration() + READ_TIMEOUT_MARGIN).await
    }

    /// Appends one sealed record and returns its offset. After an error the record may or
    /// may not have been appended; appending the same text again is harmless.
    ///
    /// # Errors
    ///
    /// [`CallError`] if the log does not answer, or refuses.
    pub async fn append(&self, data: &str) -> Result<Offset, CallError> {
        let path = format!("/streams/{STREAM}/records");
        let append = AppendRequest { data: data.to_owned() };
        let reply: AppendReply =
            client::call(&self.address, Method::POST, &path, Some(&append), APPEND_TIMEOUT).await?;
        Ok(reply.offset)
    }
}
