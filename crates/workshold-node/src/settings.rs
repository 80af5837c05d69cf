//! Settings: TOML, unknown keys refused, every fault named at once.

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
    /// Who and where this node is.
    pub node: NodeSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Whom it trusts.
    pub trust: TrustSettings,
    /// Other nodes to ask before the instance list was read.
    #[serde(default)]
    pub peers: BTreeMap<NodeId, String>,
    /// Times it keeps to.
    #[serde(default)]
    pub times: TimeSettings,
    /// What callers may use up.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// What is expected of instances that go missing.
    #[serde(default)]
    pub expectations: Expectations,
    /// Its logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Its metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// Who and where a node is.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Its name, as the platform lists it.
    pub name: NodeId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens for callers, as `ip:port`.
    pub callers: String,
    /// Where it listens for other nodes.
    pub peers: String,
    /// Where it listens for operators.
    pub operators: String,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The log service, as `ip:port`.
    pub log: String,
    /// The instance list, as `ip:port`.
    pub instances: String,
}

/// Whom a node trusts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrustSettings {
    /// A file with the key that all nodes share, in base64.
    pub cluster_key_file: PathBuf,
    /// The operators' public keys, in base64.
    pub operators: BTreeMap<OperatorName, PublicKey>,
}

/// Times, all in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimeSettings {
    /// Between two probes of an instance, and between two questions to a peer.
    pub probe_every: Millis,
    /// How long a report is believed.
    pub report_ttl: Millis,
    /// How far two clocks may drift apart over that time.
    pub clock_error: Millis,
    /// How long a member may be silent before its group counts as broken.
    pub member_grace: Millis,
    /// How long an instance must be off the list before its claim is dropped.
    pub gone_after: Millis,
    /// Between two plans of a steward.
    pub plan_every: Millis,
    /// How long a node counts as live after it answered.
    pub peer_ttl: Millis,
    /// How long without log and peers before a node steps out.
    pub isolation_after: Millis,
    /// How long callers may keep the addresses they were given.
    pub entries_ttl: Millis,
    /// The deadline of a request that names none.
    pub default_deadline: Millis,
    /// The longest deadline that a request may name.
    pub max_deadline: Millis,
    /// How long a caller may not read before its request is cancelled.
    pub caller_stall: Millis,
    /// How long an upstream may say nothing before an attempt has failed.
    pub upstream_silence: Millis,
    /// How long an intent may take to be recorded.
    pub intent_wait: Millis,
    /// Between checkpoints; keep well below half of the log's retention.
    pub checkpoint_every: Millis,
    /// How long idempotency keys are remembered.
    pub key_window: Millis,
    /// How long a planned stop waits for what is in flight, after callers have
    /// forgotten the address.
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

/// What callers may use up.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body_len: usize,
    /// Time for a request's head, and again for its body.
    pub read_time: Millis,
    /// Bytes of a plain service's answer.
    pub answer_len: usize,
    /// Tokens of one answer.
    pub max_tokens: u32,
    /// Records between checkpoints.
    pub checkpoint_records: u64,
    /// What one instance reads from the weight store in a second, in MiB.
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

/// How logs are written, to standard error.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least level that is written.
    pub level: LogLevel,
    /// Text or JSON.
    pub format: LogFormat,
}

/// Levels of events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something needs a person.
    Error,
    /// Something is wrong for now.
    Warn,
    /// What happened.
    #[default]
    Info,
    /// What was thought about it.
    Debug,
}

/// Forms of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// Where metrics go.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MetricsSettings {
    /// A statsd server, as `ip:port`; none switches them off.
    pub statsd: Option<String>,
}

/// Something wrong with the settings, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The file.
    pub file: PathBuf,
    /// The key, or nothing if the text as a whole is broken.
    pub key: String,
    /// What is wrong.
    pub why: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file.display(), self.key, self.why)
    }
}

/// Settings that were checked, with the keys they name.
#[derive(Debug, Clone)]
pub struct CheckedSettings {
    /// The settings.
    pub settings: Settings,
    /// The key that all nodes share.
    pub cluster_key: ClusterKey,
    /// The operators.
    pub operators: TrustedOperators,
}

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// Every fault that was found.
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
    /// What is wrong with the values, each with its key.
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        self.check_addresses(&mut faults);
        self.check_times(&mut faults);
        if self.trust.operators.is_empty() {
            faults
                .push(("trust.operators", "there is none; nobody could sign a bundle".to_owned()));
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
                "with report_ttl it must stay within a minute",
            ),
            (
                times.default_deadline <= times.max_deadline,
                "times.default_deadline",
                "it must not be above max_deadline",
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

    /// How groups are judged.
    pub fn group_readiness_rules(&self) -> GroupReadinessRules {
        GroupReadinessRules { report_ttl: self.times.report_ttl }
    }

    /// What a steward keeps to.
    pub fn steward_rules(&self) -> StewardRules {
        StewardRules {
            group_readiness: self.group_readiness_rules(),
            release_wait: self.times.report_ttl + self.times.clock_error,
            member_grace: self.times.member_grace,
            gone_after: self.times.gone_after,
            order_every: Millis(self.times.probe_every.0 * 2),
            load_mib_per_s: self.bounds.load_mib_per_s,
            expect: self.expectations,
        }
    }

    /// How other nodes are judged.
    pub fn membership_rules(&self) -> MembershipRules {
        MembershipRules {
            peer_ttl: self.times.peer_ttl,
            probers: PROBERS,
            remote_polls: ASKED_REMOTELY,
            isolation_after: self.times.isolation_after,
        }
    }

    /// How the log is kept in order.
    pub fn log_maintenance_rules(&self) -> LogMaintenanceRules {
        LogMaintenanceRules {
            checkpoint_every: self.times.checkpoint_every,
            checkpoint_records: self.bounds.checkpoint_records,
            key_window: self.times.key_window,
            forget_every: Millis(self.times.key_window.0 / 10),
        }
    }
}

const MAX_DETECTION_MS: u64 = 60_000;
/// Two, so that one that dies leaves no gap.
const PROBERS: usize = 2;
/// Two, so that one that dies leaves no gap.
const ASKED_REMOTELY: usize = 2;
