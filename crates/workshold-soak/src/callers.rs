//! The load, and what became of each request.

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
use workshold_platform_standin::caller::Failure;
use workshold_platform_standin::instance::CRASH_BODY;

use crate::fleet::Fleet;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A stream.
    Chat,
    /// What may run once only.
    Print,
    /// What may be repeated.
    Plate,
}

impl RequestKind {
    /// The path of such a request.
    pub fn path(self, id: &str) -> String {
        match self {
            Self::Chat => format!("/chat/{id}"),
            Self::Print => format!("/print/{id}"),
            Self::Plate => format!("/plate/{id}"),
        }
    }
}

/// What a caller saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerResult {
    /// A whole answer.
    Answer {
        /// Its status.
        status: u16,
        /// Whose proof it carries.
        stamp: Option<String>,
        /// Its body.
        text: String,
    },
    /// No connection came up.
    NoConnection,
    /// The connection ended without a whole answer.
    Cut(String),
    /// The caller left before the end.
    Left,
}

/// One request from its start to its end.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Its id.
    pub id: String,
    /// What it asked for.
    pub kind: RequestKind,
    /// The key that it carried.
    pub key: String,
    /// The node that it went to, and which life of it.
    pub node: (usize, u32),
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What was seen.
    pub result: CallerResult,
}

/// Where callers find nodes.
#[derive(Debug, Clone, Copy)]
pub struct NodeEndpoint {
    /// For requests.
    pub callers: SocketAddr,
    /// For the question which addresses to use.
    pub directory: SocketAddr,
    /// The node's life.
    pub incarnation: u32,
}

/// All callers.
pub struct Callers {
    fleet: Arc<Fleet>,
    endpoints: Mutex<Vec<NodeEndpoint>>,
    outcomes: Mutex<Vec<Outcome>>,
    is_stopped: Mutex<bool>,
}

/// Ids of requests that end whoever runs them begin with this.
pub const CRASH_ID_PREFIX: &str = "ends-";
const CRASH_PATH: &str = "/chat/ending";
/// How often such a request is asked, and the number that its caller draws by.
const CRASH_REQUEST_INTERVAL: Duration = Duration::from_millis(300);
const CRASH_CALLER_NUMBER: u64 = 999;
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (20, 120);
/// How long addresses are used before they are asked for again.
const ADDRESS_TTL: Duration = Duration::from_millis(500);
/// One caller in so many leaves its stream early.
const EARLY_DISCONNECT_ONE_IN: u32 = 12;
/// One request in so many carries a key that was taken away.
const REVOKED_KEY_ONE_IN: u32 = 6;

/// Where all nodes and callers are.
const DATA_CENTRE: &str = "a";

impl Callers {
    /// Callers of the nodes behind `endpoints`.
    pub fn new(fleet: Arc<Fleet>, endpoints: Vec<NodeEndpoint>) -> Arc<Self> {
        let (outcomes, is_stopped) = (Mutex::default(), Mutex::new(false));
        Arc::new(Self { fleet, endpoints: Mutex::new(endpoints), outcomes, is_stopped })
    }

    /// A node has begun another life.
    pub fn set_incarnation(&self, node: usize, incarnation: u32) {
        self.endpoints.lock()[node].incarnation = incarnation;
    }

    /// No more requests are sent.
    pub fn stop(&self) {
        *self.is_stopped.lock() = true;
    }

    /// A request of the soak's own, sent to see whether nodes serve; what it saw is
    /// judged where it was sent.
    pub fn note_probe(&self, id: String, kind: RequestKind, key: &str, sent: Instant) {
        let (node, result) = ((usize::MAX, 0), CallerResult::Left);
        let key = key.to_owned();
        let ended = Instant::now();
        self.outcomes.lock().push(Outcome { id, kind, key, node, sent, ended, result });
    }

    /// What became of all requests so far.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().clone()
    }

    /// One caller until the end; `number` tells it from others.
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
                // Whoever cannot be reached is not asked again soon.
                addresses.0.retain(|known| *known != address);
            }
        }
    }

    /// Asks for what ends whoever runs it, at any node, until the end.
    pub async fn send_crash_requests(self: Arc<Self>, seed: u64) {
        let mut rng =
            ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(CRASH_CALLER_NUMBER));
        for count in 0.. {
            tokio::time::sleep(CRASH_REQUEST_INTERVAL).await;
            if *self.is_stopped.lock() {
                return;
            }
            let endpoint = { self.endpoints.lock().choose(&mut rng).copied() };
            let (Some(endpoint), Some(key)) = (endpoint, self.fleet.keys().pop()) else { continue };
            let id = format!("{CRASH_ID_PREFIX}{seed}-{count}");
            let sent = Instant::now();
            let req = caller::request_with(&id, CRASH_PATH, &key.text, CRASH_BODY);
            // Whatever comes back: what counts is where it ran.
            let _ = caller::send(endpoint.callers, req).await;
            self.note_probe(id, RequestKind::Chat, &key.text, sent);
        }
    }

    async fn resolve(&self, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let endpoint = { self.endpoints.lock().choose(rng).copied() };
        let Some(endpoint) = endpoint else { return Vec::new() };
        caller::resolve(endpoint.directory, DATA_CENTRE).await
    }

    /// Sends one request; whether a connection came up.
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
        let asking = caller::send(address, caller::request(&id, &kind.path(&id), &key));
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

    /// Mostly the newest key, at times one that was taken away.
    fn key(&self, rng: &mut ChaCha8Rng) -> String {
        let keys = self.fleet.keys();
        let old: Vec<_> = keys.iter().filter(|key| key.revoked.is_some()).collect();
        let is_old = rng.random_range(0..REVOKED_KEY_ONE_IN) == 0;
        let chosen = old.choose(rng).filter(|_| is_old).copied();
        chosen.or(keys.last()).map(|key| key.text.clone()).unwrap_or_default()
    }
}
