//! `workshold bundle check`: finds every fault of a bundle.

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

/// The parser of `bundle check`.
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
struct Checked {
    hash: String,
    faults: Vec<Fault>,
}

/// Checks the bundle.
///
/// # Errors
///
/// [`CliError::Faults`] if it has any.
pub fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let bundle = bundle::read_bundle(&args.file)?;
    let checked = Checked { hash: bundle.hash().to_string(), faults: bundle.faults() };
    out.result(&checked, |checked| {
        let faults = checked.faults.iter().map(ToString::to_string);
        let end = match checked.faults.len() {
            0 => format!("no faults; hash {}", checked.hash),
            n => format!("{n} fault(s)"),
        };
        faults.chain([end]).collect()
    });
    match checked.faults.len() {
        0 => Ok(()),
        n => Err(CliError::Faults(n)),
    }
}
