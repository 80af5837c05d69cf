//! Who the other nodes are, and what follows: addresses, probers, stewards.

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

/// How other nodes are judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipRules {
    /// A node that has not answered for this long does no work for others.
    pub peer_ttl: Millis,
    /// Nodes of a data centre that probe each instance.
    pub probers: usize,
    /// Nodes that are asked in each other data centre.
    pub remote_polls: usize,
    /// Cut off from the log and from all peers for this long, a node steps out.
    pub isolation_after: Millis,
}

/// What a node said of itself when it last answered.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// What it said.
    pub status: NodeStatus,
    /// When the question was sent that it answered, by this node's clock.
    pub asked: Millis,
}

/// This node and those it has heard of.
#[derive(Debug, Clone)]
pub struct ClusterMembership {
    me: NodeId,
    data_centre: DataCentre,
    peers: BTreeMap<NodeId, Peer>,
    expected: BTreeSet<NodeId>,
}

/// An address for callers and its weight against the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryAddress {
    /// Where to connect, as `ip:port`.
    pub address: String,
    /// Share of the calls it should get, against the others' weights.
    pub weight: u32,
    /// Its data centre.
    pub data_centre: DataCentre,
}

impl ClusterMembership {
    /// A node that knows nobody yet.
    pub fn new(me: NodeId, data_centre: DataCentre) -> Self {
        Self { me, data_centre, peers: BTreeMap::new(), expected: BTreeSet::new() }
    }

    /// The nodes that the platform lists or the settings name, this one left out.
    pub fn expect(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.expected = nodes.into_iter().filter(|node| node != &self.me).collect();
    }

    /// Takes a node's answer, its own or one passed on; the newest counts.
    pub fn on_answer(&mut self, node: &NodeId, status: NodeStatus, asked: Millis) {
        let is_news = self.peers.get(node).is_none_or(|peer| peer.asked < asked);
        if node != &self.me && is_news {
            self.peers.insert(node.clone(), Peer { status, asked });
        }
    }

    /// The nodes to ask next out of `known` ones: all of this data centre, and
    /// of every other as many as are asked there, different ones for each asker.
    pub fn poll_targets<'a>(
        &self,
        known: impl Iterator<Item = (&'a NodeId, &'a DataCentre)>,
        rules: &MembershipRules,
    ) -> Vec<&'a NodeId> {
        let mut by_place: BTreeMap<&DataCentre, Vec<&NodeId>> = BTreeMap::new();
        for (node, place) in known.filter(|(node, _)| **node != self.me) {
            by_place.entry(place).or_default().push(node);
        }
        let mut chosen = Vec::new();
        for (place, nodes) in by_place {
            let count = if place == &self.data_centre { nodes.len() } else { rules.remote_polls };
            let key = self.me.as_str().as_bytes();
            let ranked =
                rendezvous::ranked(key, nodes.into_iter(), |node| node.as_str().as_bytes());
            chosen.extend(ranked.into_iter().take(count));
        }
        chosen
    }

    /// Forgets nodes that are neither expected nor heard for ten times the limit.
    pub fn forget_gone(&mut self, now: Millis, rules: &MembershipRules) {
        let limit = Millis(rules.peer_ttl.0 * 10);
        let expected = &self.expected;
        self.peers.retain(|node, peer| expected.contains(node) || now.since(peer.asked) < limit);
    }

    /// All nodes that ever answered, with what they said.
    pub fn peers(&self) -> impl Iterator<Item = (&NodeId, &Peer)> {
        self.peers.iter()
    }

    /// The nodes that answered of late.
    pub fn live(
        &self,
        now: Millis,
        rules: &MembershipRules,
    ) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let ttl = rules.peer_ttl;
        self.peers.iter().filter(move |(_, peer)| now.since(peer.asked) < ttl)
    }

    /// How many nodes share a team's allowance: all that are listed or live.
    pub fn count(&self, now: Millis, rules: &MembershipRules) -> usize {
        let mut nodes = self.expected.clone();
        nodes.extend(self.live(now, rules).map(|(node, _)| node.clone()));
        nodes.len() + 1
    }

    /// Whether this node does the work that `key` names for its data centre.
    pub fn is_mine(&self, key: &[u8], now: Millis, rules: &MembershipRules) -> bool {
        self.rank(key, now, rules) == Some(0)
    }

    /// Whether this node is a prober of `instance`.
    pub fn is_prober_of(
        &self,
        instance: &InstanceId,
        now: Millis,
        rules: &MembershipRules,
    ) -> bool {
        let rank = self.rank(instance.as_str().as_bytes(), now, rules);
        rank.is_some_and(|rank| rank < rules.probers)
    }

    /// Whether this node plans for `domain`.
    pub fn is_steward_for(
        &self,
        domain: &FabricDomain,
        now: Millis,
        rules: &MembershipRules,
    ) -> bool {
        self.is_mine(domain.as_str().as_bytes(), now, rules)
    }

    /// Whether nobody can have told this node what is in force.
    ///
    /// `log_heard` is when the log last answered. A node that never had a peer
    /// to expect is alone by design and goes by the log only.
    pub fn is_isolated(&self, log_heard: Millis, now: Millis, rules: &MembershipRules) -> bool {
        if self.expected.is_empty() {
            return false;
        }
        let last = self.peers.values().map(|peer| peer.asked).max().unwrap_or_default();
        now.since(log_heard.max(last)) > rules.isolation_after
    }

    /// The addresses for callers: live nodes that are ready and staying, those
    /// with less under way first in weight. `own` is this node's, if it serves.
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
        let weigh = |(entry, load): (EntryAddress, u32)| EntryAddress {
            weight: entry_weight(load, mean),
            ..entry
        };
        all.into_iter().map(weigh).collect()
    }

    /// This node's place among the live nodes of its data centre for `key`.
    fn rank(&self, key: &[u8], now: Millis, rules: &MembershipRules) -> Option<usize> {
        let peers = self.live(now, rules);
        let near = peers.filter(|(_, peer)| {
            peer.status.data_centre == self.data_centre && !peer.status.leaving
        });
        let nodes = near.map(|(node, _)| node).chain([&self.me]);
        let ranked = rendezvous::ranked(key, nodes, |node| node.as_str().as_bytes());
        ranked.iter().position(|node| *node == &self.me)
    }
}

/// The weight of a node with the mean load.
const MEAN_WEIGHT: f64 = 100.0;

/// Weights move gently: half a weight at several times the mean, never to zero.
fn entry_weight(load: u32, mean: f64) -> u32 {
    let excess = (f64::from(load) + 1.0) / (mean + 1.0);
    (MEAN_WEIGHT / excess.clamp(0.5, 2.0)).round() as u32
}
