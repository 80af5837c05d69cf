//! Tests that a steward brings a small domain to the groups that the bundle asks for
//! and then appends no more facts.

use std::collections::BTreeMap;

use rstest::rstest;
use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::instance_list::InstanceList;
use workshold_core::observation::Observations;
use workshold_core::repair::Expectations;
use workshold_core::state::State;
use workshold_core::steward;
use workshold_core::steward::StewardRules;
use workshold_core::steward::StewardTimers;
use workshold_core::steward::View;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::SignedBundle;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::SignOff;
use workshold_protocol::record::StopRequest;
use workshold_protocol::report::GroupMembership;
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;
use workshold_protocol::report::ModelWeights;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;
use workshold_protocol::report::Report;
use workshold_protocol::signing::OperatorKey;

const STEP: Millis = Millis(500);

/// A simulated domain: instances that carry out orders at once, and a steward that
/// plans every half second.
struct Domain {
    state: State,
    observations: Observations,
    timers: StewardTimers,
    now: Millis,
    instances: BTreeMap<InstanceId, Instance>,
    list: InstanceList,
    appended_records: usize,
}

#[derive(Default)]
struct Instance {
    is_up: bool,
    incarnation: u64,
    membership: Option<GroupMembership>,
    loaded: Option<ModelWeights>,
}

fn id(i: u16) -> InstanceId {
    InstanceId::new(&format!("i{i:02}")).unwrap()
}

fn domain() -> FabricDomain {
    FabricDomain::new("fabric").unwrap()
}

fn bundle(name: &str, version: &str, replicas: u16) -> Bundle {
    let text = format!(
        "name = \"{name}\"\n[models.m]\nversion = \"{version}\"\nreplicas = {replicas}\n\
         [[models.m.roles]]\nname = \"full\"\ninstances = 4\n\
         [[models.m.roles]]\nname = \"half\"\ninstances = 2\nworth = 0.4\n"
    );
    Bundle::from_toml(&text).unwrap()
}

impl Domain {
    fn new(instances: u16, first: Bundle) -> Self {
        let listed = |i| ListedInstance {
            instance: id(i),
            address: String::new(),
            data_centre: DataCentre::new("dc").unwrap(),
            kind: InstanceKind::Engine { domain: domain(), accelerators: 8, fenced: true },
            leaving: false,
        };
        let running = |i| (id(i), Instance { is_up: true, incarnation: 1, ..Instance::default() });
        let mut domain = Self {
            state: State::default(),
            observations: Observations::default(),
            timers: StewardTimers::default(),
            now: Millis(10_000),
            instances: (0..instances).map(running).collect(),
            list: InstanceList::new((0..instances).map(listed).collect()),
            appended_records: 0,
        };
        domain.roll_out(first);
        domain
    }

    fn roll_out(&mut self, bundle: Bundle) {
        let parent = self.state.bundles.in_force().map(|in_force| in_force.hash);
        let hash = bundle.hash();
        let signed = SignedBundle::sign(bundle, &OperatorKey::generate());
        self.append(vec![Fact::BundlePublished(Box::new(signed))]);
        self.append(vec![Fact::BundleSignedOff(SignOff { bundle: hash, parent })]);
    }

    fn append(&mut self, facts: Vec<Fact>) {
        self.appended_records += 1;
        let envelope = Envelope::new(Millis::ZERO, facts);
        let next = self.state.next();
        self.state.apply(next, &envelope).unwrap();
    }

    fn crash_instance(&mut self, i: u16) {
        self.instances.get_mut(&id(i)).unwrap().is_up = false;
    }

    fn restart_instance(&mut self, i: u16) {
        let instance = self.instances.get_mut(&id(i)).unwrap();
        *instance =
            Instance { is_up: true, incarnation: instance.incarnation + 1, ..Instance::default() };
    }

    fn run(&mut self, secs: u64) {
        let end = self.now + Millis::from_secs(secs);
        while self.now < end {
            self.step();
            self.now = self.now + STEP;
        }
    }

    fn step(&mut self) {
        for (id, instance) in self.instances.iter().filter(|(_, instance)| instance.is_up) {
            let report = Report {
                incarnation: Incarnation(instance.incarnation),
                membership: instance.membership.clone(),
                loaded: instance.loaded.clone(),
                lag: Millis::ZERO,
                running: 0,
                queued: 0,
                slots: 4,
            };
            self.observations.take(id, self.now, self.now, report);
        }
        let rules = StewardRules {
            group_readiness: GroupReadinessRules { report_ttl: Millis(2_500) },
            release_wait: Millis(2_600),
            member_grace: Millis(3_000),
            gone_after: Millis(60_000),
            order_interval: Millis(1_000),
            load_mib_per_s: 1_024,
            expect: Expectations::default(),
        };
        let view = View {
            domain: &domain(),
            state: &self.state,
            observations: &self.observations,
            list: &self.list,
            now: self.now,
        };
        let plan = steward::plan(&view, &mut self.timers, &rules);
        for (id, order) in plan.orders {
            let instance = self.instances.get_mut(&id).unwrap();
            match order.action {
                OrderAction::Join(join) => {
                    let (group, fence) = (join.group, order.fence);
                    instance.loaded =
                        Some(ModelWeights { model: join.model, version: join.version });
                    instance.membership =
                        Some(GroupMembership { group, fence, readiness: Readiness::Ready });
                }
                OrderAction::Drain { .. } => {
                    if let Some(membership) = &mut instance.membership {
                        membership.readiness = Readiness::Draining;
                    }
                }
                OrderAction::Leave { .. } => instance.membership = None,
                OrderAction::Load { weights, .. } => instance.loaded = Some(weights),
            }
        }
        if !plan.facts.is_empty() {
            self.append(plan.facts);
        }
    }

    /// Role and version of each active group, sorted, and the number of unclaimed instances.
    fn groups_and_free(&self) -> (Vec<String>, usize) {
        let active = self.state.fleet.groups().filter(|group| group.is_active());
        let mut groups: Vec<_> = active.map(|g| format!("{}@{}", g.role, g.version)).collect();
        groups.sort();
        let free = self.instances.keys().filter(|id| self.state.fleet.claim_of(id).is_none());
        (groups, free.count())
    }

    /// Asserts that no fact is appended for a minute.
    fn assert_appends_nothing(&mut self) {
        let before = self.appended_records;
        self.run(60);
        assert_eq!(self.appended_records, before, "the steward still appends facts");
    }
}

#[rstest]
#[case::exact(8, 2, &["full@v1", "full@v1"], 0)]
#[case::with_spares(10, 2, &["full@v1", "full@v1"], 2)]
#[case::not_enough_for_two(6, 2, &["full@v1", "half@v1"], 0)]
#[case::too_few_for_any_group(1, 2, &[], 1)]
fn forms_the_groups_that_fit(
    #[case] instances: u16,
    #[case] replicas: u16,
    #[case] groups: &[&str],
    #[case] free: usize,
) {
    let mut domain = Domain::new(instances, bundle("b", "v1", replicas));
    domain.run(30);
    assert_eq!(domain.groups_and_free(), (groups.iter().map(|g| (*g).to_owned()).collect(), free));
    domain.assert_appends_nothing();
}

#[test]
fn a_lost_member_is_replaced_by_a_spare() {
    let mut domain = Domain::new(5, bundle("b", "v1", 1));
    domain.run(20);
    domain.crash_instance(0);
    domain.run(30);
    let (groups, _) = domain.groups_and_free();
    assert_eq!(groups, ["full@v1"]);
    assert!(domain.state.fleet.groups().any(|group| group.is_active() && !group.has(&id(0))));
    domain.assert_appends_nothing();
}

#[test]
fn shrunk_groups_grow_back() {
    let mut domain = Domain::new(8, bundle("b", "v1", 2));
    domain.run(20);
    // Both groups lose a member for a long time, and there is no spare.
    domain.crash_instance(0);
    domain.crash_instance(7);
    domain.run(2_000);
    domain.restart_instance(0);
    domain.restart_instance(7);
    domain.run(120);
    assert_eq!(domain.groups_and_free(), (vec!["full@v1".to_owned(), "full@v1".to_owned()], 0));
    domain.assert_appends_nothing();
}

#[test]
fn a_new_version_replaces_the_old_groups_one_by_one() {
    let mut domain = Domain::new(8, bundle("b", "v1", 2));
    domain.run(20);
    domain.roll_out(bundle("c", "v2", 2));
    for _ in 0..240 {
        domain.step();
        domain.now = domain.now + STEP;
        let active = domain.state.fleet.groups().filter(|group| group.is_active()).count();
        assert!(active >= 1, "at least one group stays active");
    }
    assert_eq!(domain.groups_and_free(), (vec!["full@v2".to_owned(), "full@v2".to_owned()], 0));
    domain.assert_appends_nothing();
}

#[test]
fn a_group_with_a_stopped_instance_is_replaced_before_it_drains() {
    let mut domain = Domain::new(8, bundle("b", "v1", 1));
    domain.run(20);
    let request = StopRequest { instance: id(0), stop: true };
    domain.append(vec![Fact::StopRequested(request)]);
    for _ in 0..60 {
        domain.step();
        domain.now = domain.now + STEP;
        assert!(domain.state.fleet.groups().any(|group| group.is_active()), "no downtime");
    }
    assert_eq!(domain.state.fleet.claim_of(&id(0)), None);
    assert_eq!(domain.groups_and_free().0, ["full@v1"]);
    domain.assert_appends_nothing();
}

#[test]
fn fewer_replicas_end_only_surplus_groups() {
    let mut domain = Domain::new(8, bundle("b", "v1", 2));
    domain.run(20);
    domain.roll_out(bundle("c", "v1", 1));
    domain.run(30);
    assert_eq!(domain.groups_and_free(), (vec!["full@v1".to_owned()], 4));
    domain.assert_appends_nothing();
}

#[test]
fn a_missing_group_is_formed_before_another_grows() {
    let mut domain = Domain::new(8, bundle("b", "v1", 3));
    domain.crash_instance(6);
    domain.crash_instance(7);
    domain.run(20);
    assert_eq!(domain.groups_and_free().0, ["full@v1", "half@v1"]);
    domain.restart_instance(6);
    domain.restart_instance(7);
    domain.run(30);
    assert_eq!(
        domain.groups_and_free(),
        (vec!["full@v1".into(), "half@v1".into(), "half@v1".into()], 0)
    );
    domain.assert_appends_nothing();
}

#[test]
fn spares_preload_weights_and_loaded_ones_are_claimed_first() {
    let mut domain = Domain::new(7, bundle("b", "v1", 1));
    domain.run(20);
    domain.run(60);
    let spares: Vec<_> = domain
        .instances
        .iter()
        .filter(|(id, _)| domain.state.fleet.claim_of(id).is_none())
        .map(|(id, instance)| (id.clone(), instance.loaded.is_some()))
        .collect();
    assert!(spares.iter().all(|(_, is_loaded)| *is_loaded), "{spares:?}");
    // A spare that restarts has lost its weights; those that have them are claimed first.
    domain.crash_instance(0);
    domain.run(4);
    domain.restart_instance(4);
    domain.run(12);
    let taken = domain.state.fleet.claim_of(&id(5)).or(domain.state.fleet.claim_of(&id(6)));
    let groups: Vec<_> = domain.state.fleet.groups().collect();
    assert!(taken.is_some() && domain.state.fleet.claim_of(&id(4)).is_none(), "{groups:#?}");
}
