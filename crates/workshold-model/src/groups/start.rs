//! How the groups' world begins.

use std::collections::BTreeMap;

use workshold_core::state::State;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::CostWeights;
use workshold_protocol::bundle::Model;
use workshold_protocol::bundle::Role;
use workshold_protocol::bundle::SignedBundle;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::Offset;
use workshold_protocol::ids::RoleName;
use workshold_protocol::ids::Version;
use workshold_protocol::record::Fact;
use workshold_protocol::record::GroupFormation;
use workshold_protocol::record::Member;
use workshold_protocol::record::SignOff;
use workshold_protocol::record::StopRequest;
use workshold_protocol::report::GroupMembership;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::JoinOrder;
use workshold_protocol::report::ListedInstance;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;
use workshold_protocol::signing::OperatorSignature;
use workshold_protocol::signing::PublicKey;

use crate::groups::Arrival;
use crate::groups::Bounds;
use crate::groups::GroupWorld;
use crate::groups::LogEntry;
use crate::groups::instance::Instance;
use crate::groups::node::Node;
use crate::mutation::Mutation;

/// What happens to the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Scenario {
    /// A member goes missing, and a spare is there.
    Loss,
    /// An operator wants a member out of service.
    Stop,
    /// A member goes missing; the other node is of another data centre.
    Elsewhere,
    /// The platform is about to take a member away.
    Leave,
}

const INSTANCES: usize = 3;
const SIZE: u16 = 2;
const GROUP: &str = "first";
/// Records before the scenario begins.
const FORMED_AT: u64 = 2;
/// Time does not begin at zero, where nothing can be old.
const START: Millis = Millis(10);

pub(super) fn instance_id(i: usize) -> InstanceId {
    InstanceId::new(&format!("i{i}")).expect("a letter and digits make a name")
}

pub(super) fn index(instance: &InstanceId) -> usize {
    instance.as_str()[1..].parse().expect("names are made by `instance_id`")
}

pub(super) fn domain() -> FabricDomain {
    FabricDomain::new("fabric").expect("it is a name")
}

pub(super) fn listed(i: usize, leaving: bool) -> ListedInstance {
    ListedInstance {
        instance: instance_id(i),
        address: String::new(),
        data_centre: DataCentre::new("dc").expect("it is a name"),
        kind: InstanceKind::Engine { domain: domain(), accelerators: 8, fenced: true },
        leaving,
    }
}

fn model() -> ModelName {
    ModelName::new("model").expect("it is a name")
}

fn version() -> Version {
    Version::new("v1").expect("it is a name")
}

fn role() -> RoleName {
    RoleName::new("full").expect("it is a name")
}

fn bundle() -> Bundle {
    let role = Role { name: role(), instances: SIZE, worth: 1.0 };
    let wanted = Model {
        version: version(),
        replicas: 1,
        roles: vec![role],
        adapters: std::collections::BTreeSet::new(),
        weights_mib: 1,
    };
    Bundle {
        name: "bundle".to_owned(),
        weights: CostWeights::default(),
        models: BTreeMap::from([(model(), wanted)]),
        services: BTreeMap::new(),
        teams: BTreeMap::new(),
    }
}

fn formation() -> GroupFormation {
    let member = |i| Member { instance: instance_id(i), incarnation: Incarnation(1) };
    GroupFormation {
        group: GroupId::new(GROUP).expect("it is a name"),
        bundle: bundle().hash(),
        model: model(),
        version: version(),
        role: role(),
        domain: domain(),
        members: (0..usize::from(SIZE)).map(member).collect(),
        relied_on: Offset(FORMED_AT),
        replaces: None,
    }
}

fn first_records(scenario: Scenario) -> Vec<LogEntry> {
    let signature = OperatorSignature { key: PublicKey(String::new()), signature: String::new() };
    let signed = SignedBundle { bundle: bundle(), signature };
    let sign_off = SignOff { bundle: bundle().hash(), parent: None };
    let mut facts = vec![
        Fact::BundlePublished(Box::new(signed)),
        Fact::BundleSignedOff(sign_off),
        Fact::GroupFormed(formation()),
    ];
    if scenario == Scenario::Stop {
        let request = StopRequest { instance: instance_id(0), stop: true };
        facts.push(Fact::StopRequested(request));
    }
    facts.iter().map(|fact| LogEntry::of(std::slice::from_ref(fact))).collect()
}

/// A copy of the order that put the second member into the group, still under way.
fn late_copies(bounds: &Bounds) -> Vec<(usize, Order)> {
    if bounds.orders != Arrival::AtOnceAndLate {
        return Vec::new();
    }
    let join = JoinOrder {
        group: GroupId::new(GROUP).expect("it is a name"),
        members: (0..usize::from(SIZE)).map(instance_id).collect(),
        model: model(),
        version: version(),
        adapters: std::collections::BTreeSet::new(),
        role: role(),
        weights_mib: 1,
    };
    vec![(1, Order { fence: FencingToken(FORMED_AT), action: OrderAction::Join(join) })]
}

impl GroupWorld {
    /// A group of two serves, a third instance is free; both nodes know it all.
    pub fn new(scenario: Scenario, bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let log = first_records(scenario);
        let mut state = State::default();
        for (at, entry) in log.iter().enumerate() {
            state.apply(Offset(at as u64), &entry.envelope()).expect("offsets follow");
        }
        let seat = |i: usize| {
            (i < usize::from(SIZE)).then(|| GroupMembership {
                group: GroupId::new(GROUP).expect("it is a name"),
                fence: FencingToken(FORMED_AT),
                readiness: Readiness::Ready,
            })
        };
        let instances: Vec<_> = (0..INSTANCES).map(|i| Instance::new(seat(i))).collect();
        let mut nodes = vec![
            Node::new(true, false, state.clone()),
            Node::new(false, scenario == Scenario::Elsewhere, state),
        ];
        nodes.iter_mut().for_each(|node| node.probe(&instances, START, None));
        Self {
            mutation,
            scenario,
            left: bounds,
            now: START,
            log,
            nodes,
            instances,
            orders: late_copies(&bounds),
            under_way: Vec::new(),
            leaving: None,
            was_cut: false,
            sent_to_leaving: false,
        }
    }
}
