//! Setting up `fern`: one line an event, text or JSON, to standard error.

use fern::Dispatch;
use log::LevelFilter;
use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;
use workshold_protocol::Clock;
use workshold_protocol::clock::SystemClock;

use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LogSettings;

/// Sends all events where the settings say.
///
/// # Errors
///
/// If logging was set up before in this process.
pub fn init(settings: &LogSettings, node: &str) -> Result<(), log::SetLoggerError> {
    let clock = SystemClock::default();
    let format = settings.format;
    let node = node.to_owned();
    Dispatch::new()
        .level(filter(settings.level))
        .format(move |out, _, record| {
            let at = clock.wall().0;
            match format {
                LogFormat::Text => out.finish(format_args!("{}", text_line(at, &node, record))),
                LogFormat::Json => out.finish(format_args!("{}", json_line(at, &node, record))),
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

fn text_line(at: u64, node: &str, record: &Record<'_>) -> String {
    let mut line = format!(
        "{at} {:5} {} {node} {}",
        record.level(),
        record.target(),
        one_line(&record.args().to_string())
    );
    for (key, value) in fields(record) {
        line.push_str(&format!(" {key}={:?}", one_line(&value)));
    }
    line
}

fn json_line(at: u64, node: &str, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("at_ms".to_owned(), at.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("event".to_owned(), record.target().into());
    line.insert("node".to_owned(), node.into());
    line.insert("text".to_owned(), record.args().to_string().into());
    line.extend(fields(record).into_iter().map(|(key, value)| (key, value.into())));
    serde_json::Value::Object(line).to_string()
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

struct Fields(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Vec<(String, String)> {
    let mut fields = Fields(Vec::new());
    // Collecting into a vector cannot fail.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}
