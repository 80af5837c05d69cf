//! `workshold`: the operators' command line.

use std::process::ExitCode;

use workshold_cli::commands;
use workshold_cli::output::Output;

#[expect(clippy::print_stderr, reason = "errors of commands go to standard error")]
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let line = commands::command_line().run();
    let out = Output { json: line.json };
    match commands::run(line.command, out).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            eprintln!("help: {}", err.help());
            ExitCode::from(err.exit_code())
        }
    }
}
