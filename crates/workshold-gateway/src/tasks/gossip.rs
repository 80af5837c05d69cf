//! Pulses, digests and verdicts between nodes, by datagram; and catching up from a peer.

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

/// How often a node says how it is: the fresher the loads of others, the better is the
/// choice of a group.
const PULSE_LEAST: Millis = Millis(100);
const PULSE_MOST: Millis = Millis(300);
/// It says so less often by this much for each node that there may be, up to that: what a
/// relay takes grows with them.
const PULSE_FOR_EACH: Millis = Millis(16);
/// However much is new, it says so no more often than this.
const PULSE_GAP: Millis = Millis(100);
/// News of the list is passed on no more often than this, several changes at once.
const NEWS_EVERY: Duration = Duration::from_millis(40);
/// So many pieces of long news go out at once, to up to eleven nodes: 150 KB, or a third of
/// what a link of 100 Mbit/s takes in the time between.
const PIECES_AT_ONCE: usize = 2;
/// A peer is asked for its list no more often than this.
const FETCH_EVERY: Duration = Duration::from_millis(200);
/// Nodes that miss the same ask up to this much apart.
const FETCH_SPREAD: Millis = Millis(60);
/// Others' loads are summed up anew so many times between two pulses, however many come.
const LOADS_SUMMED: u64 = 5;
/// Requests that ended whoever ran them, in one pulse: those that were beside the one that
/// ended an instance are told of once and cleared, so that what matters most goes first.
const MOST_REQUESTS: usize = 16;
/// The largest datagram that is read.
const MOST_BYTES: usize = 8 * 1024;
/// How often a node sees that no datagram waits, if none comes: what comes then looks older
/// than it is by up to this, a fraction of what keys are believed for.
const LOOK_FOR_WAITING: Duration = Duration::from_millis(100);
/// How often a node looks whether a peer knows more.
const CATCH_UP_EVERY: Duration = Duration::from_millis(300);
/// A newer configuration is asked of a peer if the store has not given it by then.
const STORE_FIRST: Millis = Millis(500);
/// While the store is giving it, a peer is asked only after this: a reading that is not
/// whole by then may never be.
const STORE_MOST: Millis = Millis(1_500);
/// Time for a peer's answer.
const PEER_TIME: Duration = Duration::from_millis(600);

/// Opens the socket for other nodes.
///
/// # Errors
///
/// What the machine says.
pub async fn open(node: &Node) -> io::Result<UdpSocket> {
    UdpSocket::bind(node.settings().control()).await
}

/// Says how this node is, and what it has put together as a relay, until the node ends.
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

/// Passes on what is new of the list until the node ends, if there are nodes that go by what
/// others read.
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

/// Sends a message to all nodes that may be there.
pub async fn broadcast(node: &Node, socket: &UdpSocket, message: Message) {
    let addresses = node.peers.lock().addresses();
    send(node, socket, &addresses, message).await;
}

/// Sends a message.
pub async fn send(node: &Node, socket: &UdpSocket, to: &[SocketAddr], message: Message) {
    let from = SmolStr::new(&node.settings().node.name);
    let datagram = Datagram { version: VERSION, from, message };
    let bytes = postcard::to_stdvec(&datagram).expect("datagrams have only plain fields");
    for address in to {
        // A datagram that cannot be sent is as good as lost, which happens anyway.
        let _ = socket.send_to(&bytes, address).await;
    }
}

fn heartbeat(node: &Node, next_ms: u16) -> Heartbeat {
    let settings = node.settings();
    let config = node.config_age().map(|(version, age)| (version, age.0));
    let (work, observed_fraction) = node.own_work();
    // No lock may be held while the next part is asked for.
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

/// Nothing else is locked beside the gaps: whoever takes pulses locks the list first.
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

/// Takes datagrams until the node ends.
///
/// When one came is not known, only when nothing waited: a node that stood still, or whose
/// machine slept, reads afterwards what came meanwhile, and the ages in it have grown by
/// up to that. Without this a key that was taken away is believed for as much longer.
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
                // Whoever is not woken by a datagram looks again all the same.
                let _ = tokio::time::timeout(LOOK_FOR_WAITING, socket.readable()).await;
            }
            // The machine reports a refused datagram of ours here.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Takes a datagram that came after `since`; says what is answered, if anything is.
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
    // What this node itself is asked and has at instances comes with its pulses.
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

/// What a node says, in a datagram that came after `since`, of the configuration and the
/// list that it holds.
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

/// A relay passes on at once what others wait for.
fn pass_on(node: &Node, is_news: bool) {
    let settings = node.settings();
    if is_news && node.peers.lock().is_relay(&settings.own(), node.now()) {
        node.heartbeat_wanted.notify_one();
    }
}

/// Sums up others' loads anew; where many parts make up the sum, not for each of them.
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

/// A peer acts by a later number than this node: the parts have been dealt anew.
fn hear_of_lease(node: &Node, acts_by: Option<Fence>) {
    let mut lease = node.lease.lock();
    lease.heard = lease.heard.max(acts_by.unwrap_or_default());
    if lease.heard > lease.fence && lease.acts_by().is_some() {
        node.lease_wanted.notify_one();
    }
}

/// What a datagram may have taken: its age is only known by its sender's word.
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

/// Fetches from peers what the store does not give, or not in time, until the node ends.
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
        // What is on its way from the store would fill this node's link and a peer's a
        // second time: 28 of 61 nodes took 820 KB twice without this.
        let is_coming = now.since(received_at) < STORE_FIRST && waited < STORE_MOST;
        let has_waited = waited >= STORE_FIRST && !is_coming;
        if let Some(peer) = newer.filter(|_| has_waited) {
            fetch_config(&node, peer).await;
        }
    }
}

/// Asks for what this node has missed of the list.
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

/// What all who are heard say of where the list ends, in case none of them said it just now.
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

/// A peer that holds a newer configuration than this node.
pub fn peer_with_newer_config(node: &Node) -> Option<SocketAddr> {
    let own = node.config_age().map(|(version, _)| version);
    let peers = node.peers.lock();
    let heard = peers.heard(node.now());
    let newer = heard.filter(|(_, peer)| peer.heartbeat.config.map(|(version, _)| version) > own);
    newer.map(|(address, _)| *address).next()
}

/// A peer saw that the list ends where this node's does, or farther on.
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

/// Where a peer answers for its configuration and list.
pub const CONFIG_PATH: &str = "/peer/config";
/// The list, from a record on.
pub const LIST_PATH: &str = "/peer/list";

async fn fetch_config(node: &Node, peer: SocketAddr) {
    let Some(bytes) = fetch(peer, CONFIG_PATH).await else { return };
    let Ok(serving_config) = config::decode(&bytes) else { return };
    let version = serving_config.version.to_string();
    // How fresh it is comes with the peer's next pulse.
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
