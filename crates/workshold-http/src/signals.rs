//! What the machine and its operators ask of a process by signals.

use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// To stop with a plan.
    Stop,
    /// To read the settings again.
    Reload,
    /// To print its state.
    Dump,
}

/// The signals that a process answers to. Until this is made, each of them ends it: it
/// is the first thing that a process makes.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
    dump: Signal,
}

impl Signals {
    /// From here on signals wait to be taken.
    ///
    /// # Errors
    ///
    /// What the machine says.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
            dump: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for the next one.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hang_up.recv() => SignalAction::Reload,
            _ = self.dump.recv() => SignalAction::Dump,
        }
    }
}
