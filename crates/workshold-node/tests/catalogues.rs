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
fn the_page_is_what_the_code_says(#[case] name: &str, #[case] reference_page: String) {
    assert_eq!(page(name), reference_page, "write it anew: workshold events");
}

#[test]
fn every_event_has_a_number_of_its_own() {
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}
