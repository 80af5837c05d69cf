//! `workshold-dev ask`: one HTTP request, its answer printed as it comes.

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

/// What to ask.
#[derive(Debug, Clone)]
pub struct Question {
    /// `ip:port`.
    pub address: String,
    /// The path.
    pub path: String,
    /// Headers, each as `name: value`.
    pub headers: Vec<String>,
    /// The body; with one, the request is a POST.
    pub data: Option<String>,
}

/// Asks, and prints the answer.
///
/// # Errors
///
/// If the question cannot be asked, or no answer comes.
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
