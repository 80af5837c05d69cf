//! Formats a log event as one line of text or JSON.

use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

/// Formats an event as text, for people. `at` is the wall-clock time in milliseconds.
pub fn text(at: u64, node: &str, record: &Record<'_>) -> String {
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

/// Maximum length of a JSON line, in bytes. Log collectors with buffers of 512 bytes, line end
/// included, cut longer lines, which are then no longer valid JSON.
const MAX_JSON_LINE_LEN: usize = 511;
/// Marks the end of a truncated value.
const TRUNCATION_MARK: &str = "...";

/// Formats an event as JSON, for programs. `at` is the wall-clock time in milliseconds. The longest
/// values are truncated until the line fits into `MAX_JSON_LINE_LEN` bytes.
pub fn json(at: u64, node: &str, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("at_ms".to_owned(), at.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("event".to_owned(), record.target().into());
    line.insert("node".to_owned(), node.into());
    line.insert("text".to_owned(), record.args().to_string().into());
    line.extend(fields(record).into_iter().map(|(key, value)| (key, value.into())));
    let mut text = to_json_text(&line);
    while text.len() > MAX_JSON_LINE_LEN
        && truncate_longest(&mut line, text.len() - MAX_JSON_LINE_LEN)
    {
        text = to_json_text(&line);
    }
    text
}

fn to_json_text(line: &Map<String, serde_json::Value>) -> String {
    serde_json::to_string(line).expect("lines have only text keys")
}

/// Truncates the longest value so that the line gets about `excess` bytes shorter. Returns `false`
/// if there is nothing left to truncate.
fn truncate_longest(line: &mut Map<String, serde_json::Value>, excess: usize) -> bool {
    let texts = line.values_mut().filter_map(|value| match value {
        serde_json::Value::String(text) => Some(text),
        _ => None,
    });
    let Some(longest) = texts.max_by_key(|text| text.len()) else { return false };
    let old_len = longest.strip_suffix(TRUNCATION_MARK).unwrap_or(longest).len();
    let max_len = old_len.saturating_sub(excess.div_ceil(2).max(TRUNCATION_MARK.len()));
    let end = (0..=max_len).rev().find(|end| longest.is_char_boundary(*end)).unwrap_or_default();
    longest.truncate(end);
    longest.push_str(TRUNCATION_MARK);
    end > 0
}

/// Replaces line breaks by spaces, since a log line must be one line.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

/// Collects the key-value fields of a record.
struct FieldCollector(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

fn fields(record: &Record<'_>) -> Vec<(String, String)> {
    let mut fields = FieldCollector(Vec::new());
    // Collecting into a vector cannot fail.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}
