//! Messages between nodes.
//!
//! Nodes poll each other; nothing is pushed. A response states the age of its data instead of
//! a time, since clocks of two nodes can't be compared. The requester subtracts that age from the
//! time at which it sent the request, by its own clock: the data is no older than that, whatever
//! the network delays were.

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

/// A request to another node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Unguessable random number that the response must repeat. A response with another nonce, such
    /// as a late or replayed one, is dropped.
    pub nonce: u64,
    /// The requesting node.
    pub from: NodeId,
    /// What is requested.
    pub ask: PeerQuery,
}

/// What a node can request from another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerQuery {
    /// The node's status and what it knows of instances and groups.
    Digest {
        /// Data centre of the requester. A node of the same data centre gets the reports that the
        /// responding node obtained by its own probes. A node of another one gets the groups that
        /// serve here and the status of the other nodes here.
        data_centre: DataCentre,
    },
    /// Records of the log, for a node that cannot reach the log service.
    Records {
        /// Offset of the first record wanted.
        from: Offset,
    },
    /// The stored result of the request with an idempotency key.
    KeyResult {
        /// Digest of the idempotency key.
        key: KeyDigest,
    },
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerResponse {
    /// The nonce of the request.
    pub nonce: u64,
    /// The responding node.
    pub from: NodeId,
    /// Content of the response.
    pub body: PeerResponseBody,
}

/// Content of a [`PeerResponse`], by the kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponseBody {
    /// Response to [`PeerQuery::Digest`].
    Digest(Box<NodeSummary>),
    /// Response to [`PeerQuery::Records`] with the records from the requested offset on, or from
    /// the responding node's checkpoint if that is all it still has.
    Records {
        /// Offsets and sealed texts of the records.
        records: Vec<(Offset, String)>,
        /// The first offset that the responding node has not read.
        next: Offset,
        /// Whether the responding node is authoritative: whether the bundle that it has read may be
        /// treated as the one in force.
        custody: bool,
    },
    /// Response to [`PeerQuery::KeyResult`]; `None` if the node has no result for the key.
    KeyResult(Option<StoredResponse>),
}

/// A node's status and what it knows of instances, groups and other nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeSummary {
    /// Status of the responding node.
    pub own: NodeStatus,
    /// The other live nodes of its data centre; empty for a requester of the same data centre.
    pub near: Vec<AgedNode>,
    /// Reports from its own probes; empty for a requester of another data centre.
    pub reports: Vec<AgedReport>,
    /// The groups of its data centre that serve; empty for a requester of the same data centre.
    pub groups: Vec<AgedGroup>,
}

/// A group that a node found ready by checking the reports of all members.
///
/// Ages are as of the time at which the response was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedGroup {
    /// Name of the group.
    pub group: GroupId,
    /// Its fencing token.
    pub fence: FencingToken,
    /// Age of the oldest member's report.
    pub age: Millis,
    /// Age of the report of the head (the member that serves callers), which states the load.
    pub load_age: Millis,
    /// Requests in the group, running and queued, by the head's report.
    pub reported: u32,
    /// Requests that the group can run at once.
    pub slots: u32,
}

/// Status that a node reports of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is authoritative: whether the bundle that it has read may be treated as the one
    /// in force.
    pub custody: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address at which callers reach it.
    pub callers: String,
    /// The bundle that it serves by; `None` if it has read none.
    pub bundle: Option<BundleHash>,
    /// The first offset of the log that it has not replayed.
    pub next: Offset,
    /// Requests in progress.
    pub in_flight: u32,
    /// Recent request rates of the teams at this node.
    pub demand: Vec<TeamDemand>,
}

/// Recent request rate of a team at one node. Nodes split a team's rate limit by it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Name of the team.
    pub team: TeamName,
    /// Requests per second, smoothed.
    pub requests_per_s: f32,
}

/// Status of a third node, with its age when the response was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedNode {
    /// Name of that node.
    pub node: NodeId,
    /// Time since the responding node requested the status, by its own clock.
    pub age: Millis,
    /// The status.
    pub status: NodeStatus,
}

/// An instance's report, with its age when the response was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgedReport {
    /// The instance that reported.
    pub instance: InstanceId,
    /// Time since the responding node sent the probe, by its own clock.
    pub age: Millis,
    /// The report, whose `lag` is not part of `age`.
    pub report: Report,
}

/// The HTTP response of a request with an idempotency key, stored for repeats of the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Maximum length of a message between nodes, seal included, in bytes.
pub const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// Serialises `message` in postcard format and puts its seal before it.
pub fn encode_sealed<T: Serialize>(message: &T, key: &ClusterKey) -> Vec<u8> {
    let body = postcard::to_stdvec(message).expect("messages have only sized parts");
    let mut out = key.seal(SealPurpose::Peer, &body).to_vec();
    out.extend_from_slice(&body);
    out
}

/// Checks the seal of a message and deserialises it.
///
/// # Errors
///
/// [`Error::BadSeal`] if the length is out of range or the seal is invalid, such as one made with
/// another cluster key; [`Error::Unreadable`] if the content is not a `T`.
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
