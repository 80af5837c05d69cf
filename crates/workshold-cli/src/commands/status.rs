//! `workshold status`: nodes, groups and instances.

use bpaf::Parser;
use workshold_node::dump::Status;

use crate::commands::Command;
use crate::commands::node_arg;
use crate::error::CliError;
use crate::output::Output;
use crate::output::table;
use crate::remote;

/// Arguments of `status`.
#[derive(Debug, Clone)]
pub struct Args {
    node: String,
}

/// Builds the parser for `status`.
pub fn parser() -> impl Parser<Command> {
    let node = node_arg();
    bpaf::construct!(Args { node })
        .map(Command::Status)
        .to_options()
        .descr("Shows the bundle in force, the nodes, the groups and the instances.")
        .footer("Example: workshold status --node 10.0.0.1:7002")
        .command("status")
        .help("Show nodes, groups and instances")
}

/// Fetches and prints the status.
///
/// # Errors
///
/// [`CliError::Node`] if the node does not answer.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let status = remote::status(&args.node).await?;
    out.print_result(&status, lines);
    Ok(())
}

/// Renders the status: a summary line and tables of nodes, groups and instances.
pub fn lines(status: &Status) -> Vec<String> {
    let mut lines = vec![summary_line(status)];
    lines.extend(node_lines(status));
    lines.push(String::new());
    lines.extend(group_lines(status));
    lines.push(String::new());
    lines.extend(instance_lines(status));
    lines
}

fn summary_line(status: &Status) -> String {
    let bundle = match &status.bundle {
        Some(bundle) => {
            format!("bundle {} (generation {}, {})", bundle.name, bundle.generation, bundle.hash)
        }
        None => "no bundle is in force".to_owned(),
    };
    let log = if status.log_answers { "the log answers" } else { "the log does not answer" };
    format!("{}: {bundle}; {log}; read up to {}", status.node, status.next)
}

fn node_lines(status: &Status) -> Vec<String> {
    let rows: Vec<_> = status
        .nodes
        .iter()
        .map(|node| {
            let state = match (node.leaving, node.ready) {
                (true, _) => "leaving",
                (false, true) => "serves",
                (false, false) => "not ready",
            };
            let ago = node.asked_ms_ago.map_or("-".to_owned(), |ago| ago.to_string());
            let bundle = node.bundle.as_deref().unwrap_or("-");
            let bundle = bundle.chars().take(12).collect();
            vec![
                node.node.clone(),
                node.data_centre.clone(),
                state.to_owned(),
                bundle,
                node.next.to_string(),
                node.in_flight.to_string(),
                ago,
            ]
        })
        .collect();
    table(&["node", "data centre", "state", "bundle", "log", "in flight", "heard"], &rows)
}

fn group_lines(status: &Status) -> Vec<String> {
    let rows: Vec<_> = status
        .groups
        .iter()
        .map(|group| {
            let state = if group.serving { "serves" } else { group.phase.as_str() };
            let members: Vec<_> = group.members.iter().map(ToString::to_string).collect();
            vec![
                group.group.to_string(),
                format!("{}@{}", group.model, group.version),
                group.role.clone(),
                group.domain.clone(),
                state.to_owned(),
                members.join(","),
                group.why_not.clone().unwrap_or_default(),
            ]
        })
        .collect();
    table(&["group", "model", "role", "domain", "state", "members", "why not"], &rows)
}

fn instance_lines(status: &Status) -> Vec<String> {
    let rows: Vec<_> = status
        .instances
        .iter()
        .map(|instance| {
            let flags = match (instance.leaving, instance.stopping) {
                (true, _) => "leaving",
                (false, true) => "stopping",
                (false, false) => "",
            };
            let claim = instance.claimed_by.as_ref().map_or("-".to_owned(), ToString::to_string);
            let age = instance.report_age_ms.map_or("-".to_owned(), |age| age.to_string());
            vec![
                instance.instance.to_string(),
                claim,
                instance.says.clone().unwrap_or_else(|| "-".to_owned()),
                age,
                flags.to_owned(),
            ]
        })
        .collect();
    table(&["instance", "claimed by", "says", "report", ""], &rows)
}
