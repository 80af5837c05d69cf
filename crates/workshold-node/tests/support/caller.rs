//! Callers of a deployment under test.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HOST;
use serde_json::Value;
use uuid::Uuid;
use workshold_http::Body;
use workshold_http::body;
use workshold_http::client;
use workshold_http::client::ConnectionTask;
use workshold_protocol::Millis;
use workshold_standins::load::Load;
use workshold_standins::load::Report;

use super::Deployment;

/// How long a caller waits for a connection, a response or the next bytes of a stream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A response as a caller reads it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub retry_after: Option<String>,
    pub body: Value,
}

/// Sends a request of the team `travel`; `None` if there is no complete response.
pub async fn send_request(
    address: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    bytes: impl Into<bytes::Bytes>,
) -> Option<Answer> {
    let mut req = Request::builder().method(method).uri(path).header(HOST, address);
    for (name, value) in [("workshold-team", "travel")].iter().chain(headers) {
        req = req.header(*name, *value);
    }
    let req = req.body(body::full(bytes)).unwrap();
    let connected = client::connect(address, REQUEST_TIMEOUT).await.ok()?;
    let (res, _connection_task) = connected.send(req, REQUEST_TIMEOUT).await.ok()?;
    let status = res.status();
    let retry_after = res.headers().get("retry-after").map(|v| v.to_str().unwrap().to_owned());
    let bytes = res.into_body().collect().await.ok()?.to_bytes();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::String(text));
    Some(Answer { status, retry_after, body })
}

/// Sends a booking under the idempotency key `key`, so that it runs at most once.
pub async fn book(address: &str, key: &str, booking: &str) -> Option<Answer> {
    let headers = [("idempotency-key", key)];
    send_request(address, Method::POST, "/gate/rebook", &headers, booking.to_owned()).await
}

/// Makes a new idempotency key.
pub fn new_idempotency_key() -> String {
    Uuid::now_v7().to_string()
}

/// A stream that a test reads token by token.
pub struct CompletionStream {
    body: Incoming,
    _connection_task: ConnectionTask,
    buf: Vec<u8>,
    pub id: String,
    pub text: String,
    pub tokens: u32,
    pub is_complete: bool,
}

impl CompletionStream {
    /// Requests a streamed completion of `tokens` tokens.
    pub async fn open(address: &str, prompt: &str, tokens: u32) -> Self {
        let value = serde_json::json!({
            "model": "assistant", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let req = client::request(address, Method::POST, "/v1/completions", Some(&value));
        Self::send(address, req).await.unwrap()
    }

    /// Resumes a stream after the last token that `previous` has read. The error is the problem in
    /// the response.
    pub async fn resume(address: &str, previous: &Self) -> Result<Self, Value> {
        let path = format!("/v1/requests/{}?from={}", previous.id, previous.tokens);
        let req = client::request::<()>(address, Method::GET, &path, None);
        let mut stream = Self::send(address, req).await?;
        stream.text = previous.text.clone();
        stream.tokens = previous.tokens;
        Ok(stream)
    }

    async fn send(address: &str, mut req: Request<Body>) -> Result<Self, Value> {
        req.headers_mut().insert("workshold-team", "travel".parse().unwrap());
        let connected = client::connect(address, REQUEST_TIMEOUT).await.unwrap();
        let (res, driver) = connected.send(req, REQUEST_TIMEOUT).await.unwrap();
        let status = res.status();
        let id = res.headers().get("workshold-request-id").map(|id| id.to_str().unwrap());
        let id = id.unwrap_or_default().to_owned();
        let body = res.into_body();
        if status != StatusCode::OK {
            let bytes = body.collect().await.unwrap().to_bytes();
            return Err(serde_json::from_slice(&bytes).unwrap());
        }
        let (text, tokens) = (String::new(), 0);
        Ok(Self {
            body,
            _connection_task: driver,
            buf: Vec::new(),
            id,
            text,
            tokens,
            is_complete: false,
        })
    }

    /// Reads until the stream has `tokens` tokens in all, ends, breaks, or sends nothing for
    /// 30 seconds.
    pub async fn read(&mut self, tokens: u32) {
        while self.tokens < tokens && !self.is_complete {
            match tokio::time::timeout(REQUEST_TIMEOUT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    self.buf.extend_from_slice(frame.data_ref().unwrap());
                    while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
                        let event: Vec<_> = self.buf.drain(..end + 2).collect();
                        self.on_event(&String::from_utf8(event).unwrap());
                    }
                }
                _ => return,
            }
        }
    }

    /// Reads until the stream ends or breaks.
    pub async fn finish(&mut self) {
        self.read(u32::MAX).await;
    }

    fn on_event(&mut self, event: &str) {
        for line in event.lines() {
            if let Some(id) = line.strip_prefix(": request-id ") {
                self.id = id.to_owned();
            }
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                self.is_complete = true;
            } else if let Ok(chunk) = serde_json::from_str::<Value>(data)
                && chunk["choices"][0]["finish_reason"].is_null()
                && let Some(text) = chunk["choices"][0]["text"].as_str()
            {
                self.text.push_str(text);
                self.tokens += 1;
            }
        }
    }
}

/// A load of `secs` seconds over all entry nodes of a deployment.
pub fn load(deployment: &Deployment, secs: u64) -> Load {
    let layout = &deployment.layout;
    Load {
        entries: (0..layout.entries).map(|i| layout.callers(i)).collect(),
        model: "assistant".to_owned(),
        team: Some("travel".to_owned()),
        rate: 40.0,
        time: Millis::from_secs(secs),
        tokens: (10, 40),
        prefixes: 8,
        deadline: Millis::from_secs(30),
        seed: 7,
    }
}

/// Runs a load in the background.
pub fn start_load(load: Load) -> tokio::task::JoinHandle<Report> {
    tokio::spawn(workshold_standins::load::run(load))
}
