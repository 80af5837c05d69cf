//! `workshold bundle publish`: appends a signed bundle to the log, so that it can be signed off.

use std::path::PathBuf;

use bpaf::Parser;
use serde::Serialize;
use workshold_protocol::record::Fact;

use crate::commands::LogWriteArgs;
use crate::commands::bundle;
use crate::commands::log_write_args;
use crate::error::CliError;
use crate::operator_key;
use crate::output::Output;
use crate::remote;

/// Arguments of `bundle publish`.
#[derive(Debug, Clone)]
pub struct Args {
    log_write: LogWriteArgs,
    file: PathBuf,
}

/// Builds the parser for `bundle publish`.
pub fn parser() -> impl Parser<bundle::Args> {
    let log_write = log_write_args();
    let file = bpaf::positional::<PathBuf>("FILE").help("The signed bundle");
    bpaf::construct!(Args { log_write, file })
        .map(bundle::Args::Publish)
        .to_options()
        .descr("Publishes a signed bundle. Nothing changes until it is signed off.")
        .footer("Example: workshold bundle publish --key alice.key parking.signed")
        .command("publish")
        .help("Publish a signed bundle")
}

#[derive(Debug, Serialize)]
struct Published {
    hash: String,
    offset: u64,
}

/// Publishes the bundle and waits until the node lists it as published.
///
/// # Errors
///
/// [`CliError::Input`] for a bundle with faults; [`CliError::WaitTimeout`] if the node does not
/// list the bundle in time, which is also the case if it does not trust the operator's key.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let signed = bundle::read_signed(&args.file)?;
    signed.bundle.clone().into_validated().map_err(CliError::Input)?;
    let key = operator_key::read(&args.log_write.key)?;
    let hash = signed.bundle.hash().to_string();
    let fact = Fact::BundlePublished(Box::new(signed));
    let offset = remote::append(&args.log_write.log, &key, fact).await?;
    out.print_progress(&format!("appended at {offset}; waiting for {}", args.log_write.node));
    let is_published =
        |status: &workshold_node::dump::Status| status.published.contains_key(&hash).then_some(());
    remote::wait_for(&args.log_write.node, args.log_write.wait, is_published).await?;
    let result = Published { hash: hash.clone(), offset: offset.0 };
    out.print_result(&result, |done| vec![format!("published {}", done.hash)]);
    Ok(())
}
