//! Starts the nodes as processes, signals them and watches for their exit.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use workshold_platform_standin::caller;
use workshold_platform_standin::free_address;

/// Time within which a graceful shutdown has to finish.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum resident memory of a node: the bound for a control plane of the size that the product is
/// designed for.
pub const MEMORY_MAX_KB: u64 = 64 * 1024;
/// How long a node may still accept a key after it was revoked.
pub const KEY_REVOCATION_TIMEOUT: Duration = Duration::from_millis(5_000);

/// One node, whose addresses stay the same across restarts of its process.
pub struct SoakNode {
    /// Name of the node, also of its settings and log files.
    pub name: String,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address of the directory, which tells callers the nodes' addresses.
    pub directory: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address for state and metrics.
    pub control: SocketAddr,
    /// Number of times that its process was started.
    pub incarnations: u32,
    store: SocketAddr,
    /// Address of the proxy through which it reaches instances; `None` if it reaches them directly.
    egress: Option<SocketAddr>,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

/// Time within which a process writes its first log line.
const FIRST_LOG_LINE_TIMEOUT: Duration = Duration::from_secs(5);

/// Describes an exit that was not requested, or a shutdown that failed.
pub type UnexpectedExit = String;

impl SoakNode {
    /// Creates a node that is not started yet, uses the store at `store` and reaches instances
    /// through the proxy at `egress` if there is one.
    pub fn new(
        name: &str,
        binary: &Path,
        folder: &Path,
        store: SocketAddr,
        egress: Option<SocketAddr>,
    ) -> Self {
        Self {
            name: name.to_owned(),
            callers: free_address(),
            directory: free_address(),
            readiness: free_address(),
            control: free_address(),
            incarnations: 0,
            store,
            egress,
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Starts its process, unless it is running.
    ///
    /// # Errors
    ///
    /// If its settings or log cannot be written or its process not spawned.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let settings = self.folder.join(format!("{}.toml", self.name));
        fs::write(&settings, self.settings())?;
        self.incarnations += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.incarnations));
        let log = File::create(log)?;
        let mut command = Command::new(&self.binary);
        command.arg("--settings").arg(&settings);
        if let Some(egress) = self.egress {
            command.arg("--instance-proxy").arg(egress.to_string());
        }
        let child = command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn settings(&self) -> String {
        format!(
            "[node]\nname = \"{}\"\ndata_centre = \"a\"\nis_first_start = {}\n\
             [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeers_port = {}\n\
             [store]\naddress = \"{}\"\nparts = {}\n[limits]\ndescriptors = 1000\n\
             [bounds]\nkeys_believed_ms = {}\nstop_within_s = {}\nrepeat_slack = 50.0\n\
             addresses_good_at_most_s = 0.5\n",
            self.name,
            self.incarnations == 0,
            self.callers,
            self.readiness,
            self.directory,
            self.control.port(),
            self.store,
            workshold_platform_standin::store::PARTITIONS,
            KEY_REVOCATION_TIMEOUT.as_millis(),
            STOP_TIMEOUT.as_secs_f64(),
        )
    }

    /// Waits for the first log line, by which the process has installed its signal handlers: before
    /// that, the default action of any signal would kill it.
    pub async fn wait_for_first_log_line(&self) {
        let started_at = Instant::now();
        while self.child.is_some() && started_at.elapsed() < FIRST_LOG_LINE_TIMEOUT {
            let log = self.folder.join(format!("{}-{}.log", self.name, self.incarnations));
            if fs::metadata(log).is_ok_and(|log| log.len() > 0) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a signal, if its process is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // It may just have exited; `check_exited` reports an unexpected exit.
            let _ = signal::kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills its process and waits for it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may already have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Describes the exit of its process if it ended without being told to; `None` if it runs or
    /// was stopped.
    pub fn check_exited(&mut self) -> Option<UnexpectedExit> {
        let ended = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(format!("{} ended by itself: {ended}", self.name))
    }

    /// Waits for a graceful shutdown to finish, and kills the process after [`STOP_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// If it exits with a failure, or not within the timeout.
    pub async fn wait_for_stop(&mut self) -> Result<(), UnexpectedExit> {
        let started_at = Instant::now();
        loop {
            let Some(child) = &mut self.child else { return Ok(()) };
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                let wrong = format!("{} ended its planned stop with {status}", self.name);
                return if status.success() { Ok(()) } else { Err(wrong) };
            }
            if started_at.elapsed() > STOP_TIMEOUT {
                self.kill();
                return Err(format!("{} did not stop within {STOP_TIMEOUT:?}", self.name));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Whether its readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        caller::is_ready(self.readiness).await
    }

    /// Resident memory of its process in kilobytes; `None` if it is not running.
    pub fn memory_kb(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for SoakNode {
    fn drop(&mut self) {
        self.kill();
    }
}
