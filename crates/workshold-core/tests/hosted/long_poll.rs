//! What is written after an outage of the store is read in time, whenever the outage begins and
//! ends.
//!
//! A poll that is sent during the outage, or held open when it begins, is never answered. Any other
//! is answered when there is a change or its hold time is over. Guards against waiting for the
//! timeout of a lost poll, 2.7 s and a pause of up to 0.6 s: what was written after the outage was
//! then read 3.3 s later.

use rstest::rstest;
use workshold_core::hosted::long_poll::LongPollRules;
use workshold_core::hosted::long_poll::PollRound;
use workshold_protocol::Millis;

/// How long an answer is under way.
const ANSWER_DELAY: Millis = Millis(20);
/// Timeout of a poll beyond its hold time.
const ANSWER_TIMEOUT: Millis = Millis(1_200);

const SHORT_HOLD: LongPollRules =
    LongPollRules { wait: Millis(1_450), late_after: Millis(250), retry_interval: Millis(1_300) };
const LONG_HOLD: LongPollRules =
    LongPollRules { wait: Millis(2_000), late_after: Millis(250), retry_interval: Millis(1_300) };
const RARE_RETRIES: LongPollRules =
    LongPollRules { wait: Millis(1_500), late_after: Millis(250), retry_interval: Millis(2_400) };

/// A store with one outage, to which something is written later.
#[derive(Debug, Clone, Copy)]
struct Store {
    outage: (Millis, Millis),
    written: Millis,
}

impl Store {
    /// When a poll is answered that is sent at `asked` and held open for `wait`; `None` for never.
    fn answers(self, asked: Millis, wait: Millis) -> Option<Millis> {
        let due = self.written.clamp(asked, asked + wait);
        let (from, to) = self.outage;
        let is_unanswered = asked < to && due >= from;
        (!is_unanswered).then_some(due + ANSWER_DELAY)
    }
}

/// When the write is read, in rounds one after the other, and how many polls that took.
fn read_at(
    store: Store,
    rules: LongPollRules,
    draws: &mut impl Iterator<Item = u32>,
) -> (Millis, u32) {
    let mut now = Millis(10_000);
    let mut asked = 0;
    loop {
        let mut round = PollRound::new(rules, now);
        let mut answer: Option<(Millis, Millis)> = None;
        let mut timeouts = Vec::new();
        while answer.is_none_or(|(at, _)| at > round.next_poll_at()) {
            now = round.next_poll_at();
            timeouts.retain(|until| {
                let is_over = *until <= now;
                if is_over {
                    round.on_timeout();
                }
                !is_over
            });
            let wait = round.on_poll_sent(now, draws.next().unwrap());
            asked += 1;
            match store.answers(now, wait) {
                Some(at) if answer.is_none_or(|(first, _)| at < first) => answer = Some((at, now)),
                Some(_) => {}
                None => timeouts.push(now + wait + ANSWER_TIMEOUT),
            }
        }
        let (at, sent) = answer.unwrap();
        now = at;
        let is_read = sent >= store.written || at >= store.written + ANSWER_DELAY;
        if is_read {
            return (at, asked);
        }
    }
}

/// Pseudorandom numbers that depend only on `seed`.
fn draws(seed: u64) -> impl Iterator<Item = u32> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    std::iter::repeat_with(move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 32) as u32
    })
}

#[rstest]
#[case::short_hold(SHORT_HOLD)]
#[case::long_hold(LONG_HOLD)]
#[case::rare_retries(RARE_RETRIES)]
fn a_write_after_an_outage_is_read_within_the_bound(#[case] rules: LongPollRules) {
    let mut max_delay = Millis::ZERO;
    for (i, outage_start) in (10_000..14_000).step_by(37).enumerate() {
        for outage_len in (1..9_000).step_by(131) {
            let outage_end = Millis(outage_start + outage_len);
            for delay in [0, 40, 700, 1_600, 3_000] {
                let written = outage_end + Millis(delay);
                let store = Store { outage: (Millis(outage_start), outage_end), written };
                let (read, _) = read_at(store, rules, &mut draws(i as u64));
                let took = read.since(written);
                assert!(took <= rules.max_delay() + ANSWER_DELAY, "{store:?}: {took}");
                max_delay = max_delay.max(took);
            }
        }
    }
    // The bound is tight: some of the moments tried come close to it.
    assert!(max_delay + Millis(100) > rules.max_delay(), "{max_delay}");
}

#[rstest]
#[case::short_hold(SHORT_HOLD, 11)]
#[case::rare_retries(RARE_RETRIES, 7)]
fn an_outage_costs_few_polls(#[case] rules: LongPollRules, #[case] polls_max: u32) {
    let outage_end = Millis(20_000);
    for seed in 0..200 {
        let store = Store { outage: (Millis(10_300), outage_end), written: outage_end };
        let (_, asked) = read_at(store, rules, &mut draws(seed));
        assert!(asked <= polls_max, "{seed}: {asked}");
    }
}

#[test]
fn nodes_that_lose_the_store_together_poll_at_different_moments() {
    let time_of_third_poll = |seed| {
        let mut round = PollRound::new(SHORT_HOLD, Millis::ZERO);
        let mut draws = draws(seed);
        (0..3).for_each(|_| {
            let at = round.next_poll_at();
            round.on_poll_sent(at, draws.next().unwrap());
        });
        round.next_poll_at()
    };
    let mut moments: Vec<Millis> = (1..8).map(time_of_third_poll).collect();
    moments.sort();
    moments.dedup();
    assert!(moments.len() > 5, "{moments:?}");
}

#[test]
fn a_partial_answer_delays_the_next_poll() {
    let mut round = PollRound::new(SHORT_HOLD, Millis::ZERO);
    round.on_poll_sent(Millis::ZERO, 0);
    round.on_partial_answer(Millis(1_690));
    assert_eq!(round.next_poll_at(), Millis(1_940));
}

#[rstest]
#[case::short_hold(SHORT_HOLD, [150, 300, 600, 650, 650])]
#[case::rare_retries(RARE_RETRIES, [150, 300, 600, 1_200, 1_200])]
fn refused_polls_back_off_exponentially(#[case] rules: LongPollRules, #[case] expected: [u64; 5]) {
    let mut round = PollRound::new(rules, Millis::ZERO);
    let mut backoffs = Vec::new();
    for _ in 0..5 {
        let now = round.next_poll_at();
        round.on_poll_sent(now, 0);
        round.on_refusal(now);
        backoffs.push(round.next_poll_at().since(now).0);
    }
    assert_eq!(backoffs, expected);
}

#[rstest]
#[case::only_poll(1, false, false)]
#[case::second_poll_after_a_timeout(2, true, true)]
#[case::first_poll_after_a_timeout(1, true, true)]
#[case::second_poll_before_the_first(2, false, true)]
fn an_answer_may_follow_an_outage_unless_the_first_poll_is_answered_in_time(
    #[case] number: u32,
    #[case] has_timed_out: bool,
    #[case] expected: bool,
) {
    let mut round = PollRound::new(SHORT_HOLD, Millis::ZERO);
    round.on_poll_sent(Millis::ZERO, 0);
    round.on_poll_sent(Millis(1_700), 0);
    if has_timed_out {
        round.on_timeout();
    }
    assert_eq!(round.may_follow_outage(number), expected);
}
