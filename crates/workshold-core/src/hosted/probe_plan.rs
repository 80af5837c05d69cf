//! Decides when a node probes a group whose head owes it data, and when other evidence suffices.
//!
//! A probe shows that one member accepts connections. An event of any stream shows more: the head
//! and all members of its group have worked on it. So a group is not probed while its head sends
//! events to this node, or while a peer reports such an event or a probe that all members have
//! answered. The report says nothing about the path from this node to the head, which is therefore
//! probed all the same, but less and less often while it answers.
//!
//! Evidence counts for [`PROBE_INTERVAL`], the interval at which a node without any probes the
//! group. A node that waits thus knows of a loss within that interval, whether it probes or not.
//! If several nodes wait, each probes a little before the evidence expires, at a moment that
//! depends on its place in the group's order of nodes. The first one tells the others, so that few
//! of them probe. No evidence counts while a member is suspected.

use std::collections::HashMap;
use std::hash::Hash;

use workshold_protocol::Millis;

/// How long evidence counts, and the interval between two probes of a group that a node waits for.
pub const PROBE_INTERVAL: Millis = Millis(250);
/// Longest interval between two probes of the path to a head whose group others have proven.
const PATH_INTERVAL_MAX: Millis = Millis(1_000);
/// Longest time that a peer's report is in transit; its evidence is taken to be this old.
const TRANSIT_TIME_MAX: Millis = Millis(30);
/// Age of the last evidence that all nodes know at which the first and the last node in a group's
/// order report an event: before any of them probes.
const REPORT_AGES: (Millis, Millis) = (Millis(120), Millis(180));
/// Age of the evidence at which the first and the last of several waiting nodes probe.
const PROBE_AGES: (Millis, Millis) = (Millis(180), PROBE_INTERVAL);
/// How long a group that no node waits for is remembered.
const FORGET_AFTER: Millis = Millis::from_secs(10);

/// Which instances of a group are probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Only the head, to check the path to it.
    Head,
    /// All members, the head included.
    Group,
}

/// The place of a node in a group's order of nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of nodes before it.
    pub rank: usize,
    /// Number of all nodes.
    pub nodes: usize,
}

impl Place {
    /// A moment between `from`, for the first node, and `to`, for the last one. The moments grow
    /// with the logarithm of the rank: whichever part of the nodes takes part, the two first of
    /// them are as far apart.
    fn spread(self, (from, to): (Millis, Millis)) -> Millis {
        if self.nodes <= 1 {
            return to;
        }
        let share = ((1 + self.rank) as f64).ln() / (self.nodes as f64).ln();
        let width = to.since(from).0 as f64;
        from + Millis((width * share.min(1.0)) as u64)
    }
}

/// What a node that waits for a head knows when it asks for the next probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// When the first probe is due if there is no evidence.
    pub first_due_at: Millis,
    /// Age of the evidence from which on it does not replace a probe, at most [`PROBE_INTERVAL`].
    pub evidence_max_age: Millis,
    /// Whether a member of the group is suspected.
    pub is_suspected: bool,
    /// The node's place in the group's order if other nodes wait for it as well.
    pub place: Option<Place>,
}

/// The next probe of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextProbe {
    /// When it is due, unless new evidence comes.
    pub at: Millis,
    /// Which instances it probes.
    pub scope: Scope,
}

/// Evidence about one group; each time is that of the latest one.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// Event from the head to this node.
    event_at: Option<Millis>,
    /// Start of a probe by this node that all members have answered.
    proven_at: Option<Millis>,
    /// Report of a peer, less the time in transit.
    reported_at: Option<Millis>,
    /// Report to the peers.
    told_at: Option<Millis>,
    /// Start of a probe of all members.
    group_probe_at: Option<Millis>,
    /// Start of a probe of the head, alone or with all members.
    head_probe_at: Option<Millis>,
    /// Start of a probe that the head has answered.
    head_answered_at: Option<Millis>,
    /// Number of probes in a row that the head has answered.
    head_answers: u32,
}

impl Evidence {
    /// When the group was last known to work.
    fn group_at(&self) -> Option<Millis> {
        self.event_at.max(self.proven_at).max(self.reported_at)
    }

    /// When the path to the head was last known to work.
    fn path_at(&self) -> Option<Millis> {
        self.event_at.max(self.head_answered_at)
    }

    /// When all nodes last had evidence, as far as this node knows.
    fn known_to_all_at(&self) -> Option<Millis> {
        self.reported_at.max(self.told_at)
    }

    /// The interval between two probes of the path to the head.
    fn path_interval(&self) -> Millis {
        let doublings = self.head_answers.saturating_sub(1).min(2);
        Millis(PROBE_INTERVAL.0 << doublings).min(PATH_INTERVAL_MAX)
    }

    fn latest(&self) -> Option<Millis> {
        self.group_at().max(self.told_at).max(self.head_probe_at)
    }
}

/// Evidence about all groups, by their heads.
#[derive(Debug, Clone)]
pub struct ProbePlan<K> {
    by_head: HashMap<K, Evidence>,
}

impl<K> Default for ProbePlan<K> {
    fn default() -> Self {
        Self { by_head: HashMap::new() }
    }
}

impl<K: Clone + Eq + Hash> ProbePlan<K> {
    /// Records that an event of a stream came from a head just when it was waited for. An event
    /// that had lain in a buffer shows only that the group worked some time ago.
    pub fn on_event(&mut self, head: &K, now: Millis) {
        self.entry(head).event_at = Some(now);
    }

    /// Records a peer's report, which has just arrived, that a group works.
    pub fn on_report(&mut self, head: &K, now: Millis) {
        let evidence = self.entry(head);
        evidence.reported_at = evidence.reported_at.max(Some(now - TRANSIT_TIME_MAX));
    }

    /// Records that a probe starts.
    pub fn on_probe_started(&mut self, head: &K, scope: Scope, now: Millis) {
        let evidence = self.entry(head);
        evidence.head_probe_at = Some(now);
        if scope == Scope::Group {
            evidence.group_probe_at = Some(now);
        }
    }

    /// Records that a probe which started at `started_at` is over: whether the head has answered,
    /// and whether all probed instances have. Returns whether it proves that the group works.
    pub fn on_probe_ended(
        &mut self,
        head: &K,
        scope: Scope,
        (has_head_answered, have_all_answered): (bool, bool),
        started_at: Millis,
    ) -> bool {
        let evidence = self.entry(head);
        if has_head_answered {
            evidence.head_answered_at = evidence.head_answered_at.max(Some(started_at));
            evidence.head_answers = evidence.head_answers.saturating_add(1);
        } else {
            evidence.head_answers = 0;
        }
        let is_proof = scope == Scope::Group && have_all_answered;
        if is_proof {
            evidence.proven_at = evidence.proven_at.max(Some(started_at));
        }
        is_proof
    }

    /// The next probe for a wait.
    pub fn next_probe(&self, head: &K, wait: &Wait) -> NextProbe {
        let evidence = self.by_head.get(head).copied().unwrap_or_default();
        let after =
            |at: Option<Millis>, interval: Millis| at.map_or(Millis::ZERO, |at| at + interval);
        let group_at = wait.first_due_at.max(after(evidence.group_probe_at, PROBE_INTERVAL));
        if wait.is_suspected {
            return NextProbe { at: group_at, scope: Scope::Group };
        }
        let age = wait.place.map_or(PROBE_INTERVAL, |place| place.spread(PROBE_AGES));
        let group_at = group_at.max(after(evidence.group_at(), age.min(wait.evidence_max_age)));
        let path_at = wait
            .first_due_at
            .max(after(evidence.path_at(), evidence.path_interval()))
            .max(after(evidence.head_probe_at, PROBE_INTERVAL));
        if group_at <= path_at {
            NextProbe { at: group_at, scope: Scope::Group }
        } else {
            NextProbe { at: path_at, scope: Scope::Head }
        }
    }

    /// Whether the first node in a group's order would report an event now. Then the node's place
    /// decides; see [`Self::is_report_due`].
    pub fn may_report(&self, head: &K, now: Millis) -> bool {
        self.is_report_due(head, Place { rank: 0, nodes: 2 }, now)
    }

    /// Whether a node at this place reports to all others an event that came just now.
    pub fn is_report_due(&self, head: &K, place: Place, now: Millis) -> bool {
        let known_at = self.by_head.get(head).and_then(Evidence::known_to_all_at);
        known_at.is_none_or(|at| now >= at + place.spread(REPORT_AGES))
    }

    /// Records that this node reports to all others that a group works.
    pub fn on_reported(&mut self, head: &K, now: Millis) {
        self.entry(head).told_at = Some(now);
    }

    /// Whether this node has probed the head within [`PROBE_INTERVAL`].
    pub fn has_probed_head(&self, head: &K, now: Millis) -> bool {
        let probed_at = self.by_head.get(head).and_then(|evidence| evidence.head_probe_at);
        probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL)
    }

    /// Drops groups without recent evidence or probes.
    pub fn forget(&mut self, now: Millis) {
        self.by_head
            .retain(|_, evidence| evidence.latest().is_some_and(|at| now.since(at) < FORGET_AFTER));
    }

    fn entry(&mut self, head: &K) -> &mut Evidence {
        if !self.by_head.contains_key(head) {
            self.by_head.insert(head.clone(), Evidence::default());
        }
        self.by_head.get_mut(head).expect("the entry was inserted")
    }
}
