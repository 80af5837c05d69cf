//! The commands of `workshold-dev`.

pub mod ask;
pub mod compare;
pub mod fault;
pub mod key;
pub mod load;
pub mod platform;
pub mod prepare;
pub mod sample;
