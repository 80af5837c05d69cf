//! Orders from stewards to instances, and the replies.

use smol_str::SmolStr;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::ModelName;

use crate::hosted::identity::Identity;

/// An order to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Join a group.
    Join {
        /// Name of the group.
        group: GroupId,
        /// Epoch under which the group is formed.
        epoch: u64,
        /// Model to serve.
        model: ModelName,
        /// All members by rank, the head first.
        members: Vec<Identity>,
    },
    /// Start to serve requests; sent to the head of a group whose members are all ready.
    Open {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
    },
    /// Accept no new requests; sent to the head.
    Close {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
        /// Whether running requests are aborted; otherwise they drain.
        is_cut: bool,
    },
    /// Leave the group.
    Leave {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
        /// Whether it is sent to the head; a member leaves only if the head is missing.
        is_head: bool,
    },
    /// Fetch a model's weights from the weight store to the instance's host.
    Stage {
        /// Model whose weights are fetched.
        model: ModelName,
    },
}

/// An order with its recipient and fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Instance that receives the order.
    pub to: Identity,
    /// Network address of the instance.
    pub address: SmolStr,
    /// The order.
    pub order: Order,
    /// Fencing token of the lease under which the order is sent.
    pub fence: u64,
    /// Reason for the order, for logs.
    pub why: &'static str,
}

/// An instance's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// Accepted; execution has begun.
    Begun,
    /// Nothing to do: the instance is already in the requested state.
    Done,
    /// Refused: the order is not possible in the instance's current state.
    Unfit,
    /// Refused: the instance has seen a higher fencing token or epoch.
    Outranked,
    /// Refused: another instance listens at this address.
    Elsewhere,
    /// No usable reply; the order may still be executed.
    Unknown,
}
