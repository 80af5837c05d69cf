//! Decisions for a deployment in which the platform keeps the state.
//!
//! The platform's store holds the newest configuration and what every instance reports of
//! itself, including the group that it belongs to. So this crate replays no log here: the
//! instances' reports are the state, and the modules below read them, order instances safely,
//! and place requests.
//!
//! - Configuration: what is served ([`serving_config`]), how fresh that is
//!   ([`config_freshness`]), which data centres get no requests ([`evacuation`]), and when the
//!   store is polled ([`long_poll`]).
//! - Instances: the list with the groups they form ([`roster`], [`groups`]), one incarnation of
//!   an instance ([`identity`]), which instances are unreachable ([`suspicion`]), when a group
//!   is probed ([`probe_plan`]), which ones only peers reach ([`lost_paths`]), and which era of the store an answer belongs to ([`store_era`]).
//! - Planning: the demand for each model ([`demand`]), that of the last peaks
//!   ([`demand_memory`]), the load that a group can take
//!   ([`capacity`]), and which groups there should be ([`planner`]).
//! - Forming groups: [`steward`] plans for a fabric domain and sends orders to its instances;
//!   [`lease_candidacy`] says which nodes stand for the lease that this needs, and
//!   [`partition_lease`] when a node may act by it.
//! - Requests: their content ([`fingerprint`]), those that crash instances ([`quarantine`]), the
//!   limits that instances announce ([`instance_limits`]) or have while they are cold
//!   ([`cold_start`]), how nodes share these ([`token_bucket`]), the choice of an instance
//!   ([`placement`]), stalled streams ([`stall`]), bytes held for slow readers ([`read_budget`]),
//!   whether a response is complete ([`response_end`]), retries ([`retry_policy`]), and the number
//!   of nodes that share the retry budget ([`node_census`]).
//! - Overload: which requests are admitted, and when refused callers return ([`admission`]).

pub mod admission;
pub mod capacity;
pub mod cold_start;
pub mod config_freshness;
pub mod demand;
pub mod demand_memory;
pub mod evacuation;
pub mod fingerprint;
pub mod groups;
pub mod identity;
pub mod instance_limits;
pub mod lease_candidacy;
pub mod long_poll;
pub mod lost_paths;
pub mod node_census;
pub mod partition_lease;
pub mod placement;
pub mod planner;
pub mod probe_plan;
pub mod quarantine;
pub mod read_budget;
pub mod response_end;
pub mod retry_policy;
pub mod roster;
pub mod serving_config;
pub mod stall;
pub mod steward;
pub mod store_era;
pub mod suspicion;
pub mod token_bucket;
