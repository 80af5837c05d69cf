//! Runs one generation: finds a group for it, makes attempts, and forwards the tokens.
//!
//! If the engine of an attempt stalls, a second engine gets the request as well (a hedge).
//! The first of the two that sends the next token goes on with the answer.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use uuid::Uuid;
use workshold_core::admission::Arrival;
use workshold_core::admission::Priority;
use workshold_core::lifecycle::Event;
use workshold_core::lifecycle::Next;
use workshold_core::lifecycle::Repeatability;
use workshold_core::lifecycle::RequestLifecycle;
use workshold_core::lifecycle::RequestResult;
use workshold_core::prefix::PrefixChain;
use workshold_core::retry::RetryBudget;
use workshold_core::retry::RetryRules;
use workshold_http::client;
use workshold_protocol::Millis;
use workshold_protocol::engine::GenerateRequest;
use workshold_protocol::engine::TokenEvent;
use workshold_protocol::ids::AdapterName;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::TeamName;
use workshold_protocol::problem::Problem;
use workshold_protocol::problem::ProblemCode;

use crate::callers::completions::CompletionFormat;
use crate::callers::engine_stream::Heard;
use crate::callers::engine_stream::Talk;
use crate::dispatcher::DispatchContext;
use crate::dispatcher::ModelDispatcher;
use crate::dispatcher::Placement;
use crate::dispatcher::QueueOutcome;
use crate::events;
use crate::events::emit;
use crate::node::Node;
use crate::requests::InFlight;
use crate::requests::InFlightGuard;
use crate::requests::StreamLocation;
use crate::serving::ServingGroup;

/// A generation request after validation.
#[derive(Debug, Clone)]
pub struct Job {
    /// The team that sent it.
    pub team: TeamName,
    /// The team's weight in the fair queue.
    pub share: f64,
    /// The model that generates.
    pub model: ModelName,
    /// The adapter to load on the model; `None` for the model alone.
    pub adapter: Option<AdapterName>,
    /// The prompt as one text, also for chat requests.
    pub prompt: String,
    /// Hashes of the prompt's prefixes, for routing to a group that has them cached.
    pub chain: Arc<PrefixChain>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The priority in the queue and at the engine.
    pub priority: Priority,
    /// When the caller stops waiting, by this node's clock.
    pub deadline: Millis,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// The format of the answer.
    pub style: CompletionFormat,
}

/// A part of the answer, for the task that writes to the caller.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// The request id by which the caller can resume the stream from now on. Sent again
    /// when another engine takes over.
    Placed(String),
    /// One token of the answer.
    Token {
        /// Its position in the answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// The number of tokens in the answer.
        tokens: u32,
    },
    /// The request ended without a complete answer.
    Problem(Problem),
}

/// Timeout for connecting to an engine.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// The least `Retry-After` if no group serves the model. A random part of up to the same
/// length is added, so that callers do not return all at once.
const NO_GROUP_RETRY_MS: f64 = 2_000.0;

/// Why an attempt ended.
#[derive(Debug)]
enum Ended {
    /// An event for the request's lifecycle, which decides whether to retry.
    By(Event),
    /// The caller disconnected or stopped reading.
    CallerGone,
}

/// Runs a job to its end, counts the result and sends it to the caller.
pub async fn run(node: Arc<Node>, job: Job, tx: mpsc::Sender<Piece>) {
    let guard = node.in_flight.track(InFlight {
        team: job.team.clone(),
        target: job.model.to_string(),
        group: None,
        since: node.now(),
    });
    let lifecycle =
        RequestLifecycle::new(job.repeatability, job.deadline, RetryRules::default().max_attempts);
    let mut run = Run {
        node: &node,
        job: &job,
        tx: &tx,
        guard,
        lifecycle,
        generated: Vec::new(),
        placed: None,
        turn: None,
        hint: None,
    };
    run.on_request();
    let end = run.drive().await;
    run.finish(end).await;
}

struct Run<'a> {
    node: &'a Arc<Node>,
    job: &'a Job,
    tx: &'a mpsc::Sender<Piece>,
    guard: InFlightGuard<'a>,
    lifecycle: RequestLifecycle,
    /// The tokens sent to the caller so far; another engine continues after them.
    generated: Vec<String>,
    /// The stream whose request id the caller got last.
    placed: Option<Uuid>,
    /// The wait in the queue for a second engine, while the first one stalls.
    turn: Option<oneshot::Receiver<QueueOutcome>>,
    /// When the caller may try again if the request fails; `None` if that is not known.
    hint: Option<Millis>,
}

impl Run<'_> {
    /// Makes attempts until the request has a result; `None` if the caller went away.
    async fn drive(&mut self) -> Option<RequestResult> {
        loop {
            let ended = match self.place().await {
                Ok(group) => self.attempt(group).await,
                Err(event) => Ended::By(event),
            };
            let event = match ended {
                Ended::By(event) => event,
                Ended::CallerGone => return None,
            };
            let (attempt, now) = (self.lifecycle.attempt(), self.node.now());
            let (node, job) = (self.node, self.job);
            match self.lifecycle.on(attempt, event, now, || may_retry(node, job)) {
                Next::Finish(end) => return Some(end),
                Next::TryAgain(next) => self.before_retry(next, event).await,
                Next::GoOn => {}
            }
        }
    }

    fn note_failed(&self, why: &str) {
        self.node.counters.retries.add(1);
        emit(events::Event::AttemptFailed, &[("model", self.job.model.as_str()), ("why", why)]);
    }

    async fn before_retry(&self, next: u32, event: Event) {
        self.note_failed(&format!("{event:?}"));
        let budget = RetryBudget::new(RetryRules::default());
        tokio::time::sleep(budget.backoff(next, rand::random()).to_duration()).await;
    }

    /// Credits the request to its team's retry budget.
    fn on_request(&self) {
        if let Some(bundle) = self.node.bundle() {
            self.node.with_team_limits(&self.job.team, &bundle, |desk| desk.retries.on_request());
        }
    }

    /// Takes a slot at a group, waiting in the queue if there is no free one.
    async fn place(&mut self) -> Result<Box<ServingGroup>, Event> {
        let now = self.node.now();
        if now >= self.lifecycle.deadline() {
            return Err(Event::DeadlinePassed);
        }
        let draw = rand::random::<f64>();
        let placed = self.ask_for_place(now, draw);
        match placed {
            Some(Placement::Dispatched(group)) => Ok(group),
            Some(Placement::Queued(turn)) => self.wait(turn).await,
            Some(Placement::Refused(refused)) => {
                self.hint = Some(refused.retry_after);
                Err(Event::NotPlaced(ProblemCode::Overloaded))
            }
            Some(Placement::NoGroup) | None => {
                self.hint = Some(Millis((NO_GROUP_RETRY_MS * (1.0 + draw)) as u64));
                Err(Event::NotPlaced(ProblemCode::NoGroup))
            }
        }
    }

    fn ask_for_place(&self, now: Millis, draw: f64) -> Option<Placement> {
        self.with_dispatcher(|desk, view| {
            // The request must leave the queue early enough for an average answer, but may
            // always wait for half of the time that it has left.
            let reserve = desk.service_time().0.min(self.lifecycle.deadline().since(now).0 / 2);
            let arrival = Arrival {
                team: &self.job.team,
                share: self.job.share,
                priority: self.job.priority,
                start_by: self.lifecycle.deadline() - Millis(reserve),
                draw,
            };
            desk.place(view, &self.job.chain, &arrival)
        })
    }

    async fn wait(
        &self,
        turn: oneshot::Receiver<QueueOutcome>,
    ) -> Result<Box<ServingGroup>, Event> {
        tokio::select! {
            turn = turn => match turn {
                Ok(QueueOutcome::Dispatched(group)) => Ok(group),
                Ok(QueueOutcome::Expired) => Err(Event::DeadlinePassed),
                Err(_) => Err(Event::NotPlaced(ProblemCode::NoGroup)),
            },
            // The caller is gone: dropping `turn` gives up the place in the queue.
            () = self.tx.closed() => Err(Event::DeadlinePassed),
        }
    }

    fn with_dispatcher<R>(
        &self,
        work: impl FnOnce(&mut ModelDispatcher, &DispatchContext<'_>) -> R,
    ) -> Option<R> {
        with_dispatcher(self.node, &self.job.model, work)
    }

    /// Makes one attempt at `group`, and releases its slot there.
    async fn attempt(&mut self, group: Box<ServingGroup>) -> Ended {
        self.guard.set_group(&group.group);
        let talk = match self.begin(group).await {
            Ok(talk) => talk,
            Err(group) => {
                let ended = Ended::By(Event::ConnectFailed);
                self.give_back(&group, &ended, None, self.node.now());
                return ended;
            }
        };
        let (attempt, now) = (self.lifecycle.attempt(), self.node.now());
        if let Next::Finish(_) = self.lifecycle.on(attempt, Event::Sending, now, || false) {
            let ended = Ended::By(Event::DeadlinePassed);
            self.give_back(&talk.group, &ended, None, talk.started);
            return ended;
        }
        let mut talks = vec![talk];
        let mut first_token = None;
        let ended = self.relay(&mut talks, &mut first_token).await;
        self.give_turn_back();
        let is_done = matches!(ended, Ended::By(Event::Done));
        // Streams that did not complete are cancelled, except a single one that ended before its
        // first token.
        let is_wanted = is_done || self.lifecycle.tokens() == 0 && talks.len() == 1;
        for talk in &talks {
            if !is_wanted || matches!(ended, Ended::CallerGone) {
                cancel(talk.group.address.clone(), talk.stream);
            }
            let first_token = first_token.map(|at: Millis| at.since(talk.started));
            self.give_back(&talk.group, &ended, first_token, talk.started);
        }
        ended
    }

    /// Connects to the head of a group. The request is sent when the stream is first polled.
    ///
    /// Returns the group if the connection fails or the group's reports have expired.
    async fn begin(&self, group: Box<ServingGroup>) -> Result<Talk, Box<ServingGroup>> {
        let started = self.node.now();
        let Ok(connected) = client::connect(&group.address, CONNECT_TIME).await else {
            return Err(group);
        };
        let now = self.node.now();
        if now >= group.valid_until {
            // The reports that the group was chosen by expired during the connect.
            return Err(group);
        }
        let stream = Uuid::new_v4();
        let generate = self.generate_request(&group, stream);
        let req =
            client::request(&group.address, Method::POST, "/engine/generate", Some(&generate));
        // `relay` enforces the deadline itself, so this timeout may be a little longer.
        let left = self.lifecycle.deadline().since(now).to_duration() + CONNECT_TIME;
        let opening = Box::pin(connected.send(req, left));
        let silence = self.node.settings.times.upstream_silence.to_duration();
        Ok(Talk::new(group, stream, started, opening, silence))
    }

    fn give_back(
        &self,
        group: &ServingGroup,
        ended: &Ended,
        first_token: Option<Millis>,
        started: Millis,
    ) {
        let now = self.node.now();
        self.with_dispatcher(|desk, view| {
            match ended {
                Ended::By(Event::Done) | Ended::CallerGone => {
                    desk.on_done(&group.group, first_token, now.since(started), now);
                }
                Ended::By(Event::ConnectFailed | Event::Broken) => {
                    desk.on_failed(&group.group, now);
                }
                Ended::By(Event::RefusedBeforeStart) => desk.on_refused(&group.group, now),
                Ended::By(_) => desk.on_done(&group.group, None, Millis::ZERO, now),
            }
            desk.dispatch(view);
        });
    }

    fn generate_request(&self, group: &ServingGroup, stream: Uuid) -> GenerateRequest {
        GenerateRequest {
            stream: stream.to_string(),
            group: group.group.clone(),
            fence: group.fence,
            model: self.job.model.clone(),
            adapter: self.job.adapter.clone(),
            prompt: self.job.prompt.clone(),
            generated: self.generated.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.priority.engine_priority(),
        }
    }

    /// Forwards tokens to the caller until the answer ends or the deadline passes. While
    /// the only engine stalls, a second one is asked as well; the first of the two that
    /// sends the next token or the end keeps the request.
    async fn relay(&mut self, talks: &mut Vec<Talk>, first_token: &mut Option<Millis>) -> Ended {
        loop {
            let left = self.lifecycle.deadline().since(self.node.now());
            if left == Millis::ZERO {
                return Ended::By(Event::DeadlinePassed);
            }
            let heard = tokio::select! {
                heard = timeout(left.to_duration(), listen(talks)) => heard,
                turn = its_turn(&mut self.turn) => {
                    self.turn = None;
                    if let Some(group) = turn {
                        self.begin_beside(talks, group).await;
                    }
                    continue;
                }
            };
            let Ok((who, heard)) = heard else { return Ended::By(Event::DeadlinePassed) };
            let event = match heard {
                Heard::Event(TokenEvent::Token { index, text }) => {
                    if self.lifecycle.accept_token(self.lifecycle.attempt(), index) {
                        self.give_turn_back();
                        self.choose(talks, who, first_token);
                        first_token.get_or_insert_with(|| self.node.now());
                        if self.hand_on(self.place_of(&talks[0]), index, text).await.is_err() {
                            return Ended::CallerGone;
                        }
                    }
                    continue;
                }
                Heard::Event(TokenEvent::Done { tokens }) if tokens == self.lifecycle.tokens() => {
                    self.choose(talks, who, first_token);
                    return Ended::By(Event::Done);
                }
                Heard::Opened if who > 0 => continue,
                Heard::Opened => match self.tell_place(self.place_of(&talks[0])).await {
                    Ok(()) => continue,
                    Err(()) => return Ended::CallerGone,
                },
                Heard::Silence if talks.len() == 1 => {
                    self.ask_another(talks).await;
                    continue;
                }
                Heard::Silence if who == 0 => continue,
                Heard::Refused => Event::RefusedBeforeStart,
                // Also a `Done` whose count differs from the tokens received: the answer is
                // not complete.
                Heard::Event(_) | Heard::Broken | Heard::Silence => Event::Broken,
            };
            if talks.len() == 1 {
                return Ended::By(event);
            }
            self.give_up(&talks.remove(who), event);
        }
    }

    /// Keeps the stream `who` of two, which was the first to send something, and cancels the
    /// other one.
    fn choose(&mut self, talks: &mut Vec<Talk>, who: usize, first_token: &mut Option<Millis>) {
        if talks.len() == 1 {
            return;
        }
        let other = talks.remove(1 - who);
        if who == 0 {
            cancel(other.group.address.clone(), other.stream);
            self.give_back(&other.group, &Ended::CallerGone, None, other.started);
            return;
        }
        self.give_up(&other, Event::Broken);
        self.guard.set_group(&talks[0].group.group);
        *first_token = None;
    }

    /// Cancels one of two streams after `event`; the other one goes on.
    fn give_up(&self, talk: &Talk, event: Event) {
        cancel(talk.group.address.clone(), talk.stream);
        self.give_back(&talk.group, &Ended::By(event), None, talk.started);
    }

    /// Starts a hedge at another engine, or queues for one, while the first one stalls.
    async fn ask_another(&mut self, talks: &mut Vec<Talk>) {
        let now = self.node.now();
        if self.turn.is_some() || !self.lifecycle.may_try_again(now) {
            return;
        }
        let silent = &talks[0].group.group;
        self.with_dispatcher(|desk, _| desk.on_stalled(silent, now));
        match self.ask_for_place(now, rand::random()) {
            Some(Placement::Dispatched(group)) => self.begin_beside(talks, group).await,
            Some(Placement::Queued(turn)) => self.turn = Some(turn),
            Some(Placement::Refused(_) | Placement::NoGroup) | None => {}
        }
    }

    /// Sends the request to a second engine if the rules and the retry budget allow it.
    /// From then on both streams count as the same attempt, and the tokens of only one of
    /// them reach the caller.
    async fn begin_beside(&mut self, talks: &mut Vec<Talk>, group: Box<ServingGroup>) {
        let began = match self.begin(group).await {
            Ok(talk) => talk,
            Err(group) => {
                let ended = Ended::By(Event::ConnectFailed);
                self.give_back(&group, &ended, None, self.node.now());
                return;
            }
        };
        let (attempt, now) = (self.lifecycle.attempt(), self.node.now());
        let is_other = began.group.group != talks[0].group.group;
        let may_try = is_other && self.lifecycle.may_try_again(now);
        if !may_try || !may_retry(self.node, self.job) {
            self.give_back(&began.group, &Ended::CallerGone, None, began.started);
            return;
        }
        self.note_failed("Silent");
        if let Next::TryAgain(next) = self.lifecycle.on(attempt, Event::Broken, now, || true) {
            self.lifecycle.on(next, Event::Sending, now, || false);
        }
        talks.push(began);
    }

    /// Leaves the queue for a second engine, and releases a slot that was granted meanwhile.
    fn give_turn_back(&mut self) {
        let Some(mut turn) = self.turn.take() else { return };
        turn.close();
        if let Ok(QueueOutcome::Dispatched(group)) = turn.try_recv() {
            self.give_back(&group, &Ended::CallerGone, None, self.node.now());
        }
    }

    async fn hand_on(&mut self, place: StreamLocation, index: u32, text: String) -> Result<(), ()> {
        self.tell_place(place).await?;
        self.generated.push(text.clone());
        self.tell(Piece::Token { index, text }).await?;
        self.node.counters.tokens.add(1);
        Ok(())
    }

    fn place_of(&self, talk: &Talk) -> StreamLocation {
        StreamLocation {
            stream: talk.stream,
            team: self.job.team.clone(),
            model: self.job.model.clone(),
            instance: talk.group.head.clone(),
            is_chat: self.job.style == CompletionFormat::Chat,
        }
    }

    /// Sends the caller the request id by which the stream can be resumed, once for each
    /// engine.
    async fn tell_place(&mut self, place: StreamLocation) -> Result<(), ()> {
        if self.placed.replace(place.stream) == Some(place.stream) {
            return Ok(());
        }
        self.tell(Piece::Placed(place.seal(&self.node.checked.cluster_key))).await
    }

    /// Sends a part to the caller. Fails if the caller is gone, or does not read for as long
    /// as `caller_stall`.
    async fn tell(&self, piece: Piece) -> Result<(), ()> {
        let stall = self.node.settings.times.caller_stall.to_duration();
        match timeout(stall, self.tx.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(()),
        }
    }

    /// Counts the result and sends the last part to the caller; `None` if the caller is gone.
    async fn finish(&self, end: Option<RequestResult>) {
        self.charge();
        let counters = &self.node.counters;
        let (code, ran) = match end {
            None => {
                counters.cancelled.add(1);
                emit(events::Event::CallerGone, &[("model", self.job.model.as_str())]);
                return;
            }
            Some(RequestResult::Answered) => {
                counters.answered.add(1);
                let _ = self.tell(Piece::Done { tokens: self.lifecycle.tokens() }).await;
                return;
            }
            Some(RequestResult::NotRun(code)) => {
                counters.not_run.add(1);
                (code, Problem::not_run(code, self.detail()))
            }
            Some(RequestResult::Unknown(code)) => {
                counters.unknown.add(1);
                (code, Problem::may_have_run(code, self.detail()))
            }
        };
        let fields = [("model", self.job.model.as_str()), ("code", &format!("{code:?}"))];
        emit(events::Event::RequestFailed, &fields);
        let problem = match self.hint {
            Some(after) => ran.retry_after(after),
            None => ran,
        };
        let _ = self.tell(Piece::Problem(problem)).await;
    }

    fn detail(&self) -> String {
        format!(
            "after {} attempt(s) and {} token(s)",
            self.lifecycle.attempt(),
            self.lifecycle.tokens()
        )
    }

    /// Charges the tokens that were generated to the team's rate limit.
    fn charge(&self) {
        let (now, tokens) = (self.node.now(), f64::from(self.lifecycle.tokens()));
        if let Some(bundle) = self.node.bundle() {
            self.node
                .with_team_limits(&self.job.team, &bundle, |desk| desk.tokens.charge(tokens, now));
        }
    }
}

/// Takes a retry from the team's retry budget; false if it is used up.
fn may_retry(node: &Node, job: &Job) -> bool {
    let bundle = node.bundle();
    let taken =
        bundle.and_then(|b| node.with_team_limits(&job.team, &b, |desk| desk.retries.take()));
    // Without teams there is no retry budget; the number of attempts is still limited.
    taken.unwrap_or(true)
}

/// Runs `work` on a model's dispatcher; `None` without a bundle that has the model.
pub fn with_dispatcher<R>(
    node: &Node,
    model: &ModelName,
    work: impl FnOnce(&mut ModelDispatcher, &DispatchContext<'_>) -> R,
) -> Option<R> {
    let bundle = node.bundle()?;
    let version = &bundle.models.get(model)?.version;
    let table = Arc::clone(&node.serving.read());
    let view = DispatchContext { model, version, table: &table, now: node.now() };
    Some(node.dispatchers.with_entry(model, ModelDispatcher::default, |desk| work(desk, &view)))
}

/// Cancels a stream at its engine, in the background.
pub fn cancel(address: String, stream: Uuid) {
    tokio::spawn(async move {
        let path = format!("/engine/streams/{stream}");
        // If this request is lost, the stream still ends by itself at the engine.
        let _: Result<serde_json::Value, _> =
            client::call::<(), _>(&address, Method::DELETE, &path, None, CONNECT_TIME).await;
    });
}

/// Waits for the next event of any stream; returns the stream's index with it.
async fn listen(talks: &mut [Talk]) -> (usize, Heard) {
    match talks {
        [first, second] => tokio::select! {
            heard = first.next() => (0, heard),
            heard = second.next() => (1, heard),
        },
        [only, ..] => (0, only.next().await),
        [] => (0, Heard::Broken),
    }
}

/// Waits for a place in the queue to be granted; `None` if it expired. Never resolves if
/// there is no place.
async fn its_turn(turn: &mut Option<oneshot::Receiver<QueueOutcome>>) -> Option<Box<ServingGroup>> {
    let Some(turn) = turn else { return std::future::pending().await };
    match turn.await {
        Ok(QueueOutcome::Dispatched(group)) => Some(group),
        Ok(QueueOutcome::Expired) | Err(_) => None,
    }
}
