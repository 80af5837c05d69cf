//! One generation: placing it, attempting it, relaying its tokens.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;
use uuid::Uuid;
use workshold_core::admission::Arrival;
use workshold_core::admission::Priority;
use workshold_core::course::Course;
use workshold_core::course::End;
use workshold_core::course::Event;
use workshold_core::course::Next;
use workshold_core::course::Repeatability;
use workshold_core::prefix::PrefixChain;
use workshold_core::retry::RetryBudget;
use workshold_core::retry::RetryRules;
use workshold_http::client;
use workshold_protocol::Millis;
use workshold_protocol::engine::GenerateRequest;
use workshold_protocol::engine::NOT_STARTED_HEADER;
use workshold_protocol::engine::TokenEvent;
use workshold_protocol::ids::AdapterName;
use workshold_protocol::ids::ModelName;
use workshold_protocol::ids::TeamName;
use workshold_protocol::problem::Code;
use workshold_protocol::problem::Problem;

use crate::callers::completions::Style;
use crate::desk::DeskView;
use crate::desk::ModelDesk;
use crate::desk::Placed;
use crate::desk::Turn;
use crate::events;
use crate::events::emit;
use crate::node::Node;
use crate::requests::InFlight;
use crate::requests::InFlightGuard;
use crate::requests::StreamPlace;
use crate::serving::ServingGroup;

/// What is to be generated, and for whom.
#[derive(Debug, Clone)]
pub struct Job {
    /// Whose it is.
    pub team: TeamName,
    /// The team's share against the others.
    pub share: f64,
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is wanted.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// The prompt's beginnings.
    pub chain: Arc<PrefixChain>,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Its priority.
    pub priority: Priority,
    /// When the caller gives up, by this node's clock.
    pub deadline: Millis,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// The shape that the caller reads.
    pub style: Style,
}

/// What the caller's side of a generation is told.
#[derive(Debug, PartialEq)]
pub enum Piece {
    /// An attempt began; by this id it can be resumed.
    Placed(String),
    /// One token.
    Token {
        /// Its place.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// How many tokens it has.
        tokens: u32,
    },
    /// It ended without a whole answer.
    Problem(Problem),
}

const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Come back after this when no group serves; spread by the draw.
const NO_GROUP_RETRY_MS: f64 = 2_000.0;

/// Why an attempt ended.
#[derive(Debug)]
enum Ended {
    /// As the course's rules know it.
    By(Event),
    /// The caller went away or stopped reading.
    CallerGone,
}

/// Runs a job to its end, which is counted and told to the caller.
pub async fn run(node: Arc<Node>, job: Job, tx: mpsc::Sender<Piece>) {
    let guard = node.in_flight.enter(InFlight {
        team: job.team.clone(),
        target: job.model.to_string(),
        group: None,
        since: node.now(),
    });
    let course = Course::new(job.repeatability, job.deadline, RetryRules::default().max_attempts);
    let mut run =
        Run { node: &node, job: &job, tx: &tx, guard, course, generated: Vec::new(), hint: None };
    run.on_request();
    let end = run.drive().await;
    run.finish(end).await;
}

struct Run<'a> {
    node: &'a Arc<Node>,
    job: &'a Job,
    tx: &'a mpsc::Sender<Piece>,
    guard: InFlightGuard<'a>,
    course: Course,
    generated: Vec<String>,
    hint: Option<Millis>,
}

impl Run<'_> {
    /// Makes attempts until the request is over; none if its caller went away.
    async fn drive(&mut self) -> Option<End> {
        loop {
            let attempt = self.course.attempt();
            let ended = match self.place().await {
                Ok(group) => self.attempt(attempt, &group).await,
                Err(event) => Ended::By(event),
            };
            let event = match ended {
                Ended::By(event) => event,
                Ended::CallerGone => return None,
            };
            let now = self.node.now();
            let (node, job) = (self.node, self.job);
            match self.course.on(attempt, event, now, || may_retry(node, job)) {
                Next::Finish(end) => return Some(end),
                Next::TryAgain(next) => self.before_retry(next, event).await,
                Next::GoOn => {}
            }
        }
    }

    async fn before_retry(&self, next: u32, event: Event) {
        self.node.counters.retries.add(1);
        let why = format!("{event:?}");
        emit(events::Event::AttemptFailed, &[("model", self.job.model.as_str()), ("why", &why)]);
        let budget = RetryBudget::new(RetryRules::default());
        tokio::time::sleep(budget.backoff(next, rand::random()).to_duration()).await;
    }

    fn on_request(&self) {
        if let Some(bundle) = self.node.bundle() {
            self.node.with_team(&self.job.team, &bundle, |desk| desk.retries.on_request());
        }
    }

    /// Finds a group, or waits for one.
    async fn place(&mut self) -> Result<Box<ServingGroup>, Event> {
        let now = self.node.now();
        if now >= self.course.deadline() {
            return Err(Event::DeadlinePassed);
        }
        let draw = rand::random::<f64>();
        let placed = self.with_desk(|desk, view| {
            let reserve = desk.service_time().0.min(self.course.deadline().since(now).0 / 2);
            let arrival = Arrival {
                team: &self.job.team,
                share: self.job.share,
                priority: self.job.priority,
                start_by: self.course.deadline() - Millis(reserve),
                draw,
            };
            desk.place(view, &self.job.chain, &arrival)
        });
        match placed {
            Some(Placed::Go(group)) => Ok(group),
            Some(Placed::Waits(turn)) => self.wait(turn).await,
            Some(Placed::Refused(refused)) => {
                self.hint = Some(refused.retry_after);
                Err(Event::NotPlaced(Code::Overloaded))
            }
            Some(Placed::NoGroup) | None => {
                self.hint = Some(Millis((NO_GROUP_RETRY_MS * (1.0 + draw)) as u64));
                Err(Event::NotPlaced(Code::NoGroup))
            }
        }
    }

    async fn wait(
        &self,
        turn: tokio::sync::oneshot::Receiver<Turn>,
    ) -> Result<Box<ServingGroup>, Event> {
        tokio::select! {
            turn = turn => match turn {
                Ok(Turn::Go(group)) => Ok(group),
                Ok(Turn::Expired) => Err(Event::DeadlinePassed),
                Err(_) => Err(Event::NotPlaced(Code::NoGroup)),
            },
            // Nobody is left to answer: the place in the queue is given up.
            () = self.tx.closed() => Err(Event::DeadlinePassed),
        }
    }

    fn with_desk<R>(&self, work: impl FnOnce(&mut ModelDesk, &DeskView<'_>) -> R) -> Option<R> {
        with_desk(self.node, &self.job.model, work)
    }

    /// Makes one attempt at `group`, and gives its place there back.
    async fn attempt(&mut self, attempt: u32, group: &ServingGroup) -> Ended {
        self.guard.set_group(&group.group);
        let started = self.node.now();
        let stream = Uuid::new_v4();
        let mut first_token = None;
        let left = self.course.deadline().since(started).to_duration();
        let ended = match timeout(left, self.talk(attempt, group, stream, &mut first_token)).await {
            Ok(ended) => ended,
            Err(_) => Ended::By(Event::DeadlinePassed),
        };
        let is_done = matches!(ended, Ended::By(Event::Done));
        if !is_done && self.course.tokens() > 0 || matches!(ended, Ended::CallerGone) {
            cancel(group.address.clone(), stream);
        }
        self.give_back(group, &ended, first_token.map(|at: Millis| at.since(started)), started);
        ended
    }

    fn give_back(
        &self,
        group: &ServingGroup,
        ended: &Ended,
        first_token: Option<Millis>,
        started: Millis,
    ) {
        let now = self.node.now();
        self.with_desk(|desk, view| {
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

    async fn talk(
        &mut self,
        attempt: u32,
        group: &ServingGroup,
        stream: Uuid,
        first_token: &mut Option<Millis>,
    ) -> Ended {
        let Ok(connected) = client::connect(&group.address, CONNECT_TIME).await else {
            return Ended::By(Event::ConnectFailed);
        };
        if self.node.now() >= group.valid_until {
            // The reports that it was chosen by have run out meanwhile.
            return Ended::By(Event::ConnectFailed);
        }
        let now = self.node.now();
        if let Next::Finish(_) = self.course.on(attempt, Event::Sending, now, || false) {
            return Ended::By(Event::DeadlinePassed);
        }
        let generate = self.generate_request(group, stream);
        let req =
            client::request(&group.address, Method::POST, "/engine/generate", Some(&generate));
        let silence = self.node.settings.times.upstream_silence.to_duration();
        let Ok((res, _driver)) = connected.send(req, silence).await else {
            return Ended::By(Event::Broken);
        };
        if res.status() != StatusCode::OK {
            let refused = res.headers().contains_key(NOT_STARTED_HEADER);
            return Ended::By(if refused { Event::RefusedBeforeStart } else { Event::Broken });
        }
        let place = StreamPlace {
            stream,
            team: self.job.team.clone(),
            model: self.job.model.clone(),
            instance: group.head.clone(),
            is_chat: self.job.style == Style::Chat,
        };
        let id = place.seal(&self.node.checked.cluster_key);
        if self.tell(Piece::Placed(id)).await.is_err() {
            return Ended::CallerGone;
        }
        self.relay(attempt, Lines::new(res.into_body(), silence), first_token).await
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
            priority: self.job.priority.for_engine(),
        }
    }

    async fn relay(
        &mut self,
        attempt: u32,
        mut lines: Lines,
        first_token: &mut Option<Millis>,
    ) -> Ended {
        loop {
            match lines.next().await {
                Some(TokenEvent::Token { index, text }) => {
                    first_token.get_or_insert_with(|| self.node.now());
                    if !self.course.take_token(attempt, index) {
                        continue;
                    }
                    self.generated.push(text.clone());
                    if self.tell(Piece::Token { index, text }).await.is_err() {
                        return Ended::CallerGone;
                    }
                    self.node.counters.tokens.add(1);
                }
                Some(TokenEvent::Done { tokens }) if tokens == self.course.tokens() => {
                    return Ended::By(Event::Done);
                }
                // Fewer tokens than it says it had: not the whole answer.
                Some(TokenEvent::Done { .. } | TokenEvent::Failed { .. }) | None => {
                    return Ended::By(Event::Broken);
                }
            }
        }
    }

    /// Hands a piece to the caller, who may take only so long to read on.
    async fn tell(&self, piece: Piece) -> Result<(), ()> {
        let stall = self.node.settings.times.caller_stall.to_duration();
        match timeout(stall, self.tx.send(piece)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(()),
        }
    }

    async fn finish(&self, end: Option<End>) {
        self.charge();
        let counters = &self.node.counters;
        let (code, ran) = match end {
            None => {
                counters.cancelled.add(1);
                emit(events::Event::CallerGone, &[("model", self.job.model.as_str())]);
                return;
            }
            Some(End::Answered) => {
                counters.answered.add(1);
                let _ = self.tell(Piece::Done { tokens: self.course.tokens() }).await;
                return;
            }
            Some(End::NotRun(code)) => {
                counters.not_run.add(1);
                (code, Problem::not_run(code, self.detail()))
            }
            Some(End::Unknown(code)) => {
                counters.unknown.add(1);
                (code, Problem::unknown(code, self.detail()))
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
        format!("after {} attempt(s) and {} token(s)", self.course.attempt(), self.course.tokens())
    }

    fn charge(&self) {
        let (now, tokens) = (self.node.now(), f64::from(self.course.tokens()));
        if let Some(bundle) = self.node.bundle() {
            self.node.with_team(&self.job.team, &bundle, |desk| desk.tokens.charge(tokens, now));
        }
    }
}

fn may_retry(node: &Node, job: &Job) -> bool {
    let bundle = node.bundle();
    let taken = bundle.and_then(|b| node.with_team(&job.team, &b, |desk| desk.retries.take()));
    // Without teams there is no budget; the number of attempts is still bounded.
    taken.unwrap_or(true)
}

/// Runs `work` at a model's desk; none without a bundle that has the model.
pub fn with_desk<R>(
    node: &Node,
    model: &ModelName,
    work: impl FnOnce(&mut ModelDesk, &DeskView<'_>) -> R,
) -> Option<R> {
    let bundle = node.bundle()?;
    let version = &bundle.models.get(model)?.version;
    let table = Arc::clone(&node.serving.read());
    let view = DeskView { model, version, table: &table, now: node.now() };
    Some(node.desks.with(model, ModelDesk::default, |desk| work(desk, &view)))
}

/// Tells an engine that nobody wants a stream any more.
pub fn cancel(address: String, stream: Uuid) {
    tokio::spawn(async move {
        let path = format!("/engine/streams/{stream}");
        // If this is lost, the engine ends the stream by itself in the end.
        let _: Result<serde_json::Value, _> =
            client::call::<(), _>(&address, Method::DELETE, &path, None, CONNECT_TIME).await;
    });
}

/// The events of an engine's stream, a line each.
#[derive(Debug)]
pub struct Lines {
    body: Incoming,
    buf: BytesMut,
    silence: Duration,
}

/// A line longer than this is no event, in bytes.
const MAX_LINE_LEN: usize = 1024 * 1024;

impl Lines {
    /// Reads `body`, which may say nothing for `silence` at most.
    pub fn new(body: Incoming, silence: Duration) -> Self {
        Self { body, buf: BytesMut::new(), silence }
    }

    /// The next event; none once the stream broke off, fell silent or made no sense.
    pub async fn next(&mut self) -> Option<TokenEvent> {
        loop {
            if let Some(line) = self.take_line() {
                return serde_json::from_slice(&line).ok();
            }
            if self.buf.len() > MAX_LINE_LEN {
                return None;
            }
            let frame = within(self.silence, self.body.frame()).await??.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        let line = self.buf.split_to(end + 1).freeze();
        Some(line.slice(..end))
    }
}

async fn within<F: Future>(time: Duration, work: F) -> Option<F::Output> {
    timeout(time, work).await.ok()
}
