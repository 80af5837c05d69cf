//! A node's settings: a TOML file, validated as a whole before anything starts.

mod admission;

use std::net::SocketAddr;
use std::path::Path;

use displaydoc::Display;
use serde::Deserialize;
use workshold_core::hosted::cold_start::ColdLimit;
use workshold_core::hosted::long_poll::LongPollRules;
use workshold_core::hosted::read_budget::ReadBudgetRules;
use workshold_core::hosted::retry_policy::RetryBudgetRules;
use workshold_core::hosted::serving_config::ColdStart;
use workshold_core::hosted::steward::StewardTimings;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;

use crate::peers::exchange::LocalNode;

pub use self::admission::AdmissionSettings;

/// All settings of a node, by section of the file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name and location.
    pub node: NodeSettings,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Access to the platform's store.
    pub store: StoreSettings,
    /// Resources of the machine.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Limits that were promised to callers and operators.
    #[serde(default)]
    pub bounds: Bounds,
    /// Admission under overload; without this section all requests are admitted until every group
    /// is full.
    pub admission: Option<AdmissionSettings>,
}

/// Name and location of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name, in logs and among its peers.
    pub name: String,
    /// The data centre that it runs in; callers there prefer it.
    pub data_centre: DataCentre,
    /// Whether the whole system starts for the first time, so that there is no earlier state to
    /// wait for.
    #[serde(default)]
    pub is_first_start: bool,
}

/// Addresses that a node listens on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's readiness check.
    pub readiness: SocketAddr,
    /// For callers who ask which addresses to use.
    pub directory: SocketAddr,
    /// Port for the gossip datagrams of other nodes and, over TCP, for the control server that
    /// other nodes and operators use; the same port on all nodes.
    pub peers_port: u16,
}

/// Access to the platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: String,
    /// Number of partitions of the lease.
    #[serde(default = "usual_parts")]
    pub parts: u64,
    /// The shortest time to live of a lease, in milliseconds.
    #[serde(default)]
    pub least_ttl_ms: u64,
}

/// Resources of the machine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineLimits {
    /// File descriptors that the process may open.
    pub descriptors: usize,
    /// Bandwidth of the network link, in Mbit/s.
    pub link_mbit_per_s: f64,
    /// Processor cores that the node may use, such as 0.25.
    pub processor_share: f64,
    /// Memory of the machine, in MB of 2^20 bytes.
    pub memory_mb: f64,
}

/// Bandwidth and processor share with which a node can relay gossip to a hundred others: a relay
/// sends each of them 4 KB up to ten times a second while much changes.
const GOOD_LINK_MBIT_PER_S: f64 = 100.0;
const GOOD_PROCESSOR_SHARE: f64 = 0.25;

impl MachineLimits {
    /// How well the machine suits work for other nodes, such as relaying gossip, 0 best: 0 if it
    /// has both `GOOD_LINK_MBIT_PER_S` and `GOOD_PROCESSOR_SHARE`, 1 if at least half of each,
    /// else 2.
    pub fn class(&self) -> u8 {
        let link = self.link_mbit_per_s / GOOD_LINK_MBIT_PER_S;
        let processor = self.processor_share / GOOD_PROCESSOR_SHARE;
        match link.min(processor) {
            part if part >= 1.0 => 0,
            part if part >= 0.5 => 1,
            _ => 2,
        }
    }
}

/// Limits that were promised to callers and operators.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// How long an API key may still be accepted after it was revoked, in milliseconds.
    pub keys_believed_ms: u64,
    /// Whether requests that need a key are refused once the configuration is older than that. If
    /// not, the last known configuration stays valid for as long as there is no newer one.
    pub refuse_stale_keys: bool,
    /// A configuration is in force at the latest this long after the store acknowledged it, in
    /// milliseconds.
    pub config_in_force_ms: u64,
    /// A node keeps its promises again this long after the end of a disturbance, such as an outage,
    /// of the node or the store, in milliseconds.
    pub undisturbed_after_ms: u64,
    /// The longest that a planned stop may take, in seconds.
    pub stop_within_s: f64,
    /// Retries per request that the retry budget allows.
    pub repeat_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub repeat_window_s: f64,
    /// Retries in a window that all nodes together may make beyond the ratio.
    pub repeat_slack: f64,
    /// How many times what a cold instance bears in a second may arrive there in one, from all
    /// nodes together.
    pub cold_factor: f64,
    /// Requests that may arrive at a cold instance in a second beyond that.
    pub cold_slack: f64,
    /// The longest time to live of addresses that callers are given, in seconds.
    pub addresses_good_at_most_s: f64,
    /// A head stops serving this long after its group has lost a member, in milliseconds.
    pub groups_break_after_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            keys_believed_ms: 5_000,
            refuse_stale_keys: true,
            config_in_force_ms: 2_000,
            undisturbed_after_ms: 3_000,
            stop_within_s: 8.0,
            repeat_ratio: 0.2,
            repeat_window_s: 10.0,
            repeat_slack: 20.0,
            cold_factor: 1.0,
            cold_slack: 0.0,
            addresses_good_at_most_s: 5.0,
            groups_break_after_ms: 6_000,
        }
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            descriptors: 1_024,
            link_mbit_per_s: 1_000.0,
            processor_share: 1.0,
            memory_mb: 1_024.0,
        }
    }
}

/// Default of [`StoreSettings::parts`].
const fn usual_parts() -> u64 {
    24
}

/// Added to [`Bounds::groups_break_after_ms`], for the head to carry it out.
const GROUP_BREAK_MARGIN: Millis = Millis(500);
/// Time to live, in seconds, of the addresses that callers are given. Short, so that callers soon
/// stop using a node that is gone, and so that three times as long fits into a planned stop.
const ADDRESS_TTL_S: f64 = 2.0;
/// Part of [`Bounds::keys_believed_ms`] that a node uses. The rest covers the time that a request
/// takes to reach its upstream.
const KEY_AGE_FACTOR: f64 = 0.92;
/// Longest wait of a long poll for a newer configuration. Longer means fewer polls, each of which
/// has a cost, but an answer counts as fresh only from when the poll was sent.
const CONFIG_WAIT_MAX: Millis = Millis(1_500);
/// Shortest wait of a long poll, whatever the bound: the store has other readers to serve.
const WAIT_MIN: Millis = Millis(200);
/// Longest wait of a long poll for a change of the instance list.
const LIST_WAIT_MAX: Millis = Millis(2_000);
/// A poll counts as late when its answer is this much later than its wait: many times what the
/// store takes to answer.
const ANSWER_LATE_AFTER: Millis = Millis(250);
/// Time allowed for an answer to arrive and for its content to be put in force.
const ANSWER_ALLOWANCE: Millis = Millis(300);
/// Longest interval between two requests to a store that does not answer.
const RETRY_INTERVAL_MAX: Millis = Millis(1_300);
/// Time allowed for the store's answer and for passing on what another node has read.
const CONFIG_FORWARDING_ALLOWANCE: Millis = Millis(700);
/// Time for which the link of a node may be full with a configuration that others ask for.
const SHARED_CONFIG_TIME: Millis = Millis(250);
/// Nodes that ask one node for a new configuration at the same time.
const CONFIG_FOLLOWERS: f64 = 32.0;
/// File descriptors reserved for the store, probes of suspected instances, peers and files.
const RESERVED_DESCRIPTORS: usize = 300;
/// Fraction of the other descriptors, as a divisor, for tunnels of other nodes.
const TUNNEL_DIVISOR: usize = 8;
/// Bytes waiting for one caller at which its stream is not read further.
const STREAM_UNREAD_MAX: u64 = 64 * 1024;
/// Part of the memory that may hold bytes for callers and instances that have not read them.
const UNREAD_MEMORY_DIVISOR: f64 = 4.0;
/// Part of the memory that may hold what was received of responses and cannot be passed on yet.
const RESPONSE_MEMORY_DIVISOR: f64 = 8.0;
/// How long a caller or an instance may read nothing of what waits for it.
const UNREAD_TIME_MAX: Millis = Millis(5_000);
/// Time to live of a lease. The partitions of a node that dies have no holder for this long.
const LEASE_TTL: Millis = Millis(1_500);

impl Settings {
    /// This node as its peers know it.
    pub fn own(&self) -> LocalNode<'_> {
        LocalNode {
            address: self.control(),
            name: &self.node.name,
            data_centre: self.node.data_centre.as_str(),
        }
    }

    /// Address of the control server, for other nodes and operators.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.listen.callers.ip(), self.listen.peers_port)
    }

    /// Time to live of the addresses that callers are given, in seconds.
    pub fn address_ttl_s(&self) -> f64 {
        ADDRESS_TTL_S.min(self.bounds.addresses_good_at_most_s)
    }

    /// How old a configuration may be for API keys to be accepted by it.
    pub fn max_key_age(&self) -> Millis {
        Millis((self.bounds.keys_believed_ms as f64 * KEY_AGE_FACTOR) as u64)
    }

    /// Timing of the long polls for a newer configuration. Just before the next answer, the
    /// configuration in use is as old as two waits; keys must still be accepted then.
    pub fn config_poll_rules(&self, is_store_reader: bool) -> LongPollRules {
        let allowance = CONFIG_FORWARDING_ALLOWANCE + CONFIG_FORWARDING_ALLOWANCE;
        let half = Millis(self.max_key_age().since(allowance).0 / 2);
        poll_rules(half.min(CONFIG_WAIT_MAX), self.bounds.config_in_force_ms, is_store_reader)
    }

    /// Timing of the long polls for changes of the instance list. A poll that waits brings a change
    /// at once, unless the poll was lost in a disturbance.
    pub fn list_poll_rules(&self, is_store_reader: bool) -> LongPollRules {
        poll_rules(LIST_WAIT_MAX, self.bounds.undisturbed_after_ms, is_store_reader)
    }

    /// Up to this age, a configuration that a peer has read counts as current: as old as it
    /// becomes at the peer that reads it, plus the time to pass it on. Keys are still accepted then
    /// for long enough that this node can read the configuration itself.
    pub fn max_shared_config_age(&self) -> Millis {
        let wait = self.config_poll_rules(true).wait;
        wait + wait + CONFIG_FORWARDING_ALLOWANCE
    }

    /// Longest configuration in bytes that this node sends to others as soon as they ask: so long
    /// that all who ask at the same time get it within [`SHARED_CONFIG_TIME`].
    pub fn max_shared_config_len(&self) -> usize {
        let bytes_per_s = self.limits.link_mbit_per_s * 1e6 / 8.0;
        (bytes_per_s * SHARED_CONFIG_TIME.as_secs_f64() / CONFIG_FOLLOWERS) as usize
    }

    /// Time to live of a lease.
    pub fn lease_ttl(&self) -> Millis {
        LEASE_TTL.max(Millis(self.store.least_ttl_ms))
    }

    /// Timings of the stewards.
    pub fn steward_timings(&self) -> StewardTimings {
        let group_break_time = Millis(self.bounds.groups_break_after_ms) + GROUP_BREAK_MARGIN;
        StewardTimings { group_break_time, ..StewardTimings::default() }
    }

    /// How long the demand of past peaks is remembered; zero if it is not.
    pub fn demand_memory(&self) -> Millis {
        let memory_s = self.admission.as_ref().map_or(0.0, |admission| admission.demand_memory_s);
        Millis((memory_s * 1000.0) as u64)
    }

    /// The rules of the retry budget.
    pub fn budget(&self) -> RetryBudgetRules {
        RetryBudgetRules {
            ratio: self.bounds.repeat_ratio,
            window: Millis((self.bounds.repeat_window_s * 1000.0) as u64),
            slack: self.bounds.repeat_slack,
        }
    }

    /// Bounds on the bytes held for callers and instances that do not read them.
    pub fn read_budget_rules(&self) -> ReadBudgetRules {
        let memory = self.limits.memory_mb * 1024.0 * 1024.0;
        ReadBudgetRules {
            stream_bytes: STREAM_UNREAD_MAX,
            total_bytes: (memory / UNREAD_MEMORY_DIVISOR) as u64,
            unread_max: UNREAD_TIME_MAX,
        }
    }

    /// Bound on the bytes held of responses that cannot be passed on yet.
    pub fn response_bytes_max(&self) -> u64 {
        (self.limits.memory_mb * 1024.0 * 1024.0 / RESPONSE_MEMORY_DIVISOR) as u64
    }

    /// What an instance of a service takes while it is cold.
    pub fn cold_limit(&self, cold_start: ColdStart) -> ColdLimit {
        let max_in_second =
            cold_start.requests_per_s * self.bounds.cold_factor + self.bounds.cold_slack;
        ColdLimit { per_s: cold_start.requests_per_s, max_in_second }
    }

    /// Most connections that callers may have open. Each may need a second descriptor, for an
    /// upstream.
    pub fn caller_connections(&self) -> usize {
        (self.connection_pairs() - self.tunnels_max()).max(64)
    }

    /// Most tunnels that are open for other nodes at the same time. Each needs two
    /// descriptors.
    pub fn tunnels_max(&self) -> usize {
        self.connection_pairs() / TUNNEL_DIVISOR
    }

    /// Pairs of connections for which there are descriptors.
    fn connection_pairs(&self) -> usize {
        self.limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2
    }
}

/// Timing of the long polls for what has to be in force within `bound` milliseconds, even if a poll
/// is lost at any moment. A node that is no store reader, because it goes by what peers read, polls
/// as rarely as the bound allows: readers tell it when the store is back, and the polls of hundreds
/// of nodes to a store that does not answer would burden it once it is back.
fn poll_rules(wait_max: Millis, bound: u64, is_store_reader: bool) -> LongPollRules {
    let poll_within = Millis(bound).since(ANSWER_ALLOWANCE);
    let retry_interval =
        if is_store_reader { poll_within.min(RETRY_INTERVAL_MAX) } else { poll_within };
    LongPollRules {
        wait: poll_within.since(ANSWER_LATE_AFTER).min(wait_max).max(WAIT_MIN),
        late_after: ANSWER_LATE_AFTER,
        retry_interval: retry_interval.max(WAIT_MIN),
    }
}

/// Why settings are rejected.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// cannot read the settings file {path}: {why}
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of reading it.
        why: std::io::Error,
    },
    /// the settings file {path} is not valid: {why}
    Invalid {
        /// Path of the file.
        path: String,
        /// The parser's message, with line and column, or the setting that is out of range.
        why: String,
    },
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    /// A hint for the operator.
    pub const fn help(&self) -> &'static str {
        match self {
            Self::Unreadable { .. } => "name the file with --settings or in WORKSHOLD_CONFIG",
            Self::Invalid { .. } => "compare it with deploy/entry.toml",
        }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// [`SettingsError`] with the first error.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|why| SettingsError::Unreadable { path: path.display().to_string(), why })?;
    parse(&text).map_err(|why| SettingsError::Invalid { path: path.display().to_string(), why })
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// The first error, as text.
pub fn parse(text: &str) -> Result<Settings, String> {
    let settings: Settings = toml::from_str(text).map_err(|err| err.to_string())?;
    if settings.node.name.is_empty() {
        return Err("node.name is empty".to_owned());
    }
    if settings.store.parts == 0 {
        return Err("store.parts is zero".to_owned());
    }
    let bounds = &settings.bounds;
    let positive = [
        ("limits.memory_mb", settings.limits.memory_mb),
        ("bounds.stop_within_s", bounds.stop_within_s),
        ("bounds.repeat_window_s", bounds.repeat_window_s),
        ("bounds.addresses_good_at_most_s", bounds.addresses_good_at_most_s),
    ];
    let not_negative =
        [("bounds.cold_factor", bounds.cold_factor), ("bounds.cold_slack", bounds.cold_slack)];
    if let Some((name, value)) =
        not_negative.iter().find(|(_, value)| !(value.is_finite() && *value >= 0.0))
    {
        return Err(format!("{name} is {value}, but must not be negative"));
    }
    if let Some(admission) = &settings.admission {
        admission.check()?;
    }
    match positive.iter().find(|(_, value)| !(value.is_finite() && *value > 0.0)) {
        Some((name, value)) => Err(format!("{name} is {value}, but must be greater than zero")),
        None => Ok(settings),
    }
}
