//! What a node does with a request that must run at most once.
//!
//! The log gives a key to one node, in one of its lives. That node runs the
//! request only if it began it itself and has not given it up; everybody else
//! asks the owner. There is no lease in this: a node that wakes from a pause
//! still owns the key, and nobody else ever will.

use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::NodeId;
use workshold_protocol::problem::Code;

use crate::keys::KeyStatus;
use crate::keys::Owner;

/// What this node, in this life, has done with a key so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyProgress {
    /// Nothing.
    Untouched,
    /// It asked the log for the key and waits.
    Recording,
    /// It gave up waiting, and told its caller that the request was not run.
    GivenUp,
    /// It has begun to run the request, or is done with it.
    Begun,
}

/// What to do next with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyAction<'a> {
    /// Ask the log for the key.
    Record,
    /// Wait for the log.
    Wait,
    /// Run it: the key is this request's.
    Run,
    /// Answer what this node keeps under the key.
    AnswerFromStore,
    /// Ask the owner what came of it; never run it.
    AskOwner(&'a Owner),
    /// Refuse it, with this code.
    Refuse(Code),
}

/// Decides on the next step by what the log says of the key, and what this node
/// has done with it.
pub fn next<'a>(
    status: &KeyStatus<'a>,
    me: (&NodeId, Incarnation),
    local: KeyProgress,
) -> KeyAction<'a> {
    match (status, local) {
        (_, KeyProgress::Begun | KeyProgress::GivenUp) => KeyAction::AnswerFromStore,
        (KeyStatus::Reused, _) => KeyAction::Refuse(Code::KeyReused),
        (KeyStatus::Forgotten, _) => KeyAction::Refuse(Code::KeyExpired),
        (KeyStatus::Free, KeyProgress::Untouched) => KeyAction::Record,
        (KeyStatus::Free, KeyProgress::Recording) => KeyAction::Wait,
        (KeyStatus::Owned(owner), KeyProgress::Recording) if is_me(owner, me) => KeyAction::Run,
        // Also where this node has the key but does not know what it did with it.
        (KeyStatus::Owned(owner), _) => KeyAction::AskOwner(owner),
    }
}

fn is_me(owner: &Owner, (node, incarnation): (&NodeId, Incarnation)) -> bool {
    &owner.node == node && owner.incarnation == incarnation
}
