//! What a steward remembers between two plans. Losing it costs time, not safety.

use std::collections::BTreeMap;

use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::InstanceId;

use crate::state::State;

/// Since when conditions have held, and when the last orders were sent, by the planning
/// node's clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct StewardTimers {
    broken_since: BTreeMap<GroupId, Millis>,
    outside_since: BTreeMap<(GroupId, InstanceId), Millis>,
    gone_since: BTreeMap<InstanceId, Millis>,
    last_order: BTreeMap<InstanceId, Millis>,
    last_preload: Option<Millis>,
}

/// How long a condition has held for `key`; `holds` is whether it holds now.
fn held_for<K: Ord>(map: &mut BTreeMap<K, Millis>, key: K, holds: bool, now: Millis) -> Millis {
    if !holds {
        map.remove(&key);
        return Millis::ZERO;
    }
    now.since(*map.entry(key).or_insert(now))
}

impl StewardTimers {
    /// How long the group has had a lost member.
    pub(super) fn broken_for(&mut self, group: &GroupId, is_broken: bool, now: Millis) -> Millis {
        held_for(&mut self.broken_since, group.clone(), is_broken, now)
    }

    /// How long the member has reported, without interruption, to be outside of the group.
    pub(super) fn outside_for(
        &mut self,
        group: &GroupId,
        member: &InstanceId,
        is_outside: bool,
        now: Millis,
    ) -> Millis {
        held_for(&mut self.outside_since, (group.clone(), member.clone()), is_outside, now)
    }

    /// How long the instance has been neither listed nor heard from.
    pub(super) fn gone_for(&mut self, instance: &InstanceId, is_gone: bool, now: Millis) -> Millis {
        held_for(&mut self.gone_since, instance.clone(), is_gone, now)
    }

    /// Whether an order may be sent to the instance: at most one per `every`. If so, the
    /// order counts as sent.
    pub(super) fn may_order(&mut self, instance: &InstanceId, every: Millis, now: Millis) -> bool {
        let due = self.last_order.get(instance).is_none_or(|last| now.since(*last) >= every);
        if due {
            self.last_order.insert(instance.clone(), now);
        }
        due
    }

    /// Whether the next spare may load weights: at most one per `every`. If so, it counts
    /// as started.
    pub(super) fn may_preload(&mut self, every: Millis, now: Millis) -> bool {
        let due = self.last_preload.is_none_or(|last| now.since(last) >= every);
        if due {
            self.last_preload = Some(now);
        }
        due
    }

    pub(super) fn drop_ended(&mut self, state: &State) {
        let fleet = &state.fleet;
        self.broken_since.retain(|group, _| fleet.group(group).is_some());
        self.outside_since.retain(|(group, _), _| fleet.group(group).is_some());
        self.gone_since.retain(|instance, _| fleet.claim_of(instance).is_some());
    }
}
