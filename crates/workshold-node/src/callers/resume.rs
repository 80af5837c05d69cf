//! Resumes a stream on another connection or at another node, and cancels streams.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use workshold_http::Body;
use workshold_http::body;
use workshold_http::client;
use workshold_protocol::engine::TokenEvent;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::callers::authentication;
use crate::callers::completions::CompletionFormat;
use crate::callers::completions::encode_part;
use crate::callers::completions::set_request_id;
use crate::callers::engine_stream::EngineEvent;
use crate::callers::engine_stream::EventLines;
use crate::callers::generation::ResponsePart;
use crate::callers::generation::cancel as cancel_upstream;
use crate::callers::sse;
use crate::node::Node;
use crate::requests::InFlight;
use crate::requests::StreamLocation;

/// Timeout for connecting to the stream's instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// `GET /v1/requests/{id}?from={token}`: continues the stream `id` at the token with that
/// index, by default 0.
///
/// # Errors
///
/// [`ProblemCode::NotFound`] for an id that is not this team's, and
/// [`ProblemCode::ResumeLost`] if the instance is gone, cannot be reached or does not have
/// the stream any more.
pub async fn resume(
    node: &Arc<Node>,
    req: &Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, Problem> {
    let location = find_stream(node, req, id)?;
    let from = parse_from(req)?;
    let lost = |why: &str| Problem::may_have_run(ProblemCode::ResumeLost, why);
    let address = instance_address(node, &location).ok_or_else(|| lost("its instance is gone"))?;
    let connected = client::connect(&address, CONNECT_TIMEOUT).await;
    let connected = connected.map_err(|_| lost("its instance cannot be reached"))?;
    let path = format!("/engine/streams/{}?from={from}", location.stream);
    let upstream_req = client::request::<()>(&address, Method::GET, &path, None);
    let stall_timeout = node.settings.times.upstream_silence.to_duration();
    let sent = connected.send(upstream_req, stall_timeout).await;
    let (res, connection_task) = sent.map_err(|_| lost("its instance does not answer"))?;
    if res.status() != StatusCode::OK {
        return Err(lost("its instance does not have it any more"));
    }
    node.counters.resumed.add(1);
    let lines = EventLines::new(res.into_body());
    let (tx, rx) = tokio::sync::mpsc::channel(PART_BUFFER_LEN);
    let res = response(&location, id, rx);
    tokio::spawn(forward_stream(Arc::clone(node), location, lines, from, tx, connection_task));
    Ok(res)
}

/// Parts of an answer that are buffered for a caller who reads slowly.
const PART_BUFFER_LEN: usize = 64;

fn response(
    location: &StreamLocation,
    id: &str,
    rx: tokio::sync::mpsc::Receiver<ResponsePart>,
) -> Response<Body> {
    let format = if location.is_chat { CompletionFormat::Chat } else { CompletionFormat::Text };
    let model = location.model.to_string();
    let events = stream::unfold(rx, move |mut rx| {
        let model = model.clone();
        async move { rx.recv().await.map(|part| (encode_part(format, &model, part), rx)) }
    });
    let mut res = Response::new(body::stream(events));
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(sse::EVENT_STREAM));
    set_request_id(headers, id);
    res
}

/// Forwards the remaining tokens to the caller. The last part is either `Done` or a problem.
async fn forward_stream(
    node: Arc<Node>,
    location: StreamLocation,
    mut lines: EventLines,
    from: u32,
    tx: tokio::sync::mpsc::Sender<ResponsePart>,
    _connection_task: client::ConnectionTask,
) {
    let _guard = node.in_flight.track(InFlight {
        team: location.team,
        target: location.model.to_string(),
        group: None,
        since: node.now(),
    });
    let stall = node.settings.times.caller_stall.to_duration();
    // No other engine can continue this stream, so a stall does not end it; it may take
    // as long as the longest request.
    let deadline = Instant::now() + node.settings.times.max_deadline.to_duration();
    let mut next = from;
    loop {
        let received = tokio::select! {
            received = lines.next_before(deadline) => received,
            () = tx.closed() => return,
        };
        let part = match received {
            EngineEvent::Stream(TokenEvent::Token { index, .. }) if index < next => continue,
            EngineEvent::Stream(TokenEvent::Token { index, text }) if index == next => {
                next += 1;
                node.counters.tokens.add(1);
                ResponsePart::Token { index, text }
            }
            EngineEvent::Stream(TokenEvent::Done { tokens }) if tokens == next => {
                ResponsePart::Done { tokens }
            }
            _ => {
                let detail = format!("the stream broke off after token {next}");
                ResponsePart::Problem(Problem::may_have_run(ProblemCode::ResumeLost, detail))
            }
        };
        let is_last = !matches!(part, ResponsePart::Token { .. });
        let delivered = tokio::time::timeout(stall, tx.send(part)).await;
        if is_last || !matches!(delivered, Ok(Ok(()))) {
            return;
        }
    }
}

/// `DELETE /v1/requests/{id}`: cancels a stream at its engine; it cannot be resumed
/// afterwards.
///
/// # Errors
///
/// [`ProblemCode::NotFound`] for an id that is not this team's.
pub async fn cancel(
    node: &Arc<Node>,
    req: &Request<Incoming>,
    id: &str,
) -> Result<Response<Body>, Problem> {
    let location = find_stream(node, req, id)?;
    if let Some(address) = instance_address(node, &location) {
        cancel_upstream(address, location.stream);
    }
    Ok(body::json(StatusCode::ACCEPTED, &"the stream is being cancelled"))
}

/// Decodes a request id. An id of another team gets the same error as an invalid one, so
/// that the error does not reveal which streams exist.
fn find_stream(node: &Node, req: &Request<Incoming>, id: &str) -> Result<StreamLocation, Problem> {
    let bundle =
        node.bundle().ok_or_else(|| Problem::not_run(ProblemCode::NotReady, "no bundle"))?;
    let team = authentication::find_team(req.headers(), &bundle)?;
    let location = StreamLocation::open(id, &node.checked.cluster_key);
    location
        .filter(|location| location.team == team)
        .ok_or_else(|| Problem::not_run(ProblemCode::NotFound, "there is no such request"))
}

fn parse_from(req: &Request<Incoming>) -> Result<u32, Problem> {
    let query = req.uri().query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| pair.strip_prefix("from="));
    let bad = |_| Problem::not_run(ProblemCode::BadRequest, "from must be the number of a token");
    value.map_or(Ok(0), |text| text.parse().map_err(bad))
}

/// The address of the stream's instance; `None` if the platform does not list it any more.
fn instance_address(node: &Node, location: &StreamLocation) -> Option<String> {
    node.list.read().find(&location.instance).map(|listed| listed.address.clone())
}
