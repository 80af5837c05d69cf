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
pub enum Asked {
    /// A stream.
    Chat,
    /// What may run once only.
    Print,
    /// What may be repeated.
    Plate,
}

impl Asked {
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
pub enum Seen {
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
    pub asked: Asked,
    /// The key that it carried.
    pub key: String,
    /// The node that it went to, and which life of it.
    pub node: (usize, u32),
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What was seen.
    pub seen: Seen,
}

/// Where callers find nodes.
#[derive(Debug, Clone, Copy)]
pub struct Door {
    /// For requests.
    pub callers: SocketAddr,
    /// For the question which addresses to use.
    pub directory: SocketAddr,
    /// The node's life.
    pub life: u32,
}

/// All callers.
pub struct Callers {
    fleet: Arc<Fleet>,
    doors: Mutex<Vec<Door>>,
    outcomes: Mutex<Vec<Outcome>>,
    is_over: Mutex<bool>,
}

/// Ids of requests that end whoever runs them begin with this.
pub const ENDING_IDS: &str = "ends-";
const ENDING_PATH: &str = "/chat/ending";
/// How often such a request is asked, and the number that its caller draws by.
const ENDING_EVERY: Duration = Duration::from_millis(300);
const ENDING: u64 = 999;
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (20, 120);
/// How long addresses are used before they are asked for again.
const ADDRESSES_KEPT: Duration = Duration::from_millis(500);
/// One caller in so many leaves its stream early.
const LEAVES: u32 = 12;
/// One request in so many carries a key that was taken away.
const OLD_KEY: u32 = 6;

/// Where all nodes and callers are.
const DATA_CENTRE: &str = "a";

impl Callers {
    /// Callers of the nodes behind `doors`.
    pub fn new(fleet: Arc<Fleet>, doors: Vec<Door>) -> Arc<Self> {
        let (outcomes, is_over) = (Mutex::default(), Mutex::new(false));
        Arc::new(Self { fleet, doors: Mutex::new(doors), outcomes, is_over })
    }

    /// A node has begun another life.
    pub fn set_life(&self, node: usize, life: u32) {
        self.doors.lock()[node].life = life;
    }

    /// No more requests are sent.
    pub fn end(&self) {
        *self.is_over.lock() = true;
    }

    /// A request of the soak's own, sent to see whether nodes serve; what it saw is
    /// judged where it was sent.
    pub fn note_probe(&self, id: String, asked: Asked, key: &str, sent: Instant) {
        let (node, seen) = ((usize::MAX, 0), Seen::Left);
        let key = key.to_owned();
        let ended = Instant::now();
        self.outcomes.lock().push(Outcome { id, asked, key, node, sent, ended, seen });
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
        while !*self.is_over.lock() {
            let pause = rng.random_range(PAUSE_MS.0..PAUSE_MS.1);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if addresses.0.is_empty() || addresses.1.elapsed() > ADDRESSES_KEPT {
                let asked = self.resolve(&mut rng).await;
                if !asked.is_empty() {
                    addresses = (asked, Instant::now());
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
    pub async fn ask_for_ends(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(ENDING));
        for count in 0.. {
            tokio::time::sleep(ENDING_EVERY).await;
            if *self.is_over.lock() {
                return;
            }
            let door = { self.doors.lock().choose(&mut rng).copied() };
            let (Some(door), Some(key)) = (door, self.fleet.keys().pop()) else { continue };
            let id = format!("{ENDING_IDS}{seed}-{count}");
            let sent = Instant::now();
            let req = caller::request_with(&id, ENDING_PATH, &key.text, CRASH_BODY);
            // Whatever comes back: what counts is where it ran.
            let _ = caller::send(door.callers, req).await;
            self.note_probe(id, Asked::Chat, &key.text, sent);
        }
    }

    async fn resolve(&self, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let door = { self.doors.lock().choose(rng).copied() };
        let Some(door) = door else { return Vec::new() };
        caller::resolve(door.directory, DATA_CENTRE).await
    }

    /// Sends one request; whether a connection came up.
    async fn request(&self, rng: &mut ChaCha8Rng, id: String, address: SocketAddr) -> bool {
        let asked = match rng.random_range(0..10) {
            0..6 => Asked::Chat,
            6..8 => Asked::Print,
            _ => Asked::Plate,
        };
        let key = self.key(rng);
        let leaves = asked == Asked::Chat && rng.random_range(0..LEAVES) == 0;
        let node = {
            let doors = self.doors.lock();
            let Some(node) = doors.iter().position(|door| door.callers == address) else {
                return false;
            };
            (node, doors[node].life)
        };
        let sent = Instant::now();
        let asking = caller::send(address, caller::request(&id, &asked.path(&id), &key));
        let stays = Duration::from_millis(if leaves { rng.random_range(0..600) } else { 60_000 });
        let seen = match tokio::time::timeout(stays, asking).await {
            Err(_) => Seen::Left,
            Ok(Ok((res, text))) => {
                Seen::Answer { status: res.status().as_u16(), stamp: caller::stamp(&res), text }
            }
            Ok(Err(Failure::NoConnection(_))) => Seen::NoConnection,
            Ok(Err(failure)) => Seen::Cut(failure.to_string()),
        };
        let is_reached = seen != Seen::NoConnection;
        let outcome = Outcome { id, asked, key, node, sent, ended: Instant::now(), seen };
        self.outcomes.lock().push(outcome);
        is_reached
    }

    /// Mostly the newest key, at times one that was taken away.
    fn key(&self, rng: &mut ChaCha8Rng) -> String {
        let keys = self.fleet.keys();
        let old: Vec<_> = keys.iter().filter(|key| key.taken.is_some()).collect();
        let is_old = rng.random_range(0..OLD_KEY) == 0;
        let chosen = old.choose(rng).filter(|_| is_old).copied();
        chosen.or(keys.last()).map(|key| key.text.clone()).unwrap_or_default()
    }
}
