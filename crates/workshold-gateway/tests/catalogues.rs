//! Pages, examples and templates say what the code says.

use std::collections::BTreeSet;
use std::path::PathBuf;

use workshold_gateway::events;
use workshold_gateway::events::Event;
use workshold_gateway::metrics;
use workshold_gateway::settings;
use workshold_protocol::Millis;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn the_page_of_events_is_what_the_code_says() {
    let path = root().join("docs/EVENTS-PLATFORM.md");
    if std::env::var_os("WRITE_PAGES").is_some() {
        std::fs::write(&path, events::reference_page()).unwrap();
    }
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, events::reference_page(), "write it anew with WRITE_PAGES=1");
}

#[test]
fn the_page_of_metrics_is_what_the_code_says() {
    let path = root().join("docs/METRICS-PLATFORM.md");
    if std::env::var_os("WRITE_PAGES").is_some() {
        std::fs::write(&path, metrics::reference_page()).unwrap();
    }
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, metrics::reference_page(), "write it anew with WRITE_PAGES=1");
}

#[test]
fn every_event_has_a_number_of_its_own() {
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}

/// The template with every gap filled, as the platform would.
fn filled() -> String {
    let text = std::fs::read_to_string(root().join("deploy/entry.toml")).unwrap();
    let gaps = [
        ("{{node|json}}", "\"front-a-1\""),
        ("{{zone|json}}", "\"hala-a\""),
        ("{{first_start|json}}", "true"),
        ("{{listen.front|json}}", "\"10.1.0.40:8227\""),
        ("{{listen.ready|json}}", "\"10.1.0.40:8220\""),
        ("{{listen.directory|json}}", "\"10.1.0.40:8224\""),
        ("{{bounds.fail_closed|json}}", "false"),
        ("{{inner_port_range.0}}", "7340"),
        ("{{platform.address|json}}", "\"10.200.1.7:8223\""),
    ];
    let text = gaps.iter().fold(text, |text, (gap, value)| text.replace(gap, value));
    let line = |line: &str| match line.split_once("}}").filter(|_| line.starts_with("{{#")) {
        Some((_, rest)) => rest.split("{{/").next().unwrap().replace("{{.}}", "7"),
        None => line.to_owned(),
    };
    text.lines().map(|text| line(text) + "\n").collect()
}

#[test]
fn the_template_fills_in_to_valid_settings() {
    let text = filled();
    assert!(!text.contains("{{"), "{text}");
    let settings = settings::parse(&text).unwrap();
    assert_eq!(settings.bounds.stop_within_s, 7.0);
    assert_eq!(settings.store.parts, 7);
    assert!(!settings.bounds.refuse_stale_keys, "as the platform says");
    assert_eq!(settings.control().to_string(), "10.1.0.40:7340");
}

/// Just before the next answer a configuration is as old as two waits.
/// The store is asked soon enough after any moment at which it answers again, and what it
/// says then has 300 ms to come and to be in force.
#[test]
fn a_question_that_is_lost_makes_nothing_late_whatever_the_bound() {
    for bound in [1_000, 2_000, 3_000, 10_000] {
        let text = filled()
            .replace("config_in_force_ms = 7", &format!("config_in_force_ms = {bound}"))
            .replace("undisturbed_after_ms = 7", &format!("undisturbed_after_ms = {bound}"));
        let settings = settings::parse(&text).unwrap();
        for is_reader in [true, false] {
            let (config, list) =
                (settings.config_poll_rules(is_reader), settings.list_poll_rules(is_reader));
            for long_poll in [config, list] {
                assert!(
                    long_poll.max_delay() + Millis(300) <= Millis(bound),
                    "{bound}: {long_poll:?}"
                );
            }
        }
    }
}

#[test]
fn keys_are_believed_between_two_readings_whatever_the_bound() {
    for (bound, most) in [(800, 1_500), (2_000, 1_500), (3_000, 1_500), (5_000, 1_500)] {
        let text = filled().replace("keys_believed_ms = 7", &format!("keys_believed_ms = {bound}"));
        let settings = settings::parse(&text).unwrap();
        let wait = settings.config_poll_rules(true).wait;
        assert!(wait + wait < settings.max_key_age(), "{bound}: {wait}");
        let is_short = settings.max_key_age() < Millis(1_800);
        assert!(is_short || settings.max_shared_config_age() < settings.max_key_age(), "{bound}");
        assert!(wait.0 <= most, "{bound}: {wait}");
    }
}

#[test]
fn bad_settings_are_named() {
    let good = filled();
    for (from, to, named) in [
        ("name = ", "nam = ", "nam"),
        ("\"10.1.0.40:8227\"", "\"nowhere\"", "callers"),
        ("stop_within_s = 7", "stop_within_s = 0", "stop_within_s"),
        ("parts = 7", "parts = 0", "store.parts"),
    ] {
        let err = settings::parse(&good.replace(from, to)).unwrap_err();
        assert!(err.contains(named), "{err}");
    }
}
