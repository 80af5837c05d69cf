//! One line an event, text or JSON.

use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

/// A line for people.
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

/// A line for programs.
pub fn json(at: u64, node: &str, record: &Record<'_>) -> String {
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
