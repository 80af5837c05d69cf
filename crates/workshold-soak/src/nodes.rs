//! The nodes' processes, and signals to them.

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

/// A planned stop has to be over within this.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(8);
/// What a node may use up, in kilobytes: the bound for control of the size that it is
/// designed for.
pub const MEMORY_MAX_KB: u64 = 64 * 1024;
/// How long a key may be believed after it was taken away.
pub const KEY_REVOCATION_TIMEOUT: Duration = Duration::from_millis(5_000);

/// One node: its addresses stay, its process comes and goes.
pub struct SoakNode {
    /// Its name.
    pub name: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For callers who ask which addresses to use.
    pub directory: SocketAddr,
    /// For the question whether it serves.
    pub readiness: SocketAddr,
    /// For its state and metrics.
    pub control: SocketAddr,
    /// Lives that it has begun.
    pub incarnations: u32,
    store: SocketAddr,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

/// A process writes its first line within this.
const FIRST_LOG_LINE_TIMEOUT: Duration = Duration::from_secs(5);

/// How a node's process ended without being told to.
pub type UnexpectedExit = String;

impl SoakNode {
    /// A node that does not run yet and will reach its store at `store`.
    pub fn new(name: &str, binary: &Path, folder: &Path, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            callers: free_address(),
            directory: free_address(),
            readiness: free_address(),
            control: free_address(),
            incarnations: 0,
            store,
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Starts its process, unless it runs.
    ///
    /// # Errors
    ///
    /// What the machine says.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let settings = self.folder.join(format!("{}.toml", self.name));
        fs::write(&settings, self.settings())?;
        self.incarnations += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.incarnations));
        let log = File::create(log)?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
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

    /// Waits until its process answers to signals: until then the machine ends it by
    /// any of them, whatever the program does.
    pub async fn wait_for_first_log_line(&self) {
        let began = Instant::now();
        while self.child.is_some() && began.elapsed() < FIRST_LOG_LINE_TIMEOUT {
            let log = self.folder.join(format!("{}-{}.log", self.name, self.incarnations));
            if fs::metadata(log).is_ok_and(|log| log.len() > 0) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a signal, if its process runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // It may have ended just now; whether it should have is seen elsewhere.
            let _ = signal::kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills its process and waits for it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; then there is nothing to kill.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether its process has ended although nobody told it to.
    pub fn check_exited(&mut self) -> Option<UnexpectedExit> {
        let ended = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(format!("{} ended by itself: {ended}", self.name))
    }

    /// Waits for the end of a planned stop.
    ///
    /// # Errors
    ///
    /// How it ended otherwise.
    pub async fn wait_for_stop(&mut self) -> Result<(), UnexpectedExit> {
        let began = Instant::now();
        loop {
            let Some(child) = &mut self.child else { return Ok(()) };
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                let wrong = format!("{} ended its planned stop with {status}", self.name);
                return if status.success() { Ok(()) } else { Err(wrong) };
            }
            if began.elapsed() > STOP_TIMEOUT {
                self.kill();
                return Err(format!("{} did not stop within {STOP_TIMEOUT:?}", self.name));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Whether it says that it serves.
    pub async fn is_ready(&self) -> bool {
        caller::is_ready(self.readiness).await
    }

    /// What its process holds in memory, in kilobytes.
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
