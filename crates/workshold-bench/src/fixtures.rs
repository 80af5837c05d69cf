//! Fabric domains and log records of a given size, for the micro-benchmarks of hot paths.

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

/// A fabric domain whose groups all serve, with everything that a steward plans from. The steward
/// is the node that plans for a domain and sends orders to its instances.
#[derive(Debug)]
pub struct DomainFixture {
    /// State that was replayed from the log.
    pub state: State,
    /// The latest report of each instance.
    pub observations: Observations,
    /// The instances that are listed for the domain.
    pub list: InstanceList,
    /// Time of the reports and of planning.
    pub now: Millis,
    /// The steward's timeouts and costs.
    pub rules: StewardRules,
    domain: FabricDomain,
}

impl DomainFixture {
    /// The input of the steward's planner.
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

fn valid<T>(result: workshold_protocol::Result<T>) -> T {
    result.expect("the name is valid")
}

fn instance(i: usize) -> InstanceId {
    valid(InstanceId::new(&format!("instance-{i:04}")))
}

fn bundle(groups: usize, size: usize) -> Bundle {
    let text = format!(
        "name = \"bench\"\n[models.m]\nversion = \"v1\"\nreplicas = {groups}\n\
         [[models.m.roles]]\nname = \"full\"\ninstances = {size}\n"
    );
    Bundle::from_toml(&text).expect("the bundle is valid")
}

/// Builds a domain of `instances` instances in which `groups` groups of `size` instances serve; the
/// other instances are free.
pub fn serving_domain(instances: usize, groups: usize, size: usize) -> DomainFixture {
    let domain = valid(FabricDomain::new("fabric"));
    let bundle = bundle(groups, size);
    let hash = bundle.hash();
    let signed = SignedBundle::sign(bundle, &OperatorKey::generate());
    let mut state = State::default();
    let mut append = |fact| {
        let next = state.next();
        state
            .apply(next, &Envelope::new(Millis::ZERO, vec![fact]))
            .expect("offsets are consecutive");
        next
    };
    append(Fact::BundlePublished(Box::new(signed)));
    append(Fact::BundleSignedOff(SignOff { bundle: hash, parent: None }));
    let now = Millis(10_000);
    let mut observations = Observations::default();
    for g in 0..groups {
        let members = (g * size..(g + 1) * size)
            .map(|i| Member { instance: instance(i), incarnation: Incarnation(1) });
        let group = valid(GroupId::new(&format!("g{g}")));
        let fence = append(Fact::GroupFormed(GroupFormation {
            group: group.clone(),
            bundle: hash,
            model: valid(ModelName::new("m")),
            version: valid(Version::new("v1")),
            role: valid(RoleName::new("full")),
            domain: domain.clone(),
            members: members.collect(),
            relied_on: workshold_protocol::ids::Offset(2 + g as u64),
            replaces: None,
        }));
        for i in g * size..(g + 1) * size {
            let readiness = Readiness::Ready;
            let membership =
                GroupMembership { group: group.clone(), fence: fence.into(), readiness };
            observations.take(&instance(i), now, now, report(Some(membership)));
        }
    }
    for i in groups * size..instances {
        observations.take(&instance(i), now, now, report(None));
    }
    let listed = |i| ListedInstance {
        instance: instance(i),
        address: "127.0.0.1:1".to_owned(),
        data_centre: valid(DataCentre::new("dc")),
        kind: InstanceKind::Engine { domain: domain.clone(), accelerators: 8, fenced: true },
        leaving: false,
    };
    let list = InstanceList::new((0..instances).map(listed).collect());
    DomainFixture { state, observations, list, now, rules: rules(), domain }
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
        order_interval: Millis(1_000),
        load_mib_per_s: 1_024,
        expect: Expectations::default(),
    }
}

/// Builds `records` records with `intents_per_record` intents each.
pub fn intent_records(intents_per_record: usize, records: usize) -> Vec<Envelope> {
    let intent = |n: usize| {
        Fact::Intent(Intent {
            key: KeyDigest::of(&n.to_le_bytes()),
            key_time: Millis(1_000),
            request: RequestDigest::of(&n.to_le_bytes()),
            node: valid(NodeId::new("node-1")),
            incarnation: Incarnation(1),
        })
    };
    let facts =
        |r: usize| (0..intents_per_record).map(|i| intent(r * intents_per_record + i)).collect();
    (0..records).map(|r| Envelope::new(Millis::ZERO, facts(r))).collect()
}
