//! What runs beside the callers.

pub mod following;
pub mod gossip;
pub mod leasing;
pub mod long_poll;
pub mod probing;
pub mod quarantining;
pub mod stewarding;
pub mod upkeep;
