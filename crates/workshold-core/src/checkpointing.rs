//! When to append a checkpoint of the state to the log, and when to expire
//! idempotency keys.

use workshold_protocol::Millis;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::Offset;
use workshold_protocol::record::Fact;
use workshold_protocol::record::KeyExpiry;

use crate::rendezvous;
use crate::state::State;

/// Intervals of the log maintenance.
#[derive(Debug, Clone, Copy)]
pub struct LogMaintenanceRules {
    /// Time between checkpoints; must stay well below half of the log's retention.
    pub checkpoint_every: Millis,
    /// Records between checkpoints; bounds what a new node has to replay.
    pub checkpoint_records: u64,
    /// How long idempotency keys are kept.
    pub key_window: Millis,
    /// Least time by which one expiry record raises the floor of the keys.
    pub forget_every: Millis,
}

/// What a node knows when it decides on log maintenance.
#[derive(Debug, Clone, Copy)]
pub struct LogMaintenanceView<'a> {
    /// The replayed state.
    pub state: &'a State,
    /// Offset of the last checkpoint record; `None` if none was read.
    pub last_checkpoint: Option<Offset>,
    /// When this node read it, by its monotonic clock.
    pub checkpoint_seen: Millis,
    /// This node's monotonic clock.
    pub now: Millis,
    /// This node's wall clock, which the keys' creation times are compared with.
    pub wall: Millis,
}

/// The node that maintains the log. Nodes that see different members may choose
/// different ones; duplicate maintenance records are harmless.
pub fn log_maintainer<'a>(nodes: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    rendezvous::first(b"log keeper", nodes, |node| node.as_str().as_bytes())
}

/// The facts that are due to be appended: a checkpoint, a new floor for keys.
pub fn due(view: &LogMaintenanceView<'_>, rules: &LogMaintenanceRules) -> Vec<Fact> {
    let mut facts = Vec::new();
    if checkpoint_is_due(view, rules) {
        facts.push(Fact::Checkpoint(view.state.to_checkpoint()));
    }
    facts.extend(floor_due(view, rules).map(Fact::KeysForgotten));
    facts
}

fn checkpoint_is_due(view: &LogMaintenanceView<'_>, rules: &LogMaintenanceRules) -> bool {
    let base = view.last_checkpoint.map_or(0, |offset| offset.0);
    let records = view.state.next().0.saturating_sub(base + 1);
    let is_old = view.now.since(view.checkpoint_seen) >= rules.checkpoint_every;
    records >= rules.checkpoint_records || (is_old && records > 0)
}

fn floor_due(view: &LogMaintenanceView<'_>, rules: &LogMaintenanceRules) -> Option<KeyExpiry> {
    let before = view.wall - rules.key_window;
    let due = before.since(view.state.keys.floor()) >= rules.forget_every;
    (due && !view.state.keys.is_empty()).then_some(KeyExpiry { before })
}
