//! Admission of requests for models: what their groups accept, which requests that arrive are
//! admitted, and when refused callers are told to return.

use std::collections::HashMap;

use smol_str::SmolStr;
use workshold_core::hosted::admission::Arrival;
use workshold_core::hosted::admission::ArrivalDefaults;
use workshold_core::hosted::admission::ArrivalKind;
use workshold_core::hosted::admission::precedence;
use workshold_core::hosted::admission::precedence::Precedence;
use workshold_core::hosted::admission::precedence::PrecedenceRules;
use workshold_core::hosted::admission::return_time::Backlog;
use workshold_core::hosted::admission::return_time::RecentRefusals;
use workshold_core::hosted::admission::return_time::ReturnLedger;
use workshold_core::hosted::admission::return_time::TimedRequest;
use workshold_core::hosted::admission::room;
use workshold_core::hosted::admission::stated_limit::StatedLimit;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::callers::requests::LOWEST_URGENCY;
use crate::loads::name_hash;
use crate::node::Node;
use crate::settings::AdmissionSettings;

/// Admission of each model's requests at this node.
#[derive(Debug, Default)]
pub struct Admission {
    by_model: HashMap<SmolStr, ModelAdmission>,
    /// By route name.
    stated_limits: HashMap<SmolStr, StatedLimit>,
    /// When a model last accepted little more than what arrived.
    near_capacity_at: Option<Millis>,
}

/// Admission of one model's requests.
#[derive(Debug)]
struct ModelAdmission {
    precedence: Precedence,
    ledger: ReturnLedger,
    refusals: RecentRefusals,
}

/// What the groups of a model can take, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelRoom {
    /// Requests per second that they accept.
    pub accepted_per_s: f64,
    /// Requests in flight beyond those that are to be in flight; negative if slots are free.
    pub excess: f64,
}

impl Admission {
    /// A request as return times see it.
    fn timed_request(&mut self, request: &AdmittedRequest, now: Millis) -> TimedRequest {
        let route = &request.route;
        let time_left = request.deadline.since(request.received_at);
        let stated = self.stated_limits.entry(route.name.clone()).or_default();
        TimedRequest {
            fingerprint: request.fingerprint.as_u64(),
            time_limit: stated.on_request(time_left, route.timeout, now),
            time_left,
        }
    }

    /// Forgets the limits of routes that get no requests any more.
    pub fn forget(&mut self, now: Millis) {
        self.stated_limits.retain(|_, stated| stated.is_recent(now));
    }
}

/// Why a request was not admitted, for logs, and when its caller is told to return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// When the caller is told to return.
    pub retry_after: Millis,
    /// How the request relates to earlier refusals.
    pub kind: ArrivalKind,
    /// The fraction of the model's requests that can be admitted.
    pub admissible: f64,
    /// The fraction of requests like this one that are admitted.
    pub admitted: f64,
}

/// A model whose accepted rate is less than this many times the arrivals is near its capacity.
const NEAR_CAPACITY_FRACTION: f64 = 1.5;
/// How long a node counts as busy after that: several heartbeats, so that a swing of the demand does
/// not switch it back and forth.
const BUSY_TIME: Millis = Millis::from_secs(2);

impl Node {
    /// Whether a model was near its capacity lately, so that newer counts of the other nodes' requests
    /// are worth more heartbeats.
    pub fn is_near_capacity(&self) -> bool {
        let now = self.now();
        let near_capacity_at = self.admission.lock().near_capacity_at;
        near_capacity_at.is_some_and(|at| now.since(at) < BUSY_TIME)
    }

    /// Decides whether a request that has not been attempted yet is admitted.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if requests that go before it take what its model accepts.
    pub fn admit(
        &self,
        request: &AdmittedRequest,
        model: &SmolStr,
        model_room: ModelRoom,
        settings: &AdmissionSettings,
    ) -> Result<(), Refusal> {
        let now = self.now();
        let arriving = self.arrivals(model);
        let admissible = room::admissible_fraction(model_room.accepted_per_s, arriving.fleet);
        let defaults = self.arrival_defaults(request);
        let mut admission = self.admission.lock();
        if admissible < NEAR_CAPACITY_FRACTION {
            admission.near_capacity_at = Some(now);
        }
        let timed = admission.timed_request(request, now);
        let entry = admission
            .by_model
            .entry(model.clone())
            .or_insert_with(|| ModelAdmission::new(settings));
        let kind = entry.refusals.kind(timed, now);
        let arrival = arrival(request, timed, kind).with_defaults(&defaults);
        entry.precedence.on_arrival(&arrival, now);
        let admitted = entry.precedence.admitted_fraction(&arrival, admissible);
        if precedence::draw(arrival.fingerprint, self.wall()) < admitted {
            return Ok(());
        }
        let backlog = Backlog {
            excess: model_room.excess.max(0.0) * arriving.own_share,
            completed_per_s: model_room.accepted_per_s * arriving.own_share,
        };
        let retry_after = entry.ledger.retry_after(timed, backlog, now);
        entry.refusals.on_refusal(timed, retry_after, now);
        Err(Refusal { retry_after, kind: arrival.kind, admissible, admitted })
    }

    /// What is assumed of a request whose data is missing or absurd.
    fn arrival_defaults(&self, request: &AdmittedRequest) -> ArrivalDefaults {
        let serving_config = self.serving_config();
        let upstream = serving_config.as_ref().and_then(|cfg| cfg.upstreams.get(&request.service));
        let engine = upstream.and_then(|upstream| upstream.engine.as_ref());
        ArrivalDefaults {
            lowest_rank: LOWEST_URGENCY,
            typical_prompt_tokens: engine.map_or(0.0, |engine| engine.typical_prompt_tokens),
            max_prompt_tokens: f64::from(u32::MAX),
            latency_goal: request.route.latency_goal,
            time_limit: request.route.timeout,
        }
    }

    /// The requests for `model` that arrive at all nodes and at this one.
    fn arrivals(&self, model: &SmolStr) -> Arrivals {
        let now = self.now();
        let own = self.demand.lock().arriving(model, now);
        let peers = self.peers.lock();
        let totals = peers.totals(now);
        let holds_own = peers.totals_include_self(now);
        let nodes = peers.max_node_count();
        drop(peers);
        let total = totals.arriving(name_hash(model));
        let fleet = if holds_own { total.max(own) } else { total + own };
        let own_share = if fleet > 0.0 { own / fleet } else { 1.0 / nodes.max(1) as f64 };
        Arrivals { fleet, own_share }
    }
}

/// The requests for one model that arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Arrivals {
    /// Requests per second at all nodes.
    fleet: f64,
    /// The fraction of these that arrives at this node.
    own_share: f64,
}

impl ModelAdmission {
    fn new(settings: &AdmissionSettings) -> Self {
        let rules = PrecedenceRules {
            ranks: LOWEST_URGENCY + 1,
            returning_share: settings.returning_share,
            ..PrecedenceRules::default()
        };
        Self {
            precedence: Precedence::new(rules),
            ledger: ReturnLedger::default(),
            refusals: RecentRefusals::default(),
        }
    }
}

/// A request as the order of admission sees it.
fn arrival(request: &AdmittedRequest, timed: TimedRequest, kind: ArrivalKind) -> Arrival {
    Arrival {
        rank: request.rank,
        team: request.caller,
        fingerprint: timed.fingerprint,
        kind,
        prompt_tokens: request.prompt_tokens,
        latency_goal: request.route.latency_goal,
        time_left: timed.time_left,
        time_limit: timed.time_limit,
    }
}
