//! Unix signals by which service managers and operators control a process.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// What a signal requests of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// Drain and stop (SIGTERM, SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
    /// Print the process's state (SIGUSR1).
    Dump,
}

/// Handlers of the signals that a process reacts to. Until they are installed, each of these
/// signals kills the process, so a process installs them before anything else.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
    dump: Signal,
}

impl Signals {
    /// Installs the handlers. From then on signals are kept for [`Signals::next`].
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
            dump: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hang_up.recv() => SignalAction::Reload,
            _ = self.dump.recv() => SignalAction::Dump,
        }
    }
}
