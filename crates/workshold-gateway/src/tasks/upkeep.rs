//! Periodic work: reports readiness, refreshes the routing table and drops expired state.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::roster::Reversion;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::node::MIN_REBUILD_INTERVAL;
use crate::node::Node;

/// Interval of the periodic work: whether a missing entry counts as present changes by time alone.
const INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which expired state is dropped, which visits all entries.
const CLEANUP_INTERVAL: Millis = Millis(1_000);

/// Runs the periodic work until the node ends.
pub async fn run(node: Arc<Node>) {
    let mut last = None;
    let mut has_lost_paths = false;
    let mut cleaned_up_at = node.now();
    loop {
        let readiness = node.readiness();
        if last != Some(readiness) {
            match readiness {
                Ok(()) => emit(Event::Ready, &[]),
                Err(why) => emit(Event::NotReady, &[("why", &why.to_string())]),
            }
            last = Some(readiness);
            node.heartbeat_wanted.notify_one();
        }
        report_paths(&node, &mut has_lost_paths);
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            () = node.table_rebuild_wanted.notified() => {
                tokio::time::sleep(MIN_REBUILD_INTERVAL.to_duration()).await;
            }
        }
        node.refresh_table();
        // By the clock and not by timeouts of this loop: while the list changes all the time, there
        // are none.
        if node.now().since(cleaned_up_at) >= CLEANUP_INTERVAL {
            cleaned_up_at = node.now();
            drop_expired(&node);
        }
    }
}

/// Logs when this node begins or ceases to lack a path to instances that peers reach.
fn report_paths(node: &Node, has_lost_paths: &mut bool) {
    let lost = node.lost_paths();
    if (lost > 0) == *has_lost_paths {
        return;
    }
    *has_lost_paths = lost > 0;
    if lost == 0 {
        emit(Event::PathsBack, &[]);
        return;
    }
    let listed = node.list.lock().roster.iter().count();
    let heard = node.peers.lock().heard(node.now()).count();
    let fields = [
        ("lost", &*lost.to_string()),
        ("of", &*listed.to_string()),
        ("peers", &*heard.to_string()),
    ];
    emit(Event::PathsLost, &fields);
}

/// Drops entries that are over, and what is known of instances without an entry.
fn drop_expired(node: &Node) {
    let now = node.now();
    let mut list = node.list.lock();
    let read_at = list.read_at;
    let reversions = list.roster.forget(read_at);
    let last_failure_at = list.trust.last_failure_at();
    let known: BTreeSet<Identity> =
        list.roster.iter().map(|entry| entry.instance.identity.clone()).collect();
    let names: HashSet<&str> = known.iter().map(Identity::as_str).collect();
    list.raw.retain(|key, _| names.contains(key.as_str()));
    list.by_instance_hash.retain(|_, id| known.contains(id));
    drop(list);
    for reversion in &reversions {
        log_reversion(reversion, now, read_at, last_failure_at);
        node.note_superseded(&reversion.ended);
    }
    node.suspicions.lock().forget(now, |id| known.contains(id));
    node.forget_paths(|id| known.contains(id));
    node.gaps.lock().retain(|id| known.contains(id));
    node.outliers.lock().retain(|id| known.contains(id));
    node.instance_limits.lock().forget(now, |id| known.contains(id));
    node.cold_instances.lock().forget(now);
    node.quarantine.lock().forget(now);
    node.probe_plan.lock().forget(now);
    node.admission.lock().forget(now);
    node.loads.tidy();
    let mut peers = node.peers.lock();
    peers.forget(now);
    let others = peers.loads(now);
    drop(peers);
    node.loads.set_peer_loads(others, now);
}

/// Logs that a record of an earlier incarnation was accepted, and how recently the list was read
/// and the store failed: a record that waited during an outage proves nothing.
fn log_reversion(
    reversion: &Reversion,
    now: Millis,
    read_at: Millis,
    last_failure_at: Option<Millis>,
) {
    let age = |at: Millis| now.since(at).0.to_string();
    let fields = [
        ("instance", reversion.ended.as_str()),
        ("ended", &*reversion.ended.incarnation.to_string()),
        ("accepted", &*reversion.accepted.incarnation.to_string()),
        ("era", &*reversion.place.era.to_string()),
        ("offset", &*reversion.place.offset.to_string()),
        ("waited_ms", &*age(reversion.received_at)),
        ("list_read_ms_ago", &*age(read_at)),
        ("store_failed_ms_ago", &*last_failure_at.map_or_else(String::new, age)),
    ];
    emit(Event::EarlierIncarnationAccepted, &fields);
}
