//! Background tasks of a node; each runs as long as the node does.

pub mod catch_up;
pub mod dispatching;
pub mod intents;
pub mod list_polling;
pub mod log_maintenance;
pub mod log_replay;
pub mod peers;
pub mod probing;
pub mod stewarding;
