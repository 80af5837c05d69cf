//! Holds this node's partitions of the stewards' lease, which permits it to send orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use workshold_core::hosted::lease_candidacy::LeaseCandidacy;
use workshold_core::hosted::partition_lease::PartitionLease;
use workshold_core::hosted::store_era::Fence;
use workshold_platform::store::GroupAssignment;
use workshold_platform::store::StoreError;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;

/// Name of the lease's group and topic in the store.
const GROUP: &str = "stewards";
/// Interval at which the lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);
/// The same for a node that holds no partition, as there are more nodes than partitions; still
/// shorter than the lease's duration.
const RENEWAL_INTERVAL_IDLE: Duration = Duration::from_millis(1_000);
/// Interval at which a node that does not stand for the lease decides again whether it does.
const CANDIDACY_INTERVAL: Duration = Duration::from_millis(200);
/// Least time between two renewals, whatever fencing tokens peers announce.
const MIN_RENEWAL_GAP: Duration = Duration::from_millis(60);
/// Interval at which a starting node checks whether it knows its peers.
const PEER_WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age by which a starting node takes the lease even if it does not know its peers: there may
/// be none.
const MAX_PEER_WAIT: Millis = Millis(2_000);
/// Timeout of a call to the store.
const STORE_TIMEOUT: Millis = Millis(700);
/// Time after its turn to start within which a node has joined the group.
const FIRST_JOIN_TIME: Millis = Millis(100);
/// Interval at which a node asks the store for other nodes. A new node asks at its start, and its
/// heartbeats make it known to the others; this is for nodes that were cut off for long.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(20_000);
/// The same until it has heard a peer.
const DISCOVERY_INTERVAL_ALONE: Duration = Duration::from_millis(500);

/// The member name of this process in the lease's group: the address of its control port, and a
/// random number, since without it a restarted node would continue its predecessor's lease.
fn member(node: &Node) -> String {
    format!("{}/{:08x}", node.settings().control(), rand::random::<u32>())
}

/// Holds the lease until the node stops, then releases it.
pub async fn hold_lease(node: Arc<Node>) {
    let member = member(&node);
    let ttl = node.settings().lease_ttl();
    wait_for_peers(&node).await;
    let mut candidacy = LeaseCandidacy::default();
    let mut is_member = false;
    while !node.is_leaving() {
        if candidacy.stands(node.lease_view(), node.now()) {
            is_member = true;
            let sent = node.now();
            if let Ok((joined, fence)) = join(&node, &member, ttl, sent).await {
                take(&node, fence, &joined.partitions, sent);
            }
        } else if std::mem::take(&mut is_member) {
            leave(&node, &member).await;
        }
        wait_for_renewal(&node, is_member).await;
    }
    if is_member {
        leave(&node, &member).await;
    }
}

/// Gives up this node's partitions and leaves the group.
async fn leave(node: &Node, member: &str) {
    node.lease.lock().parts.clear();
    node.heartbeat_wanted.notify_one();
    // If this call fails, the lease expires by itself.
    let _ = node.store.leave(GROUP, member, STORE_TIMEOUT).await;
}

/// Joins the group or renews the membership. A generation of an earlier era is not passed on,
/// since it is not valid in the present one.
async fn join(
    node: &Node,
    member: &str,
    ttl: Millis,
    sent: Millis,
) -> Result<(GroupAssignment, Fence), StoreError> {
    let last_fence = node.lease.lock().fence;
    let generation =
        if last_fence.era == node.store_monitor.era() { last_fence.generation } else { 0 };
    node.metrics.count(Metric::LeaseCalls);
    let answer = node.store.join(GROUP, member, ttl, generation, STORE_TIMEOUT).await?;
    let era = answer.era;
    let joined = node.take_answer(answer, sent)?;
    let fence = Fence { era, generation: joined.generation };
    Ok((joined, fence))
}

/// Waits at the node's start until it knows its peers: each of hundreds of nodes that join at
/// once would cause a redistribution of all partitions.
async fn wait_for_peers(node: &Node) {
    while !node.is_leaving() && !node.knows_peers() && node.age() < MAX_PEER_WAIT {
        tokio::time::sleep(PEER_WAIT_CHECK_INTERVAL).await;
    }
}

/// Waits before the next renewal, or the next decision whether to stand for the lease: a short time
/// if a peer has announced a higher fencing token.
async fn wait_for_renewal(node: &Node, is_member: bool) {
    let has_parts = !node.lease.lock().parts.is_empty();
    let interval = match (is_member, has_parts) {
        (true, true) => RENEWAL_INTERVAL,
        (true, false) => RENEWAL_INTERVAL_IDLE,
        (false, _) => CANDIDACY_INTERVAL,
    };
    tokio::time::sleep(MIN_RENEWAL_GAP).await;
    tokio::select! {
        () = tokio::time::sleep(interval - MIN_RENEWAL_GAP) => {}
        () = node.lease_renewal_wanted.notified() => {}
    }
}

/// Applies the answer to a renewal sent at `sent`: the fencing token and the partitions held.
pub fn take(node: &Node, fence: Fence, parts: &[u64], sent: Millis) {
    let now = node.now();
    let trusted_from = node.store_monitor.trusted_from();
    let mut lease = node.lease.lock();
    let held = std::mem::take(&mut lease.parts);
    // If the era has changed or the lease had expired, another node may have held the partition
    // meanwhile, also if the answer that told so was lost.
    let has_not_expired = sent.since(lease.renewed_at) < node.settings().lease_ttl();
    let is_continued = lease.fence.era == fence.era && has_not_expired;
    let new_lease = PartitionLease::new(fence, now).with_earliest_order_at(trusted_from);
    let partition_lease =
        |part: &u64| held.get(part).copied().filter(|_| is_continued).unwrap_or(new_lease);
    let parts: BTreeMap<u64, PartitionLease> =
        parts.iter().map(|part| (*part, partition_lease(part))).collect();
    let has_new_parts = parts.keys().ne(held.keys());
    let has_new_fence = lease.fence != fence;
    lease.parts = parts;
    lease.fence = fence;
    lease.renewed_at = sent;
    if lease.refused_fence.is_some_and(|refused_fence| fence > refused_fence) {
        lease.refused_fence = None;
    }
    let list: Vec<String> = lease.parts.keys().map(u64::to_string).collect();
    drop(lease);
    if has_new_fence {
        // The new holder of a partition waits until all other holders have noticed.
        node.heartbeat_wanted.notify_one();
    }
    if has_new_parts {
        let (era, generation) = (fence.era.to_string(), fence.generation.to_string());
        let fields = [("era", &*era), ("generation", &*generation), ("parts", &*list.join(","))];
        emit(Event::LeaseTaken, &fields);
        node.planning_wanted.notify_one();
    }
}

/// Discovers other nodes until the node ends, as members of the lease's group. Nodes that hear others
/// learn of all of them by gossip. Only relays go on asking the store, in case the fleet has split
/// into parts that do not know each other.
pub async fn discover_peers(node: Arc<Node>) {
    if node.settings().node.is_first_start {
        // The first nodes have joined the group by then, so that the others ask only once.
        tokio::time::sleep((node.start_stagger() + FIRST_JOIN_TIME).to_duration()).await;
    }
    loop {
        let is_alone = node.peers.lock().heard(node.now()).next().is_none();
        if is_alone || node.is_relay() {
            discover_by_store(&node).await;
        }
        if !node.hears_few_peers() {
            node.peers.lock().forget_gone(node.now());
        }
        let pause = if is_alone { DISCOVERY_INTERVAL_ALONE } else { DISCOVERY_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

/// Asks the store once for the members of the lease's group.
async fn discover_by_store(node: &Node) {
    let own = node.settings().control();
    let sent = node.now();
    node.metrics.count(Metric::DiscoveryCalls);
    let answer = node.store.owners(GROUP, STORE_TIMEOUT).await;
    if let Ok(owners) = answer.and_then(|answer| node.take_answer(answer, sent)) {
        let addresses = owners.iter().filter_map(|owner| address_of(&owner.member));
        let others: Vec<SocketAddr> = addresses.filter(|address| *address != own).collect();
        node.peers.lock().on_listed(&others, sent);
    }
}

/// The address in a member name; `None` if it has none.
fn address_of(member: &str) -> Option<SocketAddr> {
    member.split('/').next()?.parse().ok()
}
