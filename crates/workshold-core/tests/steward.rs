//! A steward brings a small domain to what the bundle asks for, and then rests.

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
use workshold_protocol::report::InstanceKind;
use workshold_protocol::report::ListedInstance;
use workshold_protocol::report::Membership;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;
use workshold_protocol::report::Report;
use workshold_protocol::report::Weights;
use workshold_protocol::signing::OperatorKey;

const STEP: Millis = Millis(500);

/// Instances that obey at once, and a steward that plans every half second.
struct Domain {
    state: State,
    observations: Observations,
    timers: StewardTimers,
    now: Millis,
    up: BTreeMap<InstanceId, Instance>,
    list: InstanceList,
    records: usize,
}

#[derive(Default)]
struct Instance {
    is_up: bool,
    life: u64,
    seat: Option<Membership>,
    loaded: Option<Weights>,
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
        let up = |i| (id(i), Instance { is_up: true, life: 1, ..Instance::default() });
        let mut domain = Self {
            state: State::default(),
            observations: Observations::default(),
            timers: StewardTimers::default(),
            now: Millis(10_000),
            up: (0..instances).map(up).collect(),
            list: InstanceList::new((0..instances).map(listed).collect()),
            records: 0,
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
        self.records += 1;
        let envelope = Envelope::new(Millis::ZERO, facts);
        let next = self.state.next();
        self.state.apply(next, &envelope).unwrap();
    }

    fn lose(&mut self, i: u16) {
        self.up.get_mut(&id(i)).unwrap().is_up = false;
    }

    fn come_back(&mut self, i: u16) {
        let instance = self.up.get_mut(&id(i)).unwrap();
        *instance = Instance { is_up: true, life: instance.life + 1, ..Instance::default() };
    }

    fn run(&mut self, secs: u64) {
        let end = self.now + Millis::from_secs(secs);
        while self.now < end {
            self.step();
            self.now = self.now + STEP;
        }
    }

    fn step(&mut self) {
        for (id, instance) in self.up.iter().filter(|(_, instance)| instance.is_up) {
            let report = Report {
                incarnation: Incarnation(instance.life),
                membership: instance.seat.clone(),
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
            order_every: Millis(1_000),
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
            let instance = self.up.get_mut(&id).unwrap();
            match order.action {
                OrderAction::Join(join) => {
                    let (group, fence) = (join.group, order.fence);
                    instance.loaded = Some(Weights { model: join.model, version: join.version });
                    instance.seat = Some(Membership { group, fence, readiness: Readiness::Ready });
                }
                OrderAction::Drain { .. } => {
                    if let Some(seat) = &mut instance.seat {
                        seat.readiness = Readiness::Draining;
                    }
                }
                OrderAction::Leave { .. } => instance.seat = None,
                OrderAction::Load { weights, .. } => instance.loaded = Some(weights),
            }
        }
        if !plan.facts.is_empty() {
            self.append(plan.facts);
        }
    }

    /// Role and version of each active group, and how many instances are in none.
    fn shape(&self) -> (Vec<String>, usize) {
        let active = self.state.fleet.groups().filter(|group| group.is_active());
        let mut groups: Vec<_> = active.map(|g| format!("{}@{}", g.role, g.version)).collect();
        groups.sort();
        let free = self.up.keys().filter(|id| self.state.fleet.claim_of(id).is_none());
        (groups, free.count())
    }

    /// Nothing more is appended.
    fn assert_rests(&mut self) {
        let before = self.records;
        self.run(60);
        assert_eq!(self.records, before, "the steward does not come to rest");
    }
}

#[rstest]
#[case::exact(8, 2, &["full@v1", "full@v1"], 0)]
#[case::with_spares(10, 2, &["full@v1", "full@v1"], 2)]
#[case::not_enough_for_two(6, 2, &["full@v1", "half@v1"], 0)]
#[case::nearly_nothing(1, 2, &[], 1)]
fn it_forms_what_there_is_room_for(
    #[case] instances: u16,
    #[case] replicas: u16,
    #[case] groups: &[&str],
    #[case] free: usize,
) {
    let mut domain = Domain::new(instances, bundle("b", "v1", replicas));
    domain.run(30);
    assert_eq!(domain.shape(), (groups.iter().map(|g| (*g).to_owned()).collect(), free));
    domain.assert_rests();
}

#[test]
fn a_lost_member_is_replaced_by_a_spare() {
    let mut domain = Domain::new(5, bundle("b", "v1", 1));
    domain.run(20);
    domain.lose(0);
    domain.run(30);
    let (groups, _) = domain.shape();
    assert_eq!(groups, ["full@v1"]);
    assert!(domain.state.fleet.groups().any(|group| group.is_active() && !group.has(&id(0))));
    domain.assert_rests();
}

#[test]
fn groups_that_shrank_grow_again_and_the_steward_rests() {
    let mut domain = Domain::new(8, bundle("b", "v1", 2));
    domain.run(20);
    // Both groups lose a member for long, and no spare is there.
    domain.lose(0);
    domain.lose(7);
    domain.run(2_000);
    domain.come_back(0);
    domain.come_back(7);
    domain.run(120);
    assert_eq!(domain.shape(), (vec!["full@v1".to_owned(), "full@v1".to_owned()], 0));
    domain.assert_rests();
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
        assert!(active >= 1, "one group serves at every moment");
    }
    assert_eq!(domain.shape(), (vec!["full@v2".to_owned(), "full@v2".to_owned()], 0));
    domain.assert_rests();
}

#[test]
fn a_stopped_instance_leaves_its_group_to_a_stand_in_first() {
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
    assert_eq!(domain.shape().0, ["full@v1"]);
    domain.assert_rests();
}

#[test]
fn fewer_replicas_end_the_surplus_only() {
    let mut domain = Domain::new(8, bundle("b", "v1", 2));
    domain.run(20);
    domain.roll_out(bundle("c", "v1", 1));
    domain.run(30);
    assert_eq!(domain.shape(), (vec!["full@v1".to_owned()], 4));
    domain.assert_rests();
}

#[test]
fn a_lacking_group_goes_before_a_larger_one_and_the_steward_rests() {
    let mut domain = Domain::new(8, bundle("b", "v1", 3));
    domain.lose(6);
    domain.lose(7);
    domain.run(20);
    assert_eq!(domain.shape().0, ["full@v1", "half@v1"]);
    domain.come_back(6);
    domain.come_back(7);
    domain.run(30);
    assert_eq!(domain.shape(), (vec!["full@v1".into(), "half@v1".into(), "half@v1".into()], 0));
    domain.assert_rests();
}

#[test]
fn spares_load_what_groups_need_and_are_taken_first() {
    let mut domain = Domain::new(7, bundle("b", "v1", 1));
    domain.run(20);
    domain.run(60);
    let spares: Vec<_> = domain
        .up
        .iter()
        .filter(|(id, _)| domain.state.fleet.claim_of(id).is_none())
        .map(|(id, instance)| (id.clone(), instance.loaded.is_some()))
        .collect();
    assert!(spares.iter().all(|(_, is_loaded)| *is_loaded), "{spares:?}");
    // A spare that restarts meanwhile has nothing; one that has the weights goes first.
    domain.lose(0);
    domain.run(4);
    domain.come_back(4);
    domain.run(12);
    let taken = domain.state.fleet.claim_of(&id(5)).or(domain.state.fleet.claim_of(&id(6)));
    let groups: Vec<_> = domain.state.fleet.groups().collect();
    assert!(taken.is_some() && domain.state.fleet.claim_of(&id(4)).is_none(), "{groups:#?}");
}
