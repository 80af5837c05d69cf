//! The commands of `workshold-dev`.

pub mod ask;
pub mod fault;
pub mod key;
pub mod load;
pub mod platform;
pub mod prepare;
