//! The store: keyed topics, waiting reads, and a lease dealt out to its members.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tower::service_fn;
use workshold_http::Body;
use workshold_http::body;
use workshold_http::server;
use workshold_http::server::Bounds;
use workshold_http::server::Stage;

type Topic = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// The stand-in.
pub struct FakeStore {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    is_down: Arc<AtomicBool>,
    _stage: watch::Sender<Stage>,
}

const PARTS: usize = 4;
const MEMBER_TTL: Duration = Duration::from_millis(1_500);

impl FakeStore {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state: Arc<Mutex<State>> = Arc::default();
        let is_down: Arc<AtomicBool> = Arc::default();
        let (stage, rx) = watch::channel(Stage::Running);
        let (for_calls, down) = (Arc::clone(&state), Arc::clone(&is_down));
        let service = service_fn(move |req: Request<Incoming>| {
            let (state, down) = (Arc::clone(&for_calls), Arc::clone(&down));
            async move { Ok::<_, Infallible>(answer(state, down, req).await) }
        });
        tokio::spawn(server::serve(listener, Bounds::default(), service, rx));
        Self { address, state, is_down, _stage: stage }
    }

    /// Writes the newest record of a key; an empty one drops it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value.as_bytes().to_vec()));
    }

    /// From here on every call is refused, or is not.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }
}

async fn answer(
    state: Arc<Mutex<State>>,
    is_down: Arc<AtomicBool>,
    req: Request<Incoming>,
) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let query: BTreeMap<String, String> = req
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let bytes = req.into_body().collect().await.map(http_body_util::Collected::to_bytes);
    let sent: Value = bytes.ok().and_then(|b| serde_json::from_slice(&b).ok()).unwrap_or_default();
    if is_down.load(Ordering::Relaxed) {
        return body::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
    }
    match path.as_str() {
        "/v1/log-newest" => newest(&state.lock(), &query["topic"]),
        "/v1/log-read" => read(&state, &is_down, &query).await,
        "/v1/log-join" => join(&mut state.lock(), &sent),
        "/v1/log-leave" => leave(&mut state.lock(), &sent),
        "/v1/log-owners" => owners(&mut state.lock()),
        _ => body::json(StatusCode::NOT_FOUND, &json!({})),
    }
}

fn newest(state: &State, topic: &str) -> Response<Body> {
    let records = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let mut last: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        last.insert(key, (offset, value));
    }
    let items: Vec<Value> = last
        .iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
        })
        .collect();
    let page = json!({ "items": items, "more_pages": false, "end": records.len() });
    body::json(StatusCode::OK, &page)
}

async fn read(
    state: &Mutex<State>,
    is_down: &AtomicBool,
    query: &BTreeMap<String, String>,
) -> Response<Body> {
    let from: usize = query["from"].parse().unwrap();
    let wait = Duration::from_millis(query["wait_ms"].parse().unwrap());
    let began = Instant::now();
    loop {
        if is_down.load(Ordering::Relaxed) {
            return body::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let raw = {
            let state = state.lock();
            let records = state.topics.get(&query["topic"]).map(Vec::as_slice).unwrap_or_default();
            (records.len() > from || began.elapsed() >= wait).then(|| raw(records, from))
        };
        if let Some(raw) = raw {
            return body::with_type(StatusCode::OK, "application/octet-stream", raw);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn raw(records: &[(String, Vec<u8>)], from: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend((records.len() as u64).to_be_bytes());
    bytes.extend(0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        bytes.push(key.len() as u8);
        bytes.extend(key.as_bytes());
        bytes.extend(value);
    }
    bytes
}

fn tidy(state: &mut State) {
    let before = state.members.len();
    state.members.retain(|_, seen| seen.elapsed() < MEMBER_TTL);
    state.generation += u64::from(state.members.len() != before);
}

fn dealt(state: &State) -> Vec<(usize, String)> {
    let members: Vec<&String> = state.members.keys().collect();
    (0..PARTS).map(|part| (part, members[part % members.len()].clone())).collect()
}

fn join(state: &mut State, sent: &Value) -> Response<Body> {
    tidy(state);
    let member = sent["member"].as_str().unwrap().to_owned();
    let is_new = state.members.insert(member.clone(), Instant::now()).is_none();
    state.generation += u64::from(is_new);
    let own = dealt(state).into_iter().filter(|(_, owner)| *owner == member);
    let parts: Vec<Value> = own.map(|(part, _)| json!(["stewards", part, 0])).collect();
    let joined = json!({ "generation": state.generation, "ttl_ms": 1500, "parts": parts });
    body::json(StatusCode::OK, &joined)
}

fn leave(state: &mut State, sent: &Value) -> Response<Body> {
    state.members.remove(sent["member"].as_str().unwrap());
    state.generation += 1;
    body::json(StatusCode::OK, &json!({}))
}

fn owners(state: &mut State) -> Response<Body> {
    tidy(state);
    let dealt = if state.members.is_empty() { Vec::new() } else { dealt(state) };
    let rows: Vec<Value> =
        dealt.into_iter().map(|(part, member)| json!(["stewards", part, member, 0])).collect();
    body::json(StatusCode::OK, &json!({ "parts": rows }))
}
