//! The body of an instance's response, of which a node holds a bounded part.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_http::client::ConnectionTask;

use crate::metrics::Metric;
use crate::node::HeldResponse;
use crate::node::MemoryExceeded;
use crate::node::Node;
use crate::proxy::attempt::Failure;
use crate::routing_table::Target;

/// Longest response body that is buffered until it is complete, in bytes.
const BUFFERED_LEN_MAX: usize = 4 * 1024 * 1024;
/// Logged reason of an attempt that ends because of [`MemoryExceeded`].
const MEMORY_EXCEEDED: &str = "the node holds too much of all responses, and most of this one";

/// The body of a response, and the connection that it comes from.
pub struct UpstreamBody {
    node: Arc<Node>,
    target: Arc<Target>,
    body: Incoming,
    connection: ConnectionTask,
    held: HeldResponse,
}

impl UpstreamBody {
    /// The body of a response of which nothing was read.
    pub fn new(
        node: &Arc<Node>,
        target: &Arc<Target>,
        body: Incoming,
        connection: ConnectionTask,
    ) -> Self {
        let held = node.responses.begin(node.settings().response_bytes_max());
        let (node, target) = (Arc::clone(node), Arc::clone(target));
        Self { node, target, body, connection, held }
    }

    /// The next bytes; `None` at the end. Cancel safe.
    ///
    /// # Errors
    ///
    /// `broken` as the reason if the connection broke, else what is wrong with the bytes.
    pub async fn next(&mut self, broken: &'static str) -> Option<Result<Bytes, Failure>> {
        let frame = tokio::select! {
            biased;
            () = self.held.ended() => return Some(Err(memory_exceeded(MemoryExceeded))),
            frame = self.body.frame() => frame?,
        };
        match frame {
            Ok(frame) => {
                // Trailers are not forwarded.
                let data = frame.into_data().unwrap_or_default();
                self.connection.on_body_data(data.len());
                Some(Ok(data))
            }
            Err(err) if self.connection.is_malformed(&err) => {
                Some(Err(self.no_answer((AttemptEnd::Broken, MALFORMED))))
            }
            Err(_) => Some(Err((AttemptEnd::Broken, broken))),
        }
    }

    /// Accounts for `bytes` that are held of this response now.
    ///
    /// # Errors
    ///
    /// If the node holds too much of all responses.
    pub fn hold(&mut self, bytes: usize) -> Result<(), Failure> {
        self.held.set(bytes as u64).map_err(memory_exceeded)
    }

    /// Counts that what was read is no answer.
    pub fn no_answer(&self, failure: Failure) -> Failure {
        no_answer(&self.node, &self.target, failure)
    }

    /// Reads all bytes to the end.
    ///
    /// # Errors
    ///
    /// As [`Self::next`] and [`Self::hold`], or if there are more than an answer has.
    pub async fn read_all(mut self, broken: &'static str) -> Result<Bytes, Failure> {
        let mut buf = Vec::new();
        while let Some(data) = self.next(broken).await {
            buf.extend_from_slice(&data?);
            if buf.len() > BUFFERED_LEN_MAX {
                let failure = (AttemptEnd::Unknown, "the response is longer than the limit");
                return Err(self.no_answer(failure));
            }
            self.hold(buf.capacity())?;
        }
        Ok(buf.into())
    }
}

/// Logged reason of an attempt whose bytes are not HTTP, or hold nothing of a response without end.
pub const MALFORMED: &str = "the instance sent bytes that are no answer";

/// Counts an attempt that ends because of what its instance sent, which shows that it is faulty.
pub fn no_answer(node: &Node, target: &Target, failure: Failure) -> Failure {
    node.metrics.count(Metric::NoAnswers);
    node.outliers.lock().on_malformed(&target.id, node.now());
    failure
}

fn memory_exceeded(_: MemoryExceeded) -> Failure {
    (AttemptEnd::Unknown, MEMORY_EXCEEDED)
}
