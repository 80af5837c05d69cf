//! This node's memory of the fleet's demand.

use std::collections::BTreeMap;

use workshold_core::hosted::capacity::CapacityEstimate;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::ModelSpec;
use workshold_protocol::Millis;
use workshold_protocol::ids::ModelName;

use super::Node;

impl Node {
    /// Records the fleet's present workload in the demand memory, if the settings have one. Nodes
    /// without a partition of the lease record it too, so that they remember it once they get one.
    pub fn record_demand(&self) {
        let retention = self.settings().demand_memory();
        self.demand_memory.lock().set_retention(retention);
        if retention == Millis::ZERO {
            return;
        }
        let Some(serving_config) = self.serving_config() else { return };
        for engine in serving_config.upstreams.values().filter_map(|up| up.engine.as_ref()) {
            let by_model = self.fleet_workload(engine).by_model;
            self.demand_memory.lock().record(&by_model, self.now());
        }
    }

    /// The remembered workload for the models of `engine`; empty if none is remembered.
    pub(super) fn remembered_workload(&self, engine: &Engine) -> BTreeMap<ModelName, Workload> {
        let now = self.now();
        let memory = self.demand_memory.lock();
        let remembered = |spec: &ModelSpec| {
            let need = |workload| CapacityEstimate::new(engine, spec, workload).min_groups();
            Some((spec.name.clone(), memory.remembered(&spec.name, need, now)?))
        };
        engine.models.iter().filter_map(remembered).collect()
    }
}
