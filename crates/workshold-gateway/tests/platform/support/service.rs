//! An instance: an engine that takes orders and streams, or a plain service.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tower::service_fn;
use workshold_http::server;
use workshold_http::server::Bounds;
use workshold_http::server::Stage;

use super::store::FakeStore;

type Reply = Response<UnsyncBoxBody<Bytes, io::Error>>;

/// How an instance treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// As it should.
    Good,
    /// It says that it has not run it.
    Refuses,
    /// It runs it and breaks the connection.
    Breaks,
    /// It runs it and fails.
    Fails,
    /// It answers without its proof.
    Unproved,
    /// It answers to another request.
    Foreign,
    /// It ends a stream within an event, as if that were its end.
    CutsEvent,
    /// It goes on forever.
    Endless,
    /// It answers after several times the goal.
    Slow,
}

/// Events of a stream, and the time between them.
pub const EVENTS: u64 = 30;
const SLOW: Duration = Duration::from_millis(700);
const GAP: Duration = Duration::from_millis(20);

struct Inner {
    name: String,
    service: String,
    address: SocketAddr,
    store: Arc<FakeStore>,
    manner: Mutex<Manner>,
    ran: Mutex<Vec<String>>,
    group: Mutex<Option<Value>>,
    streams: AtomicUsize,
}

/// The stand-in.
pub struct FakeInstance {
    inner: Arc<Inner>,
    stage: watch::Sender<Stage>,
    serving: JoinHandle<usize>,
}

impl FakeInstance {
    pub async fn start(name: &str, service: &str, store: &Arc<FakeStore>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            store: Arc::clone(store),
            manner: Mutex::new(Manner::Good),
            ran: Mutex::default(),
            group: Mutex::default(),
            streams: AtomicUsize::new(0),
        });
        let (stage, rx) = watch::channel(Stage::Running);
        let for_calls = Arc::clone(&inner);
        let answers = service_fn(move |req: Request<Incoming>| {
            let inner = Arc::clone(&for_calls);
            async move { Ok::<_, Infallible>(answer(inner, req).await) }
        });
        let serving = tokio::spawn(server::serve(listener, Bounds::default(), answers, rx));
        inner.state("ready");
        Self { inner, stage, serving }
    }

    pub fn name(&self) -> &str {
        &self.inner.name
    }

    pub fn behave(&self, manner: Manner) {
        *self.inner.manner.lock() = manner;
    }

    /// Ids of the requests that it ran.
    pub fn ran(&self) -> Vec<String> {
        self.inner.ran.lock().clone()
    }

    /// Streams that it works on.
    pub fn streams(&self) -> usize {
        self.inner.streams.load(Ordering::Relaxed)
    }

    /// Ends as a crashed process does: connections break, nothing listens.
    pub fn crash(&self) {
        self.stage.send_replace(Stage::Cutting);
        self.serving.abort();
    }

    /// States that it will end.
    pub fn drain(&self) {
        self.inner.state("draining");
    }
}

impl Inner {
    fn state(&self, state: &str) {
        let group = self.group.lock().clone();
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "a",
            "slots": 17, "state": state, "sequence": 1, "staged": ["m1"],
            "models": if group.is_some() { json!([{ "name": "m1" }]) } else { json!([]) },
        });
        if self.service == "llm" {
            entry["domain"] = json!("a-d0");
        }
        if let Some(group) = group {
            entry["group"] = group;
        }
        self.store.put("keyed.servers", &self.name, &entry.to_string());
    }
}

fn whole(status: StatusCode, text: &str) -> Reply {
    let body = Full::new(Bytes::from(text.to_owned())).map_err(|never| match never {});
    let mut res = Response::new(body.boxed_unsync());
    *res.status_mut() = status;
    res
}

async fn answer(inner: Arc<Inner>, req: Request<Incoming>) -> Reply {
    let (parts, incoming) = req.into_parts();
    let expected = parts.headers.get("x-expected-instance").map(|v| v.to_str().unwrap().to_owned());
    if expected.is_some_and(|expected| expected != inner.name) {
        return whole(StatusCode::MISDIRECTED_REQUEST, "");
    }
    let Ok(body) = incoming.collect().await else { return whole(StatusCode::BAD_REQUEST, "") };
    if parts.uri.path() == "/v1/order" {
        let order: Value = serde_json::from_slice(&body.to_bytes()).unwrap();
        return obey(&inner, &order);
    }
    assert!(parts.headers.get("api-key").is_none(), "no upstream sees a key");
    let id = parts.headers["x-request-id"].to_str().unwrap().to_owned();
    let manner = *inner.manner.lock();
    if manner == Manner::Refuses {
        let mut res = whole(StatusCode::SERVICE_UNAVAILABLE, "");
        res.headers_mut().insert("x-not-executed", "1".parse().unwrap());
        return res;
    }
    inner.ran.lock().push(id.clone());
    if manner == Manner::Slow {
        tokio::time::sleep(SLOW).await;
    }
    let last =
        parts.headers.get("last-event-id").map_or(0, |v| v.to_str().unwrap().parse().unwrap());
    let mut res = match manner {
        Manner::Breaks => broken(),
        Manner::Fails => whole(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        _ if inner.service == "llm" => events(&inner, last, manner),
        _ => whole(StatusCode::OK, &format!("{} {}", inner.name, parts.uri)),
    };
    let echoed = if manner == Manner::Foreign { "another" } else { &id };
    res.headers_mut().insert("x-request-id", echoed.parse().unwrap());
    if manner != Manner::Unproved {
        res.headers_mut().insert("x-response-stamp", inner.name.parse().unwrap());
    }
    res
}

fn broken() -> Reply {
    let pieces = stream::iter([Ok(Frame::data(Bytes::from("part"))), Err(io::Error::other("cut"))]);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(pieces)))
}

struct Streaming(Arc<Inner>);

impl Drop for Streaming {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Ordering::Relaxed);
    }
}

fn events(inner: &Arc<Inner>, last: u64, manner: Manner) -> Reply {
    inner.streams.fetch_add(1, Ordering::Relaxed);
    let guard = Streaming(Arc::clone(inner));
    let end = if manner == Manner::Endless { u64::MAX } else { EVENTS };
    let pieces = stream::unfold((last + 1, guard), move |(id, guard)| async move {
        if id > end {
            return None;
        }
        tokio::time::sleep(GAP).await;
        if manner == Manner::CutsEvent && id == 10 {
            let torn = Ok(Frame::data(Bytes::from("id: 10\nda")));
            return Some((torn, (u64::MAX, guard)));
        }
        let event = format!("id: {id}\ndata: token {id}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), (id + 1, guard)))
    });
    let mut res = Response::new(BodyExt::boxed_unsync(StreamBody::new(pieces)));
    res.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
    res
}

fn obey(inner: &Inner, order: &Value) -> Reply {
    let own = inner.group.lock().clone();
    let is_own = own.as_ref().is_some_and(|own| own["epoch"] == order["epoch"]);
    let state = |state: &str| {
        if let Some(group) = inner.group.lock().as_mut() {
            group["state"] = json!(state);
        }
    };
    match order["operation"].as_str().unwrap() {
        "join" => {
            let members = order["members"].as_array().unwrap();
            let rank = members.iter().position(|id| id == &json!(inner.name)).unwrap();
            *inner.group.lock() = Some(json!({
                "name": order["group"], "epoch": order["epoch"], "rank": rank, "state": "ready"
            }));
        }
        "open" if is_own => state("open"),
        "close" if is_own => state("ready"),
        "leave" if is_own => *inner.group.lock() = None,
        "stage" => {}
        _ => return whole(StatusCode::CONFLICT, ""),
    }
    inner.state("ready");
    whole(StatusCode::ACCEPTED, "")
}
