//! Who cannot be reached: what this node's own tries and others' words show, and who is asked.

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
use crate::peers::Ask;
use crate::peers::Peers;
use crate::routing_table::Target;

/// A look at a group's members serves all its streams for this long.
const LOOK_GOOD_FOR: Millis = Millis(250);
/// With fewer nodes than this all of them try a silent instance when one asks.
const FEW_NODES: usize = 24;
/// Beyond that, so many of each data centre do.
const WITNESSES: usize = 4;
/// All who were asked have answered by then, and had the question twice.
const ALL_ANSWER: Millis = Millis(300);
/// What all answered holds for so long; then they are asked again.
const ASKED_FOR: Millis = Millis(10_000);
/// Many nodes ask at once when an instance falls silent: one try answers all who ask
/// within this.
const ASKED_AGAIN: Millis = Millis(200);

/// An instance that somebody could not reach.
#[derive(Debug, Clone)]
pub struct Probe {
    /// Which.
    pub id: Identity,
    /// Where it listens.
    pub address: SmolStr,
    /// What is to be done about it.
    pub task: ProbeTask,
}

/// What is to be done about an instance in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTask {
    /// To try it, for this node's own sake.
    Look,
    /// To try it because another node asked, and to tell all what it showed.
    AnswerOthers,
    /// To try it because this node asked all, and to tell it if the instance answers.
    AnswerOne(SocketAddr),
    /// To tell the others what this node's own try showed.
    Tell {
        /// What it showed.
        reach: ProbeResult,
        /// Who is to try as well.
        asks: Ask,
    },
}

impl Node {
    /// How sure it is that an instance is lost.
    pub fn loss(&self, id: &Identity) -> Loss {
        let peers = self.peers.lock().heard(self.now()).count();
        self.suspicions.lock().loss(id, peers)
    }

    /// Whether a member of a target's group cannot be reached from here, or by
    /// anybody.
    pub fn is_suspected(&self, target: &Target) -> bool {
        self.suspected_member(target).is_some()
    }

    /// Whether another life has begun at a target's id.
    pub fn is_superseded(&self, target: &Target) -> bool {
        self.suspicions.lock().is_superseded(&target.id)
    }

    /// The first member of a target's group that cannot be reached.
    pub fn suspected_member(&self, target: &Target) -> Option<SmolStr> {
        let suspicions = self.suspicions.lock();
        let is_out = |member: &&Arc<Instance>| suspicions.is_unreachable(&member.identity);
        let doubted = target.members.iter().find(is_out);
        doubted.map(|member| SmolStr::new(member.identity.as_str()))
    }

    /// What this node's own try to reach an instance showed; tells the others, and asks
    /// them unless another one has.
    pub fn on_probe_result(&self, id: &Identity, address: &SmolStr, reach: ProbeResult) {
        let is_first = !self.suspicions.lock().is_reported_by_peers(id);
        let is_asking = reach != ProbeResult::Answers && is_first;
        let asks = if is_asking { Ask::Witnesses } else { Ask::Nobody };
        if self.record_probe_result(id, reach) {
            self.probe(id, address, ProbeTask::Tell { reach, asks });
        }
    }

    /// Notes what this node's own try showed; whether that is news.
    pub fn record_probe_result(&self, id: &Identity, reach: ProbeResult) -> bool {
        let now = self.now();
        let was = self.suspicions.lock().is_unreachable_from_here(id);
        let is = reach != ProbeResult::Answers;
        self.suspicions.lock().on_own_probe(id, reach, now);
        if was == is {
            return false;
        }
        if reach == ProbeResult::Refused {
            self.note_ended(id);
        }
        let event = if is { Event::InstanceInDoubt } else { Event::InstanceBack };
        emit(event, &[("instance", id.as_str()), ("reach", &format!("{reach:?}"))]);
        self.suspicions_changed();
        true
    }

    /// Another life has begun at an instance's id: whoever waits for this one waits in vain.
    pub fn note_superseded(&self, life: &Identity) {
        self.suspicions.lock().on_superseded(life, self.now());
        self.note_ended(life);
        let began = life.incarnation.to_string();
        emit(Event::InstanceBeganAnew, &[("instance", life.as_str()), ("ended", &began)]);
        self.suspicions_changed();
    }

    /// Has something done about an instance in doubt.
    pub fn probe(&self, id: &Identity, address: &SmolStr, task: ProbeTask) {
        // The one who takes probes lives as long as the node.
        let _ = self.probes.send(Probe { id: id.clone(), address: address.clone(), task });
    }

    /// Whether this node tries an instance for all nodes when one of them asks: a few of
    /// each data centre do, and whoever may have to act on it.
    pub fn is_witness(&self, id: &Identity) -> bool {
        let acts = self.lease.lock().acts_by().is_some();
        let settings = self.settings();
        let now = self.now();
        let peers = self.peers.lock();
        are_few(&peers, now)
            || acts
            || peers.is_witness(&settings.own(), instance_hash(id), WITNESSES, now)
    }

    /// Whether all nodes were asked whether they reach an instance, and have had the time to
    /// answer; the first question has that begun. Few nodes are all asked from the start.
    pub fn have_all_peers_probed(&self, id: &Identity, address: &SmolStr) -> bool {
        let now = self.now();
        if are_few(&self.peers.lock(), now) {
            return true;
        }
        let mut all_peers_asked = self.all_peers_asked.lock();
        all_peers_asked.retain(|_, at| now.since(*at) < ASKED_FOR);
        let at = all_peers_asked.get(id).copied();
        if at.is_none() {
            all_peers_asked.insert(id.clone(), now);
            let task = ProbeTask::Tell { reach: ProbeResult::Silent, asks: Ask::All };
            self.probe(id, address, task);
        }
        at.is_some_and(|at| now.since(at) >= ALL_ANSWER)
    }

    /// Whether an instance is to be tried because another node asks: not if it was
    /// just now, for the same reason.
    pub fn is_probe_due(&self, id: &Identity) -> bool {
        let now = self.now();
        let mut asked = self.asked.lock();
        asked.retain(|_, at| now.since(*at) < ASKED_AGAIN);
        if asked.contains_key(id) {
            return false;
        }
        asked.insert(id.clone(), now);
        true
    }

    /// Whether a target's members were all tried just now.
    pub fn was_probed_recently(&self, id: &Identity) -> bool {
        let now = self.now();
        self.looks.lock().get(id).is_some_and(|at| now.since(*at) < LOOK_GOOD_FOR)
    }

    /// A target's members were all tried.
    pub fn note_group_probe(&self, id: &Identity) {
        let now = self.now();
        let mut looks = self.looks.lock();
        looks.retain(|_, at| now.since(*at) < LOOK_GOOD_FOR);
        looks.insert(id.clone(), now);
    }

    /// Wakes whoever waits on an instance that may be lost.
    pub fn suspicions_changed(&self) {
        self.suspicion_changed.send_modify(|version| *version += 1);
        self.steward_wanted.notify_one();
    }
}

/// Whether there are so few nodes that all of them try a silent instance.
fn are_few(peers: &Peers, now: Millis) -> bool {
    peers.heard(now).count() < FEW_NODES
}
