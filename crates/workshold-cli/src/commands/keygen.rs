//! `workshold keygen`: creates an operator's key, or the key that all nodes share.

use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;

use bpaf::Parser;
use serde::Serialize;
use workshold_protocol::signing::ClusterKey;
use workshold_protocol::signing::OperatorKey;

use crate::commands::Command;
use crate::error::CliError;
use crate::output::Output;

/// Arguments of `keygen`.
#[derive(Debug, Clone)]
pub struct Args {
    cluster: bool,
    file: PathBuf,
}

/// Builds the parser for `keygen`.
pub fn parser() -> impl Parser<Command> {
    let cluster = bpaf::long("cluster").help("Make the key that all nodes share instead").switch();
    let file = bpaf::positional::<PathBuf>("FILE").help("Where the secret goes; must not exist");
    bpaf::construct!(Args { cluster, file })
        .map(Command::Keygen)
        .to_options()
        .descr("Makes a key and writes its secret to a file that only you can read.")
        .footer("Example: workshold keygen alice.key")
        .command("keygen")
        .help("Make a key")
}

#[derive(Debug, Serialize)]
struct CreatedKey {
    file: String,
    public: Option<String>,
}

/// Generates the key and writes its secret to the file.
///
/// # Errors
///
/// [`CliError::File`] if the file exists or cannot be written.
pub fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let (secret, public) = if args.cluster {
        (ClusterKey::generate_text(), None)
    } else {
        let key = OperatorKey::generate();
        (key.to_text(), Some(key.public().0))
    };
    write_secret(&args.file, &secret)?;
    let created = CreatedKey { file: args.file.display().to_string(), public };
    out.print_result(&created, |created| match &created.public {
        Some(public) => {
            vec![format!("{}: secret; for the nodes' settings: {public}", created.file)]
        }
        None => vec![format!("{}: secret; every node's settings name it", created.file)],
    });
    Ok(())
}

/// Writes `secret` to a new file that only its owner can access.
fn write_secret(path: &PathBuf, secret: &str) -> Result<(), CliError> {
    let open = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path);
    let mut file = open.map_err(|err| CliError::file(path, err))?;
    file.write_all(secret.as_bytes()).map_err(|err| CliError::file(path, err))
}
