//! Bodies of requests and responses.

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

/// The body of every message that is sent.
pub type Body = BoxBody<Bytes, Infallible>;

/// A body that is there as a whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// A body that comes piece by piece.
pub fn stream(pieces: impl Stream<Item = Bytes> + Send + Sync + 'static) -> Body {
    BodyExt::boxed(StreamBody::new(pieces.map(|piece| Ok(Frame::data(piece)))))
}

/// A response of `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("responses have only text keys");
    with_content_type(status, "application/json", text)
}

/// A response of `bytes` with their content type.
///
/// # Panics
///
/// If `content_type` is not a header's value.
pub fn with_content_type(
    status: StatusCode,
    content_type: &str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(full(bytes))
        .expect("the content type is a header's value")
}

/// Why a body was not read.
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

/// Reads a whole body, up to `limit` bytes and no longer than `within`.
///
/// # Errors
///
/// [`BodyError`] says which bound it broke, or that it broke off.
pub async fn read(body: Incoming, limit: usize, within: Duration) -> Result<Bytes, BodyError> {
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout(within, collect).await {
        Err(_) => Err(BodyError::TooSlow(within)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}
