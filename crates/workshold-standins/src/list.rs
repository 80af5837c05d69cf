//! The instance list: live and leaving instances, with a lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::ListedInstance;

/// The list and what it was before.
#[derive(Debug)]
pub struct InstanceList {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    versions: VecDeque<(Instant, Vec<ListedInstance>)>,
    lag: Millis,
}

/// Past editions that are kept.
const VERSIONS_MAX: usize = 256;

impl InstanceList {
    /// A list of `instances` that lags by `lag`.
    pub fn new(instances: Vec<ListedInstance>, lag: Millis) -> Arc<Self> {
        let versions = VecDeque::from([(Instant::now(), instances)]);
        Arc::new(Self { inner: Mutex::new(Inner { versions, lag }) })
    }

    /// Changes the lag.
    pub fn set_lag(&self, lag: Millis) {
        self.inner.lock().lag = lag;
    }

    /// Marks an instance as leaving, or as staying.
    pub fn set_leaving(&self, instance: &InstanceId, leaving: bool) {
        self.update(|list| {
            list.iter_mut()
                .filter(|listed| &listed.instance == instance)
                .for_each(|listed| listed.leaving = leaving);
        });
    }

    /// Takes an instance off the list.
    pub fn remove(&self, instance: &InstanceId) {
        self.update(|list| list.retain(|listed| &listed.instance != instance));
    }

    /// What the list shows now, which is what was so a lag ago.
    pub fn visible(&self) -> Vec<ListedInstance> {
        let inner = self.inner.lock();
        let lag = inner.lag.to_duration();
        let old_enough = inner.versions.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        let version = old_enough.or_else(|| inner.versions.front());
        version.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn update(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut inner = self.inner.lock();
        let mut list = inner.versions.back().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        if inner.versions.len() == VERSIONS_MAX {
            inner.versions.pop_front();
        }
        inner.versions.push_back((Instant::now(), list));
    }
}
