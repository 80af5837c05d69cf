//! The platform's instance list, sorted for lookup by binary search.

use std::ops::Deref;

use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::ListedInstance;

/// The instance list as last read from the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceList {
    rows: Vec<ListedInstance>,
}

impl InstanceList {
    /// Sorts `rows` by instance.
    pub fn new(mut rows: Vec<ListedInstance>) -> Self {
        rows.sort_by(|a, b| a.instance.cmp(&b.instance));
        Self { rows }
    }

    /// The row of `instance`; `None` if it is not listed.
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
