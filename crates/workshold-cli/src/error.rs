//! Errors of the commands, each with an exit code and a line of advice.

use std::path::Path;

use displaydoc::Display;
use workshold_http::client::CallError;

/// Why a command failed. The doc comments of the variants are the error messages.
#[derive(Debug, Display)]
pub enum CliError {
    /// {path}: {why}
    File {
        /// Path of the file.
        path: String,
        /// The I/O or parse error.
        why: String,
    },
    /// {0}
    Input(workshold_protocol::Error),
    /// there are {0} fault(s)
    Faults(usize),
    /// the node does not answer: {0}
    Node(CallError),
    /// the log does not answer: {0}
    Log(CallError),
    /// another bundle was faster: {in_force} is in force
    LostRace {
        /// Hash of the bundle that is in force instead.
        in_force: String,
    },
    /// there is no {kind} "{name}"
    Unknown {
        /// What was looked up, such as "instance".
        kind: &'static str,
        /// The name that was given.
        name: String,
    },
    /// not done within {0} s; it goes on without this command
    WaitTimeout(u64),
}

impl std::error::Error for CliError {}

impl CliError {
    /// A [`CliError::File`] for `path`, with the error's text as the reason.
    pub fn file(path: &Path, why: impl ToString) -> Self {
        Self::File { path: path.display().to_string(), why: why.to_string() }
    }

    /// The command's exit code, as `docs/OPERATING.md` lists them.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Input(_) | Self::Faults(_) | Self::Unknown { .. } => 2,
            Self::LostRace { .. } => 3,
            Self::Node(_) | Self::Log(_) => 4,
            Self::WaitTimeout(_) => 5,
        }
    }

    /// Advice to the operator, printed below the message.
    pub fn help(&self) -> &'static str {
        match self {
            Self::File { .. } => "check the path, and that you may read and write there",
            Self::Input(err) => err.help(),
            Self::Faults(_) => "mend each fault at the place it names; nothing was changed",
            Self::Node(_) => "name another node with --node; any one will do",
            Self::Log(_) => {
                "nothing is lost by trying again: a record that was appended twice counts once"
            }
            Self::LostRace { .. } => "look at what is in force, then sign off again on top of it",
            Self::Unknown { .. } => "`workshold status` shows all names",
            Self::WaitTimeout(_) => "`workshold status` shows how far it has come",
        }
    }
}
