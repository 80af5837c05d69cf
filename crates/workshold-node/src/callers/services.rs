//! Proxies requests to plain services: HTTP back ends beside the models, each with a
//! path prefix of its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use tokio::time::timeout;
use workshold_core::lifecycle::Event;
use workshold_core::lifecycle::Next;
use workshold_core::lifecycle::Repeatability;
use workshold_core::lifecycle::RequestLifecycle;
use workshold_core::lifecycle::RequestResult;
use workshold_core::outlier::OutlierDetector;
use workshold_core::outlier::OutlierRules;
use workshold_core::retry::RetryRules;
use workshold_http::Body;
use workshold_http::body;
use workshold_http::client;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::Service;
use workshold_protocol::engine::NOT_STARTED_HEADER;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;
use workshold_protocol::ids::TeamName;
use workshold_protocol::peer::StoredResponse;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;

use crate::callers::at_most_once;
use crate::callers::authentication;
use crate::callers::check_ready;
use crate::callers::headers::RequestOptions;
use crate::callers::problems;
use crate::callers::read_body;
use crate::key_table::problem_response;
use crate::node::Node;
use crate::requests::InFlight;

/// Load balancing over the instances of one service, as seen by this node.
#[derive(Debug)]
pub struct ServiceBalancer {
    in_flight: BTreeMap<InstanceId, u32>,
    outliers: OutlierDetector<InstanceId>,
}

impl Default for ServiceBalancer {
    fn default() -> Self {
        Self { in_flight: BTreeMap::new(), outliers: OutlierDetector::new(OutlierRules::default()) }
    }
}

impl ServiceBalancer {
    /// Chooses an instance and counts the request there: instances that are not ejected
    /// first, then those in this data centre, then those with the fewest requests from this node.
    fn choose<'a>(
        &mut self,
        listed: &[&'a ListedInstance],
        is_local: impl Fn(&ListedInstance) -> bool,
        now: Millis,
    ) -> Option<&'a ListedInstance> {
        let key = |candidate: &&&ListedInstance| {
            let is_ejected = self.outliers.is_ejected(&candidate.instance, now);
            let load = self.in_flight.get(&candidate.instance).copied().unwrap_or(0);
            (is_ejected, !is_local(candidate), load)
        };
        let chosen = *listed.iter().min_by_key(key)?;
        *self.in_flight.entry(chosen.instance.clone()).or_default() += 1;
        Some(chosen)
    }

    fn on_end(&mut self, instance: &InstanceId, event: Event, took: Millis, now: Millis) {
        if let Some(load) = self.in_flight.get_mut(instance) {
            *load = load.saturating_sub(1);
        }
        match event {
            Event::Done => self.outliers.on_answer(instance, took, now),
            _ => self.outliers.on_failure(instance, now),
        }
    }
}

#[derive(Debug, Clone)]
struct ServiceRequest {
    service: ServiceName,
    team: TeamName,
    method: Method,
    /// Path and query.
    target: String,
    headers: HeaderMap,
    body: Bytes,
    repeatability: Repeatability,
    deadline: Millis,
}

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Request headers that are not forwarded: they apply to one connection only, are set anew
/// for the upstream, or hold the caller's credentials for this node.
const NOT_FORWARDED: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "authorization",
];

/// Serves one request to a plain service.
///
/// # Errors
///
/// The problem to answer with if the request was refused before the first attempt.
pub async fn handle(node: &Arc<Node>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    check_ready(node)?;
    let bundle =
        node.bundle().ok_or_else(|| Problem::not_run(ProblemCode::NotReady, "no bundle"))?;
    let path = req.uri().path().to_owned();
    let (name, service) = find_service(&bundle, &path)
        .ok_or_else(|| Problem::not_run(ProblemCode::NotFound, "there is no such path"))?;
    let team = authentication::find_team(req.headers(), &bundle)?;
    let options = RequestOptions::read(req.headers(), &node.settings.times)?;
    let is_repeatable = service.is_repeatable(req.method().as_str());
    if !is_repeatable && options.idempotency_key.is_none() {
        let why = "this call must not run twice: send a UUID version 7 as Idempotency-Key";
        return Err(Problem::not_run(ProblemCode::KeyRequired, why));
    }
    let time_limit = options.time_limit.min(service.deadline);
    let (parts, incoming) = req.into_parts();
    let request = ServiceRequest {
        service: name.clone(),
        team,
        method: parts.method,
        target: parts.uri.path_and_query().map_or(path, |target| target.as_str().to_owned()),
        headers: parts.headers,
        body: read_body(node, incoming).await?,
        repeatability: if is_repeatable {
            Repeatability::Repeatable
        } else {
            Repeatability::AtMostOnce
        },
        deadline: node.now() + time_limit,
    };
    match options.idempotency_key.filter(|_| !is_repeatable) {
        Some(key) => Ok(run_at_most_once(node, request, key).await),
        None => {
            check_limit(node, &bundle, &request)?;
            Ok(into_response(run_attempts(node, request).await))
        }
    }
}

fn into_response(outcome: Result<StoredResponse, Problem>) -> Response<Body> {
    match outcome {
        Ok(answer) => problems::stored_response(&answer),
        Err(problem) => problems::response(&problem),
    }
}

/// Finds the service whose path is a prefix of `path`, by whole segments.
fn find_service<'a>(bundle: &'a Bundle, path: &str) -> Option<(&'a ServiceName, &'a Service)> {
    bundle.services.iter().find(|(_, service)| {
        let rest = path.strip_prefix(service.path.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}

fn check_limit(node: &Node, bundle: &Bundle, request: &ServiceRequest) -> Result<(), Problem> {
    let now = node.now();
    let taken = node.with_team_limits(&request.team, bundle, |limits| {
        limits.retries.on_request();
        limits.requests.take(1.0, now)
    });
    match taken {
        Some(Err(over_limit)) => {
            let detail = format!("team {} is over its allowance", request.team);
            Err(Problem::not_run(ProblemCode::TeamLimit, detail)
                .retry_after(over_limit.retry_after))
        }
        Some(Ok(())) | None => Ok(()),
    }
}

/// Runs a request with an idempotency key at most once.
async fn run_at_most_once(
    node: &Arc<Node>,
    request: ServiceRequest,
    key: String,
) -> Response<Body> {
    let method = request.method.as_str().as_bytes();
    let keyed = at_most_once::KeyedRequest {
        team: request.team.clone(),
        key,
        digest: at_most_once::digest(&[method, request.target.as_bytes(), &request.body]),
        deadline: request.deadline,
    };
    let runner = Arc::clone(node);
    at_most_once::run(node, keyed, move || async move {
        if let Some(bundle) = runner.bundle() {
            check_limit(&runner, &bundle, &request)
                .map_err(|problem| problem_response(&problem))?;
        }
        run_attempts(&runner, request).await.map_err(|problem| problem_response(&problem))
    })
    .await
}

/// Makes attempts, each at another instance, until the request has a result.
async fn run_attempts(
    node: &Arc<Node>,
    request: ServiceRequest,
) -> Result<StoredResponse, Problem> {
    let _guard = node.in_flight.track(InFlight {
        team: request.team.clone(),
        target: request.service.to_string(),
        group: None,
        since: node.now(),
    });
    let mut lifecycle = RequestLifecycle::new(
        request.repeatability,
        request.deadline,
        RetryRules::default().max_attempts,
    );
    let mut tried = BTreeSet::new();
    loop {
        let attempt = lifecycle.attempt();
        let (event, answer) = run_attempt(node, &request, &mut lifecycle, &mut tried).await;
        let budget = || may_retry(node, &request);
        match lifecycle.on(attempt, event, node.now(), budget) {
            Next::Finish(RequestResult::Answered) => {
                node.counters.answered.add(1);
                return answer.ok_or_else(|| {
                    Problem::may_have_run(ProblemCode::UpstreamFailed, "no answer")
                });
            }
            Next::Finish(RequestResult::NotRun(code)) => {
                node.counters.not_run.add(1);
                return Err(Problem::not_run(code, detail(&lifecycle)).retry_after(RETRY_AFTER));
            }
            Next::Finish(RequestResult::Unknown(code)) => {
                node.counters.unknown.add(1);
                return Err(Problem::may_have_run(code, detail(&lifecycle)));
            }
            Next::TryAgain(_) => node.counters.retries.add(1),
            Next::GoOn => {}
        }
    }
}

/// `Retry-After` for a request that was not run.
const RETRY_AFTER: Millis = Millis(2_000);

fn detail(lifecycle: &RequestLifecycle) -> String {
    format!("after {} attempt(s)", lifecycle.attempt())
}

/// Takes a retry from the team's retry budget; false if it is used up.
fn may_retry(node: &Node, request: &ServiceRequest) -> bool {
    let bundle = node.bundle();
    let taken = bundle
        .and_then(|b| node.with_team_limits(&request.team, &b, |limits| limits.retries.take()));
    taken.unwrap_or(true)
}

/// Makes one attempt at an instance that was not tried yet, and records its outcome.
async fn run_attempt(
    node: &Arc<Node>,
    request: &ServiceRequest,
    lifecycle: &mut RequestLifecycle,
    tried: &mut BTreeSet<InstanceId>,
) -> (Event, Option<StoredResponse>) {
    let started = node.now();
    let Some(chosen) = choose(node, &request.service, tried) else {
        return (Event::NotPlaced(ProblemCode::NoUpstream), None);
    };
    tried.insert(chosen.instance.clone());
    let left = request.deadline.since(started).to_duration();
    let exchanged = timeout(left, exchange(node, request, lifecycle, &chosen.address)).await;
    let (event, answer) = exchanged.unwrap_or((Event::DeadlinePassed, None));
    let now = node.now();
    node.services.with_entry(&request.service, ServiceBalancer::default, |balancer| {
        balancer.on_end(&chosen.instance, event, now.since(started), now);
    });
    (event, answer)
}

/// Chooses an instance of the service that is neither in `tried` nor leaving.
fn choose(
    node: &Node,
    service: &ServiceName,
    tried: &BTreeSet<InstanceId>,
) -> Option<ListedInstance> {
    let list = Arc::clone(&node.list.read());
    let usable: Vec<_> = list
        .iter()
        .filter(|listed| match &listed.kind {
            InstanceKind::Service { service: name } => name == service,
            _ => false,
        })
        .filter(|listed| !listed.leaving && !tried.contains(&listed.instance))
        .collect();
    let is_local = |listed: &ListedInstance| listed.data_centre == node.settings.node.data_centre;
    let now = node.now();
    node.services.with_entry(service, ServiceBalancer::default, |balancer| {
        balancer.choose(&usable, is_local, now).cloned()
    })
}

/// Sends the request to the instance at `address` and reads the whole response.
async fn exchange(
    node: &Node,
    request: &ServiceRequest,
    lifecycle: &mut RequestLifecycle,
    address: &str,
) -> (Event, Option<StoredResponse>) {
    let Ok(connected) = client::connect(address, CONNECT_TIMEOUT).await else {
        return (Event::ConnectFailed, None);
    };
    let attempt = lifecycle.attempt();
    if let Next::Finish(_) = lifecycle.on(attempt, Event::Sending, node.now(), || false) {
        return (Event::DeadlinePassed, None);
    }
    let left = request.deadline.since(node.now()).to_duration();
    let Ok((res, _connection_task)) =
        connected.send(upstream_request(request, address), left).await
    else {
        return (Event::Broken, None);
    };
    if res.headers().contains_key(NOT_STARTED_HEADER) {
        return (Event::RefusedBeforeStart, None);
    }
    let status = res.status().as_u16();
    let content_type = res.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let limited = Limited::new(res.into_body(), node.settings.bounds.answer_len);
    match limited.collect().await {
        Ok(collected) => {
            let body = collected.to_bytes().to_vec();
            (Event::Done, Some(StoredResponse { status, content_type, body }))
        }
        Err(_) => (Event::Broken, None),
    }
}

fn upstream_request(request: &ServiceRequest, address: &str) -> Request<Body> {
    let mut req = Request::new(body::full(request.body.clone()));
    *req.method_mut() = request.method.clone();
    if let Ok(uri) = request.target.parse() {
        *req.uri_mut() = uri;
    }
    let forwarded =
        request.headers.iter().filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()));
    for (name, value) in forwarded {
        req.headers_mut().append(name, value.clone());
    }
    if let Ok(host) = address.parse() {
        req.headers_mut().insert(HOST, host);
    }
    req
}
