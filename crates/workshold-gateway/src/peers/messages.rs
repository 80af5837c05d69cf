//! The datagrams that nodes exchange, encoded with postcard. Ages instead of times are sent, since
//! the clocks of nodes differ.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits::LimitReport;
use workshold_core::hosted::instance_limits::Rate;
use workshold_core::hosted::quarantine::KeyKind;
use workshold_core::hosted::quarantine::ProcessEnd;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::store_era::Era;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_protocol::Millis;

use crate::loads::Load;
use crate::loads::instance_hash;
use crate::loads::name_hash;
use crate::peers::packing;

/// Version of the format of these messages; datagrams of another version are ignored.
pub const VERSION: u8 = 13;

/// A datagram from one node to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// [`VERSION`].
    pub version: u8,
    /// The sender's node name.
    pub from: SmolStr,
    /// The content.
    pub message: Message,
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's own state, sent several times a second to the relays of its data centre.
    #[serde(rename = "Pulse")]
    Heartbeat(Box<Heartbeat>),
    /// A relay's aggregate of many heartbeats.
    Digest(Box<Digest>),
    /// New records of the instance list.
    News(ListNews),
    /// The result of the sender's probe of an instance.
    Verdict {
        /// Hash of the instance's identity.
        instance: u32,
        /// The result.
        reach: WireReach,
        /// Which nodes are to probe it as well.
        ask: ProbeAudience,
    },
    /// The sender has just had an event from the head of a group, or an answer to its probes from
    /// all members. Nodes that do not know this message drop it, and probe the group themselves.
    GroupWorks {
        /// Hash of the identity of the group's head.
        head: u32,
    },
}

/// Which nodes are asked to probe an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeAudience {
    /// None: the message is an answer.
    Nobody,
    /// The nodes that probe it on behalf of all; they send the result to all nodes.
    Witnesses,
    /// All nodes, before its group is given up; only those that reach the instance answer.
    All,
}

/// [`ProbeResult`] as it is encoded in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireReach {
    /// It accepted the connection.
    Answers,
    /// It did not answer in time.
    Silent,
    /// Its machine refused the connection: the process is gone.
    Refused,
}

impl From<ProbeResult> for WireReach {
    fn from(reach: ProbeResult) -> Self {
        match reach {
            ProbeResult::Answers => Self::Answers,
            ProbeResult::Silent => Self::Silent,
            ProbeResult::Refused => Self::Refused,
        }
    }
}

impl From<WireReach> for ProbeResult {
    fn from(reach: WireReach) -> Self {
        match reach {
            WireReach::Answers => Self::Answers,
            WireReach::Silent => Self::Silent,
            WireReach::Refused => Self::Refused,
        }
    }
}

/// Records of the instance list that one node forwards to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNews {
    /// Position from which on the records are complete, apart from superseded ones.
    pub from: LogPosition,
    /// Position of the next record that the sender would read.
    pub next: LogPosition,
    /// Records before this position, of the same era, come from the snapshot that the store was
    /// restored from; the default if there are none.
    pub copy_end: LogPosition,
    /// Time since the sender requested its newest records, in ms.
    pub age_ms: u64,
    /// The newest record of each instance, as far as it is at `from` or later.
    #[serde(with = "packing")]
    pub records: Vec<ListRecord>,
}

/// A record of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRecord {
    /// Its position in the store's log.
    pub place: LogPosition,
    /// The instance's id.
    pub key: SmolStr,
    /// Its entry as stored; empty if the instance is gone.
    pub value: Vec<u8>,
}

/// The workload per second that a node's callers ask of one model. Units are chosen so that the
/// values are small integers, which are short in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWorkload {
    /// Hash of the model's name.
    pub model: u32,
    /// Requests, in tenths.
    pub requests: u32,
    /// Prompt tokens, in tens.
    pub prompt_tokens: u32,
    /// Events of answers.
    pub events: u32,
    /// The longest pause between events that meets the latency goal, in ms.
    pub pause_goal: u32,
    /// Requests that arrive at present, refused ones included, in tenths.
    pub arriving: u32,
}

const REQUESTS_UNIT: f64 = 0.1;
const TOKENS_UNIT: f64 = 10.0;

impl WireWorkload {
    /// Encodes the workload of a model.
    pub fn new(model: &str, work: Workload) -> Self {
        Self::from_hash(name_hash(model), work)
    }

    /// Encodes the workload of the model whose name has this hash.
    pub fn from_hash(model: u32, work: Workload) -> Self {
        Self {
            model,
            requests: (work.requests / REQUESTS_UNIT).round() as u32,
            prompt_tokens: (work.prompt_tokens / TOKENS_UNIT).round() as u32,
            events: work.events.round() as u32,
            pause_goal: work.pause_goal.0 as u32,
            arriving: 0,
        }
    }

    /// Adds the requests per second that arrive at present.
    #[must_use]
    pub fn with_arriving(self, per_s: f64) -> Self {
        Self { arriving: (per_s / REQUESTS_UNIT).round() as u32, ..self }
    }

    /// The requests per second that arrive at present.
    pub fn arriving_per_s(&self) -> f64 {
        f64::from(self.arriving) * REQUESTS_UNIT
    }

    /// Decodes the workload.
    pub fn work(&self) -> Workload {
        Workload {
            requests: f64::from(self.requests) * REQUESTS_UNIT,
            prompt_tokens: f64::from(self.prompt_tokens) * TOKENS_UNIT,
            events: f64::from(self.events),
            pause_goal: Millis(u64::from(self.pause_goal)),
        }
    }
}

/// The load that a node has put on an instance, or all nodes that a relay aggregates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad {
    /// Hash of the instance's identity.
    pub instance: u32,
    /// Requests there.
    pub requests: u16,
    /// Prompt tokens that are not processed yet, in units of [`UNREAD_UNIT`].
    pub unread: u16,
    /// Mean time between events of its streams, in units of [`GAP_UNIT_MS`]; 0 if unknown.
    pub gap: u8,
}

const UNREAD_UNIT: u32 = 64;
const GAP_UNIT_MS: f64 = 4.0;

impl WireLoad {
    /// Encodes the load at `id`.
    pub fn new(id: &Identity, load: Load, gap_ms: f64) -> Self {
        Self::from_hash(instance_hash(id), load, (gap_ms / GAP_UNIT_MS).min(255.0) as u8)
    }

    /// Encodes the load at the instance with this hash; `gap` is already in the datagram's unit.
    pub fn from_hash(instance: u32, load: Load, gap: u8) -> Self {
        Self {
            instance,
            requests: load.requests.min(u32::from(u16::MAX)) as u16,
            unread: load.unread.div_ceil(UNREAD_UNIT).min(u32::from(u16::MAX)) as u16,
            gap,
        }
    }

    /// Decodes the load.
    pub fn load(&self) -> Load {
        Load { requests: u32::from(self.requests), unread: u32::from(self.unread) * UNREAD_UNIT }
    }

    /// Mean time between events; `None` if the sender has not seen any.
    pub fn gap_ms(&self) -> Option<f64> {
        (self.gap > 0).then(|| f64::from(self.gap) * GAP_UNIT_MS)
    }
}

/// Which nodes a digest covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The relay's own data centre; sent to the relays of the others.
    DataCentre,
    /// All nodes; sent to the nodes that report to the relay and are no relays.
    All,
}

/// A relay's aggregate of the heartbeats that it receives and of other relays' digests. Its
/// length grows with the number of group heads and of changes, not with that of nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The nodes that it covers.
    pub scope: Scope,
    /// The relay's own heartbeat, without its workload and loads: the totals include them.
    pub own: Heartbeat,
    /// Some of the nodes: those that have changed, and others by round robin.
    pub nodes: Vec<WireNode>,
    /// Some of the nodes that have gone silent lately, by round robin.
    pub gone: Vec<WireGone>,
    /// Number of nodes that the relay knows, itself included.
    pub heard: u16,
    /// Addresses of nodes that may send orders to instances, with their fencing tokens.
    pub acts_by: Vec<(SocketAddr, Fence)>,
    /// Number of nodes that hold a partition of the lease and have renewed it in time.
    pub lease_holders: u16,
    /// Time since the store last answered any of the nodes, in ms.
    pub store_age_ms: u64,
    /// Whether any of the nodes has received requests.
    pub has_traffic: bool,
    /// The workload that the nodes' callers ask for, by model.
    pub work: Vec<WireWorkload>,
    /// Percentage of that workload which the nodes have had time to observe since their first
    /// request.
    pub seen_percent: u8,
    /// The load of the nodes at each instance.
    pub loads: Vec<WireLoad>,
}

/// A node that has gone silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireGone {
    /// The address that it sent datagrams from.
    pub address: SocketAddr,
    /// Time since it was last heard, in units of [`AGE_UNIT_MS`].
    pub age: u8,
}

/// An entry of a digest: one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireNode {
    /// The address that it sends datagrams from.
    pub address: SocketAddr,
    /// The address that it listens at for callers.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Its rank, which all nodes compute alike.
    pub rank: u32,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// Time since it was last heard, in units of [`AGE_UNIT_MS`].
    pub age: u8,
}

/// Unit of the ages of nodes in digests, in ms: an age has to fit one byte.
pub const AGE_UNIT_MS: u64 = 50;

/// A node's own state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The address that it listens at for callers.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// How well-equipped it is for work as a relay, 0 best.
    pub class: u8,
    /// Time until its next heartbeat at the latest, in ms.
    pub next_ms: u16,
    /// Whether it serves callers and is not about to stop.
    pub is_ready: bool,
    /// Whether it has received requests.
    pub has_traffic: bool,
    /// The configuration version that it holds, and the time since that was known to be the
    /// newest, in ms.
    pub config: Option<(u64, u64)>,
    /// The evacuated data centres that it knows; `None` before it knows which there are.
    pub evacuations: Option<WireEvacuations>,
    /// Position at which its instance list ends, and the time since that was known to be the end,
    /// in ms.
    pub list: Option<(LogPosition, u64)>,
    /// The fencing token of its orders; `None` if it holds no partition of the lease.
    pub acts_by: Option<Fence>,
    /// Whether it holds a partition of the lease and has renewed it in time.
    pub holds_lease: bool,
    /// The newest era of the store that it knows, and for how long it has, in ms.
    pub past: Option<(Era, u64)>,
    /// Time since the store last answered it, in ms.
    pub store_age_ms: u64,
    /// Time since a read of the list last failed, in ms and at most [`LIST_TROUBLE_MAX_AGE_MS`];
    /// `None` if it does not read the store itself.
    pub list_trouble_ms: Option<u32>,
    /// A random sample of the nodes that it hears; only filled in if `seeks` is set.
    pub hears: Vec<SocketAddr>,
    /// Whether it looks for relays and wants a digest in reply.
    pub seeks: bool,
    /// The workload that its callers ask for, by model.
    pub work: Vec<WireWorkload>,
    /// Percentage of that workload which it has had time to observe since its first request.
    pub seen_percent: u8,
    /// Its load at each instance.
    pub loads: Vec<WireLoad>,
    /// Some quarantine records, those with changes.
    pub requests: Vec<WireQuarantineEntry>,
    /// Some rate limits that instances announce, or have withdrawn.
    pub limits: Vec<WireLimit>,
    /// Hashes of the latest incarnations that said in their answers that they are shutting down.
    pub leaving: Vec<u32>,
}

/// The evacuated data centres at a position of the operator's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEvacuations {
    /// The position up to which the sender knows the log.
    pub end: LogPosition,
    /// The names of the data centres that are evacuated there.
    pub data_centres: Vec<SmolStr>,
}

/// An instance's rate limit as it is encoded in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLimit {
    /// Hash of the instance's identity.
    pub instance: u32,
    /// Requests a second, in thousandths; `None` if it has no limit.
    pub limit: Option<u32>,
    /// Time since the request was sent whose answer named the limit, in ms.
    pub asked_ms: u64,
    /// Time since that answer arrived, in ms.
    pub heard_ms: u64,
}

impl WireLimit {
    /// Encodes a rate limit, with ages at `now`.
    pub fn new(id: &Identity, report: LimitReport, now: Millis) -> Self {
        Self {
            instance: instance_hash(id),
            limit: report.limit.map(|limit| limit.0),
            asked_ms: now.since(report.request_sent_at).0,
            heard_ms: now.since(report.answer_received_at).0,
        }
    }

    /// Decodes the rate limit, taking its ages to be those at `at`.
    pub fn report(&self, at: Millis) -> LimitReport {
        LimitReport {
            limit: self.limit.map(Rate),
            request_sent_at: at - Millis(self.asked_ms),
            answer_received_at: at - Millis(self.heard_ms),
        }
    }
}

/// A quarantine record as it is encoded in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireQuarantineEntry {
    /// Whether it is about a prompt part, not about a content.
    pub is_prompt_part: bool,
    /// Hash of the part or the content.
    pub fingerprint: u128,
    /// Hash of the caller's name.
    pub caller: u32,
    /// Time since it was last cleared, in ms.
    pub cleared_ms: Option<u64>,
    /// Incarnations whose process it ended: hash of the incarnation, hash of its place, and the
    /// time since then, in ms.
    pub ends: Vec<(u64, u32, u64)>,
}

impl WireQuarantineEntry {
    /// Encodes a record, with ages at `now`.
    pub fn new(record: &QuarantineRecord, now: Millis) -> Self {
        let RequestKey { kind, fingerprint, caller } = record.request_key;
        let ends = record.ends.iter().map(|end| (end.incarnation, end.place, now.since(end.at).0));
        Self {
            is_prompt_part: kind == KeyKind::PromptPart,
            fingerprint: fingerprint.0,
            caller,
            cleared_ms: record.cleared.map(|at| now.since(at).0),
            ends: ends.collect(),
        }
    }

    /// Decodes the record, taking its ages to be those at `now`.
    pub fn known(&self, now: Millis) -> QuarantineRecord {
        let ends = self.ends.iter();
        let ends = ends.map(|(incarnation, place, age)| ProcessEnd {
            incarnation: *incarnation,
            place: *place,
            at: now - Millis(*age),
        });
        let fingerprint = Fingerprint(self.fingerprint);
        let kind = if self.is_prompt_part { KeyKind::PromptPart } else { KeyKind::Content };
        QuarantineRecord {
            request_key: RequestKey { kind, fingerprint, caller: self.caller },
            ends: ends.collect(),
            cleared: self.cleared_ms.map(|age| now - Millis(age)),
        }
    }
}

/// Age in ms from which on a failure to read the list is not reported any more.
pub const LIST_TROUBLE_MAX_AGE_MS: u32 = 60_000;
