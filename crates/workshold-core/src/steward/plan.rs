//! The result of planning: facts, orders, and the decisions behind them.

use serde::Serialize;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::Fact;
use workshold_protocol::report::Order;

use crate::repair::RepairChoice;

/// The result of planning for one domain.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Facts to append to the log, which may still reject them.
    pub facts: Vec<Fact>,
    /// Orders to send. Whether they took effect is known from reports, not from replies.
    pub orders: Vec<(InstanceId, Order)>,
    /// Decisions about groups, shown to operators.
    pub decisions: Vec<Decision>,
}

/// A decision about a group with its reasons.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// The group.
    pub group: GroupId,
    /// What was decided, as text for operators.
    pub what: String,
    /// The repairs that were compared, if the group was broken.
    pub choice: Option<RepairChoice>,
}

impl Plan {
    pub(super) fn add_decision(&mut self, group: &GroupId, what: impl Into<String>) {
        self.decisions.push(Decision { group: group.clone(), what: what.into(), choice: None });
    }
}
