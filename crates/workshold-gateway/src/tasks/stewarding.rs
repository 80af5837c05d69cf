//! Runs the steward for the fabric domains whose partitions of the lease this node holds, and
//! sends its orders to instances.

mod look;

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
use workshold_platform::engines;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Lease;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::tasks::stewarding::look::Look;
use crate::tasks::stewarding::look::Told;

/// Interval of the planning rounds if nothing wakes the steward earlier.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// The same for a node that holds no partition; it is woken when it gets one.
const LOOK_EVERY_IDLE: Duration = Duration::from_millis(1_000);
/// Timeout of an order.
const ORDER_TIME: Millis = Millis(250);
/// Longest time for which an order of a partition's previous holder can be in transit.
const ORDERS_ARRIVE: Millis = Millis(300);

type Stewards = Arc<Mutex<BTreeMap<u64, Steward>>>;

/// Runs planning rounds and sends the resulting orders until the node ends.
pub async fn run(node: Arc<Node>) {
    let stewards: Stewards = Arc::default();
    let told = Told::default();
    loop {
        let is_holder = !node.lease.lock().parts.is_empty();
        let every = if is_holder { LOOK_EVERY } else { LOOK_EVERY_IDLE };
        tokio::select! {
            () = tokio::time::sleep(every) => {}
            () = node.steward_wanted.notified() => {}
        }
        let commands = plan(&node, &stewards, &told);
        for command in commands {
            carry_out(Arc::clone(&node), Arc::clone(&stewards), command);
        }
    }
}

/// The lease's fencing token, if this node may still send orders by it.
fn fence(node: &Node, lease: &Lease) -> Option<u64> {
    let ttl = node.settings().lease_ttl();
    let is_past = lease.fence.era < node.store_monitor.era();
    let is_outranked = is_past || lease.outranked == Some(lease.fence) || lease.heard > lease.fence;
    let is_held = node.now().since(lease.renewed_at) < ttl || is_store_away_for_all(node, lease);
    let holds = is_held && !is_outranked && !lease.parts.is_empty();
    lease.fence.number().filter(|_| holds)
}

/// Whether the store has answered no node since this lease ran out: then no other node can have
/// taken the lease either, and this one keeps it.
fn is_store_away_for_all(node: &Node, lease: &Lease) -> bool {
    let now = node.now();
    let peers = node.peers.lock();
    let others = peers.heard(now).count();
    // A node that hears less than half of all may be in the minority side of a partition, and
    // the other side may reach the store.
    let hears_most = others > 0 && 2 * (others + 1) > peers.max_node_count();
    let answered = peers.sums(now).store_answered;
    let ttl = node.settings().lease_ttl();
    hears_most && answered.is_none_or(|at| at < lease.renewed_at + ttl)
}

/// Updates the lease's partitions by the fencing tokens of other nodes, and returns a copy. Starts
/// a reading of the list if a partition waits for one.
fn settle(node: &Node) -> Lease {
    let now = node.now();
    let rules =
        HandoverTimings { max_order_delay: ORDERS_ARRIVE, lease_ttl: node.settings().lease_ttl() };
    let own = node.settings().control();
    let sums = node.peers.lock().sums(now);
    let acting: Vec<Fence> =
        sums.acts_by().filter(|(at, _)| **at != own).map(|(_, fence)| fence).collect();
    let lease = {
        let mut lease = node.lease.lock();
        let parts = lease.parts.values_mut();
        parts.for_each(|partition_lease| {
            partition_lease.observe_holders(acting.iter().copied(), rules, now)
        });
        lease.clone()
    };
    if node.wants_list_anew() {
        node.list_wanted.notify_one();
        node.list_wanted_anew.notify_one();
    }
    lease
}

fn plan(node: &Node, stewards: &Stewards, told: &Told) -> Vec<Command> {
    let lease = settle(node);
    let mut stewards = stewards.lock();
    let Some(fence) = fence(node, &lease) else {
        stewards.clear();
        node.is_steward_busy.store(false, Ordering::Relaxed);
        return Vec::new();
    };
    let Some(serving_config) = node.serving_config() else { return Vec::new() };
    stewards.retain(|part, _| lease.parts.contains_key(part));
    node.hear_of_list_trouble();
    let now = node.now();
    let list = node.list.lock();
    if list.next.is_none_or(|next| next.era < node.store_monitor.era()) {
        return Vec::new();
    }
    let list_read_at = list.read_at;
    let peers = node.peers.lock().heard(now).count();
    let suspicions = node.suspicions.lock().clone();
    let all_peers_asked =
        |id: &Identity, address: &SmolStr| node.have_all_peers_probed(id, address);
    let look = Look {
        all_peers_asked: &all_peers_asked,
        roster: &list.roster,
        trust: &list.trust,
        suspicions: &suspicions,
        peers,
        told,
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
            let asked = node.work(engine);
            commands.extend(look.plan(&upstream.name, engine, &asked, &mut stewards));
        }
    }
    let is_busy = stewards.values().any(Steward::is_busy);
    node.is_steward_busy.store(is_busy, Ordering::Relaxed);
    if is_busy || !commands.is_empty() {
        node.list_wanted.notify_one();
    }
    commands
}

fn carry_out(node: Arc<Node>, stewards: Stewards, command: Command) {
    tokio::spawn(async move {
        node.metrics.count(Metric::Orders);
        let reply = engines::order(&command, ORDER_TIME).await;
        let mut is_outranked = false;
        for steward in stewards.lock().values_mut() {
            is_outranked |= steward.on_reply(&command, reply);
        }
        if is_outranked {
            on_outranked(&node, command.fence);
        }
        look_into(&node, &command, reply);
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
        node.steward_wanted.notify_one();
    });
}

/// Probes instances that may be gone: the recipient of an order without an answer, and all
/// members of a group that could not be opened because they did not fit together.
fn look_into(node: &Node, command: &Command, reply: OrderReply) {
    let doubted: Vec<Identity> = match (&command.order, reply) {
        (_, OrderReply::Unknown) => vec![command.to.clone()],
        (Order::Open { epoch, .. }, OrderReply::Unfit) => members_of(node, *epoch),
        _ => return,
    };
    for id in doubted {
        let entry = node.list.lock().roster.incarnation(&id).cloned();
        if let Some(entry) = entry {
            let address = entry.instance.address.clone();
            node.probe(&id, &address, ProbeTask::Look);
        }
    }
}

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
    if lease.fence.number() == Some(fence) && lease.outranked.is_none() {
        lease.outranked = Some(lease.fence);
        drop(lease);
        emit(Event::LeaseLost, &[("fence", &fence.to_string())]);
    }
}
