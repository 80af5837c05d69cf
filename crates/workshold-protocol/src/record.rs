//! Records of the platform's log.
//!
//! A record is a sealed [`Envelope`] of one or more [`Fact`]s. The envelope is JSON text, so that
//! stored records remain readable by people and by later versions.
//!
//! Every fact states the preconditions that its writer relied on. When nodes replay the log
//! (`workshold-core`), they reject a fact whose preconditions no longer hold, so a fact that was
//! appended twice or too late does no harm.

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::SignedBundle;
use crate::clock::Millis;
use crate::error::Error;
use crate::error::Result;
use crate::ids::BundleHash;
use crate::ids::FabricDomain;
use crate::ids::FencingToken;
use crate::ids::GroupId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::KeyDigest;
use crate::ids::ModelName;
use crate::ids::NodeId;
use crate::ids::Offset;
use crate::ids::OperatorName;
use crate::ids::RecordId;
use crate::ids::RequestDigest;
use crate::ids::RoleName;
use crate::ids::StateDigest;
use crate::ids::Version;
use crate::signing::ClusterKey;
use crate::signing::OperatorKey;
use crate::signing::OperatorSignature;
use crate::signing::SealPurpose;
use crate::signing::TrustedOperators;

/// Content of one append: facts that share an offset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Id of the append. A retry after a lost reply keeps the id, so that the two records are
    /// recognised as one.
    pub id: RecordId,
    /// Wall-clock time of the writer; for people only, no decision depends on it.
    pub at: Millis,
    /// The facts to apply, in this order.
    pub facts: Vec<Fact>,
}

impl Envelope {
    /// Creates an envelope with a new id.
    pub fn new(at: Millis, facts: Vec<Fact>) -> Self {
        Self { id: RecordId::random(), at, facts }
    }
}

/// A decision that the log records: an entry in the deployment's replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fact {
    /// A bundle is available and can be signed off.
    BundlePublished(Box<SignedBundle>),
    /// A bundle replaces `parent` as the one in force.
    BundleSignedOff(SignOff),
    /// An operator requests, or withdraws the request, to take an instance out of service in an
    /// orderly way.
    StopRequested(StopRequest),
    /// Free instances form a group. The offset of this record is the group's fencing token.
    GroupFormed(GroupFormation),
    /// A group drains: it takes no new requests.
    GroupDraining(GroupEnd),
    /// A group has ended; its members stay claimed until they are released.
    GroupDissolved(GroupEnd),
    /// A member of a dissolved group is free for other groups.
    MemberReleased(MemberRelease),
    /// One node claims a request that must run at most once, before it runs it.
    Intent(Intent),
    /// Idempotency keys made before a time are forgotten, and rejected from now on.
    KeysForgotten(KeyExpiry),
    /// Snapshot of the state up to an offset, written before the log drops the older records.
    Checkpoint(Checkpoint),
}

/// Content of [`Fact::BundleSignedOff`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignOff {
    /// The bundle that comes into force.
    pub bundle: BundleHash,
    /// The bundle that it replaces; `None` for the first.
    pub parent: Option<BundleHash>,
}

/// Content of [`Fact::StopRequested`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopRequest {
    /// The instance to stop.
    pub instance: InstanceId,
    /// `false` withdraws an earlier request.
    pub stop: bool,
}

/// Content of [`Fact::GroupFormed`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupFormation {
    /// Name of the group, unique to this formation.
    pub group: GroupId,
    /// The bundle in force, which asks for the group.
    pub bundle: BundleHash,
    /// The model that the group serves.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: Version,
    /// The group's role, which sets its size.
    pub role: RoleName,
    /// The fabric domain of all members.
    pub domain: FabricDomain,
    /// The members. The first is the head, which serves callers.
    pub members: Vec<Member>,
    /// The offset up to which the writer had read the log when it found the members free. Replay
    /// rejects the formation if a member was released after that offset, so that a late duplicate
    /// of an old formation never claims it again.
    pub relied_on: Offset,
    /// The active group that this one replaces. That group drains once this one can serve.
    #[serde(default)]
    pub replaces: Option<ReplacedGroup>,
}

/// A group that a new group replaces.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplacedGroup {
    /// Name of the group.
    pub group: GroupId,
    /// Its fencing token.
    pub fence: FencingToken,
}

/// An instance in one of its incarnations.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation: an instance that restarted is no longer the same member.
    pub incarnation: Incarnation,
}

/// Content of [`Fact::GroupDraining`] and [`Fact::GroupDissolved`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupEnd {
    /// The group that drains or is dissolved.
    pub group: GroupId,
    /// Its fencing token.
    pub fence: FencingToken,
    /// Why it ends.
    pub cause: EndCause,
}

/// Why a group ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// A member is gone or has restarted.
    MemberLost,
    /// An operator requested to stop one of its members.
    PlannedStop,
    /// The bundle in force no longer asks for it.
    NotWanted,
    /// It runs another version than the bundle in force asks for.
    OldVersion,
    /// Its members and free instances together can form a larger group.
    Outgrown,
}

/// Content of [`Fact::MemberReleased`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRelease {
    /// The dissolved group.
    pub group: GroupId,
    /// Its fencing token.
    pub fence: FencingToken,
    /// The member to release, which was observed outside the group.
    pub instance: InstanceId,
}

/// Content of [`Fact::Intent`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Digest of the caller's idempotency key and its team.
    pub key: KeyDigest,
    /// Time at which the key was generated, which is part of the key.
    pub key_time: Millis,
    /// Digest of the request.
    pub request: RequestDigest,
    /// The only node that may run the request.
    pub node: NodeId,
    /// The only incarnation of that node that may run it.
    pub incarnation: Incarnation,
}

/// Content of [`Fact::KeysForgotten`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyExpiry {
    /// Keys generated before this time are rejected.
    pub before: Millis,
}

/// Content of [`Fact::Checkpoint`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The first offset that the snapshot does not cover.
    pub next: Offset,
    /// Digest of all records replayed before `next`.
    pub digest: StateDigest,
    /// The serialised state.
    pub state: String,
}

impl Fact {
    /// Returns the name of the variant, for logs and errors.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::BundlePublished(_) => "bundle_published",
            Self::BundleSignedOff(_) => "bundle_signed_off",
            Self::StopRequested(_) => "stop_requested",
            Self::GroupFormed(_) => "group_formed",
            Self::GroupDraining(_) => "group_draining",
            Self::GroupDissolved(_) => "group_dissolved",
            Self::MemberReleased(_) => "member_released",
            Self::Intent(_) => "intent",
            Self::KeysForgotten(_) => "keys_forgotten",
            Self::Checkpoint(_) => "checkpoint",
        }
    }

    /// Whether only operators may write this kind of fact. All others only nodes may write.
    pub const fn is_operator_only(&self) -> bool {
        matches!(self, Self::BundlePublished(_) | Self::BundleSignedOff(_) | Self::StopRequested(_))
    }
}

/// Who wrote a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Author {
    /// A node of this deployment; the seal does not tell which.
    Node,
    /// An operator whose key the settings trust, by name.
    Operator(OperatorName),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Seal {
    /// Seal under the cluster key, in hexadecimal.
    Node(String),
    Operator(OperatorSignature),
}

/// The text of a record in the log, as JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SealedRecord {
    /// JSON text of the [`Envelope`]. It is kept as text, because the seal is over its exact bytes.
    body: String,
    seal: Seal,
}

fn body_text(envelope: &Envelope) -> String {
    serde_json::to_string(envelope).expect("an envelope has only text keys")
}

fn sealed_text(body: String, seal: Seal) -> String {
    serde_json::to_string(&SealedRecord { body, seal }).expect("a sealed record is text")
}

/// Seals `envelope` with the cluster key and returns the text to append.
pub fn seal_as_node(envelope: &Envelope, key: &ClusterKey) -> String {
    let body = body_text(envelope);
    let seal = HexSeal(key.seal(SealPurpose::Record, body.as_bytes()));
    sealed_text(body, Seal::Node(seal.to_string()))
}

/// Signs `envelope` with an operator's key and returns the text to append.
pub fn seal_as_operator(envelope: &Envelope, key: &OperatorKey) -> String {
    let body = body_text(envelope);
    let signature = key.sign(body.as_bytes());
    sealed_text(body, Seal::Operator(signature))
}

/// A node's seal, displayed in hexadecimal.
struct HexSeal([u8; crate::signing::KEY_LEN]);

impl std::fmt::Display for HexSeal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Parses a record, checks its seal, and checks that its author may write each of its facts.
///
/// # Errors
///
/// An [`Error`] that says which of these failed. Nodes count such a record and skip it.
pub fn open(
    text: &str,
    key: &ClusterKey,
    operators: &TrustedOperators,
) -> Result<(Envelope, Author)> {
    let unreadable = |why: serde_json::Error| Error::Unreadable {
        what: "a record".to_owned(),
        why: why.to_string(),
    };
    let SealedRecord { body, seal } = serde_json::from_str(text).map_err(unreadable)?;
    let author = match seal {
        Seal::Node(seal) => check_node_seal(&body, &seal, key)?,
        Seal::Operator(signature) => {
            Author::Operator(operators.verify(body.as_bytes(), &signature)?.clone())
        }
    };
    let envelope: Envelope = serde_json::from_str(&body).map_err(unreadable)?;
    envelope.facts.iter().try_for_each(|fact| check_permission(fact, &author, operators))?;
    Ok((envelope, author))
}

fn check_node_seal(body: &str, seal: &str, key: &ClusterKey) -> Result<Author> {
    let expected = HexSeal(key.seal(SealPurpose::Record, body.as_bytes())).to_string();
    // Comparing `blake3::Hash` values takes constant time, so the duration reveals nothing about
    // the expected seal.
    if blake3::hash(expected.as_bytes()) == blake3::hash(seal.as_bytes()) {
        Ok(Author::Node)
    } else {
        Err(Error::BadSeal)
    }
}

fn check_permission(fact: &Fact, author: &Author, operators: &TrustedOperators) -> Result<()> {
    if fact.is_operator_only() != matches!(author, Author::Operator(_)) {
        return Err(Error::NotAllowed { what: fact.kind(), author: format!("{author:?}") });
    }
    if let Fact::BundlePublished(signed) = fact {
        operators.verify(signed.bundle.canonical_json().as_bytes(), &signed.signature)?;
        signed.bundle.clone().into_validated()?;
    }
    Ok(())
}
