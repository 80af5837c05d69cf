//! Replays the log: reads its records, applies them to the state, and logs what changed.

use std::sync::Arc;
use std::time::Duration;

use workshold_core::replay::ReplayOutcome;
use workshold_core::replay::checkpoints_of;
use workshold_core::state::Outcome;
use workshold_protocol::Millis;
use workshold_protocol::ids::Offset;
use workshold_protocol::log_api::ReadRecord;
use workshold_protocol::log_api::ReadReply;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;

use crate::events::Event;
use crate::events::emit;
use crate::node::LogState;
use crate::node::Node;
use crate::tasks::catch_up;
use crate::tasks::catch_up::Collected;
use crate::tasks::catch_up::RecordCollector;
use crate::tasks::catch_up::RecordSource;

/// How long a read waits for new records; also bounds how soon an outage is noticed.
const READ_WAIT: Millis = Millis(1_000);
/// Pause after a read that failed, or that a peer answered without waiting.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Replays for as long as the node runs.
pub async fn run(node: Arc<Node>) {
    loop {
        start(&node).await;
        follow(&node).await;
    }
}

/// Collects records until a first state can be built from them.
async fn start(node: &Node) {
    let mut collector = RecordCollector::default();
    let mut has_warned = false;
    loop {
        let Some((reply, source)) =
            catch_up::read_records(node, collector.next(), Millis::ZERO).await
        else {
            update_log_availability(node, None);
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        update_log_availability(node, Some(source));
        match collector.add(node, reply) {
            Collected::More(_) => continue,
            Collected::Complete(initial) => {
                // A peer's records are only used if it has authority, so this holds for them
                // too.
                node.log_state.write().authority.on_log_read();
                install(node, *initial);
                return;
            }
            Collected::NoCheckpoint if !has_warned => {
                has_warned = true;
                emit(Event::NoCheckpoint, &[]);
            }
            Collected::NoCheckpoint | Collected::Empty => {}
        }
        collector = RecordCollector::default();
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Makes the first state the node's state.
fn install(node: &Node, initial: catch_up::InitialState) {
    let next = initial.replay.state().next();
    {
        let mut log_state = node.log_state.write();
        log_state.tail = initial.tail;
        log_state.replay = Some(initial.replay);
        log_state.checkpoint_seen = node.now();
    }
    emit(Event::CaughtUp, &[("next", &next.to_string())]);
    log_bundle(node);
    on_state_changed(node, next);
}

/// Follows the log until records are missing: the log dropped them before they were read.
async fn follow(node: &Node) {
    loop {
        let next = node.with_state(|state| state.next()).unwrap_or_default();
        let Some((reply, source)) = catch_up::read_records(node, next, READ_WAIT).await else {
            update_log_availability(node, None);
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        update_log_availability(node, Some(source));
        if source == RecordSource::Peer {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if source == RecordSource::Log && reply.end < next {
            let fields = [("end", reply.end.to_string()), ("next", next.to_string())];
            emit(Event::LogWentBack, &[("end", &fields[0].1), ("next", &fields[1].1)]);
            tokio::time::sleep(READ_WAIT.to_duration()).await;
            continue;
        }
        if !apply_all(node, &reply, next) {
            return;
        }
        if source == RecordSource::Log && node.with_state(|state| state.next()) == Some(reply.end) {
            node.log_state.write().authority.on_log_read();
        }
    }
}

/// Applies the records of one read; false if there is a gap before or between them.
fn apply_all(node: &Node, reply: &ReadReply, next: Offset) -> bool {
    let first = reply.records.first().map_or(next, |record| record.offset);
    if first > next || (reply.records.is_empty() && reply.first > next) {
        return false;
    }
    for record in &reply.records {
        if !apply(node, record) {
            return false;
        }
    }
    true
}

/// Applies one record, and logs what it changed; false if records before it are missing.
fn apply(node: &Node, record: &ReadRecord) -> bool {
    let envelope = catch_up::open_record(node, &record.data);
    let step = {
        let mut log_state = node.log_state.write();
        apply_locked(&mut log_state, record, envelope.as_ref(), node.now())
    };
    let Some(step) = step else { return false };
    match step {
        ReplayOutcome::Old => {}
        ReplayOutcome::Diverged { next } => emit(Event::Diverged, &[("next", &next.to_string())]),
        ReplayOutcome::Applied(outcomes) => {
            node.counters.records.add(1);
            if let Some(envelope) = &envelope {
                log_facts(node, envelope, &outcomes);
            }
            on_state_changed(node, record.offset.next());
        }
    }
    true
}

/// Applies one record to the state, and keeps it for peers. Returns `None` if records before
/// it are missing.
fn apply_locked(
    log_state: &mut LogState,
    record: &ReadRecord,
    envelope: Option<&Envelope>,
    now: Millis,
) -> Option<ReplayOutcome> {
    let step = log_state.replay.as_mut()?.take(record.offset, envelope).ok()?;
    match step {
        ReplayOutcome::Diverged { .. } => log_state.is_diverged = true,
        ReplayOutcome::Applied(_) => log_state.tail.push(record.offset, &record.data),
        ReplayOutcome::Old => {}
    }
    if let Some(checkpoint) = envelope.and_then(|envelope| checkpoints_of(envelope).last()) {
        log_state.checkpoint_seen = now;
        log_state.tail.drop_before(checkpoint.next);
    }
    Some(step)
}

/// Updates what depends on the state, up to the record before `next`.
fn on_state_changed(node: &Node, next: Offset) {
    node.mark_serving_stale();
    node.refresh_serving();
    node.replayed.send_replace(next);
}

/// Records whether the log answered (`None`: neither it nor a peer), and logs changes.
fn update_log_availability(node: &Node, source: Option<RecordSource>) {
    let now = node.now();
    let answers = source == Some(RecordSource::Log);
    let mut log_state = node.log_state.write();
    let answered_before = log_state.log_answers;
    let first_time = log_state.last_log_answer_at.is_none();
    log_state.log_answers = answers;
    if answers {
        log_state.last_log_answer_at = Some(now);
    }
    drop(log_state);
    match (answered_before, answers) {
        (true, false) => emit(Event::LogUnreachable, &[]),
        (false, true) if !first_time => emit(Event::LogBack, &[]),
        _ => {}
    }
    if answered_before && source == Some(RecordSource::Peer) {
        emit(Event::FromPeers, &[]);
    }
}

/// Logs the outcome of each fact in a record.
fn log_facts(node: &Node, envelope: &Envelope, outcomes: &[Outcome]) {
    for (fact, outcome) in envelope.facts.iter().zip(outcomes) {
        match outcome {
            Ok(()) => log_fact(node, fact),
            Err(why) => {
                emit(Event::FactRejected, &[("kind", fact.kind()), ("why", &why.to_string())]);
            }
        }
    }
}

fn log_fact(node: &Node, fact: &Fact) {
    match fact {
        Fact::BundleSignedOff(_) => log_bundle(node),
        Fact::GroupFormed(formed) => emit(
            Event::GroupFormed,
            &[("group", formed.group.as_str()), ("model", formed.model.as_str())],
        ),
        Fact::GroupDraining(end) => emit(
            Event::GroupDraining,
            &[("group", end.group.as_str()), ("cause", &format!("{:?}", end.cause))],
        ),
        Fact::GroupDissolved(end) => emit(
            Event::GroupDissolved,
            &[("group", end.group.as_str()), ("cause", &format!("{:?}", end.cause))],
        ),
        Fact::StopRequested(request) => emit(
            Event::StopRequested,
            &[
                ("instance", request.instance.as_str()),
                ("stop", if request.stop { "yes" } else { "no" }),
            ],
        ),
        _ => {}
    }
}

/// Logs the bundle in force, and a warning for each team that has no API keys.
fn log_bundle(node: &Node) {
    let in_force = node.with_state(|state| state.bundles.in_force().cloned()).flatten();
    let Some(in_force) = in_force else { return };
    let (name, hash) = (&in_force.bundle.name, in_force.hash.short());
    let generation = in_force.generation.to_string();
    emit(Event::BundleInForce, &[("name", name), ("hash", &hash), ("generation", &generation)]);
    for (team, settings) in &in_force.bundle.teams {
        if settings.key_hashes.is_empty() {
            emit(Event::TeamsOpen, &[("team", team.as_str())]);
        }
    }
}
