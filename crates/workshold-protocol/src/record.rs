//! What stands in the platform's log.
//!
//! A record is a sealed [`Envelope`] of one or more [`Fact`]s. The envelope is
//! JSON text, so that what lasts can be read by people and by later versions.
//! Every fact states what it relied on; the fold in `workshold-core` rejects it
//! if that has moved, so a fact appended twice, or late, does no harm.

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

/// One append: several facts that stand at the same offset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Names this append, also when it is made again after a lost reply.
    pub id: RecordId,
    /// Wall time of the writer; for people only, no rule reads it.
    pub at: Millis,
    /// What it says.
    pub facts: Vec<Fact>,
}

impl Envelope {
    /// An envelope with a new id.
    pub fn new(at: Millis, facts: Vec<Fact>) -> Self {
        Self { id: RecordId::random(), at, facts }
    }
}

/// One lasting decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fact {
    /// A bundle can now be signed off.
    BundlePublished(Box<SignedBundle>),
    /// A bundle replaces `parent` as the one in force.
    BundleSignedOff(SignOff),
    /// An instance is to be taken out of service with a plan.
    StopRequested(StopRequest),
    /// Free instances become one group. Its offset is the fencing number.
    GroupFormed(GroupFormation),
    /// A group takes no new work.
    GroupDraining(GroupEnd),
    /// A group has ended; its members are still claimed.
    GroupDissolved(GroupEnd),
    /// A member of an ended group is free again.
    MemberReleased(MemberRelease),
    /// A request that may run at most once belongs to one node.
    Intent(Intent),
    /// Keys made before this are forgotten, and refused from now on.
    KeysForgotten(KeyExpiry),
    /// All of the above up to an offset, restated before the log drops it.
    Checkpoint(Checkpoint),
}

/// See [`Fact::BundleSignedOff`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignOff {
    /// The bundle that comes into force.
    pub bundle: BundleHash,
    /// The one it replaces; none for the first.
    pub parent: Option<BundleHash>,
}

/// See [`Fact::StopRequested`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopRequest {
    /// The instance to stop.
    pub instance: InstanceId,
    /// False takes an earlier request back.
    pub stop: bool,
}

/// See [`Fact::GroupFormed`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupFormation {
    /// The group's name, new for each formation.
    pub group: GroupId,
    /// The bundle in force that asks for it.
    pub bundle: BundleHash,
    /// What it serves.
    pub model: ModelName,
    /// Which version of it.
    pub version: Version,
    /// Which of the model's sizes it has.
    pub role: RoleName,
    /// Where all of its members are.
    pub domain: FabricDomain,
    /// Its members; callers are served by the first.
    pub members: Vec<Member>,
    /// How far the writer had read when it took the members for free.
    pub relied_on: Offset,
    /// The active group that this one stands in for until that can drain.
    #[serde(default)]
    pub replaces: Option<ReplacedGroup>,
}

/// A group that another takes over from.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplacedGroup {
    /// The group.
    pub group: GroupId,
    /// Its fencing number.
    pub fence: FencingToken,
}

/// An instance in one of its lives.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its life: one that died and came back is another.
    pub incarnation: Incarnation,
}

/// See [`Fact::GroupDraining`] and [`Fact::GroupDissolved`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupEnd {
    /// The group.
    pub group: GroupId,
    /// Its fencing number.
    pub fence: FencingToken,
    /// Why.
    pub cause: EndCause,
}

/// Why a group ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// A member is gone or came back as another life.
    MemberLost,
    /// An operator stops one of its members.
    PlannedStop,
    /// The bundle in force does not ask for it any more.
    NotWanted,
    /// It runs an older version than the bundle in force asks for.
    OldVersion,
    /// Its members and what is free make a larger group.
    Outgrown,
}

/// See [`Fact::MemberReleased`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRelease {
    /// The ended group.
    pub group: GroupId,
    /// Its fencing number.
    pub fence: FencingToken,
    /// The member that was seen outside of it.
    pub instance: InstanceId,
}

/// See [`Fact::Intent`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The caller's key, as a digest bound to the team.
    pub key: KeyDigest,
    /// When the key was made, as the key itself says.
    pub key_time: Millis,
    /// What was asked under the key.
    pub request: RequestDigest,
    /// The only node that may run it.
    pub node: NodeId,
    /// In the only life in which it may.
    pub incarnation: Incarnation,
}

/// See [`Fact::KeysForgotten`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyExpiry {
    /// Keys made earlier are refused.
    pub before: Millis,
}

/// See [`Fact::Checkpoint`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The first offset that the state does not cover.
    pub next: Offset,
    /// The digest of all that was replayed up to there.
    pub digest: StateDigest,
    /// The state, as the fold wrote it.
    pub state: String,
}

impl Fact {
    /// The kind's name, for logs and errors.
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

    /// Whether only operators may write it; all else only nodes may.
    pub const fn is_operators(&self) -> bool {
        matches!(self, Self::BundlePublished(_) | Self::BundleSignedOff(_) | Self::StopRequested(_))
    }
}

/// Who wrote a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Author {
    /// Some node of this deployment.
    Node,
    /// An operator whose key the settings trust.
    Operator(OperatorName),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Seal {
    Node(String),
    Operator(OperatorSignature),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sealed {
    body: String,
    seal: Seal,
}

fn body_text(envelope: &Envelope) -> String {
    serde_json::to_string(envelope).expect("an envelope has only text keys")
}

fn sealed_text(body: String, seal: Seal) -> String {
    serde_json::to_string(&Sealed { body, seal }).expect("a sealed record is text")
}

/// Seals `envelope` as a node and gives the text to append.
pub fn seal_as_node(envelope: &Envelope, key: &ClusterKey) -> String {
    let body = body_text(envelope);
    let seal = RecordSeal(key.seal(SealPurpose::Record, body.as_bytes()));
    sealed_text(body, Seal::Node(seal.to_string()))
}

/// Seals `envelope` as an operator and gives the text to append.
pub fn seal_as_operator(envelope: &Envelope, key: &OperatorKey) -> String {
    let body = body_text(envelope);
    let signature = key.sign(body.as_bytes());
    sealed_text(body, Seal::Operator(signature))
}

struct RecordSeal([u8; crate::signing::KEY_LEN]);

impl std::fmt::Display for RecordSeal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Reads a record and checks its seal, and that its author may write each fact.
///
/// # Errors
///
/// [`Error`] says which of these failed; such a record is counted and passed over.
pub fn open(
    text: &str,
    key: &ClusterKey,
    operators: &TrustedOperators,
) -> Result<(Envelope, Author)> {
    let unreadable = |why: serde_json::Error| Error::Unreadable {
        what: "a record".to_owned(),
        why: why.to_string(),
    };
    let Sealed { body, seal } = serde_json::from_str(text).map_err(unreadable)?;
    let author = match seal {
        Seal::Node(seal) => check_node_seal(&body, &seal, key)?,
        Seal::Operator(signature) => {
            Author::Operator(operators.verify(body.as_bytes(), &signature)?.clone())
        }
    };
    let envelope: Envelope = serde_json::from_str(&body).map_err(unreadable)?;
    envelope.facts.iter().try_for_each(|fact| check_author(fact, &author, operators))?;
    Ok((envelope, author))
}

fn check_node_seal(body: &str, seal: &str, key: &ClusterKey) -> Result<Author> {
    let want = RecordSeal(key.seal(SealPurpose::Record, body.as_bytes())).to_string();
    // Both are hashed first, so that the comparison's time tells nothing.
    if blake3::hash(want.as_bytes()) == blake3::hash(seal.as_bytes()) {
        Ok(Author::Node)
    } else {
        Err(Error::BadSeal)
    }
}

fn check_author(fact: &Fact, author: &Author, operators: &TrustedOperators) -> Result<()> {
    if fact.is_operators() != matches!(author, Author::Operator(_)) {
        return Err(Error::NotAllowed { what: fact.kind(), author: format!("{author:?}") });
    }
    if let Fact::BundlePublished(signed) = fact {
        operators.verify(signed.bundle.canonical().as_bytes(), &signed.signature)?;
        signed.bundle.clone().into_validated()?;
    }
    Ok(())
}
