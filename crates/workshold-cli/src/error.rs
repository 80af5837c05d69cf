//! What can go wrong for an operator, with an exit code and a line of help each.

use std::path::Path;

use displaydoc::Display;
use workshold_http::client::CallError;

/// Why a command did not do what it was asked.
#[derive(Debug, Display)]
pub enum CliError {
    /// {path}: {why}
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
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
        /// The bundle that won.
        in_force: String,
    },
    /// there is no {kind} "{name}"
    Unknown {
        /// The kind of thing.
        kind: &'static str,
        /// The name that was given.
        name: String,
    },
    /// not done within {0} s; it goes on without this command
    NotYet(u64),
}

impl std::error::Error for CliError {}

impl CliError {
    /// A problem with a file.
    pub fn file(path: &Path, why: impl ToString) -> Self {
        Self::File { path: path.display().to_string(), why: why.to_string() }
    }

    /// The command's exit code, as `docs/OPERATING.md` lists them.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Input(_) | Self::Faults(_) | Self::Unknown { .. } => 2,
            Self::LostRace { .. } => 3,
            Self::Node(_) | Self::Log(_) => 4,
            Self::NotYet(_) => 5,
        }
    }

    /// What to do about it.
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
            Self::NotYet(_) => "`workshold status` shows how far it has come",
        }
    }
}
