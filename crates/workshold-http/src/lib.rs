//! HTTP and signal helpers, built on `hyper`, that every process of workshold uses.
//!
//! - [`server`] serves a `tower` service, with limits on everything that a client can make large
//!   or slow.
//! - [`client`] opens a new connection for each request, so that it is always known whether any
//!   byte of the request was sent.
//! - [`dial`] opens connections whose network path may be at fault.
//! - [`body`] has helpers for request and response bodies.
//! - [`server_stream`] is a connection to a server, direct or through another node.
//! - [`tunnel`] opens connections through another node.
//! - [`write_progress`] observes how fast the other side takes what is sent to it.
//! - [`signals`] translates Unix signals into actions.

pub mod body;
pub mod client;
pub mod dial;
mod read_overhead;
pub mod server;
pub mod server_stream;
pub mod signals;
pub mod tunnel;
pub mod write_progress;

pub use crate::body::Body;
