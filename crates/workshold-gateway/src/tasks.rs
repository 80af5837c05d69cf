//! What runs beside the callers.

pub mod asking;
pub mod following;
pub mod gossip;
pub mod leasing;
pub mod probing;
pub mod quarantining;
pub mod stewarding;
pub mod upkeep;
