//! The bundle: the versioned configuration of models, services and teams that a deployment serves.
//!
//! Operators write it in TOML, sign it, publish it to the log, and sign it off, which puts it in
//! force. Validation reports all faults at once, each with its path in the file.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::error::Error;
use crate::error::Result;
use crate::ids::AdapterName;
use crate::ids::BundleHash;
use crate::ids::ModelName;
use crate::ids::RoleName;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::Version;
use crate::signing::OperatorKey;
use crate::signing::OperatorSignature;

/// Maximum size of a group, in instances.
pub const MAX_GROUP_SIZE: u16 = 64;
/// Maximum length of a bundle's TOML text, in bytes.
pub const MAX_BUNDLE_LEN: usize = 256 * 1024;

/// What a deployment serves, for which teams, and what its losses cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Name that the operators give this version of the bundle, for output.
    pub name: String,
    /// Costs by which stewards choose how to repair groups.
    #[serde(default)]
    pub weights: CostWeights,
    /// The models, by name.
    #[serde(default)]
    pub models: BTreeMap<ModelName, Model>,
    /// The plain services, by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// The teams, by name.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, Team>,
}

/// Relative costs of an hour of each of the two losses: missing groups and idle accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CostWeights {
    /// Cost of one missing group for an hour.
    pub group_downtime: f64,
    /// Cost of one accelerator that is in no serving group for an hour.
    pub stranded_accelerator: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self { group_downtime: 1.0, stranded_accelerator: 0.01 }
    }
}

/// A model and the groups that serve it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version of the weights to run.
    pub version: Version,
    /// Number of groups wanted, over all data centres.
    pub replicas: u16,
    /// The sizes that a group can have, most preferred first.
    pub roles: Vec<Role>,
    /// The adapters that every group loads.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterName>,
    /// Size of the weights that one instance loads, in MiB; determines the expected load time.
    #[serde(default = "default_weights_mib")]
    pub weights_mib: u32,
}

const fn default_weights_mib() -> u32 {
    1024
}

/// A size that a group of a model can have.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Role {
    /// Name of the role in the engines' interface.
    pub name: RoleName,
    /// Number of instances, all of one fabric domain.
    pub instances: u16,
    /// Value of a group of this size relative to one of the best role: above 0 and at most 1.
    #[serde(default = "full_worth")]
    pub worth: f64,
}

const fn full_worth() -> f64 {
    1.0
}

/// A plain service: callers' requests are forwarded to one of its instances unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Path prefix of its requests, such as `/gate`.
    pub path: String,
    /// HTTP methods whose requests may run more than once, so that they can be retried. GET, HEAD
    /// and OPTIONS always may.
    #[serde(default)]
    pub repeatable_methods: BTreeSet<String>,
    /// Maximum duration of a request, in milliseconds.
    #[serde(default = "default_service_deadline")]
    pub deadline: Millis,
}

const fn default_service_deadline() -> Millis {
    Millis(10_000)
}

/// A team and its rate limits, which apply to all nodes together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Rate limit in requests per second.
    pub requests_per_s: f64,
    /// Rate limit in generated tokens per second.
    pub tokens_per_s: f64,
    /// Weight of the team in the fair queue, relative to the other teams.
    #[serde(default = "default_share")]
    pub share: f64,
    /// BLAKE3 hashes of the team's API keys, in lower-case hexadecimal. If empty, requests need no
    /// key: the team that their header names is trusted.
    #[serde(default)]
    pub key_hashes: BTreeSet<String>,
}

const fn default_share() -> f64 {
    1.0
}

/// A fault that validation found in a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Path of the faulty key in the TOML text, such as `models.small.roles`.
    pub place: String,
    /// What is wrong with its value.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.why)
    }
}

/// Collects the faults that validation finds.
struct Faults(Vec<Fault>);

impl Faults {
    /// Records a fault unless `ok`.
    fn require(&mut self, ok: bool, place: String, why: &str) {
        if !ok {
            self.0.push(Fault { place, why: why.to_owned() });
        }
    }
}

impl Bundle {
    /// Parses a bundle from TOML. Does not look for faults, see [`Bundle::faults`].
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] if the text is longer than [`MAX_BUNDLE_LEN`], or malformed; then with
    /// line and column.
    pub fn from_toml(text: &str) -> Result<Self> {
        let unreadable = |why: String| Error::Unreadable { what: "the bundle".to_owned(), why };
        if text.len() > MAX_BUNDLE_LEN {
            return Err(unreadable(format!("it is longer than {MAX_BUNDLE_LEN} bytes")));
        }
        toml::from_str(text).map_err(|err| unreadable(err.to_string()))
    }

    /// Validates the bundle and returns all faults, in the order of the text's tables; none if the
    /// bundle is valid.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Faults(Vec::new());
        faults.require(!self.name.trim().is_empty(), "name".to_owned(), "it is empty");
        self.weights.check(&mut faults);
        self.models.iter().for_each(|(name, model)| model.check(name, &mut faults));
        self.services.iter().for_each(|(name, service)| service.check(name, &mut faults));
        self.check_paths(&mut faults);
        self.teams.iter().for_each(|(name, team)| team.check(name, &mut faults));
        self.check_keys(&mut faults);
        faults.0
    }

    /// Returns the bundle if it is valid.
    ///
    /// # Errors
    ///
    /// [`Error::BadBundle`] with the number of faults and the first of them.
    pub fn into_validated(self) -> Result<Self> {
        match self.faults().as_slice() {
            [] => Ok(self),
            [first, ..] => {
                Err(Error::BadBundle { count: self.faults().len(), first: first.to_string() })
            }
        }
    }

    /// Returns the digest of the canonical text, which identifies the bundle.
    pub fn hash(&self) -> BundleHash {
        BundleHash::of(self.canonical_json().as_bytes())
    }

    /// Returns the JSON text that is signed and hashed. Its maps are ordered, so equal bundles
    /// have equal texts.
    pub fn canonical_json(&self) -> String {
        serde_json::to_string(self).expect("a bundle has only text keys")
    }

    /// Reports each service whose path overlaps with that of another service before it.
    fn check_paths(&self, faults: &mut Faults) {
        let services: Vec<_> = self.services.iter().collect();
        for (i, (name, service)) in services.iter().enumerate() {
            let overlaps =
                services[..i].iter().any(|(_, other)| paths_overlap(&service.path, &other.path));
            faults.require(!overlaps, format!("services.{name}.path"), "another service has it");
        }
    }

    /// Reports each team that has an API key of another team before it.
    fn check_keys(&self, faults: &mut Faults) {
        let mut seen = BTreeSet::new();
        for (name, team) in &self.teams {
            let are_unique = team.key_hashes.iter().all(|key| seen.insert(key));
            faults.require(
                are_unique,
                format!("teams.{name}.key_hashes"),
                "another team has one of them",
            );
        }
    }
}

/// Whether two path prefixes are equal or one contains the other.
fn paths_overlap(a: &str, b: &str) -> bool {
    let is_within = |a: &str, b: &str| a == b || a.starts_with(&format!("{b}/"));
    is_within(a, b) || is_within(b, a)
}

impl CostWeights {
    fn check(self, faults: &mut Faults) {
        let is_valid = |weight: f64| weight.is_finite() && weight >= 0.0;
        let why = "it must be zero or more";
        faults.require(is_valid(self.group_downtime), "weights.group_downtime".to_owned(), why);
        let place = "weights.stranded_accelerator".to_owned();
        faults.require(is_valid(self.stranded_accelerator), place, why);
    }
}

impl Model {
    fn check(&self, name: &ModelName, faults: &mut Faults) {
        let place = |key: &str| format!("models.{name}.{key}");
        faults.require(!self.roles.is_empty(), place("roles"), "there is none");
        let names: BTreeSet<_> = self.roles.iter().map(|role| &role.name).collect();
        faults.require(names.len() == self.roles.len(), place("roles"), "two have one name");
        for (i, role) in self.roles.iter().enumerate() {
            let size_ok = (1..=MAX_GROUP_SIZE).contains(&role.instances);
            faults.require(size_ok, place(&format!("roles[{i}].instances")), "it must be 1 to 64");
            let worth_ok = role.worth > 0.0 && role.worth <= 1.0;
            let why = "it must be above 0 and at most 1";
            faults.require(worth_ok, place(&format!("roles[{i}].worth")), why);
        }
        faults.require(self.weights_mib > 0, place("weights_mib"), "it must be above 0");
    }

    /// Returns the role called `name`; `None` if this model has no such role.
    pub fn role(&self, name: &RoleName) -> Option<&Role> {
        self.roles.iter().find(|role| &role.name == name)
    }
}

/// Path prefixes of the nodes' own endpoints, which no service may use.
const RESERVED_PATHS: [&str; 3] = ["/v1", "/debug", "/health"];

impl Service {
    fn check(&self, name: &ServiceName, faults: &mut Faults) {
        let place = |key: &str| format!("services.{name}.{key}");
        let is_well_formed =
            self.path.len() > 1 && self.path.starts_with('/') && !self.path.ends_with('/');
        faults.require(is_well_formed, place("path"), "it must begin with / and not end with it");
        let reserved = RESERVED_PATHS.iter().any(|path| paths_overlap(&self.path, path));
        faults.require(!reserved, place("path"), "the nodes keep this path for themselves");
        faults.require(self.deadline > Millis::ZERO, place("deadline"), "it must be above 0");
    }

    /// Whether a request with this HTTP method may run more than once.
    pub fn is_repeatable(&self, method: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "OPTIONS") || self.repeatable_methods.contains(method)
    }
}

/// Length of an API key's hash, in hexadecimal digits.
const KEY_HASH_LEN: usize = 64;

impl Team {
    fn check(&self, name: &TeamName, faults: &mut Faults) {
        let place = |key: &str| format!("teams.{name}.{key}");
        let positive = |rate: f64| rate.is_finite() && rate > 0.0;
        let why = "it must be above 0";
        faults.require(positive(self.requests_per_s), place("requests_per_s"), why);
        faults.require(positive(self.tokens_per_s), place("tokens_per_s"), why);
        faults.require(positive(self.share), place("share"), why);
        let is_hash = |key: &String| {
            key.len() == KEY_HASH_LEN && key.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
        };
        let why = "each must be 64 lower-case hexadecimal digits";
        faults.require(self.key_hashes.iter().all(is_hash), place("key_hashes"), why);
    }
}

/// A bundle and an operator's signature of its canonical text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The bundle that was signed.
    pub bundle: Bundle,
    /// Signature of [`Bundle::canonical_json`].
    pub signature: OperatorSignature,
}

impl SignedBundle {
    /// Signs `bundle` with `key`.
    pub fn sign(bundle: Bundle, key: &OperatorKey) -> Self {
        let signature = key.sign(bundle.canonical_json().as_bytes());
        Self { bundle, signature }
    }
}
