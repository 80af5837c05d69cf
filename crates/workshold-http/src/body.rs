//! Request and response bodies.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use serde::Serialize;

/// Body of every request and response that this crate sends.
pub type Body = BoxBody<Bytes, Infallible>;

/// Creates a body from bytes that are complete.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// Creates a body that is sent piece by piece as `pieces` yields them.
pub fn stream(pieces: impl Stream<Item = Bytes> + Send + Sync + 'static) -> Body {
    BodyExt::boxed(StreamBody::new(pieces.map(|piece| Ok(Frame::data(piece)))))
}

/// Creates a response with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("responses have only text keys");
    with_content_type(status, "application/json", text)
}

/// Creates a response with `bytes` and their content type.
///
/// # Panics
///
/// If `content_type` is not a valid header value.
pub fn with_content_type(
    status: StatusCode,
    content_type: &str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(full(bytes))
        .expect("the content type is a valid header value")
}

/// Why reading a body failed.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the body is longer than {0} bytes
    TooLarge(usize),
    /// the body did not come within {0:?}
    TooSlow(Duration),
    /// the body broke off
    Broken,
}

impl std::error::Error for BodyError {}

/// Reads a whole body of at most `limit` bytes that arrives completely within the time `within`.
///
/// # Errors
///
/// A [`BodyError`] that says which limit was exceeded, or that the connection failed.
pub async fn read(body: Incoming, limit: usize, within: Duration) -> Result<Bytes, BodyError> {
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout(within, collect).await {
        Err(_) => Err(BodyError::TooSlow(within)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}
