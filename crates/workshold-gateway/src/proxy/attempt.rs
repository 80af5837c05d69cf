//! One attempt: sends a request to one instance and reads the response up to its end or, if it is
//! a stream, its first event.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_core::hosted::serving_config::RequestKind;
use workshold_http::body::Body;
use workshold_http::body::full;
use workshold_http::client;
use workshold_http::client::CallError;
use workshold_http::client::Driver;
use workshold_platform::names;
use workshold_platform::words;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::loads::InFlight;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::proxy::LEAST_TIME;
use crate::proxy::framing::Framer;
use crate::routing_table::Target;

/// Longest wait for a connection to an instance.
const CONNECT_TIME: Millis = Millis(40);
/// Longest response body that is buffered until it is complete, in bytes.
const MOST_HELD: usize = 4 * 1024 * 1024;

/// A response that has begun.
pub enum Opened {
    /// The complete response.
    Whole(Response<ResponseBody>),
    /// The head of a stream, and its body with the first events.
    Stream(Box<(Parts, Current)>),
}

/// A stream of events from an instance.
pub struct Current {
    /// The instance that sends it.
    pub target: Arc<Target>,
    /// The rest of the body.
    pub body: Incoming,
    /// Whole events that are not forwarded yet.
    pub ready: Bytes,
    /// Splits the body into events.
    pub framer: Framer,
    /// When the request was sent.
    pub since: Millis,
    /// Whether the body has ended.
    pub is_over: bool,
    _driver: Driver,
    in_flight: InFlight,
}

/// Logged reason of an attempt that the deadline ended.
pub const TIME_UP: &str = "the request's deadline passed";

/// Logged reason why a quarantined request is not sent.
pub const HELD: &str = "instances ended when they began to run it";

/// How an attempt failed, and the reason for logs.
pub type Failure = (AttemptEnd, &'static str);

/// What [`open`] sends, and where to.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request that is sent.
    pub job: Arc<AdmittedRequest>,
    /// The instance that it is sent to.
    pub target: Arc<Target>,
    /// The last event that the caller has; a stream continues after it.
    pub last: Option<u64>,
    /// Set once a byte of the request may have been sent.
    pub is_sent: Arc<AtomicBool>,
}

/// Sends a request, and waits for the complete response or the first events of a stream. Only the
/// instance's response, the end of the connection and the request's deadline end the wait.
///
/// # Errors
///
/// How the attempt ended without a response.
pub async fn open(node: Arc<Node>, dispatch: Dispatch) -> Result<Opened, Failure> {
    let Dispatch { job, target, last, is_sent } = dispatch;
    let in_flight = node.loads.begin(&target.id, job.prompt_tokens as u32);
    let connected = client::connect(&target.address, CONNECT_TIME.to_duration()).await;
    let connected = connected.map_err(|_| {
        node.probe(&target.id, &target.address, ProbeTask::Look);
        (AttemptEnd::NotSent, "could not connect")
    })?;
    let left = job.left(node.now());
    if left <= LEAST_TIME {
        return Err((AttemptEnd::NotSent, "too little time left before the deadline"));
    }
    let permit =
        node.permit(&target.id).map_err(|withheld| (AttemptEnd::Withheld, withheld.why.text()))?;
    let sent = node.now();
    is_sent.store(true, Ordering::Relaxed);
    let req = request(&job, &target, last, left);
    let sending = permit.send(connected, req, left.to_duration());
    let (res, driver) = match sending.await {
        Ok(got) => got,
        Err(CallError::TimedOut { .. }) => return Err((AttemptEnd::Unknown, TIME_UP)),
        Err(_) => return Err((AttemptEnd::Broken, "the connection broke before the response")),
    };
    if is_of(&job, &res) {
        node.on_rate_limit(&target.id, words::limit(res.headers()), sent);
        node.on_backoff(&target.id, words::rest(res.status(), res.headers(), node.wall()));
        node.on_leaving(&target.id, words::leaves(res.headers()));
    }
    check_head(&job, &res)?;
    let is_stream = job.route.kind == RequestKind::Stream && res.status().is_success();
    if !is_stream {
        let whole = read_whole(res).await?;
        let took = node.now().since(sent);
        node.gaps.lock().on_gap(&target.id, took);
        node.outliers.lock().on_answer(&target.id, took, node.now());
        return Ok(Opened::Whole(whole));
    }
    let (parts, body) = res.into_parts();
    let mut current = Current {
        target: Arc::clone(&target),
        body,
        ready: Bytes::new(),
        framer: Framer::after(last),
        since: sent,
        is_over: false,
        _driver: driver,
        in_flight,
    };
    while current.ready.is_empty() && !current.is_over {
        current
            .read()
            .await
            .map_err(|(ending, _)| (ending, "the stream broke off before its first event"))?;
    }
    current.in_flight.on_read();
    Ok(Opened::Stream(Box::new((parts, current))))
}

fn request(
    job: &AdmittedRequest,
    target: &Target,
    last: Option<u64>,
    left: Millis,
) -> Request<Body> {
    let mut req = Request::new(full(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.path.parse().expect("the path was one when it came");
    *req.headers_mut() = job.headers.clone();
    let headers = req.headers_mut();
    headers.insert(names::TIME_LEFT, HeaderValue::from(left.0));
    if let Ok(id) = HeaderValue::from_str(target.id.as_str()) {
        headers.insert(names::ONLY_AT, id);
    }
    if let Some(last) = last {
        headers.insert(names::LAST_EVENT, HeaderValue::from(last));
    }
    req
}

/// Whether a response comes from the instance that was addressed, and belongs to this request.
fn is_of(job: &AdmittedRequest, res: &Response<Incoming>) -> bool {
    res.status() != StatusCode::MISDIRECTED_REQUEST && !is_foreign(job, res.headers())
}

/// Checks that a response belongs to this request and proves that it has run.
fn check_head(job: &AdmittedRequest, res: &Response<Incoming>) -> Result<(), Failure> {
    let (status, headers) = (res.status(), res.headers());
    if headers.contains_key(names::NOT_RUN) {
        return Err((AttemptEnd::Refused, "the upstream refused it without running it"));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err((AttemptEnd::Refused, "another instance has this address"));
    }
    if is_foreign(job, headers) {
        return Err((AttemptEnd::Unknown, "the response belongs to another request"));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err((
            AttemptEnd::Unknown,
            "the response has a content encoding that was not requested",
        ));
    }
    if status.is_success() && !headers.contains_key(names::STAMP) {
        return Err((AttemptEnd::Unknown, "the response has no stamp as proof"));
    }
    // The caller would take these to mean that the request has not run. Only the upstream's
    // `x-not-executed` header says so.
    let promises = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promises.contains(&status) {
        return Err((
            AttemptEnd::Unknown,
            "a refusal that does not state that the request has not run",
        ));
    }
    Ok(())
}

fn is_foreign(job: &AdmittedRequest, headers: &HeaderMap) -> bool {
    let echoed = headers.get(names::REQUEST_ID);
    echoed.is_some_and(|echoed| echoed.as_bytes() != job.id.as_bytes())
}

async fn read_whole(res: Response<Incoming>) -> Result<Response<ResponseBody>, Failure> {
    let (mut parts, body) = res.into_parts();
    let collected = Limited::new(body, MOST_HELD).collect().await;
    let bytes = collected.map_err(|_| (AttemptEnd::Broken, "the response broke off"))?.to_bytes();
    responses::strip(&mut parts.headers);
    Ok(Response::from_parts(parts, responses::whole(bytes)))
}

impl Current {
    /// Reads the next bytes; whole events are then in `ready`. Cancel safe: no bytes are lost if
    /// the future is dropped.
    ///
    /// # Errors
    ///
    /// Why the stream cannot continue.
    pub async fn read(&mut self) -> Result<(), Failure> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { return Ok(()) };
                let ready = self.framer.push(&data);
                self.ready =
                    ready.ok_or((AttemptEnd::Unknown, "an event is longer than the limit"))?;
                Ok(())
            }
            Some(Err(_)) => Err((AttemptEnd::Broken, "the stream broke off")),
            // A complete stream ends with a whole event, however the end of the body is marked.
            None if self.framer.has_partial_event() => {
                Err((AttemptEnd::Broken, "the stream ended in the middle of an event"))
            }
            None => {
                self.is_over = true;
                Ok(())
            }
        }
    }
}
