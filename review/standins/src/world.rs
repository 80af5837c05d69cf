//! A small deployment: the project's store stand-in in this process, runners and nodes as
//! processes of their own. All of them are ended when it is dropped.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use workshold_platform_standin::caller;
use workshold_platform_standin::proxy::LinkState;
use workshold_platform_standin::proxy::Proxy;
use workshold_platform_standin::store::PARTITIONS;
use workshold_platform_standin::store::StandInStore;

/// Writes `record.txt`, with the time since the start of the case before each line.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins a new record.
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.file.lock().expect("no thread panics").write_all(line.as_bytes());
        print!("{line}");
    }
}

/// A runner process, and what it has reported.
pub struct RunnerProcess {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    shared: Arc<Shared>,
    /// The network path to it, if that can be cut.
    path: Option<Proxy>,
}

struct Shared {
    store: Arc<StandInStore>,
    record: Record,
    entry: Mutex<Value>,
    ran: Mutex<Vec<String>>,
    is_listed: Mutex<bool>,
    has_ended: Mutex<bool>,
    is_cut_off: Mutex<bool>,
}

/// How often a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Shared {
    /// Writes the runner's entry into the list, with a higher sequence.
    fn publish(&self) {
        let mut entry = self.entry.lock().expect("no thread panics");
        entry["sequence"] = json!(entry["sequence"].as_u64().unwrap_or(0) + 1);
        let (id, text) = (entry["id"].as_str().unwrap_or_default().to_owned(), {
            let mut shown = entry.clone();
            shown.as_object_mut().expect("an entry is an object").remove("id");
            shown.to_string()
        });
        let is_cut_off = *self.is_cut_off.lock().expect("no thread panics");
        if *self.is_listed.lock().expect("no thread panics") && !is_cut_off {
            self.store.put("keyed.servers", &id, &text);
        }
    }
}

impl RunnerProcess {
    /// Starts a runner and lists it; `args` are those of the program's `runner` command.
    pub fn start(
        store: &Arc<StandInStore>,
        record: &Record,
        id: &str,
        service: &str,
        domain: Option<&str>,
        path: Option<Proxy>,
        args: &[&str],
    ) -> Self {
        let program = std::env::current_exe().expect("this program has a path");
        let mut child = Command::new(program)
            .args(["runner", id])
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a runner can be started");
        let mut lines = BufReader::new(child.stdout.take().expect("its output is piped")).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let own = first.strip_prefix("ADDR ").and_then(|at| at.parse().ok());
        let own: SocketAddr = own.expect("it tells its address");
        if let Some(path) = &path {
            path.set_target(Some(own));
        }
        let address = path.as_ref().map_or(own, |path| path.address);
        let mut entry = json!({
            "id": id, "service": service, "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": 17, "state": "ready", "cold_left_ms": 0, "sequence": 0,
        });
        if let Some(domain) = domain {
            entry["domain"] = json!(domain);
            entry["staged"] = json!(["m1"]);
            entry["models"] = json!([]);
        }
        let shared = Arc::new(Shared {
            store: Arc::clone(store),
            record: record.clone(),
            entry: Mutex::new(entry),
            ran: Mutex::default(),
            is_listed: Mutex::new(true),
            has_ended: Mutex::new(false),
            is_cut_off: Mutex::new(false),
        });
        shared.publish();
        let beating = Arc::clone(&shared);
        std::thread::spawn(move || {
            while *beating.is_listed.lock().expect("no thread panics") {
                std::thread::sleep(HEARTBEAT);
                if !*beating.has_ended.lock().expect("no thread panics") {
                    beating.publish();
                }
            }
        });
        let (reader, name) = (Arc::clone(&shared), id.to_owned());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(request) = line.strip_prefix("RUN ") {
                    reader.ran.lock().expect("no thread panics").push(request.to_owned());
                    reader.record.note(&format!("runner {name} runs {request}"));
                } else if let Some(request) = line.strip_prefix("DONE ") {
                    reader.record.note(&format!("runner {name} has answered {request} in whole"));
                } else if let Some(state) = line.strip_prefix("STATE ") {
                    let state = serde_json::from_str(state).unwrap_or(Value::Null);
                    {
                        let mut entry = reader.entry.lock().expect("no thread panics");
                        if state.is_null() {
                            entry.as_object_mut().expect("an entry is an object").remove("group");
                        } else {
                            entry["group"] = state;
                        }
                        entry["models"] = json!([{"name": "m1", "version": 1, "adapters": []}]);
                    }
                    reader.publish();
                }
            }
        });
        Self { id: id.to_owned(), address, child, shared, path }
    }

    /// Requests that it has begun to run.
    pub fn ran(&self) -> Vec<String> {
        self.shared.ran.lock().expect("no thread panics").clone()
    }

    /// Whether its entry says that it is the head of an open group.
    pub fn is_open_head(&self) -> bool {
        let entry = self.shared.entry.lock().expect("no thread panics");
        entry["group"]["rank"] == json!(0) && entry["group"]["state"] == json!("open")
    }

    /// The group that it is in, with its epoch, rank and state, as it states itself.
    pub fn membership(&self) -> Value {
        self.shared.entry.lock().expect("no thread panics")["group"].clone()
    }

    /// Cuts its path to the nodes, or opens it again.
    pub async fn set_cut_from_nodes(&self, is_cut: bool) {
        let state = if is_cut { LinkState::Silent } else { LinkState::Open };
        if let Some(path) = &self.path {
            path.set_state(state).await;
        }
    }

    /// Cuts it from the store, or lets it write its entry again.
    pub fn set_cut_from_store(&self, is_cut: bool) {
        *self.shared.is_cut_off.lock().expect("no thread panics") = is_cut;
        if !is_cut {
            self.shared.publish();
        }
    }

    /// The store drops its entry, since it has missed three check-ins.
    pub fn lapse(&self) {
        self.shared.store.put("keyed.servers", &self.id, "");
    }

    /// States that it drains.
    pub fn drain(&self) {
        self.shared.entry.lock().expect("no thread panics")["state"] = json!("draining");
        self.shared.publish();
    }

    /// Ends its process at once.
    pub fn kill(&mut self) {
        *self.shared.has_ended.lock().expect("no thread panics") = true;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its entry is gone: it has missed three check-ins.
    pub fn unlist(&self) {
        *self.shared.is_listed.lock().expect("no thread panics") = false;
        self.shared.store.put("keyed.servers", &self.id, "");
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A node of the project as a process.
pub struct NodeProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub readiness: SocketAddr,
    child: Child,
}

impl NodeProcess {
    /// Sends a signal, by its name without SIG.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("sh")
            .args(["-c", "kill -s \"$0\" \"$1\"", signal, &self.child.id().to_string()])
            .status();
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The deployment.
pub struct World {
    pub store: Arc<StandInStore>,
    pub record: Record,
    pub runners: BTreeMap<String, RunnerProcess>,
    pub nodes: Vec<NodeProcess>,
    gateway: PathBuf,
    folder: PathBuf,
    ports: u16,
}

impl World {
    /// Starts the store with a configuration.
    pub async fn start(gateway: &Path, folder: &Path, record: &Record, config: &str) -> Self {
        let store = Arc::new(StandInStore::start().await);
        store.configure(config);
        Self {
            store,
            record: record.clone(),
            runners: BTreeMap::new(),
            nodes: Vec::new(),
            gateway: gateway.to_owned(),
            folder: folder.to_owned(),
            ports: free_ports(),
        }
    }

    /// Starts a runner.
    pub fn add_runner(&mut self, id: &str, service: &str, domain: Option<&str>, args: &[&str]) {
        let runner =
            RunnerProcess::start(&self.store, &self.record, id, service, domain, None, args);
        self.record.note(&format!("runner {id} of {service} listens at {}", runner.address));
        self.runners.insert(id.to_owned(), runner);
    }

    /// Starts an engine whose path to the nodes can be cut.
    pub fn add_engine_behind_path(&mut self, id: &str, service: &str, args: &[&str]) {
        let path = Some(Proxy::start());
        let runner =
            RunnerProcess::start(&self.store, &self.record, id, service, Some("a-d0"), path, args);
        self.record.note(&format!("runner {id} of {service} listens at {}", runner.address));
        self.runners.insert(id.to_owned(), runner);
    }

    /// Starts the gateway with the deploy file's command and the settings of a node.
    fn spawn_gateway(&self, name: &str) -> Child {
        let mut log = File::options();
        let log = log
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        Command::new(&self.gateway)
            .env("WORKSHOLD_CONFIG", self.folder.join(format!("{name}.toml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the gateway can be started")
    }

    /// Starts the process of a node again, with its settings.
    pub fn restart_node(&mut self, index: usize) {
        let child = self.spawn_gateway(&self.nodes[index].name);
        let mut ended = std::mem::replace(&mut self.nodes[index].child, child);
        let _ = ended.kill();
        let _ = ended.wait();
    }

    /// Starts a node with the settings of a small deployment: each on an address of its own, all
    /// with the same ports, as the pages say.
    pub fn add_node(&mut self) {
        let number = self.nodes.len() + 1;
        let name = format!("front-{number}");
        let ip = format!("127.0.1.{number}");
        let at = |offset: u16| -> SocketAddr {
            format!("{ip}:{}", self.ports + offset).parse().expect("a valid address")
        };
        let text = format!(
            "[node]\nname = \"{name}\"\ndata_centre = \"a\"\nis_first_start = true\n\
             [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeers_port = {}\n\
             [store]\naddress = \"{}\"\nparts = {PARTITIONS}\nleast_ttl_ms = 1000\n\
             [limits]\ndescriptors = 4100\nlink_mbit_per_s = 1000.0\nprocessor_share = 0.25\n\
             memory_mb = 260\n[admission]\n[bounds]\nkeys_believed_ms = 5000\n\
             refuse_stale_keys = true\nconfig_in_force_ms = 2000\nundisturbed_after_ms = 3000\n\
             stop_within_s = 8\nrepeat_ratio = 0.2\nrepeat_window_s = 10\nrepeat_slack = 109\n\
             addresses_good_at_most_s = 5\n",
            at(0),
            at(1),
            at(2),
            self.ports + 3,
            self.store.address,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("settings can be written");
        let child = self.spawn_gateway(&name);
        self.record.note(&format!("node {name} takes callers at {}", at(0)));
        self.nodes.push(NodeProcess {
            name,
            callers: at(0),
            directory: at(2),
            readiness: at(1),
            child,
        });
    }

    /// Waits until all nodes are ready and each one's directory names all of them. Returns whether
    /// that came true in time.
    pub async fn wait_until_ready(&self) -> bool {
        for node in &self.nodes {
            let is_settled = || async {
                caller::is_ready(node.readiness).await
                    && caller::resolve(node.directory, "a").await.len() == self.nodes.len()
            };
            if !within(Duration::from_secs(15), is_settled).await {
                self.record.note(&format!("node {} is not ready in time", node.name));
                return false;
            }
        }
        self.record.note("all nodes are ready and named by each other");
        true
    }

    /// All runners that have begun to run a request.
    pub fn runners_of(&self, request: &str) -> Vec<String> {
        let ran = |runner: &&RunnerProcess| runner.ran().iter().any(|ran| ran == request);
        self.runners.values().filter(ran).map(|runner| runner.id.clone()).collect()
    }
}

/// Polls a condition.
pub async fn within<F: Future<Output = bool>>(time: Duration, condition: impl Fn() -> F) -> bool {
    let began = Instant::now();
    while !condition().await {
        if began.elapsed() > time {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    true
}

/// The first of four ports in a row that are free on the addresses of six nodes.
fn free_ports() -> u16 {
    let first = 20_000 + (std::process::id() % 1_000) as u16 * 8;
    (0..1_000u16)
        .map(|i| 20_000 + (first - 20_000 + i * 8) % 8_000)
        .find(|port| {
            (1..=9).all(|n| {
                (0..4).all(|offset| {
                    TcpListener::bind(format!("127.0.1.{n}:{}", port + offset)).is_ok()
                })
            })
        })
        .expect("there are free ports")
}
