//! Routes, retries, the retry budget, placement and silent streams.

use rstest::rstest;
use smol_str::SmolStr;
use workshold_core::hosted::placement::Candidate;
use workshold_core::hosted::placement::choose;
use workshold_core::hosted::retry_policy::AttemptEnd;
use workshold_core::hosted::retry_policy::AttemptsUsed;
use workshold_core::hosted::retry_policy::NextStep;
use workshold_core::hosted::retry_policy::RetryBudget;
use workshold_core::hosted::retry_policy::RetryBudgetRules;
use workshold_core::hosted::retry_policy::next_step;
use workshold_core::hosted::serving_config::Caller;
use workshold_core::hosted::serving_config::Limits;
use workshold_core::hosted::serving_config::RequestKind;
use workshold_core::hosted::serving_config::Route;
use workshold_core::hosted::serving_config::ServingConfig;
use workshold_core::hosted::serving_config::Team;
use workshold_core::hosted::stall::EventGaps;
use workshold_core::hosted::stall::StallRules;
use workshold_protocol::Millis;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;
use workshold_protocol::ids::TeamName;

fn route(prefix: &str, kind: RequestKind, is_resumable: bool) -> Route {
    Route {
        name: SmolStr::new(prefix),
        host: SmolStr::new("lot.example"),
        path_prefix: SmolStr::new(prefix),
        kind,
        timeout: Millis(6_000),
        latency_goal: Millis(300),
        pause_goal: Millis(200),
        attempts: 2,
        priority: 1,
        is_keyless: false,
        is_resumable,
        targets: vec![
            (ServiceName::new("first").unwrap(), 90),
            (ServiceName::new("second").unwrap(), 10),
        ],
    }
}

fn serving_config(teams: Option<Vec<(Team, Vec<SmolStr>)>>) -> ServingConfig {
    let limits = Limits {
        head_len: 16_384,
        body_len: 1_024,
        head_time: Millis(3_000),
        idle_time: Millis(15_000),
    };
    let routes = vec![
        route("/a/", RequestKind::Stream, true),
        route("/a/b/", RequestKind::Idempotent, false),
    ];
    ServingConfig::new(1, limits, routes, Vec::new(), teams)
}

#[rstest]
#[case("lot.example", "/a/x", Some("/a/"))]
#[case("lot.example:8227", "/a/x", Some("/a/"))]
#[case("lot.example", "/a/b/x", Some("/a/b/"))]
#[case("lot.example", "/ab", None)]
#[case("other.example", "/a/x", None)]
fn the_longest_prefix_of_the_host_decides(
    #[case] host: &str,
    #[case] path: &str,
    #[case] found: Option<&str>,
) {
    let serving_config = serving_config(None);
    assert_eq!(serving_config.route(host, path).map(|route| route.name.as_str()), found);
}

#[test]
fn an_unassigned_key_is_unknown() {
    let team = Team { name: TeamName::new("night-desk").unwrap(), priority: 1 };
    let serving_config = serving_config(Some(vec![(team.clone(), vec![SmolStr::new("k1")])]));
    let route = serving_config.route("lot.example", "/a/x").unwrap();
    assert_eq!(serving_config.caller(route, Some("k1")), Caller::Team(&team));
    assert_eq!(serving_config.caller(route, Some("k2")), Caller::Unknown);
    assert_eq!(serving_config.caller(route, None), Caller::Unknown);
    assert!(serving_config.needs_key(route));
}

#[test]
fn a_split_follows_the_weights() {
    let route = route("/a/", RequestKind::Stream, true);
    let second = (0..1_000_u64).filter(|draw| route.target(*draw).unwrap().as_str() == "second");
    assert_eq!(second.count(), 100);
}

const fn used(sent: u32, not_sent: u32, may_have_run: bool) -> AttemptsUsed {
    AttemptsUsed { sent, not_sent, may_have_run }
}

#[rstest]
// Nothing was sent: any request may be tried elsewhere.
#[case(RequestKind::AtMostOnce, AttemptEnd::NotSent, used(0, 1, false), true, NextStep::Again)]
#[case(RequestKind::AtMostOnce, AttemptEnd::NotSent, used(0, 4, false), true, NextStep::NotRun)]
// A request that must run at most once is never sent again after it may have run.
#[case(RequestKind::AtMostOnce, AttemptEnd::Unknown, used(1, 0, true), true, NextStep::Unknown)]
#[case(RequestKind::AtMostOnce, AttemptEnd::Failed, used(1, 0, true), true, NextStep::PassOn)]
// If the upstream reports that it hasn't run the request, any request may be sent again.
#[case(RequestKind::AtMostOnce, AttemptEnd::Refused, used(1, 0, false), true, NextStep::Again)]
#[case(RequestKind::Idempotent, AttemptEnd::Unknown, used(1, 0, true), true, NextStep::Again)]
#[case(RequestKind::Idempotent, AttemptEnd::Failed, used(1, 0, true), true, NextStep::Again)]
// The number of attempts and the budget bound all retries, and "not run" is answered only if true.
#[case(RequestKind::Idempotent, AttemptEnd::Unknown, used(2, 0, true), true, NextStep::Unknown)]
#[case(RequestKind::Idempotent, AttemptEnd::Unknown, used(1, 0, true), false, NextStep::Unknown)]
#[case(RequestKind::Idempotent, AttemptEnd::Refused, used(2, 0, true), true, NextStep::Unknown)]
#[case(RequestKind::Idempotent, AttemptEnd::Refused, used(2, 0, false), true, NextStep::NotRun)]
#[case(RequestKind::Idempotent, AttemptEnd::Refused, used(1, 0, false), false, NextStep::NotRun)]
fn the_next_step_after_an_attempt(
    #[case] kind: RequestKind,
    #[case] ending: AttemptEnd,
    #[case] used: AttemptsUsed,
    #[case] has_budget: bool,
    #[case] expected: NextStep,
) {
    let route = route("/a/", kind, false);
    assert_eq!(next_step(&route, ending, used, has_budget, true), expected);
}

#[test]
fn without_time_left_nothing_is_retried() {
    let route = route("/a/", RequestKind::Stream, true);
    let given_up = next_step(&route, AttemptEnd::Refused, used(1, 0, false), true, false);
    assert_eq!(given_up, NextStep::NotRun);
}

#[test]
fn all_nodes_together_keep_to_the_retry_budget_in_every_window() {
    let rules = RetryBudgetRules { ratio: 0.2, window: Millis(10_000), slack: 100.0 };
    let nodes = 9;
    let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(rules)).collect();
    let mut retries: Vec<u64> = Vec::new();
    let mut requests_at: Vec<u64> = Vec::new();
    for ms in (0..40_000_u64).step_by(10) {
        let node = (ms / 10) as usize % nodes;
        budgets[node].on_request(Millis(ms));
        requests_at.push(ms);
        // Every request fails, and would be retried.
        if budgets[node].take(Millis(ms), nodes) {
            retries.push(ms);
        }
    }
    for from in (0..30_000_u64).step_by(250) {
        let within = |at: &&u64| (from..from + 10_000).contains(*at);
        let repeats = retries.iter().filter(within).count() as f64;
        let requests = requests_at.iter().filter(within).count() as f64;
        assert!(repeats <= 0.2 * requests + 100.0, "{repeats} of {requests} from {from}");
    }
    assert!(retries.len() > 400, "nodes use the budget: {}", retries.len());
}

/// Guards against retries that are dropped from the count up to one bucket, a twentieth of the
/// window, too early. They were when their bucket became the oldest but one, and then two bursts
/// less than a window apart each got the whole budget.
#[test]
fn two_bursts_within_a_window_share_one_budget() {
    let rules = RetryBudgetRules { ratio: 0.2, window: Millis(10_000), slack: 100.0 };
    for (first, second) in [(499, 10_001), (250, 10_249), (0, 9_999), (499, 10_498)] {
        let mut budget = RetryBudget::new(rules);
        let mut retries = |at| (0..200).filter(|_| budget.take(Millis(at), 1)).count();
        let both = retries(first) + retries(second);
        assert!(both <= 100, "{both} at {first} and {second} ms");
    }
}

const fn candidate(load: u32, event_ms: f64, is_deprioritized: bool) -> Candidate {
    Candidate { load, queued_prefill_ms: 0.0, slots: 17, event_ms, is_near: true, is_deprioritized }
}

#[test]
fn a_deprioritized_target_is_chosen_only_if_there_is_no_other() {
    let both = [candidate(0, 20.0, true), candidate(10, 20.0, false)];
    assert!((0..100).all(|draw| choose(&both, draw << 32 | draw) == Some(1)));
    assert_eq!(choose(&both[..1], 7), Some(0));
    assert_eq!(choose(&[], 7), None);
}

#[test]
fn a_slow_or_full_target_gets_fewer_requests() {
    let targets = [candidate(3, 200.0, false), candidate(3, 30.0, false)];
    assert!((0..100).all(|draw| choose(&targets, draw << 32 | draw) == Some(1)));
    let full = [candidate(30, 30.0, false), candidate(5, 30.0, false)];
    assert!((0..100).all(|draw| choose(&full, draw << 32 | draw) == Some(1)));
}

#[test]
fn requests_spread_over_equal_targets() {
    let targets = [candidate(3, 30.0, false); 12];
    let mut hits = [0; 12];
    for draw in 0..1_200_u64 {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        hits[choose(&targets, draw).unwrap()] += 1;
    }
    assert!(hits.iter().all(|hits| (20..300).contains(hits)), "{hits:?}");
}

#[test]
fn stall_thresholds_follow_the_mean_gap_and_the_goal() {
    let rules = StallRules::default();
    let quick = rules.probe_after(26.0, Millis(200));
    let slow = rules.probe_after(220.0, Millis(300));
    assert!(quick < Millis(200), "the probe comes before the pause goal is missed: {quick}");
    assert!(slow >= Millis(220), "a slow engine isn't probed at every event: {slow}");
    assert!(rules.failover_after(220.0, Millis(300)) >= Millis(1_500));
}

#[test]
fn the_mean_gap_adapts_and_one_long_gap_does_not_distort_it() {
    let head = InstanceId::new("i-1").unwrap();
    let mut gaps = EventGaps::default();
    gaps.on_peer(&head, 50.0);
    (0..60).for_each(|_| gaps.on_gap(&head, Millis(30)));
    gaps.on_gap(&head, Millis(60_000));
    let mean_ms = gaps.mean_ms(&head).unwrap();
    assert!((30.0..300.0).contains(&mean_ms), "{mean_ms}");
}
