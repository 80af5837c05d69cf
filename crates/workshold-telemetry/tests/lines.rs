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
const MOST: usize = 511;

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
#[case::signs_that_grow(vec!["\"\n".repeat(400)])]
#[case::letters_of_several_bytes(vec!["ż€".repeat(300)])]
fn a_long_line_is_whole_json_within_the_bound(#[case] long: Vec<String>) {
    let mut fields = vec![("domain", "hala-a-d5")];
    let names = ["who", "intends"];
    fields.extend(names.iter().copied().zip(long.iter().map(String::as_str)));
    let line = line(&fields);
    assert!(line.len() <= MOST, "{} bytes", line.len());
    let read: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(read["domain"], "hala-a-d5", "short fields stay whole");
    assert!(read["who"].as_str().unwrap().ends_with("..."), "what is cut says so");
}

#[test]
fn a_short_line_says_all() {
    let read: Value = serde_json::from_str(&line(&[("who", &"x".repeat(200))])).unwrap();
    assert_eq!(read["who"], "x".repeat(200));
}
