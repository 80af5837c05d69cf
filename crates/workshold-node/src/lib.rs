//! The entry node: serves callers, watches upstreams, keeps groups whole.
//!
//! - [`settings`] are read and checked before anything starts.
//! - [`node::Node`] is what all parts share, in shards, each under its own lock.
//! - [`tasks`] run beside the callers: replaying the log, probing instances,
//!   asking peers, stewarding domains, keeping the log in order.
//! - [`callers`] and [`operators`] answer over HTTP.
//! - [`daemon`] starts and ends it all.

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
