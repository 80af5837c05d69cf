//! Which requests are kept from instances, as this node sees and hears of them.

use std::sync::atomic::Ordering;

use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::quarantine;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::quarantine::QuarantineStatus;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::roster::Entry;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::routing_table::Target;

impl Node {
    /// Until when a request is kept from all instances, if it is.
    pub fn quarantined_until(&self, fingerprint: Fingerprint) -> Option<Millis> {
        match self.quarantine.lock().status(fingerprint, self.now()) {
            QuarantineStatus::Held(until) => Some(until),
            QuarantineStatus::Free | QuarantineStatus::Suspect => None,
        }
    }

    /// Whether one more end would keep a request from instances.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.quarantine.lock().is_suspect(fingerprint, self.now())
    }

    /// The connection to a target broke while a request began there. Returns whether the
    /// target's end would keep that request from others. One that leaves with a plan ends
    /// for its own reasons.
    pub fn note_connection_lost(&self, job: &AdmittedRequest, target: &Target) -> bool {
        let now = self.now();
        let (domain, is_leaving) = {
            let list = self.list.lock();
            let entry = list.roster.incarnation(&target.id);
            let domain = entry.and_then(|entry| entry.instance.domain.clone());
            (domain, entry.is_some_and(Entry::is_leaving))
        };
        if is_leaving {
            return false;
        }
        let domain = domain.as_ref().map(|domain| domain.as_str());
        let place = quarantine::place(domain, target.data_centre.as_str());
        let incarnation = quarantine::incarnation(&target.id);
        self.change_quarantine(|known| {
            known.on_connection_broken(job.request_key(), incarnation, place, now)
        });
        self.is_suspect(job.fingerprint)
    }

    /// A life of an instance has ended.
    pub(super) fn note_ended(&self, id: &Identity) {
        let now = self.now();
        self.change_quarantine(|known| known.on_process_ended(quarantine::incarnation(id), now));
    }

    /// A request ran to its end.
    pub fn note_finished(&self, job: &AdmittedRequest) {
        let now = self.now();
        self.change_quarantine(|known| known.on_completed(job.fingerprint, now));
    }

    /// An operator lets a request go; whether it was known.
    pub fn release(&self, fingerprint: Fingerprint) -> bool {
        let now = self.now();
        self.change_quarantine(|known| known.clear(fingerprint, now))
    }

    /// Another node, or the store, says this of requests.
    pub fn hear_of_requests(&self, told: &[QuarantineRecord]) -> bool {
        let settings = self.settings();
        let is_relay = self.peers.lock().is_relay(&settings.own(), self.now());
        self.change_quarantine(|quarantine| {
            let news = told.iter().filter(|known| quarantine.take(known, is_relay));
            news.count() > 0
        })
    }

    /// Changes what is known of requests. What is news goes to the others at once, and
    /// whatever waits unread at an instance is looked at again.
    fn change_quarantine(&self, change: impl FnOnce(&mut Quarantine) -> bool) -> bool {
        let now = self.now();
        let mut quarantine = self.quarantine.lock();
        if !change(&mut quarantine) {
            return false;
        }
        let held = quarantine.newly_quarantined(now);
        let is_telling = quarantine.has_news();
        drop(quarantine);
        if !held.is_empty() {
            log_held(&held, now);
            self.suspicion_changed.send_modify(|version| *version += 1);
        }
        self.keep_wanted.notify_one();
        if is_telling {
            self.heartbeat_wanted.notify_one();
        }
        true
    }

    /// Whether what the store keeps of requests was read, or is not waited for.
    pub fn is_quarantine_read(&self) -> bool {
        self.is_quarantine_read.load(Ordering::Relaxed)
    }

    /// What the store keeps of requests has been read, or is not waited for any more.
    pub fn quarantine_read(&self) {
        self.is_quarantine_read.store(true, Ordering::Relaxed);
    }
}

fn log_held(held: &[(QuarantineRecord, Millis)], now: Millis) {
    for (known, until) in held {
        let RequestKey { fingerprint, caller } = known.request_key;
        emit(
            Event::RequestHeld,
            &[
                ("fingerprint", &fingerprint.to_string()),
                ("caller", &format!("{caller:08x}")),
                ("ended", &known.ends.len().to_string()),
                ("for_s", &(until.since(now).0 / 1_000).to_string()),
            ],
        );
    }
}
