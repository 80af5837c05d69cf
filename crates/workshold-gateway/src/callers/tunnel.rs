//! Opens connections for other nodes to instances that those cannot reach, and forwards them.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use smol_str::SmolStr;
use workshold_core::hosted::identity::Identity;
use workshold_http::tunnel;
use workshold_protocol::Millis;

use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::metrics::Metric;
use crate::node::ConnectError;
use crate::node::Node;

/// Time to connect to an instance for another node: shorter than that node waits.
const CONNECT_TIMEOUT: Millis = Millis(20);
/// Longest life of a tunnel.
const LIFETIME_MAX: Duration = Duration::from_secs(60);

/// Handles a request to open a connection to an instance. Only instances of the list are connected
/// to, only by this node itself, and only while it reaches instances and is not about to stop.
pub async fn handle(node: Arc<Node>, req: Request<Incoming>) -> Response<ResponseBody> {
    let refuse = |status, why| {
        node.metrics.count(Metric::TunnelsRefused);
        responses::plain_text(status, why)
    };
    let address = req.uri().authority().map(|authority| SmolStr::new(authority.as_str()));
    let Some((id, address)) = address.and_then(|address| listed_instance(&node, address)) else {
        return refuse(StatusCode::FORBIDDEN, "no instance has this address");
    };
    if node.is_leaving() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "this node is stopping");
    }
    if node.is_cut_off() || node.is_path_lost(&id) {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "this node does not reach it either");
    }
    let Some(permit) = node.tunnel_permit() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "this node has as many tunnels as it may");
    };
    if node.suspicions.lock().is_unreachable_from_here(&id) {
        return refuse(tunnel::SILENT, "this node does not reach it");
    }
    let connection = match node.connect_direct(&id, &address, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(ConnectError::Refused) => return refuse(tunnel::REFUSED, "it refuses connections"),
        Err(_) => return refuse(tunnel::SILENT, "it does not answer"),
    };
    node.metrics.count(Metric::TunnelsOpened);
    let time_left = time_left(&req);
    let res = tunnel::accept(&req, responses::full_body(Default::default()));
    let guard = node.begin_request();
    tokio::spawn(async move {
        // A connection that breaks is noticed by the node that asked for it.
        let _ = crate::tunnel::forward(req, connection.stream, time_left).await;
        drop((guard, permit));
    });
    res
}

/// The instance of the list that listens at an address.
fn listed_instance(node: &Node, address: SmolStr) -> Option<(Identity, SmolStr)> {
    let list = node.list.lock();
    let entry = list.roster.iter().find(|entry| entry.instance.address == address)?;
    Some((entry.instance.identity.clone(), address))
}

/// How long the connection may last, as the other node says.
fn time_left(req: &Request<Incoming>) -> Duration {
    let stated = req.headers().get(tunnel::TIME_LEFT).and_then(|value| value.to_str().ok());
    let stated = stated.and_then(|text| text.parse().ok()).map(Duration::from_millis);
    stated.map_or(LIFETIME_MAX, |time| time.min(LIFETIME_MAX))
}
