//! What became of the requests that this node runs at most once.

use tokio::sync::watch;
use workshold_protocol::Millis;
use workshold_protocol::ids::KeyDigest;
use workshold_protocol::peer::StoredResponse;
use workshold_protocol::problem::PROBLEM_JSON;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::shards::Shards;

/// The longest answer that is kept for who asks again, in bytes.
const MAX_KEPT_LEN: usize = 64 * 1024;

#[derive(Debug)]
struct Entry {
    key_time: Millis,
    answer: watch::Receiver<Option<StoredResponse>>,
}

/// The keys that this node has taken up since it started.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: Shards<KeyDigest, Entry>,
}

/// What a request finds under its key at this node.
#[derive(Debug)]
pub enum KeyClaim {
    /// Nothing: it is this request's to run. The answer goes in here.
    Claimed(Running),
    /// Another request with the key is running or done; its answer comes here.
    AlreadyClaimed(watch::Receiver<Option<StoredResponse>>),
}

/// A request that runs under its key. Dropped without an answer, it leaves
/// "unknown" behind.
#[derive(Debug)]
pub struct Running {
    answer: watch::Sender<Option<StoredResponse>>,
}

impl KeyTable {
    /// Takes up a key, or finds who did.
    pub fn claim(&self, key: &KeyDigest, key_time: Millis) -> KeyClaim {
        self.entries.with_shard(key, |shard| {
            if let Some(entry) = shard.get(key) {
                return KeyClaim::AlreadyClaimed(entry.answer.clone());
            }
            let (tx, rx) = watch::channel(None);
            shard.insert(*key, Entry { key_time, answer: rx });
            KeyClaim::Claimed(Running { answer: tx })
        })
    }

    /// The answer under a key, if it was taken up here and is there.
    pub fn answer(&self, key: &KeyDigest) -> Option<StoredResponse> {
        self.entries.get(key, |entry| entry.answer.borrow().clone()).flatten()
    }

    /// Forgets a key under which nothing was begun here.
    pub fn discard(&self, key: &KeyDigest) {
        self.entries.with_shard(key, |shard| shard.remove(key));
    }

    /// Forgets keys that everybody refuses.
    pub fn forget_before(&self, floor: Millis) {
        self.entries.retain(|_, entry| entry.key_time >= floor);
    }

    /// How many keys are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl Running {
    /// Keeps the answer for whoever asks again.
    pub fn finish(self, answer: &StoredResponse) {
        let kept = if answer.body.len() <= MAX_KEPT_LEN {
            answer.clone()
        } else {
            problem_response(&Problem::may_have_run(
                ProblemCode::KeyInProgress,
                "it ran, but its answer was too long to keep",
            ))
        };
        self.answer.send_replace(Some(kept));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if self.answer.borrow().is_none() {
            let problem = Problem::may_have_run(
                ProblemCode::UpstreamFailed,
                "its caller went away while it ran",
            );
            self.answer.send_replace(Some(problem_response(&problem)));
        }
    }
}

/// A problem as an answer.
pub fn problem_response(problem: &Problem) -> StoredResponse {
    StoredResponse {
        status: problem.status,
        content_type: PROBLEM_JSON.to_owned(),
        body: serde_json::to_vec(problem).expect("a problem is text"),
    }
}
