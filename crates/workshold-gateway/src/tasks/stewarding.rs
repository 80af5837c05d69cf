//! Runs the steward for the fabric domains whose partitions of the lease this node holds, and
//! sends its orders to instances.

mod planning_round;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::partition_lease::HandoverTimings;
use workshold_core::hosted::roster::Entry;
use workshold_core::hosted::steward::Command;
use workshold_core::hosted::steward::Order;
use workshold_core::hosted::steward::OrderReply;
use workshold_core::hosted::steward::Steward;
use workshold_core::hosted::store_era::Fence;
use workshold_platform::orders;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::ConnectTimes;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::node::StewardLease;
use crate::tasks::stewarding::planning_round::LogTimes;
use crate::tasks::stewarding::planning_round::PlanningRound;

/// Interval of the planning rounds if nothing wakes the steward earlier.
const PLANNING_INTERVAL: Duration = Duration::from_millis(150);
/// The same for a node that holds no partition; it is woken when it gets one.
const PLANNING_INTERVAL_IDLE: Duration = Duration::from_millis(1_000);
/// Timeout of an order.
const ORDER_TIMEOUT: Millis = Millis(250);
/// Longest time for which an order of a partition's previous holder can be in transit.
const MAX_ORDER_DELAY: Millis = Millis(300);

type Stewards = Arc<Mutex<BTreeMap<u64, Steward>>>;

/// Runs planning rounds and sends the resulting orders until the node ends.
pub async fn run(node: Arc<Node>) {
    let stewards: Stewards = Arc::default();
    let log_times = LogTimes::default();
    loop {
        let is_holder = !node.lease.lock().parts.is_empty();
        let interval = if is_holder { PLANNING_INTERVAL } else { PLANNING_INTERVAL_IDLE };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = node.planning_wanted.notified() => {}
        }
        node.record_demand();
        let commands = plan(&node, &stewards, &log_times);
        for command in commands {
            send_order(Arc::clone(&node), Arc::clone(&stewards), command);
        }
    }
}

/// The lease's fencing token, if this node may still send orders by it.
fn valid_fence(node: &Node, lease: &StewardLease) -> Option<u64> {
    let ttl = node.settings().lease_ttl();
    let is_old_era = lease.fence.era < node.store_monitor.era();
    let is_outranked = is_old_era
        || lease.refused_fence == Some(lease.fence)
        || lease.highest_peer_fence > lease.fence;
    let is_held =
        node.now().since(lease.renewed_at) < ttl || is_store_unavailable_to_all(node, lease);
    let holds = is_held && !is_outranked && !lease.parts.is_empty();
    lease.fence.number().filter(|_| holds)
}

/// Whether the store has answered no node since this lease ran out: then no other node can have
/// taken the lease either, and this one keeps it.
fn is_store_unavailable_to_all(node: &Node, lease: &StewardLease) -> bool {
    let now = node.now();
    let peers = node.peers.lock();
    let others = peers.heard(now).count();
    // A node that hears less than half of all may be in the minority side of a partition, and
    // the other side may reach the store.
    let hears_most = others > 0 && 2 * (others + 1) > peers.max_node_count();
    let answered = peers.totals(now).store_answered;
    let ttl = node.settings().lease_ttl();
    hears_most && answered.is_none_or(|at| at < lease.renewed_at + ttl)
}

/// Updates the lease's partitions by the fencing tokens of other nodes, and returns a copy. Starts
/// a read of the list if a partition waits for one.
fn refresh_lease(node: &Node) -> StewardLease {
    let now = node.now();
    let rules = HandoverTimings {
        max_order_delay: MAX_ORDER_DELAY,
        lease_ttl: node.settings().lease_ttl(),
    };
    let own_address = node.settings().control();
    let totals = node.peers.lock().totals(now);
    let active_fences: Vec<Fence> = totals
        .active_fences()
        .filter(|(at, _)| **at != own_address)
        .map(|(_, fence)| fence)
        .collect();
    let lease = {
        let mut lease = node.lease.lock();
        let parts = lease.parts.values_mut();
        parts.for_each(|partition_lease| {
            partition_lease.observe_holders(active_fences.iter().copied(), rules, now)
        });
        lease.clone()
    };
    if node.needs_list_reread() {
        node.list_read_wanted.notify_one();
        node.list_reread_wanted.notify_one();
    }
    lease
}

/// Runs a planning round: returns the orders to send. Without a valid fencing token all stewards
/// are dropped, as another node may order their domains by now.
fn plan(node: &Node, stewards: &Stewards, log_times: &LogTimes) -> Vec<Command> {
    let lease = refresh_lease(node);
    let mut stewards = stewards.lock();
    let Some(fence) = valid_fence(node, &lease) else {
        stewards.clear();
        node.is_steward_busy.store(false, Ordering::Relaxed);
        return Vec::new();
    };
    let Some(serving_config) = node.serving_config() else { return Vec::new() };
    stewards.retain(|part, _| lease.parts.contains_key(part));
    node.sync_list_failures();
    let now = node.now();
    let list = node.list.lock();
    if list.next.is_none_or(|next| next.era < node.store_monitor.era()) {
        return Vec::new();
    }
    let list_read_at = list.read_at;
    let peers = node.peers.lock().heard(now).count();
    let suspicions = node.suspicions.lock().clone();
    let evacuated = node.evacuations.lock().all(now).cloned().collect();
    let all_peers_asked =
        |id: &Identity, address: &SmolStr| node.have_all_peers_probed(id, address);
    let is_unreached_since = |id: &Identity, address: &SmolStr, since: Millis| {
        node.is_unreached_since(id, address, since)
    };
    let round = PlanningRound {
        all_peers_asked: &all_peers_asked,
        is_unreached_since: &is_unreached_since,
        timings: node.settings().steward_timings(),
        roster: &list.roster,
        trust: &list.trust,
        suspicions: &suspicions,
        evacuated: &evacuated,
        peers,
        log_times,
        before_traffic: !node.has_traffic() && node.settings().node.is_first_start,
        parts: node.settings().store.parts,
        issued: &node.epochs_issued,
        lease: &lease,
        list_read_at,
        fence,
        now,
    };
    let mut commands = Vec::new();
    for upstream in serving_config.upstreams.values() {
        if let Some(engine) = upstream.engine.as_ref().filter(|engine| !engine.models.is_empty()) {
            let demand = node.fleet_workload(engine);
            commands.extend(round.plan(&upstream.name, engine, &demand, &mut stewards));
        }
    }
    let is_busy = stewards.values().any(Steward::is_busy);
    node.is_steward_busy.store(is_busy, Ordering::Relaxed);
    if is_busy || !commands.is_empty() {
        node.list_read_wanted.notify_one();
    }
    commands
}

/// Sends an order in the background, passes the reply to the stewards, and wakes the planning.
fn send_order(node: Arc<Node>, stewards: Stewards, command: Command) {
    tokio::spawn(async move {
        node.metrics.count(Metric::Orders);
        let times = ConnectTimes { connect: ORDER_TIMEOUT, lifetime: ORDER_TIMEOUT };
        let connecting = async {
            let connected = node.connect(&command.to, &command.address, times).await;
            connected.ok().map(|connection| connection.stream)
        };
        let reply = orders::send_order(&command, connecting, ORDER_TIMEOUT).await;
        let mut is_outranked = false;
        for steward in stewards.lock().values_mut() {
            is_outranked |= steward.on_reply(&command, reply);
        }
        if is_outranked {
            on_outranked(&node, command.fence);
        }
        probe_suspects(&node, &command, reply);
        emit(
            Event::Ordered,
            &[
                ("instance", command.to.as_str()),
                ("order", &format!("{:?}", command.order)),
                ("fence", &command.fence.to_string()),
                ("why", command.why),
                ("reply", &format!("{reply:?}")),
            ],
        );
        node.planning_wanted.notify_one();
    });
}

/// Probes instances that may be gone: the recipient of an order without an answer, and all
/// members of a group that could not be opened because they did not fit together.
fn probe_suspects(node: &Node, command: &Command, reply: OrderReply) {
    let suspects: Vec<Identity> = match (&command.order, reply) {
        (_, OrderReply::Unknown) => vec![command.to.clone()],
        (Order::Open { epoch, .. }, OrderReply::Unfit) => members_of(node, *epoch),
        _ => return,
    };
    for id in suspects {
        let entry = node.list.lock().roster.incarnation(&id).cloned();
        if let Some(entry) = entry {
            let address = entry.instance.address.clone();
            node.probe(&id, &address, ProbeTask::ForSelf);
        }
    }
}

/// The instances whose entries name the group of this epoch.
fn members_of(node: &Node, epoch: u64) -> Vec<Identity> {
    let list = node.list.lock();
    let is_member =
        |entry: &&Entry| entry.instance.membership.as_ref().is_some_and(|own| own.epoch == epoch);
    list.roster.iter().filter(is_member).map(|entry| entry.instance.identity.clone()).collect()
}

/// An instance has refused an order since it has seen a higher fencing token or a newer group
/// epoch: no more orders are sent by this token.
fn on_outranked(node: &Node, fence: u64) {
    let mut lease = node.lease.lock();
    if lease.fence.number() == Some(fence) && lease.refused_fence.is_none() {
        lease.refused_fence = Some(lease.fence);
        drop(lease);
        emit(Event::LeaseLost, &[("fence", &fence.to_string())]);
    }
}
