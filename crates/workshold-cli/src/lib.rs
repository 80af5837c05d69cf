//! The operators' command, as a library for its tests.

pub mod commands;
pub mod error;
pub mod operator_key;
pub mod output;
pub mod remote;
