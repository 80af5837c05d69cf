//! Order of admission under overload, and fairness between teams.
//!
//! Each invariant is a function of an order of admission, so that it is also checked that
//! deliberately wrong orders violate it.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use workshold_core::hosted::admission::Arrival;
use workshold_core::hosted::admission::ArrivalDefaults;
use workshold_core::hosted::admission::ArrivalKind;
use workshold_core::hosted::admission::precedence::Precedence;
use workshold_core::hosted::admission::precedence::PrecedenceRules;
use workshold_core::hosted::admission::precedence::RankTable;
use workshold_protocol::Millis;

const START: Millis = Millis::from_secs(1_000);
const RANKS: u8 = 4;
const ROUNDING: f64 = 1e-6;
/// Any number, infinite ones and those that are none included.
const FLOAT: prop::num::f64::Any = prop::num::f64::ANY;

const RULES: PrecedenceRules =
    PrecedenceRules { ranks: RANKS, decay_time: Millis(2_000), returning_share: 1.0 };

fn arrival(rank: u8, team: u32, kind: ArrivalKind) -> Arrival {
    Arrival {
        rank,
        team,
        fingerprint: 7,
        kind,
        prompt_tokens: 500.0,
        latency_goal: Millis(400),
        time_left: Millis(6_000),
        time_limit: Millis(6_000),
    }
}

fn counted(arrivals: &[Arrival]) -> Precedence {
    let mut precedence = Precedence::new(RULES);
    arrivals.iter().for_each(|arrival| precedence.on_arrival(arrival, START));
    precedence
}

/// `(team, count)` as new requests of rank 0.
fn teams(counts: &[(u32, usize)]) -> Vec<Arrival> {
    let of_team = |(team, count): &(u32, usize)| {
        std::iter::repeat_n(arrival(0, *team, ArrivalKind::New), *count)
    };
    counts.iter().flat_map(of_team).collect()
}

/// Fails if a request is not admitted in full while one behind it is admitted at all.
fn check_order(arrivals: &[Arrival], fraction: impl Fn(&Arrival) -> f64) -> Result<(), String> {
    for behind in arrivals.iter().filter(|arrival| fraction(arrival) > 0.0) {
        let is_ahead = |other: &&Arrival| (other.rank, other.kind) < (behind.rank, behind.kind);
        for ahead in arrivals.iter().filter(is_ahead) {
            if fraction(ahead) < 1.0 {
                return Err(format!("{ahead:?} is refused and {behind:?} is admitted"));
            }
        }
    }
    Ok(())
}

/// The weight with which [`counted`] counts each arrival: the newest counts half.
fn weights(arrivals: &[Arrival]) -> impl Iterator<Item = (&Arrival, f64)> {
    let last = arrivals.len() - 1;
    arrivals
        .iter()
        .enumerate()
        .map(move |(n, arrival)| (arrival, if n == last { 0.5 } else { 1.0 }))
}

/// Fails if more or fewer than `model_fraction` of all arrivals are admitted.
fn check_amount(
    arrivals: &[Arrival],
    model_fraction: f64,
    fraction: impl Fn(&Arrival) -> f64,
) -> Result<(), String> {
    let admitted: f64 = weights(arrivals).map(|(arrival, weight)| weight * fraction(arrival)).sum();
    let expected = model_fraction * (arrivals.len() as f64 - 0.5);
    let is_expected = (admitted - expected).abs() <= ROUNDING * arrivals.len() as f64;
    is_expected.then_some(()).ok_or_else(|| format!("{admitted} of {expected} are admitted"))
}

/// Fails if in one class a team's fraction is below the floors, or a team gets fewer admissions
/// than another one without having all of its own requests admitted or being at the larger one's
/// floor.
fn check_fairness(
    arrivals: &[Arrival],
    model_fraction: f64,
    fraction: impl Fn(&Arrival) -> f64,
) -> Result<(), String> {
    for class in arrivals {
        let is_member = |other: &Arrival| (other.rank, other.kind) == (class.rank, class.kind);
        let members: Vec<_> = weights(arrivals).filter(|(other, _)| is_member(other)).collect();
        let admitted: f64 = members.iter().map(|(other, weight)| weight * fraction(other)).sum();
        let mean = admitted / members.iter().map(|(_, weight)| weight).sum::<f64>();
        let floor = (mean / 2.0).max(model_fraction / 4.0).min(mean);
        let count = |team| -> f64 {
            members.iter().filter(|(other, _)| other.team == team).map(|(_, weight)| weight).sum()
        };
        let own = fraction(class);
        if own < floor - ROUNDING {
            return Err(format!("team {} has {own}, below the floor {floor}", class.team));
        }
        for (other, _) in &members {
            let has_less = own * count(class.team) < fraction(other) * count(other.team) - ROUNDING;
            let is_at_floor = fraction(other) <= floor + ROUNDING;
            if has_less && own < 1.0 - ROUNDING && !is_at_floor {
                return Err(format!("team {} has less than team {}", class.team, other.team));
            }
        }
    }
    Ok(())
}

fn kind() -> impl Strategy<Value = ArrivalKind> {
    prop::sample::select(ArrivalKind::ALL.to_vec())
}

/// Arrivals of teams whose sizes differ widely: most are of team 0.
fn any_arrival() -> impl Strategy<Value = Arrival> {
    let team = prop_oneof![6 => Just(0_u32), 2 => Just(1_u32), 1 => 2..6_u32];
    (0..RANKS, team, kind()).prop_map(|(rank, team, kind)| arrival(rank, team, kind))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(2_000) })]

    /// Guards against a request that is refused while a less urgent one is admitted, whenever the
    /// earlier arrivals came.
    #[test]
    fn no_request_is_refused_while_one_behind_it_is_admitted(
        arrivals in prop::collection::vec((any_arrival(), 0..3_000_u64), 1..80),
        model_fraction in 0.0..1.2_f64,
    ) {
        let mut precedence = Precedence::new(RULES);
        let mut now = START;
        for (arrival, gap) in &arrivals {
            now = now + Millis(*gap);
            precedence.on_arrival(arrival, now);
        }
        let arrivals: Vec<_> = arrivals.into_iter().map(|(arrival, _)| arrival).collect();
        let fraction = |arrival: &Arrival| precedence.admitted_fraction(arrival, model_fraction);
        check_order(&arrivals, fraction).map_err(TestCaseError::fail)?;
    }

    /// Guards against capacity that is left unused or admitted twice, and against unfair teams.
    #[test]
    fn the_capacity_is_used_in_full_and_shared_fairly(
        arrivals in prop::collection::vec(any_arrival(), 1..80),
        model_fraction in 0.0..1.0_f64,
    ) {
        let precedence = counted(&arrivals);
        let fraction = |arrival: &Arrival| precedence.admitted_fraction(arrival, model_fraction);
        check_amount(&arrivals, model_fraction, fraction).map_err(TestCaseError::fail)?;
        check_fairness(&arrivals, model_fraction, fraction).map_err(TestCaseError::fail)?;
    }

    /// Guards against a panic, and against a value that isn't a probability, on absurd input.
    #[test]
    fn any_input_gives_a_probability(
        inputs in prop::collection::vec((any::<u8>(), any::<u32>(), kind(), any::<u64>(), FLOAT), 1..40),
        ranks in any::<u8>(),
        decay_ms in prop_oneof![Just(0), Just(u64::MAX), any::<u64>()],
    ) {
        let mut precedence = Precedence::new(PrecedenceRules {
            ranks,
            decay_time: Millis(decay_ms),
            ..PrecedenceRules::default()
        });
        for (rank, team, kind, now, model_fraction) in inputs {
            let arrival = Arrival { prompt_tokens: f64::NAN, ..arrival(rank, team, kind) };
            precedence.on_arrival(&arrival, Millis(now));
            let fraction = precedence.admitted_fraction(&arrival, model_fraction);
            prop_assert!((0.0..=1.0).contains(&fraction), "{fraction}");
        }
    }

    /// Guards against a request whose absurd data reaches the decisions.
    #[test]
    fn absurd_data_gets_the_default(rank in any::<u8>(), tokens in FLOAT, ms in any::<[u64; 3]>()) {
        let stated = Arrival {
            prompt_tokens: tokens,
            latency_goal: Millis(ms[0]),
            time_left: Millis(ms[1]),
            time_limit: Millis(ms[2]),
            ..arrival(rank, 1, ArrivalKind::New)
        };
        let used = stated.with_defaults(&DEFAULTS);
        prop_assert!(used.rank <= DEFAULTS.lowest_rank);
        prop_assert!(used.prompt_tokens > 0.0 && used.prompt_tokens <= DEFAULTS.max_prompt_tokens);
        prop_assert!(used.time_limit > Millis::ZERO && used.time_limit <= DEFAULTS.time_limit);
        prop_assert!(used.time_left > Millis::ZERO && used.time_left <= used.time_limit);
        prop_assert!(used.latency_goal > Millis::ZERO);
    }
}

const DEFAULTS: ArrivalDefaults = ArrivalDefaults {
    lowest_rank: RANKS - 1,
    typical_prompt_tokens: 600.0,
    max_prompt_tokens: 32_000.0,
    latency_goal: Millis(400),
    time_limit: Millis(6_000),
};

#[test]
fn sound_data_stays_as_stated() {
    let stated = Arrival { time_left: Millis(2_500), ..arrival(2, 1, ArrivalKind::New) };
    assert_eq!(stated.with_defaults(&DEFAULTS), stated);
}

/// A history in which every invariant matters: all ranks and kinds, and teams of different size.
fn mixed_arrivals() -> Vec<Arrival> {
    let class = |rank| {
        ArrivalKind::ALL.into_iter().flat_map(move |kind| {
            [(0, 50), (1, 5), (2, 1)].into_iter().flat_map(move |(team, count)| {
                std::iter::repeat_n(arrival(rank, team, kind), count)
            })
        })
    };
    (0..RANKS).flat_map(class).collect()
}

/// An order of admission that sees the arrivals changed by `blind`.
fn blind_order(
    arrivals: &[Arrival],
    blind: impl Fn(Arrival) -> Arrival,
) -> impl Fn(&Arrival) -> f64 {
    let seen: Vec<_> = arrivals.iter().copied().map(&blind).collect();
    let precedence = counted(&seen);
    move |arrival: &Arrival| precedence.admitted_fraction(&blind(*arrival), 0.4)
}

/// Guards against an order check that passes whatever the order is.
#[test]
fn orders_that_ignore_rank_or_kind_violate_the_order() {
    let arrivals = mixed_arrivals();
    check_order(&arrivals, blind_order(&arrivals, |arrival| arrival)).expect("the real order");
    let ignores_rank = |arrival| Arrival { rank: 0, ..arrival };
    let ignores_kind = |arrival| Arrival { kind: ArrivalKind::New, ..arrival };
    let reverses_ranks = |arrival: Arrival| Arrival { rank: RANKS - 1 - arrival.rank, ..arrival };
    check_order(&arrivals, blind_order(&arrivals, ignores_rank)).expect_err("ignores the rank");
    check_order(&arrivals, blind_order(&arrivals, ignores_kind)).expect_err("ignores the kind");
    check_order(&arrivals, blind_order(&arrivals, reverses_ranks)).expect_err("reverses the ranks");
}

/// Guards against a fairness check that passes whatever the shares are. Both wrong orders admit the
/// right amount.
#[test]
fn orders_without_fair_shares_or_without_the_floor_violate_fairness() {
    // Counted with the weights 100, 20 and 19.5.
    let arrivals = teams(&[(0, 100), (1, 20), (2, 20)]);
    let check = |fraction: &dyn Fn(&Arrival) -> f64| {
        check_amount(&arrivals, 0.3, fraction).expect("the amount is right");
        check_fairness(&arrivals, 0.3, fraction)
    };
    let precedence = counted(&arrivals);
    check(&|arrival| precedence.admitted_fraction(arrival, 0.3)).expect("the real order");
    check(&|_| 0.3).expect_err("the same fraction for all teams");
    let equal_shares = 0.3 * 139.5 / 3.0;
    let without_floor = [equal_shares / 100.0, equal_shares / 20.0, equal_shares / 19.5];
    check(&|arrival| without_floor[arrival.team as usize]).expect_err("below half of the mean");
}

#[rstest]
#[case::small_teams_are_admitted_in_full(&[(0, 100_000), (1, 1_000), (2, 100)], 0.5, &[0.4945, 1.0, 1.0])]
#[case::equal_teams_are_equal(&[(0, 4_000), (1, 4_000)], 0.25, &[0.25, 0.25])]
#[case::a_large_team_keeps_its_floor(&[(0, 8_000), (1, 1_000), (2, 1_000)], 0.2, &[0.1, 0.6, 0.6])]
#[case::a_team_alone_gets_the_mean(&[(0, 80)], 0.2, &[0.2])]
fn teams_of_different_size_share_one_class(
    #[case] counts: &[(u32, usize)],
    #[case] model_fraction: f64,
    #[case] expected: &[f64],
) {
    let precedence = counted(&teams(counts));
    for ((team, _), expected) in counts.iter().zip(expected) {
        let arrival = arrival(0, *team, ArrivalKind::New);
        let fraction = precedence.admitted_fraction(&arrival, model_fraction);
        assert!((fraction - expected).abs() < 0.001, "team {team}: {fraction}");
    }
}

/// Guards against a floor that takes more than the class has: returning callers leave new ones
/// less than a quarter of the overall mean, so all teams get the same fraction.
#[test]
fn where_the_floor_does_not_fit_all_teams_get_the_mean() {
    let mut arrivals = vec![arrival(0, 9, ArrivalKind::Returning); 50];
    arrivals.extend(teams(&[(0, 45), (1, 5)]));
    let precedence = counted(&arrivals);
    for team in [0, 1] {
        let model_fraction = (50.0 + 0.1 * 49.5) / 99.5;
        let new = arrival(0, team, ArrivalKind::New);
        let fraction = precedence.admitted_fraction(&new, model_fraction);
        assert!((fraction - 0.1).abs() < ROUNDING, "team {team}: {fraction}");
    }
}

/// Guards against an outage where the fraction can't be computed: the bucket still limits.
#[rstest]
#[case::not_a_number(f64::NAN, 1.0)]
#[case::infinite(f64::INFINITY, 1.0)]
#[case::negative(-1.0, 0.0)]
#[case::none(0.0, 0.0)]
fn an_absurd_fraction_has_a_stated_meaning(#[case] model_fraction: f64, #[case] expected: f64) {
    let arrivals = mixed_arrivals();
    let precedence = counted(&arrivals);
    for arrival in &arrivals {
        assert_eq!(precedence.admitted_fraction(arrival, model_fraction), expected);
    }
}

/// Guards against a draw that prefers small requests: the largest must be admitted as often.
#[test]
fn the_size_of_a_request_makes_no_difference() {
    let precedence = counted(&teams(&[(0, 30), (1, 3)]));
    let fraction = |prompt_tokens| {
        let arrival = Arrival { prompt_tokens, ..arrival(0, 0, ArrivalKind::New) };
        precedence.admitted_fraction(&arrival, 0.4)
    };
    assert_eq!(fraction(10.0), fraction(30_000.0));
}

/// Guards against unbounded memory, and against teams beyond the bound that get nothing.
#[test]
fn memory_is_bounded_and_later_teams_are_admitted_too() {
    let mut precedence = Precedence::new(RULES);
    for team in 0..100_000 {
        precedence.on_arrival(&arrival(0, team, ArrivalKind::New), START);
    }
    assert!(precedence.counted_teams() <= 128, "{}", precedence.counted_teams());
    let late = precedence.admitted_fraction(&arrival(0, 99_999, ArrivalKind::New), 0.4);
    assert!(late >= 0.2, "{late}");
    let much_later = START + Millis::from_secs(60);
    precedence.on_arrival(&arrival(0, 200_000, ArrivalKind::New), much_later);
    let own_entry = precedence.admitted_fraction(&arrival(0, 200_000, ArrivalKind::New), 0.4);
    assert!((own_entry - 0.4).abs() < 0.01, "earlier teams have been forgotten: {own_entry}");
}

/// Guards against counts that are lost or stay for ever when a clock jumps.
#[rstest]
#[case::back(START - Millis(500_000))]
#[case::far_ahead(START + Millis::from_secs(1_000_000_000))]
fn counts_follow_new_arrivals_after_a_clock_jump(#[case] jumped: Millis) {
    let mut precedence = counted(&vec![arrival(0, 0, ArrivalKind::New); 1_000]);
    let less_urgent = arrival(1, 1, ArrivalKind::New);
    for step in 0..200 {
        precedence.on_arrival(&less_urgent, jumped + Millis(step * 100));
    }
    let fraction = precedence.admitted_fraction(&less_urgent, 0.5);
    assert!((fraction - 0.5).abs() < 0.02, "rank 0 has sent nothing for 20 s: {fraction}");
}

/// Guards against a stale view of the load: a rank that has fallen silent frees its capacity within
/// a few seconds.
#[test]
fn a_silent_rank_is_forgotten() {
    let mut precedence = Precedence::new(RULES);
    let mut fraction = 0.0;
    for step in 0..1_000 {
        let now = START + Millis(step * 10);
        if step < 500 {
            precedence.on_arrival(&arrival(0, 0, ArrivalKind::New), now);
        }
        precedence.on_arrival(&arrival(1, 1, ArrivalKind::New), now);
        fraction = precedence.admitted_fraction(&arrival(1, 1, ArrivalKind::New), 0.5);
        if step == 499 {
            assert!(fraction < 0.01, "rank 0 takes the capacity: {fraction}");
        }
    }
    assert!(fraction > 0.4, "{fraction}");
}

/// Guards against a flood of early returns that displaces new requests: it is placed behind them.
#[test]
fn early_returns_do_not_displace_new_requests() {
    let quiet = teams(&[(0, 20), (1, 20)]);
    let mut flooded = vec![arrival(0, 0, ArrivalKind::Early); 1_000];
    flooded.extend(&quiet);
    let capacity = 20.0;
    let new = arrival(0, 1, ArrivalKind::New);
    let before = counted(&quiet).admitted_fraction(&new, capacity / 39.5);
    let model_fraction = capacity / 1_039.5;
    let precedence = counted(&flooded);
    assert!((precedence.admitted_fraction(&new, model_fraction) - before).abs() < ROUNDING);
    let early = arrival(0, 0, ArrivalKind::Early);
    assert_eq!(precedence.admitted_fraction(&early, model_fraction), 0.0);
}

#[test]
fn the_priority_of_the_team_is_compared_before_that_of_the_route() {
    let table = RankTable::new([(1, 0), (0, 5), (0, 2), (1, 0)]);
    assert_eq!(table.ranks(), 3);
    assert_eq!([table.rank(0, 2), table.rank(0, 5), table.rank(1, 0)], [0, 1, 2]);
    assert_eq!(table.rank(0, 0), 2, "a pair that isn't configured");
    assert_eq!(RankTable::default().rank(3, 3), 0);
    let all = RankTable::new((0..=u8::MAX).flat_map(|team| [(team, 0), (team, 1)]));
    assert_eq!((all.rank(0, 0), all.rank(255, 1)), (0, 254), "more pairs than ranks");
}
