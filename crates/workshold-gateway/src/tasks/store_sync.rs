//! Keeps the configuration and the instance list in sync with the store, read by this node itself
//! or by its peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use workshold_core::hosted::long_poll::LongPollRules;
use workshold_core::hosted::roster::Entry;
use workshold_core::hosted::store_era::LogPosition;
use workshold_platform::config;
use workshold_platform::entries;
use workshold_platform::evacuation;
use workshold_platform::names;
use workshold_platform::store::Record;
use workshold_platform::store::Records;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;

use crate::events::Event;
use crate::events::emit;
use crate::loads::instance_hash;
use crate::node::ListReplica;
use crate::node::Node;
use crate::peers::ListNews;
use crate::peers::ListRecord;
use crate::tasks::long_poll;
use crate::tasks::long_poll::PollAnswer;
use crate::tasks::long_poll::PollOutcome;
use crate::tasks::long_poll::Topic;

/// Mean of the least time between two reads of the list, since each call loads the store. The
/// time is drawn at random from 2/3 to 4/3 of it: all readers are woken by the same change, and
/// without the jitter would read at the same time and all miss the next change for as long.
const LIST_READ_INTERVAL: Millis = Millis(900);
/// The same before there is traffic.
const LIST_READ_INTERVAL_EARLY: Millis = Millis(400);
/// The same while the steward waits for list entries that show the effect of its orders.
const LIST_READ_INTERVAL_BUSY: Millis = Millis(40);
/// The same before there is traffic: no caller waits for the group yet.
const LIST_READ_INTERVAL_BUSY_EARLY: Millis = Millis(160);
/// Interval at which a node checks whether it has to read the store itself: a fraction of the
/// time for which its peers' reads count as current.
const READER_CHECK_INTERVAL: Millis = Millis(300);
/// The same for a node that has just started.
const START_CHECK_INTERVAL: Millis = Millis(50);
/// Time for which a starting node waits for peers to forward the list: otherwise hundreds of
/// nodes that start at once would all read the store.
const MAX_START_WAIT: Millis = Millis(1_500);
/// A list read by peers counts as current up to this age: their long polls and the delay of a
/// heartbeat.
const SHARED_LIST_MAX_AGE: Millis = Millis(4_200);

/// Keeps the configuration in sync with the store until the node ends.
pub async fn config(node: Arc<Node>) {
    let mut cursor = TopicCursor::default();
    wait_to_start(&node, || node.config_age().is_some() || node.is_in_small_fleet()).await;
    loop {
        wait_while_peers_read(&node, is_config_current).await;
        tokio::select! {
            () = read_config(&node, &mut cursor) => {}
            // The pending long poll uses a position of the previous era: until it timed out, the
            // configuration and its API keys would look older than they are.
            () = node.config_reread_wanted.notified() => {}
        }
    }
}

/// How far this node has read the operator's topic.
#[derive(Debug, Default)]
struct TopicCursor {
    /// Position of the next record to read; `None` if all records have to be read.
    next: Option<LogPosition>,
    /// The newest version in the topic. After a restore from a snapshot it may be older than the
    /// one in force, and then does not show how recent that one is.
    newest: Option<u64>,
}

/// Waits at the node's start until it has received from a peer what it needs (`has_it`), or knows
/// that it has to read the store itself, or [`MAX_START_WAIT`] are over.
async fn wait_to_start(node: &Node, has_it: impl Fn() -> bool) {
    while node.age() < MAX_START_WAIT
        && !has_it()
        && !(node.knows_peers() && node.is_store_reader())
    {
        tokio::time::sleep(START_CHECK_INTERVAL.to_duration()).await;
    }
}

/// Waits while peers read for this node and the data that it has are current.
async fn wait_while_peers_read(node: &Node, is_current: impl Fn(&Node) -> bool) {
    while do_peers_read(node, &is_current) {
        tokio::time::sleep(READER_CHECK_INTERVAL.to_duration()).await;
    }
}

/// Whether peers read for this node, and the data that it has are current.
fn do_peers_read(node: &Node, is_current: impl Fn(&Node) -> bool) -> bool {
    !node.is_store_reader() && !node.are_readers_cut_off() && is_current(node)
}

/// Not if a peer has a newer configuration that peers do not deliver.
fn is_config_current(node: &Node) -> bool {
    let current = node.settings().max_shared_config_age();
    let is_fresh = node.config_age().is_some_and(|(_, age)| age < current);
    is_fresh && !node.is_config_read_wanted.load(Ordering::Relaxed)
}

/// Not while the steward waits for list entries, for which it reads the store itself.
fn is_list_current(node: &Node) -> bool {
    let is_busy = node.is_steward_busy.load(Ordering::Relaxed) || node.needs_list_reread();
    let list = node.list.lock();
    !is_busy && list.next.is_some() && node.now().since(list.read_at) < SHARED_LIST_MAX_AGE
}

/// Reads the operator's topic once and installs the newest configuration in it.
async fn read_config(node: &Node, cursor: &mut TopicCursor) {
    let next = cursor.next;
    let from = || next.filter(|next| next.era == node.store_monitor.era());
    let is_needed = || !do_peers_read(node, is_config_current);
    let rules = node.settings().config_poll_rules(node.is_store_reader());
    let outcome = long_poll::read(node, Topic::Config, rules, from, is_needed).await;
    let PollAnswer { records, from, sent } = match outcome {
        PollOutcome::Read(answer) => answer,
        PollOutcome::ReadByPeers => return,
        PollOutcome::Gone => {
            *cursor = TopicCursor::default();
            return;
        }
    };
    let is_of_old_era = from.is_some_and(|from| from.era < records.end.era);
    if is_of_old_era || from.is_none() {
        *cursor = TopicCursor::default();
    }
    if is_of_old_era {
        return;
    }
    let next = next_position(&records, from);
    read_evacuations(node, &records, from, next);
    let last = records.records.iter().rfind(|record| record.key == names::CONFIG_KEY);
    match last {
        Some(record) if may_be_outdated(node, record) => {
            // Read again a moment later, in case no peer delivers the newer version.
            *cursor = TopicCursor::default();
            tokio::time::sleep(READER_CHECK_INTERVAL.to_duration()).await;
            return;
        }
        Some(record) => install_config(node, record, sent, cursor),
        None => {
            // No record newer than the last one read, so that one is current. A read of all
            // records that has no configuration shows nothing (`newest` is `None` then).
            if let Some(version) = cursor.newest {
                node.confirm_config(version, sent);
            }
        }
    }
    cursor.next = Some(next);
}

/// Applies the operator's records about evacuations, of a read from the position `from`, or of all
/// records, up to `next`.
fn read_evacuations(node: &Node, records: &Records, from: Option<LogPosition>, next: LogPosition) {
    let changes = records.records.iter().filter_map(|record| match evacuation::decode(record) {
        Ok(change) => change,
        Err(err) => {
            emit(Event::ConfigUnreadable, &[("key", &record.key), ("why", &err.to_string())]);
            None
        }
    });
    if from.is_some() {
        node.on_evacuation_changes(changes.collect(), next);
    } else {
        let evacuated = changes.filter(|change| change.is_evacuated);
        node.on_evacuations(evacuated.map(|change| change.data_centre).collect(), next);
    }
}

/// Position of the next record to read. The answer to a long poll may end before the topic does.
fn next_position(records: &Records, next: Option<LogPosition>) -> LogPosition {
    let Some(next) = next else { return records.end };
    let last = records.records.last().map(|record| record.place);
    last.map_or(next, |last| LogPosition { offset: last.offset + 1, ..last })
}

/// Whether peers may hold a newer configuration than this record.
fn may_be_outdated(node: &Node, record: &Record) -> bool {
    config::decode(&record.value)
        .is_ok_and(|serving_config| node.may_be_outdated(serving_config.version))
}

/// Decodes and installs a configuration that was read by a poll sent at `sent`.
fn install_config(node: &Node, record: &Record, sent: Millis, cursor: &mut TopicCursor) {
    match config::decode(&record.value) {
        Ok(serving_config) => {
            cursor.newest = Some(serving_config.version);
            node.install_config(serving_config, record.value.clone(), sent);
        }
        Err(err) => emit(Event::ConfigUnreadable, &[("why", &err.to_string())]),
    }
}

/// Keeps the instance list in sync with the store until the node ends.
pub async fn list(node: Arc<Node>) {
    loop {
        wait_to_start(&node, || node.list.lock().next.is_some()).await;
        wait_while_peers_read(&node, is_list_current).await;
        let rules = node.settings().list_poll_rules(node.is_store_reader());
        let wait = if node.needs_list_reread() { Millis::ZERO } else { rules.wait };
        let sent = node.now();
        tokio::select! {
            has_read = read_list(&node, LongPollRules { wait, ..rules }) => {
                if has_read {
                    wait_before_next_read(&node, sent).await;
                }
            }
            () = node.list_reread_wanted.notified(), if wait > Millis::ZERO => {}
        }
    }
}

/// Waits before the next read of the list: a short time if the steward waits for entries.
async fn wait_before_next_read(node: &Node, sent: Millis) {
    let min_pause =
        if node.has_traffic() { LIST_READ_INTERVAL_BUSY } else { LIST_READ_INTERVAL_BUSY_EARLY };
    tokio::time::sleep(min_pause.to_duration()).await;
    if node.is_steward_busy.load(Ordering::Relaxed) {
        return;
    }
    let interval = if node.has_traffic() { LIST_READ_INTERVAL } else { LIST_READ_INTERVAL_EARLY };
    let interval = Millis(rand::random_range(interval.0 * 2 / 3..=interval.0 * 4 / 3));
    let left = interval.since(node.now().since(sent));
    tokio::select! {
        () = tokio::time::sleep(left.to_duration()) => {}
        () = node.list_read_wanted.notified() => {}
    }
}

/// Reads the list from the current position on. Returns whether the store answered.
async fn read_list(node: &Node, rules: LongPollRules) -> bool {
    // Positions of an earlier era are not valid in the present one.
    let from = || node.list.lock().next.filter(|next| next.era == node.store_monitor.era());
    let is_needed = || !do_peers_read(node, is_list_current);
    let outcome = long_poll::read(node, Topic::List, rules, from, is_needed).await;
    let PollAnswer { records, from, sent } = match outcome {
        PollOutcome::Read(answer) => answer,
        PollOutcome::ReadByPeers => return false,
        PollOutcome::Gone => {
            node.list.lock().next = None;
            return false;
        }
    };
    if from.is_some_and(|from| from.era < records.end.era) {
        // The poll used a position of the previous era: ignore the records and read again.
        return true;
    }
    let is_full = from.is_none();
    let end = next_position(&records, from);
    if node.list.lock().trust.last_failure_at().is_some_and(|at| at >= sent) {
        log_read_again(node, from, end, sent);
    }
    enter_era(node, end, is_full.then_some(sent));
    apply_records(node, &records, is_full, sent);
    {
        let mut list = node.list.lock();
        // Peers may have delivered later records meanwhile.
        let end = end.max(list.next.unwrap_or_default());
        list.next = Some(end);
        list.read_at = list.read_at.max(sent);
        list.gap.on_own_list_end(end);
        list.has_unsent_records |= !records.records.is_empty();
    }
    if !records.records.is_empty() {
        node.news_wanted.notify_one();
    }
    true
}

/// Logs an answered read of the list, sent at `sent`, that follows a failure.
fn log_read_again(node: &Node, from: Option<LogPosition>, end: LogPosition, sent: Millis) {
    let fields = [
        ("from", &*from.map_or_else(String::new, |from| from.offset.to_string())),
        ("end", &*end.offset.to_string()),
        ("asked", &*node.now().since(sent).to_string()),
    ];
    emit(Event::ListReadAgain, &fields);
}

/// Moves the list to the era of `end` if that is a new one. Its first full read, sent at
/// `full_read_at`, counts as a restored snapshot if instances may not have renewed their entries
/// by then.
fn enter_era(node: &Node, end: LogPosition, full_read_at: Option<Millis>) {
    let trusted_from = node.store_monitor.trusted_from();
    let mut list = node.list.lock();
    let last = list.era.replace(end.era);
    if last.is_none_or(|last| last == end.era) {
        return;
    }
    list.roster.begin_era(end.era, trusted_from);
    if full_read_at.is_some_and(|sent| sent < trusted_from) {
        list.copy_end = end;
    }
}

/// Applies list records; if they are the full list (`is_full`), instances without a record are
/// gone.
fn apply_records(node: &Node, records: &Records, is_full: bool, sent: Millis) {
    let now = node.now();
    if !is_full && records.records.is_empty() {
        return;
    }
    let mut listed_ids = BTreeSet::new();
    for record in &records.records {
        let Ok(id) = InstanceId::new(&record.key) else {
            log_unreadable(node, record, "the key is not a valid instance id");
            store_raw(&mut node.list.lock(), record, false);
            continue;
        };
        listed_ids.insert(id.clone());
        apply_record(node, &id, record, now, sent);
    }
    if is_full {
        node.list.lock().roster.on_full_list(&listed_ids, records.end, sent);
    }
    node.on_list_changed();
    node.planning_wanted.notify_one();
}

/// Applies one list record, of a read sent at `sent`, unless a newer one of the instance is known.
fn apply_record(node: &Node, id: &InstanceId, record: &Record, now: Millis, sent: Millis) {
    let decoded = match record.value.is_empty() {
        true => Ok(None),
        false => entries::decode(id, &record.value).map(Some),
    };
    if let Err(err) = &decoded {
        log_unreadable(node, record, &err.to_string());
    }
    let mut list = node.list.lock();
    let is_newer = list.raw.get(&record.key).is_none_or(|(place, _)| *place <= record.place);
    if !is_newer {
        return;
    }
    let is_restored = record.place < list.copy_end && record.place.era == list.copy_end.era;
    let is_update = list.roster.get(id).is_some_and(|entry| entry.place < record.place);
    store_raw(&mut list, record, decoded.is_ok());
    let Ok(decoded_entry) = decoded else {
        list.roster.apply_unreadable(record.place, id, now);
        return;
    };
    let withdrawn_before = list.roster.get(id).and_then(withdrawal);
    let identity = decoded_entry.as_ref().map(|decoded_entry| decoded_entry.identity.clone());
    let cold_left = decoded_entry.as_ref().map_or(Millis::ZERO, |entry| entry.cold_left);
    let ended = match decoded_entry {
        Some(decoded_entry) if is_restored => {
            list.roster.apply_restored(record.place, id, decoded_entry, now);
            None
        }
        decoded_entry => list.roster.apply(record.place, id, decoded_entry, now),
    };
    if let Some(identity) = &identity {
        list.by_instance_hash.insert(instance_hash(identity), identity.clone());
    }
    let withdrawn = list.roster.get(id).and_then(withdrawal);
    drop(list);
    if let Some(state) = withdrawn.filter(|state| withdrawn_before != Some(*state)) {
        let asked = now.since(sent).to_string();
        let offset = record.place.offset.to_string();
        let fields =
            [("instance", id.as_str()), ("state", state), ("offset", &*offset), ("asked", &*asked)];
        emit(Event::InstanceWithdrawn, &fields);
    }
    if let Some(identity) = &identity {
        node.on_cold(identity, cold_left);
    }
    if let Some(incarnation) = ended {
        node.note_superseded(&incarnation);
    }
    if let Some(identity) = identity.filter(|_| is_update && !is_restored) {
        node.suspicions.lock().clear(&identity);
    }
}

/// How the list shows that an instance is to get no new requests; `None` if it doesn't.
fn withdrawal(entry: &Entry) -> Option<&'static str> {
    match (entry.unlisted_since, entry.is_leaving()) {
        (Some(_), _) => Some("gone"),
        (None, true) => Some("leaving"),
        (None, false) => None,
    }
}

/// Keeps a record for forwarding to peers. An undecodable one is replaced by a marker.
fn store_raw(list: &mut ListReplica, record: &Record, is_readable: bool) {
    let unreadable = Bytes::from_static(entries::UNREADABLE_ENTRY);
    let value = if is_readable { record.value.clone() } else { unreadable };
    list.raw.insert(record.key.clone(), (record.place, value));
}

/// Logs an undecodable record, once for each.
fn log_unreadable(node: &Node, record: &Record, why: &str) {
    let list = node.list.lock();
    let is_known = list.raw.get(&record.key).is_some_and(|(place, _)| *place >= record.place);
    drop(list);
    if !is_known {
        emit(Event::EntryUnreadable, &[("key", &record.key), ("why", why)]);
    }
}

/// Applies list records from a peer that arrived after `since`. Returns `false` if records
/// between this node's list and them are missing.
pub fn apply_list_news(node: &Node, update: &ListNews, since: Millis) -> bool {
    let now = node.now();
    let next = {
        let mut list = node.list.lock();
        let next = list.next;
        if next.unwrap_or_default() < update.from {
            list.gap.on_peer_list_end(next, update.next, now);
            return false;
        }
        if next.is_some_and(|next| next.era > update.next.era) {
            return true;
        }
        next
    };
    if update.next.era > node.store_monitor.era() {
        node.on_peer_era(update.next.era, now);
    }
    enter_era(node, update.next, None);
    {
        let mut list = node.list.lock();
        list.copy_end = list.copy_end.max(update.copy_end);
    }
    let sent = since - Millis(update.age_ms);
    let records: Vec<Record> = update
        .records
        .iter()
        .map(|record| Record {
            place: record.place,
            key: record.key.clone(),
            value: Bytes::copy_from_slice(&record.value),
        })
        .collect();
    apply_records(node, &Records { end: update.next, records }, false, sent);
    let mut list = node.list.lock();
    let end = list.next.unwrap_or_default().max(update.next);
    list.next = Some(end);
    list.read_at = list.read_at.max(sent);
    list.gap.on_own_list_end(end);
    drop(list);
    if next.is_some_and(|next| next < end) {
        node.news_wanted.notify_one();
    }
    true
}

/// The list records from position `from` on, for a peer.
pub fn news(node: &Node, from: impl Into<LogPosition>) -> ListNews {
    let from = from.into();
    let list = node.list.lock();
    let newer = list.raw.iter().filter(|(_, (place, _))| *place >= from);
    // An instance that a full read lacked is gone, whatever its last record says.
    let is_gone = |key: &str| {
        let entry = InstanceId::new(key).ok().and_then(|id| list.roster.get(&id));
        entry.is_some_and(|entry| entry.unlisted_since.is_some())
    };
    let records = newer.map(|(key, (place, value))| ListRecord {
        place: *place,
        key: key.clone(),
        value: if is_gone(key) { Vec::new() } else { value.to_vec() },
    });
    ListNews {
        from,
        next: list.next.unwrap_or_default(),
        copy_end: list.copy_end,
        age_ms: node.now().since(list.read_at).0,
        records: records.collect(),
    }
}
