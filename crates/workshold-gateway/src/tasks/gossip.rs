//! Sending and receiving of datagrams between nodes, and fetching of a configuration or list
//! records from a peer over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::StatusCode;
use rand::Rng;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_http::client;
use workshold_platform::config;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::node::EvidenceSource;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::peers::Datagram;
use crate::peers::Digest;
use crate::peers::Heartbeat;
use crate::peers::ListNews;
use crate::peers::Message;
use crate::peers::ProbeAudience;
use crate::peers::Scope;
use crate::peers::VERSION;
use crate::peers::WireLoad;
use crate::peers::WireQuarantineEntry;
use crate::peers::WireWorkload;
use crate::tasks::store_sync;

/// Bounds of the interval between heartbeats: the fresher the loads of other nodes are, the
/// better groups are chosen.
const MIN_HEARTBEAT_INTERVAL: Millis = Millis(100);
const MAX_HEARTBEAT_INTERVAL: Millis = Millis(300);
/// Longest interval while a model is near its capacity: the counts of other nodes' requests come
/// over up to three hops, and requests that they do not show yet overfill groups.
const BUSY_HEARTBEAT_INTERVAL: Millis = Millis(150);
/// Heartbeat interval per known node, within these bounds: the number of heartbeats that a
/// relay receives grows with the number of nodes.
const HEARTBEAT_INTERVAL_PER_NODE: Millis = Millis(16);
/// Least time between two heartbeats, however many changes there are.
const MIN_HEARTBEAT_GAP: Millis = Millis(100);
/// New list records are forwarded no more often than this, several changes in one batch.
const NEWS_INTERVAL: Duration = Duration::from_millis(40);
/// Datagrams of a long update that are sent at once, to up to eleven nodes: 150 KB, a third of
/// what a link of 100 Mbit/s carries in [`NEWS_INTERVAL`].
const DATAGRAMS_PER_BATCH: usize = 2;
/// Least time between two fetches of list records from a peer.
const FETCH_MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Random delay before a fetch, so that nodes that miss the same records do not fetch at once.
const FETCH_MAX_JITTER: Millis = Millis(60);
/// Most recomputations of the peers' summed loads in one heartbeat interval, however many
/// heartbeats arrive.
const LOAD_SUMS_PER_HEARTBEAT: u64 = 5;
/// Most quarantine records in one heartbeat. Requests that only ran beside the one that ended an
/// instance are sent once and then cleared, so the most important records go first.
const MAX_QUARANTINE_ENTRIES: usize = 16;
/// Size of the receive buffer, and so of the largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Interval at which a node finds that no datagram is waiting, while none arrives. The next one
/// looks older than it is by up to this, a fraction of the time for which keys are trusted.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// A datagram that may have waited for longer than this, somewhat more than [`RECEIVE_TIMEOUT`],
/// was read after a pause of this process.
const REPORT_MAX_AGE: Millis = Millis(150);
/// Interval at which a node checks whether a peer has newer data.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// A newer configuration is fetched from a peer if the store has not delivered it by then.
const STORE_HEAD_START: Millis = Millis(500);
/// While an answer of the store is arriving, a peer is asked only after this time: an answer
/// that is incomplete by then may never be completed.
const MAX_STORE_HEAD_START: Millis = Millis(1_500);
/// Attempts to fetch a newer configuration from peers before it is read from the store.
const EARLY_FETCH_ATTEMPTS: usize = 2;
/// Timeout of a fetch from a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// Opens the UDP socket for datagrams between nodes.
///
/// # Errors
///
/// The operating system's error if the address cannot be bound.
pub async fn open(node: &Node) -> io::Result<UdpSocket> {
    UdpSocket::bind(node.settings().control()).await
}

/// Sends this node's heartbeats, and its digests if it is a relay, until the node ends.
pub async fn send_heartbeats(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        let interval = node_heartbeat_interval(&node);
        let heartbeat = own_heartbeat(&node, interval.0 as u16);
        let settings = node.settings();
        let draw = rand::rng().random();
        let outgoing_messages =
            node.peers.lock().outgoing(&settings.own(), &heartbeat, node.now(), draw);
        for outgoing in outgoing_messages {
            send(&node, &socket, &outgoing.to, outgoing.message).await;
        }
        let sent_at = node.now();
        tokio::select! {
            () = tokio::time::sleep(interval.to_duration()) => {}
            () = node.heartbeat_wanted.notified() => {
                let left = MIN_HEARTBEAT_GAP.since(node.now().since(sent_at));
                tokio::time::sleep(left.to_duration()).await;
            }
        }
    }
}

/// Interval between this node's heartbeats.
fn node_heartbeat_interval(node: &Node) -> Millis {
    let interval = heartbeat_interval(node.peers.lock().addresses().len());
    if node.is_near_capacity() { interval.min(BUSY_HEARTBEAT_INTERVAL) } else { interval }
}

/// Interval between heartbeats in a fleet of so many nodes.
fn heartbeat_interval(nodes: usize) -> Millis {
    Millis(HEARTBEAT_INTERVAL_PER_NODE.0 * nodes as u64)
        .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
}

/// Forwards new list records until the node ends, if there are nodes that rely on what others
/// read.
pub async fn send_news(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut from = None;
    loop {
        node.news_wanted.notified().await;
        let (next, has_read_itself) = {
            let mut list = node.list.lock();
            (list.next, std::mem::take(&mut list.has_unsent_records))
        };
        if let Some(from) = from.filter(|_| node.has_followers()) {
            let to = list_news_recipients(&node, has_read_itself);
            for (i, datagram) in
                store_sync::news(&node, from).into_datagrams().into_iter().enumerate()
            {
                if i % DATAGRAMS_PER_BATCH == 0 && i > 0 {
                    tokio::time::sleep(NEWS_INTERVAL).await;
                }
                send(&node, &socket, &to, Message::News(datagram)).await;
            }
        }
        from = next;
        tokio::time::sleep(NEWS_INTERVAL).await;
    }
}

/// The nodes to which this one forwards new list records.
fn list_news_recipients(node: &Node, has_read_itself: bool) -> Vec<SocketAddr> {
    let settings = node.settings();
    node.peers.lock().news_recipients(&settings.own(), has_read_itself, node.now())
}

/// Sends a message to all addresses at which there may be a node.
pub async fn broadcast(node: &Node, socket: &UdpSocket, message: Message) {
    let addresses = node.peers.lock().addresses();
    send(node, socket, &addresses, message).await;
}

/// Sends a message to each address; datagrams that cannot be sent are dropped.
pub async fn send(node: &Node, socket: &UdpSocket, to: &[SocketAddr], message: Message) {
    let from = SmolStr::new(&node.settings().node.name);
    let datagram = Datagram { version: VERSION, from, message };
    let bytes = postcard::to_stdvec(&datagram).expect("serializing plain fields cannot fail");
    for address in to {
        // Receivers cope with lost datagrams, so that a failed send needs no handling.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// This node's heartbeat; `next_ms` is the time until its next one at the latest.
fn own_heartbeat(node: &Node, next_ms: u16) -> Heartbeat {
    let settings = node.settings();
    let config = node.config_age().map(|(version, age)| (version, age.0));
    let (work, observed_fraction) = node.local_workload();
    // Taken before the struct is built: no lock may be held while the other fields are computed.
    let acts_by = node.lease.lock().active_fence();
    let holds_lease = node.holds_lease();
    Heartbeat {
        callers: settings.listen.callers,
        data_centre: SmolStr::new(settings.node.data_centre.as_str()),
        class: settings.limits.class(),
        next_ms,
        is_ready: node.readiness().is_ok(),
        has_traffic: node.has_local_traffic(),
        config,
        evacuations: node.evacuations_to_report(),
        list: list_end(node),
        hears: Vec::new(),
        seeks: false,
        acts_by,
        holds_lease,
        past: node.store_monitor.told(node.now()),
        store_age_ms: node.store_silent_for().0,
        list_trouble_ms: node.list_failure_age_ms(),
        work: wire_workloads(node, &work),
        seen_percent: (observed_fraction * 100.0) as u8,
        loads: wire_loads(node),
        requests: quarantine_entries(node),
        limits: node.limits_to_report(),
        leaving: node.leaving_to_report(),
    }
}

/// The workloads for the next heartbeat.
fn wire_workloads(node: &Node, work: &[(SmolStr, Workload)]) -> Vec<WireWorkload> {
    let now = node.now();
    let demand = node.demand.lock();
    let entry = |(model, work): &(SmolStr, Workload)| {
        WireWorkload::new(model, *work).with_arriving(demand.arriving(model, now))
    };
    work.iter().map(entry).collect()
}

/// The quarantine records for the next heartbeat.
fn quarantine_entries(node: &Node) -> Vec<WireQuarantineEntry> {
    let now = node.now();
    let records = node.quarantine.lock().next_to_gossip(MAX_QUARANTINE_ENTRIES, now);
    records.iter().map(|record| WireQuarantineEntry::new(record, now)).collect()
}

/// The gaps are locked without any other lock: handling of heartbeats locks the list before
/// them.
fn wire_loads(node: &Node) -> Vec<WireLoad> {
    let loads = node.loads.own_loads();
    let gaps = node.gaps.lock();
    let entries = loads.iter();
    entries
        .map(|(id, load)| WireLoad::new(id, *load, gaps.mean_ms(id).unwrap_or_default()))
        .collect()
}

/// Where this node's list ends, and the time since that was known to be the end.
fn list_end(node: &Node) -> Option<(LogPosition, u64)> {
    let list = node.list.lock();
    list.next.map(|next| (next, node.now().since(list.read_at).0))
}

/// Receives and handles datagrams until the node ends.
///
/// The time at which a datagram arrived is unknown; known is when none was waiting. A process
/// that stalled, or whose machine was suspended, afterwards reads the datagrams that arrived
/// meanwhile, and the ages in them have grown by up to that pause. Ages are therefore counted
/// from when no datagram was waiting; otherwise a revoked key would be trusted for longer by
/// the length of the pause.
pub async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut none_waited = node.now();
    loop {
        let checked_at = node.now();
        match socket.try_recv_from(&mut buf) {
            Ok((len, from)) => {
                let Ok(datagram) = postcard::from_bytes::<Datagram>(&buf[..len]) else { continue };
                if datagram.version == VERSION
                    && let Some(reply) = handle_datagram(&node, from, datagram, none_waited)
                {
                    send(&node, &socket, &[from], reply).await;
                }
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                none_waited = checked_at;
                // Without a datagram, check again after the timeout to advance `none_waited`.
                let _ = tokio::time::timeout(RECEIVE_TIMEOUT, socket.readable()).await;
            }
            // The operating system reports here that a datagram sent earlier was refused.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Handles a datagram that arrived after `since`. Returns the reply, if there is one.
fn handle_datagram(
    node: &Node,
    from: SocketAddr,
    datagram: Datagram,
    since: Millis,
) -> Option<Message> {
    match datagram.message {
        Message::Heartbeat(heartbeat) => {
            return handle_heartbeat(node, from, datagram.from, *heartbeat, since);
        }
        Message::Digest(digest) => handle_digest(node, from, datagram.from, *digest, since),
        Message::News(news) => {
            if !store_sync::apply_list_news(node, &news, since) {
                node.list_fetch_wanted.notify_one();
            }
        }
        Message::Verdict { instance, reach, ask } => {
            handle_verdict(node, from, &datagram.from, (instance, reach.into()), ask);
        }
        Message::GroupWorks { head } => handle_group_report(node, head, since),
    }
    None
}

/// Handles a heartbeat. Returns a digest if the sender looks for relays.
fn handle_heartbeat(
    node: &Node,
    from: SocketAddr,
    name: SmolStr,
    received: Heartbeat,
    since: Millis,
) -> Option<Message> {
    let now = node.now();
    handle_shared_state(node, &received, since);
    on_peer_fence(node, received.acts_by);
    merge_event_gaps(node, &received.loads);
    let seeks = received.seeks.then(|| received.data_centre.clone());
    let settings = node.settings();
    let own = settings.own();
    let is_urgent = node.peers.lock().on_heartbeat(own.address, from, name, received, now);
    forward_urgent_change(node, is_urgent);
    update_peer_loads(node, true);
    // The totals in the reply include this node's own workload and loads. They come with its
    // heartbeat, which is built before the peers are locked.
    let data_centre = seeks?;
    let own_heartbeat = own_heartbeat(node, MAX_HEARTBEAT_INTERVAL.0 as u16);
    let mut peers = node.peers.lock();
    Some(peers.answer(&own, &own_heartbeat, &data_centre, now))
}

/// Handles a relay's digest.
fn handle_digest(node: &Node, from: SocketAddr, name: SmolStr, digest: Digest, since: Millis) {
    handle_shared_state(node, &digest.own, since);
    merge_event_gaps(node, &digest.loads);
    let settings = node.settings();
    let own = settings.own();
    let of_others = digest.acts_by.iter().filter(|(address, _)| *address != own.address);
    on_peer_fence(node, of_others.map(|(_, fence)| *fence).max());
    let is_partial = digest.scope == Scope::DataCentre;
    let is_urgent = node.peers.lock().on_digest(&own, from, name, digest, node.now());
    forward_urgent_change(node, is_urgent);
    update_peer_loads(node, is_partial);
}

/// Handles the parts of a heartbeat that do not concern membership, from a datagram that arrived
/// after `since`: era, evacuations, configuration, list position, departures, rate limits and
/// quarantine.
fn handle_shared_state(node: &Node, received: &Heartbeat, since: Millis) {
    let now = node.now();
    if let Some((era, age)) = received.past {
        node.on_peer_era(era, now - Millis(age));
    }
    // Before the configuration: a node that has that one also knows which data centres are
    // evacuated.
    if let Some(evacuations) = &received.evacuations {
        node.on_reported_evacuations(evacuations);
    }
    if let Some((version, age)) = received.config
        && node.confirm_config(version, since - Millis(age) - MAX_TRANSIT_TIME)
    {
        node.config_fetch_wanted.notify_one();
    }
    if let Some((next, age)) = received.list {
        confirm_list(node, next, since - Millis(age) - MAX_TRANSIT_TIME);
    }
    node.on_reported_leaving(&received.leaving);
    node.on_reported_limits(&received.limits, since - MAX_TRANSIT_TIME);
    if !received.requests.is_empty() {
        let records: Vec<QuarantineRecord> =
            received.requests.iter().map(|entry| entry.known(now)).collect();
        node.merge_quarantine_records(&records, EvidenceSource::Peer);
    }
}

/// Makes a relay send its digests at once if they contain a change that other nodes wait for.
fn forward_urgent_change(node: &Node, is_urgent: bool) {
    let settings = node.settings();
    if is_urgent && node.peers.lock().is_relay(&settings.own(), node.now()) {
        node.heartbeat_wanted.notify_one();
    }
}

/// Recomputes the sum of the peers' loads; if the datagram is one of many that the sum is made
/// of (`is_partial`), no more often than [`LOAD_SUMS_PER_HEARTBEAT`] times per heartbeat interval.
fn update_peer_loads(node: &Node, is_partial: bool) {
    let now = node.now();
    let peers = node.peers.lock();
    let min_age = Millis(heartbeat_interval(peers.addresses().len()).0 / LOAD_SUMS_PER_HEARTBEAT);
    if !is_partial || node.loads.are_peer_loads_stale(now, min_age) {
        let others = peers.loads(now);
        drop(peers);
        node.loads.set_peer_loads(others, now);
    }
}

/// Notes a peer's fencing token. If it is higher than this node's, the partitions of the lease
/// have been redistributed, and this node renews its lease at once.
fn on_peer_fence(node: &Node, acts_by: Option<Fence>) {
    let mut lease = node.lease.lock();
    lease.highest_peer_fence = lease.highest_peer_fence.max(acts_by.unwrap_or_default());
    if lease.highest_peer_fence > lease.fence && lease.active_fence().is_some() {
        node.lease_renewal_wanted.notify_one();
    }
}

/// Longest time for which a datagram may have been in transit, added to the ages in it.
const MAX_TRANSIT_TIME: Millis = Millis(200);

/// Merges the mean times between events that a peer has measured.
fn merge_event_gaps(node: &Node, loads: &[WireLoad]) {
    if loads.is_empty() {
        return;
    }
    let list = node.list.lock();
    let mut gaps = node.gaps.lock();
    for load in loads {
        if let (Some(id), Some(gap)) = (list.by_instance_hash.get(&load.instance), load.gap_ms()) {
            gaps.on_peer(id, gap);
        }
    }
}

/// Handles a peer's probe result, and queues a probe of this node if it is asked for one.
fn handle_verdict(
    node: &Node,
    from: SocketAddr,
    peer: &str,
    (instance, reach): (u32, ProbeResult),
    ask: ProbeAudience,
) {
    let list = node.list.lock();
    let entry = list.by_instance_hash.get(&instance).and_then(|id| list.roster.incarnation(id));
    let Some(instance) = entry.map(|entry| Arc::clone(&entry.instance)) else { return };
    drop(list);
    let id = &instance.identity;
    let is_witness = node.is_witness(id);
    {
        let mut suspicions = node.suspicions.lock();
        suspicions.on_peer(id, peer, reach, node.now());
        if !is_witness {
            suspicions.rely_on_peers(id);
        }
    }
    let task = match ask {
        ProbeAudience::Witnesses if is_witness => Some(ProbeTask::ForAll),
        ProbeAudience::All => Some(ProbeTask::ReplyTo(from)),
        ProbeAudience::Nobody | ProbeAudience::Witnesses => None,
    };
    if let Some(task) = task.filter(|_| node.is_probe_due(id)) {
        node.probe(id, &instance.address, task);
    }
    node.notify_suspicions_changed();
}

/// Handles a peer's report that a group works, in a datagram that arrived after `since`. A report
/// that may have waited while this process was stalled shows nothing of the present.
fn handle_group_report(node: &Node, head: u32, since: Millis) {
    if node.now().since(since) > REPORT_MAX_AGE {
        return;
    }
    let head = node.list.lock().by_instance_hash.get(&head).cloned();
    if let Some(head) = head {
        node.note_group_report(&head);
    }
}

/// Fetches from peers what the store does not deliver in time, until the node ends.
pub async fn catch_up(node: Arc<Node>) {
    tokio::join!(catch_up_config(Arc::clone(&node)), catch_up_list(node));
}

/// Keeps the configuration up to date with peers, until the node ends. A node that relies on what
/// peers read fetches a newer configuration from one of them at once, and reads the store only if
/// that fails: otherwise every change would be read by every node. A node that reads the store
/// fetches it from a peer if the store does not deliver it in time.
async fn catch_up_config(node: Arc<Node>) {
    let mut progress = StoreProgress::default();
    loop {
        tokio::select! {
            () = tokio::time::sleep(PEER_CHECK_INTERVAL) => {}
            () = node.config_fetch_wanted.notified() => {}
        }
        if newest_config_source(&node).is_none() {
            node.is_config_read_wanted.store(false, Ordering::Relaxed);
            progress = StoreProgress::default();
            continue;
        }
        let is_early = progress.newer_since.is_none() && !node.is_store_reader();
        if is_early && fetch_config_early(&node).await {
            continue;
        }
        node.is_config_read_wanted.store(true, Ordering::Relaxed);
        if progress.is_too_slow(node.config_store.received_len(), node.now())
            && let Some(peer) = newest_config_source(&node)
        {
            fetch_config(&node, peer, CONFIG_PATH).await;
        }
    }
}

/// Fetches a newer configuration from a peer unless it is long. Returns whether that worked.
async fn fetch_config_early(node: &Node) -> bool {
    let spread = Millis(rand::random_range(0..=FETCH_MAX_JITTER.0));
    tokio::time::sleep(spread.to_duration()).await;
    for _ in 0..EARLY_FETCH_ATTEMPTS {
        let Some(peer) = newest_config_source(node) else { return true };
        fetch_config(node, peer, SHORT_CONFIG_PATH).await;
    }
    newest_config_source(node).is_none()
}

/// How a newer configuration that a peer has announced is arriving from the store.
#[derive(Debug, Default)]
struct StoreProgress {
    newer_since: Option<Millis>,
    received: u64,
    received_at: Millis,
}

impl StoreProgress {
    /// Whether the store, which has sent `received` bytes by `now`, does not deliver it in time.
    fn is_too_slow(&mut self, received: u64, now: Millis) -> bool {
        if received > self.received {
            self.received = received;
            self.received_at = now;
        }
        let waited = now.since(*self.newer_since.get_or_insert(now));
        // Data that is already arriving from the store would load this node's link and a
        // peer's a second time: without this check 28 of 61 nodes received 820 KB twice.
        let is_arriving =
            now.since(self.received_at) < STORE_HEAD_START && waited < MAX_STORE_HEAD_START;
        waited >= STORE_HEAD_START && !is_arriving
    }
}

/// Fetches list records that this node has missed.
async fn catch_up_list(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(PEER_CHECK_INTERVAL) => {}
            () = node.list_fetch_wanted.notified() => {}
        }
        check_for_list_gap(&node);
        let Some(left) = node.list.lock().gap.time_until_fetch(node.now()) else { continue };
        let spread = Millis(rand::random_range(0..=FETCH_MAX_JITTER.0));
        tokio::time::sleep((left + spread).to_duration()).await;
        let is_missing = node.list.lock().gap.time_until_fetch(node.now()).is_some();
        if let Some(peer) = fetch_source(&node).filter(|_| is_missing) {
            fetch_list(&node, peer).await;
            tokio::time::sleep(FETCH_MIN_INTERVAL).await;
        }
    }
}

/// Compares the end of this node's list with the ends that all peers that are heard reported
/// last, in case no new datagram reports them.
fn check_for_list_gap(node: &Node) {
    let now = node.now();
    let peers = node.peers.lock();
    let ends = peers.heard(now).filter_map(|(_, peer)| peer.heartbeat.list);
    let end = ends.map(|(next, _)| next).max();
    drop(peers);
    let mut list = node.list.lock();
    if let Some(end) = end {
        let own = list.next;
        list.gap.on_peer_list_end(own, end, now);
    }
}

/// The peer from which missing list records are fetched; `None` if no peer has any.
fn fetch_source(node: &Node) -> Option<SocketAddr> {
    let next = node.list.lock().next;
    let settings = node.settings();
    node.peers.lock().fetch_source(
        &settings.own(),
        next,
        rand::random::<u32>() as usize,
        node.now(),
    )
}

/// A peer that holds a newer configuration than this node; `None` if no peer that is heard does.
fn newest_config_source(node: &Node) -> Option<SocketAddr> {
    let own = node.config_age().map(|(version, _)| version);
    let settings = node.settings();
    let draw = rand::random::<u32>() as usize;
    node.peers.lock().config_source(&settings.own(), own, draw, node.now())
}

/// Handles a peer's report that the list ended at `next` at time `at`: this node's list is
/// current if it ends there too, and otherwise may lack records.
fn confirm_list(node: &Node, next: LogPosition, at: Millis) {
    let now = node.now();
    let mut list = node.list.lock();
    if list.next == Some(next) {
        list.read_at = list.read_at.max(at);
        return;
    }
    let own = list.next;
    if list.gap.on_peer_list_end(own, next, now) {
        node.list_fetch_wanted.notify_one();
    }
}

/// HTTP path at which a node serves its configuration to peers.
pub const CONFIG_PATH: &str = "/peer/config";
/// The same, unless the configuration is too long for the link of that node.
pub const SHORT_CONFIG_PATH: &str = "/peer/short-config";
/// HTTP path at which a node serves its list records to peers, from a given position on.
pub const LIST_PATH: &str = "/peer/list";

/// Fetches a peer's configuration and installs it.
async fn fetch_config(node: &Node, peer: SocketAddr, path: &str) {
    let Some(bytes) = fetch(peer, path).await else { return };
    let Ok(serving_config) = config::decode(&bytes) else { return };
    let version = serving_config.version.to_string();
    // The peer's next heartbeat tells how recent it is.
    node.install_config(serving_config, bytes, Millis::ZERO);
    emit(Event::ConfigFromPeer, &[("version", &version), ("peer", &peer.to_string())]);
}

/// Fetches list records from a peer, from this node's position on, and applies them.
async fn fetch_list(node: &Node, peer: SocketAddr) {
    let from = node.list.lock().next.unwrap_or_default();
    let path = format!("{LIST_PATH}?from={}.{}", from.era, from.offset);
    let sent = node.now();
    let bytes = fetch(peer, &path).await;
    let update = bytes.and_then(|bytes| postcard::from_bytes::<ListNews>(&bytes).ok());
    let end = update.as_ref().map_or_else(String::new, |update| update.next.offset.to_string());
    let outcome = match &update {
        None => "no usable answer",
        Some(update) if store_sync::apply_list_news(node, update, sent) => "applied",
        Some(_) => "records before them are missing",
    };
    let fields = [
        ("peer", &*peer.to_string()),
        ("from", &*from.offset.to_string()),
        ("end", &*end),
        ("outcome", outcome),
        ("took", &*node.now().since(sent).to_string()),
    ];
    emit(Event::ListFetched, &fields);
}

/// Fetches a path from a peer over HTTP; `None` on any failure.
async fn fetch(peer: SocketAddr, path: &str) -> Option<Bytes> {
    let address = peer.to_string();
    let fetched = async {
        let connected = client::connect(&address, PEER_TIMEOUT).await.ok()?;
        let req = client::request::<()>(&address, Method::GET, path, None);
        let (res, _driver) = connected.send(req, PEER_TIMEOUT).await.ok()?;
        if res.status() != StatusCode::OK {
            return None;
        }
        res.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
    };
    tokio::time::timeout(PEER_TIMEOUT, fetched).await.ok().flatten()
}
