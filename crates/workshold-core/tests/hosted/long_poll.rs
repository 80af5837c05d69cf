//! What is written after a silence of the store is read in time, whatever the moments.
//!
//! A question that is asked into the silence, or waits when it begins, is never answered; any
//! other is answered once there is news or its wait is over. Where a lost question was given
//! up only after its own time, 2.7 s and a pause of up to 0.6 s, what was written after the
//! store's return was read 3.3 s later.

use rstest::rstest;
use workshold_core::hosted::long_poll::LongPollRules;
use workshold_core::hosted::long_poll::PollRound;
use workshold_protocol::Millis;

/// What an answer takes.
const ANSWER: Millis = Millis(20);
/// Time for the answer itself, beyond the wait.
const ANSWER_TIME: Millis = Millis(1_200);

const SHORT: LongPollRules =
    LongPollRules { wait: Millis(1_450), late_after: Millis(250), retry_interval: Millis(1_300) };
const LONG: LongPollRules =
    LongPollRules { wait: Millis(2_000), late_after: Millis(250), retry_interval: Millis(1_300) };
const RARE: LongPollRules =
    LongPollRules { wait: Millis(1_500), late_after: Millis(250), retry_interval: Millis(2_400) };

/// A store that is silent for a while, and where something is written later.
#[derive(Debug, Clone, Copy)]
struct Store {
    silent: (Millis, Millis),
    written: Millis,
}

impl Store {
    /// When a question is answered that is asked at `asked` and held for `wait`.
    fn answers(self, asked: Millis, wait: Millis) -> Option<Millis> {
        let due = self.written.clamp(asked, asked + wait);
        let (from, to) = self.silent;
        let is_lost = asked < to && due >= from;
        (!is_lost).then_some(due + ANSWER)
    }
}

/// When what is written is read, by rounds one after the other, and how many questions it took.
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
        let mut given_up = Vec::new();
        while answer.is_none_or(|(at, _)| at > round.next_poll_at()) {
            now = round.next_poll_at();
            given_up.retain(|until| {
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
                None => given_up.push(now + wait + ANSWER_TIME),
            }
        }
        let (at, sent) = answer.unwrap();
        now = at;
        let is_read = sent >= store.written || at >= store.written + ANSWER;
        if is_read {
            return (at, asked);
        }
    }
}

/// Numbers that look drawn, the same each time.
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
#[case::short(SHORT)]
#[case::long(LONG)]
#[case::rare(RARE)]
fn what_is_written_after_a_silence_is_read_in_time_whatever_the_moments(
    #[case] rules: LongPollRules,
) {
    let mut max_delay = Millis::ZERO;
    for (i, began) in (10_000..14_000).step_by(37).enumerate() {
        for lasted in (1..9_000).step_by(131) {
            let back = Millis(began + lasted);
            for later in [0, 40, 700, 1_600, 3_000] {
                let written = back + Millis(later);
                let store = Store { silent: (Millis(began), back), written };
                let (read, _) = read_at(store, rules, &mut draws(i as u64));
                let took = read.since(written);
                assert!(took <= rules.max_delay() + ANSWER, "{store:?}: {took}");
                max_delay = max_delay.max(took);
            }
        }
    }
    // The worst moment is among those tried, or the bound says little.
    assert!(max_delay + Millis(100) > rules.max_delay(), "{max_delay}");
}

#[rstest]
#[case::short(SHORT, 11)]
#[case::rare(RARE, 7)]
fn a_silence_costs_few_questions(#[case] rules: LongPollRules, #[case] most: u32) {
    let back = Millis(20_000);
    for seed in 0..200 {
        let store = Store { silent: (Millis(10_300), back), written: back };
        let (_, asked) = read_at(store, rules, &mut draws(seed));
        assert!(asked <= most, "{seed}: {asked}");
    }
}

#[test]
fn nodes_that_lose_the_store_together_ask_at_different_moments() {
    let thirds = |seed| {
        let mut round = PollRound::new(SHORT, Millis::ZERO);
        let mut draws = draws(seed);
        (0..3).for_each(|_| {
            let at = round.next_poll_at();
            round.on_poll_sent(at, draws.next().unwrap());
        });
        round.next_poll_at()
    };
    let mut moments: Vec<Millis> = (1..8).map(thirds).collect();
    moments.sort();
    moments.dedup();
    assert!(moments.len() > 5, "{moments:?}");
}

#[test]
fn an_answer_that_is_coming_is_not_asked_for_twice() {
    let mut round = PollRound::new(SHORT, Millis::ZERO);
    round.on_poll_sent(Millis::ZERO, 0);
    round.on_partial_answer(Millis(1_690));
    assert_eq!(round.next_poll_at(), Millis(1_940));
}

#[rstest]
#[case::short(SHORT, [150, 300, 600, 650, 650])]
#[case::rare(RARE, [150, 300, 600, 1_200, 1_200])]
fn a_store_that_refuses_is_asked_more_and_more_rarely(
    #[case] rules: LongPollRules,
    #[case] expected: [u64; 5],
) {
    let mut round = PollRound::new(rules, Millis::ZERO);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let now = round.next_poll_at();
        round.on_poll_sent(now, 0);
        round.on_refusal(now);
        pauses.push(round.next_poll_at().since(now).0);
    }
    assert_eq!(pauses, expected);
}

#[rstest]
#[case::the_only_one(1, false, false)]
#[case::after_one_that_failed(2, true, true)]
#[case::the_first_after_all(1, true, true)]
#[case::before_the_first(2, false, true)]
fn the_store_is_in_doubt_until_a_question_is_answered_in_time(
    #[case] number: u32,
    #[case] one_failed: bool,
    #[case] expected: bool,
) {
    let mut round = PollRound::new(SHORT, Millis::ZERO);
    round.on_poll_sent(Millis::ZERO, 0);
    round.on_poll_sent(Millis(1_700), 0);
    if one_failed {
        round.on_timeout();
    }
    assert_eq!(round.may_follow_outage(number), expected);
}
