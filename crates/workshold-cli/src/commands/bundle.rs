//! `workshold bundle`: check, sign, publish and sign off a bundle.

pub mod check;
pub mod publish;
pub mod sign;
pub mod sign_off;

use std::path::PathBuf;

use bpaf::Parser;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::bundle::SignedBundle;

use crate::commands::Command;
use crate::error::CliError;
use crate::output::Output;

/// The subcommands of `bundle`, with their arguments.
#[derive(Debug, Clone)]
pub enum Args {
    /// Validates a bundle; see [`check`].
    Check(check::Args),
    /// Signs a bundle; see [`sign`].
    Sign(sign::Args),
    /// Publishes a signed bundle; see [`publish`].
    Publish(publish::Args),
    /// Puts a published bundle in force; see [`sign_off`].
    SignOff(sign_off::Args),
}

/// Builds the parser for `bundle` and its subcommands.
pub fn parser() -> impl Parser<Command> {
    let check = check::parser();
    let sign = sign::parser();
    let publish = publish::parser();
    let sign_off = sign_off::parser();
    bpaf::construct!([check, sign, publish, sign_off])
        .map(Command::Bundle)
        .to_options()
        .descr("A bundle says what is to be served. Check it, sign it, publish it, sign it off.")
        .command("bundle")
        .help("Check, sign, publish and sign off a bundle")
}

/// Runs a subcommand of `bundle`.
///
/// # Errors
///
/// The subcommand's [`CliError`].
pub async fn run(args: Args, out: Output) -> Result<(), CliError> {
    match args {
        Args::Check(args) => check::run(&args, out),
        Args::Sign(args) => sign::run(&args, out),
        Args::Publish(args) => publish::run(&args, out).await,
        Args::SignOff(args) => sign_off::run(&args, out).await,
    }
}

fn read_text(path: &PathBuf) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|err| CliError::file(path, err))
}

fn read_bundle(path: &PathBuf) -> Result<Bundle, CliError> {
    Bundle::from_toml(&read_text(path)?).map_err(|err| CliError::file(path, err))
}

fn read_signed(path: &PathBuf) -> Result<SignedBundle, CliError> {
    let text = read_text(path)?;
    serde_json::from_str(&text).map_err(|err| CliError::file(path, err))
}
