//! `workshold check-config`: validates a node's settings and lists every fault.

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

/// Builds the parser for `check-config`.
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
struct CheckResult {
    faults: Vec<String>,
}

/// Loads the settings as a node does at start, and prints the faults.
///
/// # Errors
///
/// [`CliError::Faults`] if there are any faults.
pub fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let faults = match settings::load(&args.file) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    };
    let result = CheckResult { faults };
    out.print_result(&result, |result| match result.faults.as_slice() {
        [] => vec!["no faults".to_owned()],
        faults => faults.to_vec(),
    });
    match result.faults.len() {
        0 => Ok(()),
        n => Err(CliError::Faults(n)),
    }
}
