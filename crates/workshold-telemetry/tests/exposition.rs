//! Metrics that are emitted through `cadence` appear in the Prometheus text format.

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use workshold_telemetry::exposition::Exposition;

#[test]
fn counters_gauges_and_timers_appear_in_the_prometheus_format() {
    let exposition = Exposition::default();
    let client = StatsdClient::from_sink("workshold", exposition.clone());
    client.count("requests", 2).unwrap();
    client.count("requests", 3).unwrap();
    client.gauge("in_flight", 7_u64).unwrap();
    client.time("first_event_ms", 170).unwrap();
    let text = String::from_utf8(exposition.text().unwrap()).unwrap();
    for line in [
        "workshold_requests 5",
        "workshold_in_flight 7",
        "workshold_first_event_ms_bucket{le=\"150\"} 0",
        "workshold_first_event_ms_bucket{le=\"200\"} 1",
        "workshold_first_event_ms_count 1",
    ] {
        assert!(text.lines().any(|own| own == line), "{line} is not in\n{text}");
    }
}
