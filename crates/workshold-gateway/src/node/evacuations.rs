//! Evacuated data centres, to whose instances nothing is sent, and instances that are cold.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use workshold_core::hosted::evacuation::EvacuationChange;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::store_era::LogPosition;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::peers::WireEvacuations;

impl Node {
    /// Handles the set of all evacuated data centres at the position `end` of the operator's log.
    pub fn on_evacuations(&self, evacuated: BTreeSet<DataCentre>, end: LogPosition) {
        let now = self.now();
        let before = self.evacuated(now);
        if self.evacuations.lock().adopt(end, evacuated, now) {
            self.on_evacuations_changed(&before, end);
        }
    }

    /// Handles records of the operator's log that begin or end evacuations, up to `end`.
    pub fn on_evacuation_changes(&self, changes: Vec<EvacuationChange>, end: LogPosition) {
        let now = self.now();
        let before = self.evacuated(now);
        if self.evacuations.lock().apply(changes, end, now) {
            self.on_evacuations_changed(&before, end);
        }
    }

    /// Handles a peer's report of the evacuated data centres.
    pub fn on_reported_evacuations(&self, reported: &WireEvacuations) {
        let names = reported.data_centres.iter();
        let evacuated = names.filter_map(|name| DataCentre::new(name).ok()).collect();
        self.on_evacuations(evacuated, reported.end);
    }

    /// The evacuated data centres that this node reports to peers.
    pub fn evacuations_to_report(&self) -> Option<WireEvacuations> {
        let evacuations = self.evacuations.lock();
        let (end, evacuated) = evacuations.known()?;
        let data_centres = evacuated.iter().map(|name| SmolStr::new(name.as_str())).collect();
        Some(WireEvacuations { end, data_centres })
    }

    /// Whether a data centre is evacuated, so that nothing may be sent to its instances.
    pub fn is_evacuated(&self, data_centre: &DataCentre) -> bool {
        self.evacuations.lock().contains(data_centre, self.now())
    }

    /// Handles that an instance is cold for `left` more, if that is not zero.
    pub fn on_cold(&self, id: &Identity, left: Millis) {
        let now = self.now();
        if self.cold_instances.lock().on_cold(id, now + left, now) {
            let left_ms = left.0.to_string();
            emit(Event::InstanceCold, &[("instance", id.as_str()), ("left_ms", &*left_ms)]);
        }
    }

    /// The names of all evacuated data centres.
    fn evacuated(&self, now: Millis) -> BTreeSet<DataCentre> {
        self.evacuations.lock().all(now).cloned().collect()
    }

    /// Tells peers and the steward that other data centres are evacuated than `before`. Instances
    /// may have turned cold while theirs was, and their entries may not say so yet.
    fn on_evacuations_changed(&self, before: &BTreeSet<DataCentre>, end: LogPosition) {
        let now = self.now();
        let evacuated = self.evacuated(now);
        before.difference(&evacuated).for_each(|data_centre| self.expect_cold(data_centre));
        let names: Vec<&str> = evacuated.iter().map(DataCentre::as_str).collect();
        let offset = end.offset.to_string();
        let fields = [("evacuated", &*names.join(",")), ("offset", &*offset)];
        emit(Event::EvacuationsChanged, &fields);
        self.heartbeat_wanted.notify_one();
        self.planning_wanted.notify_one();
    }

    /// Takes all instances of a data centre for cold, as long as instances of their service are
    /// after a start.
    fn expect_cold(&self, data_centre: &DataCentre) {
        let Some(serving_config) = self.serving_config() else { return };
        let list = self.list.lock();
        let nearby = list.roster.iter().filter(|e| e.instance.data_centre == *data_centre);
        let cold: Vec<(Identity, Millis)> = nearby
            .filter_map(|entry| {
                let upstream = serving_config.upstreams.get(&entry.instance.service)?;
                Some((entry.instance.identity.clone(), upstream.cold_start?.duration))
            })
            .collect();
        drop(list);
        cold.iter().for_each(|(id, left)| self.on_cold(id, *left));
    }
}
