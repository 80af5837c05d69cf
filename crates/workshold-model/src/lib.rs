//! Development only: an exhaustive checker of the core protocol.
//!
//! Each world is a small deployment whose parts may act in any order. Its moves
//! call the decisions of `workshold-core` that the daemon calls. Every reachable
//! state is checked against the users' promises. A [`Mutation`] breaks one rule;
//! the checker must then find a breach, and gives the shortest way to it.

pub mod bundles;
pub mod checker;
pub mod quarantine;
pub mod groups;
pub mod hosted;
pub mod instance_limits;
pub mod mutation;
pub mod once;
pub mod streams;
pub mod suite;

pub use crate::checker::Promise;
pub use crate::checker::Verdict;
pub use crate::checker::World;
pub use crate::checker::check;
pub use crate::mutation::Mutation;
