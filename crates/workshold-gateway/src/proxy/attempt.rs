//! One send to one instance, up to the head of its answer or its first event.

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

/// Time for a connection to come up.
const CONNECT_TIME: Millis = Millis(40);
/// The longest answer that is held until it is whole, in bytes.
const MOST_HELD: usize = 4 * 1024 * 1024;

/// An answer that has begun.
pub enum Opened {
    /// It is there as a whole.
    Whole(Response<ResponseBody>),
    /// A stream with its first events.
    Stream(Box<(Parts, Current)>),
}

/// A stream at an instance.
pub struct Current {
    /// Where it runs.
    pub target: Arc<Target>,
    /// Its further events.
    pub body: Incoming,
    /// Events that are out but not yet passed on.
    pub ready: Bytes,
    /// What has been cut into events.
    pub framer: Framer,
    /// When its last event came.
    pub since: Millis,
    /// Whether nothing more comes.
    pub is_over: bool,
    _driver: Driver,
    in_flight: InFlight,
}

/// Why an attempt ended whose request's time was up.
pub const TIME_UP: &str = "its time was up";

/// Why a request is not sent that is kept from instances.
pub const HELD: &str = "whoever begins to run it ends";

/// How an attempt failed, and why.
pub type Failure = (AttemptEnd, &'static str);

/// What is sent, and where.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The request.
    pub job: Arc<AdmittedRequest>,
    /// Where it goes.
    pub target: Arc<Target>,
    /// The last event that the caller has: a stream goes on behind it.
    pub last: Option<u64>,
    /// Set once a byte of it may have left.
    pub is_sent: Arc<AtomicBool>,
}

/// Sends a request, and waits for its whole answer or its first events. Only the
/// instance's own word, the end of the connection and the request's time end this.
///
/// # Errors
///
/// How the attempt ended without an answer.
pub async fn open(node: Arc<Node>, dispatch: Dispatch) -> Result<Opened, Failure> {
    let Dispatch { job, target, last, is_sent } = dispatch;
    let in_flight = node.loads.begin(&target.id, job.prompt_tokens as u32);
    let connected = client::connect(&target.address, CONNECT_TIME.to_duration()).await;
    let connected = connected.map_err(|_| {
        node.probe(&target.id, &target.address, ProbeTask::Look);
        (AttemptEnd::NotSent, "no connection")
    })?;
    let left = job.left(node.now());
    if left <= LEAST_TIME {
        return Err((AttemptEnd::NotSent, "no time is left"));
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
        Err(_) => return Err((AttemptEnd::Broken, "the connection broke")),
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
            .map_err(|(ending, _)| (ending, "it broke off before its first event"))?;
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

/// Whether an answer comes from the instance that was asked, and belongs to this request.
fn is_of(job: &AdmittedRequest, res: &Response<Incoming>) -> bool {
    res.status() != StatusCode::MISDIRECTED_REQUEST && !is_foreign(job, res.headers())
}

/// Whether an answer is one to this request, and says that it has run.
fn check_head(job: &AdmittedRequest, res: &Response<Incoming>) -> Result<(), Failure> {
    let (status, headers) = (res.status(), res.headers());
    if headers.contains_key(names::NOT_RUN) {
        return Err((AttemptEnd::Refused, "the upstream has not run it"));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err((AttemptEnd::Refused, "another instance is there"));
    }
    if is_foreign(job, headers) {
        return Err((AttemptEnd::Unknown, "an answer to another request"));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err((AttemptEnd::Unknown, "an answer in an encoding that nobody asked for"));
    }
    if status.is_success() && !headers.contains_key(names::STAMP) {
        return Err((AttemptEnd::Unknown, "an answer without its proof"));
    }
    // These would tell the caller that it has not run; only the upstream's own word
    // says so.
    let promises = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promises.contains(&status) {
        return Err((AttemptEnd::Unknown, "a refusal without the word that it has not run"));
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
    let bytes = collected.map_err(|_| (AttemptEnd::Broken, "the answer broke off"))?.to_bytes();
    responses::strip(&mut parts.headers);
    Ok(Response::from_parts(parts, responses::whole(bytes)))
}

impl Current {
    /// Reads on until something comes; whole events are then in `ready`. Nothing is lost
    /// if this is given up.
    ///
    /// # Errors
    ///
    /// Why nothing comes any more.
    pub async fn read(&mut self) -> Result<(), Failure> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { return Ok(()) };
                let ready = self.framer.push(&data);
                self.ready = ready.ok_or((AttemptEnd::Unknown, "bytes that are no events"))?;
                Ok(())
            }
            Some(Err(_)) => Err((AttemptEnd::Broken, "the stream broke off")),
            // However its end is told, a stream that is whole ends with an event.
            None if self.framer.has_partial_event() => {
                Err((AttemptEnd::Broken, "the stream ended within an event"))
            }
            None => {
                self.is_over = true;
                Ok(())
            }
        }
    }
}
