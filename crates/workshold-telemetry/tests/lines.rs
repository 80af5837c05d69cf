//! A JSON log line is valid JSON however long the event's fields are.
//!
//! Guards against a log collector that cut 12 to 32 lines of a day near 510 bytes, so that no
//! program could parse them. Most were events of what a steward sees in a domain.

use log::Level;
use log::Record;
use rstest::rstest;
use serde_json::Value;
use workshold_telemetry::lines;

/// Longest line that fits into a collector's buffer of 512 bytes together with its line end.
const MAX_LINE_LEN: usize = 511;

fn line(fields: &[(&str, &str)]) -> String {
    let source = fields.to_vec();
    lines::json(
        1_789_888_840_370,
        "front-hala-e-56",
        &Record::builder()
            .level(Level::Info)
            .target("W1204")
            .args(format_args!("what a steward sees in a domain"))
            .key_values(&source)
            .build(),
    )
}

#[rstest]
#[case::one_long_field(vec!["x".repeat(2_000)])]
#[case::two_long_fields(vec!["x".repeat(300), "y".repeat(900)])]
#[case::characters_that_need_escaping(vec!["\"\n".repeat(400)])]
#[case::multibyte_characters(vec!["ż€".repeat(300)])]
fn a_long_line_is_valid_json_within_the_limit(#[case] long_values: Vec<String>) {
    let mut fields = vec![("domain", "hala-a-d5")];
    let names = ["who", "intends"];
    fields.extend(names.iter().copied().zip(long_values.iter().map(String::as_str)));
    let line = line(&fields);
    assert!(line.len() <= MAX_LINE_LEN, "{} bytes", line.len());
    let parsed: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(parsed["domain"], "hala-a-d5", "short fields are not truncated");
    assert!(
        parsed["who"].as_str().unwrap().ends_with("..."),
        "a truncated value ends with the mark"
    );
}

#[test]
fn a_short_line_is_not_truncated() {
    let parsed: Value = serde_json::from_str(&line(&[("who", &"x".repeat(200))])).unwrap();
    assert_eq!(parsed["who"], "x".repeat(200));
}
