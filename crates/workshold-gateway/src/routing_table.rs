//! The table of targets that requests can be sent to now, rebuilt after every change.

use std::collections::HashMap;
use std::sync::Arc;

use smol_str::SmolStr;
use workshold_core::hosted::groups;
use workshold_core::hosted::groups::Group;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::roster::Entry;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::MemberState;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::serving_config::ServingConfig;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::ServiceName;

/// An instance that takes requests: one of a service without groups, or the head of a group.
#[derive(Debug)]
pub struct Target {
    /// Its identity; every request names the instance id, so that no other instance runs it.
    pub id: Identity,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Host and port that it listens on.
    pub address: SmolStr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// The model that its group serves; `None` for a service without groups.
    pub model: Option<SmolStr>,
    /// Expected time between two events of a stream that runs alone, in milliseconds; for a service
    /// without groups, of one answer.
    pub idle_event_gap_ms: f64,
    /// Time to process (prefill) one prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// All members of its group, itself included.
    pub members: Vec<Arc<Instance>>,
    /// Path at which it answers health checks.
    pub health_path: SmolStr,
}

/// All targets, by service.
#[derive(Debug, Default)]
pub struct RoutingTable {
    by_service: HashMap<ServiceName, Vec<Arc<Target>>>,
}

/// Expected time of one answer at a service without groups, in milliseconds. Only its ratio to the
/// other targets matters.
const UNGROUPED_ANSWER_MS: f64 = 30.0;

impl RoutingTable {
    /// Builds the table from the instance list and the configuration in force.
    pub fn build(
        serving_config: &ServingConfig,
        roster: &Roster,
        trust: &ListTrust,
        now: Millis,
    ) -> Self {
        let mut by_service = HashMap::new();
        for upstream in serving_config.upstreams.values() {
            let of_service = |entry: &&Entry| entry.instance.service == upstream.name;
            let serving = |entry: &&Entry| entry.is_in_service(trust, now);
            let entries = roster.iter().filter(of_service);
            let targets: Vec<Arc<Target>> = match &upstream.engine {
                Some(engine) if !engine.models.is_empty() => {
                    let groups = groups::assemble_groups(entries.filter(serving));
                    let head = |group| head_target(group, engine, &upstream.health_path);
                    groups.iter().filter_map(head).map(Arc::new).collect()
                }
                _ => {
                    let ungrouped = entries
                        .filter(serving)
                        .map(|entry| ungrouped_target(&entry.instance, &upstream.health_path));
                    ungrouped.map(Arc::new).collect()
                }
            };
            by_service.insert(upstream.name.clone(), targets);
        }
        Self { by_service }
    }

    /// The targets of a service.
    pub fn of(&self, service: &ServiceName) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All targets of the same service and model as `target`, itself included.
    pub fn like<'a>(&'a self, target: &'a Target) -> impl Iterator<Item = &'a Arc<Target>> {
        let of_service = self.by_service.get(&target.service).into_iter().flatten();
        of_service.filter(|other| other.model == target.model)
    }

    /// The heads of all groups that take requests.
    pub fn heads(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.by_service.values().flatten().filter(|target| target.model.is_some())
    }

    /// The number of targets over all services.
    pub fn len(&self) -> usize {
        self.by_service.values().map(Vec::len).sum()
    }

    /// Whether no target takes requests.
    pub fn is_empty(&self) -> bool {
        self.by_service.values().all(Vec::is_empty)
    }
}

/// The target of an instance that serves without a group.
fn ungrouped_target(instance: &Arc<Instance>, health_path: &SmolStr) -> Target {
    Target {
        id: instance.identity.clone(),
        service: instance.service.clone(),
        address: instance.address.clone(),
        data_centre: instance.data_centre.clone(),
        slots: instance.slots,
        model: None,
        idle_event_gap_ms: UNGROUPED_ANSWER_MS,
        prefill_ms_per_token: 0.0,
        members: vec![Arc::clone(instance)],
        health_path: health_path.clone(),
    }
}

/// The target of a group, which is its head; `None` if the group is incomplete or does not serve.
fn head_target(
    group: &Group,
    engine: &workshold_core::hosted::serving_config::Engine,
    health_path: &SmolStr,
) -> Option<Target> {
    if group.state() != Some(MemberState::Open) {
        return None;
    }
    let spec = group.model(engine)?;
    if group.members.len() < spec.size {
        return None;
    }
    let head = group.head()?;
    Some(Target {
        id: head.identity.clone(),
        service: head.service.clone(),
        address: head.address.clone(),
        data_centre: head.data_centre.clone(),
        slots: engine.slots,
        model: Some(SmolStr::new(spec.name.as_str())),
        idle_event_gap_ms: engine.event_gap_ms(spec),
        prefill_ms_per_token: spec.pace / engine.prefill_tokens_per_ms,
        members: group.members.values().cloned().collect(),
        health_path: health_path.clone(),
    })
}
