//! Evidence that groups work, from streams, probes and peers, and when a group is probed.

use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::probe_plan::NextProbe;
use workshold_core::hosted::probe_plan::Place;
use workshold_core::hosted::probe_plan::Scope;
use workshold_core::hosted::probe_plan::Wait;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_protocol::Millis;

use crate::loads::instance_hash;
use crate::node::Node;
use crate::node::ProbeTask;
use crate::routing_table::Target;

/// An event that came sooner than this after it was asked for may have lain in a buffer, because
/// its caller reads slowly: it does not show that the group works now.
const FRESH_EVENT_MIN_WAIT: Millis = Millis(5);

impl Node {
    /// Notes that a head sent an event, or a plain instance an answer, which was waited for since
    /// `waited_since`.
    pub fn note_group_event(&self, target: &Target, waited_since: Millis) {
        let now = self.now();
        if now.since(waited_since) < FRESH_EVENT_MIN_WAIT {
            return;
        }
        let may_report = {
            let mut plan = self.probe_plan.lock();
            plan.on_event(&target.id, now);
            plan.may_report(&target.id, now)
        };
        if may_report && self.do_others_wait_for(target) {
            let place = self.place_for(target);
            let is_due = self.probe_plan.lock().is_report_due(&target.id, place, now);
            if is_due {
                self.report_group(target);
            }
        }
    }

    /// Notes a peer's report that the group of a head works.
    pub fn note_group_report(&self, head: &Identity) {
        let now = self.now();
        self.probe_plan.lock().on_report(head, now);
    }

    /// The next probe for a request that waits for `target`. The first one is due at
    /// `first_due_at`; evidence replaces it up to `evidence_max_age`. A probe that is due at `now`
    /// is noted as started, so that one of all requests that wait starts it.
    pub fn next_group_probe(
        &self,
        target: &Target,
        first_due_at: Millis,
        evidence_max_age: Millis,
        now: Millis,
    ) -> NextProbe {
        let place = self.do_others_wait_for(target).then(|| self.place_for(target));
        let is_suspected = {
            let suspicions = self.suspicions.lock();
            target.members.iter().any(|member| suspicions.since(&member.identity).is_some())
        };
        let wait = Wait { first_due_at, evidence_max_age, is_suspected, place };
        let mut plan = self.probe_plan.lock();
        let next = plan.next_probe(&target.id, &wait);
        if now >= next.at {
            plan.on_probe_started(&target.id, next.scope, now);
        }
        next
    }

    /// Notes that a probe of a head alone starts.
    pub fn note_head_probe(&self, head: &Identity) {
        let now = self.now();
        self.probe_plan.lock().on_probe_started(head, Scope::Head, now);
    }

    /// Notes the results of a probe that started at `started_at`, the head's and those of all
    /// instances that were probed. If they show that the group works, the other nodes that wait
    /// for it are told.
    pub fn on_group_probed(
        &self,
        target: &Target,
        scope: Scope,
        results: &[(Identity, Option<ProbeResult>)],
        started_at: Millis,
    ) {
        let has_answered =
            |(_, result): &(Identity, Option<ProbeResult>)| *result == Some(ProbeResult::Answers);
        let has_head_answered =
            results.iter().any(|result| result.0 == target.id && has_answered(result));
        let have_all_answered = results.iter().all(has_answered);
        let answers = (has_head_answered, have_all_answered);
        let is_proof =
            self.probe_plan.lock().on_probe_ended(&target.id, scope, answers, started_at);
        if is_proof && self.do_others_wait_for(target) {
            self.report_group(target);
        }
    }

    /// Whether this node has probed a head, alone or with its group, a moment ago.
    pub fn has_probed_head(&self, head: &Identity) -> bool {
        let now = self.now();
        self.probe_plan.lock().has_probed_head(head, now)
    }

    /// Whether requests of other nodes wait for a group, as far as known: for its processing of
    /// their prompts, or for a free slot. A plain instance does not count, since a report about it
    /// to all nodes costs as much as their probes.
    fn do_others_wait_for(&self, target: &Target) -> bool {
        if target.members.len() <= 1 {
            return false;
        }
        let all = self.loads.of(&target.id);
        let others = all.less(self.loads.own(&target.id));
        others.unread > 0 || (others.requests > 0 && all.requests >= target.slots)
    }

    fn place_for(&self, target: &Target) -> Place {
        let now = self.now();
        let settings = self.settings();
        let hash = instance_hash(&target.id);
        self.peers.lock().place(settings.own().name, hash, now)
    }

    fn report_group(&self, target: &Target) {
        let now = self.now();
        self.probe_plan.lock().on_reported(&target.id, now);
        self.probe(&target.id, &target.address, ProbeTask::ReportGroup);
    }
}
