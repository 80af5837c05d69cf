//! Runs requests with an idempotency key at most once.
//!
//! An intent record in the log assigns the key to one incarnation of one node. Only
//! that node sends the request upstream, and only after it has read the record back.
//! Any other request with the same key, at this node or another, gets the response of
//! the first one or "unknown"; it never causes a second run.

use std::future::Future;
use std::sync::Arc;

use hyper::Response;
use tokio::sync::oneshot;
use tokio::sync::watch;
use workshold_core::at_most_once;
use workshold_core::at_most_once::KeyAction;
use workshold_core::at_most_once::KeyProgress;
use workshold_core::keys::Owner;
use workshold_core::keys::key_time;
use workshold_http::Body;
use workshold_protocol::Millis;
use workshold_protocol::ids::KeyDigest;
use workshold_protocol::ids::RequestDigest;
use workshold_protocol::ids::TeamName;
use workshold_protocol::peer::PeerQuery;
use workshold_protocol::peer::PeerResponseBody;
use workshold_protocol::peer::StoredResponse;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;
use workshold_protocol::record::Intent;
use workshold_protocol::signing::SealPurpose;

use crate::callers::problems;
use crate::key_table::KeyClaim;
use crate::key_table::problem_response;
use crate::node::Node;
use crate::tasks::intents::IntentOutcome;
use crate::tasks::intents::IntentRequest;

/// A request that must run at most once.
#[derive(Debug, Clone)]
pub struct Call {
    /// The team that sent it. Equal keys of different teams are different keys.
    pub team: TeamName,
    /// The value of the idempotency-key header.
    pub key: String,
    /// Digest of the request's content, to detect a key that is reused for another request.
    pub request: RequestDigest,
    /// When the caller stops waiting, by this node's clock.
    pub deadline: Millis,
}

/// How far a caller's clock may be ahead of this node's wall clock.
const MAX_KEY_AHEAD: Millis = Millis(60_000);
/// `Retry-After` while the log does not accept records.
const RETRY_WHEN_LOG_IS_AWAY: Millis = Millis(3_000);
/// `Retry-After` while another request with the key runs.
const RETRY_WHILE_RUNNING: Millis = Millis(1_000);

/// Hashes the parts of a request. The length of each part is hashed before it, so that
/// moving bytes between adjacent parts changes the digest.
pub fn digest(parts: &[&[u8]]) -> RequestDigest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    RequestDigest::of(hasher.finalize().as_bytes())
}

/// A request whose key has been validated.
#[derive(Debug, Clone)]
struct Keyed {
    key: KeyDigest,
    time: Millis,
    call: Call,
}

/// Runs `work` if this request is the one that owns the key, and returns the response.
///
/// `work` returns a response either way; `Err` means that it did not run.
pub async fn run<F, W>(node: &Arc<Node>, call: Call, work: W) -> Response<Body>
where
    W: FnOnce() -> F + Send + 'static,
    F: Future<Output = Result<StoredResponse, StoredResponse>> + Send,
{
    let keyed = match check_key(node, call) {
        Ok(keyed) => keyed,
        Err(problem) => return problems::response(&problem),
    };
    // A task of its own, so that the run completes and its result is stored even if the
    // caller disconnects.
    let node = Arc::clone(node);
    let task = tokio::spawn(async move { run_keyed(&node, keyed, work).await });
    match task.await {
        Ok(Ok(answer)) => respond(&answer),
        Ok(Err(problem)) => problems::response(&problem),
        Err(_) => problems::response(&Problem::may_have_run(
            ProblemCode::UpstreamFailed,
            "the run broke off",
        )),
    }
}

fn respond(answer: &StoredResponse) -> Response<Body> {
    match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) if answer.content_type == workshold_protocol::problem::PROBLEM_JSON => {
            problems::response(&problem)
        }
        _ => problems::stored_response(answer),
    }
}

/// Checks the key's format and time, and computes the digest that stands for it. The digest
/// depends on the team and ignores the case of the key.
fn check_key(node: &Node, call: Call) -> Result<Keyed, Problem> {
    let bad = |why: String| Problem::not_run(ProblemCode::BadRequest, why);
    let time = key_time(&call.key).map_err(|err| bad(format!("{err}; {}", err.help())))?;
    let wall = node.clock.wall();
    if time > wall + MAX_KEY_AHEAD {
        return Err(bad("the idempotency key was made in the future".to_owned()));
    }
    // Keys in the second half of the window are refused here already, so that none
    // expires while its request still runs.
    let window = Millis(node.settings.times.key_window.0 / 2);
    if time + window < wall {
        let why = "the idempotency key is older than what is remembered";
        return Err(Problem::may_have_run(ProblemCode::KeyExpired, why));
    }
    let named =
        [call.team.as_str().as_bytes(), b"\0", call.key.to_ascii_lowercase().as_bytes()].concat();
    let seal = node.checked.cluster_key.seal(SealPurpose::IdempotencyKey, &named);
    Ok(Keyed { key: KeyDigest::of(&seal), time, call })
}

async fn run_keyed<F, W>(node: &Node, keyed: Keyed, work: W) -> Result<StoredResponse, Problem>
where
    W: FnOnce() -> F,
    F: Future<Output = Result<StoredResponse, StoredResponse>>,
{
    let running = match node.keys.claim(&keyed.key, keyed.time) {
        KeyClaim::Claimed(running) => running,
        KeyClaim::AlreadyClaimed(answer) => return wait_for_other(node, &keyed, answer).await,
    };
    let mut step = decide(node, &keyed, KeyProgress::Untouched);
    if step == Decided::Record {
        step = match record(node, &keyed).await {
            IntentOutcome::Granted | IntentOutcome::KeyUnavailable => {
                decide(node, &keyed, KeyProgress::Recording)
            }
            IntentOutcome::Unconfirmed => Decided::GiveUp,
            IntentOutcome::NotAppended => Decided::LogAway,
        };
    }
    if step == Decided::Run {
        let (Ok(answer) | Err(answer)) = work().await;
        running.finish(&answer);
        return Ok(answer);
    }
    let must_keep = step == Decided::GiveUp;
    let answer = without_running(node, &keyed, step).await;
    if !must_keep {
        // Nothing was started here, so a later request with the key starts from the beginning.
        node.keys.discard(&keyed.key);
    }
    running.finish(&match &answer {
        Ok(answer) => answer.clone(),
        Err(problem) => problem_response(problem),
    });
    answer
}

/// A [`KeyAction`] that owns its contents, so that it outlives the lock on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Decided {
    Record,
    Run,
    GiveUp,
    LogAway,
    AskOwner(Owner),
    Refuse(ProblemCode),
}

fn decide(node: &Node, keyed: &Keyed, local: KeyProgress) -> Decided {
    let decided = node.with_state(|state| {
        let status = state.keys.status(&keyed.key, keyed.time, &keyed.call.request);
        match at_most_once::next(&status, (node.name(), node.incarnation), local) {
            KeyAction::Record => Decided::Record,
            KeyAction::Run => Decided::Run,
            KeyAction::AskOwner(owner) => Decided::AskOwner(owner.clone()),
            KeyAction::Refuse(code) => Decided::Refuse(code),
            KeyAction::Wait | KeyAction::AnswerFromStore => Decided::GiveUp,
        }
    });
    decided.unwrap_or(Decided::GiveUp)
}

/// Returns the response to a request that this node does not run.
async fn without_running(
    node: &Node,
    keyed: &Keyed,
    step: Decided,
) -> Result<StoredResponse, Problem> {
    match step {
        Decided::AskOwner(owner) => ask_owner(node, keyed, &owner).await,
        Decided::Refuse(ProblemCode::KeyReused) => Err(Problem::not_run(
            ProblemCode::KeyReused,
            "the idempotency key was used for another request",
        )),
        Decided::Refuse(_) => Err(Problem::may_have_run(
            ProblemCode::KeyExpired,
            "the idempotency key is older than what is remembered",
        )),
        Decided::LogAway => Err(Problem::not_run(
            ProblemCode::LogUnavailable,
            "what must last cannot be written; it was not run",
        )
        .retry_after(RETRY_WHEN_LOG_IS_AWAY)),
        // The intent may still be appended to the log. Only this node could run the
        // request under it, and it never will, because this response is stored for the key.
        Decided::GiveUp | Decided::Record | Decided::Run => Err(Problem::not_run(
            ProblemCode::LogUnavailable,
            "what must last cannot be written; it was not run. Ask again with a new key",
        )
        .retry_after(RETRY_WHEN_LOG_IS_AWAY)),
    }
}

/// Asks the node that owns the key for the response.
async fn ask_owner(node: &Node, keyed: &Keyed, owner: &Owner) -> Result<StoredResponse, Problem> {
    let gone = || {
        Problem::may_have_run(
            ProblemCode::UpstreamFailed,
            "the node that had the request is gone; whether it ran is not known",
        )
    };
    if &owner.node == node.name() {
        return Err(gone());
    }
    let known = node.known_peers();
    let Some(address) = known.get(&owner.node) else { return Err(gone()) };
    let within = node.settings.times.probe_every.to_duration();
    let link = node.link(&owner.node, address);
    let ask = PeerQuery::KeyResult { key: keyed.key };
    let key = &node.checked.cluster_key;
    match link.query(node.name(), ask, key, &node.counters, within).await {
        Ok(PeerResponseBody::KeyResult(Some(answer))) => Ok(answer),
        Ok(_) if has_same_life(node, owner) => Err(in_progress()),
        Ok(_) => Err(gone()),
        Err(_) => Err(gone().retry_after(RETRY_WHILE_RUNNING)),
    }
}

/// Whether the owner is still in the incarnation that claimed the key. True if this
/// node knows nothing of the owner.
fn has_same_life(node: &Node, owner: &Owner) -> bool {
    let membership = node.membership.read();
    let peer = membership.peers().find(|(name, _)| *name == &owner.node);
    peer.is_none_or(|(_, peer)| peer.status.incarnation == owner.incarnation)
}

fn in_progress() -> Problem {
    let detail = "the request with this key is still running at another node";
    Problem::may_have_run(ProblemCode::KeyInProgress, detail).retry_after(RETRY_WHILE_RUNNING)
}

/// Waits until the first request with the key at this node has a response.
async fn wait_for_other(
    node: &Node,
    keyed: &Keyed,
    mut answer: watch::Receiver<Option<StoredResponse>>,
) -> Result<StoredResponse, Problem> {
    let left = keyed.call.deadline.since(node.now()).to_duration();
    let known = tokio::time::timeout(left, answer.wait_for(Option::is_some)).await;
    match known {
        Ok(Ok(answer)) => answer.clone().ok_or_else(in_progress),
        Ok(Err(_)) | Err(_) => Err(in_progress()),
    }
}

/// Appends an intent to the log and waits until it is read back, up to the deadline or
/// `intent_wait`, whichever is earlier.
async fn record(node: &Node, keyed: &Keyed) -> IntentOutcome {
    if !node.log_state.read().log_answers {
        return IntentOutcome::NotAppended;
    }
    let (done, outcome) = oneshot::channel();
    let until = keyed.call.deadline.min(node.now() + node.settings.times.intent_wait);
    let intent = Intent {
        key: keyed.key,
        key_time: keyed.time,
        request: keyed.call.request,
        node: node.name().clone(),
        incarnation: node.incarnation,
    };
    let request = IntentRequest { intent, until, done };
    if node.intents.try_send(request).is_err() {
        return IntentOutcome::NotAppended;
    }
    let left = until.since(node.now()).to_duration();
    match tokio::time::timeout(left, outcome).await {
        Ok(Ok(outcome)) => outcome,
        // The intent may still be appended later, but this node never runs the request.
        Ok(Err(_)) | Err(_) => IntentOutcome::Unconfirmed,
    }
}
