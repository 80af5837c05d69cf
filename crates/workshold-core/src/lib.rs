//! The decision logic of workshold, free of I/O.
//!
//! Nothing here opens a socket, reads a clock or generates a random number:
//! every function takes its inputs as arguments and returns what to do. The
//! daemon, the tests, the model checker and the benches run the same code.
//!
//! - Durable state: [`state`] folds the log through the aggregates [`bundles`],
//!   [`fleet`] and [`keys`]; [`replay`] feeds records to it.
//! - Current observations: [`observation`] holds instances' reports, [`group_readiness`] decides
//!   from them whether a group is ready.
//! - Control: [`steward`] plans groups, with [`repair`] for broken ones;
//!   [`checkpointing`] maintains the log.
//! - Requests: [`lifecycle`], [`at_most_once`], [`routing`] with [`prefix`], [`admission`],
//!   [`limits`], [`retry`], [`outlier`].
//! - Deployments whose platform stores the state: [`hosted`].
//! - Nodes: [`membership`], [`instance_list`], [`authority`], [`rendezvous`].

pub mod admission;
pub mod at_most_once;
pub mod authority;
pub mod bundles;
pub mod checkpointing;
pub mod fleet;
pub mod group_readiness;
pub mod hosted;
pub mod instance_list;
pub mod keys;
pub mod lifecycle;
pub mod limits;
pub mod membership;
pub mod observation;
pub mod outlier;
pub mod prefix;
pub mod rendezvous;
pub mod repair;
pub mod replay;
pub mod retry;
pub mod routing;
pub mod state;
pub mod steward;
