//! `workshold rollout status`: who runs what, and who lags.

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

/// The parser of `rollout`.
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

/// How far a bundle has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The bundle in force.
    pub bundle: Option<String>,
    /// Nodes that run another one.
    pub lagging_nodes: Vec<String>,
    /// Each model's groups.
    pub models: Vec<ModelProgress>,
    /// Whether nothing is left to do.
    pub done: bool,
}

/// How far one model has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ModelProgress {
    /// The model.
    pub model: String,
    /// Groups that are wanted.
    pub wanted: usize,
    /// Groups that serve, whatever their version.
    pub serving: usize,
    /// Groups on their way in or out, each with why it does not serve.
    pub others: Vec<String>,
}

/// Shows the progress.
///
/// # Errors
///
/// [`CliError::NotYet`] if it was to be waited for and is not done.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let progress = match args.wait {
        None => progress(&remote::status(&args.node).await?),
        Some(secs) => {
            let is_done = |status: &Status| Some(progress(status)).filter(|p| p.done);
            remote::wait_for(&args.node, secs, is_done).await?
        }
    };
    out.result(&progress, lines);
    Ok(())
}

/// Works out how far the bundle in force has come.
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
    let is_there = |model: &ModelProgress| model.serving >= model.wanted && model.others.is_empty();
    let done = hash.is_some() && lagging_nodes.is_empty() && models.iter().all(is_there);
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
