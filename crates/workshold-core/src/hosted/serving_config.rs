//! The configuration in force: routes, upstream services, teams and request limits.

use std::collections::HashMap;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::ServiceName;
use workshold_protocol::ids::TeamName;

/// Retry semantics of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// The response is a stream of events; [`Route::is_resumable`] says whether it may run again.
    Stream,
}

/// How requests for one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: SmolStr,
    /// Host in the caller's request, without a port.
    pub host: SmolStr,
    /// Prefix of the paths that the route matches.
    pub path_prefix: SmolStr,
    /// Retry semantics of its requests.
    pub kind: RequestKind,
    /// Configured limit on the time to answer a request.
    pub timeout: Millis,
    /// Latency goal for the response, or for its first event.
    pub latency_goal: Millis,
    /// Goal for the longest pause between events.
    pub pause_goal: Millis,
    /// Most upstream instances that one request may be sent to.
    pub attempts: u32,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub is_keyless: bool,
    /// Whether an interrupted stream may be continued on another instance.
    pub is_resumable: bool,
    /// Services that serve its requests, with their weights.
    pub targets: Vec<(ServiceName, u32)>,
}

impl Route {
    /// Whether a request that may already have run may be sent again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::AtMostOnce => false,
            RequestKind::Stream => self.is_resumable,
        }
    }

    /// Chooses the service for a request by weight; `random` is uniform over all `u64`. `None` if
    /// the route has no services.
    pub fn target(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.targets.first().map(|(service, _)| service);
        }
        let mut left = random % total;
        self.targets.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
            None
        })
    }
}

/// Properties of a model that groups of instances serve.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: ModelName,
    /// Number of instances in one group.
    pub size: usize,
    /// Its expected share of all work, relative to the shares of the other models.
    pub share: f64,
    /// Factor on all of the engine's processing times; below 1 is faster.
    pub pace: f64,
    /// Time to load its weights from the weight store.
    pub load: Millis,
    /// Time to load its weights from the instance's own host.
    pub warm_load: Millis,
}

/// Configured properties of a service's inference engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one group processes concurrently.
    pub slots: u32,
    /// Decoding steps between two events of a stream.
    pub stride: u32,
    /// Time of one decoding step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Time that each thousand tokens of its context add to that, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prefill rate, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Quadratic part of the prefill time, in milliseconds per million pairs of prompt tokens.
    pub attention_ms_per_m_pairs: f64,
    /// Time that a group needs to open once all members are ready.
    pub group_open_time: Millis,
    /// Tokens in a typical prompt.
    pub typical_prompt_tokens: f64,
    /// Tokens in a typical response.
    pub typical_answer_tokens: f64,
    /// Loads from the weight store that may begin per second, over all instances.
    pub loads_per_s: f64,
    /// Concurrent loads that the weight store serves at full speed.
    pub loads_at_once: u32,
    /// The models, in the order of the configuration.
    pub models: Vec<ModelSpec>,
}

impl Engine {
    /// The model called `name`, if it is configured.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Time between two events of a stream in a group without other load, in milliseconds.
    pub fn event_gap_ms(&self, model: &ModelSpec) -> f64 {
        self.step_ms * f64::from(self.stride.max(1)) * model.pace
    }
}

/// An upstream service that routes refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Name of the service.
    pub name: ServiceName,
    /// Properties of its engines; `None` if it does not serve models.
    pub engine: Option<Engine>,
    /// What its instances take while they are cold; `None` if they are never short of anything.
    pub cold_start: Option<ColdStart>,
    /// Path at which its instances answer health checks.
    pub health_path: SmolStr,
}

/// How long an instance of a service is cold, and what it takes meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which it is cold after a start.
    pub duration: Millis,
    /// Requests per second that it bears while it is cold, from all nodes together.
    pub requests_per_s: f64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes in a request's line and headers.
    pub head_len: usize,
    /// Most bytes in a request's body.
    pub body_len: usize,
    /// Time limit for receiving a request's headers.
    pub head_time: Millis,
    /// How long a connection may be idle.
    pub idle_time: Millis,
}

/// A team, as the owner of API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name of the team; forwarded to upstreams.
    pub name: TeamName,
    /// Priority of its requests; compared before the route's priority.
    pub priority: u8,
}

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingConfig {
    /// Version number; only rises.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// The upstream services by name.
    pub upstreams: HashMap<ServiceName, Upstream>,
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    teams: Vec<Team>,
    keys: HashMap<SmolStr, usize>,
    requires_keys: bool,
}

/// The caller of a request, as identified by its API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller<'a> {
    /// No key is required.
    Anonymous,
    /// The team that owns the key.
    Team(&'a Team),
    /// A key is required, but is missing or unknown.
    Unknown,
}

impl ServingConfig {
    /// Builds a version; `teams` with their API keys, or `None` if no keys are in use.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        upstreams: Vec<Upstream>,
        teams: Option<Vec<(Team, Vec<SmolStr>)>>,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let requires_keys = teams.is_some();
        let mut names = Vec::new();
        let mut keys = HashMap::new();
        for (team, team_keys) in teams.unwrap_or_default() {
            keys.extend(team_keys.into_iter().map(|key| (key, names.len())));
            names.push(team);
        }
        let upstreams = upstreams.into_iter().map(|up| (up.name.clone(), up)).collect();
        Self { version, limits, upstreams, routes: by_host, teams: names, keys, requires_keys }
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Identifies the caller of a request on `route` by its API key.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller<'_> {
        if !self.requires_keys {
            return Caller::Anonymous;
        }
        let team = key.and_then(|key| self.keys.get(key)).map(|at| &self.teams[*at]);
        match team {
            Some(team) => Caller::Team(team),
            None if route.is_keyless => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Whether requests on `route` require an API key, which may be revoked.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.is_keyless
    }
}
