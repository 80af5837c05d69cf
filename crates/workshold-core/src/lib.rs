//! Decisions of workshold as pure functions.
//!
//! Nothing here opens a socket, reads a clock or draws a random number by
//! itself: every function takes what it needs and returns what to do. The
//! daemon, the tests, the model checker and the benches run the same code.
//!
//! - What lasts: [`state`] folds the log through the aggregates [`bundles`],
//!   [`fleet`] and [`keys`]; [`replay`] feeds it.
//! - What is true now: [`witness`] keeps reports, [`gate`] judges a group.
//! - What to do about it: [`steward`] with [`repair`]; [`checkpointing`].
//! - Requests: [`course`], [`once`], [`routing`], [`admission`], [`limits`], [`retry`],
//!   [`outlier`].
//! - Where the platform keeps the state: [`hosted`].
//! - Nodes: [`membership`], [`listing`], [`authority`], [`rendezvous`].

pub mod admission;
pub mod authority;
pub mod bundles;
pub mod checkpointing;
pub mod course;
pub mod fleet;
pub mod gate;
pub mod hosted;
pub mod keys;
pub mod limits;
pub mod listing;
pub mod membership;
pub mod once;
pub mod outlier;
pub mod prefix;
pub mod rendezvous;
pub mod repair;
pub mod replay;
pub mod retry;
pub mod routing;
pub mod state;
pub mod steward;
pub mod witness;
