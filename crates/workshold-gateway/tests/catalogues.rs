//! Checks that the reference pages and the settings template agree with the code.

use std::collections::BTreeSet;
use std::path::PathBuf;

use rstest::rstest;
use workshold_gateway::events;
use workshold_gateway::events::Event;
use workshold_gateway::metrics;
use workshold_gateway::settings;
use workshold_protocol::Millis;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn events_page_is_up_to_date() {
    let path = root().join("docs/EVENTS-PLATFORM.md");
    if std::env::var_os("WRITE_PAGES").is_some() {
        std::fs::write(&path, events::reference_page()).unwrap();
    }
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, events::reference_page(), "regenerate it with WRITE_PAGES=1");
}

#[test]
fn metrics_page_is_up_to_date() {
    let path = root().join("docs/METRICS-PLATFORM.md");
    if std::env::var_os("WRITE_PAGES").is_some() {
        std::fs::write(&path, metrics::reference_page()).unwrap();
    }
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(page, metrics::reference_page(), "regenerate it with WRITE_PAGES=1");
}

#[test]
fn event_numbers_are_unique() {
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}

/// The settings template with all placeholders filled as the platform does.
fn filled_template() -> String {
    let text = std::fs::read_to_string(root().join("deploy/entry.toml")).unwrap();
    let placeholders = [
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
    let text = placeholders
        .iter()
        .fold(text, |text, (placeholder, value)| text.replace(placeholder, value));
    let line = |line: &str| match line.split_once("}}").filter(|_| line.starts_with("{{#")) {
        Some((_, rest)) => rest.split("{{/").next().unwrap().replace("{{.}}", "7"),
        None => line.to_owned(),
    };
    text.lines().map(|text| line(text) + "\n").collect()
}

#[test]
fn filled_template_is_valid() {
    let text = filled_template();
    assert!(!text.contains("{{"), "{text}");
    let settings = settings::parse(&text).unwrap();
    assert_eq!(settings.bounds.stop_within_s, 7.0);
    assert_eq!(settings.store.parts, 7);
    assert!(!settings.bounds.refuse_stale_keys, "as the platform says");
    assert_eq!(settings.control().to_string(), "10.1.0.40:7340");
}

/// However the store comes back, a poll that it answers must be sent early enough to leave 300 ms
/// of the bound for the answer to arrive and take effect.
#[test]
fn a_lost_poll_delays_no_change_beyond_the_bound() {
    for bound in [1_000, 2_000, 3_000, 10_000] {
        let text = filled_template()
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

/// Just before the answer to a poll a configuration is as old as two waits.
#[test]
fn keys_stay_trusted_between_two_polls_at_any_bound() {
    for (bound, most) in [(800, 1_500), (2_000, 1_500), (3_000, 1_500), (5_000, 1_500)] {
        let text = filled_template()
            .replace("keys_believed_ms = 7", &format!("keys_believed_ms = {bound}"));
        let settings = settings::parse(&text).unwrap();
        let wait = settings.config_poll_rules(true).wait;
        assert!(wait + wait < settings.max_key_age(), "{bound}: {wait}");
        let is_short = settings.max_key_age() < Millis(1_800);
        assert!(is_short || settings.max_shared_config_age() < settings.max_key_age(), "{bound}");
        assert!(wait.0 <= most, "{bound}: {wait}");
    }
}

#[test]
fn errors_name_the_invalid_setting() {
    let good = filled_template();
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

/// Guards against memories without bound, and against a section that changes what it does not say.
#[test]
fn demand_memory_is_within_its_bounds() {
    let template = filled_template();
    assert!(settings::parse(&template).unwrap().admission.is_some());
    let good = template.replace("[admission]\n", "");
    for value in ["-1.0", "600.1", "nan", "inf"] {
        let text = format!("{good}\n[admission]\ndemand_memory_s = {value}\n");
        let err = settings::parse(&text).unwrap_err();
        assert!(err.contains("admission.demand_memory_s"), "{err}");
    }
    let err = settings::parse(&format!("{good}\n[admission]\nmemory = 1\n")).unwrap_err();
    assert!(err.contains("memory"), "{err}");
    let memory = |text: &str| settings::parse(&format!("{good}\n{text}")).unwrap().demand_memory();
    assert_eq!(memory(""), Millis::ZERO);
    assert_eq!(memory("[admission]\n"), Millis::from_secs(40));
    assert_eq!(memory("[admission]\ndemand_memory_s = 0\n"), Millis::ZERO);
}

/// Guards against admission settings that refuse everything, limit nothing, or are not numbers.
#[rstest]
#[case("horizon_ms = 0")]
#[case("target_fill = 0.0")]
#[case("target_fill = 1.1")]
#[case("target_fill = nan")]
#[case("returning_share = -0.1")]
#[case("returning_share = inf")]
fn admission_settings_are_within_their_bounds(#[case] line: &str) {
    let good = filled_template().replace("[admission]\n", "");
    let err = settings::parse(&format!("{good}\n[admission]\n{line}\n")).unwrap_err();
    let name = line.split(' ').next().unwrap();
    assert!(err.contains(&format!("admission.{name}")), "{err}");
}
