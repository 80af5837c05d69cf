//! Background tasks of a node; each runs as long as the node does.

pub mod catch_up;
pub mod dispatching;
pub mod intents;
pub mod listing;
pub mod peers;
pub mod probing;
pub mod replaying;
pub mod stewarding;
pub mod upkeep;
