//! Log maintenance: writes checkpoints and expires idempotency keys. Also has the function
//! with which all tasks append to the log.

use std::sync::Arc;
use std::time::Duration;

use workshold_core::checkpointing;
use workshold_core::checkpointing::LogMaintenanceView;
use workshold_protocol::ids::Offset;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::seal_as_node;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Appends the maintenance records that are due, for as long as the node runs and if it is
/// the one node that maintains the log.
pub async fn run(node: Arc<Node>) {
    let mut tick = tokio::time::interval(CHECK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        if !is_log_maintainer(&node) {
            continue;
        }
        let facts = due_facts(&node);
        if facts.is_empty() {
            continue;
        }
        let envelope = Envelope::new(node.clock.wall(), facts);
        if let Some(offset) = append(&node, &envelope).await {
            emit(Event::CheckpointWritten, &[("offset", &offset.to_string())]);
        }
    }
}

/// Whether this node maintains the log: one of the live nodes does.
fn is_log_maintainer(node: &Node) -> bool {
    let (now, rules) = (node.now(), node.settings.membership_rules());
    let membership = node.membership.read();
    let live = membership.live(now, &rules).map(|(peer, _)| peer);
    checkpointing::log_maintainer(live.chain([node.name()])) == Some(node.name())
}

/// The checkpoint or expiry of keys that is due now; nothing while the replayed state may be
/// wrong or out of date.
fn due_facts(node: &Node) -> Vec<workshold_protocol::record::Fact> {
    let log_state = node.log_state.read();
    let Some(replay) = &log_state.replay else { return Vec::new() };
    if log_state.is_diverged || !log_state.log_answers {
        return Vec::new();
    }
    let view = LogMaintenanceView {
        state: replay.state(),
        last_checkpoint: replay.last_checkpoint(),
        checkpoint_seen: log_state.checkpoint_seen,
        now: node.now(),
        wall: node.clock.wall(),
    };
    checkpointing::due(&view, &node.settings.log_maintenance_rules())
}

/// Seals and appends a record, without a retry. On `None` it may or may not have been
/// appended.
pub async fn append(node: &Node, envelope: &Envelope) -> Option<Offset> {
    let text = seal_as_node(envelope, &node.checked.cluster_key);
    node.counters.control_sent.add(text.len() as u64);
    match node.log.append(&text).await {
        Ok(offset) => {
            node.counters.appends.add(1);
            Some(offset)
        }
        Err(_) => {
            node.counters.append_failures.add(1);
            None
        }
    }
}
