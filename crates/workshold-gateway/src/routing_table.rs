//! Where requests can be sent now, made anew whenever something changed.

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

/// An instance that takes requests: of a plain service, or the head of a group.
#[derive(Debug)]
pub struct Target {
    /// Its id, which every request names.
    pub id: Identity,
    /// The service that it is part of.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SmolStr,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// The model that it serves, if it is a head.
    pub model: Option<SmolStr>,
    /// The usual time between events at a quiet head, in milliseconds.
    pub quiet_gap_ms: f64,
    /// What it takes to read a token of a prompt, in milliseconds.
    pub read_ms: f64,
    /// All members, itself included.
    pub members: Vec<Arc<Instance>>,
}

/// All targets by service.
#[derive(Debug, Default)]
pub struct RoutingTable {
    by_service: HashMap<ServiceName, Vec<Arc<Target>>>,
}

/// What an answer of a plain service usually takes, in milliseconds; only its
/// ratio to other targets matters.
const PLAIN_PACE_MS: f64 = 30.0;

impl RoutingTable {
    /// Judges every instance by its entry.
    pub fn make(
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
                    let groups = groups::collate(entries.filter(serving));
                    let head = |group| head_of(group, engine);
                    groups.iter().filter_map(head).map(Arc::new).collect()
                }
                _ => {
                    let plain = entries.filter(serving).map(|entry| plain(&entry.instance));
                    plain.map(Arc::new).collect()
                }
            };
            by_service.insert(upstream.name.clone(), targets);
        }
        Self { by_service }
    }

    /// Targets of a service.
    pub fn of(&self, service: &ServiceName) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// All targets that serve what `target` does.
    pub fn like<'a>(&'a self, target: &'a Target) -> impl Iterator<Item = &'a Arc<Target>> {
        let of_service = self.by_service.get(&target.service).into_iter().flatten();
        of_service.filter(|other| other.model == target.model)
    }

    /// The heads of all groups that serve.
    pub fn heads(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.by_service.values().flatten().filter(|target| target.model.is_some())
    }

    /// How many targets there are.
    pub fn len(&self) -> usize {
        self.by_service.values().map(Vec::len).sum()
    }

    /// Whether there is anything to send requests to.
    pub fn is_empty(&self) -> bool {
        self.by_service.values().all(Vec::is_empty)
    }
}

fn plain(instance: &Arc<Instance>) -> Target {
    Target {
        id: instance.identity.clone(),
        service: instance.service.clone(),
        address: instance.address.clone(),
        data_centre: instance.data_centre.clone(),
        slots: instance.slots,
        model: None,
        quiet_gap_ms: PLAIN_PACE_MS,
        read_ms: 0.0,
        members: vec![Arc::clone(instance)],
    }
}

fn head_of(
    group: &Group,
    engine: &workshold_core::hosted::serving_config::Engine,
) -> Option<Target> {
    if group.state() != Some(MemberState::Open) {
        return None;
    }
    let spec = engine.model(group.model())?;
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
        model: Some(SmolStr::new(group.model())),
        quiet_gap_ms: engine.event_gap_ms(spec),
        read_ms: spec.pace / engine.prefill_tokens_per_ms,
        members: group.members.values().cloned().collect(),
    })
}
