//! HTTP API for callers: completions, plain services, resuming and cancelling streams,
//! and information about the node.

pub mod at_most_once;
pub mod authentication;
pub mod completions;
pub mod engine_stream;
pub mod generation;
pub mod headers;
pub mod info;
pub mod problems;
pub mod resume;
pub mod services;
pub mod sse;

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use workshold_http::Body;
use workshold_http::body;
use workshold_http::body::BodyError;
use workshold_protocol::Millis;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::callers::completions::CompletionFormat;
use crate::node::Node;
use crate::node::Unready;

/// Answers one request of a caller; problems become `application/problem+json`.
pub async fn handle(node: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    node.counters.requests.add(1);
    match route(&node, req).await {
        Ok(res) => res,
        Err(problem) => problems::response(&problem),
    }
}

async fn route(node: &Arc<Node>, req: Request<Incoming>) -> Result<Response<Body>, Problem> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/health") => Ok(info::health(node)),
        (&Method::GET, "/v1/entries") => info::entries(node),
        (&Method::GET, "/v1/models") => info::models(node),
        (&Method::POST, "/v1/completions") => {
            completions::handle(node, req, CompletionFormat::Text).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            completions::handle(node, req, CompletionFormat::Chat).await
        }
        (method, path) => match path.strip_prefix("/v1/requests/") {
            Some(id) if method == Method::GET => resume::resume(node, &req, id).await,
            Some(id) if method == Method::DELETE => resume::cancel(node, &req, id).await,
            Some(_) => Err(wrong_method("GET or DELETE")),
            None => other(node, req, path).await,
        },
    }
}

async fn other(
    node: &Arc<Node>,
    req: Request<Incoming>,
    path: &str,
) -> Result<Response<Body>, Problem> {
    match path {
        "/health" | "/v1/entries" | "/v1/models" => Err(wrong_method("GET")),
        "/v1/completions" | "/v1/chat/completions" => Err(wrong_method("POST")),
        _ => services::handle(node, req).await,
    }
}

fn wrong_method(right: &str) -> Problem {
    Problem::not_run(ProblemCode::MethodNotAllowed, format!("this path takes {right}"))
}

/// Checks that this node serves.
///
/// # Errors
///
/// The final answer if it doesn't, with the addresses of nodes that do.
fn check_ready(node: &Node) -> Result<(), Problem> {
    let Err(why) = node.can_serve() else { return Ok(()) };
    let code = if why == Unready::Leaving { ProblemCode::Leaving } else { ProblemCode::NotReady };
    let mut problem = Problem::not_run(code, why.to_string()).retry_after(RETRY_ELSEWHERE);
    problem.entries = node.entries().into_iter().map(|entry| entry.address).collect();
    Err(problem)
}

/// Retry-After of a node that doesn't serve; other nodes can be tried at once.
const RETRY_ELSEWHERE: Millis = Millis(1_000);

/// Reads a request's body within the node's limits of size and time.
///
/// # Errors
///
/// The final answer for a body that is too large, too slow or incomplete.
async fn read_body(node: &Node, body: Incoming) -> Result<bytes::Bytes, Problem> {
    let bounds = &node.settings.bounds;
    let read = body::read(body, bounds.body_len, bounds.read_time.to_duration()).await;
    read.map_err(|err| {
        let code = match err {
            BodyError::TooLarge(_) => ProblemCode::TooLarge,
            BodyError::TooSlow(_) | BodyError::Broken => ProblemCode::BadRequest,
        };
        Problem::not_run(code, err.to_string())
    })
}
