//! Replays the log into the state: start from a checkpoint, application of records,
//! detection of diverged histories.

use std::collections::VecDeque;

use workshold_protocol::ids::Offset;
use workshold_protocol::ids::StateDigest;
use workshold_protocol::record::Checkpoint;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;

use crate::state::ApplyError;
use crate::state::Outcome;
use crate::state::State;

/// Past digests that are kept for comparison with checkpoints of other nodes.
const DIGESTS_KEPT: usize = 4096;

/// The state, with what is needed to apply further records of the log.
#[derive(Debug, Clone, Default)]
pub struct Replay {
    state: State,
    digests: VecDeque<(Offset, StateDigest)>,
    last_checkpoint: Option<Offset>,
}

/// The effect of one record.
#[derive(Debug, PartialEq, Eq)]
pub enum ReplayOutcome {
    /// It was applied; one outcome for each of its facts.
    Applied(Vec<Outcome>),
    /// Its offset is in the state already; nothing was done.
    Old,
    /// It contains a checkpoint of another history than this node's, which must never
    /// happen. The record was not applied.
    Diverged {
        /// The checkpoint's offset, at which the digests differ.
        next: Offset,
    },
}

/// How a node can start from the retained part of the log.
#[derive(Debug)]
pub enum ReplayStart {
    /// It can replay from this state on.
    From(Box<Replay>),
    /// The beginning of the log is no longer retained, and no checkpoint replaces it.
    NoCheckpoint,
}

impl Replay {
    /// The state after the records replayed so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The offset of the last replayed record with a checkpoint, if any.
    pub fn last_checkpoint(&self) -> Option<Offset> {
        self.last_checkpoint
    }

    /// Starts from the retained part of the log: `first` is its first offset, and
    /// `checkpoints` are those found in it, oldest first.
    ///
    /// The newest readable checkpoint is used of those whose records from `next` on
    /// are all retained.
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

    /// Applies the record at `offset`; `None` stands for a record that is not part of
    /// this deployment and is skipped.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] if a record before it has not been replayed.
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
            let own = self.digest_at(checkpoint.next)?;
            (own != checkpoint.digest).then_some(checkpoint.next)
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

/// The checkpoints among the facts of a record.
pub fn checkpoints_of(envelope: &Envelope) -> impl Iterator<Item = &Checkpoint> {
    envelope.facts.iter().filter_map(|fact| match fact {
        Fact::Checkpoint(checkpoint) => Some(checkpoint),
        _ => None,
    })
}

fn has_checkpoint(envelope: &Envelope) -> bool {
    checkpoints_of(envelope).next().is_some()
}
