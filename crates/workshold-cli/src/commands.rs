//! The subcommands of `workshold`, one module each, with their arguments and help texts.

pub mod bundle;
pub mod check_config;
pub mod dump;
pub mod events;
pub mod explain;
pub mod held;
pub mod keygen;
pub mod rollout;
pub mod status;
pub mod stop;
pub mod trace;

use bpaf::Parser;

use crate::error::CliError;
use crate::output::Output;

/// A subcommand with its parsed arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// Creates a key; see [`keygen`].
    Keygen(keygen::Args),
    /// Checks, signs, publishes or signs off a bundle; see [`bundle`].
    Bundle(bundle::Args),
    /// Shows how far the bundle in force is rolled out; see [`rollout`].
    Rollout(rollout::Args),
    /// Takes an instance out of service; see [`stop`].
    Stop(stop::Args),
    /// Shows nodes, groups and instances; see [`status`].
    Status(status::Args),
    /// Shows the steward's decisions about a group; see [`explain`].
    Explain(explain::Args),
    /// Lists or releases quarantined requests; see [`held`].
    Held(held::Args),
    /// Prints a node's state; see [`dump`].
    Dump(dump::Args),
    /// Validates a node's settings; see [`check_config`].
    CheckConfig(check_config::Args),
    /// Prints the catalogues of events and metrics; see [`events`].
    Events(events::Args),
    /// Collects the log lines about one request; see [`trace`].
    Trace(trace::Args),
}

/// The parsed command line.
#[derive(Debug, Clone)]
pub struct CommandLine {
    /// Whether to print one JSON value instead of lines of text.
    pub json: bool,
    /// The subcommand to run.
    pub command: Command,
}

/// Builds the parser for the whole command line, including `--help` and `--version`.
pub fn command_line() -> bpaf::OptionParser<CommandLine> {
    let json = bpaf::long("json").help("Print one JSON value instead of lines").switch();
    let keygen = keygen::parser();
    let bundle = bundle::parser();
    let rollout = rollout::parser();
    let stop = stop::parser();
    let status = status::parser();
    let explain = explain::parser();
    let held = held::parser();
    let dump = dump::parser();
    let check_config = check_config::parser();
    let events = events::parser();
    let trace = trace::parser();
    let command = bpaf::construct!([
        keygen,
        bundle,
        rollout,
        stop,
        status,
        explain,
        held,
        dump,
        check_config,
        events,
        trace,
    ]);
    bpaf::construct!(CommandLine { json, command })
        .to_options()
        .descr("Operates a workshold deployment: through its signed-off bundle, and by stopping instances with a plan.")
        .footer("Exit codes: 0 done, 2 bad input, 3 another operator was faster, 4 no answer, 5 not done in time.\nShell completion: workshold --bpaf-complete-style-bash (or -zsh, -fish, -elvish).")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Runs a subcommand and prints its result to `out`.
///
/// # Errors
///
/// The subcommand's [`CliError`], which also determines the exit code.
pub async fn run(command: Command, out: Output) -> Result<(), CliError> {
    match command {
        Command::Keygen(args) => keygen::run(&args, out),
        Command::Bundle(args) => bundle::run(args, out).await,
        Command::Rollout(args) => rollout::run(&args, out).await,
        Command::Stop(args) => stop::run(&args, out).await,
        Command::Status(args) => status::run(&args, out).await,
        Command::Explain(args) => explain::run(&args, out).await,
        Command::Held(args) => held::run(&args, out).await,
        Command::Dump(args) => dump::run(&args).await,
        Command::CheckConfig(args) => check_config::run(&args, out),
        Command::Trace(args) => trace::run(&args, out),
        Command::Events(_) => {
            events::run(out);
            Ok(())
        }
    }
}

/// Arguments of the commands that append a record to the log and wait until a node has applied it.
#[derive(Debug, Clone)]
pub struct LogWriteArgs {
    /// File with the operator's signing key.
    pub key: std::path::PathBuf,
    /// Address of the log service, `ip:port`.
    pub log: String,
    /// A node's operator address, `ip:port`.
    pub node: String,
    /// Seconds to wait for the record's effect.
    pub wait: u64,
}

/// Builds the parser for [`LogWriteArgs`].
fn log_write_args() -> impl Parser<LogWriteArgs> {
    let key = key_arg();
    let log = log_arg();
    let node = node_arg();
    let wait = wait_arg();
    bpaf::construct!(LogWriteArgs { key, log, node, wait })
}

/// `--node`, or the environment variable `WORKSHOLD_NODE`.
fn node_arg() -> impl Parser<String> {
    bpaf::long("node")
        .env("WORKSHOLD_NODE")
        .help("Any node's address for operators, ip:port")
        .argument::<String>("ADDRESS")
}

/// `--log`, or the environment variable `WORKSHOLD_LOG`.
fn log_arg() -> impl Parser<String> {
    bpaf::long("log")
        .env("WORKSHOLD_LOG")
        .help("The log service's address, ip:port")
        .argument::<String>("ADDRESS")
}

/// `--key`, or the environment variable `WORKSHOLD_KEY`.
fn key_arg() -> impl Parser<std::path::PathBuf> {
    bpaf::long("key")
        .env("WORKSHOLD_KEY")
        .help("Your key file, as `workshold keygen` writes it")
        .argument::<std::path::PathBuf>("FILE")
}

/// `--wait`, in seconds.
fn wait_arg() -> impl Parser<u64> {
    bpaf::long("wait")
        .help("How many seconds to wait for it to be done (default 60)")
        .argument::<u64>("SECONDS")
        .fallback(60)
}
