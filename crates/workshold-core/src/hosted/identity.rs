//! Identifies one incarnation of an instance.

use std::fmt;

use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;

/// One incarnation of an instance: what is known of it doesn't apply to any other one.
///
/// The incarnation is the start time of its process by its own clock, in milliseconds, or 0 if
/// the instance doesn't report it. Incarnations of one instance that report the same time can't
/// be told apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Identity {
    /// The instance's id, which may stay the same over restarts.
    pub id: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
}

impl Identity {
    /// The instance's id as text, without the incarnation.
    pub fn as_str(&self) -> &str {
        self.id.as_str()
    }
}

/// The identity of an instance that doesn't report its start time.
impl From<InstanceId> for Identity {
    fn from(id: InstanceId) -> Self {
        Self { id, incarnation: Incarnation::default() }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.id.fmt(f)
    }
}
