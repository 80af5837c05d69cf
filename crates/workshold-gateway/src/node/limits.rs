//! How much instances take, by their own word.

use std::collections::BTreeSet;

use workshold_core::hosted::identity::Identity;
use workshold_platform::words::Limit;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;

impl Node {
    /// An answer of an instance names a limit, or none.
    pub fn hear_limit(&self, id: &Identity, limit: Limit) {
        let mut limits = self.limits.lock();
        let was = limits.get(id).copied();
        let is = match limit {
            Limit::PerSecond(limit) => Some(limit),
            Limit::None => None,
            Limit::Unreadable => was,
        };
        if was == is {
            return;
        }
        match is {
            Some(limit) => limits.insert(id.clone(), limit),
            None => limits.remove(id),
        };
        drop(limits);
        let text = |limit: Option<f64>| limit.map_or_else(String::new, |limit| limit.to_string());
        let fields = [("instance", id.as_str()), ("limit", &*text(is)), ("was", &*text(was))];
        emit(Event::InstanceLimited, &fields);
    }
    /// Forgets instances that are not among the `known`.
    pub fn tidy_limits(&self, known: &BTreeSet<Identity>) {
        self.limits.lock().retain(|id, _| known.contains(id));
    }
}
