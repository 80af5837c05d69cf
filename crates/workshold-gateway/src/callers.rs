//! Everything that is asked of a node over HTTP.

pub mod answers;
pub mod control;
pub mod directory;
pub mod requests;
