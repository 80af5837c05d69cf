//! One request to an engine and the stream of events that answers it.
//!
//! A stall does not prove that the stream has failed, so it is reported as an event of
//! its own; the caller decides whether to keep waiting.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use uuid::Uuid;
use workshold_http::client::CallError;
use workshold_http::client::ConnectionTask;
use workshold_protocol::Millis;
use workshold_protocol::engine::NOT_STARTED_HEADER;
use workshold_protocol::engine::TokenEvent;

use crate::serving::ServingGroup;

/// The next thing that happened on an engine's stream.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// The engine accepted the request and its stream begins.
    Opened,
    /// An event of the stream.
    Event(TokenEvent),
    /// Nothing arrived within the stall timeout; the stream may still continue.
    Silence,
    /// The engine refused the request and stated that it had not started it.
    Refused,
    /// The connection broke, or the engine sent something invalid.
    Broken,
}

type Sent = Result<(Response<Incoming>, ConnectionTask), CallError>;

/// Sends the request and resolves to the head of the response. Nothing is sent before
/// it is polled.
pub type Opening = Pin<Box<dyn Future<Output = Sent> + Send>>;

enum Phase {
    Opening(Opening),
    Open { lines: Lines, _driver: ConnectionTask },
}

/// One request to the head of a group.
pub struct Talk {
    /// The group that the request was dispatched to.
    pub group: Box<ServingGroup>,
    /// The stream's id at the engine.
    pub stream: Uuid,
    /// When the request took its slot in the group, by this node's clock.
    pub started: Millis,
    phase: Phase,
    silence: Duration,
    heard_at: Instant,
}

impl Talk {
    /// Creates a stream whose request is sent by the first call of `next`.
    pub fn new(
        group: Box<ServingGroup>,
        stream: Uuid,
        started: Millis,
        opening: Opening,
        silence: Duration,
    ) -> Self {
        let phase = Phase::Opening(opening);
        Self { group, stream, started, phase, silence, heard_at: Instant::now() }
    }

    /// Waits for the next event. Cancel safe: an event is not lost if the future is dropped.
    pub async fn next(&mut self) -> Heard {
        let until = self.heard_at + self.silence;
        let heard = match &mut self.phase {
            Phase::Opening(opening) => match timeout_at(until, opening).await {
                Err(_) => Heard::Silence,
                Ok(Err(_)) => Heard::Broken,
                Ok(Ok((res, driver))) => self.open(res, driver),
            },
            Phase::Open { lines, .. } => lines.next_until(until).await,
        };
        self.heard_at = Instant::now();
        heard
    }

    fn open(&mut self, res: Response<Incoming>, driver: ConnectionTask) -> Heard {
        if res.status() == StatusCode::OK {
            self.phase = Phase::Open { lines: Lines::new(res.into_body()), _driver: driver };
            return Heard::Opened;
        }
        let is_refused = res.headers().contains_key(NOT_STARTED_HEADER);
        if is_refused { Heard::Refused } else { Heard::Broken }
    }
}

/// Splits the body of an engine's response into events, one JSON document a line.
#[derive(Debug)]
pub struct Lines {
    body: Incoming,
    buf: BytesMut,
}

/// The longest accepted line, in bytes. A longer one counts as a broken stream, so that
/// an engine can't fill this node's memory.
const MAX_LINE_LEN: usize = 1024 * 1024;

impl Lines {
    /// Creates a reader at the start of `body`.
    pub fn new(body: Incoming) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// Waits for the next event until `until`. Cancel safe: data that has arrived stays in
    /// the buffer if the future is dropped.
    pub async fn next_until(&mut self, until: Instant) -> Heard {
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line).map_or(Heard::Broken, Heard::Event);
            }
            if self.buf.len() > MAX_LINE_LEN {
                return Heard::Broken;
            }
            match timeout_at(until, self.body.frame()).await {
                Err(_) => return Heard::Silence,
                Ok(None | Some(Err(_))) => return Heard::Broken,
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let line = self.buf.split_to(end + 1).freeze();
        Some(line.slice(..end))
    }
}
