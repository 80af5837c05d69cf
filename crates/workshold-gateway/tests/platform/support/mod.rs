//! Starts nodes in the test's own process.

pub mod answers;
pub mod scripted;
pub mod wire;

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use workshold_gateway::daemon;
use workshold_gateway::settings;
use workshold_gateway::settings::Settings;
use workshold_http::dial::Dial;
use workshold_http::dial::TcpDialer;
use workshold_http::signals::Signals;
use workshold_platform_standin::caller;
use workshold_platform_standin::free_address;
use workshold_platform_standin::path::Path;
use workshold_platform_standin::store::StandInStore;
use workshold_platform_standin::wait_for;

/// Settings of a node at free addresses. `bounds` are lines of the `[bounds]` section.
pub fn test_settings(
    name: &str,
    store: SocketAddr,
    bounds: &str,
    is_first_start: bool,
) -> Settings {
    let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
    let text = format!(
        "[node]\nname = \"{name}\"\ndata_centre = \"a\"\nis_first_start = {is_first_start}\n\
         [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeers_port = {}\n\
         [store]\naddress = \"{}\"\nparts = 4\n[limits]\ndescriptors = 1000\n[bounds]\n{bounds}\n",
        addresses[0],
        addresses[1],
        addresses[2],
        addresses[3].port(),
        store,
    );
    settings::parse(&text).unwrap()
}

/// Whether the node with this control server sees a group in state `Open`.
pub async fn sees_open_group(control: SocketAddr) -> bool {
    let state = caller::get(control, "/state").await;
    state.is_some_and(|(_, body)| String::from_utf8_lossy(&body).contains("Open"))
}

/// A node that runs as a task of the test and is aborted when dropped.
pub struct TestNode {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    task: JoinHandle<()>,
    /// The node's own runtime, with which all its connections end; without one, those that it has
    /// taken over from its servers live on.
    runtime: Option<Runtime>,
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.task.abort();
        self.runtime.take().into_iter().for_each(Runtime::shutdown_background);
    }
}

impl TestNode {
    /// Starts a node of a new deployment. `bounds` are lines of the `[bounds]` section.
    pub fn start(name: &str, store: &StandInStore, bounds: &str) -> Self {
        Self::start_at(name, store.address, bounds)
    }

    /// Starts a node that reaches the store at `store`, such as through a proxy.
    pub fn start_at(name: &str, store: SocketAddr, bounds: &str) -> Self {
        Self::begin(name, store, bounds, true, Box::new(TcpDialer), None)
    }

    /// Starts a node in a deployment that has run before (`is_first_start = false`).
    pub fn start_again(name: &str, store: &StandInStore, bounds: &str) -> Self {
        Self::begin(name, store.address, bounds, false, Box::new(TcpDialer), None)
    }

    /// Starts a node of a new deployment that reaches instances over `path`.
    pub fn start_behind(name: &str, store: &StandInStore, bounds: &str, path: &Path) -> Self {
        Self::begin(name, store.address, bounds, true, Box::new(path.clone()), None)
    }

    /// Like [`Self::start_behind`], but dropping the node closes all its connections in an orderly
    /// way, as the kernel does for a killed process.
    pub fn start_apart(name: &str, store: &StandInStore, bounds: &str, path: &Path) -> Self {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        Self::begin(name, store.address, bounds, true, Box::new(path.clone()), Some(runtime))
    }

    fn begin(
        name: &str,
        store: SocketAddr,
        bounds: &str,
        is_first_start: bool,
        dialer: Box<dyn Dial>,
        runtime: Option<Runtime>,
    ) -> Self {
        let settings = test_settings(name, store, bounds, is_first_start);
        let listen = settings.listen.clone();
        let control = settings.control();
        let running = async move {
            let path = PathBuf::from("/nonexistent");
            let signals = Signals::new().unwrap();
            let ended = daemon::run(settings, path, signals, dialer).await;
            panic!("the node stopped: {ended:?}");
        };
        let task = match &runtime {
            Some(runtime) => runtime.spawn(running),
            None => tokio::spawn(running),
        };
        Self {
            callers: listen.callers,
            directory: listen.directory,
            readiness: listen.readiness,
            control,
            task,
            runtime,
        }
    }

    /// The value of a metric; a counter has no line before it is first counted.
    pub async fn metric(&self, name: &str) -> u64 {
        let (_, body) = caller::get(self.control, "/metrics").await.unwrap();
        let text = String::from_utf8(body.to_vec()).unwrap();
        let prefix = format!("workshold_{name} ");
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
        line.map_or(0, |value| value.parse().unwrap())
    }

    /// The number of instances that the node lists.
    pub async fn listed_count(&self) -> usize {
        let Some((_, body)) = caller::get(self.control, "/state").await else { return 0 };
        let state: Value = serde_json::from_slice(&body).unwrap();
        state["instances"].as_array().map_or(0, Vec::len)
    }

    /// Waits until the node reports that it is ready.
    pub async fn ready(&self) {
        wait_for("a ready node", || caller::is_ready(self.readiness)).await;
    }

    /// Waits until the node is ready and sees a group in state `Open`.
    pub async fn serving(&self) {
        self.ready().await;
        wait_for("an open group", || sees_open_group(self.control)).await;
    }
}
