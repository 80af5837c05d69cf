//! Idempotency keys that this node has claimed, with the answers of their requests.

use tokio::sync::watch;
use workshold_protocol::Millis;
use workshold_protocol::ids::KeyDigest;
use workshold_protocol::peer::StoredResponse;
use workshold_protocol::problem::PROBLEM_JSON;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::shards::Shards;

/// Longest answer body that is stored for repeated requests, in bytes.
const MAX_STORED_LEN: usize = 64 * 1024;

#[derive(Debug)]
struct Entry {
    key_time: Millis,
    answer: watch::Receiver<Option<StoredResponse>>,
}

/// The idempotency keys that this node has claimed since it started.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: Shards<KeyDigest, Entry>,
}

/// Result of claiming an idempotency key at this node.
#[derive(Debug)]
pub enum KeyClaim {
    /// The key was free and now belongs to this request, which stores its answer here.
    Claimed(RunningRequest),
    /// Another request with the key is running or done; its answer arrives here.
    AlreadyClaimed(watch::Receiver<Option<StoredResponse>>),
}

/// A request that owns its key. If it is dropped without an answer, the stored answer says
/// that the request may have run.
#[derive(Debug)]
pub struct RunningRequest {
    answer: watch::Sender<Option<StoredResponse>>,
}

impl KeyTable {
    /// Claims a key. `key_time` is the time in the key, by which it expires.
    pub fn claim(&self, key: &KeyDigest, key_time: Millis) -> KeyClaim {
        self.entries.with_shard(key, |shard| {
            if let Some(entry) = shard.get(key) {
                return KeyClaim::AlreadyClaimed(entry.answer.clone());
            }
            let (tx, rx) = watch::channel(None);
            shard.insert(*key, Entry { key_time, answer: rx });
            KeyClaim::Claimed(RunningRequest { answer: tx })
        })
    }

    /// The answer stored for a key; `None` if this node hasn't claimed it, or its request
    /// is still running.
    pub fn answer(&self, key: &KeyDigest) -> Option<StoredResponse> {
        self.entries.get(key, |entry| entry.answer.borrow().clone()).flatten()
    }

    /// Releases a key whose request was not started, so that it can be claimed again.
    pub fn discard(&self, key: &KeyDigest) {
        self.entries.with_shard(key, |shard| shard.remove(key));
    }

    /// Drops the keys made before `floor`, which all nodes reject as expired.
    pub fn expire_before(&self, floor: Millis) {
        self.entries.retain(|_, entry| entry.key_time >= floor);
    }

    /// Number of claimed keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl RunningRequest {
    /// Stores the answer for repeated requests with the same key. One that is longer than
    /// the limit is replaced by a problem that says so.
    pub fn finish(self, answer: &StoredResponse) {
        let stored = if answer.body.len() <= MAX_STORED_LEN {
            answer.clone()
        } else {
            problem_response(&Problem::may_have_run(
                ProblemCode::KeyInProgress,
                "it ran, but its answer was too long to keep",
            ))
        };
        self.answer.send_replace(Some(stored));
    }
}

impl Drop for RunningRequest {
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

/// Makes a problem the answer of a request, as `application/problem+json`.
pub fn problem_response(problem: &Problem) -> StoredResponse {
    StoredResponse {
        status: problem.status,
        content_type: PROBLEM_JSON.to_owned(),
        body: serde_json::to_vec(problem).expect("a problem always serialises"),
    }
}
