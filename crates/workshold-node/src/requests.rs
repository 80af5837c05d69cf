//! Requests in flight, and the request ids by which callers resume or cancel streams.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::TeamName;
use workshold_protocol::signing::ClusterKey;
use workshold_protocol::signing::KEY_LEN;
use workshold_protocol::signing::SealPurpose;

use crate::shards::Shards;

/// Where a stream runs. Its caller gets it as the request id, with a seal by the cluster
/// key, so that any node can find the stream, and only for the team that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLocation {
    /// Random id of the stream at the engine.
    pub stream: Uuid,
    /// Team that sent the request.
    pub team: TeamName,
    /// Model that generates it.
    pub model: ModelName,
    /// Instance that runs the stream: the head of its group.
    pub instance: InstanceId,
    /// Whether the caller used the chat API, and so gets chat chunks.
    pub is_chat: bool,
}

impl StreamLocation {
    /// The request id for the caller: seal and content in URL-safe base64.
    pub fn seal(&self, key: &ClusterKey) -> String {
        let body = postcard::to_stdvec(self).expect("a location always serialises");
        let mut bytes = key.seal(SealPurpose::RequestId, &body).to_vec();
        bytes.extend_from_slice(&body);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a request id; `None` if no node of this deployment issued it.
    pub fn open(text: &str, key: &ClusterKey) -> Option<Self> {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (seal, body) = bytes.split_at_checked(KEY_LEN)?;
        if !key.is_valid_seal(SealPurpose::RequestId, body, seal) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}

/// A request in flight, for the dump of the node's state.
#[derive(Debug, Clone, Serialize)]
pub struct InFlight {
    /// Team that sent the request.
    pub team: TeamName,
    /// Name of the model or plain service.
    pub target: String,
    /// Group that it was sent to; `None` while it waits, and for plain services.
    pub group: Option<GroupId>,
    /// When it arrived, by this node's clock.
    pub since: Millis,
}

/// All requests in flight at this node; a planned stop waits until it is empty.
#[derive(Debug, Default)]
pub struct InFlightTable {
    entries: Shards<Uuid, InFlight>,
}

/// Keeps a request in the table until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    table: &'a InFlightTable,
    id: Uuid,
}

impl InFlightTable {
    /// Adds a request, which stays in the table until the guard is dropped.
    pub fn track(&self, request: InFlight) -> InFlightGuard<'_> {
        let id = Uuid::new_v4();
        self.entries.with_entry(&id, || request, |_| ());
        InFlightGuard { table: self, id }
    }

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Copies of all requests in flight, in no order.
    pub fn all(&self) -> Vec<InFlight> {
        let mut all = Vec::new();
        self.entries.for_each(|_, request| all.push(request.clone()));
        all
    }
}

impl InFlightGuard<'_> {
    /// Sets the group that the request was sent to.
    pub fn set_group(&self, group: &GroupId) {
        self.table.entries.get(&self.id, |request| request.group = Some(group.clone()));
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.table.entries.with_shard(&self.id, |shard| shard.remove(&self.id));
    }
}
