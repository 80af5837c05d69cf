//! The entry node on the users' platform.
//!
//! - [`settings`] are read and checked before anything starts, and read again when
//!   they change.
//! - [`node::Node`] is what all parts share, in pieces, each under its own lock.
//! - [`store_monitor`]: what if the store's answer is older than what this node holds?
//! - [`tasks`] run beside the callers: following the store, holding the lease,
//!   stewarding, talking to peers, looking after instances in doubt.
//! - [`callers`] answers requests; [`proxy`] carries them to upstreams.
//! - [`daemon`] starts and ends it all.

pub mod callers;
pub mod daemon;
pub mod events;
pub mod loads;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod proxy;
pub mod routing_table;
pub mod settings;
pub mod store_monitor;
pub mod tasks;
