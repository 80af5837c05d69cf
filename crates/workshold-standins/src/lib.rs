//! Development only: small stand-ins for the platform's services, and a load generator.
//!
//! [`Platform`] runs a log service, an instance list, model engines with a
//! rate-limited weight store, and plain services, each on its own port. Faults are
//! injected by request. [`load`] sends requests and checks every answer.

pub mod answer;
pub mod commands;
pub mod engine;
pub mod faults;
pub mod layout;
pub mod list;
pub mod load;
pub mod log;
pub mod platform;
pub mod service;
pub mod weights;

pub use crate::layout::Layout;
pub use crate::platform::Platform;
