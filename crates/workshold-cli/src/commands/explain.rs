//! `workshold explain`: shows the steward's decisions about a group.
//!
//! The steward is the node that plans for a fabric domain and sends orders to its instances.

use bpaf::Parser;
use serde_json::Value;

use crate::commands::Command;
use crate::commands::node_arg;
use crate::error::CliError;
use crate::output::Output;
use crate::remote;

/// Arguments of `explain`.
#[derive(Debug, Clone)]
pub struct Args {
    node: String,
    group: String,
}

/// Builds the parser for `explain`.
pub fn parser() -> impl Parser<Command> {
    let node = node_arg();
    let group = bpaf::positional::<String>("GROUP").help("The group");
    bpaf::construct!(Args { node, group })
        .map(Command::Explain)
        .to_options()
        .descr("Shows what a node decided about a group: the inputs, and the options that were rejected.")
        .footer("Example: workshold explain g12-0a1b2c3d-0\nOnly the steward of the group's domain has decided something; ask its node.")
        .command("explain")
        .help("Show why a group was treated as it was")
}

/// Shows the decisions that the node made about the group.
///
/// # Errors
///
/// [`CliError::Node`] if the node does not answer, or has no decision about the group.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let decisions = remote::get_json(&args.node, &format!("/explain/{}", args.group)).await?;
    out.print_result(&decisions, lines);
    Ok(())
}

fn lines(decisions: &Value) -> Vec<String> {
    let rows = decisions.as_array().map(Vec::as_slice).unwrap_or_default();
    rows.iter().flat_map(decision_lines).collect()
}

/// Renders one decision: time, what was decided, the inputs, and the options with their costs.
/// The first option is the one that was taken.
fn decision_lines(row: &Value) -> Vec<String> {
    let decision = &row["decision"];
    let mut lines = vec![format!("{}: {}", row["at_ms"], text(&decision["what"]))];
    let choice = &decision["choice"];
    if let Some(inputs) = choice["situation"].as_object() {
        lines.extend(inputs.iter().map(|(key, value)| format!("  {key} = {value}")));
    }
    for (i, option) in choice["options"].as_array().into_iter().flatten().enumerate() {
        let verdict = if i == 0 { "taken" } else { "rejected" };
        lines.push(format!(
            "  {verdict}: {} at a cost of {:.4} ({:.4} group-hours down, {:.2} accelerator-hours stranded)",
            text(&option["repair"]),
            option["cost"].as_f64().unwrap_or_default(),
            option["down_hours"].as_f64().unwrap_or_default(),
            option["stranded_hours"].as_f64().unwrap_or_default(),
        ));
    }
    lines
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
