//! A node's settings: TOML, checked as a whole before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use displaydoc::Display;
use serde::Deserialize;
use workshold_core::hosted::long_poll::LongPollRules;
use workshold_core::hosted::retry_policy::RetryBudgetRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;

use crate::peers::exchange::LocalNode;

/// All settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who and where it is.
    pub node: NodeSettings,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// What the machine allows.
    #[serde(default)]
    pub limits: MachineLimits,
    /// What has been promised.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Who and where a node is.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Its name, for logs.
    pub name: String,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub is_first_start: bool,
}

/// Addresses of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether it serves.
    pub readiness: SocketAddr,
    /// For callers who ask which addresses to use.
    pub directory: SocketAddr,
    /// For other nodes' datagrams and, over connections, for those that lack the
    /// configuration and for operators; the same port on all.
    pub peers_port: u16,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: String,
    /// Parts that a lease is dealt out in.
    #[serde(default = "usual_parts")]
    pub parts: u64,
    /// The shortest time that a lease can be held for, in milliseconds.
    #[serde(default)]
    pub least_ttl_ms: u64,
}

/// What the machine allows.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineLimits {
    /// Descriptors of the process.
    pub descriptors: usize,
    /// What its link takes, in Mbit/s.
    pub link_mbit_per_s: f64,
    /// Its share of a core.
    pub processor_share: f64,
}

/// A link and a share of a core with which a node can well carry what is said to a hundred
/// others: a relay sends each of them 4 KB up to ten times a second while much changes.
const GOOD_LINK_MBIT_PER_S: f64 = 100.0;
const GOOD_PROCESSOR_SHARE: f64 = 0.25;

impl MachineLimits {
    /// How well the machine carries work for others, 0 best: with the link or the processor
    /// that is good for it, with half of it, with less.
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

/// What has been promised to callers and operators.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The longest that a key is believed after it was taken away, in milliseconds.
    pub keys_believed_ms: u64,
    /// Whether requests that need a key are refused once the configuration is older
    /// than that; if not, the last one known stays good for as long as it has to.
    pub refuse_stale_keys: bool,
    /// A configuration is in force this long after it was acknowledged, in milliseconds.
    pub config_in_force_ms: u64,
    /// A node keeps its promises again this long after what disturbed it, or the store, has
    /// ended, in milliseconds.
    pub undisturbed_after_ms: u64,
    /// The time that a planned stop may take, in seconds.
    pub stop_within_s: f64,
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// The time over which repeats count, in seconds.
    pub repeat_window_s: f64,
    /// Repeats of all nodes beyond the ratio.
    pub repeat_slack: f64,
    /// The longest that addresses may be good for, in seconds.
    pub addresses_good_at_most_s: f64,
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
            addresses_good_at_most_s: 5.0,
        }
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { descriptors: 1_024, link_mbit_per_s: 1_000.0, processor_share: 1.0 }
    }
}

const fn usual_parts() -> u64 {
    24
}

/// How long callers may use the addresses that they are told: short, so that a node
/// that is gone is soon forgotten, and three times of it fit into a planned stop.
const ADDRESSES_GOOD_S: f64 = 2.0;
/// Part of [`Bounds::keys_believed_ms`] that is used: the rest is for the time that
/// a request takes to its upstream.
const KEYS_BELIEVED_PART: f64 = 0.92;
/// The longest that a reading of the configuration waits for a newer one: each has its
/// price, and what is read counts as fresh from when it was asked for.
const CONFIG_WAIT_MOST: Millis = Millis(1_500);
/// The shortest, whatever the bound: the store has to serve other readers, too.
const WAIT_LEAST: Millis = Millis(200);
/// The longest that a reading of the list waits for a change.
const LIST_WAIT_MOST: Millis = Millis(2_000);
/// The store's answer is late after this, beyond its wait: many times what it takes.
const ANSWER_LATE: Millis = Millis(250);
/// Time for an answer that comes, and for what it says to be in force.
const ANSWER_ROOM: Millis = Millis(300);
/// The most between two questions to a store that does not answer.
const ASK_EVERY: Millis = Millis(1_300);
/// Time for answers and for the way of what other nodes have read.
const CONFIG_ON_THE_WAY: Millis = Millis(700);
/// Descriptors kept for the store, upstreams in doubt, peers and files.
const DESCRIPTORS_KEPT: usize = 300;
/// How long a lease is held; a node that dies holds its part up for this long.
const LEASE_TTL: Millis = Millis(1_500);

impl Settings {
    /// This node as others know it.
    pub fn own(&self) -> LocalNode<'_> {
        LocalNode {
            address: self.control(),
            name: &self.node.name,
            data_centre: self.node.data_centre.as_str(),
        }
    }

    /// Where other nodes and operators reach this one.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.listen.callers.ip(), self.listen.peers_port)
    }

    /// How long callers may use the addresses that they are told, in seconds.
    pub fn addresses_good_s(&self) -> f64 {
        ADDRESSES_GOOD_S.min(self.bounds.addresses_good_at_most_s)
    }

    /// How old a configuration may be by which keys are believed.
    pub fn max_key_age(&self) -> Millis {
        Millis((self.bounds.keys_believed_ms as f64 * KEYS_BELIEVED_PART) as u64)
    }

    /// How the store is asked for a newer configuration. Just before the next answer, what
    /// is held is as old as two waits: keys must still be believed then.
    pub fn config_poll_rules(&self, is_reader: bool) -> LongPollRules {
        let kept = CONFIG_ON_THE_WAY + CONFIG_ON_THE_WAY;
        let half = Millis(self.max_key_age().since(kept).0 / 2);
        long_poll(half.min(CONFIG_WAIT_MOST), self.bounds.config_in_force_ms, is_reader)
    }

    /// How the store is asked for changes of the list. What waits brings them at once, unless
    /// it was lost in a disturbance.
    pub fn list_poll_rules(&self, is_reader: bool) -> LongPollRules {
        long_poll(LIST_WAIT_MOST, self.bounds.undisturbed_after_ms, is_reader)
    }

    /// What others have read of the configuration is current if it is not older: as old
    /// as it becomes where it is read, and the way. Keys are still believed then, for
    /// long enough to read it oneself.
    pub fn max_shared_config_age(&self) -> Millis {
        let wait = self.config_poll_rules(true).wait;
        wait + wait + CONFIG_ON_THE_WAY
    }

    /// How long a lease is held.
    pub fn lease_ttl(&self) -> Millis {
        LEASE_TTL.max(Millis(self.store.least_ttl_ms))
    }

    /// How repeats are bounded.
    pub fn budget(&self) -> RetryBudgetRules {
        RetryBudgetRules {
            ratio: self.bounds.repeat_ratio,
            window: Millis((self.bounds.repeat_window_s * 1000.0) as u64),
            slack: self.bounds.repeat_slack,
        }
    }

    /// Connections that callers may have open: each may need one to an upstream.
    pub fn caller_connections(&self) -> usize {
        (self.limits.descriptors.saturating_sub(DESCRIPTORS_KEPT) / 2).max(64)
    }
}

/// How the store is asked for what has to be in force within `bound`, in milliseconds: a
/// question that is lost must not make it late, whatever the moment. Whoever is no reader asks
/// as rarely as that allows: it is readers who tell it of the store's return, and hundreds
/// that ask into a silence would be a burden to it afterwards.
fn long_poll(wait_most: Millis, bound: u64, is_reader: bool) -> LongPollRules {
    let asked_within = Millis(bound).since(ANSWER_ROOM);
    let retry_interval = if is_reader { asked_within.min(ASK_EVERY) } else { asked_within };
    LongPollRules {
        wait: asked_within.since(ANSWER_LATE).min(wait_most).max(WAIT_LEAST),
        late_after: ANSWER_LATE,
        retry_interval: retry_interval.max(WAIT_LEAST),
    }
}

/// Why settings are not taken.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// the settings at {path} cannot be read: {why}
    Unreadable {
        /// The file.
        path: String,
        /// What the machine said.
        why: std::io::Error,
    },
    /// the settings at {path} are not valid: {why}
    Invalid {
        /// The file.
        path: String,
        /// What the reader said, with the place.
        why: String,
    },
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    /// What helps.
    pub const fn help(&self) -> &'static str {
        match self {
            Self::Unreadable { .. } => "name the file with --settings or in WORKSHOLD_CONFIG",
            Self::Invalid { .. } => "compare it with deploy/entry.toml",
        }
    }
}

/// Reads and checks a file of settings.
///
/// # Errors
///
/// [`SettingsError`] with the first fault.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|why| SettingsError::Unreadable { path: path.display().to_string(), why })?;
    parse(&text).map_err(|why| SettingsError::Invalid { path: path.display().to_string(), why })
}

/// Checks the text of settings.
///
/// # Errors
///
/// The first fault, in words.
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
        ("bounds.stop_within_s", bounds.stop_within_s),
        ("bounds.repeat_window_s", bounds.repeat_window_s),
        ("bounds.addresses_good_at_most_s", bounds.addresses_good_at_most_s),
    ];
    match positive.iter().find(|(_, value)| !(value.is_finite() && *value > 0.0)) {
        Some((name, value)) => Err(format!("{name} is {value}, but has to be above zero")),
        None => Ok(settings),
    }
}
