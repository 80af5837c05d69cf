//! Decisions of workshold as pure functions.
//!
//! Nothing here opens a socket, reads a clock or draws a random number by
//! itself: every function takes what it needs and returns what to do. The
//! daemon, the tests, the model checker and the benches run the same code.
//!
//! - What lasts: [`state`] folds the log through the aggregates [`bundles`],
//!   [`fleet`] and [`keys`]; [`replay`] feeds it.
//! - What is true now: [`observation`] keeps reports, [`group_readiness`] judges a group.
//! - What to do about it: [`steward`] with [`repair`]; [`checkpointing`].
//! - Requests: [`lifecycle`], [`at_most_once`], [`routing`], [`admission`], [`limits`], [`retry`],
//!   [`outlier`].
//! - Where the platform keeps the state: [`hosted`].
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
