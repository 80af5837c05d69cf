//! End-to-end tests: nodes that run against a stand-in of the platform, over real sockets.

#[path = "platform/admission.rs"]
mod admission;
#[path = "platform/backoff.rs"]
mod backoff;
#[path = "platform/configs.rs"]
mod configs;
#[path = "platform/cut_off.rs"]
mod cut_off;
#[path = "platform/daemon.rs"]
mod daemon;
#[path = "platform/ending.rs"]
mod ending;
#[path = "platform/endless.rs"]
mod endless;
#[path = "platform/evacuation.rs"]
mod evacuation;
#[path = "platform/limits.rs"]
mod limits;
#[path = "platform/old_callers.rs"]
mod old_callers;
#[path = "platform/request_path.rs"]
mod request_path;
#[path = "platform/shared_probes.rs"]
mod shared_probes;
#[path = "platform/stale_entries.rs"]
mod stale_entries;
#[path = "platform/store.rs"]
mod store;
#[path = "platform/store_outage.rs"]
mod store_outage;
#[path = "platform/store_restore.rs"]
mod store_restore;
#[path = "platform/support/mod.rs"]
mod support;
#[path = "platform/task_end.rs"]
mod task_end;
#[path = "platform/tunnel_end.rs"]
mod tunnel_end;
#[path = "platform/unframed.rs"]
mod unframed;
#[path = "platform/unframed_heads.rs"]
mod unframed_heads;
