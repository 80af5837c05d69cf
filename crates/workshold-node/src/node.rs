//! State that the node's tasks and its request handlers share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use displaydoc::Display;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::mpsc;
use tokio::sync::watch;
use workshold_core::authority::Authority;
use workshold_core::instance_list::InstanceList;
use workshold_core::limits::TeamRateLimiter;
use workshold_core::limits::TeamRateRules;
use workshold_core::membership::ClusterMembership;
use workshold_core::membership::EntryAddress;
use workshold_core::observation::Observations;
use workshold_core::replay::Replay;
use workshold_core::retry::RetryBudget;
use workshold_core::retry::RetryRules;
use workshold_core::state::State;
use workshold_core::steward::Decision;
use workshold_protocol::Clock;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::ServiceName;
use workshold_protocol::ids::TeamName;
use workshold_protocol::peer::NodeStatus;
use workshold_protocol::peer::TeamDemand;
use workshold_protocol::report::InstanceKind;

use crate::callers::services::ServiceBalancer;
use crate::counters::Counters;
use crate::dispatcher::ModelDispatcher;
use crate::events::Event;
use crate::events::emit;
use crate::key_table::KeyTable;
use crate::log_client::LogClient;
use crate::peer_link::PeerLink;
use crate::requests::InFlightTable;
use crate::serving::ServingTable;
use crate::serving::TableInputs;
use crate::settings::CheckedSettings;
use crate::settings::Settings;
use crate::shards::Shards;
use crate::tail::Tail;
use crate::tasks::intents::IntentRequest;

/// The state replayed from the log, and how current it is.
#[derive(Debug, Default)]
pub struct LogState {
    /// The replay; `None` until a checkpoint, or the log's first record, was read.
    pub replay: Option<Replay>,
    /// Sealed records as read, to send to peers that can't reach the log.
    pub tail: Tail,
    /// Whether the bundle that was read may be treated as the one in force.
    pub authority: Authority,
    /// Whether a checkpoint in the log contradicts the state that this node replayed.
    pub is_diverged: bool,
    /// When the log last answered; `None` if it never did.
    pub last_log_answer_at: Option<Millis>,
    /// Whether the log answered the last read.
    pub log_answers: bool,
    /// When the last checkpoint was read.
    pub checkpoint_seen: Millis,
    /// Since when instances report fencing tokens from records that this node has not
    /// read; `None` if it has read them all.
    pub behind_since: Option<Millis>,
}

/// Why a node does not serve callers. The texts are part of answers over HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Unready {
    /// neither the log nor a peer has said what to serve
    NotStarted,
    /// no bundle was ever signed off
    NoBundle,
    /// its history differs from the others'
    Diverged,
    /// it is cut off from the log and from all other nodes
    Isolated,
    /// it was cut off, and nobody has told it yet what is in force
    NoAuthority,
    /// instances name records that it has not read for some time
    Behind,
    /// it is about to stop
    Leaving,
}

/// A team's rate limits and retry budget at this node.
#[derive(Debug)]
pub struct TeamLimits {
    /// Limit of requests per second.
    pub requests: TeamRateLimiter,
    /// Limit of generated tokens per second.
    pub tokens: TeamRateLimiter,
    /// Budget of retries, which grows with the team's requests.
    pub retries: RetryBudget,
}

/// A past decision of the steward on this node, kept for operators.
#[derive(Debug, Clone)]
pub struct PastDecision {
    /// Wall-clock time of the decision.
    pub at: Millis,
    /// The decision and its group.
    pub decision: Decision,
}

/// State shared by all tasks and request handlers, each part under its own lock.
pub struct Node {
    /// The node's settings.
    pub settings: Settings,
    /// The settings as checked, with the keys read from the files that they name.
    pub checked: CheckedSettings,
    /// Source of the node's monotonic time and of wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Random number of this run of the process.
    pub incarnation: Incarnation,
    /// Counters sent as metrics.
    pub counters: Counters,
    /// Client of the platform's log service.
    pub log: LogClient,
    /// State replayed from the log.
    pub log_state: RwLock<LogState>,
    /// Publishes the offset of the next record to replay.
    pub replayed: watch::Sender<Offset>,
    /// Reports of instances, and of other data centres on their groups.
    pub observations: RwLock<Observations>,
    /// Instances that this node probes itself; it shares only their reports with peers.
    pub probed: RwLock<BTreeSet<InstanceId>>,
    /// Status of the other nodes, and which of them are live.
    pub membership: RwLock<ClusterMembership>,
    /// Connections to the other nodes, by name.
    pub links: Mutex<BTreeMap<NodeId, Arc<PeerLink>>>,
    /// The platform's instance list as last read.
    pub list: RwLock<Arc<InstanceList>>,
    /// The groups that can take requests.
    pub serving: RwLock<Arc<ServingTable>>,
    /// Routing and queueing of each model.
    pub dispatchers: Shards<ModelName, ModelDispatcher>,
    /// Load balancing of each plain service.
    pub services: Shards<ServiceName, ServiceBalancer>,
    /// Rate limits and retry budget of each team.
    pub teams: Shards<TeamName, TeamLimits>,
    /// Idempotency keys that this node has claimed.
    pub keys: KeyTable,
    /// Requests in flight at this node.
    pub in_flight: InFlightTable,
    /// Queue of intents to append to the log.
    pub intents: mpsc::Sender<IntentRequest>,
    /// Latest decisions of this node's stewards, by group.
    pub decisions: Mutex<BTreeMap<GroupId, VecDeque<PastDecision>>>,
    /// Whether a planned stop has begun: other nodes and callers are no longer given this
    /// node's address, but requests are still served.
    pub leaving: AtomicBool,
    /// Whether the addresses given to callers have expired during a planned stop: new
    /// requests are refused from then on.
    pub closing: AtomicBool,
    is_serving_stale: AtomicBool,
}

/// Decisions kept for each group.
const MAX_DECISIONS_PER_GROUP: usize = 16;
/// Groups whose decisions are kept; the group without a decision for longest goes first.
const MAX_DECIDED_GROUPS: usize = 256;
/// How long instances may report records that this node hasn't read before it stops serving.
const MAX_REPLAY_LAG: Millis = Millis(5_000);
/// How long the last report of an instance is kept for the dump.
const REPORT_MAX_AGE: Millis = Millis(120_000);

impl Node {
    /// Makes a node with empty state and a random incarnation. Starts no task.
    pub fn new(
        checked: CheckedSettings,
        clock: Arc<dyn Clock>,
        intents: mpsc::Sender<IntentRequest>,
    ) -> Arc<Self> {
        let settings = checked.settings.clone();
        let (name, data_centre) = (settings.node.name.clone(), settings.node.data_centre.clone());
        Arc::new(Self {
            log: LogClient::new(&settings.platform.log),
            membership: RwLock::new(ClusterMembership::new(name, data_centre)),
            settings,
            checked,
            clock,
            incarnation: Incarnation(rand::random()),
            counters: Counters::default(),
            log_state: RwLock::default(),
            replayed: watch::channel(Offset(0)).0,
            observations: RwLock::default(),
            probed: RwLock::default(),
            links: Mutex::default(),
            list: RwLock::default(),
            serving: RwLock::default(),
            dispatchers: Shards::default(),
            services: Shards::default(),
            teams: Shards::default(),
            keys: KeyTable::default(),
            in_flight: InFlightTable::default(),
            intents,
            decisions: Mutex::default(),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            is_serving_stale: AtomicBool::new(true),
        })
    }

    /// This node's name in the platform's instance list.
    pub fn name(&self) -> &NodeId {
        &self.settings.node.name
    }

    /// Monotonic time of the node's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Runs `read` on the replayed state, under its lock; `None` before the replay started.
    pub fn with_state<R>(&self, read: impl FnOnce(&State) -> R) -> Option<R> {
        self.log_state.read().replay.as_ref().map(|replay| read(replay.state()))
    }

    /// The bundle in force; `None` before the replay started or if none was signed off.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        let in_force =
            |state: &State| state.bundles.in_force().map(|in_force| Arc::clone(&in_force.bundle));
        self.with_state(in_force).flatten()
    }

    /// Checks whether callers may be given this node's address: it serves, and no planned
    /// stop has begun.
    ///
    /// # Errors
    ///
    /// The reason why they may not.
    pub fn readiness(&self) -> Result<(), Unready> {
        if self.is_leaving() { Err(Unready::Leaving) } else { self.can_serve() }
    }

    /// Checks whether this node serves requests that reach it. During a planned stop it
    /// does so until the addresses that callers were given have expired.
    ///
    /// # Errors
    ///
    /// The reason why it does not.
    pub fn can_serve(&self) -> Result<(), Unready> {
        if self.closing.load(Ordering::Relaxed) {
            return Err(Unready::Leaving);
        }
        let now = self.now();
        let rules = self.settings.membership_rules();
        let log_state = self.log_state.read();
        let replay = log_state.replay.as_ref().ok_or(Unready::NotStarted)?;
        if log_state.is_diverged {
            return Err(Unready::Diverged);
        }
        if log_state.behind_since.is_some_and(|since| now.since(since) > MAX_REPLAY_LAG) {
            return Err(Unready::Behind);
        }
        if replay.state().bundles.in_force().is_none() {
            return Err(Unready::NoBundle);
        }
        let (last_log_answer_at, authority) =
            (log_state.last_log_answer_at.unwrap_or_default(), log_state.authority);
        drop(log_state);
        if self.membership.read().is_isolated(last_log_answer_at, now, &rules) {
            return Err(Unready::Isolated);
        }
        if authority.is_held() { Ok(()) } else { Err(Unready::NoAuthority) }
    }

    /// Whether other nodes may treat the bundle that this one has read as the one in force.
    pub fn is_authoritative(&self) -> bool {
        let rules = self.settings.membership_rules();
        let (last_log_answer_at, authority, is_diverged) = {
            let log_state = self.log_state.read();
            (
                log_state.last_log_answer_at.unwrap_or_default(),
                log_state.authority,
                log_state.is_diverged,
            )
        };
        let is_isolated =
            self.membership.read().is_isolated(last_log_answer_at, self.now(), &rules);
        authority.is_held() && !is_isolated && !is_diverged
    }

    /// Gives up authority if this node is isolated from the log and all other nodes.
    pub fn check_isolation(&self) {
        let rules = self.settings.membership_rules();
        let last_log_answer_at = self.log_state.read().last_log_answer_at.unwrap_or_default();
        if self.membership.read().is_isolated(last_log_answer_at, self.now(), &rules) {
            self.log_state.write().authority.on_isolated();
        }
    }

    /// Takes into account whether another node has authority, and how far it has read.
    pub fn on_peer_authority(&self, is_held: bool, peer_next: Offset) {
        let mut log_state = self.log_state.write();
        let own_next = log_state.replay.as_ref().map_or(Offset(0), |replay| replay.state().next());
        log_state.authority.on_peer(is_held, peer_next, own_next);
    }

    /// The status that this node sends to others.
    pub fn status(&self) -> NodeStatus {
        let now = self.now();
        let (bundle, next) = self
            .with_state(|state| (state.bundles.in_force().map(|b| b.hash), state.next()))
            .unwrap_or((None, Offset(0)));
        let mut demand = Vec::new();
        self.teams.for_each(|team, team_limits| {
            let requests_per_s = team_limits.requests.demand(now) as f32;
            demand.push(TeamDemand { team: team.clone(), requests_per_s });
        });
        NodeStatus {
            incarnation: self.incarnation,
            ready: self.readiness().is_ok(),
            custody: self.is_authoritative(),
            leaving: self.is_leaving(),
            data_centre: self.settings.node.data_centre.clone(),
            callers: self.settings.node.callers.clone(),
            bundle,
            next,
            in_flight: u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX),
            demand,
        }
    }

    /// The addresses of nodes that callers may use, with their weights.
    pub fn entries(&self) -> Vec<EntryAddress> {
        let own = self.readiness().is_ok().then(|| {
            let entry = EntryAddress {
                address: self.settings.node.callers.clone(),
                weight: 0,
                data_centre: self.settings.node.data_centre.clone(),
            };
            (entry, u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX))
        });
        let rules = self.settings.membership_rules();
        self.membership.read().entries(own, self.now(), &rules)
    }

    /// Number of nodes, listed or live, among which a team's rate limits are divided.
    pub fn node_count(&self) -> usize {
        self.membership.read().count(self.now(), &self.settings.membership_rules())
    }

    /// Peer addresses of the other nodes, from the settings and the instance list. The
    /// list takes precedence.
    pub fn known_peers(&self) -> BTreeMap<NodeId, String> {
        let mut known = self.settings.peers.clone();
        for listed in self.list.read().iter() {
            if let InstanceKind::Entry { .. } = listed.kind
                && let Ok(node) = NodeId::new(listed.instance.as_str())
            {
                known.insert(node, listed.address.clone());
            }
        }
        known.remove(self.name());
        known
    }

    /// The connection to a node; a new one if its address has changed.
    pub fn link(&self, node: &NodeId, address: &str) -> Arc<PeerLink> {
        let mut links = self.links.lock();
        let link = links.entry(node.clone()).or_insert_with(|| Arc::new(PeerLink::new(address)));
        if link.address() != address {
            *link = Arc::new(PeerLink::new(address));
        }
        Arc::clone(link)
    }

    /// Marks the serving table as out of date, because one of its inputs has changed.
    pub fn mark_serving_stale(&self) {
        self.is_serving_stale.store(true, Ordering::Relaxed);
    }

    /// Rebuilds the serving table if an input has changed or a row has expired, and logs
    /// which groups began or ceased to serve.
    pub fn refresh_serving(&self) {
        let now = self.now();
        let table = Arc::clone(&self.serving.read());
        let has_expired_row = table.serving.values().flatten().any(|row| row.valid_until <= now);
        if !self.is_serving_stale.swap(false, Ordering::Relaxed) && !has_expired_row {
            return;
        }
        let list = Arc::clone(&self.list.read());
        let rebuilt = self.with_state(|state| {
            ServingTable::build(&TableInputs {
                state,
                observations: &self.observations.read(),
                list: &list,
                data_centre: &self.settings.node.data_centre,
                now,
                rules: self.settings.group_readiness_rules(),
            })
        });
        let Some(rebuilt) = rebuilt else { return };
        report_changes(&table, &rebuilt);
        *self.serving.write() = Arc::new(rebuilt);
    }

    /// Updates `behind_since`. A fencing token is the offset of the record with the group's
    /// claim, so this node lags behind if an instance reports one that it hasn't replayed.
    pub fn update_replay_lag(&self) {
        let now = self.now();
        let ttl = self.settings.times.report_ttl;
        let highest = self
            .observations
            .read()
            .iter()
            .filter(|(_, observation)| observation.is_fresh(now, ttl))
            .filter_map(|(_, observation)| {
                observation.report.membership.as_ref().map(|own| own.fence)
            })
            .max();
        let mut log_state = self.log_state.write();
        let next = log_state.replay.as_ref().map_or(Offset(0), |replay| replay.state().next());
        let is_behind = highest.is_some_and(|fence| fence.0 >= next.0);
        log_state.behind_since =
            if is_behind { Some(log_state.behind_since.unwrap_or(now)) } else { None };
    }

    /// Drops old reports, nodes that have gone and expired idempotency keys.
    pub fn drop_expired(&self) {
        let now = self.now();
        self.observations.write().remove_older_than(now, REPORT_MAX_AGE);
        self.membership.write().forget_gone(now, &self.settings.membership_rules());
        if let Some(floor) = self.with_state(|state| state.keys.floor()) {
            self.keys.expire_before(floor);
        }
    }

    /// Stores a steward's decision for operators, unless it repeats the group's last one.
    pub fn record_decision(&self, decision: Decision) {
        let mut decisions = self.decisions.lock();
        let past = decisions.entry(decision.group.clone()).or_default();
        if past.back().is_some_and(|last| last.decision.what == decision.what) {
            return;
        }
        emit(Event::Decided, &[("group", decision.group.as_str()), ("what", &decision.what)]);
        if past.len() == MAX_DECISIONS_PER_GROUP {
            past.pop_front();
        }
        past.push_back(PastDecision { at: self.clock.wall(), decision });
        while decisions.len() > MAX_DECIDED_GROUPS {
            let oldest = decisions
                .iter()
                .min_by_key(|(_, past)| past.back().map(|last| last.at))
                .map(|(group, _)| group.clone());
            let Some(oldest) = oldest else { return };
            decisions.remove(&oldest);
        }
    }

    /// Runs `f` on a team's rate limits and retry budget, after adjusting the limits to
    /// `bundle` and the number of nodes. `None` if the bundle doesn't have the team.
    pub fn with_team_limits<R>(
        &self,
        name: &TeamName,
        bundle: &Bundle,
        f: impl FnOnce(&mut TeamLimits) -> R,
    ) -> Option<R> {
        let team = bundle.teams.get(name)?;
        let (now, nodes) = (self.now(), self.node_count());
        let make = || TeamLimits {
            requests: TeamRateLimiter::new(
                TeamRateRules::default(),
                team.requests_per_s,
                nodes,
                now,
            ),
            tokens: TeamRateLimiter::new(TeamRateRules::default(), team.tokens_per_s, nodes, now),
            retries: RetryBudget::new(RetryRules::default()),
        };
        Some(self.teams.with_entry(name, make, |team_limits| {
            team_limits.requests.adjust(team.requests_per_s, nodes);
            team_limits.tokens.adjust(team.tokens_per_s, nodes);
            f(team_limits)
        }))
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node").field("name", self.name()).finish_non_exhaustive()
    }
}

/// Logs which groups began and which ceased to serve.
fn report_changes(old: &ServingTable, new: &ServingTable) {
    let before = old.serving_ids();
    let after = new.serving_ids();
    for group in after.difference(&before) {
        emit(Event::GroupServes, &[("group", group.as_str())]);
    }
    for group in before.difference(&after) {
        let why = new.closed.get(group).map(ToString::to_string);
        let why = why.unwrap_or_else(|| "it is gone".to_owned());
        emit(Event::GroupClosed, &[("group", group.as_str()), ("why", &why)]);
    }
}
