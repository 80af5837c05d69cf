//! Saves the quarantine to the store: nodes have no disk, and all of them may be killed at once.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::quarantine::KeyKind;
use workshold_core::hosted::quarantine::ProcessEnd;
use workshold_core::hosted::quarantine::QuarantineRecord;
use workshold_core::hosted::quarantine::RequestKey;
use workshold_core::hosted::store_era::Era;
use workshold_platform::names;
use workshold_platform::store::Record;
use workshold_platform::store::StoreError;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::node::EvidenceSource;
use crate::node::Node;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Millis = Millis(700);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a node reads the quarantine again if it could not at its start, or if it
/// hears few of its peers, whose records it then gets from the store.
const REREAD_INTERVAL: Duration = Duration::from_millis(1_000);
/// If the store is unavailable, a starting node serves without its records after this time, within
/// which peers have sent what they know.
const MAX_READ_WAIT: Millis = Millis(2_500);

/// Key of the record that tells when the store's present era began.
const ERA_KEY: &str = "era";
/// An era counts as settled if it began this long ago by the wall clock: longer than a restored
/// list takes to be up to date again, and than nodes' clocks differ.
const ERA_SETTLED_AGE: Millis = Millis::from_secs(30);

/// The stored record of when nodes first saw an era. With it a node that starts after a restore
/// knows that the restored list is up to date again, and does not have to wait for that.
#[derive(Debug, Serialize, Deserialize)]
struct StoredEra {
    era: Era,
    seen_at: u64,
}

/// A quarantine record as it is stored, with wall-clock times in ms.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRecord {
    #[serde(default)]
    is_prompt_part: bool,
    caller: u32,
    cleared_at: Option<u64>,
    ends: Vec<(u64, u32, u64)>,
}

/// Reads the stored records before the node serves, then saves new ones until it ends.
pub async fn run(node: Arc<Node>) {
    let mut has_read = node.is_quarantine_read();
    let mut stored_era = Era::default();
    while !has_read && node.age() < MAX_READ_WAIT {
        has_read = read(&node, &mut stored_era).await;
    }
    node.mark_quarantine_read();
    loop {
        tokio::select! {
            () = node.quarantine_save_wanted.notified() => save(&node, &mut stored_era).await,
            // One timer for both reasons to read: of two timers in this loop, the shorter one would
            // restart the longer one each time.
            () = tokio::time::sleep(REREAD_INTERVAL) => {
                if !has_read || node.hears_few_peers() {
                    has_read |= read(&node, &mut stored_era).await;
                }
            }
        }
    }
}

/// Reads the stored records. Returns whether the store answered.
async fn read(node: &Node, stored_era: &mut Era) -> bool {
    let read = try_read(node, stored_era).await;
    if let Err(err) = &read {
        log_failure(err);
        tokio::time::sleep(RETRY_DELAY).await;
    }
    read.is_ok()
}

/// Saves new quarantine records, and the era's record if it is due.
async fn save(node: &Node, stored_era: &mut Era) {
    let unsaved = node.quarantine.lock().take_unsaved();
    let mut records: Vec<(String, Vec<u8>)> =
        unsaved.iter().map(|record| encode(node, record)).collect();
    let era = node.store_monitor.era();
    if *stored_era < era && node.rewrites_lost_records() {
        records.push(encode_era(node, era));
    }
    if records.is_empty() {
        return;
    }
    match append(node, &records).await {
        // If a new era has begun meanwhile, the records have to be written again.
        Ok(()) if node.store_monitor.era() == era => *stored_era = era,
        Ok(()) => {}
        Err(err) => {
            log_failure(&err);
            node.quarantine.lock().mark_unsaved(&unsaved);
            tokio::time::sleep(RETRY_DELAY).await;
            node.quarantine_save_wanted.notify_one();
        }
    }
}

/// Appends records to the quarantine's topic.
async fn append(node: &Node, records: &[(String, Vec<u8>)]) -> Result<(), StoreError> {
    let sent = node.now();
    let answer = node.store.append(names::QUARANTINE_TOPIC, records, STORE_TIMEOUT).await?;
    node.take_answer(answer, sent)
}

/// Key and value of the record of an era.
fn encode_era(node: &Node, era: Era) -> (String, Vec<u8>) {
    let (now, wall_now) = (node.now(), node.wall());
    let age = node.store_monitor.told(now).map_or(0, |(_, age)| age);
    let stored = StoredEra { era, seen_at: (wall_now - Millis(age)).0 };
    (ERA_KEY.to_owned(), serde_json::to_vec(&stored).expect("serializing plain fields cannot fail"))
}

/// Handles the stored record of the present era; saves one if there is none.
fn load_era(node: &Node, records: &[Record], stored_era: &mut Era) {
    let record = records.iter().find(|record| record.key == ERA_KEY);
    let stored = record.and_then(|record| serde_json::from_slice::<StoredEra>(&record.value).ok());
    let era = node.store_monitor.era();
    match stored.filter(|stored| stored.era == era) {
        Some(stored) => {
            *stored_era = era;
            if node.wall().since(Millis(stored.seen_at)) >= ERA_SETTLED_AGE {
                node.store_monitor.mark_settled(era);
            }
        }
        None if era > Era::default() => node.quarantine_save_wanted.notify_one(),
        None => {}
    }
}

/// Reads the stored records and merges them into the quarantine.
async fn try_read(node: &Node, stored_era: &mut Era) -> Result<(), StoreError> {
    let sent = node.now();
    let stored = node.store.newest(names::QUARANTINE_TOPIC, STORE_TIMEOUT).await?;
    let stored = node.take_answer(stored, sent)?;
    load_era(node, &stored.records, stored_era);
    let records: Vec<QuarantineRecord> =
        stored.records.iter().filter_map(|record| decode(node, record)).collect();
    node.merge_quarantine_records(&records, EvidenceSource::Store);
    Ok(())
}

fn log_failure(err: &StoreError) {
    emit(Event::QuarantineNotKept, &[("why", &err.to_string())]);
}

/// Key and value of a record; the value of a cleared one is empty, which deletes it.
fn encode(node: &Node, record: &QuarantineRecord) -> (String, Vec<u8>) {
    let key = record.request_key.fingerprint.to_string();
    let is_cleared = record.ends.iter().all(|end| record.cleared.is_some_and(|at| at >= end.at));
    if is_cleared {
        return (key, Vec::new());
    }
    let (now, wall_now) = (node.now(), node.wall());
    let wall_time = |at: Millis| (wall_now - now.since(at)).0;
    let stored = StoredRecord {
        is_prompt_part: record.request_key.kind == KeyKind::PromptPart,
        caller: record.request_key.caller,
        cleared_at: record.cleared.map(wall_time),
        ends: record
            .ends
            .iter()
            .map(|end| (end.incarnation, end.place, wall_time(end.at)))
            .collect(),
    };
    (key, serde_json::to_vec(&stored).expect("serializing plain fields cannot fail"))
}

/// Decodes a record; malformed ones are ignored.
fn decode(node: &Node, record: &Record) -> Option<QuarantineRecord> {
    let fingerprint = Fingerprint::parse(&record.key).ok()?;
    let stored: StoredRecord = serde_json::from_slice(&record.value).ok()?;
    let (now, wall_now) = (node.now(), node.wall());
    let at = |wall_time: u64| now - wall_now.since(Millis(wall_time));
    let ends = stored.ends.iter();
    let ends = ends.map(|(incarnation, place, wall_time)| ProcessEnd {
        incarnation: *incarnation,
        place: *place,
        at: at(*wall_time),
    });
    let kind = if stored.is_prompt_part { KeyKind::PromptPart } else { KeyKind::Content };
    Some(QuarantineRecord {
        request_key: RequestKey { kind, fingerprint, caller: stored.caller },
        ends: ends.collect(),
        cleared: stored.cleared_at.map(at),
    })
}
