//! The gateway as separate processes, started as the deploy file says.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use workshold_platform_standin::free_address;

use crate::wire;

/// The `run` line of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/workshold-gateway";
/// The longest wait for a condition at the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The temporary folder of this run, for settings and logs.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Starts `count` nodes on loopback addresses of their own with the same ports, in data centres
/// `hala-a`, `hala-b`, `hala-c` in turn. The settings are the template of the deploy file, filled in
/// with the bounds of the users' small deployment.
pub fn start_fleet(count: u8, store: SocketAddr) -> Vec<Node> {
    let net = (std::process::id() % 200 + 20) as u8;
    let ports: Vec<u16> = (0..4).map(|_| free_address().port()).collect();
    let folder = folder();
    fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let mut nodes = Vec::new();
    for i in 0..count {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, net, 11 + i));
        let at = |port: usize| SocketAddr::new(ip, ports[port]);
        let zone = ["hala-a", "hala-b", "hala-c"][usize::from(i) % 3];
        let mut node = Node {
            name: format!("front-{zone}-{}", i / 3 + 1),
            callers: at(0),
            readiness: at(1),
            directory: at(2),
            control: at(3),
            folder: folder.clone(),
            child: None,
        };
        let text = format!(
            "[node]\nname = \"{}\"\ndata_centre = \"{zone}\"\nis_first_start = true\n\n\
             [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeers_port = {}\n\n\
             [store]\naddress = \"{store}\"\nparts = {}\nleast_ttl_ms = 1000\n\n\
             [limits]\ndescriptors = 900\nlink_mbit_per_s = 1000.0\nprocessor_share = 0.25\nmemory_mb = 260\n\n\
             [admission]\n\n\
             [bounds]\nkeys_believed_ms = 5000\nrefuse_stale_keys = true\nconfig_in_force_ms = 2000\n\
             undisturbed_after_ms = 3000\nstop_within_s = 8\nrepeat_ratio = 0.2\nrepeat_window_s = 10\n\
             repeat_slack = 109\naddresses_good_at_most_s = 5\n",
            node.name,
            node.callers,
            node.readiness,
            node.directory,
            node.control.port(),
            workshold_platform_standin::store::PARTITIONS,
        );
        fs::write(node.settings(), text).expect("the temporary folder can be written");
        node.start();
        nodes.push(node);
    }
    nodes
}

impl Node {
    fn settings(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.name))
    }

    /// Starts its process.
    pub fn start(&mut self) {
        let mut options = fs::OpenOptions::new();
        options.create(true).append(true);
        let log = options.open(self.folder.join(format!("{}.log", self.name)));
        let log = log.expect("the temporary folder can be written");
        let child = Command::new(PROGRAM)
            .env("WORKSHOLD_CONFIG", self.settings())
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a file can be opened twice"))
            .stdout(log)
            .spawn();
        self.child = child.ok();
    }

    /// Kills its process, which the platform calls a kill (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to its process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        }
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    async fn get(&self, address: SocketAddr, path: &str) -> wire::Got {
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        wire::ask(address, &request, Duration::from_secs(1)).await
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.get(self.readiness, "/v1/readiness").await.status == 200
    }

    /// Its state, as it tells operators.
    pub async fn state(&self) -> serde_json::Value {
        let got = self.get(self.control, "/state").await;
        serde_json::from_slice(&got.body).unwrap_or_default()
    }

    /// The addresses that it tells clients to use.
    pub async fn resolve(&self) -> Vec<String> {
        let got = self.get(self.directory, "/v1/resolve?name=lot.example&zone=hala-a").await;
        let answer: serde_json::Value = serde_json::from_slice(&got.body).unwrap_or_default();
        let rows = answer["addresses"].as_array().cloned().unwrap_or_default();
        rows.iter().filter_map(|row| row.as_str().map(str::to_owned)).collect()
    }
}

/// Waits until all nodes are ready, know all instances and hear each other.
pub async fn all_ready(nodes: &[Node], instances: usize) -> bool {
    let began = Instant::now();
    while began.elapsed() < START_TIMEOUT {
        let mut are_ready = true;
        for node in nodes {
            let state = node.state().await;
            let count = |field: &str| state[field].as_array().map_or(0, Vec::len);
            are_ready &= node.is_ready().await
                && count("instances") >= instances
                && count("peers") >= nodes.len() - 1;
        }
        if are_ready {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}
