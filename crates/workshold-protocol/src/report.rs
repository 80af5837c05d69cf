//! Reports of instances, orders to them, and the platform's instance list.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::ids::AdapterName;
use crate::ids::DataCentre;
use crate::ids::FabricDomain;
use crate::ids::FencingToken;
use crate::ids::GroupId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::ModelName;
use crate::ids::RoleName;
use crate::ids::ServiceName;
use crate::ids::Version;

/// Status that an instance reports of itself when it is probed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the instance's process.
    pub incarnation: Incarnation,
    /// The group that it is in; `None` if it is in no group.
    pub membership: Option<GroupMembership>,
    /// The weights that are completely loaded in its memory, if any.
    pub loaded: Option<ModelWeights>,
    /// Maximum age of the reported data, as stated by the instance.
    pub lag: Millis,
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait in its queue.
    pub queued: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// Weights of one version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelWeights {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: Version,
}

/// The group that an instance reports to be in, and whether it can serve there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Name of the group.
    pub group: GroupId,
    /// The fencing token of the order by which it joined.
    pub fence: FencingToken,
    /// Whether the instance can serve.
    pub readiness: Readiness,
}

/// Whether a member of a group can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// The member is still loading weights.
    Loading,
    /// The member serves.
    Ready,
    /// The member finishes the requests that it has and takes no new ones.
    Draining,
}

/// An order to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The fencing token: the log offset of the record that this order carries out.
    pub fence: FencingToken,
    /// What the instance has to do.
    pub action: OrderAction,
}

/// What an order tells an instance to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OrderAction {
    /// Load the model and serve it together with the other members.
    Join(JoinOrder),
    /// Preload weights while in no group, so that a later join takes less time.
    Load {
        /// The weights to load.
        weights: ModelWeights,
        /// Size of the weights, in MiB.
        weights_mib: u32,
    },
    /// Take no new requests for a group.
    Drain {
        /// The group to drain.
        group: GroupId,
    },
    /// Leave a group and abort the requests that are left.
    Leave {
        /// The group to leave.
        group: GroupId,
    },
}

/// Content of [`OrderAction::Join`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinOrder {
    /// The group to join.
    pub group: GroupId,
    /// All members of the group, the head (which serves callers) first.
    pub members: Vec<InstanceId>,
    /// The model to load.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: Version,
    /// Adapters to load in addition.
    pub adapters: BTreeSet<AdapterName>,
    /// The group's role, which sets its size.
    pub role: RoleName,
    /// Size of the weights that this instance loads, in MiB.
    pub weights_mib: u32,
}

/// An entry of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Address of its engine or service, as `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What runs on it.
    pub kind: InstanceKind,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// What runs on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A model engine.
    Engine {
        /// Its fabric domain.
        domain: FabricDomain,
        /// Number of its accelerators.
        accelerators: u16,
        /// Whether it checks fencing tokens and rejects an order with an old one.
        fenced: bool,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: ServiceName,
    },
    /// An entry node; its `address` is for other nodes.
    Entry {
        /// Address for callers.
        callers: String,
    },
}
