//! The operators' command line; a library so that the integration tests can call it.

pub mod commands;
pub mod error;
pub mod operator_key;
pub mod output;
pub mod remote;
