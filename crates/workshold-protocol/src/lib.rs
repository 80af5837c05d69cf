//! Types, log records and messages that the processes of workshold share.
//!
//! The crate holds data types and their checks, and no serving logic:
//!
//! - [`ids`]: names, offsets, fencing tokens and digests;
//! - [`clock`]: the clock and the type for times and durations;
//! - [`record`]: records of the platform's log service, and [`log_api`] that service's interface;
//! - [`bundle`] and [`signing`]: the configuration that operators sign, and keys and signatures;
//! - [`engine`] and [`report`]: the interface of model engines, their reports and orders;
//! - [`peer`]: messages between nodes;
//! - [`problem`]: the error document that a caller gets when a request fails.

pub mod bundle;
pub mod clock;
pub mod engine;
pub mod error;
pub mod ids;
pub mod log_api;
pub mod peer;
pub mod problem;
pub mod record;
pub mod report;
pub mod signing;

pub use crate::clock::Clock;
pub use crate::clock::Millis;
pub use crate::error::Error;
pub use crate::error::Result;
