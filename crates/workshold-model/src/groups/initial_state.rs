//! Initial state of the group world: one serving group and a spare instance.

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

use crate::groups::Bounds;
use crate::groups::GroupWorld;
use crate::groups::LogEntry;
use crate::groups::OrderArrival;
use crate::groups::instance::Instance;
use crate::groups::node::Node;
use crate::mutation::Mutation;

/// The situation that a search of [`GroupWorld`] explores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Scenario {
    /// A member may be lost or cut off from the steward; a spare instance exists.
    Loss,
    /// An operator has asked for a planned stop of a member.
    Stop,
    /// Like `Loss`, but the node that is not the steward is in another data centre.
    RemoteNode,
    /// The platform may list a member as leaving.
    Leave,
}

const INSTANCES: usize = 3;
const GROUP_SIZE: u16 = 2;
const GROUP: &str = "first";
/// Offset of the record that forms the group; also the group's fencing token.
const FORMATION_OFFSET: u64 = 2;
/// Start of the clock. At zero no report could be older than a timeout.
const START_TIME: Millis = Millis(10);

pub(super) fn instance_id(i: usize) -> InstanceId {
    InstanceId::new(&format!("i{i}")).expect("the name is valid")
}

pub(super) fn index(instance: &InstanceId) -> usize {
    instance.as_str()[1..].parse().expect("`instance_id` made the name")
}

pub(super) fn domain() -> FabricDomain {
    FabricDomain::new("fabric").expect("the name is valid")
}

pub(super) fn listed_instance(i: usize, leaving: bool) -> ListedInstance {
    ListedInstance {
        instance: instance_id(i),
        address: String::new(),
        data_centre: DataCentre::new("dc").expect("the name is valid"),
        kind: InstanceKind::Engine { domain: domain(), accelerators: 8, fenced: true },
        leaving,
    }
}

fn model() -> ModelName {
    ModelName::new("model").expect("the name is valid")
}

fn version() -> Version {
    Version::new("v1").expect("the name is valid")
}

fn role() -> RoleName {
    RoleName::new("full").expect("the name is valid")
}

fn bundle() -> Bundle {
    let role = Role { name: role(), instances: GROUP_SIZE, worth: 1.0 };
    let spec = Model {
        version: version(),
        replicas: 1,
        roles: vec![role],
        adapters: std::collections::BTreeSet::new(),
        weights_mib: 1,
    };
    Bundle {
        name: "bundle".to_owned(),
        weights: CostWeights::default(),
        models: BTreeMap::from([(model(), spec)]),
        services: BTreeMap::new(),
        teams: BTreeMap::new(),
    }
}

fn formation() -> GroupFormation {
    let member = |i| Member { instance: instance_id(i), incarnation: Incarnation(1) };
    GroupFormation {
        group: GroupId::new(GROUP).expect("the name is valid"),
        bundle: bundle().hash(),
        model: model(),
        version: version(),
        role: role(),
        domain: domain(),
        members: (0..usize::from(GROUP_SIZE)).map(member).collect(),
        relied_on: Offset(FORMATION_OFFSET),
        replaces: None,
    }
}

fn initial_records(scenario: Scenario) -> Vec<LogEntry> {
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

/// A duplicate of the order that put the second member into the group, still in flight.
fn late_join_orders(bounds: &Bounds) -> Vec<(usize, Order)> {
    if bounds.order_arrival != OrderArrival::ImmediateAndLate {
        return Vec::new();
    }
    let join = JoinOrder {
        group: GroupId::new(GROUP).expect("the name is valid"),
        members: (0..usize::from(GROUP_SIZE)).map(instance_id).collect(),
        model: model(),
        version: version(),
        adapters: std::collections::BTreeSet::new(),
        role: role(),
        weights_mib: 1,
    };
    vec![(1, Order { fence: FencingToken(FORMATION_OFFSET), action: OrderAction::Join(join) })]
}

impl GroupWorld {
    /// A group of two instances serves and a third one is free; both nodes have read and probed
    /// everything.
    pub fn new(scenario: Scenario, bounds: Bounds, mutation: Option<Mutation>) -> Self {
        let log = initial_records(scenario);
        let mut state = State::default();
        for (at, entry) in log.iter().enumerate() {
            state.apply(Offset(at as u64), &entry.envelope()).expect("the offsets are consecutive");
        }
        let membership = |i: usize| {
            (i < usize::from(GROUP_SIZE)).then(|| GroupMembership {
                group: GroupId::new(GROUP).expect("the name is valid"),
                fence: FencingToken(FORMATION_OFFSET),
                readiness: Readiness::Ready,
            })
        };
        let instances: Vec<_> = (0..INSTANCES).map(|i| Instance::new(membership(i))).collect();
        let mut nodes = vec![
            Node::new(true, false, state.clone()),
            Node::new(false, scenario == Scenario::RemoteNode, state),
        ];
        nodes.iter_mut().for_each(|node| node.probe(&instances, START_TIME, None));
        Self {
            mutation,
            scenario,
            remaining: bounds,
            now: START_TIME,
            log,
            nodes,
            instances,
            orders_in_flight: late_join_orders(&bounds),
            requests_in_flight: Vec::new(),
            leaving: None,
            request_cut_off: false,
            sent_to_leaving: false,
        }
    }
}
