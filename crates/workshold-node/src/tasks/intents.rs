//! Appends intents to the log, many in one record. An intent says that a node wants to run
//! the request with an idempotency key; the first one in the log owns the key.
//!
//! While one append is in progress, further intents queue up and go into the next one. An
//! append without an answer is retried with the same text until the intents are read back
//! from the log or nobody waits for them any more.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use workshold_core::keys::KeyStatus;
use workshold_protocol::Millis;
use workshold_protocol::ids::Offset;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::Intent;

use crate::node::Node;
use crate::tasks::log_maintenance::append;

/// An intent to record, and the request that waits for it.
#[derive(Debug)]
pub struct IntentRequest {
    /// The intent to append.
    pub intent: Intent,
    /// When the waiting request gives up, by this node's clock.
    pub until: Millis,
    /// Receives the outcome.
    pub done: oneshot::Sender<IntentOutcome>,
}

/// Outcome of recording an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentOutcome {
    /// The request owns the key and may run.
    Granted,
    /// Another request owns the key, or the key has expired.
    KeyUnavailable,
    /// The log did not answer in time. The intent may or may not be recorded, so the
    /// request must not run.
    Unconfirmed,
    /// Nothing was appended, because the log is unavailable or the queue is full.
    NotAppended,
}

/// Most intents in one append.
const MAX_BATCH: usize = 256;
/// Most intents that may be queued for appending.
pub const MAX_QUEUED_INTENTS: usize = 4_096;
/// How long to wait until an append is read back before it is retried.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(250);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Records queued intents for as long as the node runs.
pub async fn run(node: Arc<Node>, mut rx: mpsc::Receiver<IntentRequest>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        record(&node, std::mem::take(&mut batch)).await;
    }
}

/// Appends a batch of intents, and repeats that until each one is answered.
async fn record(node: &Node, mut batch: Vec<IntentRequest>) {
    let facts = batch.iter().map(|request| Fact::Intent(request.intent.clone())).collect();
    let envelope = Envelope::new(node.clock.wall(), facts);
    loop {
        expire_requests(node, &mut batch);
        if batch.is_empty() {
            return;
        }
        let offset = append(node, &envelope).await;
        wait_until_read(node, offset).await;
        batch = answer_decided(node, batch);
        if batch.is_empty() {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Answers the requests whose time is up, and drops those that no longer wait.
fn expire_requests(node: &Node, batch: &mut Vec<IntentRequest>) {
    let now = node.now();
    let expired = batch.extract_if(.., |request| now >= request.until || request.done.is_closed());
    for request in expired {
        let _ = request.done.send(IntentOutcome::Unconfirmed);
    }
}

/// Waits until the appended record is replayed. Without an offset, because the reply was
/// lost, waits for any new record.
async fn wait_until_read(node: &Node, offset: Option<Offset>) {
    let mut replayed = node.replayed.subscribe();
    let seen = *replayed.borrow();
    let read = replayed.wait_for(|next| offset.map_or(*next > seen, |offset| *next > offset));
    let _ = tokio::time::timeout(READ_BACK_TIMEOUT, read).await;
}

/// Answers the requests whose keys have an owner by now, and returns the others.
fn answer_decided(node: &Node, batch: Vec<IntentRequest>) -> Vec<IntentRequest> {
    let mut undecided = Vec::new();
    for request in batch {
        match outcome(node, &request.intent) {
            Some(outcome) => {
                if outcome == IntentOutcome::Granted {
                    node.counters.intents.add(1);
                }
                let _ = request.done.send(outcome);
            }
            None => undecided.push(request),
        }
    }
    undecided
}

/// The outcome of an intent by the replayed state; `None` if its key has no owner yet.
fn outcome(node: &Node, intent: &Intent) -> Option<IntentOutcome> {
    node.with_state(|state| {
        match state.keys.status(&intent.key, intent.key_time, &intent.request) {
            KeyStatus::Free => None,
            KeyStatus::Owned(owner)
                if owner.node == intent.node && owner.incarnation == intent.incarnation =>
            {
                Some(IntentOutcome::Granted)
            }
            KeyStatus::Owned(_) | KeyStatus::Reused | KeyStatus::Forgotten => {
                Some(IntentOutcome::KeyUnavailable)
            }
        }
    })
    .flatten()
}
