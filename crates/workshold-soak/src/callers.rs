//! Generates the load and records the result of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use workshold_platform_standin::caller;
use workshold_platform_standin::caller::CallerRequest;
use workshold_platform_standin::caller::Failure;
use workshold_platform_standin::instance::CRASH_BODY;
use workshold_platform_standin::instance::CRASH_PART;

use crate::fleet::Fleet;

/// Kind of request, which decides its path and whether it may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A streamed answer.
    Chat,
    /// A request that must run at most once.
    Print,
    /// A request that may be repeated.
    Plate,
}

impl RequestKind {
    /// Path of a request of this kind.
    pub fn path(self, id: &str) -> String {
        match self {
            Self::Chat => format!("/chat/{id}"),
            Self::Print => format!("/print/{id}"),
            Self::Plate => format!("/plate/{id}"),
        }
    }
}

/// Result of a request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerResult {
    /// A complete answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Instance named in the proof of execution; `None` if there is no proof.
        stamp: Option<String>,
        /// Body of the answer.
        text: String,
    },
    /// The connection could not be established.
    NoConnection,
    /// The connection broke before the answer was complete, with the reason.
    Cut(String),
    /// The caller disconnected before the end.
    Left,
}

/// One request and its result.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Request id.
    pub id: String,
    /// Kind of request.
    pub kind: RequestKind,
    /// API key that it carried.
    pub key: String,
    /// Index of the node that it was sent to, and the node's incarnation.
    pub node: (usize, u32),
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time at which it ended.
    pub ended: Instant,
    /// What the caller saw.
    pub result: CallerResult,
}

/// Addresses at which callers reach a node.
#[derive(Debug, Clone, Copy)]
pub struct NodeEndpoint {
    /// Address for requests.
    pub callers: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Incarnation of the node.
    pub incarnation: u32,
}

/// A request of one kind; the prompts of streams share parts.
fn request(id: &str, kind: RequestKind, key: &str) -> CallerRequest {
    if kind != RequestKind::Chat {
        return caller::request(id, &kind.path(id), key);
    }
    let subject = id.bytes().fold(0_u8, u8::wrapping_add) % SUBJECTS;
    let parts = format!("{SHARED_PART}:40,6{subject:02x}:60,{}:80", own_part(id));
    caller::request_with_prompt(id, &kind.path(id), key, &parts)
}

/// All callers, and the results of their requests.
pub struct Callers {
    fleet: Arc<Fleet>,
    endpoints: Mutex<Vec<NodeEndpoint>>,
    outcomes: Mutex<Vec<Outcome>>,
    is_stopped: Mutex<bool>,
}

/// What crashes any instance that runs a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCause {
    /// Its content: the same request is sent again and again.
    Content,
    /// A part of its prompt; no two requests are alike.
    PromptPart,
}

impl CrashCause {
    /// All causes.
    pub const ALL: [Self; 2] = [Self::Content, Self::PromptPart];

    /// Prefix of the ids of requests that crash instances for this cause.
    pub fn id_prefix(self) -> &'static str {
        match self {
            Self::Content => "ends-",
            Self::PromptPart => "part-ends-",
        }
    }

    fn request(self, id: &str, key: &str) -> CallerRequest {
        match self {
            Self::Content => caller::request_with(id, CRASH_PATH, key, CRASH_BODY),
            Self::PromptPart => {
                let parts = format!("{SHARED_PART}:40,{CRASH_PART}:60,{}:80", own_part(id));
                caller::request_with_prompt(id, CRASH_PATH, key, &parts)
            }
        }
    }
}

/// The first part of the prompts of all streams.
const SHARED_PART: &str = "5a";
/// Number of second parts, of which each stream's prompt has one.
const SUBJECTS: u8 = 12;

/// The last part of the prompt of a request, which no other one has.
fn own_part(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}

const CRASH_PATH: &str = "/chat/ending";
/// Interval between such requests.
const CRASH_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Caller number that seeds the random generator for such requests.
const CRASH_CALLER_NUMBER: u64 = 999;
/// Pause of a caller between two requests.
const PAUSE_MS: (u64, u64) = (20, 120);
/// How long resolved addresses are used before they are resolved again.
const ADDRESS_TTL: Duration = Duration::from_millis(500);
/// One stream in this many is abandoned early by its caller.
const EARLY_DISCONNECT_ONE_IN: u32 = 12;
/// One request in this many carries a revoked key, if there is one.
const REVOKED_KEY_ONE_IN: u32 = 6;

/// Data centre of all nodes and callers.
const DATA_CENTRE: &str = "a";

impl Callers {
    /// Creates the callers of the nodes at `endpoints`.
    pub fn new(fleet: Arc<Fleet>, endpoints: Vec<NodeEndpoint>) -> Arc<Self> {
        let (outcomes, is_stopped) = (Mutex::default(), Mutex::new(false));
        Arc::new(Self { fleet, endpoints: Mutex::new(endpoints), outcomes, is_stopped })
    }

    /// Records that a node was started again.
    pub fn set_incarnation(&self, node: usize, incarnation: u32) {
        self.endpoints.lock()[node].incarnation = incarnation;
    }

    /// Makes all callers stop after their current request.
    pub fn stop(&self) {
        *self.is_stopped.lock() = true;
    }

    /// Records a request that the soak itself sent, so that its runs count as requested. The sender
    /// evaluates its result.
    pub fn note_probe(&self, id: String, kind: RequestKind, key: &str, sent: Instant) {
        let (node, result) = ((usize::MAX, 0), CallerResult::Left);
        let key = key.to_owned();
        let ended = Instant::now();
        self.outcomes.lock().push(Outcome { id, kind, key, node, sent, ended, result });
    }

    /// Results of all requests so far.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().clone()
    }

    /// Runs one caller until [`Self::stop`]; `number` distinguishes its random draws and ids.
    pub async fn call(self: Arc<Self>, seed: u64, number: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number));
        let mut addresses: (Vec<SocketAddr>, Instant) = (Vec::new(), Instant::now());
        let mut count = 0;
        while !*self.is_stopped.lock() {
            let pause = rng.random_range(PAUSE_MS.0..PAUSE_MS.1);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if addresses.0.is_empty() || addresses.1.elapsed() > ADDRESS_TTL {
                let resolved = self.resolve(&mut rng).await;
                if !resolved.is_empty() {
                    addresses = (resolved, Instant::now());
                }
            }
            let Some(address) = addresses.0.choose(&mut rng).copied() else { continue };
            count += 1;
            let id = format!("r-{seed}-{number}-{count}");
            if !self.request(&mut rng, id, address).await {
                // Skips an unreachable address until the next resolution.
                addresses.0.retain(|known| *known != address);
            }
        }
    }

    /// Sends crashing requests to random nodes until [`Self::stop`].
    pub async fn send_crash_requests(self: Arc<Self>, seed: u64, cause: CrashCause) {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(CRASH_CALLER_NUMBER));
        for count in 0.. {
            tokio::time::sleep(CRASH_REQUEST_INTERVAL).await;
            if *self.is_stopped.lock() {
                return;
            }
            let endpoint = { self.endpoints.lock().choose(&mut rng).copied() };
            let (Some(endpoint), Some(key)) = (endpoint, self.fleet.keys().pop()) else { continue };
            let id = format!("{}{seed}-{count}", cause.id_prefix());
            let sent = Instant::now();
            let req = cause.request(&id, &key.text);
            // The answer does not matter; the judge counts where the request ran.
            let _ = caller::send(endpoint.callers, req).await;
            self.note_probe(id, RequestKind::Chat, &key.text, sent);
        }
    }

    async fn resolve(&self, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let endpoint = { self.endpoints.lock().choose(rng).copied() };
        let Some(endpoint) = endpoint else { return Vec::new() };
        caller::resolve(endpoint.directory, DATA_CENTRE).await
    }

    /// Sends one request; returns whether a connection was established.
    async fn request(&self, rng: &mut ChaCha8Rng, id: String, address: SocketAddr) -> bool {
        let kind = match rng.random_range(0..10) {
            0..6 => RequestKind::Chat,
            6..8 => RequestKind::Print,
            _ => RequestKind::Plate,
        };
        let key = self.key(rng);
        let leaves = kind == RequestKind::Chat && rng.random_range(0..EARLY_DISCONNECT_ONE_IN) == 0;
        let node = {
            let endpoints = self.endpoints.lock();
            let Some(node) = endpoints.iter().position(|endpoint| endpoint.callers == address)
            else {
                return false;
            };
            (node, endpoints[node].incarnation)
        };
        let sent = Instant::now();
        let asking = caller::send(address, request(&id, kind, &key));
        let stays = Duration::from_millis(if leaves { rng.random_range(0..600) } else { 60_000 });
        let result = match tokio::time::timeout(stays, asking).await {
            Err(_) => CallerResult::Left,
            Ok(Ok((res, text))) => CallerResult::Answer {
                status: res.status().as_u16(),
                stamp: caller::stamp(&res),
                text,
            },
            Ok(Err(Failure::NoConnection(_))) => CallerResult::NoConnection,
            Ok(Err(failure)) => CallerResult::Cut(failure.to_string()),
        };
        let is_reached = result != CallerResult::NoConnection;
        let outcome = Outcome { id, kind, key, node, sent, ended: Instant::now(), result };
        self.outcomes.lock().push(outcome);
        is_reached
    }

    /// Picks the newest key, or at times a revoked one.
    fn key(&self, rng: &mut ChaCha8Rng) -> String {
        let keys = self.fleet.keys();
        let old: Vec<_> = keys.iter().filter(|key| key.revoked.is_some()).collect();
        let is_old = rng.random_range(0..REVOKED_KEY_ONE_IN) == 0;
        let chosen = old.choose(rng).filter(|_| is_old).copied();
        chosen.or(keys.last()).map(|key| key.text.clone()).unwrap_or_default()
    }
}
