//! A caller.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use workshold_http::body::full;
use workshold_http::client;
use workshold_http::client::Driver;

const WITHIN: Duration = Duration::from_secs(10);

/// A question without a body; `None` if there is no answer.
pub async fn get(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let address = address.to_string();
    let connected = client::connect(&address, WITHIN).await.ok()?;
    let req = client::request::<()>(&address, Method::GET, path, None);
    let (res, _driver) = connected.send(req, WITHIN).await.ok()?;
    let status = res.status().as_u16();
    Some((status, res.into_body().collect().await.ok()?.to_bytes()))
}

/// A request as consumers make them.
pub fn request(id: &str, path: &str, key: &str) -> Request<workshold_http::Body> {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "lot.example")
        .header("x-request-id", id)
        .header("x-deadline-milliseconds", "6000")
        .header("x-model", "m1")
        .header("x-token-counts", "100,150")
        .header("api-key", key)
        .body(full("the body"))
        .unwrap()
}

/// Sends a request and reads the whole answer; an error if it is cut.
pub async fn send(
    address: SocketAddr,
    req: Request<workshold_http::Body>,
) -> Result<(Response<()>, String), String> {
    let (res, _driver) = open(address, req).await;
    let (parts, body) = res.into_parts();
    let bytes = body.collect().await.map_err(|err| err.to_string())?.to_bytes();
    Ok((Response::from_parts(parts, ()), String::from_utf8(bytes.to_vec()).unwrap()))
}

/// Sends a request; the answer's body is still to come.
pub async fn open(
    address: SocketAddr,
    req: Request<workshold_http::Body>,
) -> (Response<Incoming>, Driver) {
    let connected = client::connect(&address.to_string(), WITHIN).await.unwrap();
    connected.send(req, WITHIN).await.unwrap()
}

/// The numbers of the events in an answer.
pub fn event_ids(text: &str) -> Vec<u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}
