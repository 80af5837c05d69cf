//! Sets up logging with `fern`: one line per event, as text or JSON, to standard error.

use fern::Dispatch;
use log::LevelFilter;
use workshold_protocol::Clock;
use workshold_protocol::clock::SystemClock;
use workshold_telemetry::lines;

use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LogSettings;

/// Installs the process's logger with the level and format of the settings. Each line
/// carries the wall-clock time and the name of the node.
///
/// # Errors
///
/// If a logger is installed already in this process.
pub fn init(settings: &LogSettings, node: &str) -> Result<(), log::SetLoggerError> {
    let clock = SystemClock::default();
    let format = settings.format;
    let node = node.to_owned();
    Dispatch::new()
        .level(filter(settings.level))
        .format(move |out, _, record| {
            let at = clock.wall().0;
            match format {
                LogFormat::Text => out.finish(format_args!("{}", lines::text(at, &node, record))),
                LogFormat::Json => out.finish(format_args!("{}", lines::json(at, &node, record))),
            }
        })
        .chain(std::io::stderr())
        .apply()
}

const fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
