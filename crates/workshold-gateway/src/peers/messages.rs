//! What nodes tell each other by datagram.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits::LimitReport;
use workshold_core::hosted::instance_limits::Rate;
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

/// The form of these messages; another one is passed over.
pub const VERSION: u8 = 8;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// [`VERSION`].
    pub version: u8,
    /// The sender's name.
    pub from: SmolStr,
    /// What it says.
    pub message: Message,
}

/// What a node says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// How it is; said several times a second to the relays of its data centre.
    Heartbeat(Box<Heartbeat>),
    /// What a relay has put together of many pulses.
    Digest(Box<Digest>),
    /// What has come to the list of instances since another place in it.
    News(ListNews),
    /// What its try to reach an instance showed.
    Verdict {
        /// The instance's short id.
        instance: u32,
        /// What was seen.
        reach: WireReach,
        /// Who is to try as well.
        ask: Ask,
    },
}

/// Who is asked to try an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Nobody: this is an answer.
    Nobody,
    /// Those who try it for all nodes; they tell all what they see.
    Witnesses,
    /// Everybody, before a group is given up for it; only who reaches it answers.
    All,
}

/// [`ProbeResult`] as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireReach {
    /// It answered.
    Answers,
    /// It says nothing.
    Silent,
    /// Its process is gone.
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

/// What one node passes on to another of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNews {
    /// The first record that may be among them; all that are newer are.
    pub from: LogPosition,
    /// The next record that it would read.
    pub next: LogPosition,
    /// Records before this one, of the same past, are of the copy that the store came back
    /// from, or none are.
    pub copy_end: LogPosition,
    /// How long ago it asked for what it has, in ms.
    pub age_ms: u64,
    /// The newest record of each instance, from `from` on.
    #[serde(with = "packing")]
    pub records: Vec<ListRecord>,
}

/// A record of the list as one node passes it on to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRecord {
    /// Its place.
    pub place: LogPosition,
    /// The instance.
    pub key: SmolStr,
    /// Its entry as it stands in the store; empty if it is gone.
    pub value: Vec<u8>,
}

/// What callers ask of a node of one model, a second; small whole numbers are short in
/// a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWorkload {
    /// The model's short name.
    pub model: u32,
    /// Requests, in tenths.
    pub requests: u32,
    /// Prompt tokens, in tens.
    pub prompt_tokens: u32,
    /// Events of answers.
    pub events: u32,
    /// The longest pause that is in time, in ms.
    pub pause_goal: u32,
}

const REQUESTS_UNIT: f64 = 0.1;
const TOKENS_UNIT: f64 = 10.0;

impl WireWorkload {
    /// Puts `work` of a model into a datagram.
    pub fn new(model: &str, work: Workload) -> Self {
        Self::from_hash(name_hash(model), work)
    }

    /// The same for the model with this short name.
    pub fn from_hash(model: u32, work: Workload) -> Self {
        Self {
            model,
            requests: (work.requests / REQUESTS_UNIT).round() as u32,
            prompt_tokens: (work.prompt_tokens / TOKENS_UNIT).round() as u32,
            events: work.events.round() as u32,
            pause_goal: work.pause_goal.0 as u32,
        }
    }

    /// What was put in.
    pub fn work(&self) -> Workload {
        Workload {
            requests: f64::from(self.requests) * REQUESTS_UNIT,
            prompt_tokens: f64::from(self.prompt_tokens) * TOKENS_UNIT,
            events: f64::from(self.events),
            pause_goal: Millis(u64::from(self.pause_goal)),
        }
    }
}

/// What a node has at an instance, or all nodes that a relay speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLoad {
    /// The instance's short id.
    pub instance: u32,
    /// Requests there.
    pub requests: u16,
    /// Tokens of prompts that are not read yet, in units of [`UNREAD_UNIT`].
    pub unread: u16,
    /// The usual gap between its events, in units of [`GAP_UNIT_MS`].
    pub gap: u8,
}

const UNREAD_UNIT: u32 = 64;
const GAP_UNIT_MS: f64 = 4.0;

impl WireLoad {
    /// Puts what a node has at `id` into a datagram.
    pub fn new(id: &Identity, load: Load, gap_ms: f64) -> Self {
        Self::from_hash(instance_hash(id), load, (gap_ms / GAP_UNIT_MS).min(255.0) as u8)
    }

    /// The same for the instance with this short id; `gap` is in units of a datagram.
    pub fn from_hash(instance: u32, load: Load, gap: u8) -> Self {
        Self {
            instance,
            requests: load.requests.min(u32::from(u16::MAX)) as u16,
            unread: load.unread.div_ceil(UNREAD_UNIT).min(u32::from(u16::MAX)) as u16,
            gap,
        }
    }

    /// What it has there.
    pub fn load(&self) -> Load {
        Load { requests: u32::from(self.requests), unread: u32::from(self.unread) * UNREAD_UNIT }
    }

    /// The usual gap, if it has seen any.
    pub fn gap_ms(&self) -> Option<f64> {
        (self.gap > 0).then(|| f64::from(self.gap) * GAP_UNIT_MS)
    }
}

/// What a digest speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The relay's own data centre; said to the relays of others.
    DataCentre,
    /// All nodes; said to those that the relay hears and that are no relays.
    All,
}

/// What a relay has put together of the pulses that it hears and of other relays' digests.
/// Its length grows with heads and changes, not with nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// What it speaks for.
    pub scope: Scope,
    /// How the relay itself is; what it asks and has at instances is in the sums.
    pub own: Heartbeat,
    /// Some of the nodes: those that have changed, the others in turn.
    pub nodes: Vec<WireNode>,
    /// How many nodes it hears of, itself included.
    pub heard: u16,
    /// By what numbers nodes give orders.
    pub acts_by: Vec<(SocketAddr, Fence)>,
    /// How long ago the store last answered any node, in ms.
    pub store_age_ms: u64,
    /// Whether any node has seen requests.
    pub has_traffic: bool,
    /// What callers ask of the nodes, by model.
    pub work: Vec<WireWorkload>,
    /// The part of that which is seen so soon after the first request, in 100.
    pub seen_percent: u8,
    /// What the nodes have at instances.
    pub loads: Vec<WireLoad>,
}

/// Another node as a relay tells of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireNode {
    /// Where it is heard.
    pub address: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Its place in the order that all nodes see alike.
    pub rank: u32,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// Whether it has fallen silent.
    pub is_gone: bool,
    /// How long ago it was heard, in units of [`AGE_UNIT_MS`].
    pub age: u8,
}

/// The unit of ages of nodes in digests, in milliseconds.
pub const AGE_UNIT_MS: u64 = 50;

/// How a node is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// How well it carries work for others, 0 best.
    pub class: u8,
    /// When its next one comes at the latest, in ms.
    pub next_ms: u16,
    /// Whether it serves callers and will go on doing so.
    pub is_ready: bool,
    /// Whether it has seen requests.
    pub has_traffic: bool,
    /// The configuration that it holds, and how long ago that was the newest, in ms.
    pub config: Option<(u64, u64)>,
    /// Where its list of instances ends, and how long ago that was the end, in ms.
    pub list: Option<(LogPosition, u64)>,
    /// By what right it gives orders, if it does.
    pub acts_by: Option<Fence>,
    /// The store's newest past that it has heard of, and for how long, in ms.
    pub past: Option<(Era, u64)>,
    /// How long ago the store last answered it, in ms.
    pub store_age_ms: u64,
    /// How long ago a reading of the list last failed, in ms and at most
    /// [`LIST_TROUBLE_MAX_AGE_MS`]; `None` if it goes by what others read.
    pub list_trouble_ms: Option<u32>,
    /// Some of those that it hears, drawn anew each time, from one that seeks relays.
    pub hears: Vec<SocketAddr>,
    /// Whether it hears no relay, and wants a digest of whoever takes this.
    pub seeks: bool,
    /// What callers ask of it, by model.
    pub work: Vec<WireWorkload>,
    /// The part of that which is seen so soon after its first request, in 100.
    pub seen_percent: u8,
    /// What it has at instances.
    pub loads: Vec<WireLoad>,
    /// Some of the requests that ended whoever ran them: those of which something is new.
    pub requests: Vec<WireQuarantineEntry>,
    /// Some of the limits that instances name, or have ceased to name.
    pub limits: Vec<WireLimit>,
    /// Short ids of lives that have said in their answers that they leave, the last ones.
    pub leaving: Vec<u32>,
}

/// How much an instance takes, as one node tells another of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireLimit {
    /// The instance's short id.
    pub instance: u32,
    /// Requests a second, in thousandths.
    pub limit: Option<u32>,
    /// How long ago the request left whose answer said so, in ms.
    pub asked_ms: u64,
    /// How long ago that answer came, in ms.
    pub heard_ms: u64,
}

impl WireLimit {
    /// Puts what is known at `now` into a datagram.
    pub fn new(id: &Identity, word: LimitReport, now: Millis) -> Self {
        Self {
            instance: instance_hash(id),
            limit: word.limit.map(|limit| limit.0),
            asked_ms: now.since(word.asked).0,
            heard_ms: now.since(word.heard).0,
        }
    }

    /// What was put in, as it is known if it was said at `at`.
    pub fn word(&self, at: Millis) -> LimitReport {
        LimitReport {
            limit: self.limit.map(Rate),
            asked: at - Millis(self.asked_ms),
            heard: at - Millis(self.heard_ms),
        }
    }
}

/// A request that ended whoever ran it, as one node tells another of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireQuarantineEntry {
    /// What it asks.
    pub fingerprint: u128,
    /// The mark of who asks.
    pub caller: u32,
    /// How long ago it was cleared, in ms.
    pub cleared_ms: Option<u64>,
    /// Lives that ended under it: which, the mark of where, and how long ago, in ms.
    pub ends: Vec<(u64, u32, u64)>,
}

impl WireQuarantineEntry {
    /// Puts what is known at `now` into a datagram.
    pub fn new(known: &QuarantineRecord, now: Millis) -> Self {
        let RequestKey { fingerprint, caller } = known.request_key;
        let ends = known.ends.iter().map(|end| (end.incarnation, end.place, now.since(end.at).0));
        Self {
            fingerprint: fingerprint.0,
            caller,
            cleared_ms: known.cleared.map(|at| now.since(at).0),
            ends: ends.collect(),
        }
    }

    /// What was put in, as it is known at `now`.
    pub fn known(&self, now: Millis) -> QuarantineRecord {
        let ends = self.ends.iter();
        let ends = ends.map(|(incarnation, place, age)| ProcessEnd {
            incarnation: *incarnation,
            place: *place,
            at: now - Millis(*age),
        });
        let fingerprint = Fingerprint(self.fingerprint);
        QuarantineRecord {
            request_key: RequestKey { fingerprint, caller: self.caller },
            ends: ends.collect(),
            cleared: self.cleared_ms.map(|age| now - Millis(age)),
        }
    }
}

/// Trouble with the list that is older is told no more.
pub const LIST_TROUBLE_MAX_AGE_MS: u32 = 60_000;
