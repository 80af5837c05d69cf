//! A stand-in for the instance list: live and leaving instances, shown with a lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::ListedInstance;

/// The instance list and its past versions, from which the lagging view is read.
#[derive(Debug)]
pub struct InstanceList {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    versions: VecDeque<(Instant, Vec<ListedInstance>)>,
    lag: Millis,
}

/// Number of past versions that are kept.
const VERSIONS_MAX: usize = 256;

impl InstanceList {
    /// Creates a list of `instances` that readers see with a delay of `lag`.
    pub fn new(instances: Vec<ListedInstance>, lag: Millis) -> Arc<Self> {
        let versions = VecDeque::from([(Instant::now(), instances)]);
        Arc::new(Self { inner: Mutex::new(Inner { versions, lag }) })
    }

    /// Changes the delay with which readers see updates.
    pub fn set_lag(&self, lag: Millis) {
        self.inner.lock().lag = lag;
    }

    /// Marks an instance as leaving, or clears the mark.
    pub fn set_leaving(&self, instance: &InstanceId, leaving: bool) {
        self.update(|list| {
            list.iter_mut()
                .filter(|listed| &listed.instance == instance)
                .for_each(|listed| listed.leaving = leaving);
        });
    }

    /// Removes an instance from the list.
    pub fn remove(&self, instance: &InstanceId) {
        self.update(|list| list.retain(|listed| &listed.instance != instance));
    }

    /// Returns what readers see now: the list as it was one lag ago.
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
