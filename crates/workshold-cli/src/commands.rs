//! All commands, one a file, each with its description and examples.

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

/// A command with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// See [`keygen`].
    Keygen(keygen::Args),
    /// See [`bundle`].
    Bundle(bundle::Args),
    /// See [`rollout`].
    Rollout(rollout::Args),
    /// See [`stop`].
    Stop(stop::Args),
    /// See [`status`].
    Status(status::Args),
    /// See [`explain`].
    Explain(explain::Args),
    /// See [`held`].
    Held(held::Args),
    /// See [`dump`].
    Dump(dump::Args),
    /// See [`check_config`].
    CheckConfig(check_config::Args),
    /// See [`events`].
    Events(events::Args),
    /// See [`trace`].
    Trace(trace::Args),
}

/// What the command line said.
#[derive(Debug, Clone)]
pub struct CommandLine {
    /// Whether to print JSON.
    pub json: bool,
    /// The command.
    pub command: Command,
}

/// The parser of the whole command line.
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

/// Runs a command.
///
/// # Errors
///
/// Whatever kept it from doing what it was asked.
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

/// What every command needs that appends a record and waits for its effect.
#[derive(Debug, Clone)]
pub struct Writing {
    /// The operator's key file.
    pub key: std::path::PathBuf,
    /// The log service's address.
    pub log: String,
    /// A node's address for operators.
    pub node: String,
    /// Seconds to wait.
    pub wait: u64,
}

/// The parser of [`Writing`].
fn writing_args() -> impl Parser<Writing> {
    let key = key_arg();
    let log = log_arg();
    let node = node_arg();
    let wait = wait_arg();
    bpaf::construct!(Writing { key, log, node, wait })
}

/// `--node`, or the variable `WORKSHOLD_NODE`.
fn node_arg() -> impl Parser<String> {
    bpaf::long("node")
        .env("WORKSHOLD_NODE")
        .help("Any node's address for operators, ip:port")
        .argument::<String>("ADDRESS")
}

/// `--log`, or the variable `WORKSHOLD_LOG`.
fn log_arg() -> impl Parser<String> {
    bpaf::long("log")
        .env("WORKSHOLD_LOG")
        .help("The log service's address, ip:port")
        .argument::<String>("ADDRESS")
}

/// `--key`, or the variable `WORKSHOLD_KEY`.
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
