//! The entry node for the users' platform: routes callers' requests to upstream instances.
//!
//! - [`settings`]: the settings file, validated before anything starts and reloaded when it
//!   changes.
//! - [`node::Node`]: the state that all modules share, in parts that each have their own lock.
//! - [`store_monitor`]: detects answers of the store that predate its last restore from a backup.
//! - [`tasks`]: background tasks: following the store, holding the lease, stewarding groups,
//!   gossip with peers, probing suspected instances.
//! - [`callers`]: the HTTP handlers; [`proxy`] proxies requests to upstreams.
//! - [`tunnel`]: connections to instances through a peer.
//! - [`daemon`]: startup and graceful shutdown.

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
pub mod tunnel;

/// The version of this program, with the identity of the sources that it was built from, as
/// `scripts/source-id` prints it.
pub const VERSION: &str =
    concat!(env!("CARGO_PKG_VERSION"), " (sources ", env!("WORKSHOLD_SOURCES"), ")");
