//! The entry node: serves callers, probes instances, and replaces groups that have lost a
//! member.
//!
//! - [`settings`] are read and checked before anything starts.
//! - [`node::Node`] is the shared state, each part of it under its own lock.
//! - [`tasks`] run in the background: replaying the log, probing instances, polling other
//!   nodes, planning for fabric domains as their steward, and maintaining the log.
//! - [`callers`] and [`operators`] are the HTTP APIs.
//! - [`daemon`] starts and stops the node.

pub mod callers;
pub mod counters;
pub mod daemon;
pub mod dispatcher;
pub mod dump;
pub mod events;
pub mod key_table;
pub mod log_client;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peer_link;
pub mod requests;
pub mod serving;
pub mod settings;
pub mod shards;
pub mod tail;
pub mod tasks;
