//! Endpoints that tell callers about the deployment: health, entry nodes and models.

use hyper::Response;
use hyper::StatusCode;
use serde::Serialize;
use workshold_core::membership::EntryAddress;
use workshold_http::Body;
use workshold_http::body;
use workshold_protocol::Millis;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::node::Node;

#[derive(Debug, Serialize)]
struct Health {
    ready: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    why_not: Option<String>,
}

#[derive(Debug, Serialize)]
struct Entries {
    entries: Vec<EntryAddress>,
    ttl_ms: Millis,
}

#[derive(Debug, Serialize)]
struct Models {
    object: &'static str,
    data: Vec<ModelRow>,
}

#[derive(Debug, Serialize)]
struct ModelRow {
    id: String,
    object: &'static str,
    version: String,
    adapters: Vec<String>,
    serving: bool,
}

/// `GET /health`: 200 if this node serves callers, otherwise 503 with the reason.
pub fn health(node: &Node) -> Response<Body> {
    match node.readiness() {
        Ok(()) => body::json(StatusCode::OK, &Health { ready: true, why_not: None }),
        Err(why) => {
            let health = Health { ready: false, why_not: Some(why.to_string()) };
            body::json(StatusCode::SERVICE_UNAVAILABLE, &health)
        }
    }
}

/// `GET /v1/entries`: the addresses of entry nodes with their weights, and how long the
/// caller may use the list.
///
/// # Errors
///
/// [`ProblemCode::NotReady`] if this node knows no entry node that serves.
pub fn entries(node: &Node) -> Result<Response<Body>, Problem> {
    let entries = node.entries();
    if entries.is_empty() {
        let problem = Problem::not_run(ProblemCode::NotReady, "no node that serves is known here");
        return Err(problem.retry_after(NOT_READY_RETRY_AFTER));
    }
    let entries = Entries { entries, ttl_ms: node.settings.times.entries_ttl };
    Ok(body::json(StatusCode::OK, &entries))
}

/// `Retry-After` while this node knows no entry node or no bundle.
const NOT_READY_RETRY_AFTER: Millis = Millis(1_000);

/// `GET /v1/models`: the models of the bundle in force, and whether a group serves each.
///
/// # Errors
///
/// [`ProblemCode::NotReady`] if no bundle is in force here.
pub fn models(node: &Node) -> Result<Response<Body>, Problem> {
    let bundle = node.bundle().ok_or_else(|| {
        Problem::not_run(ProblemCode::NotReady, "no bundle is in force here")
            .retry_after(NOT_READY_RETRY_AFTER)
    })?;
    let (table, now) = (std::sync::Arc::clone(&node.serving.read()), node.now());
    let rows = bundle.models.iter().map(|(name, model)| ModelRow {
        id: name.to_string(),
        object: "model",
        version: model.version.to_string(),
        adapters: model.adapters.iter().map(ToString::to_string).collect(),
        serving: table.groups_for(name, now).next().is_some(),
    });
    Ok(body::json(StatusCode::OK, &Models { object: "list", data: rows.collect() }))
}
