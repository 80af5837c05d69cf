//! The platform's instance list, in order, so that an instance is found fast.

use std::ops::Deref;

use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::ListedInstance;

/// The instance list as last read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceList {
    rows: Vec<ListedInstance>,
}

impl InstanceList {
    /// Puts `rows` in order.
    pub fn new(mut rows: Vec<ListedInstance>) -> Self {
        rows.sort_by(|a, b| a.instance.cmp(&b.instance));
        Self { rows }
    }

    /// The row of `instance`, if it is listed.
    pub fn find(&self, instance: &InstanceId) -> Option<&ListedInstance> {
        let at = self.rows.binary_search_by(|row| row.instance.cmp(instance)).ok()?;
        self.rows.get(at)
    }
}

impl Deref for InstanceList {
    type Target = [ListedInstance];

    fn deref(&self) -> &[ListedInstance] {
        &self.rows
    }
}
