//! How the bodies of responses end: by which framing and over which network path. Logs and counts
//! what is believed of an end that nothing but the end of the connection marks.

use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderMap;
use workshold_core::hosted::response_end::Completeness;
use workshold_core::hosted::response_end::ProcessEvidence;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::routing_table::Target;

/// What marks the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Its length, which the head states, or that such a response has no body.
    Length,
    /// The last one of its chunks.
    Chunks,
    /// The end of its connection.
    Connection,
}

impl Framing {
    /// The framing of a response's body. One with a transfer coding has chunks only if that is the
    /// last coding.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        if is_chunked(headers) {
            Self::Chunks
        } else if body.is_end_stream() || body.size_hint().exact().is_some() {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// The framing for logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Whether the last transfer coding of a message is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let codings = codings.and_then(|codings| codings.to_str().ok()).unwrap_or_default();
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

/// What is believed of a response that ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// It is the whole response.
    Complete,
    /// Nothing shows that it is the whole response.
    NotProven,
    /// It is not the whole response.
    Broken,
}

impl Belief {
    /// The belief for logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotProven => "not proven",
            Self::Broken => "broken",
        }
    }
}

/// What a belief rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// What the process that sent it has answered since.
    Process(ProcessEvidence),
    /// The body is empty.
    EmptyBody,
    /// The body holds no event.
    NoEvent,
    /// The body ends in the middle of an event.
    PartialEvent,
}

impl Evidence {
    /// The evidence for logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::Process(evidence) => evidence.text(),
            Self::EmptyBody => "empty body",
            Self::NoEvent => "no event",
            Self::PartialEvent => "unfinished event",
        }
    }

    /// What it makes one believe.
    pub fn belief(self) -> Belief {
        let Self::Process(evidence) = self else { return Belief::Broken };
        match evidence.completeness() {
            Completeness::Complete => Belief::Complete,
            Completeness::ProcessEnded => Belief::Broken,
            Completeness::NotKnown => Belief::NotProven,
        }
    }
}

/// The network path of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NetworkPath {
    /// This node's own.
    Own,
    /// Through a peer that marks the end of the instance's connection.
    Peer,
    /// Through a peer whose own end looks like that of the instance's connection.
    UnmarkedPeer,
}

impl NetworkPath {
    /// Whether a peer forwards the connection.
    pub fn is_tunneled(self) -> bool {
        self != Self::Own
    }

    /// The path for logs.
    pub fn text(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::UnmarkedPeer => "older peer",
        }
    }
}

/// How the body of a response has ended.
#[derive(Debug, Clone, Copy)]
pub struct ResponseEnd {
    /// What marks its end.
    pub framing: Framing,
    /// The network path of its connection.
    pub path: NetworkPath,
    /// Events that were received and that the caller did not have.
    pub events: u64,
    /// Length of what was received of the body, in bytes.
    pub bytes: u64,
}

impl ResponseEnd {
    /// Logs and counts that the connection has marked the end, and what is believed of it by
    /// evidence that came `took` after the end.
    pub fn record_unframed(
        &self,
        node: &Node,
        request_id: &str,
        target: &Target,
        evidence: Evidence,
        took: Millis,
    ) {
        let belief = evidence.belief();
        node.metrics.count(match belief {
            Belief::Complete => Metric::UnframedBelieved,
            Belief::NotProven | Belief::Broken => Metric::UnframedNotBelieved,
        });
        emit(
            Event::UnframedEnd,
            &[
                ("request", request_id),
                ("instance", target.id.as_str()),
                ("path", self.path.text()),
                ("events", &self.events.to_string()),
                ("bytes", &self.bytes.to_string()),
                ("believed", belief.text()),
                ("evidence", evidence.text()),
                ("evidence_ms", &took.0.to_string()),
            ],
        );
    }
}
