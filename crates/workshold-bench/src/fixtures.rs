//! Domains and records of a given size, for the benches of hot paths.

use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::instance_list::InstanceList;
use workshold_core::observation::Observations;
use workshold_core::repair::Expectations;
use workshold_core::state::State;
use workshold_core::steward::StewardRules;
use workshold_core::steward::View;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::SignedBundle;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::KeyDigest;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::NodeId;
use workshold_protocol::ids::RequestDigest;
use workshold_protocol::ids::RoleName;
use workshold_protocol::ids::Version;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::GroupFormation;
use workshold_protocol::record::Intent;
use workshold_protocol::record::Member;
use workshold_protocol::record::SignOff;
use workshold_protocol::report::GroupMembership;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;
use workshold_protocol::report::Readiness;
use workshold_protocol::report::Report;
use workshold_protocol::signing::OperatorKey;

/// A domain whose groups all serve.
#[derive(Debug)]
pub struct Fixture {
    /// What lasts.
    pub state: State,
    /// What instances said.
    pub observations: Observations,
    /// What is listed.
    pub list: InstanceList,
    /// The time.
    pub now: Millis,
    /// What a steward keeps to.
    pub rules: StewardRules,
    domain: FabricDomain,
}

impl Fixture {
    /// What a steward looks at.
    pub fn view(&self) -> View<'_> {
        View {
            domain: &self.domain,
            state: &self.state,
            observations: &self.observations,
            list: &self.list,
            now: self.now,
        }
    }
}

fn name<T>(made: workshold_protocol::Result<T>) -> T {
    made.expect("it is a name")
}

fn instance(i: usize) -> InstanceId {
    name(InstanceId::new(&format!("instance-{i:04}")))
}

fn bundle(groups: usize, size: usize) -> Bundle {
    let text = format!(
        "name = \"bench\"\n[models.m]\nversion = \"v1\"\nreplicas = {groups}\n\
         [[models.m.roles]]\nname = \"full\"\ninstances = {size}\n"
    );
    Bundle::from_toml(&text).expect("it is a bundle")
}

/// A domain of so many instances, with groups of `size` that all serve.
pub fn domain(instances: usize, groups: usize, size: usize) -> Fixture {
    let domain = name(FabricDomain::new("fabric"));
    let bundle = bundle(groups, size);
    let hash = bundle.hash();
    let signed = SignedBundle::sign(bundle, &OperatorKey::generate());
    let mut state = State::default();
    let mut append = |fact| {
        let next = state.next();
        state.apply(next, &Envelope::new(Millis::ZERO, vec![fact])).expect("offsets follow");
        next
    };
    append(Fact::BundlePublished(Box::new(signed)));
    append(Fact::BundleSignedOff(SignOff { bundle: hash, parent: None }));
    let now = Millis(10_000);
    let mut observations = Observations::default();
    for g in 0..groups {
        let members = (g * size..(g + 1) * size)
            .map(|i| Member { instance: instance(i), incarnation: Incarnation(1) });
        let group = name(GroupId::new(&format!("g{g}")));
        let fence = append(Fact::GroupFormed(GroupFormation {
            group: group.clone(),
            bundle: hash,
            model: name(ModelName::new("m")),
            version: name(Version::new("v1")),
            role: name(RoleName::new("full")),
            domain: domain.clone(),
            members: members.collect(),
            relied_on: workshold_protocol::ids::Offset(2 + g as u64),
            replaces: None,
        }));
        for i in g * size..(g + 1) * size {
            let readiness = Readiness::Ready;
            let seat = GroupMembership { group: group.clone(), fence: fence.into(), readiness };
            observations.take(&instance(i), now, now, report(Some(seat)));
        }
    }
    for i in groups * size..instances {
        observations.take(&instance(i), now, now, report(None));
    }
    let listed = |i| ListedInstance {
        instance: instance(i),
        address: "127.0.0.1:1".to_owned(),
        data_centre: name(DataCentre::new("dc")),
        kind: InstanceKind::Engine { domain: domain.clone(), accelerators: 8, fenced: true },
        leaving: false,
    };
    let list = InstanceList::new((0..instances).map(listed).collect());
    Fixture { state, observations, list, now, rules: rules(), domain }
}

fn report(membership: Option<GroupMembership>) -> Report {
    let incarnation = Incarnation(1);
    Report {
        incarnation,
        membership,
        loaded: None,
        lag: Millis::ZERO,
        running: 3,
        queued: 0,
        slots: 64,
    }
}

fn rules() -> StewardRules {
    StewardRules {
        group_readiness: GroupReadinessRules { report_ttl: Millis(2_500) },
        release_wait: Millis(2_600),
        member_grace: Millis(3_000),
        gone_after: Millis(60_000),
        order_every: Millis(1_000),
        load_mib_per_s: 1_024,
        expect: Expectations::default(),
    }
}

/// So many records, each with so many intents.
pub fn intents(in_each: usize, records: usize) -> Vec<Envelope> {
    let intent = |n: usize| {
        Fact::Intent(Intent {
            key: KeyDigest::of(&n.to_le_bytes()),
            key_time: Millis(1_000),
            request: RequestDigest::of(&n.to_le_bytes()),
            node: name(NodeId::new("node-1")),
            incarnation: Incarnation(1),
        })
    };
    let facts = |r: usize| (0..in_each).map(|i| intent(r * in_each + i)).collect();
    (0..records).map(|r| Envelope::new(Millis::ZERO, facts(r))).collect()
}
