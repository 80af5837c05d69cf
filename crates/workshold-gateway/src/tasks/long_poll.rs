//! Long polls of the store for the configuration and the instance list, repeated until it
//! answers. [`workshold_core::hosted::long_poll`] decides when to poll; this module does the calls.

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

/// Time for the answer itself, beyond the time for which the store holds a long poll.
const STORE_TIMEOUT: Millis = Millis(1_200);
/// The store counts as unavailable after this time without an answer, for the event of its
/// return: long polls are answered more often than that.
const STORE_UNAVAILABLE_AFTER: Millis = Millis(3_000);

/// A topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The operator's configuration.
    Config,
    /// The instance list.
    List,
}

impl Topic {
    /// Its name in logs.
    const fn text(self) -> &'static str {
        match self {
            Self::Config => "configuration",
            Self::List => "list",
        }
    }

    /// Its name in the store.
    const fn name(self) -> &'static str {
        match self {
            Self::Config => names::OPERATOR_TOPIC,
            Self::List => names::INSTANCES_TOPIC,
        }
    }

    /// The counter of its polls.
    const fn metric(self) -> Metric {
        match self {
            Self::Config => Metric::ConfigReads,
            Self::List => Metric::ListReads,
        }
    }

    /// Its client; each topic has its own, since the client's count of received bytes shows whether
    /// an answer is arriving.
    const fn store(self, node: &Node) -> &Store {
        match self {
            Self::Config => &node.config_store,
            Self::List => &node.list_store,
        }
    }

    /// Notes that the store failed at `at`: missing entries then do not prove an instance gone.
    fn note_store_failure(self, node: &Node, at: Millis) {
        if self == Self::List {
            node.list.lock().on_store_failure(at);
        }
    }
}

/// The answer to a poll.
#[derive(Debug)]
pub struct PollAnswer {
    /// The records.
    pub records: Records,
    /// The position from which they were requested; `None` if all were.
    pub from: Option<LogPosition>,
    /// When the poll was sent.
    pub sent: Millis,
}

/// Outcome of polling.
#[derive(Debug)]
pub enum PollOutcome {
    /// The store answered.
    Read(PollAnswer),
    /// The store no longer keeps the position that was asked for.
    Gone,
    /// Other nodes read for this one by now.
    ReadByPeers,
}

/// A poll that has been sent, the `number`th of its round.
#[derive(Debug, Clone, Copy)]
struct Poll {
    number: u32,
    from: Option<LogPosition>,
    sent: Millis,
}

/// Polls a topic, from the position that `from` returns or for all records, until an answer
/// arrives or `is_needed` returns that none is needed.
pub async fn read(
    node: &Node,
    topic: Topic,
    rules: LongPollRules,
    from: impl Fn() -> Option<LogPosition>,
    is_needed: impl Fn() -> bool,
) -> PollOutcome {
    let store = topic.store(node);
    // A request for all records is answered at once.
    let wait = if from().is_some() { rules.wait } else { Millis::ZERO };
    let mut round = PollRound::new(LongPollRules { wait, ..rules }, node.now());
    let mut pending = FuturesUnordered::new();
    let mut received = store.received_len();
    loop {
        let now = node.now();
        if round.next_poll_at() <= now {
            let is_arriving = !pending.is_empty() && store.received_len() > received;
            received = store.received_len();
            if is_arriving {
                round.on_partial_answer(now);
                continue;
            }
            if round.asked() > 0 && !is_needed() {
                return PollOutcome::ReadByPeers;
            }
            if round.is_first_poll_late() {
                emit(Event::ReadingLate, &[("reading", topic.text())]);
            }
            let wait = round.on_poll_sent(now, rand::random());
            let poll = Poll { number: round.asked(), from: from(), sent: now };
            node.metrics.count(topic.metric());
            pending.push(send_poll(store, topic, poll, wait));
        }
        let left = round.next_poll_at().since(node.now());
        tokio::select! {
            Some((poll, answer)) = pending.next() => {
                if let Some(outcome) = handle_answer(node, topic, &mut round, poll, answer) {
                    return outcome;
                }
            }
            () = tokio::time::sleep(left.to_duration()) => {}
        }
    }
}

/// Turns an answer or a failure into the outcome; `None` if another poll is needed.
fn handle_answer(
    node: &Node,
    topic: Topic,
    round: &mut PollRound,
    poll: Poll,
    answer: Result<Answer<Records>, StoreError>,
) -> Option<PollOutcome> {
    let Poll { number, from, sent } = poll;
    match answer.and_then(|answer| accept(node, answer, sent)) {
        Ok(records) => {
            if round.may_follow_outage(number) {
                topic.note_store_failure(node, sent);
            }
            Some(PollOutcome::Read(PollAnswer { records, from, sent }))
        }
        Err(StoreError::Gone { .. }) => Some(PollOutcome::Gone),
        Err(err) => {
            let now = node.now();
            log_failure(node, topic, sent, &err);
            topic.note_store_failure(node, now);
            match err {
                StoreError::Call(CallError::TimedOut { .. }) => round.on_timeout(),
                _ => round.on_refusal(now),
            }
            None
        }
    }
}

/// Sends one poll, which the store may hold for `wait`.
async fn send_poll(
    store: &Store,
    topic: Topic,
    poll: Poll,
    wait: Millis,
) -> (Poll, Result<Answer<Records>, StoreError>) {
    let answer = match poll.from {
        Some(from) => store.read(topic.name(), from.offset, wait, STORE_TIMEOUT).await,
        None => store.newest(topic.name(), STORE_TIMEOUT).await,
    };
    (poll, answer)
}

/// The content of an answer, unless it belongs to an era of the store that is over.
fn accept<T>(node: &Node, answer: Answer<T>, sent: Millis) -> Result<T, StoreError> {
    let was_unavailable =
        node.store_silent_for() > STORE_UNAVAILABLE_AFTER && node.config_age().is_some();
    let content = node.take_answer(answer, sent)?;
    if was_unavailable {
        emit(Event::StoreBack, &[]);
    }
    Ok(content)
}

/// Logs that a poll sent at `sent` has failed. Whether the store has answered another request
/// that was sent later distinguishes a lost poll from an unavailable store.
fn log_failure(node: &Node, topic: Topic, sent: Millis, err: &StoreError) {
    let age = node.store_silent_for();
    let asked = node.now().since(sent);
    let later_polls = if age < asked { "answered" } else { "not answered" };
    let fields = [
        ("why", &*err.to_string()),
        ("reading", topic.text()),
        ("asked", &*asked.to_string()),
        ("later_questions", later_polls),
        ("silent_for", &*age.to_string()),
    ];
    emit(Event::StoreLost, &fields);
}
