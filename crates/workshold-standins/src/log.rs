//! A stand-in for the log service: append-only, with offsets, limited in rate and retention.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::sync::Notify;
use workshold_http::Body;
use workshold_http::body;
use workshold_protocol::Millis;
use workshold_protocol::ids::Offset;
use workshold_protocol::log_api::AppendReply;
use workshold_protocol::log_api::AppendRequest;
use workshold_protocol::log_api::ReadRecord;
use workshold_protocol::log_api::ReadReply;

/// Maximum size of an append request, in bytes.
const RECORD_LEN_MAX: usize = 8 * 1024 * 1024;
/// Maximum number of records in one answer.
const RECORDS_PER_READ_MAX: usize = 512;
/// Maximum time that a read waits for new records, and timeout for reading a request body.
const WAIT_MAX: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Inner {
    first: u64,
    records: VecDeque<String>,
    retain: usize,
    is_down: bool,
    delay: Millis,
    lose_replies: u32,
    appends: u64,
    append_tokens: f64,
    refilled_at: Instant,
}

/// The log of one deployment. It has a single stream, which is served under every path.
#[derive(Debug)]
pub struct LogService {
    inner: Mutex<Inner>,
    appended: Notify,
    appends_per_s: f64,
}

impl LogService {
    /// Creates an empty log that accepts `appends_per_s` appends per second.
    pub fn new(appends_per_s: u32) -> Arc<Self> {
        let inner = Inner {
            first: 0,
            records: VecDeque::new(),
            retain: usize::MAX,
            is_down: false,
            delay: Millis::ZERO,
            lose_replies: 0,
            appends: 0,
            append_tokens: f64::from(appends_per_s),
            refilled_at: Instant::now(),
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            appended: Notify::new(),
            appends_per_s: f64::from(appends_per_s),
        })
    }

    /// Makes the log stop answering, or answer again; waiting reads end at once.
    pub fn set_down(&self, is_down: bool) {
        self.inner.lock().is_down = is_down;
        self.appended.notify_waiters();
    }

    /// Delays each answer by `delay`.
    pub fn set_delay(&self, delay: Millis) {
        self.inner.lock().delay = delay;
    }

    /// Drops the replies of the next `count` appends, which still take effect.
    pub fn lose_replies(&self, count: u32) {
        self.inner.lock().lose_replies = count;
    }

    /// Retains only the last `count` records from now on.
    pub fn retain(&self, count: usize) {
        let mut inner = self.inner.lock();
        inner.retain = count;
        inner.expire();
    }

    /// Number of appends accepted so far.
    pub fn appends(&self) -> u64 {
        self.inner.lock().appends
    }

    /// Returns all records that are still retained.
    pub fn records(&self) -> Vec<ReadRecord> {
        let inner = self.inner.lock();
        inner.read(inner.first, usize::MAX)
    }

    /// Handles a request; `None` leaves it unanswered.
    pub async fn handle(&self, req: Request<Incoming>) -> Option<Response<Body>> {
        let (is_down, delay) = {
            let inner = self.inner.lock();
            (inner.is_down, inner.delay)
        };
        if is_down {
            return None;
        }
        tokio::time::sleep(delay.to_duration()).await;
        match *req.method() {
            Method::POST => self.append(req).await,
            Method::GET => self.read(req.uri().query().unwrap_or_default()).await,
            _ => Some(body::json(StatusCode::METHOD_NOT_ALLOWED, &"POST or GET")),
        }
    }

    async fn append(&self, req: Request<Incoming>) -> Option<Response<Body>> {
        let bytes = body::read(req.into_body(), RECORD_LEN_MAX, WAIT_MAX).await.ok()?;
        let Ok(append) = serde_json::from_slice::<AppendRequest>(&bytes) else {
            return Some(body::json(StatusCode::BAD_REQUEST, &"not an append"));
        };
        let mut inner = self.inner.lock();
        if inner.is_down {
            return None;
        }
        if !inner.take_append_token(self.appends_per_s) {
            return Some(body::json(StatusCode::TOO_MANY_REQUESTS, &"too many appends"));
        }
        let offset = Offset(inner.end());
        inner.records.push_back(append.data);
        inner.appends += 1;
        inner.expire();
        let is_lost = inner.lose_replies > 0;
        inner.lose_replies = inner.lose_replies.saturating_sub(1);
        drop(inner);
        self.appended.notify_waiters();
        (!is_lost).then(|| body::json(StatusCode::OK, &AppendReply { offset }))
    }

    async fn read(&self, query: &str) -> Option<Response<Body>> {
        let from = query_number(query, "from").unwrap_or(0);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0)).min(WAIT_MAX);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            {
                let inner = self.inner.lock();
                if inner.is_down {
                    return None;
                }
                if inner.end() > from || tokio::time::Instant::now() >= deadline {
                    return Some(body::json(StatusCode::OK, &inner.reply(from)));
                }
            }
            let _ = tokio::time::timeout_at(deadline, appended).await;
        }
    }
}

impl Inner {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self) {
        while self.records.len() > self.retain {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn take_append_token(&mut self, per_s: f64) -> bool {
        let gained = self.refilled_at.elapsed().as_secs_f64() * per_s;
        self.refilled_at = Instant::now();
        self.append_tokens = (self.append_tokens + gained).min(per_s);
        let has_one = self.append_tokens >= 1.0;
        if has_one {
            self.append_tokens -= 1.0;
        }
        has_one
    }

    fn read(&self, from: u64, limit: usize) -> Vec<ReadRecord> {
        let skip = from.saturating_sub(self.first) as usize;
        let start = self.first + skip as u64;
        let records = self.records.iter().skip(skip).take(limit).zip(start..);
        records.map(|(data, at)| ReadRecord { offset: Offset(at), data: data.clone() }).collect()
    }

    fn reply(&self, from: u64) -> ReadReply {
        ReadReply {
            first: Offset(self.first),
            end: Offset(self.end()),
            records: self.read(from.max(self.first), RECORDS_PER_READ_MAX),
        }
    }
}

/// Returns the number under `key` in a query string; `None` if it is missing or not a number.
pub fn query_number(query: &str, key: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(name, value)| (name == key).then(|| value.parse().ok()).flatten())
}
