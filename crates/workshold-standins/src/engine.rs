//! A stand-in for a model engine, which is one member of a replica group.

mod streams;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use parking_lot::Mutex;
use workshold_http::Body;
use workshold_http::body;
use workshold_protocol::Millis;
use workshold_protocol::engine::GenerateRequest;
use workshold_protocol::engine::NOT_STARTED_HEADER;
use workshold_protocol::engine::TokenEvent;
use workshold_protocol::ids::FencingToken;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::report::GroupMembership;
use workshold_protocol::report::JoinOrder;
use workshold_protocol::report::ModelWeights;
use workshold_protocol::report::Order;
use workshold_protocol::report::OrderAction;
use workshold_protocol::report::Readiness;
use workshold_protocol::report::Report;

use crate::engine::streams::StreamBuffer;
use crate::faults::Observed;
use crate::log::query_number;
use crate::weights::WeightStore;

/// State of an engine's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Running.
    Up,
    /// Suspended: connections are accepted, but nothing is answered.
    Frozen,
    /// Not running: nothing listens on its port.
    Dead,
}

/// Fixed properties of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRules {
    /// Whether it refuses orders with an old fencing token.
    pub fenced: bool,
    /// Duration of one step, which generates one token.
    pub step: Millis,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum rate at which it reads from the weight store, in MiB per second.
    pub load_mib_per_s: u32,
}

/// State shared by all engines of a deployment.
#[derive(Debug)]
pub struct Fabric {
    engines: Mutex<BTreeMap<InstanceId, Arc<Engine>>>,
    store: WeightStore,
    /// Counters of what the engines observed.
    pub observed: Mutex<Observed>,
}

impl Fabric {
    /// Creates a fabric without engines.
    pub fn new(store: WeightStore) -> Arc<Self> {
        Arc::new(Self { engines: Mutex::default(), store, observed: Mutex::default() })
    }

    /// Adds an engine that is running and in no group.
    pub fn add(self: &Arc<Self>, id: InstanceId, rules: EngineRules) -> Arc<Engine> {
        let engine = Engine::new(id.clone(), rules, Arc::downgrade(self));
        self.engines.lock().insert(id, Arc::clone(&engine));
        engine
    }

    fn engine(&self, id: &InstanceId) -> Option<Arc<Engine>> {
        self.engines.lock().get(id).cloned()
    }
}

#[derive(Debug)]
struct Assignment {
    order: JoinOrder,
    fence: FencingToken,
    ready_at: Instant,
    is_draining: bool,
}

#[derive(Debug)]
struct Inner {
    incarnation: Incarnation,
    mode: Mode,
    mode_since: Instant,
    assignment: Option<Assignment>,
    unassigned_since: Instant,
    highest_fence: FencingToken,
    loaded: Option<ModelWeights>,
    /// When the weights in `loaded` are completely loaded.
    weights_loaded_at: Instant,
    slow_factor: u32,
    running: u32,
    queued: u32,
    streams: BTreeMap<String, Arc<StreamBuffer>>,
}

/// A stand-in engine.
#[derive(Debug)]
pub struct Engine {
    id: InstanceId,
    rules: EngineRules,
    fabric: Weak<Fabric>,
    inner: Mutex<Inner>,
}

const BODY_LEN_MAX: usize = 16 * 1024 * 1024;
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a finished stream is kept so that readers can resume it.
const STREAM_RETENTION: Duration = Duration::from_secs(20);
/// Bytes of a prompt that one step prefills.
const PREFILL_BYTES_PER_STEP: usize = 4096;

impl Engine {
    fn new(id: InstanceId, rules: EngineRules, fabric: Weak<Fabric>) -> Arc<Self> {
        let now = Instant::now();
        let inner = Inner {
            incarnation: Incarnation(1),
            mode: Mode::Up,
            mode_since: now,
            assignment: None,
            unassigned_since: now,
            highest_fence: FencingToken(0),
            loaded: None,
            weights_loaded_at: now,
            slow_factor: 1,
            running: 0,
            queued: 0,
            streams: BTreeMap::new(),
        };
        Arc::new(Self { id, rules, fabric, inner: Mutex::new(inner) })
    }

    /// Id of the engine.
    pub fn id(&self) -> &InstanceId {
        &self.id
    }

    /// Current state of its process.
    pub fn mode(&self) -> Mode {
        self.inner.lock().mode
    }

    /// Changes the state of its process. Its group and weights are kept; its streams fail if it
    /// becomes [`Mode::Dead`].
    pub fn set_mode(&self, mode: Mode) {
        let mut inner = self.inner.lock();
        if inner.mode != mode {
            inner.mode_since = Instant::now();
        }
        inner.mode = mode;
        if mode == Mode::Dead {
            inner.streams.values().for_each(|stream| stream.fail("the engine died"));
            inner.streams.clear();
        }
    }

    /// Restarts it as a new incarnation without group, weights or requests.
    pub fn restart(&self) {
        self.set_mode(Mode::Dead);
        let mut inner = self.inner.lock();
        inner.incarnation.0 += 1;
        inner.clear_assignment();
        inner.loaded = None;
        inner.running = 0;
        inner.queued = 0;
        drop(inner);
        self.set_mode(Mode::Up);
    }

    /// Multiplies the duration of each step by `factor`.
    pub fn set_slow(&self, factor: u32) {
        self.inner.lock().slow_factor = factor.max(1);
    }

    /// The group that it reports to be in; `None` if it is in no group.
    pub fn group(&self) -> Option<GroupId> {
        self.inner.lock().assignment.as_ref().map(|assignment| assignment.order.group.clone())
    }

    /// Handles a request; `None` leaves it unanswered.
    pub async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Option<Response<Body>> {
        self.wait_until_unfrozen().await;
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/engine/report") => Some(body::json(StatusCode::OK, &self.report())),
            (Method::POST, "/engine/orders") => self.on_order(req).await,
            (Method::POST, "/engine/generate") => self.on_generate(req).await,
            (method, path) => match path.strip_prefix("/engine/streams/") {
                Some(id) if method == Method::GET => Some(self.resume(id, &query)),
                Some(id) if method == Method::DELETE => Some(self.cancel(id)),
                _ => Some(body::json(StatusCode::NOT_FOUND, &"no such path")),
            },
        }
    }

    async fn wait_until_unfrozen(&self) {
        while self.mode() == Mode::Frozen {
            tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
        }
    }

    fn report(&self) -> Report {
        let inner = self.inner.lock();
        let membership = inner.assignment.as_ref().map(|assignment| GroupMembership {
            group: assignment.order.group.clone(),
            fence: assignment.fence,
            readiness: assignment.readiness(),
        });
        Report {
            incarnation: inner.incarnation,
            membership,
            loaded: inner.loaded.clone().filter(|_| inner.weights_loaded_at <= Instant::now()),
            lag: Millis::ZERO,
            running: inner.running,
            queued: inner.queued,
            slots: self.rules.slots,
        }
    }

    async fn on_order(&self, req: Request<Incoming>) -> Option<Response<Body>> {
        let bytes = body::read(req.into_body(), BODY_LEN_MAX, BODY_READ_TIMEOUT).await.ok()?;
        let Ok(order) = serde_json::from_slice::<Order>(&bytes) else {
            return Some(body::json(StatusCode::BAD_REQUEST, &"not an order"));
        };
        let mut inner = self.inner.lock();
        if self.rules.fenced && order.fence < inner.highest_fence {
            drop(inner);
            self.observe(|observed| observed.fenced_off += 1);
            return Some(body::json(StatusCode::CONFLICT, &"an old fencing number"));
        }
        inner.highest_fence = inner.highest_fence.max(order.fence);
        self.apply_order(&mut inner, order);
        Some(body::json(StatusCode::OK, &"done"))
    }

    fn apply_order(&self, inner: &mut Inner, order: Order) {
        match order.action {
            OrderAction::Join(join) => self.join(inner, join, order.fence),
            OrderAction::Load { weights, weights_mib } => {
                if inner.assignment.is_none() {
                    self.load(inner, weights, weights_mib);
                }
            }
            OrderAction::Drain { group } => {
                if let Some(assignment) =
                    inner.assignment.as_mut().filter(|assignment| assignment.order.group == group)
                {
                    assignment.is_draining = true;
                }
            }
            OrderAction::Leave { group } => {
                if inner
                    .assignment
                    .as_ref()
                    .is_some_and(|assignment| assignment.order.group == group)
                {
                    let cut = u64::from(inner.running);
                    inner.streams.values().for_each(|stream| stream.fail("the group has ended"));
                    inner.clear_assignment();
                    self.observe(|observed| observed.cut_by_leave += cut);
                }
            }
        }
    }

    /// Starts loading weights, unless they are loaded or being loaded.
    fn load(&self, inner: &mut Inner, wanted: ModelWeights, weights_mib: u32) {
        if inner.loaded.as_ref() == Some(&wanted) {
            return;
        }
        if let Some(fabric) = self.fabric.upgrade() {
            inner.weights_loaded_at = fabric.store.load(weights_mib, self.rules.load_mib_per_s);
        }
        inner.loaded = Some(wanted);
    }

    fn join(&self, inner: &mut Inner, join: JoinOrder, fence: FencingToken) {
        let is_same = inner.assignment.as_ref().is_some_and(|assignment| {
            assignment.order.group == join.group && assignment.fence == fence
        });
        if is_same {
            return;
        }
        let wanted = ModelWeights { model: join.model.clone(), version: join.version.clone() };
        self.load(inner, wanted, join.weights_mib);
        let ready_at = inner.weights_loaded_at;
        inner.clear_assignment();
        inner.assignment = Some(Assignment { order: join, fence, ready_at, is_draining: false });
    }

    async fn on_generate(self: &Arc<Self>, req: Request<Incoming>) -> Option<Response<Body>> {
        let bytes = body::read(req.into_body(), BODY_LEN_MAX, BODY_READ_TIMEOUT).await.ok()?;
        let Ok(generate) = serde_json::from_slice::<GenerateRequest>(&bytes) else {
            return Some(body::json(StatusCode::BAD_REQUEST, &"not a request"));
        };
        if let Err(why) = self.check_assignment(&generate) {
            return Some(not_started(why));
        }
        self.observe(|observed| observed.streams_started += 1);
        let stream = StreamBuffer::new();
        self.inner.lock().streams.insert(generate.stream.clone(), Arc::clone(&stream));
        tokio::spawn(Arc::clone(self).generate(generate, Arc::clone(&stream)));
        Some(stream_response(stream, 0))
    }

    /// Checks that this engine may start a request: that it is in the requested group, not
    /// draining, and no member is missing. Counts requests that should not have been sent here.
    fn check_assignment(&self, generate: &GenerateRequest) -> Result<(), &'static str> {
        let order = {
            let inner = self.inner.lock();
            let Some(assignment) = &inner.assignment else {
                let missing = Millis(inner.unassigned_since.elapsed().as_millis() as u64);
                self.observe_incomplete(missing);
                return Err("it is in no group");
            };
            if assignment.order.group != generate.group || assignment.fence != generate.fence {
                let missing = Millis(inner.unassigned_since.elapsed().as_millis() as u64);
                self.observe_incomplete(missing);
                return Err("it is in another group");
            }
            if assignment.readiness() == Readiness::Draining {
                self.observe(|observed| observed.sent_to_draining += 1);
                return Err("it is draining");
            }
            assignment.order.clone()
        };
        match self.longest_missing_member(&order, generate.fence) {
            None => Ok(()),
            Some(missing_for) => {
                self.observe_incomplete(missing_for);
                Err("a member is missing")
            }
        }
    }

    /// Longest time that a member of the group has been missing; `None` if none is missing.
    fn longest_missing_member(&self, order: &JoinOrder, fence: FencingToken) -> Option<Millis> {
        let fabric = self.fabric.upgrade()?;
        let missing = order.members.iter().filter_map(|member| {
            let engine = fabric.engine(member)?;
            let inner = engine.inner.lock();
            let is_in = inner.assignment.as_ref().is_some_and(|assignment| {
                assignment.order.group == order.group && assignment.fence == fence
            });
            let since = if inner.mode != Mode::Up {
                inner.mode_since
            } else if !is_in {
                inner.unassigned_since
            } else {
                return None;
            };
            Some(Millis(since.elapsed().as_millis() as u64))
        });
        missing.max()
    }

    async fn generate(self: Arc<Self>, generate: GenerateRequest, stream: Arc<StreamBuffer>) {
        let order =
            self.inner.lock().assignment.as_ref().map(|assignment| assignment.order.clone());
        self.inner.lock().queued += 1;
        while !self.acquire_slot() && !stream.is_finished() {
            tokio::time::sleep(self.step()).await;
        }
        self.run_steps(&generate, order.as_ref(), &stream).await;
        self.release_slot();
        tokio::time::sleep(STREAM_RETENTION).await;
        self.inner.lock().streams.remove(&generate.stream);
    }

    async fn run_steps(
        &self,
        generate: &GenerateRequest,
        order: Option<&JoinOrder>,
        stream: &StreamBuffer,
    ) {
        let prefill = generate.prompt.len() / PREFILL_BYTES_PER_STEP + 1;
        for _ in 0..prefill {
            tokio::time::sleep(self.step()).await;
        }
        let first = generate.generated.len() as u32;
        for index in first..generate.max_tokens {
            self.wait_until_unfrozen().await;
            let has_all_members = order
                .is_some_and(|order| self.longest_missing_member(order, generate.fence).is_none());
            if !has_all_members {
                stream.fail("a member of the group is missing");
            }
            if stream.is_finished() {
                return;
            }
            let text = crate::answer::token(&generate.prompt, index);
            stream.push(TokenEvent::Token { index, text });
            tokio::time::sleep(self.step()).await;
        }
        stream.push(TokenEvent::Done { tokens: generate.max_tokens });
    }

    fn step(&self) -> Duration {
        let factor = self.inner.lock().slow_factor;
        self.rules.step.to_duration() * factor
    }

    fn acquire_slot(&self) -> bool {
        let mut inner = self.inner.lock();
        let has_room = inner.running < self.rules.slots;
        if has_room {
            inner.running += 1;
            inner.queued = inner.queued.saturating_sub(1);
        }
        has_room
    }

    fn release_slot(&self) {
        let mut inner = self.inner.lock();
        inner.running = inner.running.saturating_sub(1);
    }

    fn resume(&self, id: &str, query: &str) -> Response<Body> {
        let from = query_number(query, "from").unwrap_or(0) as u32;
        match self.inner.lock().streams.get(id) {
            Some(stream) => stream_response(Arc::clone(stream), from),
            None => body::json(StatusCode::NOT_FOUND, &"no such stream"),
        }
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        if let Some(stream) = self.inner.lock().streams.remove(id) {
            stream.fail("cancelled");
        }
        body::json(StatusCode::OK, &"done")
    }

    fn observe(&self, note: impl FnOnce(&mut Observed)) {
        if let Some(fabric) = self.fabric.upgrade() {
            note(&mut fabric.observed.lock());
        }
    }

    fn observe_incomplete(&self, missing_for: Millis) {
        self.observe(|observed| {
            observed.sent_to_incomplete += 1;
            observed.longest_missing = observed.longest_missing.max(missing_for);
        });
    }
}

const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Assignment {
    fn readiness(&self) -> Readiness {
        if self.is_draining {
            Readiness::Draining
        } else if Instant::now() < self.ready_at {
            Readiness::Loading
        } else {
            Readiness::Ready
        }
    }
}

impl Inner {
    fn clear_assignment(&mut self) {
        if self.assignment.take().is_some() {
            self.unassigned_since = Instant::now();
        }
    }
}

fn not_started(why: &str) -> Response<Body> {
    let mut res = body::json(StatusCode::SERVICE_UNAVAILABLE, &why);
    res.headers_mut().insert(NOT_STARTED_HEADER, HeaderValue::from_static("yes"));
    res
}

fn stream_response(stream: Arc<StreamBuffer>, from: u32) -> Response<Body> {
    let lines = stream.events(from).map(|event| {
        let mut line = serde_json::to_vec(&event).expect("events are text");
        line.push(b'\n');
        Bytes::from(line)
    });
    Response::new(body::stream(lines))
}
