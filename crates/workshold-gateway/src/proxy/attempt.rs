//! One attempt: sends a request to one instance and reads the response up to its end or, if it is
//! a stream, its first event.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use workshold_core::hosted::response_end::Completeness;
use workshold_core::hosted::response_end::ProcessEvidence;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_core::hosted::serving_config::RequestKind;
use workshold_http::body::Body;
use workshold_http::body::full;
use workshold_http::client;
use workshold_http::client::CallError;
use workshold_http::client::ConnectionTask;
use workshold_http::client::FreshConnection;
use workshold_platform::names;
use workshold_platform::response_headers;
use workshold_protocol::Millis;

use crate::callers::requests;
use crate::callers::requests::AdmittedRequest;
use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::loads::InFlight;
use crate::node::ConnectError;
use crate::node::ConnectTimes;
use crate::node::InstanceConnection;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::node::Reader;
use crate::node::ReaderKind;
use crate::proxy::MIN_TIME_LEFT;
use crate::proxy::framing::Framer;
use crate::proxy::response_end::Evidence;
use crate::proxy::response_end::Framing;
use crate::proxy::response_end::NetworkPath;
use crate::proxy::response_end::ResponseEnd;
use crate::proxy::upstream_body;
use crate::proxy::upstream_body::UpstreamBody;
use crate::routing_table::Target;

/// Longest wait for a connection to an instance.
const CONNECT_TIMEOUT: Millis = Millis(40);
/// Buffer of a connection to an instance. What was received but not forwarded is at most one
/// buffer here and one at the caller's connection, besides the beginning of an unfinished event.
const MAX_BUF_LEN: usize = 16 * 1024;
/// Longest wait for proof that a response without framing is complete, if the request may run
/// elsewhere: half of the shortest gap after which callers give a stream up. An instance answers
/// within a few round trips unless its health check waits for a slot.
const PROOF_WAIT: Millis = Millis(1_000);

/// A check whether a response without framing is complete.
type EndCheck = Pin<Box<dyn Future<Output = Result<(), Failure>> + Send>>;

/// A response that has begun.
pub enum AttemptResponse {
    /// The complete response, and how its body ended.
    Complete(Response<ResponseBody>, ResponseEnd),
    /// The head of a stream, and its body with the first events.
    Stream(Box<(Parts, EventStream)>),
}

/// A stream of events from an instance.
pub struct EventStream {
    node: Arc<Node>,
    request: Arc<AdmittedRequest>,
    /// The instance that sends it.
    pub target: Arc<Target>,
    /// The rest of the body.
    body: Box<UpstreamBody>,
    framing: Framing,
    /// Bytes of the body that were received.
    received: u64,
    /// Whole events that are not forwarded yet.
    pub ready: Bytes,
    /// Splits the body into events.
    pub framer: Framer,
    /// When the request was sent.
    pub sent_at: Millis,
    /// Whether the body has ended.
    pub is_complete: bool,
    /// The check of a body without framing that has ended.
    end_check: Option<EndCheck>,
    empty_resumptions: Arc<AtomicU32>,
    /// The network path of the connection.
    pub path: NetworkPath,
    in_flight: InFlight,
}

/// Logged reason of a stream whose connection broke.
const BROKE_OFF: &str = "the stream broke off";

/// Logged reason of an attempt that the deadline ended.
pub const DEADLINE_PASSED: &str = "the request's deadline passed";

/// Logged reason why a quarantined request is not sent.
pub const QUARANTINED: &str = "instances ended when they began to run it";

/// Logged reason of an attempt whose instance did not take the request's body.
pub const BODY_NOT_TAKEN: &str = "the instance did not take the request's body";

/// Logged reason of an attempt at an instance that neither this node nor a peer reaches.
const COULD_NOT_CONNECT: &str = "could not connect";

/// Logged reason of an attempt while this node's path is lost and no peer opens a tunnel.
pub const CUT_OFF: &str = "this node has lost its path to the instance, and no peer opens a tunnel";

/// How an attempt failed, and the reason for logs.
pub type Failure = (AttemptEnd, &'static str);

/// What [`send_request`] sends, and where to.
#[derive(Debug, Clone)]
pub struct AttemptParams {
    /// The request that is sent.
    pub request: Arc<AdmittedRequest>,
    /// The instance that it is sent to.
    pub target: Arc<Target>,
    /// The last event that the caller has; a stream continues after it.
    pub last: Option<u64>,
    /// Set once a byte of the request may have been sent.
    pub is_sent: Arc<AtomicBool>,
    /// Set if a peer forwards the connection.
    pub is_tunneled: Arc<AtomicBool>,
    /// Resumed streams of the request that ended without framing and without an event.
    pub empty_resumptions: Arc<AtomicU32>,
}

/// Sends a request, and waits for the complete response or the first events of a stream. Only the
/// instance's response, the end of the connection and the request's deadline end the wait.
///
/// # Errors
///
/// How the attempt ended without a response.
pub async fn send_request(
    node: Arc<Node>,
    params: AttemptParams,
) -> Result<AttemptResponse, Failure> {
    let AttemptParams { request, target, last, is_sent, is_tunneled, empty_resumptions } = params;
    let in_flight = node.loads.begin(&target.id, request.prompt_tokens as u32);
    let (connection, path) = connect(&node, &request, &target).await?;
    is_tunneled.store(path.is_tunneled(), Ordering::Relaxed);
    let left = request.left(node.now());
    if left <= MIN_TIME_LEFT {
        return Err((AttemptEnd::NotSent, "too little time left before the deadline"));
    }
    let permit =
        node.permit(&target).map_err(|withheld| (AttemptEnd::Withheld, withheld.why.text()))?;
    let sent = node.now();
    is_sent.store(true, Ordering::Relaxed);
    let req = upstream_request(&request, &target, last, left);
    let body_reader = BodyReader::begin(&node, &request, &connection);
    let sending = permit.send(connection, req, left.to_duration());
    let (res, driver) = body_reader.until_response(&target, sending).await?;
    if is_from_target(&request, &res) {
        node.on_rate_limit(&target.id, response_headers::announced_limit(res.headers()), sent);
        node.on_backoff(
            &target.id,
            response_headers::retry_after(res.status(), res.headers(), node.wall()),
        );
        node.on_leaving(&target.id, response_headers::is_leaving(res.headers()));
    }
    check_head(&request, &res)?;
    let is_stream = request.route.kind == RequestKind::Stream && res.status().is_success();
    if !is_stream {
        let (complete, end) = read_complete(&node, &request, &target, res, driver, path).await?;
        let took = node.now().since(sent);
        node.gaps.lock().on_gap(&target.id, took);
        if complete.status().is_success() {
            node.note_group_event(&target, sent);
        }
        node.outliers.lock().on_answer(&target.id, took, node.now());
        return Ok(AttemptResponse::Complete(complete, end));
    }
    let (parts, body) = res.into_parts();
    let tokens_max = requests::generated_tokens_max(&request.headers);
    let mut event_stream = EventStream {
        node: Arc::clone(&node),
        request: Arc::clone(&request),
        target: Arc::clone(&target),
        framing: Framing::of(&parts.headers, &body),
        received: 0,
        body: Box::new(UpstreamBody::new(&node, &target, body, driver)),
        ready: Bytes::new(),
        framer: Framer::after(last).with_tokens_max(tokens_max),
        sent_at: sent,
        is_complete: false,
        end_check: None,
        empty_resumptions,
        path,
        in_flight,
    };
    while event_stream.ready.is_empty() && !event_stream.is_complete {
        event_stream
            .read()
            .await
            .map_err(|(ending, reason)| (ending, reason_before_first_event(reason)))?;
    }
    if !event_stream.ready.is_empty() {
        node.note_group_event(&target, sent);
    }
    event_stream.in_flight.on_first_event();
    Ok(AttemptResponse::Stream(Box::new((parts, event_stream))))
}

/// The logged reason of a stream that failed before its first event.
fn reason_before_first_event(reason: &'static str) -> &'static str {
    match reason {
        BROKE_OFF => "the stream broke off before its first event",
        other => other,
    }
}

/// Connects to a target. Returns the connection, on which nothing was sent, and its path.
async fn connect(
    node: &Node,
    request: &AdmittedRequest,
    target: &Target,
) -> Result<(FreshConnection, NetworkPath), Failure> {
    let times = ConnectTimes { connect: CONNECT_TIMEOUT, lifetime: request.left(node.now()) };
    let connected = node.connect(&target.id, &target.address, times).await;
    let InstanceConnection { stream, is_tunneled } = connected.map_err(|err| {
        node.probe(&target.id, &target.address, ProbeTask::ForSelf);
        let reason = if err == ConnectError::CutOff { CUT_OFF } else { COULD_NOT_CONNECT };
        (AttemptEnd::NotSent, reason)
    })?;
    let path = match (is_tunneled, stream.marks_end()) {
        (false, _) => NetworkPath::Own,
        (true, true) => NetworkPath::Peer,
        (true, false) => NetworkPath::UnmarkedPeer,
    };
    let started = client::start(&target.address, stream, MAX_BUF_LEN).await;
    let connection = started.map_err(|_| (AttemptEnd::NotSent, COULD_NOT_CONNECT))?;
    Ok((connection, path))
}

/// The instance as the reader of the request's body, until the head of its response comes.
struct BodyReader {
    node: Arc<Node>,
    reader: Arc<Reader>,
}

impl BodyReader {
    fn begin(node: &Arc<Node>, request: &AdmittedRequest, connection: &FreshConnection) -> Self {
        let id = request.id.clone();
        let reader = node.add_reader(ReaderKind::Instance, id, connection.progress());
        Self { node: Arc::clone(node), reader }
    }

    /// Waits for the head of the response, unless the node ends the attempt because the body is not
    /// taken.
    async fn until_response(
        self,
        target: &Target,
        sending: impl Future<Output = Result<(Response<Incoming>, ConnectionTask), CallError>>,
    ) -> Result<(Response<Incoming>, ConnectionTask), Failure> {
        let result = tokio::select! {
            biased;
            result = sending => result,
            () = self.reader.progress().aborted() => {
                return Err((AttemptEnd::Unknown, BODY_NOT_TAKEN));
            }
        };
        result.map_err(|err| match err {
            CallError::TimedOut { .. } => (AttemptEnd::Unknown, DEADLINE_PASSED),
            CallError::Malformed { .. } => {
                let failure = (AttemptEnd::Broken, upstream_body::MALFORMED);
                upstream_body::no_answer(&self.node, target, failure)
            }
            _ => (AttemptEnd::Broken, "the connection broke before the response"),
        })
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        self.node.remove_reader(&self.reader);
    }
}

/// Builds the request for one attempt: adds the time left, the only instance that may run it, and
/// the last event that the caller has.
fn upstream_request(
    request: &AdmittedRequest,
    target: &Target,
    last: Option<u64>,
    left: Millis,
) -> Request<Body> {
    let mut req = Request::new(full(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.path.parse().expect("the caller's path was parsed before");
    *req.headers_mut() = request.headers.clone();
    let headers = req.headers_mut();
    headers.insert(names::TIME_LEFT, HeaderValue::from(left.0));
    if let Ok(id) = HeaderValue::from_str(target.id.as_str()) {
        headers.insert(names::EXPECTED_INSTANCE, id);
    }
    if let Some(last) = last {
        headers.insert(names::LAST_EVENT_ID, HeaderValue::from(last));
    }
    req
}

/// Whether a response comes from the instance that was addressed, and belongs to this request.
fn is_from_target(request: &AdmittedRequest, res: &Response<Incoming>) -> bool {
    res.status() != StatusCode::MISDIRECTED_REQUEST && !is_for_other_request(request, res.headers())
}

/// Checks that a response belongs to this request and proves that it has run.
fn check_head(request: &AdmittedRequest, res: &Response<Incoming>) -> Result<(), Failure> {
    let (status, headers) = (res.status(), res.headers());
    if headers.contains_key(names::NOT_EXECUTED) {
        return Err((AttemptEnd::Refused, "the upstream refused it without running it"));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err((AttemptEnd::Refused, "another instance has this address"));
    }
    if is_for_other_request(request, headers) {
        return Err((AttemptEnd::Unknown, "the response belongs to another request"));
    }
    if headers.contains_key(header::CONTENT_ENCODING) || has_other_coding(headers) {
        return Err((AttemptEnd::Unknown, "the response has an encoding that was not requested"));
    }
    if status.is_informational() {
        return Err((AttemptEnd::Unknown, "the response is not a final one"));
    }
    if status.is_success() && !headers.contains_key(names::RESPONSE_STAMP) {
        return Err((AttemptEnd::Unknown, "the response has no stamp as proof"));
    }
    // The caller would take these to mean that the request has not run. Only the upstream's
    // `x-not-executed` header says so.
    let refusals = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if refusals.contains(&status) {
        return Err((
            AttemptEnd::Unknown,
            "a refusal that does not state that the request has not run",
        ));
    }
    Ok(())
}

/// Whether the response names the id of another request.
fn is_for_other_request(request: &AdmittedRequest, headers: &HeaderMap) -> bool {
    let echoed = headers.get(names::REQUEST_ID);
    echoed.is_some_and(|echoed| echoed.as_bytes() != request.id.as_bytes())
}

/// Reads the whole body.
async fn read_complete(
    node: &Arc<Node>,
    request: &AdmittedRequest,
    target: &Arc<Target>,
    res: Response<Incoming>,
    driver: ConnectionTask,
    path: NetworkPath,
) -> Result<(Response<ResponseBody>, ResponseEnd), Failure> {
    let (mut parts, body) = res.into_parts();
    let framing = Framing::of(&parts.headers, &body);
    let body = UpstreamBody::new(node, target, body, driver);
    let bytes = body.read_all("the response broke off").await?;
    let end = ResponseEnd { framing, path, events: 0, bytes: bytes.len() as u64 };
    if framing == Framing::Connection {
        match (bytes.is_empty(), parts.status.is_success()) {
            (true, true) => {
                end.record_unframed(node, &request.id, target, Evidence::EmptyBody, Millis::ZERO);
                return Err((AttemptEnd::Broken, "the response ended before its body"));
            }
            // The status of a failure says all.
            (true, false) => {}
            (false, _) => check_unframed_end(node, request, target, end).await?,
        }
    }
    responses::remove_connection_properties(&mut parts);
    Ok((Response::from_parts(parts, responses::full_body(bytes)), end))
}

/// Whether a message has a transfer coding that changes its content.
fn has_other_coding(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| {
        let coding = coding.trim_ascii();
        !coding.eq_ignore_ascii_case(b"chunked") && !coding.eq_ignore_ascii_case(b"identity")
    })
}

/// Asks the process that sent a response without framing whether it still runs, after the response
/// has ended.
async fn check_unframed_end(
    node: &Node,
    request: &AdmittedRequest,
    target: &Target,
    end: ResponseEnd,
) -> Result<(), Failure> {
    let ended_at = node.now();
    let left = request.left(ended_at).since(MIN_TIME_LEFT);
    // A request that may not run again has only this answer to hope for.
    let wait = if request.route.is_repeatable() { left.min(PROOF_WAIT) } else { left };
    let evidence = match end.path {
        NetworkPath::UnmarkedPeer => ProcessEvidence::UnmarkedTunnel,
        NetworkPath::Own | NetworkPath::Peer => node.check_process(target, wait).await,
    };
    let took = node.now().since(ended_at);
    end.record_unframed(node, &request.id, target, Evidence::Process(evidence), took);
    match evidence.completeness() {
        Completeness::Complete => Ok(()),
        Completeness::ProcessEnded => {
            Err((AttemptEnd::Broken, "the response ended together with its instance"))
        }
        Completeness::NotKnown => {
            Err((AttemptEnd::Unproven, "nothing shows that the response is complete"))
        }
    }
}

impl EventStream {
    /// How its body ends, by what was received so far.
    pub fn end(&self) -> ResponseEnd {
        ResponseEnd {
            framing: self.framing,
            path: self.path,
            events: self.framer.event_count(),
            bytes: self.received,
        }
    }

    /// Logs an end that the body itself shows to be too early, unless the body has a framing.
    fn record_early_end(&self, evidence: Evidence) {
        if self.framing == Framing::Connection {
            let (node, id) = (&self.node, &self.request.id);
            self.end().record_unframed(node, id, &self.target, evidence, Millis::ZERO);
        }
    }

    /// Reads the next bytes; whole events are then in `ready`. At the end of a body without framing
    /// it asks whether the process that sent it still runs. Cancel safe: no bytes are lost if the
    /// future is dropped.
    ///
    /// # Errors
    ///
    /// Why the stream cannot continue.
    pub async fn read(&mut self) -> Result<(), Failure> {
        match self.body.next(BROKE_OFF).await {
            Some(Ok(data)) => {
                self.received += data.len() as u64;
                let ready = self.framer.push(&data);
                self.ready =
                    ready.map_err(|err| self.body.no_answer((AttemptEnd::Unknown, err.text())))?;
                self.body.hold(self.framer.held_len())
            }
            Some(Err(failure)) => Err(failure),
            // A complete stream ends with a whole event, however the end of the body is marked.
            None if self.framer.has_partial_event() => {
                self.record_early_end(Evidence::PartialEvent);
                Err((AttemptEnd::Broken, "the stream ended in the middle of an event"))
            }
            None if self.framing == Framing::Connection && self.framer.is_empty() => {
                self.record_early_end(Evidence::NoEvent);
                Err((AttemptEnd::Broken, "the stream ended before its first event"))
            }
            None => {
                if self.framing == Framing::Connection {
                    self.check_end().await?;
                }
                self.is_complete = true;
                Ok(())
            }
        }
    }

    /// Checks whether the body is complete, which has ended without framing. A check that was begun
    /// goes on if the future is dropped and called again.
    async fn check_end(&mut self) -> Result<(), Failure> {
        let end = self.end();
        let check = self.end_check.get_or_insert_with(|| {
            let node = Arc::clone(&self.node);
            let (request, target) = (Arc::clone(&self.request), Arc::clone(&self.target));
            Box::pin(async move { check_unframed_end(&node, &request, &target, end).await })
        });
        check.await?;
        // An instance that stopped before its first event looks like one that had none left. A
        // second instance has to say the same.
        let is_empty = end.events == 0;
        if is_empty && self.empty_resumptions.fetch_add(1, Ordering::Relaxed) == 0 {
            return Err((AttemptEnd::Unproven, "the resumed stream ended without an event"));
        }
        Ok(())
    }
}
