//! `workshold bundle check`: validates a bundle and lists every fault.

use std::path::PathBuf;

use bpaf::Parser;
use serde::Serialize;
use workshold_protocol::bundle::Fault;

use crate::commands::bundle;
use crate::error::CliError;
use crate::output::Output;

/// Arguments of `bundle check`.
#[derive(Debug, Clone)]
pub struct Args {
    file: PathBuf,
}

/// Builds the parser for `bundle check`.
pub fn parser() -> impl Parser<bundle::Args> {
    let file = bpaf::positional::<PathBuf>("FILE").help("The bundle, in TOML");
    bpaf::construct!(Args { file })
        .map(bundle::Args::Check)
        .to_options()
        .descr("Checks a bundle and names every fault with its place.")
        .footer("Example: workshold bundle check parking.toml")
        .command("check")
        .help("Check a bundle")
}

#[derive(Debug, Serialize)]
struct CheckResult {
    hash: String,
    faults: Vec<Fault>,
}

/// Validates the bundle and prints its hash and faults.
///
/// # Errors
///
/// [`CliError::Faults`] if the bundle has any; [`CliError::File`] if it cannot be read or parsed.
pub fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let bundle = bundle::read_bundle(&args.file)?;
    let result = CheckResult { hash: bundle.hash().to_string(), faults: bundle.faults() };
    out.print_result(&result, |result| {
        let faults = result.faults.iter().map(ToString::to_string);
        let summary = match result.faults.len() {
            0 => format!("no faults; hash {}", result.hash),
            n => format!("{n} fault(s)"),
        };
        faults.chain([summary]).collect()
    });
    match result.faults.len() {
        0 => Ok(()),
        n => Err(CliError::Faults(n)),
    }
}
