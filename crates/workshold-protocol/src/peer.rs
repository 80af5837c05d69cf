//! What nodes ask and tell each other.
//!
//! A node asks and another answers; nothing is pushed. The asker knows when it
//! asked, so whatever an answer calls `age` old is at most that much older than
//! the question by the asker's own clock, however long either was under way.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::error::Error;
use crate::error::Result;
use crate::ids::BundleHash;
use crate::ids::DataCentre;
use crate::ids::FencingToken;
use crate::ids::GroupId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::KeyDigest;
use crate::ids::NodeId;
use crate::ids::Offset;
use crate::ids::TeamName;
use crate::report::Report;
use crate::signing::ClusterKey;
use crate::signing::KEY_LEN;
use crate::signing::SealPurpose;

/// A question with the number that its answer must repeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Unguessable; an answer to another question is dropped.
    pub nonce: u64,
    /// Who asks.
    pub from: NodeId,
    /// What.
    pub ask: PeerQuery,
}

/// What a node may ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerQuery {
    /// How are you, and which reports do you have?
    Digest {
        /// Where the asker is. A node of the same data centre is told the reports
        /// that this one probed itself; a node of another, which groups serve here.
        data_centre: DataCentre,
    },
    /// The records as they stand, for a node that cannot reach the log.
    Records {
        /// The first one wanted.
        from: Offset,
    },
    /// What came of the request with this key?
    KeyResult {
        /// The key.
        key: KeyDigest,
    },
}

/// An answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// The question's number.
    pub nonce: u64,
    /// Who answers.
    pub from: NodeId,
    /// The answer itself.
    pub body: PeerResponseBody,
}

/// What a node may answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponseBody {
    /// To [`PeerQuery::Digest`].
    Digest(Box<NodeSummary>),
    /// To [`PeerQuery::Records`]: what it has from there on, or from its checkpoint.
    Records {
        /// Offsets and sealed texts.
        records: Vec<(Offset, String)>,
        /// The first offset that the answering node does not know.
        next: Offset,
        /// Whether that may be taken for what is in force.
        custody: bool,
    },
    /// To [`PeerQuery::KeyResult`].
    KeyResult(Option<StoredResponse>),
}

/// How a node is, and what it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeSummary {
    /// The node itself.
    pub own: NodeStatus,
    /// For an asker of another data centre: the other nodes of this one.
    pub near: Vec<AgedNode>,
    /// For an asker of the same data centre: reports it probed, each with its age.
    pub reports: Vec<AgedReport>,
    /// For an asker of another data centre: the groups of this one that serve.
    pub groups: Vec<AgedGroup>,
}

/// A group that a node judged by the reports of every member, and how old the
/// oldest of them was when the answer was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedGroup {
    /// The group.
    pub group: GroupId,
    /// Its fencing number.
    pub fence: FencingToken,
    /// Age of the oldest report that it stands on.
    pub age: Millis,
    /// Age of its head's report, which has the load.
    pub load_age: Millis,
    /// Requests in it by that report.
    pub reported: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// How a node is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Which life of the node speaks.
    pub incarnation: Incarnation,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether what it has read may be taken for what is in force.
    pub custody: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Where callers reach it.
    pub callers: String,
    /// The bundle it runs.
    pub bundle: Option<BundleHash>,
    /// The first offset it has not replayed.
    pub next: Offset,
    /// Requests it is working on.
    pub in_flight: u32,
    /// What each team wanted there of late.
    pub demand: Vec<TeamDemand>,
}

/// A team's demand at one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamName,
    /// Requests a second, smoothed.
    pub requests_per_s: f32,
}

/// A node's status and how long ago it was asked for, when the answer was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedNode {
    /// The node.
    pub node: NodeId,
    /// Time since it was asked, by the clock of whoever answers.
    pub age: Millis,
    /// What it said.
    pub status: NodeStatus,
}

/// A report and how long ago its probe was sent, when the answer was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedReport {
    /// Whose it is.
    pub instance: InstanceId,
    /// Time since the probe was sent, by the clock of whoever answers.
    pub age: Millis,
    /// The report.
    pub report: Report,
}

/// The whole answer of a request that ran once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// The longest message between nodes, in bytes.
pub const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// Packs `message` and puts its seal before it.
pub fn encode_sealed<T: Serialize>(message: &T, key: &ClusterKey) -> Vec<u8> {
    let body = postcard::to_stdvec(message).expect("messages have only sized parts");
    let mut out = key.seal(SealPurpose::Peer, &body).to_vec();
    out.extend_from_slice(&body);
    out
}

/// Checks the seal and unpacks a message.
///
/// # Errors
///
/// [`Error::BadSeal`] for a seal of another key, [`Error::Unreadable`] for
/// content that is no message.
pub fn decode_sealed<T: for<'de> Deserialize<'de>>(bytes: &[u8], key: &ClusterKey) -> Result<T> {
    if bytes.len() < KEY_LEN || bytes.len() > MAX_MESSAGE_LEN {
        return Err(Error::BadSeal);
    }
    let (seal, body) = bytes.split_at(KEY_LEN);
    if !key.is_valid_seal(SealPurpose::Peer, body, seal) {
        return Err(Error::BadSeal);
    }
    postcard::from_bytes(body).map_err(|err| Error::Unreadable {
        what: "a peer message".to_owned(),
        why: err.to_string(),
    })
}
