//! Handlers for other nodes and operators: configuration, instance list, state, metrics, and the
//! release of quarantined requests.

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::instance_limits::Rate;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::LogPosition;

use crate::VERSION;
use crate::callers::responses;
use crate::callers::responses::ResponseBody;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::tasks::gossip;
use crate::tasks::store_sync;

/// Path of a node's state, for operators.
pub const STATE_PATH: &str = "/state";

/// Path prefix at which operators release a quarantined request; its fingerprint follows.
pub const QUARANTINE_PATH: &str = "/quarantine/";

/// Path of the metrics, as text.
pub const METRICS_PATH: &str = "/metrics";

/// Handles a request of another node or an operator.
pub fn handle(node: &Node, req: &Request<Incoming>) -> Response<ResponseBody> {
    match req.uri().path() {
        gossip::CONFIG_PATH => config(node, usize::MAX),
        gossip::SHORT_CONFIG_PATH => config(node, node.settings().max_shared_config_len()),
        gossip::LIST_PATH => list_records(node, req.uri().query().unwrap_or_default()),
        path if path.starts_with(QUARANTINE_PATH) => release(node, req.method(), path),
        METRICS_PATH => Response::new(responses::full_body(node.metrics.text(node).into())),
        STATE_PATH => Response::new(responses::full_body(state(node).into())),
        _ => responses::plain_text(StatusCode::NOT_FOUND, "no such question"),
    }
}

/// The configuration, for a node that lacks it, unless it is longer than `max_len` bytes.
fn config(node: &Node, max_len: usize) -> Response<ResponseBody> {
    match node.config_bytes() {
        Some(bytes) if bytes.len() > max_len => {
            responses::plain_text(StatusCode::PAYLOAD_TOO_LARGE, "the configuration is long")
        }
        Some(bytes) => Response::new(responses::full_body(bytes)),
        None => responses::plain_text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
    }
}

/// Releases the quarantined request whose fingerprint ends the path.
fn release(node: &Node, method: &Method, path: &str) -> Response<ResponseBody> {
    if method != Method::DELETE {
        return responses::plain_text(StatusCode::METHOD_NOT_ALLOWED, "DELETE lets a request go");
    }
    let name = path.strip_prefix(QUARANTINE_PATH).unwrap_or_default();
    let Ok(fingerprint) = Fingerprint::parse(name) else {
        return responses::plain_text(
            StatusCode::BAD_REQUEST,
            "a fingerprint is a number in base 16",
        );
    };
    if !node.release(fingerprint) {
        return responses::plain_text(
            StatusCode::NOT_FOUND,
            "nothing is held against this fingerprint",
        );
    }
    emit(Event::RequestReleased, &[("fingerprint", name)]);
    responses::plain_text(StatusCode::OK, "it is let go, here and soon at all nodes")
}

/// The list records from position `from=ERA.OFFSET` of the query on, for a node that lacks them.
fn list_records(node: &Node, query: &str) -> Response<ResponseBody> {
    let from = query.strip_prefix("from=").and_then(parse_position).unwrap_or_default();
    let records = store_sync::news(node, from);
    let bytes = postcard::to_stdvec(&records).expect("list records always serialize");
    Response::new(responses::full_body(Bytes::from(bytes)))
}

/// Parses a log position as another node writes it: `ERA.OFFSET`.
fn parse_position(text: &str) -> Option<LogPosition> {
    let (era, offset) = text.split_once('.')?;
    Some(LogPosition { era: Era(era.parse().ok()?), offset: offset.parse().ok()? })
}

/// The node's state as JSON, for operators.
pub fn state(node: &Node) -> String {
    let now = node.now();
    let lease = node.lease.lock().clone();
    let instance_limits = node.instance_limits.lock().clone();
    let cold_instances = node.cold_instances.lock().clone();
    let evacuated: Vec<String> =
        node.evacuations.lock().all(now).map(ToString::to_string).collect();
    let list = node.list.lock();
    let instances: Vec<_> = list
        .roster
        .iter()
        .map(|entry| {
            let membership = entry.instance.membership.as_ref();
            json!({
                "id": entry.instance.identity.as_str(),
                "incarnation": entry.instance.identity.incarnation,
                "is_leaving": entry.is_leaving(),
                "limit_per_s": instance_limits.limit(&entry.instance.identity).map(Rate::as_per_s),
                "rests_ms": instance_limits.backoff_left(&entry.instance.identity, now).0,
                "is_cold": cold_instances.is_cold(&entry.instance.identity, now),
                "is_listed": entry.unlisted_since.is_none(),
                "group": membership.map(|member| member.group.as_str().to_owned()),
                "state": membership.map(|member| format!("{:?}", member.state)),
                "requests": node.loads.of(&entry.instance.identity).requests,
                "unread_tokens": node.loads.of(&entry.instance.identity).unread,
                "usual_gap_ms": node.gaps.lock().mean_ms(&entry.instance.identity),
            })
        })
        .collect();
    let list_age = now.since(list.read_at).0;
    drop(list);
    let peers: Vec<_> = node
        .peers
        .lock()
        .heard(now)
        .map(
            |(address, peer)| json!({ "name": peer.name.as_str(), "address": address.to_string() }),
        )
        .collect();
    let held: Vec<_> = node
        .quarantine
        .lock()
        .quarantined(now)
        .into_iter()
        .map(|(known, until)| {
            json!({
                "kind": known.request_key.kind.to_string(),
                "fingerprint": known.request_key.fingerprint.to_string(),
                "caller": format!("{:08x}", known.request_key.caller),
                "ended": known.ends.len(),
                "for_ms": until.since(now).0,
            })
        })
        .collect();
    let readiness = node.readiness();
    json!({
        "node": node.settings().node.name,
        "version": VERSION,
        "readiness": readiness.map_or_else(|why| why.to_string(), |()| "it serves".to_owned()),
        "config": node.config_age().map(|(version, age)| json!({ "version": version, "age_ms": age.0 })),
        "refuses_stale_keys": node.settings().bounds.refuse_stale_keys,
        "evacuated": evacuated,
        "list_age_ms": list_age,
        "store_age_ms": node.store_silent_for().0,
        "store_era": node.store_monitor.era(),
"lease": { "era": lease.fence.era, "generation": lease.fence.generation, "parts": lease.parts.keys().collect::<Vec<_>>() },
        "requests": node.in_flight(),
        "held": held,
        "peers": peers,
        "instances": instances,
    })
    .to_string()
}
