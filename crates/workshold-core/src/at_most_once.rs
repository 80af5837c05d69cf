//! What a node does with a request that must run at most once.
//!
//! The log gives an idempotency key to one incarnation of one node. That node runs
//! the request only if it has claimed the key for this very call and has not given
//! up waiting; all other nodes ask the owner for the result. No lease is involved: a
//! node that resumes after a pause still owns the key, and no other node ever will.

use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::NodeId;
use workshold_protocol::problem::ProblemCode;

use crate::keys::KeyStatus;
use crate::keys::Owner;

/// What this incarnation of the node has done with a key so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyProgress {
    /// Nothing.
    Untouched,
    /// It has appended an intent to the log and waits to read it back.
    Recording,
    /// It stopped waiting and told its caller that the request was not run.
    GivenUp,
    /// It has started to run the request, and may have finished it.
    Begun,
}

/// What to do next with the request of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyAction<'a> {
    /// Append an intent to the log.
    Record,
    /// Wait until the intent is read back from the log.
    Wait,
    /// Run the request: this node owns the key.
    Run,
    /// Answer with the result that this node has stored for the key.
    AnswerFromStore,
    /// Ask the owner for the result; never run the request.
    AskOwner(&'a Owner),
    /// Refuse the request with this code.
    Refuse(ProblemCode),
}

/// The next action, given what the log says of the key and what this node (`me`)
/// has done with it.
pub fn next<'a>(
    status: &KeyStatus<'a>,
    me: (&NodeId, Incarnation),
    local: KeyProgress,
) -> KeyAction<'a> {
    match (status, local) {
        (_, KeyProgress::Begun | KeyProgress::GivenUp) => KeyAction::AnswerFromStore,
        (KeyStatus::Reused, _) => KeyAction::Refuse(ProblemCode::KeyReused),
        (KeyStatus::Forgotten, _) => KeyAction::Refuse(ProblemCode::KeyExpired),
        (KeyStatus::Free, KeyProgress::Untouched) => KeyAction::Record,
        (KeyStatus::Free, KeyProgress::Recording) => KeyAction::Wait,
        (KeyStatus::Owned(owner), KeyProgress::Recording) if is_me(owner, me) => KeyAction::Run,
        // Includes a key that this node owns without knowing whether it ran the request.
        (KeyStatus::Owned(owner), _) => KeyAction::AskOwner(owner),
    }
}

fn is_me(owner: &Owner, (node, incarnation): (&NodeId, Incarnation)) -> bool {
    &owner.node == node && owner.incarnation == incarnation
}
