//! Connections from this node to instances: over its own network path, or through a peer if that
//! path is lost.
//!
//! A failed connection shows nothing of the instance while a peer can still open one. So a peer is
//! asked before the failure counts, and the peer then forwards the connection. Everything else about
//! a request, such as its permit, its attempts and its deadline, stays with this node.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::Either;
use futures_util::future::join_all;
use futures_util::future::select;
use parking_lot::Mutex;
use smol_str::SmolStr;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::lost_paths::LostPaths;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_http::server_stream::ServerStream;
use workshold_http::tunnel::TunnelError;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;
use crate::node::tunnel_peers;
use crate::node::tunnel_peers::TunnelPeer;
use crate::tunnel;

/// A connection to an instance.
#[derive(Debug)]
pub struct InstanceConnection {
    /// The connection, on which nothing was sent.
    pub stream: ServerStream,
    /// Whether a peer forwards it.
    pub is_tunneled: bool,
}

/// Why there is no connection to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection was refused, at this node or at the peer that was asked.
    Refused,
    /// There was no answer in time.
    Silent,
    /// The path from this node is lost, and no peer opens a tunnel now.
    CutOff,
}

impl From<ConnectError> for ProbeResult {
    fn from(err: ConnectError) -> Self {
        match err {
            ConnectError::Refused => Self::Refused,
            ConnectError::Silent | ConnectError::CutOff => Self::Silent,
        }
    }
}

/// How long a connection may take and last.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTimes {
    /// Time to connect over this node's own path.
    pub connect: Millis,
    /// Time after which a tunnel is closed.
    pub lifetime: Millis,
}

/// What this node knows of its network paths to instances.
#[derive(Debug, Default)]
pub struct Paths {
    lost: Mutex<LostPaths<Identity>>,
    /// Peers that opened no tunnel when they were last asked, and when that was.
    unavailable_peers: Mutex<HashMap<SocketAddr, Millis>>,
    /// Since when every peer that was asked has opened no tunnel; `None` if the last one did.
    tunnels_failing_since: Mutex<Option<Millis>>,
}

/// A peer is asked to connect as well after this time without an answer from an instance: several
/// round trips within a region.
const TUNNEL_DELAY: Duration = Duration::from_millis(20);
/// Time within which a peer has to connect to an instance and say so.
const TUNNEL_TIMEOUT: Millis = Millis(45);
/// The same if this node's own path is lost, so that there is no other way: longer than a busy peer
/// pauses.
const ONLY_TUNNEL_TIMEOUT: Millis = Millis(150);
/// Peers that are asked one after the other for one connection.
const TUNNEL_PEERS_MAX: usize = 3;
/// Peers that are asked at once before an instance is suspected: one alone may be cut off as well.
const WITNESSES: usize = 2;
/// Time for which a peer that opened no tunnel is not asked while there are others.
const UNAVAILABLE_FOR: Millis = Millis(1_000);
/// A cut-off node for which no peer has opened a tunnel for this long cannot serve.
const TUNNELS_FAILING_MAX: Millis = Millis(500);
/// Lifetime of a connection that only shows whether an instance answers.
const PROBE_LIFETIME: Millis = Millis(200);

impl Node {
    /// Opens a connection to an instance: over this node's own path unless that is lost, and
    /// through a peer if it fails or is slow.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing was sent.
    pub async fn connect(
        &self,
        id: &Identity,
        address: &str,
        times: ConnectTimes,
    ) -> Result<InstanceConnection, ConnectError> {
        if self.is_path_lost(id) {
            return self.connect_over_lost_path(id, address, times).await;
        }
        let mut direct = pin!(self.connect_direct(id, address, times.connect));
        let own_error = match tokio::time::timeout(TUNNEL_DELAY, &mut direct).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(err)) => Some(err),
            Err(_) => None,
        };
        if !self.is_peer_worth_asking(id) {
            return match own_error {
                Some(err) => Err(err),
                None => direct.await,
            };
        }
        let through_peer = pin!(self.connect_tunneled(id, address, TUNNEL_TIMEOUT, times.lifetime));
        if let Some(own) = own_error {
            return through_peer.await.map_err(|err| more_certain(own, err));
        }
        match select(direct, through_peer).await {
            Either::Left((Ok(first), _)) | Either::Right((Ok(first), _)) => Ok(first),
            Either::Left((Err(own), through_peer)) => {
                through_peer.await.map_err(|err| more_certain(own, err))
            }
            Either::Right((Err(err), direct)) => direct.await.map_err(|own| more_certain(own, err)),
        }
    }

    /// Opens a connection through a peer, or over this node's own path if no peer opens a tunnel.
    async fn connect_over_lost_path(
        &self,
        id: &Identity,
        address: &str,
        times: ConnectTimes,
    ) -> Result<InstanceConnection, ConnectError> {
        match self.connect_tunneled(id, address, ONLY_TUNNEL_TIMEOUT, times.lifetime).await {
            Err(ConnectError::CutOff) => {
                let direct = self.connect_direct(id, address, times.connect).await;
                direct.map_err(|_| ConnectError::CutOff)
            }
            result => result,
        }
    }

    /// Opens a connection over this node's own path.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing was sent.
    pub async fn connect_direct(
        &self,
        id: &Identity,
        address: &str,
        within: Millis,
    ) -> Result<InstanceConnection, ConnectError> {
        let address = address.parse().map_err(|_| ConnectError::Silent)?;
        let dialing = self.dialer.dial(address);
        match tokio::time::timeout(within.to_duration(), dialing).await {
            Ok(Ok(stream)) => {
                self.note_reached(id);
                Ok(InstanceConnection { stream: stream.into(), is_tunneled: false })
            }
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                Err(ConnectError::Refused)
            }
            Ok(Err(_)) | Err(_) => Err(ConnectError::Silent),
        }
    }

    /// Opens a connection through a peer. If that succeeds, this node's own path is lost, since it
    /// was tried before.
    async fn connect_tunneled(
        &self,
        id: &Identity,
        address: &str,
        within: Millis,
        lifetime: Millis,
    ) -> Result<InstanceConnection, ConnectError> {
        for peer in self.choose_tunnel_peers(id, TUNNEL_PEERS_MAX) {
            let err = match self.connect_through(peer, address, within, lifetime).await {
                Ok(stream) => {
                    self.note_reached_by_peer(id);
                    return Ok(InstanceConnection { stream, is_tunneled: true });
                }
                Err(TunnelError::Unavailable(_)) => continue,
                Err(TunnelError::Refused) => ConnectError::Refused,
                Err(TunnelError::Silent) => ConnectError::Silent,
            };
            self.paths.lost.lock().on_unreachable(id);
            return Err(err);
        }
        Err(ConnectError::CutOff)
    }

    /// Opens a connection through one peer, and remembers if that opens none now.
    async fn connect_through(
        &self,
        peer: SocketAddr,
        address: &str,
        within: Millis,
        lifetime: Millis,
    ) -> Result<ServerStream, TunnelError> {
        self.metrics.count(Metric::TunnelsAsked);
        let connecting = tunnel::connect_through(peer, address, lifetime.to_duration());
        let result = tokio::time::timeout(within.to_duration(), connecting).await;
        let result =
            result.unwrap_or_else(|_| Err(TunnelError::Unavailable("it does not answer".into())));
        let now = self.now();
        if matches!(result, Err(TunnelError::Unavailable(_))) {
            self.paths.unavailable_peers.lock().insert(peer, now);
            self.paths.tunnels_failing_since.lock().get_or_insert(now);
        } else {
            self.paths.unavailable_peers.lock().remove(&peer);
            *self.paths.tunnels_failing_since.lock() = None;
        }
        result
    }

    /// Whether peers reach an instance that this node has just tried in vain, or to which its path
    /// is lost; `None` if no peer says. A refusal is reported only if no peer sees silence.
    pub async fn ask_peers(&self, id: &Identity, address: &str) -> Option<ProbeResult> {
        if !self.is_peer_worth_asking(id) {
            return None;
        }
        let peers = self.choose_tunnel_peers(id, WITNESSES);
        let answers = peers.into_iter().map(|peer| async move {
            match self.connect_through(peer, address, TUNNEL_TIMEOUT, PROBE_LIFETIME).await {
                Ok(_) => Some(ProbeResult::Answers),
                Err(TunnelError::Refused) => Some(ProbeResult::Refused),
                Err(TunnelError::Silent) => Some(ProbeResult::Silent),
                Err(TunnelError::Unavailable(_)) => None,
            }
        });
        let answers = join_all(answers).await;
        let has = |result| answers.contains(&Some(result));
        if has(ProbeResult::Answers) {
            self.note_reached_by_peer(id);
            return Some(ProbeResult::Answers);
        }
        let result = [ProbeResult::Silent, ProbeResult::Refused].into_iter().find(|r| has(*r))?;
        self.paths.lost.lock().on_unreachable(id);
        Some(result)
    }

    /// Whether a peer may reach an instance that this node does not: not if peers have tried in
    /// vain, unless those are cut off as well.
    fn is_peer_worth_asking(&self, id: &Identity) -> bool {
        let is_hopeless = self.suspicions.lock().is_unreachable_to_peers(id);
        !is_hopeless || self.is_cut_off()
    }

    /// Peers for a tunnel to an instance. The first one is in the instance's data centre if
    /// possible, since the bytes then cross between data centres no more often than on the direct
    /// path; the others are elsewhere, since all nodes of a data centre may be cut off together.
    fn choose_tunnel_peers(&self, id: &Identity, most: usize) -> Vec<SocketAddr> {
        let now = self.now();
        let own = self.settings().node.data_centre.clone();
        let data_centre = {
            let list = self.list.lock();
            let entry = list.roster.incarnation(id);
            entry.map_or_else(|| own.clone(), |entry| entry.instance.data_centre.clone())
        };
        let unavailable: HashSet<SocketAddr> = {
            let mut unavailable = self.paths.unavailable_peers.lock();
            unavailable.retain(|_, at| now.since(*at) < UNAVAILABLE_FOR);
            unavailable.keys().copied().collect()
        };
        let peers = self.peers.lock();
        let ready = peers.heard(now).filter(|(_, peer)| peer.heartbeat.is_ready);
        let candidates: Vec<TunnelPeer> = ready
            .map(|(address, peer)| TunnelPeer {
                address: *address,
                data_centre: peer.heartbeat.data_centre.clone(),
                is_unavailable: unavailable.contains(address),
            })
            .collect();
        drop(peers);
        tunnel_peers::order(candidates, data_centre.as_str(), own.as_str(), most, &mut rand::rng())
    }

    /// Notes that this node has reached an instance by itself.
    fn note_reached(&self, id: &Identity) {
        self.paths.lost.lock().on_reached(id, self.now());
    }

    /// Notes that a peer has reached an instance that this node has tried in vain. Requests that
    /// wait on connections over the lost path have to go elsewhere.
    fn note_reached_by_peer(&self, id: &Identity) {
        let is_new = self.paths.lost.lock().on_reached_by_peer(id, self.now());
        if !is_new {
            return;
        }
        self.record_probe_result(id, ProbeResult::Answers);
        emit(Event::PathLost, &[("instance", id.as_str())]);
        self.notify_suspicions_changed();
    }

    /// Whether peers reach an instance and this node does not.
    pub fn is_path_lost(&self, id: &Identity) -> bool {
        self.paths.lost.lock().is_lost(id)
    }

    /// Whether a connection to an instance over this node's own path, on which data last came at
    /// `last_data_at`, has been silent since the path was lost.
    pub fn is_silent_since_path_loss(&self, id: &Identity, last_data_at: Millis) -> bool {
        self.paths.lost.lock().lost_since(id).is_some_and(|since| last_data_at <= since)
    }

    /// Whether this node has reached no instance by itself since it lost its path to one.
    pub fn is_cut_off(&self) -> bool {
        self.paths.lost.lock().is_cut_off()
    }

    /// Whether this node reaches no instance, neither by itself nor through a peer.
    pub fn is_isolated(&self) -> bool {
        let failing_since = *self.paths.tunnels_failing_since.lock();
        let now = self.now();
        self.is_cut_off()
            && failing_since.is_some_and(|since| now.since(since) >= TUNNELS_FAILING_MAX)
    }

    /// Number of instances that peers reach and this node does not.
    pub fn lost_paths(&self) -> usize {
        self.paths.lost.lock().len()
    }

    /// The instances to which the lost path is to be tried again now, with their addresses.
    pub fn take_due_paths(&self) -> Vec<(Identity, SmolStr)> {
        let due = self.paths.lost.lock().take_due(self.now());
        let list = self.list.lock();
        let with_address = |id: Identity| {
            let entry = list.roster.incarnation(&id)?;
            Some((id, entry.instance.address.clone()))
        };
        due.into_iter().filter_map(with_address).collect()
    }

    /// Drops the paths to instances that are no longer known.
    pub fn forget_paths(&self, is_known: impl Fn(&Identity) -> bool) {
        self.paths.lost.lock().retain(is_known);
    }
}

/// Why neither this node's own path nor a peer led to an instance. Only a refusal that a peer
/// confirms comes from the instance's host; a node without peers believes its own.
fn more_certain(own: ConnectError, through_peer: ConnectError) -> ConnectError {
    match (own, through_peer) {
        (own, ConnectError::CutOff) => own,
        (ConnectError::Refused, ConnectError::Refused) => ConnectError::Refused,
        _ => ConnectError::Silent,
    }
}
