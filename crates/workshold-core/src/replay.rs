//! Feeding the log to the state: catching up, checkpoints, divergence.

use std::collections::VecDeque;

use workshold_protocol::ids::Offset;
use workshold_protocol::ids::StateDigest;
use workshold_protocol::record::Checkpoint;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;

use crate::state::ApplyError;
use crate::state::Outcome;
use crate::state::State;

/// How many past digests are kept to compare with checkpoints of others.
const DIGESTS_KEPT: usize = 4096;

/// A state that is fed from the log.
#[derive(Debug, Clone, Default)]
pub struct Replay {
    state: State,
    digests: VecDeque<(Offset, StateDigest)>,
    last_checkpoint: Option<Offset>,
}

/// What one record did.
#[derive(Debug, PartialEq, Eq)]
pub enum ReplayOutcome {
    /// It was applied; one outcome for each fact.
    Applied(Vec<Outcome>),
    /// It lies before what is known already.
    Old,
    /// A checkpoint names another history than this one: a broken invariant.
    Diverged {
        /// The offset up to which the histories were compared.
        next: Offset,
    },
}

/// What a node that starts can do with the part of the log it was given.
#[derive(Debug)]
pub enum ReplayStart {
    /// It can go on from this state.
    From(Box<Replay>),
    /// The log's beginning is gone and nothing retained restates it.
    NoCheckpoint,
}

impl Replay {
    /// The state so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The offset of the last checkpoint that was read, if any.
    pub fn last_checkpoint(&self) -> Option<Offset> {
        self.last_checkpoint
    }

    /// Starts from what the log still has: `first` is its first offset, and
    /// `checkpoints` are those found, oldest first.
    ///
    /// A checkpoint serves only if all records from its `next` on are there.
    pub fn start(first: Offset, checkpoints: &[Checkpoint]) -> ReplayStart {
        let usable = checkpoints.iter().rev().filter(|checkpoint| checkpoint.next >= first);
        for checkpoint in usable {
            if let Some(state) = State::from_checkpoint(checkpoint) {
                return ReplayStart::From(Box::new(Self { state, ..Self::default() }));
            }
        }
        if first == Offset(0) {
            ReplayStart::From(Box::default())
        } else {
            ReplayStart::NoCheckpoint
        }
    }

    /// Takes the record at `offset`; `None` stands for one that is not ours.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] if records before it are missing.
    pub fn take(
        &mut self,
        offset: Offset,
        envelope: Option<&Envelope>,
    ) -> Result<ReplayOutcome, ApplyError> {
        if offset < self.state.next() {
            return Ok(ReplayOutcome::Old);
        }
        if let Some(next) = envelope.and_then(|envelope| self.divergence(envelope)) {
            return Ok(ReplayOutcome::Diverged { next });
        }
        let outcomes = match envelope {
            Some(envelope) => self.state.apply(offset, envelope)?,
            None => {
                self.state.skip(offset)?;
                Vec::new()
            }
        };
        if envelope.is_some_and(has_checkpoint) {
            self.last_checkpoint = Some(offset);
        }
        self.remember_digest();
        Ok(ReplayOutcome::Applied(outcomes))
    }

    fn divergence(&self, envelope: &Envelope) -> Option<Offset> {
        checkpoints_of(envelope).find_map(|checkpoint| {
            let mine = self.digest_at(checkpoint.next)?;
            (mine != checkpoint.digest).then_some(checkpoint.next)
        })
    }

    fn digest_at(&self, next: Offset) -> Option<StateDigest> {
        let i = self.digests.binary_search_by_key(&next, |(offset, _)| *offset).ok()?;
        Some(self.digests[i].1)
    }

    fn remember_digest(&mut self) {
        if self.digests.len() == DIGESTS_KEPT {
            self.digests.pop_front();
        }
        self.digests.push_back((self.state.next(), self.state.digest()));
    }
}

/// The checkpoints in a record.
pub fn checkpoints_of(envelope: &Envelope) -> impl Iterator<Item = &Checkpoint> {
    envelope.facts.iter().filter_map(|fact| match fact {
        Fact::Checkpoint(checkpoint) => Some(checkpoint),
        _ => None,
    })
}

fn has_checkpoint(envelope: &Envelope) -> bool {
    checkpoints_of(envelope).next().is_some()
}
