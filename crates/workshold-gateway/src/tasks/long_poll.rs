//! Asking the store for the configuration and the list until it answers: what
//! [`workshold_core::hosted::long_poll`] decides, done with connections.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use workshold_core::hosted::long_poll::LongPollRules;
use workshold_core::hosted::long_poll::PollRound;
use workshold_core::hosted::store_era::LogPosition;
use workshold_http::client::CallError;
use workshold_platform::names;
use workshold_platform::store::Answer;
use workshold_platform::store::Records;
use workshold_platform::store::Store;
use workshold_platform::store::StoreError;
use workshold_protocol::Millis;

use crate::events::Event;
use crate::events::emit;
use crate::metrics::Metric;
use crate::node::Node;

/// Time for the answer itself, beyond the wait.
const ANSWER_TIME: Millis = Millis(1_200);
/// Waiting reads answer at least this often.
const STORE_LOST_AFTER: Millis = Millis(3_000);

/// What is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The operator's newest configuration.
    Config,
    /// The list of instances.
    List,
}

impl Topic {
    /// What it is called in logs.
    const fn text(self) -> &'static str {
        match self {
            Self::Config => "configuration",
            Self::List => "list",
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Config => names::OPERATOR_TOPIC,
            Self::List => names::INSTANCES_TOPIC,
        }
    }

    const fn metric(self) -> Metric {
        match self {
            Self::Config => Metric::ConfigReads,
            Self::List => Metric::ListReads,
        }
    }

    /// Each has a client of its own: whether its answer is on its way shows there.
    const fn store(self, node: &Node) -> &Store {
        match self {
            Self::Config => &node.config_store,
            Self::List => &node.list_store,
        }
    }

    /// The store did not answer at `at`: entries may be missing that are there.
    fn note_trouble(self, node: &Node, at: Millis) {
        if self == Self::List {
            node.list.lock().trust.on_store_failure(at);
        }
    }
}

/// What a question brought that was answered.
#[derive(Debug)]
pub struct Reading {
    /// The records.
    pub records: Records,
    /// From where on they were asked for; `None` for a whole reading.
    pub from: Option<LogPosition>,
    /// When the question was sent.
    pub sent: Millis,
}

/// How asking ended.
#[derive(Debug)]
pub enum PollOutcome {
    /// With an answer.
    Read(Reading),
    /// What was to be read on from is no longer kept.
    Gone,
    /// Others read for this node.
    NotNeeded,
}

/// A question on its way, the `number`th of its round.
#[derive(Debug, Clone, Copy)]
struct Question {
    number: u32,
    from: Option<LogPosition>,
    sent: Millis,
}

/// Asks for a topic, from the place that `from` gives or for the whole, until an answer comes
/// or `is_needed` says that none is.
pub async fn read(
    node: &Node,
    topic: Topic,
    rules: LongPollRules,
    from: impl Fn() -> Option<LogPosition>,
    is_needed: impl Fn() -> bool,
) -> PollOutcome {
    let store = topic.store(node);
    // The whole is there at once.
    let wait = if from().is_some() { rules.wait } else { Millis::ZERO };
    let mut round = PollRound::new(LongPollRules { wait, ..rules }, node.now());
    let mut open = FuturesUnordered::new();
    let mut received = store.received();
    loop {
        let now = node.now();
        if round.next_poll_at() <= now {
            let is_coming = !open.is_empty() && store.received() > received;
            received = store.received();
            if is_coming {
                round.on_partial_answer(now);
                continue;
            }
            if round.asked() > 0 && !is_needed() {
                return PollOutcome::NotNeeded;
            }
            if round.is_first_poll_late() {
                emit(Event::ReadingLate, &[("reading", topic.text())]);
            }
            let wait = round.on_poll_sent(now, rand::random());
            let question = Question { number: round.asked(), from: from(), sent: now };
            node.metrics.count(topic.metric());
            open.push(ask(store, topic, question, wait));
        }
        let left = round.next_poll_at().since(node.now());
        tokio::select! {
            Some((question, answer)) = open.next() => {
                if let Some(asked) = take_answer(node, topic, &mut round, question, answer) {
                    return asked;
                }
            }
            () = tokio::time::sleep(left.to_duration()) => {}
        }
    }
}

/// What an answer, or the want of one, comes to; `None` if another question is needed.
fn take_answer(
    node: &Node,
    topic: Topic,
    round: &mut PollRound,
    question: Question,
    answer: Result<Answer<Records>, StoreError>,
) -> Option<PollOutcome> {
    let Question { number, from, sent } = question;
    match answer.and_then(|answer| take(node, answer, sent)) {
        Ok(records) => {
            if round.may_follow_outage(number) {
                topic.note_trouble(node, sent);
            }
            Some(PollOutcome::Read(Reading { records, from, sent }))
        }
        Err(StoreError::Gone { .. }) => Some(PollOutcome::Gone),
        Err(err) => {
            let now = node.now();
            note_failure(node, topic, sent, &err);
            topic.note_trouble(node, now);
            match err {
                StoreError::Call(CallError::TimedOut { .. }) => round.on_timeout(),
                _ => round.on_refusal(now),
            }
            None
        }
    }
}

async fn ask(
    store: &Store,
    topic: Topic,
    question: Question,
    wait: Millis,
) -> (Question, Result<Answer<Records>, StoreError>) {
    let answer = match question.from {
        Some(from) => store.read(topic.name(), from.offset, wait, ANSWER_TIME).await,
        None => store.newest(topic.name(), ANSWER_TIME).await,
    };
    (question, answer)
}

/// What the store says, if it is not of a past that is over.
fn take<T>(node: &Node, answer: Answer<T>, sent: Millis) -> Result<T, StoreError> {
    let was_lost = node.store_silent_for() > STORE_LOST_AFTER && node.config_age().is_some();
    let said = node.take_answer(answer, sent)?;
    if was_lost {
        emit(Event::StoreBack, &[]);
    }
    Ok(said)
}

/// A question that was sent at `sent` has failed. Whether the store has answered another one
/// that was asked later tells a question that was lost from a store that is away.
fn note_failure(node: &Node, topic: Topic, sent: Millis, err: &StoreError) {
    let age = node.store_silent_for();
    let asked = node.now().since(sent);
    let others = if age < asked { "answered" } else { "not answered" };
    let fields = [
        ("why", &*err.to_string()),
        ("reading", topic.text()),
        ("asked", &*asked.to_string()),
        ("later_questions", others),
        ("silent_for", &*age.to_string()),
    ];
    emit(Event::StoreLost, &fields);
}
