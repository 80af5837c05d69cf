//! One caller: picks an entry node, streams the answer, resumes it if needed, and checks it.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request as HttpRequest;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::time::Instant;
use workshold_http::Body;
use workshold_http::client;
use workshold_protocol::engine::GenerateRequest;
use workshold_protocol::engine::TokenEvent;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::answer;
use crate::load::Load;
use crate::load::Request;

/// Result of one request.
#[derive(Debug, Clone, Default)]
pub struct CallerEnd {
    /// Whether the answer was complete and as expected.
    pub is_right: bool,
    /// The problem that was answered instead, if any.
    pub problem: Option<Problem>,
    /// Time to the first token; `None` if there was none.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Number of times that the caller tried to resume the stream.
    pub resumed: u32,
}

/// Addresses of entry nodes, refreshed from the nodes when their TTL expires.
#[derive(Debug)]
pub struct EntryList {
    inner: Mutex<AddressCache>,
}

#[derive(Debug)]
struct AddressCache {
    addresses: Vec<String>,
    expires_at: Option<Instant>,
    next_index: usize,
}

#[derive(Debug, Deserialize)]
struct EntriesReply {
    entries: Vec<EntryRow>,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct EntryRow {
    address: String,
}

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without data in a stream after which the caller tries another node.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: u32 = 8;
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);

impl EntryList {
    /// Creates a list of configured addresses, to be refreshed on first use.
    pub fn new(addresses: Vec<String>) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(AddressCache { addresses, expires_at: None, next_index: 0 }),
        })
    }

    /// Returns the next address in rotation; refreshes the list if its TTL has expired.
    async fn next(&self) -> String {
        let (is_expired, known) = {
            let inner = self.inner.lock();
            (
                inner.expires_at.is_none_or(|expires_at| Instant::now() >= expires_at),
                inner.addresses.clone(),
            )
        };
        if is_expired {
            self.refresh(&known).await;
        }
        let mut inner = self.inner.lock();
        inner.next_index += 1;
        let next_index = inner.next_index % inner.addresses.len();
        inner.addresses[next_index].clone()
    }

    async fn refresh(&self, known: &[String]) {
        for address in known {
            let reply = client::get::<EntriesReply>(address, "/v1/entries", REQUEST_TIMEOUT).await;
            if let Ok(reply) = reply
                && !reply.entries.is_empty()
            {
                let mut inner = self.inner.lock();
                inner.addresses = reply.entries.into_iter().map(|row| row.address).collect();
                inner.expires_at = Some(Instant::now() + Duration::from_millis(reply.ttl_ms));
                return;
            }
        }
    }
}

/// State of one caller that follows a stream across nodes.
#[derive(Debug)]
struct Follower {
    started: Instant,
    last: Option<Instant>,
    id: Option<String>,
    tokens: Vec<String>,
    is_complete: bool,
    end: CallerEnd,
}

/// How an attempt at one node ended.
enum AttemptEnd {
    Finished,
    Broken,
}

/// Sends one request and follows it to its end, trying up to [`ATTEMPTS_MAX`] nodes.
pub async fn call(load: Arc<Load>, entries: Arc<EntryList>, request: Request) -> CallerEnd {
    let mut follower = Follower {
        started: Instant::now(),
        last: None,
        id: None,
        tokens: Vec::new(),
        is_complete: false,
        end: CallerEnd::default(),
    };
    for _ in 0..ATTEMPTS_MAX {
        let address = entries.next().await;
        if let AttemptEnd::Finished = follower.attempt(&load, &address, &request).await {
            break;
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    follower.finish(&request)
}

impl Follower {
    async fn attempt(&mut self, load: &Load, address: &str, request: &Request) -> AttemptEnd {
        let req = match &self.id {
            None => first_request(load, address, request),
            Some(id) => {
                self.end.resumed += 1;
                let path = format!("/v1/requests/{id}?from={}", self.tokens.len());
                client::request::<()>(address, Method::GET, &path, None)
            }
        };
        let req = with_team(req, load);
        let Ok(connected) = client::connect(address, REQUEST_TIMEOUT).await else {
            return AttemptEnd::Broken;
        };
        let answer_timeout = load.deadline.to_duration() + REQUEST_TIMEOUT;
        let Ok((res, _driver)) = connected.send(req, answer_timeout).await else {
            return AttemptEnd::Broken;
        };
        if res.status() != StatusCode::OK {
            return self.on_refusal(res.into_body()).await;
        }
        let id = res.headers().get("workshold-request-id").and_then(|id| id.to_str().ok());
        self.id = id.map(str::to_owned).or(self.id.take());
        self.read(res.into_body()).await
    }

    async fn on_refusal(&mut self, body: hyper::body::Incoming) -> AttemptEnd {
        let bytes = body.collect().await.map(http_body_util::Collected::to_bytes);
        let problem = bytes.ok().and_then(|bytes| serde_json::from_slice(&bytes).ok());
        let Some(problem): Option<Problem> = problem else { return AttemptEnd::Broken };
        if matches!(problem.code, ProblemCode::Leaving | ProblemCode::NotReady) {
            return AttemptEnd::Broken;
        }
        self.end.problem = Some(problem);
        AttemptEnd::Finished
    }

    async fn read(&mut self, mut body: hyper::body::Incoming) -> AttemptEnd {
        let mut buf = BytesMut::new();
        loop {
            let Ok(Some(Ok(frame))) = tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.frame()).await
            else {
                return AttemptEnd::Broken;
            };
            let Ok(data) = frame.into_data() else { continue };
            buf.extend_from_slice(&data);
            while let Some(event) = take_event(&mut buf) {
                if self.on_event(&event) {
                    return AttemptEnd::Finished;
                }
            }
        }
    }

    /// Handles one server-sent event; returns whether the stream has ended.
    fn on_event(&mut self, event: &str) -> bool {
        let mut data = None;
        let mut is_error = false;
        for line in event.lines() {
            if let Some(id) = line.strip_prefix(": request-id ") {
                self.id = Some(id.to_owned());
            } else if line == "event: error" {
                is_error = true;
            } else if let Some(text) = line.strip_prefix("data: ") {
                data = Some(text);
            }
        }
        match data {
            None => false,
            Some("[DONE]") => {
                self.is_complete = true;
                true
            }
            Some(text) if is_error => {
                self.end.problem = serde_json::from_str(text).ok();
                true
            }
            Some(text) => {
                self.on_chunk(text);
                false
            }
        }
    }

    fn on_chunk(&mut self, text: &str) {
        let Ok(chunk) = serde_json::from_str::<serde_json::Value>(text) else { return };
        let choice = &chunk["choices"][0];
        if !choice["finish_reason"].is_null() {
            return;
        }
        let now = Instant::now();
        match self.last {
            None => self.end.first_token = Some(now - self.started),
            Some(last) => self.end.gaps.push(now - last),
        }
        self.last = Some(now);
        self.tokens.push(choice["text"].as_str().unwrap_or_default().to_owned());
    }

    fn finish(mut self, request: &Request) -> CallerEnd {
        let is_own = self.tokens.concat() == answer::whole(&request.prompt, request.tokens);
        self.end.is_right = self.is_complete && is_own;
        self.end
    }
}

fn take_event(buf: &mut BytesMut) -> Option<String> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buf.split_to(end + 2);
    Some(String::from_utf8_lossy(&event).into_owned())
}

fn first_request(load: &Load, address: &str, request: &Request) -> HttpRequest<Body> {
    let value = serde_json::json!({
        "model": load.model,
        "prompt": request.prompt,
        "max_tokens": request.tokens,
        "stream": true,
    });
    let mut req = client::request(address, Method::POST, "/v1/completions", Some(&value));
    req.headers_mut().insert("workshold-deadline-ms", HeaderValue::from(load.deadline.0));
    req
}

fn with_team(mut req: HttpRequest<Body>, load: &Load) -> HttpRequest<Body> {
    let team = load.team.as_ref().and_then(|team| HeaderValue::from_str(team).ok());
    if let Some(team) = team {
        req.headers_mut().insert("workshold-team", team);
    }
    req
}

/// Sends a request directly to an engine, as a baseline for the latency that an entry node adds.
pub async fn call_engine(address: &str, mut generate: GenerateRequest) -> CallerEnd {
    generate.stream = uuid::Uuid::new_v4().to_string();
    let started = Instant::now();
    let mut end = CallerEnd::default();
    let Ok(connected) = client::connect(address, REQUEST_TIMEOUT).await else { return end };
    let req = client::request(address, Method::POST, "/engine/generate", Some(&generate));
    let Ok((res, _driver)) = connected.send(req, REQUEST_TIMEOUT).await else { return end };
    let mut body = res.into_body();
    let mut buf = BytesMut::new();
    let mut last = None;
    while let Some(Ok(frame)) = body.frame().await {
        buf.extend_from_slice(frame.data_ref().map(|data| &data[..]).unwrap_or_default());
        while let Some(at) = buf.iter().position(|byte| *byte == b'\n') {
            let line = buf.split_to(at + 1);
            let now = Instant::now();
            match serde_json::from_slice(&line) {
                Ok(TokenEvent::Token { .. }) => {
                    match last {
                        None => end.first_token = Some(now - started),
                        Some(last) => end.gaps.push(now - last),
                    }
                    last = Some(now);
                }
                Ok(TokenEvent::Done { .. }) => end.is_right = true,
                _ => {}
            }
        }
    }
    end
}
