//! Decisions for a deployment whose platform keeps the state.
//!
//! The platform's store holds the newest configuration and what every instance
//! says of itself, its group included. So nothing of ours is folded or replayed
//! here: the instances' statements are the state, and what is left is to read
//! them, to order instances safely, and to place requests.
//!
//! - What is to be served: [`serving_config`], and how fresh it is: [`config_freshness`]; when the store is
//!   asked again: [`long_poll`].
//! - What there is: [`roster`] with [`groups`]; which life of an instance: [`identity`]; who
//!   cannot be reached: [`suspicion`]; which past of the store says so: [`store_era`].
//! - What is asked: [`demand`]; what groups make of it: [`capacity`]; which groups there
//!   should be: [`planner`].
//! - Who forms them: [`steward`], and when it may order: [`partition_lease`].
//! - Requests: what they ask: [`fingerprint`]; which of them end whoever runs them:
//!   [`quarantine`]; what instances take of them: [`instance_limits`]; [`placement`], [`stall`], [`retry_policy`]; among how many nodes what all of them
//!   may repeat is divided: [`node_census`].

pub mod capacity;
pub mod config_freshness;
pub mod demand;
pub mod fingerprint;
pub mod groups;
pub mod identity;
pub mod instance_limits;
pub mod long_poll;
pub mod node_census;
pub mod partition_lease;
pub mod placement;
pub mod planner;
pub mod quarantine;
pub mod retry_policy;
pub mod roster;
pub mod serving_config;
pub mod stall;
pub mod steward;
pub mod store_era;
pub mod suspicion;
