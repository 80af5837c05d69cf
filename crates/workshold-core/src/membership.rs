//! The nodes of the cluster, and what follows from them: the addresses for callers,
//! and which node probes an instance or is the steward of a fabric domain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::NodeId;
use workshold_protocol::peer::NodeStatus;

use crate::rendezvous;

/// When nodes count as live or isolated, and how many probe and are polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipRules {
    /// A node that has not answered for this long is not live: it is assigned no work
    /// and its address is not given out.
    pub peer_ttl: Millis,
    /// Number of nodes in a data centre that probe each instance.
    pub probers: usize,
    /// Number of nodes that are polled in each other data centre.
    pub remote_polls: usize,
    /// A node cut off from the log and from all peers for longer than this is isolated
    /// and stops serving.
    pub isolation_after: Millis,
}

/// The status that another node last reported of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// The status.
    pub status: NodeStatus,
    /// When the poll that it answered was sent, by this node's clock.
    pub asked: Millis,
}

/// This node, the nodes that are expected to exist, and the peers that have answered.
#[derive(Debug, Clone)]
pub struct ClusterMembership {
    me: NodeId,
    data_centre: DataCentre,
    peers: BTreeMap<NodeId, Peer>,
    expected: BTreeSet<NodeId>,
}

/// An address that callers can connect to, and its weight among all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryAddress {
    /// Where to connect, as `ip:port`.
    pub address: String,
    /// Relative weight: the part of the calls that it should get.
    pub weight: u32,
    /// The data centre of that node.
    pub data_centre: DataCentre,
}

impl ClusterMembership {
    /// The view of a node that knows no other node yet.
    pub fn new(me: NodeId, data_centre: DataCentre) -> Self {
        Self { me, data_centre, peers: BTreeMap::new(), expected: BTreeSet::new() }
    }

    /// Sets the expected nodes: those that the platform lists or the settings name.
    /// This node is left out.
    pub fn expect(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.expected = nodes.into_iter().filter(|node| node != &self.me).collect();
    }

    /// Records a node's status, received from it or through another node; an older one
    /// than the known is ignored.
    pub fn on_answer(&mut self, node: &NodeId, status: NodeStatus, asked: Millis) {
        let is_newer = self.peers.get(node).is_none_or(|peer| peer.asked < asked);
        if node != &self.me && is_newer {
            self.peers.insert(node.clone(), Peer { status, asked });
        }
    }

    /// The nodes out of `known` to poll next: all of this data centre, and
    /// `remote_polls` of each other one. Rendezvous hashing gives different nodes
    /// different targets there.
    pub fn poll_targets<'a>(
        &self,
        known: impl Iterator<Item = (&'a NodeId, &'a DataCentre)>,
        rules: &MembershipRules,
    ) -> Vec<&'a NodeId> {
        let mut by_data_centre: BTreeMap<&DataCentre, Vec<&NodeId>> = BTreeMap::new();
        for (node, data_centre) in known.filter(|(node, _)| **node != self.me) {
            by_data_centre.entry(data_centre).or_default().push(node);
        }
        let mut chosen = Vec::new();
        for (data_centre, nodes) in by_data_centre {
            let count =
                if data_centre == &self.data_centre { nodes.len() } else { rules.remote_polls };
            let key = self.me.as_str().as_bytes();
            let ranked =
                rendezvous::ranked(key, nodes.into_iter(), |node| node.as_str().as_bytes());
            chosen.extend(ranked.into_iter().take(count));
        }
        chosen
    }

    /// Drops nodes that are not expected and have not answered for ten times `peer_ttl`.
    pub fn forget_gone(&mut self, now: Millis, rules: &MembershipRules) {
        let limit = Millis(rules.peer_ttl.0 * 10);
        let expected = &self.expected;
        self.peers.retain(|node, peer| expected.contains(node) || now.since(peer.asked) < limit);
    }

    /// All known peers, live or not.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeId, &Peer)> {
        self.peers.iter()
    }

    /// The peers that answered a poll sent less than `peer_ttl` ago.
    pub fn live(
        &self,
        now: Millis,
        rules: &MembershipRules,
    ) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let ttl = rules.peer_ttl;
        self.peers.iter().filter(move |(_, peer)| now.since(peer.asked) < ttl)
    }

    /// Number of nodes over which a team's rate limit is split: this one and all that
    /// are expected or live.
    pub fn count(&self, now: Millis, rules: &MembershipRules) -> usize {
        let mut nodes = self.expected.clone();
        nodes.extend(self.live(now, rules).map(|(node, _)| node.clone()));
        nodes.len() + 1
    }

    /// Whether the work that `key` identifies falls to this node in its data centre.
    pub fn is_responsible_for(&self, key: &[u8], now: Millis, rules: &MembershipRules) -> bool {
        self.rank(key, now, rules) == Some(0)
    }

    /// Whether this node is one of the nodes that probe `instance`.
    pub fn is_prober_of(
        &self,
        instance: &InstanceId,
        now: Millis,
        rules: &MembershipRules,
    ) -> bool {
        let rank = self.rank(instance.as_str().as_bytes(), now, rules);
        rank.is_some_and(|rank| rank < rules.probers)
    }

    /// Whether this node is the steward of `domain`.
    pub fn is_steward_for(
        &self,
        domain: &FabricDomain,
        now: Millis,
        rules: &MembershipRules,
    ) -> bool {
        self.is_responsible_for(domain.as_str().as_bytes(), now, rules)
    }

    /// Whether this node has heard from neither the log nor a peer for too long to know
    /// which bundle is in force.
    ///
    /// `last_log_answer_at` is when the log last answered. A node with no expected peers is a
    /// cluster of one by design: it relies on the log only and is never isolated.
    pub fn is_isolated(
        &self,
        last_log_answer_at: Millis,
        now: Millis,
        rules: &MembershipRules,
    ) -> bool {
        if self.expected.is_empty() {
            return false;
        }
        let last = self.peers.values().map(|peer| peer.asked).max().unwrap_or_default();
        now.since(last_log_answer_at.max(last)) > rules.isolation_after
    }

    /// The addresses for callers: live nodes that are ready and not leaving. Nodes with
    /// fewer requests in flight get higher weights. `own` is this node's address with
    /// its requests in flight, if it serves.
    pub fn entries(
        &self,
        own: Option<(EntryAddress, u32)>,
        now: Millis,
        rules: &MembershipRules,
    ) -> Vec<EntryAddress> {
        let serving =
            self.live(now, rules).filter(|(_, peer)| peer.status.ready && !peer.status.leaving);
        let peers = serving.map(|(_, peer)| {
            let (address, data_centre) =
                (peer.status.callers.clone(), peer.status.data_centre.clone());
            (EntryAddress { address, weight: 0, data_centre }, peer.status.in_flight)
        });
        let mut all: Vec<_> = own.into_iter().chain(peers).collect();
        all.sort_by(|a, b| a.0.address.cmp(&b.0.address));
        let mean =
            all.iter().map(|(_, load)| f64::from(*load)).sum::<f64>() / all.len().max(1) as f64;
        let with_weight = |(entry, load): (EntryAddress, u32)| EntryAddress {
            weight: entry_weight(load, mean),
            ..entry
        };
        all.into_iter().map(with_weight).collect()
    }

    /// This node's rank for `key` among the live nodes of its data centre that stay.
    fn rank(&self, key: &[u8], now: Millis, rules: &MembershipRules) -> Option<usize> {
        let peers = self.live(now, rules);
        let local_peers = peers.filter(|(_, peer)| {
            peer.status.data_centre == self.data_centre && !peer.status.leaving
        });
        let nodes = local_peers.map(|(node, _)| node).chain([&self.me]);
        let ranked = rendezvous::ranked(key, nodes, |node| node.as_str().as_bytes());
        ranked.iter().position(|node| *node == &self.me)
    }
}

/// The weight of a node with the mean load.
const MEAN_WEIGHT: f64 = 100.0;

/// The weight is inversely proportional to the load, clamped to half and twice the mean
/// weight: it changes gently and never reaches zero.
fn entry_weight(load: u32, mean: f64) -> u32 {
    let relative_load = (f64::from(load) + 1.0) / (mean + 1.0);
    (MEAN_WEIGHT / relative_load.clamp(0.5, 2.0)).round() as u32
}
