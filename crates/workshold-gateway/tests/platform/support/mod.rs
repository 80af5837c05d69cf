//! A small stand-in for the users' platform, on loopback: a store with keyed topics
//! and a lease, engines that take orders, and plain services that misbehave.

pub mod caller;
pub mod service;
pub mod store;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinHandle;
use workshold_gateway::daemon;
use workshold_gateway::settings;

use store::FakeStore;

/// Ports below those that the machine gives out by itself, so that no connection of
/// a test beside this one takes one of them.
const FIRST_PORT: u16 = 15_000;
const PORTS: u16 = 15_000;
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// An address on loopback that nobody listens on, and that no other test is given.
pub fn free_address() -> SocketAddr {
    let spread = (std::process::id() % 100) as u16 * 149;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + spread.wrapping_add(next) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A node that runs in this process.
pub struct TestNode {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TestNode {
    /// Starts a node on the store.
    pub fn start(name: &str, store: &FakeStore, bounds: &str) -> Self {
        let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
        let text = format!(
            "[node]\nname = \"{name}\"\ndata_centre = \"a\"\nis_first_start = true\n\
             [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeers_port = {}\n\
             [store]\naddress = \"{}\"\nparts = 4\n[limits]\ndescriptors = 1000\n[bounds]\n{bounds}\n",
            addresses[0],
            addresses[1],
            addresses[2],
            addresses[3].port(),
            store.address,
        );
        let settings = settings::parse(&text).unwrap();
        let task = tokio::spawn(async move {
            let ended = daemon::run(settings, PathBuf::from("/nonexistent")).await;
            panic!("the node ended: {ended:?}");
        });
        Self {
            callers: addresses[0],
            readiness: addresses[1],
            directory: addresses[2],
            control: addresses[3],
            task,
        }
    }

    /// Waits until the node says that it serves.
    pub async fn ready(&self) {
        wait_for("a ready node", || async {
            caller::get(self.readiness, "/v1/readiness")
                .await
                .is_some_and(|(status, _)| status == 200)
        })
        .await;
    }

    /// Waits until a group serves as well.
    pub async fn serving(&self) {
        self.ready().await;
        wait_for("a group that serves", || async {
            let state = caller::get(self.control, "/state").await;
            state.is_some_and(|(_, body)| String::from_utf8_lossy(&body).contains("Open"))
        })
        .await;
    }
}

/// Waits until `holds`, for fifteen seconds at most.
pub async fn wait_for<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < Duration::from_secs(15), "{what} did not come");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A deployment: a store with a configuration, engines in one domain, and a gate.
pub struct Deployment {
    pub store: Arc<FakeStore>,
    pub engines: Vec<service::FakeInstance>,
    pub gates: Vec<service::FakeInstance>,
}

impl Deployment {
    /// With so many engines and gates.
    pub async fn start(engines: usize, gates: usize) -> Self {
        let store = Arc::new(FakeStore::start().await);
        store.put("keyed.op", "config", &config(1, "k1"));
        let mut started = (Vec::new(), Vec::new());
        for i in 0..engines {
            let name = format!("i-engine{i}");
            started.0.push(service::FakeInstance::start(&name, "llm", &store).await);
        }
        for i in 0..gates {
            let name = format!("i-gate{i}");
            started.1.push(service::FakeInstance::start(&name, "gate", &store).await);
        }
        Self { store, engines: started.0, gates: started.1 }
    }

    /// The engine that serves a request with this id.
    pub fn serving(&self, id: &str) -> Option<&service::FakeInstance> {
        self.engines.iter().find(|engine| engine.ran().iter().any(|ran| ran == id))
    }
}

/// A configuration with a stream, a request that runs once and one that may repeat.
pub fn config(version: u64, key: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
        {{"name":"chat","host":"lot.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":8000,
          "latency_goal_ms":400,"priority":1,"service":"llm","attempts":2,"resumable":true,"gap_goal_ms":300}},
        {{"name":"print","host":"lot.example","path_prefix":"/print/","kind":"unsafe","timeout_ms":1000,
          "latency_goal_ms":150,"service":"gate","attempts":1}},
        {{"name":"plate","host":"lot.example","path_prefix":"/plate/","kind":"safe","timeout_ms":1000,
          "latency_goal_ms":150,"service":"gate","attempts":2}}],
        "services":[{{"name":"llm","engine":{{"slots":17,"stride":5,"step_ms":4.0,"loads_per_s":50.0,"loads_at_once":50,
          "models":[{{"name":"m1","size":2,"share":1.0,"pace":1.0,"load_s":0.2,"warm_s":0.1}}]}}}},{{"name":"gate"}}],
        "limits":{{"header_bytes":16384,"body_bytes":2000,"header_ms":3000,"idle_ms":1000}},
        "tenants":[{{"name":"night-desk","keys":["{key}"],"priority":1}}]}}"#
    )
}
