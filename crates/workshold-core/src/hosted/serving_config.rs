//! The configuration in force: routes, upstream services, teams and bounds.

use std::collections::HashMap;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::ServiceName;
use workshold_protocol::ids::TeamName;

/// What may be done with a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// Its answer is a stream of events; see [`Route::is_resumable`].
    Stream,
}

/// Where requests of one host and path go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: SmolStr,
    /// The host that callers name.
    pub host: SmolStr,
    /// How paths begin that it takes.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest that the operator wants a request held.
    pub timeout: Millis,
    /// The time within which an answer, or its first event, earns its worth.
    pub latency_goal: Millis,
    /// The longest pause between events that is still in time.
    pub pause_goal: Millis,
    /// The most upstream instances that one request may be sent to.
    pub attempts: u32,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_keyless: bool,
    /// Whether a broken stream may go on at another instance.
    pub is_resumable: bool,
    /// The services that take its requests, with their weights.
    pub targets: Vec<(ServiceName, u32)>,
}

impl Route {
    /// Whether a request that may have run may be run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::AtMostOnce => false,
            RequestKind::Stream => self.is_resumable,
        }
    }

    /// The service for a request; `draw` is uniform over all `u64`.
    pub fn target(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return self.targets.first().map(|(service, _)| service);
        }
        let mut left = draw % total;
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

/// A model that groups of instances serve.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelName,
    /// Instances of one group.
    pub size: usize,
    /// Its part of all work, as the operator expects it.
    pub share: f64,
    /// Factor on all times of the engine.
    pub pace: f64,
    /// Loading from the weight store.
    pub load: Millis,
    /// Loading from the instance's own host.
    pub warm_load: Millis,
}

/// What the operator says of a service's model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one group works on at once.
    pub slots: u32,
    /// Steps that are played between two events.
    pub stride: u32,
    /// One step of one token, in milliseconds.
    pub step_ms: f64,
    /// What each request that writes adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// What each thousand tokens of its context add to that, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What a million pairs of a prompt's tokens add to reading it, in milliseconds.
    pub attention_ms_per_m_pairs: f64,
    /// How long a group that is ready takes to open.
    pub group_open_time: Millis,
    /// Tokens of a usual prompt.
    pub typical_prompt_tokens: f64,
    /// Tokens of a usual answer.
    pub typical_answer_tokens: f64,
    /// Loads that may begin in a second, over all instances.
    pub loads_per_s: f64,
    /// Loads at once that the weight store serves at full speed.
    pub loads_at_once: u32,
    /// The models, in the operator's order.
    pub models: Vec<ModelSpec>,
}

impl Engine {
    /// The shape of `model`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// The usual time between two events of a stream that runs alone.
    pub fn event_gap_ms(&self, model: &ModelSpec) -> f64 {
        self.step_ms * f64::from(self.stride.max(1)) * model.pace
    }
}

/// A service that routes point to.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: ServiceName,
    /// Its engines, if it serves models.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_len: usize,
    /// Bytes of a request's body.
    pub body_len: usize,
    /// Time for a request's head to come.
    pub head_time: Millis,
    /// How long a connection may rest.
    pub idle_time: Millis,
}

/// A team and its rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name, which upstreams are told.
    pub name: TeamName,
    /// Its rank, which goes before the route's.
    pub priority: u8,
}

/// One version of the configuration, in whole.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingConfig {
    /// Its number; only rises.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    /// The services by name.
    pub upstreams: HashMap<ServiceName, Upstream>,
    routes: HashMap<SmolStr, Vec<Arc<Route>>>,
    teams: Vec<Team>,
    keys: HashMap<SmolStr, usize>,
    asks_for_keys: bool,
}

/// What a key says of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller<'a> {
    /// No key is asked for.
    Anonymous,
    /// The key's team.
    Team(&'a Team),
    /// The key is missing or not known.
    Unknown,
}

impl ServingConfig {
    /// Puts a version together; `teams` is `None` where no keys are in use.
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
        let asks_for_keys = teams.is_some();
        let mut names = Vec::new();
        let mut keys = HashMap::new();
        for (team, own) in teams.unwrap_or_default() {
            keys.extend(own.into_iter().map(|key| (key, names.len())));
            names.push(team);
        }
        let upstreams = upstreams.into_iter().map(|up| (up.name.clone(), up)).collect();
        Self { version, limits, upstreams, routes: by_host, teams: names, keys, asks_for_keys }
    }

    /// The route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Whose a request on `route` with this key is.
    pub fn caller(&self, route: &Route, key: Option<&str>) -> Caller<'_> {
        if !self.asks_for_keys {
            return Caller::Anonymous;
        }
        let team = key.and_then(|key| self.keys.get(key)).map(|at| &self.teams[*at]);
        match team {
            Some(team) => Caller::Team(team),
            None if route.is_keyless => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }

    /// Whether requests on `route` stand on a key that can be taken away.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.asks_for_keys && !route.is_keyless
    }
}
