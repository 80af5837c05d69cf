//! What a steward wants done, and why.

use serde::Serialize;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::Fact;
use workshold_protocol::report::Order;

use crate::repair::Choice;

/// What a steward wants done.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Facts to append; the log decides whether they count.
    pub facts: Vec<Fact>,
    /// Orders to send; their replies prove nothing, reports do.
    pub orders: Vec<(InstanceId, Order)>,
    /// What was decided about groups, for operators.
    pub decisions: Vec<Decision>,
}

/// A decision about a group with its reasons.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision {
    /// The group.
    pub group: GroupId,
    /// What was decided, in words.
    pub what: String,
    /// The options that were weighed, if there was a choice.
    pub choice: Option<Choice>,
}

impl Plan {
    pub(super) fn decide(&mut self, group: &GroupId, what: impl Into<String>) {
        self.decisions.push(Decision { group: group.clone(), what: what.into(), choice: None });
    }
}
