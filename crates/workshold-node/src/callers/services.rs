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
use crate::callers::headers::Wishes;
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
        is_near: impl Fn(&ListedInstance) -> bool,
        now: Millis,
    ) -> Option<&'a ListedInstance> {
        let key = |one: &&&ListedInstance| {
            let aside = self.outliers.is_ejected(&one.instance, now);
            let load = self.in_flight.get(&one.instance).copied().unwrap_or(0);
            (aside, !is_near(one), load)
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
struct Call {
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
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Request headers that are not forwarded: they apply to one connection only, are set anew
/// for the upstream, or hold the caller's credentials for this node.
const KEPT_HERE: [&str; 9] = [
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
    let (name, service) = find(&bundle, &path)
        .ok_or_else(|| Problem::not_run(ProblemCode::NotFound, "there is no such path"))?;
    let team = authentication::team(req.headers(), &bundle)?;
    let wishes = Wishes::read(req.headers(), &node.settings.times)?;
    let is_repeatable = service.is_repeatable(req.method().as_str());
    if !is_repeatable && wishes.idempotency_key.is_none() {
        let why = "this call must not run twice: send a UUID version 7 as Idempotency-Key";
        return Err(Problem::not_run(ProblemCode::KeyRequired, why));
    }
    let patience = wishes.patience.min(service.deadline);
    let (parts, incoming) = req.into_parts();
    let call = Call {
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
        deadline: node.now() + patience,
    };
    match wishes.idempotency_key.filter(|_| !is_repeatable) {
        Some(key) => Ok(once(node, call, key).await),
        None => {
            check_limit(node, &bundle, &call)?;
            Ok(answer_of(serve(node, call).await))
        }
    }
}

fn answer_of(served: Result<StoredResponse, Problem>) -> Response<Body> {
    match served {
        Ok(answer) => problems::stored_response(&answer),
        Err(problem) => problems::response(&problem),
    }
}

/// Finds the service whose path is a prefix of `path`, by whole segments.
fn find<'a>(bundle: &'a Bundle, path: &str) -> Option<(&'a ServiceName, &'a Service)> {
    bundle.services.iter().find(|(_, service)| {
        let rest = path.strip_prefix(service.path.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    })
}

fn check_limit(node: &Node, bundle: &Bundle, call: &Call) -> Result<(), Problem> {
    let now = node.now();
    let taken = node.with_team_limits(&call.team, bundle, |desk| {
        desk.retries.on_request();
        desk.requests.take(1.0, now)
    });
    match taken {
        Some(Err(over)) => {
            let detail = format!("team {} is over its allowance", call.team);
            Err(Problem::not_run(ProblemCode::TeamLimit, detail).retry_after(over.retry_after))
        }
        Some(Ok(())) | None => Ok(()),
    }
}

/// Runs a request with an idempotency key at most once.
async fn once(node: &Arc<Node>, call: Call, key: String) -> Response<Body> {
    let method = call.method.as_str().as_bytes();
    let keyed = at_most_once::Call {
        team: call.team.clone(),
        key,
        request: at_most_once::digest(&[method, call.target.as_bytes(), &call.body]),
        deadline: call.deadline,
    };
    let runner = Arc::clone(node);
    at_most_once::run(node, keyed, move || async move {
        if let Some(bundle) = runner.bundle() {
            check_limit(&runner, &bundle, &call).map_err(|problem| problem_response(&problem))?;
        }
        serve(&runner, call).await.map_err(|problem| problem_response(&problem))
    })
    .await
}

/// Makes attempts, each at another instance, until the request has a result.
async fn serve(node: &Arc<Node>, call: Call) -> Result<StoredResponse, Problem> {
    let _guard = node.in_flight.track(InFlight {
        team: call.team.clone(),
        target: call.service.to_string(),
        group: None,
        since: node.now(),
    });
    let mut lifecycle = RequestLifecycle::new(
        call.repeatability,
        call.deadline,
        RetryRules::default().max_attempts,
    );
    let mut tried = BTreeSet::new();
    loop {
        let attempt = lifecycle.attempt();
        let (event, answer) = attempt_one(node, &call, &mut lifecycle, &mut tried).await;
        let budget = || may_retry(node, &call);
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
fn may_retry(node: &Node, call: &Call) -> bool {
    let bundle = node.bundle();
    let taken =
        bundle.and_then(|b| node.with_team_limits(&call.team, &b, |desk| desk.retries.take()));
    taken.unwrap_or(true)
}

/// Makes one attempt at an instance that was not tried yet, and records its outcome.
async fn attempt_one(
    node: &Arc<Node>,
    call: &Call,
    lifecycle: &mut RequestLifecycle,
    tried: &mut BTreeSet<InstanceId>,
) -> (Event, Option<StoredResponse>) {
    let started = node.now();
    let Some(chosen) = choose(node, &call.service, tried) else {
        return (Event::NotPlaced(ProblemCode::NoUpstream), None);
    };
    tried.insert(chosen.instance.clone());
    let left = call.deadline.since(started).to_duration();
    let talked = timeout(left, talk(node, call, lifecycle, &chosen.address)).await;
    let (event, answer) = talked.unwrap_or((Event::DeadlinePassed, None));
    let now = node.now();
    node.services.with_entry(&call.service, ServiceBalancer::default, |desk| {
        desk.on_end(&chosen.instance, event, now.since(started), now);
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
            InstanceKind::Service { service: own } => own == service,
            _ => false,
        })
        .filter(|listed| !listed.leaving && !tried.contains(&listed.instance))
        .collect();
    let is_near = |listed: &ListedInstance| listed.data_centre == node.settings.node.data_centre;
    let now = node.now();
    node.services.with_entry(service, ServiceBalancer::default, |desk| {
        desk.choose(&usable, is_near, now).cloned()
    })
}

/// Sends the request to the instance at `address` and reads the whole response.
async fn talk(
    node: &Node,
    call: &Call,
    lifecycle: &mut RequestLifecycle,
    address: &str,
) -> (Event, Option<StoredResponse>) {
    let Ok(connected) = client::connect(address, CONNECT_TIME).await else {
        return (Event::ConnectFailed, None);
    };
    let attempt = lifecycle.attempt();
    if let Next::Finish(_) = lifecycle.on(attempt, Event::Sending, node.now(), || false) {
        return (Event::DeadlinePassed, None);
    }
    let left = call.deadline.since(node.now()).to_duration();
    let Ok((res, _driver)) = connected.send(upstream_request(call, address), left).await else {
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

fn upstream_request(call: &Call, address: &str) -> Request<Body> {
    let mut req = Request::new(body::full(call.body.clone()));
    *req.method_mut() = call.method.clone();
    if let Ok(uri) = call.target.parse() {
        *req.uri_mut() = uri;
    }
    let passed = call.headers.iter().filter(|(name, _)| !KEPT_HERE.contains(&name.as_str()));
    for (name, value) in passed {
        req.headers_mut().append(name, value.clone());
    }
    if let Ok(host) = address.parse() {
        req.headers_mut().insert(HOST, host);
    }
    req
}
