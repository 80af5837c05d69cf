//! `workshold dump`: all of a node's state.

use bpaf::Parser;

use crate::commands::Command;
use crate::commands::node_arg;
use crate::error::CliError;
use crate::output::Output;
use crate::remote;

/// Arguments of `dump`.
#[derive(Debug, Clone)]
pub struct Args {
    node: String,
}

/// Builds the parser for `dump`.
pub fn parser() -> impl Parser<Command> {
    let node = node_arg();
    bpaf::construct!(Args { node })
        .map(Command::Dump)
        .to_options()
        .descr("Prints all of a node's state as JSON. It has no prompt, answer or key in it.")
        .footer("Example: workshold dump --node 10.0.0.1:7002")
        .command("dump")
        .help("Print a node's state")
}

/// Prints the state; always as JSON.
///
/// # Errors
///
/// [`CliError::Node`] if the node does not answer.
pub async fn run(args: &Args) -> Result<(), CliError> {
    let state = remote::get_json(&args.node, "/debug/state").await?;
    Output { json: true }.print_result(&state, |_| Vec::new());
    Ok(())
}
