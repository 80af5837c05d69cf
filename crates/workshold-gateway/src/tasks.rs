//! What runs beside the callers.

pub mod doubting;
pub mod following;
pub mod gossip;
pub mod leasing;
pub mod stewarding;
pub mod upkeep;
