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
use crate::callers::engine_stream::EngineEvent;
use crate::callers::engine_stream::EngineStream;
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
pub struct GenerationJob {
    /// The team that sent it.
    pub team: TeamName,
    /// The team's weight in the fair queue.
    pub share: f64,
    /// The model that generates.
    pub model: ModelName,
    /// The adapter to apply to the model; `None` for the model alone.
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
    pub format: CompletionFormat,
}

/// A part of the answer, for the task that writes to the caller.
#[derive(Debug, PartialEq)]
pub enum ResponsePart {
    /// The request id by which the caller can resume the stream from now on. Sent again
    /// when another engine takes over.
    RequestId(String),
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
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The least `Retry-After` if no group serves the model. A random part of up to the same
/// length is added, so that callers do not return all at once.
const NO_GROUP_RETRY_AFTER_MIN_MS: f64 = 2_000.0;

/// Why an attempt ended.
#[derive(Debug)]
enum AttemptEnd {
    /// An event for the request's lifecycle, which decides whether to retry.
    Lifecycle(Event),
    /// The caller disconnected or stopped reading.
    CallerGone,
}

/// Runs a job to its end, counts the result and sends it to the caller.
pub async fn run(node: Arc<Node>, job: GenerationJob, tx: mpsc::Sender<ResponsePart>) {
    let guard = node.in_flight.track(InFlight {
        team: job.team.clone(),
        target: job.model.to_string(),
        group: None,
        since: node.now(),
    });
    let lifecycle =
        RequestLifecycle::new(job.repeatability, job.deadline, RetryRules::default().max_attempts);
    let mut run = GenerationRun {
        node: &node,
        job: &job,
        tx: &tx,
        guard,
        lifecycle,
        generated: Vec::new(),
        announced_stream: None,
        queued_hedge: None,
        retry_after_hint: None,
    };
    run.on_request();
    let end = run.run_attempts().await;
    run.finish(end).await;
}

struct GenerationRun<'a> {
    node: &'a Arc<Node>,
    job: &'a GenerationJob,
    tx: &'a mpsc::Sender<ResponsePart>,
    guard: InFlightGuard<'a>,
    lifecycle: RequestLifecycle,
    /// The tokens sent to the caller so far; another engine continues after them.
    generated: Vec<String>,
    /// The stream whose request id the caller got last.
    announced_stream: Option<Uuid>,
    /// The wait in the queue for a second engine, while the first one stalls.
    queued_hedge: Option<oneshot::Receiver<QueueOutcome>>,
    /// When the caller may try again if the request fails; `None` if that is not known.
    retry_after_hint: Option<Millis>,
}

impl GenerationRun<'_> {
    /// Makes attempts until the request has a result; `None` if the caller went away.
    async fn run_attempts(&mut self) -> Option<RequestResult> {
        loop {
            let attempt_end = match self.acquire_slot().await {
                Ok(group) => self.attempt(group).await,
                Err(event) => AttemptEnd::Lifecycle(event),
            };
            let event = match attempt_end {
                AttemptEnd::Lifecycle(event) => event,
                AttemptEnd::CallerGone => return None,
            };
            let (attempt, now) = (self.lifecycle.attempt(), self.node.now());
            let (node, job) = (self.node, self.job);
            match self.lifecycle.on(attempt, event, now, || may_retry(node, job)) {
                Next::Finish(end) => return Some(end),
                Next::TryAgain(next) => self.back_off(next, event).await,
                Next::GoOn => {}
            }
        }
    }

    fn record_failed_attempt(&self, why: &str) {
        self.node.counters.retries.add(1);
        emit(events::Event::AttemptFailed, &[("model", self.job.model.as_str()), ("why", why)]);
    }

    async fn back_off(&self, next: u32, event: Event) {
        self.record_failed_attempt(&format!("{event:?}"));
        let budget = RetryBudget::new(RetryRules::default());
        tokio::time::sleep(budget.backoff(next, rand::random()).to_duration()).await;
    }

    /// Credits the request to its team's retry budget.
    fn on_request(&self) {
        if let Some(bundle) = self.node.bundle() {
            self.node
                .with_team_limits(&self.job.team, &bundle, |limits| limits.retries.on_request());
        }
    }

    /// Takes a slot at a group, waiting in the queue if there is no free one.
    async fn acquire_slot(&mut self) -> Result<Box<ServingGroup>, Event> {
        let now = self.node.now();
        if now >= self.lifecycle.deadline() {
            return Err(Event::DeadlinePassed);
        }
        let draw = rand::random::<f64>();
        let placement = self.request_slot(now, draw);
        match placement {
            Some(Placement::Dispatched(group)) => Ok(group),
            Some(Placement::Queued(outcome)) => self.wait_in_queue(outcome).await,
            Some(Placement::Refused(refused)) => {
                self.retry_after_hint = Some(refused.retry_after);
                Err(Event::NotPlaced(ProblemCode::Overloaded))
            }
            Some(Placement::NoGroup) | None => {
                self.retry_after_hint =
                    Some(Millis((NO_GROUP_RETRY_AFTER_MIN_MS * (1.0 + draw)) as u64));
                Err(Event::NotPlaced(ProblemCode::NoGroup))
            }
        }
    }

    fn request_slot(&self, now: Millis, draw: f64) -> Option<Placement> {
        self.with_dispatcher(|dispatcher, cx| {
            // The request must leave the queue early enough for an average answer, but may
            // always wait for half of the time that it has left.
            let reserve =
                dispatcher.service_time().0.min(self.lifecycle.deadline().since(now).0 / 2);
            let arrival = Arrival {
                team: &self.job.team,
                share: self.job.share,
                priority: self.job.priority,
                start_by: self.lifecycle.deadline() - Millis(reserve),
                draw,
            };
            dispatcher.place(cx, &self.job.chain, &arrival)
        })
    }

    async fn wait_in_queue(
        &self,
        outcome: oneshot::Receiver<QueueOutcome>,
    ) -> Result<Box<ServingGroup>, Event> {
        tokio::select! {
            outcome = outcome => match outcome {
                Ok(QueueOutcome::Dispatched(group)) => Ok(group),
                Ok(QueueOutcome::Expired) => Err(Event::DeadlinePassed),
                Err(_) => Err(Event::NotPlaced(ProblemCode::NoGroup)),
            },
            // The caller is gone: dropping `outcome` gives up the place in the queue.
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
    async fn attempt(&mut self, group: Box<ServingGroup>) -> AttemptEnd {
        self.guard.set_group(&group.group);
        let engine_stream = match self.open_stream(group).await {
            Ok(engine_stream) => engine_stream,
            Err(group) => {
                let attempt_end = AttemptEnd::Lifecycle(Event::ConnectFailed);
                self.release_slot(&group, &attempt_end, None, self.node.now());
                return attempt_end;
            }
        };
        let (attempt, now) = (self.lifecycle.attempt(), self.node.now());
        if let Next::Finish(_) = self.lifecycle.on(attempt, Event::Sending, now, || false) {
            let attempt_end = AttemptEnd::Lifecycle(Event::DeadlinePassed);
            self.release_slot(&engine_stream.group, &attempt_end, None, engine_stream.started);
            return attempt_end;
        }
        let mut engine_streams = vec![engine_stream];
        let mut first_token = None;
        let attempt_end = self.forward_stream(&mut engine_streams, &mut first_token).await;
        self.leave_hedge_queue();
        let is_done = matches!(attempt_end, AttemptEnd::Lifecycle(Event::Done));
        // Streams that did not complete are cancelled, except a single one that ended before its
        // first token.
        let may_skip_cancel = is_done || self.lifecycle.tokens() == 0 && engine_streams.len() == 1;
        for engine_stream in &engine_streams {
            if !may_skip_cancel || matches!(attempt_end, AttemptEnd::CallerGone) {
                cancel(engine_stream.group.address.clone(), engine_stream.id);
            }
            let first_token = first_token.map(|at: Millis| at.since(engine_stream.started));
            self.release_slot(
                &engine_stream.group,
                &attempt_end,
                first_token,
                engine_stream.started,
            );
        }
        attempt_end
    }

    /// Connects to the head of a group. The request is sent when the stream is first polled.
    ///
    /// Returns the group if the connection fails or the group's reports have expired.
    async fn open_stream(
        &self,
        group: Box<ServingGroup>,
    ) -> Result<EngineStream, Box<ServingGroup>> {
        let started = self.node.now();
        let Ok(connected) = client::connect(&group.address, CONNECT_TIMEOUT).await else {
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
        // `forward_stream` enforces the deadline itself, so this timeout may be a little longer.
        let left = self.lifecycle.deadline().since(now).to_duration() + CONNECT_TIMEOUT;
        let pending_response = Box::pin(connected.send(req, left));
        let stall_timeout = self.node.settings.times.upstream_silence.to_duration();
        Ok(EngineStream::new(group, stream, started, pending_response, stall_timeout))
    }

    fn release_slot(
        &self,
        group: &ServingGroup,
        attempt_end: &AttemptEnd,
        first_token: Option<Millis>,
        started: Millis,
    ) {
        let now = self.node.now();
        self.with_dispatcher(|dispatcher, cx| {
            match attempt_end {
                AttemptEnd::Lifecycle(Event::Done) | AttemptEnd::CallerGone => {
                    dispatcher.on_done(&group.group, first_token, now.since(started), now);
                }
                AttemptEnd::Lifecycle(Event::ConnectFailed | Event::Broken) => {
                    dispatcher.on_failed(&group.group, now);
                }
                AttemptEnd::Lifecycle(Event::RefusedBeforeStart) => {
                    dispatcher.on_refused(&group.group, now)
                }
                AttemptEnd::Lifecycle(_) => {
                    dispatcher.on_done(&group.group, None, Millis::ZERO, now)
                }
            }
            dispatcher.dispatch(cx);
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
    async fn forward_stream(
        &mut self,
        engine_streams: &mut Vec<EngineStream>,
        first_token: &mut Option<Millis>,
    ) -> AttemptEnd {
        loop {
            let left = self.lifecycle.deadline().since(self.node.now());
            if left == Millis::ZERO {
                return AttemptEnd::Lifecycle(Event::DeadlinePassed);
            }
            let received = tokio::select! {
                received = timeout(left.to_duration(), next_event(engine_streams)) => received,
                outcome = next_hedge_slot(&mut self.queued_hedge) => {
                    self.queued_hedge = None;
                    if let Some(group) = outcome {
                        self.start_hedge(engine_streams, group).await;
                    }
                    continue;
                }
            };
            let Ok((source, received)) = received else {
                return AttemptEnd::Lifecycle(Event::DeadlinePassed);
            };
            let event = match received {
                EngineEvent::Stream(TokenEvent::Token { index, text }) => {
                    if self.lifecycle.accept_token(self.lifecycle.attempt(), index) {
                        self.leave_hedge_queue();
                        self.select_stream(engine_streams, source, first_token);
                        first_token.get_or_insert_with(|| self.node.now());
                        if self
                            .forward_token(self.location_of(&engine_streams[0]), index, text)
                            .await
                            .is_err()
                        {
                            return AttemptEnd::CallerGone;
                        }
                    }
                    continue;
                }
                EngineEvent::Stream(TokenEvent::Done { tokens })
                    if tokens == self.lifecycle.tokens() =>
                {
                    self.select_stream(engine_streams, source, first_token);
                    return AttemptEnd::Lifecycle(Event::Done);
                }
                EngineEvent::Accepted if source > 0 => continue,
                EngineEvent::Accepted => {
                    match self.send_request_id(self.location_of(&engine_streams[0])).await {
                        Ok(()) => continue,
                        Err(()) => return AttemptEnd::CallerGone,
                    }
                }
                EngineEvent::Stalled if engine_streams.len() == 1 => {
                    self.start_or_queue_hedge(engine_streams).await;
                    continue;
                }
                EngineEvent::Stalled if source == 0 => continue,
                EngineEvent::Refused => Event::RefusedBeforeStart,
                // Also a `Done` whose token count differs from the tokens received: the answer is
                // not complete.
                EngineEvent::Stream(_) | EngineEvent::Broken | EngineEvent::Stalled => {
                    Event::Broken
                }
            };
            if engine_streams.len() == 1 {
                return AttemptEnd::Lifecycle(event);
            }
            self.abandon_stream(&engine_streams.remove(source), event);
        }
    }

    /// Keeps the stream `source` of two, which was the first to send something, and cancels the
    /// other one.
    fn select_stream(
        &mut self,
        engine_streams: &mut Vec<EngineStream>,
        source: usize,
        first_token: &mut Option<Millis>,
    ) {
        if engine_streams.len() == 1 {
            return;
        }
        let other = engine_streams.remove(1 - source);
        if source == 0 {
            cancel(other.group.address.clone(), other.id);
            self.release_slot(&other.group, &AttemptEnd::CallerGone, None, other.started);
            return;
        }
        self.abandon_stream(&other, Event::Broken);
        self.guard.set_group(&engine_streams[0].group.group);
        *first_token = None;
    }

    /// Cancels one of two streams after `event`; the other one goes on.
    fn abandon_stream(&self, engine_stream: &EngineStream, event: Event) {
        cancel(engine_stream.group.address.clone(), engine_stream.id);
        self.release_slot(
            &engine_stream.group,
            &AttemptEnd::Lifecycle(event),
            None,
            engine_stream.started,
        );
    }

    /// Starts a hedge at another engine, or queues for one, while the first one stalls.
    async fn start_or_queue_hedge(&mut self, engine_streams: &mut Vec<EngineStream>) {
        let now = self.node.now();
        if self.queued_hedge.is_some() || !self.lifecycle.may_try_again(now) {
            return;
        }
        let stalled = &engine_streams[0].group.group;
        self.with_dispatcher(|dispatcher, _| dispatcher.on_stalled(stalled, now));
        match self.request_slot(now, rand::random()) {
            Some(Placement::Dispatched(group)) => self.start_hedge(engine_streams, group).await,
            Some(Placement::Queued(outcome)) => self.queued_hedge = Some(outcome),
            Some(Placement::Refused(_) | Placement::NoGroup) | None => {}
        }
    }

    /// Sends the request to a second engine if the rules and the retry budget allow it.
    /// From then on both streams count as the same attempt, and the tokens of only one of
    /// them reach the caller.
    async fn start_hedge(
        &mut self,
        engine_streams: &mut Vec<EngineStream>,
        group: Box<ServingGroup>,
    ) {
        let hedge = match self.open_stream(group).await {
            Ok(engine_stream) => engine_stream,
            Err(group) => {
                let attempt_end = AttemptEnd::Lifecycle(Event::ConnectFailed);
                self.release_slot(&group, &attempt_end, None, self.node.now());
                return;
            }
        };
        let (attempt, now) = (self.lifecycle.attempt(), self.node.now());
        let is_other = hedge.group.group != engine_streams[0].group.group;
        let may_try = is_other && self.lifecycle.may_try_again(now);
        if !may_try || !may_retry(self.node, self.job) {
            self.release_slot(&hedge.group, &AttemptEnd::CallerGone, None, hedge.started);
            return;
        }
        self.record_failed_attempt("Silent");
        if let Next::TryAgain(next) = self.lifecycle.on(attempt, Event::Broken, now, || true) {
            self.lifecycle.on(next, Event::Sending, now, || false);
        }
        engine_streams.push(hedge);
    }

    /// Leaves the queue for a second engine, and releases a slot that was granted meanwhile.
    fn leave_hedge_queue(&mut self) {
        let Some(mut outcome) = self.queued_hedge.take() else { return };
        outcome.close();
        if let Ok(QueueOutcome::Dispatched(group)) = outcome.try_recv() {
            self.release_slot(&group, &AttemptEnd::CallerGone, None, self.node.now());
        }
    }

    async fn forward_token(
        &mut self,
        location: StreamLocation,
        index: u32,
        text: String,
    ) -> Result<(), ()> {
        self.send_request_id(location).await?;
        self.generated.push(text.clone());
        self.send_part(ResponsePart::Token { index, text }).await?;
        self.node.counters.tokens.add(1);
        Ok(())
    }

    fn location_of(&self, engine_stream: &EngineStream) -> StreamLocation {
        StreamLocation {
            stream: engine_stream.id,
            team: self.job.team.clone(),
            model: self.job.model.clone(),
            instance: engine_stream.group.head.clone(),
            is_chat: self.job.format == CompletionFormat::Chat,
        }
    }

    /// Sends the caller the request id by which the stream can be resumed, once for each
    /// engine.
    async fn send_request_id(&mut self, location: StreamLocation) -> Result<(), ()> {
        if self.announced_stream.replace(location.stream) == Some(location.stream) {
            return Ok(());
        }
        self.send_part(ResponsePart::RequestId(location.seal(&self.node.checked.cluster_key))).await
    }

    /// Sends a part to the caller. Fails if the caller is gone, or does not read for as long
    /// as `caller_stall`.
    async fn send_part(&self, part: ResponsePart) -> Result<(), ()> {
        let stall = self.node.settings.times.caller_stall.to_duration();
        match timeout(stall, self.tx.send(part)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(()),
        }
    }

    /// Counts the result and sends the last part to the caller; `None` if the caller is gone.
    async fn finish(&self, end: Option<RequestResult>) {
        self.charge();
        let counters = &self.node.counters;
        let (code, failure) = match end {
            None => {
                counters.cancelled.add(1);
                emit(events::Event::CallerGone, &[("model", self.job.model.as_str())]);
                return;
            }
            Some(RequestResult::Answered) => {
                counters.answered.add(1);
                let _ =
                    self.send_part(ResponsePart::Done { tokens: self.lifecycle.tokens() }).await;
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
        let problem = match self.retry_after_hint {
            Some(after) => failure.retry_after(after),
            None => failure,
        };
        let _ = self.send_part(ResponsePart::Problem(problem)).await;
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
            self.node.with_team_limits(&self.job.team, &bundle, |limits| {
                limits.tokens.charge(tokens, now)
            });
        }
    }
}

/// Takes a retry from the team's retry budget; false if it is used up.
fn may_retry(node: &Node, job: &GenerationJob) -> bool {
    let bundle = node.bundle();
    let taken =
        bundle.and_then(|b| node.with_team_limits(&job.team, &b, |limits| limits.retries.take()));
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
    let cx = DispatchContext { model, version, table: &table, now: node.now() };
    Some(
        node.dispatchers
            .with_entry(model, ModelDispatcher::default, |dispatcher| work(dispatcher, &cx)),
    )
}

/// Cancels a stream at its engine, in the background.
pub fn cancel(address: String, stream: Uuid) {
    tokio::spawn(async move {
        let path = format!("/engine/streams/{stream}");
        // If this request is lost, the stream still ends by itself at the engine.
        let _: Result<serde_json::Value, _> =
            client::call::<(), _>(&address, Method::DELETE, &path, None, CONNECT_TIMEOUT).await;
    });
}

/// Waits for the next event of any stream; returns the stream's index with it.
async fn next_event(engine_streams: &mut [EngineStream]) -> (usize, EngineEvent) {
    match engine_streams {
        [first, second] => tokio::select! {
            received = first.next() => (0, received),
            received = second.next() => (1, received),
        },
        [only, ..] => (0, only.next().await),
        [] => (0, EngineEvent::Broken),
    }
}

/// Waits for a place in the queue to be granted; `None` if it expired. Never resolves if
/// there is no place.
async fn next_hedge_slot(
    outcome: &mut Option<oneshot::Receiver<QueueOutcome>>,
) -> Option<Box<ServingGroup>> {
    let Some(outcome) = outcome else { return std::future::pending().await };
    match outcome.await {
        Ok(QueueOutcome::Dispatched(group)) => Some(group),
        Ok(QueueOutcome::Expired) | Err(_) => None,
    }
}
