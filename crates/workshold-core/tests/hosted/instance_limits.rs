//! Limits that instances announce, and how a fleet of nodes keeps to them.
//!
//! A fleet sends to one instance with a rate limit, in virtual time. The instance counts the
//! requests in every span of four seconds. Their bound is one and a half times the limit plus
//! five. Guards against nodes that don't coordinate: nine of them sent 16 requests in four seconds
//! at a limit of 1.7 per second, and 20 at 2.1.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::instance_limits;
use workshold_core::hosted::instance_limits::InstanceLimits;
use workshold_core::hosted::instance_limits::LimitReport;
use workshold_core::hosted::instance_limits::LimitRules;
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
const COUNTED_SPAN: Millis = Millis(4_000);
/// How long after a limit is first announced all nodes keep to it.
const LIMIT_SETTLE_TIME: Millis = Millis(3_000);
/// Mean time between two gossip messages of a node.
const GOSSIP_INTERVAL: Millis = Millis(300);
const GOSSIP_LOSS: f64 = 0.1;
/// Longest time until an answer comes, in milliseconds.
const ANSWER_MAX_MS: u64 = 1_500;

struct Node {
    instance_limits: InstanceLimits<u8>,
    is_up: bool,
    /// Which nodes it believes to be up.
    view: Vec<bool>,
}

/// Nodes that send to one instance, and the messages under way.
struct Fleet {
    now: Millis,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// The rate limit that the instance announces.
    limit: Option<Rate>,
    /// When requests arrived at the instance.
    arrivals: Vec<Millis>,
    answers: BTreeMap<Millis, Vec<(usize, Millis, Option<Rate>)>>,
    gossip: BTreeMap<Millis, Vec<(usize, LimitReport)>>,
    /// Whether nodes send even when they may not.
    ignores_limits: bool,
}

impl Fleet {
    fn new(nodes: usize, rules: LimitRules, seed: u64) -> Self {
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
            arrivals: Vec::new(),
            answers: BTreeMap::new(),
            gossip: BTreeMap::new(),
            ignores_limits: false,
        }
    }

    /// The node's share by its own view: the senders are the first of the nodes that it believes to
    /// be up, by number.
    fn share(&self, node: usize) -> SenderShare {
        let limit = self.nodes[node].instance_limits.limit(&0).unwrap_or(Rate(0));
        let senders = instance_limits::senders(limit, self.nodes.len());
        let view = &self.nodes[node].view;
        let before = view[..node].iter().filter(|is_up| **is_up).count();
        SenderShare { is_sender: view[node] && before < senders, senders }
    }

    /// Runs for `lasts`, while each node that is up tries to send `wanted` requests per second.
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
                if self.rng.random_bool(TICK.as_secs_f64() / GOSSIP_INTERVAL.as_secs_f64()) {
                    self.send_gossip(i);
                }
            }
        }
    }

    fn send(&mut self, i: usize) {
        let share = self.share(i);
        let is_allowed = self.nodes[i].instance_limits.take(&0, share, self.now).is_ok();
        if is_allowed || self.ignores_limits {
            self.arrivals.push(self.now);
            let answer_time = Millis(self.rng.random_range(20..ANSWER_MAX_MS));
            self.answers.entry(self.now + answer_time).or_default().push((i, self.now, self.limit));
        }
    }

    fn send_gossip(&mut self, i: usize) {
        let reports = self.nodes[i].instance_limits.next_to_gossip(8);
        for (_, report) in reports {
            for to in 0..self.nodes.len() {
                let arrives_at = self.now + Millis(self.rng.random_range(1..600));
                if !self.rng.random_bool(GOSSIP_LOSS) {
                    self.gossip.entry(arrives_at).or_default().push((to, report));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.answers.split_off(&(self.now + Millis(1)));
        for (i, request_sent_at, limit) in
            std::mem::replace(&mut self.answers, later).into_values().flatten()
        {
            if self.nodes[i].is_up {
                self.nodes[i].instance_limits.on_limit_report(
                    &0,
                    LimitReport { limit, request_sent_at, answer_received_at: self.now },
                );
            }
        }
        let later = self.gossip.split_off(&(self.now + Millis(1)));
        for (i, report) in std::mem::replace(&mut self.gossip, later).into_values().flatten() {
            // A node may take a peer's report for older than it is, never for newer.
            let late = Millis(self.rng.random_range(0..300));
            let report = LimitReport {
                request_sent_at: report.request_sent_at - late,
                answer_received_at: report.answer_received_at - late,
                ..report
            };
            self.nodes[i].instance_limits.on_limit_report(&0, report);
        }
    }

    /// Stops or starts a node, which loses its state. The others notice within a second: that is a
    /// second call, with `noticed`.
    fn set_up(&mut self, i: usize, is_up: bool, noticed: bool) {
        let rules = LimitRules::default();
        self.nodes[i].is_up = is_up;
        self.nodes[i].instance_limits = InstanceLimits::new(rules);
        if noticed {
            self.nodes.iter_mut().for_each(|node| node.view[i] = is_up);
        }
    }

    /// The most requests that arrived within any [`COUNTED_SPAN`] from `from` on.
    fn max_in_span(&self, from: Millis) -> usize {
        let arrivals: Vec<Millis> =
            self.arrivals.iter().copied().filter(|at| *at >= from).collect();
        let of_span = |first: &Millis| {
            arrivals.iter().filter(|at| **at >= *first && at.since(*first) < COUNTED_SPAN).count()
        };
        arrivals.iter().map(of_span).max().unwrap_or(0)
    }

    fn announce(&mut self, limit: f64) {
        self.limit = Some(Rate::per_s(limit));
    }
}

fn allowed_in_span(limit: f64) -> f64 {
    COUNTED_SPAN.as_secs_f64() * limit * 1.5 + 5.0
}

/// Nodes that each keep to their share of a limit don't exceed it together, and don't leave the
/// instance idle: if each node has enough requests for all of it, at least half of it is used.
#[rstest]
fn all_nodes_together_keep_to_a_limit_and_use_at_least_half_of_it(
    #[values(1, 6, 9, 68, 350)] nodes: usize,
    #[values(0.0, 0.3, 1.7, 2.1, 7.3, 40.0)] limit: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(nodes, LimitRules::default(), seed);
    fleet.run(Millis(1_000), 3.0);
    fleet.announce(limit);
    let from = fleet.now + LIMIT_SETTLE_TIME;
    fleet.run(LIMIT_SETTLE_TIME, 3.0);
    let before = fleet.arrivals.len();
    let lasts = Millis(20_000);
    fleet.run(lasts, 3.0);
    let max_in_span = fleet.max_in_span(from);
    assert!(max_in_span as f64 <= allowed_in_span(limit), "{max_in_span} in four seconds");
    let wanted = (3.0 * nodes as f64).min(limit) * lasts.as_secs_f64();
    let used = (fleet.arrivals.len() - before) as f64;
    assert!(used >= wanted * 0.5, "{used} of {wanted}");
}

/// A limit above the request rate holds few requests back: the saved tokens cover bursts.
#[rstest]
fn a_limit_above_the_request_rate_holds_few_requests_back(#[values(1, 2, 3)] seed: u64) {
    let (nodes, limit) = (9, 40.0);
    let mut fleet = Fleet::new(nodes, LimitRules::default(), seed);
    fleet.announce(limit);
    fleet.run(Millis(8_000), 3.0);
    let (from, before) = (fleet.now, fleet.arrivals.len());
    fleet.run(Millis(40_000), 3.0);
    let wanted = 3.0 * nodes as f64 * 40.0;
    let arrivals = (fleet.arrivals.len() - before) as f64;
    assert!(arrivals >= wanted * 0.9, "{arrivals} of {wanted}");
    let max_in_span = fleet.max_in_span(from);
    assert!(max_in_span as f64 <= allowed_in_span(limit), "{max_in_span} in four seconds");
}

/// Nodes stop and start all the time, and each one starts without knowing the limit. What a node
/// has saved, or sends before the others notice it, mustn't come on top of the limit.
#[rstest]
fn nodes_that_restart_keep_to_a_limit(
    #[values(9, 68)] nodes: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let limit = 2.1;
    let mut fleet = Fleet::new(nodes, LimitRules::default(), seed);
    fleet.announce(limit);
    fleet.run(LIMIT_SETTLE_TIME, 1.0);
    let from = fleet.now;
    for turn in 0..12 {
        let node = (turn * 7 + seed as usize) % nodes;
        fleet.set_up(node, false, false);
        fleet.run(Millis(700), 1.0);
        fleet.set_up(node, false, true);
        fleet.run(Millis(600), 1.0);
        // A node that starts learns of the limit with the first message from a peer.
        fleet.set_up(node, true, true);
        let report = LimitReport {
            limit: fleet.limit,
            request_sent_at: fleet.now,
            answer_received_at: fleet.now,
        };
        fleet.nodes[node].instance_limits.on_limit_report(&0, report);
        fleet.run(Millis(700), 1.0);
    }
    let max_in_span = fleet.max_in_span(from);
    assert!(max_in_span as f64 <= allowed_in_span(limit), "{max_in_span} in four seconds");
}

/// No node keeps a limit after the instance has lifted it, and no old answer lifts one that still
/// holds.
#[rstest]
fn a_limit_is_lowered_and_lifted_at_all_nodes(
    #[values(1, 9, 68)] nodes: usize,
    #[values(0.0, 1.0)] limit: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut fleet = Fleet::new(nodes, LimitRules::default(), seed);
    fleet.announce(6.0);
    fleet.run(Millis(5_000), 2.0);
    fleet.announce(limit);
    let from = fleet.now + LIMIT_SETTLE_TIME;
    fleet.run(Millis(12_000), 2.0);
    let max_in_span = fleet.max_in_span(from);
    assert!(max_in_span as f64 <= allowed_in_span(limit), "{max_in_span} in four seconds");
    fleet.limit = None;
    fleet.run(Millis(15_000), 2.0);
    let limited =
        fleet.nodes.iter().filter(|node| node.instance_limits.limit(&0).is_some()).count();
    assert_eq!(limited, 0, "{limited} nodes still keep the limit");
}

fn report(limit: Option<f64>, request_sent_at: u64, answer_received_at: u64) -> LimitReport {
    LimitReport {
        limit: limit.map(Rate::per_s),
        request_sent_at: Millis(request_sent_at),
        answer_received_at: Millis(answer_received_at),
    }
}

/// Answers that overtake each other don't lift a limit that was announced later.
#[rstest]
#[case::lifted_by_an_older_request(report(None, 9_000, 11_000), Some(2.0))]
#[case::lifted_by_a_request_that_may_be_older(report(None, 10_100, 11_000), Some(2.0))]
#[case::lifted_by_a_newer_request(report(None, 10_600, 11_000), None)]
#[case::raised_by_a_request_that_may_be_older(report(Some(3.0), 9_900, 11_000), Some(2.0))]
#[case::raised_by_a_newer_request(report(Some(3.0), 10_600, 11_000), Some(3.0))]
#[case::lowered_by_a_report_that_may_be_older(report(Some(1.0), 9_000, 9_900), Some(1.0))]
#[case::lowered_by_an_older_report(report(Some(1.0), 8_000, 8_400), Some(2.0))]
fn a_limit_is_raised_only_by_a_report_that_is_newer_for_sure(
    #[case] next: LimitReport,
    #[case] limit: Option<f64>,
) {
    let mut limits = InstanceLimits::default();
    limits.on_limit_report(&0, report(Some(2.0), 9_200, 10_000));
    limits.on_limit_report(&0, next);
    assert_eq!(limits.limit(&0), limit.map(Rate::per_s));
}

#[test]
fn a_limit_is_forgotten_unless_it_is_confirmed() {
    let mut limits = InstanceLimits::default();
    limits.on_limit_report(&0, report(Some(2.0), 9_000, 10_000));
    limits.on_limit_report(&1, report(Some(2.0), 9_000, 10_000));
    limits.on_limit_report(&1, report(Some(2.0), 40_000, 41_000));
    limits.forget(Millis(75_000), |_| true);
    assert_eq!(limits.limits().map(|(id, _)| *id).collect::<Vec<_>>(), [1]);
}

#[test]
fn changed_limits_are_gossiped_first_and_all_others_in_turn() {
    let mut limits = InstanceLimits::default();
    for id in 0..20 {
        limits.on_limit_report(&id, report(Some(2.0), 9_000, 10_000));
    }
    for _ in 0..20 {
        limits.next_to_gossip(8);
    }
    limits.on_limit_report(&7, report(Some(1.0), 11_000, 12_000));
    let gossip: Vec<u8> = (0..3).flat_map(|_| limits.next_to_gossip(8)).map(|(id, _)| id).collect();
    assert_eq!(gossip[0], 7, "the changed one comes first");
    assert!((0..20).all(|id| gossip.contains(&id)), "{gossip:?}");
}

/// The check of the limit fails if a rule is broken: tokens for a new sender, or a request that is
/// sent without a token.
#[rstest]
#[case::tokens_for_new_senders(LimitRules { initial_tokens: 1.0, ..LimitRules::default() }, false)]
#[case::requests_without_a_token(LimitRules::default(), true)]
fn a_broken_rule_exceeds_the_limit(#[case] rules: LimitRules, #[case] ignores_limits: bool) {
    let breaks = |seed: u64| {
        let mut fleet = Fleet::new(9, rules, seed);
        fleet.ignores_limits = ignores_limits;
        fleet.announce(0.0);
        fleet.run(Millis(3_000), 3.0);
        let from = fleet.now;
        // The views of all nodes change at once, so the senders are others each time.
        for turn in 0..20 {
            let up = |node: usize| node % 3 == turn % 3;
            let view: Vec<bool> = (0..9).map(up).collect();
            fleet.nodes.iter_mut().for_each(|node| node.view.clone_from(&view));
            fleet.run(Millis(700), 3.0);
        }
        fleet.max_in_span(from) as f64 > allowed_in_span(0.0)
    };
    assert!((0..20).any(breaks));
}

/// The same changes of senders with the default rules.
#[test]
fn changing_senders_keep_to_a_limit() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(9, LimitRules::default(), seed);
        fleet.announce(0.0);
        fleet.run(Millis(3_000), 3.0);
        let from = fleet.now;
        for turn in 0..20 {
            let view: Vec<bool> = (0..9).map(|node| node % 3 == turn % 3).collect();
            fleet.nodes.iter_mut().for_each(|node| node.view.clone_from(&view));
            fleet.run(Millis(700), 3.0);
        }
        let max_in_span = fleet.max_in_span(from);
        assert!(
            max_in_span as f64 <= allowed_in_span(0.0),
            "{max_in_span} in four seconds, seed {seed}"
        );
    }
}

/// The conversion of a rate rounds down by less than a thousandth, unless it reaches the maximum.
#[test]
fn a_rate_is_rounded_down_to_a_thousandth() {
    for per_s in [0.0, 0.001, 1.7, 2.3, 1e9, 1e300] {
        let rate = Rate::per_s(per_s);
        assert!(rate.as_per_s() <= per_s, "{per_s}");
        assert!(per_s - rate.as_per_s() < 0.001 || rate == Rate(u32::MAX), "{per_s}");
    }
}

const ONLY_SENDER: SenderShare = SenderShare { is_sender: true, senders: 1 };

/// A later refusal with a shorter backoff doesn't shorten the one under way.
#[test]
fn the_backoff_that_ends_last_counts() {
    let mut limits = InstanceLimits::default();
    limits.on_backoff(&0, Millis(3_000), Millis(10_000));
    limits.on_backoff(&0, Millis(500), Millis(11_000));
    let withheld = Withheld { until: Some(Millis(13_000)), why: WithheldReason::Backoff };
    assert_eq!(limits.check(&0, ONLY_SENDER, Millis(12_999)), Err(withheld));
    assert_eq!(limits.check(&0, ONLY_SENDER, Millis(13_000)), Ok(()));
    assert_eq!(
        limits.check(&1, ONLY_SENDER, Millis(11_000)),
        Ok(()),
        "it concerns one instance only"
    );
}

/// The end of a backoff saturates and doesn't wrap around.
#[test]
fn a_backoff_without_end_does_not_overflow() {
    let mut limits = InstanceLimits::default();
    limits.on_backoff(&0, Millis(u64::MAX), Millis(10_000));
    assert!(limits.check(&0, ONLY_SENDER, Millis(1 << 50)).is_err());
}

#[test]
fn an_instance_that_is_leaving_takes_no_more_requests() {
    let mut limits = InstanceLimits::default();
    assert!(limits.on_leaving(&0, Millis(10_000)));
    assert!(!limits.on_leaving(&0, Millis(11_000)), "the second report shows nothing new");
    limits.on_limit_report(&0, report(Some(50.0), 11_000, 12_000));
    limits.on_limit_report(&0, report(None, 13_000, 14_000));
    let withheld = Withheld { until: None, why: WithheldReason::Leaving };
    assert_eq!(limits.take(&0, ONLY_SENDER, Millis(1 << 50)), Err(withheld));
    assert_eq!(limits.recently_leaving(Millis(5_000), Millis(14_000)), [0]);
    assert!(
        limits.recently_leaving(Millis(5_000), Millis(15_000)).is_empty(),
        "it is older than that"
    );
}

/// A backoff and a shutdown are kept while the incarnation's entry is missing for a while, but not
/// for good.
#[test]
fn backoffs_and_shutdowns_outlive_the_entry_for_a_while() {
    let mut limits = InstanceLimits::default();
    limits.on_leaving(&0, Millis(10_000));
    limits.on_backoff(&0, Millis(u64::MAX), Millis(10_000));
    limits.forget(Millis(60_000), |_| false);
    assert!(limits.check(&0, ONLY_SENDER, Millis(60_000)).is_err());
    limits.forget(Millis(700_000), |_| true);
    assert!(limits.check(&0, ONLY_SENDER, Millis(700_000)).is_err());
    limits.forget(Millis(700_000), |_| false);
    assert!(limits.is_empty());
}

/// A list entry without the shutdown doesn't revoke one that was announced in an answer, and a new
/// incarnation doesn't inherit it.
#[test]
fn an_entry_does_not_revoke_a_shutdown() {
    let mut roster = Roster::default();
    let id = InstanceId::new("i-1").unwrap();
    let record = |roster: &mut Roster, offset: u64, incarnation: u64| {
        let identity = Identity { id: id.clone(), incarnation: Incarnation(incarnation) };
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
    assert!(!roster.get(&id).unwrap().is_leaving(), "that was another incarnation");
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
        cold_left: Millis::ZERO,
        staged: Vec::new(),
        loaded: Vec::new(),
        membership: None,
    }
}
