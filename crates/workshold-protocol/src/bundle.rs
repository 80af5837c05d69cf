//! The bundle: the one versioned description of what is to be served.
//!
//! Operators write it in TOML, sign it, publish it and sign it off. Checking
//! finds every fault at once and names its place.

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

/// The largest group that a role may ask for, in instances.
pub const MAX_GROUP_SIZE: u16 = 64;
/// The largest bundle, in bytes of its text.
pub const MAX_BUNDLE_LEN: usize = 256 * 1024;

/// What is to be served, for whom, and what matters most.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The operators' own name of this edition; shown everywhere.
    pub name: String,
    /// What an hour of either kind of loss costs this deployment.
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

/// The relative cost of the two losses that are measured.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CostWeights {
    /// Cost of one group missing for an hour.
    pub group_downtime: f64,
    /// Cost of one accelerator in no serving group for an hour.
    pub stranded_accelerator: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self { group_downtime: 1.0, stranded_accelerator: 0.01 }
    }
}

/// One model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version to run.
    pub version: Version,
    /// How many groups are wanted over all data centres.
    pub replicas: u16,
    /// The sizes that a group can have, best first.
    pub roles: Vec<Role>,
    /// The adapters that every group loads.
    #[serde(default)]
    pub adapters: BTreeSet<AdapterName>,
    /// Weights of one instance's part, in MiB; sets how long a load takes.
    #[serde(default = "default_weights_mib")]
    pub weights_mib: u32,
}

const fn default_weights_mib() -> u32 {
    1024
}

/// One size of a group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Role {
    /// What the engines call it.
    pub name: RoleName,
    /// How many instances of one fabric domain it takes.
    pub instances: u16,
    /// Its worth as a share of the best role's.
    #[serde(default = "full_worth")]
    pub worth: f64,
}

const fn full_worth() -> f64 {
    1.0
}

/// One plain service that requests are routed to as they stand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Where callers find it, such as `/gate`.
    pub path: String,
    /// Calls of these methods may be run more than once.
    #[serde(default)]
    pub repeatable_methods: BTreeSet<String>,
    /// The longest that a call may take.
    #[serde(default = "default_service_deadline")]
    pub deadline: Millis,
}

const fn default_service_deadline() -> Millis {
    Millis(10_000)
}

/// One team and its allowance over all nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Generated tokens a second.
    pub tokens_per_s: f64,
    /// Share of a full queue, against the other teams.
    #[serde(default = "default_share")]
    pub share: f64,
    /// BLAKE3 hashes of the team's keys, in hexadecimal; empty believes the header.
    #[serde(default)]
    pub key_hashes: BTreeSet<String>,
}

const fn default_share() -> f64 {
    1.0
}

/// Something wrong with a bundle, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The key, as a path of the TOML text.
    pub place: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.why)
    }
}

struct Faults(Vec<Fault>);

impl Faults {
    fn unless(&mut self, ok: bool, place: String, why: &str) {
        if !ok {
            self.0.push(Fault { place, why: why.to_owned() });
        }
    }
}

impl Bundle {
    /// Reads a bundle from TOML.
    ///
    /// # Errors
    ///
    /// [`Error::Unreadable`] with line and column of what the text breaks at.
    pub fn from_toml(text: &str) -> Result<Self> {
        let unreadable = |why: String| Error::Unreadable { what: "the bundle".to_owned(), why };
        if text.len() > MAX_BUNDLE_LEN {
            return Err(unreadable(format!("it is longer than {MAX_BUNDLE_LEN} bytes")));
        }
        toml::from_str(text).map_err(|err| unreadable(err.to_string()))
    }

    /// Every fault, in the order of the text's keys; empty for a good bundle.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Faults(Vec::new());
        faults.unless(!self.name.trim().is_empty(), "name".to_owned(), "it is empty");
        self.weights.check(&mut faults);
        self.models.iter().for_each(|(name, model)| model.check(name, &mut faults));
        self.services.iter().for_each(|(name, service)| service.check(name, &mut faults));
        self.check_paths(&mut faults);
        self.teams.iter().for_each(|(name, team)| team.check(name, &mut faults));
        self.check_keys(&mut faults);
        faults.0
    }

    /// This bundle if it has no fault.
    ///
    /// # Errors
    ///
    /// [`Error::BadBundle`] with the count and the first fault.
    pub fn into_validated(self) -> Result<Self> {
        match self.faults().as_slice() {
            [] => Ok(self),
            [first, ..] => {
                Err(Error::BadBundle { count: self.faults().len(), first: first.to_string() })
            }
        }
    }

    /// The content's name: a digest of its canonical text.
    pub fn hash(&self) -> BundleHash {
        BundleHash::of(self.canonical().as_bytes())
    }

    /// The one text that is signed and hashed; maps are ordered, so it is stable.
    pub fn canonical(&self) -> String {
        serde_json::to_string(self).expect("a bundle has only text keys")
    }

    fn check_paths(&self, faults: &mut Faults) {
        let services: Vec<_> = self.services.iter().collect();
        for (i, (name, service)) in services.iter().enumerate() {
            let clash = services[..i].iter().any(|(_, other)| overlap(&service.path, &other.path));
            faults.unless(!clash, format!("services.{name}.path"), "another service has it");
        }
    }

    fn check_keys(&self, faults: &mut Faults) {
        let mut seen = BTreeSet::new();
        for (name, team) in &self.teams {
            let fresh = team.key_hashes.iter().all(|key| seen.insert(key));
            faults.unless(
                fresh,
                format!("teams.{name}.key_hashes"),
                "another team has one of them",
            );
        }
    }
}

fn overlap(a: &str, b: &str) -> bool {
    let inside = |a: &str, b: &str| a == b || a.starts_with(&format!("{b}/"));
    inside(a, b) || inside(b, a)
}

impl CostWeights {
    fn check(self, faults: &mut Faults) {
        let good = |weight: f64| weight.is_finite() && weight >= 0.0;
        let why = "it must be zero or more";
        faults.unless(good(self.group_downtime), "weights.group_downtime".to_owned(), why);
        let place = "weights.stranded_accelerator".to_owned();
        faults.unless(good(self.stranded_accelerator), place, why);
    }
}

impl Model {
    fn check(&self, name: &ModelName, faults: &mut Faults) {
        let place = |key: &str| format!("models.{name}.{key}");
        faults.unless(!self.roles.is_empty(), place("roles"), "there is none");
        let names: BTreeSet<_> = self.roles.iter().map(|role| &role.name).collect();
        faults.unless(names.len() == self.roles.len(), place("roles"), "two have one name");
        for (i, role) in self.roles.iter().enumerate() {
            let size_ok = (1..=MAX_GROUP_SIZE).contains(&role.instances);
            faults.unless(size_ok, place(&format!("roles[{i}].instances")), "it must be 1 to 64");
            let worth_ok = role.worth > 0.0 && role.worth <= 1.0;
            let why = "it must be above 0 and at most 1";
            faults.unless(worth_ok, place(&format!("roles[{i}].worth")), why);
        }
        faults.unless(self.weights_mib > 0, place("weights_mib"), "it must be above 0");
    }

    /// The role of `name`, if this model has it.
    pub fn role(&self, name: &RoleName) -> Option<&Role> {
        self.roles.iter().find(|role| &role.name == name)
    }
}

/// Paths that the nodes keep for themselves.
const RESERVED_PATHS: [&str; 3] = ["/v1", "/debug", "/health"];

impl Service {
    fn check(&self, name: &ServiceName, faults: &mut Faults) {
        let place = |key: &str| format!("services.{name}.{key}");
        let shaped = self.path.len() > 1 && self.path.starts_with('/') && !self.path.ends_with('/');
        faults.unless(shaped, place("path"), "it must begin with / and not end with it");
        let reserved = RESERVED_PATHS.iter().any(|path| overlap(&self.path, path));
        faults.unless(!reserved, place("path"), "the nodes keep this path for themselves");
        faults.unless(self.deadline > Millis::ZERO, place("deadline"), "it must be above 0");
    }

    /// Whether a call by `method` may run more than once.
    pub fn is_repeatable(&self, method: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "OPTIONS") || self.repeatable_methods.contains(method)
    }
}

/// Hexadecimal digits of a key's hash.
const KEY_HASH_LEN: usize = 64;

impl Team {
    fn check(&self, name: &TeamName, faults: &mut Faults) {
        let place = |key: &str| format!("teams.{name}.{key}");
        let positive = |rate: f64| rate.is_finite() && rate > 0.0;
        let why = "it must be above 0";
        faults.unless(positive(self.requests_per_s), place("requests_per_s"), why);
        faults.unless(positive(self.tokens_per_s), place("tokens_per_s"), why);
        faults.unless(positive(self.share), place("share"), why);
        let is_hash = |key: &String| {
            key.len() == KEY_HASH_LEN && key.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'))
        };
        let why = "each must be 64 lower-case hexadecimal digits";
        faults.unless(self.key_hashes.iter().all(is_hash), place("key_hashes"), why);
    }
}

/// A bundle with an operator's signature over its canonical text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// The signature.
    pub signature: OperatorSignature,
}

impl SignedBundle {
    /// Signs `bundle` with `key`.
    pub fn sign(bundle: Bundle, key: &OperatorKey) -> Self {
        let signature = key.sign(bundle.canonical().as_bytes());
        Self { bundle, signature }
    }
}
