//! `workshold-gateway`: the binary that runs one entry node on the users' platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use workshold_gateway::daemon;
use workshold_gateway::settings;
use workshold_http::dial::Dial;
use workshold_http::dial::ProxyDialer;
use workshold_http::dial::TcpDialer;
use workshold_http::signals::Signals;
use workshold_telemetry::log::LevelFilter;
use workshold_telemetry::writer;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "WORKSHOLD_CONFIG";
/// Exit code if the node cannot start, or a background task of it ends.
const EXIT_FAILED: u8 = 1;
/// Exit code if the settings file is missing or invalid.
const EXIT_SETTINGS: u8 = 2;

#[derive(Debug, Clone)]
struct Options {
    settings: PathBuf,
    instance_proxy: Option<SocketAddr>,
    is_check: bool,
}

fn options() -> bpaf::OptionParser<Options> {
    let settings = bpaf::long("settings")
        .short('s')
        .env(SETTINGS_VARIABLE)
        .help("The node's settings, in TOML")
        .argument::<PathBuf>("FILE");
    let instance_proxy = bpaf::long("instance-proxy")
        .help("Reach instances through the HTTP proxy (CONNECT) at this address")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let is_check = bpaf::long("check").help("Check the settings and end").switch();
    bpaf::construct!(Options { settings, instance_proxy, is_check })
        .to_options()
        .descr("Runs one entry node of workshold until a signal stops it.")
        .footer(
            "SIGTERM stops it with a plan, SIGHUP reads the settings, SIGUSR1 prints its state.",
        )
        .version(workshold_gateway::VERSION)
}

#[expect(clippy::print_stderr, reason = "the logger is not running yet")]
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options().run();
    let signals = match Signals::new() {
        Ok(signals) => signals,
        Err(err) => {
            eprintln!("cannot install signal handlers: {err}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let settings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}; {}", err.help());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.is_check {
        return ExitCode::SUCCESS;
    }
    let queue = match writer::init(LevelFilter::Info, &settings.node.name) {
        Ok(queue) => queue,
        Err(err) => {
            eprintln!("cannot start the log writer: {err}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let dialer: Box<dyn Dial> = match options.instance_proxy {
        Some(proxy) => Box::new(ProxyDialer::new(proxy)),
        None => Box::new(TcpDialer),
    };
    let ended = daemon::run(settings, options.settings, signals, dialer).await;
    if let Err(err) = &ended {
        eprintln!("{err}");
    }
    queue.shut_down(daemon::LOG_FLUSH_TIMEOUT);
    if ended.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) }
}
