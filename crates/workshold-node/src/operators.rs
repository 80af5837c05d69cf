//! HTTP API for operators, on its own listener: the node's status and state, and the
//! decisions about a group.

use std::sync::Arc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use workshold_http::Body;
use workshold_http::body;

use crate::callers::info;
use crate::dump;
use crate::node::Node;

/// Answers one request of an operator. All of them only read.
pub async fn handle(node: Arc<Node>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path();
    match (req.method(), path) {
        (&Method::GET, "/health") => info::health(&node),
        (&Method::GET, "/status") => body::json(StatusCode::OK, &dump::status(&node)),
        (&Method::GET, "/debug/state") => body::json(StatusCode::OK, &dump::dump(&node)),
        (&Method::GET, path) => match path.strip_prefix("/explain/") {
            Some(group) => explain(&node, group),
            None => body::json(StatusCode::NOT_FOUND, &"there is no such path"),
        },
        _ => body::json(StatusCode::METHOD_NOT_ALLOWED, &"this listener takes GET only"),
    }
}

fn explain(node: &Node, group: &str) -> Response<Body> {
    match dump::explain(node, group) {
        Some(decisions) => body::json(StatusCode::OK, &decisions),
        None => body::json(StatusCode::NOT_FOUND, &"this node decided nothing about that group"),
    }
}
