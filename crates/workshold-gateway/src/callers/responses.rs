//! HTTP responses and their bodies.

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use workshold_protocol::Millis;

/// The body of a response. An error breaks the caller's connection, so that a truncated response
/// never looks complete.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyCut>;

/// Why the body of a response is truncated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum BodyCut {
    /// the upstream's response broke off
    Broken,
    /// the request's deadline passed
    DeadlinePassed,
}

impl std::error::Error for BodyCut {}

/// A body whose bytes are all there.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A plain-text response that this node itself gives.
pub fn plain_text(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *res.status_mut() = status;
    res.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    res
}

/// Refuses a request that has not run and will not; the caller may retry `after` that time, which
/// goes into `Retry-After` as seconds with a fraction.
pub fn not_run(text: &'static str, after: Millis) -> Response<ResponseBody> {
    let mut res = plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    let secs = format!("{:.3}", after.as_secs_f64());
    let value = HeaderValue::from_str(&secs).expect("digits are a valid header value");
    res.headers_mut().insert(header::RETRY_AFTER, value);
    res
}

/// Headers that belong to one connection (hop-by-hop), besides [`KEEP_ALIVE`].
const HOP_BY_HOP: [HeaderName; 8] = [
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

/// Takes from an upstream's head what belongs to its connection: the HTTP version and the hop-by-hop
/// headers.
pub fn remove_connection_properties(head: &mut Parts) {
    head.version = Version::HTTP_11;
    remove_hop_by_hop(&mut head.headers);
}

/// Removes hop-by-hop headers: the usual ones and those that `Connection` names. `Content-Length`
/// goes too, because it is set again from the body that is sent.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP).chain([&KEEP_ALIVE]) {
        headers.remove(name);
    }
}
