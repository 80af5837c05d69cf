//! `workshold rollout status`: which nodes run the bundle in force and which groups serve.

use bpaf::Parser;
use serde::Serialize;
use workshold_node::dump::Status;

use crate::commands::Command;
use crate::commands::node_arg;
use crate::error::CliError;
use crate::output::Output;
use crate::remote;

/// Arguments of `rollout status`.
#[derive(Debug, Clone)]
pub struct Args {
    node: String,
    wait: Option<u64>,
}

/// Builds the parser for `rollout`.
pub fn parser() -> impl Parser<Command> {
    let node = node_arg();
    let wait = bpaf::long("wait")
        .help("Wait up to so many seconds until all of it is done")
        .argument::<u64>("SECONDS")
        .optional();
    bpaf::construct!(Args { node, wait })
        .map(Command::Rollout)
        .to_options()
        .descr(
            "Shows how far the bundle in force has come: which nodes run it, which groups serve.",
        )
        .footer("Example: workshold rollout status --wait 60")
        .command("status")
        .help("Show how far the bundle has come")
        .to_options()
        .descr("Follows a bundle that was signed off.")
        .command("rollout")
        .help("Follow a bundle that was signed off")
}

/// Progress of the bundle in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Hash of the bundle in force, if there is one.
    pub bundle: Option<String>,
    /// Nodes that run another bundle or none; leaving nodes are not counted.
    pub lagging_nodes: Vec<String>,
    /// Progress of each model in the bundle.
    pub models: Vec<ModelProgress>,
    /// Whether all nodes run the bundle and all wanted groups serve.
    pub done: bool,
}

/// Progress of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ModelProgress {
    /// Name of the model.
    pub model: String,
    /// Number of groups that the bundle asks for.
    pub wanted: usize,
    /// Number of groups that serve, whatever their version.
    pub serving: usize,
    /// Groups that are starting or being dissolved, each with the reason why it does not serve.
    pub others: Vec<String>,
}

/// Shows the progress, with `--wait` once the rollout is done.
///
/// # Errors
///
/// [`CliError::WaitTimeout`] if the rollout is not done within `--wait` seconds.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let progress = match args.wait {
        None => progress(&remote::status(&args.node).await?),
        Some(secs) => {
            let is_done = |status: &Status| Some(progress(status)).filter(|p| p.done);
            remote::wait_for(&args.node, secs, is_done).await?
        }
    };
    out.print_result(&progress, lines);
    Ok(())
}

/// Computes the progress of the bundle in force from a node's status.
pub fn progress(status: &Status) -> Progress {
    let hash = status.bundle.as_ref().map(|bundle| bundle.hash.clone());
    let lagging = status.nodes.iter().filter(|node| node.bundle != hash && !node.leaving);
    let lagging_nodes: Vec<_> = lagging.map(|node| node.node.clone()).collect();
    let wanted = status.bundle.iter().flat_map(|bundle| &bundle.wanted);
    let models: Vec<_> = wanted
        .map(|(model, wanted)| {
            let groups = || status.groups.iter().filter(|group| &group.model == model);
            let others = groups().filter(|group| !group.serving).map(|group| {
                let why = group.why_not.as_deref().unwrap_or("no reason is known");
                format!("{} ({}): {why}", group.group, group.phase)
            });
            ModelProgress {
                model: model.clone(),
                wanted: usize::from(*wanted),
                serving: groups().filter(|group| group.serving).count(),
                others: others.collect(),
            }
        })
        .collect();
    let is_complete =
        |model: &ModelProgress| model.serving >= model.wanted && model.others.is_empty();
    let done = hash.is_some() && lagging_nodes.is_empty() && models.iter().all(is_complete);
    Progress { bundle: hash, lagging_nodes, models, done }
}

fn lines(progress: &Progress) -> Vec<String> {
    let mut lines = vec![match &progress.bundle {
        Some(hash) => format!("bundle {hash}"),
        None => "no bundle is in force".to_owned(),
    }];
    for node in &progress.lagging_nodes {
        lines.push(format!("{node} does not run it yet"));
    }
    for model in &progress.models {
        lines.push(format!("{}: {} of {} groups serve", model.model, model.serving, model.wanted));
        lines.extend(model.others.iter().map(|other| format!("  {other}")));
    }
    lines.push(if progress.done { "done" } else { "not done yet" }.to_owned());
    lines
}
