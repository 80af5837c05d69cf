//! What can be made to go wrong, over `POST /faults` of the control port.

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;

/// A fault, or the end of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The log answers nobody, or answers again.
    LogDown(bool),
    /// The log waits this long before each answer.
    LogSlow(Millis),
    /// The next so many appends take effect, and their replies are lost.
    LoseReplies(u32),
    /// The log keeps only this many records.
    Retain(usize),
    /// The instance list shows what was so this long ago.
    ListLag(Millis),
    /// The platform is about to take an instance away, or no longer.
    Leaving(InstanceId, bool),
    /// An instance takes connections and answers nothing, or answers again.
    Freeze(InstanceId, bool),
    /// An instance dies.
    Kill(InstanceId),
    /// A dead instance comes back as another life.
    Restart(InstanceId),
    /// A dead or frozen instance comes back as if nothing had happened.
    Return(InstanceId),
    /// Each step of an instance takes this many times as long.
    Slow(InstanceId, u32),
    /// All instances of a domain die.
    Dark(FabricDomain),
    /// All dead instances of a domain come back as other lives.
    Light(FabricDomain),
}

/// What the stand-ins saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// Streams that engines started.
    pub streams_started: u64,
    /// Requests that reached a group with a member missing, and were refused.
    pub sent_to_incomplete: u64,
    /// The longest that a member had been missing when such a request came.
    pub longest_missing: Millis,
    /// Requests that reached an instance that was draining.
    pub sent_to_draining: u64,
    /// Streams that were cut by an order to leave.
    pub cut_by_leave: u64,
    /// Orders that were refused for an old fencing number.
    pub fenced_off: u64,
    /// Runs of the plain services for each body that they got.
    pub service_runs: std::collections::BTreeMap<String, u32>,
    /// Appends that the log took.
    pub appends: u64,
}
