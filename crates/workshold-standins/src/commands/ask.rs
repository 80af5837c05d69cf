//! `workshold-dev ask`: sends one HTTP request and prints the answer as it arrives.

use std::io::Write as _;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use workshold_http::body;
use workshold_http::client;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The request to send.
#[derive(Debug, Clone)]
pub struct Question {
    /// Address of the server, as `ip:port`.
    pub address: String,
    /// Path and query.
    pub path: String,
    /// Headers, each as `name: value`.
    pub headers: Vec<String>,
    /// Body; the request is a POST if there is one, and a GET otherwise.
    pub data: Option<String>,
}

/// Sends the request, and prints the body of the answer.
///
/// # Errors
///
/// If the request is malformed or cannot be sent, or the answer cannot be read.
pub async fn run(question: Question) -> Result<(), String> {
    let req = request(&question)?;
    let connected = client::connect(&question.address, REQUEST_TIMEOUT).await;
    let connected = connected.map_err(|err| err.to_string())?;
    let sent = connected.send(req, REQUEST_TIMEOUT).await;
    let (res, _driver) = sent.map_err(|err| err.to_string())?;
    let mut body = res.into_body();
    let mut out = std::io::stdout();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| err.to_string())?;
        let data = frame.data_ref().map(|data| &data[..]).unwrap_or_default();
        out.write_all(data).and_then(|()| out.flush()).map_err(|err| err.to_string())?;
    }
    writeln!(out).map_err(|err| err.to_string())
}

fn request(question: &Question) -> Result<Request<body::Body>, String> {
    let method = if question.data.is_some() { Method::POST } else { Method::GET };
    let bytes = question.data.clone().unwrap_or_default();
    let mut req = Request::builder()
        .method(method)
        .uri(&question.path)
        .header(HOST, &question.address)
        .body(body::full(bytes))
        .map_err(|err| err.to_string())?;
    for header in &question.headers {
        let (name, value) = header.split_once(':').ok_or("a header is `name: value`")?;
        let name = HeaderName::try_from(name.trim()).map_err(|err| err.to_string())?;
        let value = HeaderValue::try_from(value.trim()).map_err(|err| err.to_string())?;
        req.headers_mut().insert(name, value);
    }
    Ok(req)
}
