//! Converts problems and stored responses to HTTP responses.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use workshold_http::Body;
use workshold_http::body;
use workshold_protocol::peer::StoredResponse;
use workshold_protocol::problem::PROBLEM_JSON;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::retry_after_secs;

/// Converts a problem to an `application/problem+json` response, with a `Retry-After`
/// header if the problem has a time for it.
pub fn response(problem: &Problem) -> Response<Body> {
    let text = serde_json::to_vec(problem).expect("a problem serializes to JSON");
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = body::with_content_type(status, PROBLEM_JSON, text);
    if let Some(after) = problem.retry_after_ms {
        res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(retry_after_secs(after)));
    }
    res
}

/// Converts a stored response to an HTTP response. A status that is not valid becomes 502.
pub fn stored_response(answer: &StoredResponse) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    body::with_content_type(status, &answer.content_type, answer.body.clone())
}
