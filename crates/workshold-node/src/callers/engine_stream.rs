//! A conversation with an engine: what it says, and that it says nothing.
//!
//! Silence proves nothing about an answer under way: it is told apart from an end, and
//! whoever listens decides what to do meanwhile.

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

/// What is heard next.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// The engine has taken the request.
    Opened,
    /// An event of its stream.
    Event(TokenEvent),
    /// Nothing, for as long as an upstream may be silent; it may go on all the same.
    Silence,
    /// It refused before it had started.
    Refused,
    /// The stream broke off or made no sense.
    Broken,
}

type Sent = Result<(Response<Incoming>, ConnectionTask), CallError>;

/// The answer's head, once the request has been sent: nothing leaves before it is heard.
pub type Opening = Pin<Box<dyn Future<Output = Sent> + Send>>;

enum Phase {
    Opening(Opening),
    Open { lines: Lines, _driver: ConnectionTask },
}

/// One request at the head of one group.
pub struct Talk {
    /// The group.
    pub group: Box<ServingGroup>,
    /// The stream's name at the engine.
    pub stream: Uuid,
    /// When its place in the group was taken.
    pub started: Millis,
    phase: Phase,
    silence: Duration,
    heard_at: Instant,
}

impl Talk {
    /// A request that is sent as soon as it is listened to.
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

    /// What is heard next. If this is dropped before it is there, nothing is lost.
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

/// The events of an engine's stream, a line each.
#[derive(Debug)]
pub struct Lines {
    body: Incoming,
    buf: BytesMut,
}

/// A line longer than this is no event, in bytes.
const MAX_LINE_LEN: usize = 1024 * 1024;

impl Lines {
    /// Reads `body`.
    pub fn new(body: Incoming) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// What is heard by `until`. If this is dropped before, nothing is lost.
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
