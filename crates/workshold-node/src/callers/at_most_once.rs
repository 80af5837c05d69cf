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
pub struct KeyedRequest {
    /// The team that sent it. Equal keys of different teams are different keys.
    pub team: TeamName,
    /// The value of the idempotency-key header.
    pub key: String,
    /// Digest of the request's content, to detect a key that is reused for another request.
    pub digest: RequestDigest,
    /// When the caller stops waiting, by this node's clock.
    pub deadline: Millis,
}

/// How far a caller's clock may be ahead of this node's wall clock.
const MAX_CLOCK_SKEW: Millis = Millis(60_000);
/// `Retry-After` while the log does not accept records.
const LOG_UNAVAILABLE_RETRY_AFTER: Millis = Millis(3_000);
/// `Retry-After` while another request with the key runs.
const IN_PROGRESS_RETRY_AFTER: Millis = Millis(1_000);

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
struct ValidatedRequest {
    key: KeyDigest,
    key_time: Millis,
    request: KeyedRequest,
}

/// Runs `work` if this request is the one that owns the key, and returns the response.
///
/// `work` returns a response either way; `Err` means that it did not run.
pub async fn run<F, W>(node: &Arc<Node>, request: KeyedRequest, work: W) -> Response<Body>
where
    W: FnOnce() -> F + Send + 'static,
    F: Future<Output = Result<StoredResponse, StoredResponse>> + Send,
{
    let validated = match check_key(node, request) {
        Ok(validated) => validated,
        Err(problem) => return problems::response(&problem),
    };
    // A task of its own, so that the run completes and its result is stored even if the
    // caller disconnects.
    let node = Arc::clone(node);
    let task = tokio::spawn(async move { run_with_key(&node, validated, work).await });
    match task.await {
        Ok(Ok(answer)) => to_http_response(&answer),
        Ok(Err(problem)) => problems::response(&problem),
        Err(_) => problems::response(&Problem::may_have_run(
            ProblemCode::UpstreamFailed,
            "the run broke off",
        )),
    }
}

fn to_http_response(answer: &StoredResponse) -> Response<Body> {
    match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) if answer.content_type == workshold_protocol::problem::PROBLEM_JSON => {
            problems::response(&problem)
        }
        _ => problems::stored_response(answer),
    }
}

/// Checks the key's format and time, and computes the digest that stands for it. The digest
/// depends on the team and ignores the case of the key.
fn check_key(node: &Node, request: KeyedRequest) -> Result<ValidatedRequest, Problem> {
    let bad = |why: String| Problem::not_run(ProblemCode::BadRequest, why);
    let time = key_time(&request.key).map_err(|err| bad(format!("{err}; {}", err.help())))?;
    let wall = node.clock.wall();
    if time > wall + MAX_CLOCK_SKEW {
        return Err(bad("the idempotency key was made in the future".to_owned()));
    }
    // Keys in the second half of the window are refused here already, so that none
    // expires while its request still runs.
    let window = Millis(node.settings.times.key_window.0 / 2);
    if time + window < wall {
        let why = "the idempotency key is older than what is remembered";
        return Err(Problem::may_have_run(ProblemCode::KeyExpired, why));
    }
    let scoped_key =
        [request.team.as_str().as_bytes(), b"\0", request.key.to_ascii_lowercase().as_bytes()]
            .concat();
    let seal = node.checked.cluster_key.seal(SealPurpose::IdempotencyKey, &scoped_key);
    Ok(ValidatedRequest { key: KeyDigest::of(&seal), key_time: time, request })
}

async fn run_with_key<F, W>(
    node: &Node,
    validated: ValidatedRequest,
    work: W,
) -> Result<StoredResponse, Problem>
where
    W: FnOnce() -> F,
    F: Future<Output = Result<StoredResponse, StoredResponse>>,
{
    let running = match node.keys.claim(&validated.key, validated.key_time) {
        KeyClaim::Claimed(running) => running,
        KeyClaim::AlreadyClaimed(answer) => {
            return wait_for_first_request(node, &validated, answer).await;
        }
    };
    let mut action = next_action(node, &validated, KeyProgress::Untouched);
    if action == OwnedKeyAction::Record {
        action = match record_intent(node, &validated).await {
            IntentOutcome::Granted | IntentOutcome::KeyUnavailable => {
                next_action(node, &validated, KeyProgress::Recording)
            }
            IntentOutcome::Unconfirmed => OwnedKeyAction::GiveUp,
            IntentOutcome::NotAppended => OwnedKeyAction::LogUnavailable,
        };
    }
    if action == OwnedKeyAction::Run {
        let (Ok(answer) | Err(answer)) = work().await;
        running.finish(&answer);
        return Ok(answer);
    }
    let must_store_response = action == OwnedKeyAction::GiveUp;
    let answer = resolve_without_running(node, &validated, action).await;
    if !must_store_response {
        // Nothing was started here, so a later request with the key starts from the beginning.
        node.keys.discard(&validated.key);
    }
    running.finish(&match &answer {
        Ok(answer) => answer.clone(),
        Err(problem) => problem_response(problem),
    });
    answer
}

/// A [`KeyAction`] that owns its contents, so that it outlives the lock on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OwnedKeyAction {
    Record,
    Run,
    GiveUp,
    LogUnavailable,
    AskOwner(Owner),
    Refuse(ProblemCode),
}

fn next_action(node: &Node, validated: &ValidatedRequest, progress: KeyProgress) -> OwnedKeyAction {
    let action = node.with_state(|state| {
        let status =
            state.keys.status(&validated.key, validated.key_time, &validated.request.digest);
        match at_most_once::next(&status, (node.name(), node.incarnation), progress) {
            KeyAction::Record => OwnedKeyAction::Record,
            KeyAction::Run => OwnedKeyAction::Run,
            KeyAction::AskOwner(owner) => OwnedKeyAction::AskOwner(owner.clone()),
            KeyAction::Refuse(code) => OwnedKeyAction::Refuse(code),
            KeyAction::Wait | KeyAction::AnswerFromStore => OwnedKeyAction::GiveUp,
        }
    });
    action.unwrap_or(OwnedKeyAction::GiveUp)
}

/// Returns the response to a request that this node does not run.
async fn resolve_without_running(
    node: &Node,
    validated: &ValidatedRequest,
    action: OwnedKeyAction,
) -> Result<StoredResponse, Problem> {
    match action {
        OwnedKeyAction::AskOwner(owner) => ask_owner(node, validated, &owner).await,
        OwnedKeyAction::Refuse(ProblemCode::KeyReused) => Err(Problem::not_run(
            ProblemCode::KeyReused,
            "the idempotency key was used for another request",
        )),
        OwnedKeyAction::Refuse(_) => Err(Problem::may_have_run(
            ProblemCode::KeyExpired,
            "the idempotency key is older than what is remembered",
        )),
        OwnedKeyAction::LogUnavailable => Err(Problem::not_run(
            ProblemCode::LogUnavailable,
            "what must last cannot be written; it was not run",
        )
        .retry_after(LOG_UNAVAILABLE_RETRY_AFTER)),
        // The intent may still be appended to the log. Only this node could run the
        // request under it, and it never will, because this response is stored for the key.
        OwnedKeyAction::GiveUp | OwnedKeyAction::Record | OwnedKeyAction::Run => {
            Err(Problem::not_run(
                ProblemCode::LogUnavailable,
                "what must last cannot be written; it was not run. Ask again with a new key",
            )
            .retry_after(LOG_UNAVAILABLE_RETRY_AFTER))
        }
    }
}

/// Asks the node that owns the key for the response.
async fn ask_owner(
    node: &Node,
    validated: &ValidatedRequest,
    owner: &Owner,
) -> Result<StoredResponse, Problem> {
    let owner_gone = || {
        Problem::may_have_run(
            ProblemCode::UpstreamFailed,
            "the node that had the request is gone; whether it ran is not known",
        )
    };
    if &owner.node == node.name() {
        return Err(owner_gone());
    }
    let peers = node.known_peers();
    let Some(address) = peers.get(&owner.node) else { return Err(owner_gone()) };
    let timeout = node.settings.times.probe_every.to_duration();
    let link = node.link(&owner.node, address);
    let ask = PeerQuery::KeyResult { key: validated.key };
    let key = &node.checked.cluster_key;
    match link.query(node.name(), ask, key, &node.counters, timeout).await {
        Ok(PeerResponseBody::KeyResult(Some(answer))) => Ok(answer),
        Ok(_) if has_same_incarnation(node, owner) => Err(in_progress()),
        Ok(_) => Err(owner_gone()),
        Err(_) => Err(owner_gone().retry_after(IN_PROGRESS_RETRY_AFTER)),
    }
}

/// Whether the owner is still in the incarnation that claimed the key. True if this
/// node knows nothing of the owner.
fn has_same_incarnation(node: &Node, owner: &Owner) -> bool {
    let membership = node.membership.read();
    let peer = membership.peers().find(|(name, _)| *name == &owner.node);
    peer.is_none_or(|(_, peer)| peer.status.incarnation == owner.incarnation)
}

fn in_progress() -> Problem {
    let detail = "the request with this key is still running at another node";
    Problem::may_have_run(ProblemCode::KeyInProgress, detail).retry_after(IN_PROGRESS_RETRY_AFTER)
}

/// Waits until the first request with the key at this node has a response.
async fn wait_for_first_request(
    node: &Node,
    validated: &ValidatedRequest,
    mut answer: watch::Receiver<Option<StoredResponse>>,
) -> Result<StoredResponse, Problem> {
    let left = validated.request.deadline.since(node.now()).to_duration();
    let result = tokio::time::timeout(left, answer.wait_for(Option::is_some)).await;
    match result {
        Ok(Ok(answer)) => answer.clone().ok_or_else(in_progress),
        Ok(Err(_)) | Err(_) => Err(in_progress()),
    }
}

/// Appends an intent to the log and waits until it is read back, up to the deadline or
/// `intent_wait`, whichever is earlier.
async fn record_intent(node: &Node, validated: &ValidatedRequest) -> IntentOutcome {
    if !node.log_state.read().log_answers {
        return IntentOutcome::NotAppended;
    }
    let (done, outcome) = oneshot::channel();
    let until = validated.request.deadline.min(node.now() + node.settings.times.intent_wait);
    let intent = Intent {
        key: validated.key,
        key_time: validated.key_time,
        request: validated.request.digest,
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
