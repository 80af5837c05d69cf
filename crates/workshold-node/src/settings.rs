//! The node's settings, read from a TOML file. Unknown keys are errors, and all invalid
//! values are reported at once.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use workshold_core::checkpointing::LogMaintenanceRules;
use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::membership::MembershipRules;
use workshold_core::repair::Expectations;
use workshold_core::steward::StewardRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::OperatorName;
use workshold_protocol::signing::ClusterKey;
use workshold_protocol::signing::PublicKey;
use workshold_protocol::signing::TrustedOperators;

/// All settings of an entry node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, data centre and addresses of this node.
    pub node: NodeSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Keys of the cluster and of operators.
    pub trust: TrustSettings,
    /// Peer addresses of other nodes, used until the instance list has been read.
    #[serde(default)]
    pub peers: BTreeMap<NodeId, String>,
    /// Intervals, timeouts and lifetimes.
    #[serde(default)]
    pub times: TimeSettings,
    /// Limits on callers' requests, checkpoints and loading of weights.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Statistics about instances that go missing, for the choice of a repair.
    #[serde(default)]
    pub expectations: Expectations,
    /// Level and format of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics are sent.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Name, data centre and addresses of a node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name in the platform's instance list.
    pub name: NodeId,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Address to listen on for callers, as `ip:port`; also given out to callers.
    pub callers: String,
    /// Address to listen on for other nodes, as `ip:port`.
    pub peers: String,
    /// Address to listen on for operators, as `ip:port`.
    pub operators: String,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service, as `ip:port`.
    pub log: String,
    /// Address of the service with the instance list, as `ip:port`.
    pub instances: String,
}

/// Keys that a node trusts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrustSettings {
    /// File with the secret key that all nodes share, in base64. A relative path starts at
    /// the directory of the settings file.
    pub cluster_key_file: PathBuf,
    /// The operators' public keys, in base64; bundles are signed with them.
    pub operators: BTreeMap<OperatorName, PublicKey>,
}

/// Intervals, timeouts and lifetimes, all in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeSettings {
    /// Interval between probes of an instance and between polls of a peer, and the timeout
    /// of one probe or poll.
    pub probe_every: Millis,
    /// How long a report of an instance is valid.
    pub report_ttl: Millis,
    /// How far two clocks may drift apart during `report_ttl`.
    pub clock_error: Millis,
    /// How long a member may be lost before its group counts as broken. Starts when its
    /// last report expires.
    pub member_grace: Millis,
    /// How long an instance must be neither listed nor heard from before its claim is
    /// dropped.
    pub gone_after: Millis,
    /// Interval between a steward's planning rounds.
    pub plan_every: Millis,
    /// How long a node counts as live after the poll that it last answered.
    pub peer_ttl: Millis,
    /// How long a node serves after it was cut off from the log and all other nodes.
    pub isolation_after: Millis,
    /// How long callers may use the addresses that they were given.
    pub entries_ttl: Millis,
    /// Deadline of a request that doesn't specify one.
    pub default_deadline: Millis,
    /// Longest deadline that a request may specify.
    pub max_deadline: Millis,
    /// How long a caller may stop reading before its request is cancelled.
    pub caller_stall: Millis,
    /// How long an upstream may send nothing before its stream counts as stalled; a hedge
    /// may start then.
    pub upstream_silence: Millis,
    /// How long a request waits until its intent is recorded in the log.
    pub intent_wait: Millis,
    /// Time between checkpoints; must stay well below half of the log's retention.
    pub checkpoint_every: Millis,
    /// How long idempotency keys are kept.
    pub key_window: Millis,
    /// How long a planned stop waits for requests in flight, after the addresses given to
    /// callers have expired.
    pub stop_patience: Millis,
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            probe_every: Millis(500),
            report_ttl: Millis(2_500),
            clock_error: Millis(100),
            member_grace: Millis(3_000),
            gone_after: Millis(60_000),
            plan_every: Millis(250),
            peer_ttl: Millis(3_000),
            isolation_after: Millis(5_000),
            entries_ttl: Millis(3_000),
            default_deadline: Millis(60_000),
            max_deadline: Millis(600_000),
            caller_stall: Millis(10_000),
            upstream_silence: Millis(2_000),
            intent_wait: Millis(2_000),
            checkpoint_every: Millis(60_000),
            key_window: Millis(900_000),
            stop_patience: Millis(600_000),
        }
    }
}

/// Limits on callers' requests, checkpoints and loading of weights.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Callers' connections at once.
    pub connections: usize,
    /// Largest body of a request, in bytes.
    pub body_len: usize,
    /// Timeout for reading a request's head, and again for reading its body.
    pub read_time: Millis,
    /// Largest answer of a plain service, in bytes.
    pub answer_len: usize,
    /// Most tokens that a request may ask for.
    pub max_tokens: u32,
    /// Records between checkpoints; bounds what a new node has to replay.
    pub checkpoint_records: u64,
    /// Rate at which one instance reads from the weight store, in MiB/s.
    pub load_mib_per_s: u32,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            connections: 4_096,
            body_len: 1024 * 1024,
            read_time: Millis(10_000),
            answer_len: 8 * 1024 * 1024,
            max_tokens: 16_384,
            checkpoint_records: 4_096,
            load_mib_per_s: 2_048,
        }
    }
}

/// Level and format of log lines, which go to standard error.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: LogLevel,
    /// Format of a line.
    pub format: LogFormat,
}

/// Severity of an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// An operator has to act.
    Error,
    /// A fault that may pass by itself.
    Warn,
    /// Normal changes of state.
    #[default]
    Info,
    /// Details of single requests and records, for fault finding.
    Debug,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Where metrics are sent.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of a statsd server, as `ip:port`; `None` disables metrics.
    pub statsd: Option<String>,
}

/// An invalid value in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The settings file.
    pub file: PathBuf,
    /// The key, such as `times.peer_ttl`; `-` if the file can't be read or parsed.
    pub key: String,
    /// Explanation for the operator.
    pub why: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file.display(), self.key, self.why)
    }
}

/// Settings that passed all checks, with the keys that they name.
#[derive(Debug, Clone)]
pub struct CheckedSettings {
    /// The settings as read.
    pub settings: Settings,
    /// The secret key that all nodes share.
    pub cluster_key: ClusterKey,
    /// The operators' public keys.
    pub operators: TrustedOperators,
}

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// All invalid values that were found.
pub fn load(file: &Path) -> Result<CheckedSettings, Vec<SettingsFault>> {
    let fault = |key: &str, why: String| SettingsFault {
        file: file.to_path_buf(),
        key: key.to_owned(),
        why,
    };
    let text = std::fs::read_to_string(file).map_err(|err| vec![fault("-", err.to_string())])?;
    let settings: Settings =
        toml::from_str(&text).map_err(|err| vec![fault("-", err.to_string())])?;
    let mut faults: Vec<_> =
        settings.faults().into_iter().map(|(key, why)| fault(key, why)).collect();
    let cluster_key = settings.read_cluster_key(file);
    if let Err(why) = &cluster_key {
        faults.push(fault("trust.cluster_key_file", why.clone()));
    }
    let operators = TrustedOperators::new(settings.trust.operators.clone());
    if let Err(err) = &operators {
        faults.push(fault("trust.operators", err.to_string()));
    }
    match (cluster_key, operators) {
        (Ok(cluster_key), Ok(operators)) if faults.is_empty() => {
            Ok(CheckedSettings { settings, cluster_key, operators })
        }
        _ => Err(faults),
    }
}

impl Settings {
    /// Checks values that parsing doesn't: returns the key and an explanation of each
    /// invalid one.
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        self.check_addresses(&mut faults);
        self.check_times(&mut faults);
        if self.trust.operators.is_empty() {
            faults.push(("trust.operators", "it is empty: nobody could sign a bundle".to_owned()));
        }
        if self.bounds.connections == 0 || self.bounds.body_len == 0 {
            faults.push(("bounds", "connections and body_len must be above 0".to_owned()));
        }
        faults
    }

    fn check_addresses(&self, faults: &mut Vec<(&'static str, String)>) {
        let addresses = [
            ("node.callers", Some(&self.node.callers)),
            ("node.peers", Some(&self.node.peers)),
            ("node.operators", Some(&self.node.operators)),
            ("platform.log", Some(&self.platform.log)),
            ("platform.instances", Some(&self.platform.instances)),
            ("metrics.statsd", self.metrics.statsd.as_ref()),
        ];
        let addresses = addresses.into_iter().filter_map(|(key, address)| Some((key, address?)));
        let peers = self.peers.values().map(|address| ("peers", address));
        for (key, address) in addresses.chain(peers) {
            if address.parse::<SocketAddr>().is_err() {
                faults.push((key, format!("\"{address}\" is not an ip:port")));
            }
        }
    }

    fn check_times(&self, faults: &mut Vec<(&'static str, String)>) {
        let times = &self.times;
        let rules = [
            (
                times.probe_every.0 > 0 && times.report_ttl.0 >= 3 * times.probe_every.0,
                "times.report_ttl",
                "it must be at least three times probe_every",
            ),
            (
                times.peer_ttl.0 >= 3 * times.probe_every.0,
                "times.peer_ttl",
                "it must be at least three times probe_every",
            ),
            (
                times.member_grace.0 + times.report_ttl.0 <= MAX_DETECTION_MS,
                "times.member_grace",
                "its sum with report_ttl must not exceed one minute",
            ),
            (
                times.default_deadline <= times.max_deadline,
                "times.default_deadline",
                "it must not exceed max_deadline",
            ),
            (
                times.clock_error.0 * 100 >= times.report_ttl.0,
                "times.clock_error",
                "it must be at least a hundredth of report_ttl",
            ),
        ];
        let broken = rules.into_iter().filter(|(holds, _, _)| !holds);
        faults.extend(broken.map(|(_, key, why)| (key, why.to_owned())));
    }

    fn read_cluster_key(&self, file: &Path) -> Result<ClusterKey, String> {
        let named = &self.trust.cluster_key_file;
        let base = file.parent().unwrap_or(Path::new("."));
        let path = if named.is_absolute() { named.clone() } else { base.join(named) };
        let text =
            std::fs::read_to_string(&path).map_err(|err| format!("{}: {err}", path.display()))?;
        ClusterKey::from_text(&text).map_err(|err| err.to_string())
    }

    /// Rules for the check of groups' readiness.
    pub fn group_readiness_rules(&self) -> GroupReadinessRules {
        GroupReadinessRules { report_ttl: self.times.report_ttl }
    }

    /// Rules for the steward's plans. An instance is released only once its old report has
    /// expired on every node, so the wait includes the drift of clocks.
    pub fn steward_rules(&self) -> StewardRules {
        StewardRules {
            group_readiness: self.group_readiness_rules(),
            release_wait: self.times.report_ttl + self.times.clock_error,
            member_grace: self.times.member_grace,
            gone_after: self.times.gone_after,
            order_interval: Millis(self.times.probe_every.0 * 2),
            load_mib_per_s: self.bounds.load_mib_per_s,
            expect: self.expectations,
        }
    }

    /// Rules for liveness and for polls of other nodes.
    pub fn membership_rules(&self) -> MembershipRules {
        MembershipRules {
            peer_ttl: self.times.peer_ttl,
            probers: PROBERS,
            remote_polls: REMOTE_POLLS,
            isolation_after: self.times.isolation_after,
        }
    }

    /// Rules for checkpoints and for the expiry of idempotency keys.
    pub fn log_maintenance_rules(&self) -> LogMaintenanceRules {
        LogMaintenanceRules {
            checkpoint_every: self.times.checkpoint_every,
            checkpoint_records: self.bounds.checkpoint_records,
            key_window: self.times.key_window,
            forget_every: Millis(self.times.key_window.0 / 10),
        }
    }
}

/// Longest time in which a lost member must be detected.
const MAX_DETECTION_MS: u64 = 60_000;
/// Nodes of a data centre that probe each instance: two, so that probes go on when one dies.
const PROBERS: usize = 2;
/// Nodes polled in each other data centre: two, so that polls go on when one dies.
const REMOTE_POLLS: usize = 2;
