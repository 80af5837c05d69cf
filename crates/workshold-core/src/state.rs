//! The fold of the log: one state, one way to apply a record.

use base64_state::decode;
use base64_state::encode;
use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::ids::BundleHash;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::StateDigest;
use workshold_protocol::record::Checkpoint;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;

use crate::bundles::Bundles;
use crate::fleet::Fleet;
use crate::keys::Keys;

/// All that lasts, as of some offset of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    next: Offset,
    digest: StateDigest,
    /// Published and signed-off bundles.
    pub bundles: Bundles,
    /// Groups and their instances.
    pub fleet: Fleet,
    /// Idempotency keys.
    pub keys: Keys,
}

impl Default for State {
    fn default() -> Self {
        Self {
            next: Offset(0),
            digest: StateDigest([0; workshold_protocol::ids::DIGEST_LEN]),
            bundles: Bundles::default(),
            fleet: Fleet::default(),
            keys: Keys::default(),
        }
    }
}

/// What became of a fact.
pub type Outcome = Result<(), Rejection>;

/// Why a fact did not count. None of these is an error: somebody was faster.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Rejection {
    /// it is so already
    Known,
    /// another bundle is in force
    BundleMoved {
        /// Which one.
        in_force: Option<BundleHash>,
    },
    /// the bundle was not published
    UnknownBundle,
    /// the bundle in force does not ask for it
    NotWanted,
    /// {instance} is claimed by a group
    Claimed {
        /// The instance.
        instance: InstanceId,
    },
    /// {instance} has changed hands since
    InstanceMoved {
        /// The instance.
        instance: InstanceId,
    },
    /// the group has changed since
    GroupMoved,
    /// another node has the key
    KeyTaken,
    /// the key is older than what is remembered
    KeyForgotten,
}

/// Why a record cannot be applied at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ApplyError {
    /// the record at {got} does not follow; {want} is next
    Gap {
        /// What was expected.
        want: Offset,
        /// What came.
        got: Offset,
    },
}

impl std::error::Error for ApplyError {}

impl State {
    /// The first offset that is not in this state.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Names all that was replayed: equal digests mean equal histories.
    pub fn digest(&self) -> StateDigest {
        self.digest
    }

    /// Applies the record at `offset` and gives each fact's outcome.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] unless `offset` is the next one.
    pub fn apply(
        &mut self,
        offset: Offset,
        envelope: &Envelope,
    ) -> Result<Vec<Outcome>, ApplyError> {
        self.check_next(offset)?;
        let outcomes: Vec<_> =
            envelope.facts.iter().map(|fact| self.apply_fact(offset, fact)).collect();
        let accepted: Vec<u8> = outcomes.iter().map(|outcome| outcome.is_ok().into()).collect();
        self.step(offset, &[&envelope.id.0, &accepted]);
        Ok(outcomes)
    }

    /// Passes over a record that is not ours or whose seal does not fit.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] unless `offset` is the next one.
    pub fn skip(&mut self, offset: Offset) -> Result<(), ApplyError> {
        self.check_next(offset)?;
        self.step(offset, &[]);
        Ok(())
    }

    /// Restates this state for the log.
    pub fn to_checkpoint(&self) -> Checkpoint {
        let bytes = postcard::to_stdvec(self).expect("the state has only sized parts");
        Checkpoint { next: self.next, digest: self.digest, state: encode(&bytes) }
    }

    /// Reads a state back; none if the text is none or does not fit its digest.
    pub fn from_checkpoint(checkpoint: &Checkpoint) -> Option<Self> {
        let state: Self = postcard::from_bytes(&decode(&checkpoint.state)?).ok()?;
        (state.next == checkpoint.next && state.digest == checkpoint.digest).then_some(state)
    }

    fn check_next(&self, offset: Offset) -> Result<(), ApplyError> {
        if offset == self.next {
            Ok(())
        } else {
            Err(ApplyError::Gap { want: self.next, got: offset })
        }
    }

    fn apply_fact(&mut self, at: Offset, fact: &Fact) -> Outcome {
        match fact {
            Fact::BundlePublished(signed) => self.bundles.publish(&signed.bundle, at),
            Fact::BundleSignedOff(sign_off) => self.bundles.sign_off(sign_off, at),
            Fact::StopRequested(request) => self.fleet.request_stop(request),
            Fact::GroupFormed(formation) => self.fleet.form(formation, self.bundles.in_force(), at),
            Fact::GroupDraining(end) => self.fleet.drain(end, at),
            Fact::GroupDissolved(end) => self.fleet.dissolve(end, at),
            Fact::MemberReleased(release) => self.fleet.release(release, at),
            Fact::Intent(intent) => self.keys.claim(intent, at),
            Fact::KeysForgotten(floor) => self.keys.forget(*floor),
            Fact::Checkpoint(_) => Ok(()),
        }
    }

    fn step(&mut self, offset: Offset, parts: &[&[u8]]) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.digest.0);
        hasher.update(&offset.0.to_le_bytes());
        parts.iter().for_each(|part| {
            hasher.update(part);
        });
        let hash = hasher.finalize();
        self.digest.0.copy_from_slice(&hash.as_bytes()[..workshold_protocol::ids::DIGEST_LEN]);
        self.next = offset.next();
    }
}

/// Binary text for the checkpoint inside a JSON record.
mod base64_state {
    use base64::Engine as _;
    use base64::engine::general_purpose::STANDARD;

    pub(super) fn encode(bytes: &[u8]) -> String {
        STANDARD.encode(bytes)
    }

    pub(super) fn decode(text: &str) -> Option<Vec<u8>> {
        STANDARD.decode(text).ok()
    }
}
