//! A fault-injection soak test: runs the real nodes as processes on loopback against stand-ins for
//! the store and the instances. Faults come from outside the nodes only and are drawn from a seed;
//! the product's promises are judged by what callers and upstreams see.
//!
//! - [`plan`]: draws the faults of a seed.
//! - [`nodes`]: the nodes' processes, and signals to them.
//! - [`fleet`]: store, instances and the links to them, and their faults.
//! - [`callers`]: the load, and the result of each request.
//! - [`judge`]: checks the promises.
//! - [`run`]: runs one seed from start to verdict.

pub mod callers;
pub mod fleet;
pub mod judge;
pub mod nodes;
pub mod plan;
pub mod run;
