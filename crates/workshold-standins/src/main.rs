//! `workshold-dev`: runs stand-ins and a load generator, for development only.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use workshold_protocol::Millis;
use workshold_standins::commands;
use workshold_standins::commands::ask::Question;
use workshold_standins::load::Load;

#[derive(Debug, Clone)]
enum Command {
    Platform { layout: Option<PathBuf> },
    Prepare { layout: Option<PathBuf>, folder: PathBuf },
    Load { layout: Option<PathBuf>, rate: f64, secs: u64, tokens: u32, team: String, seed: u64 },
    Fault { layout: Option<PathBuf>, fault: String },
    Key,
    Sample { pid: u32, operators: String, secs: u64 },
    Compare { layout: Option<PathBuf>, pairs: u32, tokens: u32 },
    Ask { question: Question },
}

fn layout() -> impl Parser<Option<PathBuf>> {
    bpaf::long("layout").help("The layout, in TOML").argument::<PathBuf>("FILE").optional()
}

fn options() -> bpaf::OptionParser<Command> {
    let platform = platform();
    let prepare = prepare();
    let load = load();
    let fault = fault();
    let key = key();
    let ask = ask();
    let sample = sample();
    let compare = compare();
    bpaf::construct!([platform, prepare, load, fault, key, ask, sample, compare])
        .to_options()
        .descr("Stand-ins for the platform and the engines, and a load tool. Development only.")
}

fn platform() -> impl Parser<Command> {
    let layout = layout();
    bpaf::construct!(Command::Platform { layout })
        .to_options()
        .descr("Runs all stand-ins until it is stopped.")
        .command("platform")
}

fn prepare() -> impl Parser<Command> {
    let layout = layout();
    let folder = bpaf::positional::<PathBuf>("FOLDER");
    bpaf::construct!(Command::Prepare { layout, folder })
        .to_options()
        .descr("Writes keys, settings and a bundle into a folder.")
        .command("prepare")
}

fn load() -> impl Parser<Command> {
    let layout = layout();
    let rate = bpaf::long("rate").help("Requests a second").argument::<f64>("N").fallback(20.0);
    let secs = bpaf::long("secs").help("For how long").argument::<u64>("N").fallback(10);
    let tokens = bpaf::long("tokens").help("Tokens of an answer").argument::<u32>("N").fallback(40);
    let team = bpaf::long("team").argument::<String>("TEAM").fallback("travel".to_owned());
    let seed = bpaf::long("seed").argument::<u64>("N").fallback(1);
    bpaf::construct!(Command::Load { layout, rate, secs, tokens, team, seed })
        .to_options()
        .descr("Makes load, checks every answer byte for byte, and prints counts and times.")
        .command("load")
}

fn fault() -> impl Parser<Command> {
    let layout = layout();
    let fault = bpaf::positional::<String>("JSON").help("For example {\"log_down\":true}");
    bpaf::construct!(Command::Fault { layout, fault })
        .to_options()
        .descr("Makes something go wrong in the running stand-ins.")
        .command("fault")
}

fn key() -> impl Parser<Command> {
    bpaf::pure(Command::Key).to_options().descr("Prints a fresh idempotency key.").command("key")
}

fn ask() -> impl Parser<Command> {
    let headers = bpaf::long("header").argument::<String>("NAME:VALUE").many();
    let data = bpaf::long("data").argument::<String>("TEXT").optional();
    let address = bpaf::positional::<String>("ADDRESS");
    let path = bpaf::positional::<String>("PATH");
    let question = bpaf::construct!(Question { headers, data, address, path });
    bpaf::construct!(Command::Ask { question })
        .to_options()
        .descr("Makes one HTTP request and prints the answer as it comes.")
        .command("ask")
}

fn sample() -> impl Parser<Command> {
    let pid = bpaf::long("pid").argument::<u32>("PID");
    let operators = bpaf::long("operators").argument::<String>("ADDRESS");
    let secs = bpaf::long("secs").argument::<u64>("N").fallback(10);
    bpaf::construct!(Command::Sample { pid, operators, secs })
        .to_options()
        .descr("Prints what one entry node uses up over some time.")
        .command("sample")
}

fn compare() -> impl Parser<Command> {
    let layout = layout();
    let pairs = bpaf::long("pairs").argument::<u32>("N").fallback(300);
    let tokens = bpaf::long("tokens").argument::<u32>("N").fallback(4);
    bpaf::construct!(Command::Compare { layout, pairs, tokens })
        .to_options()
        .descr("Asks an engine directly and through an entry node in turn, and prints the ratio.")
        .command("compare")
}

async fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Platform { layout } => {
            commands::platform::run(commands::platform::read_layout(layout.as_ref())?).await
        }
        Command::Prepare { layout, folder } => {
            let layout = commands::platform::read_layout(layout.as_ref())?;
            commands::prepare::run(&layout, &folder, "").map_err(|err| err.to_string())
        }
        Command::Load { layout, rate, secs, tokens, team, seed } => {
            let layout = commands::platform::read_layout(layout.as_ref())?;
            let load = Load {
                entries: (0..layout.entries).map(|i| layout.callers(i)).collect(),
                model: "assistant".to_owned(),
                team: Some(team),
                rate,
                time: Millis::from_secs(secs),
                tokens: (tokens / 2, tokens),
                prefixes: 16,
                deadline: Millis::from_secs(30),
                seed,
            };
            commands::load::run(load).await
        }
        Command::Fault { layout, fault } => {
            let layout = commands::platform::read_layout(layout.as_ref())?;
            commands::fault::run(&layout, &fault).await
        }
        Command::Ask { question } => commands::ask::run(question).await,
        Command::Sample { pid, operators, secs } => {
            commands::sample::run(pid, &operators, secs).await
        }
        Command::Compare { layout, pairs, tokens } => {
            let layout = commands::platform::read_layout(layout.as_ref())?;
            commands::compare::run(&layout, pairs, tokens).await
        }
        Command::Key => {
            commands::key::run();
            Ok(())
        }
    }
}

#[expect(clippy::print_stderr, reason = "this is where a command says what went wrong")]
#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
