//! Everything that is asked of a node over HTTP.

pub mod control;
pub mod directory;
pub mod requests;
pub mod responses;
