//! What all parts of a node share.

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
use crate::serving::Sources;
use crate::settings::CheckedSettings;
use crate::settings::Settings;
use crate::shards::Shards;
use crate::tail::Tail;
use crate::tasks::intents::IntentRequest;

/// What lasts, as this node has read it.
#[derive(Debug, Default)]
pub struct LogState {
    /// The fold; none until the node could start from somewhere.
    pub replay: Option<Replay>,
    /// The records as they stand, for peers.
    pub tail: Tail,
    /// Whether what was read may be taken for what is in force.
    pub authority: Authority,
    /// Whether a checkpoint named another history.
    pub is_diverged: bool,
    /// When the log last answered; none if it never did.
    pub log_heard: Option<Millis>,
    /// Whether the log answered the last time.
    pub log_answers: bool,
    /// When the last checkpoint was seen.
    pub checkpoint_seen: Millis,
    /// Since when reports name records that this node has not read.
    pub behind_since: Option<Millis>,
}

/// Why a node does not serve callers.
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

/// A team's allowance at this node.
#[derive(Debug)]
pub struct TeamLimits {
    /// Requests a second.
    pub requests: TeamRateLimiter,
    /// Tokens a second.
    pub tokens: TeamRateLimiter,
    /// Retries.
    pub retries: RetryBudget,
}

/// A decision of a steward of this node and when it was made, in wall time.
#[derive(Debug, Clone)]
pub struct PastDecision {
    /// When.
    pub at: Millis,
    /// What.
    pub decision: Decision,
}

/// All that the parts of a node share, each part under its own lock.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Keys that the settings name.
    pub checked: CheckedSettings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Which life of the node this is.
    pub incarnation: Incarnation,
    /// Numbers that it counts.
    pub counters: Counters,
    /// The log.
    pub log: LogClient,
    /// What lasts.
    pub log_state: RwLock<LogState>,
    /// Says how far the log was replayed.
    pub replayed: watch::Sender<Offset>,
    /// What instances said.
    pub observations: RwLock<Observations>,
    /// Instances that this node probed itself of late.
    pub probed: RwLock<BTreeSet<InstanceId>>,
    /// The other nodes.
    pub membership: RwLock<ClusterMembership>,
    /// Links to them.
    pub links: Mutex<BTreeMap<NodeId, Arc<PeerLink>>>,
    /// The platform's instance list as last read.
    pub list: RwLock<Arc<InstanceList>>,
    /// Which groups serve.
    pub serving: RwLock<Arc<ServingTable>>,
    /// Routing and queue of each model.
    pub dispatchers: Shards<ModelName, ModelDispatcher>,
    /// Instances of each plain service.
    pub services: Shards<ServiceName, ServiceBalancer>,
    /// Allowances of each team.
    pub teams: Shards<TeamName, TeamLimits>,
    /// Requests that run at most once.
    pub keys: KeyTable,
    /// Requests under way.
    pub in_flight: InFlightTable,
    /// Where intents go to be recorded.
    pub intents: mpsc::Sender<IntentRequest>,
    /// What the stewards of this node decided.
    pub decisions: Mutex<BTreeMap<GroupId, VecDeque<PastDecision>>>,
    /// Whether a planned stop has begun: the address is not given out any more.
    pub leaving: AtomicBool,
    /// Whether callers have had the time to forget the address.
    pub closing: AtomicBool,
    is_stale: AtomicBool,
}

/// Decisions that are kept for each group.
const DECISIONS_KEPT: usize = 16;
/// Groups whose decisions are kept.
const DECIDED_GROUPS_KEPT: usize = 256;
/// How long reports may name unread records before the node steps out.
const MAX_BEHIND: Millis = Millis(5_000);
/// How long a report that nobody renews is kept for the dump.
const REPORT_KEPT: Millis = Millis(120_000);

impl Node {
    /// A node that has not started anything yet.
    pub fn new(
        checked: CheckedSettings,
        clock: Arc<dyn Clock>,
        intents: mpsc::Sender<IntentRequest>,
    ) -> Arc<Self> {
        let settings = checked.settings.clone();
        let (name, place) = (settings.node.name.clone(), settings.node.data_centre.clone());
        Arc::new(Self {
            log: LogClient::new(&settings.platform.log),
            membership: RwLock::new(ClusterMembership::new(name, place)),
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
            is_stale: AtomicBool::new(true),
        })
    }

    /// This node's name.
    pub fn name(&self) -> &NodeId {
        &self.settings.node.name
    }

    /// The time by the node's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Reads the state, if there is one.
    pub fn with_state<R>(&self, read: impl FnOnce(&State) -> R) -> Option<R> {
        self.log_state.read().replay.as_ref().map(|replay| read(replay.state()))
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        let in_force =
            |state: &State| state.bundles.in_force().map(|in_force| Arc::clone(&in_force.bundle));
        self.with_state(in_force).flatten()
    }

    /// Whether callers may be sent here.
    ///
    /// # Errors
    ///
    /// Why not.
    pub fn readiness(&self) -> Result<(), Unready> {
        if self.is_leaving() { Err(Unready::Leaving) } else { self.can_serve() }
    }

    /// Whether a caller who came here is served. A node that is about to stop
    /// does so until callers have had the time to forget its address.
    ///
    /// # Errors
    ///
    /// Why not.
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
        if log_state.behind_since.is_some_and(|since| now.since(since) > MAX_BEHIND) {
            return Err(Unready::Behind);
        }
        if replay.state().bundles.in_force().is_none() {
            return Err(Unready::NoBundle);
        }
        let (log_heard, authority) = (log_state.log_heard.unwrap_or_default(), log_state.authority);
        drop(log_state);
        if self.membership.read().is_isolated(log_heard, now, &rules) {
            return Err(Unready::Isolated);
        }
        if authority.is_held() { Ok(()) } else { Err(Unready::NoAuthority) }
    }

    /// Whether other nodes may take what this one has read for what is in force.
    pub fn is_authoritative(&self) -> bool {
        let rules = self.settings.membership_rules();
        let (log_heard, authority, is_diverged) = {
            let log_state = self.log_state.read();
            (log_state.log_heard.unwrap_or_default(), log_state.authority, log_state.is_diverged)
        };
        let is_isolated = self.membership.read().is_isolated(log_heard, self.now(), &rules);
        authority.is_held() && !is_isolated && !is_diverged
    }

    /// Gives custody up once this node has been cut off for too long.
    pub fn note_isolation(&self) {
        let rules = self.settings.membership_rules();
        let log_heard = self.log_state.read().log_heard.unwrap_or_default();
        if self.membership.read().is_isolated(log_heard, self.now(), &rules) {
            self.log_state.write().authority.on_isolated();
        }
    }

    /// Hears what another node says of its custody.
    pub fn on_peer_authority(&self, is_held: bool, peer_next: Offset) {
        let mut log_state = self.log_state.write();
        let own_next = log_state.replay.as_ref().map_or(Offset(0), |replay| replay.state().next());
        log_state.authority.on_peer(is_held, peer_next, own_next);
    }

    /// What this node tells others of itself.
    pub fn status(&self) -> NodeStatus {
        let now = self.now();
        let (bundle, next) = self
            .with_state(|state| (state.bundles.in_force().map(|b| b.hash), state.next()))
            .unwrap_or((None, Offset(0)));
        let mut demand = Vec::new();
        self.teams.for_each(|team, desk| {
            let requests_per_s = desk.requests.demand(now) as f32;
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

    /// The addresses for callers.
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

    /// How many nodes share a team's allowance.
    pub fn node_count(&self) -> usize {
        self.membership.read().count(self.now(), &self.settings.membership_rules())
    }

    /// The other nodes that are known, with where they listen for this one.
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

    /// The link to a node; a new one if it has moved.
    pub fn link(&self, node: &NodeId, address: &str) -> Arc<PeerLink> {
        let mut links = self.links.lock();
        let link = links.entry(node.clone()).or_insert_with(|| Arc::new(PeerLink::new(address)));
        if link.address() != address {
            *link = Arc::new(PeerLink::new(address));
        }
        Arc::clone(link)
    }

    /// Says that something has changed that the serving table is made of.
    pub fn touch(&self) {
        self.is_stale.store(true, Ordering::Relaxed);
    }

    /// Makes the serving table anew if something has changed, or rows ran out.
    pub fn refresh_serving(&self) {
        let now = self.now();
        let table = Arc::clone(&self.serving.read());
        let ran_out = table.serving.values().flatten().any(|row| row.valid_until <= now);
        if !self.is_stale.swap(false, Ordering::Relaxed) && !ran_out {
            return;
        }
        let list = Arc::clone(&self.list.read());
        let made = self.with_state(|state| {
            ServingTable::make(&Sources {
                state,
                observations: &self.observations.read(),
                list: &list,
                data_centre: &self.settings.node.data_centre,
                now,
                rules: self.settings.group_readiness_rules(),
            })
        });
        let Some(made) = made else { return };
        report_changes(&table, &made);
        *self.serving.write() = Arc::new(made);
    }

    /// Notes what instances' reports say of records that this node has not read.
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

    /// Forgets reports and nodes that are long gone.
    pub fn forget_gone(&self) {
        let now = self.now();
        self.observations.write().remove_older_than(now, REPORT_KEPT);
        self.membership.write().forget_gone(now, &self.settings.membership_rules());
        if let Some(floor) = self.with_state(|state| state.keys.floor()) {
            self.keys.forget_before(floor);
        }
    }

    /// Keeps a decision for operators.
    pub fn remember(&self, decision: Decision) {
        let mut decisions = self.decisions.lock();
        let past = decisions.entry(decision.group.clone()).or_default();
        if past.back().is_some_and(|last| last.decision.what == decision.what) {
            return;
        }
        emit(Event::Decided, &[("group", decision.group.as_str()), ("what", &decision.what)]);
        if past.len() == DECISIONS_KEPT {
            past.pop_front();
        }
        past.push_back(PastDecision { at: self.clock.wall(), decision });
        while decisions.len() > DECIDED_GROUPS_KEPT {
            let oldest = decisions
                .iter()
                .min_by_key(|(_, past)| past.back().map(|last| last.at))
                .map(|(group, _)| group.clone());
            let Some(oldest) = oldest else { return };
            decisions.remove(&oldest);
        }
    }

    /// Runs `work` on a team's allowance, made from the bundle in force.
    pub fn with_team_limits<R>(
        &self,
        name: &TeamName,
        bundle: &Bundle,
        work: impl FnOnce(&mut TeamLimits) -> R,
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
        Some(self.teams.with_entry(name, make, |desk| {
            desk.requests.adjust(team.requests_per_s, nodes);
            desk.tokens.adjust(team.tokens_per_s, nodes);
            work(desk)
        }))
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Node").field("name", self.name()).finish_non_exhaustive()
    }
}

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
