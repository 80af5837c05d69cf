//! Nodes on a stand-in of the users' platform, over sockets.

#[path = "platform/copies.rs"]
mod copies;
#[path = "platform/ending.rs"]
mod ending;
#[path = "platform/limits.rs"]
mod limits;
#[path = "platform/path.rs"]
mod path;
#[path = "platform/resting.rs"]
mod resting;
#[path = "platform/silence.rs"]
mod silence;
#[path = "platform/stopping.rs"]
mod stopping;
#[path = "platform/store.rs"]
mod store;
#[path = "platform/support/mod.rs"]
mod support;
