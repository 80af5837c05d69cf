//! The quarantine: requests that are not sent to instances since they ended the process of
//! those that started them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use displaydoc::Display;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::quarantine;
use workshold_core::hosted::quarantine::Quarantine;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::roster::Entry;
use workshold_protocol::Millis;

use crate::callers::requests::AdmittedRequest;
use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::routing_table::Target;

/// Where evidence against a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EvidenceSource {
    /// this node
    Here,
    /// another node
    Peer,
    /// the store
    Store,
}

impl Node {
    /// The key for which a request is quarantined, and until when; `None` if it is not.
    pub fn quarantined_key(&self, request_keys: &[RequestKey]) -> Option<(RequestKey, Millis)> {
        self.quarantine.lock().quarantined_key(request_keys, self.now())
    }

    /// Whether one more ended process would quarantine a request.
    pub fn is_suspect(&self, request_keys: &[RequestKey]) -> bool {
        let now = self.now();
        let quarantine = self.quarantine.lock();
        request_keys.iter().any(|key| quarantine.is_suspect(key.fingerprint, now))
    }

    /// Notes that a request was refused because this fingerprint is quarantined.
    pub fn note_quarantine_refusal(&self, fingerprint: Fingerprint) {
        self.quarantine.lock().on_refused(fingerprint, self.now());
    }

    /// Notes that the connection to a target broke while a request was starting there. Returns
    /// whether the end of the target's process would quarantine the request. A target that shuts
    /// down as planned is not counted: its process ends for other reasons.
    pub fn note_connection_lost(&self, req: &AdmittedRequest, target: &Target) -> bool {
        let now = self.now();
        if self.is_announced_leaving(target) {
            return false;
        }
        let domain = {
            let list = self.list.lock();
            let entry = list.roster.incarnation(&target.id);
            entry.and_then(|entry| entry.instance.domain.clone())
        };
        let domain = domain.as_ref().map(|domain| domain.as_str());
        let place = quarantine::place(domain, target.data_centre.as_str());
        let incarnation = quarantine::incarnation(&target.id);
        self.update_quarantine(EvidenceSource::Here, |quarantine| {
            quarantine.on_connection_broken(Arc::clone(&req.request_keys), incarnation, place, now)
        });
        self.is_suspect(&req.request_keys)
    }

    /// Whether a target has said that it shuts down as planned.
    pub fn is_announced_leaving(&self, target: &Target) -> bool {
        let list = self.list.lock();
        list.roster.incarnation(&target.id).is_some_and(Entry::is_leaving)
    }

    /// Notes that an incarnation of an instance has ended.
    pub(super) fn note_process_ended(&self, id: &Identity) {
        let now = self.now();
        self.update_quarantine(EvidenceSource::Here, |quarantine| {
            quarantine.on_process_ended(quarantine::incarnation(id), now)
        });
    }

    /// Notes that a request ran to its end, which clears its fingerprints.
    pub fn note_finished(&self, req: &AdmittedRequest) {
        self.note_sound(&req.request_keys);
    }

    /// Notes that a request has run well past its start, which clears the parts of its prompt.
    pub fn note_past_start(&self, req: &AdmittedRequest) {
        let parts = req.request_keys.split_first().map_or(&[][..], |(_, parts)| parts);
        if !parts.is_empty() {
            self.note_sound(parts);
        }
    }

    fn note_sound(&self, request_keys: &[RequestKey]) {
        let now = self.now();
        self.update_quarantine(EvidenceSource::Here, |quarantine| {
            quarantine.on_completed(request_keys, now)
        });
    }

    /// Clears a request on an operator's order. Returns whether there was anything to clear.
    pub fn release(&self, fingerprint: Fingerprint) -> bool {
        let now = self.now();
        self.update_quarantine(EvidenceSource::Here, |quarantine| {
            quarantine.clear(fingerprint, now)
        })
    }

    /// Merges quarantine records of a peer or of the store. Returns whether any was new.
    pub fn merge_quarantine_records(
        &self,
        records: &[QuarantineRecord],
        source: EvidenceSource,
    ) -> bool {
        let settings = self.settings();
        let is_relay = self.peers.lock().is_relay(&settings.own(), self.now());
        self.update_quarantine(source, |quarantine| {
            let news = records.iter().filter(|record| quarantine.take(record, is_relay));
            news.count() > 0
        })
    }

    /// Applies a change to the quarantine that is due to evidence from `source`. If it changes
    /// anything, the records are saved to the store, peers are told at once, and requests that wait
    /// at an instance without having started check again whether they are quarantined.
    fn update_quarantine(
        &self,
        source: EvidenceSource,
        change: impl FnOnce(&mut Quarantine) -> bool,
    ) -> bool {
        let now = self.now();
        let mut quarantine = self.quarantine.lock();
        if !change(&mut quarantine) {
            return false;
        }
        let suspect = quarantine.newly_suspect();
        let quarantined = quarantine.newly_quarantined(now);
        let has_news = quarantine.has_news();
        drop(quarantine);
        if !suspect.is_empty() {
            let heard = self.peers.lock().heard(now).count();
            log_suspect(&suspect, source, heard, now);
        }
        if !quarantined.is_empty() {
            log_quarantined(&quarantined, now);
            self.suspicion_changed.send_modify(|version| *version += 1);
        }
        self.quarantine_save_wanted.notify_one();
        if has_news {
            self.heartbeat_wanted.notify_one();
        }
        true
    }

    /// Whether the store's quarantine records have been read, or are not waited for any more.
    pub fn is_quarantine_read(&self) -> bool {
        self.is_quarantine_read.load(Ordering::Relaxed)
    }

    /// Notes that the store's quarantine records have been read, or are not waited for any more.
    pub fn mark_quarantine_read(&self) {
        self.is_quarantine_read.store(true, Ordering::Relaxed);
    }
}

/// Logs each request that has got nearer to its quarantine, while `heard` peers are heard.
fn log_suspect(records: &[QuarantineRecord], source: EvidenceSource, heard: usize, now: Millis) {
    for record in records {
        let last = record.ends.iter().map(|end| end.at).max().unwrap_or_default();
        emit(
            Event::RequestSuspected,
            &[
                ("kind", &record.request_key.kind.to_string()),
                ("fingerprint", &record.request_key.fingerprint.to_string()),
                ("ended", &record.ends.len().to_string()),
                ("source", &source.to_string()),
                ("peers", &heard.to_string()),
                ("age_ms", &now.since(last).0.to_string()),
            ],
        );
    }
}

/// Logs each request that has just been quarantined.
fn log_quarantined(quarantined: &[(QuarantineRecord, Millis)], now: Millis) {
    for (record, until) in quarantined {
        let RequestKey { kind, fingerprint, caller } = record.request_key;
        emit(
            Event::RequestHeld,
            &[
                ("kind", &kind.to_string()),
                ("fingerprint", &fingerprint.to_string()),
                ("caller", &format!("{caller:08x}")),
                ("ended", &record.ends.len().to_string()),
                ("for_s", &(until.since(now).0 / 1_000).to_string()),
            ],
        );
    }
}
