//! Decisions for a deployment whose platform keeps the state.

#[path = "hosted/asking.rs"]
mod asking;
#[path = "hosted/capacity.rs"]
mod capacity;
#[path = "hosted/histories.rs"]
mod histories;
#[path = "hosted/instance_limits.rs"]
mod instance_limits;
#[path = "hosted/partition_lease.rs"]
mod partition_lease;
#[path = "hosted/planned_anew.rs"]
mod planned_anew;
#[path = "hosted/planning.rs"]
mod planning;
#[path = "hosted/quarantine.rs"]
mod quarantine;
#[path = "hosted/requests.rs"]
mod requests;
#[path = "hosted/sharing.rs"]
mod sharing;
#[path = "hosted/sight.rs"]
mod sight;
#[path = "hosted/stewards.rs"]
mod stewards;
