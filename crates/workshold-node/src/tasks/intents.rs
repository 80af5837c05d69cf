//! Recording intents, many in one append.
//!
//! While one append is under way, further intents gather; they go together with
//! the next one. An append without an answer is made again with the same text
//! until the intents are read back or nobody waits for them any more.

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
use crate::tasks::upkeep::append;

/// An intent and who waits for it.
#[derive(Debug)]
pub struct IntentRequest {
    /// The intent.
    pub intent: Intent,
    /// When whoever waits gives up.
    pub until: Millis,
    /// Where the outcome goes.
    pub done: oneshot::Sender<IntentOutcome>,
}

/// What became of an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntentOutcome {
    /// The key is this request's: it may run.
    Granted,
    /// The key is another's, or forgotten.
    KeyUnavailable,
    /// The log did not answer in time. The intent may stand there; it must not run.
    Unconfirmed,
    /// Nothing was appended: the log is known to be away, or too much waits.
    NotAppended,
}

/// Intents in one append at the most.
const MAX_BATCH: usize = 256;
/// Intents that may wait for the writer.
pub const QUEUE_LEN: usize = 4_096;
const READ_BACK: Duration = Duration::from_millis(250);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Records intents for as long as the node runs.
pub async fn run(node: Arc<Node>, mut rx: mpsc::Receiver<IntentRequest>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        record(&node, std::mem::take(&mut batch)).await;
    }
}

async fn record(node: &Node, mut batch: Vec<IntentRequest>) {
    let facts = batch.iter().map(|request| Fact::Intent(request.intent.clone())).collect();
    let envelope = Envelope::new(node.clock.wall(), facts);
    loop {
        give_up_late(node, &mut batch);
        if batch.is_empty() {
            return;
        }
        let offset = append(node, &envelope).await;
        wait_until_read(node, offset).await;
        batch = answer_known(node, batch);
        if batch.is_empty() {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn give_up_late(node: &Node, batch: &mut Vec<IntentRequest>) {
    let now = node.now();
    let late = batch.extract_if(.., |request| now >= request.until || request.done.is_closed());
    for request in late {
        let _ = request.done.send(IntentOutcome::Unconfirmed);
    }
}

/// Waits for the append to be read back; a lost reply waits for whatever comes.
async fn wait_until_read(node: &Node, offset: Option<Offset>) {
    let mut replayed = node.replayed.subscribe();
    let seen = *replayed.borrow();
    let read = replayed.wait_for(|next| offset.map_or(*next > seen, |offset| *next > offset));
    let _ = tokio::time::timeout(READ_BACK, read).await;
}

/// Answers those whose key has an owner by now, and gives back the others.
fn answer_known(node: &Node, batch: Vec<IntentRequest>) -> Vec<IntentRequest> {
    let mut unknown = Vec::new();
    for request in batch {
        match outcome(node, &request.intent) {
            Some(outcome) => {
                if outcome == IntentOutcome::Granted {
                    node.counters.intents.add(1);
                }
                let _ = request.done.send(outcome);
            }
            None => unknown.push(request),
        }
    }
    unknown
}

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
