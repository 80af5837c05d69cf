//! When to restate what lasts, and when to forget keys.

use workshold_protocol::Millis;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::Offset;
use workshold_protocol::record::Fact;
use workshold_protocol::record::KeyFloor;

use crate::rendezvous;
use crate::state::State;

/// How often the log's upkeep is due.
#[derive(Debug, Clone, Copy)]
pub struct LogMaintenanceRules {
    /// Time between checkpoints; well below half of the log's retention.
    pub checkpoint_every: Millis,
    /// Records between checkpoints, so that a new node replays no more.
    pub checkpoint_records: u64,
    /// How long idempotency keys are remembered.
    pub key_window: Millis,
    /// Time between records that forget keys.
    pub forget_every: Millis,
}

/// What the writer of checkpoints knows.
#[derive(Debug, Clone, Copy)]
pub struct LogMaintenanceView<'a> {
    /// What lasts.
    pub state: &'a State,
    /// The offset of the last checkpoint.
    pub last_checkpoint: Option<Offset>,
    /// When this node saw it, by its own clock.
    pub checkpoint_seen: Millis,
    /// This node's clock.
    pub now: Millis,
    /// The time of day as this node believes it.
    pub wall: Millis,
}

/// The node that keeps the log in order; several at once do no harm.
pub fn log_maintainer<'a>(nodes: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    rendezvous::first(b"log keeper", nodes, |node| node.as_str().as_bytes())
}

/// The facts that are due.
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

fn floor_due(view: &LogMaintenanceView<'_>, rules: &LogMaintenanceRules) -> Option<KeyFloor> {
    let before = view.wall - rules.key_window;
    let due = before.since(view.state.keys.floor()) >= rules.forget_every;
    (due && !view.state.keys.is_empty()).then_some(KeyFloor { before })
}
