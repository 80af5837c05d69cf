//! Loading settings: the examples are valid, and all faults are reported at once.

use std::path::PathBuf;

use rstest::rstest;
use workshold_node::settings;
use workshold_protocol::bundle::Bundle;
use workshold_protocol::signing::ClusterKey;

fn example_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../config")
}

/// Writes a cluster key and the settings `text` to a folder; returns the settings' path.
fn write_settings(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("workshold-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("cluster.key"), ClusterKey::generate_text()).unwrap();
    std::fs::write(folder.join("entry.toml"), text).unwrap();
    folder.join("entry.toml")
}

fn read_example(name: &str) -> String {
    std::fs::read_to_string(example_folder().join(name)).unwrap()
}

#[rstest]
#[case("parkowisko-entry.toml")]
#[case("sifr-entry.toml")]
fn the_example_settings_are_valid(#[case] name: &str) {
    let path = write_settings(name, &read_example(name));
    assert!(settings::load(&path).is_ok(), "{:?}", settings::load(&path).err());
}

#[rstest]
#[case("parkowisko-bundle.toml")]
#[case("sifr-bundle.toml")]
fn the_example_bundles_are_valid(#[case] name: &str) {
    let bundle = Bundle::from_toml(&read_example(name)).unwrap();
    assert_eq!(bundle.faults(), Vec::new());
}

#[test]
fn all_faults_are_reported_at_once_with_their_keys() {
    let text = read_example("sifr-entry.toml")
        .replace("10.7.0.11:7000", "bole:7000")
        .replace("10.7.0.2:8000", "nowhere")
        .replace("cluster.key", "no.key")
        .replace("[times]", "[times]\nprobe_every = 1000\nreport_ttl = 1000")
        .replace("l2jq6ZzxOScwU6AvZmKkAnGHGxBhAd3Dh0pFC4lyFpQ=", "short");
    let faults = settings::load(&write_settings("faults", &text)).unwrap_err();
    let keys: Vec<_> = faults.iter().map(|fault| fault.key.as_str()).collect();
    let wanted = [
        "node.callers",
        "platform.log",
        "times.report_ttl",
        "trust.cluster_key_file",
        "trust.operators",
    ];
    assert_eq!(keys, wanted, "{faults:#?}");
}

#[rstest]
#[case::unknown_key("[node]\ncolour = \"red\"\n")]
#[case::no_toml("[node")]
#[case::empty("")]
fn invalid_settings_are_refused(#[case] text: &str) {
    assert!(settings::load(&write_settings("unreadable", text)).is_err());
}
