//! One connection for each request.
//!
//! A pooled connection that the other side closes leaves it open whether a
//! request was taken. A fresh one does not: until [`FreshConnection::send`] is called,
//! no byte of the request has left.

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

/// The longest answer that [`call`] reads, in bytes.
const MAX_ANSWER_LEN: usize = 32 * 1024 * 1024;

/// Why a call gave no answer.
#[derive(Debug, Display)]
pub enum CallError {
    /// no connection to {address}: {why}
    Connect {
        /// Where to.
        address: String,
        /// What the machine said.
        why: String,
    },
    /// the connection to {address} broke: {why}
    Broken {
        /// Where to.
        address: String,
        /// What broke it.
        why: String,
    },
    /// no answer from {address} within {after:?}
    TimedOut {
        /// Where to.
        address: String,
        /// How long it was waited for.
        after: Duration,
    },
    /// {address} answered {status}: {text}
    Refused {
        /// Where to.
        address: String,
        /// The status.
        status: StatusCode,
        /// The body, cut short.
        text: String,
    },
    /// the answer of {address} makes no sense: {why}
    Unreadable {
        /// Where to.
        address: String,
        /// What the reader said.
        why: String,
    },
}

impl std::error::Error for CallError {}

/// A connection that no request has been sent on.
#[derive(Debug)]
pub struct FreshConnection {
    address: String,
    sender: SendRequest<Body>,
    driver: ConnectionTask,
}

/// Ends the connection's task when the last user of it is gone.
#[derive(Debug)]
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connects to `address`, an `ip:port`.
///
/// # Errors
///
/// [`CallError::Connect`] or [`CallError::TimedOut`]; no byte left in either case.
pub async fn connect(address: &str, within: Duration) -> Result<FreshConnection, CallError> {
    let failed = |why: String| CallError::Connect { address: address.to_owned(), why };
    let connecting = timeout(within, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_| CallError::TimedOut { address: address.to_owned(), after: within })?
        .map_err(|err| failed(err.to_string()))?;
    stream.set_nodelay(true).map_err(|err| failed(err.to_string()))?;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|err| failed(err.to_string()))?;
    let driver = tokio::spawn(async move {
        // What breaks a connection is seen by whoever waits on it.
        let _ = connection.await;
    });
    Ok(FreshConnection { address: address.to_owned(), sender, driver: ConnectionTask(driver) })
}

impl FreshConnection {
    /// Sends the request; from here on the other side may have it.
    ///
    /// The response's body lives as long as the [`ConnectionTask`] that comes with it.
    ///
    /// # Errors
    ///
    /// [`CallError::Broken`] or [`CallError::TimedOut`]: it may have run.
    pub async fn send(
        mut self,
        req: Request<Body>,
        within: Duration,
    ) -> Result<(Response<Incoming>, ConnectionTask), CallError> {
        match timeout(within, self.sender.send_request(req)).await {
            Err(_) => Err(CallError::TimedOut { address: self.address, after: within }),
            Ok(Err(err)) => Err(CallError::Broken { address: self.address, why: err.to_string() }),
            Ok(Ok(res)) => Ok((res, self.driver)),
        }
    }
}

/// A request for `path` at `address`, with a JSON body if there is one.
///
/// # Panics
///
/// If `path` is not a path.
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
    req.body(body::full(bytes)).expect("the path is one")
}

/// Calls and reads a JSON answer, all `within` the time given.
///
/// # Errors
///
/// [`CallError`]; only [`CallError::Connect`] means that nothing was sent.
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

/// Calls without a body; the answer is text for people.
///
/// # Errors
///
/// As [`call`], but for [`CallError::Unreadable`].
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

/// Calls without a body and reads a JSON answer.
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
    let limited = http_body_util::Limited::new(res.into_body(), MAX_ANSWER_LEN).collect().await;
    let bytes = limited
        .map_err(|err| CallError::Broken { address: address.to_owned(), why: err.to_string() })?;
    let bytes = bytes.to_bytes();
    if status.is_success() {
        return Ok(bytes);
    }
    let text: String = String::from_utf8_lossy(&bytes).chars().take(MAX_QUOTED_LEN).collect();
    Err(CallError::Refused { address: address.to_owned(), status, text })
}

/// How much of an error's body is quoted.
const MAX_QUOTED_LEN: usize = 400;
