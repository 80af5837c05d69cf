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
pub enum EngineEvent {
    /// The engine accepted the request and its stream begins.
    Accepted,
    /// An event of the stream.
    Stream(TokenEvent),
    /// Nothing arrived within the stall timeout; the stream may still continue.
    Stalled,
    /// The engine refused the request and stated that it had not started it.
    Refused,
    /// The connection broke, or the engine sent something invalid.
    Broken,
}

type ResponseResult = Result<(Response<Incoming>, ConnectionTask), CallError>;

/// Sends the request and resolves to the head of the response. Nothing is sent before
/// it is polled.
pub type PendingResponse = Pin<Box<dyn Future<Output = ResponseResult> + Send>>;

enum Phase {
    PendingResponse(PendingResponse),
    Open { lines: EventLines, _connection_task: ConnectionTask },
}

/// One request to the head of a group.
pub struct EngineStream {
    /// The group that the request was dispatched to.
    pub group: Box<ServingGroup>,
    /// The stream's id at the engine.
    pub id: Uuid,
    /// When the request took its slot in the group, by this node's clock.
    pub started: Millis,
    phase: Phase,
    stall_timeout: Duration,
    last_event_at: Instant,
}

impl EngineStream {
    /// Creates a stream whose request is sent by the first call of `next`.
    pub fn new(
        group: Box<ServingGroup>,
        id: Uuid,
        started: Millis,
        pending_response: PendingResponse,
        stall_timeout: Duration,
    ) -> Self {
        let phase = Phase::PendingResponse(pending_response);
        Self { group, id, started, phase, stall_timeout, last_event_at: Instant::now() }
    }

    /// Waits for the next event. Cancel safe: an event is not lost if the future is dropped.
    pub async fn next(&mut self) -> EngineEvent {
        let deadline = self.last_event_at + self.stall_timeout;
        let received = match &mut self.phase {
            Phase::PendingResponse(pending_response) => {
                match timeout_at(deadline, pending_response).await {
                    Err(_) => EngineEvent::Stalled,
                    Ok(Err(_)) => EngineEvent::Broken,
                    Ok(Ok((res, connection_task))) => self.on_response_head(res, connection_task),
                }
            }
            Phase::Open { lines, .. } => lines.next_before(deadline).await,
        };
        self.last_event_at = Instant::now();
        received
    }

    fn on_response_head(
        &mut self,
        res: Response<Incoming>,
        connection_task: ConnectionTask,
    ) -> EngineEvent {
        if res.status() == StatusCode::OK {
            self.phase = Phase::Open {
                lines: EventLines::new(res.into_body()),
                _connection_task: connection_task,
            };
            return EngineEvent::Accepted;
        }
        let is_refused = res.headers().contains_key(NOT_STARTED_HEADER);
        if is_refused { EngineEvent::Refused } else { EngineEvent::Broken }
    }
}

/// Splits the body of an engine's response into events, one JSON document a line.
#[derive(Debug)]
pub struct EventLines {
    body: Incoming,
    buf: BytesMut,
}

/// The longest accepted line, in bytes. A longer one counts as a broken stream, so that
/// an engine can't fill this node's memory.
const MAX_LINE_LEN: usize = 1024 * 1024;

impl EventLines {
    /// Creates a reader at the start of `body`.
    pub fn new(body: Incoming) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// Waits for the next event until `deadline`. Cancel safe: data that has arrived stays in
    /// the buffer if the future is dropped.
    pub async fn next_before(&mut self, deadline: Instant) -> EngineEvent {
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line)
                    .map_or(EngineEvent::Broken, EngineEvent::Stream);
            }
            if self.buf.len() > MAX_LINE_LEN {
                return EngineEvent::Broken;
            }
            match timeout_at(deadline, self.body.frame()).await {
                Err(_) => return EngineEvent::Stalled,
                Ok(None | Some(Err(_))) => return EngineEvent::Broken,
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
