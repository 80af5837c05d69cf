//! Saves the quarantine to the store: nodes have no disk, and all of them may be killed at once.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use workshold_core::hosted::fingerprint::Fingerprint;
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
use crate::node::Node;

/// Timeout of a call to the store.
const ANSWER_TIME: Millis = Millis(700);
/// Delay after a failed call.
const RETRY: Duration = Duration::from_millis(300);
/// Interval at which a node reads the quarantine again if it could not at its start, or if it
/// hears few of its peers, whose records it then gets from the store.
const READ_AGAIN: Duration = Duration::from_millis(1_000);
/// If the store is unavailable, a starting node serves without its records after this time, within
/// which peers have sent what they know.
const STARTS_WITHIN: Millis = Millis(2_500);

/// Key of the record that tells when the store's present era began.
const ERA_KEY: &str = "era";
/// An era counts as settled if it began this long ago by the wall clock: longer than a restored
/// list takes to be up to date again, and than nodes' clocks differ.
const ERA_IS_OLD: Millis = Millis::from_secs(30);

/// The stored record of when nodes first saw an era. With it a node that starts after a restore
/// knows that the restored list is up to date again, and does not have to wait for that.
#[derive(Debug, Serialize, Deserialize)]
struct KeptEra {
    era: Era,
    seen_at: u64,
}

/// A quarantine record as it is stored, with wall-clock times in ms.
#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    caller: u32,
    cleared_at: Option<u64>,
    ends: Vec<(u64, u32, u64)>,
}

/// Reads the stored records before the node serves, then saves new ones until it ends.
pub async fn run(node: Arc<Node>) {
    let mut has_read = node.is_quarantine_read();
    let mut kept_era = Era::default();
    while !has_read && node.age() < STARTS_WITHIN {
        has_read = read(&node, &mut kept_era).await;
    }
    node.quarantine_read();
    loop {
        tokio::select! {
            () = node.keep_wanted.notified() => keep(&node, &mut kept_era).await,
            // One timer for both reasons to read: of two timers in this loop, the shorter one would
            // restart the longer one each time.
            () = tokio::time::sleep(READ_AGAIN) => {
                if !has_read || node.hears_few() {
                    has_read |= read(&node, &mut kept_era).await;
                }
            }
        }
    }
}

/// Reads the stored records. Returns whether the store answered.
async fn read(node: &Node, kept_era: &mut Era) -> bool {
    let read = try_read(node, kept_era).await;
    if let Err(err) = &read {
        log_failure(err);
        tokio::time::sleep(RETRY).await;
    }
    read.is_ok()
}

async fn keep(node: &Node, kept_era: &mut Era) {
    let known = node.quarantine.lock().take_unsaved();
    let mut records: Vec<(String, Vec<u8>)> =
        known.iter().map(|known| encode(node, known)).collect();
    let era = node.store_monitor.era();
    if *kept_era < era && node.keeps_anew() {
        records.push(encode_era(node, era));
    }
    if records.is_empty() {
        return;
    }
    match append(node, &records).await {
        // If a new era has begun meanwhile, the records have to be written again.
        Ok(()) if node.store_monitor.era() == era => *kept_era = era,
        Ok(()) => {}
        Err(err) => {
            log_failure(&err);
            node.quarantine.lock().mark_unsaved(&known);
            tokio::time::sleep(RETRY).await;
            node.keep_wanted.notify_one();
        }
    }
}

async fn append(node: &Node, records: &[(String, Vec<u8>)]) -> Result<(), StoreError> {
    let sent = node.now();
    let answer = node.store.append(names::QUARANTINE_TOPIC, records, ANSWER_TIME).await?;
    node.take_answer(answer, sent)
}

fn encode_era(node: &Node, era: Era) -> (String, Vec<u8>) {
    let (now, today) = (node.now(), node.wall());
    let age = node.store_monitor.told(now).map_or(0, |(_, age)| age);
    let kept = KeptEra { era, seen_at: (today - Millis(age)).0 };
    (ERA_KEY.to_owned(), serde_json::to_vec(&kept).expect("it has only plain fields"))
}

/// Handles the stored record of the present era; saves one if there is none.
fn take_era(node: &Node, records: &[Record], kept_era: &mut Era) {
    let record = records.iter().find(|record| record.key == ERA_KEY);
    let kept = record.and_then(|record| serde_json::from_slice::<KeptEra>(&record.value).ok());
    let era = node.store_monitor.era();
    match kept.filter(|kept| kept.era == era) {
        Some(kept) => {
            *kept_era = era;
            if node.wall().since(Millis(kept.seen_at)) >= ERA_IS_OLD {
                node.store_monitor.mark_settled(era);
            }
        }
        None if era > Era::default() => node.keep_wanted.notify_one(),
        None => {}
    }
}

async fn try_read(node: &Node, kept_era: &mut Era) -> Result<(), StoreError> {
    let sent = node.now();
    let kept = node.store.newest(names::QUARANTINE_TOPIC, ANSWER_TIME).await?;
    let kept = node.take_answer(kept, sent)?;
    take_era(node, &kept.records, kept_era);
    let known: Vec<QuarantineRecord> =
        kept.records.iter().filter_map(|record| decode(node, record)).collect();
    node.hear_of_requests(&known);
    Ok(())
}

fn log_failure(err: &StoreError) {
    emit(Event::QuarantineNotKept, &[("why", &err.to_string())]);
}

/// Key and value of a record; the value of a cleared one is empty, which deletes it.
fn encode(node: &Node, known: &QuarantineRecord) -> (String, Vec<u8>) {
    let key = known.request_key.fingerprint.to_string();
    let is_cleared = known.ends.iter().all(|end| known.cleared.is_some_and(|at| at >= end.at));
    if is_cleared {
        return (key, Vec::new());
    }
    let (now, today) = (node.now(), node.wall());
    let of_day = |at: Millis| (today - now.since(at)).0;
    let kept = Kept {
        caller: known.request_key.caller,
        cleared_at: known.cleared.map(of_day),
        ends: known.ends.iter().map(|end| (end.incarnation, end.place, of_day(end.at))).collect(),
    };
    (key, serde_json::to_vec(&kept).expect("it has only plain fields"))
}

/// Decodes a record; malformed ones are ignored.
fn decode(node: &Node, record: &Record) -> Option<QuarantineRecord> {
    let fingerprint = Fingerprint::parse(&record.key).ok()?;
    let kept: Kept = serde_json::from_slice(&record.value).ok()?;
    let (now, today) = (node.now(), node.wall());
    let at = |of_day: u64| now - today.since(Millis(of_day));
    let ends = kept.ends.iter();
    let ends = ends.map(|(incarnation, place, of_day)| ProcessEnd {
        incarnation: *incarnation,
        place: *place,
        at: at(*of_day),
    });
    Some(QuarantineRecord {
        request_key: RequestKey { fingerprint, caller: kept.caller },
        ends: ends.collect(),
        cleared: kept.cleared_at.map(at),
    })
}
