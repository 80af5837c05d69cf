//! A deployment for a test: the platform and engines are stand-ins in this process, the
//! entry nodes are processes of their own.

#![allow(dead_code, reason = "each test file uses its part of this")]

pub mod caller;
pub mod tcp_proxy;

use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use workshold_http::client;
use workshold_node::dump::Status;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::SignedBundle;
use workshold_protocol::ids::BundleHash;
use workshold_protocol::ids::Offset;
use workshold_protocol::log_api::AppendReply;
use workshold_protocol::log_api::AppendRequest;
use workshold_protocol::log_api::STREAM;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::record::SignOff;
use workshold_protocol::record::seal_as_operator;
use workshold_protocol::signing::OperatorKey;
use workshold_standins::Layout;
use workshold_standins::Platform;
use workshold_standins::commands::prepare;
use workshold_standins::layout::PORTS;

/// Settings of times, in milliseconds: short enough for tests, long enough for a busy machine.
pub const TIME_SETTINGS: &str = "probe_every = 150\nreport_ttl = 1500\nclock_error = 100\n\
    member_grace = 600\npeer_ttl = 1500\nisolation_after = 2500\nplan_every = 100\n\
    entries_ttl = 500\nupstream_silence = 3000\n";

/// How long a test waits for a condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tests on this machine take one of these blocks of ports each.
const FIRST_PORT: u16 = 10_000;
/// The number of blocks; each has `PORTS` ports.
const PORT_BLOCKS: u16 = 70;

static TAKEN_BLOCKS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Finds a block of free ports. Starts at a block that depends on the process id, so that
/// test processes that run at once rarely try the same one.
fn free_ports() -> u16 {
    let mut taken = TAKEN_BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let start = (std::process::id() % u32::from(PORT_BLOCKS)) as u16;
    for n in 0..PORT_BLOCKS {
        let base = FIRST_PORT + (start + n) % PORT_BLOCKS * PORTS;
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if !taken.contains(&base) && (base..base + PORTS).all(is_free) {
            taken.push(base);
            return base;
        }
    }
    panic!("no block of ports is free");
}

/// A running deployment. Its processes are killed when it is dropped.
pub struct Deployment {
    pub layout: Layout,
    pub platform: Arc<Platform>,
    pub folder: PathBuf,
    entries: Vec<Option<Child>>,
}

impl Deployment {
    /// Starts the stand-ins and the entry nodes, without a bundle.
    pub async fn start(layout: Layout) -> Self {
        Self::start_with(layout, TIME_SETTINGS, |_, settings| settings).await
    }

    /// Like `start`, with other times, and with the settings of each node passed through
    /// `change`.
    pub async fn start_with(
        layout: Layout,
        times: &str,
        change: impl Fn(u16, String) -> String,
    ) -> Self {
        let layout = Layout { base_port: free_ports(), ..layout };
        let folder = std::env::temp_dir().join(format!(
            "workshold-test-{}-{}",
            std::process::id(),
            layout.base_port
        ));
        prepare::run(&layout, &folder, times).unwrap();
        for i in 0..layout.entries {
            let path = folder.join(format!("entry-{i}.toml"));
            let text = std::fs::read_to_string(&path).unwrap();
            std::fs::write(&path, change(i, text)).unwrap();
        }
        let platform = Platform::start(layout.clone()).await.unwrap();
        let entries = (0..layout.entries).map(|_| None).collect();
        let mut deployment = Self { layout, platform, folder, entries };
        (0..deployment.layout.entries).for_each(|i| deployment.start_entry(i));
        deployment
    }

    /// Like `start`, with the first bundle in force and all its groups serving.
    pub async fn start_serving(layout: Layout) -> Self {
        let deployment = Self::start(layout).await;
        deployment.roll_out_first_bundle().await;
        deployment
    }

    /// Publishes and signs off the first bundle, and waits until all its groups serve.
    pub async fn roll_out_first_bundle(&self) {
        let hash = self.publish(&self.bundle("first", "v1")).await;
        self.sign_off("alice", hash, None).await;
        self.wait("all groups serve everywhere", |statuses| {
            statuses
                .iter()
                .all(|s| s.ready && serving_group_count(s) == usize::from(self.domains()))
        })
        .await;
    }

    pub fn domains(&self) -> u16 {
        self.layout.engines / self.layout.engines_per_domain
    }

    pub fn start_entry(&mut self, i: u16) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("entry-{i}.log")))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_workshold-entry"))
            .arg("--settings")
            .arg(self.folder.join(format!("entry-{i}.toml")))
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.entries[usize::from(i)] = Some(child);
    }

    /// Sends a signal such as `-TERM` to an entry node's process.
    pub fn signal(&self, i: u16, signal: &str) {
        let child = self.entries[usize::from(i)].as_ref().unwrap();
        let status = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// Kills an entry node's process and waits for it.
    pub fn kill(&mut self, i: u16) {
        let mut child = self.entries[usize::from(i)].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits until an entry node's process has exited; returns its exit code, `None` if a
    /// signal ended it.
    pub async fn wait_for_exit(&mut self, i: u16) -> Option<i32> {
        let mut child = self.entries[usize::from(i)].take().unwrap();
        let exit = tokio::task::spawn_blocking(move || child.wait()).await.unwrap().unwrap();
        exit.code()
    }

    pub fn operator(&self, name: &str) -> OperatorKey {
        read_key(&self.folder.join(format!("{name}.key")))
    }

    pub fn bundle(&self, name: &str, version: &str) -> Bundle {
        Bundle::from_toml(&prepare::bundle(&self.layout, name, version)).unwrap()
    }

    /// Publishes a bundle; returns its hash. Does not wait until the nodes have read it.
    pub async fn publish(&self, bundle: &Bundle) -> BundleHash {
        let key = self.operator("alice");
        let signed = SignedBundle::sign(bundle.clone(), &key);
        self.append(&key, Fact::BundlePublished(Box::new(signed))).await;
        bundle.hash()
    }

    pub async fn sign_off(&self, who: &str, bundle: BundleHash, parent: Option<BundleHash>) {
        let fact = Fact::BundleSignedOff(SignOff { bundle, parent });
        self.append(&self.operator(who), fact).await;
    }

    pub async fn append(&self, key: &OperatorKey, fact: Fact) -> Offset {
        let envelope = Envelope::new(Millis::ZERO, vec![fact]);
        let append = AppendRequest { data: seal_as_operator(&envelope, key) };
        let path = format!("/streams/{STREAM}/records");
        let log = self.layout.log();
        let reply: AppendReply =
            client::call(&log, hyper::Method::POST, &path, Some(&append), WAIT_TIMEOUT)
                .await
                .unwrap();
        reply.offset
    }

    /// A node's view of the deployment; `None` if the node does not answer.
    pub async fn status(&self, i: u16) -> Option<Status> {
        client::get(&self.layout.operators(i), "/status", Duration::from_secs(2)).await.ok()
    }

    /// A node's whole state, as the debug endpoint returns it.
    pub async fn dump(&self, i: u16) -> serde_json::Value {
        client::get(&self.layout.operators(i), "/debug/state", WAIT_TIMEOUT).await.unwrap()
    }

    fn running(&self) -> Vec<u16> {
        let running = (0..self.layout.entries).filter(|i| self.entries[usize::from(*i)].is_some());
        running.collect()
    }

    /// Waits until all running nodes answer and `condition` holds for their statuses.
    pub async fn wait(&self, what: &str, condition: impl Fn(&[Status]) -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut statuses = Vec::new();
            for i in self.running() {
                statuses.extend(self.status(i).await);
            }
            if statuses.len() == self.running().len() && condition(&statuses) {
                return;
            }
            if tokio::time::Instant::now() > deadline {
                self.fail_with_logs(what, &statuses);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn fail_with_logs(&self, what: &str, statuses: &[Status]) -> ! {
        for i in 0..self.layout.entries {
            let log = std::fs::read_to_string(self.folder.join(format!("entry-{i}.log")));
            eprintln!("--- entry-{i}\n{}", log.unwrap_or_default());
        }
        panic!("not within {WAIT_TIMEOUT:?}: {what}\n{statuses:#?}");
    }

    /// Waits until `condition` holds for the stand-ins.
    pub async fn wait_for_platform(&self, what: &str, condition: impl Fn(&Platform) -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while !condition(&self.platform) {
            if tokio::time::Instant::now() > deadline {
                self.fail_with_logs(what, &[]);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.entries.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn read_key(path: &Path) -> OperatorKey {
    OperatorKey::from_text(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// The number of groups that serve, as a node reports it.
pub fn serving_group_count(status: &Status) -> usize {
    status.groups.iter().filter(|group| group.serving).count()
}

/// The hash of the bundle that is in force at a node.
pub fn bundle_in_force(status: &Status) -> Option<&str> {
    status.bundle.as_ref().map(|bundle| bundle.hash.as_str())
}
