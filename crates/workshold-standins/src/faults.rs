//! Faults that can be injected with `POST /faults` on the control port.

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;

/// A fault to inject, or to end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The log stops answering (`true`), or answers again (`false`).
    LogDown(bool),
    /// The log delays each answer by this time.
    LogSlow(Millis),
    /// This many of the next appends take effect, but their replies are lost.
    LoseReplies(u32),
    /// The log retains only this many records.
    Retain(usize),
    /// The instance list shows its contents as they were this long ago.
    ListLag(Millis),
    /// The list marks an instance as leaving (`true`), or no longer (`false`).
    Leaving(InstanceId, bool),
    /// An engine accepts connections but does not answer (`true`), or answers again (`false`).
    Freeze(InstanceId, bool),
    /// An engine crashes.
    Kill(InstanceId),
    /// A crashed engine restarts as a new incarnation.
    Restart(InstanceId),
    /// A crashed or frozen engine returns with the same incarnation, group and weights.
    Return(InstanceId),
    /// Multiplies the duration of an engine's steps by this factor.
    Slow(InstanceId, u32),
    /// All engines of a fabric domain crash.
    Dark(FabricDomain),
    /// All engines of a fabric domain restart as new incarnations.
    Light(FabricDomain),
}

/// Counters of what the stand-ins observed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// Streams that engines started.
    pub streams_started: u64,
    /// Requests that reached a group with a member missing, and were refused.
    pub sent_to_incomplete: u64,
    /// Longest time that a member had been missing when such a request arrived.
    pub longest_missing: Millis,
    /// Requests that reached an instance that was draining.
    pub sent_to_draining: u64,
    /// Running streams that were cut off by an order to leave the group.
    pub cut_by_leave: u64,
    /// Orders that were refused because of an old fencing token.
    pub fenced_off: u64,
    /// Number of times that the plain services ran each request body.
    pub service_runs: std::collections::BTreeMap<String, u32>,
    /// Appends that the log accepted.
    pub appends: u64,
}
