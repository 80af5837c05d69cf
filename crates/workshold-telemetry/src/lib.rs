//! Logging and metrics of the workshold daemons.
//!
//! - [`events!`] defines a daemon's numbered log events, and the reference page that lists them.
//! - [`exposition`] collects metrics and returns them in the Prometheus text format on request.
//! - [`lines`] formats an event as a line of text or JSON.
//! - [`writer`] puts lines into a bounded queue that a thread of its own writes out, so that a
//!   stalled reader of the log blocks no request.

pub mod events;
pub mod exposition;
pub mod lines;
pub mod writer;

pub use crate::events::emit;
pub use log;
