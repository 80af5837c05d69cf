//! Model checker for the core protocol; a development tool that is not deployed.
//!
//! Each world models a small deployment whose parts may act in any order. Its moves call the same
//! decision functions of `workshold-core` as the daemon. Every reachable state is checked against
//! the promises made to users ([`Promise`]). A [`Mutation`] breaks one rule of the protocol; the
//! checker must then find a state that breaks a promise, and reports a shortest sequence of moves
//! to it.
//!
//! The modules [`hosted`], [`quarantine`] and [`instance_limits`] depend too much on time for an
//! exhaustive search. They run randomized simulations from seeds in virtual time instead.

pub mod bundles;
pub mod checker;
pub mod groups;
pub mod hosted;
pub mod idempotency;
pub mod instance_limits;
pub mod mutation;
pub mod quarantine;
pub mod streams;
pub mod suite;

pub use crate::checker::Promise;
pub use crate::checker::Verdict;
pub use crate::checker::World;
pub use crate::checker::check;
pub use crate::mutation::Mutation;
