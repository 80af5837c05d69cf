//! The HTTP handlers of a node: for callers, for the platform, and for other nodes and operators.

pub mod control;
pub mod directory;
pub mod reading;
pub mod requests;
pub mod responses;
pub mod tunnel;
