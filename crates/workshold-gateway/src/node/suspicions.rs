//! Suspicions of unreachable instances: results of this node's own probes and reports of peers,
//! and which nodes are asked to probe.

use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::suspicion::Loss;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::loads::instance_hash;
use crate::node::Node;
use crate::peers::Peers;
use crate::peers::ProbeAudience;
use crate::routing_table::Target;

/// With fewer nodes than this, all of them probe a suspected instance when one asks.
const FEW_PEERS: usize = 24;
/// With more, this many of each data centre do.
const PROBERS_PER_DATA_CENTRE: usize = 4;
/// Time within which all nodes that were asked have answered; the question is sent twice in it.
const ALL_PEERS_ANSWER_TIME: Millis = Millis(300);
/// Time for which the answers of all nodes hold; then they are asked again.
const ALL_PEERS_ANSWER_VALID_FOR: Millis = Millis(10_000);
/// Many nodes ask at once when an instance falls silent: one probe answers all requests
/// within this time.
const PROBE_REQUEST_MIN_INTERVAL: Millis = Millis(200);

/// A task about an instance that this node or a peer could not reach.
#[derive(Debug, Clone)]
pub struct Probe {
    /// The instance.
    pub id: Identity,
    /// The address that it listens at.
    pub address: SmolStr,
    /// What to do about it.
    pub task: ProbeTask,
}

/// What to do about a suspected instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTask {
    /// Probe it for this node's own use.
    ForSelf,
    /// Probe it because a peer asked, and send the result to all nodes.
    ForAll,
    /// Probe it because the node at this address asked all, and reply if the instance answers.
    ReplyTo(SocketAddr),
    /// Send the result of this node's own probe to all nodes.
    Announce {
        /// The result.
        reach: ProbeResult,
        /// Which nodes are to probe it as well.
        asks: ProbeAudience,
    },
    /// Tell all nodes that the group of which it is the head works.
    ReportGroup,
}

impl Node {
    /// How certain it is that an instance is lost.
    pub fn loss(&self, id: &Identity) -> Loss {
        let peers = self.peers.lock().heard(self.now()).count();
        self.suspicions.lock().loss(id, peers)
    }

    /// Whether a member of a target's group cannot be reached, by this node or by any node.
    pub fn is_suspected(&self, target: &Target) -> bool {
        self.suspected_member(target).is_some()
    }

    /// Whether a newer incarnation has started under a target's instance id.
    pub fn is_superseded(&self, target: &Target) -> bool {
        self.suspicions.lock().is_superseded(&target.id)
    }

    /// The first member of a target's group that cannot be reached; `None` if all can.
    pub fn suspected_member(&self, target: &Target) -> Option<SmolStr> {
        let suspicions = self.suspicions.lock();
        let is_unreachable = |member: &&Arc<Instance>| suspicions.is_unreachable(&member.identity);
        let suspect = target.members.iter().find(is_unreachable);
        suspect.map(|member| SmolStr::new(member.identity.as_str()))
    }

    /// Records the result of this node's own probe of an instance. A changed result is sent to
    /// the peers, who are asked to probe as well unless a peer has reported the instance before.
    pub fn on_probe_result(&self, id: &Identity, address: &SmolStr, reach: ProbeResult) {
        let is_first = !self.suspicions.lock().is_reported_by_peers(id);
        let is_asking = reach != ProbeResult::Answers && is_first;
        let asks = if is_asking { ProbeAudience::Witnesses } else { ProbeAudience::Nobody };
        if self.record_probe_result(id, reach) {
            self.probe(id, address, ProbeTask::Announce { reach, asks });
        }
    }

    /// Records the result of this node's own probe. Returns whether it differs from the last one.
    pub fn record_probe_result(&self, id: &Identity, reach: ProbeResult) -> bool {
        let now = self.now();
        let was_unreachable = self.suspicions.lock().is_unreachable_from_here(id);
        let is_unreachable = reach != ProbeResult::Answers;
        self.suspicions.lock().on_own_probe(id, reach, now);
        if was_unreachable == is_unreachable {
            return false;
        }
        if reach == ProbeResult::Refused {
            self.note_process_ended(id);
        }
        let event = if is_unreachable { Event::InstanceInDoubt } else { Event::InstanceBack };
        emit(event, &[("instance", id.as_str()), ("reach", &format!("{reach:?}"))]);
        self.notify_suspicions_changed();
        true
    }

    /// Notes that `incarnation` has ended since a newer one has started under its instance id.
    /// Requests that wait for it must not go on waiting.
    pub fn note_superseded(&self, incarnation: &Identity) {
        self.suspicions.lock().on_superseded(incarnation, self.now());
        self.note_process_ended(incarnation);
        let ended = incarnation.incarnation.to_string();
        emit(Event::InstanceBeganAnew, &[("instance", incarnation.as_str()), ("ended", &ended)]);
        self.notify_suspicions_changed();
    }

    /// Queues a task about a suspected instance.
    pub fn probe(&self, id: &Identity, address: &SmolStr, task: ProbeTask) {
        // The receiver lives as long as the node, so that sending fails only while it ends.
        let _ = self.probes.send(Probe { id: id.clone(), address: address.clone(), task });
    }

    /// Whether this node probes an instance on behalf of all nodes when one of them asks: a few of
    /// each data centre do, and every node that holds a partition of the stewards' lease, since it
    /// may have to act on the result.
    pub fn is_witness(&self, id: &Identity) -> bool {
        let holds_lease = self.lease.lock().active_fence().is_some();
        let settings = self.settings();
        let now = self.now();
        let peers = self.peers.lock();
        has_few_peers(&peers, now)
            || holds_lease
            || peers.is_witness(&settings.own(), instance_hash(id), PROBERS_PER_DATA_CENTRE, now)
    }

    /// Whether all nodes were asked to probe an instance and have had the time to answer. The
    /// first call sends the question. With few nodes all of them are asked at once anyway.
    pub fn have_all_peers_probed(&self, id: &Identity, address: &SmolStr) -> bool {
        let now = self.now();
        if has_few_peers(&self.peers.lock(), now) {
            return true;
        }
        let mut all_peers_asked = self.all_peers_asked.lock();
        all_peers_asked.retain(|_, at| now.since(*at) < ALL_PEERS_ANSWER_VALID_FOR);
        let at = all_peers_asked.get(id).copied();
        if at.is_none() {
            all_peers_asked.insert(id.clone(), now);
            let task = ProbeTask::Announce { reach: ProbeResult::Silent, asks: ProbeAudience::All };
            self.probe(id, address, task);
        }
        at.is_some_and(|at| now.since(at) >= ALL_PEERS_ANSWER_TIME)
    }

    /// Whether this node and all others were asked at `since` or later to probe an instance, have had
    /// the time to answer, and none of them reached it. The first call sends the question.
    pub fn is_unreached_since(&self, id: &Identity, address: &SmolStr, since: Millis) -> bool {
        let now = self.now();
        let failed_here_at = self.suspicions.lock().failed_here_at(id);
        let mut all_peers_asked = self.all_peers_asked.lock();
        let asked_at = all_peers_asked.get(id).copied().filter(|at| *at >= since);
        // Its own probe may have been void.
        let is_answered = |at: &Millis| {
            now.since(*at) < ALL_PEERS_ANSWER_TIME
                || failed_here_at.is_some_and(|failed| failed >= *at)
        };
        let Some(asked_at) = asked_at.filter(is_answered) else {
            all_peers_asked.insert(id.clone(), now);
            drop(all_peers_asked);
            let asks = ProbeAudience::All;
            self.probe(id, address, ProbeTask::Announce { reach: ProbeResult::Silent, asks });
            self.probe(id, address, ProbeTask::ForSelf);
            return false;
        };
        drop(all_peers_asked);
        let is_reached = self.suspicions.lock().is_reached_by_peers(id);
        now.since(asked_at) >= ALL_PEERS_ANSWER_TIME && !is_reached
    }

    /// Whether an instance has to be probed because a peer asks: not if it was probed for a peer
    /// within [`PROBE_REQUEST_MIN_INTERVAL`].
    pub fn is_probe_due(&self, id: &Identity) -> bool {
        let now = self.now();
        let mut probe_requests = self.probe_requests.lock();
        probe_requests.retain(|_, at| now.since(*at) < PROBE_REQUEST_MIN_INTERVAL);
        if probe_requests.contains_key(id) {
            return false;
        }
        probe_requests.insert(id.clone(), now);
        true
    }

    /// Wakes the requests that wait on a suspected instance, and the steward.
    pub fn notify_suspicions_changed(&self) {
        self.suspicion_changed.send_modify(|version| *version += 1);
        self.planning_wanted.notify_one();
    }
}

/// Whether there are so few nodes that all of them probe a suspected instance.
fn has_few_peers(peers: &Peers, now: Millis) -> bool {
    peers.heard(now).count() < FEW_PEERS
}
