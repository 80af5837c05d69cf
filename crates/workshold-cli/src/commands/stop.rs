//! `workshold stop`: takes an instance out of service, after printing the steps.

use bpaf::Parser;
use serde::Serialize;
use workshold_node::dump::InstanceRow;
use workshold_node::dump::Status;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::record::Fact;
use workshold_protocol::record::StopRequest;

use crate::commands::Command;
use crate::commands::LogWriteArgs;
use crate::commands::log_write_args;
use crate::error::CliError;
use crate::operator_key;
use crate::output::Output;
use crate::remote;

/// Arguments of `stop`.
#[derive(Debug, Clone)]
pub struct Args {
    log_write: LogWriteArgs,
    plan: bool,
    undo: bool,
    instance: String,
}

/// Builds the parser for `stop`.
pub fn parser() -> impl Parser<Command> {
    let log_write = log_write_args();
    let plan = bpaf::long("plan").help("Print the plan and change nothing").switch();
    let undo = bpaf::long("undo").help("Let the instance serve again").switch();
    let instance = bpaf::positional::<String>("INSTANCE").help("The instance");
    bpaf::construct!(Args { log_write, plan, undo, instance })
        .map(Command::Stop)
        .to_options()
        .descr("Prints the plan for taking an instance out of service, and carries it out. No request in flight is cut off.")
        .footer("Example: workshold stop --key alice.key engine-3\n         workshold stop --plan engine-3")
        .command("stop")
        .help("Take an instance out of service with a plan")
}

/// The steps and effect of stopping an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StopPlan {
    /// The instance to stop.
    pub instance: String,
    /// The steps in order, as sentences for the operator.
    pub steps: Vec<String>,
    /// Whether the instance's group is down until other instances are free.
    pub downtime: bool,
}

#[derive(Debug, Serialize)]
struct Stopped {
    instance: String,
    stopped: bool,
}

/// Prints the plan; without `--plan`, also requests the stop and waits until the instance is free.
///
/// # Errors
///
/// [`CliError::WaitTimeout`] if the instance is not free in time; the stop continues regardless.
pub async fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let status = remote::status(&args.log_write.node).await?;
    let plan = plan(&status, &args.instance)?;
    if args.plan {
        out.print_result(&plan, |plan| plan.steps.clone());
        return Ok(());
    }
    let key = operator_key::read(&args.log_write.key)?;
    let instance = InstanceId::new(&args.instance).map_err(CliError::Input)?;
    let request = StopRequest { instance, stop: !args.undo };
    if !args.undo {
        plan.steps.iter().for_each(|step| out.print_progress(step));
    }
    let offset = remote::append(&args.log_write.log, &key, Fact::StopRequested(request)).await?;
    let is_done = |status: &Status| {
        let row = find_instance(status, &args.instance).ok()?;
        let is_free = row.claimed_by.is_none() && row.says.is_none();
        (status.next > offset.0 && (args.undo || is_free)).then_some(())
    };
    remote::wait_for(&args.log_write.node, args.log_write.wait, is_done).await?;
    let stopped = Stopped { instance: args.instance.clone(), stopped: !args.undo };
    out.print_result(&stopped, |done| {
        vec![if done.stopped {
            format!("{} is in no group and can be switched off", done.instance)
        } else {
            format!("{} may serve again", done.instance)
        }]
    });
    Ok(())
}

fn find_instance<'a>(status: &'a Status, instance: &str) -> Result<&'a InstanceRow, CliError> {
    let row = status.instances.iter().find(|row| row.instance.as_str() == instance);
    row.ok_or_else(|| CliError::Unknown { kind: "instance", name: instance.to_owned() })
}

/// Computes the steps of stopping an instance from a node's status. There is no downtime if the
/// domain has enough free instances for a replacement group.
///
/// # Errors
///
/// [`CliError::Unknown`] if the status lists no such instance.
pub fn plan(status: &Status, instance: &str) -> Result<StopPlan, CliError> {
    let row = find_instance(status, instance)?;
    let Some(claim) = &row.claimed_by else {
        let steps = vec![format!("{instance} is in no group: it will not be taken for one")];
        return Ok(StopPlan { instance: instance.to_owned(), steps, downtime: false });
    };
    let group = status.groups.iter().find(|group| &group.group == claim);
    let (size, domain) =
        group.map_or((0, String::new()), |group| (group.members.len(), group.domain.clone()));
    let free = status
        .instances
        .iter()
        .filter(|other| {
            let idle = other.claimed_by.is_none() && other.says.is_none();
            idle && !other.leaving && !other.stopping && other.domain == domain
        })
        .count();
    let has_replacement = free >= size;
    let first_step = if has_replacement {
        format!(
            "form a group of {size} of the {free} free instances of {domain}, and wait until it serves"
        )
    } else {
        format!(
            "{free} of {size} instances needed are free in {domain}: {claim} is down until others are"
        )
    };
    let steps = vec![
        first_step,
        format!("send {claim} no new work, and let it finish what it has"),
        format!("end {claim}, and free its {size} instances"),
        format!("{instance} can then be switched off; the others can be used again"),
    ];
    Ok(StopPlan { instance: instance.to_owned(), steps, downtime: !has_replacement })
}
