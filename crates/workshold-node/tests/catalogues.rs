//! The reference pages of events and metrics match the code.

use std::collections::BTreeSet;
use std::path::PathBuf;

use rstest::rstest;
use workshold_node::events;
use workshold_node::events::Event;
use workshold_node::metrics;

fn page(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join("docs").join(name)).unwrap()
}

#[rstest]
#[case::events("EVENTS.md", events::reference_page())]
#[case::metrics("METRICS.md", metrics::reference_page())]
fn the_reference_page_matches_the_code(#[case] name: &str, #[case] reference_page: String) {
    assert_eq!(page(name), reference_page, "write the page anew with `workshold events`");
}

#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}
