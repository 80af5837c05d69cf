//! An HTTP/1 client that opens a new connection for each request.
//!
//! If the server closes a pooled connection while a request is sent on it, the client can't tell
//! whether the server received the request. With a new connection it can: until
//! [`FreshConnection::send`] is called, no byte of the request has been sent.

use std::error::Error as _;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::body;
use crate::body::Body;
use crate::read_overhead::ReadOverhead;
use crate::server_stream::ServerStream;
use crate::write_progress::ObservedStream;
use crate::write_progress::TrackedBody;
use crate::write_progress::WriteProgress;

/// Maximum length of a response body that [`call`] and [`call_raw`] read, in bytes.
const MAX_RESPONSE_LEN: usize = 32 * 1024 * 1024;

/// Why a call returned no result.
#[derive(Debug, Display)]
pub enum CallError {
    /// cannot connect to {address}: {why}
    Connect {
        /// Address of the server.
        address: String,
        /// Error of the operating system or of the connection's setup.
        why: String,
    },
    /// the connection to {address} failed: {why}
    Broken {
        /// Address of the server.
        address: String,
        /// Error of the connection.
        why: String,
    },
    /// {address} sent bytes that are no answer: {why}
    Malformed {
        /// Address of the server.
        address: String,
        /// What is wrong with them.
        why: String,
    },
    /// no answer from {address} within {after:?}
    TimedOut {
        /// Address of the server.
        address: String,
        /// The time limit that passed.
        after: Duration,
    },
    /// {address} answered {status}: {text}
    Refused {
        /// Address of the server.
        address: String,
        /// A status other than 2xx.
        status: StatusCode,
        /// The start of the response body.
        text: String,
    },
    /// cannot parse the answer of {address}: {why}
    Unreadable {
        /// Address of the server.
        address: String,
        /// Error of the JSON parser.
        why: String,
    },
}

impl std::error::Error for CallError {}

/// A new connection on which no request has been sent yet.
#[derive(Debug)]
pub struct FreshConnection {
    address: String,
    sender: SendRequest<Body>,
    driver: ConnectionTask,
    progress: Arc<WriteProgress>,
}

/// The task that drives a connection. Dropping this aborts the task and closes the connection.
#[derive(Debug)]
pub struct ConnectionTask {
    task: JoinHandle<()>,
    overhead: Arc<ReadOverhead>,
}

impl ConnectionTask {
    /// Records that `len` bytes of the response's body were received. Unless they are recorded, a
    /// connection that [`start`] began takes the body for bytes that are no answer.
    pub fn on_body_data(&self, len: usize) {
        self.overhead.on_body_data(len);
    }

    /// Whether a response's body failed because of what the server sent, and not because the
    /// connection broke.
    pub fn is_malformed(&self, err: &hyper::Error) -> bool {
        let source = err.source().and_then(|source| source.downcast_ref::<io::Error>());
        let is_invalid = source.is_some_and(|source| {
            matches!(source.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        });
        is_invalid || self.overhead.is_exceeded()
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to `address`, an `ip:port`.
///
/// # Errors
///
/// [`CallError::Connect`] or [`CallError::TimedOut`]; in both cases nothing was sent.
pub async fn connect(address: &str, within: Duration) -> Result<FreshConnection, CallError> {
    let failed = |why: String| CallError::Connect { address: address.to_owned(), why };
    let stream = timeout(within, TcpStream::connect(address))
        .await
        .map_err(|_| CallError::TimedOut { address: address.to_owned(), after: within })?
        .map_err(|err| failed(err.to_string()))?;
    stream.set_nodelay(true).map_err(|err| failed(err.to_string()))?;
    handshake(address, stream.into(), &http1::Builder::new(), ReadOverhead::unlimited()).await
}

/// Starts HTTP on a connection to `address` that is already open. What was received but not read is
/// bounded by `max_buf_len` bytes, which bounds the response's head too. A limit below 8192 has no
/// effect, since `hyper` needs a buffer of that size. Bytes that belong to no body, such as interim
/// answers and the sizes of chunks, are bounded too.
///
/// # Errors
///
/// [`CallError::Connect`]; nothing was sent.
pub async fn start(
    address: &str,
    stream: impl Into<ServerStream>,
    max_buf_len: usize,
) -> Result<FreshConnection, CallError> {
    let mut builder = http1::Builder::new();
    let max_buf_len = max_buf_len.max(MIN_BUF_LEN);
    builder.max_buf_size(max_buf_len);
    let overhead = ReadOverhead::limited(UNREAD_BUFFERS * max_buf_len as u64);
    handshake(address, stream.into(), &builder, overhead).await
}

/// Minimum buffer size that `hyper` accepts, in bytes; it panics at less.
const MIN_BUF_LEN: usize = 8192;
/// Buffers that may be full of a response before any of its body is read: one of them holds the
/// head, and the others what `hyper` has read ahead.
const UNREAD_BUFFERS: u64 = 4;

/// Starts HTTP on an open connection.
async fn handshake(
    address: &str,
    stream: ServerStream,
    builder: &http1::Builder,
    overhead: Arc<ReadOverhead>,
) -> Result<FreshConnection, CallError> {
    let failed = |why: String| CallError::Connect { address: address.to_owned(), why };
    let progress = WriteProgress::new();
    let io = ObservedStream::new(stream, Arc::clone(&progress));
    let io = TokioIo::new(io.with_overhead(Arc::clone(&overhead)));
    let result = builder.handshake(io).await;
    let (sender, connection) = result.map_err(|err| failed(err.to_string()))?;
    let task = tokio::spawn(async move {
        // The pending request or the reader of the response body gets the connection's error.
        let _ = connection.await;
    });
    let driver = ConnectionTask { task, overhead };
    Ok(FreshConnection { address: address.to_owned(), sender, driver, progress })
}

impl FreshConnection {
    /// How much of the request the server has taken.
    pub fn progress(&self) -> Arc<WriteProgress> {
        Arc::clone(&self.progress)
    }

    /// Sends the request and waits up to `within` for the head of the response. From this call on
    /// the server may have received the request.
    ///
    /// The response's body can be read only while the returned [`ConnectionTask`] exists.
    ///
    /// # Errors
    ///
    /// [`CallError::Broken`], [`CallError::Malformed`] or [`CallError::TimedOut`]; in all cases the
    /// request may have run.
    pub async fn send(
        mut self,
        req: Request<Body>,
        within: Duration,
    ) -> Result<(Response<Incoming>, ConnectionTask), CallError> {
        let mut req = req.map(|body| TrackedBody::new(body, self.progress).boxed());
        let overhead = Arc::clone(&self.driver.overhead);
        hyper::ext::on_informational(&mut req, move |_| overhead.on_interim_answer());
        match timeout(within, self.sender.send_request(req)).await {
            Err(_) => Err(CallError::TimedOut { address: self.address, after: within }),
            Ok(Err(err)) if err.is_parse() || self.driver.is_malformed(&err) => {
                Err(CallError::Malformed { address: self.address, why: err.to_string() })
            }
            Ok(Err(err)) => Err(CallError::Broken { address: self.address, why: err.to_string() }),
            Ok(Ok(res)) => Ok((res, self.driver)),
        }
    }
}

/// Creates a request for `path` at `address`, with `value` as JSON body if there is one.
///
/// # Panics
///
/// If `path` is not a valid URI path.
pub fn request<T: Serialize>(
    address: &str,
    method: Method,
    path: &str,
    value: Option<&T>,
) -> Request<Body> {
    let bytes = value.map_or_else(Bytes::new, |value| {
        Bytes::from(serde_json::to_vec(value).expect("requests have only text keys"))
    });
    let req = Request::builder().method(method).uri(path).header(HOST, address);
    let req = if value.is_some() { req.header(CONTENT_TYPE, "application/json") } else { req };
    req.body(body::full(bytes)).expect("the path is valid")
}

/// Sends a request and parses the JSON response, all within the time `within`.
///
/// # Errors
///
/// A [`CallError`]; only [`CallError::Connect`] means that nothing was sent.
pub async fn call<I: Serialize, O: DeserializeOwned>(
    address: &str,
    method: Method,
    path: &str,
    value: Option<&I>,
    within: Duration,
) -> Result<O, CallError> {
    let timed_out = || CallError::TimedOut { address: address.to_owned(), after: within };
    let bytes = timeout(within, call_bytes(address, method, path, value, within));
    let bytes = bytes.await.map_err(|_| timed_out())??;
    serde_json::from_slice(&bytes)
        .map_err(|err| CallError::Unreadable { address: address.to_owned(), why: err.to_string() })
}

/// Sends a request without a body and returns the bytes of the response, such as text for people.
///
/// # Errors
///
/// As [`call`], except for [`CallError::Unreadable`].
pub async fn call_raw(
    address: &str,
    method: Method,
    path: &str,
    within: Duration,
) -> Result<Bytes, CallError> {
    let timed_out = || CallError::TimedOut { address: address.to_owned(), after: within };
    let bytes = timeout(within, call_bytes::<()>(address, method, path, None, within));
    bytes.await.map_err(|_| timed_out())?
}

/// Sends a GET request and parses the JSON response.
///
/// # Errors
///
/// As [`call`].
pub async fn get<O: DeserializeOwned>(
    address: &str,
    path: &str,
    within: Duration,
) -> Result<O, CallError> {
    call::<(), O>(address, Method::GET, path, None, within).await
}

/// Sends a request and returns the body of the response, if its status is 2xx. `within` limits
/// the connect and the wait for the response's head separately, and nothing limits the time to
/// read the body: callers set a timeout for the whole.
async fn call_bytes<I: Serialize>(
    address: &str,
    method: Method,
    path: &str,
    value: Option<&I>,
    within: Duration,
) -> Result<Bytes, CallError> {
    let connected = connect(address, within).await?;
    let (res, _driver) = connected.send(request(address, method, path, value), within).await?;
    let status = res.status();
    let limited = http_body_util::Limited::new(res.into_body(), MAX_RESPONSE_LEN).collect().await;
    let bytes = limited
        .map_err(|err| CallError::Broken { address: address.to_owned(), why: err.to_string() })?;
    let bytes = bytes.to_bytes();
    if status.is_success() {
        return Ok(bytes);
    }
    let text: String = String::from_utf8_lossy(&bytes).chars().take(MAX_QUOTED_LEN).collect();
    Err(CallError::Refused { address: address.to_owned(), status, text })
}

/// Maximum length of the body quoted in [`CallError::Refused`], in characters.
const MAX_QUOTED_LEN: usize = 400;
