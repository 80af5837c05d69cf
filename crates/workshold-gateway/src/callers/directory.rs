//! Which addresses callers use, and whether this node serves.

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use rand::Rng;
use workshold_platform::face;
use workshold_platform::face::Question;
use workshold_platform::names;

use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::node::Node;

/// With fewer nodes than this in a caller's data centre, others are named as well:
/// the loss of one must not leave a caller without any.
const LEAST_NEAR: usize = 2;

/// Answers callers who ask which addresses to use.
pub fn answer(node: &Node, req: &Request<Incoming>) -> Response<ResponseBody> {
    if req.uri().path() != names::RESOLVE_PATH {
        return responses::own(StatusCode::NOT_FOUND, "no such question");
    }
    let question = Question::parse(req.uri().query().unwrap_or_default());
    let addresses = addresses(node, question.data_centre);
    if addresses.is_empty() {
        return responses::own(StatusCode::SERVICE_UNAVAILABLE, "no node serves now");
    }
    let body: Bytes = face::addresses(&addresses, node.settings().addresses_good_s());
    let mut res = Response::new(responses::whole(body));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// Nodes that serve: those of the caller's data centre, if there are enough.
fn addresses(node: &Node, data_centre: Option<&str>) -> Vec<String> {
    let settings = node.settings();
    let mut all = Vec::new();
    if node.readiness().is_ok() {
        let own = settings.node.data_centre.as_str().to_owned();
        all.push((own, settings.listen.callers.to_string()));
    }
    let peers = node.peers.lock();
    for (_, peer) in peers.heard(node.now()) {
        if peer.heartbeat.is_ready {
            all.push((peer.heartbeat.data_centre.to_string(), peer.heartbeat.callers.to_string()));
        }
    }
    drop(peers);
    let near = all.iter().filter(|(place, _)| Some(place.as_str()) == data_centre);
    let near: Vec<String> = near.map(|(_, address)| address.clone()).collect();
    let mut chosen = if near.len() >= LEAST_NEAR {
        near
    } else {
        all.into_iter().map(|(_, address)| address).collect()
    };
    // Each answer names others first, or all callers would go to the same ones.
    let turn = rand::rng().random_range(0..chosen.len().max(1));
    chosen.rotate_left(turn);
    chosen.truncate(face::MOST_ADDRESSES);
    chosen
}

/// Answers the platform's question whether this node serves.
pub fn readiness(node: &Node, req: &Request<Incoming>) -> Response<ResponseBody> {
    if req.uri().path() != names::READY_PATH {
        return responses::own(StatusCode::NOT_FOUND, "no such question");
    }
    match node.readiness() {
        Ok(()) => responses::own(StatusCode::OK, "it serves"),
        Err(_) => responses::own(StatusCode::SERVICE_UNAVAILABLE, "it does not serve"),
    }
}
