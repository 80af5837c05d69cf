//! A caller's request, from its head to what is to be done for it.

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
use workshold_platform::names;
use workshold_protocol::Millis;
use workshold_protocol::ids::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::proxy;

/// A request that is allowed, and all that is needed to carry it to an upstream.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// The caller's name for it.
    pub id: SmolStr,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that takes it.
    pub service: ServiceName,
    /// Its method.
    pub method: Method,
    /// Its path and query, unchanged.
    pub path: SmolStr,
    /// Its headers as upstreams get them, but for those of one attempt.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it asks, whatever its id.
    pub fingerprint: Fingerprint,
    /// Who asks, as a mark.
    pub caller: u32,
    /// The model that it is for.
    pub model: Option<SmolStr>,
    /// Tokens of its prompt, by the caller's word.
    pub prompt_tokens: f64,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// When it came.
    pub received_at: Millis,
    /// When its time is up.
    pub deadline: Millis,
}

impl AdmittedRequest {
    /// The request as it is told from others.
    pub fn request_key(&self) -> RequestKey {
        RequestKey { fingerprint: self.fingerprint, caller: self.caller }
    }

    /// Time that is left at `now`.
    pub fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

/// Waits for a caller who names no time of its own.
const USUAL_TIME: Millis = Millis::from_secs(10);
/// When to come back if this node lacks what it needs to judge a request.
const COME_BACK: Millis = Millis(400);
/// When to come back, to another node.
const COME_BACK_ELSEWHERE: Millis = Millis(20);
/// A team's rank goes before a route's: this many ranks of a route are one of a team.
const ROUTE_RANKS: u8 = 3;
const LEAST_URGENT: u8 = 9;

/// Answers one request.
pub async fn answer(node: Arc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    let guard = node.begin_request();
    node.note_traffic();
    let mut res = match prepare(&node, req).await {
        Ok(job) => proxy::run(&node, job, guard).await,
        Err(res) => *res,
    };
    if node.is_closing() {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    res
}

async fn prepare(
    node: &Node,
    req: Request<Incoming>,
) -> Result<AdmittedRequest, Box<Response<ResponseBody>>> {
    let received_at = node.now();
    let (parts, incoming) = req.into_parts();
    let serving_config = node.serving_config();
    let serving_config =
        serving_config.ok_or_else(|| refuse("this node has no configuration yet"))?;
    let id = text(&parts.headers, &names::REQUEST_ID).unwrap_or_default();
    let host = text(&parts.headers, &header::HOST);
    let host = host.or_else(|| parts.uri.authority().map(|host| SmolStr::new(host.as_str())));
    let path = parts.uri.path();
    let route = host.as_deref().and_then(|host| serving_config.route(host, path));
    let route = route.ok_or_else(|| deny(&id, StatusCode::NOT_FOUND, "no such route"))?;
    if !node.takes(route.kind) {
        return Err(refuse_stopping(&id));
    }
    let team = authorize(node, &serving_config, route, &parts.headers, &id)?;
    let time = time_of(&parts.headers).min(route.timeout);
    let body = read_body(incoming, &serving_config, time).await.map_err(Box::new)?;
    let draw = xxh3_64(id.as_bytes());
    let service = route.target(draw);
    let service = service.ok_or_else(|| refuse("the route has no service"))?.clone();
    let mut headers = parts.headers;
    let model = text(&headers, &names::MODEL);
    let prompt_tokens = prompt_tokens(&headers);
    let last_event_id = text(&headers, &names::LAST_EVENT).and_then(|text| text.parse().ok());
    let rank = team.as_ref().map_or(0, |(_, rank)| *rank);
    let path = parts.uri.path_and_query().map_or(path, |path| path.as_str());
    let caller = team.as_ref().map(|(name, _)| name.as_str());
    let fingerprint = Fingerprint::of(caller, path, &body);
    let caller = quarantine::name_hash(caller.unwrap_or_default());
    set_headers(&mut headers, team.map(|(name, _)| name), urgency(rank, route.priority));
    Ok(AdmittedRequest {
        id,
        route: Arc::clone(route),
        service,
        method: parts.method,
        path: SmolStr::new(path),
        headers,
        body,
        fingerprint,
        caller,
        model,
        prompt_tokens,
        last_event_id,
        received_at,
        deadline: received_at + time,
    })
}

fn refuse(text: &'static str) -> Box<Response<ResponseBody>> {
    Box::new(responses::not_run(text, COME_BACK))
}

/// Others serve: the caller need not wait to go there.
fn refuse_stopping(id: &str) -> Box<Response<ResponseBody>> {
    let why = "this node is stopping";
    emit(Event::RequestNotRun, &[("request", id), ("why", why)]);
    Box::new(responses::not_run(why, COME_BACK_ELSEWHERE))
}

fn deny(id: &str, status: StatusCode, text: &'static str) -> Box<Response<ResponseBody>> {
    let fields = [("request", id), ("why", text), ("status", status.as_str())];
    emit(Event::RequestNotRun, &fields);
    Box::new(responses::own(status, text))
}

type TeamAndRank = (SmolStr, u8);

/// Whose a request is, if it may be believed.
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
    let key = text(headers, &names::KEY);
    match serving_config.caller(route, key.as_deref()) {
        Caller::Anonymous => Ok(None),
        Caller::Team(team) => Ok(Some((SmolStr::new(team.name.as_str()), team.priority))),
        Caller::Unknown => Err(deny(id, StatusCode::UNAUTHORIZED, "the key is not known")),
    }
}

fn urgency(team: u8, route: u8) -> u8 {
    let route = route.min(ROUTE_RANKS - 1);
    team.saturating_mul(ROUTE_RANKS).saturating_add(route).min(LEAST_URGENT)
}

fn time_of(headers: &HeaderMap) -> Millis {
    let time = text(headers, &names::TIME_LEFT).and_then(|text| text.parse::<f64>().ok());
    time.map_or(USUAL_TIME, |ms| Millis(ms.max(0.0) as u64))
}

/// The first of the two counts that the caller tells.
fn prompt_tokens(headers: &HeaderMap) -> f64 {
    let counts = text(headers, &names::TOKEN_COUNTS);
    let prompt = counts.as_deref().and_then(|counts| counts.split(',').next());
    prompt.and_then(|prompt| prompt.trim().parse().ok()).unwrap_or(0.0)
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(SmolStr::new)
}

async fn read_body(
    incoming: Incoming,
    serving_config: &ServingConfig,
    time: Millis,
) -> Result<Bytes, Response<ResponseBody>> {
    let within = time.min(serving_config.limits.idle_time).to_duration();
    // A length that is too long by its own word need not be waited for.
    if incoming.size_hint().lower() > serving_config.limits.body_len as u64 {
        return Err(responses::own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    body::read(incoming, serving_config.limits.body_len, within).await.map_err(|err| match err {
        BodyError::TooLarge(_) => {
            responses::own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        }
        BodyError::TooSlow(_) => {
            responses::own(StatusCode::REQUEST_TIMEOUT, "the body did not come")
        }
        BodyError::Broken => responses::own(StatusCode::BAD_REQUEST, "the body broke off"),
    })
}

/// Sets what upstreams are told beyond the caller's own headers.
fn set_headers(headers: &mut HeaderMap, team: Option<SmolStr>, urgency: u8) {
    responses::strip(headers);
    headers.remove(header::EXPECT);
    headers.remove(names::KEY);
    headers.remove(names::TEAM);
    headers.remove(names::ONLY_AT);
    headers.remove(names::URGENCY);
    headers.remove(names::TIME_LEFT);
    if let Some(team) = team.and_then(|team| HeaderValue::from_str(&team).ok()) {
        headers.insert(names::TEAM, team);
    }
    headers.insert(names::URGENCY, HeaderValue::from(u16::from(urgency)));
}
