//! Handlers that tell callers which addresses to use, and the platform whether this node is ready.

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use rand::Rng;
use workshold_platform::names;
use workshold_platform::resolve;
use workshold_platform::resolve::ResolveQuery;

use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::node::Node;

/// With fewer ready nodes than this in a caller's data centre, nodes of others are named as well,
/// so that the loss of one does not leave the caller without any.
const NEAR_NODES_MIN: usize = 2;

/// Handles a caller's request for the addresses to use.
pub fn handle(node: &Node, req: &Request<Incoming>) -> Response<ResponseBody> {
    if req.uri().path() != names::RESOLVE_PATH {
        return responses::plain_text(StatusCode::NOT_FOUND, "no such question");
    }
    let question = ResolveQuery::parse(req.uri().query().unwrap_or_default());
    let addresses = addresses(node, question.data_centre);
    if addresses.is_empty() {
        return responses::plain_text(StatusCode::SERVICE_UNAVAILABLE, "no node serves now");
    }
    let body: Bytes = resolve::encode_addresses(&addresses, node.settings().address_ttl_s());
    let mut res = Response::new(responses::full_body(body));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// The addresses of ready nodes: of the caller's data centre, or of all if it has too few.
fn addresses(node: &Node, data_centre: Option<&str>) -> Vec<String> {
    let settings = node.settings();
    let mut all = Vec::new();
    if node.readiness().is_ok() {
        let own_data_centre = settings.node.data_centre.as_str().to_owned();
        all.push((own_data_centre, settings.listen.callers.to_string()));
    }
    let peers = node.peers.lock();
    for (_, peer) in peers.heard(node.now()) {
        if peer.heartbeat.is_ready {
            all.push((peer.heartbeat.data_centre.to_string(), peer.heartbeat.callers.to_string()));
        }
    }
    drop(peers);
    let near = all.iter().filter(|(location, _)| Some(location.as_str()) == data_centre);
    let near: Vec<String> = near.map(|(_, address)| address.clone()).collect();
    let mut chosen = if near.len() >= NEAR_NODES_MIN {
        near
    } else {
        all.into_iter().map(|(_, address)| address).collect()
    };
    // Each response starts at another node, or all callers would use the same ones first.
    let start = rand::rng().random_range(0..chosen.len().max(1));
    chosen.rotate_left(start);
    chosen.truncate(resolve::MAX_ADDRESSES);
    chosen
}

/// Handles the platform's readiness check.
pub fn readiness(node: &Node, req: &Request<Incoming>) -> Response<ResponseBody> {
    if req.uri().path() != names::READY_PATH {
        return responses::plain_text(StatusCode::NOT_FOUND, "no such question");
    }
    match node.readiness() {
        Ok(()) => responses::plain_text(StatusCode::OK, "it serves"),
        Err(_) => responses::plain_text(StatusCode::SERVICE_UNAVAILABLE, "it does not serve"),
    }
}
