//! The `workshold-entry` binary: runs one entry node.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use workshold_node::daemon;
use workshold_node::logging;
use workshold_node::settings;

/// A signal stopped the node, but some requests or connections were aborted.
const EXIT_ABORTED: u8 = 3;
/// The node could not start, or a background task ended.
const EXIT_FAILED: u8 = 1;
/// The settings are invalid.
const EXIT_SETTINGS: u8 = 2;

fn options() -> bpaf::OptionParser<PathBuf> {
    bpaf::long("settings")
        .short('s')
        .help("The node's settings, in TOML")
        .argument::<PathBuf>("FILE")
        .to_options()
        .descr("Runs one entry node of workshold until a signal stops it.")
        .footer("SIGTERM stops it with a plan, a second one at once; SIGUSR1 prints its state.")
        .version(env!("CARGO_PKG_VERSION"))
}

#[expect(clippy::print_stderr, reason = "logging is not set up yet")]
#[tokio::main]
async fn main() -> ExitCode {
    let file = options().run();
    let checked = match settings::load(&file) {
        Ok(checked) => checked,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if let Err(err) = logging::init(&checked.settings.log, checked.settings.node.name.as_str()) {
        eprintln!("cannot set up logging: {err}");
        return ExitCode::from(EXIT_FAILED);
    }
    match daemon::run(checked).await {
        Ok(summary) if summary.aborted == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_ABORTED),
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
