//! Handles callers' requests: routing, authorization, reading the body, and the headers for the
//! upstream. [`proxy`] does the rest.

use std::iter;
use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use smol_str::SmolStr;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::serving_config::Caller;
use workshold_core::hosted::serving_config::Route;
use workshold_core::hosted::serving_config::ServingConfig;
use workshold_http::body;
use workshold_http::body::BodyError;
use workshold_http::write_progress::WriteProgress;
use workshold_platform::names;
use workshold_platform::prompt;
use workshold_protocol::Millis;
use workshold_protocol::ids::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::callers::reading;
use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::node::Reader;
use crate::node::ReaderKind;
use crate::proxy;

/// A request that passed routing and authorization, with all that proxying it needs.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The id that the caller gave this attempt; empty if it gave none.
    pub id: SmolStr,
    /// The route that matched its host and path.
    pub route: Arc<Route>,
    /// The upstream service that was drawn from the route's targets.
    pub service: ServiceName,
    /// The HTTP method, unchanged.
    pub method: Method,
    /// The path and query, unchanged.
    pub path: SmolStr,
    /// The headers for the upstream, except those that differ between attempts.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Identifies its content, whatever its id.
    pub fingerprint: Fingerprint,
    /// Its keys in the quarantine: its content first, then the shared parts of its prompt.
    pub request_keys: Arc<[RequestKey]>,
    /// Hash of the team's name, or of the empty string without a team.
    pub caller: u32,
    /// Rank of its team and route, 0 to [`LOWEST_URGENCY`]; 0 goes first.
    pub rank: u8,
    /// The model that it names, if any.
    pub model: Option<SmolStr>,
    /// Tokens of the prompt, as the caller states them; 0 if it does not.
    pub prompt_tokens: f64,
    /// The last event that the caller already has of the stream that it resumes.
    pub last_event_id: Option<u64>,
    /// When the request arrived.
    pub received_at: Millis,
    /// The deadline.
    pub deadline: Millis,
}

impl AdmittedRequest {
    /// Time left before the deadline at `now`.
    pub fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

/// Timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(10);
/// `Retry-After` if this node lacks what it needs to route or authorize a request.
const RETRY_AFTER_NOT_READY: Millis = Millis(400);
/// `Retry-After` while this node is stopping: the caller can retry at another node at once.
const RETRY_AFTER_STOPPING: Millis = Millis(20);
/// Urgency orders by the team's rank first, then the route's; each team rank spans this many route
/// ranks.
const ROUTE_RANKS_PER_TEAM_RANK: u8 = 3;
/// The lowest urgency that the header takes; 0 is the highest.
pub const LOWEST_URGENCY: u8 = 9;

/// Handles one request of a caller.
pub async fn handle(node: Arc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    let reader = add_reader(&node, &req);
    let guard = node.begin_request();
    let guard = match &reader {
        Some(reader) => guard.with_reader(Arc::clone(reader)),
        None => guard,
    };
    node.note_traffic();
    let mut res = match admit(&node, req).await {
        Ok(request) => proxy::run(&node, request, guard).await,
        Err(res) => *res,
    };
    if node.is_closing() {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    match reader {
        Some(reader) => reading::report(node, reader, res),
        None => res,
    }
}

/// Adds the caller as the reader of its answer, if the server observes its connection.
fn add_reader(node: &Node, req: &Request<Incoming>) -> Option<Arc<Reader>> {
    let progress = req.extensions().get::<Arc<WriteProgress>>()?;
    let id = header_text(req.headers(), &names::REQUEST_ID).unwrap_or_default();
    Some(node.add_reader(ReaderKind::Caller, id, Arc::clone(progress)))
}

/// Routes, authorizes and reads a request; the error is the response that refuses it.
async fn admit(
    node: &Node,
    req: Request<Incoming>,
) -> Result<AdmittedRequest, Box<Response<ResponseBody>>> {
    let received_at = node.now();
    let (parts, incoming) = req.into_parts();
    let serving_config = node.serving_config();
    let serving_config =
        serving_config.ok_or_else(|| refuse("this node has no configuration yet"))?;
    let id = header_text(&parts.headers, &names::REQUEST_ID).unwrap_or_default();
    let host = header_text(&parts.headers, &header::HOST);
    let host = host.or_else(|| parts.uri.authority().map(|host| SmolStr::new(host.as_str())));
    let path = parts.uri.path();
    let route = host.as_deref().and_then(|host| serving_config.route(host, path));
    let route = route.ok_or_else(|| deny(&id, StatusCode::NOT_FOUND, "no such route"))?;
    let timeout = timeout_of(&parts.headers).min(route.timeout);
    let deadline = received_at + timeout;
    if !node.accepts(deadline) {
        return Err(refuse_stopping(&id));
    }
    let team = authorize(node, &serving_config, route, &parts.headers, &id)?;
    let body = read_body(incoming, &serving_config, timeout).await.map_err(Box::new)?;
    let draw = xxh3_64(id.as_bytes());
    let service = route.target(draw);
    let service = service.ok_or_else(|| refuse("the route has no service"))?.clone();
    let mut headers = parts.headers;
    let model = header_text(&headers, &names::MODEL);
    let prompt_tokens = prompt_tokens(&headers);
    let last_event_id =
        header_text(&headers, &names::LAST_EVENT_ID).and_then(|text| text.parse().ok());
    let rank = team.as_ref().map_or(0, |(_, rank)| *rank);
    let path = parts.uri.path_and_query().map_or(path, |path| path.as_str());
    let caller = team.as_ref().map(|(name, _)| name.as_str());
    let fingerprint = Fingerprint::of(caller, path, &body);
    let caller = quarantine::name_hash(caller.unwrap_or_default());
    let request_keys = request_keys(fingerprint, caller, &headers);
    let rank = urgency(rank, route.priority);
    set_upstream_headers(&mut headers, team.map(|(name, _)| name), rank);
    Ok(AdmittedRequest {
        id,
        route: Arc::clone(route),
        service,
        method: parts.method,
        path: SmolStr::new(path),
        headers,
        body,
        fingerprint,
        request_keys,
        caller,
        rank,
        model,
        prompt_tokens,
        last_event_id,
        received_at,
        deadline,
    })
}

/// Refuses a request with a `Retry-After`, because this node cannot judge it now.
fn refuse(text: &'static str) -> Box<Response<ResponseBody>> {
    Box::new(responses::not_run(text, RETRY_AFTER_NOT_READY))
}

/// Refuses a request because this node is stopping. Others serve, so the caller need not wait.
fn refuse_stopping(id: &str) -> Box<Response<ResponseBody>> {
    let why = "this node is stopping";
    emit(Event::RequestNotRun, &[("request", id), ("why", why)]);
    Box::new(responses::not_run(why, RETRY_AFTER_STOPPING))
}

/// Rejects a request for a reason that a retry does not change.
fn deny(id: &str, status: StatusCode, text: &'static str) -> Box<Response<ResponseBody>> {
    let fields = [("request", id), ("why", text), ("status", status.as_str())];
    emit(Event::RequestNotRun, &fields);
    Box::new(responses::plain_text(status, text))
}

/// The name of a team and its rank; 0 goes first.
type TeamAndRank = (SmolStr, u8);

/// Finds the team of a request by its key; `None` if the route needs no key.
fn authorize(
    node: &Node,
    serving_config: &ServingConfig,
    route: &Route,
    headers: &HeaderMap,
    id: &str,
) -> Result<Option<TeamAndRank>, Box<Response<ResponseBody>>> {
    if serving_config.needs_key(route) && !node.are_keys_trusted() {
        let why = "keys may be out of date here";
        emit(Event::RequestNotRun, &[("request", id), ("why", why)]);
        return Err(refuse(why));
    }
    let key = header_text(headers, &names::API_KEY);
    match serving_config.caller(route, key.as_deref()) {
        Caller::Anonymous => Ok(None),
        Caller::Team(team) => Ok(Some((SmolStr::new(team.name.as_str()), team.priority))),
        Caller::Unknown => Err(deny(id, StatusCode::UNAUTHORIZED, "the key is not known")),
    }
}

/// The urgency for the upstream, 0 to [`LOWEST_URGENCY`], from the ranks of team and route.
fn urgency(team: u8, route: u8) -> u8 {
    let route = route.min(ROUTE_RANKS_PER_TEAM_RANK - 1);
    team.saturating_mul(ROUTE_RANKS_PER_TEAM_RANK).saturating_add(route).min(LOWEST_URGENCY)
}

/// How long the caller waits, as it states in milliseconds, or [`DEFAULT_TIMEOUT`].
fn timeout_of(headers: &HeaderMap) -> Millis {
    let timeout = header_text(headers, &names::TIME_LEFT).and_then(|text| text.parse::<f64>().ok());
    timeout.map_or(DEFAULT_TIMEOUT, |ms| Millis(ms.max(0.0) as u64))
}

/// The prompt's count of tokens, which is the first of the two that the caller states.
fn prompt_tokens(headers: &HeaderMap) -> f64 {
    let counts = header_text(headers, &names::TOKEN_COUNTS);
    let prompt = counts.as_deref().and_then(|counts| counts.split(',').next());
    prompt.and_then(|prompt| prompt.trim().parse().ok()).unwrap_or(0.0)
}

/// The most tokens that are generated, which is the second count that the caller states.
pub fn generated_tokens_max(headers: &HeaderMap) -> Option<u64> {
    let counts = header_text(headers, &names::TOKEN_COUNTS)?;
    counts.split(',').nth(1)?.trim().parse().ok()
}

/// The keys of a request in the quarantine.
fn request_keys(fingerprint: Fingerprint, caller: u32, headers: &HeaderMap) -> Arc<[RequestKey]> {
    let parts = prompt::shared_parts(headers);
    let parts = parts.iter().map(|id| Fingerprint::of_prompt_part(id));
    let parts = parts.map(|part| RequestKey::prompt_part(part, caller));
    iter::once(RequestKey::content(fingerprint, caller)).chain(parts).collect()
}

/// The value of a header, if it is there and is visible ASCII.
fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(SmolStr::new)
}

/// Reads the body within the limits of the configuration; the error is the response that refuses
/// it.
async fn read_body(
    incoming: Incoming,
    serving_config: &ServingConfig,
    timeout: Millis,
) -> Result<Bytes, Response<ResponseBody>> {
    let within = timeout.min(serving_config.limits.idle_time).to_duration();
    // A body whose stated length is too long is refused before it is read.
    if incoming.size_hint().lower() > serving_config.limits.body_len as u64 {
        return Err(responses::plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    body::read(incoming, serving_config.limits.body_len, within).await.map_err(|err| match err {
        BodyError::TooLarge(_) => {
            responses::plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        }
        BodyError::TooSlow(_) => {
            responses::plain_text(StatusCode::REQUEST_TIMEOUT, "the body did not come")
        }
        BodyError::Broken => responses::plain_text(StatusCode::BAD_REQUEST, "the body broke off"),
    })
}

/// Turns the caller's headers into those for the upstream: removes hop-by-hop headers and those
/// that only the node may set, and adds the team and urgency.
fn set_upstream_headers(headers: &mut HeaderMap, team: Option<SmolStr>, urgency: u8) {
    responses::remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    headers.remove(names::API_KEY);
    headers.remove(names::TEAM);
    headers.remove(names::EXPECTED_INSTANCE);
    headers.remove(names::URGENCY);
    headers.remove(names::TIME_LEFT);
    if let Some(team) = team.and_then(|team| HeaderValue::from_str(&team).ok()) {
        headers.insert(names::TEAM, team);
    }
    headers.insert(names::URGENCY, HeaderValue::from(u16::from(urgency)));
}
