//! What every daemon of workshold logs, and how.
//!
//! - [`events!`] makes a list of numbered events, which is also their catalogue.
//! - [`exposition`] keeps what is counted and tells it as text on request.
//! - [`lines`] turns an event into a line of text or JSON.
//! - [`writer`] takes lines into a bounded queue and writes them from a thread of
//!   its own, so that a reader who stalls costs no request.

pub mod events;
pub mod exposition;
pub mod lines;
pub mod writer;

pub use crate::events::emit;
pub use log;
