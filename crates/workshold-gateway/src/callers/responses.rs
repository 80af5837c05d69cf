//! Answers and their bodies.

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use workshold_protocol::Millis;

/// The body of an answer; an error breaks the caller's connection, so that what is
/// not whole never looks whole.
pub type ResponseBody = UnsyncBoxBody<Bytes, Cut>;

/// An answer that ends before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cut {
    /// the upstream's answer broke off
    Broken,
    /// its time is up
    TimeUp,
}

impl std::error::Error for Cut {}

/// A body that is there as a whole.
pub fn whole(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// An answer of this node's own.
pub fn own(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut res = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *res.status_mut() = status;
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    res
}

/// The request has not run and will not; the caller may come back `after`.
pub fn not_run(text: &'static str, after: Millis) -> Response<ResponseBody> {
    let mut res = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let secs = format!("{:.3}", after.as_secs_f64());
    let value = HeaderValue::from_str(&secs).expect("digits are a header's value");
    res.headers_mut().insert(header::RETRY_AFTER, value);
    res
}

/// Headers that belong to one connection only.
const OF_A_CONNECTION: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Takes out what belongs to one connection only, by name or by the word of
/// `Connection`. Lengths are set anew from the body that is sent.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&OF_A_CONNECTION).chain([&KEEP_ALIVE]) {
        headers.remove(name);
    }
}
