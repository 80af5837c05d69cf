//! The state that results from the log, and the only way to apply a record to it.

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

/// The durable state as of an offset of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    next: Offset,
    digest: StateDigest,
    /// Published bundles and the one in force.
    pub bundles: Bundles,
    /// Groups, the instances that they claim, and planned stops.
    pub fleet: Fleet,
    /// Idempotency keys and their owners.
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

/// Whether a fact was accepted, or why it was rejected.
pub type Outcome = Result<(), Rejection>;

/// Why a fact was rejected: a precondition no longer held, as another record came first
/// in the log. That is part of normal operation.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Rejection {
    /// the fact changes nothing
    #[serde(rename = "Known")]
    NoChange,
    /// another bundle is in force
    #[serde(rename = "BundleMoved")]
    BundleChanged {
        /// The bundle in force; `None` if there is none yet.
        in_force: Option<BundleHash>,
    },
    /// the bundle is not among the published ones
    UnknownBundle,
    /// the bundle in force does not ask for the group
    NotWanted,
    /// {instance} is claimed by a group
    Claimed {
        /// The instance.
        instance: InstanceId,
    },
    /// {instance} was claimed, released or stopped since the writer read the log
    #[serde(rename = "InstanceMoved")]
    InstanceChanged {
        /// The instance.
        instance: InstanceId,
    },
    /// the group has changed or ended since the writer read the log
    #[serde(rename = "GroupMoved")]
    GroupChanged,
    /// a node owns the idempotency key already
    KeyTaken,
    /// the idempotency key was created before the floor
    KeyForgotten,
}

/// Why a record cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ApplyError {
    /// the record at offset {got} is not the next one, {want}
    Gap {
        /// The next offset.
        want: Offset,
        /// The record's offset.
        got: Offset,
    },
}

impl std::error::Error for ApplyError {}

impl State {
    /// The first offset that is not applied yet.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The digest of all records so far: equal digests mean equal histories.
    pub fn digest(&self) -> StateDigest {
        self.digest
    }

    /// Applies the record at `offset` and returns the outcome of each of its facts.
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
        self.advance(offset, &[&envelope.id.0, &accepted]);
        Ok(outcomes)
    }

    /// Skips a record of another deployment, or one whose seal is invalid.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] unless `offset` is the next one.
    pub fn skip(&mut self, offset: Offset) -> Result<(), ApplyError> {
        self.check_next(offset)?;
        self.advance(offset, &[]);
        Ok(())
    }

    /// Encodes this state for a checkpoint record.
    pub fn to_checkpoint(&self) -> Checkpoint {
        let bytes =
            postcard::to_stdvec(self).expect("every sequence in the state has a known length");
        Checkpoint { next: self.next, digest: self.digest, state: encode(&bytes) }
    }

    /// Decodes a state; `None` if the text is invalid or its offset and digest differ
    /// from the checkpoint's.
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

    fn advance(&mut self, offset: Offset, parts: &[&[u8]]) {
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

/// Base64 text for the binary state inside a JSON record.
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
