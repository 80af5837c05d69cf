//! What upstreams report and what they are told.

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

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Which life of the instance speaks.
    pub incarnation: Incarnation,
    /// The group that it is in.
    pub membership: Option<GroupMembership>,
    /// The weights that it has in memory, whole.
    pub loaded: Option<ModelWeights>,
    /// How old what it says may be, as it admits itself.
    pub lag: Millis,
    /// Requests that it is working on.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// Weights of a model in one version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
}

/// The group an instance says it is in, and how far it has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupMembership {
    /// The group.
    pub group: GroupId,
    /// The fencing number of the order that put it there.
    pub fence: FencingToken,
    /// Whether it can serve.
    pub readiness: Readiness,
}

/// Whether a member can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// It still loads weights.
    Loading,
    /// It serves.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// An order to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The offset of the record that this order carries out.
    pub fence: FencingToken,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OrderAction {
    /// Load the model and serve it together with the other members.
    Join(JoinOrder),
    /// Load weights while in no group, to be ready sooner for one.
    Load {
        /// Which.
        weights: ModelWeights,
        /// Their size, in MiB.
        weights_mib: u32,
    },
    /// Take nothing new for this group.
    Drain {
        /// The group.
        group: GroupId,
    },
    /// Leave this group; cut what is left.
    Leave {
        /// The group.
        group: GroupId,
    },
}

/// See [`OrderAction::Join`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JoinOrder {
    /// The group.
    pub group: GroupId,
    /// All its members, the one that serves callers first.
    pub members: Vec<InstanceId>,
    /// What to load.
    pub model: ModelName,
    /// Which version of it.
    pub version: Version,
    /// Which adapters beside it.
    pub adapters: BTreeSet<AdapterName>,
    /// Which size of group it is part of.
    pub role: RoleName,
    /// Size of the weights, in MiB.
    pub weights_mib: u32,
}

/// One row of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Where its engine or service listens, as `ip:port`.
    pub address: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it is for.
    pub kind: InstanceKind,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// What an instance is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// It runs a model engine.
    Engine {
        /// Its fabric domain.
        domain: FabricDomain,
        /// Its accelerators.
        accelerators: u16,
        /// Whether it refuses an order with an old fencing number.
        fenced: bool,
    },
    /// It runs a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
    /// It runs an entry node; `address` is where other nodes reach it.
    Entry {
        /// Where callers reach it.
        callers: String,
    },
}
