//! Small helpers over `hyper` that every process of workshold uses.
//!
//! [`server`] serves a `tower` service with bounds on everything a peer can make
//! large or slow; [`client`] makes one connection for each request, so that it is
//! always known whether a byte of it left; [`signals`] says what a process is asked for.

pub mod body;
pub mod client;
pub mod server;
pub mod signals;

pub use crate::body::Body;
