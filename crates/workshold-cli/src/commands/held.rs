//! `workshold held`: lists and releases quarantined requests.
//!
//! Requests are quarantined (held) by their content or by a part of their prompts when instances
//! that began to run them have ended.

use bpaf::Parser;
use serde_json::Value;

use crate::commands::Command;
use crate::commands::node_arg;
use crate::error::CliError;
use crate::output::Output;
use crate::output::table;
use crate::remote;

/// Arguments of `held`.
#[derive(Debug, Clone)]
pub struct Args {
    node: String,
    release: Option<String>,
}

/// Builds the parser for `held`.
pub fn parser() -> impl Parser<Command> {
    let node = node_arg();
    let release = bpaf::long("release")
        .help("Let requests with this fingerprint of their content or of a prompt part go, at all nodes")
        .argument::<String>("FINGERPRINT")
        .optional();
    bpaf::construct!(Args { node, release })
        .map(Command::Held)
        .to_options()
        .descr("Shows which requests are kept from all instances because whoever began to run them has ended.")
        .footer("Example: workshold held --node 10.1.0.40:7340\nWhat still ends instances is held again after three more of them, a prompt part after five.")
        .command("held")
        .help("Show or release requests that are kept from instances")
}

/// Lists the quarantined requests, or releases those with one fingerprint.
///
/// # Errors
///
/// [`CliError::Node`] if the node does not answer, or does not know the fingerprint.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    if let Some(fingerprint) = &args.release {
        remote::delete(&args.node, &format!("/quarantine/{fingerprint}")).await?;
        out.print_progress(&format!("{fingerprint} is let go"));
        return Ok(());
    }
    let state = remote::get_json(&args.node, "/state").await?;
    out.print_result(&state["held"], lines);
    Ok(())
}

/// Renders the quarantined requests as a table.
pub fn lines(held: &Value) -> Vec<String> {
    let rows = held.as_array().map(Vec::as_slice).unwrap_or_default();
    if rows.is_empty() {
        return vec!["nothing is held".to_owned()];
    }
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let seconds = |value: &Value| (value.as_u64().unwrap_or_default() / 1_000).to_string();
    let cells = |row: &Value| {
        vec![
            text(&row["kind"]),
            text(&row["fingerprint"]),
            text(&row["caller"]),
            text(&row["ended"]),
            seconds(&row["for_ms"]),
        ]
    };
    let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
    table(&["held", "fingerprint", "caller", "ended", "for s"], &rows)
}
