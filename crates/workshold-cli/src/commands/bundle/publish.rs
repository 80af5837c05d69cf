//! `workshold bundle publish`: puts a signed bundle where it can be signed off.

use std::path::PathBuf;

use bpaf::Parser;
use serde::Serialize;
use workshold_protocol::record::Fact;

use crate::commands::Writing;
use crate::commands::bundle;
use crate::commands::writing_args;
use crate::error::CliError;
use crate::operator_key;
use crate::output::Output;
use crate::remote;

/// Arguments of `bundle publish`.
#[derive(Debug, Clone)]
pub struct Args {
    writing: Writing,
    file: PathBuf,
}

/// The parser of `bundle publish`.
pub fn parser() -> impl Parser<bundle::Args> {
    let writing = writing_args();
    let file = bpaf::positional::<PathBuf>("FILE").help("The signed bundle");
    bpaf::construct!(Args { writing, file })
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

/// Publishes the bundle and waits until the node knows it.
///
/// # Errors
///
/// [`CliError::Input`] for a bundle with faults; [`CliError::NotYet`] if the node
/// does not take it, as it does not for a key that it does not trust.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let signed = bundle::read_signed(&args.file)?;
    signed.bundle.clone().into_validated().map_err(CliError::Input)?;
    let key = operator_key::read(&args.writing.key)?;
    let hash = signed.bundle.hash().to_string();
    let fact = Fact::BundlePublished(Box::new(signed));
    let offset = remote::append(&args.writing.log, &key, fact).await?;
    out.progress(&format!("appended at {offset}; waiting for {}", args.writing.node));
    let knows =
        |status: &workshold_node::dump::Status| status.published.contains_key(&hash).then_some(());
    remote::wait_for(&args.writing.node, args.writing.wait, knows).await?;
    let result = Published { hash: hash.clone(), offset: offset.0 };
    out.result(&result, |done| vec![format!("published {}", done.hash)]);
    Ok(())
}
