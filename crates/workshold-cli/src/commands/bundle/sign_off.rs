//! `workshold bundle sign-off`: puts a published bundle in force.

use bpaf::Parser;
use serde::Serialize;
use workshold_node::dump::Status;
use workshold_protocol::ids::BundleHash;
use workshold_protocol::record::Fact;
use workshold_protocol::record::SignOff;

use crate::commands::LogWriteArgs;
use crate::commands::bundle;
use crate::commands::log_write_args;
use crate::error::CliError;
use crate::operator_key;
use crate::output::Output;
use crate::remote;

/// Arguments of `bundle sign-off`.
#[derive(Debug, Clone)]
pub struct Args {
    log_write: LogWriteArgs,
    parent: Option<String>,
    hash: String,
}

/// Builds the parser for `bundle sign-off`.
pub fn parser() -> impl Parser<bundle::Args> {
    let log_write = log_write_args();
    let parent = bpaf::long("parent")
        .help("The bundle it replaces (default: the one in force at the node)")
        .argument::<String>("HASH")
        .optional();
    let hash = bpaf::positional::<String>("HASH").help("The published bundle");
    bpaf::construct!(Args { log_write, parent, hash })
        .map(bundle::Args::SignOff)
        .to_options()
        .descr("Puts a published bundle in force everywhere. If another operator was faster, says so and changes nothing.")
        .footer("Example: workshold bundle sign-off --key alice.key 0a1b2c...")
        .command("sign-off")
        .help("Put a published bundle in force")
}

#[derive(Debug, Serialize)]
struct SignedOff {
    hash: String,
    offset: u64,
    generation: u64,
}

/// Signs the bundle off and waits until the node has read the record of it.
///
/// # Errors
///
/// [`CliError::LostRace`] if another sign-off came first and another bundle is in force.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let key = operator_key::read(&args.log_write.key)?;
    let bundle = parse_hash(&args.hash)?;
    let status_before = remote::status(&args.log_write.node).await?;
    if !status_before.published.contains_key(&args.hash) {
        return Err(CliError::Unknown { kind: "published bundle", name: args.hash.clone() });
    }
    let in_force = status_before.bundle.map(|bundle| bundle.hash);
    let parent = match args.parent.as_ref().or(in_force.as_ref()) {
        Some(text) => Some(parse_hash(text)?),
        None => None,
    };
    let fact = Fact::BundleSignedOff(SignOff { bundle, parent });
    let offset = remote::append(&args.log_write.log, &key, fact).await?;
    out.print_progress(&format!("appended at {offset}; waiting for {}", args.log_write.node));
    let (winner, generation) =
        remote::wait_for(&args.log_write.node, args.log_write.wait, |status| {
            in_force_after(status, offset.0)
        })
        .await?;
    if winner != args.hash {
        return Err(CliError::LostRace { in_force: winner });
    }
    let result = SignedOff { hash: winner, offset: offset.0, generation };
    out.print_result(&result, |done| {
        vec![format!("{} is in force, as generation {}", done.hash, done.generation)]
    });
    Ok(())
}

/// Hash and generation of the bundle in force, once the node has read past `offset`; `None` until
/// then. Without a bundle in force, the hash is empty.
fn in_force_after(status: &Status, offset: u64) -> Option<(String, u64)> {
    if status.next <= offset {
        return None;
    }
    let bundle = status.bundle.as_ref();
    Some(bundle.map_or((String::new(), 0), |bundle| (bundle.hash.clone(), bundle.generation)))
}

fn parse_hash(text: &str) -> Result<BundleHash, CliError> {
    BundleHash::try_from(text.to_owned()).map_err(CliError::Input)
}
