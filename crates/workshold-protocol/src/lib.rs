//! Types, records and messages that the processes of workshold share.
//!
//! This crate depends on little and decides nothing: it names things
//! ([`ids`]), says what time is ([`clock`]), what stands in the platform's log
//! ([`record`]), what operators sign ([`bundle`], [`signing`]), what upstreams
//! report and are told ([`report`]), what nodes tell each other ([`peer`]) and
//! what callers read when a request fails ([`problem`]).

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
