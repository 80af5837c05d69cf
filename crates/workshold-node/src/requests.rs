//! Requests under way, and the ids by which callers resume them.

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

/// Where a stream runs. Sealed, it is the id that its caller gets, so that any
/// node can find the stream and only its own team can ask for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLocation {
    /// The stream's name at the engine; unguessable.
    pub stream: Uuid,
    /// Whose it is.
    pub team: TeamName,
    /// What it asks.
    pub model: ModelName,
    /// The instance that generates it.
    pub instance: InstanceId,
    /// Whether it goes to a caller that reads chat chunks.
    pub is_chat: bool,
}

impl StreamLocation {
    /// The id for the caller.
    pub fn seal(&self, key: &ClusterKey) -> String {
        let body = postcard::to_stdvec(self).expect("a place has only sized parts");
        let mut bytes = key.seal(SealPurpose::RequestId, &body).to_vec();
        bytes.extend_from_slice(&body);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads an id; `None` for one that no node of this deployment gave out.
    pub fn open(text: &str, key: &ClusterKey) -> Option<Self> {
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let (seal, body) = bytes.split_at_checked(KEY_LEN)?;
        if !key.is_valid_seal(SealPurpose::RequestId, body, seal) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}

/// A request under way, for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct InFlight {
    /// Whose it is.
    pub team: TeamName,
    /// The model, or the plain service.
    pub target: String,
    /// The group that works on it, once there is one.
    pub group: Option<GroupId>,
    /// When it came, by this node's clock.
    pub since: Millis,
}

/// All requests under way at this node.
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
    /// Enters a request.
    pub fn track(&self, request: InFlight) -> InFlightGuard<'_> {
        let id = Uuid::new_v4();
        self.entries.with_entry(&id, || request, |_| ());
        InFlightGuard { table: self, id }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Copies of all of them.
    pub fn all(&self) -> Vec<InFlight> {
        let mut all = Vec::new();
        self.entries.for_each(|_, request| all.push(request.clone()));
        all
    }
}

impl InFlightGuard<'_> {
    /// Notes which group works on the request.
    pub fn set_group(&self, group: &GroupId) {
        self.table.entries.get(&self.id, |request| request.group = Some(group.clone()));
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.table.entries.with_shard(&self.id, |shard| shard.remove(&self.id));
    }
}
