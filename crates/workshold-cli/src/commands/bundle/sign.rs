//! `workshold bundle sign`: validates and signs a bundle, and writes it to a file.

use std::path::PathBuf;

use bpaf::Parser;
use serde::Serialize;
use workshold_protocol::bundle::SignedBundle;

use crate::commands::bundle;
use crate::commands::key_arg;
use crate::error::CliError;
use crate::operator_key;
use crate::output::Output;

/// Arguments of `bundle sign`.
#[derive(Debug, Clone)]
pub struct Args {
    key: PathBuf,
    out: PathBuf,
    file: PathBuf,
}

/// Builds the parser for `bundle sign`.
pub fn parser() -> impl Parser<bundle::Args> {
    let key = key_arg();
    let out = bpaf::long("out").help("Where the signed bundle goes").argument::<PathBuf>("FILE");
    let file = bpaf::positional::<PathBuf>("FILE").help("The bundle, in TOML");
    bpaf::construct!(Args { key, out, file })
        .map(bundle::Args::Sign)
        .to_options()
        .descr("Checks and signs a bundle. Nobody sees it before it is published.")
        .footer("Example: workshold bundle sign --key alice.key --out parking.signed parking.toml")
        .command("sign")
        .help("Sign a bundle")
}

#[derive(Debug, Serialize)]
struct Signed {
    file: String,
    hash: String,
}

/// Signs the bundle with the operator's key.
///
/// # Errors
///
/// [`CliError::Input`] for a bundle with faults, [`CliError::File`] if a file cannot be
/// read or written.
pub fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let bundle = bundle::read_bundle(&args.file)?.into_validated().map_err(CliError::Input)?;
    let key = operator_key::read(&args.key)?;
    let hash = bundle.hash().to_string();
    let signed = SignedBundle::sign(bundle, &key);
    let text = serde_json::to_string_pretty(&signed).expect("a bundle has only text keys");
    std::fs::write(&args.out, text).map_err(|err| CliError::file(&args.out, err))?;
    let result = Signed { file: args.out.display().to_string(), hash };
    out.print_result(&result, |signed| vec![format!("{}: signed {}", signed.file, signed.hash)]);
    Ok(())
}
