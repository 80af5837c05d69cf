//! What a steward remembers between two plans. Losing it costs time, not safety.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;

use crate::state::State;

/// Since when something has been so, by the steward's own clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct StewardTimers {
    broken: BTreeMap<GroupId, Millis>,
    outside: BTreeMap<(GroupId, InstanceId), Millis>,
    gone: BTreeMap<InstanceId, Millis>,
    ordered: BTreeMap<InstanceId, Millis>,
    preloaded: Option<Millis>,
}

/// How long `key` has been so; the first time it is so starts the clock.
fn lasting<K: Ord>(map: &mut BTreeMap<K, Millis>, key: K, is_so: bool, now: Millis) -> Millis {
    if !is_so {
        map.remove(&key);
        return Millis::ZERO;
    }
    now.since(*map.entry(key).or_insert(now))
}

impl StewardTimers {
    /// How long the group has been broken.
    pub(super) fn broken_for(&mut self, group: &GroupId, is_broken: bool, now: Millis) -> Millis {
        lasting(&mut self.broken, group.clone(), is_broken, now)
    }

    /// How long the member has been seen outside of the group without a break.
    pub(super) fn outside_for(
        &mut self,
        group: &GroupId,
        member: &InstanceId,
        is_outside: bool,
        now: Millis,
    ) -> Millis {
        lasting(&mut self.outside, (group.clone(), member.clone()), is_outside, now)
    }

    /// How long the instance has been neither listed nor heard of.
    pub(super) fn gone_for(&mut self, instance: &InstanceId, is_gone: bool, now: Millis) -> Millis {
        lasting(&mut self.gone, instance.clone(), is_gone, now)
    }

    /// Whether an order may go out; at most one in `every`.
    pub(super) fn may_order(&mut self, instance: &InstanceId, every: Millis, now: Millis) -> bool {
        let due = self.ordered.get(instance).is_none_or(|last| now.since(*last) >= every);
        if due {
            self.ordered.insert(instance.clone(), now);
        }
        due
    }

    /// Whether the next spare may load; at most one in `every`.
    pub(super) fn may_preload(&mut self, every: Millis, now: Millis) -> bool {
        let due = self.preloaded.is_none_or(|last| now.since(last) >= every);
        if due {
            self.preloaded = Some(now);
        }
        due
    }

    pub(super) fn forget_ended(&mut self, state: &State) {
        let fleet = &state.fleet;
        self.broken.retain(|group, _| fleet.group(group).is_some());
        self.outside.retain(|(group, _), _| fleet.group(group).is_some());
        self.gone.retain(|instance, _| fleet.claim_of(instance).is_some());
    }
}
