//! How much instances take, by their own word.
//!
//! Here a fleet of nodes sends to one instance with a limit, in virtual time. Seen: 16 requests in
//! four seconds at a limit of 1.7 a second, 20 at 2.1, of nine nodes that each sent as they liked.
//! The instance counts what comes over every four seconds; the figures are those promised: one and
//! a half times the limit and five more.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits;
use workshold_core::hosted::instance_limits::InstanceLimits;
use workshold_core::hosted::instance_limits::IntakeRules;
use workshold_core::hosted::instance_limits::LimitReport;
use workshold_core::hosted::instance_limits::Rate;
use workshold_core::hosted::instance_limits::SenderShare;
use workshold_core::hosted::instance_limits::Withheld;
use workshold_core::hosted::instance_limits::WithheldReason;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::Roster;
use workshold_protocol::Millis;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;

const TICK: Millis = Millis(20);
const SPAN: Millis = Millis(4_000);
/// All nodes keep to a limit from this long after it was first named.
const KNOWN: Millis = Millis(3_000);
/// Until a node has heard what another one said; some is lost.
const TELLS_EVERY: Millis = Millis(300);
const LOST: f64 = 0.1;
/// The longest that an answer takes.
const LONGEST: u64 = 1_500;

struct Node {
    instance_limits: InstanceLimits<u8>,
    is_up: bool,
    /// Who it believes to be up.
    view: Vec<bool>,
}

/// Nodes before one instance, and what is on its way.
struct Fleet {
    now: Millis,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// The limit that the instance names.
    limit: Option<Rate>,
    /// When requests came to it.
    came: Vec<Millis>,
    answers: BTreeMap<Millis, Vec<(usize, Millis, Option<Rate>)>>,
    told: BTreeMap<Millis, Vec<(usize, LimitReport)>>,
    /// Whether whoever is withheld from sends all the same.
    forgets_to_ask: bool,
}

impl Fleet {
    fn new(nodes: usize, rules: IntakeRules, seed: u64) -> Self {
        let node = || Node {
            instance_limits: InstanceLimits::new(rules),
            is_up: true,
            view: vec![true; nodes],
        };
        Self {
            now: Millis(10_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..nodes).map(|_| node()).collect(),
            limit: None,
            came: Vec::new(),
            answers: BTreeMap::new(),
            told: BTreeMap::new(),
            forgets_to_ask: false,
        }
    }

    /// The first of those that a node believes to be up, in the order of their numbers.
    fn part(&self, node: usize) -> SenderShare {
        let limit = self.nodes[node].instance_limits.limit(&0).unwrap_or(Rate(0));
        let senders = instance_limits::senders(limit, self.nodes.len());
        let view = &self.nodes[node].view;
        let before = view[..node].iter().filter(|is_up| **is_up).count();
        SenderShare { is_sender: view[node] && before < senders, senders }
    }

    /// Each node that is up wants to send `wanted` requests a second.
    fn run(&mut self, lasts: Millis, wanted: f64) {
        let until = self.now + lasts;
        while self.now < until {
            self.now = self.now + TICK;
            self.deliver();
            for i in 0..self.nodes.len() {
                if !self.nodes[i].is_up {
                    continue;
                }
                if self.rng.random_bool((wanted * TICK.as_secs_f64()).min(1.0)) {
                    self.send(i);
                }
                if self.rng.random_bool(TICK.as_secs_f64() / TELLS_EVERY.as_secs_f64()) {
                    self.tell(i);
                }
            }
        }
    }

    fn send(&mut self, i: usize) {
        let part = self.part(i);
        let may = self.nodes[i].instance_limits.take(&0, part, self.now).is_ok();
        if may || self.forgets_to_ask {
            self.came.push(self.now);
            let takes = Millis(self.rng.random_range(20..LONGEST));
            self.answers.entry(self.now + takes).or_default().push((i, self.now, self.limit));
        }
    }

    fn tell(&mut self, i: usize) {
        let words = self.nodes[i].instance_limits.next_to_gossip(8);
        for (_, word) in words {
            for to in 0..self.nodes.len() {
                let comes = self.now + Millis(self.rng.random_range(1..600));
                if !self.rng.random_bool(LOST) {
                    self.told.entry(comes).or_default().push((to, word));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.answers.split_off(&(self.now + Millis(1)));
        for (i, asked, limit) in std::mem::replace(&mut self.answers, later).into_values().flatten()
        {
            if self.nodes[i].is_up {
                self.nodes[i]
                    .instance_limits
                    .on_limit_report(&0, LimitReport { limit, asked, heard: self.now });
            }
        }
        let later = self.told.split_off(&(self.now + Millis(1)));
        for (i, word) in std::mem::replace(&mut self.told, later).into_values().flatten() {
            // A node takes others' words for older than they are, never for younger.
            let late = Millis(self.rng.random_range(0..300));
            let word = LimitReport { asked: word.asked - late, heard: word.heard - late, ..word };
            self.nodes[i].instance_limits.on_limit_report(&0, word);
        }
    }

    /// A node ends or begins; others notice within a second.
    fn set_up(&mut self, i: usize, is_up: bool, noticed: bool) {
        let rules = IntakeRules::default();
        self.nodes[i].is_up = is_up;
        self.nodes[i].instance_limits = InstanceLimits::new(rules);
        if noticed {
            self.nodes.iter_mut().for_each(|node| node.view[i] = is_up);
        }
    }

    /// The most that came over any span from `from` on.
    fn most(&self, from: Millis) -> usize {
        let came: Vec<Millis> = self.came.iter().copied().filter(|at| *at >= from).collect();
        let of_span = |first: &Millis| {
            came.iter().filter(|at| **at >= *first && at.since(*first) < SPAN).count()
        };
        came.iter().map(of_span).max().unwrap_or(0)
    }

    fn name(&mut self, limit: f64) {
        self.limit = Some(Rate::per_s(limit));
    }
}

fn allowed(limit: f64) -> f64 {
    SPAN.as_secs_f64() * limit * 1.5 + 5.0
}

/// Fails where nodes that each keep to a part of a limit send more than it together, or so little
/// that the instance stands idle: with each node wanting it all, at least half of it is used.
#[rstest]
fn all_nodes_together_keep_to_a_limit_and_use_it(
    #[values(1, 6, 9, 68, 350)] nodes: usize,
    #[values(0.0, 0.3, 1.7, 2.1, 7.3, 40.0)] limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(nodes, IntakeRules::default(), seed);
    fleet.run(Millis(1_000), 3.0);
    fleet.name(limit);
    let from = fleet.now + KNOWN;
    fleet.run(KNOWN, 3.0);
    let before = fleet.came.len();
    let lasts = Millis(20_000);
    fleet.run(lasts, 3.0);
    let most = fleet.most(from);
    assert!(most as f64 <= allowed(limit), "{most} in four seconds");
    let wanted = (3.0 * nodes as f64).min(limit) * lasts.as_secs_f64();
    let used = (fleet.came.len() - before) as f64;
    assert!(used >= wanted * 0.5, "{used} of {wanted}");
}

/// Fails where a limit above what is wanted keeps requests out: what comes in bursts has to be
/// taken out of what was saved up.
#[rstest]
fn a_limit_above_what_is_wanted_keeps_little_out(#[values(1, 2, 3)] seed: u64) {
    let (nodes, limit) = (9, 40.0);
    let mut fleet = Fleet::new(nodes, IntakeRules::default(), seed);
    fleet.name(limit);
    fleet.run(Millis(8_000), 3.0);
    let (from, before) = (fleet.now, fleet.came.len());
    fleet.run(Millis(40_000), 3.0);
    let wanted = 3.0 * nodes as f64 * 40.0;
    let came = (fleet.came.len() - before) as f64;
    assert!(came >= wanted * 0.9, "{came} of {wanted}");
    let most = fleet.most(from);
    assert!(most as f64 <= allowed(limit), "{most} in four seconds");
}

/// Fails where what a node has saved up, or sends before others notice it, comes on top: nodes end
/// and begin all the time, and each begins without knowing of the limit.
#[rstest]
fn nodes_that_end_and_begin_anew_keep_to_a_limit(
    #[values(9, 68)] nodes: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let limit = 2.1;
    let mut fleet = Fleet::new(nodes, IntakeRules::default(), seed);
    fleet.name(limit);
    fleet.run(KNOWN, 1.0);
    let from = fleet.now;
    for turn in 0..12 {
        let node = (turn * 7 + seed as usize) % nodes;
        fleet.set_up(node, false, false);
        fleet.run(Millis(700), 1.0);
        fleet.set_up(node, false, true);
        fleet.run(Millis(600), 1.0);
        // One that begins hears of the limit with the first that others say.
        fleet.set_up(node, true, true);
        let word = LimitReport { limit: fleet.limit, asked: fleet.now, heard: fleet.now };
        fleet.nodes[node].instance_limits.on_limit_report(&0, word);
        fleet.run(Millis(700), 1.0);
    }
    let most = fleet.most(from);
    assert!(most as f64 <= allowed(limit), "{most} in four seconds");
}

/// Fails where a limit outlives its end, or an old answer ends one that still holds.
#[rstest]
fn a_limit_falls_and_is_lifted_at_all_nodes(
    #[values(1, 9, 68)] nodes: usize,
    #[values(0.0, 1.0)] limit: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut fleet = Fleet::new(nodes, IntakeRules::default(), seed);
    fleet.name(6.0);
    fleet.run(Millis(5_000), 2.0);
    fleet.name(limit);
    let from = fleet.now + KNOWN;
    fleet.run(Millis(12_000), 2.0);
    let most = fleet.most(from);
    assert!(most as f64 <= allowed(limit), "{most} in four seconds");
    fleet.limit = None;
    fleet.run(Millis(15_000), 2.0);
    let limited =
        fleet.nodes.iter().filter(|node| node.instance_limits.limit(&0).is_some()).count();
    assert_eq!(limited, 0, "{limited} nodes still keep to it");
}

fn word(limit: Option<f64>, asked: u64, heard: u64) -> LimitReport {
    LimitReport { limit: limit.map(Rate::per_s), asked: Millis(asked), heard: Millis(heard) }
}

/// Fails where answers that overtake each other lift a limit that was named later.
#[rstest]
#[case::it_was_asked_before(word(None, 9_000, 11_000), Some(2.0))]
#[case::it_may_have_been_said_before(word(None, 10_100, 11_000), Some(2.0))]
#[case::it_was_asked_after(word(None, 10_600, 11_000), None)]
#[case::a_higher_one_that_may_be_older(word(Some(3.0), 9_900, 11_000), Some(2.0))]
#[case::a_higher_one_that_is_later(word(Some(3.0), 10_600, 11_000), Some(3.0))]
#[case::a_lower_one_that_may_be_older(word(Some(1.0), 9_000, 9_900), Some(1.0))]
#[case::a_lower_one_that_is_older(word(Some(1.0), 8_000, 8_400), Some(2.0))]
fn what_loosens_counts_if_it_was_said_later(#[case] next: LimitReport, #[case] limit: Option<f64>) {
    let mut instance_limits = InstanceLimits::default();
    instance_limits.on_limit_report(&0, word(Some(2.0), 9_200, 10_000));
    instance_limits.on_limit_report(&0, next);
    assert_eq!(instance_limits.limit(&0), limit.map(Rate::per_s));
}

#[test]
fn what_nobody_confirms_is_forgotten_and_what_somebody_does_is_not() {
    let mut instance_limits = InstanceLimits::default();
    instance_limits.on_limit_report(&0, word(Some(2.0), 9_000, 10_000));
    instance_limits.on_limit_report(&1, word(Some(2.0), 9_000, 10_000));
    instance_limits.on_limit_report(&1, word(Some(2.0), 40_000, 41_000));
    instance_limits.forget(Millis(75_000), |_| true);
    assert_eq!(instance_limits.limits().map(|(id, _)| *id).collect::<Vec<_>>(), [1]);
}

#[test]
fn all_limits_are_told_in_turn_and_news_first() {
    let mut instance_limits = InstanceLimits::default();
    for id in 0..20 {
        instance_limits.on_limit_report(&id, word(Some(2.0), 9_000, 10_000));
    }
    for _ in 0..20 {
        instance_limits.next_to_gossip(8);
    }
    instance_limits.on_limit_report(&7, word(Some(1.0), 11_000, 12_000));
    let told: Vec<u8> =
        (0..3).flat_map(|_| instance_limits.next_to_gossip(8)).map(|(id, _)| id).collect();
    assert_eq!(told[0], 7, "news first");
    assert!((0..20).all(|id| told.contains(&id)), "{told:?}");
}

/// Each rule that is broken is noticed by the checks above.
#[rstest]
#[case::saved_up_at_first(IntakeRules { saved_at_first: 1.0, ..IntakeRules::default() }, false)]
#[case::any_way_out_that_forgets_to_ask(IntakeRules::default(), true)]
fn a_broken_rule_sends_more_than_a_limit(#[case] rules: IntakeRules, #[case] forgets_to_ask: bool) {
    let breaks = |seed: u64| {
        let mut fleet = Fleet::new(9, rules, seed);
        fleet.forgets_to_ask = forgets_to_ask;
        fleet.name(0.0);
        fleet.run(Millis(3_000), 3.0);
        let from = fleet.now;
        // All views change at once, again and again: others send each time.
        for turn in 0..20 {
            let up = |node: usize| node % 3 == turn % 3;
            let view: Vec<bool> = (0..9).map(up).collect();
            fleet.nodes.iter_mut().for_each(|node| node.view.clone_from(&view));
            fleet.run(Millis(700), 3.0);
        }
        fleet.most(from) as f64 > allowed(0.0)
    };
    assert!((0..20).any(breaks));
}

/// The same changes with the rules as they are.
#[test]
fn senders_that_change_all_the_time_keep_to_a_limit() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, IntakeRules::default(), seed);
        fleet.name(0.0);
        fleet.run(Millis(3_000), 3.0);
        let from = fleet.now;
        for turn in 0..20 {
            let view: Vec<bool> = (0..9).map(|node| node % 3 == turn % 3).collect();
            fleet.nodes.iter_mut().for_each(|node| node.view.clone_from(&view));
            fleet.run(Millis(700), 3.0);
        }
        let most = fleet.most(from);
        assert!(most as f64 <= allowed(0.0), "{most} in four seconds, seed {seed}");
    }
}

/// Fails where a limit in all its thousandths differs from what is told of it.
#[test]
fn a_rate_is_what_is_told_of_it() {
    for per_s in [0.0, 0.001, 1.7, 2.3, 1e9, 1e300] {
        let rate = Rate::per_s(per_s);
        assert!(rate.as_per_s() <= per_s, "{per_s}");
        assert!(per_s - rate.as_per_s() < 0.001 || rate == Rate(u32::MAX), "{per_s}");
    }
}

const ANY: SenderShare = SenderShare { is_sender: true, senders: 1 };

/// Fails where a later refusal that asks for less ends a rest.
#[test]
fn the_rest_that_ends_last_counts() {
    let mut instance_limits = InstanceLimits::default();
    instance_limits.on_backoff(&0, Millis(3_000), Millis(10_000));
    instance_limits.on_backoff(&0, Millis(500), Millis(11_000));
    let withheld = Withheld { until: Some(Millis(13_000)), why: WithheldReason::Rest };
    assert_eq!(instance_limits.look(&0, ANY, Millis(12_999)), Err(withheld));
    assert_eq!(instance_limits.look(&0, ANY, Millis(13_000)), Ok(()));
    assert_eq!(instance_limits.look(&1, ANY, Millis(11_000)), Ok(()), "it is between two");
}

/// Fails where a time beyond all times wraps around.
#[test]
fn a_rest_beyond_all_times_ends_never() {
    let mut instance_limits = InstanceLimits::default();
    instance_limits.on_backoff(&0, Millis(u64::MAX), Millis(10_000));
    assert!(instance_limits.look(&0, ANY, Millis(1 << 50)).is_err());
}

#[test]
fn who_leaves_takes_nothing_any_more_whatever_else_it_says() {
    let mut instance_limits = InstanceLimits::default();
    assert!(instance_limits.on_leaving(&0, Millis(10_000)));
    assert!(!instance_limits.on_leaving(&0, Millis(11_000)), "it is no news twice");
    instance_limits.on_limit_report(&0, word(Some(50.0), 11_000, 12_000));
    instance_limits.on_limit_report(&0, word(None, 13_000, 14_000));
    let withheld = Withheld { until: None, why: WithheldReason::Leaving };
    assert_eq!(instance_limits.take(&0, ANY, Millis(1 << 50)), Err(withheld));
    assert_eq!(instance_limits.recently_leaving(Millis(5_000), Millis(14_000)), [0]);
    assert!(
        instance_limits.recently_leaving(Millis(5_000), Millis(15_000)).is_empty(),
        "it was told"
    );
}

/// Fails where what a life said is lost while its entry is gone for a while, or kept for good.
#[test]
fn what_a_life_said_outlives_its_entry_for_a_while() {
    let mut instance_limits = InstanceLimits::default();
    instance_limits.on_leaving(&0, Millis(10_000));
    instance_limits.on_backoff(&0, Millis(u64::MAX), Millis(10_000));
    instance_limits.forget(Millis(60_000), |_| false);
    assert!(instance_limits.look(&0, ANY, Millis(60_000)).is_err());
    instance_limits.forget(Millis(700_000), |_| true);
    assert!(instance_limits.look(&0, ANY, Millis(700_000)).is_err());
    instance_limits.forget(Millis(700_000), |_| false);
    assert!(instance_limits.is_empty());
}

/// Fails where an entry that says nothing of it takes back what an answer said, or a new life
/// inherits it.
#[test]
fn an_entry_does_not_take_back_that_its_instance_leaves() {
    let mut roster = Roster::default();
    let id = InstanceId::new("i-1").unwrap();
    let record = |roster: &mut Roster, offset: u64, life: u64| {
        let identity = Identity { id: id.clone(), incarnation: Incarnation(life) };
        roster.apply(offset, &id, Some(instance(identity)), Millis(10_000));
    };
    record(&mut roster, 1, 0);
    let first = roster.get(&id).unwrap().instance.identity.clone();
    roster.on_leaving(&first);
    record(&mut roster, 2, 0);
    let trust = ListTrust::default();
    assert!(roster.get(&id).unwrap().is_leaving());
    assert!(!roster.get(&id).unwrap().is_in_service(&trust, Millis(10_000)));
    record(&mut roster, 3, 7);
    assert!(roster.get(&id).unwrap().is_in_service(&trust, Millis(10_000)));
    roster.on_leaving(&first);
    assert!(!roster.get(&id).unwrap().is_leaving(), "it was another life's word");
}

fn instance(identity: Identity) -> Instance {
    Instance {
        identity,
        service: ServiceName::new("llm").unwrap(),
        address: "10.0.0.1:1".into(),
        data_centre: DataCentre::new("a").unwrap(),
        domain: None,
        slots: 4,
        is_leaving: false,
        staged: Vec::new(),
        loaded: Vec::new(),
        membership: None,
    }
}
