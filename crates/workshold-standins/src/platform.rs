//! Runs all stand-ins of one deployment, each on its own port.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tower::service_fn;
use workshold_http::Body;
use workshold_http::body;
use workshold_http::server;
use workshold_http::server::ServerLimits;
use workshold_http::server::ServerState;
use workshold_protocol::Millis;
use workshold_protocol::ids::FabricDomain;
use workshold_protocol::ids::InstanceId;

use crate::engine::Engine;
use crate::engine::EngineRules;
use crate::engine::Fabric;
use crate::engine::Mode;
use crate::faults::Fault;
use crate::faults::Observed;
use crate::layout::Layout;
use crate::list::InstanceList;
use crate::log::LogService;
use crate::service::CountingService;
use crate::weights::WeightStore;

/// An engine and its server, which runs unless the engine has crashed.
#[derive(Debug)]
struct EnginePort {
    engine: Arc<Engine>,
    address: String,
    domain: FabricDomain,
    state_tx: watch::Sender<ServerState>,
    server: Option<JoinHandle<usize>>,
}

/// A running set of stand-ins; dropping it stops them all.
#[derive(Debug)]
pub struct Platform {
    layout: Layout,
    /// The log service.
    pub log: Arc<LogService>,
    /// The instance list.
    pub list: Arc<InstanceList>,
    service: Arc<CountingService>,
    fabric: Arc<Fabric>,
    engines: tokio::sync::Mutex<Vec<EnginePort>>,
    state_tx: watch::Sender<ServerState>,
}

/// Answers a request; if the handler returns `None`, the request stays pending and is never
/// answered.
async fn answer(
    handled: impl Future<Output = Option<Response<Body>>>,
) -> Result<Response<Body>, Infallible> {
    match handled.await {
        Some(res) => Ok(res),
        None => std::future::pending().await,
    }
}

macro_rules! handler {
    ($target:expr) => {{
        let target = Arc::clone(&$target);
        service_fn(move |req: Request<Incoming>| {
            let target = Arc::clone(&target);
            answer(async move { target.handle(req).await })
        })
    }};
}

const BIND_ATTEMPTS_MAX: u32 = 100;
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Binds an address, and retries for up to two seconds while the port's last user is shutting down.
async fn bind(address: &str) -> io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if attempts < BIND_ATTEMPTS_MAX => {
                attempts += 1;
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            bound => return bound,
        }
    }
}

impl Platform {
    /// Starts all stand-ins of `layout`.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound.
    pub async fn start(layout: Layout) -> io::Result<Arc<Self>> {
        let (state_tx, _) = watch::channel(ServerState::Running);
        let platform = Arc::new(Self {
            log: LogService::new(layout.appends_per_s),
            list: InstanceList::new(layout.instances(), Millis(200)),
            service: CountingService::new(),
            fabric: Fabric::new(WeightStore::new(layout.store_mib_per_s)),
            engines: tokio::sync::Mutex::default(),
            state_tx,
            layout,
        });
        platform.serve_services().await?;
        platform.start_engines().await?;
        Ok(platform)
    }

    /// Sizes and ports of the deployment.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Returns the counters of all stand-ins so far.
    pub fn observed(&self) -> Observed {
        let mut observed = self.fabric.observed.lock().clone();
        observed.service_runs = self.service.runs();
        observed.appends = self.log.appends();
        observed
    }

    /// Injects a fault, or ends one.
    pub async fn inject(&self, fault: Fault) {
        match fault {
            Fault::LogDown(is_down) => self.log.set_down(is_down),
            Fault::LogSlow(delay) => self.log.set_delay(delay),
            Fault::LoseReplies(count) => self.log.lose_replies(count),
            Fault::Retain(count) => self.log.retain(count),
            Fault::ListLag(lag) => self.list.set_lag(lag),
            Fault::Leaving(instance, leaving) => self.list.set_leaving(&instance, leaving),
            fault => self.inject_engine(fault).await,
        }
    }

    async fn inject_engine(&self, fault: Fault) {
        let mut engines = self.engines.lock().await;
        for port in engines.iter_mut() {
            port.apply_fault(&fault).await;
        }
    }

    /// Returns the group that each engine reports to be in; `None` if it is in no group.
    pub async fn memberships(&self) -> Vec<(InstanceId, Option<String>)> {
        let engines = self.engines.lock().await;
        let ids = (0..self.layout.engines).map(|i| self.layout.engine_id(i));
        ids.zip(engines.iter())
            .map(|(id, port)| (id, port.engine.group().map(|group| group.to_string())))
            .collect()
    }

    async fn serve_services(self: &Arc<Self>) -> io::Result<()> {
        let log = bind(&self.layout.log()).await?;
        self.spawn(log, handler!(self.log));
        let list = bind(&self.layout.list()).await?;
        let visible = Arc::clone(&self.list);
        self.spawn(
            list,
            service_fn(move |_| {
                let visible = Arc::clone(&visible);
                async move { Ok(body::json(StatusCode::OK, &visible.visible())) }
            }),
        );
        for i in 0..self.layout.services {
            let listener = bind(&self.layout.service(i)).await?;
            self.spawn(listener, handler!(self.service));
        }
        let control = bind(&self.layout.control()).await?;
        // A strong reference would keep the platform from ever being dropped.
        let weak = Arc::downgrade(self);
        self.spawn(
            control,
            service_fn(move |req| {
                let platform = weak.upgrade();
                async move {
                    match platform {
                        Some(platform) => Ok(platform.handle_control(req).await),
                        None => std::future::pending().await,
                    }
                }
            }),
        );
        Ok(())
    }

    fn spawn<S>(&self, listener: TcpListener, service: S)
    where
        S: tower::Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
        S: Clone + Send + 'static,
        S::Future: Send,
    {
        let state_rx = self.state_tx.subscribe();
        tokio::spawn(server::serve(listener, ServerLimits::default(), service, state_rx));
    }

    async fn start_engines(&self) -> io::Result<()> {
        let mut engines = self.engines.lock().await;
        for i in 0..self.layout.engines {
            let rules = EngineRules {
                fenced: self.layout.is_fenced(i),
                step: self.layout.step,
                slots: self.layout.slots,
                load_mib_per_s: self.layout.load_mib_per_s,
            };
            let engine = self.fabric.add(self.layout.engine_id(i), rules);
            let (state_tx, _) = watch::channel(ServerState::Running);
            let mut port = EnginePort {
                engine,
                address: self.layout.engine(i),
                domain: self.layout.engine_domain(i),
                state_tx,
                server: None,
            };
            port.listen().await?;
            engines.push(port);
        }
        Ok(())
    }

    async fn handle_control(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/observed") => body::json(StatusCode::OK, &self.observed()),
            (&Method::GET, "/seats") => body::json(StatusCode::OK, &self.memberships().await),
            (&Method::POST, "/faults") => self.handle_fault(req).await,
            _ => body::json(StatusCode::NOT_FOUND, &"no such path"),
        }
    }

    async fn handle_fault(&self, req: Request<Incoming>) -> Response<Body> {
        let bytes = body::read(req.into_body(), 64 * 1024, Duration::from_secs(5)).await;
        let fault = bytes.ok().and_then(|bytes| serde_json::from_slice::<Fault>(&bytes).ok());
        let Some(fault) = fault else {
            return body::json(StatusCode::BAD_REQUEST, &"not a fault");
        };
        self.inject(fault).await;
        body::json(StatusCode::OK, &"done")
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.state_tx.send_replace(ServerState::Aborting);
        for port in self.engines.get_mut() {
            port.state_tx.send_replace(ServerState::Aborting);
        }
    }
}

impl EnginePort {
    async fn listen(&mut self) -> io::Result<()> {
        let listener = bind(&self.address).await?;
        self.state_tx.send_replace(ServerState::Running);
        let engine = Arc::clone(&self.engine);
        let service =
            service_fn(move |req: Request<Incoming>| answer(Arc::clone(&engine).handle(req)));
        let state_rx = self.state_tx.subscribe();
        let served = server::serve(listener, ServerLimits::default(), service, state_rx);
        self.server = Some(tokio::spawn(served));
        Ok(())
    }

    async fn apply_fault(&mut self, fault: &Fault) {
        let id = self.engine.id();
        match fault {
            Fault::Freeze(target, frozen) if target == id => {
                self.engine.set_mode(if *frozen { Mode::Frozen } else { Mode::Up });
            }
            Fault::Kill(target) if target == id => self.kill().await,
            Fault::Restart(target) if target == id => self.revive(true).await,
            Fault::Return(target) if target == id => self.revive(false).await,
            Fault::Slow(target, factor) if target == id => self.engine.set_slow(*factor),
            Fault::Dark(domain) if domain == &self.domain => self.kill().await,
            Fault::Light(domain) if domain == &self.domain => self.revive(true).await,
            _ => {}
        }
    }

    async fn kill(&mut self) {
        self.engine.set_mode(Mode::Dead);
        self.state_tx.send_replace(ServerState::Aborting);
        if let Some(server) = self.server.take() {
            let _ = server.await;
        }
    }

    async fn revive(&mut self, as_new_incarnation: bool) {
        if as_new_incarnation {
            self.engine.restart();
        }
        if self.server.is_none() && self.listen().await.is_err() {
            return;
        }
        self.engine.set_mode(Mode::Up);
    }
}
