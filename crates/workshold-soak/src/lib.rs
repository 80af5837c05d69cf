//! A fault soak: the real nodes as processes on loopback, against the stand-ins, with
//! faults from outside only, drawn from a seed; promises are judged by what callers
//! and upstreams see.
//!
//! - [`plan`]: the faults of a seed.
//! - [`nodes`]: the nodes' processes, and signals to them.
//! - [`fleet`]: store, instances and the ways to them, and what befalls these.
//! - [`callers`]: the load, and what became of each request.
//! - [`judge`]: which promises were broken.
//! - [`run`]: one seed from its start to its verdict.

pub mod callers;
pub mod fleet;
pub mod judge;
pub mod nodes;
pub mod plan;
pub mod run;
