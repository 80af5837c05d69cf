//! Sending and receiving of datagrams between nodes, and fetching of a configuration or list
//! records from a peer over HTTP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::StatusCode;
use rand::Rng;
use smol_str::SmolStr;
use tokio::net::UdpSocket;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_http::client;
use workshold_platform::config;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::peers::Ask;
use crate::peers::Datagram;
use crate::peers::Digest;
use crate::peers::Heartbeat;
use crate::peers::ListNews;
use crate::peers::Message;
use crate::peers::Scope;
use crate::peers::VERSION;
use crate::peers::WireLoad;
use crate::peers::WireQuarantineEntry;
use crate::peers::WireWorkload;
use crate::tasks::store_sync;

/// Bounds of the interval between heartbeats: the fresher the loads of other nodes are, the
/// better groups are chosen.
const PULSE_LEAST: Millis = Millis(100);
const PULSE_MOST: Millis = Millis(300);
/// Heartbeat interval per known node, within these bounds: the number of heartbeats that a
/// relay receives grows with the number of nodes.
const PULSE_FOR_EACH: Millis = Millis(16);
/// Least time between two heartbeats, however many changes there are.
const PULSE_GAP: Millis = Millis(100);
/// New list records are forwarded no more often than this, several changes in one batch.
const NEWS_EVERY: Duration = Duration::from_millis(40);
/// Datagrams of a long update that are sent at once, to up to eleven nodes: 150 KB, a third of
/// what a link of 100 Mbit/s carries in [`NEWS_EVERY`].
const PIECES_AT_ONCE: usize = 2;
/// Least time between two fetches of list records from a peer.
const FETCH_EVERY: Duration = Duration::from_millis(200);
/// Random delay before a fetch, so that nodes that miss the same records do not fetch at once.
const FETCH_SPREAD: Millis = Millis(60);
/// Most recomputations of the peers' summed loads in one heartbeat interval, however many
/// heartbeats arrive.
const LOADS_SUMMED: u64 = 5;
/// Most quarantine records in one heartbeat. Requests that only ran beside the one that ended an
/// instance are sent once and then cleared, so the most important records go first.
const MOST_REQUESTS: usize = 16;
/// Size of the receive buffer, and so of the largest datagram, in bytes.
const MOST_BYTES: usize = 8 * 1024;
/// Interval at which a node finds that no datagram is waiting, while none arrives. The next one
/// looks older than it is by up to this, a fraction of the time for which keys are trusted.
const LOOK_FOR_WAITING: Duration = Duration::from_millis(100);
/// Interval at which a node checks whether a peer has newer data.
const CATCH_UP_EVERY: Duration = Duration::from_millis(300);
/// A newer configuration is fetched from a peer if the store has not delivered it by then.
const STORE_FIRST: Millis = Millis(500);
/// While an answer of the store is arriving, a peer is asked only after this time: an answer
/// that is incomplete by then may never be completed.
const STORE_MOST: Millis = Millis(1_500);
/// Timeout of a fetch from a peer.
const PEER_TIME: Duration = Duration::from_millis(600);

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
        let every = pulse_every(node.peers.lock().addresses().len());
        let heartbeat = heartbeat(&node, every.0 as u16);
        let settings = node.settings();
        let draw = rand::rng().random();
        let said = node.peers.lock().outgoing(&settings.own(), &heartbeat, node.now(), draw);
        for outgoing in said {
            send(&node, &socket, &outgoing.to, outgoing.message).await;
        }
        let spoke = node.now();
        tokio::select! {
            () = tokio::time::sleep(every.to_duration()) => {}
            () = node.heartbeat_wanted.notified() => {
                let left = PULSE_GAP.since(node.now().since(spoke));
                tokio::time::sleep(left.to_duration()).await;
            }
        }
    }
}

fn pulse_every(nodes: usize) -> Millis {
    Millis(PULSE_FOR_EACH.0 * nodes as u64).clamp(PULSE_LEAST, PULSE_MOST)
}

/// Forwards new list records until the node ends, if there are nodes that rely on what others
/// read.
pub async fn send_news(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut from = None;
    loop {
        node.news_wanted.notified().await;
        let (next, is_first) = {
            let mut list = node.list.lock();
            (list.next, std::mem::take(&mut list.has_own_news))
        };
        if let Some(from) = from.filter(|_| node.has_followers()) {
            let to = whom_to_tell(&node, is_first);
            for (i, piece) in store_sync::news(&node, from).into_datagrams().into_iter().enumerate()
            {
                if i % PIECES_AT_ONCE == 0 && i > 0 {
                    tokio::time::sleep(NEWS_EVERY).await;
                }
                send(&node, &socket, &to, Message::News(piece)).await;
            }
        }
        from = next;
        tokio::time::sleep(NEWS_EVERY).await;
    }
}

fn whom_to_tell(node: &Node, is_first: bool) -> Vec<SocketAddr> {
    let settings = node.settings();
    node.peers.lock().news_recipients(&settings.own(), is_first, node.now())
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
    let bytes = postcard::to_stdvec(&datagram).expect("datagrams have only plain fields");
    for address in to {
        // Receivers cope with lost datagrams, so that a failed send needs no handling.
        let _ = socket.send_to(&bytes, address).await;
    }
}

fn heartbeat(node: &Node, next_ms: u16) -> Heartbeat {
    let settings = node.settings();
    let config = node.config_age().map(|(version, age)| (version, age.0));
    let (work, observed_fraction) = node.own_work();
    // Taken before the struct is built: no lock may be held while the other fields are computed.
    let acts_by = node.lease.lock().acts_by();
    Heartbeat {
        callers: settings.listen.callers,
        data_centre: SmolStr::new(settings.node.data_centre.as_str()),
        class: settings.limits.class(),
        next_ms,
        is_ready: node.readiness().is_ok(),
        has_traffic: node.has_own_traffic(),
        config,
        list: list_end(node),
        hears: Vec::new(),
        seeks: false,
        acts_by,
        past: node.store_monitor.told(node.now()),
        store_age_ms: node.store_silent_for().0,
        list_trouble_ms: node.list_failure_age_ms(),
        work: work.iter().map(|(model, work)| WireWorkload::new(model, *work)).collect(),
        seen_percent: (observed_fraction * 100.0) as u8,
        loads: told_loads(node),
        requests: told_requests(node),
        limits: node.told_limits(),
        leaving: node.told_leaving(),
    }
}

fn told_requests(node: &Node) -> Vec<WireQuarantineEntry> {
    let now = node.now();
    let told = node.quarantine.lock().next_to_gossip(MOST_REQUESTS, now);
    told.iter().map(|known| WireQuarantineEntry::new(known, now)).collect()
}

/// The gaps are locked without any other lock: handling of heartbeats locks the list before
/// them.
fn told_loads(node: &Node) -> Vec<WireLoad> {
    let loads = node.loads.own_loads();
    let gaps = node.gaps.lock();
    let told = loads.iter();
    told.map(|(id, load)| WireLoad::new(id, *load, gaps.mean_ms(id).unwrap_or_default())).collect()
}

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
    let mut buf = vec![0; MOST_BYTES];
    let mut none_waited = node.now();
    loop {
        let looked = node.now();
        match socket.try_recv_from(&mut buf) {
            Ok((len, from)) => {
                let Ok(datagram) = postcard::from_bytes::<Datagram>(&buf[..len]) else { continue };
                if datagram.version == VERSION
                    && let Some(answer) = take(&node, from, datagram, none_waited)
                {
                    send(&node, &socket, &[from], answer).await;
                }
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                none_waited = looked;
                // Without a datagram, check again after the timeout to advance `none_waited`.
                let _ = tokio::time::timeout(LOOK_FOR_WAITING, socket.readable()).await;
            }
            // The operating system reports here that a datagram sent earlier was refused.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Handles a datagram that arrived after `since`. Returns the reply, if there is one.
fn take(node: &Node, from: SocketAddr, datagram: Datagram, since: Millis) -> Option<Message> {
    match datagram.message {
        Message::Heartbeat(heartbeat) => {
            return take_pulse(node, from, datagram.from, *heartbeat, since);
        }
        Message::Digest(digest) => take_digest(node, from, datagram.from, *digest, since),
        Message::News(news) => {
            if !store_sync::apply_list_news(node, &news, since) {
                node.list_gap_seen.notify_one();
            }
        }
        Message::Verdict { instance, reach, ask } => {
            take_verdict(node, from, &datagram.from, (instance, reach.into()), ask);
        }
    }
    None
}

fn take_pulse(
    node: &Node,
    from: SocketAddr,
    name: SmolStr,
    said: Heartbeat,
    since: Millis,
) -> Option<Message> {
    let now = node.now();
    take_statement(node, &said, since);
    hear_of_lease(node, said.acts_by);
    take_gaps(node, &said.loads);
    let seeks = said.seeks.then(|| said.data_centre.clone());
    let settings = node.settings();
    let own = settings.own();
    let is_news = node.peers.lock().on_heartbeat(own.address, from, name, said, now);
    pass_on(node, is_news);
    sum_loads(node, true);
    // The reply holds this node's own state as well: its heartbeat is built without holding the
    // lock of the peers.
    let data_centre = seeks?;
    let own_pulse = heartbeat(node, PULSE_MOST.0 as u16);
    let mut peers = node.peers.lock();
    Some(peers.answer(&own, &own_pulse, &data_centre, now))
}

fn take_digest(node: &Node, from: SocketAddr, name: SmolStr, digest: Digest, since: Millis) {
    take_statement(node, &digest.own, since);
    take_gaps(node, &digest.loads);
    let settings = node.settings();
    let own = settings.own();
    let of_others = digest.acts_by.iter().filter(|(address, _)| *address != own.address);
    hear_of_lease(node, of_others.map(|(_, fence)| *fence).max());
    let is_of_some = digest.scope == Scope::DataCentre;
    let is_news = node.peers.lock().on_digest(&own, from, name, digest, node.now());
    pass_on(node, is_news);
    sum_loads(node, is_of_some);
}

/// Handles the parts of a heartbeat that do not concern membership, from a datagram that arrived
/// after `since`: era, configuration, list position, departures, rate limits and quarantine.
fn take_statement(node: &Node, said: &Heartbeat, since: Millis) {
    let now = node.now();
    if let Some((era, age)) = said.past {
        node.hear_of_past(era, now - Millis(age));
    }
    if let Some((version, age)) = said.config
        && node.confirm_config(version, since - Millis(age) - ON_THE_WAY)
    {
        node.catch_up_wanted.notify_one();
    }
    if let Some((next, age)) = said.list {
        confirm_list(node, next, since - Millis(age) - ON_THE_WAY);
    }
    node.hear_of_leaving(&said.leaving);
    node.hear_of_limits(&said.limits, since - ON_THE_WAY);
    if !said.requests.is_empty() {
        let told: Vec<QuarantineRecord> =
            said.requests.iter().map(|told| told.known(now)).collect();
        node.hear_of_requests(&told);
    }
}

/// Makes a relay send its digests at once if they contain a change that other nodes wait for.
fn pass_on(node: &Node, is_news: bool) {
    let settings = node.settings();
    if is_news && node.peers.lock().is_relay(&settings.own(), node.now()) {
        node.heartbeat_wanted.notify_one();
    }
}

/// Recomputes the sum of the peers' loads; if the datagram is one of many that the sum is made
/// of (`is_of_many`), no more often than [`LOADS_SUMMED`] times per heartbeat interval.
fn sum_loads(node: &Node, is_of_many: bool) {
    let now = node.now();
    let peers = node.peers.lock();
    let every = Millis(pulse_every(peers.addresses().len()).0 / LOADS_SUMMED);
    if !is_of_many || node.loads.are_peer_loads_stale(now, every) {
        let others = peers.loads(now);
        drop(peers);
        node.loads.set_peer_loads(others, now);
    }
}

/// Notes a peer's fencing token. If it is higher than this node's, the partitions of the lease
/// have been redistributed, and this node renews its lease at once.
fn hear_of_lease(node: &Node, acts_by: Option<Fence>) {
    let mut lease = node.lease.lock();
    lease.heard = lease.heard.max(acts_by.unwrap_or_default());
    if lease.heard > lease.fence && lease.acts_by().is_some() {
        node.lease_wanted.notify_one();
    }
}

/// Longest time for which a datagram may have been in transit, added to the ages in it.
const ON_THE_WAY: Millis = Millis(200);

fn take_gaps(node: &Node, loads: &[WireLoad]) {
    if loads.is_empty() {
        return;
    }
    let list = node.list.lock();
    let mut gaps = node.gaps.lock();
    for told in loads {
        if let (Some(id), Some(gap)) = (list.by_instance_hash.get(&told.instance), told.gap_ms()) {
            gaps.on_peer(id, gap);
        }
    }
}

fn take_verdict(
    node: &Node,
    from: SocketAddr,
    peer: &str,
    (instance, reach): (u32, ProbeResult),
    ask: Ask,
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
        Ask::Witnesses if is_witness => Some(ProbeTask::AnswerOthers),
        Ask::All => Some(ProbeTask::AnswerOne(from)),
        Ask::Nobody | Ask::Witnesses => None,
    };
    if let Some(task) = task.filter(|_| node.is_probe_due(id)) {
        node.probe(id, &instance.address, task);
    }
    node.suspicions_changed();
}

/// Fetches from peers what the store does not deliver in time, until the node ends.
pub async fn catch_up(node: Arc<Node>) {
    tokio::join!(catch_up_config(Arc::clone(&node)), catch_up_list(node));
}

async fn catch_up_config(node: Arc<Node>) {
    let mut newer_since = None;
    let mut received = 0;
    let mut received_at = Millis::ZERO;
    loop {
        tokio::select! {
            () = tokio::time::sleep(CATCH_UP_EVERY) => {}
            () = node.catch_up_wanted.notified() => {}
        }
        let newer = peer_with_newer_config(&node);
        let now = node.now();
        if node.config_store.received() > received {
            received = node.config_store.received();
            received_at = now;
        }
        newer_since = newer.and(newer_since.or(Some(now)));
        let waited = newer_since.map_or(Millis::ZERO, |since| now.since(since));
        // Data that is already arriving from the store would load this node's link and a
        // peer's a second time: without this check 28 of 61 nodes received 820 KB twice.
        let is_coming = now.since(received_at) < STORE_FIRST && waited < STORE_MOST;
        let has_waited = waited >= STORE_FIRST && !is_coming;
        if let Some(peer) = newer.filter(|_| has_waited) {
            fetch_config(&node, peer).await;
        }
    }
}

/// Fetches list records that this node has missed.
async fn catch_up_list(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CATCH_UP_EVERY) => {}
            () = node.list_gap_seen.notified() => {}
        }
        look_for_gap(&node);
        let Some(left) = node.list.lock().gap.time_until_fetch(node.now()) else { continue };
        let spread = Millis(rand::random_range(0..=FETCH_SPREAD.0));
        tokio::time::sleep((left + spread).to_duration()).await;
        let is_missing = node.list.lock().gap.time_until_fetch(node.now()).is_some();
        if let Some(peer) = fetch_source(&node).filter(|_| is_missing) {
            fetch_list(&node, peer).await;
            tokio::time::sleep(FETCH_EVERY).await;
        }
    }
}

/// Compares the end of this node's list with the ends that all peers that are heard reported
/// last, in case no new datagram reports them.
fn look_for_gap(node: &Node) {
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
pub fn peer_with_newer_config(node: &Node) -> Option<SocketAddr> {
    let own = node.config_age().map(|(version, _)| version);
    let peers = node.peers.lock();
    let heard = peers.heard(node.now());
    let newer = heard.filter(|(_, peer)| peer.heartbeat.config.map(|(version, _)| version) > own);
    newer.map(|(address, _)| *address).next()
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
        node.list_gap_seen.notify_one();
    }
}

/// HTTP path at which a node serves its configuration to peers.
pub const CONFIG_PATH: &str = "/peer/config";
/// HTTP path at which a node serves its list records to peers, from a given position on.
pub const LIST_PATH: &str = "/peer/list";

async fn fetch_config(node: &Node, peer: SocketAddr) {
    let Some(bytes) = fetch(peer, CONFIG_PATH).await else { return };
    let Ok(serving_config) = config::decode(&bytes) else { return };
    let version = serving_config.version.to_string();
    // The peer's next heartbeat tells how recent it is.
    node.install_config(serving_config, bytes, Millis::ZERO);
    emit(Event::ConfigFromPeer, &[("version", &version), ("peer", &peer.to_string())]);
}

async fn fetch_list(node: &Node, peer: SocketAddr) {
    let from = node.list.lock().next.unwrap_or_default();
    let path = format!("{LIST_PATH}?from={}.{}", from.era, from.offset);
    let sent = node.now();
    let Some(bytes) = fetch(peer, &path).await else { return };
    let Ok(news) = postcard::from_bytes::<ListNews>(&bytes) else { return };
    store_sync::apply_list_news(node, &news, sent);
}

async fn fetch(peer: SocketAddr, path: &str) -> Option<Bytes> {
    let address = peer.to_string();
    let fetched = async {
        let connected = client::connect(&address, PEER_TIME).await.ok()?;
        let req = client::request::<()>(&address, Method::GET, path, None);
        let (res, _driver) = connected.send(req, PEER_TIME).await.ok()?;
        if res.status() != StatusCode::OK {
            return None;
        }
        res.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
    };
    tokio::time::timeout(PEER_TIME, fetched).await.ok().flatten()
}
