//! `workshold check-config`: finds every fault of a node's settings.

use std::path::PathBuf;

use bpaf::Parser;
use serde::Serialize;
use workshold_node::settings;

use crate::commands::Command;
use crate::error::CliError;
use crate::output::Output;

/// Arguments of `check-config`.
#[derive(Debug, Clone)]
pub struct Args {
    file: PathBuf,
}

/// The parser of `check-config`.
pub fn parser() -> impl Parser<Command> {
    let file = bpaf::positional::<PathBuf>("FILE").help("A node's settings, in TOML");
    bpaf::construct!(Args { file })
        .map(Command::CheckConfig)
        .to_options()
        .descr("Checks a node's settings as the node does when it starts, and names every fault.")
        .footer("Example: workshold check-config entry-0.toml")
        .command("check-config")
        .help("Check a node's settings")
}

#[derive(Debug, Serialize)]
struct Checked {
    faults: Vec<String>,
}

/// Checks the settings.
///
/// # Errors
///
/// [`CliError::Faults`] if there are any.
pub fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let faults = match settings::load(&args.file) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    };
    let checked = Checked { faults };
    out.result(&checked, |checked| match checked.faults.as_slice() {
        [] => vec!["no faults".to_owned()],
        faults => faults.to_vec(),
    });
    match checked.faults.len() {
        0 => Ok(()),
        n => Err(CliError::Faults(n)),
    }
}
