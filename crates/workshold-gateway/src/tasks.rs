//! Background tasks of a node, which run beside the handling of requests.

pub mod gossip;
pub mod leasing;
pub mod long_poll;
pub mod probing;
pub mod quarantine_store;
pub mod readers;
pub mod stewarding;
pub mod store_sync;
pub mod upkeep;
