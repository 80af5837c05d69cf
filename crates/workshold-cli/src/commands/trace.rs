//! `workshold trace`: collects the nodes' log lines about one request and its instances.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Parser;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::commands::Command;
use crate::error::CliError;
use crate::output::Output;

/// Arguments of `trace`.
#[derive(Debug, Clone)]
pub struct Args {
    window_ms: u64,
    request: String,
    files: Vec<PathBuf>,
}

/// Builds the parser for `trace`.
pub fn parser() -> impl Parser<Command> {
    let window_ms = bpaf::long("within")
        .help("How long before and after the request what befell its instances is shown, in ms")
        .argument::<u64>("MS")
        .fallback(3_000);
    let request = bpaf::positional::<String>("REQUEST").help("The request's id");
    let files = bpaf::positional::<PathBuf>("FILE").help("Lines that nodes logged").some("no FILE");
    bpaf::construct!(Args { window_ms, request, files })
        .map(Command::Trace)
        .to_options()
        .descr("Puts the lines of all nodes about one request in order, with those about the instances that it was sent to.")
        .footer("Example: workshold trace 4f386ce3e52179bf front-*.log")
        .command("trace")
        .help("Show what befell one request, out of the nodes' logs")
}

/// One line of a node's log.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LogLine {
    /// Time of writing, in ms since the Unix epoch.
    pub at_ms: u64,
    /// All fields of the line, including `at_ms`.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` if it is not a node's log line.
    pub fn parse(text: &str) -> Option<Self> {
        // Log collectors may prepend text, such as a timestamp or a host name.
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at_ms = fields.get("at_ms")?.as_u64()?;
        Some(Self { at_ms, fields })
    }

    /// Whether a text field has this value.
    fn field_is(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }

    /// Renders the line, with its time relative to `from` (ms since the Unix epoch).
    fn render(&self, from: u64) -> String {
        let text = |name: &str| self.fields.get(name).and_then(Value::as_str).unwrap_or_default();
        let shown = ["at_ms", "event", "level", "node", "text", "request"];
        let rest = self.fields.iter().filter(|(name, _)| !shown.contains(&name.as_str()));
        let rest = rest.map(|(name, value)| match value.as_str() {
            Some(value) => format!("{name}={value}"),
            None => format!("{name}={value}"),
        });
        let rest: Vec<String> = rest.collect();
        let ms = self.at_ms as i64 - from as i64;
        let (event, node, what) = (text("event"), text("node"), text("text"));
        format!("{ms:+6} ms  {event}  {node}  {what}  {}", rest.join(" "))
    }
}

/// The lines about a request, and those about the instances that it was sent to from `window_ms`
/// before its first line to `window_ms` after its last. Sorted by time.
pub fn lines_about(all: &[LogLine], request: &str, window_ms: u64) -> Vec<LogLine> {
    let request_lines: Vec<&LogLine> =
        all.iter().filter(|line| line.field_is("request", request)).collect();
    let (Some(first), Some(last)) =
        (request_lines.iter().map(|l| l.at_ms).min(), request_lines.iter().map(|l| l.at_ms).max())
    else {
        return Vec::new();
    };
    let instances: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| line.fields.get("instance").and_then(Value::as_str))
        .collect();
    let is_related = |line: &&LogLine| {
        line.at_ms + window_ms >= first
            && line.at_ms <= last + window_ms
            && !line.fields.contains_key("request")
            && instances.iter().any(|instance| {
                line.field_is("instance", instance)
                    || line.fields.get("order").is_some_and(|o| o.to_string().contains(instance))
            })
    };
    let mut lines: Vec<LogLine> = request_lines.iter().map(|line| (*line).clone()).collect();
    lines.extend(all.iter().filter(is_related).cloned());
    lines.sort_by_key(|line| line.at_ms);
    lines
}

/// Reads the log lines in a file; skips what is not a node's log line.
fn read(path: &Path) -> Result<Vec<LogLine>, CliError> {
    let file = File::open(path).map_err(|err| CliError::file(path, err))?;
    let mut lines = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(|err| CliError::file(path, err))?;
        lines.extend(LogLine::parse(&line));
    }
    Ok(lines)
}

/// Prints the lines about a request, with times relative to its first line.
///
/// # Errors
///
/// [`CliError::File`] if a file cannot be read, [`CliError::Unknown`] if no line names the request.
pub fn run(args: &Args, out: Output) -> Result<(), CliError> {
    let mut all = Vec::new();
    for file in &args.files {
        all.extend(read(file)?);
    }
    let lines = lines_about(&all, &args.request, args.window_ms);
    let Some(from) = lines.iter().find(|l| l.field_is("request", &args.request)).map(|l| l.at_ms)
    else {
        return Err(CliError::Unknown { kind: "request", name: args.request.clone() });
    };
    out.print_result(&lines, |lines| lines.iter().map(|line| line.render(from)).collect());
    Ok(())
}
